package core

import (
	"beechgrade/internal/backend"
	"beechgrade/internal/decide"
	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/record/recordpb"
)

// primaryRole is the role of a primary in the endpoint list.
const primaryRole = "primary"

// Listed implements discovery.Events.
func (c *Core) Listed(list *discovery.List) {
	kind := decide.ListChanges
	if list.Reset {
		kind = decide.ListFull
	}
	c.applyList(list, kind)
}

// ListFailed implements discovery.Events.
func (c *Core) ListFailed() {
	c.RecordEvent(recordpb.Kind_KIND_LIST_FAILED, "")
	c.handleEvent(&decide.EndpointList{Kind: decide.ListFailed})
}

// applyList passes an endpoint list to the servers, the router and the observers.
func (c *Core) applyList(list *discovery.List, kind decide.ListKind) {
	full := kind != decide.ListChanges
	event, now := &decide.EndpointList{Kind: kind}, c.loop.Now()
	listed := map[string]bool{}
	for i := range list.Instances {
		instance := &list.Instances[i]
		if instance.ID == "" {
			continue
		}
		listed[instance.ID] = true
		event.Endpoints = append(event.Endpoints, c.endpointOf(instance, now))
		if servers, ok := c.servers.(GroupSetter); ok {
			servers.SetGroup(instance.ID, instance.Cell)
		}
		if instance.HostPort != "" {
			c.servers.SetAddress(instance.ID, instance.HostPort)
		}
	}
	c.recorder.list(list, kind)
	if c.fleet.zoneObserver != nil {
		c.fleet.zoneObserver.Listed(list, full)
	}
	c.log.Debug("applying endpoint list", "kind", kind, "generation", list.Generation, "entries", len(event.Endpoints))
	c.handleEvent(event)
	if c.observation.observer != nil {
		c.observation.observer.Listed(list, full)
	}
	c.closeUnavailable(event.Endpoints)
	if full && !c.config.Settings.DrainOnly { // with DrainOnly a server that left the list may still serve
		c.servers.Retain(listed)
	}
}

// endpointOf converts an entry of the endpoint list for the router.
func (c *Core) endpointOf(instance *discovery.Instance, now float64) decide.Endpoint {
	endpoint := decide.Endpoint{
		Server:   decide.ServerID(instance.ID),
		Group:    instance.Cell,
		Kind:     c.kindNumbers.number(instance.MachineType),
		Zone:     c.zoneNumbers.number(instance.Zone),
		Capacity: instance.Weight,
		Primary:  instance.Role == primaryRole,
		State:    serverState(instance),
	}
	if instance.StartedAtMs > 0 { // a server whose start time is ahead of this clock would otherwise stay in slow start
		endpoint.Started = clock.ToDuration(min(clock.FromUnix(instance.StartedAtMs), now))
	}
	return endpoint
}

// closeUnavailable closes idle connections to servers that are draining or removed. Their attempts and connections in use remain
// until they end.
func (c *Core) closeUnavailable(endpoints []decide.Endpoint) {
	for i := range endpoints {
		id, state := string(endpoints[i].Server), endpoints[i].State
		switch {
		case state == decide.Removed && !c.config.Settings.DrainOnly:
			c.servers.Forget(id)
		case state == decide.Draining:
			c.servers.CloseIdle(id)
			// An attempt that waits for a connection would be a new request to the draining server, however late the connection opens.
			c.servers.Recall(id, func(backend.AttemptID) bool { return true })
		case state == decide.Removed:
			c.servers.CloseIdle(id)
		}
	}
}

// serverState returns the state that an entry of the endpoint list gives a server.
func serverState(instance *discovery.Instance) decide.ServerState {
	switch instance.Lifecycle {
	case "draining":
		return decide.Draining
	case "removed":
		return decide.Removed
	}
	return decide.Serving
}

// nameNumbers assigns numbers to names: those of the settings in their order, then others as they first appear.
type nameNumbers map[string]int

// numberNames assigns numbers to the names of the settings.
func numberNames(names []string) nameNumbers {
	numbers := nameNumbers{}
	for _, name := range names {
		numbers.number(name)
	}
	return numbers
}

// number returns a name's number, and assigns the next one to a new name.
func (numbers nameNumbers) number(name string) int {
	number, ok := numbers[name]
	if !ok {
		number = len(numbers)
		numbers[name] = number
	}
	return number
}
