package backend

import (
	"math"
	"strconv"

	"beechgrade/internal/decide"
	"beechgrade/internal/protocol/pgwire"
)

// decimalBase is the base of the numbers in messages.
const decimalBase = 10

// healthQuery is answered with a row that holds a load report.
const healthQuery = "SHOW load"

// startAttempt writes the query of an attempt to the connection, which is busy from then on.
func (conn *conn) startAttempt(attempt *attempt) {
	pool := conn.pool
	conn.removeIdle()
	pool.loop.StopTimer(conn.timer)
	pool.loop.StopTimer(attempt.connectTimer)
	conn.state, conn.attempt, attempt.conn = busy, attempt, conn
	conn.answerReader, conn.answer, conn.healthRow, conn.outcome = pgwire.ExpectAnswer(), conn.answer[:0], nil, Outcome{}
	conn.limitReads()
	conn.prepareQuery(attempt)
	conn.writtenAt = pool.loop.Now()
	conn.idleFor = conn.writtenAt - conn.freeSince
	conn.fullyWritten = false // set only after the write: a failed write closes the connection, whose end depends on it, before it returns
	if conn.unwritten != nil {
		conn.writeRemaining()
		return
	}
	if conn.socket.Write(pool.scratch) == nil {
		conn.boundTransmission()
		conn.fullyWritten = true
		conn.reportWritten()
	}
}

// prepareQuery puts the query of an attempt into conn.unwritten if it is long, and into the pool's scratch buffer otherwise.
func (conn *conn) prepareQuery(attempt *attempt) {
	pool := conn.pool
	if attempt.isHealthCheck() {
		pool.scratch = pgwire.AppendQuery(pool.scratch[:0], healthQuery)
		return
	}
	remaining := attempt.remainingMs(pool.loop.Now())
	if long, ok := attempt.query.(LongQuery); ok {
		wait := 0
		conn.unwritten, wait = long.QueryParts(digitReserve(remaining))
		conn.partsFromWait = len(conn.unwritten) - wait
	}
	if conn.unwritten == nil {
		pool.scratch = attempt.query.AppendQuery(pool.scratch[:0], remaining)
	}
}

// remainingMs returns how many milliseconds remain until the deadline of the attempt, at least 1.
func (attempt *attempt) remainingMs(now float64) int {
	return int(max(1, math.Floor(attempt.deadline-now)))
}

// digitReserve returns a number with as many digits as the remaining time is expected to have when its part of a long message is
// written. The length of the message is sent first, so the number of digits must be chosen before.
func digitReserve(remainingMs int) int {
	soon := strconv.Itoa(max(1, remainingMs-digitReserveMs))
	if len(soon) < len(strconv.Itoa(remainingMs)) {
		return largestNumber(len(soon))
	}
	return remainingMs
}

// largestNumber returns the largest number with that many digits.
func largestNumber(digits int) int {
	number := 0
	for range digits {
		number = decimalBase*number + decimalBase - 1
	}
	return number
}

// writeRemaining writes as much of a long query as the server accepts. The part that holds the remaining time, and those after it, are
// written only when all earlier parts have been transmitted, so that the number is still correct when the server reads it.
func (conn *conn) writeRemaining() {
	for len(conn.unwritten) > 0 && conn.socket.Unsent() < maxUnsent {
		holdsWait := len(conn.unwritten) == conn.partsFromWait
		if holdsWait && conn.socket.Untransmitted() > 0 {
			break
		}
		if holdsWait && !conn.updateWait() {
			return
		}
		if conn.socket.Write(conn.nextPiece()) != nil || conn.state != busy {
			return
		}
		conn.writtenAt = conn.pool.loop.Now()
		if holdsWait {
			conn.boundTransmission()
		}
	}
	if len(conn.unwritten) > 0 {
		now, pause := conn.pool.loop.Now(), float64(capacityCheckMs)
		if now-conn.writtenAt < capacityCheckMs {
			pause = soonCheckMs
		}
		conn.writeTimer = conn.pool.loop.At(now+pause, conn.writeRemaining)
		return
	}
	conn.unwritten = nil
	conn.fullyWritten = true
	conn.reportWritten()
}

// nextPiece removes and returns the next bytes of a long query, up to the part that holds the remaining time.
func (conn *conn) nextPiece() []byte {
	piece := conn.pool.scratch[:0]
	for len(conn.unwritten) > 0 && len(piece) < writePiece {
		count := min(len(conn.unwritten[0]), writePiece-len(piece))
		piece = append(piece, conn.unwritten[0][:count]...)
		conn.unwritten[0] = conn.unwritten[0][count:]
		if conn.unwritten[0] != "" {
			break
		}
		conn.unwritten = conn.unwritten[1:]
		if len(conn.unwritten) == conn.partsFromWait {
			break
		}
	}
	conn.pool.scratch = piece
	return piece
}

// updateWait asks again whether a long query may be sent before its end is written, and sets the part that holds the remaining time. The server
// runs a query only after its last byte, and a slow server may have taken long to accept the earlier parts. It reports whether
// the query may be continued. The length of the message has been sent already: if the remaining time now has fewer digits, the
// attempt ends as not sent so that another one can be made.
func (conn *conn) updateWait() bool {
	pool, attempt := conn.pool, conn.attempt
	wait := min(attempt.remainingMs(pool.loop.Now()), largestNumber(len(conn.unwritten[0])))
	if text := strconv.Itoa(wait); attempt.maySend(pool) && len(text) == len(conn.unwritten[0]) {
		conn.unwritten[0] = text
		return true
	}
	pool.abort(attempt, decide.NotSent)
	return false
}

// boundTransmission is called after the part that holds the remaining time was written. If the system still buffers some of it, the
// attempt is aborted unless all is transmitted within transmitMs, because the server would read a number that is too large. A query
// that was written completely may have run, as the server may read it just before the reset.
func (conn *conn) boundTransmission() {
	pool, attempt := conn.pool, conn.attempt
	if attempt == nil || attempt.isHealthCheck() || !conn.untransmitted() {
		return
	}
	pool.loop.StopTimer(conn.transmitTimer)
	conn.transmitTimer = pool.loop.At(pool.loop.Now()+transmitMs, func() {
		if conn.attempt == attempt && conn.untransmitted() {
			pool.log.Debug("attempt aborted: the server did not accept its query in time", "server", conn.server.id)
			pool.abort(attempt, decide.Reset)
		}
	})
}

// untransmitted reports whether a part of the current query has not left this machine yet.
func (conn *conn) untransmitted() bool {
	return len(conn.unwritten) > 0 || conn.socket.Untransmitted() > 0
}

// stopWriting stops writing the query of the current attempt.
func (conn *conn) stopWriting() {
	conn.unwritten = nil
	conn.pool.loop.StopTimer(conn.writeTimer)
	conn.pool.loop.StopTimer(conn.transmitTimer)
}

// reportWritten reports, once, that the last byte of the current attempt has been sent.
func (conn *conn) reportWritten() {
	attempt := conn.attempt
	if attempt == nil || attempt.isHealthCheck() || attempt.written {
		return
	}
	if conn.fullyWritten && conn.socket.Unsent() == 0 {
		attempt.written = true
		conn.pool.events.AttemptWritten(attempt.id)
	}
}
