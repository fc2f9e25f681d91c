package pooling

import (
	"bytes"
	"strings"

	"beechgrade/internal/frontend/scatter/plan"
	"beechgrade/internal/protocol/pgwire"
	"beechgrade/internal/protocol/sqltext"
)

// message takes one message of a client that has started.
func (c *client) message(m pgwire.Message) error {
	if m.Part { // more of a copy's data
		if l := c.link; l != nil && l.inPartialMessage {
			if l.pastGrace() {
				c.endWithError("57P01", "the server of this transaction is being taken out; nothing of it was committed")
				return nil
			}
			l.write(m.Raw)
			l.inPartialMessage = m.More
		}
		return nil
	}
	if c.skipToSync && m.Type != 'S' && m.Type != 'X' {
		return nil
	}
	switch m.Type {
	case 'X':
		if c.terminating = c.answersOutstanding(); !c.terminating {
			c.close()
		}
		return nil
	case 'Q':
		c.skipToSync = false
		sql, err := pgwire.Text(m.Body)
		if err != nil {
			return err
		}
		if c.admin {
			c.adminQuery(sql)
			return nil
		}
		if c.frontend.options.Scatter != nil && plan.Is(sql) {
			if took := c.scatterQuery(sql); took {
				return nil
			}
		}
		return c.query(sql, m)
	case 'S':
		if c.boundRead != nil && !c.skipToSync {
			c.scatterSync()
			return nil
		}
		c.boundRead = nil
		if c.skipToSync || c.link == nil {
			c.skipToSync, c.extendedOpen = false, false
			c.output = pgwire.AppendReadyInState(c.output, c.sessionState)
			return nil
		}
	case 'H', 'd', 'c', 'f':
		if c.link == nil {
			return nil // to nobody: as a server does with what comes outside a copy
		}
	case 'F':
		c.fail("0A000", "function calls are not taken; use a query")
		return nil
	case 'C':
		if c.link == nil && len(m.Body) > 0 {
			if m.Body[0] == 'S' {
				name, _, _ := bytes.Cut(m.Body[1:], []byte{0})
				c.state.Unprepare(string(name))
			}
			c.output = append(c.output, '3', 0, 0, 0, 4)
			return nil
		}
	}
	if c.admin {
		c.fail("0A000", "only simple queries are taken here")
		return nil
	}
	if c.frontend.options.Scatter != nil && !c.admin {
		if took, err := c.scatterMessage(m); took || err != nil {
			return err
		}
	}
	if c.atTransactionStart() && !strings.ContainsRune("SHdcf", rune(m.Type)) {
		does, err := c.effectsOf(m)
		if err != nil {
			return err
		}
		return c.beginTransaction(m, does, "")
	}
	return c.forward(m)
}

// effectsOf is what a message of the extended protocol leads to.
func (c *client) effectsOf(m pgwire.Message) ([]sqltext.Statement, error) {
	switch m.Type {
	case 'P':
		_, sql, _, err := pgwire.ParseMessage(m.Body)
		if err != nil {
			return nil, err
		}
		return sqltext.Split(sql), nil
	case 'B':
		_, name, _, err := pgwire.BindMessage(m.Body)
		if err != nil {
			return nil, err
		}
		if t := c.state.Statement(name); t != nil {
			return t.Effects, nil
		}
	case 'D':
		if len(m.Body) > 1 && m.Body[0] == 'S' {
			name, _, _ := bytes.Cut(m.Body[1:], []byte{0})
			if t := c.state.Statement(string(name)); t != nil {
				return t.Effects, nil
			}
		}
	}
	return nil, nil
}

// query takes a simple query.
func (c *client) query(sql string, m pgwire.Message) error {
	does := sqltext.Split(sql)
	if s, ok := sqltext.SetConfig(sql); ok {
		does = []sqltext.Statement{s}
	}
	if len(does) == 1 && c.link == nil && c.sessionState == 'I' {
		switch s := does[0]; s.Kind {
		case sqltext.Empty:
			c.output = pgwire.AppendReady(pgwire.AppendEmpty(c.output))
			return nil
		case sqltext.Deallocate:
			if s.Name == "" {
				c.state.UnprepareAll()
				c.output = pgwire.AppendReady(pgwire.AppendComplete(c.output, "DEALLOCATE ALL"))
				return nil
			}
			if c.state.Unprepare(s.Name) {
				c.output = pgwire.AppendReady(pgwire.AppendComplete(c.output, "DEALLOCATE"))
				return nil
			}
		case sqltext.DiscardAll:
			c.state.Reset()
			c.output = pgwire.AppendReady(pgwire.AppendComplete(c.output, "DISCARD ALL"))
			return nil
		}
	}
	if c.atTransactionStart() {
		return c.beginTransaction(m, does, sql)
	}
	return c.forward(m)
}

// atTransactionStart tells whether what comes next begins a transaction.
func (c *client) atTransactionStart() bool {
	return c.link == nil || c.sessionState == 'I' && len(c.link.expected) == 0 && c.transaction == nil && !c.extendedOpen
}

// reading tells whether a transaction that begins so is known to change nothing.
func reading(does []sqltext.Statement) bool {
	if len(does) == 0 {
		return false
	}
	if does[0].Kind == sqltext.Begin {
		return does[0].ReadOnly // and the server holds it to that
	}
	for _, s := range does {
		if s.Kind != sqltext.Read || s.Sticky != 0 {
			return false
		}
	}
	return true
}

// fail answers with an error; what follows is skipped up to Sync.
func (c *client) fail(code, text string) {
	c.skipToSync = true
	c.output = pgwire.AppendError(c.output, "ERROR", code, text, "")
}

// ready takes a ReadyForQuery that is the client's.
func (c *client) ready(l *link, status byte) {
	if t := c.transaction; t != nil && t.restarting {
		c.continueRestarted(l, status)
		return
	}
	c.settledAt(c.transaction, status)
	c.sessionState = status
	if status == 'I' {
		if c.failed {
			c.state.Abort()
		} else {
			c.state.Commit(l.state)
		}
		clear(c.portals)
		if c.wrote && !c.failed {
			c.lastCommitMs = max(c.lastCommitMs, l.commitPosition())
		}
	}
	c.failed = false
	c.output = pgwire.AppendReadyInState(c.output, status)
	if t := c.transaction; t != nil && (status != 'I' || len(l.expected) == 0) {
		c.transaction = nil
		t.answered = true
		if a := t.attempt; a != nil {
			c.frontend.endAttempt(a, 0, l) // OK
		}
	}
	switch {
	case status != 'I':
		if c.pool.options.IdleTxnMs > 0 && len(l.expected) == 0 {
			c.frontend.eventLoop.StopTimer(c.idleTimer)
			c.idleTimer = c.frontend.eventLoop.At(c.frontend.eventLoop.Now()+c.pool.options.IdleTxnMs, func() {
				if c.sessionState != 'I' && c.transaction == nil && (c.link == nil || len(c.link.expected) == 0) {
					c.endWithError("25P03", "the transaction was idle for longer than this pool allows")
				}
			})
		}
	case len(l.expected) == 0 && !c.extendedOpen:
		c.frontend.eventLoop.StopTimer(c.limitTimer)
		c.wrote = false
		c.release()
	}
}
