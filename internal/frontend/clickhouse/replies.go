package clickhouse

import "fmt"

const sessionLostText = "the session's server has gone, and what it held; it has not run, and the next query begins anew"

// answered ends an answer, and takes the next request.
func (c *client) answered() {
	r := c.request
	if r != nil {
		defer c.frontend.releaseRequest(r)
	}
	if c.uploading() { // the rest of its body is nobody's: what comes behind it cannot be found
		c.closeAfterAnswer = true
	}
	c.request = nil
	c.frontend.loop.StopTimer(c.uploadTimer)
	c.idleSince = c.frontend.loop.Now()
	if c.closed {
		return
	}
	if c.closeAfterAnswer {
		c.linger()
		return
	}
	c.countBuffered(len(c.input) - c.bufferedBytes)
	c.resume()
	c.closeIfIdle()
}

// linger closes the connection behind the last answer: once the client has that, or does not get on with taking it. What it
// still sends is let go, as a close in its midst could take the answer away from it.
func (c *client) linger() {
	if c.lingering || c.closed {
		return
	}
	c.lingering = true
	c.input, c.rawBody, c.decodedBody = nil, nil, nil
	c.countBuffered(-c.bufferedBytes)
	if c.conn.ReadingPaused() {
		c.conn.ResumeReading()
	}
	unsent, at, shut := 0, c.frontend.loop.Now(), false
	var step func()
	step = func() {
		now := c.frontend.loop.Now()
		n := c.conn.Unsent()
		if n != unsent {
			unsent, at = n, now
		}
		switch {
		case c.closed:
			return
		case !shut && n == 0 && !c.conn.ReadingPaused():
			if c.conn.CloseWrite() != nil {
				c.conn.Close()
				return
			}
			shut, at = true, now
		case shut && now-at >= closeWaitMs, now-at >= c.frontend.options.ClientStallTimeoutMs:
			c.conn.Close()
			return
		}
		c.frontend.loop.At(now+pollMs, step)
	}
	step()
}

// failConnection ends what a client has under way with an answer of the pooler's own, and the connection behind it, as nobody knows
// where the next request begins. Where its answer has begun already, that breaks off.
func (c *client) failConnection(r *request, status, code int, name, text string) {
	c.closeAfterAnswer = true
	if r == nil {
		c.writeException(status, code, name, text, 0)
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
	c.answerException(r, status, code, name, text, 0)
}

// answerException answers with an exception in ClickHouse's form.
func (c *client) answerException(r *request, status, code int, name, text string, retryS int) {
	if r.answered || c.closed {
		return
	}
	r.answered = true
	c.closeAfterAnswer = c.closeAfterAnswer || c.uploading()
	c.writeException(status, code, name, text, retryS)
	c.answered()
}

func (c *client) writeException(status, code int, name, text string, retryS int) {
	body := fmt.Sprintf("Code: %d. DB::Exception: %s. (%s) (beechgrade)\n", code, text, name)
	out := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=UTF-8\r\nX-ClickHouse-Exception-Code: %d\r\nContent-Length: %d\r\n", status, statusReasons[status], code, len(body))
	if retryS > 0 {
		out = fmt.Appendf(out, "Retry-After: %d\r\n", retryS)
	}
	out = append(out, c.connectionField()...)
	if c.request == nil || c.request.head.Method != "HEAD" {
		out = append(out, body...)
	}
	_ = c.conn.Write(out)
}

var statusReasons = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 408: "Request Timeout", 413: "Content Too Large", 431: "Request Header Fields Too Large",
	500: "Internal Server Error", 501: "Not Implemented", 502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout"}

// connectionField is the field that says whether the connection stays, with the head's end.
func (c *client) connectionField() string {
	c.closeAfterAnswer = c.closeAfterAnswer || c.lastWhileDraining()
	if c.closeAfterAnswer {
		return "Connection: close\r\n\r\n"
	}
	return "Connection: keep-alive\r\n\r\n"
}

// answerText answers by itself.
func (c *client) answerText(r *request, status int, body string) {
	r.answered = true
	c.closeAfterAnswer = c.closeAfterAnswer || c.uploading()
	out := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: text/html; charset=UTF-8\r\nContent-Length: %d\r\n%s", status, statusReasons[status], len(body), c.connectionField())
	if r.head.Method != "HEAD" {
		out = append(out, body...)
	}
	_ = c.conn.Write(out)
	c.answered()
}
