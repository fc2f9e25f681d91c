package core

import (
	"beechgrade/internal/backend"
	"beechgrade/internal/decide"
	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/record/recordpb"
)

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
	c.Note(recordpb.Kind_KIND_LIST_FAILED, "")
	c.handleEvent(&decide.EndpointList{Kind: decide.ListFailed})
}

func (c *Core) applyList(list *discovery.List, kind decide.ListKind) {
	e, now := &decide.EndpointList{Kind: kind}, c.loop.Now()
	named := map[string]bool{}
	for i := range list.Instances {
		instance := &list.Instances[i]
		if instance.ID == "" {
			continue
		}
		entry := decide.Endpoint{Server: decide.ServerID(instance.ID), Group: instance.Cell, Kind: c.kindNumbers.number(instance.MachineType),
			Zone: c.zoneNumbers.number(instance.Zone), Capacity: instance.Weight, Primary: instance.Role == "primary"}
		if instance.StartedAtMs > 0 {
			entry.Started = clock.ToDuration(min(clock.FromUnix(instance.StartedAtMs), now)) // one ahead of the clock would be cold for ever
		}
		entry.State = serverState(instance)
		named[instance.ID] = true
		if g, ok := c.servers.(Grouped); ok {
			g.SetGroup(instance.ID, instance.Cell)
		}
		if instance.HostPort != "" {
			c.servers.SetAddress(instance.ID, instance.HostPort)
		}
		e.Endpoints = append(e.Endpoints, entry)
	}
	c.recordList(list, kind)
	c.reportList(list, kind)
	c.log.Debug("list", "kind", kind, "generation", list.Generation, "entries", len(e.Endpoints))
	c.handleEvent(e)
	if c.observation.observer != nil {
		c.observation.observer.Listed(list, kind != decide.ListChanges)
	}
	for i := range e.Endpoints { // attempts and connections in use there stay until they end
		switch id := string(e.Endpoints[i].Server); {
		case e.Endpoints[i].State == decide.Removed && !c.config.Settings.DrainOnly:
			c.servers.Forget(id)
		case e.Endpoints[i].State != decide.Serving:
			if c.servers.CloseIdle(id); e.Endpoints[i].State == decide.Draining { // an attempt that waits for a connection would be new to it, however late it comes up
				c.servers.Recall(id, func(backend.AttemptID) bool { return true })
			}
		}
	}
	if kind != decide.ListChanges && !c.config.Settings.DrainOnly { // with DrainOnly a server that left the list may still serve
		c.servers.Retain(named)
	}
}

// nameNumbers assigns numbers to names; names that the settings do not have get the next ones.
type nameNumbers map[string]int

func numberNames(list []string) nameNumbers {
	n := nameNumbers{}
	for _, s := range list {
		n.number(s)
	}
	return n
}

func (n nameNumbers) number(s string) int {
	i, ok := n[s]
	if !ok {
		i = len(n)
		n[s] = i
	}
	return i
}
