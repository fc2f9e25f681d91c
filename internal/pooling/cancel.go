package pooling

import (
	"beechgrade/internal/loop"
	"beechgrade/internal/pgwire"
)

// cancel passes a cancel request on to the server where the client's query runs now.
func (f *Front) cancel(pid, secret uint32) {
	c := f.keys[pid]
	if c != nil && c.secret == secret && c.page != nil {
		c.scatterCancel()
		return
	}
	if c == nil || c.secret != secret || c.link == nil || len(c.link.queue) == 0 || c.link.pid == 0 || f.cancels >= maxCancels {
		return
	}
	l := c.link
	f.Counts.Cancels++
	f.cancels++
	l.cancels++
	l.sullied = true
	done := func() {
		f.cancels--
		if l.cancels--; l.cancels == 0 && l.waiting && !l.closed {
			l.waiting = false
			l.free()
		}
	}
	f.loop.Dial(f.addrs[l.store], f.opt.ConnectMs, &canceller{link: l, done: done}, func(error) { done() })
}

// canceller is the connection that carries a cancel request; the server closes it when the request is worked on. The
// link is not given to another client before.
type canceller struct {
	link *link
	done func()
	over bool
}

// Opened is loop's.
func (k *canceller) Opened(lc *loop.Conn) {
	if err := lc.Write(pgwire.AppendCancel(nil, k.link.pid, k.link.secret)); err == nil {
		f := k.link.f
		f.loop.At(f.loop.Now()+f.opt.ConnectMs, lc.Close)
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
