package backend

import (
	"fmt"
	"slices"

	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/invariant"
)

// Check checks the invariants of the pool on every n-th call, n being every. It must be called between the callbacks of the loop.
func (pool *Pool) Check(checks *invariant.Checks, every int) {
	checks.Walk(&pool.checkCalls, every, "backend: all", pool.checkAll)
}

// connCounts counts the connections in the table, by server and state, and the bytes that they buffer.
type connCounts struct {
	idle, dialing map[*server]int
	bufferedBytes int
}

// checkAll checks that the connections agree with the lists of their servers, and that each attempt is on a connection or waits for
// one.
func (pool *Pool) checkAll(checks *invariant.Checks) {
	pool.attempts.Check(checks, "backend: attempts")
	pool.conns.Check(checks, "backend: connections")
	counts := connCounts{idle: map[*server]int{}, dialing: map[*server]int{}}
	pool.conns.Each(func(ref slotmap.Ref, conn *conn) { conn.check(checks, ref, &counts) })
	for _, server := range pool.servers {
		server.check(checks, pool, counts)
		delete(counts.idle, server)
		delete(counts.dialing, server)
	}
	for server := range counts.idle { // only servers that were forgotten remain
		checks.That(false, "backend: no connection to a forgotten server is idle", func() string { return server.id })
	}
	pool.attempts.Each(func(ref slotmap.Ref, attempt *attempt) {
		checks.That(attempt.onConnection() || attempt.isQueued(), "backend: an attempt is on a connection or waits for one", func() string {
			return fmt.Sprintf("%v at %s: has a connection: %v", ref, attempt.serverID, attempt.conn != nil)
		})
	})
	checks.That(counts.bufferedBytes == pool.bufferedBytes, "backend: memory of answers is counted", func() string {
		return fmt.Sprintf("%d bytes, counted %d", counts.bufferedBytes, pool.bufferedBytes)
	})
}

// onConnection reports whether the attempt is on a connection that refers back to it.
func (attempt *attempt) onConnection() bool {
	return attempt.conn != nil && attempt.conn.attempt == attempt
}

// isQueued reports whether the attempt waits for a connection.
func (attempt *attempt) isQueued() bool {
	return attempt.conn == nil && attempt.server != nil && slices.Contains(attempt.server.waiting, attempt)
}

// check checks a connection, and adds it to counts.
func (conn *conn) check(checks *invariant.Checks, ref slotmap.Ref, counts *connCounts) {
	state := func() string {
		return fmt.Sprintf("%v to %s: %v, has an attempt: %v, buffers %d bytes", ref, conn.server.id, conn.state, conn.attempt != nil, conn.held.Bytes())
	}
	counts.bufferedBytes += conn.held.Bytes()
	switch conn.state {
	case dialing, startingUp:
		counts.dialing[conn.server]++
	case idle:
		counts.idle[conn.server]++
		checks.That(slices.Contains(conn.server.idle, conn), "backend: an idle connection is listed at its server", state)
	case busy:
		checks.That(conn.attempt != nil && conn.attempt.conn == conn, "backend: a busy connection has an attempt", state)
	case closed:
		checks.That(false, "backend: closed connections are removed", state)
	}
	checks.That(conn.attempt == nil || conn.state == busy, "backend: a connection with an attempt is busy", state)
}

// check checks the lists of a server against the counted connections.
func (server *server) check(checks *invariant.Checks, pool *Pool, counts connCounts) {
	agree := len(server.idle) == counts.idle[server] && server.dialing == counts.dialing[server]
	checks.That(agree, "backend: connections are counted by server", func() string {
		return fmt.Sprintf("%s: %d listed as idle, %d are; %d counted as being opened, %d are",
			server.id, len(server.idle), counts.idle[server], server.dialing, counts.dialing[server])
	})
	for i, attempt := range server.waiting {
		_, ok := pool.attempts.Get(attempt.ref)
		once := !slices.Contains(server.waiting[:i], attempt)
		checks.That(ok && attempt.conn == nil && once, "backend: each waiting attempt is open, without a connection, and listed once", func() string {
			return fmt.Sprintf("%s: %v", server.id, attempt.ref)
		})
	}
}
