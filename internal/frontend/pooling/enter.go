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

// ask puts a transaction that begins with this message to the decision module.
func (c *client) ask(m pgwire.Message, does []sqltext.Statement, sql string) error {
	if c.opened != nil {
		return c.beginAgain(m.Raw, false)
	}
	if c.pool.opt.RefusePins && c.pool.opt.Mode == Transaction {
		for _, s := range does {
			if s.Sticky != 0 {
				c.complain("0A000", fmt.Sprintf("%s can't be had in a pool by transaction", s.Sticky))
				if m.Type == 'Q' {
					c.skip = false
					c.out = pgwire.AppendReadyInState(c.out, c.status)
				}
				return nil
			}
		}
	}
	if !c.inside {
		kind := "writes"
		if reading(does) {
			kind = "reads"
		}
		c.outside = &outside{raw: slices.Clone(m.Raw), does: does, sql: sql, since: c.f.loop.Now()}
		c.f.expire()
		c.f.do(c.pool, c.pool.share.Enter(c.id(), kind, c.f.loop.Now()))
		return nil
	}
	return c.put(&txn{c: c, held: slices.Clone(m.Raw), does: does, sql: sql})
}

func (c *client) id() connpool.ID { return connpool.ID(refNumber(c.ref)) }

// admitted goes on with a transaction that has been let in.
func (c *client) admitted() {
	x := c.outside
	if c.closed || x == nil {
		return
	}
	c.outside, c.inside = nil, true
	c.doorMs = c.f.loop.Now() - x.since
	if err := c.put(&txn{c: c, held: x.raw, does: x.does, sql: x.sql}); err != nil {
		c.fatal("08P01", err.Error())
		return
	}
	c.proceed()
}

// turnedAway ends a transaction that was not let in.
func (c *client) turnedAway() {
	x := c.outside
	if c.closed || x == nil {
		return
	}
	c.outside = nil
	c.recordHand(record.AssignmentRejected, nil, c.f.loop.Now()-x.since, false)
	c.txn = &txn{c: c, held: x.raw}
	c.concluded(c.txn, "53300", "no connection came free in time", "")
}

// leave has another be let in.
func (c *client) leave() {
	if c.pool != nil && (c.inside || c.outside != nil) {
		c.inside, c.outside = false, nil
		c.f.do(c.pool, c.pool.share.Exit(c.id()))
	}
}

// put puts a transaction to the decision module, beginning with what it holds.
func (c *client) put(t *txn) error {
	f, o, now := c.f, c.pool.opt, c.f.loop.Now()
	q := platform.Request{ID: fmt.Sprintf("pool-%d-%d", c.pid, f.Counts.Transactions), Class: o.Class, Group: o.Group, Writes: true, MinPosition: c.after,
		Session: sessionKey(c.pid)}
	if c.pool.opt.Mode == Transaction && o.Reads != "" && reading(t.does) {
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
	t.asked, t.open, q.Query = now, true, t
	f.Counts.Transactions++
	c.txn, c.began, c.wrote, c.failed = t, now, !reading(t.does), false
	ref, err := f.desk.Submit(q, t)
	switch {
	case err != nil:
		t.open, c.txn = false, nil
		if t.again > 0 {
			c.fatal("58000", err.Error())
			return nil
		}
		c.leave()
		c.complain("58000", err.Error())
		if t.held[0] == 'Q' {
			c.skip = false
			c.out = pgwire.AppendReadyInState(c.out, c.status)
		}
	case t.open && c.closed:
		f.desk.Abandon(ref)
	case t.open:
		t.ref = ref
	}
	return nil
}

// stay has a client that keeps its connection go on with it, where its server is the one decided on.
func (c *client) stay(a *attempt) bool {
	l := c.link
	if l == nil {
		return false
	}
	if l.store != a.store {
		if c.carry.Pins != 0 && l.ends == 0 {
			c.resume(a, l) // what binds it can't move
			return true
		}
		c.f.Counts.Moves++
		c.link = nil
		l.owner = nil
		l.free()
		return false
	}
	if l.ends != 0 {
		c.link, l.owner = nil, nil
		l.free()
		return false
	}
	if l.serverClosed() {
		if c.carry.Pins != 0 {
			c.fatal("57P01", fmt.Sprintf("the server connection ended, and with it %s", c.carry.Pins))
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
	other := l.last != 0 && l.last != c.session
	l.owner, c.link, l.last = c, l, c.session
	if c.closed {
		c.link, l.owner = nil, nil
		l.free()
		return
	}
	c.recordHand(record.AssignmentGranted, l, c.doorMs+c.f.loop.Now()-a.t.asked, other)
	c.last = l.store
	c.resume(a, l)
}

func (c *client) resume(a *attempt, l *link) {
	a.link = l
	if c.pool.opt.TxnMs > 0 {
		c.f.loop.StopTimer(c.limit)
		c.limit = c.f.loop.At(c.began+c.pool.opt.TxnMs, func() {
			if c.busy() {
				c.fatal("57014", "the transaction took longer than this pool allows")
			}
		})
	}
	if sql := c.carry.Sync(l.server); sql != "" {
		c.f.Counts.Syncs++
		l.own(sql, func() { c.carry.Synced(l.server) })
	}
	t := c.txn
	if t == nil || c.link != l { // the connection broke at the settings: what is held is still to be sent, or answered
		return
	}
	l.tellParams(c)
	t.on = true
	if err := c.sendHeld(t); err != nil {
		c.fatal("08P01", err.Error())
		return
	}
	if l.conn != nil && l.conn.Unsent() == 0 {
		c.f.events.AttemptWritten(a.tag)
	}
	c.soon()
}

// concluded ends a transaction that the decision module has given up.
func (c *client) concluded(t *txn, code, text, detail string) {
	if c.closed || c.txn != t {
		return
	}
	if t.spoke || c.link != nil && len(c.link.queue) > 0 || c.status != 'I' {
		c.fatal(code, text)
		return
	}
	c.txn = nil
	c.f.loop.StopTimer(c.limit)
	defer c.leave()
	if l := c.link; l != nil && c.pool.opt.Mode == Transaction && c.carry.Pins == 0 {
		c.link, l.owner = nil, nil
		l.free()
	}
	c.out = pgwire.AppendError(c.out, "ERROR", code, text, detail)
	// Of what was held, all up to the first point at which an answer is due is done with; what comes behind is new.
	c.skip, c.open = true, false
	held := t.held
	t.held, c.pre = nil, nil
	r := pgwire.NewReader(max(c.f.opt.MaxMessage, len(held)+1))
	r.Feed(held)
	for {
		m, ok, err := r.Next()
		if err != nil || !ok {
			break
		}
		if name, _, _, err := pgwire.ParseMessage(m.Body); m.Type == 'P' && err == nil && t.sends > 0 {
			c.carry.Unprepare(name) // the client hears of no ParseComplete
		}
		if c.skip && (m.Type == 'Q' || m.Type == 'S') {
			c.skip = false
			c.out = pgwire.AppendReadyInState(c.out, c.status)
			continue
		}
		if !c.skip {
			c.fatal(code, text)
			return
		}
	}
	c.flush()
	c.soon()
}
