package simulation

import "beechgrade/internal/cluster/module"

// Ejection describes how a server's ejection spread. Times are ms since the run's start.
type Ejection struct {
	Server          string  `json:"server"`
	FirstUnanswered float64 `json:"knew_ms"`  // first unanswered attempt; 0 if there was none before
	FirstEjected    float64 `json:"first_ms"` // first pooler that ejected it, and the last that followed within sameEjectionMs
	LastEjected     float64 `json:"last_ms"`
	Poolers         int     `json:"poolers"`
}

// sameEjectionMs is the time within which poolers count for the same ejection; maxEjections bounds the recorded ones.
const (
	sameEjectionWindowMs = 1500
	maxEjections         = 1000
)

// recordEjection records that a pooler begins to avoid a server.
func (sim *Simulation) recordEjection(s module.AvoidedServer) {
	now := sim.sched.now - startTimeMs
	for i := len(sim.ejections) - 1; i >= 0; i-- {
		if h := &sim.ejections[i]; h.Server == s.Server {
			if now <= h.FirstEjected+sameEjectionWindowMs {
				h.LastEjected, h.Poolers = now, h.Poolers+1
				return
			}
			break
		}
	}
	if len(sim.ejections) >= maxEjections {
		return
	}
	h := Ejection{Server: s.Server, FirstEjected: now, LastEjected: now, Poolers: 1}
	if x := sim.world.Server(s.Server); x != nil {
		if at := sim.blackouts.FirstUnansweredAt(x.No); at > 0 {
			h.FirstUnanswered = at - startTimeMs
		}
	}
	sim.ejections = append(sim.ejections, h)
}
