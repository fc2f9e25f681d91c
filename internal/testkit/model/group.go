package model

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Group is a primary and its replicas.
type Group struct {
	ID      int
	Members []*Server
	Primary *Server // who takes writes; nil while nobody does

	w      *World
	lostAt float64 // its log's end since then, 0 while there is a primary
	log    []entry
	base   int // number of the first entry kept
	rows   map[string][]version
	rng    *rand.Rand // of its takeovers, so that they last as long whatever else is drawn meanwhile
}

// entry is a write in the log.
type entry struct {
	commit float64 // whole Unix milliseconds, rounded up
	cost   float64
}

// version is a row's value as of a log entry.
type version struct {
	n     int // the entry's number
	value []byte
}

const (
	keepVersions = 32
	keepLog      = 1 << 16
)

// Writable tells whether the group takes writes now.
func (g *Group) Writable() bool { return g.Primary != nil && g.lostAt == 0 }

// End is the number behind the log's last entry.
func (g *Group) End() int { return g.base + len(g.log) }

// lose notes that a server is out. If it was the primary, the group takes no writes until another takes over.
func (g *Group) lose(s *Server, now float64) {
	if g.Primary != s {
		return
	}
	w := g.w
	g.lostAt = now
	w.later(w.Cfg.Detect.Draw(g.rng), func(float64) {
		if g.Primary != s || s.Up && !s.Hung {
			return // it is back before it was given up
		}
		g.Primary = nil
		w.later(w.Cfg.Elect.Draw(g.rng), func(now float64) { g.promote(now) })
	})
}

// returned notes that a server is back: perhaps the primary, or the one that the group waits for.
func (g *Group) returned(s *Server) {
	switch {
	case g.Primary == s:
		g.lostAt = 0
		s.applied = g.End()
	case g.Primary == nil && !g.w.Cfg.Peers && !slices.ContainsFunc(g.Members, func(o *Server) bool { return o != s && o.fit() }):
		g.w.later(g.w.Cfg.Elect.Draw(g.rng), func(now float64) { g.promote(now) })
	}
}

// promote makes the member that has most of the log the primary. Nothing that was committed is lost: what it had not
// applied yet, it applies now.
func (g *Group) promote(now float64) {
	if g.Primary != nil || g.w.Cfg.Peers {
		return
	}
	var best *Server
	for _, s := range g.Members {
		if s.fit() {
			s.advance(now)
			if best == nil || s.applied > best.applied {
				best = s
			}
		}
	}
	if best == nil {
		return
	}
	best.applied, best.free = g.End(), now
	g.Primary, g.lostAt = best, 0
	g.w.fact(best, "is the primary")
	for _, s := range g.Members {
		g.w.List.change(s, "", g.w.Cfg.Roles.Draw(g.rng))
	}
}

// Write puts a write into the log and returns its commit.
func (g *Group) Write(now float64, key string, value []byte) float64 {
	commit := math.Ceil(now)
	g.log = append(g.log, entry{commit, g.w.Cfg.Apply})
	rows := append(g.rows[key], version{g.End() - 1, value})
	g.rows[key] = rows[max(0, len(rows)-keepVersions):]
	if g.Primary != nil {
		g.Primary.applied = g.End()
	}
	if len(g.log) > 2*keepLog {
		cut := len(g.log) - keepLog
		g.log, g.base = slices.Clone(g.log[cut:]), g.base+cut
		for _, s := range g.Members {
			s.applied = max(s.applied, g.base)
		}
	}
	return commit
}
