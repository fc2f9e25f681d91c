// Package backend keeps the connections to the servers and carries out attempts and probes on them. It
// decides nothing about requests: it reports how each attempt and probe ended.
package backend

import (
	"log/slog"
	"math"
	"strconv"

	"beechgrade/internal/backend/wear"
	"beechgrade/internal/clock"
	"beechgrade/internal/deadline"
	"beechgrade/internal/decide"
	"beechgrade/internal/loop"
	"beechgrade/internal/pgwire"
	"beechgrade/internal/slots"
)

// Query is a request as a server is asked it.
type Query interface {
	AppendQuery(dst []byte, waitMs int) []byte
}

// Long is a Query that may be too long to be copied: its parts are written one by one, as the server takes them. They are nil
// for one that is short.
type Long interface {
	QueryParts(waitMs int) []string
}

// Tag says which attempt of which request an outcome is of.
type Tag struct {
	Request slots.Ref
	No      int
}

// Outcome is how an attempt or probe ended, with what its answer told.
type Outcome struct {
	Result decide.Result
	Answer []byte // OK: the row as messages, valid during the call
	Said
	Load Said // a load report that came along with the answer, some time old
}

// Terms are how an attempt may go out.
type Terms struct {
	Once bool    // it must not run twice: it is spared connections that would probably lose it
	By   float64 // it must not be written from then on, 0 for whenever it may be: its servers may have forgotten its key
}

// Late tells that an attempt may not be written any more.
func (on Terms) Late(now float64) bool { return on.By > 0 && now >= on.By }

// Said is what a server told of itself.
type Said struct {
	Role     decide.Role
	Position float64 // on the clock, where HasPos
	HasPos   bool
}

// Events is told of ends, and of an attempt whose last byte has left. The calls may come from within Start, Cancel and Probe.
type Events interface {
	// AttemptGoes is asked as an attempt's first byte is to go out; false, and it is not sent: others' words may have come while it waited.
	AttemptGoes(t Tag) bool
	// ServerDenies tells that a server says that it is a replica, before the end is told of what it answered so.
	ServerDenies(store string, said Said, probe bool)
	AttemptWritten(t Tag)
	// AttemptBegun ends an attempt as served whose answer is passed on as it comes. stop gives up the rest; the Flow is nil
	// where nobody takes it.
	AttemptBegun(t Tag, stop func()) Flow
	AttemptEnded(t Tag, o Outcome)
	ProbeEnded(store string, o Outcome)
}

// Flow takes an answer that is passed on as it comes.
type Flow interface {
	Piece(b []byte)             // valid during the call
	Room() bool                 // another piece would find its place
	Ended(b []byte, whole bool) // with what comes behind the last piece; not whole where the rest will not come
}

// Options are the pool's limits.
type Options struct {
	User, Database   string
	Roles            [2]string // names of the primary's and a replica's role
	PositionName     string
	ConnectTimeoutMs float64
	IdleMs           float64         // a connection idle for so long is closed
	MaxConns         func() int      // over all servers, by the descriptors left now
	Memory           func() int      // bytes the machine has
	Dial             func(do func()) // has a connection be begun in its turn; nil for at once
}

const (
	heldPart   = 8       // of the memory, answers that are coming in may take 1 in so many
	keepAnswer = 1 << 14 // of a buffer, from one answer to the next
	stallMs    = 150     // within an answer that has begun, after which its rest will not come...
	stallOnce  = 600     // ...for what must not run twice, and so has no second chance
	longValue  = 1 << 16 // bytes; a row of more is passed on as it comes
	silentMs   = 10000   // within such a row, after which its rest will not come
	sendPiece  = 1 << 16 // bytes of a long query that are written at a time...
	sendAhead  = 1 << 18 // ...while less than this waits for the server to take it
	roomMs     = 5       // between looks at whether there is room for its next piece
	brokeMs    = 50      // a connection that breaks so soon after a request did so because of it
	aheadMs    = 100     // of the clock here that a position may be: commits are rounded up, clocks differ
)

// Pool holds the connections to all servers.
type Pool struct {
	loop     *loop.Loop
	log      *slog.Logger
	opt      Options
	events   Events
	stores   map[string]*store
	attempts slots.Table[*attempt]
	conns    slots.Table[*conn]
	idleSeq  uint64
	wear     wear.Wear
	held     int // bytes of answers that are coming in
	scratch  []byte
	walks    int // of invariants
}

type store struct {
	id      string
	addr    string
	idle    []*conn    // the one used last at the end
	waiting []*attempt // without a connection, oldest first; a probe has an attempt too
	dialing int        // connections on their way up
}

// attempt is a request's attempt, or a probe where query is nil.
type attempt struct {
	ref     slots.Ref
	tag     Tag
	id      string // of the store
	store   *store // nil if it is not known
	query   Query
	until   float64
	conn    *conn
	timer   *deadline.Timer // its end
	connect *deadline.Timer // the end of its wait for a connection
	written bool            // its last byte has left, as was told
	Terms
}

type state int

const (
	dialing state = iota
	greeting
	idle
	busy
	passing // on the rest of an answer, to flow
	closed
)

// conn is a connection to a server; it is the loop's Handler.
type conn struct {
	pool    *Pool
	ref     slots.Ref
	store   *store
	addr    string // that it was dialled to
	c       *loop.Conn
	state   state
	in      pgwire.Reader
	attempt *attempt
	sent    bool            // the attempt's last byte was handed to the socket or its buffer
	rest    []string        // of a long query, that is yet to be handed there
	more    *deadline.Timer // until the next look at whether it can be
	idleNo  uint64
	since   float64         // up or idle since then
	written float64         // its attempt, then
	rested  float64         // before that
	timer   *deadline.Timer // of coming up, then of idling

	// of the answer that is coming in
	reading pgwire.Answer
	answer  []byte
	flow    Flow   // takes its pieces, nil where it is kept whole
	held    int    // its part of the pool's
	row     []byte // of a probe's
	outcome Outcome
}

// New makes a pool.
func New(l *loop.Loop, log *slog.Logger, opt Options, events Events) *Pool {
	return &Pool{loop: l, log: log, opt: opt, events: events, stores: map[string]*store{},
		wear: wear.New()}
}

// SetTimes sets the connect time-out and the idle time; what runs already keeps its own.
func (p *Pool) SetTimes(connectMs, idleMs float64) {
	p.opt.ConnectTimeoutMs, p.opt.IdleMs = connectMs, idleMs
}

// SetAddress tells where a server listens. Connections to an address that it has left are closed, those in
// use once they are free.
func (p *Pool) SetAddress(id, addr string) {
	s := p.stores[id]
	if s == nil {
		p.stores[id] = &store{id: id, addr: addr}
		return
	}
	if s.addr != addr {
		s.addr = addr
		p.CloseIdle(id)
	}
}

// CloseIdle closes a server's idle connections.
func (p *Pool) CloseIdle(id string) {
	if s := p.stores[id]; s != nil {
		for len(s.idle) > 0 {
			s.idle[0].c.Close()
		}
	}
}

// Forget gives up what is kept of a server that has left the list. What is in use there stays until it has ended.
func (p *Pool) Forget(id string) {
	s := p.stores[id]
	if s == nil {
		return
	}
	p.CloseIdle(id)
	delete(p.stores, id)
	s.addr = "" // its connections are closed once they are free
	for len(s.waiting) > 0 {
		p.drop(s.waiting[0], decide.Skipped)
	}
}

// Retain forgets all servers but those.
func (p *Pool) Retain(ids map[string]bool) {
	for id := range p.stores {
		if !ids[id] {
			p.Forget(id)
		}
	}
}

// Start starts an attempt that ends by itself at until.
func (p *Pool) Start(id string, q Query, until float64, on Terms, t Tag) slots.Ref {
	a := &attempt{tag: t, id: id, query: q, until: until, Terms: on, store: p.stores[id]}
	a.ref = p.attempts.Put(a)
	p.begin(a)
	return a.ref
}

// Probe asks a server for its load report.
func (p *Pool) Probe(id string) {
	a := &attempt{id: id, until: p.loop.Now() + p.opt.ConnectTimeoutMs, store: p.stores[id]}
	a.ref = p.attempts.Put(a)
	p.begin(a)
}

// Cancel gives an attempt up. Where its query is out, its connection is closed and never used again.
func (p *Pool) Cancel(ref slots.Ref) {
	if a, ok := p.attempts.Get(ref); ok {
		p.drop(a, decide.Cancelled)
	}
}

// Conns is the number of connections, those on their way up included.
func (p *Pool) Conns() int { return p.conns.Len() }

func (p *Pool) begin(a *attempt) {
	s := a.store
	switch {
	case s == nil:
		p.end(a, Outcome{Result: decide.Unreachable})
		return
	case a.Late(p.loop.Now()):
		p.end(a, Outcome{Result: decide.Skipped})
		return
	}
	a.timer = p.loop.At(a.until, func() { p.drop(a, decide.TimedOut) })
	up := p.loop.Now() + p.opt.ConnectTimeoutMs
	if a.By > 0 {
		up = min(up, a.By)
	}
	a.connect = p.loop.At(up, func() {
		if a.conn == nil && s.dialing == 0 || a.Late(p.loop.Now()) { // want of a descriptor tells nothing of the server
			p.drop(a, decide.Skipped)
			return
		}
		p.drop(a, decide.Unreachable)
	})
	for len(s.idle) > 0 {
		c := s.idle[len(s.idle)-1]
		// The server may have closed it, with the news still on its way through the loop: a request
		// written now would end as a reset, and an unsafe one could not be tried again.
		if !c.c.Quiet() {
			c.c.Close()
			continue
		}
		if a.Once && p.loop.Now()-c.since >= p.wear.Limit() { // as far as can be told, it may be of no use
			break
		}
		if !a.goes(p) {
			p.drop(a, decide.Skipped)
			return
		}
		c.carry(a)
		return
	}
	s.waiting = append(s.waiting, a)
	if s.dialing < len(s.waiting) {
		p.dial(s)
	}
}

// goes asks whether an attempt may still go out. A probe always may.
func (a *attempt) goes(p *Pool) bool { return a.query == nil || p.events.AttemptGoes(a.tag) }

// dial opens one more connection in its turn, if somebody waits for it then.
func (p *Pool) dial(s *store) {
	if p.opt.Dial == nil {
		p.open(s)
		return
	}
	p.opt.Dial(func() {
		if s.dialing < len(s.waiting) {
			p.open(s)
		}
	})
}

// open opens one more connection, if the budget allows it; else those that wait take what comes free.
func (p *Pool) open(s *store) {
	if p.conns.Len() >= p.opt.MaxConns() && !p.CloseOldest() {
		p.log.Debug("no descriptor left for a connection", "store", s.id, "conns", p.conns.Len())
		return
	}
	c := &conn{pool: p, store: s, addr: s.addr, in: pgwire.NewReader(pgwire.MaxMessage), reading: pgwire.Welcome()}
	c.in.Stream(longValue)
	c.ref = p.conns.Put(c)
	s.dialing++
	c.timer = p.loop.At(p.loop.Now()+p.opt.ConnectTimeoutMs, func() {
		if c.state == greeting {
			c.c.Close()
		} else {
			c.failed()
		}
	})
	p.loop.Dial(s.addr, p.opt.ConnectTimeoutMs, c, func(err error) {
		if c.state == dialing {
			p.log.Debug("connect", "store", s.id, "err", err)
			c.failed()
		}
	})
}

// CloseOldest closes the connection that has been idle longest, and tells whether there was one.
func (p *Pool) CloseOldest() bool {
	var oldest *conn
	p.conns.Each(func(_ slots.Ref, c *conn) {
		if c.state == idle && (oldest == nil || c.idleNo < oldest.idleNo) {
			oldest = c
		}
	})
	if oldest == nil {
		return false
	}
	oldest.c.Close()
	return true
}

// drop ends an attempt from this side.
func (p *Pool) drop(a *attempt, r decide.Result) {
	c := a.conn
	if c == nil && a.query != nil && r != decide.Unreachable && r != decide.Full {
		r = decide.Skipped // it was never written
	}
	if c != nil {
		if c.whole(); len(c.rest) > 0 && r != decide.Full {
			r = decide.Skipped // nor was it written whole
		}
		c.hold()
		c.attempt = nil // before the close, which would report a reset
		p.end(a, Outcome{Result: r})
		c.c.Close()
		return
	}
	p.unqueue(a)
	p.end(a, Outcome{Result: r})
}

// Recall gives up of what waits for a connection to a server that which may not go out any more.
func (p *Pool) Recall(id string, which func(Tag) bool) {
	s := p.stores[id]
	if s == nil {
		return
	}
	for i := 0; i < len(s.waiting); {
		if a := s.waiting[i]; a.query != nil && which(a.tag) {
			p.drop(a, decide.Skipped)
			i = 0 // what that led to may have changed the rest
			continue
		}
		i++
	}
}

func (p *Pool) unqueue(a *attempt) {
	w := a.store.waiting
	for i := range w {
		if w[i] == a {
			a.store.waiting = append(w[:i:i], w[i+1:]...)
			return
		}
	}
}

// end files an attempt out and reports it, once.
func (p *Pool) end(a *attempt, o Outcome) {
	if _, ok := p.attempts.Get(a.ref); !ok {
		return
	}
	p.attempts.Drop(a.ref)
	p.loop.Stop(a.timer)
	p.loop.Stop(a.connect)
	if a.conn != nil && a.conn.attempt == a {
		a.conn.attempt = nil
	}
	if a.query == nil {
		p.events.ProbeEnded(a.id, o)
		return
	}
	p.events.AttemptEnded(a.tag, o)
}

// failed takes a connection out that never came up, and with it the attempt that waited longest.
func (c *conn) failed() {
	if c.state == closed {
		return
	}
	c.state = closed
	c.pool.loop.Stop(c.timer)
	c.pool.conns.Drop(c.ref)
	c.store.dialing--
	if w := c.store.waiting; len(w) > c.store.dialing {
		c.pool.drop(w[0], decide.Unreachable)
	}
}

// Opened is loop's.
func (c *conn) Opened(lc *loop.Conn) {
	c.c = lc
	if c.state == closed { // given up meanwhile
		lc.Close()
		return
	}
	c.state = greeting
	_ = lc.Write(pgwire.AppendStartup(nil, c.pool.opt.User, c.pool.opt.Database))
}

// ready makes a connection carry the next attempt, or idle.
func (c *conn) ready() {
	c.state = idle
	c.since = c.pool.loop.Now()
	// Where the server has moved since, whatever still listens there is another. What it sent beyond its answer
	// would be taken for the answer to the next request.
	if c.addr != c.store.addr || c.in.Pending() > 0 || !c.c.Quiet() || len(c.rest) > 0 {
		c.c.Close()
		return
	}
	p := c.pool
	for len(c.store.waiting) > 0 {
		a := c.store.waiting[0]
		if a.Late(p.loop.Now()) || !a.goes(p) {
			p.drop(a, decide.Skipped)
			continue
		}
		c.store.waiting = c.store.waiting[1:]
		c.carry(a)
		return
	}
	p.idleSeq++
	c.idleNo = p.idleSeq
	c.store.idle = append(c.store.idle, c)
	p.loop.Stop(c.timer)
	c.timer = p.loop.At(p.loop.Now()+p.opt.IdleMs, c.c.Close)
}

// carry writes an attempt's query.
func (c *conn) carry(a *attempt) {
	p := c.pool
	c.unidle()
	p.loop.Stop(c.timer)
	p.loop.Stop(a.connect)
	c.state, c.attempt, a.conn = busy, a, c
	c.reading, c.answer, c.row, c.outcome = pgwire.Reply(), c.answer[:0], nil, Outcome{}
	if a.query == nil {
		p.scratch = pgwire.AppendQuery(p.scratch[:0], "SHOW load")
	} else {
		left := int(max(1, math.Floor(a.until-p.loop.Now())))
		if q, ok := a.query.(Long); ok {
			c.rest = q.QueryParts(left)
		}
		if c.rest == nil {
			p.scratch = a.query.AppendQuery(p.scratch[:0], left)
		}
	}
	c.written = p.loop.Now()
	c.rested = c.written - c.since
	c.sent = false // a write that fails has closed the connection when it returns
	if c.rest != nil {
		c.push()
		return
	}
	if c.c.Write(p.scratch) == nil {
		c.sent = true
		c.whole()
	}
}

// push writes what the server takes of a long query.
func (c *conn) push() {
	for len(c.rest) > 0 && c.c.Unsent() < sendAhead {
		k := min(len(c.rest[0]), sendPiece)
		piece := c.rest[0][:k]
		if c.rest[0] = c.rest[0][k:]; c.rest[0] == "" {
			c.rest = c.rest[1:]
		}
		if c.c.Write([]byte(piece)) != nil || c.state != busy {
			return
		}
		c.written = c.pool.loop.Now()
	}
	if len(c.rest) > 0 {
		c.more = c.pool.loop.At(c.pool.loop.Now()+roomMs, c.push)
		return
	}
	c.rest, c.sent = nil, true
	c.whole()
}

// hold ends push.
func (c *conn) hold() {
	c.rest = nil
	c.pool.loop.Stop(c.more)
}

// whole tells, once, that the last byte of what is carried has left.
func (c *conn) whole() {
	if a := c.attempt; a != nil && a.query != nil && !a.written && c.sent && c.c.Unsent() == 0 {
		a.written = true
		c.pool.events.AttemptWritten(a.tag)
	}
}

func (c *conn) unidle() {
	l := c.store.idle
	for i := len(l) - 1; i >= 0; i-- {
		if l[i] == c {
			c.store.idle = append(l[:i], l[i+1:]...)
			return
		}
	}
}

// Data is loop's.
func (c *conn) Data(b []byte) {
	if c.state == idle { // nothing was asked: it would answer what is asked next
		c.pool.log.Warn("server sent what was not asked for", "store", c.store.id, "bytes", len(b))
		c.c.Close()
		return
	}
	c.whole()
	c.in.Feed(b)
	for c.state == greeting || c.state == busy || c.state == passing {
		m, ok, err := c.reading.Next(&c.in)
		if err != nil {
			c.spoilt(err)
			return
		}
		if !ok {
			break
		}
		c.message(m)
	}
	c.count()
	if c.state == passing {
		c.pace()
		return
	}
	if p := c.pool; c.attempt != nil && c.held > keepAnswer && p.held > p.opt.Memory()/heldPart {
		p.log.Warn("no memory for an answer", "store", c.store.id, "bytes", c.held, "all", p.held)
		p.drop(c.attempt, decide.Failed)
		return
	}
	c.watch()
}

// count brings the sum of what is coming in up to date.
func (c *conn) count() {
	n := 0
	if c.state == busy && c.attempt != nil {
		n = c.in.Pending() + len(c.answer)
	}
	c.pool.held += n - c.held
	c.held = n
}

// watch bounds how long an answer that has begun may take to go on: connections fall silent in its midst.
func (c *conn) watch() {
	a, p := c.attempt, c.pool
	if c.state != busy || a == nil || c.reading.Untouched() && c.in.Pending() == 0 {
		return
	}
	left := float64(stallMs)
	if a.Once {
		left = stallOnce
	}
	p.loop.Stop(c.timer)
	c.timer = p.loop.At(p.loop.Now()+left, func() {
		p.log.Debug("an answer stopped short", "store", c.store.id)
		p.drop(a, decide.Failed)
	})
}

// spoilt ends a connection whose server cannot be understood. What it carried has failed and may have run.
func (c *conn) spoilt(err error) {
	c.pool.log.Warn("server broke the protocol", "store", c.store.id, "err", err)
	if c.attempt != nil {
		c.pool.drop(c.attempt, decide.Failed)
		return
	}
	c.c.Close()
}

// begin passes on from now on what there is of an answer and what comes.
func (c *conn) begin() {
	p, a := c.pool, c.attempt
	if a == nil || a.query == nil {
		c.spoilt(pgwire.ErrMalformed) // a report is never long
		return
	}
	p.wear.Note(p.loop.Now(), c.rested, false)
	c.state, c.attempt, a.conn = passing, nil, nil
	p.attempts.Drop(a.ref)
	p.loop.Stop(a.timer)
	p.loop.Stop(a.connect)
	stop := func() {
		if c.state == passing {
			c.flow = nil
			c.c.Close()
		}
	}
	if c.flow = p.events.AttemptBegun(a.tag, stop); c.flow == nil {
		stop()
		return
	}
	c.flow.Piece(c.answer)
	c.answer = nil
}

// pace takes the connection off the loop while there is no room for what it brings, so that this stays with its server.
func (c *conn) pace() {
	p := c.pool
	p.loop.Stop(c.timer)
	if c.flow == nil {
		return
	}
	if c.flow.Room() {
		if c.c.Parked() {
			c.c.Unpark()
		}
		c.timer = p.loop.At(p.loop.Now()+silentMs, func() {
			p.log.Debug("a long value stopped short", "store", c.store.id)
			c.c.Close()
		})
		return
	}
	c.c.Park()
	c.timer = p.loop.At(p.loop.Now()+roomMs, c.pace)
}

func (c *conn) message(m pgwire.Message) {
	switch m.Type {
	case 'T', 'C':
		c.answer = append(c.answer, m.Raw...)
	case 'D':
		if m.Part && c.flow != nil {
			c.flow.Piece(m.Raw)
			return
		}
		c.answer = append(c.answer, m.Raw...)
		if m.More {
			c.begin()
			return
		}
		if c.attempt != nil && c.attempt.query == nil {
			c.row = append([]byte(nil), m.Body...)
		}
	case 'S':
		c.parameter(m.Body)
	case 'Z':
		c.settled()
	}
}

func (c *conn) parameter(body []byte) {
	name, val, err := pgwire.Parameter(body)
	if err != nil {
		return
	}
	switch name { // the first that can be read counts
	case "role":
		if c.outcome.Role == decide.RoleUnknown {
			c.outcome.Role = c.pool.role(val)
		}
	case "load":
		if c.outcome.Load == (Said{}) {
			c.outcome.Load = c.pool.load(val)
		}
	case c.pool.opt.PositionName:
		if ms, err := strconv.ParseInt(val, 10, 64); err == nil && !c.outcome.HasPos && c.pool.position(clock.FromUnix(ms)) {
			c.outcome.Position, c.outcome.HasPos = clock.FromUnix(ms), true
		}
	}
}

// position tells whether a server may have got so far.
func (p *Pool) position(ms float64) bool { return ms > 0 && ms <= p.loop.Now()+aheadMs }

func (p *Pool) role(val string) decide.Role {
	switch val {
	case p.opt.Roles[0]:
		return decide.RolePrimary
	case p.opt.Roles[1]:
		return decide.RoleReplica
	}
	return decide.RoleUnknown
}

// settled ends what the connection carries, at its ReadyForQuery.
func (c *conn) settled() {
	p := c.pool
	switch {
	case c.state == greeting:
		c.store.dialing--
		c.ready()
	case c.state == passing && c.flow != nil:
		flow, answer, whole := c.flow, c.answer, c.result() == decide.OK
		c.flow, c.answer = nil, nil
		c.ready()
		flow.Ended(answer, whole)
	case c.state == busy && c.attempt != nil:
		a, o := c.attempt, c.outcome
		p.wear.Note(p.loop.Now(), c.rested, false)
		o.Result = c.result()
		if o.Result == decide.OK {
			o.Answer = c.answer
			if a.query == nil {
				o = p.report(c.row)
			}
		}
		c.attempt, a.conn = nil, nil
		if o.Role == decide.RoleReplica && len(c.store.waiting) > 0 {
			p.events.ServerDenies(c.store.id, o.Said, a.query == nil)
		}
		// The connection is free before the end is told: what that leads to may use it.
		c.ready()
		p.end(a, o)
		if cap(c.answer) > keepAnswer {
			c.answer = nil
		}
	}
}

// result reads the outcome by what came before ReadyForQuery.
func (c *conn) result() decide.Result {
	switch c.reading.Code {
	case "":
		if c.reading.Served {
			return decide.OK
		}
	case "25006", "72000":
		return decide.Missed
	case "53300", "57P03":
		return decide.Full
	}
	return decide.Failed
}

// report reads a load report's row. One with nothing in it, as a server that has none yet sends, tells that
// the server is there; one that cannot be read tells nothing.
func (p *Pool) report(row []byte) Outcome {
	o := Outcome{Result: decide.OK}
	col, err := pgwire.Column(row)
	if err == nil && len(col) == 0 {
		return o
	}
	if o.Said = p.load(string(col)); !o.HasPos {
		return Outcome{Result: decide.Failed}
	}
	return o
}

// load reads a load report; of one that cannot be read whole, nothing.
func (p *Pool) load(text string) (s Said) {
	for name, val := range pgwire.Pairs(text) {
		x, err := strconv.ParseFloat(val, 64)
		switch {
		case err != nil:
		case name == "x0" && p.position(x*1000): // down to whole milliseconds, as a printed figure may have been rounded up
			s.Position, s.HasPos = clock.FromUnix(int64(x*1000)), true
		case name == "x1" && x == 1:
			s.Role = decide.RolePrimary
		case name == "x1" && x == 0:
			s.Role = decide.RoleReplica
		}
	}
	if !s.HasPos || s.Role == decide.RoleUnknown {
		return Said{}
	}
	return s
}

// Closed is loop's.
func (c *conn) Closed(error) {
	p := c.pool
	was, unsent := c.state, c.c.Unsent()
	if was == closed {
		return
	}
	if was == greeting {
		c.refused()
		return
	}
	c.whole()
	c.hold()
	c.state = closed
	c.count()
	p.loop.Stop(c.timer)
	p.conns.Drop(c.ref)
	c.unidle()
	if c.flow != nil {
		c.flow.Ended(nil, false)
		c.flow = nil
	}
	if a := c.attempt; a != nil {
		a.conn = nil
		if c.reading.Untouched() && p.loop.Now()-c.written <= brokeMs {
			p.wear.Note(p.loop.Now(), c.rested, true)
		}
		r := decide.Reset
		// Where gnet has dropped what it buffered, unsent is 0 and the attempt may have run: the safe side.
		if !c.sent || unsent > 0 { // its last byte never left: it cannot have run
			r = decide.Unreachable
		}
		if c.reading.Code == "53300" || c.reading.Code == "57P03" {
			r = decide.Full
		}
		p.end(a, Outcome{Result: r, Said: c.outcome.Said})
	}
	p.refill(c.store)
}

// refused ends a connection that broke while coming up. A server with too many turns away in words.
func (c *conn) refused() {
	if c.reading.Code == "53300" && len(c.store.waiting) >= c.store.dialing && len(c.store.waiting) > 0 {
		a := c.store.waiting[0]
		c.pool.unqueue(a)
		defer c.pool.end(a, Outcome{Result: decide.Full})
	}
	c.failed()
}

// refill dials for those that wait for a connection when one they might have had is lost.
func (p *Pool) refill(s *store) {
	if s.dialing < len(s.waiting) {
		p.dial(s)
	}
}
