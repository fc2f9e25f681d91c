package simulation

import (
	"beechgrade/internal/testkit/checker"
	"beechgrade/internal/testkit/scenario"
)

// freshMs is until when a server's new process may be avoided for what the old one did: until all have its entry, and a probe of it, which may come
// 3.2 s after the last; and a second.
const freshMs = 5000

// Blackouts are what the rules of who is asked go by.
func Blackouts(s *scenario.Script) checker.BlackoutConfig {
	c := checker.BlackoutConfig{Poolers: s.Poolers, WindowMs: 10000, HealthyMs: 10000, OwnEvidenceMs: 120000, MaxAvoidingShare: 0.8, MinReads: 12, MinRequests: 20}
	if v := s.Verdicts; v != nil {
		c.RestartGraceMs = freshMs
		c.HealthyMs, c.MaxAvoidingShare = v.Settings.EjectionTime+2000, max(c.MaxAvoidingShare, v.Settings.MaxEjectedShare)
	}
	next := 0
	for _, n := range s.Fleet.Groups {
		var members []int
		for range n {
			members = append(members, next)
			next++
		}
		c.Groups = append(c.Groups, members)
	}
	return c
}

// groundTruth is what befalls servers, ways and poolers now: check.Sight.
type groundTruth struct{ e *Emulation }

func (x groundTruth) ServerHealthy(s int) bool { return x.e.world.Servers[s].Healthy(x.e.s.now) }
func (x groundTruth) ServerStartedAt(s int) float64 {
	if x.e.world.List.ExtraDelayMs > 0 || x.e.world.List.Unavailable { // it may be long until all have its entry
		return 0
	}
	return x.e.world.Servers[s].Started
}
func (x groundTruth) IsPrimary(s int) bool { w := x.e.world.Servers[s]; return w.Group.Primary == w }
func (x groundTruth) LinkHealthy(p, s int) bool {
	return x.e.ways.good(p, s) && !x.e.apart(x.e.poolers[p], x.e.world.Servers[s]) && !x.e.world.List.Unavailable && x.e.ways.held[p] == 0
}
func (x groundTruth) PoolerRunning(no int) bool {
	p := x.e.poolers[no]
	return p.up && x.e.s.now >= p.still
}
func (x groundTruth) ServerReachable(server int) bool {
	w := x.e.world.Servers[server]
	if !w.Up || w.Hung || w.Draining {
		return false
	}
	for p := range x.e.poolers {
		if x.e.ways.cut[p*x.e.ways.servers+server] == 0 {
			return true
		}
	}
	return false
}
