package pooling

import (
	"bytes"
	"fmt"
	"strings"

	"beechgrade/internal/frontend/pooling/sessionstate"
	"beechgrade/internal/protocol/pgwire"
	"beechgrade/internal/protocol/sqltext"
)

// forward sends a message to the client's server, with the names of prepared statements replaced by those at the server.
func (c *client) forward(m pgwire.Message) error {
	l := c.link
	c.frontend.eventLoop.StopTimer(c.idleTimer)
	c.idleTimer = nil
	if l.pastGrace() && c.leaveConnection() {
		return c.restart(m.Raw, false)
	}
	if !c.checkKept() {
		return c.continueAfterLoss(m)
	}
	c.keepForReplay(m)
	if l.skipping {
		if m.Type != pgwire.Sync { // skipped, as by the server after an error in a pipeline
			return nil
		}
		l.skipping = false
	}
	if l.pastGrace() {
		c.endWithError(codeShutdown, textServerDraining)
		return nil
	}
	if l.copy == copyWaits && c.forwardDuringCopy(m.Type) {
		return nil
	}
	switch m.Type {
	case pgwire.Query:
		return c.forwardQuery(m)
	case pgwire.Parse:
		return c.forwardParse(m)
	case pgwire.Bind:
		return c.forwardBind(m)
	case pgwire.Describe:
		return c.forwardDescribe(m)
	case pgwire.Execute:
		c.forwardExecute(m)
	case pgwire.Close:
		return c.forwardClose(m)
	case pgwire.Sync:
		c.extendedOpen = false
		l.expect(expectedAnswer{kind: answersSync})
		l.write(m.Raw)
	default: // Flush, and the messages of COPY
		if m.Type == pgwire.CopyDone || m.Type == pgwire.CopyFail {
			l.copy = copyAllSent
		}
		l.write(m.Raw)
		l.inPartialMessage = m.More
	}
	return nil
}

// continueAfterLoss handles a message that was to be sent on a connection that has just been closed.
func (c *client) continueAfterLoss(m pgwire.Message) error {
	t := c.transaction
	switch {
	case c.closed:
		return nil
	case t == nil:
		return c.message(m)
	case t.attempt != nil && t.attempt.sent: // the transaction has another connection by now
		return c.forward(m)
	}
	c.keepForReplay(m)
	return nil
}

func (c *client) forwardQuery(m pgwire.Message) error {
	sql, err := pgwire.Text(m.Body)
	if err != nil {
		return err
	}
	l, effects := c.link, effectsOfText(sql)
	c.noteEffects(effects)
	c.extendedOpen = false
	l.noteStatement(effects, len(m.Raw))
	l.expect(expectedAnswer{kind: answersQuery, effects: effects})
	l.write(m.Raw)
	c.frontend.Counts.Executed++
	return nil
}

func (c *client) forwardParse(m pgwire.Message) error {
	name, sql, types, err := pgwire.ParseMessage(m.Body)
	if err != nil {
		return err
	}
	l := c.link
	c.extendedOpen = true
	if c.resending && name != "" {
		c.state.Unprepare(name)
	}
	var replaced *sessionstate.Statement // the unnamed statement so far; restored if the pipeline failed before this Parse
	if name == "" {
		replaced = c.state.Detach(name)
	}
	statement, exists, err := c.state.Prepare(name, sql, types)
	switch {
	case err != nil:
		c.reattach(&expectedAnswer{detached: replaced}, false)
		c.endWithError(codeLimitExceeded, err.Error())
		return nil
	case exists: // the server sends the error, in order
		existing := c.state.Statement(name)
		l.ensurePrepared(existing)
		l.expect(expectedAnswer{kind: answersParse})
		l.write(pgwire.AppendParse(nil, existing.Name(), sql, types))
		return nil
	case l.state.Has(statement):
		complete := pgwire.AppendWithoutBody(nil, pgwire.ParseComplete)
		l.expect(expectedAnswer{kind: answersLocally, answer: complete, name: name, toClient: true, detached: replaced})
		l.sendLocalAnswers()
		return nil
	}
	l.closeEvicted(l.state.Add(statement))
	c.frontend.Counts.Prepared++
	l.expect(expectedAnswer{kind: answersParse, statement: statement, name: name, toClient: true, detached: replaced})
	l.write(pgwire.AppendParse(nil, statement.Name(), sql, types))
	return nil
}

func (c *client) forwardBind(m pgwire.Message) error {
	portal, name, rest, err := pgwire.BindMessage(m.Body)
	if err != nil {
		return err
	}
	l := c.link
	c.extendedOpen = true
	statement := c.state.Statement(name)
	if statement == nil { // the server sends the error, with the client's name
		l.expect(expectedAnswer{kind: answersBind})
		l.write(m.Raw)
		return nil
	}
	l.ensurePrepared(statement)
	if len(c.portals) < sessionstate.MaxStatements {
		c.portals[portal] = statement
	}
	l.expect(expectedAnswer{kind: answersBind})
	l.write(pgwire.AppendBind(nil, portal, statement.Name(), rest))
	return nil
}

func (c *client) forwardDescribe(m pgwire.Message) error {
	if len(m.Body) <= 1 {
		return fmt.Errorf("%w: Describe", pgwire.ErrMalformed)
	}
	l := c.link
	c.extendedOpen = true
	if m.Body[0] != pgwire.StatementTarget {
		l.expect(expectedAnswer{kind: answersDescribe})
		l.write(m.Raw)
		return nil
	}
	message := m.Raw
	if statement := c.state.Statement(targetName(m)); statement != nil {
		l.ensurePrepared(statement)
		message = pgwire.AppendDescribeStatement(nil, statement.Name())
	}
	l.expect(expectedAnswer{kind: answersDescribe, describesStatement: true})
	l.write(message)
	return nil
}

func (c *client) forwardExecute(m pgwire.Message) {
	l := c.link
	portal, _, _ := bytes.Cut(m.Body, []byte{0})
	var effects []sqltext.Statement
	if statement := c.portals[string(portal)]; statement != nil {
		effects = statement.Effects
		c.noteEffects(effects)
	} else {
		c.wrote = true
	}
	c.extendedOpen = true
	l.noteStatement(effects, len(m.Raw))
	l.expect(expectedAnswer{kind: answersExecute, effects: effects})
	l.write(m.Raw)
	c.frontend.Counts.Executed++
}

func (c *client) forwardClose(m pgwire.Message) error {
	if len(m.Body) <= 1 {
		return fmt.Errorf("%w: Close", pgwire.ErrMalformed)
	}
	l := c.link
	c.extendedOpen = true
	name := targetName(m)
	if m.Body[0] == pgwire.StatementTarget { // stays prepared at the server, for the next client that prepares the same text
		complete := pgwire.AppendWithoutBody(nil, pgwire.CloseComplete)
		l.expect(expectedAnswer{kind: answersLocally, answer: complete, name: name, detached: c.state.Detach(name)})
		l.sendLocalAnswers()
		return nil
	}
	delete(c.portals, name)
	l.expect(expectedAnswer{kind: answersClose})
	l.write(m.Raw)
	return nil
}

// reattach ends the detachment of a statement from its name by a message: the statement gets its name back if restore is true, because the pipeline
// failed, and is released otherwise. The client is nil if it has disconnected.
func (c *client) reattach(expected *expectedAnswer, restore bool) {
	if expected.detached == nil {
		return
	}
	if c == nil {
		expected.detached.Release()
	} else {
		c.state.Reattach(expected.name, expected.detached, restore && !c.closed)
	}
	expected.detached = nil
}

// noteEffects records, before statements run, whether they may write.
func (c *client) noteEffects(effects []sqltext.Statement) {
	if len(effects) == 0 {
		c.wrote = true
	}
	for _, s := range effects {
		switch s.Kind {
		case sqltext.Read, sqltext.Show, sqltext.Empty, sqltext.Set:
		case sqltext.Begin, sqltext.Commit, sqltext.Rollback, sqltext.Savepoint:
		default:
			c.wrote = true
		}
	}
}

// statementInterrupted records the statement to which the server has answered an error, or that its portal is suspended.
func (c *client) statementInterrupted(expected *expectedAnswer) {
	if expected.nextEffect < len(expected.effects) {
		c.state.Interrupted(&expected.effects[expected.nextEffect])
	}
}

// statementCompleted records a statement that the server has statementCompleted.
func (c *client) statementCompleted(s *sqltext.Statement, tag string) {
	switch s.Kind {
	case sqltext.Commit:
		if strings.HasPrefix(tag, "ROLLBACK") {
			c.state.Abort()
		} else {
			c.state.Commit(c.link.state)
		}
	case sqltext.Rollback:
		c.state.Abort()
	case sqltext.DiscardAll:
		c.state.Reset()
		c.link.state.DiscardedAll()
	case sqltext.Deallocate:
		if s.Name == "" {
			c.state.UnprepareAll()
			c.link.state.DeallocatedAll()
		} else {
			c.state.Unprepare(s.Name)
		}
	default:
		c.state.Completed(s)
	}
}
