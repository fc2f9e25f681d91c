package pooling

import (
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop"
	"beechgrade/internal/protocol/pgwire"
)

// cancel passes a cancel request on to the server where the client's query runs now.
func (f *Frontend) cancel(pid, secret uint32) {
	c := f.keys[pid]
	if c != nil && c.secret == secret && c.page != nil {
		c.scatterCancel()
		return
	}
	if c != nil && c.secret == secret && c.waitsForConnection() {
		c.cancelQueued()
		return
	}
	if c != nil && c.secret == secret && c.transaction != nil {
		c.transaction.cancelled = true
	}
	if c == nil || c.secret != secret || c.link == nil || len(c.link.expected) == 0 || c.link.pid == 0 || f.cancels >= maxCancels {
		return
	}
	l := c.link
	f.Counts.Cancels++
	f.cancels++
	l.cancels++
	l.lateCancelPossible = true
	done := func() {
		f.cancels--
		if l.cancels--; l.cancels == 0 && l.freeWhenSettled && !l.closed {
			l.freeWhenSettled = false
			l.free()
		}
	}
	f.eventLoop.Dial(f.addresses[l.serverID], f.options.ConnectMs, &canceller{link: l, done: done}, func(error) { done() })
}

// waitsForConnection tells whether a client's transaction waits for a connection: nothing of it is out.
func (c *client) waitsForConnection() bool {
	return c.queued != nil || c.transaction != nil && !c.transaction.hasConnection
}

// cancelQueued ends a transaction that waits for a connection, as its client wants it no more.
func (c *client) cancelQueued() {
	t := c.transaction
	if x := c.queued; x != nil {
		c.leavePool()
		t = &transaction{client: c, replay: x.raw}
		c.transaction = t
	}
	c.frontend.Counts.Cancels++
	c.cancelled(t, codeCancelled, cancelledText)
}

const (
	codeCancelled = "57014"
	cancelledText = "canceling statement due to user request"
)

// cancelled answers a transaction that its client has cancelled: it is not sent again.
func (c *client) cancelled(t *transaction, code, text string) {
	if t.open {
		t.open = false
		c.frontend.dispatcher.Abandon(t.ref)
	}
	c.endTransaction(t, code, text, "")
}

// endCancelled ends an attempt that came to nothing. Where its client has cancelled the transaction meanwhile, that has its answer now.
func (f *Frontend) endCancelled(a *attempt, r decide.Result, l *link) {
	t := a.transaction
	c := t.client
	if !t.cancelled || t.answered || c.closed || c.transaction != t {
		f.endAttempt(a, r, l)
		return
	}
	if t.open { // before the attempt ends, as another would begin then
		t.open = false
		f.dispatcher.Abandon(t.ref)
	}
	f.endAttempt(a, r, l)
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
		f := k.link.frontend
		f.eventLoop.At(f.eventLoop.Now()+f.options.ConnectMs, lc.Close)
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
