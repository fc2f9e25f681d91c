package backend

import (
	"beechgrade/internal/backend/reuse"
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop"
	"beechgrade/internal/protocol/pgwire"
)

// Opened implements eventloop.Handler.
func (conn *conn) Opened(socket *eventloop.Conn) {
	conn.socket = socket
	if conn.state == closed { // the connect timeout ended it while it was being opened
		socket.Close()
		return
	}
	conn.state = startingUp
	conn.countBuffered()
	_ = socket.Write(pgwire.AppendStartup(nil, conn.pool.options.User, conn.pool.options.Database))
}

// ready gives the connection to the next waiting attempt, or makes it idle.
func (conn *conn) ready() {
	conn.state = idle
	conn.freeSince = conn.pool.loop.Now()
	if !conn.reusable() {
		conn.socket.Close()
		return
	}
	pool := conn.pool
	for len(conn.server.waiting) > 0 {
		attempt := conn.server.waiting[0]
		if !attempt.maySend(pool) {
			pool.abort(attempt, decide.NotSent)
			continue
		}
		conn.server.waiting = conn.server.waiting[1:]
		conn.startAttempt(attempt)
		return
	}
	pool.idleSeq++
	conn.idleNumber = pool.idleSeq
	conn.server.idle = append(conn.server.idle, conn)
	pool.loop.StopTimer(conn.timer)
	conn.timer = pool.loop.At(pool.loop.Now()+pool.options.IdleMs, conn.socket.Close)
}

// reusable reports whether another query may be sent on the connection.
func (conn *conn) reusable() bool {
	if conn.addr != conn.server.addr { // another server may listen at the old address
		return false
	}
	return reuse.Check(len(conn.unwritten), conn.input.Pending(), conn.socket) == reuse.Clean
}

// removeIdle removes the connection from the idle ones of its server.
func (conn *conn) removeIdle() {
	idle := conn.server.idle
	for i := len(idle) - 1; i >= 0; i-- {
		if idle[i] == conn {
			conn.server.idle = append(idle[:i], idle[i+1:]...)
			return
		}
	}
}

// Closed implements eventloop.Handler.
func (conn *conn) Closed(error) {
	pool := conn.pool
	previous, unsent := conn.state, conn.socket.DiscardUnsent()
	switch previous {
	case closed:
		return
	case startingUp:
		conn.closedDuringStartup()
		return
	}
	conn.reportWritten()
	conn.stopWriting()
	conn.state = closed
	conn.countBuffered()
	pool.loop.StopTimer(conn.timer)
	pool.conns.Remove(conn.ref)
	conn.removeIdle()
	if stream := conn.stream; stream != nil {
		conn.stream = nil
		stream.Ended(Outcome{Result: decide.Reset, Report: conn.outcome.Report, Load: conn.outcome.Load})
	}
	if conn.attempt != nil {
		conn.endBrokenAttempt(unsent)
	}
	pool.dialForWaiting(conn.server)
}

// endBrokenAttempt ends the attempt on a connection that was closed with the given number of bytes unsent.
func (conn *conn) endBrokenAttempt(unsent int) {
	pool, attempt := conn.pool, conn.attempt
	attempt.conn = nil
	if conn.answerReader.NothingReceived() && pool.loop.Now()-conn.writtenAt <= brokenSoonMs {
		pool.idleTimeout.Record(pool.loop.Now(), conn.idleFor, true)
	}
	result := decide.Reset
	// If the loop has dropped its output buffer, unsent is 0 and the attempt counts as one that may have run: the safe assumption.
	if !conn.fullyWritten || unsent > 0 { // its last byte was never sent, so it cannot have run
		result = decide.Unreachable
	}
	if rejection, ok := RejectionResult(conn.answerReader.Code); ok && rejection == decide.Overloaded {
		result = rejection
	}
	pool.finish(attempt, Outcome{Result: result, Report: conn.outcome.Report})
}

// closedDuringStartup handles a connection that was closed while it was being established. A server that has
// too many connections sends an error with CodeTooManyClients first.
func (conn *conn) closedDuringStartup() {
	waiting := conn.server.waiting
	tooManyClients := conn.answerReader.Code == CodeTooManyClients
	if tooManyClients && len(waiting) >= conn.server.dialing && len(waiting) > 0 {
		conn.pool.unqueue(waiting[0])
		defer conn.pool.finish(waiting[0], Outcome{Result: decide.Overloaded})
	}
	conn.failed(decide.Unreachable)
}
