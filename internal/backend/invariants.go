package backend

import (
	"fmt"
	"slices"

	"beechgrade/internal/invariant"
	"beechgrade/internal/slots"
)

// Check has statements about the connections made, once in so many calls; it is for between the loop's callbacks.
func (p *Pool) Check(c *invariant.Checks, every int) {
	c.Walk(&p.walks, every, "backend: the walk", p.walk)
}

// walk states that connections by server agree with the lists, and that each attempt is on one or waits for one.
func (p *Pool) walk(x *invariant.Checks) {
	p.attempts.Check(x, "backend: attempts")
	p.conns.Check(x, "backend: connections")
	idles, dials, held := map[*store]int{}, map[*store]int{}, 0
	p.conns.Each(func(ref slots.Ref, c *conn) {
		state := func() string {
			return fmt.Sprintf("%v to %s: state %d, carries %v, holds %d", ref, c.store.id, c.state, c.attempt != nil, c.held)
		}
		held += c.held
		switch c.state {
		case dialing, greeting:
			dials[c.store]++
		case idle:
			idles[c.store]++
			x.That(slices.Contains(c.store.idle, c), "backend: what idles is listed at its server", state)
		case busy:
			x.That(c.attempt != nil && c.attempt.conn == c, "backend: what is busy carries an attempt", state)
		case closed:
			x.That(false, "backend: nothing is kept of what is closed", state)
		}
		x.That(c.attempt == nil || c.state == busy, "backend: what carries an attempt is busy", state)
	})
	look := func(s *store) {
		x.That(len(s.idle) == idles[s] && s.dialing == dials[s], "backend: connections by server agree", func() string {
			return fmt.Sprintf("%s: %d listed idle, %d are; %d coming up, %d are", s.id, len(s.idle), idles[s], s.dialing, dials[s])
		})
		for i, a := range s.waiting {
			_, ok := p.attempts.Get(a.ref)
			x.That(ok && a.conn == nil && !slices.Contains(s.waiting[:i], a), "backend: what waits is an attempt without a connection, once", func() string {
				return fmt.Sprintf("%s: %v", s.id, a.ref)
			})
		}
	}
	for _, s := range p.stores {
		look(s)
		delete(idles, s)
		delete(dials, s)
	}
	for s := range idles { // of servers that are forgotten
		x.That(false, "backend: nothing idles at a server that is forgotten", func() string { return s.id })
	}
	p.attempts.Each(func(ref slots.Ref, a *attempt) {
		x.That(a.conn != nil && a.conn.attempt == a || a.conn == nil && a.store != nil && slices.Contains(a.store.waiting, a), "backend: an attempt is on a connection or waits", func() string {
			return fmt.Sprintf("%v at %s: on one %v", ref, a.id, a.conn != nil)
		})
	})
	x.That(held == p.held, "backend: memory of answers is counted", func() string { return fmt.Sprintf("%d, counted %d", held, p.held) })
}
