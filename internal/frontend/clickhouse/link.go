package clickhouse

import (
	"errors"
	"io"
	"net/http"
	"syscall"

	"beechgrade/internal/backend"
	"beechgrade/internal/backend/reuse"
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop"
	"beechgrade/internal/eventloop/timers"
	"beechgrade/internal/protocol/httpwire"
)

// linkState is the state of a connection to a server.
type linkState uint8

const (
	linkDialing    linkState = iota
	linkIdle                 // waits for an attempt
	awaitingAnswer           // an attempt was sent
	readingReport            // receives a report of the server's staleness, for a health check or before a request
	forwardingHead           // receives the head of an answer in parts, which are forwarded to the client
	streaming                // receives the body of an answer, which is forwarded to the client
	linkClosed
)

// link is a connection to a server. It implements eventloop.Handler.
type link struct {
	frontend *Frontend
	server   *server
	address  string
	conn     *eventloop.Conn // nil until it is open
	state    linkState
	timer    *timers.Timer // closes the connection when it is idle for too long

	// The current attempt, until its answer begins.
	attempt       *attempt
	asksStaleness bool // the request on the wire asks for the server's staleness and is not the attempt's request
	method        string
	written       bool    // the write has succeeded; its last bytes may still be unsent
	sentAt        float64 // when the write began
	report        []byte  // received part of the report of the server's staleness

	// The current answer.
	input      []byte // received, but not handled yet
	lastReadAt float64
	head       *httpwire.Head
	body       httpwire.Body
	client     *client // receives the answer

	// Reading is paused while the client does not read its answer.
	readingPaused bool
	clientUnsent  int     // unsent bytes for the client at the last check
	clientReadAt  float64 // when clientUnsent last changed
}

func (f *Frontend) dial(s *server) {
	l := &link{frontend: f, server: s, address: s.address}
	s.dialingConns++
	f.conns++
	f.loop.Dial(s.address, f.options.ConnectTimeoutMs, l, func(err error) {
		f.log.Debug("clickhouse: could not connect to the server", "server", s.id, "err", err)
		l.dialFailed(err)
	})
}

// dialFailed removes a connection that could not be opened. If more attempts wait than connections are being opened, it ends the
// longest-waiting attempt.
func (l *link) dialFailed(err error) {
	if l.state != linkDialing {
		return
	}
	f := l.frontend
	l.state = linkClosed
	l.server.dialingConns--
	f.conns--
	if errors.Is(err, syscall.ECONNREFUSED) { // the server's process has ended, and its sessions with it
		f.loseSessions(l.server.id)
	}
	result := decide.Unreachable
	if eventloop.IsLocalError(err) { // not the server's fault
		result = decide.NotSent
	}
	if waiting := l.server.waiting; len(waiting) > l.server.dialingConns {
		f.abort(waiting[0], result)
	}
}

// Opened implements eventloop.Handler.
func (l *link) Opened(conn *eventloop.Conn) {
	l.conn = conn
	if l.state == linkClosed {
		conn.Close()
		return
	}
	l.server.dialingConns--
	conn.LimitReads(eventloop.SmallReads)
	l.release()
}

// release makes the connection available: it sends the next waiting attempt, or becomes idle.
func (l *link) release() {
	l.state = linkIdle
	l.head = nil
	l.client = nil
	l.attempt = nil
	s := l.server
	if l.address != s.address || !l.clean() {
		l.close()
		return
	}
	for len(s.waiting) > 0 {
		a := s.waiting[0]
		if !l.frontend.maySend(a) {
			l.frontend.abort(a, decide.NotSent)
			continue
		}
		s.waiting = s.waiting[1:]
		l.send(a)
		return
	}
	s.idle = append(s.idle, l)
	loop := l.frontend.loop
	loop.StopTimer(l.timer)
	l.timer = loop.At(loop.Now()+l.frontend.options.ConnectionIdleMs, l.close)
}

// clean reports whether the next request may be sent on the connection, whose answer is complete.
func (l *link) clean() bool { return reuse.Check(0, len(l.input), l.conn) == reuse.Clean }

// send sends an attempt's request. For a health check it sends a ping or a request for the server's staleness instead; the latter also
// precedes an attempt's request where needsStalenessReport says so.
func (l *link) send(a *attempt) {
	f := l.frontend
	f.loop.StopTimer(l.timer)
	f.loop.StopTimer(a.connectTimer)
	l.state = awaitingAnswer
	l.attempt = a
	a.link = l
	l.asksStaleness = f.needsStalenessReport(a)
	r := a.request
	if l.asksStaleness {
		r = nil
	}
	var message []byte
	if r == nil {
		l.method = http.MethodGet
		message = l.appendStatusRequest(nil)
	} else {
		l.method = r.head.Method
		message = r.AppendQuery(nil, 0)
		r.attemptLink = l
	}
	l.written = false
	l.sentAt = f.loop.Now()
	if l.conn.Write(message) != nil {
		return
	}
	l.written = true
	if r != nil && !r.streamsBody && l.conn.Unsent() == 0 {
		f.events.AttemptWritten(a.id)
	}
	if a.request != nil && a.request.streamsBody && a.request.attemptLink == l {
		a.request.client.resume()
	}
}

// needsStalenessReport reports whether the server's staleness must be requested, for a health check or before an attempt's request.
func (f *Frontend) needsStalenessReport(a *attempt) bool {
	if a.request == nil {
		return f.probesStaleness
	}
	return f.options.CheckStaleness && !a.stalenessChecked && a.request.maxStalenessMs() > 0
}

func (l *link) appendStatusRequest(dst []byte) []byte {
	path := "/ping"
	if l.asksStaleness {
		path = statusPath
	}
	return append(dst, "GET "+path+" HTTP/1.1\r\nHost: clickhouse\r\n\r\n"...)
}

// Data implements eventloop.Handler.
func (l *link) Data(b []byte) {
	l.lastReadAt = l.frontend.loop.Now()
	switch l.state {
	case readingReport:
		l.readReport(b)
	case forwardingHead:
		l.input = append(l.input, b...)
		l.forwardProgress()
	case awaitingAnswer:
		l.input = append(l.input, b...)
		l.readAnswerHead()
	case streaming:
		l.forwardBody(b)
	default: // data without a request
		l.close()
	}
}

// isSilent reports whether the server has sent nothing of its answer for too long, although reading is not paused.
func (l *link) isSilent(now float64) bool {
	return !l.readingPaused && now-l.lastReadAt > l.frontend.options.ServerIdleTimeoutMs
}

func (l *link) close() {
	if l.state == linkClosed {
		return
	}
	l.Closed(nil)
	if l.conn != nil {
		l.conn.Close()
	}
}

// Closed implements eventloop.Handler. It ends the current attempt, or the answer that is being forwarded.
func (l *link) Closed(err error) {
	before := l.state
	if before == linkClosed {
		return
	}
	f, s := l.frontend, l.server
	unsent := 0
	if l.conn != nil {
		unsent = l.conn.DiscardUnsent()
	}
	l.state = linkClosed
	f.conns--
	f.loop.StopTimer(l.timer)
	s.removeIdle(l)
	if l.attempt != nil {
		l.failAttempt(unsent)
	}
	if l.client != nil && (before == streaming || before == forwardingHead) {
		c := l.client
		l.client = nil
		closeEndsAnswer := before == streaming && l.body.EndsWithConnection()
		if closeEndsAnswer && (err == nil || errors.Is(err, io.EOF)) {
			c.finishRequest()
		} else {
			l.reportBroken(decide.Reset)
			if c.state != clientClosed {
				c.conn.Abort()
			}
		}
	}
	if s.address != "" {
		f.dialForWaiting(s)
	}
}

// reportBroken reports that an answer broke off after its attempt had ended with its beginning.
func (l *link) reportBroken(result decide.Result) {
	l.frontend.events.AnswerEnded(l.server.id, l.sentAt, backend.Outcome{Result: result})
}

// failAttempt ends the attempt whose connection was closed, with the given number of bytes unsent, before its answer began.
func (l *link) failAttempt(unsent int) {
	a := l.attempt
	l.attempt = nil
	a.link = nil
	a.detachRequest(l)
	result := decide.Reset
	fullySent := l.written && unsent == 0
	if !fullySent && (a.request == nil || !a.request.bodyForwarded) { // the server cannot have run the query
		result = decide.Unreachable
	}
	l.frontend.finishAttempt(a, result)
}
