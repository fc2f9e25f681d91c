package backend

import (
	"slices"
	"testing"

	"beechgrade/internal/invariant"
)

// TestBrokenInvariantsAreReported: each invariant of the pool must be found broken after one change of its state.
func TestBrokenInvariantsAreReported(t *testing.T) {
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
		{"backend: an idle connection is listed at its server", func(x parts) { x.s.idle = nil }},
		{"backend: a busy connection has an attempt", func(x parts) { x.busy.attempt = nil }},
		{"backend: a connection with an attempt is busy", func(x parts) { x.idle.attempt = x.carried }},
		{"backend: closed connections are removed", func(x parts) { x.idle.state = closed }},
		{"backend: connections are counted by server", func(x parts) { x.s.dialing++ }},
		{"backend: connections are counted by server", func(x parts) { x.s.idle = append(x.s.idle, x.idle) }},
		{"backend: each waiting attempt is open, without a connection, and listed once", func(x parts) { x.s.waiting = append(x.s.waiting, x.waits) }},
		{"backend: each waiting attempt is open, without a connection, and listed once", func(x parts) { x.p.attempts.Remove(x.waits.ref) }},
		{"backend: an attempt is on a connection or waits for one", func(x parts) { x.s.waiting = nil }},
		{"backend: no connection to a forgotten server is idle", func(x parts) { delete(x.p.servers, "s") }},
		{"backend: memory of answers is counted", func(x parts) { x.p.bufferedBytes++ }},
	} {
		pool := &Pool{servers: map[string]*server{}}
		x := parts{p: pool, s: &server{id: "s"}}
		pool.servers["s"] = x.s
		put := func(st connState) *conn {
			conn := &conn{pool: pool, server: x.s, state: st}
			conn.ref = pool.conns.Put(conn)
			return conn
		}
		x.idle, x.busy, x.dialing = put(idle), put(busy), put(dialing)
		x.carried, x.waits = &attempt{serverID: "s", server: x.s, conn: x.busy}, &attempt{serverID: "s", server: x.s}
		x.busy.attempt = x.carried
		for _, attempt := range []*attempt{x.carried, x.waits} {
			attempt.ref = pool.attempts.Put(attempt)
		}
		x.s.idle, x.s.waiting, x.s.dialing = []*conn{x.idle}, []*attempt{x.waits}, 1
		c := invariant.New(nil)
		if pool.checkAll(c); len(c.Breaches()) > 0 {
			t.Errorf("without: %v", c.Breaches())
		}
		m.poke(x)
		pool.checkAll(c)
		if !slices.ContainsFunc(c.Breaches(), func(b invariant.Breach) bool { return b.Name == m.name }) {
			t.Errorf("%q is not seen: %v", m.name, c.Breaches())
		}
	}
}
