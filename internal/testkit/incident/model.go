// Package incident reconstructs from the records of poolers what happened: roles, positions, drains and failures of servers over
// time, what each class was served, takeovers, returns of restarted servers, and the worth that was lost, by cause.
//
// A Model is a records.Sink: it takes events one by one, and View returns what they show so far. It does no I/O. Its memory is
// bounded by the constants below and does not grow with the number of events; what exceeds a bound is dropped or only counted.
package incident

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"beechgrade/internal/decide"
	"beechgrade/internal/record/recordpb"
	"beechgrade/internal/testkit/endpointreport"
	"beechgrade/internal/testkit/records"
	"beechgrade/internal/testkit/serviceratio"
)

// Bounds on what a model keeps, and thresholds of findings. Times are in milliseconds.
const (
	maxCells             = 2400 // of a series; where there are more, neighbours are merged and the width doubles
	firstCellMs          = 100  // initial width of a cell
	maxFindings          = 1000 // of all kinds; more are counted only
	maxOfKind            = 200  // findings of one kind; more are counted only
	maxUnknown           = 2000 // listed requests without an answer
	maxChains            = 1 << 17
	maxSpans             = 64    // spans of one kind for each server or group
	retryWindowMs        = 15000 // after a request that was not served, the client's retry is expected for this long
	unknownAfterMs       = 10000 // after its deadline, a request without an answer counts as unknown
	expireEveryMs        = 1000
	borderMs             = 50   // an answer this close to the latency objective may be on its other side by the client's clock
	takeoverMs           = 300  // at least this long without a served write, then one by another server: a takeover
	interruptionMs       = 1000 // at least this long, then a write by the same server: an interruption
	unresponsiveAttempts = 3    // attempts in a row that timed out...
	unresponsiveMs       = 300  // ...over at least this long: the server was unresponsive
	stepMs               = 50   // least step of a machine's wall clock against its pooler's clock that is reported
	skewMs               = 20   // least difference of a pooler's clock from the others' that is reported
	reportMs             = 300  // greatest age of what a health check reports
	staleAheadMs         = 1000 // the return of a server that lags more than this is a grave finding
	maxOpenRequests      = 1 << 20
)

// Model is a records.Sink that reconstructs an incident. It is not safe for concurrent use.
type Model struct {
	members       *endpointreport.Model // nil while no endpoint source was recorded
	runs          map[*records.Run]*poolerRun
	poolers       map[string]*pooler
	classes       []*class
	classByName   map[string]*class
	groups        map[int64]*group
	servers       map[string]*server
	pools         map[string]*pool
	chains        map[chainKey][]*retryChain
	awaitingRetry queue // chains whose client may still retry, in the order in which they were queued
	chainCount    int

	from, to        float64
	width           float64
	cells           [][]cell // by class, then time
	service         serviceratio.Window
	lastExpiryAt    float64
	events          uint64
	lost            uint64
	early           uint64 // events before the first cell
	findings        []Finding
	findingsByKind  map[string]int
	unlisted        uint64 // findings that exceeded the bounds
	faults          []records.Fault
	unknown         []Unknown
	unknowns        uint64
	causes          map[string]*Cause
	orphans         uint64 // retries whose first request is not in the records
	untrackedChains uint64 // chains beyond maxChains
	fleet           fleet
	avoided         avoided
	limits          limits
	zones           zones

	recoveries []Recovery
}

// poolerRun is the state of one run of a pooler's process, until its records end.
type poolerRun struct {
	*records.Run
	pooler  *pooler
	classes []*class
	open    map[uint64]*openRequest
	last    float64
	drift   float64 // the machine's wall clock minus the pooler's clock at the last gauge, in ms
	drifted bool
	entries map[string]*listEntry
}

// listEntry is a server's entry in a pooler's endpoint list.
type listEntry struct {
	primaryAt       float64
	primary         bool
	drainingSinceMs float64 // when the pooler learned of the drain, 0 for not draining; +Inf where that was before these records
}

// pooler is the state of a pooler over all its runs.
type pooler struct {
	PoolerView
	leastLagMs  float64 // least distance of a primary's position behind the pooler's clock
	hasPosition bool
}

// class is a class of requests.
type class struct {
	ClassView
	writes bool
	index  int
	window serviceratio.Window
}

// openRequest is a request that has no answer yet.
type openRequest struct {
	id                     uint64
	class                  *class
	group                  *group
	receivedAt, deadlineAt float64
	repeat                 bool
	chain                  *retryChain
	resultBits             uint16 // bits of the results of its attempts
}

// New returns an empty model.
func New() *Model {
	return &Model{
		runs:           map[*records.Run]*poolerRun{},
		poolers:        map[string]*pooler{},
		classByName:    map[string]*class{},
		groups:         map[int64]*group{},
		servers:        map[string]*server{},
		pools:          map[string]*pool{},
		chains:         map[chainKey][]*retryChain{},
		width:          firstCellMs,
		findingsByKind: map[string]int{},
		causes:         map[string]*Cause{},
	}
}

// Begin implements records.Sink. A second run of a pooler is a restart; the time between the runs is reported.
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
	p.Runs++
	if p.Runs > 1 {
		m.onRestart(p, r.StartMs)
	}
	p.ordered = false
}

// onRestart reports that a pooler started again, and a clock that stepped back in between.
func (m *Model) onRestart(p *pooler, startMs float64) {
	if startMs < p.To-stepMs {
		m.addFinding(Finding{At: startMs, Kind: "clock", Pooler: p.Name, Grave: true,
			Text: fmt.Sprintf("started %s before its last record: its machine's clock stepped back", Span(p.To-startMs))})
	}
	m.addFinding(Finding{At: p.To, To: startMs, Kind: "restart", Pooler: p.Name, Grave: !p.ordered,
		Text: fmt.Sprintf("was not there for %s, then started again", Span(max(0, startMs-p.To)))})
	p.Away = append(p.Away, TimeSpan{From: p.To, To: startMs})
}

// class returns the class of a name, and adds it where it is new.
func (m *Model) class(c *recordpb.Class) *class {
	k := m.classByName[c.Name]
	if k == nil {
		k = &class{ClassView: ClassView{Name: c.Name, Worth: c.Worth, LateWorth: c.LateWorth, AimMs: float64(c.AimUs) / 1000,
			DeadlineMs: float64(c.DeadlineUs) / 1000, Read: c.Read, Reasons: map[string]uint64{}}, writes: c.Read == "write",
			index: len(m.classes)}
		m.classes = append(m.classes, k)
		m.classByName[c.Name] = k
		m.cells = append(m.cells, nil)
	}
	return k
}

// Fault implements records.Sink. Incomplete records are a finding, grave unless they are still being written or were rotated.
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

// End implements records.Sink. Requests of the run that have no answer become unknown.
func (m *Model) End(r *records.Run, ordered bool) {
	run := m.runs[r]
	if run == nil {
		return
	}
	unanswered := slices.Sorted(maps.Keys(run.open))
	for _, n := range unanswered {
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
			Text: fmt.Sprintf("its records end without a stop; %d requests had no answer by then", len(unanswered))})
	}
	delete(m.runs, r)
}

// Bits of the results of attempts.
const (
	bitFailed      = 1 << decide.Failed
	bitOverloaded  = 1 << decide.Overloaded
	bitTimedOut    = 1 << decide.TimedOut
	bitUnreachable = 1 << decide.Unreachable
	bitReset       = 1 << decide.Reset
	bitCancelled   = 1 << decide.Cancelled
	bitMisdirected = 1 << decide.Misdirected
)

// addFinding lists a finding, within the bounds.
func (m *Model) addFinding(f Finding) {
	if m.findingsByKind[f.Kind]++; m.findingsByKind[f.Kind] > maxOfKind || len(m.findings) >= maxFindings {
		m.unlisted++
		return
	}
	m.findings = append(m.findings, f)
}
