package report

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"beechgrade/internal/testkit/incident"
)

// allClasses stands for all classes in place of the index of one.
const allClasses = -1

// classCount returns a count of a class in a cell of time.
type classCount func(class *incident.ClassSeries, cell int) float64

func askedWorth(class *incident.ClassSeries, cell int) float64  { return float64(class.Asked[cell]) }
func gainedWorth(class *incident.ClassSeries, cell int) float64 { return float64(class.Got[cell]) }
func servedCount(class *incident.ClassSeries, cell int) float64 { return float64(class.Served[cell]) }
func refusedCount(class *incident.ClassSeries, cell int) float64 {
	return float64(class.Refused[cell])
}
func failedCount(class *incident.ClassSeries, cell int) float64 { return float64(class.Failed[cell]) }
func retryCount(class *incident.ClassSeries, cell int) float64  { return float64(class.Repeats[cell]) }

// charts draws the service, the requests, and each pool and class. A view without cells of time has no charts.
func (d *pageData) charts() {
	cells := seriesCells(&d.View.Series)
	if cells == 0 {
		return
	}
	asked := d.sum(askedWorth, allClasses)
	d.Columns = len(asked)
	d.Service = d.chart(chartOptions{Title: "Service: worth answered in time over worth asked for", Top: 1}, []chartLine{
		{"service", "l0", d.serviceRatio(allClasses)},
	})
	d.Counts = d.chart(chartOptions{Title: "Requests a second, by how they ended", Unit: "/s"}, []chartLine{
		{"served", "l0", d.rate(servedCount, cells)},
		{"refused", "l1", d.rate(refusedCount, cells)},
		{"failed", "l2", d.rate(failedCount, cells)},
		{"clients' retries", "l3", d.rate(retryCount, cells)},
	})
	for _, pool := range d.View.Pools {
		x := PoolChart{PoolView: pool}
		if len(d.Pools) < maxPoolCharts {
			x.Chart = d.poolChart(pool.Name, min(maxColumns, cells))
		}
		d.Pools = append(d.Pools, x)
	}
	for i, class := range d.View.Series.Classes[:min(maxClassCharts, len(d.View.Series.Classes))] {
		d.Classes = append(d.Classes, d.chart(chartOptions{Title: Safe(class.Name), Top: 1, Small: true}, []chartLine{
			{"service", "l0", d.serviceRatio(i)},
		}))
	}
}

// poolChart draws the maxima of a pool's waiting clients and used connections.
func (d *pageData) poolChart(name string, n int) Chart {
	series := d.View.Series.Pools[name]
	waiting, used := make([]float64, n), make([]float64, n)
	columns(len(series.Waiting), n, func(column, cell int) {
		waiting[column] = max(waiting[column], float64(series.Waiting[cell]))
		used[column] = max(used[column], float64(series.Used[cell]))
	})
	return d.chart(chartOptions{Title: Safe(name), Small: true}, []chartLine{
		{"clients waiting", "l1", waiting[:d.Columns]},
		{"connections in use", "l0", used[:d.Columns]},
	})
}

// seriesCells is the number of cells of the longest class.
func seriesCells(series *incident.Series) (cells int) {
	for _, class := range series.Classes {
		cells = max(cells, len(class.Asked))
	}
	return cells
}

// columns merges cells into at most n columns: join is called for each cell with its column. It returns the number of columns used.
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

// sum returns a count of a class, or of all classes, for each column.
func (d *pageData) sum(count classCount, class int) []float64 {
	series := &d.View.Series
	cells := seriesCells(series)
	out := make([]float64, min(maxColumns, cells))
	used := columns(cells, len(out), func(column, cell int) {
		for i := range series.Classes {
			if class == allClasses || i == class {
				out[column] += count(&series.Classes[i], cell)
			}
		}
	})
	return out[:used]
}

// rate returns a count of all classes per second, for each column.
func (d *pageData) rate(count classCount, cells int) []float64 {
	out := d.sum(count, allClasses)
	perSecond := float64(len(out)) / (float64(cells) * d.View.Series.WidthMs / 1000)
	for i := range out {
		out[i] *= perSecond
	}
	return out
}

// serviceRatio returns, for each column, which part of the worth that was asked for was gained.
func (d *pageData) serviceRatio(class int) []float64 {
	return ratios(d.sum(askedWorth, class), d.sum(gainedWorth, class))
}

// smoothColumns is how many columns on each side are smoothed over.
const smoothColumns = 2

// ratios divides the gained worth by the worth asked for, smoothed over a few columns, so that columns with little demand do not
// look like an outage. The ratio is 1 where nothing was asked for.
func ratios(asked, got []float64) []float64 {
	out := make([]float64, len(asked))
	for i := range asked {
		var a, g float64
		for k := max(0, i-smoothColumns); k <= min(len(asked)-1, i+smoothColumns); k++ {
			a += asked[k]
			g += got[k]
		}
		out[i] = 1
		if a > 0 {
			out[i] = g / a
		}
	}
	return out
}

// chartOptions say how a chart is drawn.
type chartOptions struct {
	Title, Unit string
	Top         float64 // of the scale; 0 fits the largest value
	Small       bool
}

// chartLine is a line of a chart: its name, its CSS class, and its values.
type chartLine struct {
	Name, Class string
	Values      []float64
}

// chart draws lines over the records' time, with the gaps in writes shaded.
func (d *pageData) chart(options chartOptions, lines []chartLine) Chart {
	width, height, ticks := chartWidth, chartHeight, timeTicks
	if options.Small {
		width, height, ticks = smallChartWidth, smallChartHeight, smallTimeTicks
	}
	top := options.Top
	if top == 0 {
		top = roundUpScale(largest(lines))
	}
	c := Chart{
		Title:  options.Title,
		Unit:   options.Unit,
		Width:  width,
		Height: height,
		XTicks: d.ticks(width, ticks),
	}
	for i := 0; i <= valueTicks; i++ {
		y := float64(i) / valueTicks
		c.YTicks = append(c.YTicks, Tick{At: height * (1 - y), Text: strconv.FormatFloat(top*y, 'g', 3, 64)})
	}
	for _, line := range lines {
		c.Lines = append(c.Lines, Line{Name: line.Name, Class: line.Class, Path: path(line.Values, top, width, height)})
	}
	c.Bands = d.gapBands(width)
	return c
}

// valueTicks is how many parts the scale of values has.
const valueTicks = 4

// largest returns the largest value of all lines, at least 0.
func largest(lines []chartLine) (top float64) {
	for _, line := range lines {
		for _, x := range line.Values {
			top = max(top, x)
		}
	}
	return top
}

// gapBands returns bands that mark the gaps in writes of all groups.
func (d *pageData) gapBands(width float64) (bands []Band) {
	for _, g := range d.View.Groups {
		for _, gap := range g.Gaps {
			if len(bands) == maxListed {
				return bands
			}
			title := fmt.Sprintf("group %d: no write served for %s", gap.Group, incident.Span(gap.To-gap.From))
			bands = append(bands, d.band(gap.From, gap.To, width, "gap", title))
		}
	}
	return bands
}

// roundUpScale rounds the top of a scale up to a value that is easy to read.
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

// path returns an SVG path through values, each in the middle of its column.
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

// formatTenth formats a coordinate with one decimal at most.
func formatTenth(x float64) string { return strconv.FormatFloat(math.Round(x*10)/10, 'f', -1, 64) }
