package pooling

import (
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop"
	"beechgrade/internal/protocol/pgwire"
)

// cancel handles a cancel request: it is forwarded to the server that runs the client's query, or it ends a transaction that still
// waits for a connection. A request with an unknown key is ignored.
func (f *Frontend) cancel(pid, secret uint32) {
	c := f.clientsByPID[pid]
	if c == nil || c.secret != secret {
		return
	}
	switch {
	case c.page != nil:
		c.scatterCancel()
		return
	case c.waitsForConnection():
		c.cancelQueued()
		return
	}
	if c.transaction != nil {
		c.transaction.cancelled = true
	}
	if c.linkBusy() && c.link.pid != 0 && f.cancels < maxCancels {
		f.forwardCancel(c.link)
	}
}

// forwardCancel sends a cancel request to the server. Until it is handled, the connection is not assigned to another client.
func (f *Frontend) forwardCancel(l *link) {
	f.Counts.Cancels++
	f.cancels++
	l.cancels++
	l.lateCancelPossible = true
	done := func() {
		f.cancels--
		l.cancels--
		if l.cancels == 0 && l.freeWhenSettled && !l.closed {
			l.freeWhenSettled = false
			l.free()
		}
	}
	f.eventLoop.Dial(f.addresses[l.serverID], f.options.ConnectMs, &canceller{link: l, done: done}, func(error) { done() })
}

// waitsForConnection reports whether a client's transaction waits for a connection, so that none of its messages was sent.
func (c *client) waitsForConnection() bool {
	return c.queued != nil || c.transaction != nil && !c.transaction.hasConnection
}

// cancelQueued ends a transaction that waits for a connection, because its client has cancelled it.
func (c *client) cancelQueued() {
	t := c.transaction
	if queued := c.queued; queued != nil {
		c.leavePool()
		t = &transaction{client: c, replay: queued.firstMessage}
		c.transaction = t
	}
	c.frontend.Counts.Cancels++
	c.answerCancelled(t, codeCancelled, textCancelled)
}

// answerCancelled answers a transaction that its client has answerCancelled. It is not sent again.
func (c *client) answerCancelled(t *transaction, code, text string) {
	c.abandonRequest(t)
	c.endTransaction(t, code, text, "")
}

// abandonRequest abandons the request of a transaction at the core.
func (c *client) abandonRequest(t *transaction) {
	if t.open {
		t.open = false
		c.frontend.dispatcher.Abandon(t.ref)
	}
}

// endCancelled ends an attempt that was not served. If the client has cancelled the transaction meanwhile, it is answered with an error
// and not attempted again.
func (f *Frontend) endCancelled(a *attempt, result decide.Result, l *link) {
	t := a.transaction
	c := t.client
	if !t.cancelled || t.answered || c.closed || c.transaction != t {
		f.endAttempt(a, result, l)
		return
	}
	c.abandonRequest(t) // before the attempt ends, because the core would start another one
	f.endAttempt(a, result, l)
	if result == decide.Reset && c.wrote {
		c.answerCancelled(t, codeOutcomeUnknown, textOutcomeUnknown)
		return
	}
	c.answerCancelled(t, codeCancelled, textCancelled)
}

// canceller is the connection that carries a cancel request. The server closes it once the request is handled.
type canceller struct {
	link     *link
	done     func()
	finished bool // done was called
}

// Opened implements eventloop.Handler.
func (k *canceller) Opened(conn *eventloop.Conn) {
	if err := conn.Write(pgwire.AppendCancel(nil, k.link.pid, k.link.secret)); err == nil {
		f := k.link.frontend
		f.eventLoop.At(f.now()+f.options.ConnectMs, conn.Close)
	}
}

// Data implements eventloop.Handler.
func (k *canceller) Data([]byte) {}

// Closed implements eventloop.Handler.
func (k *canceller) Closed(error) {
	if !k.finished {
		k.finished = true
		k.done()
	}
}
