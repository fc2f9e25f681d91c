package clickhouse

import (
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"beechgrade/internal/clickhouse/limits"
	"beechgrade/internal/clickhouse/sessions"
	"beechgrade/internal/deadline"
	"beechgrade/internal/front"
	"beechgrade/internal/httpwire"
	"beechgrade/internal/loop"
	"beechgrade/internal/slots"
)

// client is a client's connection; it is the loop's Handler.
type client struct {
	f      *Front
	ref    slots.Ref
	conn   *loop.Conn
	in     []byte
	head   *httpwire.Head // of the request whose body is coming in and is held
	body   httpwire.Body
	raw    []byte
	data   []byte
	passed int64           // bytes of the body that have come in
	end    *deadline.Timer // of an answer that is due once the body has gone on whole
	req    *request        // the one that waits for its answer, or whose answer comes
	since  float64         // idle, or in the midst of a request: since then
	leaves bool            // it is closed behind its answer
	looked bool            // somebody looks after it while it is parked
	last   bool            // it has its last answer, and what it still sends is let go
	closed bool
	going  *request // whose answer it left in its midst
	held   int      // bytes of it that are kept
}

// Opened is loop's.
func (c *client) Opened(lc *loop.Conn) {
	c.conn = lc
	if c.f.opt.Spare() <= 0 || c.f.draining {
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

// begin takes a head; it tells whether there was one.
func (c *client) begin() bool {
	h, n, err := httpwire.Parse(c.in, true)
	switch {
	case errors.Is(err, httpwire.ErrTooLong):
		c.give(nil, 431, codeBadRequest, "BAD_ARGUMENTS", err.Error())
		return false
	case errors.Is(err, httpwire.ErrUnsupported):
		c.give(nil, 501, codeUnsupported, "UNSUPPORTED_METHOD", err.Error())
		return false
	case err != nil:
		c.give(nil, 400, codeBadRequest, "BAD_ARGUMENTS", err.Error())
		return false
	case n == 0:
		return false
	case c.f.opt.MostBody > 0 && h.Length > c.f.opt.MostBody:
		c.give(nil, 413, codeBadRequest, "BAD_ARGUMENTS", fmt.Sprintf("a body of %d bytes; at most %d are taken", h.Length, c.f.opt.MostBody))
		return false
	}
	c.take(n)
	c.head, c.body, c.raw, c.data, c.passed = h, httpwire.RequestBody(h), nil, nil, 0
	if h.Has("Expect", "100-continue") && !c.body.Done() && len(c.in) == 0 {
		_ = c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	return !c.closed
}

// collect takes what is there of a body that is held, and puts the request once that is whole, or is more than is held. It
// tells whether there may be another one behind it.
func (c *client) collect() bool {
	n, err := c.body.Next(c.in, func(p []byte) { c.data = append(c.data, p...) })
	c.raw = append(c.raw, c.in[:n]...)
	c.take(n)
	c.passed += int64(n)
	if err != nil {
		c.give(nil, 400, codeBadRequest, "BAD_ARGUMENTS", err.Error())
		return false
	}
	if c.tooLong(nil) || !c.body.Done() && len(c.raw) < c.f.opt.Hold {
		return false
	}
	h := c.head
	c.head = nil
	c.put(h)
	return true
}

// tooLong ends a request whose body turns out to be longer than any may be.
func (c *client) tooLong(r *request) bool {
	if c.f.opt.MostBody <= 0 || c.passed <= c.f.opt.MostBody {
		return false
	}
	c.give(r, 413, codeBadRequest, "BAD_ARGUMENTS", fmt.Sprintf("the body is too long; at most %d bytes are taken", c.f.opt.MostBody))
	return true
}

// feed passes on what is there of a body that is not held, to the server that takes it. It tells whether the body has ended.
func (c *client) feed() bool {
	r := c.req
	l := r.taker
	if l == nil {
		if len(c.in) > 0 {
			c.park()
		}
		return false
	}
	if len(c.in) == 0 && !c.body.Done() {
		return false
	}
	n, err := c.body.Next(c.in, nil)
	c.passed += int64(n)
	if err != nil {
		c.give(r, 400, codeBadRequest, "BAD_ARGUMENTS", err.Error())
		return false
	}
	if c.tooLong(r) {
		return false
	}
	if n > 0 {
		r.release()
		if l.conn.Write(c.in[:n]) != nil || c.closed || c.req != r { // the server has gone, and the request ended by that
			return false
		}
		c.take(n)
		c.hold(-n)
	}
	if !c.body.Done() {
		if l.conn.Unsent() > muchUnsent {
			c.park()
		}
		return false
	}
	if r.link == nil { // from here on its time counts as any other's
		c.end = c.f.loop.At(min(r.due, c.f.loop.Now()+r.span), func() {
			if c.req == r && r.link == nil && r.taker != nil && r.taker.attempt != nil {
				c.f.drop(r.taker.attempt, timedOut)
			}
		})
	}
	return true
}

// park has nothing more read of the client until what it sent can go on. It is seen all the same when it goes.
func (c *client) park() {
	if c.closed || c.last || c.conn.Parked() || !c.conn.Park() || c.looked {
		return
	}
	c.looked = true
	c.look()
}

func (c *client) look() {
	c.f.loop.At(c.f.loop.Now()+lookMs, func() {
		if c.closed || !c.conn.Parked() {
			c.looked = false
			return
		}
		left, ended, gone := c.conn.Ended()
		uploads := c.uploads()
		if uploads && ended { // all that it wrote may be there still, and be whole
			more := c.body.Left()
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
	if c.conn.Parked() {
		c.since = c.f.loop.Now()
		c.conn.Unpark()
	}
	c.proceed()
}

// put takes a request: whole, or with as much of its body as is held.
func (c *client) put(h *httpwire.Head) {
	c.leaves = h.Close || c.f.draining
	path, rawQuery, _ := strings.Cut(h.Target, "?")
	params, err := url.ParseQuery(rawQuery)
	r := &request{c: c, head: h, raw: c.raw, stream: !c.body.Done()}
	c.raw = nil
	c.req = r
	switch {
	case err != nil || !strings.HasPrefix(path, "/"):
		c.leaves = true
		c.complain(r, 400, codeBadRequest, "BAD_ARGUMENTS", "the URL cannot be read", 0)
		return
	case path == "/ping", path == "/" && (h.Method == "GET" || h.Method == "HEAD") && params.Get("query") == "" && len(c.data) == 0:
		c.plain(r, 200, "Ok.\n")
		return
	case path == "/replicas_status":
		status, text := c.f.replicas(params.Get("verbose") == "1")
		c.plain(r, status, text)
		return
	case h.Method != "GET" && h.Method != "HEAD" && h.Method != "POST" && h.Method != "PUT":
		c.leaves = true
		c.complain(r, 501, codeUnsupported, "UNSUPPORTED_METHOD", "GET, HEAD, POST and PUT are taken", 0)
		return
	}
	known := params.Get("decompress") == "" && h.Get("Content-Encoding") == ""
	inSession := params.Get("session_id") != ""
	// What cannot be sent again as it was, or depends on what its session has done, never is.
	r.reads = !r.stream && !inSession && Reads(h.Method, params, c.data, known)
	r.rule, r.class, r.span, h.Target = c.f.class(h, path, rawQuery, params, r.reads)
	c.data = nil
	now := c.f.loop.Now()
	for _, ms := range []float64{limit(params), c.f.wanted(h)} {
		if ms > 0 {
			r.span = min(r.span, ms)
		}
	}
	if r.due = now + r.span; r.stream {
		r.due += c.f.opt.UploadMs
	}
	c.f.number++
	r.number, r.params = c.f.number, params
	if r.query = params.Get("query_id"); r.query == "" { // one is made, so that it can be found at the server
		r.query = fmt.Sprintf("%s-%x-%d", c.f.opt.Name, uint64(c.f.began), r.number)
		h.Target = with(h.Target, "query_id", r.query)
	}
	user := User(h, params)
	if inSession && !c.enter(r, user) {
		return
	}
	id := limits.ID(r.number)
	if c.f.opt.Expire != nil {
		c.f.opt.Expire()
	}
	switch c.f.gate.Enter(id, user, now) {
	case limits.In:
		r.gated = id
		c.ask(r)
	case limits.Waits:
		r.gated = id
		c.f.waiting[id] = r
		c.f.loop.At(now+c.f.gate.Wait(user)+1, c.f.beat)
	case limits.TooMany:
		c.complain(r, 503, codeTooMany, "TOO_MANY_SIMULTANEOUS_QUERIES", "too many queries of this user run and wait; it has not run", 1)
	default:
		c.complain(r, 503, codeTooMany, "TOO_MANY_SIMULTANEOUS_QUERIES", "queries of this user come too fast; it has not run", 1)
	}
}

// with adds a parameter to a target.
func with(target, name, value string) string {
	sep := "?"
	if strings.Contains(target, "?") {
		sep = "&"
	}
	return target + sep + name + "=" + url.QueryEscape(value)
}

// enter finds the place of a query that names a session, and tells whether it goes on.
func (c *client) enter(r *request, user string) bool {
	key := sessions.Key{User: user, ID: r.params.Get("session_id")}
	keep, _ := strconv.ParseFloat(r.params.Get("session_timeout"), 64)
	check := r.params.Get("session_check") == "1"
	verdict, server := c.f.sessions.Enter(c.f.loop.Now(), key, keep*1000, check)
	switch verdict {
	case sessions.Anywhere, sessions.There:
		r.session, r.only, c.f.inSession[key] = key, server, r
		if r.only != "" && !check { // a server that has restarted since must not begin it anew
			r.head.Target = with(r.head.Target, "session_check", "1")
		}
		return true
	case sessions.Locked:
		c.complain(r, 500, codeLocked, "SESSION_IS_LOCKED", "another query of this session is under way; it has not run", 0)
	case sessions.Lost:
		c.complain(r, 404, codeNoSession, "SESSION_NOT_FOUND", lostText, 0)
	case sessions.Unknown:
		c.complain(r, 404, codeNoSession, "SESSION_NOT_FOUND", "this pooler knows of no such session; it has not run", 0)
	default:
		c.complain(r, 503, codeTooMany, "TOO_MANY_SIMULTANEOUS_QUERIES", "too many sessions; it has not run", 1)
	}
	return false
}

const lostText = "the session's server has gone, and what it held; it has not run, and the next query begins anew"

// ask puts a request to the decision module.
func (c *client) ask(r *request) {
	ref, err := c.f.desk.Ask(front.Request{ID: "ch-" + strconv.FormatUint(r.number, 36), Known: r.query, Class: r.class, Group: c.f.opt.Group, Due: r.due, Only: r.only, Query: r}, r)
	if err != nil {
		c.f.log.Error("clickhouse", "err", err)
		c.complain(r, 500, codeNetwork, "NETWORK_ERROR", "the pooler could not take the query", 0)
		return
	}
	r.ref, r.asked = ref, true
}

// Closed is loop's: a client that goes ends its query, in whatever phase that is.
func (c *client) Closed(error) {
	if c.closed {
		return
	}
	c.closed = true
	c.hold(-c.held)
	c.f.clients.Drop(c.ref)
	c.f.loop.Stop(c.end)
	if r := c.req; r != nil {
		c.req = nil
		switch {
		case r.link != nil:
			c.going = r
			r.link.abandon()
		case !r.over:
			r.over = true
			if r.asked {
				c.f.desk.Gone(r.ref)
			}
		}
		c.f.leave(r)
	}
}

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
	c.f.loop.Stop(c.end)
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
	if c.conn.Parked() {
		c.conn.Unpark()
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
		case !shut && n == 0 && !c.conn.Parked():
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
		c.f.desk.Gone(r.ref)
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
