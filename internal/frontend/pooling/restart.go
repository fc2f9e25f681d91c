package pooling

import (
	"slices"

	"beechgrade/internal/decide"
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

// cutAfterFirstReady splits messages after the first one that is answered with ReadyForQuery. Without such a message, it returns all as
// the first part.
func cutAfterFirstReady(raw []byte) (first, rest []byte) {
	reader := pgwire.NewReader(len(raw) + 1)
	reader.Feed(raw)
	length := 0
	for {
		m, ok, err := reader.Next()
		if err != nil || !ok {
			return raw, nil
		}
		length += len(m.Raw)
		if m.Type == pgwire.Query || m.Type == pgwire.Sync {
			return raw[:length], raw[length:]
		}
	}
}

// canMigrate reports whether the session can continue on another connection.
func (c *client) canMigrate() bool { return c.pool.options.Mode == Transaction && c.state.Sticky == 0 }

// noteReady records a ReadyForQuery, after which the open transaction may have only begun. t is nil if the first answer of the
// transaction was complete before.
func (c *client) noteReady(t *transaction, state byte) {
	c.flushRequested = false
	switch {
	case state != pgwire.StateTransaction || !c.canMigrate():
		c.disableRestart()
	case t != nil && !t.answered:
		first, rest := cutAfterFirstReady(t.replay)
		c.begunTransaction = t
		c.beginMessages = slices.Clone(first)
		c.unansweredMessages = slices.Clone(rest)
	case c.begunTransaction != nil: // the messages since then ran no statement, and are answered
		_, rest := cutAfterFirstReady(c.unansweredMessages)
		c.unansweredMessages = slices.Clone(rest)
	}
	if len(c.unansweredMessages) == 0 {
		c.unansweredMessages = nil
	}
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

// sentOnlyBeginning reports whether only the beginning of the transaction was sent, so that it is harmless if a server ran it.
func (t *transaction) sentOnlyBeginning() bool {
	if t.answered || !onlyBegins(t.effects) {
		return false
	}
	if t.restartBytes > 0 {
		return t.restarting
	}
	_, rest := cutAfterFirstReady(t.replay)
	return len(rest) == 0 && runsOneStatement(t.replay)
}

// runsOneStatement reports whether messages run one statement at most.
func runsOneStatement(raw []byte) bool {
	reader := pgwire.NewReader(len(raw) + 1)
	reader.Feed(raw)
	runs := 0
	for {
		m, ok, err := reader.Next()
		if err != nil || !ok {
			return runs <= 1
		}
		if m.Type == pgwire.Query || m.Type == pgwire.Execute {
			runs++
		}
	}
}

// mayRunElsewhere reports whether an error shows that a transaction's first statement did not run and may be sent to another server,
// and the result of the attempt.
func (l *link) mayRunElsewhere(c *client, m pgwire.Message) (decide.Result, bool) {
	if !c.canMigrate() || !c.firstStatementPending() {
		return 0, false
	}
	switch pgwire.ErrorCode(m.Body) {
	case codeReadOnly: // the client gets the error if it declared the transaction read-only itself
		return decide.Misdirected, !c.declaredReadOnly()
	case codeTooFarBehind:
		return decide.Misdirected, true
	case codeTooManyClients, codeCannotConnectNow:
		return decide.Overloaded, true
	}
	return 0, false
}

// countReadyAnswers returns how many ReadyForQuery messages answer a client's messages.
func countReadyAnswers(raw []byte) (count int) {
	reader := pgwire.NewReader(len(raw) + 1)
	reader.Feed(raw)
	for {
		m, ok, err := reader.Next()
		if err != nil || !ok {
			return count
		}
		if m.Type == pgwire.Query || m.Type == pgwire.Sync {
			count++
		}
	}
}

// firstStatementPending reports whether no statement of the transaction but its beginning was answered.
func (c *client) firstStatementPending() bool {
	t := c.transaction
	if t == nil {
		return c.begunTransaction != nil && c.unansweredMessages != nil
	}
	atStart := c.sessionState == pgwire.StateIdle || t.restartBytes > 0
	return !t.answered && t.attempt != nil && atStart
}

// declaredReadOnly reports whether the client has declared the transaction, or its session, read-only.
func (c *client) declaredReadOnly() bool {
	if c.state.Setting("default_transaction_read_only") != "" || c.state.Setting("transaction_read_only") != "" {
		return true
	}
	t := c.transaction
	if t == nil {
		t = c.begunTransaction
	}
	return slices.ContainsFunc(t.effects, func(s sqltext.Statement) bool { return s.ReadOnly })
}

// retryElsewhere sends a transaction whose first statement did not run, as an error with this code shows, to another server.
func (l *link) retryElsewhere(c *client, result decide.Result, code string) {
	c.link = nil
	l.owner = nil
	l.unusable = true // further messages from the server are for no client
	c.failed = false
	c.deferredAnswers = nil
	t := c.transaction
	if t == nil {
		l.frontend.logResend(c, l.serverID, resendRejected, code, c.unansweredMessages)
		l.close()
		if err := c.restart(c.unansweredMessages, true); err != nil {
			c.endWithError(codeProtocol, err.Error())
		}
		return
	}
	l.frontend.logResend(c, l.serverID, resendRejected, code, t.replay)
	t.hasConnection = false
	t.restarting = false
	a := t.attempt
	a.link = nil
	l.close()
	l.frontend.endCancelled(a, result, l)
}
