package report

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"math"
	"strconv"
	"strings"

	"beechgrade/internal/testkit/endpointreport"
	"beechgrade/internal/testkit/incident"
)

//go:embed report.html
var page string

// Bounds on the page, whatever the records hold.
const (
	chartWidth, chartHeight           = 900.0, 180.0
	smallChartWidth, smallChartHeight = 320.0, 90.0
	laneWidth, laneHeightPx           = 900.0, 14.0
	maxColumns                        = 450   // points of a line, and stretches of a server's lane
	maxStretches                      = 30000 // of all lanes together
	maxRows                           = 400   // findings that are listed
	maxListed                         = 200   // unknown requests, returns, gaps that are listed
	maxPoolCharts                     = 24
	minLaneColumns                    = 40     // columns of a lane, however many servers there are
	maxLagMs                          = 1000.0 // ms behind that fill a lane
)

// Chart is a plot of lines over time.
type Chart struct {
	Title, Unit    string
	W, H           float64
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

// Band marks a stretch of time.
type Band struct {
	X, W         float64
	Class, Title string
}

// Tick is a mark on an axis.
type Tick struct {
	At   float64
	Text string
}

// Lane is a server over time.
type Lane struct {
	Server *incident.ServerView
	Bands  []Band
	Lag    string
}

// GroupLanes are the servers of one group.
type GroupLanes struct {
	incident.GroupView
	Lanes []Lane
}

// PoolChart is a pool with its clients that wait and its connections in use over time.
type PoolChart struct {
	incident.PoolView
	Chart Chart
}

type pageData struct {
	V            *incident.View
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

// HTML writes the report as one file that needs nothing else.
func HTML(w io.Writer, view *incident.View, title string) error {
	t, err := template.New("report").Funcs(template.FuncMap{
		"clock": Clock, "span": incident.Span, "who": Who, "known": known, "started": started, "safe": Safe,
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
	d := &pageData{V: view, Title: Safe(title), LaneW: laneWidth, LaneH: laneHeightPx}
	d.charts()
	d.lanes()
	d.lists()
	d.Fleet, d.MoreFleet = FleetLanes(view, laneWidth)
	d.Avoided = AvoidedRows(view)
	d.Avoided = d.Avoided[:min(len(d.Avoided), maxRows)]
	d.Limits, d.MoreLimits = LimitLanes(view, laneWidth)
	d.Zones, d.ZoneGoes, d.MoreZones = ZoneLanes(view, laneWidth)
	if view.Members != nil {
		d.Members, d.Judged = MemberRows(view.Members), MemberCounts(view.Members)
		d.MoreMembers = max(0, len(d.Members)-maxRows)
		d.Members, d.Judgements = d.Members[:min(len(d.Members), maxRows)], view.Members.Decisions[:min(len(view.Members.Decisions), maxRows)]
	}
	if err := t.Execute(w, d); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

func share(x, of float64) string {
	if of <= 0 {
		return "0%"
	}
	return strconv.FormatFloat(100*x/of, 'f', 1, 64) + "%"
}

func date(ms float64) string {
	if ms <= 0 {
		return "no date"
	}
	return dateOf(ms)
}

// columns joins a series' cells into at most n columns by a function.
func columns(cells, n int, join func(column, cell int)) int {
	if cells == 0 {
		return 0
	}
	per := (cells + n - 1) / n
	for i := range cells {
		join(i/per, i)
	}
	return (cells + per - 1) / per
}

func (d *pageData) charts() {
	s := d.V.Series
	cells := 0
	for _, c := range s.Classes {
		cells = max(cells, len(c.Asked))
	}
	n := min(maxColumns, cells)
	if n == 0 {
		return
	}
	sum := func(of func(c *incident.ClassSeries, i int) float64, class int) []float64 {
		out := make([]float64, n)
		used := columns(cells, n, func(col, i int) {
			for k := range s.Classes {
				if class < 0 || k == class {
					out[col] += of(&s.Classes[k], i)
				}
			}
		})
		return out[:used]
	}
	asked := func(c *incident.ClassSeries, i int) float64 { return float64(c.Asked[i]) }
	got := func(c *incident.ClassSeries, i int) float64 { return float64(c.Got[i]) }
	ratio := func(class int) []float64 { return ratios(sum(asked, class), sum(got, class)) }
	used := len(sum(asked, -1))
	perS := float64(used) / (float64(cells) * s.WidthMs / 1000)
	rate := func(of func(c *incident.ClassSeries, i int) float64) []float64 {
		xs := sum(of, -1)
		for i := range xs {
			xs[i] *= perS
		}
		return xs
	}
	d.Columns = used
	d.Service = d.chart(chartWidth, chartHeight, 6, "Service: worth answered in time over worth asked for", "", 1, []string{"service"}, []string{"l0"}, ratio(-1))
	d.Counts = d.chart(chartWidth, chartHeight, 6, "Requests a second, by how they ended", "/s", 0, []string{"served", "refused", "failed", "clients' retries"}, []string{"l0", "l1", "l2", "l3"},
		rate(func(c *incident.ClassSeries, i int) float64 { return float64(c.Served[i]) }),
		rate(func(c *incident.ClassSeries, i int) float64 { return float64(c.Refused[i]) }),
		rate(func(c *incident.ClassSeries, i int) float64 { return float64(c.Failed[i]) }),
		rate(func(c *incident.ClassSeries, i int) float64 { return float64(c.Repeats[i]) }))
	for _, p := range d.V.Pools {
		x := PoolChart{PoolView: p}
		if len(d.Pools) < maxPoolCharts {
			w, u := make([]float64, n), make([]float64, n)
			series := s.Pools[p.Name]
			columns(len(series.Waiting), n, func(col, i int) {
				w[col], u[col] = max(w[col], float64(series.Waiting[i])), max(u[col], float64(series.Used[i]))
			})
			x.Chart = d.chart(smallChartWidth, smallChartHeight, 2, Safe(p.Name), "", 0, []string{"clients waiting", "connections in use"}, []string{"l1", "l0"}, w[:used], u[:used])
		}
		d.Pools = append(d.Pools, x)
	}
	for k, c := range s.Classes {
		if k < 12 {
			d.Classes = append(d.Classes, d.chart(smallChartWidth, smallChartHeight, 2, Safe(c.Name), "", 1, []string{"service"}, []string{"l0"}, ratio(k)))
		}
	}
}

// ratios smooths over a few columns, so that a stretch in which little was asked does not look like an outage.
func ratios(asked, got []float64) []float64 {
	out := make([]float64, len(asked))
	for i := range asked {
		var a, g float64
		for k := max(0, i-2); k <= min(len(asked)-1, i+2); k++ {
			a, g = a+asked[k], g+got[k]
		}
		out[i] = 1
		if a > 0 {
			out[i] = g / a
		}
	}
	return out
}

// chart lays lines out. With top 0 the scale fits the largest value.
func (d *pageData) chart(w, h float64, ticks int, title, unit string, top float64, names, classes []string, lines ...[]float64) Chart {
	c := Chart{Title: title, Unit: unit, W: w, H: h, XTicks: d.ticks(w, ticks)}
	if top == 0 {
		for _, l := range lines {
			for _, x := range l {
				top = max(top, x)
			}
		}
		top = roundUpScale(top)
	}
	for i := 0; i <= 4; i++ {
		y := float64(i) / 4
		c.YTicks = append(c.YTicks, Tick{At: h * (1 - y), Text: strconv.FormatFloat(top*y, 'g', 3, 64)})
	}
	for i, l := range lines {
		c.Lines = append(c.Lines, Line{Name: names[i], Class: classes[i], Path: path(l, top, w, h)})
	}
	for _, g := range d.V.Groups {
		for _, x := range g.Gaps {
			if len(c.Bands) < maxListed {
				c.Bands = append(c.Bands, d.band(x.From, x.To, w, "gap", fmt.Sprintf("group %d: no write served for %s", x.Group, incident.Span(x.To-x.From))))
			}
		}
	}
	return c
}

// roundUpScale rounds a scale's end up.
func roundUpScale(x float64) float64 {
	if x <= 0 {
		return 1
	}
	unit := math.Pow(10, math.Floor(math.Log10(x)))
	for _, m := range []float64{1, 2, 2.5, 5, 10} {
		if x <= m*unit {
			return m * unit
		}
	}
	return 10 * unit
}

func path(l []float64, top, w, h float64) string {
	b := &strings.Builder{}
	for i, x := range l {
		op := 'L'
		if i == 0 {
			op = 'M'
		}
		fmt.Fprintf(b, "%c%s %s", op, formatTenth(w*(float64(i)+0.5)/float64(len(l))), formatTenth(h*(1-min(1, x/top))))
	}
	return b.String()
}

func formatTenth(x float64) string { return strconv.FormatFloat(math.Round(x*10)/10, 'f', -1, 64) }

// band marks a stretch of the records' time.
func (d *pageData) band(from, to, w float64, class, title string) Band {
	if to == 0 {
		to = d.V.To
	}
	x0, x1 := d.x(from, w), d.x(to, w)
	return Band{X: x0, W: max(1, x1-x0), Class: class, Title: title}
}

func (d *pageData) x(at, w float64) float64 {
	if d.V.To <= d.V.From {
		return 0
	}
	return math.Round(10*w*min(1, max(0, (at-d.V.From)/(d.V.To-d.V.From)))) / 10
}

func (d *pageData) ticks(w float64, n int) []Tick {
	var out []Tick
	for i := 0; i <= n; i++ {
		at := d.V.From + (d.V.To-d.V.From)*float64(i)/float64(n)
		out = append(out, Tick{At: w * float64(i) / float64(n), Text: Clock(at)[:min(8, len(Clock(at)))]})
	}
	return out
}

var flagNames = []struct {
	flag        uint8
	class, name string
}{
	{incident.FlagRemoved, "gone", "left the list"},
	{incident.FlagBroken, "broken", "could not be reached"},
	{incident.FlagUnresponsive, "silent", "took requests and answered none"},
	{incident.FlagDraining, "drain", "drains"},
	{incident.FlagPrimary, "primary", "primary"},
	{incident.FlagWarmingUp, "cold", "cold"},
	{incident.FlagReplica, "replica", "replica"},
}

// state is the gravest that a server's flags say.
func state(f uint8) (class, name string) {
	for _, n := range flagNames {
		if f&n.flag != 0 {
			return n.class, n.name
		}
	}
	return "unheard", "nothing told"
}

func (d *pageData) lanes() {
	d.Axis = d.ticks(laneWidth, 6)
	servers := map[string]*incident.ServerView{}
	for i := range d.V.Servers {
		servers[d.V.Servers[i].Name] = &d.V.Servers[i]
	}
	n := min(maxColumns, max(minLaneColumns, maxStretches/max(1, len(servers))))
	for _, g := range d.V.Groups {
		x := GroupLanes{GroupView: g}
		for _, name := range g.Servers {
			if s := servers[name]; s != nil {
				x.Lanes = append(x.Lanes, d.lane(s, n))
			}
		}
		d.Groups = append(d.Groups, x)
	}
}

// lane joins a server's cells into stretches of one state, with the lag as a line over them.
func (d *pageData) lane(s *incident.ServerView, n int) Lane {
	cells := d.V.Series.Servers[s.Name]
	flags, lag := make([]uint8, n), make([]float64, n)
	used := columns(len(cells.Flags), n, func(col, i int) {
		flags[col] |= cells.Flags[i]
		lag[col] = max(lag[col], float64(cells.Lag[i]))
	})
	l := Lane{Server: s}
	if used == 0 {
		return l
	}
	w := laneWidth / float64(used)
	from := 0
	for i := 1; i <= used; i++ {
		class, name := state(flags[from])
		if i < used {
			if c, _ := state(flags[i]); c == class {
				continue
			}
		}
		at := d.V.From + (d.V.To-d.V.From)*float64(from)/float64(used)
		l.Bands = append(l.Bands, Band{X: math.Round(10*w*float64(from)) / 10, W: math.Round(10*w*float64(i-from)) / 10, Class: class,
			Title: name + " from " + Clock(at)})
		from = i
	}
	b := &strings.Builder{}
	drawn := false
	for i := range used { // only where there is something to see
		y := laneHeightPx * (1 - min(1, lag[i]/maxLagMs))
		if lag[i] < maxLagMs/20 {
			drawn = false
			continue
		}
		op := 'L'
		if !drawn {
			op = 'M'
		}
		drawn = true
		fmt.Fprintf(b, "%c%s %sh%s", op, formatTenth(w*float64(i)), formatTenth(y), formatTenth(w))
	}
	l.Lag = b.String()
	return l
}

func (d *pageData) lists() {
	view := d.V
	for _, f := range view.Findings { // the grave ones first, where there are too many
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
