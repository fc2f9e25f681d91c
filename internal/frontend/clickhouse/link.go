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
	asked     // an attempt's query is out
	reporting // it tells how far behind it is, for a probe or before a query
	heading   // the head of its answer comes in many pieces, and goes to a client
	streaming // its answer goes to a client
	shut
)

// link is a connection to a server; it is the loop's Handler.
type link struct {
	f       *Front
	store   *store
	addr    string
	conn    *eventloop.Conn
	state   linkState
	attempt *attempt
	method  string
	sent    bool
	askedAt float64
	heard   float64 // something came last
	lags    bool    // it was asked how far behind it is
	text    []byte  // ...and says so
	in      []byte
	head    *httpwire.Head
	body    httpwire.Body
	reader  *client // whom the answer goes to
	parked  bool
	unsent  int     // of its reader, when it last took something of it...
	takenAt float64 // ...that is, then
	timer   *timers.Timer
}

func (f *Front) dial(s *store) {
	l := &link{f: f, store: s, addr: s.addr}
	s.dialing++
	f.conns++
	f.loop.Dial(s.addr, f.opt.ConnectMs, l, func(err error) {
		f.log.Debug("clickhouse: connect", "store", s.id, "err", err)
		l.failed(err)
	})
}

// failed takes a connection out that never came up, and with it the attempt that waited longest.
func (l *link) failed(err error) {
	if l.state != dialing {
		return
	}
	l.state = shut
	l.store.dialing--
	l.f.conns--
	if errors.Is(err, syscall.ECONNREFUSED) { // no process is there, nor what it held
		l.f.lose(l.store.id)
	}
	result := decide.Unreachable
	if eventloop.IsLocalError(err) { // it says nothing about the server
		result = decide.NotSent
	}
	if w := l.store.waiting; len(w) > l.store.dialing {
		l.f.drop(w[0], result)
	}
}

// Opened is loop's.
func (l *link) Opened(lc *eventloop.Conn) {
	l.conn = lc
	if l.state == shut {
		lc.Close()
		return
	}
	l.store.dialing--
	l.free()
}

// free has a connection carry the next attempt, or idle.
func (l *link) free() {
	l.state, l.head, l.reader, l.attempt = idle, nil, nil, nil
	s := l.store
	if l.addr != s.addr || len(l.in) > 0 || !l.conn.OpenAndIdle() {
		l.close()
		return
	}
	for len(s.waiting) > 0 {
		a := s.waiting[0]
		if !l.f.goes(a) {
			l.f.drop(a, decide.NotSent)
			continue
		}
		s.waiting = s.waiting[1:]
		l.ask(a)
		return
	}
	s.idle = append(s.idle, l)
	l.f.loop.StopTimer(l.timer)
	l.timer = l.f.loop.At(l.f.loop.Now()+l.f.opt.IdleMs, l.close)
}

// ask writes an attempt's query.
func (l *link) ask(a *attempt) {
	l.f.loop.StopTimer(l.timer)
	l.f.loop.StopTimer(a.connect)
	l.state, l.attempt, a.link, l.method = asked, a, l, "GET"
	l.lags = a.r == nil && l.f.bounded || a.r != nil && a.r.bound() > 0 && l.f.opt.Check && !a.checked
	path := "/ping"
	if l.lags {
		path = statusPath
	}
	out := []byte("GET " + path + " HTTP/1.1\r\nHost: clickhouse\r\n\r\n")
	if a.r != nil && !l.lags {
		out, l.method = a.r.AppendQuery(nil, 0), a.r.head.Method
		a.r.taker = l
	}
	l.sent, l.askedAt = false, l.f.loop.Now()
	if l.conn.Write(out) != nil {
		return
	}
	l.sent = true
	if a.r != nil && !l.lags && !a.r.stream && l.conn.Unsent() == 0 {
		l.f.events.AttemptWritten(a.tag)
	}
	if a.r != nil && a.r.stream && a.r.taker == l {
		a.r.c.resume()
	}
}

// Data is loop's.
func (l *link) Data(b []byte) {
	l.heard = l.f.loop.Now()
	switch l.state {
	case reporting:
		l.report(b)
	case heading:
		l.in = append(l.in, b...)
		l.fields()
	case asked:
		l.in = append(l.in, b...)
		l.begin()
	case streaming:
		l.pass(b)
	default: // nothing was asked
		l.close()
	}
}

// look goes on with a parked connection once its client has read.
func (l *link) look() {
	l.f.loop.At(l.f.loop.Now()+lookMs, func() {
		c := l.reader
		if c != nil && !c.closed {
			if n := c.conn.Unsent(); n != l.unsent {
				l.unsent, l.takenAt = n, l.f.loop.Now()
			}
		}
		switch {
		case l.state != streaming || !l.parked:
		case c != nil && !c.closed && l.f.loop.Now()-l.takenAt > l.f.opt.StallMs: // it takes nothing
			c.conn.Close()
		case c == nil || c.closed || c.conn.Unsent() <= littleLeft:
			l.parked = false
			l.conn.ResumeReading()
		default:
			l.look()
		}
	})
}

// abandon ends an answer whose client has gone: the server sees its connection close, and ends the query.
func (l *link) abandon() {
	c := l.reader
	l.reader = nil
	if l.state == shut {
		return
	}
	l.close()
	if c != nil && c.going != nil {
		l.f.kill(l.store, c.going)
	}
}

// close closes the connection.
func (l *link) close() {
	if l.state == shut {
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
	if was == shut {
		return
	}
	l.state = shut
	l.f.conns--
	l.f.loop.StopTimer(l.timer)
	s := l.store
	for i := range s.idle {
		if s.idle[i] == l {
			s.idle = append(s.idle[:i:i], s.idle[i+1:]...)
			break
		}
	}
	if a := l.attempt; a != nil {
		l.attempt, a.link = nil, nil
		a.leave(l)
		res := decide.Reset
		if (!l.sent || l.conn != nil && l.conn.Unsent() > 0) && (a.r == nil || !a.r.passing) {
			res = decide.Unreachable // its last byte never left
		}
		l.f.done(a, res)
	}
	if c := l.reader; (was == streaming || was == heading) && c != nil {
		l.reader = nil
		if was == streaming && l.body.EndsWithConnection() && (err == nil || errors.Is(err, io.EOF)) {
			c.finish()
		} else if !c.closed {
			c.conn.Abort()
		}
	}
	if s.dialing < len(s.waiting) && s.addr != "" && l.f.opt.Spare() > 0 {
		l.f.dial(s)
	}
}
