package clickhouse

import (
	"beechgrade/internal/eventloop"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/eventloop/timers"
	"beechgrade/internal/protocol/httpwire"
)

// client is a client's connection; it is the loop's Handler.
type client struct {
	frontend          *Frontend
	ref               slotmap.Ref
	conn              *eventloop.Conn
	input             []byte
	head              *httpwire.Head // of the request whose body is coming in and is held
	body              httpwire.Body
	rawBody           []byte
	decodedBody       []byte
	bodyBytes         int64         // bytes of the body that have come in
	uploadTimer       *timers.Timer // of an answer that is due once the body has gone on whole
	request           *request      // the one that waits for its answer, or whose answer comes
	idleSince         float64       // idle, or in the midst of a request: since then
	closeAfterAnswer  bool          // it is closed behind its answer
	polling           bool          // somebody looks after it while it is parked
	lingering         bool          // it has its last answer, and what it still sends is let go
	everRequested     bool          // a request of it was read
	cameWhileDraining bool          // it came while the front drains: it is told so in answer to its first request
	closed            bool
	abandoned         *request // whose answer it left in its midst
	bufferedBytes     int      // bytes of it that are kept
}

// Opened is loop's.
func (c *client) Opened(lc *eventloop.Conn) {
	c.conn = lc
	c.cameWhileDraining = c.frontend.draining
	if c.frontend.options.SpareDescriptors() <= 0 {
		c.closeAfterAnswer = true
		c.writeException(503, codeTooMany, "TOO_MANY_SIMULTANEOUS_QUERIES", "too many clients", 1)
		c.linger()
	}
}

// Data is loop's.
func (c *client) Data(b []byte) {
	if c.closed || c.lingering {
		return
	}
	if len(c.input) == 0 && c.request == nil && c.head == nil || c.uploading() {
		c.idleSince = c.frontend.loop.Now()
	}
	c.input = append(c.input, b...)
	c.countBuffered(len(b))
	if f := c.frontend; f.bufferedBytes > f.options.MemoryBytes()/bufferShare {
		if r := c.request; r == nil || !r.answered {
			c.failConnection(r, 503, codeTooMany, "TOO_MANY_SIMULTANEOUS_QUERIES", "too much is waiting here already")
			return
		}
		c.conn.Abort()
		return
	}
	c.proceed()
}

// uploading tells whether a body passes through that has not ended yet.
func (c *client) uploading() bool { return c.request != nil && c.request.uploads && !c.body.Done() }

// countBuffered counts bytes that are kept of a client, and gives back those that are not any more.
func (c *client) countBuffered(n int) {
	c.bufferedBytes += n
	c.frontend.bufferedBytes += n
}

// consume has so many bytes of what came taken.
func (c *client) consume(n int) {
	c.input = c.input[:copy(c.input, c.input[n:])]
	if len(c.input) == 0 {
		c.input = nil
	}
}

// proceed takes the requests that are there, one after the other: answers keep their order.
func (c *client) proceed() {
	for !c.closed && !c.lingering {
		switch {
		case c.uploading():
			if !c.passUpload() {
				return
			}
			continue
		case c.request != nil:
			switch { // is it far ahead of its answers?
			case c.request.answerLink == nil && len(c.input) > highWaterBytes:
				c.park()
			case len(c.input) > 2*highWaterBytes: // it cannot be parked, as that would keep its answer back too
				c.conn.Abort()
			}
			return
		case c.closeAfterAnswer:
			return
		case c.head == nil:
			if !c.readHead() {
				return
			}
		}
		if !c.readBody() {
			return
		}
	}
}

// park has nothing more read of the client until what it sent can go on. It is seen all the same when it goes.
func (c *client) park() {
	if c.closed || c.lingering || c.conn.ReadingPaused() || !c.conn.PauseReading() || c.polling {
		return
	}
	c.polling = true
	c.poll()
}

func (c *client) poll() {
	c.frontend.loop.At(c.frontend.loop.Now()+pollMs, func() {
		if c.closed || !c.conn.ReadingPaused() {
			c.polling = false
			return
		}
		peer := c.conn.PeerState()
		left, ended, gone := peer.Unread, peer.EndOfStream, peer.Closed
		uploads := c.uploading()
		if uploads && ended { // all that it wrote may be there still, and be whole
			more := c.body.Remaining()
			ended = gone || more > int64(left+len(c.input)) || more < 0 && left == 0 && len(c.input) == 0
		}
		switch {
		case gone, ended:
			c.polling = false
			c.conn.Close()
		case c.request == nil, !uploads && c.request.answerLink != nil, uploads && c.request.uploadLink != nil && c.request.uploadLink.conn.Unsent() <= lowWaterBytes:
			c.resume()
		default:
			c.poll()
		}
	})
}

// resume has the client read again, once it is back.
func (c *client) resume() {
	c.polling = false
	if c.closed {
		return
	}
	if c.conn.ReadingPaused() {
		c.idleSince = c.frontend.loop.Now()
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
	c.countBuffered(-c.bufferedBytes)
	c.frontend.clients.Remove(c.ref)
	c.frontend.loop.StopTimer(c.uploadTimer)
	if r := c.request; r != nil {
		c.request = nil
		switch {
		case r.answerLink != nil:
			c.abandoned = r
			r.answerLink.abandon()
		case !r.answered:
			r.answered = true
			if r.submitted {
				c.frontend.dispatcher.Abandon(r.ref)
			}
		}
		c.frontend.releaseRequest(r)
	}
}
