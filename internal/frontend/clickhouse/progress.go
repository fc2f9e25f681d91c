package clickhouse

import (
	"fmt"
	"net/http"
	"strings"

	"beechgrade/internal/protocol/httpwire"
)

// By send_progress_in_http_headers a server sends the head of an answer in parts while the query runs: a field of headerProgress from
// time to time, and the other fields at the end.

const headerProgress = "X-ClickHouse-Progress"

// mayHaveProgress reports whether the answer of an attempt may have progress in its head.
func (l *link) mayHaveProgress(a *attempt) bool {
	return a.request != nil && !l.asksStaleness && a.request.params.Get("send_progress_in_http_headers") == "1"
}

// beginProgress reports whether the input is the beginning of an answer with progress in its head. Such an answer has begun: its head
// is passed on in parts.
func (l *link) beginProgress() bool {
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
		if !l.answerBegun(l.attempt, passingHead) {
			return true
		}
		out := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n", head.Status, head.Reason)
		out = head.AppendFields(out, l.client.unsupportedFields()...)
		_ = l.client.conn.Write(appendField(out, field)) // a failed write closes the client
		l.passProgress()
		return true
	}
}

func isProgress(field httpwire.Header) bool { return strings.EqualFold(field.Name, headerProgress) }

func appendField(dst []byte, field httpwire.Header, except ...string) []byte {
	head := httpwire.Head{Headers: []httpwire.Header{field}}
	return head.AppendFields(dst, except...)
}

// passProgress passes the fields of a head that comes in parts on to the client, and then its body.
func (l *link) passProgress() {
	at := 0
	for l.state == passingHead {
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
			l.endProgress(at)
			return
		}
		_ = c.conn.Write(appendField(nil, field, c.unsupportedFields()...)) // a failed write closes the client
	}
}

// endProgress ends a head that comes in parts. The body begins at the given offset of the input.
func (l *link) endProgress(at int) {
	c := l.client
	l.body = httpwire.AnswerBody(l.head, l.method)
	body := l.input[at:]
	l.input = nil
	l.state = streaming
	if l.body.EndsWithConnection() || c.speaksHTTP10() && l.head.Chunked {
		c.closeAfterAnswer = true
	}
	if c.conn.Write([]byte(c.endOfHead())) == nil {
		l.passBody(body)
	}
}
