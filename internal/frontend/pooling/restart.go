package pooling

import (
	"slices"

	"beechgrade/internal/protocol/pgwire"
	"beechgrade/internal/protocol/sqltext"
	"beechgrade/internal/record"
)

// A transaction that has only begun has read nothing and changed nothing. If its server is draining or lost, or reports at the first
// statement that it is not the primary any more, the transaction restarts at another server: by a new request to the core, and
// transparently to the client. The client's messages are kept for that until a server has answered more than the beginning.

// onlyBegins reports whether the statements only begin a transaction.
func onlyBegins(effects []sqltext.Statement) bool {
	return len(effects) == 1 && effects[0].Kind == sqltext.Begin
}

// beginning returns the messages that begin the transaction, once they are answered: those that began a restarted one, or else all.
func (t *transaction) beginning() []byte {
	if t.restartBytes > 0 {
		return t.replay[:t.restartBytes]
	}
	return t.replay
}

// noteReady records a ReadyForQuery, after which the open transaction may have only begun. t is nil if the first answer of the
// transaction was complete before.
func (c *client) noteReady(t *transaction, state byte) {
	c.flushRequested = false
	switch {
	case state != pgwire.StateTransaction || !c.canMigrate():
		c.disableRestart()
	case t != nil && !t.answered:
		c.begunTransaction = t
		c.beginMessages = slices.Clone(t.beginning())
	}
	c.unansweredMessages = nil
	c.flushDeferred()
}

// disableRestart drops what is kept to restart the open transaction.
func (c *client) disableRestart() {
	c.begunTransaction = nil
	c.beginMessages = nil
	c.unansweredMessages = nil
}

// flushDeferred outputs the deferred answers.
func (c *client) flushDeferred() {
	c.output = append(c.output, c.deferredAnswers...)
	c.deferredAnswers = nil
}

// noteAnswered records that a server has answered more than the beginning of the transaction, which can no longer be sent to another
// server.
func (c *client) noteAnswered() {
	if t := c.transaction; t != nil {
		t.answered = true
		t.replay = nil
	}
	c.disableRestart()
	c.flushDeferred()
}

// mayDefer reports whether answers to messages that only prepare or begin may be deferred, because the messages may still be sent to
// another server.
func (c *client) mayDefer() bool {
	if c.flushRequested || len(c.deferredAnswers) > resumeUnsent {
		return false
	}
	if t := c.transaction; t != nil {
		return !t.answered
	}
	return c.begunTransaction != nil
}

// keepForReplay keeps a message that is being sent, in case it must be sent to another server. Messages
// in parts or beyond maxReplayBytes in all are not kept, and the transaction cannot restart then.
func (c *client) keepForReplay(m pgwire.Message) {
	switch t := c.transaction; {
	case c.replaying:
	case m.More || m.Part:
		c.noteAnswered()
	case t != nil && !t.answered:
		t.replay = append(t.replay, m.Raw...)
		if len(t.replay) > maxReplayBytes {
			c.noteAnswered()
		}
	case t == nil && c.begunTransaction != nil:
		c.unansweredMessages = append(c.unansweredMessages, m.Raw...)
		if len(c.unansweredMessages) > maxReplayBytes {
			c.noteAnswered()
		}
	}
	if m.Type == pgwire.Flush {
		c.flushRequested = true
		if len(c.deferredAnswers) > 0 {
			c.noteAnswered()
		}
	}
}

// leaveConnection closes the connection of a transaction that has only begun, and reports whether it could. The transaction restarts
// with the client's next message.
func (c *client) leaveConnection() bool {
	onlyBegun := c.begunTransaction != nil && c.unansweredMessages == nil && c.transaction == nil
	if !onlyBegun || c.link == nil || c.linkBusy() || !c.canMigrate() {
		return false
	}
	c.unlink().close()
	return true
}

// restart restarts a transaction that has only begun, and continues with the messages that the client sent since then. sent is true if
// they were sent to a server before.
func (c *client) restart(messages []byte, sent bool) error {
	begun := c.begunTransaction
	t := &transaction{
		client:       c,
		replay:       slices.Concat(c.beginMessages, messages),
		effects:      begun.effects,
		sql:          begun.sql,
		restartBytes: len(c.beginMessages),
	}
	if sent {
		t.sends = 1
	}
	c.disableRestart()
	c.deferredAnswers = nil
	c.frontend.Counts.Restarts++
	c.recordAssignment(record.AssignmentRestarted, nil, 0, false)
	start := c.transactionStart
	err := c.submit(t)
	c.transactionStart = start
	return err
}

// sendReplay sends the messages of a transaction so far. Of a transaction that restarts, it sends only the beginning;
// continueRestarted sends the rest.
func (c *client) sendReplay(t *transaction) error {
	t.sends++
	messages := t.replay
	if t.restartBytes > 0 {
		t.restarting = true
		messages = messages[:t.restartBytes]
	}
	return c.sendAll(c.link, messages, t.sends > 1 || t.restartBytes > 0)
}

// continueRestarted continues a restarted transaction once its beginning was answered.
func (c *client) continueRestarted(l *link, state byte) {
	t := c.transaction
	t.restarting = false
	if state != pgwire.StateTransaction {
		c.endWithError(codeConnectionFailure, "the transaction could not begin again at another server; nothing of it was committed")
		return
	}
	if err := c.sendAll(l, t.replay[t.restartBytes:], t.sends > 1); err != nil {
		c.endWithError(codeProtocol, err.Error())
		return
	}
	c.proceedSoon()
}

// sendAll sends kept messages, which stay until the server has answered. resending is true if they were sent before.
func (c *client) sendAll(l *link, raw []byte, resending bool) error {
	reader := pgwire.NewReader(max(c.frontend.options.MaxMessage, len(raw)+1))
	reader.Feed(raw)
	c.replaying = true
	c.resending = resending
	defer func() {
		c.replaying = false
		c.resending = false
	}()
	for !c.closed && c.link == l {
		m, ok, err := reader.Next()
		if err != nil || !ok {
			return nil
		}
		if err := c.forward(m); err != nil {
			return err
		}
	}
	return nil
}

// proceedSoon handles the messages that the client has sent meanwhile, after the current callback.
func (c *client) proceedSoon() {
	if !c.closed && c.conn != nil {
		c.frontend.eventLoop.At(c.frontend.now(), c.proceed)
	}
}
