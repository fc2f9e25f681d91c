package clickhouse

import (
	"errors"
	"io"
	"syscall"

	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop"
	"beechgrade/internal/eventloop/timers"
	"beechgrade/internal/protocol/httpwire"
)

type linkState uint8

const (
	dialing linkState = iota
	idle
	awaitingAnswer // an attempt's query is out
	readingReport  // it tells how far behind it is, for a probe or before a query
	passingHead    // the head of its answer comes in many pieces, and goes to a client
	streaming      // its answer goes to a client
	closed
)

// link is a connection to a server; it is the loop's Handler.
type link struct {
	frontend      *Frontend
	server        *server
	address       string
	conn          *eventloop.Conn
	state         linkState
	attempt       *attempt
	method        string
	written       bool
	sentAt        float64
	lastReadAt    float64 // something came last
	asksStaleness bool    // it was asked how far behind it is
	report        []byte  // ...and says so
	input         []byte
	head          *httpwire.Head
	body          httpwire.Body
	client        *client // whom the answer goes to
	parked        bool
	clientUnsent  int     // of its reader, when it last took something of it...
	clientReadAt  float64 // ...that is, then
	timer         *timers.Timer
}

func (f *Frontend) dial(s *server) {
	l := &link{frontend: f, server: s, address: s.address}
	s.dialing++
	f.conns++
	f.loop.Dial(s.address, f.options.ConnectTimeoutMs, l, func(err error) {
		f.log.Debug("clickhouse: connect", "store", s.id, "err", err)
		l.dialFailed(err)
	})
}

// dialFailed takes a connection out that never came up, and with it the attempt that waited longest.
func (l *link) dialFailed(err error) {
	if l.state != dialing {
		return
	}
	l.state = closed
	l.server.dialing--
	l.frontend.conns--
	if errors.Is(err, syscall.ECONNREFUSED) { // no process is there, nor what it held
		l.frontend.loseSessions(l.server.id)
	}
	result := decide.Unreachable
	if eventloop.IsLocalError(err) { // it says nothing about the server
		result = decide.NotSent
	}
	if w := l.server.waiting; len(w) > l.server.dialing {
		l.frontend.abort(w[0], result)
	}
}

// Opened is loop's.
func (l *link) Opened(lc *eventloop.Conn) {
	l.conn = lc
	if l.state == closed {
		lc.Close()
		return
	}
	l.server.dialing--
	l.release()
}

// release has a connection carry the next attempt, or idle.
func (l *link) release() {
	l.state, l.head, l.client, l.attempt = idle, nil, nil, nil
	s := l.server
	if l.address != s.address || len(l.input) > 0 || !l.conn.OpenAndIdle() {
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
	l.frontend.loop.StopTimer(l.timer)
	l.timer = l.frontend.loop.At(l.frontend.loop.Now()+l.frontend.options.ConnectionIdleMs, l.close)
}

// send writes an attempt's query.
func (l *link) send(a *attempt) {
	l.frontend.loop.StopTimer(l.timer)
	l.frontend.loop.StopTimer(a.connectTimer)
	l.state, l.attempt, a.link, l.method = awaitingAnswer, a, l, "GET"
	l.asksStaleness = a.request == nil && l.frontend.probesStaleness || a.request != nil && a.request.maxStalenessMs() > 0 && l.frontend.options.CheckStaleness && !a.staleChecked
	path := "/ping"
	if l.asksStaleness {
		path = statusPath
	}
	out := []byte("GET " + path + " HTTP/1.1\r\nHost: clickhouse\r\n\r\n")
	if a.request != nil && !l.asksStaleness {
		out, l.method = a.request.AppendQuery(nil, 0), a.request.head.Method
		a.request.uploadLink = l
	}
	l.written, l.sentAt = false, l.frontend.loop.Now()
	if l.conn.Write(out) != nil {
		return
	}
	l.written = true
	if a.request != nil && !l.asksStaleness && !a.request.uploads && l.conn.Unsent() == 0 {
		l.frontend.events.AttemptWritten(a.id)
	}
	if a.request != nil && a.request.uploads && a.request.uploadLink == l {
		a.request.client.resume()
	}
}

// Data is loop's.
func (l *link) Data(b []byte) {
	l.lastReadAt = l.frontend.loop.Now()
	switch l.state {
	case readingReport:
		l.readReport(b)
	case passingHead:
		l.input = append(l.input, b...)
		l.passProgress()
	case awaitingAnswer:
		l.input = append(l.input, b...)
		l.readAnswerHead()
	case streaming:
		l.passBody(b)
	default: // nothing was asked
		l.close()
	}
}

// pollClient goes on with a parked connection once its client has read.
func (l *link) pollClient() {
	l.frontend.loop.At(l.frontend.loop.Now()+pollMs, func() {
		c := l.client
		if c != nil && !c.closed {
			if n := c.conn.Unsent(); n != l.clientUnsent {
				l.clientUnsent, l.clientReadAt = n, l.frontend.loop.Now()
			}
		}
		switch {
		case l.state != streaming || !l.parked:
		case c != nil && !c.closed && l.frontend.loop.Now()-l.clientReadAt > l.frontend.options.ClientStallTimeoutMs: // it takes nothing
			c.conn.Close()
		case c == nil || c.closed || c.conn.Unsent() <= lowWaterBytes:
			l.parked = false
			l.conn.ResumeReading()
		default:
			l.pollClient()
		}
	})
}

// abandon ends an answer whose client has gone: the server sees its connection close, and ends the query.
func (l *link) abandon() {
	c := l.client
	l.client = nil
	if l.state == closed {
		return
	}
	l.close()
	if c != nil && c.abandoned != nil {
		l.frontend.kill(l.server, c.abandoned)
	}
}

// close closes the connection.
func (l *link) close() {
	if l.state == closed {
		return
	}
	l.Closed(nil)
	if l.conn != nil {
		l.conn.Close()
	}
}

// Closed is loop's.
func (l *link) Closed(err error) {
	was := l.state
	if was == closed {
		return
	}
	l.state = closed
	l.frontend.conns--
	l.frontend.loop.StopTimer(l.timer)
	s := l.server
	for i := range s.idle {
		if s.idle[i] == l {
			s.idle = append(s.idle[:i:i], s.idle[i+1:]...)
			break
		}
	}
	if a := l.attempt; a != nil {
		l.attempt, a.link = nil, nil
		a.detachRequest(l)
		res := decide.Reset
		if (!l.written || l.conn != nil && l.conn.Unsent() > 0) && (a.request == nil || !a.request.bodyPassed) {
			res = decide.Unreachable // its last byte never left
		}
		l.frontend.finishAttempt(a, res)
	}
	if c := l.client; (was == streaming || was == passingHead) && c != nil {
		l.client = nil
		if was == streaming && l.body.EndsWithConnection() && (err == nil || errors.Is(err, io.EOF)) {
			c.answered()
		} else if !c.closed {
			c.conn.Abort()
		}
	}
	if s.dialing < len(s.waiting) && s.address != "" && l.frontend.options.SpareDescriptors() > 0 {
		l.frontend.dial(s)
	}
}
