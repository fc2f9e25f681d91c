package pooling

import "beechgrade/internal/protocol/pgwire"

// release releases the connection after a transaction, unless the session must keep it.
func (c *client) release() {
	l := c.link
	if l == nil {
		return
	}
	bound := c.boundBy()
	if l.closesAt == 0 && (c.pool.options.Mode == Session || bound != "") {
		return
	}
	if bound != "" {
		c.endDraining(bound)
		return
	}
	c.unlink().free()
	c.leavePool()
}

// connectionLost handles the end of the client's server connection.
func (c *client) connectionLost(l *link) {
	c.link = nil
	if c.closed || c.survivesLoss(l) {
		return
	}
	bound := c.boundBy()
	busy := len(l.expected) > 0 || c.sessionState != pgwire.StateIdle || c.extendedOpen
	switch {
	case !busy && bound == "": // between transactions: the next transaction gets another connection
		c.leavePool()
	case !busy:
		c.endBound(bound)
	case l.committing() || c.sessionState == pgwire.StateIdle && c.wrote:
		c.endWithError(codeOutcomeUnknown, textOutcomeUnknown)
	default:
		c.endWithError(codeConnectionFailure, "the connection to the server broke; nothing of the transaction was committed")
	}
}

// survivesLoss reports whether the client's transaction can continue on another connection after the loss of this one.
func (c *client) survivesLoss(l *link) bool {
	t := c.transaction
	if t != nil {
		return t.attempt != nil && !t.answered && c.boundBy() == "" // the decision module decides on another attempt
	}
	return c.begunTransaction != nil && c.unansweredMessages == nil && len(l.expected) == 0 && c.canMigrate()
}

// tick applies the timeouts of the client, and resumes paused reading where possible.
func (c *client) tick() {
	switch {
	case c.closed || c.conn == nil:
	case c.terminating && !c.answersOutstanding():
		c.close()
	case !c.started && c.frontend.now()-c.connectedAt > startupMs:
		c.endWithError(codeProtocol, "the startup message is not whole in time")
	case c.readingPaused && c.hasDisconnected():
		c.conn.Close()
	case c.holdsMemoryIdly():
		c.endWithError(codeProtocol, "the message is not whole in time")
	case c.pausedLink != nil && c.conn.Unsent() < min(resumeUnsent, c.frontend.window()/2):
		c.resumeServer()
	}
	if c.started && !c.closed {
		c.resumeClient()
	}
	c.closeIfDraining()
}

// resumeClient resumes reading from the client, and handles the messages that it has sent ahead, unless they must still wait.
func (c *client) resumeClient() {
	if c.mustWait() && !(c.readingPaused && c.conn.Unsent() > 0) {
		return
	}
	if c.readingPaused {
		c.readingPaused = false
		c.conn.ResumeReading()
	}
	if c.input.Pending() > 0 && !c.mustWait() {
		c.proceed()
	}
}
