package simulation

import (
	"beechgrade/internal/testkit/checker"
	"beechgrade/internal/testkit/scenario"
)

// restartGraceMs is the time in ms for which poolers may avoid a server's new process because of its old one. Within it all poolers
// receive the new entry and check the server's health, up to 3.2 s after the previous health check, plus a margin of 1 s.
const restartGraceMs = 5000

// BlackoutConfig returns the limits of the checker's rules on avoided servers for a scenario.
func BlackoutConfig(s *scenario.Script) checker.BlackoutConfig {
	c := checker.BlackoutConfig{
		Poolers:          s.Poolers,
		WindowMs:         10000,
		HealthyMs:        10000,
		OwnEvidenceMs:    120000,
		MaxAvoidingShare: 0.8,
		MinReads:         12,
		MinRequests:      20,
	}
	if v := s.OutlierDetection; v != nil {
		c.RestartGraceMs = restartGraceMs
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

// groundTruth implements checker.GroundTruth from the state of the model.
type groundTruth struct{ sim *Simulation }

func (t groundTruth) ServerHealthy(s int) bool {
	return t.sim.world.Servers[s].Healthy(t.sim.sched.now)
}
func (t groundTruth) ServerStartedAt(s int) float64 {
	if t.sim.world.List.ExtraDelayMs > 0 || t.sim.world.List.Unavailable { // its entry may come much later
		return 0
	}
	return t.sim.world.Servers[s].Started
}
func (t groundTruth) IsPrimary(s int) bool { w := t.sim.world.Servers[s]; return w.Group.Primary == w }
func (t groundTruth) LinkHealthy(p, s int) bool {
	return t.sim.links.healthy(p, s) && !t.sim.sitesDisconnected(t.sim.poolers[p], t.sim.world.Servers[s]) && !t.sim.world.List.Unavailable && t.sim.links.listsHeld[p] == 0
}
func (t groundTruth) PoolerRunning(no int) bool {
	p := t.sim.poolers[no]
	return p.up && t.sim.sched.now >= p.pausedUntil
}
func (t groundTruth) ServerReachable(server int) bool {
	w := t.sim.world.Servers[server]
	if !w.Up || w.Hung || w.Draining {
		return false
	}
	for p := range t.sim.poolers {
		if t.sim.links.cut[p*t.sim.links.servers+server] == 0 {
			return true
		}
	}
	return false
}
