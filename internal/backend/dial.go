package backend

import (
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/protocol/pgwire"
)

// dialForWaiting requests one more connection to a server if fewer are being opened than attempts wait for one.
func (pool *Pool) dialForWaiting(server *server) {
	if server.needsConnection() {
		pool.dial(server)
	}
}

func (server *server) needsConnection() bool { return server.dialing < len(server.waiting) }

// dial requests one more connection, which is opened if it is still needed once ScheduleDial allows it.
func (pool *Pool) dial(server *server) {
	if pool.options.ScheduleDial == nil {
		pool.open(server)
		return
	}
	pool.options.ScheduleDial(func() {
		if server.needsConnection() {
			pool.open(server)
		}
	})
}

// open opens one more connection if the limits allow it. Otherwise the waiting attempts get the next connection that is free.
func (pool *Pool) open(server *server) {
	if pool.conns.Len() >= pool.options.MaxConns() && !pool.CloseOldest() && !pool.endSlowStream() {
		pool.log.Debug("connection not opened: no file descriptor left", "server", server.id, "conns", pool.conns.Len())
		pool.releaseDescriptor(server)
		return
	}
	conn := &conn{
		pool:         pool,
		server:       server,
		addr:         server.addr,
		input:        pgwire.NewReader(pgwire.MaxMessage),
		answerReader: pgwire.ExpectStartupResponse(),
	}
	conn.input.Stream(streamThreshold)
	conn.ref = pool.conns.Put(conn)
	server.dialing++
	conn.timer = pool.loop.At(pool.loop.Now()+pool.options.ConnectTimeoutMs, func() {
		if conn.state == startingUp {
			conn.socket.Close()
		} else {
			conn.failed(decide.Unreachable)
		}
	})
	pool.loop.Dial(server.addr, pool.options.ConnectTimeoutMs, conn, func(err error) {
		if conn.state == dialing {
			pool.log.Debug("connect failed", "server", server.id, "err", err)
			conn.failed(connectResult(err))
		}
	})
}

// releaseDescriptor has a client's connection closed to free a descriptor, and then opens a connection. It runs between the
// callbacks of the loop, because within a callback the client whose request is being handled may still count as idle.
func (pool *Pool) releaseDescriptor(server *server) {
	if pool.options.FreeDescriptor == nil {
		return
	}
	pool.loop.At(pool.loop.Now(), func() {
		if server.needsConnection() && pool.options.FreeDescriptor() {
			pool.open(server)
		}
	})
}

// CloseOldest closes the connection that has been idle longest, and reports whether there was one. A connection that has just become free and
// is being given to a waiting attempt is not listed as idle, and stays.
func (pool *Pool) CloseOldest() bool {
	var oldest *conn
	for _, server := range pool.servers {
		if len(server.idle) > 0 && (oldest == nil || server.idle[0].idleNumber < oldest.idleNumber) {
			oldest = server.idle[0]
		}
	}
	if oldest == nil {
		return false
	}
	oldest.socket.Close()
	return true
}

// endSlowStream closes the connection whose answer has been streamed longest to a client that does not keep up, and reports whether there was one.
func (pool *Pool) endSlowStream() bool {
	var slowest *conn
	pool.conns.Each(func(_ slotmap.Ref, conn *conn) {
		if conn.state == streaming && conn.socket.ReadingPaused() && (slowest == nil || conn.streamingSince < slowest.streamingSince) {
			slowest = conn
		}
	})
	if slowest == nil || pool.loop.Now()-slowest.streamingSince < minStreamMs {
		return false
	}
	pool.slowStreams++
	slowest.socket.Close()
	return true
}

// connectResult returns the result of an attempt whose connection could not be opened. A lack of resources of this machine must not
// count against the server.
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
	conn.countBuffered()
	conn.pool.loop.StopTimer(conn.timer)
	conn.pool.conns.Remove(conn.ref)
	conn.server.dialing--
	if waiting := conn.server.waiting; len(waiting) > conn.server.dialing {
		conn.pool.abort(waiting[0], result)
	}
}
