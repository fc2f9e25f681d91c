package scatter

import (
	"beechgrade/internal/eventloop"
	"beechgrade/internal/protocol/pgwire"
)

// cancel passes a cancel request to the server.
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
	done := func() {
		f.openCancels--
		if l.openCancels--; l.openCancels == 0 && !l.sent && !l.closed && l.part == nil {
			l.release()
		}
	}
	f.loop.Dial(f.addresses[l.key.server], f.options.ConnectTimeoutMs, &canceller{link: l, done: done}, func(error) { done() })
}

// canceller is the connection that carries a cancel request.
type canceller struct {
	link   *link
	done   func()
	closed bool
}

// Opened is loop's.
func (k *canceller) Opened(c *eventloop.Conn) {
	if err := c.Write(pgwire.AppendCancel(nil, k.link.pid, k.link.secret)); err == nil {
		f := k.link.frontend
		f.loop.At(f.loop.Now()+f.options.ConnectTimeoutMs, c.Close)
	}
}

// Data is loop's.
func (k *canceller) Data([]byte) {}

// Closed is loop's.
func (k *canceller) Closed(error) {
	if !k.closed {
		k.closed = true
		k.done()
	}
}
