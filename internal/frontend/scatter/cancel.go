package scatter

import (
	"beechgrade/internal/eventloop"
	"beechgrade/internal/protocol/pgwire"
)

// cancel passes a cancel request to the server.
func (l *link) cancel() {
	f := l.f
	if l.pid == 0 || f.cancels >= mostCancels {
		l.close()
		return
	}
	f.Counts.Cancels++
	f.cancels++
	l.hits++
	l.wasHit = true
	done := func() {
		f.cancels--
		if l.hits--; l.hits == 0 && !l.asked && !l.closed && l.part == nil {
			l.rest()
		}
	}
	f.loop.Dial(f.addrs[l.key.store], f.opt.ConnectMs, &canceller{l: l, done: done}, func(error) { done() })
}

// canceller is the connection that carries a cancel request.
type canceller struct {
	l    *link
	done func()
	over bool
}

// Opened is loop's.
func (k *canceller) Opened(c *eventloop.Conn) {
	if err := c.Write(pgwire.AppendCancel(nil, k.l.pid, k.l.secret)); err == nil {
		f := k.l.f
		f.loop.At(f.loop.Now()+f.opt.ConnectMs, c.Close)
	}
}

// Data is loop's.
func (k *canceller) Data([]byte) {}

// Closed is loop's.
func (k *canceller) Closed(error) {
	if !k.over {
		k.over = true
		k.done()
	}
}
