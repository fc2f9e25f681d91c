package backend

import (
	"strconv"

	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/protocol/pgwire"
)

// Start begins an attempt at a server and returns its reference. The attempt times out by itself at its deadline.
func (pool *Pool) Start(id string, query Query, until float64, terms SendConditions, tag AttemptID) slotmap.Ref {
	attempt := &attempt{tag: tag, id: id, query: query, deadline: until, SendConditions: terms, server: pool.servers[id]}
	attempt.ref = pool.attempts.Put(attempt)
	pool.begin(attempt)
	return attempt.ref
}

// CheckHealth requests a load report from a server.
func (pool *Pool) CheckHealth(id string) {
	attempt := &attempt{id: id, deadline: pool.loop.Now() + pool.options.ConnectTimeoutMs, server: pool.servers[id]}
	attempt.ref = pool.attempts.Put(attempt)
	pool.begin(attempt)
}

// Cancel abandons an attempt. If its query has been written, the connection is closed, because the answer to it may still arrive.
func (pool *Pool) Cancel(ref slotmap.Ref) {
	if attempt, ok := pool.attempts.Get(ref); ok {
		pool.drop(attempt, decide.Cancelled)
	}
}

func (pool *Pool) begin(attempt *attempt) {
	server := attempt.server
	switch {
	case server == nil:
		pool.end(attempt, Outcome{Result: decide.Unreachable})
		return
	case attempt.TooLate(pool.loop.Now()):
		pool.end(attempt, Outcome{Result: decide.NotSent})
		return
	}
	attempt.endTimer = pool.loop.At(attempt.deadline, func() { pool.drop(attempt, decide.TimedOut) })
	connectBy := pool.loop.Now() + pool.options.ConnectTimeoutMs
	if attempt.WriteBefore > 0 {
		connectBy = min(connectBy, attempt.WriteBefore)
	}
	attempt.connectTimer = pool.loop.At(connectBy, func() {
		if attempt.conn == nil && server.dialing == 0 || attempt.TooLate(pool.loop.Now()) { // a lack of descriptors says nothing about the server
			pool.drop(attempt, decide.NotSent)
			return
		}
		pool.drop(attempt, decide.Unreachable)
	})
	for len(server.idle) > 0 {
		conn := server.idle[len(server.idle)-1]
		// The server may have closed the connection, and the loop may not have read that yet. A request written now would end
		// with a reset, and one that must not run twice could not be retried.
		if !conn.socket.OpenAndIdle() {
			conn.socket.Close()
			continue
		}
		if attempt.AtMostOnce && pool.loop.Now()-conn.since >= pool.wear.Limit() { // it is probably unusable
			break
		}
		if !attempt.mayGo(pool) {
			pool.drop(attempt, decide.NotSent)
			return
		}
		conn.carry(attempt)
		return
	}
	server.waiting = append(server.waiting, attempt)
	if server.dialing < len(server.waiting) {
		pool.dial(server)
	}
}

// drop ends an attempt by decision of the pooler rather than by its answer.
func (pool *Pool) drop(attempt *attempt, result decide.Result) {
	conn := attempt.conn
	if conn == nil && attempt.query != nil && result != decide.Unreachable && result != decide.Overloaded {
		result = decide.NotSent // it was never written
	}
	if conn != nil {
		if conn.reportWritten(); len(conn.unwritten) > 0 && result != decide.Overloaded {
			result = decide.NotSent // nor was it written whole
		}
		conn.stopPushing()
		conn.attempt = nil // before Close, which would report a reset
		pool.end(attempt, Outcome{Result: result})
		if conn.socket.Undelivered() > 0 { // a server that accepts nothing now must not get the rest later, when nobody waits for the answer
			conn.socket.Abort()
		} else {
			conn.socket.Close()
		}
		return
	}
	pool.unqueue(attempt)
	pool.end(attempt, Outcome{Result: result})
}

// Recall ends those attempts that wait for a connection to a server and that which selects, as no longer allowed.
func (pool *Pool) Recall(id string, which func(AttemptID) bool) {
	server := pool.servers[id]
	if server == nil {
		return
	}
	for i := 0; i < len(server.waiting); {
		if attempt := server.waiting[i]; attempt.query != nil && which(attempt.tag) {
			pool.drop(attempt, decide.NotSent)
			i = 0 // the end may have changed the list
			continue
		}
		i++
	}
}

func (pool *Pool) unqueue(attempt *attempt) {
	waiting := attempt.server.waiting
	for i := range waiting {
		if waiting[i] == attempt {
			attempt.server.waiting = append(waiting[:i:i], waiting[i+1:]...)
			return
		}
	}
}

// end removes an attempt and reports its end, at most once.
func (pool *Pool) end(attempt *attempt, outcome Outcome) {
	if _, ok := pool.attempts.Get(attempt.ref); !ok {
		return
	}
	pool.attempts.Remove(attempt.ref)
	pool.loop.StopTimer(attempt.endTimer)
	pool.loop.StopTimer(attempt.connectTimer)
	if attempt.conn != nil && attempt.conn.attempt == attempt {
		attempt.conn.attempt = nil
	}
	if attempt.query == nil {
		pool.events.HealthCheckEnded(attempt.id, outcome)
		return
	}
	pool.events.AttemptEnded(attempt.tag, outcome)
}

// position reports whether a position is plausible.
func (pool *Pool) position(ms float64) bool { return clock.Plausible(ms, pool.loop.Now()) }

func (pool *Pool) role(val string) decide.Role {
	switch val {
	case pool.options.Roles[0]:
		return decide.RolePrimary
	case pool.options.Roles[1]:
		return decide.RoleReplica
	}
	return decide.RoleUnknown
}

// report reads the row of a load report. An empty report, which a server sends before it has a first one, still shows that the
// server answers; a report that cannot be read is a failure.
func (pool *Pool) report(row []byte) Outcome {
	outcome := Outcome{Result: decide.OK}
	col, err := pgwire.Column(row)
	if err == nil && len(col) == 0 {
		return outcome
	}
	if outcome.Report = pool.load(string(col)); !outcome.HasPos {
		return Outcome{Result: decide.Failed}
	}
	return outcome
}

// load reads the text of a load report. It returns nothing unless position and role can both be read.
func (pool *Pool) load(text string) (report Report) {
	for name, val := range pgwire.Pairs(text) {
		number, err := strconv.ParseFloat(val, 64)
		switch {
		case err != nil:
		case name == "x0" && pool.position(number*1000): // rounded down to milliseconds, as the printed figure may have been rounded up
			report.Position, report.HasPos = clock.FromUnix(int64(number*1000)), true
		case name == "x1" && number == 1:
			report.Role = decide.RolePrimary
		case name == "x1" && number == 0:
			report.Role = decide.RoleReplica
		}
	}
	if !report.HasPos || report.Role == decide.RoleUnknown {
		return Report{}
	}
	return report
}
