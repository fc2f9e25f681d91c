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

// pageRequest is a request for a page at a pooler. It uses the daemon's packages execution, merge, cursor and plan, which
// internal/frontend/scatter connects to sockets.
type pageRequest struct {
	reports     *pagedReports
	reader      *reader
	pooler      *pooler
	incarnation uint32
	id          uint64
	sent, due   float64
	settings    execution.Settings
	run         *execution.Run
	shardReads  []*shardRead
	events      []func(now float64) []execution.Action
	busy        bool
	done        bool
	rows        []int64
	reads       []checker.PageRead
}

// The daemon's default settings for a page, the interval of its ticks, and the bit that marks the IDs of reads of shards.
const (
	pageMemoryBytes    = 8 << 20
	pageMaxRowBytes    = 64 << 10
	pageUnresponsiveMs = 1000
	pageMaxRetries     = 3
	pagePositionWaitMs = 20
	pageTickMs         = 5
	shardReadIDBit     = 1 << 62
)

// begin starts the page at the pooler.
func (s *pageRequest) begin() {
	g, sim := s.reports, s.reports.sim
	if s.done {
		return
	}
	n := len(g.rows)
	s.settings = execution.Settings{
		Shards:          n,
		WindowBytes:     max(4<<10, pageMemoryBytes/n),
		MaxRowBytes:     pageMaxRowBytes,
		UnresponsiveMs:  pageUnresponsiveMs,
		MaxRetries:      pageMaxRetries,
		PositionWaitMs:  pagePositionWaitMs,
		AnswerReserveMs: min(500, g.settings.TimeoutMs/10),
	}
	var places []cursor.Place
	var needs []int64
	if s.reader.cursor != "" {
		c, err := g.ring.Open(s.reader.cursor, sim.sched.now, &cursor.Binding{})
		if err != nil {
			g.check.PageEnded(sim.sched.now, 0, s.reader.no) // reports a breach: each pooler must accept the cursors of all others
			s.end(pageResult{})
			return
		}
		places, needs = c.Places, c.MinPositions
	} else {
		g.check.ReportStarted(s.reader.no)
	}
	s.shardReads = make([]*shardRead, n)
	s.run = execution.New(&s.settings, g.settings.Page, places, needs, s.due, sim.checks)
	s.event(s.run.Begin)
	s.tick()
}

func (s *pageRequest) tick() {
	if !s.done {
		s.event(s.run.Tick)
		processLoop{s.pooler, s.incarnation}.At(s.reports.sim.sched.now+pageTickMs, s.tick)
	}
}

// abandon ends a page whose client has disconnected.
func (s *pageRequest) abandon() {
	if s.run != nil && !s.done {
		s.event(func(float64) []execution.Action { return s.run.Abandon() })
	}
	s.remove()
}

// event passes an event to the execution, after those that are being processed.
func (s *pageRequest) event(e func(now float64) []execution.Action) {
	if s.done {
		return
	}
	if s.events = append(s.events, e); s.busy {
		return
	}
	s.busy = true
	for i := 0; i < len(s.events) && !s.done; i++ {
		s.perform(s.events[i](s.reports.sim.sched.now))
	}
	s.events, s.busy = s.events[:0], false
}

func (s *pageRequest) perform(actions []execution.Action) {
	for _, a := range slices.Clone(actions) {
		x := s.shardReads[a.Shard]
		switch a.Kind {
		case execution.Submit:
			if a.Attempt > 1 {
				s.reports.Counts.Again++
			}
			s.submit(a)
		case execution.Send:
			x.send()
		case execution.StopReading:
			x.stopped = true
		case execution.ResumeReading:
			if x.stopped = false; x.source != nil {
				s.reports.sim.sched.After(0, x.source, atRows)
			}
		case execution.Cancel:
			if x != nil {
				x.cancel()
			}
		case execution.Deliver:
			s.rows = append(s.rows, int64(binary.BigEndian.Uint64(a.Row)))
		case execution.Finish:
			s.finish()
		}
	}
}

// finish cancels the remaining reads and answers the client by the execution's verdict.
func (s *pageRequest) finish() {
	g, sim := s.reports, s.reports.sim
	s.done = true
	for _, x := range s.shardReads {
		if x != nil {
			x.cancel()
		}
	}
	switch s.run.Verdict {
	case execution.Served:
		x := pageResult{rows: slices.Clone(s.rows)}
		c := &cursor.Cursor{IssuedMs: math.Floor(sim.sched.now)}
		c.Places, c.MinPositions = s.run.Places()
		if m := sim.options.Mutant; m != nil && m.Pages != nil && s.run.More {
			x.rows = m.Pages(x.rows, c)
		}
		if x.rows == nil {
			x.rows = []int64{}
		}
		if s.run.More {
			var n cursor.Nonce
			binary.BigEndian.PutUint64(n[:], g.rng.Uint64())
			x.cursor, _ = g.ring.Seal(c, n) // cannot fail: its keys are short
		}
		s.end(x)
	case execution.Rejected:
		s.end(pageResult{rejected: true, retryMs: s.run.RetryMs})
	case execution.Abandoned:
		s.remove()
	default:
		s.end(pageResult{})
	}
}

// end removes the page and answers the client.
func (s *pageRequest) end(x pageResult) {
	s.done = true
	s.remove()
	s.answer(x)
}

func (s *pageRequest) answer(x pageResult) {
	s.reports.sim.sched.afterFunc(s.reports.sim.linkDelay(), func() { s.reader.receive(s, x) })
}

func (s *pageRequest) remove() {
	s.done = true
	s.reports.open[s.pooler] = slices.DeleteFunc(s.reports.open[s.pooler], func(o *pageRequest) bool { return o == s })
}

// shardRead is the read of one shard for a page. It implements platform.Client.
type shardRead struct {
	page              *pageRequest
	action            execution.Action
	client            *clientAttempt // the backend.Query of its attempts
	ref               slotmap.Ref
	submitted         bool // submitted to the core, and neither answered nor abandoned yet
	ended             bool // the execution has cancelled it, or its pooler has ended
	sendWhenConnected bool // it may be sent as soon as it has a connection
	stopped           bool
	held              *attempt // an attempt that has a connection and waits to be sent
	source            *attempt // the attempt whose rows are used, the first that answered
}

// shardRows holds the rows that a server returned for an attempt and that are not delivered yet.
type shardRows struct {
	list    []sortedtable.Row
	outcome backend.Outcome
}

// submit submits the read of a shard to the pooler's core.
func (s *pageRequest) submit(a execution.Action) {
	g, sim := s.reports, s.reports.sim
	g.lastRequestID++
	x := &shardRead{page: s, action: a, submitted: true}
	id := shardReadIDBit | g.lastRequestID<<8
	session := "report-" + strconv.Itoa(s.reader.no)
	x.client = &clientAttempt{
		sim:         sim,
		request:     &clientRequest{sim: sim, Request: clients.Request{Class: g.classNo, Group: a.Shard, Key: session}},
		class:       g.class,
		pooler:      s.pooler,
		incarnation: s.incarnation,
		id:          id,
		name:        strconv.FormatUint(id, 16),
		shard:       x,
	}
	s.shardReads[a.Shard] = x
	sim.check.Received(sim.sched.now, id, g.classNo, s.pooler.no, s.due, float64(a.MinPosition))
	if sim.script.Limits != nil {
		sim.check.Tenant(sim.sched.now, id, g.settings.Tenant)
	}
	ref, err := s.pooler.core.Submit(platform.Request{
		ID:               x.client.name,
		Class:            g.class.Name,
		Tenant:           g.settings.Tenant,
		PlatformProtocol: g.settings.Tenant != "",
		Group:            a.Shard,
		Session:          session,
		MinPosition:      float64(a.MinPosition),
		Deadline:         s.due,
		Query:            x.client,
	}, x)
	switch {
	case err != nil:
		x.submitted = false
		x.fail(err.Error(), false)
	case x.submitted && x.ended:
		x.submitted = false
		s.pooler.core.Abandon(ref)
	case x.submitted:
		x.ref = ref
	}
}

// Served implements platform.Client.
func (x *shardRead) Served([]byte) { x.recordAnswer("served", true) }

// Rejected implements platform.Client.
func (x *shardRead) Rejected(retryMs float64) {
	x.recordAnswer("refused", false)
	x.page.event(func(now float64) []execution.Action {
		return x.page.run.Rejected(x.action.Shard, x.action.Attempt, retryMs, now)
	})
}

// Failed implements platform.Client.
func (x *shardRead) Failed() {
	x.recordAnswer("failed", false)
	x.fail("its server gave no answer in time or broke off", true)
}

func (x *shardRead) recordAnswer(kind string, served bool) {
	x.submitted = false
	x.page.reports.sim.check.Answered(x.page.reports.sim.sched.now, x.client.id, kind, served, hashOf(nil))
}

func (x *shardRead) fail(reason string, retryable bool) {
	x.page.event(func(now float64) []execution.Action {
		return x.page.run.Failed(x.action.Shard, x.action.Attempt, reason, retryable, now)
	})
}

// holdUntilSend holds an attempt on its connection if the execution does not allow it to be sent yet, and reports whether it does so.
func (x *shardRead) holdUntilSend(a *attempt) bool {
	if x.sendWhenConnected && !x.ended {
		return false
	}
	a.heldForPage, a.poolIncarnation = true, a.pool.incarnation
	a.pool.busy[a] = true
	x.held = a
	x.page.event(func(now float64) []execution.Action {
		return x.page.run.Connected(x.action.Shard, x.action.Attempt, now)
	})
	return true
}

// send allows the statement to be sent, and sends the attempt that is held, if any.
func (x *shardRead) send() {
	x.sendWhenConnected = true
	if a := x.held; a != nil && !a.ended {
		x.held = nil
		if !a.pool.listed || a.poolIncarnation != a.pool.incarnation { // the connection is lost; Overloaded makes the core choose another server
			a.abort(decide.Overloaded)
			return
		}
		if !a.maySend() {
			a.abort(decide.NotSent)
			return
		}
		a.heldForPage = false
		a.send()
	}
}

// releaseHeld releases the connection of a held attempt.
func (a *attempt) releaseHeld() {
	a.heldForPage = false
	delete(a.pool.busy, a)
	if x := a.client.shard; x.held == a {
		x.held = nil
	}
	if a.poolIncarnation == a.pool.incarnation {
		a.pool.release()
	} else { // the server has broken the connection
		a.pool.countConnections(-1)
	}
}

// execute runs the shard's statement on the rows that are visible at the server's position.
func (x *shardRead) execute(a *attempt, r model.Reply) {
	if r.Verdict != model.Served {
		return
	}
	g := x.page.reports
	a.rows = &shardRows{}
	sql, vals, err := g.query.ShardStatement(&g.order, &x.action.Place, x.action.Shard, x.action.MaxRows, 0)
	if err != nil {
		return
	}
	if q, err := sortedtable.Read(sql); err == nil {
		a.rows.list, _ = q.Run(pageTable, g.visible(x.action.Shard, r.Position), vals)
	}
}

// Rows are delivered rowsPerDelivery at a time, every rowIntervalMs.
const rowsPerDelivery, rowIntervalMs = 8, 0.2

// deliverRows passes the next rows of an attempt to the execution. Only the first attempt that answers is used; others are cancelled.
func (x *shardRead) deliverRows(a *attempt) {
	s, sim := x.page, x.page.reports.sim
	if a.ended || a.pooler.incarnation != a.incarnation || a.poolIncarnation != a.pool.incarnation {
		return
	}
	if x.source == nil && !x.ended {
		x.source = a
		s.reads = append(s.reads, checker.PageRead{Group: x.action.Shard, Position: a.rows.outcome.Position})
	}
	if x.source != a {
		a.abort(decide.Cancelled)
		return
	}
	for n := 0; n < rowsPerDelivery && len(a.rows.list) > 0; n++ {
		if x.stopped || a.ended {
			return
		}
		row := a.rows.list[0]
		a.rows.list = a.rows.list[1:]
		x.deliverRow(row)
	}
	if a.ended {
		return
	}
	if len(a.rows.list) > 0 {
		sim.sched.After(rowIntervalMs, a, atRows)
		return
	}
	st := a.pool
	delete(st.busy, a)
	a.pooler.idleTimeout.Record(sim.sched.now, a.idleMs, false)
	st.release()
	a.end(a.rows.outcome)
	s.event(func(now float64) []execution.Action { return s.run.RowsEnded(x.action.Shard, x.action.Attempt, now) })
	s.event(func(now float64) []execution.Action {
		return s.run.PositionReported(x.action.Shard, x.action.Attempt, int64(a.rows.outcome.Position), now)
	})
}

// attemptEnded handles the end of an attempt. If the attempt failed after it had delivered rows, the core must not retry it: the execution
// retries from the position after those rows.
func (x *shardRead) attemptEnded(a *attempt, o *backend.Outcome) {
	if x.source != a || o.Result == decide.OK || x.ended {
		return
	}
	if x.submitted {
		x.submitted = false
		x.page.reports.sim.check.Abandoned(x.page.reports.sim.sched.now, x.client.id, "its answer broke off")
		x.page.pooler.core.Abandon(x.ref)
	}
	x.fail("its answer broke off", true)
}

// deliverRow passes one row with its sort key to the execution.
func (x *shardRead) deliverRow(row sortedtable.Row) {
	o, s := &x.page.reports.order, x.page
	var key []byte
	own := 0
	for i := range o.Columns {
		if i == o.OwnIndex {
			own = len(key)
		}
		key, _ = o.Columns[i].Append(key, sortedtable.Text(row[slices.Index(pageTable, o.Columns[i].Name)]), false) // cannot fail: all columns are integers
	}
	body := binary.BigEndian.AppendUint64(nil, uint64(row[0].(int64)))
	s.event(func(now float64) []execution.Action {
		return s.run.Row(x.action.Shard, x.action.Attempt, key, own, body, now)
	})
}

// cancel ends the read of a shard because the execution does not need it any more. An attempt that has started to answer counts as served.
func (x *shardRead) cancel() {
	if x.ended {
		return
	}
	x.ended = true
	if a := x.source; x.submitted && a != nil && !a.ended {
		st := a.pool
		delete(st.busy, a)
		st.countConnections(-1)
		x.page.reports.sim.sched.After(a.pooler.sim.linkDelay(), a, atServerCancel)
		a.end(backend.Outcome{Result: decide.OK})
		st.refill()
	}
	if x.submitted {
		x.submitted = false
		x.page.reports.sim.check.Abandoned(x.page.reports.sim.sched.now, x.client.id, "the page has no need of it any more")
		x.page.pooler.core.Abandon(x.ref)
	}
}
