package scatter

import (
	"beechgrade/internal/eventloop"
	"beechgrade/internal/protocol/pgwire"
)

const (
	cancelDelayMs = 5    // an answer that ends by itself within it needs no cancel request
	endWaitMs     = 1000 // a connection whose answer does not end within it is closed
	maxCancels    = 256  // cancel requests on their way
)

// endAnswer has an answer end that is not needed any more: by itself within a short time, or by a cancel request.
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

// cancel sends a cancel request to the server.
func (l *link) cancel() {
	f := l.frontend
	if l.pid == 0 || f.openCancels >= maxCancels {
		l.close()
		return
	}
	f.Counts.Cancels++
	f.openCancels++
	l.openCancels++
	l.wasCancelled = true
	request := &canceller{link: l}
	f.loop.Dial(f.addresses[l.key.server], f.options.ConnectTimeoutMs, request, func(error) { l.cancelEnded() })
}

// cancelEnded is called when a cancel request was handled by the server, or could not be sent.
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
func (k *canceller) Opened(conn *eventloop.Conn) {
	if conn.Write(pgwire.AppendCancel(nil, k.link.pid, k.link.secret)) == nil {
		f := k.link.frontend
		f.loop.At(f.loop.Now()+f.options.ConnectTimeoutMs, conn.Close)
	}
}

// Data implements eventloop.Handler. A cancel request has no answer.
func (k *canceller) Data([]byte) {}

// Closed implements eventloop.Handler. The server closes the connection when it has handled the request.
func (k *canceller) Closed(error) {
	if !k.closed {
		k.closed = true
		k.link.cancelEnded()
	}
}
