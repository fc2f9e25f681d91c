package clickhouse

import (
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"beechgrade/internal/frontend/clickhouse/limits"
	"beechgrade/internal/frontend/clickhouse/sessions"
	"beechgrade/internal/frontend/platform"
	"beechgrade/internal/protocol/httpwire"
)

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

// put takes a request: whole, or with as much of its body as is held.
func (c *client) put(h *httpwire.Head) {
	c.leaves, c.asked = h.Close, true
	path, rawQuery, _ := strings.Cut(h.Target, "?")
	params, err := url.ParseQuery(rawQuery)
	r := &request{c: c, head: h, raw: c.raw, stream: !c.body.Done()}
	c.raw = nil
	c.req = r
	switch {
	case c.late:
		c.leaves = true
		c.complain(r, 503, codeTooMany, "TOO_MANY_SIMULTANEOUS_QUERIES", endingText, 1)
		return
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

// ask puts a request to the decision module.
func (c *client) ask(r *request) {
	ref, err := c.f.desk.Submit(platform.Request{ID: "ch-" + strconv.FormatUint(r.number, 36), ClientID: r.query, Class: r.class, Group: c.f.opt.Group, Deadline: r.due, OnlyServer: r.only, Query: r}, r)
	if err != nil {
		c.f.log.Error("clickhouse", "err", err)
		c.complain(r, 500, codeNetwork, "NETWORK_ERROR", "the pooler could not take the query", 0)
		return
	}
	r.ref, r.asked = ref, true
}
