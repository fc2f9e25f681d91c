package clickhouse

import (
	"beechgrade/internal/eventloop"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/eventloop/timers"
	"beechgrade/internal/protocol/httpwire"
)

// client is a client's connection; it is the loop's Handler.
type client struct {
	f      *Front
	ref    slotmap.Ref
	conn   *eventloop.Conn
	in     []byte
	head   *httpwire.Head // of the request whose body is coming in and is held
	body   httpwire.Body
	raw    []byte
	data   []byte
	passed int64         // bytes of the body that have come in
	end    *timers.Timer // of an answer that is due once the body has gone on whole
	req    *request      // the one that waits for its answer, or whose answer comes
	since  float64       // idle, or in the midst of a request: since then
	leaves bool          // it is closed behind its answer
	looked bool          // somebody looks after it while it is parked
	last   bool          // it has its last answer, and what it still sends is let go
	asked  bool          // a request of it was read
	late   bool          // it came while the front drains: it is told so in answer to its first request
	closed bool
	going  *request // whose answer it left in its midst
	held   int      // bytes of it that are kept
}

// Opened is loop's.
func (c *client) Opened(lc *eventloop.Conn) {
	c.conn = lc
	c.late = c.f.draining
	if c.f.opt.Spare() <= 0 {
		c.leaves = true
		c.say(503, codeTooMany, "TOO_MANY_SIMULTANEOUS_QUERIES", "too many clients", 1)
		c.quit()
	}
}

// Data is loop's.
func (c *client) Data(b []byte) {
	if c.closed || c.last {
		return
	}
	if len(c.in) == 0 && c.req == nil && c.head == nil || c.uploads() {
		c.since = c.f.loop.Now()
	}
	c.in = append(c.in, b...)
	c.hold(len(b))
	if f := c.f; f.held > f.opt.Memory()/heldPart {
		if r := c.req; r == nil || !r.over {
			c.give(r, 503, codeTooMany, "TOO_MANY_SIMULTANEOUS_QUERIES", "too much is waiting here already")
			return
		}
		c.conn.Abort()
		return
	}
	c.proceed()
}

// uploads tells whether a body passes through that has not ended yet.
func (c *client) uploads() bool { return c.req != nil && c.req.stream && !c.body.Done() }

// hold counts bytes that are kept of a client, and gives back those that are not any more.
func (c *client) hold(n int) {
	c.held += n
	c.f.held += n
}

// take has so many bytes of what came taken.
func (c *client) take(n int) {
	c.in = c.in[:copy(c.in, c.in[n:])]
	if len(c.in) == 0 {
		c.in = nil
	}
}

// proceed takes the requests that are there, one after the other: answers keep their order.
func (c *client) proceed() {
	for !c.closed && !c.last {
		switch {
		case c.uploads():
			if !c.feed() {
				return
			}
			continue
		case c.req != nil:
			switch { // is it far ahead of its answers?
			case c.req.link == nil && len(c.in) > muchUnsent:
				c.park()
			case len(c.in) > 2*muchUnsent: // it cannot be parked, as that would keep its answer back too
				c.conn.Abort()
			}
			return
		case c.leaves:
			return
		case c.head == nil:
			if !c.begin() {
				return
			}
		}
		if !c.collect() {
			return
		}
	}
}

// park has nothing more read of the client until what it sent can go on. It is seen all the same when it goes.
func (c *client) park() {
	if c.closed || c.last || c.conn.ReadingPaused() || !c.conn.PauseReading() || c.looked {
		return
	}
	c.looked = true
	c.look()
}

func (c *client) look() {
	c.f.loop.At(c.f.loop.Now()+lookMs, func() {
		if c.closed || !c.conn.ReadingPaused() {
			c.looked = false
			return
		}
		peer := c.conn.PeerState()
		left, ended, gone := peer.Unread, peer.EndOfStream, peer.Closed
		uploads := c.uploads()
		if uploads && ended { // all that it wrote may be there still, and be whole
			more := c.body.Remaining()
			ended = gone || more > int64(left+len(c.in)) || more < 0 && left == 0 && len(c.in) == 0
		}
		switch {
		case gone, ended:
			c.looked = false
			c.conn.Close()
		case c.req == nil, !uploads && c.req.link != nil, uploads && c.req.taker != nil && c.req.taker.conn.Unsent() <= littleLeft:
			c.resume()
		default:
			c.look()
		}
	})
}

// resume has the client read again, once it is back.
func (c *client) resume() {
	c.looked = false
	if c.closed {
		return
	}
	if c.conn.ReadingPaused() {
		c.since = c.f.loop.Now()
		c.conn.ResumeReading()
	}
	c.proceed()
}

// Closed is loop's: a client that goes ends its query, in whatever phase that is.
func (c *client) Closed(error) {
	if c.closed {
		return
	}
	c.closed = true
	c.hold(-c.held)
	c.f.clients.Remove(c.ref)
	c.f.loop.StopTimer(c.end)
	if r := c.req; r != nil {
		c.req = nil
		switch {
		case r.link != nil:
			c.going = r
			r.link.abandon()
		case !r.over:
			r.over = true
			if r.asked {
				c.f.desk.Abandon(r.ref)
			}
		}
		c.f.leave(r)
	}
}
