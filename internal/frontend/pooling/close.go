package pooling

import (
	"beechgrade/internal/eventloop"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/protocol/pgwire"
)

// A client's connection is closed so that nothing is lost that it has not read yet: no more commands are accepted, the output is
// flushed, the write side is shut, and what the client still sends is read and dropped, until it closes too or for lingerMs. A close
// over unread bytes would reset the connection, and the reset may overtake the output.

const (
	lingerMs      = 1000 // that a client may take to read more, or to close after its last answer
	lingerCheckMs = 10   // between checks of that
	drainInputMs  = 1500 // after the start of a drain until commands that were sent ahead are not answered any more
)

// endWithError ends the connection with an error message.
func (c *client) endWithError(code, text string) {
	if c.closed {
		return
	}
	c.endCode = code
	if !c.inPartialMessage { // no message can be sent within another
		c.output = pgwire.AppendError(c.output, "FATAL", code, text, "")
	}
	c.close()
}

// close accepts nothing more from the client, and closes its connection once the output is flushed.
func (c *client) close() {
	c.flush()
	if c.closed || c.conn == nil {
		return
	}
	c.detach()
	c.lingering = true
	c.frontend.lingering++
	if c.conn.ReadingPaused() {
		c.conn.ResumeReading()
	}
	closing := &lingering{client: c, conn: c.conn, unsent: c.conn.Unsent(), since: c.frontend.now()}
	closing.check()
}

// lingering is a connection that is being closed.
type lingering struct {
	client      *client
	conn        *eventloop.Conn
	unsent      int     // at the last check
	since       float64 // when unsent changed last, or the write side was shut
	writeClosed bool
}

// check takes the next step of the close.
func (g *lingering) check() {
	f := g.client.frontend
	now := f.now()
	if !g.client.lingering {
		return
	}
	if unsent := g.conn.Unsent(); unsent != g.unsent {
		g.unsent = unsent
		g.since = now
	}
	if !g.writeClosed && g.unsent == 0 && !g.conn.ReadingPaused() {
		if g.conn.CloseWrite() != nil {
			g.conn.Close()
			return
		}
		g.writeClosed = true
		g.since = now
	}
	if now-g.since >= lingerMs {
		g.conn.Close()
		return
	}
	f.eventLoop.At(now+lingerCheckMs, g.check)
}

// Closed implements eventloop.Handler.
func (c *client) Closed(error) {
	c.detach()
	if c.lingering {
		c.lingering = false
		c.frontend.lingering--
	}
}

// detach removes the client from the frontend, and abandons its transaction.
func (c *client) detach() {
	if c.closed {
		return
	}
	c.closed = true
	f := c.frontend
	f.clients.Remove(c.ref)
	delete(f.keys, c.pid)
	f.eventLoop.StopTimer(c.idleTimer)
	f.eventLoop.StopTimer(c.limitTimer)
	c.resumeServer()
	if c.pool != nil {
		c.pool.clients--
	}
	c.recordEnd()
	c.abandonPage()
	defer c.leavePool()
	t := c.transaction
	c.transaction = nil
	if c.link != nil {
		c.detachLink(t)
	}
	if t != nil && t.open && t.ref != (slotmap.Ref{}) { // without a ref it is being submitted, and submit abandons it
		t.open = false
		f.dispatcher.Abandon(t.ref)
	}
	if c.state != nil {
		c.state.Close()
	}
}

// detachLink releases the connection of a client that ends, with its open transaction, nil for none. A connection is closed that is in
// use, or whose state another client must not get.
func (c *client) detachLink(t *transaction) {
	l := c.unlink()
	switch {
	case len(l.expected) > 0 || c.extendedOpen || c.state.Sticky != 0 || t != nil:
		l.close()
	case c.sessionState != pgwire.StateIdle:
		l.sendOwn("ROLLBACK", nil)
		l.free()
	default:
		l.free()
	}
}

// resumeServer reads again from a server that was paused because this client did not read.
func (c *client) resumeServer() {
	if l := c.pausedLink; l != nil {
		c.pausedLink = nil
		l.resumeReading()
	}
}

// hasDisconnected reports whether a client whose reading is paused has disconnected: it reads no more, or it sends no more while its
// transaction waits for a connection.
func (c *client) hasDisconnected() bool {
	peer := c.conn.PeerState()
	return peer.Closed || peer.EndOfStream && c.waitsForConnection()
}

// closeIfDraining closes the connection of an idle client during a drain. What the client has sent is answered first, but not for
// longer than drainInputMs.
func (c *client) closeIfDraining() {
	f := c.frontend
	if !f.draining || c.closed || c.conn == nil {
		return
	}
	if c.busy() {
		return
	}
	hasInput := c.input.Pending() > 0 || !c.conn.OpenAndIdle()
	if hasInput && f.now() < f.drainStartedAt+drainInputMs {
		return
	}
	c.endWithError(codeShutdown, textShuttingDown)
}

// endNow ends the connection because the process ends. The error tells what became of an open transaction.
func (c *client) endNow() {
	if c.outcomeUnknown() {
		c.endWithError(codeOutcomeUnknown, "the pooler has to end; whether the transaction was committed is unknown")
		return
	}
	c.endWithError(codeShutdown, "the pooler has to end; nothing of an open transaction was committed")
}

// outcomeUnknown reports whether a COMMIT, or a write outside a transaction block, is not answered.
func (c *client) outcomeUnknown() bool {
	if c.link == nil {
		return false
	}
	if c.link.committing() {
		return true
	}
	return c.sessionState == pgwire.StateIdle && c.wrote && len(c.link.expected) > 0
}
