package backend

import (
	"beechgrade/internal/decide"
	"beechgrade/internal/memory"
	"beechgrade/internal/protocol/pgwire"
)

// Data implements eventloop.Handler.
func (conn *conn) Data(data []byte) {
	if conn.state == idle { // these bytes would be read as part of the next answer
		conn.pool.log.Warn("server sent data without a request; connection closed", "server", conn.server.id, "bytes", len(data))
		conn.socket.Close()
		return
	}
	conn.reportWritten()
	conn.input.Borrow(data)
	for conn.state == startingUp || conn.state == busy || conn.state == streaming {
		message, ok, err := conn.answerReader.Next(&conn.input)
		if err != nil {
			conn.protocolViolated(err)
			return
		}
		if !ok {
			break
		}
		conn.handleMessage(message)
	}
	conn.input.Retain(0)
	conn.countBuffered()
	if conn.state == streaming {
		conn.paceStream()
		return
	}
	if conn.exceedsMemory() {
		conn.logAbandoned()
		conn.pool.abort(conn.attempt, decide.Failed)
		return
	}
	conn.boundAnswerPause()
}

// logAbandoned logs that the answer being received is abandoned, at most once in abandonedLogMs.
func (conn *conn) logAbandoned() {
	pool := conn.pool
	pool.abandoned++
	now := pool.loop.Now()
	if now < pool.nextAbandonedLogAt {
		return
	}
	pool.log.Warn("answer abandoned: answers being received exceed the memory limit", "server", conn.server.id, "bytes", conn.held.Bytes(),
		"total_bytes", pool.bufferedBytes, "since_last_line", pool.abandoned)
	pool.abandoned = 0
	pool.nextAbandonedLogAt = now + abandonedLogMs
}

// countBuffered updates the number of bytes that the connection's buffers take, here and in the account.
func (conn *conn) countBuffered() {
	bytes := 0
	if conn.state != closed {
		bytes = connBytes + conn.input.Allocated() + cap(conn.answer) + conn.socket.Allocated()
	}
	conn.pool.bufferedBytes += bytes - conn.held.Bytes()
	conn.held.Set(conn.pool.options.Account, memory.ServerAnswers, bytes)
}

// exceedsMemory reports whether the answer must be abandoned because the answers being received take too much memory. An answer of up
// to maxSmallAnswer bytes is never abandoned for that.
func (conn *conn) exceedsMemory() bool {
	if conn.attempt == nil || conn.held.Bytes() <= maxSmallAnswer {
		return false
	}
	account := conn.pool.options.Account
	return conn.pool.bufferedBytes > account.Limit()/memoryPart || account.Level() >= memory.EndLargest
}

// boundAnswerPause limits the pauses within an answer that has begun, because some connections stop delivering in the middle of one.
func (conn *conn) boundAnswerPause() {
	attempt, pool := conn.attempt, conn.pool
	if conn.state != busy || attempt == nil || conn.nothingReceived() {
		return
	}
	pause := float64(answerPauseMs)
	if attempt.AtMostOnce {
		pause = atMostOncePauseMs
	}
	pool.loop.StopTimer(conn.timer)
	conn.timer = pool.loop.At(pool.loop.Now()+pause, func() {
		pool.log.Debug("attempt aborted: too long a pause within its answer", "server", conn.server.id)
		pool.abort(attempt, decide.Failed)
	})
}

// nothingReceived reports whether no byte of the answer has been received.
func (conn *conn) nothingReceived() bool {
	return conn.answerReader.NothingReceived() && conn.input.Pending() == 0
}

// protocolViolated closes a connection on which the server sent an invalid message. The attempt on it fails, and may have run.
func (conn *conn) protocolViolated(err error) {
	conn.pool.log.Warn("server violated the protocol; connection closed", "server", conn.server.id, "err", err)
	if conn.attempt != nil {
		conn.pool.abort(conn.attempt, decide.Failed)
		return
	}
	conn.socket.Close()
}

// handleMessage handles the next message of the server.
func (conn *conn) handleMessage(message pgwire.Message) {
	switch message.Type {
	case pgwire.RowDescription, pgwire.CommandComplete:
		conn.answer = append(conn.answer, message.Raw...)
	case pgwire.DataRow:
		conn.handleDataRow(message)
	case pgwire.ParameterStatus:
		conn.handleParameter(message.Body)
	case pgwire.ReadyForQuery:
		conn.handleReadyForQuery()
	}
}

// handleDataRow handles a row, or the next part of one that is streamed.
func (conn *conn) handleDataRow(message pgwire.Message) {
	if message.Part && conn.stream != nil {
		conn.stream.Chunk(message.Raw)
		return
	}
	conn.answer = append(conn.answer, message.Raw...)
	if message.More {
		conn.beginStream(len(conn.answer) - len(message.Raw) + pgwire.MessageBytes(message.Raw))
		return
	}
	if conn.attempt != nil && conn.attempt.isHealthCheck() {
		conn.healthRow = append([]byte(nil), message.Body...)
	}
}

// handleReadyForQuery handles the server's ReadyForQuery message, which ends the startup or the current answer.
func (conn *conn) handleReadyForQuery() {
	switch {
	case conn.state == startingUp:
		conn.server.dialing--
		conn.ready()
	case conn.state == streaming && conn.stream != nil:
		stream, outcome := conn.stream, conn.outcome
		outcome.Result, outcome.Answer = conn.result(), conn.answer
		conn.stream, conn.answer = nil, nil
		conn.reportReplica(&outcome, false)
		conn.ready()
		stream.Ended(outcome)
	case conn.state == busy && conn.attempt != nil:
		conn.completeAnswer()
	}
}

// completeAnswer ends the attempt whose answer is complete.
func (conn *conn) completeAnswer() {
	pool, attempt, outcome := conn.pool, conn.attempt, conn.outcome
	pool.loop.StopTimer(conn.transmitTimer)
	pool.idleTimeout.Record(pool.loop.Now(), conn.idleFor, false)
	outcome.Result = conn.result()
	if outcome.Result == decide.OK {
		outcome.Answer = conn.answer
		if attempt.isHealthCheck() {
			outcome = pool.parseHealthReport(conn.healthRow)
		}
	}
	conn.attempt, attempt.conn = nil, nil
	conn.reportReplica(&outcome, attempt.isHealthCheck())
	conn.ready() // before the end is reported, because the receiver may start an attempt on the connection
	pool.finish(attempt, outcome)
	if cap(conn.answer) > maxIdleBuffer {
		conn.answer = nil
	}
	conn.countBuffered()
}

// reportReplica reports that the server is a replica before the connection gets the next attempt that waits for it.
func (conn *conn) reportReplica(outcome *Outcome, healthCheck bool) {
	if outcome.Role == decide.RoleReplica && len(conn.server.waiting) > 0 {
		conn.pool.events.ServerReportsReplica(conn.server.id, outcome.Report, healthCheck)
	}
}

// result derives the result from the messages received before ReadyForQuery.
func (conn *conn) result() decide.Result {
	if conn.answerReader.Code == "" && conn.answerReader.Served {
		return decide.OK
	}
	result, _ := RejectionResult(conn.answerReader.Code)
	return result
}
