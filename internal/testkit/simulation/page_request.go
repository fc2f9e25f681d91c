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
func (page *pageRequest) begin() {
	reports, sim := page.reports, page.reports.sim
	if page.done {
		return
	}
	n := len(reports.rows)
	page.settings = execution.Settings{
		Shards:          n,
		WindowBytes:     max(4<<10, pageMemoryBytes/n),
		MaxRowBytes:     pageMaxRowBytes,
		UnresponsiveMs:  pageUnresponsiveMs,
		MaxRetries:      pageMaxRetries,
		PositionWaitMs:  pagePositionWaitMs,
		AnswerReserveMs: min(500, reports.settings.TimeoutMs/10),
	}
	var places []cursor.Place
	var needs []int64
	if page.reader.cursor != "" {
		c, err := reports.ring.Open(page.reader.cursor, sim.sched.now, &cursor.Binding{})
		if err != nil {
			reports.check.PageEnded(sim.sched.now, 0, page.reader.no) // reports a breach: each pooler must accept the cursors of all others
			page.end(pageResult{})
			return
		}
		places, needs = c.Places, c.MinPositions
	} else {
		reports.check.ReportStarted(page.reader.no)
	}
	page.shardReads = make([]*shardRead, n)
	page.run = execution.New(&page.settings, reports.settings.Page, places, needs, page.due, sim.checks)
	page.event(page.run.Begin)
	page.tick()
}

func (page *pageRequest) tick() {
	if !page.done {
		page.event(page.run.Tick)
		processLoop{page.pooler, page.incarnation}.At(page.reports.sim.sched.now+pageTickMs, page.tick)
	}
}

// abandon ends a page whose client has disconnected.
func (page *pageRequest) abandon() {
	if page.run != nil && !page.done {
		page.event(func(float64) []execution.Action { return page.run.Abandon() })
	}
	page.remove()
}

// event passes an event to the execution, after those that are being processed.
func (page *pageRequest) event(e func(now float64) []execution.Action) {
	if page.done {
		return
	}
	if page.events = append(page.events, e); page.busy {
		return
	}
	page.busy = true
	for i := 0; i < len(page.events) && !page.done; i++ {
		page.perform(page.events[i](page.reports.sim.sched.now))
	}
	page.events, page.busy = page.events[:0], false
}

// perform executes the actions of the execution.
func (page *pageRequest) perform(actions []execution.Action) {
	for _, a := range slices.Clone(actions) {
		shard := page.shardReads[a.Shard]
		switch a.Kind {
		case execution.Submit:
			if a.Attempt > 1 {
				page.reports.Counts.Again++
			}
			page.submit(a)
		case execution.Send:
			shard.send()
		case execution.StopReading:
			shard.stopped = true
		case execution.ResumeReading:
			if shard.stopped = false; shard.source != nil {
				page.reports.sim.sched.After(0, shard.source, atRows)
			}
		case execution.Cancel:
			if shard != nil {
				shard.cancel()
			}
		case execution.Deliver:
			page.rows = append(page.rows, int64(binary.BigEndian.Uint64(a.Row)))
		case execution.Finish:
			page.finish()
		}
	}
}

// finish cancels the remaining reads and answers the client by the execution's verdict.
func (page *pageRequest) finish() {
	reports, sim := page.reports, page.reports.sim
	page.done = true
	for _, shard := range page.shardReads {
		if shard != nil {
			shard.cancel()
		}
	}
	switch page.run.Verdict {
	case execution.Served:
		result := pageResult{rows: slices.Clone(page.rows)}
		c := &cursor.Cursor{IssuedMs: math.Floor(sim.sched.now)}
		c.Places, c.MinPositions = page.run.Places()
		if m := sim.options.Mutant; m != nil && m.Pages != nil && page.run.More {
			result.rows = m.Pages(result.rows, c)
		}
		if result.rows == nil {
			result.rows = []int64{}
		}
		if page.run.More {
			var n cursor.Nonce
			binary.BigEndian.PutUint64(n[:], reports.rng.Uint64())
			result.cursor, _ = reports.ring.Seal(c, n) // cannot fail: its keys are short
		}
		page.end(result)
	case execution.Rejected:
		page.end(pageResult{rejected: true, retryMs: page.run.RetryMs})
	case execution.Abandoned:
		page.remove()
	default:
		page.end(pageResult{})
	}
}

// end removes the page and answers the client.
func (page *pageRequest) end(result pageResult) {
	page.done = true
	page.remove()
	page.answer(result)
}

func (page *pageRequest) answer(result pageResult) {
	page.reports.sim.sched.afterFunc(page.reports.sim.linkDelay(), func() { page.reader.receive(page, result) })
}

func (page *pageRequest) remove() {
	page.done = true
	page.reports.open[page.pooler] = slices.DeleteFunc(page.reports.open[page.pooler], func(o *pageRequest) bool { return o == page })
}

// shardRead is the read of one shard for a page. It implements platform.Client.
type shardRead struct {
	page              *pageRequest
	action            execution.Action
	client            *clientAttempt // the backend.Query of its attempts
	ref               slotmap.Ref
	submitted         bool     // submitted to the core, and neither answered nor abandoned yet
	ended             bool     // the execution has cancelled it, or its pooler has ended
	sendWhenConnected bool     // it may be sent as soon as it has a connection
	stopped           bool     // the execution has stopped reading rows
	held              *attempt // an attempt that has a connection and waits to be sent
	source            *attempt // the attempt whose rows are used, the first that answered
}

// shardRows holds the rows that a server returned for an attempt and that are not delivered yet.
type shardRows struct {
	list    []sortedtable.Row
	outcome backend.Outcome
}

// submit submits the read of a shard to the pooler's core.
func (page *pageRequest) submit(a execution.Action) {
	reports, sim := page.reports, page.reports.sim
	reports.lastRequestID++
	shard := &shardRead{page: page, action: a, submitted: true}
	id := shardReadIDBit | reports.lastRequestID<<8
	session := "report-" + strconv.Itoa(page.reader.no)
	shard.client = &clientAttempt{
		sim:         sim,
		request:     &clientRequest{sim: sim, Request: clients.Request{Class: reports.classNo, Group: a.Shard, Key: session}},
		class:       reports.class,
		pooler:      page.pooler,
		incarnation: page.incarnation,
		id:          id,
		name:        strconv.FormatUint(id, 16),
		shard:       shard,
	}
	page.shardReads[a.Shard] = shard
	sim.check.Received(sim.sched.now, id, reports.classNo, page.pooler.no, page.due, float64(a.MinPosition))
	if sim.script.Limits != nil {
		sim.check.Tenant(sim.sched.now, id, reports.settings.Tenant)
	}
	ref, err := page.pooler.core.Submit(platform.Request{
		ID:               shard.client.name,
		Class:            reports.class.Name,
		Tenant:           reports.settings.Tenant,
		PlatformProtocol: reports.settings.Tenant != "",
		Group:            a.Shard,
		Session:          session,
		MinPosition:      float64(a.MinPosition),
		Deadline:         page.due,
		Query:            shard.client,
	}, shard)
	switch {
	case err != nil:
		shard.submitted = false
		shard.fail(err.Error(), false)
	case shard.submitted && shard.ended:
		shard.submitted = false
		page.pooler.core.Abandon(ref)
	case shard.submitted:
		shard.ref = ref
	}
}

// Served implements platform.Client.
func (shard *shardRead) Served([]byte) { shard.recordAnswer("served", true) }

// Rejected implements platform.Client.
func (shard *shardRead) Rejected(retryMs float64) {
	shard.recordAnswer("refused", false)
	shard.page.event(func(now float64) []execution.Action {
		return shard.page.run.Rejected(shard.action.Shard, shard.action.Attempt, retryMs, now)
	})
}

// Failed implements platform.Client.
func (shard *shardRead) Failed() {
	shard.recordAnswer("failed", false)
	shard.fail("its server gave no answer in time or broke off", true)
}

func (shard *shardRead) recordAnswer(kind string, served bool) {
	shard.submitted = false
	shard.page.reports.sim.check.Answered(shard.page.reports.sim.sched.now, shard.client.id, kind, served, hashOf(nil))
}

func (shard *shardRead) fail(reason string, retryable bool) {
	shard.page.event(func(now float64) []execution.Action {
		return shard.page.run.Failed(shard.action.Shard, shard.action.Attempt, reason, retryable, now)
	})
}

// holdUntilSend holds an attempt on its connection if the execution does not allow it to be sent yet, and reports whether it does so.
func (shard *shardRead) holdUntilSend(a *attempt) bool {
	if shard.sendWhenConnected && !shard.ended {
		return false
	}
	a.heldForPage, a.poolIncarnation = true, a.pool.incarnation
	a.pool.busy[a] = true
	shard.held = a
	shard.page.event(func(now float64) []execution.Action {
		return shard.page.run.Connected(shard.action.Shard, shard.action.Attempt, now)
	})
	return true
}

// send allows the statement to be sent, and sends the attempt that is held, if any.
func (shard *shardRead) send() {
	shard.sendWhenConnected = true
	if a := shard.held; a != nil && !a.ended {
		shard.held = nil
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
	if shard := a.client.shard; shard.held == a {
		shard.held = nil
	}
	if a.poolIncarnation == a.pool.incarnation {
		a.pool.release()
	} else { // the server has broken the connection
		a.pool.countConnections(-1)
	}
}

// execute runs the shard's statement on the rows that are visible at the server's position.
func (shard *shardRead) execute(a *attempt, r model.Reply) {
	if r.Verdict != model.Served {
		return
	}
	reports := shard.page.reports
	a.rows = &shardRows{}
	sql, vals, err := reports.query.ShardStatement(&reports.order, &shard.action.Place, shard.action.Shard, shard.action.MaxRows, 0)
	if err != nil {
		return
	}
	if q, err := sortedtable.Read(sql); err == nil {
		a.rows.list, _ = q.Run(pageTable, reports.visible(shard.action.Shard, r.Position), vals)
	}
}

// Rows are delivered rowsPerDelivery at a time, every rowIntervalMs.
const rowsPerDelivery, rowIntervalMs = 8, 0.2

// deliverRows passes the next rows of an attempt to the execution. Only the first attempt that answers is used; others are cancelled.
func (shard *shardRead) deliverRows(a *attempt) {
	page, sim := shard.page, shard.page.reports.sim
	if a.ended || a.pooler.incarnation != a.incarnation || a.poolIncarnation != a.pool.incarnation {
		return
	}
	if shard.source == nil && !shard.ended {
		shard.source = a
		page.reads = append(page.reads, checker.PageRead{Group: shard.action.Shard, Position: a.rows.outcome.Position})
	}
	if shard.source != a {
		a.abort(decide.Cancelled)
		return
	}
	for n := 0; n < rowsPerDelivery && len(a.rows.list) > 0; n++ {
		if shard.stopped || a.ended {
			return
		}
		row := a.rows.list[0]
		a.rows.list = a.rows.list[1:]
		shard.deliverRow(row)
	}
	if a.ended {
		return
	}
	if len(a.rows.list) > 0 {
		sim.sched.After(rowIntervalMs, a, atRows)
		return
	}
	pool := a.pool
	delete(pool.busy, a)
	a.pooler.idleTimeout.Record(sim.sched.now, a.idleMs, false)
	pool.release()
	a.end(a.rows.outcome)
	page.event(func(now float64) []execution.Action {
		return page.run.RowsEnded(shard.action.Shard, shard.action.Attempt, now)
	})
	page.event(func(now float64) []execution.Action {
		return page.run.PositionReported(shard.action.Shard, shard.action.Attempt, int64(a.rows.outcome.Position), now)
	})
}

// attemptEnded handles the end of an attempt. If the attempt failed after it had delivered rows, the core must not retry it: the execution
// retries from the position after those rows.
func (shard *shardRead) attemptEnded(a *attempt, o *backend.Outcome) {
	if shard.source != a || o.Result == decide.OK || shard.ended {
		return
	}
	if shard.submitted {
		shard.submitted = false
		shard.page.reports.sim.check.Abandoned(shard.page.reports.sim.sched.now, shard.client.id, "its answer broke off")
		shard.page.pooler.core.Abandon(shard.ref)
	}
	shard.fail("its answer broke off", true)
}

// deliverRow passes one row with its sort key to the execution.
func (shard *shardRead) deliverRow(row sortedtable.Row) {
	o, page := &shard.page.reports.order, shard.page
	var key []byte
	own := 0
	for i := range o.Columns {
		if i == o.OwnIndex {
			own = len(key)
		}
		key, _ = o.Columns[i].Append(key, sortedtable.Text(row[slices.Index(pageTable, o.Columns[i].Name)]), false) // cannot fail: all columns are integers
	}
	body := binary.BigEndian.AppendUint64(nil, uint64(row[0].(int64)))
	page.event(func(now float64) []execution.Action {
		return page.run.Row(shard.action.Shard, shard.action.Attempt, key, own, body, now)
	})
}

// cancel ends the read of a shard because the execution does not need it any more. An attempt that has started to answer counts as served.
func (shard *shardRead) cancel() {
	if shard.ended {
		return
	}
	shard.ended = true
	if a := shard.source; shard.submitted && a != nil && !a.ended {
		pool := a.pool
		delete(pool.busy, a)
		pool.countConnections(-1)
		shard.page.reports.sim.sched.After(a.pooler.sim.linkDelay(), a, atServerCancel)
		a.end(backend.Outcome{Result: decide.OK})
		pool.refill()
	}
	if shard.submitted {
		shard.submitted = false
		shard.page.reports.sim.check.Abandoned(shard.page.reports.sim.sched.now, shard.client.id, "the page has no need of it any more")
		shard.page.pooler.core.Abandon(shard.ref)
	}
}
