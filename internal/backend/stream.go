package backend

import (
	"beechgrade/internal/eventloop"
	"beechgrade/internal/memory"
	"beechgrade/internal/protocol/pgwire"
)

// beginStream streams the answer from now on, starting with what has been received of it. bytes is its length, without what follows its row. The
// attempt ends as served.
func (conn *conn) beginStream(bytes int) {
	pool, attempt := conn.pool, conn.attempt
	if attempt == nil || attempt.isHealthCheck() {
		conn.protocolViolated(pgwire.ErrMalformed) // a load report is never so long that it is streamed
		return
	}
	pool.idleTimeout.Record(pool.loop.Now(), conn.idleFor, false)
	conn.state, conn.attempt, attempt.conn = streaming, nil, nil
	conn.streamingSince = pool.loop.Now()
	pool.loop.StopTimer(conn.transmitTimer)
	pool.attempts.Remove(attempt.ref)
	pool.loop.StopTimer(attempt.endTimer)
	pool.loop.StopTimer(attempt.connectTimer)
	stop := func() {
		if conn.state == streaming {
			conn.stream = nil
			conn.socket.Close()
		}
	}
	conn.stream = pool.events.AnswerStreams(attempt.id, bytes, stop)
	if conn.stream == nil {
		stop()
		return
	}
	conn.stream.Chunk(conn.answer)
	conn.answer = nil
}

// paceStream stops reading from the connection while the stream has no capacity, so that the rest of the answer stays at the server.
func (conn *conn) paceStream() {
	pool := conn.pool
	pool.loop.StopTimer(conn.timer)
	if conn.stream == nil {
		return
	}
	conn.limitReads()
	if !conn.stream.HasCapacity() {
		conn.socket.PauseReading()
		conn.timer = pool.loop.At(pool.loop.Now()+capacityCheckMs, conn.paceStream)
		return
	}
	if conn.socket.ReadingPaused() {
		conn.socket.ResumeReading()
	}
	conn.timer = pool.loop.At(pool.loop.Now()+streamPauseMs, func() {
		pool.log.Debug("connection closed: too long a pause within a streamed answer", "server", conn.server.id)
		conn.socket.Close()
	})
}

// limitReads sets how much is read at once. An answer that arrives whole needs no buffer; what is read of a streamed one is passed on, whether its
// receiver has capacity or not.
func (conn *conn) limitReads() {
	short := conn.pool.options.Account.Level() >= memory.HoldReading
	limit := eventloop.LargestRead
	switch {
	case conn.state == streaming && short:
		limit = shortRead
	case conn.state == streaming, short:
		limit = eventloop.SmallReads
	}
	conn.socket.LimitReads(limit)
}
