package scenario

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"beechgrade/internal/sexp"
	"beechgrade/internal/testkit/clients"
	"beechgrade/internal/testkit/model"
	"beechgrade/internal/testkit/netfault"
)

// preservedKeywords are the heads of the forms that Text writes as they were read.
var preservedKeywords = []string{"peers", "fleet-limits", "overload", "verdicts", "agreed", "credit", "pages", "journal"}

// Text returns a script as text that Parse reads as the same script. It contains only what differs from the defaults. A repeated
// fault is written once for each of its starts.
func (s *Script) Text() string {
	w := &textWriter{}
	defaults := clients.Defaults()
	if s.Clients.ClickHouse {
		defaults.Classes = clients.ClickHouseClasses()
	}
	w.header(s)
	w.topology(s)
	w.clients(&s.Clients, &defaults)
	w.servers(s)
	w.classes(s.Clients.Classes, defaults.Classes)
	for _, n := range s.preservedForms() {
		w.WriteString("\n  " + textOf(n))
	}
	w.chaos(&s.Chaos)
	w.faults(s.Faults)
	w.WriteString(")\n")
	return w.String()
}

// textWriter writes the forms of a script, each on a line of its own.
type textWriter struct{ strings.Builder }

// number writes a form with a number, unless it has its default value.
func (w *textWriter) number(name string, value, defaultValue float64, unit string) {
	if value != defaultValue {
		fmt.Fprintf(w, "\n  (%s %s%s)", name, formatNumber(value), unit)
	}
}

// millis writes a form with a range in ms, unless it has its default value.
func (w *textWriter) millis(name string, value, defaultValue [2]float64) {
	if value != defaultValue {
		fmt.Fprintf(w, "\n  (%s %sms %sms)", name, formatNumber(value[0]), formatNumber(value[1]))
	}
}

// flag writes a form for a flag, if it is set.
func (w *textWriter) flag(name string, value bool) {
	if value {
		fmt.Fprintf(w, "\n  (%s yes)", name)
	}
}

// header writes the name, the sizes and the groups, with which the script begins.
func (w *textWriter) header(s *Script) {
	groups := s.Fleet.Groups
	fmt.Fprintf(w, "(rehearsal %s\n  (seconds %s) (poolers %d) (rate %s)\n  ",
		quote(s.Name), formatNumber(s.Clients.Seconds), s.Poolers, formatNumber(s.Clients.Rate))
	const listedGroups = 4 // more are written as a count if all have the same size
	if same := len(groups) > listedGroups && !slices.ContainsFunc(groups, func(n int) bool { return n != groups[0] }); same {
		fmt.Fprintf(w, "(groups-of %d %d)", len(groups), groups[0])
	} else {
		w.WriteString("(groups")
		for _, n := range groups {
			fmt.Fprintf(w, " %d", n)
		}
		w.WriteString(")")
	}
	if s.Clients.ClickHouse {
		w.WriteString("\n  (clickhouse)")
	}
}

// topology writes the sites, the delays between them and the options of the poolers.
func (w *textWriter) topology(s *Script) {
	if len(s.Sites) > 0 {
		w.WriteString("\n  (sites")
		for _, name := range s.Sites {
			w.WriteString(" " + quote(name))
		}
		w.WriteString(")")
	}
	if len(s.Regions) > 0 {
		w.WriteString("\n  (regions")
		for region := range s.Regions[len(s.Regions)-1] + 1 { // regions are numbered in the order of the sites
			sites := 0
			for _, regionOfSite := range s.Regions {
				if regionOfSite == region {
					sites++
				}
			}
			fmt.Fprintf(w, " %d", sites)
		}
		w.WriteString(")")
	}
	w.millis("cross", s.SiteDelay, [2]float64{})
	w.millis("far", s.RegionDelay, [2]float64{})
	w.flag("near", s.PreferOwnSite)
	w.number("cross-price", s.CrossPrice, 0, "")
	w.flag("pushed", s.Pushed)
	w.flag("pack", s.Pack)
	w.number("record-queue", float64(s.Queue), 0, "")
	w.number("back-in", s.RecoveryMs, 0, "ms")
}

// clients writes how clients send requests.
func (w *textWriter) clients(c, defaults *clients.Config) {
	w.number("skew", c.Skew, defaults.Skew, "")
	w.number("swing", c.SwingMs, defaults.SwingMs, "ms")
	w.number("allowance", c.Allowance, defaults.Allowance, "")
	w.number("over", c.OverShareWorth, defaults.OverShareWorth, "")
	for _, tenant := range c.Tenants {
		fmt.Fprintf(w, "\n  (tenant %s (share %s)", quote(tenant.Name), formatNumber(tenant.Share))
		if tenant.Usage != 1 {
			fmt.Fprintf(w, " (usage %s)", formatNumber(tenant.Usage))
		}
		w.WriteString(")")
	}
	w.number("sessions", float64(c.Sessions), float64(defaults.Sessions), "")
	w.number("follows", c.Follows, defaults.Follows, "")
	w.number("follow", c.FollowMs, defaults.FollowMs, "ms")
	w.number("retries", float64(c.Retries), float64(defaults.Retries), "")
	w.number("roams", c.RoamShare, defaults.RoamShare, "")
	w.millis("retry", c.RetryMs, defaults.RetryMs)
}

// servers writes the settings of the servers, of their connections and of the network.
func (w *textWriter) servers(s *Script) {
	f, defaults := &s.Fleet, model.Defaults(3)
	w.number("cores", float64(f.Cores), float64(defaults.Cores), "")
	w.number("queue", float64(f.QueueLimit), float64(defaults.QueueLimit), "")
	w.number("connections", float64(f.MaxConnections), float64(defaults.MaxConnections), "")
	w.number("apply", f.ApplyMs, defaults.ApplyMs, "ms")
	w.number("cold", f.ColdMs, defaults.ColdMs, "ms")
	w.number("cold-by", f.ColdShare, defaults.ColdShare, "")
	w.number("falls", f.OverloadFactor, defaults.OverloadFactor, "")
	w.number("falls-in", f.OverloadWindowMs, defaults.OverloadWindowMs, "ms")
	w.number("crowds", f.QueueSlowdown, defaults.QueueSlowdown, "")
	w.number("consul", float64(s.Agents), 0, "")
	w.number("forgets", s.ConnectionForgetMs, 0, "ms")
	w.number("idle", s.IdleMs, defaultIdle, "ms")
	w.number("descriptors", float64(s.Descriptors), 0, "")
	w.number("probe-cost", s.ProbeCost, 0, "ms")
	w.number("probe-price", s.ProbePrice, defaultProbePrice, "")
	w.flag("tail", f.ExponentialWork)
	w.millis("ship", f.ShipDelay, defaults.ShipDelay)
	w.millis("detect", f.DetectionDelay, defaults.DetectionDelay)
	w.millis("elect", f.ElectionDelay, defaults.ElectionDelay)
	w.millis("switch", f.SwitchoverDelay, defaults.SwitchoverDelay)
	w.millis("list", f.ListDelay, defaults.ListDelay)
	w.millis("roles", f.RoleDelay, defaults.RoleDelay)
	w.millis("way", s.NetworkDelay, defaultWay)
	w.millis("handshake", s.Handshake, defaultHandshake)
}

// classes writes the classes that differ from the defaults.
func (w *textWriter) classes(classes, defaults []clients.Class) {
	for i, class := range classes {
		if class == defaults[i] {
			continue
		}
		fmt.Fprintf(w, "\n  (class %s (share %s) (aim %sms) (deadline %sms) (worth %s) (late %s) (bound %sms) (work %sms %sms)",
			quote(class.Name), formatNumber(class.Share), formatNumber(class.Aim), formatNumber(class.Deadline), formatNumber(class.Worth),
			formatNumber(class.LateWorth), formatNumber(class.Bound), formatNumber(class.Work[0]), formatNumber(class.Work[1]))
		if class.KeyMs > 0 {
			fmt.Fprintf(w, " (keyed %sms)", formatNumber(class.KeyMs))
		}
		w.WriteString(")")
	}
}

// chaos writes the settings of random faults.
func (w *textWriter) chaos(c *Chaos) {
	if c.Faults <= 0 {
		return
	}
	fmt.Fprintf(w, "\n  (chaos %d %sms %sms", c.Faults, formatNumber(c.From), formatNumber(c.To))
	for _, kind := range c.Kinds {
		w.WriteString(" " + kind)
	}
	w.WriteString(")")
}

// faults writes the faults with their times.
func (w *textWriter) faults(faults []Fault) {
	for i := range faults {
		f := &faults[i]
		if f.OnPoolerLinks() && f.Owner == "" && (len(f.Ends[0]) == 0 || len(f.Ends[1]) == 0) {
			continue // drawn with no pooler at one end: it affects no link, and could not be read again
		}
		fmt.Fprintf(w, "\n  (at %sms (%s%s)", formatNumber(f.At), f.Kind, f.args())
		if f.Duration > 0 {
			fmt.Fprintf(w, " (for %sms)", formatNumber(f.Duration))
		}
		w.WriteString(")")
	}
}

// args returns the text of a fault's arguments, with a space before each.
func (f *Fault) args() string {
	var b strings.Builder
	switch f.Kind {
	case "list-gone", "list-silent", "deregister-all", "wrong-roles":
	case "list-late":
		fmt.Fprintf(&b, " %sms", formatNumber(f.Value))
	case "load":
		fmt.Fprintf(&b, " %s", formatNumber(f.Value))
	case "kill-pooler", "restart-pooler", "stall-pooler":
		if f.Owner != "" {
			return " owner " + quote(f.Owner)
		}
		fmt.Fprintf(&b, " %d", f.Target.Group)
	case "limit":
		fmt.Fprintf(&b, " %s %s%s", quote(f.Target.Name), formatNumber(f.Value), formatNumbers(f.Ends[0]))
	case "pay":
		fmt.Fprintf(&b, " %s %d %s%s", quote(f.Target.Name), f.Number, formatNumber(f.Value), formatNumbers(f.Ends[0]))
	case "links", "between":
		fmt.Fprintf(&b, " %s %s%s", f.From.text(f.Ends[0]), f.To.text(f.Ends[1]), linkText(&f.Link))
	case "route", "routes":
		for _, names := range f.SiteNames {
			b.WriteString(" (")
			for i, name := range names {
				if i > 0 {
					b.WriteString(" ")
				}
				b.WriteString(quote(name))
			}
			b.WriteString(")")
		}
		b.WriteString(linkText(&f.Link))
	default:
		if f.OnServerLinks() {
			b.WriteString(" " + f.Selector.text(f.Poolers))
		}
		if f.Kind == "list-held" { // has no target
			break
		}
		fmt.Fprintf(&b, " %s", f.Target)
		if slices.Contains([]string{"crowd", "lag", "lose", "disk", "thin"}, f.Kind) {
			fmt.Fprintf(&b, " %s", formatNumber(f.Value))
		}
	}
	return b.String()
}

// text returns the text of the selector. A drawn fault has no selector; its poolers are written as a list.
func (p poolerSelector) text(poolers []int) string {
	if p.Node != nil {
		return textOf(p.Node)
	}
	return "(" + strings.TrimPrefix(formatNumbers(poolers), " ") + ")"
}

// formatNumbers formats a list of numbers, with a space before each.
func formatNumbers(list []int) string {
	var b strings.Builder
	for _, n := range list {
		fmt.Fprintf(&b, " %d", n)
	}
	return b.String()
}

// linkText returns the text of a fault of links, with a space before each part.
func linkText(l *netfault.Fault) string {
	var b strings.Builder
	if l.Cut {
		b.WriteString(" cut")
	}
	for _, x := range []struct {
		name, unit string
		value      float64
	}{{"lose", "", l.LossRate}, {"duplicate", "", l.DuplicateRate}, {"reorder", "", l.ReorderRate}, {"slow", "ms", l.DelayMs}} {
		if x.value > 0 {
			fmt.Fprintf(&b, " (%s %s%s)", x.name, formatNumber(x.value), x.unit)
		}
	}
	return b.String()
}

// preservedForms returns the forms that are written as they were read. Those that configure nothing, such as (journal off), are left
// out.
func (s *Script) preservedForms() (out []*sexp.Node) {
	configured := map[string]bool{
		"peers":        s.Peers != nil,
		"fleet-limits": s.Limits != nil,
		"overload":     s.Overload != nil,
		"verdicts":     s.OutlierDetection != nil,
		"agreed":       s.RaftLog != nil,
		"credit":       s.Credit != nil,
		"pages":        s.Pages != nil,
		"journal":      s.Journal != nil,
	}
	for _, n := range s.source.Args() {
		if h := n.Head(); slices.Contains(preservedKeywords, h) && configured[h] || h == "on-sockets" {
			out = append(out, n)
		}
	}
	return out
}

func formatNumber(x float64) string { return strconv.FormatFloat(x, 'f', -1, 64) }

// quote returns a string as a literal of an S-expression.
func quote(s string) string {
	return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`).Replace(s) + `"`
}
