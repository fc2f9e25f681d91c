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

// readHead takes a head; it tells whether there was one.
func (c *client) readHead() bool {
	h, n, err := httpwire.Parse(c.input, true)
	switch {
	case errors.Is(err, httpwire.ErrTooLong):
		c.failConnection(nil, 431, codeBadRequest, "BAD_ARGUMENTS", err.Error())
		return false
	case errors.Is(err, httpwire.ErrUnsupported):
		c.failConnection(nil, 501, codeUnsupported, "UNSUPPORTED_METHOD", err.Error())
		return false
	case err != nil:
		c.failConnection(nil, 400, codeBadRequest, "BAD_ARGUMENTS", err.Error())
		return false
	case n == 0:
		return false
	case c.frontend.options.MaxBodyBytes > 0 && h.Length > c.frontend.options.MaxBodyBytes:
		c.failConnection(nil, 413, codeBadRequest, "BAD_ARGUMENTS", fmt.Sprintf("a body of %d bytes; at most %d are taken", h.Length, c.frontend.options.MaxBodyBytes))
		return false
	}
	c.consume(n)
	c.head, c.body, c.rawBody, c.decodedBody, c.bodyBytes = h, httpwire.RequestBody(h), nil, nil, 0
	if h.Has("Expect", "100-continue") && !c.body.Done() && len(c.input) == 0 {
		_ = c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	return !c.closed
}

// readBody takes what is there of a body that is held, and puts the request once that is whole, or is more than is held. It
// tells whether there may be another one behind it.
func (c *client) readBody() bool {
	n, err := c.body.Next(c.input, func(p []byte) { c.decodedBody = append(c.decodedBody, p...) })
	c.rawBody = append(c.rawBody, c.input[:n]...)
	c.consume(n)
	c.bodyBytes += int64(n)
	if err != nil {
		c.failConnection(nil, 400, codeBadRequest, "BAD_ARGUMENTS", err.Error())
		return false
	}
	if c.rejectLongBody(nil) || !c.body.Done() && len(c.rawBody) < c.frontend.options.MaxBufferedBytes {
		return false
	}
	h := c.head
	c.head = nil
	c.handleRequest(h)
	return true
}

// rejectLongBody ends a request whose body turns out to be longer than any may be.
func (c *client) rejectLongBody(r *request) bool {
	if c.frontend.options.MaxBodyBytes <= 0 || c.bodyBytes <= c.frontend.options.MaxBodyBytes {
		return false
	}
	c.failConnection(r, 413, codeBadRequest, "BAD_ARGUMENTS", fmt.Sprintf("the body is too long; at most %d bytes are taken", c.frontend.options.MaxBodyBytes))
	return true
}

// passUpload passes on what is there of a body that is not held, to the server that takes it. It tells whether the body has ended.
func (c *client) passUpload() bool {
	r := c.request
	l := r.uploadLink
	if l == nil {
		if len(c.input) > 0 {
			c.park()
		}
		return false
	}
	if len(c.input) == 0 && !c.body.Done() {
		return false
	}
	n, err := c.body.Next(c.input, nil)
	c.bodyBytes += int64(n)
	if err != nil {
		c.failConnection(r, 400, codeBadRequest, "BAD_ARGUMENTS", err.Error())
		return false
	}
	if c.rejectLongBody(r) {
		return false
	}
	if n > 0 {
		r.dropBody()
		if l.conn.Write(c.input[:n]) != nil || c.closed || c.request != r { // the server has gone, and the request ended by that
			return false
		}
		c.consume(n)
		c.countBuffered(-n)
	}
	if !c.body.Done() {
		if l.conn.Unsent() > highWaterBytes {
			c.park()
		}
		return false
	}
	if r.answerLink == nil { // from here on its time counts as any other's
		c.uploadTimer = c.frontend.loop.At(min(r.deadline, c.frontend.loop.Now()+r.timeoutMs), func() {
			if c.request == r && r.answerLink == nil && r.uploadLink != nil && r.uploadLink.attempt != nil {
				c.frontend.abort(r.uploadLink.attempt, timedOut)
			}
		})
	}
	return true
}

// handleRequest takes a request: whole, or with as much of its body as is held.
func (c *client) handleRequest(h *httpwire.Head) {
	c.closeAfterAnswer, c.everRequested = h.Close, true
	path, rawQuery, _ := strings.Cut(h.Target, "?")
	params, err := url.ParseQuery(rawQuery)
	r := &request{client: c, head: h, rawBody: c.rawBody, uploads: !c.body.Done()}
	c.rawBody = nil
	c.request = r
	switch {
	case c.cameWhileDraining:
		c.closeAfterAnswer = true
		c.answerException(r, 503, codeTooMany, "TOO_MANY_SIMULTANEOUS_QUERIES", shutdownText, 1)
		return
	case err != nil || !strings.HasPrefix(path, "/"):
		c.closeAfterAnswer = true
		c.answerException(r, 400, codeBadRequest, "BAD_ARGUMENTS", "the URL cannot be read", 0)
		return
	case path == "/ping", path == "/" && (h.Method == "GET" || h.Method == "HEAD") && params.Get("query") == "" && len(c.decodedBody) == 0:
		c.answerText(r, 200, "Ok.\n")
		return
	case path == "/replicas_status":
		status, text := c.frontend.replicasStatus(params.Get("verbose") == "1")
		c.answerText(r, status, text)
		return
	case h.Method != "GET" && h.Method != "HEAD" && h.Method != "POST" && h.Method != "PUT":
		c.closeAfterAnswer = true
		c.answerException(r, 501, codeUnsupported, "UNSUPPORTED_METHOD", "GET, HEAD, POST and PUT are taken", 0)
		return
	}
	known := params.Get("decompress") == "" && h.Get("Content-Encoding") == ""
	inSession := params.Get("session_id") != ""
	// What cannot be sent again as it was, or depends on what its session has done, never is.
	r.readOnly = !r.uploads && !inSession && IsReadOnly(h.Method, params, c.decodedBody, known)
	r.rule, r.class, r.timeoutMs, h.Target = c.frontend.classify(h, path, rawQuery, params, r.readOnly)
	c.decodedBody = nil
	now := c.frontend.loop.Now()
	for _, ms := range []float64{executionLimitMs(params), c.frontend.clientTimeoutMs(h)} {
		if ms > 0 {
			r.timeoutMs = min(r.timeoutMs, ms)
		}
	}
	if r.deadline = now + r.timeoutMs; r.uploads {
		r.deadline += c.frontend.options.UploadTimeoutMs
	}
	c.frontend.lastNumber++
	r.number, r.params = c.frontend.lastNumber, params
	if r.queryID = params.Get("query_id"); r.queryID == "" { // one is made, so that it can be found at the server
		r.queryID = fmt.Sprintf("%s-%x-%d", c.frontend.options.Name, uint64(c.frontend.startedAt), r.number)
		h.Target = withParameter(h.Target, "query_id", r.queryID)
	}
	user := User(h, params)
	if inSession && !c.beginSessionQuery(r, user) {
		return
	}
	id := limits.ID(r.number)
	if c.frontend.options.ExpireLeases != nil {
		c.frontend.options.ExpireLeases()
	}
	switch c.frontend.limiter.Admit(id, user, now) {
	case limits.Admitted:
		r.limitID = id
		c.submit(r)
	case limits.Queued:
		r.limitID = id
		c.frontend.waiting[id] = r
		c.frontend.loop.At(now+c.frontend.limiter.MaxWaitMs(user)+1, c.frontend.rejectExpired)
	case limits.TooMany:
		c.answerException(r, 503, codeTooMany, "TOO_MANY_SIMULTANEOUS_QUERIES", "too many queries of this user run and wait; it has not run", 1)
	default:
		c.answerException(r, 503, codeTooMany, "TOO_MANY_SIMULTANEOUS_QUERIES", "queries of this user come too fast; it has not run", 1)
	}
}

// withParameter adds a parameter to a target.
func withParameter(target, name, value string) string {
	sep := "?"
	if strings.Contains(target, "?") {
		sep = "&"
	}
	return target + sep + name + "=" + url.QueryEscape(value)
}

// beginSessionQuery finds the place of a query that names a session, and tells whether it goes on.
func (c *client) beginSessionQuery(r *request, user string) bool {
	key := sessions.Key{User: user, ID: r.params.Get("session_id")}
	keep, _ := strconv.ParseFloat(r.params.Get("session_timeout"), 64)
	check := r.params.Get("session_check") == "1"
	verdict, server := c.frontend.sessions.Begin(c.frontend.loop.Now(), key, keep*1000, check)
	switch verdict {
	case sessions.AnyServer, sessions.BoundServer:
		r.session, r.onlyServer, c.frontend.inSession[key] = key, server, r
		if r.onlyServer != "" && !check { // a server that has restarted since must not begin it anew
			r.head.Target = withParameter(r.head.Target, "session_check", "1")
		}
		return true
	case sessions.Locked:
		c.answerException(r, 500, codeLocked, "SESSION_IS_LOCKED", "another query of this session is under way; it has not run", 0)
	case sessions.Lost:
		c.answerException(r, 404, codeNoSession, "SESSION_NOT_FOUND", sessionLostText, 0)
	case sessions.Unknown:
		c.answerException(r, 404, codeNoSession, "SESSION_NOT_FOUND", "this pooler knows of no such session; it has not run", 0)
	default:
		c.answerException(r, 503, codeTooMany, "TOO_MANY_SIMULTANEOUS_QUERIES", "too many sessions; it has not run", 1)
	}
	return false
}

// submit puts a request to the decision module.
func (c *client) submit(r *request) {
	ref, err := c.frontend.dispatcher.Submit(platform.Request{ID: "ch-" + strconv.FormatUint(r.number, 36), ClientID: r.queryID, Class: r.class, Group: c.frontend.options.Group, Deadline: r.deadline, OnlyServer: r.onlyServer, Query: r}, r)
	if err != nil {
		c.frontend.log.Error("clickhouse", "err", err)
		c.answerException(r, 500, codeNetwork, "NETWORK_ERROR", "the pooler could not take the query", 0)
		return
	}
	r.ref, r.submitted = ref, true
}
