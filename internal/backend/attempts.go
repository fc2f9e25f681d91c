package backend

import (
	"beechgrade/internal/backend/reuse"
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop/slotmap"
)

// Start begins an attempt at a server and returns its reference. The attempt times out by itself at its deadline.
func (pool *Pool) Start(serverID string, query Query, deadline float64, conditions SendConditions, id AttemptID) slotmap.Ref {
	attempt := &attempt{
		id:             id,
		serverID:       serverID,
		query:          query,
		deadline:       deadline,
		SendConditions: conditions,
		server:         pool.servers[serverID],
	}
	attempt.ref = pool.attempts.Put(attempt)
	pool.dispatch(attempt)
	return attempt.ref
}

// CheckHealth requests a load report from a server, within the connect timeout.
func (pool *Pool) CheckHealth(serverID string) {
	attempt := &attempt{
		serverID: serverID,
		deadline: pool.loop.Now() + pool.options.ConnectTimeoutMs,
		server:   pool.servers[serverID],
	}
	attempt.ref = pool.attempts.Put(attempt)
	pool.dispatch(attempt)
}

// Cancel abandons an attempt. If its query has been written, the connection is closed, because the answer to it may still arrive.
func (pool *Pool) Cancel(ref slotmap.Ref) {
	if attempt, ok := pool.attempts.Get(ref); ok {
		pool.abort(attempt, decide.Cancelled)
	}
}

// Recall ends, as not sent, those attempts that wait for a connection to a server and for which selects returns true.
func (pool *Pool) Recall(serverID string, selects func(AttemptID) bool) {
	server := pool.servers[serverID]
	if server == nil {
		return
	}
	for i := 0; i < len(server.waiting); {
		if attempt := server.waiting[i]; !attempt.isHealthCheck() && selects(attempt.id) {
			pool.abort(attempt, decide.NotSent)
			i = 0 // the callbacks may have changed the list
			continue
		}
		i++
	}
}

// dispatch sends an attempt on an idle connection, or queues it for the next one that is free.
func (pool *Pool) dispatch(attempt *attempt) {
	server := attempt.server
	switch {
	case server == nil:
		pool.finish(attempt, Outcome{Result: decide.Unreachable})
		return
	case attempt.TooLate(pool.loop.Now()):
		pool.finish(attempt, Outcome{Result: decide.NotSent})
		return
	}
	pool.startTimers(attempt)
	for len(server.idle) > 0 {
		conn := server.idle[len(server.idle)-1]
		// The server may have closed the connection, and the loop may not have read that yet. A request written now would end
		// with a reset, and one that must not run twice could not be retried.
		if reuse.Check(0, conn.input.Pending(), conn.socket) != reuse.Clean {
			conn.socket.Close()
			continue
		}
		if attempt.AtMostOnce && pool.loop.Now()-conn.freeSince >= pool.idleTimeout.Limit() { // the connection is probably unusable
			break
		}
		if !attempt.maySend(pool) {
			pool.abort(attempt, decide.NotSent)
			return
		}
		conn.startAttempt(attempt)
		return
	}
	server.waiting = append(server.waiting, attempt)
	pool.dialForWaiting(server)
}

// startTimers bounds an attempt by its deadline, and its wait for a connection by the connect timeout.
func (pool *Pool) startTimers(attempt *attempt) {
	attempt.endTimer = pool.loop.At(attempt.deadline, func() { pool.abort(attempt, decide.TimedOut) })
	connectBy := pool.loop.Now() + pool.options.ConnectTimeoutMs
	if attempt.WriteBefore > 0 {
		connectBy = min(connectBy, attempt.WriteBefore)
	}
	attempt.connectTimer = pool.loop.At(connectBy, func() {
		noDescriptor := attempt.conn == nil && attempt.server.dialing == 0 // a lack of this machine, which shows nothing about the server
		if noDescriptor || attempt.TooLate(pool.loop.Now()) {
			pool.abort(attempt, decide.NotSent)
			return
		}
		pool.abort(attempt, decide.Unreachable)
	})
}

// maySend reports whether an attempt may still be sent. A health check always may.
func (attempt *attempt) maySend(pool *Pool) bool {
	return attempt.isHealthCheck() || pool.events.MaySend(attempt.id)
}

// abort ends an attempt that has no complete answer, by a decision of the pooler. The result becomes NotSent if the server cannot have run
// the query.
func (pool *Pool) abort(attempt *attempt, result decide.Result) {
	conn := attempt.conn
	if conn == nil {
		if !attempt.isHealthCheck() && result != decide.Unreachable && result != decide.Overloaded {
			result = decide.NotSent // it was never written
		}
		pool.unqueue(attempt)
		pool.finish(attempt, Outcome{Result: result})
		return
	}
	conn.reportWritten()
	if len(conn.unwritten) > 0 && result != decide.Overloaded {
		result = decide.NotSent // the server cannot run an incomplete query
	}
	conn.stopWriting()
	conn.attempt = nil // before Close, which would report a reset
	pool.finish(attempt, Outcome{Result: result})
	if conn.socket.Undelivered() > 0 { // the server must not receive the rest of the query later, when nobody waits for the answer
		conn.socket.Abort()
		return
	}
	conn.socket.Close()
}

// unqueue removes an attempt from those that wait for a connection.
func (pool *Pool) unqueue(attempt *attempt) {
	waiting := attempt.server.waiting
	for i := range waiting {
		if waiting[i] == attempt {
			attempt.server.waiting = append(waiting[:i:i], waiting[i+1:]...)
			return
		}
	}
}

// finish removes an attempt and reports its end, at most once.
func (pool *Pool) finish(attempt *attempt, outcome Outcome) {
	if _, ok := pool.attempts.Get(attempt.ref); !ok {
		return
	}
	pool.attempts.Remove(attempt.ref)
	pool.loop.StopTimer(attempt.endTimer)
	pool.loop.StopTimer(attempt.connectTimer)
	if attempt.conn != nil && attempt.conn.attempt == attempt {
		attempt.conn.attempt = nil
	}
	if attempt.isHealthCheck() {
		pool.events.HealthCheckEnded(attempt.serverID, outcome)
		return
	}
	pool.events.AttemptEnded(attempt.id, outcome)
}
