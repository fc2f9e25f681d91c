package report

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"beechgrade/internal/testkit/endpointreport"
)

// MemberRow is what a source of the endpoint list, the server itself, or the resulting list reports about a server.
type MemberRow struct {
	Pooler, Server string
	Group          int64
	Who            string
	At             float64
	Reported, Role string
	Against        string // for how long the source's role contradicted the server's own
}

// MemberRows returns the rows of each server: its sources, then the server's own report, then the list.
func MemberRows(view *endpointreport.View) (out []MemberRow) {
	for _, s := range view.Servers {
		row := MemberRow{Pooler: s.Pooler, Server: s.Name, Group: s.Group}
		for i, x := range s.Reports {
			row.Who, row.At, row.Role, row.Against = x.Source, x.AtMs, x.Role, ""
			if i == 0 && s.DeniedMs > 0 {
				row.Against = time.Duration(s.DeniedMs * float64(time.Millisecond)).Round(100 * time.Millisecond).String()
			}
			if row.Reported = x.Health + " at " + x.Address; x.Removed {
				row.Reported, row.Role = "gone", ""
			}
			out = append(out, row)
		}
		row.Against = ""
		if s.SelfReport != nil {
			row.Who, row.At, row.Role, row.Reported = "itself", s.SelfReport.AtMs, s.SelfReport.Role, "answers"
			if s.SelfReport.PositionMs > 0 {
				row.Reported = fmt.Sprintf("stands %.0f ms behind", max(0, s.SelfReport.AtMs-s.SelfReport.PositionMs))
			}
			out = append(out, row)
		}
		if s.Entry != nil {
			row.Who, row.At, row.Role, row.Reported = "the list", s.Entry.AtMs, "", s.Entry.State+" at "+s.Entry.Address
			if s.Entry.Primary {
				row.Role = "primary"
			}
			out = append(out, row)
		}
	}
	return out
}

// MemberCounts lists how many decisions there were of each kind, by name.
func MemberCounts(view *endpointreport.View) (out []string) {
	for k, n := range view.Counts {
		out = append(out, fmt.Sprintf("%s: %d", Safe(k), n))
	}
	slices.Sort(out)
	return out
}

// Members writes a view as text. If why is set, it also lists the decisions with their reasons.
func Members(w io.Writer, view *endpointreport.View, why bool) error {
	t := tabwriter.NewWriter(w, 2, 0, 2, ' ', 0)
	fmt.Fprintln(t, "pooler\tgroup\tserver\twho\tlast said\tsays\trole\tagainst its own word")
	for _, r := range MemberRows(view) {
		fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\n", Safe(r.Pooler), r.Group, Safe(r.Server), Safe(r.Who), Clock(r.At), Safe(r.Reported), r.Role, r.Against)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if len(view.Counts) > 0 {
		fmt.Fprintln(w, "\njudgements")
		for _, l := range MemberCounts(view) {
			fmt.Fprintln(w, " ", l)
		}
	}
	if !why {
		return nil
	}
	fmt.Fprintln(w)
	for i := range view.Decisions {
		decision := &view.Decisions[i]
		fmt.Fprintf(w, "%s  %s  %s  %s: %s", Clock(decision.At), Safe(decision.Pooler), Safe(decision.Server), Safe(decision.Kind), Safe(decision.Reason))
		if decision.Source != "" {
			fmt.Fprintf(w, " (%s)", Safe(decision.Source))
		}
		fmt.Fprintln(w)
	}
	if view.OmittedDecisions > 0 {
		fmt.Fprintf(w, "...and %d more\n", view.OmittedDecisions)
	}
	return nil
}
