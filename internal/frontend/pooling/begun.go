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

// movable tells whether what this client holds can go on at another server.
func (c *client) movable() bool { return c.pool.opt.Mode == Transaction && c.carry.Pins == 0 }

// settledAt takes note of a ReadyForQuery: whether the transaction that is open there has only begun.
func (c *client) settledAt(t *txn, status byte) {
	c.hurry = false
	switch {
	case status != 'T' || !c.movable():
		c.opened, c.opening, c.leg = nil, nil, nil
	case t != nil && !t.spoke:
		first, rest, _ := cutFirst(t.held)
		c.opened, c.opening, c.leg = t, slices.Clone(first), slices.Clone(rest)
	case c.opened != nil: // what came since was no statement that ran: it is done with
		_, rest, _ := cutFirst(c.leg)
		c.leg = slices.Clone(rest)
	}
	if len(c.leg) == 0 {
		c.leg = nil
	}
	c.tell()
}

// tell has the client hear what was held back.
func (c *client) tell() {
	c.out = append(c.out, c.pre...)
	c.pre = nil
}

// speaks takes note that a server has answered with more than a beginning: nothing can be asked again.
func (c *client) speaks() {
	if t := c.txn; t != nil {
		t.spoke, t.held = true, nil
	}
	c.opened, c.opening, c.leg = nil, nil, nil
	c.tell()
}

// mayTell tells whether what only prepares or begins may be held back: it may yet be asked of another server.
func (c *client) mayTell() bool {
	if c.hurry || len(c.pre) > littleLeft {
		return false
	}
	if t := c.txn; t != nil {
		return !t.spoke
	}
	return c.opened != nil
}

// keep keeps a message that goes out, for another server.
func (c *client) keep(m pgwire.Message) {
	switch t := c.txn; {
	case c.again:
	case m.More || m.Part:
		c.speaks()
	case t != nil && !t.spoke:
		if t.held = append(t.held, m.Raw...); len(t.held) > maxHeld {
			c.speaks() // too long to be asked again
		}
	case t == nil && c.opened != nil:
		if c.leg = append(c.leg, m.Raw...); len(c.leg) > maxHeld {
			c.speaks()
		}
	}
	if m.Type == 'H' {
		c.hurry = true
		if len(c.pre) > 0 {
			c.speaks()
		}
	}
}

// part gives up the connection of a transaction that has only begun, and tells whether it could. It begins again with
// the client's next message.
func (c *client) part() bool {
	l := c.link
	if c.opened == nil || c.leg != nil || l == nil || len(l.queue) > 0 || c.txn != nil || !c.movable() {
		return false
	}
	c.link, l.owner = nil, nil
	l.close()
	return true
}

// beginAgain has a transaction that has only begun do so elsewhere, and go on with what the client sent since. sent
// says that this went to a server before.
func (c *client) beginAgain(leg []byte, sent bool) error {
	o := c.opened
	t := &txn{c: c, held: slices.Concat(c.opening, leg), does: o.does, sql: o.sql, again: len(c.opening)}
	if sent {
		t.sends = 1
	}
	c.opened, c.opening, c.leg, c.pre = nil, nil, nil, nil
	c.f.Counts.Again++
	c.recordHand(record.AssignmentRestarted, nil, 0, false)
	began := c.began
	err := c.put(t)
	c.began = began
	return err
}

// sendHeld sends what a transaction has so far. One that begins again is sent its beginning alone at first.
func (c *client) sendHeld(t *txn) error {
	l := c.link
	t.sends++
	held := t.held
	if t.again > 0 {
		t.mute = true
		held = held[:t.again]
	}
	return c.sendAll(l, held, t.sends > 1 || t.again > 0)
}

// unmute goes on with a transaction that has begun again.
func (c *client) unmute(l *link, status byte) {
	t := c.txn
	t.mute = false
	if status != 'T' {
		c.fatal("08006", "the transaction could not begin again at another server; nothing of it was committed")
		return
	}
	if err := c.sendAll(l, t.held[t.again:], t.sends > 1); err != nil {
		c.fatal("08P01", err.Error())
		return
	}
	c.soon()
}

// sendAll sends messages that are held, which stay so until the server has said something. redo says that they were sent
// before.
func (c *client) sendAll(l *link, raw []byte, redo bool) error {
	r := pgwire.NewReader(max(c.f.opt.MaxMessage, len(raw)+1))
	r.Feed(raw)
	c.again, c.redo = true, redo
	defer func() { c.again, c.redo = false, false }()
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

// soon goes on with what the client sent meanwhile, off this call.
func (c *client) soon() {
	if !c.closed && c.conn != nil {
		c.f.loop.At(c.f.loop.Now(), c.proceed)
	}
}

// harmless tells whether all that went to the server was a beginning: whether it ran does not matter.
func (t *txn) harmless() bool {
	if t.spoke || !onlyBegins(t.does) {
		return false
	}
	if t.again > 0 {
		return t.mute
	}
	_, rest, _ := cutFirst(t.held)
	return len(rest) == 0 && beginsAlone(t.held)
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

// unrun tells whether an error says that a transaction's first statement did not run, and it may be asked elsewhere.
func (l *link) unrun(c *client, m pgwire.Message) (decide.Result, bool) {
	if !c.movable() {
		return 0, false
	}
	t, does := c.txn, []sqltext.Statement(nil)
	switch {
	case t != nil && !t.spoke && t.attempt != nil && (c.status == 'I' || t.again > 0):
		does = t.does
	case t == nil && c.opened != nil && c.leg != nil:
		does = c.opened.does
	default:
		return 0, false
	}
	switch pgwire.ErrorCode(m.Body) {
	case "25006":
		wanted := c.carry.Setting("default_transaction_read_only") != "" || c.carry.Setting("transaction_read_only") != ""
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

// elsewhere asks a transaction again whose first statement did not run.
func (l *link) elsewhere(c *client, r decide.Result) {
	c.link, l.owner, l.broken = nil, nil, true // what the server still says belongs to nobody
	c.failed, c.pre = false, nil
	t := c.txn
	if t == nil {
		l.close()
		if err := c.beginAgain(c.leg, true); err != nil {
			c.fatal("08P01", err.Error())
		}
		return
	}
	t.on, t.mute = false, false
	a := t.attempt
	a.link = nil
	l.close()
	l.f.endCancelled(a, r, l)
}
