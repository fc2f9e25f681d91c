package report

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"beechgrade/internal/testkit/incident"
)

// AvoidedRow is a server that poolers avoided by others' word: how many did, how often, from when to when, and by whose word.
type AvoidedRow struct {
	Server, Why, Word string
	Poolers, Spells   int
	From, To          float64 // To is 0 where one does so yet
}

// Until is when it ended, if it did.
func (r AvoidedRow) Until() string {
	if r.To == 0 {
		return "the records' end"
	}
	return Clock(r.To)
}

// maxReporters are named of those by whose word a server was avoided.
const maxReporters = 6

// AvoidedRows are a view's rows, a server each.
func AvoidedRows(view *incident.View) (out []AvoidedRow) {
	var by, words []string
	for i, a := range view.Avoided { // by server
		if i == 0 || view.Avoided[i-1].Server != a.Server {
			by, words = nil, nil
			out = append(out, AvoidedRow{Server: a.Server, Why: a.Why, From: a.From, To: a.To})
		}
		r := &out[len(out)-1]
		if r.Spells++; !slices.Contains(by, a.By) {
			by = append(by, a.By)
		}
		if r.Poolers, r.From = len(by), min(r.From, a.From); a.To == 0 || r.To == 0 {
			r.To = 0
		} else {
			r.To = max(r.To, a.To)
		}
		if !strings.Contains(r.Why, a.Why) {
			r.Why += ", " + a.Why
		}
		for _, w := range a.Reporters {
			if !slices.Contains(words, w) {
				words = append(words, w)
			}
		}
		slices.Sort(words)
		r.Word = strings.Join(words[:min(len(words), maxReporters)], ", ")
		if len(words) > maxReporters {
			r.Word += fmt.Sprintf(" and %d more", len(words)-maxReporters)
		}
	}
	return out
}

// writeAvoidedTable is the rows for a terminal.
func writeAvoidedTable(b *strings.Builder, view *incident.View) {
	rows := AvoidedRows(view)
	if len(rows) == 0 {
		return
	}
	b.WriteString("\n")
	table(b, func(t io.Writer) {
		fmt.Fprintln(t, "avoided by others' word\tby poolers\ttimes\tfrom\tto\twhy\tby the word of")
		for _, r := range rows[:min(len(rows), maxRows)] {
			fmt.Fprintf(t, "%s\t%d\t%d\t%s\t%s\t%s\t%s\n", Safe(r.Server), r.Poolers, r.Spells, Clock(r.From), r.Until(), Safe(r.Why), Safe(r.Word))
		}
	})
}
