package pooling

import (
	"fmt"

	"beechgrade/internal/protocol/pgwire"
)

// release gives the connection back between transactions, unless the client keeps it.
func (c *client) release() {
	l := c.link
	if l == nil || c.pool.opt.Mode == Session && l.ends == 0 || c.carry.Pins != 0 && l.ends == 0 {
		return
	}
	if c.carry.Pins != 0 {
		c.fatal("57P01", fmt.Sprintf("the server is being taken out, and %s can't be carried to another", c.carry.Pins))
		return
	}
	c.link, l.owner = nil, nil
	l.free()
	c.leave()
}

// lost tells that the client's server connection has ended.
func (c *client) lost(l *link) {
	c.link = nil
	if c.closed {
		return
	}
	t := c.txn
	if t != nil && t.attempt != nil && !t.spoke && c.carry.Pins == 0 { // the decision module says what becomes of it
		return
	}
	if t == nil && c.opened != nil && c.leg == nil && len(l.queue) == 0 && c.movable() {
		return // nothing but a beginning is lost: it begins again
	}
	busy := len(l.queue) > 0 || c.status != 'I' || c.open
	switch {
	case !busy && c.carry.Pins == 0:
		c.leave()
		return // a session's connection between its transactions: the next one gets another
	case !busy:
		c.fatal("57P01", fmt.Sprintf("the server connection ended, and with it %s", c.carry.Pins))
	case l.committing() || c.status == 'I' && c.wrote:
		c.fatal("08007", "the connection to the server broke; whether the transaction was committed is unknown")
	default:
		c.fatal("08006", "the connection to the server broke; nothing of the transaction was committed")
	}
}

// beat lets time pass.
func (c *client) beat() {
	switch {
	case c.closed || c.conn == nil:
	case c.leaving && !c.owed():
		c.end()
	case !c.started && c.f.loop.Now()-c.since > startupMs:
		c.fatal("08P01", "the startup message is not whole in time")
	case c.parked && c.left():
		c.conn.Close()
	case c.paused != nil && c.conn.Unsent() < littleLeft:
		l := c.paused
		c.paused = nil
		l.unpark()
	}
	if c.started && !c.closed && (!c.waiting() || c.parked && c.conn.Unsent() > 0) {
		if c.parked { // it hears what there is, and is read on
			c.parked = false
			c.conn.ResumeReading()
		}
		if c.in.Pending() > 0 && !c.waiting() {
			c.proceed()
		}
	}
	c.shed()
}

// fatal ends the connection with a word.
func (c *client) fatal(code, text string) {
	if c.closed {
		return
	}
	c.ended = code
	if !c.midst { // there is no place for a word within a message
		c.out = pgwire.AppendError(c.out, "FATAL", code, text, "")
	}
	c.end()
}
