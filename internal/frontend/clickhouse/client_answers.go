package clickhouse

import (
	"fmt"
	"net/http"
)

// closeWaitMs is how long the client may take to close its side after the last answer.
const closeWaitMs = 1000

const textOK = "Ok.\n"

// finishRequest ends the current request after its answer was written, and handles the next one.
func (c *client) finishRequest() {
	if r := c.request; r != nil {
		defer c.frontend.releaseRequest(r)
	}
	if c.isUploading() { // the rest of the body was not read, so the next request cannot be found
		c.closeAfterAnswer = true
	}
	c.request = nil
	c.frontend.loop.StopTimer(c.uploadTimer)
	c.idleSince = c.frontend.loop.Now()
	if c.state == clientClosed {
		return
	}
	if c.closeAfterAnswer {
		c.linger()
		return
	}
	c.chargeMemory()
	c.resume()
	c.closeIfIdle()
}

// linger closes the connection after the last answer, once the client has received that answer or has stopped reading. Further input is
// read and discarded, because the kernel resets a connection that is closed with unread data, and the answer could be lost.
func (c *client) linger() {
	if c.state != clientOpen {
		return
	}
	c.state = clientLingering
	c.input, c.incoming.raw, c.incoming.decoded = nil, nil, nil
	c.chargeMemory()
	if c.conn.ReadingPaused() {
		c.conn.ResumeReading()
	}
	c.closingEntry = c.frontend.closing.Add(c.conn)
	closing := &lingeringClose{client: c, progressAt: c.frontend.loop.Now()}
	closing.poll()
}

// lingeringClose is the state of closing a connection after its last answer.
type lingeringClose struct {
	client     *client
	unsent     int     // bytes of the answer that were not sent at the last check
	progressAt float64 // when unsent last changed, or the write side was closed
	writeShut  bool
}

// poll closes the write side once the answer is sent, and the connection when the client makes no progress in time.
func (s *lingeringClose) poll() {
	c := s.client
	now := c.frontend.loop.Now()
	unsent := c.conn.Unsent()
	if unsent != s.unsent {
		s.unsent = unsent
		s.progressAt = now
	}
	waited := now - s.progressAt
	switch {
	case c.state == clientClosed:
		return
	case !s.writeShut && unsent == 0 && !c.conn.ReadingPaused():
		if c.conn.CloseWrite() != nil {
			c.conn.Close()
			return
		}
		s.writeShut = true
		s.progressAt = now
	case s.writeShut && waited >= closeWaitMs, waited >= c.frontend.options.ClientStallTimeoutMs:
		c.conn.Close()
		return
	}
	c.frontend.loop.At(now+pollIntervalMs, s.poll)
}

// failConnection answers the current request with an exception and closes the connection, because the start of the next request is
// unknown. If a server's answer is being sent, the connection is reset instead. r is nil if no request is being handled.
func (c *client) failConnection(r *request, e exception) {
	c.closeAfterAnswer = true
	if r == nil {
		c.writeException(e)
		c.linger()
		return
	}
	if r.answered {
		c.conn.Abort()
		return
	}
	if r.submitted {
		c.frontend.dispatcher.Abandon(r.ref)
	}
	c.answerException(r, e)
}

// answerException answers a request with an exception, unless it is answered already.
func (c *client) answerException(r *request, e exception) {
	if r.answered || c.state == clientClosed {
		return
	}
	r.answered = true
	if c.isUploading() {
		c.closeAfterAnswer = true
	}
	c.writeException(e)
	c.finishRequest()
}

func (c *client) writeException(e exception) {
	body := fmt.Sprintf("Code: %d. DB::Exception: %s. (%s) (beechgrade)\n", int(e.code), e.text, exceptionNames[e.code])
	out := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=UTF-8\r\n", e.status, statusReasons[e.status])
	out = fmt.Appendf(out, "%s: %d\r\nContent-Length: %d\r\n", headerExceptionCode, int(e.code), len(body))
	if e.retryAfterS > 0 {
		out = fmt.Appendf(out, "Retry-After: %d\r\n", e.retryAfterS)
	}
	out = append(out, c.endOfHead()...)
	if c.request == nil || c.request.head.Method != http.MethodHead {
		out = append(out, body...)
	}
	_ = c.conn.Write(out) // a failed write closes the connection
}

// answerText answers a request with a text of the pooler itself.
func (c *client) answerText(r *request, status int, body string) {
	r.answered = true
	if c.isUploading() {
		c.closeAfterAnswer = true
	}
	out := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: text/html; charset=UTF-8\r\n", status, statusReasons[status])
	out = fmt.Appendf(out, "Content-Length: %d\r\n%s", len(body), c.endOfHead())
	if r.head.Method != http.MethodHead {
		out = append(out, body...)
	}
	_ = c.conn.Write(out) // a failed write closes the connection
	c.finishRequest()
}

// endOfHead returns the end of an answer's head, with the Connection header, which says whether the connection stays open.
func (c *client) endOfHead() string {
	c.closeAfterAnswer = c.closeAfterAnswer || c.isLastWhileDraining()
	if c.closeAfterAnswer {
		return "Connection: close\r\n\r\n"
	}
	return "Connection: keep-alive\r\n\r\n"
}

// unsupportedFields returns the names of the header fields of answers that are withheld from a client that speaks HTTP/1.0.
func (c *client) unsupportedFields() []string {
	if c.speaksHTTP10() {
		return []string{"trailer"}
	}
	return nil
}

func (c *client) speaksHTTP10() bool { return c.request.head.Minor == 0 }
