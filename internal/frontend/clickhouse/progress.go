package clickhouse

import (
	"fmt"
	"net/http"
	"strings"

	"beechgrade/internal/protocol/httpwire"
)

// With send_progress_in_http_headers a server sends the head of an answer in parts while the query runs: headers headerProgress at
// intervals, and the other headers at the end.

const headerProgress = "X-ClickHouse-Progress"

// mayHaveProgress reports whether the head of an attempt's answer may contain progress headers.
func (l *link) mayHaveProgress(a *attempt) bool {
	return a.request != nil && !l.asksStaleness && a.request.params.Get("send_progress_in_http_headers") == "1"
}

// beginProgressHead reports whether the input is the beginning of a head with progress headers. If so, the answer has begun, and its head
// is forwarded in parts.
func (l *link) beginProgressHead() bool {
	head, at, err := httpwire.ParseStatusLine(l.input)
	if err != nil || at == 0 || head.Status != http.StatusOK {
		return false
	}
	for {
		field, n, end, err := head.ParseLine(l.input[at:], isProgress)
		if err != nil || n == 0 || end {
			return false
		}
		at += n
		if !isProgress(field) {
			continue
		}
		l.input = l.input[:copy(l.input, l.input[at:])]
		l.head = head
		if !l.beginAnswer(l.attempt, forwardingHead) {
			return true
		}
		out := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n", head.Status, head.Reason)
		for _, earlier := range head.Headers {
			out = head.AppendField(out, earlier, l.client.unsupportedFields()...)
		}
		_ = l.client.conn.Write(head.AppendField(out, field)) // a failed write closes the client
		l.forwardProgress()
		return true
	}
}

func isProgress(field httpwire.Header) bool { return strings.EqualFold(field.Name, headerProgress) }

// forwardProgress forwards the fields of a head that arrives in parts to the client, and then the beginning of the body.
func (l *link) forwardProgress() {
	at := 0
	for l.state == forwardingHead {
		c := l.client
		field, n, end, err := l.head.ParseLine(l.input[at:], isProgress)
		switch {
		case err != nil:
			l.logInvalid("head", err)
			l.abortAnswer()
			return
		case n == 0:
			l.input = l.input[:copy(l.input, l.input[at:])]
			return
		}
		at += n
		if end {
			l.finishProgressHead(at)
			return
		}
		if out := l.head.AppendField(nil, field, c.unsupportedFields()...); len(out) > 0 {
			_ = c.conn.Write(out) // a failed write closes the client
		}
	}
}

// finishProgressHead ends a head that arrived in parts. The body begins at offset at of the input.
func (l *link) finishProgressHead(at int) {
	c := l.client
	l.body = httpwire.AnswerBody(l.head, l.method)
	body := l.input[at:]
	l.input = nil
	l.state = streaming
	if l.body.EndsWithConnection() || c.speaksHTTP10() && l.head.Chunked {
		c.closeAfterAnswer = true
	}
	if c.conn.Write(append(l.appendFraming(nil), c.endOfHead()...)) == nil {
		l.forwardBody(body)
	}
}
