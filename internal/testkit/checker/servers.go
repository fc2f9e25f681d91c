package checker

import (
	"fmt"
)

type coldness struct {
	started float64
	sent    []push
	sum     float64
	told    bool
}

type push struct{ at, work float64 }

type ran struct {
	server   int
	at       float64
	value    uint64
	position float64
	sent     float64
	primary  bool
}

// Took tells that a request has come whole to a server, which started then; 0 for long ago.
func (c *Checker) Took(at float64, server int, started float64, id uint64, work float64) {
	age := at - started
	if started == 0 || c.cfg.ColdMs <= 0 || age >= c.cfg.ColdMs {
		return
	}
	c.checked[ColdSpared]++
	s := c.cold[server]
	if s == nil || s.started != started {
		s = &coldness{started: started}
		c.cold[server] = s
	}
	s.sent = append(s.sent, push{at, work})
	s.sum += work
	for at-s.sent[0].at > c.cfg.FallsMs {
		s.sum -= s.sent[0].work
		s.sent = s.sent[1:]
	}
	capacity := (c.cfg.ColdBy + (1-c.cfg.ColdBy)*age/c.cfg.ColdMs) * float64(c.cfg.Cores) * c.cfg.FallsMs
	if c.cfg.Falls > 0 && s.sum > c.cfg.Falls*capacity && !s.told {
		s.told = true
		proof := []Event{{At: started, What: "started", Pooler: -1, Server: server}}
		for _, x := range s.sent[max(0, len(s.sent)-maxProof+1):] {
			proof = append(proof, Event{At: x.at, What: "took", Pooler: -1, Server: server, Text: fmt.Sprintf("%.1f ms of work", x.work)})
		}
		c.breach(Breach{Rule: ColdSpared, At: at, ID: id, Server: server, Text: fmt.Sprintf("%.0f ms of work within %.0f ms, %.0f ms after its start; it stands %.0f ms",
			s.sum, c.cfg.FallsMs, age, c.cfg.Falls*capacity)}, proof)
	}
}

// Ran tells that a server worked on a request: what it made of it, and of which position its data is.
func (c *Checker) Ran(at float64, server int, id uint64, writes, primary bool, value uint64, position float64) {
	if writes {
		c.checked[PrimaryRan]++
		if !primary {
			c.breach(Breach{Rule: PrimaryRan, At: at, ID: id, Server: server, Text: "a write ran at a server that is not its group's primary"},
				[]Event{{At: at, What: "ran", Pooler: -1, Server: server}})
		}
	}
	q := c.open[id]
	if q == nil {
		return
	}
	sent := q.asked
	for i := range q.attempts {
		if q.attempts[i].server == server {
			sent = q.attempts[i].at
		}
	}
	times := 0
	for i := range q.ran {
		if q.ran[i].server >= 0 {
			times++
		}
	}
	q.ran = append(q.ran, ran{server, at, value, position, sent, primary})
	q.note(Event{At: at, What: "ran", Pooler: -1, Server: server, Text: fmt.Sprintf("data as of %.0f ms before", at-position)})
	if (q.class.Once || q.class.KeyMs > 0) && times > 0 {
		c.breach(Breach{Rule: NotTwice, At: at, ID: id, Server: server, Text: "it ran a second time"}, q.events)
	}
}

// Repeated tells that a server answered a keyed write's repeat, without running it again.
func (c *Checker) Repeated(at float64, server int, id uint64, value uint64, position float64) {
	if q := c.open[id]; q != nil {
		q.ran = append(q.ran, ran{server: -1, at: at, value: value, position: position, sent: q.asked})
		q.note(Event{At: at, What: "repeat dropped", Pooler: -1, Server: server})
	}
}
