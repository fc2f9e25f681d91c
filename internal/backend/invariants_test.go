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
		onConn, waiting     *attempt
	}
	for _, test := range []struct {
		name   string
		mutate func(x parts)
	}{
		{"backend: an idle connection is listed at its server", func(x parts) { x.s.idle = nil }},
		{"backend: a busy connection has an attempt", func(x parts) { x.busy.attempt = nil }},
		{"backend: a connection with an attempt is busy", func(x parts) { x.idle.attempt = x.onConn }},
		{"backend: closed connections are removed", func(x parts) { x.idle.state = closed }},
		{"backend: connections are counted by server", func(x parts) { x.s.dialing++ }},
		{"backend: connections are counted by server", func(x parts) { x.s.idle = append(x.s.idle, x.idle) }},
		{"backend: each waiting attempt is open, without a connection, and listed once", func(x parts) { x.s.waiting = append(x.s.waiting, x.waiting) }},
		{"backend: each waiting attempt is open, without a connection, and listed once", func(x parts) { x.p.attempts.Remove(x.waiting.ref) }},
		{"backend: an attempt is on a connection or waits for one", func(x parts) { x.s.waiting = nil }},
		{"backend: no connection to a forgotten server is idle", func(x parts) { delete(x.p.servers, "s") }},
		{"backend: memory of answers is counted", func(x parts) { x.p.bufferedBytes++ }},
	} {
		pool := &Pool{servers: map[string]*server{}}
		state := parts{p: pool, s: &server{id: "s"}}
		pool.servers["s"] = state.s
		put := func(st connState) *conn {
			conn := &conn{pool: pool, server: state.s, state: st}
			conn.ref = pool.conns.Put(conn)
			return conn
		}
		state.idle, state.busy, state.dialing = put(idle), put(busy), put(dialing)
		state.onConn, state.waiting = &attempt{serverID: "s", server: state.s, conn: state.busy}, &attempt{serverID: "s", server: state.s}
		state.busy.attempt = state.onConn
		for _, attempt := range []*attempt{state.onConn, state.waiting} {
			attempt.ref = pool.attempts.Put(attempt)
		}
		state.s.idle, state.s.waiting, state.s.dialing = []*conn{state.idle}, []*attempt{state.waiting}, 1
		checks := invariant.New(nil)
		if pool.checkAll(checks); len(checks.Breaches()) > 0 {
			t.Errorf("%q: broken before the change: %v", test.name, checks.Breaches())
		}
		test.mutate(state)
		pool.checkAll(checks)
		if !slices.ContainsFunc(checks.Breaches(), func(b invariant.Breach) bool { return b.Name == test.name }) {
			t.Errorf("%q is not reported: %v", test.name, checks.Breaches())
		}
	}
}
