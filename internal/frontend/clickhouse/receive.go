package clickhouse

import (
	"errors"
	"fmt"
	"net/http"

	"beechgrade/internal/decide"
	"beechgrade/internal/protocol/httpwire"
)

// readHead parses the head of a request and reports whether it is complete. It answers an invalid head with an exception.
func (c *client) readHead() bool {
	head, n, err := httpwire.Parse(c.input, true)
	switch {
	case errors.Is(err, httpwire.ErrTooLong):
		c.failConnection(nil, badRequest(http.StatusRequestHeaderFieldsTooLarge, err.Error()))
		return false
	case errors.Is(err, httpwire.ErrUnsupported):
		c.failConnection(nil, unsupported(err.Error()))
		return false
	case err != nil:
		c.failConnection(nil, badRequest(http.StatusBadRequest, err.Error()))
		return false
	case n == 0:
		return false
	}
	if limit := c.frontend.options.MaxBodyBytes; limit > 0 && head.Length > limit {
		text := fmt.Sprintf("a body of %d bytes; at most %d are taken", head.Length, limit)
		c.failConnection(nil, badRequest(http.StatusRequestEntityTooLarge, text))
		return false
	}
	c.consume(n)
	c.incoming = incomingRequest{head: head, body: httpwire.RequestBody(head)}
	if head.Has("Expect", "100-continue") && !c.incoming.body.Done() && len(c.input) == 0 {
		_ = c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	return c.state != clientClosed
}

// readBody buffers a request's body, and handles the request once the body is complete or exceeds the buffer limit. It reports whether
// the request was handled.
func (c *client) readBody() bool {
	in := &c.incoming
	n, err := in.body.Next(c.input, c.decodeTo(in))
	in.raw = append(in.raw, c.input[:n]...)
	in.bytes += int64(n)
	c.consume(n)
	if err != nil {
		c.failConnection(nil, badRequest(http.StatusBadRequest, err.Error()))
		return false
	}
	if c.rejectLongBody(nil) {
		return false
	}
	if !in.body.Done() && len(in.raw) < c.frontend.options.MaxBufferedBytes {
		return false
	}
	head := in.head
	in.head = nil
	c.handleRequest(head)
	return true
}

// decodeTo returns the function that stores the content of a request's body; nil for a body that is its own content.
func (c *client) decodeTo(in *incomingRequest) func(content []byte) {
	if !in.head.Chunked {
		return nil
	}
	return func(content []byte) {
		in.decoded = append(in.decoded, content...)
	}
}

// rejectLongBody rejects a request whose body exceeds Options.MaxBodyBytes, and reports whether it did. r is nil while the body is being
// buffered.
func (c *client) rejectLongBody(r *request) bool {
	limit := c.frontend.options.MaxBodyBytes
	if limit <= 0 || c.incoming.bytes <= limit {
		return false
	}
	text := fmt.Sprintf("the body is too long; at most %d bytes are taken", limit)
	c.failConnection(r, badRequest(http.StatusRequestEntityTooLarge, text))
	return true
}

// forwardUpload forwards the input to the server as a part of a streamed body. It reports whether the body has ended.
func (c *client) forwardUpload() bool {
	r := c.request
	l := r.attemptLink
	if l == nil {
		if len(c.input) > 0 {
			c.pauseReading()
		}
		return false
	}
	body := &c.incoming.body
	if len(c.input) == 0 && !body.Done() {
		return false
	}
	n, err := body.Next(c.input, nil)
	c.incoming.bytes += int64(n)
	if err != nil {
		c.failConnection(r, badRequest(http.StatusBadRequest, err.Error()))
		return false
	}
	if c.rejectLongBody(r) {
		return false
	}
	if n > 0 && !c.writeUpload(r, l, n) {
		return false
	}
	if !body.Done() {
		if l.conn.Unsent() > min(highWaterBytes, c.frontend.window()) {
			c.pauseReading()
		}
		return false
	}
	if r.answerLink == nil {
		c.startAnswerTimer(r)
	}
	return true
}

// writeUpload writes the first n bytes of the input to the server, and reports whether the request continues. From then on the request
// cannot be sent to another server.
func (c *client) writeUpload(r *request, l *link, n int) bool {
	r.dropBody()
	part := c.takeInput(n) // before the write, which may end the request and begin the next one
	c.chargeMemory()
	return l.conn.Write(part) == nil && c.state != clientClosed && c.request == r
}

// startAnswerTimer bounds the time for the answer after the end of a streamed body by the timeout of other requests.
func (c *client) startAnswerTimer(r *request) {
	f := c.frontend
	c.uploadTimer = f.loop.At(min(r.deadline, f.loop.Now()+r.timeoutMs), func() {
		waiting := c.request == r && r.answerLink == nil
		if waiting && r.attemptLink != nil && r.attemptLink.attempt != nil {
			f.abort(r.attemptLink.attempt, decide.TimedOut)
		}
	})
}
