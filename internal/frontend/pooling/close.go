package pooling

import (
	"beechgrade/internal/eventloop"
	"beechgrade/internal/eventloop/slotmap"
)

// A client's connection is closed so that nothing that it has yet to hear is lost: no more commands are taken, what was written goes out whole, the sending
// ends, and what the client still sends is read and dropped until it closes too, or a while has passed. A close over bytes that were not read would reset
// the connection, and take from the client what it has not read yet.

const (
	lingerMs     = 1000 // a client may take so long to read on, or to close behind its last answer
	lingerLookMs = 10   // between looks at that
	cutMs        = 1500 // after a drain has begun, commands that are sent ahead are not waited for any more
)

// close takes nothing more from the client, and closes its connection behind what was written.
func (c *client) close() {
	c.flush()
	if c.closed || c.conn == nil {
		return
	}
	c.detach()
	c.lingering = true
	c.frontend.lingering++
	if c.conn.ReadingPaused() {
		c.conn.ResumeReading()
	}
	(&lingering{client: c, conn: c.conn, unsent: c.conn.Unsent(), since: c.frontend.eventLoop.Now()}).look()
}

// lingering is a connection on its way to be closed.
type lingering struct {
	client *client
	conn   *eventloop.Conn
	unsent int     // bytes that the client had not taken at the last look
	since  float64 // it has taken nothing more since then
	shut   bool    // the sending has ended
}

// look goes on with the close.
func (g *lingering) look() {
	f := g.client.frontend
	now := f.eventLoop.Now()
	if !g.client.lingering {
		return
	}
	if unsent := g.conn.Unsent(); unsent != g.unsent {
		g.unsent, g.since = unsent, now
	}
	if !g.shut && g.unsent == 0 && !g.conn.ReadingPaused() {
		if g.conn.CloseWrite() != nil {
			g.conn.Close()
			return
		}
		g.shut, g.since = true, now
	}
	if now-g.since >= lingerMs {
		g.conn.Close()
		return
	}
	f.eventLoop.At(now+lingerLookMs, g.look)
}

// Closed is loop's.
func (c *client) Closed(error) {
	c.detach()
	if c.lingering {
		c.lingering = false
		c.frontend.lingering--
	}
}

// detach takes the client out of the front, and gives up what it has under way.
func (c *client) detach() {
	if c.closed {
		return
	}
	c.closed = true
	f := c.frontend
	f.clients.Remove(c.ref)
	delete(f.keys, c.pid)
	f.eventLoop.StopTimer(c.idleTimer)
	f.eventLoop.StopTimer(c.limitTimer)
	if c.pausedLink != nil {
		c.pausedLink.resumeReading()
		c.pausedLink = nil
	}
	if c.pool != nil {
		c.pool.clients--
	}
	c.recordEnd()
	c.scatterGone()
	defer c.leavePool()
	t := c.transaction
	c.transaction = nil
	if l := c.link; l != nil {
		c.link, l.owner = nil, nil
		switch {
		case len(l.expected) > 0 || c.extendedOpen || c.state.Sticky != 0 || t != nil:
			l.close() // in the midst of something, or with what must not be left to another
		case c.sessionState != 'I':
			l.sendOwn("ROLLBACK", nil)
			l.free()
		default:
			l.free()
		}
	}
	if t != nil && t.open && t.ref != (slotmap.Ref{}) { // else it is being put to the core, which hears of it then
		t.open = false
		f.dispatcher.Abandon(t.ref)
	}
	if c.state != nil {
		c.state.Close()
	}
}

// hasDisconnected tells whether a client that is not read has gone: it reads no more, or sends no more while its transaction waits for a connection.
func (c *client) hasDisconnected() bool {
	peer := c.conn.PeerState()
	return peer.Closed || peer.EndOfStream && c.waitsForConnection()
}

// closeIfDraining closes the connection of a client that has nothing under way, while the front drains. What the client has sent is answered first, but not for
// longer than a drain may take.
func (c *client) closeIfDraining() {
	f := c.frontend
	if !f.draining || c.closed || c.conn == nil || c.busy() {
		return
	}
	if ahead := c.input.Pending() > 0 || !c.conn.OpenAndIdle(); ahead && f.eventLoop.Now() < f.drainStartedAt+cutMs {
		return
	}
	c.endWithError("57P01", "the pooler is shutting down")
}

// endNow ends the connection with the last word on what is under way: the process ends.
func (c *client) endNow() {
	if l := c.link; l != nil && (l.committing() || c.sessionState == 'I' && c.wrote && len(l.expected) > 0) {
		c.endWithError("08007", "the pooler has to end; whether the transaction was committed is unknown")
		return
	}
	c.endWithError("57P01", "the pooler has to end; nothing of an open transaction was committed")
}
