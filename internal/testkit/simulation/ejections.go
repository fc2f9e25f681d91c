package simulation

import "beechgrade/internal/cluster/module"

// Ejection is how a verdict on a server went round: times are ms since the play's start.
type Ejection struct {
	Server          string  `json:"server"`
	FirstUnanswered float64 `json:"knew_ms"`  // a pooler first had no answer of it in time; 0 where nobody had before
	First           float64 `json:"first_ms"` // the first pooler avoided it by others' word, and the last of those that followed within sameEjectionMs
	Last            float64 `json:"last_ms"`
	Poolers         int     `json:"poolers"`
}

// sameEjectionMs is until when a pooler that begins to avoid a server does so by the same word, and maxEjections bounds what is kept.
const (
	sameEjectionMs = 1500
	maxEjections   = 1000
)

// recordEjection takes it that a pooler begins to avoid a server.
func (sim *Simulation) recordEjection(s module.AvoidedServer) {
	now := sim.sched.now - startMs
	for i := len(sim.ejections) - 1; i >= 0; i-- {
		if h := &sim.ejections[i]; h.Server == s.Server {
			if now <= h.First+sameEjectionMs {
				h.Last, h.Poolers = now, h.Poolers+1
				return
			}
			break
		}
	}
	if len(sim.ejections) >= maxEjections {
		return
	}
	h := Ejection{Server: s.Server, First: now, Last: now, Poolers: 1}
	if x := sim.world.Server(s.Server); x != nil {
		if at := sim.blackouts.FirstUnansweredAt(x.No); at > 0 {
			h.FirstUnanswered = at - startMs
		}
	}
	sim.ejections = append(sim.ejections, h)
}
