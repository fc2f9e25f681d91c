// Package incident tells from records what happened: roles, positions, drains and failures of servers over time, what
// each class was served, takeovers, cold returns, and the worth that was lost with its causes. It does no I/O, takes
// events one by one, and its memory does not grow with their number.
package incident

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"beechgrade/internal/decide"
	"beechgrade/internal/record"
	"beechgrade/internal/record/recordpb"
	"beechgrade/internal/testkit/endpointreport"
	"beechgrade/internal/testkit/records"
	"beechgrade/internal/testkit/serviceratio"
)

// Bounds on what is kept, whatever the length of the records. Times are in milliseconds.
const (
	maxCells             = 2400 // of time; when there are more, neighbours are joined
	firstCellMs          = 100  // a cell's width at first
	maxFindings          = 1000 // of each kind a share; what is beyond is counted
	maxOfKind            = 200  // findings of one kind
	maxUnknown           = 2000 // unknown requests that are listed
	maxChains            = 1 << 17
	maxSpans             = 64    // of each sort kept for one server or group
	retryWindowMs        = 15000 // a try that was not served may be followed by the client's next for so long
	unknownAfterMs       = 10000 // beyond its client's time, a request without an answer counts as unknown
	expireEveryMs        = 1000
	borderMs             = 50   // an answer so near to its aim may count otherwise at its client
	takeoverMs           = 300  // without a write served, where some failed, and another server then: a takeover
	interruptionMs       = 1000 // ...or as long as this with the same server: an interruption
	unresponsiveAttempts = 3    // attempts in a row that a server let run out...
	unresponsiveMs       = 300  // ...over at least so long: it was silent
	stepMs               = 50   // that a machine's clock moved against the pooler's
	skewMs               = 20   // that a pooler's clock differs from the others
	reportMs             = 300  // a probe's report may be this old
	staleAheadMs         = 1000 // positions further behind than this are worth a word when a server returns
	maxOpenRequests      = 1 << 20
)

// Model takes events in and keeps the view of them.
type Model struct {
	members       *endpointreport.Model // nil while no source of the list was recorded
	runs          map[*records.Run]*poolerRun
	poolers       map[string]*pooler
	classes       []*class
	byName        map[string]*class
	groups        map[int64]*group
	servers       map[string]*server
	pools         map[string]*pool
	chains        map[chainKey][]*retryChain
	awaitingRetry queue // chains that wait for a retry, oldest first
	chainCount    int

	from, to  float64
	width     float64
	cells     [][]cell // by class, then time
	service   serviceratio.Window
	expiredAt float64
	events    uint64
	lost      uint64
	early     uint64 // events before the first cell
	findings  []Finding
	byKind    map[string]int
	unlisted  uint64 // findings beyond the bounds
	faults    []records.Fault
	unknown   []Unknown
	unknowns  uint64
	causes    map[string]*Cause
	orphans   uint64
	retryLost uint64
	fleet     fleet
	avoided   avoided
	limits    limits
	zones     zones

	recoveries []Recovery
}

// poolerRun is one life of a pooler.
type poolerRun struct {
	*records.Run
	pooler  *pooler
	classes []*class
	open    map[uint64]*openRequest
	last    float64
	drift   float64 // wall less own clock at the last gauge
	drifted bool
	entries map[string]*listEntry
}

type listEntry struct {
	primaryAt       float64
	primary         bool
	drainingSinceMs float64 // heard at, 0 for not so
}

type pooler struct {
	PoolerView
	leastLagMs  float64 // of primaries' positions behind the pooler's clock
	hasPosition bool
}

type class struct {
	ClassView
	writes bool
	index  int
	window serviceratio.Window
}

// openRequest is one that is not answered yet.
type openRequest struct {
	id                     uint64
	class                  *class
	group                  *group
	receivedAt, deadlineAt float64
	repeat                 bool
	chain                  *retryChain
	resultBits             uint16 // of its attempts' results
}

// New makes an empty model.
func New() *Model {
	return &Model{
		runs:    map[*records.Run]*poolerRun{},
		poolers: map[string]*pooler{},
		byName:  map[string]*class{},
		groups:  map[int64]*group{},
		servers: map[string]*server{},
		pools:   map[string]*pool{},
		chains:  map[chainKey][]*retryChain{},
		width:   firstCellMs,
		byKind:  map[string]int{},
		causes:  map[string]*Cause{},
	}
}

// Begin is records.Sink's.
func (m *Model) Begin(r *records.Run) {
	p := m.poolers[r.Pooler]
	if p == nil {
		p = &pooler{PoolerView: PoolerView{Name: r.Pooler, From: r.StartMs}, leastLagMs: math.Inf(1)}
		m.poolers[r.Pooler] = p
	}
	run := &poolerRun{Run: r, pooler: p, open: map[uint64]*openRequest{}, entries: map[string]*listEntry{}, last: r.StartMs}
	for _, c := range r.Header.Classes {
		run.classes = append(run.classes, m.class(c))
	}
	m.runs[r] = run
	if p.Runs++; p.Runs > 1 {
		if r.StartMs < p.To-stepMs {
			m.addFinding(Finding{At: r.StartMs, Kind: "clock", Pooler: p.Name, Grave: true,
				Text: fmt.Sprintf("started %s before its last record: its machine's clock stepped back", Span(p.To-r.StartMs))})
		}
		m.addFinding(Finding{At: p.To, To: r.StartMs, Kind: "restart", Pooler: p.Name, Grave: !p.ordered,
			Text: fmt.Sprintf("was not there for %s, then started again", Span(max(0, r.StartMs-p.To)))})
		p.Away = append(p.Away, Stretch{From: p.To, To: r.StartMs})
	}
	p.ordered = false
}

func (m *Model) class(c *recordpb.Class) *class {
	k := m.byName[c.Name]
	if k == nil {
		k = &class{ClassView: ClassView{Name: c.Name, Worth: c.Worth, LateWorth: c.LateWorth, AimMs: float64(c.AimUs) / 1000,
			DeadlineMs: float64(c.DeadlineUs) / 1000, Read: c.Read, Reasons: map[string]uint64{}}, writes: c.Read == "write",
			index: len(m.classes)}
		m.classes = append(m.classes, k)
		m.byName[c.Name] = k
		m.cells = append(m.cells, nil)
	}
	return k
}

// Fault is records.Sink's.
func (m *Model) Fault(f records.Fault) {
	if len(m.faults) < maxFindings {
		m.faults = append(m.faults, f)
	}
	m.forgetClients(f.Pooler)
	grave := f.Kind != records.Unclosed && f.Kind != records.Rotated
	text := f.Text
	if f.Offset > 0 {
		text += fmt.Sprintf(" (offset %d)", f.Offset)
	}
	m.addFinding(Finding{At: f.From, To: f.To, Kind: "records " + string(f.Kind), Pooler: f.Pooler, File: f.File, Text: text, Grave: grave})
}

// End is records.Sink's. Requests of the run that have no answer are unknown.
func (m *Model) End(r *records.Run, ordered bool) {
	run := m.runs[r]
	if run == nil {
		return
	}
	var left []uint64
	for n := range run.open {
		left = append(left, n)
	}
	slices.Sort(left)
	for _, n := range left {
		m.markUnknown(run, run.open[n], run.last)
	}
	run.pooler.ordered = ordered
	m.fleet.ended(r.Pooler, run.last)
	m.avoided.ended(r.Pooler, run.last)
	m.limits.ended(r.Pooler, run.last)
	m.zones.ended(r.Pooler, run.last)
	m.endPools(run)
	if !ordered {
		m.addFinding(Finding{At: run.last, Kind: "killed", Pooler: r.Pooler, Grave: true,
			Text: fmt.Sprintf("its records end without a stop; %d requests had no answer by then", len(left))})
	}
	delete(m.runs, r)
}

// Event is records.Sink's.
func (m *Model) Event(r *records.Run, e *record.Event) {
	run := m.runs[r]
	if run == nil {
		return
	}
	if !e.Restated {
		m.events++
		run.pooler.Events++
	}
	run.last = e.At
	run.pooler.To = max(run.pooler.To, e.At)
	if m.from == 0 {
		m.from = e.At
	}
	m.to = max(m.to, e.At)
	if m.to-m.expiredAt >= expireEveryMs {
		m.expire()
	}
	if m.members == nil && (e.Kind == recordpb.Kind_KIND_SAID || e.Kind == recordpb.Kind_KIND_JUDGED) {
		m.members = endpointreport.New("")
	}
	if m.members != nil {
		m.members.Event(r, e)
	}
	switch e.Kind {
	case recordpb.Kind_KIND_REQUEST:
		m.onRequest(run, e)
	case recordpb.Kind_KIND_ATTEMPT:
		m.onAttempt(run, e)
	case recordpb.Kind_KIND_ANSWER:
		m.onAnswer(run, e)
	case recordpb.Kind_KIND_PROBE:
		s := m.server(e.Server)
		s.probes++
		m.observeServer(run, s, e)
	case recordpb.Kind_KIND_LIST:
		run.pooler.Lists++
		if e.Full {
			for name := range run.entries {
				if l := run.entries[name]; l.drainingSinceMs == 0 {
					delete(run.entries, name) // what is still there is named next
				}
			}
		}
	case recordpb.Kind_KIND_ENTRY:
		m.onEntry(run, e)
	case recordpb.Kind_KIND_LIST_FAILED:
		run.pooler.ListFailures++
		m.addFinding(Finding{At: e.At, Kind: "list failed", Pooler: r.Pooler, Text: "a call for the list failed, or its watch ended"})
	case recordpb.Kind_KIND_GAUGE:
		m.onGauge(run, e)
	case recordpb.Kind_KIND_START:
		m.addFinding(Finding{At: e.At, Kind: "start", Pooler: r.Pooler, Text: "started"})
	case recordpb.Kind_KIND_DRAIN:
		m.addFinding(Finding{At: e.At, Kind: "pooler drain", Pooler: r.Pooler, Text: "was told to end"})
	case recordpb.Kind_KIND_STOP:
		m.addFinding(Finding{At: e.At, Kind: "stop", Pooler: r.Pooler, Text: "stopped in order"})
	case recordpb.Kind_KIND_RELOAD:
		m.addFinding(Finding{
			At:     e.At,
			Kind:   "reload",
			Pooler: r.Pooler,
			Text:   "read its configuration again; changed: " + cmp.Or(e.Text, "nothing"),
		})
	case recordpb.Kind_KIND_RECOVERED:
		m.onStoreRecovery(r.Pooler, e)
	case recordpb.Kind_KIND_PEER:
		m.fleet.event(r.Pooler, e)
	case recordpb.Kind_KIND_AVOIDED:
		m.avoided.event(r.Pooler, e)
	case recordpb.Kind_KIND_LIMIT:
		m.limits.event(r.Pooler, e)
	case recordpb.Kind_KIND_ZONES:
		m.zones.event(r.Pooler, e)
	case recordpb.Kind_KIND_SESSION_BEGIN, recordpb.Kind_KIND_SESSION_END:
		m.onSession(run, e, e.Kind == recordpb.Kind_KIND_SESSION_END)
	case recordpb.Kind_KIND_HAND:
		m.onAssignment(e)
	case recordpb.Kind_KIND_POOL:
		m.onPool(run, e)
	case recordpb.Kind_KIND_LOST:
		m.lost += e.Lost
		m.forgetClients(r.Pooler)
		run.pooler.Lost += e.Lost
		cause := "the writer did not keep up"
		if e.LossCause == record.CauseWrite {
			cause = "writing failed"
		}
		m.addFinding(Finding{At: e.LostFrom, To: e.LostTo, Kind: "records lost", Pooler: r.Pooler, Grave: true,
			Text: fmt.Sprintf("%d events were not recorded: %s", e.Lost, cause)})
	}
}

func (m *Model) onGauge(run *poolerRun, e *record.Event) {
	p := run.pooler
	p.Memory, p.Files = max(p.Memory, e.MemoryBytes), max(p.Files, e.Descriptors)
	p.Sessions, p.Conns = max(p.Sessions, e.Sessions), max(p.Conns, e.Connections)
	if e.WallClockMs == 0 {
		return
	}
	drift := e.WallClockMs - e.At
	if run.drifted && math.Abs(drift-run.drift) > stepMs {
		m.addFinding(Finding{At: e.At, Kind: "clock", Pooler: p.Name, Grave: true,
			Text: fmt.Sprintf("its machine's clock stepped by %s; the pooler's own times go on as before", signed(drift-run.drift))})
	}
	run.drift, run.drifted = drift, true
}

func (m *Model) onRequest(run *poolerRun, e *record.Event) {
	if int(e.Class) >= len(run.classes) || len(run.open) >= maxOpenRequests {
		return
	}
	class, group := run.classes[e.Class], m.group(e.Group)
	request := &openRequest{id: e.ID, class: class, group: group, receivedAt: e.At, deadlineAt: e.At + e.RemainingMs, repeat: e.Repeat}
	run.open[e.Request] = request
	class.Requests++
	cell := m.cell(class, e.At)
	cell.requests++
	key := chainKey{class.index, e.Group, e.Session}
	if e.Repeat {
		class.Repeats++
		cell.repeats++
		if request.chain = m.chainOfRetry(key, e.At); request.chain == nil {
			m.orphans++
			class.Orphans++
		}
	}
	if request.chain == nil {
		request.chain = &retryChain{key: key, class: class, group: group, firstAt: e.At}
		m.addChain(request.chain)
		class.Asked++
		class.WorthAsked += class.Worth
		cell.asked += float32(class.Worth)
		class.window.Add(e.At, class.Worth, 0)
		m.service.Add(e.At, class.Worth, 0)
	}
	request.chain.openRequests++
	request.chain.requests++
	if class.writes {
		group.writes++
	}
}

func (m *Model) onAttempt(run *poolerRun, e *record.Event) {
	server := m.server(e.Server)
	m.observeServer(run, server, e)
	request := run.open[e.Request]
	if request != nil {
		request.resultBits |= 1 << e.Result
		request.class.Attempts++
	}
	m.checkDrain(run, server, e)
	if int(e.Class) < len(run.classes) && run.classes[e.Class].writes {
		m.group(e.Group).onWrite(m, server, e)
	}
}

func (m *Model) onAnswer(run *poolerRun, e *record.Event) {
	request := run.open[e.Request]
	if request == nil {
		return // its request is in a part that is missing
	}
	delete(run.open, e.Request)
	class, chain := request.class, request.chain
	cell := m.cell(class, e.At)
	chain.openRequests--
	chain.resultBits |= request.resultBits
	chain.lastAt = max(chain.lastAt, e.At)
	switch e.Final {
	case recordpb.Final_FINAL_SERVED:
		class.Served++
		cell.served++
		class.Times.add(e.DurationMs)
		m.recordServed(chain, e.At)
		return
	case recordpb.Final_FINAL_REFUSED:
		class.Refused++
		cell.refused++
	case recordpb.Final_FINAL_FAILED:
		class.Failed++
		cell.failed++
	default:
		class.Gone++
		cell.failed++
	}
	class.Reasons[e.Final.String()[len("FINAL_"):]+": "+e.Reason.String()]++
	chain.final, chain.reason = e.Final, e.Reason
	if class.writes {
		request.group.onUnservedWrite(e.At)
	}
	m.awaitRetry(chain)
}

// Results as bits of a mask.
const (
	bitFailed      = 1 << decide.Failed
	bitOverloaded  = 1 << decide.Overloaded
	bitTimedOut    = 1 << decide.TimedOut
	bitUnreachable = 1 << decide.Unreachable
	bitReset       = 1 << decide.Reset
	bitCancelled   = 1 << decide.Cancelled
	bitMisdirected = 1 << decide.Misdirected
)

// addFinding keeps a finding, within the bounds.
func (m *Model) addFinding(f Finding) {
	if m.byKind[f.Kind]++; m.byKind[f.Kind] > maxOfKind || len(m.findings) >= maxFindings {
		m.unlisted++
		return
	}
	m.findings = append(m.findings, f)
}
