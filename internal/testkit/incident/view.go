package incident

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"beechgrade/internal/testkit/endpointreport"
	"beechgrade/internal/testkit/records"
)

// View is what the records show. Times are Unix milliseconds, spans milliseconds.
type View struct {
	From     float64 `json:"from_ms"`
	To       float64 `json:"to_ms"`
	Events   uint64  `json:"events"`
	Lost     uint64  `json:"events_lost"`
	Early    uint64  `json:"events_before_start"`
	SpreadMs float64 `json:"clock_spread_ms"` // between the poolers' clocks, estimated by the positions of primaries

	Total    ClassView            `json:"total"`
	Classes  []ClassView          `json:"classes"`
	Poolers  []PoolerView         `json:"poolers"`
	Groups   []GroupView          `json:"groups"`
	Servers  []ServerView         `json:"servers"`
	Pools    []PoolView           `json:"pools,omitempty"`
	Causes   []Cause              `json:"causes"`
	Findings []Finding            `json:"findings"`
	Unlisted uint64               `json:"findings_not_listed"`
	Faults   []records.Fault      `json:"faults"`
	Unknown  []Unknown            `json:"unknown_requests"`
	Unknowns uint64               `json:"unknown_total"`
	Series   Series               `json:"series"`
	Members  *endpointreport.View `json:"members,omitempty"` // where the endpoint list has several sources
	Limits   []LimitShare         `json:"limits,omitempty"`  // each pooler's shares of fleet-wide limits
	Fleet    []PeerState          `json:"fleet,omitempty"`   // the states in which poolers observed their peers
	Zones    *ZonesView           `json:"zones,omitempty"`   // where the fleet plans zones
	Avoided  []Avoided            `json:"avoided,omitempty"` // servers that poolers avoided by reports of other poolers

	Recoveries []Recovery `json:"recoveries,omitempty"` // of durable stores, at poolers' starts
}

// ClassView counts the requests of a class by their results. Asked counts chains: a request and its client's retries count once.
type ClassView struct {
	Name       string  `json:"name"`
	Worth      float64 `json:"worth,omitempty"`
	LateWorth  float64 `json:"late_worth,omitempty"`
	AimMs      float64 `json:"aim_ms,omitempty"`
	DeadlineMs float64 `json:"deadline_ms,omitempty"`
	Read       string  `json:"read,omitempty"`

	Requests uint64 `json:"requests"` // with retries
	Repeats  uint64 `json:"repeats"`  // retries of clients among them
	Orphans  uint64 `json:"orphans"`  // retries whose first request is not in the records
	Asked    uint64 `json:"asked"`    // chains
	Served   uint64 `json:"served"`
	Refused  uint64 `json:"refused"`
	Failed   uint64 `json:"failed"`
	Gone     uint64 `json:"gone"`
	Unknown  uint64 `json:"unknown"`
	InTime   uint64 `json:"in_time"`
	Late     uint64 `json:"late"`
	Attempts uint64 `json:"attempts"`
	Border   uint64 `json:"at_the_border"` // answers within 50 ms of their latency objective

	WorthAsked  float64           `json:"worth_asked"`
	WorthInTime float64           `json:"worth_in_time"`
	WorthGot    float64           `json:"worth_got"` // the reduced worth of late answers included
	WorthBorder float64           `json:"worth_at_the_border"`
	Ratio       float64           `json:"ratio"`
	Worst       float64           `json:"worst_10s"`
	WorstAt     float64           `json:"worst_10s_at_ms"`
	P50         float64           `json:"p50_ms"`
	P99         float64           `json:"p99_ms"`
	Reasons     map[string]uint64 `json:"reasons,omitempty"`

	Times latencies `json:"-"`
}

// PoolerView is a pooler, over all its runs.
type PoolerView struct {
	Name         string     `json:"name"`
	Runs         int        `json:"runs"`
	From         float64    `json:"from_ms"`
	To           float64    `json:"to_ms"`
	Events       uint64     `json:"events"`
	Lost         uint64     `json:"events_lost"`
	Lists        uint64     `json:"lists"`
	ListFailures uint64     `json:"list_failures"`
	Away         []TimeSpan `json:"away,omitempty"`
	AheadMs      float64    `json:"clock_ahead_ms"` // of the median pooler's, estimated by the positions of primaries
	Memory       int64      `json:"most_memory"`
	Files        int64      `json:"most_descriptors"`
	Sessions     int64      `json:"most_sessions"`
	Conns        int64      `json:"most_connections"`

	ordered bool
}

// GroupView is a group of servers with the gaps in its writes.
type GroupView struct {
	Group   int64    `json:"group"`
	Servers []string `json:"servers"`
	Gaps    []Gap    `json:"gaps,omitempty"`
	More    int      `json:"gaps_not_listed,omitempty"`
}

// Gap is a time in which a group served no write although some were received.
type Gap struct {
	Group       int64   `json:"group"`
	From        float64 `json:"last_write_ms"`
	To          float64 `json:"first_write_ms"`
	FirstFailed float64 `json:"first_failed_ms"`
	Old         string  `json:"before"`
	New         string  `json:"after"`
	Unserved    int     `json:"writes_not_served"`
	ListWrongMs float64 `json:"list_wrong_ms"` // from the first failure until the last pooler's list named the new primary; -1 not known
	Lost        float64 `json:"worth_lost"`
}

// ServerView is a server.
type ServerView struct {
	Name         string            `json:"name"`
	Group        int64             `json:"group"`
	Address      string            `json:"address,omitempty"`
	Role         string            `json:"role,omitempty"` // as it reported last
	Position     float64           `json:"position_ms"`
	PositionAt   float64           `json:"position_at_ms"`
	MostBehindMs float64           `json:"most_behind_ms"`
	MostBehindAt float64           `json:"most_behind_at_ms"`
	Results      map[string]uint64 `json:"results"`
	Primary      []TimeSpan        `json:"primary,omitempty"`
	Drains       []TimeSpan        `json:"drains,omitempty"`
	Silent       []TimeSpan        `json:"silent,omitempty"`
	Returns      []Return          `json:"returns,omitempty"`
}

// TimeSpan is a span of time; To is 0 where it has not ended.
type TimeSpan struct {
	From float64 `json:"from_ms"`
	To   float64 `json:"to_ms"`
}

// Return is a server that could not be reached and came back.
type Return struct {
	TimeSpan
	Server    string  `json:"server"`
	BehindMs  float64 `json:"behind_ms"`            // at its first reported position, -1 for none
	StartedMs float64 `json:"started_ms,omitempty"` // where its process was restarted, and so was warming up
}

// Cause is a reason for lost worth, with the worth that was lost by it.
type Cause struct {
	Name     string             `json:"name"`
	Requests uint64             `json:"requests"`
	Worth    float64            `json:"worth"`
	ByClass  map[string]float64 `json:"by_class"`
}

// Finding is a moment or a span that an engineer should look at. A grave one means that clients were affected, or that the
// records are incomplete.
type Finding struct {
	At     float64 `json:"at_ms"`
	To     float64 `json:"to_ms,omitempty"`
	Kind   string  `json:"kind"`
	Group  int64   `json:"group"`
	Server string  `json:"server,omitempty"`
	Pooler string  `json:"pooler,omitempty"`
	File   string  `json:"file,omitempty"`
	Text   string  `json:"text"`
	Grave  bool    `json:"grave"`
}

// Unknown is a request whose answer is not in the records. ID is the xxhash64 of the client's id.
type Unknown struct {
	At     float64 `json:"at_ms"`
	Pooler string  `json:"pooler"`
	Class  string  `json:"class"`
	Group  int64   `json:"group"`
	ID     string  `json:"id"`
}

// Series is what changes over time, in cells of equal width.
type Series struct {
	From    float64                 `json:"from_ms"`
	WidthMs float64                 `json:"width_ms"`
	Classes []ClassSeries           `json:"classes"`
	Servers map[string]ServerSeries `json:"servers"`
	Pools   map[string]PoolSeries   `json:"pools,omitempty"`
}

// ClassSeries is a class over time.
type ClassSeries struct {
	Name    string    `json:"name"`
	Asked   []float32 `json:"asked"`
	Got     []float32 `json:"got"`
	Served  []uint32  `json:"served"`
	Refused []uint32  `json:"refused"`
	Failed  []uint32  `json:"failed"`
	Repeats []uint32  `json:"repeats"`
	Unknown []uint32  `json:"unknown"`
}

// ServerSeries is a server over time.
type ServerSeries struct {
	OK    []uint32  `json:"ok"`
	Bad   []uint32  `json:"bad"`
	Lag   []float32 `json:"behind_ms"`
	Flags []uint8   `json:"flags"`
}

// Resolution of latency histograms.
const (
	maxLatencyUs  = 3_600_000_000 // an hour
	latencyDigits = 2             // significant decimal digits
)

// Percentages of the reported quantiles.
const (
	median = 50
	tail   = 99
)

// latencies is a histogram of answer times.
type latencies struct{ histogram *hdrhistogram.Histogram }

// add counts an answer time in milliseconds.
func (t *latencies) add(ms float64) {
	if t.histogram == nil {
		t.histogram = hdrhistogram.New(1, maxLatencyUs, latencyDigits)
	}
	_ = t.histogram.RecordValue(int64(min(max(1, ms*1000), maxLatencyUs)))
}

// quantile returns the answer time in milliseconds that the given percentage of answers did not exceed, 0 without answers.
func (t *latencies) quantile(percent float64) float64 {
	if t.histogram == nil {
		return 0
	}
	return float64(t.histogram.ValueAtQuantile(percent)) / 1000
}

// Finish ends the input: open requests become unknown, chains that wait for a retry are abandoned, and failures that last until the
// end of the records are reported.
func (m *Model) Finish() {
	for r := range m.runs {
		m.End(r, true)
	}
	m.finishPools()
	for chain := m.awaitingRetry.first(); chain != nil; chain = m.awaitingRetry.first() {
		m.awaitingRetry.pop()
		chain.queued = false
		if !chain.done {
			m.abandon(chain)
		}
	}
	for _, s := range m.servers {
		s.extendToPresent(m)
		switch {
		case s.unresponsive:
			s.Silent = append(s.Silent, TimeSpan{From: s.firstTimeoutFrom})
			m.addFinding(Finding{At: s.firstTimeoutFrom, Kind: "silent", Server: s.Name, Group: s.Group, Grave: true,
				Text: "took requests and answered none until the records end"})
		case s.connectFailures >= unresponsiveAttempts:
			m.addFinding(Finding{At: s.firstConnectFailureAt, Kind: "down", Server: s.Name, Group: s.Group, Grave: true,
				Text: "could not be reached until the records end"})
		}
	}
	for _, g := range m.groups {
		if g.unservedWrites > 0 && g.lastWriter != "" && m.to-g.lastWriteAt >= interruptionMs {
			m.addFinding(Finding{At: g.lastWriteAt, Kind: "interruption", Group: g.id, Grave: true,
				Text: "no write was served until the records end; " + g.lastWriter + " served the last"})
		}
	}
}

// View returns what the events so far show. The model may take further events afterwards.
func (m *Model) View() *View {
	v := &View{From: m.from, To: m.to, Events: m.events, Lost: m.lost, Early: m.early, Unlisted: m.unlisted,
		Findings: slices.Clone(m.findings), Faults: slices.Clone(m.faults), Unknown: slices.Clone(m.unknown), Unknowns: m.unknowns}
	if m.members != nil {
		v.Members = m.members.View()
	}
	v.Fleet, v.Limits, v.Zones = m.fleet.view(), m.limits.view(), m.zones.view()
	v.Avoided = m.avoided.view(v.Fleet)
	v.Recoveries = slices.Clone(m.recoveries)
	slices.SortStableFunc(v.Findings, func(a, b Finding) int { return cmp.Compare(a.At, b.At) })
	slices.SortStableFunc(v.Unknown, func(a, b Unknown) int { return cmp.Compare(a.At, b.At) })
	v.Total = ClassView{Name: "all", Reasons: map[string]uint64{}}
	for _, c := range m.classes {
		x := c.ClassView
		x.Reasons = map[string]uint64{}
		for k, n := range c.Reasons {
			x.Reasons[k] = n
			v.Total.Reasons[k] += n
		}
		x.P50, x.P99 = c.Times.quantile(median), c.Times.quantile(tail)
		x.Worst, x.WorstAt = c.window.Worst()
		x.Ratio = ratio(x.WorthGot, x.WorthAsked)
		v.Classes = append(v.Classes, x)
		v.Total.add(&x)
		if c.Times.histogram != nil {
			if v.Total.Times.histogram == nil {
				v.Total.Times.add(0)
				v.Total.Times.histogram.Reset()
			}
			v.Total.Times.histogram.Merge(c.Times.histogram)
		}
	}
	t := &v.Total
	t.Ratio, t.P50, t.P99 = ratio(t.WorthGot, t.WorthAsked), t.Times.quantile(median), t.Times.quantile(tail)
	t.Worst, t.WorstAt = m.service.Worst()
	v.poolers(m)
	v.fleet(m)
	for _, c := range m.causes {
		v.Causes = append(v.Causes, *c)
	}
	slices.SortFunc(v.Causes, func(a, b Cause) int { return cmp.Or(cmp.Compare(b.Worth, a.Worth), cmp.Compare(a.Name, b.Name)) })
	v.series(m)
	return v
}

// add adds the counts of another class.
func (c *ClassView) add(x *ClassView) {
	c.Requests += x.Requests
	c.Repeats += x.Repeats
	c.Orphans += x.Orphans
	c.Asked += x.Asked
	c.Served += x.Served
	c.Refused += x.Refused
	c.Failed += x.Failed
	c.Gone += x.Gone
	c.Unknown += x.Unknown
	c.InTime += x.InTime
	c.Late += x.Late
	c.Attempts += x.Attempts
	c.Border += x.Border
	c.WorthAsked += x.WorthAsked
	c.WorthInTime += x.WorthInTime
	c.WorthGot += x.WorthGot
	c.WorthBorder += x.WorthBorder
}

// ratio is 1 where nothing was asked for.
func ratio(got, asked float64) float64 {
	if asked == 0 {
		return 1
	}
	return got / asked
}

// poolers adds the poolers, with the differences of their clocks. The positions of primaries are up to date, so the least lag of
// such a position behind a pooler's clock shows that clock's offset.
func (v *View) poolers(m *Model) {
	var least []float64
	for _, p := range m.poolers {
		if p.hasPosition {
			least = append(least, p.leastLagMs)
		}
	}
	slices.Sort(least)
	for _, p := range m.poolers {
		x := p.PoolerView
		x.Away = slices.Clone(p.Away)
		if p.hasPosition && len(least) > 1 {
			x.AheadMs = p.leastLagMs - least[len(least)/2]
			if math.Abs(x.AheadMs) >= skewMs {
				v.Findings = append(v.Findings, Finding{At: x.From, To: x.To, Kind: "clock", Pooler: x.Name,
					Text: "its clock differs from the others' by " + signed(x.AheadMs) + "; its times stand here as it told them"})
			}
		}
		v.Poolers = append(v.Poolers, x)
	}
	if len(least) > 1 {
		v.SpreadMs = least[len(least)-1] - least[0]
	}
	slices.SortFunc(v.Poolers, func(a, b PoolerView) int { return cmp.Compare(a.Name, b.Name) })
}

// fleet adds groups and servers.
func (v *View) fleet(m *Model) {
	for _, g := range m.groups {
		x := GroupView{Group: g.id, More: g.unlistedGaps}
		for _, s := range g.servers {
			x.Servers = append(x.Servers, s.Name)
		}
		slices.Sort(x.Servers)
		for _, p := range g.gaps {
			y := p.Gap
			wrong := -1.0
			for _, at := range p.listedAt {
				wrong = max(wrong, at-p.FirstFailed, 0)
			}
			y.ListWrongMs = wrong
			x.Gaps = append(x.Gaps, y)
		}
		v.Groups = append(v.Groups, x)
	}
	slices.SortFunc(v.Groups, func(a, b GroupView) int { return cmp.Compare(a.Group, b.Group) })
	for _, s := range m.servers {
		x := s.ServerView
		x.Results = map[string]uint64{}
		for k, n := range s.Results {
			x.Results[k] = n
		}
		x.Primary, x.Drains, x.Silent, x.Returns = slices.Clone(s.Primary), slices.Clone(s.Drains), slices.Clone(s.Silent), slices.Clone(s.Returns)
		v.Servers = append(v.Servers, x)
	}
	slices.SortFunc(v.Servers, func(a, b ServerView) int {
		return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(a.Name, b.Name))
	})
}

// series adds classes, servers and pools over time.
func (v *View) series(m *Model) {
	n := 0
	if m.from > 0 {
		n = m.index(m.to) + 1
	}
	v.Series = Series{From: m.from, WidthMs: m.width, Servers: map[string]ServerSeries{}}
	for _, c := range m.classes {
		x := ClassSeries{
			Name:    c.Name,
			Asked:   make([]float32, n),
			Got:     make([]float32, n),
			Served:  make([]uint32, n),
			Refused: make([]uint32, n),
			Failed:  make([]uint32, n),
			Repeats: make([]uint32, n),
			Unknown: make([]uint32, n),
		}
		for i, k := range m.cells[c.index] {
			x.Asked[i], x.Got[i], x.Served[i], x.Refused[i] = k.asked, k.got, k.served, k.refused
			x.Failed[i], x.Repeats[i], x.Unknown[i] = k.failed, k.repeats, k.unknown
		}
		v.Series.Classes = append(v.Series.Classes, x)
	}
	for _, s := range m.servers {
		s.extendToPresent(m)
		x := ServerSeries{OK: make([]uint32, n), Bad: make([]uint32, n), Lag: make([]float32, n), Flags: make([]uint8, n)}
		for i, k := range s.cells {
			x.OK[i], x.Bad[i], x.Lag[i], x.Flags[i] = k.ok, k.failed, k.lag, k.flags
		}
		v.Series.Servers[s.Name] = x
	}
	v.pools(m, n)
}

// LostWorth returns the worth that was asked for and not gained.
func (v *View) LostWorth() float64 { return v.Total.WorthAsked - v.Total.WorthGot }

// Span formats a span in milliseconds, rounded for reading.
func Span(ms float64) string {
	d := time.Duration(ms * float64(time.Millisecond))
	switch {
	case d < time.Second:
		return d.Round(time.Millisecond).String()
	case d < time.Minute:
		return d.Round(10 * time.Millisecond).String()
	}
	return d.Round(time.Second).String()
}

// signed formats a span with its sign.
func signed(ms float64) string {
	if ms < 0 {
		return "-" + Span(-ms)
	}
	return "+" + Span(ms)
}
