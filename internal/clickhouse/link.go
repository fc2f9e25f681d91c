package clickhouse

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"syscall"

	"beechgrade/internal/backend"
	"beechgrade/internal/deadline"
	"beechgrade/internal/decide"
	"beechgrade/internal/httpwire"
	"beechgrade/internal/loop"
	"beechgrade/internal/slots"
)

const timedOut = decide.TimedOut

// store is the connections to one server.
type store struct {
	id      string
	addr    string
	idle    []*link // the one used last at the end
	waiting []*attempt
	dialing int

	position float64 // its data is at least as new, as told at toldAt
	toldAt   float64 // 0 for never

	barredAt float64 // the list said then that it drains, 0 for not so
}

// attempt is a query's attempt, or a probe where r is nil.
type attempt struct {
	ref     slots.Ref
	tag     backend.Tag
	store   *store
	r       *request
	until   float64
	since   float64 // of a probe
	checked bool    // its server has told that it is not too far behind
	link    *link
	timer   *deadline.Timer
	connect *deadline.Timer
}

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
	conn    *loop.Conn
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
	timer   *deadline.Timer
}

// Ours tells whether a query is of this front.
func Ours(q backend.Query) bool { _, ok := q.(*request); return ok }

// OursRef tells whether an attempt is of this front.
func OursRef(ref slots.Ref) bool { return ref.Index&firstRef != 0 && ref.Index&(1<<31) == 0 }

// SetAddress is core.Servers'.
func (f *Front) SetAddress(id, addr string) {
	s := f.stores[id]
	if s == nil {
		f.stores[id] = &store{id: id, addr: addr}
		return
	}
	if s.addr != addr {
		s.addr = addr
		f.CloseIdle(id)
	}
}

// CloseIdle closes a server's idle connections, and gives up unsent what waits for one: it drains.
func (f *Front) CloseIdle(id string) {
	s := f.stores[id]
	if s == nil {
		return
	}
	if s.barredAt == 0 {
		s.barredAt = max(1, f.loop.Now())
	}
	for len(s.idle) > 0 {
		s.idle[0].close()
	}
	for len(s.waiting) > 0 {
		f.drop(s.waiting[0], decide.Skipped)
	}
	f.lose(id)
}

// Forget is core.Servers'.
func (f *Front) Forget(id string) {
	if s := f.stores[id]; s != nil {
		f.CloseIdle(id)
		s.addr = ""
		delete(f.stores, id)
	}
}

// Retain is core.Servers'.
func (f *Front) Retain(ids map[string]bool) {
	for id := range f.stores {
		if !ids[id] {
			f.Forget(id)
		}
	}
}

// Try starts an attempt that ends by itself at until.
func (f *Front) Try(id string, q backend.Query, until float64, t backend.Tag) slots.Ref {
	a := &attempt{tag: t, store: f.stores[id], r: q.(*request), until: until}
	a.ref = f.attempts.Put(a)
	if a.store != nil {
		a.store.barredAt = 0 // the module sends there: it serves
	}
	f.begin(a)
	return slots.Ref{Index: a.ref.Index | firstRef, Gen: a.ref.Gen}
}

// Recall is core.Servers'.
func (f *Front) Recall(id string, which func(backend.Tag) bool) {
	s := f.stores[id]
	if s == nil {
		return
	}
	for i := 0; i < len(s.waiting); {
		if a := s.waiting[i]; a.r != nil && which(a.tag) {
			f.drop(a, decide.Skipped)
			i = 0 // what that led to may have changed the rest
			continue
		}
		i++
	}
}

// goes asks whether an attempt may still go out. A probe always may.
func (f *Front) goes(a *attempt) bool { return a.r == nil || f.events.AttemptGoes(a.tag) }

// Probe asks a server whether it is there.
func (f *Front) Probe(id string) {
	s := f.stores[id]
	if s == nil {
		f.events.ProbeEnded(id, backend.Outcome{Result: decide.Unreachable})
		return
	}
	a := &attempt{store: s, until: f.loop.Now() + f.opt.ConnectMs, since: f.loop.Now()}
	a.ref = f.attempts.Put(a)
	f.begin(a)
}

// Cancel gives an attempt up; a server whose connection goes ends its query.
func (f *Front) Cancel(ref slots.Ref) {
	ref.Index &^= firstRef
	if a, ok := f.attempts.Get(ref); ok {
		f.drop(a, decide.Cancelled)
	}
}

func (f *Front) begin(a *attempt) {
	s := a.store
	if s == nil || s.addr == "" {
		f.done(a, decide.Unreachable)
		return
	}
	a.timer = f.loop.At(a.until, func() { f.drop(a, decide.TimedOut) })
	for len(s.idle) > 0 {
		l := s.idle[len(s.idle)-1]
		if !l.conn.Quiet() { // the server has closed it, perhaps
			l.close()
			continue
		}
		if !f.goes(a) {
			f.drop(a, decide.Skipped)
			return
		}
		s.idle = s.idle[:len(s.idle)-1]
		l.ask(a)
		return
	}
	a.connect = f.loop.At(f.loop.Now()+f.opt.ConnectMs, func() {
		switch {
		case a.link != nil:
		case s.dialing == 0: // want of a descriptor tells nothing of the server
			f.drop(a, decide.Skipped)
		default:
			f.drop(a, decide.Unreachable)
		}
	})
	s.waiting = append(s.waiting, a)
	if s.dialing < len(s.waiting) && f.opt.Spare() > 0 {
		f.dial(s)
	}
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
	if w := l.store.waiting; len(w) > l.store.dialing {
		l.f.drop(w[0], decide.Unreachable)
	}
}

// drop ends an attempt from this side.
func (f *Front) drop(a *attempt, res decide.Result) {
	if _, ok := f.attempts.Get(a.ref); !ok {
		return
	}
	if l := a.link; l != nil {
		l.attempt = nil
		a.leave(l)
		f.done(a, res)
		l.close()
		if (res == decide.Cancelled || res == decide.TimedOut) && !l.lags {
			f.kill(a.store, a.r)
		}
		return
	}
	w := a.store.waiting
	for i := range w {
		if w[i] == a {
			a.store.waiting = append(w[:i:i], w[i+1:]...)
			break
		}
	}
	if a.r != nil && res != decide.Unreachable {
		res = decide.Skipped // it was never written
	}
	f.done(a, res)
}

// done reports an attempt's end, once.
func (f *Front) done(a *attempt, res decide.Result) {
	if _, ok := f.attempts.Get(a.ref); !ok {
		return
	}
	f.attempts.Drop(a.ref)
	f.loop.Stop(a.timer)
	f.loop.Stop(a.connect)
	if a.r == nil {
		o := backend.Outcome{Result: res}
		if s := a.store; res == decide.OK && s.toldAt >= a.since && s.toldAt != 0 {
			o.Position, o.HasPos = s.position, true
		}
		f.events.ProbeEnded(a.store.id, o)
		return
	}
	if res != decide.Unreachable && res != decide.Skipped {
		a.r.reached = true
	}
	o := backend.Outcome{Result: res}
	if res == decide.Missed {
		o.Position, o.HasPos = a.store.position, true
	}
	f.events.AttemptEnded(a.tag, o)
}

// Opened is loop's.
func (l *link) Opened(lc *loop.Conn) {
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
	if l.addr != s.addr || len(l.in) > 0 || !l.conn.Quiet() {
		l.close()
		return
	}
	for len(s.waiting) > 0 {
		a := s.waiting[0]
		if !l.f.goes(a) {
			l.f.drop(a, decide.Skipped)
			continue
		}
		s.waiting = s.waiting[1:]
		l.ask(a)
		return
	}
	s.idle = append(s.idle, l)
	l.f.loop.Stop(l.timer)
	l.timer = l.f.loop.At(l.f.loop.Now()+l.f.opt.IdleMs, l.close)
}

// ask writes an attempt's query.
func (l *link) ask(a *attempt) {
	l.f.loop.Stop(l.timer)
	l.f.loop.Stop(a.connect)
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

// leave has an attempt's request know that it is not out on a connection any more.
func (a *attempt) leave(l *link) {
	if a.r != nil && a.r.taker == l {
		a.r.taker = nil
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
		l.f.done(a, decide.Missed)
	case ends: // it goes out on another
		a.checked = true
		l.close()
		l.f.loop.Stop(a.timer)
		l.f.begin(a)
		return
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
	h, at, err := httpwire.Start(l.in)
	if err != nil || at == 0 || h.Status != 200 {
		return false
	}
	for {
		f, n, end, err := h.Line(l.in[at:], isProgress)
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
		f, n, end, err := l.head.Line(l.in[at:], isProgress)
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
		c.leaves = c.leaves || l.body.Open() || len(c.unfit()) > 0 && l.head.Chunked
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
		return decide.Full
	case "":
		if h.Status == 503 || h.Status == 429 {
			return decide.Full
		}
		if h.Status >= 500 {
			return decide.Failed
		}
	}
	return decide.OK
}

// answer writes the head of a server's answer to the client.
func (c *client) answer(l *link) {
	if l.body.Open() || c.req.head.Minor == 0 && l.head.Chunked {
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
	case c != nil && c.conn.Unsent() > muchUnsent && !l.parked && l.conn.Park():
		l.parked, l.unsent, l.takenAt = true, c.conn.Unsent(), l.f.loop.Now()
		l.look()
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
			l.conn.Unpark()
		default:
			l.look()
		}
	})
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
	l.f.loop.Stop(l.timer)
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
		if was == streaming && l.body.Open() && (err == nil || errors.Is(err, io.EOF)) {
			c.finish()
		} else if !c.closed {
			c.conn.Abort()
		}
	}
	if s.dialing < len(s.waiting) && s.addr != "" && l.f.opt.Spare() > 0 {
		l.f.dial(s)
	}
}
