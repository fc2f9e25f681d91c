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
	c.frontend.eventLoop.StopTimer(c.idleTimer)
	c.idleTimer = nil
	if l.pastGrace() && c.leaveConnection() {
		return c.restart(m.Raw, false)
	}
	c.keepForReplay(m)
	if l.skipping {
		if m.Type != 'S' { // as the server does after an error in a pipeline
			return nil
		}
		l.skipping = false
	}
	if l.pastGrace() { // the grace has passed: nothing more is sent there
		c.endWithError("57P01", "the server of this transaction is being taken out; nothing of it was committed")
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
		c.noteEffects(does)
		l.awaitsParses = l.pendingParses > 0
		l.expect(expectedAnswer{kind: answersQuery, effects: does})
		l.write(m.Raw)
		c.frontend.Counts.Executed++
	case 'P':
		return c.forwardParse(m)
	case 'B':
		return c.forwardBind(m)
	case 'D':
		if len(m.Body) < 2 {
			return fmt.Errorf("%w: Describe", pgwire.ErrMalformed)
		}
		c.extendedOpen = true
		if m.Body[0] == 'S' {
			name, _, _ := bytes.Cut(m.Body[1:], []byte{0})
			l.expect(expectedAnswer{kind: answersDescribe, describesStatement: true})
			if t := c.state.Statement(string(name)); t != nil {
				l.expected = l.expected[:len(l.expected)-1]
				l.ensure(t)
				l.expect(expectedAnswer{kind: answersDescribe, describesStatement: true})
				l.write(pgwire.AppendDescribeStatement(nil, t.Name()))
				return nil
			}
		} else {
			l.expect(expectedAnswer{kind: answersDescribe})
		}
		l.write(m.Raw)
	case 'E':
		name, _, _ := bytes.Cut(m.Body, []byte{0})
		var does []sqltext.Statement
		if t := c.portals[string(name)]; t != nil {
			does = t.Effects
			c.noteEffects(does)
		} else {
			c.wrote = true
		}
		c.extendedOpen = true
		l.expect(expectedAnswer{kind: answersExecute, effects: does})
		l.write(m.Raw)
		c.frontend.Counts.Executed++
	case 'C':
		if len(m.Body) < 2 {
			return fmt.Errorf("%w: Close", pgwire.ErrMalformed)
		}
		c.extendedOpen = true
		name, _, _ := bytes.Cut(m.Body[1:], []byte{0})
		if m.Body[0] == 'S' { // it stays at the server, for whoever prepares the same again
			l.expect(expectedAnswer{kind: answersInPlace, answer: []byte{'3', 0, 0, 0, 4}, name: string(name), closed: c.state.Detach(string(name))})
			l.answerInPlace()
			return nil
		}
		delete(c.portals, string(name))
		l.expect(expectedAnswer{kind: answersClose})
		l.write(m.Raw)
	case 'S':
		c.extendedOpen = false
		l.awaitsParses = l.pendingParses > 0
		l.expect(expectedAnswer{kind: answersSync})
		l.write(m.Raw)
	default: // Flush, and the data of a copy
		l.write(m.Raw)
		l.inPartialMessage = m.More
	}
	return nil
}

// reattach ends the closing of a statement: it is gone, or still there where the pipeline failed before.
func (c *client) reattach(x *expectedAnswer, back bool) {
	if x.closed == nil {
		return
	}
	if c == nil {
		x.closed.Release()
	} else {
		c.state.Reattach(x.name, x.closed, back && !c.closed)
	}
	x.closed = nil
}

// noteEffects takes in what statements do before they run.
func (c *client) noteEffects(does []sqltext.Statement) {
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
	c.extendedOpen = true
	if c.resending && name != "" {
		c.state.Unprepare(name)
	}
	var old *sessionstate.Statement // that the unnamed one replaces, unless the pipeline fails before
	if name == "" {
		old = c.state.Detach(name)
	}
	t, twice, err := c.state.Prepare(name, sql, types)
	switch {
	case err != nil:
		c.reattach(&expectedAnswer{closed: old}, false)
		c.endWithError("54000", err.Error())
		return nil
	case twice: // the server itself says so, in its place among the answers
		old := c.state.Statement(name)
		l.ensure(old)
		l.expect(expectedAnswer{kind: answersParse})
		l.write(pgwire.AppendParse(nil, old.Name(), sql, types))
		return nil
	case l.state.Has(t):
		l.expect(expectedAnswer{kind: answersInPlace, answer: []byte{'1', 0, 0, 0, 4}, name: name, client: true, closed: old})
		l.answerInPlace()
		return nil
	}
	l.evict(l.state.Add(t))
	c.frontend.Counts.Prepared++
	l.expect(expectedAnswer{kind: answersParse, statement: t, name: name, client: true, closed: old})
	l.write(pgwire.AppendParse(nil, t.Name(), sql, types))
	return nil
}

func (c *client) forwardBind(m pgwire.Message) error {
	portal, name, rest, err := pgwire.BindMessage(m.Body)
	if err != nil {
		return err
	}
	l := c.link
	c.extendedOpen = true
	t := c.state.Statement(name)
	if t == nil { // the server says that there is none, under the client's name for it
		l.expect(expectedAnswer{kind: answersBind})
		l.write(m.Raw)
		return nil
	}
	l.ensure(t)
	if len(c.portals) < sessionstate.MaxStatements {
		c.portals[portal] = t
	}
	l.expect(expectedAnswer{kind: answersBind})
	l.write(pgwire.AppendBind(nil, portal, t.Name(), rest))
	return nil
}

// completed takes note of a statement that a server has completed.
func (c *client) completed(s *sqltext.Statement, tag string) {
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
