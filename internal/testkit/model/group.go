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
	Primary *Server // nil during a failover

	world         *World
	primaryLostAt float64 // when the primary was lost, 0 while there is one
	log           []entry
	firstEntry    int // number of the first stored entry
	rows          map[string][]version
	rng           *rand.Rand // for failovers, so that they do not depend on other draws
}

// entry is a write in the log.
type entry struct {
	commit float64 // whole Unix milliseconds, rounded up
	cost   float64
}

// version is a row's value as of a log entry.
type version struct {
	entry int // the entry's number
	value []byte
}

const (
	maxVersions = 32
	maxLog      = 1 << 16
)

// Writable reports whether the group accepts writes.
func (g *Group) Writable() bool { return g.Primary != nil && g.primaryLostAt == 0 }

// End returns the number after the log's last entry.
func (g *Group) End() int { return g.firstEntry + len(g.log) }

// memberLost handles the loss of a member. Without its primary the group accepts no writes until another is elected.
func (g *Group) memberLost(s *Server, now float64) {
	if g.Primary != s {
		return
	}
	w := g.world
	g.primaryLostAt = now
	w.after(w.Cfg.DetectionDelay.Draw(g.rng), func(float64) {
		if g.Primary != s || s.Up && !s.Hung {
			return // the server returned before the failure was detected
		}
		g.Primary = nil
		w.after(w.Cfg.ElectionDelay.Draw(g.rng), func(now float64) { g.promote(now) })
	})
}

// memberReturned handles a member's return, which may be the primary or the only eligible member.
func (g *Group) memberReturned(s *Server) {
	switch {
	case g.Primary == s:
		g.primaryLostAt = 0
		s.applied = g.End()
	case g.Primary == nil && !g.world.Cfg.MultiPrimary && !slices.ContainsFunc(g.Members, func(o *Server) bool { return o != s && o.eligible() }):
		g.world.after(g.world.Cfg.ElectionDelay.Draw(g.rng), func(now float64) { g.promote(now) })
	}
}

// promote makes the eligible member with most of the log the primary. Committed entries are not lost: it applies those
// that it lacks.
func (g *Group) promote(now float64) {
	if g.Primary != nil || g.world.Cfg.MultiPrimary {
		return
	}
	var best *Server
	for _, s := range g.Members {
		if s.eligible() {
			s.advance(now)
			if best == nil || s.applied > best.applied {
				best = s
			}
		}
	}
	if best == nil {
		return
	}
	best.applied, best.applyFreeAt = g.End(), now
	g.Primary, g.primaryLostAt = best, 0
	g.world.recordFact(best, "is the primary")
	for _, s := range g.Members {
		g.world.List.update(s, "", g.world.Cfg.RoleDelay.Draw(g.rng))
	}
}

// Write appends a write to the log and returns its commit position.
func (g *Group) Write(now float64, key string, value []byte) float64 {
	commit := math.Ceil(now)
	g.log = append(g.log, entry{commit, g.world.Cfg.ApplyMs})
	rows := append(g.rows[key], version{g.End() - 1, value})
	g.rows[key] = rows[max(0, len(rows)-maxVersions):]
	if g.Primary != nil {
		g.Primary.applied = g.End()
	}
	if len(g.log) > 2*maxLog {
		cut := len(g.log) - maxLog
		g.log, g.firstEntry = slices.Clone(g.log[cut:]), g.firstEntry+cut
		for _, s := range g.Members {
			s.applied = max(s.applied, g.firstEntry)
		}
	}
	return commit
}
