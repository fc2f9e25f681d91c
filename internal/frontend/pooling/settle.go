package pooling

import (
	"fmt"

	"beechgrade/internal/protocol/pgwire"
)

// release gives the connection back between transactions, unless the client keeps it.
func (c *client) release() {
	l := c.link
	if l == nil || c.pool.options.Mode == Session && l.closesAt == 0 || c.state.Sticky != 0 && l.closesAt == 0 {
		return
	}
	if c.state.Sticky != 0 {
		c.endWithError("57P01", fmt.Sprintf("the server is being taken out, and %s can't be carried to another", c.state.Sticky))
		return
	}
	c.link, l.owner = nil, nil
	l.free()
	c.leavePool()
}

// connectionLost tells that the client's server connection has ended.
func (c *client) connectionLost(l *link) {
	c.link = nil
	if c.closed {
		return
	}
	t := c.transaction
	if t != nil && t.attempt != nil && !t.answered && c.state.Sticky == 0 { // the decision module says what becomes of it
		return
	}
	if t == nil && c.begunTransaction != nil && c.unansweredMessages == nil && len(l.expected) == 0 && c.canMigrate() {
		return // nothing but a beginning is lost: it begins again
	}
	busy := len(l.expected) > 0 || c.sessionState != 'I' || c.extendedOpen
	switch {
	case !busy && c.state.Sticky == 0:
		c.leavePool()
		return // a session's connection between its transactions: the next one gets another
	case !busy:
		c.endWithError("57P01", fmt.Sprintf("the server connection ended, and with it %s", c.state.Sticky))
	case l.committing() || c.sessionState == 'I' && c.wrote:
		c.endWithError("08007", "the connection to the server broke; whether the transaction was committed is unknown")
	default:
		c.endWithError("08006", "the connection to the server broke; nothing of the transaction was committed")
	}
}

// tick lets time pass.
func (c *client) tick() {
	switch {
	case c.closed || c.conn == nil:
	case c.terminating && !c.answersOutstanding():
		c.close()
	case !c.started && c.frontend.eventLoop.Now()-c.since > startupMs:
		c.endWithError("08P01", "the startup message is not whole in time")
	case c.readingPaused && c.hasDisconnected():
		c.conn.Close()
	case c.pausedLink != nil && c.conn.Unsent() < resumeUnsent:
		l := c.pausedLink
		c.pausedLink = nil
		l.resumeReading()
	}
	if c.started && !c.closed && (!c.mustWait() || c.readingPaused && c.conn.Unsent() > 0) {
		if c.readingPaused { // it hears what there is, and is read on
			c.readingPaused = false
			c.conn.ResumeReading()
		}
		if c.input.Pending() > 0 && !c.mustWait() {
			c.proceed()
		}
	}
	c.closeIfDraining()
}

// endWithError ends the connection with a word.
func (c *client) endWithError(code, text string) {
	if c.closed {
		return
	}
	c.endCode = code
	if !c.inPartialMessage { // there is no place for a word within a message
		c.output = pgwire.AppendError(c.output, "FATAL", code, text, "")
	}
	c.close()
}
