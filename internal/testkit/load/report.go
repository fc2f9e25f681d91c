package load

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"math"
	"strconv"
	"strings"
	"text/tabwriter"
)

//go:embed report.html
var page string

// outcomes are all outcomes, in the order of the columns.
var outcomes = []Outcome{Served, Refused, Failed, Unanswered, Broken, Dropped}

// Text writes a result as text for a terminal.
func Text(w io.Writer, r *Result) error {
	fmt.Fprintf(w, "%d due in %.1f s, %.0f served a second; this program was late by %.1f ms at most\n\n", r.Due, r.Seconds, r.PerSecond, r.Behind)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(t, "class\tdue")
	for _, outcome := range outcomes {
		fmt.Fprintf(t, "\t%s", outcome)
	}
	fmt.Fprintln(t, "\tp50 ms\tp90\tp99\tp99.9\tmost")
	for _, c := range r.Classes {
		fmt.Fprintf(t, "%s\t%d", c.Class, c.Due)
		for _, outcome := range outcomes {
			fmt.Fprintf(t, "\t%d", c.Outcomes[outcome])
		}
		fmt.Fprintf(t, "\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\n", c.P50, c.P90, c.P99, c.P999, c.Most)
	}
	return t.Flush()
}

// curve is a line of a chart, as an SVG path.
type curve struct {
	Name, Path, Color string
}

// chart is a chart of report.html. The template reads these fields by name.
type chart struct {
	Title  string
	Lines  []curve
	YTicks []tick
	XTicks []tick
}

// tick is a mark on an axis.
type tick struct {
	At   float64
	Text string
}

// chartW and chartH are the size of a chart in pixels.
const chartW, chartH = 800.0, 180.0

// HTML writes a result as one self-contained file.
func HTML(w io.Writer, r *Result, title string) error {
	t, err := template.New("load").Funcs(template.FuncMap{
		"num":   func(x float64) string { return strconv.FormatFloat(x, 'f', 1, 64) },
		"ended": func(c ClassResult, e Outcome) uint64 { return c.Outcomes[e] },
	}).Parse(page)
	if err != nil {
		return fmt.Errorf("template: %w", err)
	}
	data := struct {
		Title   string
		R       *Result
		Endings []Outcome
		Charts  []chart
	}{title, r, outcomes, []chart{courseChart(r), quantileChart(r)}}
	if err := t.Execute(w, data); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

// courseChart charts the served requests a second and the p99 response time over the run, on one scale.
func courseChart(r *Result) chart {
	c := chart{Title: "Served a second (blue), and p99 in ms (red)"}
	top := 1.0
	for _, s := range r.Course {
		top = max(top, s.PerSecond, s.P99)
	}
	line := func(name, color string, of func(Snapshot) float64) {
		var b strings.Builder
		for i, s := range r.Course {
			op := 'L'
			if i == 0 {
				op = 'M'
			}
			fmt.Fprintf(&b, "%c%.1f %.1f", op, chartW*float64(i)/float64(max(1, len(r.Course)-1)), chartH*(1-of(s)/top))
		}
		c.Lines = append(c.Lines, curve{name, b.String(), color})
	}
	line("served a second", "#1f6feb", func(s Snapshot) float64 { return s.PerSecond })
	line("p99 ms", "#d1242f", func(s Snapshot) float64 { return s.P99 })
	for i := range 5 {
		c.YTicks = append(c.YTicks, tick{chartH * (1 - float64(i)/4), strconv.FormatFloat(top*float64(i)/4, 'g', 3, 64)})
		c.XTicks = append(c.XTicks, tick{chartW * float64(i) / 4, strconv.FormatFloat(r.Seconds*float64(i)/4, 'f', 0, 64) + " s"})
	}
	return c
}

// quantileChart charts response times over quantiles. The x axis is logarithmic: each step to the right is ten times as rare.
func quantileChart(r *Result) chart {
	c := chart{Title: "Time of an answer in ms, by how rare it is"}
	const nines = 4.0 // steps of the x axis, up to 99.99%
	colors := []string{"#1f6feb", "#2da44e", "#bf8700", "#8250df", "#d1242f"}
	top := 1.0
	for _, x := range r.Classes {
		top = max(top, x.Most)
	}
	for k, x := range r.Classes {
		if x.Outcomes[Served] == 0 {
			continue
		}
		var b strings.Builder
		total := float64(x.Outcomes[Served])
		for i, bucket := range x.Distribution {
			rare := 1 - float64(bucket.Count)/total
			at := nines
			if rare > 0 {
				at = min(nines, -math.Log10(rare))
			}
			op := 'L'
			if i == 0 {
				op = 'M'
			}
			fmt.Fprintf(&b, "%c%.1f %.1f", op, chartW*at/nines, chartH*(1-bucket.UpToMs/top))
		}
		c.Lines = append(c.Lines, curve{x.Class, b.String(), colors[k%len(colors)]})
	}
	for i := range 5 {
		c.YTicks = append(c.YTicks, tick{chartH * (1 - float64(i)/4), strconv.FormatFloat(top*float64(i)/4, 'g', 3, 64)})
		c.XTicks = append(c.XTicks, tick{chartW * float64(i) / 4, []string{"all", "90%", "99%", "99.9%", "99.99%"}[i]})
	}
	return c
}
