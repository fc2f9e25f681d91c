package clickhouse

import "fmt"

const lostText = "the session's server has gone, and what it held; it has not run, and the next query begins anew"

// finish ends an answer, and takes the next request.
func (c *client) finish() {
	r := c.req
	if r != nil {
		defer c.f.leave(r)
	}
	if c.uploads() { // the rest of its body is nobody's: what comes behind it cannot be found
		c.leaves = true
	}
	c.req = nil
	c.f.loop.StopTimer(c.end)
	c.since = c.f.loop.Now()
	if c.closed {
		return
	}
	if c.leaves {
		c.quit()
		return
	}
	c.hold(len(c.in) - c.held)
	c.resume()
	c.shed()
}

// quit closes the connection behind the last answer: once the client has that, or does not get on with taking it. What it
// still sends is let go, as a close in its midst could take the answer away from it.
func (c *client) quit() {
	if c.last || c.closed {
		return
	}
	c.last = true
	c.in, c.raw, c.data = nil, nil, nil
	c.hold(-c.held)
	if c.conn.ReadingPaused() {
		c.conn.ResumeReading()
	}
	unsent, at, shut := 0, c.f.loop.Now(), false
	var step func()
	step = func() {
		now := c.f.loop.Now()
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
		case shut && now-at >= lastMs, now-at >= c.f.opt.StallMs:
			c.conn.Close()
			return
		}
		c.f.loop.At(now+lookMs, step)
	}
	step()
}

// give ends what a client has under way with an answer of the pooler's own, and the connection behind it, as nobody knows
// where the next request begins. Where its answer has begun already, that breaks off.
func (c *client) give(r *request, status, code int, name, text string) {
	c.leaves = true
	if r == nil {
		c.say(status, code, name, text, 0)
		c.quit()
		return
	}
	if r.over {
		c.conn.Abort()
		return
	}
	if r.asked {
		c.f.desk.Abandon(r.ref)
	}
	c.complain(r, status, code, name, text, 0)
}

// complain answers with an exception in ClickHouse's form.
func (c *client) complain(r *request, status, code int, name, text string, retryS int) {
	if r.over || c.closed {
		return
	}
	r.over = true
	c.leaves = c.leaves || c.uploads()
	c.say(status, code, name, text, retryS)
	c.finish()
}

func (c *client) say(status, code int, name, text string, retryS int) {
	body := fmt.Sprintf("Code: %d. DB::Exception: %s. (%s) (beechgrade)\n", code, text, name)
	out := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=UTF-8\r\nX-ClickHouse-Exception-Code: %d\r\nContent-Length: %d\r\n", status, reasons[status], code, len(body))
	if retryS > 0 {
		out = fmt.Appendf(out, "Retry-After: %d\r\n", retryS)
	}
	out = append(out, c.connection()...)
	if c.req == nil || c.req.head.Method != "HEAD" {
		out = append(out, body...)
	}
	_ = c.conn.Write(out)
}

var reasons = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 408: "Request Timeout", 413: "Content Too Large", 431: "Request Header Fields Too Large",
	500: "Internal Server Error", 501: "Not Implemented", 502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout"}

// connection is the field that says whether the connection stays, with the head's end.
func (c *client) connection() string {
	c.leaves = c.leaves || c.lastWhileDraining()
	if c.leaves {
		return "Connection: close\r\n\r\n"
	}
	return "Connection: keep-alive\r\n\r\n"
}

// plain answers by itself.
func (c *client) plain(r *request, status int, body string) {
	r.over = true
	c.leaves = c.leaves || c.uploads()
	out := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: text/html; charset=UTF-8\r\nContent-Length: %d\r\n%s", status, reasons[status], len(body), c.connection())
	if r.head.Method != "HEAD" {
		out = append(out, body...)
	}
	_ = c.conn.Write(out)
	c.finish()
}
