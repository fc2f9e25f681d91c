package backend

import (
	"slices"
	"testing"

	"beechgrade/internal/invariant"
)

// TestInvariantMutants: each invariant of the pool must be found broken after one change of its state.
func TestInvariantMutants(t *testing.T) {
	type parts struct {
		p                   *Pool
		s                   *server
		idle, busy, dialing *conn
		carried, waits      *attempt
	}
	for _, m := range []struct {
		name string
		poke func(x parts)
	}{
		{"backend: what idles is listed at its server", func(x parts) { x.s.idle = nil }},
		{"backend: what is busy carries an attempt", func(x parts) { x.busy.attempt = nil }},
		{"backend: what carries an attempt is busy", func(x parts) { x.idle.attempt = x.carried }},
		{"backend: nothing is kept of what is closed", func(x parts) { x.idle.state = closed }},
		{"backend: connections by server agree", func(x parts) { x.s.dialing++ }},
		{"backend: connections by server agree", func(x parts) { x.s.idle = append(x.s.idle, x.idle) }},
		{"backend: what waits is an attempt without a connection, once", func(x parts) { x.s.waiting = append(x.s.waiting, x.waits) }},
		{"backend: what waits is an attempt without a connection, once", func(x parts) { x.p.attempts.Remove(x.waits.ref) }},
		{"backend: an attempt is on a connection or waits", func(x parts) { x.s.waiting = nil }},
		{"backend: nothing idles at a server that is forgotten", func(x parts) { delete(x.p.servers, "s") }},
		{"backend: memory of answers is counted", func(x parts) { x.p.held++ }},
	} {
		pool := &Pool{servers: map[string]*server{}}
		x := parts{p: pool, s: &server{id: "s"}}
		pool.servers["s"] = x.s
		put := func(st state) *conn {
			conn := &conn{pool: pool, server: x.s, state: st}
			conn.ref = pool.conns.Put(conn)
			return conn
		}
		x.idle, x.busy, x.dialing = put(idle), put(busy), put(dialing)
		x.carried, x.waits = &attempt{id: "s", server: x.s, conn: x.busy}, &attempt{id: "s", server: x.s}
		x.busy.attempt = x.carried
		for _, attempt := range []*attempt{x.carried, x.waits} {
			attempt.ref = pool.attempts.Put(attempt)
		}
		x.s.idle, x.s.waiting, x.s.dialing = []*conn{x.idle}, []*attempt{x.waits}, 1
		c := invariant.New(nil)
		if pool.walk(c); len(c.Breaches()) > 0 {
			t.Errorf("without: %v", c.Breaches())
		}
		m.poke(x)
		pool.walk(c)
		if !slices.ContainsFunc(c.Breaches(), func(b invariant.Breach) bool { return b.Name == m.name }) {
			t.Errorf("%q is not seen: %v", m.name, c.Breaches())
		}
	}
}
