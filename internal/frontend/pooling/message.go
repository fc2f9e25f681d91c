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
		if l := c.link; l != nil && l.partial {
			if l.over() {
				c.fatal("57P01", "the server of this transaction is being taken out; nothing of it was committed")
				return nil
			}
			l.write(m.Raw)
			l.partial = m.More
		}
		return nil
	}
	if c.skip && m.Type != 'S' && m.Type != 'X' {
		return nil
	}
	switch m.Type {
	case 'X':
		if c.leaving = c.owed(); !c.leaving {
			c.end()
		}
		return nil
	case 'Q':
		c.skip = false
		sql, err := pgwire.Text(m.Body)
		if err != nil {
			return err
		}
		if c.admin {
			c.adminQuery(sql)
			return nil
		}
		if c.f.opt.Scatter != nil && plan.Is(sql) {
			if took := c.scatterQuery(sql); took {
				return nil
			}
		}
		return c.query(sql, m)
	case 'S':
		if c.bound != nil && !c.skip {
			c.scatterSync()
			return nil
		}
		c.bound = nil
		if c.skip || c.link == nil {
			c.skip, c.open = false, false
			c.out = pgwire.AppendReadyInState(c.out, c.status)
			return nil
		}
	case 'H', 'd', 'c', 'f':
		if c.link == nil {
			return nil // to nobody: as a server does with what comes outside a copy
		}
	case 'F':
		c.complain("0A000", "function calls are not taken; use a query")
		return nil
	case 'C':
		if c.link == nil && len(m.Body) > 0 {
			if m.Body[0] == 'S' {
				name, _, _ := bytes.Cut(m.Body[1:], []byte{0})
				c.carry.Unprepare(string(name))
			}
			c.out = append(c.out, '3', 0, 0, 0, 4)
			return nil
		}
	}
	if c.admin {
		c.complain("0A000", "only simple queries are taken here")
		return nil
	}
	if c.f.opt.Scatter != nil && !c.admin {
		if took, err := c.scatterMessage(m); took || err != nil {
			return err
		}
	}
	if c.fresh() && !strings.ContainsRune("SHdcf", rune(m.Type)) {
		does, err := c.means(m)
		if err != nil {
			return err
		}
		return c.ask(m, does, "")
	}
	return c.forward(m)
}

// means is what a message of the extended protocol leads to.
func (c *client) means(m pgwire.Message) ([]sqltext.Statement, error) {
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
		if t := c.carry.Statement(name); t != nil {
			return t.Does, nil
		}
	case 'D':
		if len(m.Body) > 1 && m.Body[0] == 'S' {
			name, _, _ := bytes.Cut(m.Body[1:], []byte{0})
			if t := c.carry.Statement(string(name)); t != nil {
				return t.Does, nil
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
	if len(does) == 1 && c.link == nil && c.status == 'I' {
		switch s := does[0]; s.Kind {
		case sqltext.Empty:
			c.out = pgwire.AppendReady(pgwire.AppendEmpty(c.out))
			return nil
		case sqltext.Deallocate:
			if s.Name == "" {
				c.carry.UnprepareAll()
				c.out = pgwire.AppendReady(pgwire.AppendComplete(c.out, "DEALLOCATE ALL"))
				return nil
			}
			if c.carry.Unprepare(s.Name) {
				c.out = pgwire.AppendReady(pgwire.AppendComplete(c.out, "DEALLOCATE"))
				return nil
			}
		case sqltext.DiscardAll:
			c.carry.Reset()
			c.out = pgwire.AppendReady(pgwire.AppendComplete(c.out, "DISCARD ALL"))
			return nil
		}
	}
	if c.fresh() {
		return c.ask(m, does, sql)
	}
	return c.forward(m)
}

// fresh tells whether what comes next begins a transaction.
func (c *client) fresh() bool {
	return c.link == nil || c.status == 'I' && len(c.link.queue) == 0 && c.txn == nil && !c.open
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

// complain answers with an error; what follows is skipped up to Sync.
func (c *client) complain(code, text string) {
	c.skip = true
	c.out = pgwire.AppendError(c.out, "ERROR", code, text, "")
}

// ready takes a ReadyForQuery that is the client's.
func (c *client) ready(l *link, status byte) {
	if t := c.txn; t != nil && t.mute {
		c.unmute(l, status)
		return
	}
	c.settledAt(c.txn, status)
	c.status = status
	if status == 'I' {
		if c.failed {
			c.carry.Abort()
		} else {
			c.carry.Commit(l.server)
		}
		clear(c.portals)
		if c.wrote && !c.failed {
			c.after = max(c.after, l.written())
		}
	}
	c.failed = false
	c.out = pgwire.AppendReadyInState(c.out, status)
	if t := c.txn; t != nil && (status != 'I' || len(l.queue) == 0) {
		c.txn = nil
		t.spoke = true
		if a := t.attempt; a != nil {
			c.f.end(a, 0, l) // OK
		}
	}
	switch {
	case status != 'I':
		if c.pool.opt.IdleTxnMs > 0 && len(l.queue) == 0 {
			c.f.loop.StopTimer(c.idle)
			c.idle = c.f.loop.At(c.f.loop.Now()+c.pool.opt.IdleTxnMs, func() {
				if c.status != 'I' && c.txn == nil && (c.link == nil || len(c.link.queue) == 0) {
					c.fatal("25P03", "the transaction was idle for longer than this pool allows")
				}
			})
		}
	case len(l.queue) == 0 && !c.open:
		c.f.loop.StopTimer(c.limit)
		c.wrote = false
		c.release()
	}
}
