package report

import (
	"fmt"
	"io"
	"strings"

	"beechgrade/internal/testkit/incident"
	"beechgrade/internal/testkit/rehearse"
)

const maxListedDifferences = 20 // bound on the differences, and on the breaches, that the text lists

// Rehearsal writes the result of a rehearsal: the clients' score, how it matches the records, and the rules that were broken.
func Rehearsal(w io.Writer, r *rehearse.Result, m *rehearse.Match, view *incident.View, dir string) error {
	b := &strings.Builder{}
	s := r.Score
	fmt.Fprintf(b, "%s, seed %d: service %.4f, worst 10 s %.3f, worst class %s; goal %.4f\n\n", Safe(r.Rehearsal), r.Seed, s.Ratio, s.Worst, s.WorstClass, s.Goal)
	table(b, func(t io.Writer) {
		fmt.Fprintln(t, "class\tservice\tasked\ttries\tserved\tlate\trefused\tfailed\tno answer\tbroken\tunmade\tworth: clients\trecords\tat the border")
		for i, c := range s.Classes {
			fmt.Fprintf(t, "%s\t%.4f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\n", c.Name, c.Ratio, c.Asked, c.Tries, c.Served, c.Late, c.Refused,
				c.Failed, c.Unanswered, c.Broken, c.Unmade, c.WorthGot, m.Worth[i].Records, m.Worth[i].Border)
		}
	})
	fmt.Fprintf(b, "\nrecords and clients: %d of %d tries equal, %d taken by no pooler, %d listed as unknown, %d in the dark, %d differ\n",
		m.Equal, m.Attempts, m.Untaken, m.Unknown, m.InMissing, len(m.Differ))
	for i, d := range append(m.Totals[:len(m.Totals):len(m.Totals)], m.Differ...) {
		if i == maxListedDifferences {
			fmt.Fprintf(b, "  ... %d more\n", len(m.Totals)+len(m.Differ)-maxListedDifferences)
			break
		}
		fmt.Fprintf(b, "  %s: records %s, clients %s\n", d.What, d.Records, d.Clients)
	}
	writeGapTable(b, view)
	if len(r.Facts) > 0 {
		b.WriteString("\nwhat truly happened\n")
		table(b, func(t io.Writer) {
			for _, f := range r.Facts {
				fmt.Fprintf(t, "  %s\t%s\t%s\n", Clock(f.At), f.Server, f.What)
			}
		})
	}
	if s.Broken > 0 {
		fmt.Fprintf(b, "\nRULES BROKEN: %d\n", s.Broken)
		for i, x := range s.Breaches {
			if i == maxListedDifferences {
				break
			}
			fmt.Fprintf(b, "  %s %s: %s (id %s)\n", Clock(x.At), x.Rule, Safe(x.Text), x.ID)
		}
	}
	fmt.Fprintf(b, "\nbeechgrade-kit incident report %s -o incident.html   shows it as pictures\n", dir)
	_, err := io.WriteString(w, b.String())
	return err
}
