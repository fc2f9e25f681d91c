package lab

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

// Size of a plot in pixels, and the maximum number of plots.
const (
	plotW, plotH = 420.0, 200.0
	maxPlots     = 64
)

// plot shows a metric over the values of an axis, with a line for each combination of the other axes' values.
type plot struct {
	Title  string
	W, H   float64
	Lines  []plotLine
	XTicks []tick
	YTicks []tick
}

// plotLine is a line of a plot. Path and Band are SVG paths.
type plotLine struct {
	Name  string // labels of the cell on the other axes
	Color string
	Path  string // through the means
	Band  string // around the confidence intervals
	Dots  []dot
}

// dot marks a mean. Text shows on hovering.
type dot struct {
	X, Y float64
	Text string
}

// tick is a mark on an axis of a plot.
type tick struct {
	At   float64
	Text string
}

// pageData is what report.html shows. The template reads these fields by name.
type pageData struct {
	Name        string
	Runs        int
	Cells       []cellRow
	Metrics     []string
	Plots       []plot
	Comparisons []*Comparison
	Lost        []lostRow
	Broken      []Line // the first runs that broke a rule
}

// cellRow is a cell with the mean of each metric.
type cellRow struct {
	Name   string
	Runs   int
	Values []string // in the order of Metrics
}

// lostRow is the lost worth of a cell, by outcome.
type lostRow struct {
	Cell  string
	Parts []lostPart
}

// lostPart is a part of a bar of 300 pixels, which stands for all of a cell's worth.
type lostPart struct {
	Name  string
	Part  float64 // of the worth asked for
	X, W  float64 // left edge and width in pixels
	Color string
}

// colors are those of lines and parts, in turn.
var colors = []string{"#1f6feb", "#d1242f", "#2da44e", "#bf8700", "#8250df", "#0a7ea4", "#bc4c00", "#57606a"}

// HTML writes a report on a table as one self-contained file.
func HTML(w io.Writer, x *Experiment, lines []Line) error {
	t, err := template.New("lab").Funcs(template.FuncMap{
		"num": func(v float64) string { return number(v) }, "pct": func(v float64) string { return fmt.Sprintf("%.2f%%", 100*v) },
	}).Parse(page)
	if err != nil {
		return fmt.Errorf("template: %w", err)
	}
	d := &pageData{Name: x.Name, Runs: len(lines)}
	for _, m := range Metrics() {
		d.Metrics = append(d.Metrics, m.Name)
	}
	cells := ByCell(lines)
	for _, c := range cells {
		row := cellRow{Name: c.Name, Runs: len(c.Lines)}
		for _, m := range Metrics() {
			mean, low, high := Mean(m, c.Lines)
			row.Values = append(row.Values, fmt.Sprintf("%s (%s to %s)", number(mean), number(low), number(high)))
		}
		d.Cells = append(d.Cells, row)
		d.Lost = append(d.Lost, lostOf(c))
		for _, l := range c.Lines {
			if l.breaches() > 0 && len(d.Broken) < 50 {
				d.Broken = append(d.Broken, l)
			}
		}
	}
	d.plots(x, lines)
	if len(cells) > 1 {
		if d.Comparisons, err = CompareAll(lines); err != nil {
			return err
		}
	}
	if err := t.Execute(w, d); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

// number formats a value with four significant digits, or as an integer from 100 on; "?" if it is infinite.
func number(v float64) string {
	switch {
	case math.IsInf(v, 0):
		return "?"
	case v == 0 || math.Abs(v) >= 100:
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'g', 4, 64)
}

// lostOf returns the shares of a cell's worth that were lost, by the outcome of the last attempt of each client request.
func lostOf(c CellLines) lostRow {
	row := lostRow{Cell: c.Name}
	sum, asked := map[string]float64{}, 0.0
	for _, l := range c.Lines {
		asked += l.Worth
		for k, v := range l.Lost {
			sum[k] += v
		}
	}
	left := 0.0
	for i, name := range []string{"refused", "failed", "late", "no answer", "broken", "unmade"} {
		if sum[name] > 0 && asked > 0 {
			row.Parts = append(row.Parts, lostPart{
				Name:  name,
				Part:  sum[name] / asked,
				X:     left,
				W:     300 * sum[name] / asked,
				Color: colors[i%len(colors)],
			})
			left += 300 * sum[name] / asked
		}
	}
	return row
}

// plots draws each metric except the last, the number of broken rules, over each axis that has more than one value.
func (d *pageData) plots(x *Experiment, lines []Line) {
	for i, axis := range x.Axes {
		if len(axis.Values) < 2 {
			continue
		}
		for _, m := range Metrics()[:8] {
			if len(d.Plots) >= maxPlots {
				return
			}
			d.Plots = append(d.Plots, draw(axis, i, m, lines))
		}
	}
}

// draw plots a metric over an axis, which is the one with the given index.
func draw(axis Axis, axisIndex int, m Metric, lines []Line) plot {
	p := plot{Title: m.Name + " by " + axis.Name, W: plotW, H: plotH}
	type point struct{ mean, low, high float64 }
	series, names := map[string][]*point{}, []string{}
	least, most := math.Inf(1), math.Inf(-1)
	for _, c := range ByCell(lines) {
		labels := c.Lines[0].Labels
		if axisIndex >= len(labels) {
			continue
		}
		var rest []string
		for i, l := range labels {
			if i != axisIndex {
				rest = append(rest, l)
			}
		}
		name := strings.Join(rest, " / ")
		if series[name] == nil {
			series[name] = make([]*point, len(axis.Values))
			names = append(names, name)
		}
		for i, v := range axis.Values {
			if v.Label == labels[axisIndex] {
				mean, low, high := Mean(m, c.Lines)
				series[name][i] = &point{mean, low, high}
				least, most = min(least, low), max(most, high)
			}
		}
	}
	if most-least < 1e-9 {
		least, most = least-0.5, most+0.5
	}
	xOf := func(i int) float64 { return plotW * (float64(i) + 0.5) / float64(len(axis.Values)) }
	yOf := func(v float64) float64 { return plotH * (1 - (v-least)/(most-least)) }
	for i, v := range axis.Values {
		p.XTicks = append(p.XTicks, tick{xOf(i), v.Label})
	}
	for i := range 5 {
		v := least + (most-least)*float64(i)/4
		p.YTicks = append(p.YTicks, tick{yOf(v), number(v)})
	}
	for k, name := range names {
		l := plotLine{Name: name, Color: colors[k%len(colors)]}
		var path, upper, lower strings.Builder // the band follows the upper ends to the right and the lower ends back
		for i, pt := range series[name] {
			if pt == nil {
				continue
			}
			op := "L"
			if path.Len() == 0 {
				op = "M"
			}
			fmt.Fprintf(&path, "%s%.1f %.1f", op, xOf(i), yOf(pt.mean))
			fmt.Fprintf(&upper, "%s%.1f %.1f", op, xOf(i), yOf(pt.high))
			lowEnd := fmt.Sprintf("L%.1f %.1f", xOf(i), yOf(pt.low))
			rest := lower.String()
			lower.Reset()
			lower.WriteString(lowEnd + rest)
			l.Dots = append(l.Dots, dot{xOf(i), yOf(pt.mean), fmt.Sprintf("%s: %s (%s to %s)", axis.Values[i].Label, number(pt.mean), number(pt.low), number(pt.high))})
		}
		l.Path = path.String()
		l.Band = upper.String() + lower.String() + "Z"
		p.Lines = append(p.Lines, l)
	}
	return p
}

// Text writes the means of a table's cells, and comparisons, as text for a terminal.
func Text(w io.Writer, lines []Line, compared []*Comparison) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "cell\truns\tgoal\tservice\tworst 10 s\tworst class\tp99 ms\tattempts a try\tprobes a try\tbroken")
	for _, c := range ByCell(lines) {
		fmt.Fprintf(t, "%s\t%d", c.Name, len(c.Lines))
		for _, m := range Metrics() {
			if m.Name == "refused a try" { // has no column
				continue
			}
			mean, _, _ := Mean(m, c.Lines)
			fmt.Fprintf(t, "\t%s", number(mean))
		}
		fmt.Fprintln(t)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, c := range compared {
		fmt.Fprintf(w, "\n%s against %s\n", c.Variant, c.Baseline)
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		for _, e := range c.Effects {
			fmt.Fprintf(t, "  %s\t%s to %s\t%+.4g\t95%%: %+.4g to %+.4g\t%s\n", e.Metric, number(e.Base), number(e.Variant), e.Mean, e.Low, e.High, e.Verdict)
		}
		if err := t.Flush(); err != nil {
			return err
		}
	}
	return nil
}
