package endpoints

import (
	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/endpoints/reconcile"
)

// Lifecycles and roles in the platform's lists.
const (
	lifecycleUp       = "up"
	lifecycleDraining = "draining"
	lifecycleRemoved  = "removed"
	rolePrimary       = "primary"
	roleReplica       = "replica"
)

// ReportFromList converts a list in the platform's format to a report.
func ReportFromList(list *discovery.List) *reconcile.Report {
	report := &reconcile.Report{Full: list.Reset, Generation: list.Generation}
	for i := range list.Instances {
		instance := &list.Instances[i]
		if instance.Lifecycle == lifecycleRemoved {
			report.Removed = append(report.Removed, instance.ID)
		} else if observation, ok := observationFromInstance(instance); ok {
			report.Observations = append(report.Observations, observation)
		}
	}
	return report
}

// observationFromInstance converts an instance in the platform's format to an observation. It returns false if the instance is removed
// or lacks an id or an address.
func observationFromInstance(instance *discovery.Instance) (reconcile.Observation, bool) {
	observation := reconcile.Observation{
		ID:          instance.ID,
		Address:     instance.HostPort,
		Group:       instance.Cell,
		Zone:        instance.Zone,
		Kind:        instance.MachineType,
		Weight:      instance.Weight,
		StartedAtMs: float64(instance.StartedAtMs),
	}
	switch instance.Role {
	case rolePrimary:
		observation.Role = reconcile.Primary
	case roleReplica:
		observation.Role = reconcile.Replica
	}
	if instance.Lifecycle == lifecycleDraining {
		observation.Health = reconcile.Maintenance
	}
	usable := instance.ID != "" && instance.HostPort != "" && instance.Lifecycle != lifecycleRemoved
	return observation, usable
}

func observationFromEntry(entry *reconcile.Entry) reconcile.Observation {
	observation := reconcile.Observation{
		ID:          entry.ID,
		Address:     entry.Address,
		Group:       entry.Group,
		Zone:        entry.Zone,
		Kind:        entry.Kind,
		Weight:      entry.Weight,
		StartedAtMs: entry.StartedAtMs,
	}
	if entry.State == reconcile.StateDraining {
		observation.Health = reconcile.Maintenance
	}
	if entry.Primary {
		observation.Role = reconcile.Primary
	}
	return observation
}

// instanceFromEntry converts an entry to the platform's format, which the core reads.
func instanceFromEntry(entry *reconcile.Entry) discovery.Instance {
	instance := discovery.Instance{
		ID:          entry.ID,
		HostPort:    entry.Address,
		Zone:        entry.Zone,
		MachineType: entry.Kind,
		Cell:        entry.Group,
		Weight:      entry.Weight,
		StartedAtMs: int64(entry.StartedAtMs),
		Lifecycle:   [...]string{lifecycleUp, lifecycleDraining, lifecycleRemoved}[entry.State],
	}
	if instance.Weight <= 0 {
		instance.Weight = 1
	}
	if entry.Primary {
		instance.Role = rolePrimary
	}
	return instance
}
