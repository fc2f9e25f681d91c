package simulation

import "beechgrade/internal/cluster/module"

// Heed is how a verdict on a server went round: times are ms since the play's start.
type Heed struct {
	Server  string  `json:"server"`
	Knew    float64 `json:"knew_ms"`  // a pooler first had no answer of it in time; 0 where nobody had before
	First   float64 `json:"first_ms"` // the first pooler avoided it by others' word, and the last of those that followed within heedMs
	Last    float64 `json:"last_ms"`
	Poolers int     `json:"poolers"`
}

// heedMs is until when a pooler that begins to avoid a server does so by the same word, and mostHeeds bounds what is kept.
const (
	heedMs    = 1500
	mostHeeds = 1000
)

// heeded takes it that a pooler begins to avoid a server.
func (e *Emulation) heeded(s module.AvoidedServer) {
	now := e.s.now - startMs
	for i := len(e.heeds) - 1; i >= 0; i-- {
		if h := &e.heeds[i]; h.Server == s.Server {
			if now <= h.First+heedMs {
				h.Last, h.Poolers = now, h.Poolers+1
				return
			}
			break
		}
	}
	if len(e.heeds) >= mostHeeds {
		return
	}
	h := Heed{Server: s.Server, First: now, Last: now, Poolers: 1}
	if x := e.world.Server(s.Server); x != nil {
		if at := e.black.FirstUnansweredAt(x.No); at > 0 {
			h.Knew = at - startMs
		}
	}
	e.heeds = append(e.heeds, h)
}
