package consul

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"beechgrade/internal/endpoints/reconcile"
)

// FieldSource says where a field of a server comes from.
type FieldSource struct {
	Kind string // meta, node-meta, tag (what follows Key in a tag), const, weights, service, datacenter, node, id or none
	Key  string
}

// FieldSourceKinds of places a field may come from.
var FieldSourceKinds = []string{"meta", "node-meta", "tag", "const", "weights", "service", "datacenter", "node", "id", "none"}

// Mapping says how an instance becomes a server.
type Mapping struct {
	ID, Group, Zone, Kind, Weight, Started, Role FieldSource
	PrimaryWords, ReplicaWords                   []string          // words for the roles; for a tag's, the tags themselves
	GroupNumbers                                 map[string]string // names of groups and their numbers
}

// DefaultMapping has the group, role, zone, kind and start in the service's meta.
func DefaultMapping() Mapping {
	return Mapping{ID: FieldSource{Kind: "id"}, Group: FieldSource{"meta", "group"}, Zone: FieldSource{Kind: "datacenter"}, Kind: FieldSource{"meta", "kind"}, Weight: FieldSource{Kind: "weights"},
		Started: FieldSource{"meta", "started"}, Role: FieldSource{"meta", "role"}, PrimaryWords: []string{"primary", "master", "leader"}, ReplicaWords: []string{"replica", "standby", "secondary", "slave"}}
}

// Errors of instances that cannot be used.
var (
	ErrNoAddress = errors.New("it has no address or port")
	ErrNoGroup   = errors.New("its group cannot be told")
)

// value is a field's text, and whether there is one.
func (f FieldSource) value(instance *Instance) (string, bool) {
	var text string
	switch f.Kind {
	case "meta":
		text = instance.Meta[f.Key]
	case "node-meta":
		text = instance.NodeMeta[f.Key]
	case "tag":
		for _, tag := range instance.Tags {
			if suffix, ok := strings.CutPrefix(tag, f.Key); ok {
				return suffix, true
			}
		}
	case "const":
		return f.Key, true
	case "service":
		text = instance.Service
	case "datacenter":
		text = instance.Datacenter
	case "node":
		text = instance.Node
	case "id":
		text = instance.ID
	}
	return text, text != ""
}

// Observation is what an instance says of a server.
func (m *Mapping) Observation(instance *Instance) (reconcile.Observation, error) {
	observation := reconcile.Observation{Health: instance.Health, Weight: 1}
	host := instance.Address
	if host == "" {
		host = instance.NodeAddress
	}
	if host == "" || instance.Port <= 0 || instance.Port > 65535 {
		return observation, ErrNoAddress
	}
	if observation.ID, _ = m.ID.value(instance); observation.ID == "" || len(observation.ID) > maxFieldBytes {
		return observation, errors.New("it has no id")
	}
	observation.Address = net.JoinHostPort(host, strconv.Itoa(instance.Port))
	text, ok := m.Group.value(instance)
	if !ok {
		return observation, ErrNoGroup
	}
	if number, ok := m.GroupNumbers[text]; ok {
		text = number
	}
	var err error
	if observation.Group, err = strconv.Atoi(text); err != nil || observation.Group < 0 || observation.Group > 1<<30 {
		return observation, fmt.Errorf("%w: %q is no number and has none", ErrNoGroup, text[:min(len(text), 40)])
	}
	observation.Zone, _ = m.Zone.value(instance)
	observation.Kind, _ = m.Kind.value(instance)
	observation.Role = m.role(instance)
	observation.Weight = m.weight(instance)
	if text, ok := m.Started.value(instance); ok {
		observation.Started = parseStart(text)
	}
	return observation, nil
}

func (m *Mapping) weight(instance *Instance) float64 {
	if m.Weight.Kind == "weights" {
		if instance.Health == reconcile.Warning && instance.Weights.Warning > 0 {
			return float64(instance.Weights.Warning)
		}
		return float64(max(1, instance.Weights.Passing))
	}
	if text, ok := m.Weight.value(instance); ok {
		if weight, err := strconv.ParseFloat(text, 64); err == nil && weight > 0 && weight <= 1e6 {
			return weight
		}
	}
	return 1
}

func (m *Mapping) role(instance *Instance) reconcile.Role {
	if m.Role.Kind == "tag" && m.Role.Key == "" { // a tag by itself is the role
		for _, tag := range instance.Tags {
			if role := m.roleNamed(tag); role != reconcile.RoleUnknown {
				return role
			}
		}
		return reconcile.RoleUnknown
	}
	text, _ := m.Role.value(instance)
	return m.roleNamed(text)
}

func (m *Mapping) roleNamed(text string) reconcile.Role {
	for _, word := range m.PrimaryWords {
		if strings.EqualFold(word, text) {
			return reconcile.Primary
		}
	}
	for _, word := range m.ReplicaWords {
		if strings.EqualFold(word, text) {
			return reconcile.Replica
		}
	}
	return reconcile.RoleUnknown
}

// parseStart reads a time in Unix seconds, milliseconds, or as RFC 3339 has it; 0 where it cannot be read.
func parseStart(text string) float64 {
	if t, err := time.Parse(time.RFC3339, text); err == nil {
		return float64(t.UnixMilli())
	}
	x, err := strconv.ParseFloat(text, 64)
	switch {
	case err != nil || !(x > 0) || x > 1e14:
		return 0
	case x < 1e11:
		return x * 1000
	}
	return x
}
