package clickhouse

import (
	"net/http"

	"beechgrade/internal/eventloop"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/eventloop/timers"
	"beechgrade/internal/protocol/httpwire"
)

type clientState uint8

const (
	clientOpen      clientState = iota
	clientLingering             // it has its last answer; what it still sends is discarded, and the connection closes
	clientClosed
)

// client is a client's connection. It implements eventloop.Handler.
type client struct {
	frontend *Frontend
	ref      slotmap.Ref
	conn     *eventloop.Conn // nil until it is open
	state    clientState

	input         []byte          // received, and not part of a request yet
	incoming      incomingRequest // the request that is being received
	bufferedBytes int             // of input and of the request's body, as counted in Frontend
	idleSince     float64         // when the client became idle, or when the last part of a body that is passed on came
	polling       bool            // poll is scheduled

	request           *request      // waits for its answer, or its answer is being sent
	uploadTimer       *timers.Timer // bounds the time for the answer after a body that was passed on
	closeAfterAnswer  bool          // the connection ends with the present answer
	everRequested     bool          // the client has sent a request
	cameWhileDraining bool          // its first request is rejected, as the pooler was draining when it connected
	abandoned         *request      // whose answer was being sent when the client disconnected
}

// incomingRequest is a request that is being received.
type incomingRequest struct {
	head    *httpwire.Head // nil unless its body is being buffered
	body    httpwire.Body
	raw     []byte // the body as it came, chunk headers included
	decoded []byte // the body's content
	bytes   int64  // of the body, received
}

// Opened implements eventloop.Handler.
func (c *client) Opened(conn *eventloop.Conn) {
	c.conn = conn
	c.cameWhileDraining = c.frontend.draining
	if c.frontend.options.SpareDescriptors() <= 0 {
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
	c.countBuffered(len(b))
	if c.frontend.bufferedBytes > c.frontend.options.MemoryBytes()/bufferShare {
		c.failConnection(c.request, exception{
			status: http.StatusServiceUnavailable, code: codeTooMany, text: "too much is waiting here already",
		})
		return
	}
	c.proceed()
}

// Closed implements eventloop.Handler. It ends the client's request.
func (c *client) Closed(error) {
	if c.state == clientClosed {
		return
	}
	c.state = clientClosed
	c.countBuffered(-c.bufferedBytes)
	c.frontend.clients.Remove(c.ref)
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
		if r.submitted {
			c.frontend.dispatcher.Abandon(r.ref)
		}
	}
	c.frontend.releaseRequest(r)
}

// isIdle reports whether no request runs or is being received.
func (c *client) isIdle() bool { return c.request == nil && !c.hasPartialRequest() }

// hasPartialRequest reports whether a part of a request was received.
func (c *client) hasPartialRequest() bool { return len(c.input) > 0 || c.incoming.head != nil }

// isUploading reports whether the request's body is passed on, and has not ended.
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

// isIdleTooLong reports whether the client is idle, or in the middle of a request that is buffered, for too long.
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

// isUploadStalled reports whether the client sends no more of a body that is passed on, though it is read.
func (c *client) isUploadStalled(now float64) bool {
	if !c.isUploading() || c.request.answered || c.conn.ReadingPaused() {
		return false
	}
	return now-c.idleSince > c.frontend.options.RequestTimeoutMs
}

// countBuffered adds to the bytes that are buffered of the client's requests.
func (c *client) countBuffered(n int) {
	c.bufferedBytes += n
	c.frontend.bufferedBytes += n
}

// consume removes the first n bytes of the input.
func (c *client) consume(n int) {
	c.input = c.input[:copy(c.input, c.input[n:])]
	if len(c.input) == 0 {
		c.input = nil
	}
}

// proceed handles the input, one request at a time, so that the answers are in the order of the requests.
func (c *client) proceed() {
	for c.state == clientOpen {
		switch {
		case c.isUploading():
			if !c.passUpload() {
				return
			}
			continue
		case c.request != nil:
			c.boundPipelined()
			return
		case c.closeAfterAnswer:
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

// boundPipelined bounds what the client sends ahead of its answers.
func (c *client) boundPipelined() {
	switch {
	case c.request.answerLink == nil && len(c.input) > highWaterBytes:
		c.pauseReading()
	case len(c.input) > 2*highWaterBytes: // reading cannot pause, as that would delay the answer that is being sent
		c.conn.Abort()
	}
}

// pauseReading stops reading from the client until its input can be handled. Meanwhile poll detects that it disconnects.
func (c *client) pauseReading() {
	if c.state != clientOpen || c.conn.ReadingPaused() || !c.conn.PauseReading() || c.polling {
		return
	}
	c.polling = true
	c.poll()
}

// poll checks on a client that is not read, until it is read again or closed.
func (c *client) poll() {
	c.frontend.loop.At(c.frontend.loop.Now()+pollMs, func() {
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

// endedEarly reports whether the client sends no more, though a request of it is not answered. The end of a body that is passed on may
// still be unread.
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

// mayResume reports whether the input of a client that is not read can be handled now.
func (c *client) mayResume() bool {
	r := c.request
	if r == nil {
		return true
	}
	if c.isUploading() {
		return r.sentLink != nil && r.sentLink.conn.Unsent() <= lowWaterBytes
	}
	return r.answerLink != nil
}

// resume reads from the client again, and handles the input.
func (c *client) resume() {
	c.polling = false
	if c.state == clientClosed {
		return
	}
	if c.conn.ReadingPaused() {
		c.idleSince = c.frontend.loop.Now()
		c.conn.ResumeReading()
	}
	c.proceed()
}
