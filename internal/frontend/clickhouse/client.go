package clickhouse

import (
	"beechgrade/internal/eventloop"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/eventloop/timers"
	"beechgrade/internal/frontend/closing"
	"beechgrade/internal/memory"
	"beechgrade/internal/protocol/httpwire"
)

type clientState uint8

const (
	clientOpen      clientState = iota
	clientLingering             // the last answer was written; input is discarded until the connection closes
	clientClosed
)

// client is a client's connection. It implements eventloop.Handler.
type client struct {
	frontend *Frontend
	ref      slotmap.Ref
	conn     *eventloop.Conn // nil until it is open
	state    clientState

	input         []byte          // received, but not parsed yet
	incoming      incomingRequest // the request that is being received
	bufferedBytes int             // that input and the request's body take, as counted in Frontend
	held          memory.Client
	idleSince     float64 // when the client became idle, or when the last part of a streamed body arrived
	polling       bool    // poll is scheduled

	request                *request      // the request that waits for its answer, or whose answer is being sent; nil for none
	uploadTimer            *timers.Timer // bounds the time for the answer after the end of a streamed body
	closeAfterAnswer       bool          // close the connection after the current answer
	hasSentRequest         bool          // the client has sent a request
	connectedWhileDraining bool          // the pooler was draining when the client connected, so its first request is rejected
	closingEntry           closing.Entry // while the connection is being closed
	abandoned              *request      // the request whose answer was being sent when the client disconnected
}

// incomingRequest is a request that is being received.
type incomingRequest struct {
	head    *httpwire.Head // nil unless the body is being buffered
	body    httpwire.Body
	raw     []byte // the body as received, chunk headers included
	decoded []byte // the body's content, if raw differs from it
	bytes   int64  // received bytes of the body
}

// Opened implements eventloop.Handler.
func (c *client) Opened(conn *eventloop.Conn) {
	c.conn = conn
	c.connectedWhileDraining = c.frontend.draining
	c.limitReads()
	if !c.frontend.closing.FreeDescriptors(c.frontend.options.SpareDescriptors) || !c.frontend.account.MakeRoom(memory.RefuseConnections, releasableFor) {
		c.closeAfterAnswer = true
		c.writeException(rejectedTooMany("too many clients"))
		c.linger()
	}
}

// Data implements eventloop.Handler.
func (c *client) Data(b []byte) {
	if c.state != clientOpen {
		return
	}
	if c.isIdle() || c.isUploading() {
		c.idleSince = c.frontend.loop.Now()
	}
	c.input = append(c.input, b...)
	c.chargeMemory()
	defer c.afterInput()
	if c.frontend.account.Level() >= memory.RejectWork && c.holdsMuch() {
		c.failConnection(c.request, tooMuchHeld())
		return
	}
	c.handleInput()
}

// Closed implements eventloop.Handler. It ends the client's request.
func (c *client) Closed(err error) {
	if c.state == clientClosed {
		return
	}
	c.state = clientClosed
	c.input = nil
	c.incoming = incomingRequest{}
	c.chargeMemory()
	c.frontend.account.AddClients(-1)
	c.frontend.clients.Remove(c.ref)
	c.frontend.closing.Remove(&c.closingEntry)
	c.frontend.loop.StopTimer(c.uploadTimer)
	r := c.request
	if r == nil {
		return
	}
	c.request = nil
	switch {
	case r.answerLink != nil:
		c.abandoned = r
		r.answerLink.abandon()
	case !r.answered:
		r.answered = true
		c.frontend.countUnanswered(err)
		if r.submitted {
			c.frontend.dispatcher.Abandon(r.ref)
		}
	}
	c.frontend.releaseRequest(r)
}

// isIdle reports whether no request is running or being received.
func (c *client) isIdle() bool { return c.request == nil && !c.hasPartialRequest() }

// hasPartialRequest reports whether a part of a request was received.
func (c *client) hasPartialRequest() bool { return len(c.input) > 0 || c.incoming.head != nil }

// isUploading reports whether the request's body is streamed and has not ended.
func (c *client) isUploading() bool {
	return c.request != nil && c.request.streamsBody && !c.incoming.body.Done()
}

// isOutstanding reports whether the client waits for an answer, has not read all of one, or has sent a part of a request.
func (c *client) isOutstanding() bool {
	if c.request != nil || c.hasPartialRequest() || c.state == clientLingering {
		return true
	}
	return c.conn != nil && c.conn.Unsent() > 0
}

// isIdleTooLong reports whether the client has exceeded the timeout for idle clients, or for receiving a request that is buffered.
func (c *client) isIdleTooLong(now float64) bool {
	if c.request != nil || c.state != clientOpen {
		return false
	}
	limit := c.frontend.options.ClientIdleMs
	if c.hasPartialRequest() {
		limit = c.frontend.options.RequestTimeoutMs
	}
	return now-c.idleSince > limit
}

// isUploadStalled reports whether the client has sent nothing of a streamed body for too long, although reading is not paused.
func (c *client) isUploadStalled(now float64) bool {
	if !c.isUploading() || c.request.answered || c.conn.ReadingPaused() {
		return false
	}
	return now-c.idleSince > c.frontend.options.RequestTimeoutMs
}

// consume removes the first n bytes of the input.
func (c *client) consume(n int) {
	c.input = c.input[:copy(c.input, c.input[n:])]
	if len(c.input) == 0 {
		c.input = nil
	}
}

// takeInput removes and returns the first n bytes of the input.
func (c *client) takeInput(n int) []byte {
	taken := c.input[:n]
	c.input = append([]byte(nil), c.input[n:]...)
	return taken
}

// handleInput processes the input, one request at a time, so that answers are sent in the order of the requests.
func (c *client) handleInput() {
	for c.state == clientOpen {
		switch {
		case c.isUploading():
			if !c.forwardUpload() {
				return
			}
			continue
		case c.request != nil:
			c.boundPipelined()
			return
		case c.closeAfterAnswer:
			return
		case len(c.input) > 0 && c.frontend.loop.TurnOver():
			c.conn.ContinueLater(c.handleInput)
			return
		case c.incoming.head == nil:
			if !c.readHead() {
				return
			}
		}
		if !c.readBody() {
			return
		}
	}
}

// boundPipelined bounds the input that a client sends before its current request is answered: what is beyond that stays with the client.
func (c *client) boundPipelined() {
	if len(c.input) > highWaterBytes {
		c.pauseReading()
	}
}

// pauseReading stops reading from the client until its input can be handled. Meanwhile poll detects when the client disconnects.
func (c *client) pauseReading() {
	if c.state != clientOpen || c.conn.ReadingPaused() || !c.conn.PauseReading() || c.polling {
		return
	}
	c.polling = true
	c.poll()
}

// poll periodically checks a client whose reading is paused, until reading resumes or the connection closes.
func (c *client) poll() {
	c.frontend.loop.At(c.frontend.loop.Now()+pollIntervalMs, func() {
		if c.state == clientClosed || !c.conn.ReadingPaused() {
			c.polling = false
			return
		}
		peer := c.conn.PeerState()
		switch {
		case peer.Closed || c.endedEarly(peer):
			c.polling = false
			c.conn.Close()
		case c.mayResume():
			c.resume()
		default:
			c.poll()
		}
	})
}

// endedEarly reports whether the client has closed its write side before the end of its request. The end of a streamed body may still
// be unread.
func (c *client) endedEarly(peer eventloop.PeerState) bool {
	if !peer.EndOfStream || !c.isUploading() {
		return peer.EndOfStream
	}
	unread := peer.Unread + len(c.input)
	remaining := c.incoming.body.Remaining()
	if remaining < 0 { // of unknown length
		return unread == 0
	}
	return remaining > int64(unread)
}

// mayResume reports whether the input of a client whose reading is paused can be handled now.
func (c *client) mayResume() bool {
	r := c.request
	if r == nil {
		return true
	}
	if c.isUploading() {
		return r.attemptLink != nil && r.attemptLink.conn.Unsent() <= min(lowWaterBytes, c.frontend.window()/2)
	}
	return r.answerLink != nil && len(c.input) <= highWaterBytes
}

// resume resumes reading from the client and processes its input.
func (c *client) resume() {
	c.polling = false
	if c.state == clientClosed {
		return
	}
	if c.conn.ReadingPaused() {
		c.idleSince = c.frontend.loop.Now()
		c.conn.ResumeReading()
	}
	c.handleInput()
}
