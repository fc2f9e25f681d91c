package pooling

import (
	"fmt"
	"slices"

	"beechgrade/internal/frontend/platform"
	"beechgrade/internal/frontend/pooling/connpool"
	"beechgrade/internal/protocol/pgwire"
	"beechgrade/internal/protocol/sqltext"
	"beechgrade/internal/record"
)

// beginTransaction puts a transaction that begins with this message to the decision module.
func (c *client) beginTransaction(m pgwire.Message, does []sqltext.Statement, sql string) error {
	if c.begunTransaction != nil {
		return c.restart(m.Raw, false)
	}
	if c.pool.options.RejectSticky && c.pool.options.Mode == Transaction {
		for _, s := range does {
			if s.Sticky != 0 {
				c.fail("0A000", fmt.Sprintf("%s can't be had in a pool by transaction", s.Sticky))
				if m.Type == 'Q' {
					c.skipToSync = false
					c.output = pgwire.AppendReadyInState(c.output, c.sessionState)
				}
				return nil
			}
		}
	}
	if !c.admitted {
		kind := "writes"
		if reading(does) {
			kind = "reads"
		}
		c.queued = &queuedTransaction{raw: slices.Clone(m.Raw), does: does, sql: sql, since: c.frontend.eventLoop.Now()}
		c.frontend.expireLeases()
		c.frontend.execute(c.pool, c.pool.conns.Admit(c.id(), kind, c.frontend.eventLoop.Now()))
		return nil
	}
	return c.submit(&transaction{client: c, replay: slices.Clone(m.Raw), effects: does, sql: sql})
}

func (c *client) id() connpool.ID { return connpool.ID(refNumber(c.ref)) }

// onAdmitted goes on with a transaction that has been let in.
func (c *client) onAdmitted() {
	x := c.queued
	if c.closed || x == nil {
		return
	}
	c.queued, c.admitted = nil, true
	c.admissionMs = c.frontend.eventLoop.Now() - x.since
	if err := c.submit(&transaction{client: c, replay: x.raw, effects: x.does, sql: x.sql}); err != nil {
		c.endWithError("08P01", err.Error())
		return
	}
	c.proceed()
}

// onRejected ends a transaction that was not let in.
func (c *client) onRejected() {
	x := c.queued
	if c.closed || x == nil {
		return
	}
	c.queued = nil
	c.recordHand(record.AssignmentRejected, nil, c.frontend.eventLoop.Now()-x.since, false)
	c.transaction = &transaction{client: c, replay: x.raw}
	c.endTransaction(c.transaction, "53300", "no connection came free in time", "")
}

// leavePool has another be let in.
func (c *client) leavePool() {
	if c.pool != nil && (c.admitted || c.queued != nil) {
		c.admitted, c.queued = false, nil
		c.frontend.execute(c.pool, c.pool.conns.Leave(c.id()))
	}
}

// submit puts a transaction to the decision module, beginning with what it holds.
func (c *client) submit(t *transaction) error {
	f, o, now := c.frontend, c.pool.options, c.frontend.eventLoop.Now()
	q := platform.Request{ID: fmt.Sprintf("pool-%d-%d", c.pid, f.Counts.Transactions), Class: o.Class, Group: o.Group, Writes: true, MinPosition: c.lastCommitMs,
		Session: sessionKey(c.pid)}
	if c.pool.options.Mode == Transaction && o.Reads != "" && reading(t.effects) {
		q.Class, q.Writes = o.Reads, false
	}
	wait := o.TxnMs
	if st, err := pgwire.ParseStatement(t.sql); err == nil { // the platform's comment goes before the settings
		q.Class, q.Group, q.Writes, wait = st.Class, st.Group, st.Writes, st.WaitMs
	}
	if wait <= 0 {
		wait = 600000
	}
	q.Deadline = now + wait
	t.submittedAt, t.open, q.Query = now, true, t
	f.Counts.Transactions++
	c.transaction, c.transactionStart, c.wrote, c.failed = t, now, !reading(t.effects), false
	ref, err := f.dispatcher.Submit(q, t)
	switch {
	case err != nil:
		t.open, c.transaction = false, nil
		if t.restartBytes > 0 {
			c.endWithError("58000", err.Error())
			return nil
		}
		c.leavePool()
		c.fail("58000", err.Error())
		if t.replay[0] == 'Q' {
			c.skipToSync = false
			c.output = pgwire.AppendReadyInState(c.output, c.sessionState)
		}
	case t.open && c.closed:
		f.dispatcher.Abandon(ref)
	case t.open:
		t.ref = ref
	}
	return nil
}

// keepConnection has a client that keeps its connection go on with it, where its server is the one decided on.
func (c *client) keepConnection(a *attempt) bool {
	l := c.link
	if l == nil {
		return false
	}
	if l.serverID != a.server {
		if c.state.Sticky != 0 && l.closesAt == 0 {
			c.resume(a, l) // what binds it can't move
			return true
		}
		c.frontend.Counts.Moves++
		c.link = nil
		l.owner = nil
		l.free()
		return false
	}
	if l.closesAt != 0 {
		c.link, l.owner = nil, nil
		l.free()
		return false
	}
	if l.serverClosed() {
		if c.state.Sticky != 0 {
			c.endWithError("57P01", fmt.Sprintf("the server connection ended, and with it %s", c.state.Sticky))
			return true
		}
		c.link, l.owner = nil, nil
		l.close()
		return false
	}
	c.resume(a, l)
	return true
}

// assign gives the client a connection, and sends what the transaction has so far.
func (c *client) assign(a *attempt, l *link) {
	other := l.lastSession != 0 && l.lastSession != c.session
	l.owner, c.link, l.lastSession = c, l, c.session
	if c.closed {
		c.link, l.owner = nil, nil
		l.free()
		return
	}
	c.recordHand(record.AssignmentGranted, l, c.admissionMs+c.frontend.eventLoop.Now()-a.transaction.submittedAt, other)
	c.lastServer = l.serverID
	c.resume(a, l)
}

func (c *client) resume(a *attempt, l *link) {
	a.link = l
	if c.pool.options.TxnMs > 0 {
		c.frontend.eventLoop.StopTimer(c.limitTimer)
		c.limitTimer = c.frontend.eventLoop.At(c.transactionStart+c.pool.options.TxnMs, func() {
			if c.busy() {
				c.endWithError("57014", "the transaction took longer than this pool allows")
			}
		})
	}
	if sql := c.state.SyncQuery(l.state); sql != "" {
		c.frontend.Counts.SettingsSynced++
		l.sendOwn(sql, func() { c.state.Synced(l.state) })
	}
	t := c.transaction
	if t == nil || c.link != l { // the connection broke at the settings: what is held is still to be sent, or answered
		return
	}
	l.reportParameters(c)
	t.hasConnection = true
	if err := c.sendHeld(t); err != nil {
		c.endWithError("08P01", err.Error())
		return
	}
	if l.conn != nil && l.conn.Unsent() == 0 {
		c.frontend.events.AttemptWritten(a.tag)
	}
	c.proceedSoon()
}

// endTransaction ends a transaction that the decision module has given up.
func (c *client) endTransaction(t *transaction, code, text, detail string) {
	if c.closed || c.transaction != t {
		return
	}
	if t.answered || c.link != nil && len(c.link.expected) > 0 || c.sessionState != 'I' {
		c.endWithError(code, text)
		return
	}
	c.transaction = nil
	c.frontend.eventLoop.StopTimer(c.limitTimer)
	defer c.leavePool()
	if l := c.link; l != nil && c.pool.options.Mode == Transaction && c.state.Sticky == 0 {
		c.link, l.owner = nil, nil
		l.free()
	}
	c.output = pgwire.AppendError(c.output, "ERROR", code, text, detail)
	// Of what was held, all up to the first point at which an answer is due is done with; what comes behind is new.
	c.skipToSync, c.extendedOpen = true, false
	held := t.replay
	t.replay, c.deferredAnswers = nil, nil
	r := pgwire.NewReader(max(c.frontend.options.MaxMessage, len(held)+1))
	r.Feed(held)
	for {
		m, ok, err := r.Next()
		if err != nil || !ok {
			break
		}
		if name, _, _, err := pgwire.ParseMessage(m.Body); m.Type == 'P' && err == nil && t.sends > 0 {
			c.state.Unprepare(name) // the client hears of no ParseComplete
		}
		if c.skipToSync && (m.Type == 'Q' || m.Type == 'S') {
			c.skipToSync = false
			c.output = pgwire.AppendReadyInState(c.output, c.sessionState)
			continue
		}
		if !c.skipToSync {
			c.endWithError(code, text)
			return
		}
	}
	c.flush()
	c.proceedSoon()
}
