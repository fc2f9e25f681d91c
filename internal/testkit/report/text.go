// Package report renders what the records show: an incident.View as text for a terminal or as one HTML file, the reports of
// endpoint sources, and the result of a rehearsal. Names that come from records are made safe for terminals and markup.
package report

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
	"unicode"

	"beechgrade/internal/testkit/incident"
)

// Text writes a summary for a terminal.
func Text(w io.Writer, view *incident.View) error {
	if view.Events == 0 {
		_, err := fmt.Fprintln(w, "The records hold no events.")
		return err
	}
	b := &strings.Builder{}
	writeHeader(b, view)
	writeClassTable(b, view)
	writeCauseTable(b, view)
	writeGapTable(b, view)
	writePoolTable(b, view)
	writeZoneTables(b, view)
	writeAvoidedTable(b, view)
	writeReturnTable(b, view)
	writeFindings(b, view)
	writeUnknown(b, view)
	_, err := io.WriteString(w, b.String())
	return err
}

// writeHeader writes the time span of the records, and the numbers of events and poolers.
func writeHeader(b *strings.Builder, view *incident.View) {
	fmt.Fprintf(b, "%s to %s (%s), %d events of %d poolers", Clock(view.From), Clock(view.To), incident.Span(view.To-view.From), view.Events, len(view.Poolers))
	if view.Lost > 0 {
		fmt.Fprintf(b, "; %d more were not recorded", view.Lost)
	}
	b.WriteString("\n\n")
}

// writeClassTable writes the results of each class's requests and of all requests, and the total worth.
func writeClassTable(b *strings.Builder, view *incident.View) {
	table(b, func(t io.Writer) {
		fmt.Fprintln(t, "class\tservice\tworst 10 s\tasked\tretries\tserved\tlate\trefused\tfailed\tgone\tunknown\tp50 ms\tp99 ms")
		for _, c := range append(view.Classes[:len(view.Classes):len(view.Classes)], view.Total) {
			fmt.Fprintf(t, "%s\t%.4f\t%.3f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\n", Safe(c.Name), c.Ratio, c.Worst, c.Asked, c.Repeats,
				c.Served, c.Late, c.Refused, c.Failed, c.Gone, c.Unknown, c.P50, c.P99)
		}
	})
	fmt.Fprintf(b, "\nworth asked %.1f, got %.1f, lost %.1f; %.1f of it hangs on answers within 50 ms of their aim\n",
		view.Total.WorthAsked, view.Total.WorthGot, view.LostWorth(), view.Total.WorthBorder)
}

// writeCauseTable writes how much worth was lost by each cause.
func writeCauseTable(b *strings.Builder, view *incident.View) {
	if len(view.Causes) == 0 {
		return
	}
	b.WriteString("\n")
	table(b, func(t io.Writer) {
		fmt.Fprintln(t, "worth lost\trequests\tcause")
		for _, c := range view.Causes {
			fmt.Fprintf(t, "%.1f\t%d\t%s\n", c.Worth, c.Requests, c.Name)
		}
	})
}

// writeReturnTable writes when servers became reachable again, and how far they were behind then.
func writeReturnTable(b *strings.Builder, view *incident.View) {
	var returns []incident.Return
	for _, s := range view.Servers {
		returns = append(returns, s.Returns...)
	}
	if len(returns) == 0 {
		return
	}
	b.WriteString("\n")
	table(b, func(t io.Writer) {
		fmt.Fprintln(t, "returned\tserver\taway\tbehind\tstarted")
		for _, r := range returns {
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\n", Clock(r.To), Safe(r.Server), incident.Span(r.To-r.From), formatSpan(r.BehindMs), formatStart(r.StartedMs))
		}
	})
}

// writeFindings writes the findings that the view lists, and the number of those that it only counts.
func writeFindings(b *strings.Builder, view *incident.View) {
	if len(view.Findings) > 0 {
		b.WriteString("\nfindings (! grave)\n")
		table(b, func(t io.Writer) {
			for _, f := range view.Findings {
				mark := " "
				if f.Grave {
					mark = "!"
				}
				fmt.Fprintf(t, "%s %s\t%s\t%s\t%s\n", mark, Clock(f.At), f.Kind, Safe(Subject(f)), Safe(f.Text))
			}
		})
	}
	if view.Unlisted > 0 {
		fmt.Fprintf(b, "%d more findings are not listed\n", view.Unlisted)
	}
}

// maxUnknownListed bounds the unknown requests that the text lists.
const maxUnknownListed = 20

// writeUnknown writes the first requests whose answers are not in the records.
func writeUnknown(b *strings.Builder, view *incident.View) {
	if view.Unknowns == 0 {
		return
	}
	fmt.Fprintf(b, "\n%d requests have no answer in the records:\n", view.Unknowns)
	for i, u := range view.Unknown {
		if i == maxUnknownListed {
			fmt.Fprintf(b, "  ... %d more (--json lists up to 2000)\n", view.Unknowns-maxUnknownListed)
			break
		}
		fmt.Fprintf(b, "  %s %s %s group %d, id hash %s\n", Clock(u.At), Safe(u.Pooler), Safe(u.Class), u.Group, u.ID)
	}
}

// writeGapTable writes the spans in which a group served no write.
func writeGapTable(b *strings.Builder, view *incident.View) {
	if !slices.ContainsFunc(view.Groups, func(g incident.GroupView) bool { return len(g.Gaps) > 0 }) {
		return
	}
	b.WriteString("\n")
	table(b, func(t io.Writer) {
		fmt.Fprintln(t, "group\tlast write\tfirst after\tgap\tbefore\tafter\tlist wrong for\twrites not served\tworth lost")
		for _, g := range view.Groups {
			for _, gap := range g.Gaps {
				fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%.1f\n", gap.Group, Clock(gap.From), Clock(gap.To), incident.Span(gap.To-gap.From), Safe(gap.Old), Safe(gap.New),
					formatSpan(gap.ListWrongMs), gap.Unserved, gap.Lost)
			}
		}
	})
}

// writePoolTable writes the use of each pool of server connections.
func writePoolTable(b *strings.Builder, view *incident.View) {
	if len(view.Pools) == 0 {
		return
	}
	b.WriteString("\n")
	table(b, func(t io.Writer) {
		fmt.Fprintln(t, "pool\tsessions\tended by pooler\tgiven\tchanged hands\tmoved\tsettings carried\tbegun again\tno connection\twait p50 ms\tp99 ms\tmost ms\tmost in use\tmost waiting")
		for _, p := range view.Pools {
			fmt.Fprintf(t, "%s\t%d\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%d of %d\t%d\n", Safe(p.Name), p.Sessions, Ends(p), p.Hands, p.Changed, p.Moved,
				p.Carried, p.Again, p.Refused, p.WaitP50, p.WaitP99, p.WaitMost, p.MostUsed, p.Connections, p.MostWaiting)
		}
	})
}

// Ends lists how many sessions of a pool the pooler ended, by SQLSTATE.
func Ends(p incident.PoolView) string {
	var parts []string
	for _, code := range slices.Sorted(maps.Keys(p.Ends)) {
		parts = append(parts, fmt.Sprintf("%d (%s)", p.Ends[code], Safe(code)))
	}
	return cmp.Or(strings.Join(parts, ", "), "0")
}

// table writes rows whose cells are separated by tabs, in aligned columns.
func table(b *strings.Builder, rows func(io.Writer)) {
	t := tabwriter.NewWriter(b, 0, 0, 2, ' ', 0)
	rows(t)
	_ = t.Flush()
}

// Clock formats a Unix time in milliseconds as a UTC time of day; "-" where it is not known.
func Clock(ms float64) string {
	if ms <= 0 || math.IsInf(ms, 0) {
		return "-"
	}
	return time.UnixMicro(int64(ms * 1000)).UTC().Format("15:04:05.000")
}

// Subject returns the server, the pooler or the group that a finding is about.
func Subject(f incident.Finding) string {
	switch {
	case f.Server != "" && f.Pooler != "":
		return f.Server + " (" + f.Pooler + ")"
	case f.Server != "":
		return f.Server
	case f.Pooler != "":
		return f.Pooler
	}
	return fmt.Sprintf("group %d", f.Group)
}

// maxNameRunes bounds the length of a name from the records.
const maxNameRunes = 200

// Safe makes a name from the records safe to print: it replaces each character that a terminal may interpret by a question mark,
// and bounds the length.
func Safe(s string) string {
	out := []rune{}
	for _, r := range s {
		if isControl(r) || changesDirection(r) {
			r = '?'
		}
		out = append(out, r)
		if len(out) == maxNameRunes {
			return string(out) + "..."
		}
	}
	return string(out)
}

// isControl reports whether a rune is a control character of ASCII or Latin-1, or a line or paragraph separator.
func isControl(r rune) bool {
	return unicode.IsControl(r) || r == '\u2028' || r == '\u2029'
}

// changesDirection reports whether a rune embeds, overrides or isolates a direction of text, by which a name could reorder the
// text around it.
func changesDirection(r rune) bool {
	isEmbedding := r >= '\u202a' && r <= '\u202e'
	isIsolate := r >= '\u2066' && r <= '\u2069'
	return isEmbedding || isIsolate
}

// formatSpan formats a span in milliseconds; a negative one is not known.
func formatSpan(ms float64) string {
	if ms < 0 {
		return "not known"
	}
	return incident.Span(ms)
}

// formatStart formats the time of a server's start; 0 means that the server reported none.
func formatStart(ms float64) string {
	if ms == 0 {
		return "not told"
	}
	return "cold at " + Clock(ms)
}

// dateOf formats the day of a Unix time in milliseconds.
func dateOf(ms float64) string {
	return time.UnixMicro(int64(ms * 1000)).UTC().Format("2 January 2006")
}
