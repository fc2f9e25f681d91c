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
func (sim *Simulation) recordEjection(avoided module.AvoidedServer) {
	now := sim.sched.now - startTimeMs
	for i := len(sim.ejections) - 1; i >= 0; i-- {
		if ejection := &sim.ejections[i]; ejection.Server == avoided.Server {
			if now <= ejection.FirstEjected+sameEjectionWindowMs {
				ejection.LastEjected, ejection.Poolers = now, ejection.Poolers+1
				return
			}
			break
		}
	}
	if len(sim.ejections) >= maxEjections {
		return
	}
	ejection := Ejection{Server: avoided.Server, FirstEjected: now, LastEjected: now, Poolers: 1}
	if server := sim.world.Server(avoided.Server); server != nil {
		if at := sim.blackouts.FirstUnansweredAt(server.No); at > 0 {
			ejection.FirstUnanswered = at - startTimeMs
		}
	}
	sim.ejections = append(sim.ejections, ejection)
}
