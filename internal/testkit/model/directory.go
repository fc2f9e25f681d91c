package model

import "beechgrade/internal/endpoints/discovery"

const maxHistory = 4096

// Directory is the endpoint list with its delay.
type Directory struct {
	Gen          int64
	ExtraDelayMs float64 // added to Config.ListDelay
	Unavailable  bool    // requests for the list are not answered

	world   *World
	entries map[string]*Entry
	history []change
}

// Entry is the list's entry for a server.
type Entry struct {
	discovery.Instance
	Server *Server
}

// change is an entry as of a generation.
type change struct {
	gen int64
	discovery.Instance
}

func (d *Directory) start() {
	d.Gen = 1
	for _, s := range d.world.Servers {
		d.entries[s.Name] = &Entry{Server: s, Instance: discovery.Instance{
			ID:          s.Name,
			Zone:        s.Site(),
			MachineType: "padrao-4",
			Cell:        s.Group.ID,
			Lifecycle:   "up",
			Weight:      1,
			Role:        s.Role(),
		}}
	}
}

// Site returns a server's site. The members of a group are spread over the sites in turn.
func (s *Server) Site() string {
	if n := len(s.world.Cfg.Sites); n > 0 {
		return s.world.Cfg.Sites[s.SiteNo()]
	}
	return "room"
}

// SiteNo returns the number of a server's site.
func (s *Server) SiteNo() int {
	for k, m := range s.Group.Members {
		if m == s {
			return (s.Group.ID + k) % max(1, len(s.world.Cfg.Sites))
		}
	}
	return 0
}

// SetAddr sets the address at which a server listens.
func (d *Directory) SetAddr(name, addr string) {
	if e := d.entries[name]; e != nil {
		e.HostPort = addr
	}
}

// update changes a server's entry after the list's delay: its lifecycle, or its role if lifecycle is empty.
func (d *Directory) update(s *Server, lifecycle string, roleDelay float64) {
	role, started := s.Role(), s.Started
	d.world.after(d.world.Cfg.ListDelay.Draw(s.Group.rng)+roleDelay+d.ExtraDelayMs, func(now float64) {
		e := d.entries[s.Name]
		was := e.Instance
		if lifecycle == "" {
			e.Role = role
		} else {
			e.Lifecycle, e.StartedAtMs = lifecycle, int64(started)
		}
		if e.Instance == was {
			return
		}
		d.Gen++
		d.history = append(d.history, change{d.Gen, e.Instance})
		d.history = d.history[max(0, len(d.history)-maxHistory):]
		d.world.watcher.Listed(e, now)
		d.world.Catalog.changed()
	})
}

// Snapshot returns the complete list.
func (d *Directory) Snapshot() discovery.List {
	l := discovery.List{Generation: d.Gen, Reset: true}
	for _, s := range d.world.Servers {
		if e := d.entries[s.Name]; e.Lifecycle != "removed" {
			l.Instances = append(l.Instances, e.Instance)
		}
	}
	return l
}

// Since returns the changes after a generation, or the complete list if the generation is not known.
func (d *Directory) Since(gen int64) discovery.List {
	if gen <= 0 || gen > d.Gen || len(d.history) > 0 && gen < d.history[0].gen-1 || len(d.history) == 0 && gen < d.Gen {
		return d.Snapshot()
	}
	l := discovery.List{Generation: d.Gen}
	for _, c := range d.history {
		if c.gen > gen {
			l.Instances = append(l.Instances, c.Instance)
		}
	}
	return l
}
