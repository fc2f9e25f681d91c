package scatter

import (
	"beechgrade/internal/eventloop"
	"beechgrade/internal/protocol/pgwire"
)

const (
	cancelDelayMs = 5    // time before a cancel request is sent; most answers end by themselves within it
	endWaitMs     = 1000 // time after which a connection whose answer has not ended is closed
	maxCancels    = 256  // limit of the cancel requests in progress
)

// endAnswer discards the rest of an answer that is not needed any more. If the answer does not end within cancelDelayMs, a cancel request
// is sent; if it does not end within endWaitMs, the connection is closed.
func (l *link) endAnswer() {
	if l.discarding || l.closed {
		return
	}
	l.discarding = true
	l.resumeRows()
	if l.completed {
		return
	}
	p, loop := l.part, l.frontend.loop
	isRunning := func() bool { return l.part == p && l.sent && !l.closed }
	loop.At(loop.Now()+cancelDelayMs, func() {
		if isRunning() && l.pendingReady > 0 {
			l.cancel()
		}
	})
	loop.At(loop.Now()+endWaitMs, func() {
		if isRunning() {
			l.close()
		}
	})
}

// cancel sends a cancel request to the server, or closes the connection if that is not possible.
func (l *link) cancel() {
	f := l.frontend
	if l.pid == 0 || f.openCancels >= maxCancels {
		l.close()
		return
	}
	f.Counts.Cancels++
	f.openCancels++
	l.openCancels++
	l.cancelSent = true
	request := &canceller{link: l}
	f.loop.Dial(f.addresses[l.key.server], f.options.ConnectTimeoutMs, request, func(error) { l.cancelEnded() })
}

// cancelEnded is called when the server has handled a cancel request, or the request could not be sent.
func (l *link) cancelEnded() {
	l.frontend.openCancels--
	l.openCancels--
	inUse := l.sent || l.part != nil
	if l.openCancels == 0 && !inUse && !l.closed {
		l.release()
	}
}

// canceller is the connection of one cancel request. It implements eventloop.Handler.
type canceller struct {
	link   *link
	closed bool
}

// Opened implements eventloop.Handler.
func (c *canceller) Opened(conn *eventloop.Conn) {
	if conn.Write(pgwire.AppendCancel(nil, c.link.pid, c.link.secret)) == nil {
		f := c.link.frontend
		f.loop.At(f.loop.Now()+f.options.ConnectTimeoutMs, conn.Close)
	}
}

// Data implements eventloop.Handler. A cancel request has no answer.
func (c *canceller) Data([]byte) {}

// Closed implements eventloop.Handler. The server closes the connection once it has handled the request.
func (c *canceller) Closed(error) {
	if !c.closed {
		c.closed = true
		c.link.cancelEnded()
	}
}
