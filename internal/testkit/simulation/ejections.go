package simulation

import "beechgrade/internal/cluster/module"

// Ejection describes how the ejection of a server spread among the poolers. Times are in ms since the start of the run.
type Ejection struct {
	Server          string  `json:"server"`
	FirstUnanswered float64 `json:"knew_ms"`  // the first unanswered attempt before the ejection; 0 if there was none
	FirstEjected    float64 `json:"first_ms"` // by the first pooler; LastEjected is by the last one within sameEjectionWindowMs
	LastEjected     float64 `json:"last_ms"`
	Poolers         int     `json:"poolers"`
}

// Ejections of a server by several poolers count as one within sameEjectionWindowMs after the first. At most maxEjections are recorded.
const (
	sameEjectionWindowMs = 1500
	maxEjections         = 1000
)

// recordEjection records that a pooler starts to avoid a server.
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
