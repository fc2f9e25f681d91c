package report

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"beechgrade/internal/testkit/incident"
)

// AvoidedRow is a server that poolers avoided because others reported it: how many poolers avoided it, in how many spans, from
// when to when, and which poolers reported it.
type AvoidedRow struct {
	Server, Why, Reporters string
	Poolers, Spans         int
	From, To               float64 // To is 0 where a span lasts until the end of the records
}

// Until formats the end of the last span.
func (r AvoidedRow) Until() string {
	if r.To == 0 {
		return "the records' end"
	}
	return Clock(r.To)
}

// maxReporters bounds the reporters that a row names.
const maxReporters = 6

// AvoidedRows returns a row for each server.
func AvoidedRows(view *incident.View) (out []AvoidedRow) {
	var by, reporters []string
	for i, a := range view.Avoided { // by server
		if i == 0 || view.Avoided[i-1].Server != a.Server {
			by, reporters = nil, nil
			out = append(out, AvoidedRow{Server: a.Server, Why: a.Why, From: a.From, To: a.To})
		}
		r := &out[len(out)-1]
		r.Spans++
		if !slices.Contains(by, a.By) {
			by = append(by, a.By)
		}
		r.Poolers = len(by)
		r.From = min(r.From, a.From)
		r.To = laterEnd(r.To, a.To)
		if !strings.Contains(r.Why, a.Why) {
			r.Why += ", " + a.Why
		}
		for _, w := range a.Reporters {
			if !slices.Contains(reporters, w) {
				reporters = append(reporters, w)
			}
		}
		slices.Sort(reporters)
		r.Reporters = strings.Join(reporters[:min(len(reporters), maxReporters)], ", ")
		if len(reporters) > maxReporters {
			r.Reporters += fmt.Sprintf(" and %d more", len(reporters)-maxReporters)
		}
	}
	return out
}

// laterEnd returns the later of two ends of spans; 0 stands for the end of the records.
func laterEnd(a, b float64) float64 {
	if a == 0 || b == 0 {
		return 0
	}
	return max(a, b)
}

// writeAvoidedTable writes the rows for a terminal.
func writeAvoidedTable(b *strings.Builder, view *incident.View) {
	rows := AvoidedRows(view)
	if len(rows) == 0 {
		return
	}
	b.WriteString("\n")
	table(b, func(t io.Writer) {
		fmt.Fprintln(t, "avoided by others' word\tby poolers\ttimes\tfrom\tto\twhy\tby the word of")
		for _, r := range rows[:min(len(rows), maxRows)] {
			fmt.Fprintf(t, "%s\t%d\t%d\t%s\t%s\t%s\t%s\n", Safe(r.Server), r.Poolers, r.Spans, Clock(r.From), r.Until(), Safe(r.Why), Safe(r.Reporters))
		}
	})
}
