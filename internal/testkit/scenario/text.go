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

// preservedKeywords are forms that are written as they were read: their settings are no matter of a smaller scenario.
var preservedKeywords = []string{"peers", "fleet-limits", "overload", "verdicts", "agreed", "credit", "pages", "journal"}

// Text writes a script down, so that it can be read again. Only what differs from the defaults is said. What comes again and again is written out.
func (s *Script) Text() string {
	var b strings.Builder
	f, c, was, wc := &s.Fleet, &s.Clients, model.Defaults(3), clients.Defaults()
	fmt.Fprintf(&b, "(rehearsal %s\n  (seconds %s) (poolers %d) (rate %s)\n  ", quote(s.Name), formatNumber(c.Seconds), s.Poolers, formatNumber(c.Rate))
	if same := len(f.Groups) > 4 && !slices.ContainsFunc(f.Groups, func(n int) bool { return n != f.Groups[0] }); same {
		fmt.Fprintf(&b, "(groups-of %d %d)", len(f.Groups), f.Groups[0])
	} else {
		b.WriteString("(groups")
		for _, n := range f.Groups {
			fmt.Fprintf(&b, " %d", n)
		}
		b.WriteString(")")
	}
	if c.ClickHouse {
		b.WriteString("\n  (clickhouse)")
		wc.Classes = clients.ClickHouseClasses()
	}
	number := func(name string, is, was float64, unit string) {
		if is != was {
			fmt.Fprintf(&b, "\n  (%s %s%s)", name, formatNumber(is), unit)
		}
	}
	both := func(name string, is, was [2]float64) {
		if is != was {
			fmt.Fprintf(&b, "\n  (%s %sms %sms)", name, formatNumber(is[0]), formatNumber(is[1]))
		}
	}
	yes := func(name string, is bool) {
		if is {
			fmt.Fprintf(&b, "\n  (%s yes)", name)
		}
	}
	if len(s.Sites) > 0 {
		b.WriteString("\n  (sites")
		for _, name := range s.Sites {
			b.WriteString(" " + quote(name))
		}
		b.WriteString(")")
	}
	if len(s.Regions) > 0 {
		b.WriteString("\n  (regions")
		for i := range s.Regions[len(s.Regions)-1] + 1 {
			n := 0
			for _, r := range s.Regions {
				if r == i {
					n++
				}
			}
			fmt.Fprintf(&b, " %d", n)
		}
		b.WriteString(")")
	}
	both("cross", s.Cross, [2]float64{})
	both("far", s.Far, [2]float64{})
	yes("near", s.Near)
	number("cross-price", s.CrossPrice, 0, "")
	yes("pushed", s.Pushed)
	yes("pack", s.Pack)
	number("record-queue", float64(s.Queue), 0, "")
	number("back-in", s.BackMs, 0, "ms")
	number("skew", c.Skew, wc.Skew, "")
	number("swing", c.SwingMs, wc.SwingMs, "ms")
	number("allowance", c.Allowance, wc.Allowance, "")
	number("over", c.Over, wc.Over, "")
	for _, t := range c.Tenants {
		fmt.Fprintf(&b, "\n  (tenant %s (share %s)", quote(t.Name), formatNumber(t.Share))
		if t.Usage != 1 {
			fmt.Fprintf(&b, " (usage %s)", formatNumber(t.Usage))
		}
		b.WriteString(")")
	}
	number("sessions", float64(c.Sessions), float64(wc.Sessions), "")
	number("follows", c.Follows, wc.Follows, "")
	number("follow", c.FollowMs, wc.FollowMs, "ms")
	number("retries", float64(c.Retries), float64(wc.Retries), "")
	number("roams", c.Roams, wc.Roams, "")
	both("retry", c.RetryMs, wc.RetryMs)
	number("cores", float64(f.Cores), float64(was.Cores), "")
	number("queue", float64(f.QueueLimit), float64(was.QueueLimit), "")
	number("connections", float64(f.MaxConnections), float64(was.MaxConnections), "")
	number("apply", f.ApplyMs, was.ApplyMs, "ms")
	number("cold", f.ColdMs, was.ColdMs, "ms")
	number("cold-by", f.ColdShare, was.ColdShare, "")
	number("falls", f.OverloadFactor, was.OverloadFactor, "")
	number("falls-in", f.OverloadWindowMs, was.OverloadWindowMs, "ms")
	number("crowds", f.QueueSlowdown, was.QueueSlowdown, "")
	number("consul", float64(s.Agents), 0, "")
	number("forgets", s.Forgets, 0, "ms")
	number("idle", s.IdleMs, defaultIdle, "ms")
	number("descriptors", float64(s.Sockets), 0, "")
	number("probe-cost", s.ProbeCost, 0, "ms")
	number("probe-price", s.ProbePrice, defaultProbePrice, "")
	if f.ExponentialWork {
		b.WriteString("\n  (tail yes)")
	}
	both("ship", f.ShipDelay, was.ShipDelay)
	both("detect", f.DetectionDelay, was.DetectionDelay)
	both("elect", f.ElectionDelay, was.ElectionDelay)
	both("switch", f.SwitchoverDelay, was.SwitchoverDelay)
	both("list", f.ListDelay, was.ListDelay)
	both("roles", f.RoleDelay, was.RoleDelay)
	both("way", s.Way, defaultWay)
	both("handshake", s.Handshake, defaultHandshake)
	for i, k := range c.Classes {
		o := wc.Classes[i]
		if k == o {
			continue
		}
		fmt.Fprintf(&b, "\n  (class %s (share %s) (aim %sms) (deadline %sms) (worth %s) (late %s) (bound %sms) (work %sms %sms)", quote(k.Name), formatNumber(k.Share), formatNumber(k.Aim),
			formatNumber(k.Deadline), formatNumber(k.Worth), formatNumber(k.LateWorth), formatNumber(k.Bound), formatNumber(k.Work[0]), formatNumber(k.Work[1]))
		if k.KeyMs > 0 {
			fmt.Fprintf(&b, " (keyed %sms)", formatNumber(k.KeyMs))
		}
		b.WriteString(")")
	}
	for _, n := range s.preservedForms() {
		b.WriteString("\n  " + textOf(n))
	}
	if c := s.Chaos; c.Faults > 0 {
		fmt.Fprintf(&b, "\n  (chaos %d %sms %sms", c.Faults, formatNumber(c.From), formatNumber(c.To))
		for _, k := range c.Kinds {
			b.WriteString(" " + k)
		}
		b.WriteString(")")
	}
	for _, x := range s.Faults {
		if x.OnPoolerLinks() && x.Owner == "" && (len(x.Ends[0]) == 0 || len(x.Ends[1]) == 0) {
			continue // it was drawn between some poolers and none
		}
		fmt.Fprintf(&b, "\n  (at %sms (%s%s)", formatNumber(x.At), x.Kind, x.args())
		if x.Duration > 0 {
			fmt.Fprintf(&b, " (for %sms)", formatNumber(x.Duration))
		}
		b.WriteString(")")
	}
	b.WriteString(")\n")
	return b.String()
}

// args are a fault's arguments as they are written.
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
		fmt.Fprintf(&b, " %s %s%s", quote(f.Target.Word), formatNumber(f.Value), formatNumbers(f.Ends[0]))
	case "pay":
		fmt.Fprintf(&b, " %s %d %s%s", quote(f.Target.Word), f.Number, formatNumber(f.Value), formatNumbers(f.Ends[0]))
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
		if f.Kind == "list-held" {
			break
		}
		fmt.Fprintf(&b, " %s", f.Target)
		if slices.Contains([]string{"crowd", "lag", "lose", "disk", "thin"}, f.Kind) {
			fmt.Fprintf(&b, " %s", formatNumber(f.Value))
		}
	}
	return b.String()
}

// text names poolers as they were named, or those that were drawn.
func (w poolerSelector) text(poolers []int) string {
	if w.Node != nil {
		return textOf(w.Node)
	}
	return "(" + strings.TrimPrefix(formatNumbers(poolers), " ") + ")"
}

func formatNumbers(list []int) string {
	var b strings.Builder
	for _, n := range list {
		fmt.Fprintf(&b, " %d", n)
	}
	return b.String()
}

// linkText is what befalls a link.
func linkText(l *netfault.Fault) string {
	var b strings.Builder
	if l.Cut {
		b.WriteString(" cut")
	}
	for _, x := range []struct {
		name, unit string
		is         float64
	}{{"lose", "", l.LossRate}, {"duplicate", "", l.DuplicateRate}, {"reorder", "", l.ReorderRate}, {"slow", "ms", l.DelayMs}} {
		if x.is > 0 {
			fmt.Fprintf(&b, " (%s %s%s)", x.name, formatNumber(x.is), x.unit)
		}
	}
	return b.String()
}

// preservedForms are the forms that are written as they were read.
func (s *Script) preservedForms() (out []*sexp.Node) {
	on := map[string]bool{
		"peers":        s.Peers != nil,
		"fleet-limits": s.Limits != nil,
		"overload":     s.Overload != nil,
		"verdicts":     s.Verdicts != nil,
		"agreed":       s.Agreed != nil,
		"credit":       s.Credit != nil,
		"pages":        s.Pages != nil,
		"journal":      s.Journal != nil,
	}
	for _, n := range s.source.Args() {
		if h := n.Head(); slices.Contains(preservedKeywords, h) && on[h] || h == "on-sockets" {
			out = append(out, n)
		}
	}
	return out
}

func formatNumber(x float64) string { return strconv.FormatFloat(x, 'f', -1, 64) }

func quote(s string) string {
	return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`).Replace(s) + `"`
}
