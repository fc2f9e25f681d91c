package pooling

import (
	"bytes"
	"fmt"
	"strings"

	"beechgrade/internal/frontend/pooling/sessionstate"
	"beechgrade/internal/protocol/pgwire"
	"beechgrade/internal/protocol/sqltext"
)

// forward sends a message to the client's server, with statements under their names there.
func (c *client) forward(m pgwire.Message) error {
	l := c.link
	c.f.loop.StopTimer(c.idle)
	c.idle = nil
	if l.over() && c.part() {
		return c.beginAgain(m.Raw, false)
	}
	c.keep(m)
	if l.skipping {
		if m.Type != 'S' { // as the server does after an error in a pipeline
			return nil
		}
		l.skipping = false
	}
	if l.over() { // the grace has passed: nothing more is sent there
		c.fatal("57P01", "the server of this transaction is being taken out; nothing of it was committed")
		return nil
	}
	switch m.Type {
	case 'Q':
		sql, err := pgwire.Text(m.Body)
		if err != nil {
			return err
		}
		does := sqltext.Split(sql)
		if s, ok := sqltext.SetConfig(sql); ok {
			does = []sqltext.Statement{s}
		}
		c.note(does)
		l.bound = l.parses > 0
		l.expect(expected{kind: xQuery, does: does})
		l.write(m.Raw)
		c.f.Counts.Executed++
	case 'P':
		return c.forwardParse(m)
	case 'B':
		return c.forwardBind(m)
	case 'D':
		if len(m.Body) < 2 {
			return fmt.Errorf("%w: Describe", pgwire.ErrMalformed)
		}
		c.open = true
		if m.Body[0] == 'S' {
			name, _, _ := bytes.Cut(m.Body[1:], []byte{0})
			l.expect(expected{kind: xDescribe, statement: true})
			if t := c.carry.Statement(string(name)); t != nil {
				l.queue = l.queue[:len(l.queue)-1]
				l.ensure(t)
				l.expect(expected{kind: xDescribe, statement: true})
				l.write(pgwire.AppendDescribeStatement(nil, t.Name()))
				return nil
			}
		} else {
			l.expect(expected{kind: xDescribe})
		}
		l.write(m.Raw)
	case 'E':
		name, _, _ := bytes.Cut(m.Body, []byte{0})
		var does []sqltext.Statement
		if t := c.portals[string(name)]; t != nil {
			does = t.Does
			c.note(does)
		} else {
			c.wrote = true
		}
		c.open = true
		l.expect(expected{kind: xExecute, does: does})
		l.write(m.Raw)
		c.f.Counts.Executed++
	case 'C':
		if len(m.Body) < 2 {
			return fmt.Errorf("%w: Close", pgwire.ErrMalformed)
		}
		c.open = true
		name, _, _ := bytes.Cut(m.Body[1:], []byte{0})
		if m.Body[0] == 'S' { // it stays at the server, for whoever prepares the same again
			l.expect(expected{kind: xSay, say: []byte{'3', 0, 0, 0, 4}, name: string(name), closed: c.carry.Lift(string(name))})
			l.speak()
			return nil
		}
		delete(c.portals, string(name))
		l.expect(expected{kind: xClose})
		l.write(m.Raw)
	case 'S':
		c.open = false
		l.bound = l.parses > 0
		l.expect(expected{kind: xReady})
		l.write(m.Raw)
	default: // Flush, and the data of a copy
		l.write(m.Raw)
		l.partial = m.More
	}
	return nil
}

// lower ends the closing of a statement: it is gone, or still there where the pipeline failed before.
func (c *client) lower(x *expected, back bool) {
	if x.closed == nil {
		return
	}
	if c == nil {
		x.closed.Leave()
	} else {
		c.carry.Lower(x.name, x.closed, back && !c.closed)
	}
	x.closed = nil
}

// note takes in what statements do before they run.
func (c *client) note(does []sqltext.Statement) {
	if len(does) == 0 {
		c.wrote = true
	}
	for _, s := range does {
		switch s.Kind {
		case sqltext.Read, sqltext.Show, sqltext.Begin, sqltext.Commit, sqltext.Rollback, sqltext.Empty, sqltext.Savepoint, sqltext.Set:
		default:
			c.wrote = true
		}
	}
}

func (c *client) forwardParse(m pgwire.Message) error {
	name, sql, types, err := pgwire.ParseMessage(m.Body)
	if err != nil {
		return err
	}
	l := c.link
	c.open = true
	if c.redo && name != "" {
		c.carry.Unprepare(name)
	}
	var old *sessionstate.Text // that the unnamed one replaces, unless the pipeline fails before
	if name == "" {
		old = c.carry.Lift(name)
	}
	t, twice, err := c.carry.Prepare(name, sql, types)
	switch {
	case err != nil:
		c.lower(&expected{closed: old}, false)
		c.fatal("54000", err.Error())
		return nil
	case twice: // the server itself says so, in its place among the answers
		old := c.carry.Statement(name)
		l.ensure(old)
		l.expect(expected{kind: xParse})
		l.write(pgwire.AppendParse(nil, old.Name(), sql, types))
		return nil
	case l.server.Has(t):
		l.expect(expected{kind: xSay, say: []byte{'1', 0, 0, 0, 4}, name: name, client: true, closed: old})
		l.speak()
		return nil
	}
	l.evict(l.server.Add(t))
	c.f.Counts.Prepared++
	l.expect(expected{kind: xParse, text: t, name: name, client: true, closed: old})
	l.write(pgwire.AppendParse(nil, t.Name(), sql, types))
	return nil
}

func (c *client) forwardBind(m pgwire.Message) error {
	portal, name, rest, err := pgwire.BindMessage(m.Body)
	if err != nil {
		return err
	}
	l := c.link
	c.open = true
	t := c.carry.Statement(name)
	if t == nil { // the server says that there is none, under the client's name for it
		l.expect(expected{kind: xBind})
		l.write(m.Raw)
		return nil
	}
	l.ensure(t)
	if len(c.portals) < sessionstate.MaxStatements {
		c.portals[portal] = t
	}
	l.expect(expected{kind: xBind})
	l.write(pgwire.AppendBind(nil, portal, t.Name(), rest))
	return nil
}

// did takes note of a statement that a server has completed.
func (c *client) did(s *sqltext.Statement, tag string) {
	switch s.Kind {
	case sqltext.Commit:
		if strings.HasPrefix(tag, "ROLLBACK") {
			c.carry.Abort()
		} else {
			c.carry.Commit(c.link.server)
		}
	case sqltext.Rollback:
		c.carry.Abort()
	case sqltext.DiscardAll:
		c.carry.Reset()
		c.link.server.Wiped()
	case sqltext.Deallocate:
		if s.Name == "" {
			c.carry.UnprepareAll()
			c.link.server.Forgot()
		} else {
			c.carry.Unprepare(s.Name)
		}
	default:
		c.carry.Did(s)
	}
}
