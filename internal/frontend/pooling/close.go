package pooling

import (
	"beechgrade/internal/eventloop"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/protocol/pgwire"
)

// A client connection is closed in steps, so that the client can read all output: no more commands are accepted, the output is flushed,
// the write side is shut down, and further input is read and dropped, until the client closes its side too or for lingerMs. Closing with
// unread input would reset the connection, and the reset may overtake the output.

const (
	lingerMs      = 1000 // that a client may take to accept more output, or to close its side after that
	lingerCheckMs = 10   // between checks of the progress
	drainInputMs  = 1500 // after the start of a drain, during which commands that were sent ahead are still answered
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

// close accepts no more commands from the client, and closes its connection once the output is flushed.
func (c *client) close() {
	c.flush()
	if c.closed || c.conn == nil {
		return
	}
	c.detach()
	c.lingering = true
	c.closingEntry = c.frontend.closing.Add(c.conn)
	if c.conn.ReadingPaused() {
		c.conn.ResumeReading()
	}
	closing := &closingConn{client: c, conn: c.conn, unsent: c.conn.Unsent(), progressAt: c.frontend.now()}
	closing.check()
}

// closingConn is a client connection that is being closed.
type closingConn struct {
	client      *client
	conn        *eventloop.Conn
	unsent      int     // at the last check
	progressAt  float64 // when unsent last changed, or the write side was shut down
	writeClosed bool
}

// check takes the next step of closing the connection.
func (closing *closingConn) check() {
	f := closing.client.frontend
	now := f.now()
	if !closing.client.lingering {
		return
	}
	if unsent := closing.conn.Unsent(); unsent != closing.unsent {
		closing.unsent = unsent
		closing.progressAt = now
	}
	if !closing.writeClosed && closing.unsent == 0 && !closing.conn.ReadingPaused() {
		if closing.conn.CloseWrite() != nil {
			closing.conn.Close()
			return
		}
		closing.writeClosed = true
		closing.progressAt = now
	}
	if now-closing.progressAt >= lingerMs {
		closing.conn.Close()
		return
	}
	f.eventLoop.At(now+lingerCheckMs, closing.check)
}

// Closed implements eventloop.Handler.
func (c *client) Closed(err error) {
	c.countUnanswered(err)
	c.detach()
	c.lingering = false
	c.frontend.closing.Remove(&c.closingEntry)
}

// countUnanswered counts a statement that gets no answer, by who closed the connection.
func (c *client) countUnanswered(closed error) {
	switch counts := &c.frontend.Counts; {
	case c.closed || !c.answersOutstanding():
	case closed != nil:
		counts.AbandonedByClients++
	default:
		counts.Unanswered++
	}
}

// detach removes the client from the frontend, and abandons its transaction.
func (c *client) detach() {
	if c.closed {
		return
	}
	c.closed = true
	c.input.Reset()
	c.chargeMemory()
	c.frontend.account.AddClients(-1)
	f := c.frontend
	f.clients.Remove(c.ref)
	delete(f.clientsByPID, c.pid)
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
	if t != nil && t.open && t.ref != (slotmap.Ref{}) { // without a ref, submit is still running, and abandons the transaction itself
		t.open = false
		f.dispatcher.Abandon(t.ref)
	}
	if c.state != nil {
		c.state.Close()
	}
}

// detachLink releases the server connection of a client that disconnects; t is its open transaction, nil for none. The connection is
// closed if it is in use, or if its state must not reach another client.
func (c *client) detachLink(t *transaction) {
	l := c.unlink()
	if c.sessionState != pgwire.StateIdle {
		c.state.Abort() // the locks of the session outlive the rollback
	}
	switch {
	case len(l.expected) > 0 || c.extendedOpen || c.boundBy() != "" || t != nil:
		l.close()
	case l.servesOneClient():
		l.free()
	case c.sessionState != pgwire.StateIdle:
		l.sendInternalQuery("ROLLBACK", nil)
		l.free()
	default:
		l.free()
	}
}

// resumeServer resumes reading from a server that was paused because this client did not read.
func (c *client) resumeServer() {
	if l := c.pausedLink; l != nil {
		c.pausedLink = nil
		l.resumeReading()
	}
}

// hasDisconnected reports whether a client whose reading is paused has disconnected: it has closed the connection, or only shut down
// its write side while its transaction waits for a connection.
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

// endNow closes the connection because the process ends. The error says whether an open transaction may have been committed.
func (c *client) endNow() {
	if c.outcomeUnknown() {
		c.endWithError(codeOutcomeUnknown, "the pooler has to end; whether the transaction was committed is unknown")
		return
	}
	c.endWithError(codeShutdown, "the pooler has to end; nothing of an open transaction was committed")
}

// outcomeUnknown reports whether a COMMIT, or a write outside a transaction block, is outstanding.
func (c *client) outcomeUnknown() bool {
	if c.link == nil {
		return false
	}
	if c.link.committing() {
		return true
	}
	return c.sessionState == pgwire.StateIdle && c.wrote && len(c.link.expected) > 0
}
