package backend

import (
	"fmt"
	"slices"

	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/invariant"
)

// Check checks the invariants of the pool, once in every calls. It must be called between the callbacks of the loop.
func (pool *Pool) Check(checks *invariant.Checks, every int) {
	checks.Walk(&pool.walks, every, "backend: the walk", pool.walk)
}

// walk checks that the connections agree with the lists of their servers, and that each attempt is on a connection or waits for
// one.
func (pool *Pool) walk(checks *invariant.Checks) {
	pool.attempts.Check(checks, "backend: attempts")
	pool.conns.Check(checks, "backend: connections")
	idles, dials, held := map[*server]int{}, map[*server]int{}, 0
	pool.conns.Each(func(ref slotmap.Ref, conn *conn) {
		state := func() string {
			return fmt.Sprintf("%v to %s: state %d, carries %v, holds %d", ref, conn.server.id, conn.state, conn.attempt != nil, conn.held)
		}
		held += conn.held
		switch conn.state {
		case dialing, greeting:
			dials[conn.server]++
		case idle:
			idles[conn.server]++
			checks.That(slices.Contains(conn.server.idle, conn), "backend: what idles is listed at its server", state)
		case busy:
			checks.That(conn.attempt != nil && conn.attempt.conn == conn, "backend: what is busy carries an attempt", state)
		case closed:
			checks.That(false, "backend: nothing is kept of what is closed", state)
		}
		checks.That(conn.attempt == nil || conn.state == busy, "backend: what carries an attempt is busy", state)
	})
	checkServer := func(server *server) {
		checks.That(len(server.idle) == idles[server] && server.dialing == dials[server], "backend: connections by server agree", func() string {
			return fmt.Sprintf("%s: %d listed idle, %d are; %d coming up, %d are", server.id, len(server.idle), idles[server], server.dialing, dials[server])
		})
		for i, attempt := range server.waiting {
			_, ok := pool.attempts.Get(attempt.ref)
			checks.That(ok && attempt.conn == nil && !slices.Contains(server.waiting[:i], attempt), "backend: what waits is an attempt without a connection, once", func() string {
				return fmt.Sprintf("%s: %v", server.id, attempt.ref)
			})
		}
	}
	for _, server := range pool.servers {
		checkServer(server)
		delete(idles, server)
		delete(dials, server)
	}
	for server := range idles { // servers that were forgotten
		checks.That(false, "backend: nothing idles at a server that is forgotten", func() string { return server.id })
	}
	pool.attempts.Each(func(ref slotmap.Ref, attempt *attempt) {
		checks.That(attempt.conn != nil && attempt.conn.attempt == attempt || attempt.conn == nil && attempt.server != nil && slices.Contains(attempt.server.waiting, attempt), "backend: an attempt is on a connection or waits", func() string {
			return fmt.Sprintf("%v at %s: on one %v", ref, attempt.id, attempt.conn != nil)
		})
	})
	checks.That(held == pool.held, "backend: memory of answers is counted", func() string { return fmt.Sprintf("%d, counted %d", held, pool.held) })
}
