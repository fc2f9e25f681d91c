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

// applyList passes a list to the servers, the router and the observers.
func (c *Core) applyList(list *discovery.List, kind decide.ListKind) {
	whole := kind != decide.ListChanges
	event, now := &decide.EndpointList{Kind: kind}, c.loop.Now()
	named := map[string]bool{}
	for i := range list.Instances {
		instance := &list.Instances[i]
		if instance.ID == "" {
			continue
		}
		named[instance.ID] = true
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
		c.fleet.zoneObserver.Listed(list, whole)
	}
	c.log.Debug("list", "kind", kind, "generation", list.Generation, "entries", len(event.Endpoints))
	c.handleEvent(event)
	if c.observation.observer != nil {
		c.observation.observer.Listed(list, whole)
	}
	c.closeUnavailable(event.Endpoints)
	if whole && !c.config.Settings.DrainOnly { // with DrainOnly a server that left the list may still serve
		c.servers.Retain(named)
	}
}

// endpointOf returns an entry of the list in the router's form.
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
	if instance.StartedAtMs > 0 { // one ahead of the clock would be cold for ever
		endpoint.Started = clock.ToDuration(min(clock.FromUnix(instance.StartedAtMs), now))
	}
	return endpoint
}

// closeUnavailable closes idle connections to servers that are draining or removed. Attempts and connections in use there stay
// until they end.
func (c *Core) closeUnavailable(endpoints []decide.Endpoint) {
	for i := range endpoints {
		id, state := string(endpoints[i].Server), endpoints[i].State
		switch {
		case state == decide.Removed && !c.config.Settings.DrainOnly:
			c.servers.Forget(id)
		case state == decide.Draining:
			c.servers.CloseIdle(id)
			// An attempt that waits for a connection would be new to the server, however late the connection is open.
			c.servers.Recall(id, func(backend.AttemptID) bool { return true })
		case state == decide.Removed:
			c.servers.CloseIdle(id)
		}
	}
}

// serverState returns an entry's state.
func serverState(instance *discovery.Instance) decide.ServerState {
	switch instance.Lifecycle {
	case "draining":
		return decide.Draining
	case "removed":
		return decide.Removed
	}
	return decide.Serving
}

// nameNumbers assigns numbers to names; names that the settings do not have get the next ones.
type nameNumbers map[string]int

// numberNames numbers a list of names.
func numberNames(names []string) nameNumbers {
	numbers := nameNumbers{}
	for _, name := range names {
		numbers.number(name)
	}
	return numbers
}

// number returns a name's number.
func (numbers nameNumbers) number(name string) int {
	number, ok := numbers[name]
	if !ok {
		number = len(numbers)
		numbers[name] = number
	}
	return number
}
