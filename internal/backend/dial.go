package backend

import (
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/protocol/pgwire"
)

// mayGo reports whether an attempt may still be sent. A probe always may.
func (attempt *attempt) mayGo(pool *Pool) bool {
	return attempt.query == nil || pool.events.MaySend(attempt.tag)
}

// dial requests one more connection; by the time it may be opened, it must still be needed.
func (pool *Pool) dial(server *server) {
	if pool.options.Dial == nil {
		pool.open(server)
		return
	}
	pool.options.Dial(func() {
		if server.dialing < len(server.waiting) {
			pool.open(server)
		}
	})
}

// open opens one more connection if the limits allow it. Otherwise the waiting attempts get the next connection that is free.
func (pool *Pool) open(server *server) {
	if pool.conns.Len() >= pool.options.MaxConns() && !pool.CloseOldest() {
		pool.log.Debug("no descriptor left for a connection", "store", server.id, "conns", pool.conns.Len())
		pool.askForDescriptor(server)
		return
	}
	conn := &conn{pool: pool, server: server, addr: server.addr, input: pgwire.NewReader(pgwire.MaxMessage), reading: pgwire.ExpectWelcome()}
	conn.input.Stream(longValue)
	conn.ref = pool.conns.Put(conn)
	server.dialing++
	conn.timer = pool.loop.At(pool.loop.Now()+pool.options.ConnectTimeoutMs, func() {
		if conn.state == greeting {
			conn.socket.Close()
		} else {
			conn.failed(decide.Unreachable)
		}
	})
	pool.loop.Dial(server.addr, pool.options.ConnectTimeoutMs, conn, func(err error) {
		if conn.state == dialing {
			pool.log.Debug("connect", "store", server.id, "err", err)
			conn.failed(connectResult(err))
		}
	})
}

// askForDescriptor has a client's connection closed to free a descriptor, and then opens a connection. It runs between the
// callbacks of the loop, because within a callback the client whose request is being handled may still count as idle.
func (pool *Pool) askForDescriptor(server *server) {
	if pool.options.FreeDescriptor == nil {
		return
	}
	pool.loop.At(pool.loop.Now(), func() {
		if server.dialing < len(server.waiting) && pool.options.FreeDescriptor() {
			pool.open(server)
		}
	})
}

// CloseOldest closes the connection that has been idle longest, and reports whether there was one.
func (pool *Pool) CloseOldest() bool {
	var oldest *conn
	pool.conns.Each(func(_ slotmap.Ref, conn *conn) {
		if conn.state == idle && (oldest == nil || conn.idleNumber < oldest.idleNumber) {
			oldest = conn
		}
	})
	if oldest == nil {
		return false
	}
	oldest.socket.Close()
	return true
}

// connectResult is the result of an attempt whose connection could not be opened. What this machine lacks must not count
// against the server.
func connectResult(err error) decide.Result {
	if eventloop.IsLocalError(err) {
		return decide.NotSent
	}
	return decide.Unreachable
}

// failed removes a connection that could not be established, and ends the attempt that has waited longest.
func (conn *conn) failed(result decide.Result) {
	if conn.state == closed {
		return
	}
	conn.state = closed
	conn.pool.loop.StopTimer(conn.timer)
	conn.pool.conns.Remove(conn.ref)
	conn.server.dialing--
	if waiting := conn.server.waiting; len(waiting) > conn.server.dialing {
		conn.pool.drop(waiting[0], result)
	}
}

// Opened implements loop.Handler.
func (conn *conn) Opened(socket *eventloop.Conn) {
	conn.socket = socket
	if conn.state == closed { // it was given up while it was being opened
		socket.Close()
		return
	}
	conn.state = greeting
	_ = socket.Write(pgwire.AppendStartup(nil, conn.pool.options.User, conn.pool.options.Database))
}

// ready gives the connection to the next waiting attempt, or makes it idle.
func (conn *conn) ready() {
	conn.state = idle
	conn.since = conn.pool.loop.Now()
	// If the address of the server has changed, another server may listen at the old one. Bytes beyond the answer would be taken
	// for the answer to the next request.
	if conn.addr != conn.server.addr || conn.input.Pending() > 0 || !conn.socket.OpenAndIdle() || len(conn.unwritten) > 0 {
		conn.socket.Close()
		return
	}
	pool := conn.pool
	for len(conn.server.waiting) > 0 {
		attempt := conn.server.waiting[0]
		if !attempt.mayGo(pool) {
			pool.drop(attempt, decide.NotSent)
			continue
		}
		conn.server.waiting = conn.server.waiting[1:]
		conn.carry(attempt)
		return
	}
	pool.idleSeq++
	conn.idleNumber = pool.idleSeq
	conn.server.idle = append(conn.server.idle, conn)
	pool.loop.StopTimer(conn.timer)
	conn.timer = pool.loop.At(pool.loop.Now()+pool.options.IdleMs, conn.socket.Close)
}

// Closed implements loop.Handler.
func (conn *conn) Closed(error) {
	pool := conn.pool
	was, unsent := conn.state, conn.socket.Unsent()
	if was == closed {
		return
	}
	if was == greeting {
		conn.refused()
		return
	}
	conn.reportWritten()
	conn.stopPushing()
	conn.state = closed
	conn.countHeld()
	pool.loop.StopTimer(conn.timer)
	pool.conns.Remove(conn.ref)
	conn.removeIdle()
	if conn.flow != nil {
		conn.flow.Ended(nil, false)
		conn.flow = nil
	}
	if attempt := conn.attempt; attempt != nil {
		attempt.conn = nil
		if conn.reading.NothingReceived() && pool.loop.Now()-conn.writtenAt <= brokeMs {
			pool.wear.Record(pool.loop.Now(), conn.restedFor, true)
		}
		result := decide.Reset
		// If the loop has dropped its buffer, unsent is 0 and the attempt counts as one that may have run, which is the safe side.
		if !conn.handedOver || unsent > 0 { // its last byte was never sent, so it cannot have run
			result = decide.Unreachable
		}
		if conn.reading.Code == "53300" || conn.reading.Code == "57P03" {
			result = decide.Overloaded
		}
		pool.end(attempt, Outcome{Result: result, Report: conn.outcome.Report})
	}
	pool.refill(conn.server)
}

// refused handles a connection that was closed while it was being established. A server with too many connections says so in an
// error message first.
func (conn *conn) refused() {
	if conn.reading.Code == "53300" && len(conn.server.waiting) >= conn.server.dialing && len(conn.server.waiting) > 0 {
		attempt := conn.server.waiting[0]
		conn.pool.unqueue(attempt)
		defer conn.pool.end(attempt, Outcome{Result: decide.Overloaded})
	}
	conn.failed(decide.Unreachable)
}

// refill opens a connection for waiting attempts after one that they could have used was lost.
func (pool *Pool) refill(server *server) {
	if server.dialing < len(server.waiting) {
		pool.dial(server)
	}
}
