package pooling

import (
	"bytes"
	"strings"

	"beechgrade/internal/backend"
	"beechgrade/internal/decide"
	"beechgrade/internal/frontend/scatter/plan"
	"beechgrade/internal/protocol/pgwire"
	"beechgrade/internal/protocol/sqltext"
)

// neverBeginTypes are the types of messages that never begin a transaction.
const neverBeginTypes = "SHdcf"

// message handles one message of a client whose startup is complete.
func (c *client) message(m pgwire.Message) error {
	if m.Part {
		c.forwardPart(m)
		return nil
	}
	if c.skipToSync && m.Type != pgwire.Sync && m.Type != pgwire.Terminate {
		return nil
	}
	if m.Type == pgwire.Query {
		return c.simpleQuery(m)
	}
	if c.handleLocally(m) {
		return nil
	}
	if c.admin {
		c.fail(codeUnsupported, "only simple queries are taken here")
		return nil
	}
	if c.frontend.options.Scatter != nil {
		if done, err := c.scatterMessage(m); done || err != nil {
			return err
		}
	}
	if c.atTransactionStart() && !strings.ContainsRune(neverBeginTypes, rune(m.Type)) {
		effects, err := c.effectsOf(m)
		if err != nil {
			return err
		}
		return c.beginTransaction(m, effects, "")
	}
	return c.forward(m)
}

// forwardPart forwards a part of a long COPY message.
func (c *client) forwardPart(m pgwire.Message) {
	l := c.link
	if l == nil || !l.inPartialMessage {
		return
	}
	if l.pastGrace() {
		c.endWithError(codeShutdown, textServerDraining)
		return
	}
	l.write(m.Raw)
	l.inPartialMessage = m.More
}

// handleLocally handles a message that needs no server, and reports whether this was one.
func (c *client) handleLocally(m pgwire.Message) bool {
	switch m.Type {
	case pgwire.Terminate:
		c.terminating = c.answersOutstanding()
		if !c.terminating {
			c.close()
		}
		return true
	case pgwire.Sync:
		return c.syncLocally()
	case pgwire.Flush, pgwire.CopyData, pgwire.CopyDone, pgwire.CopyFail:
		return c.link == nil // ignored, as by a server outside a COPY
	case pgwire.FunctionCall:
		c.fail(codeUnsupported, "function calls are not taken; use a query")
		return true
	case pgwire.Close:
		return c.closeLocally(m)
	}
	return false
}

// syncLocally handles a Sync that needs no server: it begins a scattered read, ends skipped messages, or comes without a server
// connection.
func (c *client) syncLocally() bool {
	if c.boundRead != nil && !c.skipToSync {
		c.scatterSync()
		return true
	}
	c.boundRead = nil
	if !c.skipToSync && c.link != nil {
		return false
	}
	c.skipToSync = false
	c.extendedOpen = false
	c.appendReady()
	return true
}

// closeLocally handles Close if the client has no server connection.
func (c *client) closeLocally(m pgwire.Message) bool {
	if c.link != nil || len(m.Body) == 0 {
		return false
	}
	if m.Body[0] == pgwire.StatementTarget {
		c.state.Unprepare(targetName(m))
	}
	c.output = pgwire.AppendWithoutBody(c.output, pgwire.CloseComplete)
	return true
}

// targetName returns the name in a Describe or a Close, whose body is not empty.
func targetName(m pgwire.Message) string {
	name, _, _ := bytes.Cut(m.Body[1:], []byte{0})
	return string(name)
}

// effectsOf returns the effects of the statement that a message of the extended protocol prepares, binds or describes.
func (c *client) effectsOf(m pgwire.Message) ([]sqltext.Statement, error) {
	name := ""
	switch m.Type {
	case pgwire.Parse:
		_, sql, _, err := pgwire.ParseMessage(m.Body)
		if err != nil {
			return nil, err
		}
		return sqltext.Split(sql), nil
	case pgwire.Bind:
		_, bound, _, err := pgwire.BindMessage(m.Body)
		if err != nil {
			return nil, err
		}
		name = bound
	case pgwire.Describe:
		if len(m.Body) <= 1 || m.Body[0] != pgwire.StatementTarget {
			return nil, nil
		}
		name = targetName(m)
	default:
		return nil, nil
	}
	if statement := c.state.Statement(name); statement != nil {
		return statement.Effects, nil
	}
	return nil, nil
}

// effectsOfText returns the effects of the statements in an SQL text.
func effectsOfText(sql string) []sqltext.Statement {
	if setting, ok := sqltext.SetConfig(sql); ok {
		return []sqltext.Statement{setting}
	}
	return sqltext.Split(sql)
}

// simpleQuery handles a simple query.
func (c *client) simpleQuery(m pgwire.Message) error {
	c.skipToSync = false
	sql, err := pgwire.Text(m.Body)
	if err != nil {
		return err
	}
	if c.admin {
		c.adminQuery(sql)
		return nil
	}
	if c.frontend.options.Scatter != nil && plan.MayScatter(sql) && c.scatterQuery(sql) {
		return nil
	}
	effects := effectsOfText(sql)
	if len(effects) == 1 && c.link == nil && c.sessionState == pgwire.StateIdle && c.answerStatement(effects[0]) {
		return nil
	}
	if c.atTransactionStart() {
		return c.beginTransaction(m, effects, sql)
	}
	return c.forward(m)
}

// answerStatement answers a statement that needs no server, for a client without a server connection. It reports whether this was
// one.
func (c *client) answerStatement(s sqltext.Statement) bool {
	switch {
	case s.Kind == sqltext.Empty:
		c.output = pgwire.AppendReady(pgwire.AppendEmptyQueryResponse(c.output))
		return true
	case s.Kind == sqltext.Deallocate && s.Name == "":
		c.state.UnprepareAll()
		c.complete("DEALLOCATE ALL")
		return true
	case s.Kind == sqltext.Deallocate && c.state.Unprepare(s.Name):
		c.complete("DEALLOCATE")
		return true
	case s.Kind == sqltext.DiscardAll:
		c.state.Reset()
		c.complete("DISCARD ALL")
		return true
	}
	return false
}

// complete answers a simple query without rows by its command tag.
func (c *client) complete(tag string) {
	c.output = pgwire.AppendReady(pgwire.AppendComplete(c.output, tag))
}

// atTransactionStart reports whether the next message begins a transaction.
func (c *client) atTransactionStart() bool {
	if c.link == nil {
		return true
	}
	idle := c.sessionState == pgwire.StateIdle && len(c.link.expected) == 0
	return idle && c.transaction == nil && !c.extendedOpen
}

// readsOnly reports whether a transaction that begins with these statements is known to be read-only.
func readsOnly(effects []sqltext.Statement) bool {
	if len(effects) == 0 {
		return false
	}
	if effects[0].Kind == sqltext.Begin {
		return effects[0].ReadOnly // enforced by the server
	}
	for _, s := range effects {
		if s.Kind != sqltext.Read || s.Sticky != 0 {
			return false
		}
	}
	return true
}

// readyForQuery handles a ReadyForQuery for the client, with the transaction status that the server reported.
func (c *client) readyForQuery(l *link, state byte) {
	if c.transaction != nil && c.transaction.restarting {
		c.continueRestarted(l, state)
		return
	}
	c.noteReady(c.transaction, state)
	c.sessionState = state
	if state == pgwire.StateIdle {
		c.transactionEnded(l)
	}
	c.failed = false
	c.appendReady()
	switch t := c.transaction; {
	case t != nil:
		c.transaction = nil
		t.answered = true
		if t.attempt != nil {
			c.frontend.endAttempt(t.attempt, decide.OK, l)
		}
	case state == pgwire.StateIdle:
		c.frontend.events.AnswerEnded(l.serverID, c.transactionStart, backend.Outcome{Result: decide.OK, Report: l.report()})
	}
	if state != pgwire.StateIdle {
		c.boundIdleTime(l)
		return
	}
	c.frontend.eventLoop.StopTimer(c.limitTimer)
	c.wrote = false
	c.release()
}

// transactionEnded records the end of a transaction on its connection.
func (c *client) transactionEnded(l *link) {
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

// boundIdleTime limits the time that the client may be idle in the transaction.
func (c *client) boundIdleTime(l *link) {
	limitMs := c.pool.options.MaxIdleInTransactionMs
	if limitMs <= 0 || len(l.expected) > 0 {
		return
	}
	f := c.frontend
	f.eventLoop.StopTimer(c.idleTimer)
	c.idleTimer = f.eventLoop.At(f.now()+limitMs, func() {
		if c.sessionState != pgwire.StateIdle && c.transaction == nil && !c.linkBusy() {
			c.endWithError(codeIdleInTransaction, "the transaction was idle for longer than this pool allows")
		}
	})
}
