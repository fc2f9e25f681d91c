package backend

import (
	"strconv"

	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/protocol/pgwire"
)

// stopPushing stops writing the query of the current attempt.
func (conn *conn) stopPushing() {
	conn.unwritten = nil
	conn.pool.loop.StopTimer(conn.pushTimer)
	conn.pool.loop.StopTimer(conn.leaveTimer)
}

// reportWritten reports, once, that the last byte of the current attempt has been sent.
func (conn *conn) reportWritten() {
	if attempt := conn.attempt; attempt != nil && attempt.query != nil && !attempt.written && conn.handedOver && conn.socket.Unsent() == 0 {
		attempt.written = true
		conn.pool.events.AttemptWritten(attempt.tag)
	}
}

// Data implements loop.Handler.
func (conn *conn) Data(data []byte) {
	if conn.state == idle { // no request is open: these bytes would be taken for the next answer
		conn.pool.log.Warn("server sent what was not asked for", "store", conn.server.id, "bytes", len(data))
		conn.socket.Close()
		return
	}
	conn.reportWritten()
	conn.input.Feed(data)
	for conn.state == greeting || conn.state == busy || conn.state == passing {
		message, ok, err := conn.reading.Next(&conn.input)
		if err != nil {
			conn.protocolBroken(err)
			return
		}
		if !ok {
			break
		}
		conn.message(message)
	}
	conn.countHeld()
	if conn.state == passing {
		conn.pace()
		return
	}
	if pool := conn.pool; conn.attempt != nil && conn.held > keepAnswer && pool.held > pool.options.Memory()/heldPart {
		pool.log.Warn("no memory for an answer", "store", conn.server.id, "bytes", conn.held, "all", pool.held)
		pool.drop(conn.attempt, decide.Failed)
		return
	}
	conn.boundPause()
}

// countHeld updates the number of bytes held for answers, here and in the pool.
func (conn *conn) countHeld() {
	held := 0
	if conn.state == busy && conn.attempt != nil {
		held = conn.input.Pending() + len(conn.answer)
	}
	conn.pool.held += held - conn.held
	conn.held = held
}

// boundPause limits the pauses within an answer that has begun, because some connections fall silent in the middle of one.
func (conn *conn) boundPause() {
	attempt, pool := conn.attempt, conn.pool
	if conn.state != busy || attempt == nil || conn.reading.NothingReceived() && conn.input.Pending() == 0 {
		return
	}
	left := float64(pauseMs)
	if attempt.AtMostOnce {
		left = pauseOnceMs
	}
	pool.loop.StopTimer(conn.timer)
	conn.timer = pool.loop.At(pool.loop.Now()+left, func() {
		pool.log.Debug("an answer stopped short", "store", conn.server.id)
		pool.drop(attempt, decide.Failed)
	})
}

// protocolBroken closes a connection whose server sent something invalid. The attempt on it has failed and may have run.
func (conn *conn) protocolBroken(err error) {
	conn.pool.log.Warn("server broke the protocol", "store", conn.server.id, "err", err)
	if conn.attempt != nil {
		conn.pool.drop(conn.attempt, decide.Failed)
		return
	}
	conn.socket.Close()
}

// beginPassing streams the answer from now on, starting with what was received of it.
func (conn *conn) beginPassing() {
	pool, attempt := conn.pool, conn.attempt
	if attempt == nil || attempt.query == nil {
		conn.protocolBroken(pgwire.ErrMalformed) // a load report is never long
		return
	}
	pool.wear.Record(pool.loop.Now(), conn.restedFor, false)
	conn.state, conn.attempt, attempt.conn = passing, nil, nil
	pool.loop.StopTimer(conn.leaveTimer)
	pool.attempts.Remove(attempt.ref)
	pool.loop.StopTimer(attempt.endTimer)
	pool.loop.StopTimer(attempt.connectTimer)
	stop := func() {
		if conn.state == passing {
			conn.flow = nil
			conn.socket.Close()
		}
	}
	if conn.flow = pool.events.AnswerStreams(attempt.tag, stop); conn.flow == nil {
		stop()
		return
	}
	conn.flow.Chunk(conn.answer)
	conn.answer = nil
}

// pace stops reading from the connection while the Flow has no capacity, so that the rest of the answer stays at the server.
func (conn *conn) pace() {
	pool := conn.pool
	pool.loop.StopTimer(conn.timer)
	if conn.flow == nil {
		return
	}
	if conn.flow.HasCapacity() {
		if conn.socket.ReadingPaused() {
			conn.socket.ResumeReading()
		}
		conn.timer = pool.loop.At(pool.loop.Now()+silentMs, func() {
			pool.log.Debug("a long value stopped short", "store", conn.server.id)
			conn.socket.Close()
		})
		return
	}
	conn.socket.PauseReading()
	conn.timer = pool.loop.At(pool.loop.Now()+capacityMs, conn.pace)
}

func (conn *conn) message(message pgwire.Message) {
	switch message.Type {
	case 'T', 'C':
		conn.answer = append(conn.answer, message.Raw...)
	case 'D':
		if message.Part && conn.flow != nil {
			conn.flow.Chunk(message.Raw)
			return
		}
		conn.answer = append(conn.answer, message.Raw...)
		if message.More {
			conn.beginPassing()
			return
		}
		if conn.attempt != nil && conn.attempt.query == nil {
			conn.probeRow = append([]byte(nil), message.Body...)
		}
	case 'S':
		conn.parameter(message.Body)
	case 'Z':
		conn.readyForQuery()
	}
}

func (conn *conn) parameter(body []byte) {
	name, val, err := pgwire.Parameter(body)
	if err != nil {
		return
	}
	switch name { // the first valid value counts
	case "role":
		if conn.outcome.Role == decide.RoleUnknown {
			conn.outcome.Role = conn.pool.role(val)
		}
	case "load":
		if conn.outcome.Load == (Report{}) {
			conn.outcome.Load = conn.pool.load(val)
		}
	case conn.pool.options.PositionName:
		if ms, err := strconv.ParseInt(val, 10, 64); err == nil && !conn.outcome.HasPos && conn.pool.position(clock.FromUnix(ms)) {
			conn.outcome.Position, conn.outcome.HasPos = clock.FromUnix(ms), true
		}
	}
}

// readyForQuery handles the server's ReadyForQuery message, which ends the startup or the current answer.
func (conn *conn) readyForQuery() {
	pool := conn.pool
	switch {
	case conn.state == greeting:
		conn.server.dialing--
		conn.ready()
	case conn.state == passing && conn.flow != nil:
		flow, answer, whole := conn.flow, conn.answer, conn.result() == decide.OK
		conn.flow, conn.answer = nil, nil
		conn.ready()
		flow.Ended(answer, whole)
	case conn.state == busy && conn.attempt != nil:
		attempt, outcome := conn.attempt, conn.outcome
		pool.loop.StopTimer(conn.leaveTimer)
		pool.wear.Record(pool.loop.Now(), conn.restedFor, false)
		outcome.Result = conn.result()
		if outcome.Result == decide.OK {
			outcome.Answer = conn.answer
			if attempt.query == nil {
				outcome = pool.report(conn.probeRow)
			}
		}
		conn.attempt, attempt.conn = nil, nil
		if outcome.Role == decide.RoleReplica && len(conn.server.waiting) > 0 {
			pool.events.ServerReportsReplica(conn.server.id, outcome.Report, attempt.query == nil)
		}
		// The connection is made free first, because the receiver of the end may want to use it.
		conn.ready()
		pool.end(attempt, outcome)
		if cap(conn.answer) > keepAnswer {
			conn.answer = nil
		}
	}
}

// result derives the result from the messages received before ReadyForQuery.
func (conn *conn) result() decide.Result {
	switch conn.reading.Code {
	case "":
		if conn.reading.Served {
			return decide.OK
		}
	case "25006", "72000":
		return decide.Misdirected
	case "53300", "57P03":
		return decide.Overloaded
	}
	return decide.Failed
}
