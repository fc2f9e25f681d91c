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

// Kinds of transactions, each with an admission queue of its own.
const (
	kindReads  = "reads"
	kindWrites = "writes"
)

// beginTransaction submits a transaction that begins with this message, as soon as it is admitted. If a transaction has only begun
// and lost its connection, it is restarted with this message instead.
func (c *client) beginTransaction(m pgwire.Message, effects []sqltext.Statement, sql string) error {
	if c.begunTransaction != nil {
		return c.restart(m.Raw, false)
	}
	if reason := c.rejectedAsSticky(effects); reason != 0 {
		c.failCommand(m.Type, codeUnsupported, fmt.Sprintf("%s can't be had in a pool by transaction", reason))
		return nil
	}
	if c.admitted {
		return c.submit(&transaction{client: c, replay: slices.Clone(m.Raw), effects: effects, sql: sql})
	}
	kind := kindWrites
	if readsOnly(effects) {
		kind = kindReads
	}
	c.queued = &queuedTransaction{firstMessage: slices.Clone(m.Raw), effects: effects, sql: sql, queuedAt: c.frontend.now()}
	c.frontend.expireLeases()
	c.frontend.execute(c.pool, c.pool.conns.Admit(c.waiterID(), kind, c.frontend.now()))
	return nil
}

// rejectedAsSticky returns the reason for which statements would make the session sticky, if the pool rejects such statements; 0
// otherwise.
func (c *client) rejectedAsSticky(effects []sqltext.Statement) sqltext.StickyReason {
	if !c.pool.options.RejectSticky || c.pool.options.Mode != Transaction {
		return 0
	}
	for _, s := range effects {
		if s.Sticky != 0 {
			return s.Sticky
		}
	}
	return 0
}

func (c *client) waiterID() connpool.ID { return connpool.ID(packRef(c.ref)) }

// onAdmitted submits the transaction that waited for admission.
func (c *client) onAdmitted() {
	queued := c.queued
	if c.closed || queued == nil {
		return
	}
	c.queued = nil
	c.admitted = true
	c.admissionMs = c.frontend.now() - queued.queuedAt
	if err := c.submit(&transaction{client: c, replay: queued.firstMessage, effects: queued.effects, sql: queued.sql}); err != nil {
		c.endWithError(codeProtocol, err.Error())
		return
	}
	c.proceed()
}

// onRejected ends the transaction that waited for admission.
func (c *client) onRejected() {
	queued := c.queued
	if c.closed || queued == nil {
		return
	}
	c.queued = nil
	c.recordAssignment(record.AssignmentRejected, nil, c.frontend.now()-queued.queuedAt, false)
	c.transaction = &transaction{client: c, replay: queued.firstMessage}
	c.endTransaction(c.transaction, codeTooManyClients, textNoConnection, "")
}

// leavePool ends the admission of the client's transaction, or its wait for one, so that another transaction can be admitted.
func (c *client) leavePool() {
	if c.pool != nil && (c.admitted || c.queued != nil) {
		c.admitted = false
		c.queued = nil
		c.frontend.execute(c.pool, c.pool.conns.Leave(c.waiterID()))
	}
}

// submit submits a transaction to the core.
func (c *client) submit(t *transaction) error {
	f, now := c.frontend, c.frontend.now()
	request := c.request(t, now)
	t.submittedAt = now
	t.open = true
	f.Counts.Transactions++
	c.transaction = t
	c.transactionStart = now
	c.wrote = !readsOnly(t.effects)
	c.failed = false
	ref, err := f.dispatcher.Submit(request, t)
	switch {
	case err != nil:
		c.submitFailed(t, err)
	case t.open && c.closed:
		f.dispatcher.Abandon(ref)
	case t.open:
		t.ref = ref
	}
	return nil
}

// request returns the request for a transaction. A platform comment in the SQL text takes precedence over the settings of the pool.
func (c *client) request(t *transaction, now float64) platform.Request {
	options := c.pool.options
	request := platform.Request{
		ID:          fmt.Sprintf("pool-%d-%d", c.pid, c.frontend.Counts.Transactions),
		Class:       options.Class,
		Group:       options.Group,
		Writes:      true,
		MinPosition: c.lastCommitMs,
		Session:     sessionKey(c.pid),
		Query:       t,
	}
	if options.Mode == Transaction && options.ReadClass != "" && readsOnly(t.effects) {
		request.Class = options.ReadClass
		request.Writes = false
	}
	waitMs := options.MaxTransactionMs
	if statement, err := pgwire.ParseStatement(t.sql); err == nil {
		request.Class = statement.Class
		request.Group = statement.Group
		request.Writes = statement.Writes
		waitMs = statement.WaitMs
	}
	if waitMs <= 0 {
		waitMs = requestMs
	}
	request.Deadline = now + waitMs
	return request
}

// submitFailed answers a transaction that the core did not accept.
func (c *client) submitFailed(t *transaction, err error) {
	t.open = false
	c.transaction = nil
	if t.restartBytes > 0 {
		c.endWithError(codeInternal, err.Error())
		return
	}
	c.leavePool()
	c.failCommand(t.replay[0], codeInternal, err.Error())
}

// unlink separates the client from its connection, and returns the connection, nil for none.
func (c *client) unlink() *link {
	l := c.link
	c.link = nil
	if l != nil {
		l.owner = nil
	}
	return l
}

// assign assigns a connection to the client, and sends the messages of the transaction so far.
func (c *client) assign(a *attempt, l *link) {
	fromOtherClient := l.lastSessionHash != 0 && l.lastSessionHash != c.sessionHash
	l.owner = c
	c.link = l
	l.lastSessionHash = c.sessionHash
	l.assigned = true
	if c.closed {
		c.unlink()
		l.free()
		return
	}
	waitedMs := c.admissionMs + c.frontend.now() - a.transaction.submittedAt
	c.recordAssignment(record.AssignmentGranted, l, waitedMs, fromOtherClient)
	c.lastServer = l.serverID
	c.resume(a, l)
}

// boundTransactionTime limits the time of the transaction.
func (c *client) boundTransactionTime() {
	limitMs := c.pool.options.MaxTransactionMs
	if limitMs <= 0 {
		return
	}
	c.frontend.eventLoop.StopTimer(c.limitTimer)
	c.limitTimer = c.frontend.eventLoop.At(c.transactionStart+limitMs, func() {
		if c.busy() {
			c.endWithError(codeCancelled, "the transaction took longer than this pool allows")
		}
	})
}

// endTransaction answers a transaction with an error, after the core or a cancel request of the client has ended it.
func (c *client) endTransaction(t *transaction, code, text, detail string) {
	if c.closed || c.transaction != t {
		return
	}
	if t.answered || c.linkBusy() || c.sessionState != pgwire.StateIdle {
		c.endWithError(code, text)
		return
	}
	c.transaction = nil
	c.frontend.eventLoop.StopTimer(c.limitTimer)
	defer c.leavePool()
	if c.link != nil && c.canMigrate() {
		c.unlink().free()
	}
	c.output = pgwire.AppendError(c.output, "ERROR", code, text, detail)
	if !c.dropReplay(t) {
		c.endWithError(code, text)
		return
	}
	c.flush()
	c.proceedSoon()
}

// dropReplay drops the messages of a transaction that ended with an error, up to the first Query or Sync, and answers that with
// ReadyForQuery. It returns false if further messages follow.
func (c *client) dropReplay(t *transaction) bool {
	c.skipToSync = true
	c.extendedOpen = false
	replay := t.replay
	t.replay = nil
	c.deferredAnswers = nil
	reader := pgwire.NewReader(max(c.frontend.options.MaxMessage, len(replay)+1))
	reader.Feed(replay)
	for {
		m, ok, err := reader.Next()
		if err != nil || !ok {
			return true
		}
		name, _, _, err := pgwire.ParseMessage(m.Body)
		if m.Type == pgwire.Parse && err == nil && t.sends > 0 {
			c.state.Unprepare(name) // the client gets no ParseComplete
		}
		switch {
		case !c.skipToSync:
			return false
		case m.Type == pgwire.Query || m.Type == pgwire.Sync:
			c.skipToSync = false
			c.appendReady()
		}
	}
}
