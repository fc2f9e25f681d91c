package checker

import (
	"fmt"
)

// coldServer has the work that a server received within OverloadWindowMs, shortly after its start.
type coldServer struct {
	started  float64
	sent     []workSample
	workSum  float64
	reported bool
}

type workSample struct{ at, work float64 }

type execution struct {
	server   int // -1 for a repeat that the server dropped
	at       float64
	value    uint64
	position float64
	sent     float64
	primary  bool
}

// ServerReceived records that a server has a complete request. started is the start of its process, 0 for long ago.
func (c *Checker) ServerReceived(at float64, server int, started float64, id uint64, work float64) {
	age := at - started
	if started == 0 || c.cfg.ColdMs <= 0 || age >= c.cfg.ColdMs {
		return
	}
	c.checked[ColdSpared]++
	s := c.cold[server]
	if s == nil || s.started != started {
		s = &coldServer{started: started}
		c.cold[server] = s
	}
	s.sent = append(s.sent, workSample{at, work})
	s.workSum += work
	for at-s.sent[0].at > c.cfg.OverloadWindowMs {
		s.workSum -= s.sent[0].work
		s.sent = s.sent[1:]
	}
	capacity := (c.cfg.ColdShare + (1-c.cfg.ColdShare)*age/c.cfg.ColdMs) * float64(c.cfg.Cores) * c.cfg.OverloadWindowMs
	if c.cfg.OverloadFactor > 0 && s.workSum > c.cfg.OverloadFactor*capacity && !s.reported {
		s.reported = true
		proof := []Event{{At: started, What: "started", Pooler: -1, Server: server}}
		for _, sample := range s.sent[max(0, len(s.sent)-maxProof+1):] {
			proof = append(proof, Event{At: sample.at, What: "took", Pooler: -1, Server: server, Text: fmt.Sprintf("%.1f ms of work", sample.work)})
		}
		c.breach(Breach{
			Rule:   ColdSpared,
			At:     at,
			ID:     id,
			Server: server,
			Text: fmt.Sprintf("%.0f ms of work within %.0f ms, %.0f ms after its start; it stands %.0f ms",
				s.workSum, c.cfg.OverloadWindowMs, age, c.cfg.OverloadFactor*capacity),
		}, proof)
	}
}

// Executed records that a server executed a request, with a hash of the result and the position of its data.
func (c *Checker) Executed(at float64, server int, id uint64, writes, primary bool, value uint64, position float64) {
	if writes {
		c.checked[PrimaryRan]++
		if !primary {
			c.breach(Breach{
				Rule:   PrimaryRan,
				At:     at,
				ID:     id,
				Server: server,
				Text:   "a write ran at a server that is not its group's primary",
			},
				[]Event{{At: at, What: "ran", Pooler: -1, Server: server}})
		}
	}
	request := c.requests[id]
	if request == nil {
		return
	}
	sent := request.received
	for i := range request.attempts {
		if request.attempts[i].server == server {
			sent = request.attempts[i].at
		}
	}
	earlierRuns := 0
	for i := range request.executions {
		if request.executions[i].server >= 0 {
			earlierRuns++
		}
	}
	request.executions = append(request.executions, execution{server, at, value, position, sent, primary})
	request.record(Event{At: at, What: "ran", Pooler: -1, Server: server, Text: fmt.Sprintf("data as of %.0f ms before", at-position)})
	if (request.class.NoRepeat || request.class.KeyMs > 0) && earlierRuns > 0 {
		c.breach(Breach{Rule: NotTwice, At: at, ID: id, Server: server, Text: "it ran a second time"}, request.events)
	}
}

// RepeatDropped records that a server answered a repeat of a keyed write without executing it again.
func (c *Checker) RepeatDropped(at float64, server int, id uint64, value uint64, position float64) {
	if request := c.requests[id]; request != nil {
		request.executions = append(request.executions, execution{
			server:   -1,
			at:       at,
			value:    value,
			position: position,
			sent:     request.received,
		})
		request.record(Event{At: at, What: "repeat dropped", Pooler: -1, Server: server})
	}
}
