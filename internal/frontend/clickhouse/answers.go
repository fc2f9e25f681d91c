package clickhouse

import (
	"fmt"
	"strings"

	"beechgrade/internal/decide"
	"beechgrade/internal/protocol/httpwire"
)

// readAnswerHead reads the answer's head, and decides what it is.
func (l *link) readAnswerHead() {
	a := l.attempt
	if a.request != nil && !l.asksStaleness && a.request.params.Get("send_progress_in_http_headers") == "1" && l.beginProgress() {
		return
	}
	h, n, err := httpwire.Parse(l.input, false)
	switch {
	case err != nil:
		l.frontend.log.Warn("clickhouse: an answer that cannot be read", "store", l.server.id, "err", err)
		l.frontend.abort(a, decide.Failed)
		return
	case n == 0:
		return
	case h.Status < 200: // 100 Continue
		l.input = l.input[:copy(l.input, l.input[n:])]
		l.readAnswerHead()
		return
	}
	rest := l.input[n:]
	l.input = nil
	l.head, l.body = h, httpwire.AnswerBody(h, l.method)
	if l.asksStaleness {
		l.state, l.report = readingReport, nil
		l.readReport(rest)
		return
	}
	// What a body that has passed on met is its answer, whatever that is: there is no other to be had.
	if res := resultOf(h); res != decide.OK && (a.request == nil || !a.request.bodyPassed) {
		l.frontend.abort(a, res)
		return
	}
	if l.answerBegun(a, streaming) && l.client != nil {
		l.client.writeAnswerHead(l)
	}
	if l.state == streaming {
		l.passBody(rest)
	}
}

// answerBegun has the core know that an attempt's answer is there. It tells whether the connection still stands: another's answer
// may have come first, or nobody waits any more.
func (l *link) answerBegun(a *attempt, next linkState) bool {
	l.state, l.attempt, a.link = next, nil, nil
	was := l.frontend.serving
	l.frontend.serving = l
	l.frontend.finishAttempt(a, decide.OK)
	l.frontend.serving = was
	if a.request == nil {
		return true
	}
	if l.client == nil {
		a.detachRequest(l)
		l.close()
		return false
	}
	if l.head.Get("X-ClickHouse-Exception-Code") == noSessionCode {
		l.frontend.sessions.Unbind(a.request.session)
	}
	return true
}

const noSessionCode = "372"

// readReport takes a server's word on how far behind it is, and has what waits for it go on.
func (l *link) readReport(b []byte) {
	a := l.attempt
	n, err := l.body.Next(b, func(p []byte) { l.report = append(l.report, p...) })
	switch {
	case err != nil || len(l.report) > maxReportBytes:
		l.frontend.abort(a, decide.Failed)
		return
	case !l.body.Done():
		return
	}
	l.input = append(l.input, b[n:]...)
	s := l.server
	lag, told := parseLag(l.head.Status, string(l.report))
	l.report = nil
	if told {
		s.positionMs, s.reportedAt = max(s.positionMs, l.sentAt-lag), l.frontend.loop.Now()
	}
	ends := l.head.Close
	l.attempt, a.link = nil, nil
	switch {
	case a.request == nil && told:
		l.frontend.finishAttempt(a, decide.OK)
	case a.request == nil:
		l.frontend.finishAttempt(a, resultOf(l.head))
	case !told || s.positionMs < l.frontend.loop.Now()-a.request.maxStalenessMs():
		l.frontend.finishAttempt(a, decide.Misdirected)
	case ends: // it goes out on another
		a.staleChecked = true
		l.close()
		l.frontend.loop.StopTimer(a.timer)
		l.frontend.dispatch(a)
		return
	case !l.frontend.maySend(a): // it was let go to ask for the report; the query is what must not go out now
		l.frontend.finishAttempt(a, decide.NotSent)
	default:
		a.staleChecked = true
		l.head = nil
		l.send(a)
		return
	}
	if ends || l.state == closed {
		l.close()
	} else {
		l.release()
	}
}

// beginProgress looks for the start of an answer whose head tells of the query's progress, field by field for as long as that takes.
// With the first such field it has begun, and goes on to the client as it comes. It tells whether that is so.
func (l *link) beginProgress() bool {
	h, at, err := httpwire.ParseStatusLine(l.input)
	if err != nil || at == 0 || h.Status != 200 {
		return false
	}
	for {
		f, n, end, err := h.ParseLine(l.input[at:], isProgress)
		if err != nil || n == 0 || end {
			return false
		}
		if at += n; isProgress(f) {
			l.input = l.input[:copy(l.input, l.input[at:])]
			l.head = h
			if !l.answerBegun(l.attempt, passingHead) {
				return true
			}
			c := l.client
			out := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n", h.Status, h.Reason)
			out = h.AppendFields(out, c.droppedFields()...)
			_ = c.conn.Write((&httpwire.Head{Headers: []httpwire.Header{f}}).AppendFields(out))
			l.passProgress()
			return true
		}
	}
}

func isProgress(f httpwire.Header) bool { return strings.EqualFold(f.Name, "X-ClickHouse-Progress") }

// passProgress passes on what is there of a head that comes in pieces, and then its body.
func (l *link) passProgress() {
	for at := 0; l.state == passingHead; {
		c := l.client
		f, n, end, err := l.head.ParseLine(l.input[at:], isProgress)
		switch {
		case err != nil:
			l.frontend.log.Warn("clickhouse: an answer that cannot be read", "store", l.server.id, "err", err)
			l.abortAnswer()
			return
		case n == 0:
			l.input = l.input[:copy(l.input, l.input[at:])]
			return
		}
		at += n
		if !end {
			_ = c.conn.Write((&httpwire.Head{Headers: []httpwire.Header{f}}).AppendFields(nil, c.droppedFields()...))
			continue
		}
		l.body = httpwire.AnswerBody(l.head, l.method)
		rest := l.input[at:]
		l.input, l.state = nil, streaming
		c.closeAfterAnswer = c.closeAfterAnswer || l.body.EndsWithConnection() || len(c.droppedFields()) > 0 && l.head.Chunked
		if c.conn.Write([]byte(c.connectionField())) == nil {
			l.passBody(rest)
		}
	}
}

// droppedFields are the fields that a client of HTTP/1.0 does not know.
func (c *client) droppedFields() []string {
	if c.request.head.Minor == 0 {
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

// writeAnswerHead writes the head of a server's answer to the client.
func (c *client) writeAnswerHead(l *link) {
	if l.body.EndsWithConnection() || c.request.head.Minor == 0 && l.head.Chunked {
		c.closeAfterAnswer = true
	}
	out := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n", l.head.Status, l.head.Reason)
	out = l.head.AppendFields(out, c.droppedFields()...)
	_ = c.conn.Write(append(out, c.connectionField()...))
}

// passBody passes a part of the answer's body on.
func (l *link) passBody(b []byte) {
	c := l.client
	var write func([]byte)
	if c != nil && !c.closed && c.request.head.Minor == 0 && l.head.Chunked {
		write = func(p []byte) { _ = c.conn.Write(p) }
	}
	n, err := l.body.Next(b, write)
	if c != nil && !c.closed && write == nil && n > 0 {
		_ = c.conn.Write(b[:n])
	}
	switch {
	case err != nil:
		l.frontend.log.Warn("clickhouse: a body that cannot be read", "store", l.server.id, "err", err)
		l.abortAnswer()
	case l.state != streaming: // its client has gone meanwhile
	case l.body.Done():
		l.input = append(l.input, b[n:]...)
		l.answerComplete()
	case c != nil && c.conn.Unsent() > highWaterBytes && !l.parked && l.conn.PauseReading():
		l.parked, l.clientUnsent, l.clientReadAt = true, c.conn.Unsent(), l.frontend.loop.Now()
		l.pollClient()
	}
}

// answerComplete ends an answer that has passed whole.
func (l *link) answerComplete() {
	c, h := l.client, l.head
	l.client = nil
	if h.Close || c != nil && c.uploading() { // the server may still wait for the rest of a body
		l.close()
	} else {
		l.release()
	}
	if c != nil {
		c.answered()
	}
}

// abortAnswer ends an answer that broke off: the client sees that by its connection's end.
func (l *link) abortAnswer() {
	c := l.client
	l.client = nil
	l.close()
	if c != nil && !c.closed {
		c.conn.Abort()
	}
}
