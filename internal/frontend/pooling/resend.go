package pooling

import (
	"slices"

	"beechgrade/internal/backend"
	"beechgrade/internal/decide"
	"beechgrade/internal/protocol/pgwire"
	"beechgrade/internal/protocol/sqltext"
)

// This file decides what may be sent to a server again. All of it rests on one rule: messages behind a Query or a Sync wait until that is
// answered (link.awaitsReady). So at most one transaction, or one part of a transaction block, is unanswered at a time, and what is shown for
// it holds for all that would be sent again:
//
//   - after an error, that its statement did not run (rejectionResult);
//   - after the loss of the connection, that no message that runs a statement was sent whole (link.receivedStatement).
//
// A lone BEGIN changes nothing, and does not count as a statement here.

// resendReason is why messages of a client may be sent to a server again.
type resendReason uint8

const (
	resendRejected    resendReason = iota // the server's error shows that the statement did not run
	resendLost                            // the connection was lost before the server had a message that runs a statement
	resendReasonCount                     // number of reasons
)

// String returns the reason as metrics and logs name it.
func (reason resendReason) String() string {
	return [...]string{"rejected", "lost"}[reason]
}

// logResend counts and logs that a client's messages may be sent again after an attempt at a server.
func (f *Frontend) logResend(c *client, server string, reason resendReason, code string, messages []byte) {
	f.Counts.Resent[reason]++
	f.log.Debug("pooling: messages may be sent again", "client", c.pid, "server", server, "reason", reason.String(), "code", code,
		"bytes", len(messages))
}

// awaitsReady reports whether a Query or a Sync of the client is unanswered. Only data of a COPY may be sent meanwhile.
func (l *link) awaitsReady() bool {
	if len(l.expected) == 0 {
		return false
	}
	last := l.expected[len(l.expected)-1].kind
	return last == answersQuery || last == answersSync
}

// noteStatement records, before a message of the given length is written, that it runs statements with these effects.
func (l *link) noteStatement(effects []sqltext.Statement, length int) {
	l.copy = noCopy
	if l.statementEnd == 0 && !onlyBegins(effects) {
		l.statementEnd = l.written + uint64(length)
	}
}

// receivedStatement reports whether the server may have received, whole, a message that runs a statement, where the socket has not accepted
// the last unsent bytes. They must never be sent after this.
func (l *link) receivedStatement(unsent int) bool {
	return l.statementEnd != 0 && l.written-uint64(unsent) >= l.statementEnd
}

// rejectionResult reports whether an error shows that a transaction's first statement did not run and may be sent to another server,
// and the result of the attempt.
func (l *link) rejectionResult(c *client, m pgwire.Message) (decide.Result, bool) {
	if !c.canMigrate() || !c.firstStatementPending() {
		return 0, false
	}
	code := pgwire.ErrorCode(m.Body)
	if code == backend.CodeReadOnly && c.declaredReadOnly() { // the client's own declaration, of which it gets the error
		return 0, false
	}
	return backend.RejectionResult(code)
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
	if !t.cancelled {
		l.frontend.logResend(c, l.serverID, resendRejected, code, t.replay)
	}
	t.hasConnection = false
	t.restarting = false
	a := t.attempt
	a.link = nil
	l.close()
	l.frontend.endCancelled(a, result, l)
}

// endOwnersAttempt ends the attempt of the client that used the connection when it was lost, with the given number of bytes unsent.
func (l *link) endOwnersAttempt(c *client, unsent int) {
	var a *attempt
	if c.transaction != nil {
		a = c.transaction.attempt
	}
	c.connectionLost(l)
	if a == nil && len(l.expected) > 0 {
		l.frontend.events.AnswerEnded(l.serverID, c.transactionStart, backend.Outcome{Result: decide.Reset})
	}
	if a != nil && !a.ended {
		retryable := !a.transaction.answered
		a.link = nil
		result := decide.Reset
		if retryable && !l.receivedStatement(unsent) {
			result = decide.Unreachable
			l.frontend.logResend(c, l.serverID, resendLost, "", a.transaction.replay)
		}
		if retryable && c.transaction != nil {
			c.transaction.hasConnection = false
			c.transaction.restarting = false
			c.deferredAnswers = nil
		}
		l.frontend.endCancelled(a, result, l)
	}
	if !c.closed {
		c.flush()
	}
}
