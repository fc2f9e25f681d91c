package model

import "fmt"

// Catalog is the content of a Consul catalog. It has the delay of the endpoint list and the injected errors.
type Catalog struct {
	Emptied bool // all servers are deregistered by mistake
	Swapped bool // each group's primary is registered wrongly
	Index   uint64

	world    *World
	names    map[*Server]int // number of a server's registrations under a new ID
	critical map[*Server]bool
}

// Registration is a server's entry in the catalog.
type Registration struct {
	ID          string
	Address     string
	Server      *Server
	Role        string
	Started     float64
	Critical    bool
	Maintenance bool
}

func (c *Catalog) changed() {
	c.Index++
	c.world.watcher.Registered()
}

// All returns the registrations in the order of the servers.
func (c *Catalog) All() (out []Registration) {
	if c.Emptied {
		return nil
	}
	for _, s := range c.world.Servers {
		e := c.world.List.entries[s.Name]
		if e.Lifecycle == "removed" {
			continue
		}
		r := Registration{
			ID:          s.Name,
			Address:     e.HostPort,
			Server:      s,
			Role:        e.Role,
			Started:     float64(e.StartedAtMs),
			Critical:    c.critical[s],
			Maintenance: e.Lifecycle == "draining",
		}
		if n := c.names[s]; n > 0 {
			r.ID = fmt.Sprintf("%s~%d", s.Name, n)
		}
		if c.Swapped {
			r.Role = "replica"
			if s == c.wrongPrimary(s.Group) {
				r.Role = "primary"
			}
		}
		out = append(out, r)
	}
	return out
}

// wrongPrimary returns the member that is registered as a group's primary while roles are swapped: the last one, or the first
// if the last one is listed as the primary.
func (c *Catalog) wrongPrimary(g *Group) *Server {
	last := g.Members[len(g.Members)-1]
	if c.world.List.entries[last.Name].Role == "primary" {
		return g.Members[0]
	}
	return last
}

// DeregisterAll deregisters all servers, or ends that.
func (w *World) DeregisterAll(on bool) { w.Catalog.Emptied = on; w.Catalog.changed() }

// SwapRoles registers wrong primaries, or ends that.
func (w *World) SwapRoles(on bool) { w.Catalog.Swapped = on; w.Catalog.changed() }

// Reregister registers a server under a new ID.
func (w *World) Reregister(name string) error {
	return w.withServer(name, func(s *Server, _ float64) {
		w.Catalog.names[s]++
		w.Catalog.changed()
	})
}

// FailCheck makes the check of a healthy server fail, or pass again.
func (w *World) FailCheck(name string, on bool) error {
	return w.withServer(name, func(s *Server, _ float64) {
		w.Catalog.critical[s] = on
		w.Catalog.changed()
	})
}
