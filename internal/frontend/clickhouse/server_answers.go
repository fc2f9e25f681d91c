package clickhouse

import (
	"fmt"
	"net/http"

	"beechgrade/internal/decide"
	"beechgrade/internal/protocol/httpwire"
)

// readAnswerHead parses the head of an answer and decides whether the answer is forwarded to the client.
func (l *link) readAnswerHead() {
	a := l.attempt
	if l.mayHaveProgress(a) && l.beginProgressHead() {
		return
	}
	head, n, err := httpwire.Parse(l.input, false)
	switch {
	case err != nil:
		l.logInvalid("head", err)
		l.frontend.abort(a, decide.Failed)
		return
	case n == 0:
		return
	case head.Status < http.StatusOK: // 100 Continue
		l.input = l.input[:copy(l.input, l.input[n:])]
		l.readAnswerHead()
		return
	}
	body := l.input[n:]
	l.input = nil
	l.head = head
	l.body = httpwire.AnswerBody(head, l.method)
	if l.asksStaleness {
		l.state = readingReport
		l.report = nil
		l.readReport(body)
		return
	}
	// A request whose body was forwarded cannot be retried, so any answer is forwarded.
	retryable := a.request == nil || !a.request.bodyForwarded
	if result := resultOf(head); result != decide.OK && retryable {
		l.frontend.abort(a, result)
		return
	}
	if l.beginAnswer(a, streaming) && l.client != nil {
		l.writeAnswerHead()
	}
	if l.state == streaming {
		l.forwardBody(body)
	}
}

// resultOf returns the result of an attempt from the head of its answer. An exception that the query caused is a valid answer; a refusal
// to run queries is not.
func resultOf(head *httpwire.Head) decide.Result {
	if field := head.Get(headerExceptionCode); field != "" {
		switch parseExceptionCode(field) {
		case codeTooMany, codeNoThread: // the query has not begun
			return decide.Overloaded
		}
		return decide.OK
	}
	switch {
	case head.Status == http.StatusServiceUnavailable, head.Status == http.StatusTooManyRequests:
		return decide.Overloaded
	case head.Status >= http.StatusInternalServerError:
		return decide.Failed
	}
	return decide.OK
}

// beginAnswer reports the success of an attempt to the dispatcher, which calls request.Served if this answer is the one for the
// client. It reports whether the connection is still in use: another attempt may have been answered first, or the client may have
// disconnected.
func (l *link) beginAnswer(a *attempt, next linkState) bool {
	f := l.frontend
	l.state = next
	l.attempt = nil
	a.link = nil
	previous := f.serving
	f.serving = l
	f.finishAttempt(a, decide.OK)
	f.serving = previous
	if a.request == nil {
		return true
	}
	if l.client == nil {
		a.detachRequest(l)
		l.close()
		return false
	}
	if parseExceptionCode(l.head.Get(headerExceptionCode)) == codeNoSession {
		f.sessions.Unbind(a.request.session)
	}
	return true
}

// readReport reads a report of the server's staleness. Then a health check ends; an attempt's request is sent, or its attempt ends as
// misdirected.
func (l *link) readReport(b []byte) {
	n, err := l.body.Next(b, func(content []byte) { l.report = append(l.report, content...) })
	switch {
	case err != nil || len(l.report) > maxReportBytes:
		l.frontend.abort(l.attempt, decide.Failed)
		return
	case !l.body.Done():
		return
	}
	l.input = append(l.input, b[n:]...)
	lagMs, reported := parseLag(l.head.Status, string(l.report))
	l.report = nil
	if reported {
		l.server.positionMs = max(l.server.positionMs, l.sentAt-lagMs)
		l.server.reportedAt = l.frontend.loop.Now()
	}
	a := l.attempt
	l.attempt = nil
	a.link = nil
	if a.request != nil {
		l.sendAfterReport(a, reported)
		return
	}
	result := decide.OK
	if !reported {
		result = resultOf(l.head)
	}
	l.frontend.finishAttempt(a, result)
	l.releaseAfterReport()
}

// sendAfterReport sends an attempt's request after the server was asked for its staleness, unless that is unknown or too high.
func (l *link) sendAfterReport(a *attempt, reported bool) {
	f := l.frontend
	switch {
	case !reported || l.server.positionMs < f.loop.Now()-a.request.maxStalenessMs():
		f.finishAttempt(a, decide.Misdirected)
		l.releaseAfterReport()
	case l.head.Close: // the server closes this connection: the request needs another one
		a.stalenessChecked = true
		l.close()
		f.loop.StopTimer(a.timer)
		f.dispatch(a)
	case !f.maySend(a): // the attempt was ruled out while the report was awaited
		f.finishAttempt(a, decide.NotSent)
		l.releaseAfterReport()
	default:
		a.stalenessChecked = true
		l.head = nil
		l.send(a)
	}
}

// releaseAfterReport makes the connection available, or closes it if the server ends it after this answer.
func (l *link) releaseAfterReport() {
	if l.state == linkClosed || l.head.Close {
		l.close()
		return
	}
	l.release()
}

// writeAnswerHead forwards the head of the answer to the client.
func (l *link) writeAnswerHead() {
	c := l.client
	if l.body.EndsWithConnection() || c.speaksHTTP10() && l.head.Chunked {
		c.closeAfterAnswer = true
	}
	out := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n", l.head.Status, l.head.Reason)
	out = l.head.AppendFields(out, c.unsupportedFields()...)
	out = l.appendFraming(out)
	_ = c.conn.Write(append(out, c.endOfHead()...)) // a failed write closes the client
}

// appendFraming appends the field that says where the answer's body ends. A client that speaks HTTP/1.0 gets the content of chunks, and the end of its
// connection.
func (l *link) appendFraming(dst []byte) []byte {
	if l.client.speaksHTTP10() && l.head.Chunked {
		return dst
	}
	return l.head.AppendFraming(dst)
}

// forwardBody forwards a part of the answer's body to the client. An HTTP/1.0 client receives chunks without their headers.
func (l *link) forwardBody(b []byte) {
	c := l.client
	connected := c != nil && c.state != clientClosed
	var write func([]byte)
	if connected && c.speaksHTTP10() && l.head.Chunked {
		write = func(content []byte) { _ = c.conn.Write(content) }
	}
	n, err := l.body.Next(b, write)
	if connected && c.state != clientClosed && write == nil && n > 0 {
		_ = c.conn.Write(b[:n])
	}
	switch {
	case err != nil:
		l.logInvalid("body", err)
		l.abortAnswer()
	case l.state != streaming: // the client has disconnected meanwhile
	case l.body.Done():
		l.input = append(l.input, b[n:]...)
		l.finishAnswer()
	case c != nil && c.conn.Unsent() > l.frontend.window():
		l.pauseReading()
	}
}

// pauseReading stops reading the answer until the client has read more of it.
func (l *link) pauseReading() {
	if l.readingPaused || !l.conn.PauseReading() {
		return
	}
	l.readingPaused = true
	l.clientUnsent = l.client.conn.Unsent()
	l.clientReadAt = l.frontend.loop.Now()
	l.pollClient()
}

// pollClient periodically checks, while reading is paused, whether the client has read enough of the answer or is stalled.
func (l *link) pollClient() {
	f := l.frontend
	f.loop.At(f.loop.Now()+pollIntervalMs, func() {
		c := l.client
		connected := c != nil && c.state != clientClosed
		if connected {
			if unsent := c.conn.Unsent(); unsent != l.clientUnsent {
				l.clientUnsent = unsent
				l.clientReadAt = f.loop.Now()
			}
		}
		switch {
		case l.state != streaming || !l.readingPaused:
		case connected && f.loop.Now()-l.clientReadAt > f.options.ClientStallTimeoutMs:
			c.conn.Close()
		case !connected || c.conn.Unsent() <= min(lowWaterBytes, f.window()/2):
			l.readingPaused = false
			l.conn.ResumeReading()
		default:
			l.pollClient()
		}
	})
}

// finishAnswer ends an answer that was forwarded in full.
func (l *link) finishAnswer() {
	c := l.client
	l.client = nil
	uploading := c != nil && c.isUploading()
	if l.head.Close || uploading { // the server may wait for the rest of the body
		l.close()
	} else {
		l.release()
	}
	if c != nil {
		c.finishRequest()
	}
}

// abortAnswer ends an incomplete answer. It resets the client's connection, so that the client does not take the answer for complete.
func (l *link) abortAnswer() {
	c := l.client
	l.client = nil
	l.reportBroken(decide.Failed)
	l.close()
	if c != nil && c.state != clientClosed {
		c.conn.Abort()
	}
}

// abandon ends an answer whose client has disconnected. The server ends the query when it detects the closed connection or receives
// KILL QUERY.
func (l *link) abandon() {
	c := l.client
	l.client = nil
	if l.state == linkClosed {
		return
	}
	l.close()
	if c != nil && c.abandoned != nil {
		l.frontend.kill(l.server, c.abandoned)
	}
}

// logInvalid logs that a part of an answer, the head or the body, is not valid HTTP.
func (l *link) logInvalid(part string, err error) {
	l.frontend.log.Warn("clickhouse: server sent an answer that is not valid HTTP", "part", part, "server", l.server.id, "err", err)
}
