package clickhouse

import (
	"fmt"
	"strings"

	"beechgrade/internal/decide"
	"beechgrade/internal/protocol/httpwire"
)

// begin reads the answer's head, and decides what it is.
func (l *link) begin() {
	a := l.attempt
	if a.r != nil && !l.lags && a.r.params.Get("send_progress_in_http_headers") == "1" && l.early() {
		return
	}
	h, n, err := httpwire.Parse(l.in, false)
	switch {
	case err != nil:
		l.f.log.Warn("clickhouse: an answer that cannot be read", "store", l.store.id, "err", err)
		l.f.drop(a, decide.Failed)
		return
	case n == 0:
		return
	case h.Status < 200: // 100 Continue
		l.in = l.in[:copy(l.in, l.in[n:])]
		l.begin()
		return
	}
	rest := l.in[n:]
	l.in = nil
	l.head, l.body = h, httpwire.AnswerBody(h, l.method)
	if l.lags {
		l.state, l.text = reporting, nil
		l.report(rest)
		return
	}
	// What a body that has passed on met is its answer, whatever that is: there is no other to be had.
	if res := resultOf(h); res != decide.OK && (a.r == nil || !a.r.passing) {
		l.f.drop(a, res)
		return
	}
	if l.serve(a, streaming) && l.reader != nil {
		l.reader.answer(l)
	}
	if l.state == streaming {
		l.pass(rest)
	}
}

// serve has the core know that an attempt's answer is there. It tells whether the connection still stands: another's answer
// may have come first, or nobody waits any more.
func (l *link) serve(a *attempt, next linkState) bool {
	l.state, l.attempt, a.link = next, nil, nil
	was := l.f.serving
	l.f.serving = l
	l.f.done(a, decide.OK)
	l.f.serving = was
	if a.r == nil {
		return true
	}
	if l.reader == nil {
		a.leave(l)
		l.close()
		return false
	}
	if l.head.Get("X-ClickHouse-Exception-Code") == noSession {
		l.f.sessions.Unbind(a.r.session)
	}
	return true
}

const noSession = "372"

// report takes a server's word on how far behind it is, and has what waits for it go on.
func (l *link) report(b []byte) {
	a := l.attempt
	n, err := l.body.Next(b, func(p []byte) { l.text = append(l.text, p...) })
	switch {
	case err != nil || len(l.text) > maxReport:
		l.f.drop(a, decide.Failed)
		return
	case !l.body.Done():
		return
	}
	l.in = append(l.in, b[n:]...)
	s := l.store
	lag, told := lagOf(l.head.Status, string(l.text))
	l.text = nil
	if told {
		s.position, s.toldAt = max(s.position, l.askedAt-lag), l.f.loop.Now()
	}
	ends := l.head.Close
	l.attempt, a.link = nil, nil
	switch {
	case a.r == nil && told:
		l.f.done(a, decide.OK)
	case a.r == nil:
		l.f.done(a, resultOf(l.head))
	case !told || s.position < l.f.loop.Now()-a.r.bound():
		l.f.done(a, decide.Misdirected)
	case ends: // it goes out on another
		a.checked = true
		l.close()
		l.f.loop.StopTimer(a.timer)
		l.f.begin(a)
		return
	case !l.f.goes(a): // it was let go to ask for the report; the query is what must not go out now
		l.f.done(a, decide.NotSent)
	default:
		a.checked = true
		l.head = nil
		l.ask(a)
		return
	}
	if ends || l.state == shut {
		l.close()
	} else {
		l.free()
	}
}

// early looks for the start of an answer whose head tells of the query's progress, field by field for as long as that takes.
// With the first such field it has begun, and goes on to the client as it comes. It tells whether that is so.
func (l *link) early() bool {
	h, at, err := httpwire.ParseStatusLine(l.in)
	if err != nil || at == 0 || h.Status != 200 {
		return false
	}
	for {
		f, n, end, err := h.ParseLine(l.in[at:], isProgress)
		if err != nil || n == 0 || end {
			return false
		}
		if at += n; isProgress(f) {
			l.in = l.in[:copy(l.in, l.in[at:])]
			l.head = h
			if !l.serve(l.attempt, heading) {
				return true
			}
			c := l.reader
			out := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n", h.Status, h.Reason)
			out = h.AppendFields(out, c.unfit()...)
			_ = c.conn.Write((&httpwire.Head{Headers: []httpwire.Header{f}}).AppendFields(out))
			l.fields()
			return true
		}
	}
}

func isProgress(f httpwire.Header) bool { return strings.EqualFold(f.Name, "X-ClickHouse-Progress") }

// fields passes on what is there of a head that comes in pieces, and then its body.
func (l *link) fields() {
	for at := 0; l.state == heading; {
		c := l.reader
		f, n, end, err := l.head.ParseLine(l.in[at:], isProgress)
		switch {
		case err != nil:
			l.f.log.Warn("clickhouse: an answer that cannot be read", "store", l.store.id, "err", err)
			l.cut()
			return
		case n == 0:
			l.in = l.in[:copy(l.in, l.in[at:])]
			return
		}
		at += n
		if !end {
			_ = c.conn.Write((&httpwire.Head{Headers: []httpwire.Header{f}}).AppendFields(nil, c.unfit()...))
			continue
		}
		l.body = httpwire.AnswerBody(l.head, l.method)
		rest := l.in[at:]
		l.in, l.state = nil, streaming
		c.leaves = c.leaves || l.body.EndsWithConnection() || len(c.unfit()) > 0 && l.head.Chunked
		if c.conn.Write([]byte(c.connection())) == nil {
			l.pass(rest)
		}
	}
}

// unfit are the fields that a client of HTTP/1.0 does not know.
func (c *client) unfit() []string {
	if c.req.head.Minor == 0 {
		return []string{"transfer-encoding", "trailer"}
	}
	return nil
}

// resultOf reads an answer's head. What a server says of the query itself is its answer; that it takes none now is not.
func resultOf(h *httpwire.Head) decide.Result {
	switch h.Get("X-ClickHouse-Exception-Code") {
	case "202", "439": // too many queries; no thread to be had: it has not begun
		return decide.Overloaded
	case "":
		if h.Status == 503 || h.Status == 429 {
			return decide.Overloaded
		}
		if h.Status >= 500 {
			return decide.Failed
		}
	}
	return decide.OK
}

// answer writes the head of a server's answer to the client.
func (c *client) answer(l *link) {
	if l.body.EndsWithConnection() || c.req.head.Minor == 0 && l.head.Chunked {
		c.leaves = true
	}
	out := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n", l.head.Status, l.head.Reason)
	out = l.head.AppendFields(out, c.unfit()...)
	_ = c.conn.Write(append(out, c.connection()...))
}

// pass passes a part of the answer's body on.
func (l *link) pass(b []byte) {
	c := l.reader
	var write func([]byte)
	if c != nil && !c.closed && c.req.head.Minor == 0 && l.head.Chunked {
		write = func(p []byte) { _ = c.conn.Write(p) }
	}
	n, err := l.body.Next(b, write)
	if c != nil && !c.closed && write == nil && n > 0 {
		_ = c.conn.Write(b[:n])
	}
	switch {
	case err != nil:
		l.f.log.Warn("clickhouse: a body that cannot be read", "store", l.store.id, "err", err)
		l.cut()
	case l.state != streaming: // its client has gone meanwhile
	case l.body.Done():
		l.in = append(l.in, b[n:]...)
		l.end()
	case c != nil && c.conn.Unsent() > muchUnsent && !l.parked && l.conn.PauseReading():
		l.parked, l.unsent, l.takenAt = true, c.conn.Unsent(), l.f.loop.Now()
		l.look()
	}
}

// end ends an answer that has passed whole.
func (l *link) end() {
	c, h := l.reader, l.head
	l.reader = nil
	if h.Close || c != nil && c.uploads() { // the server may still wait for the rest of a body
		l.close()
	} else {
		l.free()
	}
	if c != nil {
		c.finish()
	}
}

// cut ends an answer that broke off: the client sees that by its connection's end.
func (l *link) cut() {
	c := l.reader
	l.reader = nil
	l.close()
	if c != nil && !c.closed {
		c.conn.Abort()
	}
}
