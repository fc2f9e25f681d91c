package incident

import (
	"cmp"
	"fmt"
	"slices"

	"beechgrade/internal/record"
)

// Bounds and thresholds of pools. Times are in milliseconds.
const (
	maxPools         = 500
	saturatedMs      = 1000 // a pool whose connections are all in use while clients wait for at least this long is saturated
	gaugeGapMs       = 3000 // after a longer time between two gauges, the state in between is not known
	maxEnds          = 40   // error codes of ended sessions; others count as "other"
	stormShare       = 0.5  // a storm: at least this share of a pool's sessions end with at most stormMs between two ends
	stormMs          = 1000
	minStormSessions = 20 // fewer ended sessions are not a storm
	otherPools       = "(other pools)"
)

// PoolView is a pool of server connections for ordinary clients, over all poolers.
type PoolView struct {
	Name        string            `json:"name"`
	Sessions    uint64            `json:"sessions"`
	Ended       uint64            `json:"ended"`
	Ends        map[string]uint64 `json:"ended_by_pooler,omitempty"` // by SQLSTATE
	Hands       uint64            `json:"connections_given"`
	Changed     uint64            `json:"changed_hands"` // of these, connections that another client used before
	Moved       uint64            `json:"moved_to_another_server"`
	Carried     uint64            `json:"settings_carried"`
	Refused     uint64            `json:"no_connection"`
	Again       uint64            `json:"begun_again"`
	WaitP50     float64           `json:"wait_p50_ms"`
	WaitP99     float64           `json:"wait_p99_ms"`
	WaitMost    float64           `json:"wait_most_ms"`
	WaitMostAt  float64           `json:"wait_most_at_ms"`
	MostClients int64             `json:"most_clients"` // of one pooler, at any time
	MostUsed    int64             `json:"most_used"`    // of one pooler, by its gauges, as are the next two
	MostWaiting int64             `json:"most_waiting"`
	Connections int64             `json:"connections_allowed"` // of one pooler
	Saturated   []TimeSpan        `json:"cramped,omitempty"`
}

// PoolSeries is a pool over time, summed over all poolers: the maxima of Waiting and Used in each cell, and the sum of Moved.
type PoolSeries struct {
	Waiting []uint32 `json:"waiting"`
	Used    []uint32 `json:"used"`
	Moved   []uint32 `json:"moved"`
}

// pool is the state of a pool.
type pool struct {
	PoolView
	waits   latencies
	byRun   map[*poolerRun]*poolGauge
	cells   []poolCell
	ended   burst
	refused burst
}

// poolGauge is a pool at one pooler, by its last gauge.
type poolGauge struct {
	at            float64 // 0 before the first
	waiting, used uint32
	clients       int64   // by the last gauge and the sessions that began and ended since; a lower bound
	saturatedFrom float64 // 0 where the pool is not saturated
}

// poolCell is a pool during a cell of time.
type poolCell struct{ waiting, used, moved uint32 }

// burst counts events with little time between them.
type burst struct {
	from, last float64
	count      int
}

// add counts an event. An event more than gap milliseconds after the last one begins a new burst, and the burst that ended is
// returned.
func (b *burst) add(at, gap float64) (ended burst) {
	if b.count > 0 && at-b.last > gap {
		ended, *b = *b, burst{}
	}
	if b.count == 0 {
		b.from = at
	}
	b.count++
	b.last = at
	return ended
}

// pool returns the pool of a name, and adds it where it is new. Pools beyond the bound share one.
func (m *Model) pool(name string) *pool {
	p := m.pools[name]
	if p == nil {
		if len(m.pools) >= maxPools && name != otherPools {
			return m.pool(otherPools)
		}
		p = &pool{PoolView: PoolView{Name: name, Ends: map[string]uint64{}}, byRun: map[*poolerRun]*poolGauge{}}
		m.pools[name] = p
	}
	return p
}

// cell returns the cell of a time.
func (p *pool) cell(m *Model, at float64) *poolCell {
	i := m.index(at)
	for len(p.cells) <= i {
		p.cells = append(p.cells, poolCell{})
	}
	return &p.cells[i]
}

// widen merges the cells in pairs.
func (p *pool) widen() {
	n := (len(p.cells) + 1) / 2
	for i := range n {
		a := p.cells[2*i]
		if 2*i+1 < len(p.cells) {
			b := p.cells[2*i+1]
			a = poolCell{max(a.waiting, b.waiting), max(a.used, b.used), a.moved + b.moved}
		}
		p.cells[i] = a
	}
	p.cells = p.cells[:n]
}

// gaugeOf returns the state of the pool at one pooler, and adds it where it is new.
func (p *pool) gaugeOf(run *poolerRun) *poolGauge {
	gauge := p.byRun[run]
	if gauge == nil {
		gauge = &poolGauge{}
		p.byRun[run] = gauge
	}
	return gauge
}

// setClients sets how many clients the pool has at one pooler, and keeps the maximum.
func (p *pool) setClients(gauge *poolGauge, clients int64) {
	gauge.clients = max(0, clients)
	p.MostClients = max(p.MostClients, gauge.clients)
}

// countClients counts clients that connect and disconnect between gauges. For otherPools, which stands for many pools, only gauges
// count.
func (p *pool) countClients(run *poolerRun, change int64) {
	if p.Name == otherPools {
		return
	}
	gauge := p.gaugeOf(run)
	p.setClients(gauge, gauge.clients+change)
}

// forgetClients counts a pooler's clients from 0 until its next gauge, after events went missing: ends of sessions may be among
// these, and no more clients may be reported than there were.
func (m *Model) forgetClients(pooler string) {
	for _, p := range m.pools {
		for run, gauge := range p.byRun {
			if run.Pooler == pooler {
				gauge.clients = 0
			}
		}
	}
}

// onSession takes the begin or the end of a session.
func (m *Model) onSession(run *poolerRun, e *record.Event, ended bool) {
	p := m.pool(e.Pool)
	if !ended {
		p.Sessions++
		p.countClients(run, 1)
		return
	}
	p.Ended++
	p.countClients(run, -1)
	if e.Text == "" {
		return
	}
	if _, ok := p.Ends[e.Text]; !ok && len(p.Ends) >= maxEnds {
		e.Text = "other"
	}
	p.Ends[e.Text]++
	m.reportSessionStorm(p, p.ended.add(e.At, stormMs))
}

// reportSessionStorm reports a burst in which the pooler ended a large part of a pool's sessions.
func (m *Model) reportSessionStorm(p *pool, b burst) {
	if b.count >= minStormSessions && float64(b.count) >= stormShare*float64(p.MostClients) {
		m.addFinding(Finding{At: b.from, To: b.last, Kind: "sessions ended", Grave: true,
			Text: fmt.Sprintf("pool %s: the pooler ended %d sessions within %s", p.Name, b.count, Span(max(1, b.last-b.from)))})
	}
}

// onAssignment takes the assignment of a server connection to a client's transaction, or its failure.
func (m *Model) onAssignment(e *record.Event) {
	p := m.pool(e.Pool)
	switch e.Assignment {
	case record.AssignmentRejected:
		p.Refused++
		m.reportRejected(p, p.refused.add(e.At, stormMs))
		return
	case record.AssignmentRestarted:
		p.Again++
		return
	}
	p.Hands++
	p.waits.add(e.DurationMs)
	if e.DurationMs > p.WaitMost {
		p.WaitMost, p.WaitMostAt = e.DurationMs, e.At
	}
	if e.FromOtherClient {
		p.Changed++
	}
	if e.SettingsRestored {
		p.Carried++
	}
	if e.ServerChanged {
		p.Moved++
		p.cell(m, e.At).moved++
	}
}

// reportRejected reports a burst of transactions that got no connection in time.
func (m *Model) reportRejected(p *pool, b burst) {
	if b.count > 0 {
		m.addFinding(Finding{At: b.from, To: b.last, Kind: "no connection", Grave: true,
			Text: fmt.Sprintf("pool %s: %d transactions found no connection in time", p.Name, b.count)})
	}
}

// onPool takes a pooler's gauge of a pool.
func (m *Model) onPool(run *poolerRun, e *record.Event) {
	p, state := m.pool(e.Pool), &e.PoolState
	gauge := p.gaugeOf(run)
	p.setClients(gauge, int64(state.Clients))
	p.MostUsed, p.MostWaiting = max(p.MostUsed, int64(state.Used)), max(p.MostWaiting, int64(state.Waiting))
	p.Connections = int64(state.MaxConnections)
	if gauge.at > 0 && e.At-gauge.at > gaugeGapMs {
		p.endSaturation(m, run, gauge, gauge.at)
	}
	gauge.at, gauge.waiting, gauge.used = e.At, uint32(max(0, state.Waiting)), uint32(max(0, state.Used))
	switch saturated := state.Waiting > 0 && state.Used >= state.MaxConnections; {
	case saturated && gauge.saturatedFrom == 0:
		gauge.saturatedFrom = e.At
	case !saturated:
		p.endSaturation(m, run, gauge, e.At)
	}
	c := p.cell(m, e.At)
	var waiting, used uint32
	for _, o := range p.byRun {
		waiting, used = waiting+o.waiting, used+o.used
	}
	c.waiting, c.used = max(c.waiting, waiting), max(c.used, used)
}

// endSaturation ends a span in which all connections were in use while clients waited, and reports it where it lasted at least
// saturatedMs.
func (p *pool) endSaturation(m *Model, run *poolerRun, gauge *poolGauge, at float64) {
	from := gauge.saturatedFrom
	gauge.saturatedFrom = 0
	if from == 0 || at-from < saturatedMs {
		return
	}
	if len(p.Saturated) < maxSpans {
		p.Saturated = append(p.Saturated, TimeSpan{From: from, To: at})
	}
	m.addFinding(Finding{At: from, To: at, Kind: "pool cramped", Pooler: run.Pooler,
		Text: fmt.Sprintf("pool %s: all %d connections in use and clients waiting for %s", p.Name, p.Connections, Span(at-from))})
}

// endPools removes a run from all pools, whose spans of saturation end with it.
func (m *Model) endPools(run *poolerRun) {
	for _, p := range m.sortedPools() {
		if gauge := p.byRun[run]; gauge != nil {
			p.endSaturation(m, run, gauge, gauge.at)
			delete(p.byRun, run)
		}
	}
}

// sortedPools returns the pools, sorted by name.
func (m *Model) sortedPools() []*pool {
	out := make([]*pool, 0, len(m.pools))
	for _, p := range m.pools {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b *pool) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// finishPools reports the bursts that had not ended when the records ended.
func (m *Model) finishPools() {
	for _, p := range m.sortedPools() {
		m.reportRejected(p, p.refused)
		m.reportSessionStorm(p, p.ended)
		p.refused, p.ended = burst{}, burst{}
	}
}

// pools adds the pools and their series of the given number of cells.
func (v *View) pools(m *Model, cells int) {
	v.Series.Pools = map[string]PoolSeries{}
	for _, p := range m.sortedPools() {
		x := p.PoolView
		x.Ends = map[string]uint64{}
		for k, n := range p.Ends {
			x.Ends[k] = n
		}
		x.Saturated = slices.Clone(p.Saturated)
		x.WaitP50, x.WaitP99 = p.waits.quantile(median), p.waits.quantile(tail)
		v.Pools = append(v.Pools, x)
		s := PoolSeries{Waiting: make([]uint32, cells), Used: make([]uint32, cells), Moved: make([]uint32, cells)}
		for i, c := range p.cells {
			s.Waiting[i], s.Used[i], s.Moved[i] = c.waiting, c.used, c.moved
		}
		v.Series.Pools[p.Name] = s
	}
}
