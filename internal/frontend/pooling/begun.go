package pooling

import (
	"slices"

	"beechgrade/internal/decide"
	"beechgrade/internal/protocol/pgwire"
	"beechgrade/internal/protocol/sqltext"
	"beechgrade/internal/record"
)

// A transaction that has done nothing but begin has seen nothing and changed nothing. Where its server drains, goes, or
// says at the first statement that it is not the primary any more, the transaction begins again elsewhere: by a request
// of its own to the decision module, without a word to the client.

// onlyBegins tells whether statements do nothing but begin a transaction.
func onlyBegins(does []sqltext.Statement) bool {
	return len(does) == 1 && does[0].Kind == sqltext.Begin
}

// cutFirst parts what a client sent behind the first message at which an answer is due whole. whole is false where there
// is no such message.
func cutFirst(raw []byte) (first, rest []byte, whole bool) {
	r := pgwire.NewReader(len(raw) + 1)
	r.Feed(raw)
	at := 0
	for {
		m, ok, err := r.Next()
		if err != nil || !ok {
			return raw, nil, false
		}
		at += len(m.Raw)
		if m.Type == 'Q' || m.Type == 'S' {
			return raw[:at], raw[at:], true
		}
	}
}

// canMigrate tells whether what this client holds can go on at another server.
func (c *client) canMigrate() bool { return c.pool.options.Mode == Transaction && c.state.Sticky == 0 }

// settledAt takes note of a ReadyForQuery: whether the transaction that is open there has only begun.
func (c *client) settledAt(t *transaction, status byte) {
	c.flushRequested = false
	switch {
	case status != 'T' || !c.canMigrate():
		c.begunTransaction, c.beginMessages, c.unansweredMessages = nil, nil, nil
	case t != nil && !t.answered:
		first, rest, _ := cutFirst(t.replay)
		c.begunTransaction, c.beginMessages, c.unansweredMessages = t, slices.Clone(first), slices.Clone(rest)
	case c.begunTransaction != nil: // what came since was no statement that ran: it is done with
		_, rest, _ := cutFirst(c.unansweredMessages)
		c.unansweredMessages = slices.Clone(rest)
	}
	if len(c.unansweredMessages) == 0 {
		c.unansweredMessages = nil
	}
	c.flushDeferred()
}

// flushDeferred has the client hear what was held back.
func (c *client) flushDeferred() {
	c.output = append(c.output, c.deferredAnswers...)
	c.deferredAnswers = nil
}

// noteAnswered takes note that a server has answered with more than a beginning: nothing can be asked again.
func (c *client) noteAnswered() {
	if t := c.transaction; t != nil {
		t.answered, t.replay = true, nil
	}
	c.begunTransaction, c.beginMessages, c.unansweredMessages = nil, nil, nil
	c.flushDeferred()
}

// mayDefer tells whether what only prepares or begins may be held back: it may yet be asked of another server.
func (c *client) mayDefer() bool {
	if c.flushRequested || len(c.deferredAnswers) > resumeUnsent {
		return false
	}
	if t := c.transaction; t != nil {
		return !t.answered
	}
	return c.begunTransaction != nil
}

// keepForReplay keeps a message that goes out, for another server.
func (c *client) keepForReplay(m pgwire.Message) {
	switch t := c.transaction; {
	case c.replaying:
	case m.More || m.Part:
		c.noteAnswered()
	case t != nil && !t.answered:
		if t.replay = append(t.replay, m.Raw...); len(t.replay) > maxReplayBytes {
			c.noteAnswered() // too long to be asked again
		}
	case t == nil && c.begunTransaction != nil:
		if c.unansweredMessages = append(c.unansweredMessages, m.Raw...); len(c.unansweredMessages) > maxReplayBytes {
			c.noteAnswered()
		}
	}
	if m.Type == 'H' {
		c.flushRequested = true
		if len(c.deferredAnswers) > 0 {
			c.noteAnswered()
		}
	}
}

// leaveConnection gives up the connection of a transaction that has only begun, and tells whether it could. It begins again with
// the client's next message.
func (c *client) leaveConnection() bool {
	l := c.link
	if c.begunTransaction == nil || c.unansweredMessages != nil || l == nil || len(l.expected) > 0 || c.transaction != nil || !c.canMigrate() {
		return false
	}
	c.link, l.owner = nil, nil
	l.close()
	return true
}

// restart has a transaction that has only begun do so elsewhere, and go on with what the client sent since. sent
// says that this went to a server before.
func (c *client) restart(leg []byte, sent bool) error {
	o := c.begunTransaction
	t := &transaction{client: c, replay: slices.Concat(c.beginMessages, leg), effects: o.effects, sql: o.sql, restartBytes: len(c.beginMessages)}
	if sent {
		t.sends = 1
	}
	c.begunTransaction, c.beginMessages, c.unansweredMessages, c.deferredAnswers = nil, nil, nil, nil
	c.frontend.Counts.Restarts++
	c.recordHand(record.AssignmentRestarted, nil, 0, false)
	began := c.transactionStart
	err := c.submit(t)
	c.transactionStart = began
	return err
}

// sendHeld sends what a transaction has so far. One that begins again is sent its beginning alone at first.
func (c *client) sendHeld(t *transaction) error {
	l := c.link
	t.sends++
	held := t.replay
	if t.restartBytes > 0 {
		t.restarting = true
		held = held[:t.restartBytes]
	}
	return c.sendAll(l, held, t.sends > 1 || t.restartBytes > 0)
}

// continueRestarted goes on with a transaction that has begun again.
func (c *client) continueRestarted(l *link, status byte) {
	t := c.transaction
	t.restarting = false
	if status != 'T' {
		c.endWithError("08006", "the transaction could not begin again at another server; nothing of it was committed")
		return
	}
	if err := c.sendAll(l, t.replay[t.restartBytes:], t.sends > 1); err != nil {
		c.endWithError("08P01", err.Error())
		return
	}
	c.proceedSoon()
}

// sendAll sends messages that are held, which stay so until the server has said something. redo says that they were sent
// before.
func (c *client) sendAll(l *link, raw []byte, redo bool) error {
	r := pgwire.NewReader(max(c.frontend.options.MaxMessage, len(raw)+1))
	r.Feed(raw)
	c.replaying, c.resending = true, redo
	defer func() { c.replaying, c.resending = false, false }()
	for !c.closed && c.link == l {
		m, ok, err := r.Next()
		if err != nil || !ok {
			return nil
		}
		if err := c.forward(m); err != nil {
			return err
		}
	}
	return nil
}

// proceedSoon goes on with what the client sent meanwhile, off this call.
func (c *client) proceedSoon() {
	if !c.closed && c.conn != nil {
		c.frontend.eventLoop.At(c.frontend.eventLoop.Now(), c.proceed)
	}
}

// harmless tells whether all that went to the server was a beginning: whether it ran does not matter.
func (t *transaction) harmless() bool {
	if t.answered || !onlyBegins(t.effects) {
		return false
	}
	if t.restartBytes > 0 {
		return t.restarting
	}
	_, rest, _ := cutFirst(t.replay)
	return len(rest) == 0 && beginsAlone(t.replay)
}

// beginsAlone tells whether the messages up to the first answer run one statement at most. The first of them, which
// decides what the transaction is, begins it.
func beginsAlone(raw []byte) bool {
	r := pgwire.NewReader(len(raw) + 1)
	r.Feed(raw)
	runs := 0
	for {
		m, ok, err := r.Next()
		if err != nil || !ok {
			return runs <= 1
		}
		if m.Type == 'Q' || m.Type == 'E' {
			runs++
		}
	}
}

// mayRunElsewhere tells whether an error says that a transaction's first statement did not run, and it may be asked elsewhere.
func (l *link) mayRunElsewhere(c *client, m pgwire.Message) (decide.Result, bool) {
	if !c.canMigrate() {
		return 0, false
	}
	t, does := c.transaction, []sqltext.Statement(nil)
	switch {
	case t != nil && !t.answered && t.attempt != nil && (c.sessionState == 'I' || t.restartBytes > 0):
		does = t.effects
	case t == nil && c.begunTransaction != nil && c.unansweredMessages != nil:
		does = c.begunTransaction.effects
	default:
		return 0, false
	}
	switch pgwire.ErrorCode(m.Body) {
	case "25006":
		wanted := c.state.Setting("default_transaction_read_only") != "" || c.state.Setting("transaction_read_only") != ""
		for _, s := range does {
			wanted = wanted || s.ReadOnly
		}
		return decide.Misdirected, !wanted // a transaction that was declared so gets what it asked for
	case "72000":
		return decide.Misdirected, true
	case "53300", "57P03":
		return decide.Overloaded, true
	}
	return 0, false
}

// retryElsewhere asks a transaction again whose first statement did not run.
func (l *link) retryElsewhere(c *client, r decide.Result) {
	c.link, l.owner, l.unusable = nil, nil, true // what the server still says belongs to nobody
	c.failed, c.deferredAnswers = false, nil
	t := c.transaction
	if t == nil {
		l.close()
		if err := c.restart(c.unansweredMessages, true); err != nil {
			c.endWithError("08P01", err.Error())
		}
		return
	}
	t.hasConnection, t.restarting = false, false
	a := t.attempt
	a.link = nil
	l.close()
	l.frontend.endCancelled(a, r, l)
}
