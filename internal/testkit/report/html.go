package report

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"math"
	"strconv"

	"beechgrade/internal/testkit/endpointreport"
	"beechgrade/internal/testkit/incident"
)

//go:embed report.html
var page string

// Sizes of drawings in units of SVG, and bounds on the page.
const (
	chartWidth, chartHeight           = 900.0, 180.0
	smallChartWidth, smallChartHeight = 320.0, 90.0
	laneWidth, laneHeightPx           = 900.0, 14.0
	maxColumns                        = 450   // points of a line, and columns of a server's lane
	maxLaneColumns                    = 30000 // columns of all lanes together
	maxRows                           = 400   // listed findings
	maxListed                         = 200   // listed unknown requests, returns and gaps
	maxPoolCharts                     = 24
	maxClassCharts                    = 12
	timeTicks                         = 6      // of wide charts and lanes
	smallTimeTicks                    = 2      // of small charts
	clockChars                        = 8      // of a time on an axis: hh:mm:ss
	minLaneColumns                    = 40     // least columns of a lane, however many servers there are
	maxLagMs                          = 1000.0 // lag that fills the height of a lane
)

// Chart is a plot of lines over time.
type Chart struct {
	Title, Unit    string
	Width, Height  float64
	Lines          []Line
	Bands          []Band
	XTicks, YTicks []Tick
}

// Line is a line of a chart, as an SVG path.
type Line struct {
	Name, Class string
	Path        string
	Area        bool
}

// Band marks a span of time.
type Band struct {
	X, Width     float64
	Class, Title string
}

// Tick is a mark on an axis.
type Tick struct {
	At   float64
	Text string
}

// Lane is a server over time: bands of its states, and its lag as an SVG path in front of them.
type Lane struct {
	Server *incident.ServerView
	Bands  []Band
	Lag    string
}

// GroupLanes is a group with the lanes of its servers.
type GroupLanes struct {
	incident.GroupView
	Lanes []Lane
}

// PoolChart is a pool with its waiting clients and used connections over time.
type PoolChart struct {
	incident.PoolView
	Chart Chart
}

// pageData is what report.html shows. The template reads these fields by name.
type pageData struct {
	View         *incident.View
	Title        string
	Service      Chart
	Counts       Chart
	Classes      []Chart
	Pools        []PoolChart
	Groups       []GroupLanes
	Axis         []Tick
	LaneW, LaneH float64
	Findings     []incident.Finding
	MoreFindings int
	Unknown      []incident.Unknown
	Returns      []incident.Return
	Gaps         []incident.Gap
	Takeovers    int
	LongestGap   float64
	Columns      int
	Members      []MemberRow
	MoreMembers  int
	Limits       []LimitLane
	MoreLimits   int
	Fleet        []FleetLane
	MoreFleet    int
	Zones        []ZoneLane
	ZoneGoes     []ZoneLane
	MoreZones    int
	Avoided      []AvoidedRow
	Judged       []string
	Judgements   []endpointreport.Decision
}

// HTML writes the report as one file that refers to no other files. Names from the records are escaped.
func HTML(w io.Writer, view *incident.View, title string) error {
	t, err := template.New("report").Funcs(template.FuncMap{
		"clock": Clock, "span": incident.Span, "who": Subject, "known": formatSpan, "started": formatStart, "safe": Safe,
		"pct":   func(x float64) string { return strconv.FormatFloat(100*x, 'f', 2, 64) + "%" },
		"num":   func(x float64) string { return strconv.FormatFloat(x, 'f', 1, 64) },
		"share": func(x, of float64) string { return share(x, of) },
		"kb":    func(n int64) string { return strconv.FormatFloat(float64(n)/(1<<20), 'f', 1, 64) + " MB" },
		"date":  date,
		"ends":  Ends,
		"add":   func(a, b float64) float64 { return a + b },
		"sub":   func(a, b float64) float64 { return a - b },
		"count": func(n int) uint64 { return uint64(n) },
	}).Parse(page)
	if err != nil {
		return fmt.Errorf("template: %w", err)
	}
	if err := t.Execute(w, newPageData(view, title)); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

// newPageData prepares what the page shows of a view.
func newPageData(view *incident.View, title string) *pageData {
	d := &pageData{View: view, Title: Safe(title), LaneW: laneWidth, LaneH: laneHeightPx}
	d.charts()
	d.lanes()
	d.lists()
	d.Fleet, d.MoreFleet = FleetLanes(view, laneWidth)
	d.Avoided = AvoidedRows(view)
	d.Avoided = d.Avoided[:min(len(d.Avoided), maxRows)]
	d.Limits, d.MoreLimits = LimitLanes(view, laneWidth)
	d.Zones, d.ZoneGoes, d.MoreZones = ZoneLanes(view, laneWidth)
	d.members()
	return d
}

// members lists what the sources of the endpoint list reported, where there are several.
func (d *pageData) members() {
	view := d.View.Members
	if view == nil {
		return
	}
	rows := MemberRows(view)
	d.Members = rows[:min(len(rows), maxRows)]
	d.MoreMembers = max(0, len(rows)-maxRows)
	d.Judged = MemberCounts(view)
	d.Judgements = view.Decisions[:min(len(view.Decisions), maxRows)]
}

// share formats a part of a whole in percent.
func share(x, of float64) string {
	if of <= 0 {
		return "0%"
	}
	return strconv.FormatFloat(100*x/of, 'f', 1, 64) + "%"
}

// date formats the day of a Unix time in milliseconds.
func date(ms float64) string {
	if ms <= 0 {
		return "no date"
	}
	return dateOf(ms)
}

// band marks a span of the records' time in a drawing of width w. It lasts to the end of the records where to is 0.
func (d *pageData) band(from, to, w float64, class, title string) Band {
	if to == 0 {
		to = d.View.To
	}
	x0, x1 := d.xOf(from, w), d.xOf(to, w)
	return Band{X: x0, Width: max(1, x1-x0), Class: class, Title: title}
}

// xOf returns the x coordinate of a time in a drawing of width w.
func (d *pageData) xOf(at, w float64) float64 {
	if d.View.To <= d.View.From {
		return 0
	}
	return math.Round(10*w*min(1, max(0, (at-d.View.From)/(d.View.To-d.View.From)))) / 10
}

// ticks returns n+1 time marks of an axis of width w.
func (d *pageData) ticks(w float64, n int) []Tick {
	var out []Tick
	for i := 0; i <= n; i++ {
		at := d.View.From + (d.View.To-d.View.From)*float64(i)/float64(n)
		out = append(out, Tick{At: w * float64(i) / float64(n), Text: Clock(at)[:min(clockChars, len(Clock(at)))]})
	}
	return out
}

// lists fills the tables. Where there are too many findings, only grave ones are listed.
func (d *pageData) lists() {
	view := d.View
	for _, f := range view.Findings {
		if f.Grave || len(view.Findings) <= maxRows {
			d.Findings = append(d.Findings, f)
		}
	}
	d.Findings = d.Findings[:min(len(d.Findings), maxRows)]
	d.MoreFindings = len(view.Findings) - len(d.Findings) + int(view.Unlisted)
	d.Unknown = view.Unknown[:min(len(view.Unknown), maxListed)]
	for _, s := range view.Servers {
		d.Returns = append(d.Returns, s.Returns...)
	}
	d.Returns = d.Returns[:min(len(d.Returns), maxListed)]
	for _, g := range view.Groups {
		for _, x := range g.Gaps {
			if x.Old != x.New {
				d.Takeovers++
			}
			d.LongestGap = max(d.LongestGap, x.To-x.From)
			d.Gaps = append(d.Gaps, x)
		}
	}
	d.Gaps = d.Gaps[:min(len(d.Gaps), maxListed)]
}
