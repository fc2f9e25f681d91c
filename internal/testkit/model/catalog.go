package model

import "fmt"

// Catalog is what a Consul catalogue has of the servers: as late as the list, and with what it is told wrongly.
type Catalog struct {
	Emptied bool // everything is deregistered, by mistake
	Swapped bool // it names the wrong member of each group as its primary
	Index   uint64

	world    *World
	names    map[*Server]int // how often a server was registered under a new id
	critical map[*Server]bool
}

// Registration is a server as it is registered.
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

// All is what is registered, in the order of the servers.
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
			if g := s.Group; c.world.List.entries[g.Members[len(g.Members)-1].Name].Role == "primary" && s == g.Members[0] ||
				c.world.List.entries[g.Members[len(g.Members)-1].Name].Role != "primary" && s == g.Members[len(g.Members)-1] {
				r.Role = "primary"
			}
		}
		out = append(out, r)
	}
	return out
}

// DeregisterAll has everything deregistered, or registered again.
func (w *World) DeregisterAll(on bool) { w.Catalog.Emptied = on; w.Catalog.changed() }

// SwapRoles has the catalogue name wrong primaries, or right ones again.
func (w *World) SwapRoles(on bool) { w.Catalog.Swapped = on; w.Catalog.changed() }

// Reregister has a server registered under a new id, with what is registered of it.
func (w *World) Reregister(name string) error {
	return w.withServer(name, func(s *Server, _ float64) {
		w.Catalog.names[s]++
		w.Catalog.changed()
	})
}

// FailCheck has a server's check fail, though nothing is wrong with it; or pass again.
func (w *World) FailCheck(name string, on bool) error {
	return w.withServer(name, func(s *Server, _ float64) {
		w.Catalog.critical[s] = on
		w.Catalog.changed()
	})
}
