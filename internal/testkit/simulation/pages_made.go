package simulation

import (
	"encoding/binary"
	"math"
	"slices"
	"strconv"

	"beechgrade/internal/backend"
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/frontend/platform"
	"beechgrade/internal/frontend/scatter/cursor"
	"beechgrade/internal/frontend/scatter/execution"
	"beechgrade/internal/testkit/checker"
	"beechgrade/internal/testkit/clients"
	"beechgrade/internal/testkit/fake/sortedtable"
	"beechgrade/internal/testkit/model"
)

// paged is one page that a pooler makes: the daemon's run, merge, cursor and plan before its core, as internal/frontend/scatter joins them to sockets.
type paged struct {
	g         *paging
	r         *reader
	p         *pooler
	life      uint32
	id        uint64
	sent, due float64
	set       execution.Settings
	run       *execution.Run
	parts     []*shardRead
	events    []func(now float64) []execution.Action
	busy      bool
	over      bool
	rows      []int64
	reads     []checker.PageRead
}

// Of a page, as the daemon's settings have them where nothing is said.
const (
	pageMemory  = 8 << 20
	pageMostRow = 64 << 10
	pageSilent  = 1000
	pageAgain   = 3
	pageSettle  = 20
	pageTickMs  = 5
	pageSealed  = 1 << 62 // ids of shards' reads, beside those of clients' tries
)

// begin begins it, at the pooler.
func (s *paged) begin() {
	g, e := s.g, s.g.e
	if s.over {
		return
	}
	n := len(g.rows)
	s.set = execution.Settings{Shards: n, WindowBytes: max(4<<10, pageMemory/n), MaxRowBytes: pageMostRow, UnresponsiveMs: pageSilent, MaxRetries: pageAgain, PositionWaitMs: pageSettle, AnswerReserveMs: min(500, g.set.Wait/10)}
	var places []cursor.Place
	var needs []int64
	if s.r.cursor != "" {
		c, err := g.ring.Open(s.r.cursor, e.s.now, &cursor.Binding{})
		if err != nil {
			g.check.PageEnded(e.s.now, 0, s.r.no) // the fleet's own cursor: it is taken anywhere
			s.end(pageEnd{})
			return
		}
		places, needs = c.Places, c.MinPositions
	} else {
		g.check.ReportStarted(s.r.no)
	}
	s.parts = make([]*shardRead, n)
	s.run = execution.New(&s.set, g.set.Page, places, needs, s.due, e.checks)
	s.event(s.run.Begin)
	s.tick()
}

func (s *paged) tick() {
	if !s.over {
		s.event(s.run.Tick)
		lifeLoop{s.p, s.life}.At(s.g.e.s.now+pageTickMs, s.tick)
	}
}

// leave ends a page whose client has gone.
func (s *paged) leave() {
	if s.run != nil && !s.over {
		s.event(func(float64) []execution.Action { return s.run.Abandon() })
	}
	s.gone()
}

// event has the run told of something, behind what it is being told.
func (s *paged) event(e func(now float64) []execution.Action) {
	if s.over {
		return
	}
	if s.events = append(s.events, e); s.busy {
		return
	}
	s.busy = true
	for i := 0; i < len(s.events) && !s.over; i++ {
		s.do(s.events[i](s.g.e.s.now))
	}
	s.events, s.busy = s.events[:0], false
}

func (s *paged) do(actions []execution.Action) {
	for _, a := range slices.Clone(actions) {
		x := s.parts[a.Shard]
		switch a.Kind {
		case execution.Submit:
			if a.Attempt > 1 {
				s.g.Counts.Again++
			}
			s.ask(a)
		case execution.Send:
			x.send()
		case execution.StopReading:
			x.stopped = true
		case execution.ResumeReading:
			if x.stopped = false; x.out != nil {
				s.g.e.s.After(0, x.out, atRows)
			}
		case execution.Cancel:
			if x != nil {
				x.giveUp()
			}
		case execution.Deliver:
			s.rows = append(s.rows, int64(binary.BigEndian.Uint64(a.Row)))
		case execution.Finish:
			s.final()
		}
	}
}

// final gives the client its answer.
func (s *paged) final() {
	g, e := s.g, s.g.e
	s.over = true
	for _, x := range s.parts {
		if x != nil {
			x.giveUp()
		}
	}
	switch s.run.Verdict {
	case execution.Served:
		x := pageEnd{rows: slices.Clone(s.rows)}
		c := &cursor.Cursor{IssuedMs: math.Floor(e.s.now)}
		c.Places, c.MinPositions = s.run.Places()
		if m := e.opt.Mutant; m != nil && m.Pages != nil && s.run.More {
			x.rows = m.Pages(x.rows, c)
		}
		if x.rows == nil {
			x.rows = []int64{}
		}
		if s.run.More {
			var n cursor.Nonce
			binary.BigEndian.PutUint64(n[:], g.rng.Uint64())
			x.cursor, _ = g.ring.Seal(c, n) // its keys are short
		}
		s.end(x)
	case execution.Rejected:
		s.end(pageEnd{refused: true, wait: s.run.RetryMs})
	case execution.Abandoned:
		s.gone()
	default:
		s.end(pageEnd{})
	}
}

// end has the client hear of it.
func (s *paged) end(x pageEnd) {
	s.over = true
	s.gone()
	s.tell(x)
}

func (s *paged) tell(x pageEnd) { s.g.e.s.after(s.g.e.way(), func() { s.r.hear(s, x) }) }

func (s *paged) gone() {
	s.over = true
	s.g.open[s.p] = slices.DeleteFunc(s.g.open[s.p], func(o *paged) bool { return o == s })
}

// shardRead is a shard's read as the decision module has it: one try of the run. It is platform.Client.
type shardRead struct {
	s       *paged
	a       execution.Action
	v       *visit // backend.Query, for the attempts
	ref     slotmap.Ref
	open    bool // with core
	over    bool // the run has given it up, or has its end
	due     bool // it is to be sent as soon as it has a connection
	stopped bool
	held    *attempt // that has a connection, and waits for the word to send
	out     *attempt // whose rows come
}

// rowsOf are what a server found for an attempt.
type rowsOf struct {
	list []sortedtable.Row
	o    backend.Outcome
}

// ask puts a shard's read to the decision module.
func (s *paged) ask(a execution.Action) {
	g, e := s.g, s.g.e
	g.seq++
	x := &shardRead{s: s, a: a, open: true}
	id := pageSealed | g.seq<<8
	session := "report-" + strconv.Itoa(s.r.no)
	x.v = &visit{e: e, ask: &ask{e: e, Ask: clients.Ask{Class: g.no, Group: a.Shard, Key: session}}, class: g.class, p: s.p, life: s.life, id: id, name: strconv.FormatUint(id, 16), shard: x}
	s.parts[a.Shard] = x
	e.check.Received(e.s.now, id, g.no, s.p.no, s.due, float64(a.MinPosition))
	if e.script.Limits != nil {
		e.check.Tenant(e.s.now, id, g.set.Tenant)
	}
	ref, err := s.p.core.Submit(platform.Request{ID: x.v.name, Class: g.class.Name, Tenant: g.set.Tenant, PlatformProtocol: g.set.Tenant != "", Group: a.Shard, Session: session,
		MinPosition: float64(a.MinPosition), Deadline: s.due, Query: x.v}, x)
	switch {
	case err != nil:
		x.open = false
		x.broke(err.Error(), false)
	case x.open && x.over:
		x.open = false
		s.p.core.Abandon(ref)
	case x.open:
		x.ref = ref
	}
}

// Served is platform.Client's.
func (x *shardRead) Served([]byte) { x.answered("served", true) }

// Rejected is platform.Client's.
func (x *shardRead) Rejected(retryMs float64) {
	x.answered("refused", false)
	x.s.event(func(now float64) []execution.Action { return x.s.run.Rejected(x.a.Shard, x.a.Attempt, retryMs, now) })
}

// Failed is platform.Client's.
func (x *shardRead) Failed() {
	x.answered("failed", false)
	x.broke("its server gave no answer in time or broke off", true)
}

func (x *shardRead) answered(kind string, served bool) {
	x.open = false
	x.s.g.e.check.Answered(x.s.g.e.s.now, x.v.id, kind, served, hashOf(nil))
}

func (x *shardRead) broke(why string, again bool) {
	x.s.event(func(now float64) []execution.Action { return x.s.run.Failed(x.a.Shard, x.a.Attempt, why, again, now) })
}

// holds keeps an attempt that has a connection until the word to send; false where it has come.
func (x *shardRead) holds(a *attempt) bool {
	if x.due && !x.over {
		return false
	}
	a.held, a.slife = true, a.st.life
	a.st.busy[a] = true
	x.held = a
	x.s.event(func(now float64) []execution.Action { return x.s.run.Connected(x.a.Shard, x.a.Attempt, now) })
	return true
}

// send has the statement go out, at once or when there is a connection.
func (x *shardRead) send() {
	x.due = true
	if a := x.held; a != nil && !a.ended {
		x.held = nil
		if !a.st.listed || a.slife != a.st.life { // it is gone since: the module knows another one
			a.drop(decide.Overloaded)
			return
		}
		if !a.goes() {
			a.drop(decide.NotSent)
			return
		}
		a.held = false
		a.send()
	}
}

// unhold gives back the connection of an attempt that waits.
func (a *attempt) unhold() {
	a.held = false
	delete(a.st.busy, a)
	if x := a.v.shard; x.held == a {
		x.held = nil
	}
	if a.slife == a.st.life {
		a.st.free()
	} else { // the server broke it
		a.st.add(-1)
	}
}

// read has a server work on a shard's statement, at its position.
func (x *shardRead) read(a *attempt, r model.Reply) {
	if r.Verdict != model.Served {
		return
	}
	g := x.s.g
	a.rows = &rowsOf{}
	sql, vals, err := g.word.ShardStatement(&g.order, &x.a.Place, x.a.Shard, x.a.MaxRows, 0)
	if err != nil {
		return
	}
	if q, err := sortedtable.Read(sql); err == nil {
		a.rows.list, _ = q.Run(pageTable, g.visible(x.a.Shard, r.Position), vals)
	}
}

const rowsAtOnce, rowsMs = 8, 0.2 // rows come so many at a time

// come hands on what comes of an answer; another attempt's rows than the first one's are not wanted.
func (x *shardRead) come(a *attempt) {
	s, e := x.s, x.s.g.e
	if a.ended || a.p.life != a.life || a.slife != a.st.life {
		return
	}
	if x.out == nil && !x.over {
		x.out = a
		s.reads = append(s.reads, checker.PageRead{Group: x.a.Shard, Position: a.rows.o.Position})
	}
	if x.out != a {
		a.drop(decide.Cancelled)
		return
	}
	for n := 0; n < rowsAtOnce && len(a.rows.list) > 0; n++ {
		if x.stopped || a.ended {
			return
		}
		row := a.rows.list[0]
		a.rows.list = a.rows.list[1:]
		x.row(row)
	}
	if a.ended {
		return
	}
	if len(a.rows.list) > 0 {
		e.s.After(rowsMs, a, atRows)
		return
	}
	st := a.st
	delete(st.busy, a)
	a.p.wear.Record(e.s.now, a.rest, false)
	st.free()
	a.end(a.rows.o)
	s.event(func(now float64) []execution.Action { return s.run.RowsEnded(x.a.Shard, x.a.Attempt, now) })
	s.event(func(now float64) []execution.Action {
		return s.run.PositionReported(x.a.Shard, x.a.Attempt, int64(a.rows.o.Position), now)
	})
}

// tried tells that an attempt ended. Where rows of it went on and it broke, the module is not to ask again from the start: the run does, from behind
// them.
func (x *shardRead) tried(a *attempt, o *backend.Outcome) {
	if x.out != a || o.Result == decide.OK || x.over {
		return
	}
	if x.open {
		x.open = false
		x.s.g.e.check.Abandoned(x.s.g.e.s.now, x.v.id, "its answer broke off")
		x.s.p.core.Abandon(x.ref)
	}
	x.broke("its answer broke off", true)
}

// row hands on one row.
func (x *shardRead) row(row sortedtable.Row) {
	o, s := &x.s.g.order, x.s
	var key []byte
	own := 0
	for i := range o.Columns {
		if i == o.Own {
			own = len(key)
		}
		key, _ = o.Columns[i].Append(key, sortedtable.Text(row[slices.Index(pageTable, o.Columns[i].Name)]), false) // whole numbers
	}
	body := binary.BigEndian.AppendUint64(nil, uint64(row[0].(int64)))
	s.event(func(now float64) []execution.Action { return s.run.Row(x.a.Shard, x.a.Attempt, key, own, body, now) })
}

// giveUp ends a part for the run. An answer that has begun was served, as far as it was wanted.
func (x *shardRead) giveUp() {
	if x.over {
		return
	}
	x.over = true
	if a := x.out; x.open && a != nil && !a.ended {
		st := a.st
		delete(st.busy, a)
		st.add(-1)
		x.s.g.e.s.After(a.p.e.way(), a, atCancel)
		a.end(backend.Outcome{Result: decide.OK})
		st.refill()
	}
	if x.open {
		x.open = false
		x.s.g.e.check.Abandoned(x.s.g.e.s.now, x.v.id, "the page has no need of it any more")
		x.s.p.core.Abandon(x.ref)
	}
}
