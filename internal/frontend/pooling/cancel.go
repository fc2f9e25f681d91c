package pooling

import (
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop"
	"beechgrade/internal/protocol/pgwire"
)

// cancel passes a cancel request on to the server where the client's query runs now.
func (f *Front) cancel(pid, secret uint32) {
	c := f.keys[pid]
	if c != nil && c.secret == secret && c.page != nil {
		c.scatterCancel()
		return
	}
	if c != nil && c.secret == secret && c.queued() {
		c.cancelQueued()
		return
	}
	if c != nil && c.secret == secret && c.txn != nil {
		c.txn.cancelled = true
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

// queued tells whether a client's transaction waits for a connection: nothing of it is out.
func (c *client) queued() bool {
	return c.outside != nil || c.txn != nil && !c.txn.on
}

// cancelQueued ends a transaction that waits for a connection, as its client wants it no more.
func (c *client) cancelQueued() {
	t := c.txn
	if x := c.outside; x != nil {
		c.leave()
		t = &txn{c: c, held: x.raw}
		c.txn = t
	}
	c.f.Counts.Cancels++
	c.cancelled(t, codeCancelled, cancelledText)
}

const (
	codeCancelled = "57014"
	cancelledText = "canceling statement due to user request"
)

// cancelled answers a transaction that its client has cancelled: it is not sent again.
func (c *client) cancelled(t *txn, code, text string) {
	if t.open {
		t.open = false
		c.f.desk.Abandon(t.ref)
	}
	c.concluded(t, code, text, "")
}

// endCancelled ends an attempt that came to nothing. Where its client has cancelled the transaction meanwhile, that has its answer now.
func (f *Front) endCancelled(a *attempt, r decide.Result, l *link) {
	t := a.t
	c := t.c
	if !t.cancelled || t.spoke || c.closed || c.txn != t {
		f.end(a, r, l)
		return
	}
	if t.open { // before the attempt ends, as another would begin then
		t.open = false
		f.desk.Abandon(t.ref)
	}
	f.end(a, r, l)
	if r == decide.Reset && c.wrote {
		c.cancelled(t, "08007", "the connection to the server broke; whether the transaction was committed is unknown")
		return
	}
	c.cancelled(t, codeCancelled, cancelledText)
}

// canceller is the connection that carries a cancel request; the server closes it when the request is worked on. The
// link is not given to another client before.
type canceller struct {
	link *link
	done func()
	over bool
}

// Opened is loop's.
func (k *canceller) Opened(lc *eventloop.Conn) {
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
