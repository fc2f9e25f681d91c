package scenario

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"beechgrade/internal/kit/clients"
	"beechgrade/internal/kit/world"
)

// Text writes a script down, so that it can be read again. Only what differs from the defaults is said.
func (s *Script) Text() string {
	var b strings.Builder
	f, c, was, wc := &s.Fleet, &s.Clients, world.Defaults(3), clients.Defaults()
	fmt.Fprintf(&b, "(rehearsal %s\n  (seconds %s) (poolers %d) (rate %s)\n  ", quote(s.Name), num(c.Seconds), s.Poolers, num(c.Rate))
	if same := len(f.Groups) > 4 && !slices.ContainsFunc(f.Groups, func(n int) bool { return n != f.Groups[0] }); same {
		fmt.Fprintf(&b, "(groups-of %d %d)", len(f.Groups), f.Groups[0])
	} else {
		b.WriteString("(groups")
		for _, n := range f.Groups {
			fmt.Fprintf(&b, " %d", n)
		}
		b.WriteString(")")
	}
	if c.House {
		b.WriteString("\n  (clickhouse)")
		wc.Classes = clients.HouseClasses()
	}
	number := func(name string, is, was float64, unit string) {
		if is != was {
			fmt.Fprintf(&b, "\n  (%s %s%s)", name, num(is), unit)
		}
	}
	both := func(name string, is, was [2]float64) {
		if is != was {
			fmt.Fprintf(&b, "\n  (%s %sms %sms)", name, num(is[0]), num(is[1]))
		}
	}
	number("sessions", float64(c.Sessions), float64(wc.Sessions), "")
	number("follows", c.Follows, wc.Follows, "")
	number("follow", c.FollowMs, wc.FollowMs, "ms")
	number("retries", float64(c.Retries), float64(wc.Retries), "")
	number("roams", c.Roams, wc.Roams, "")
	both("retry", c.RetryMs, wc.RetryMs)
	number("cores", float64(f.Cores), float64(was.Cores), "")
	number("queue", float64(f.Queue), float64(was.Queue), "")
	number("connections", float64(f.Conns), float64(was.Conns), "")
	number("apply", f.Apply, was.Apply, "ms")
	number("cold", f.ColdMs, was.ColdMs, "ms")
	number("cold-by", f.ColdBy, was.ColdBy, "")
	number("falls", f.Falls, was.Falls, "")
	number("falls-in", f.FallsMs, was.FallsMs, "ms")
	number("crowds", f.Crowds, was.Crowds, "")
	number("consul", float64(s.Agents), 0, "")
	number("forgets", s.Forgets, 0, "ms")
	number("idle", s.IdleMs, defaultIdle, "ms")
	number("descriptors", float64(s.Sockets), 0, "")
	number("probe-cost", s.ProbeCost, 0, "ms")
	number("probe-price", s.ProbePrice, defaultProbePrice, "")
	if f.Tail {
		b.WriteString("\n  (tail yes)")
	}
	both("ship", f.Ship, was.Ship)
	both("detect", f.Detect, was.Detect)
	both("elect", f.Elect, was.Elect)
	both("switch", f.Switch, was.Switch)
	both("list", f.List, was.List)
	both("roles", f.Roles, was.Roles)
	both("way", s.Way, defaultWay)
	both("handshake", s.Handshake, defaultHandshake)
	for i, k := range c.Classes {
		o := wc.Classes[i]
		if k == o {
			continue
		}
		fmt.Fprintf(&b, "\n  (class %s (share %s) (aim %sms) (deadline %sms) (worth %s) (late %s) (bound %sms) (work %sms %sms))", quote(k.Name), num(k.Share), num(k.Aim),
			num(k.Deadline), num(k.Worth), num(k.LateWorth), num(k.Bound), num(k.Work[0]), num(k.Work[1]))
	}
	if c := s.Chaos; c.Faults > 0 {
		fmt.Fprintf(&b, "\n  (chaos %d %sms %sms", c.Faults, num(c.From), num(c.To))
		for _, k := range c.Kinds {
			b.WriteString(" " + k)
		}
		b.WriteString(")")
	}
	for _, x := range s.Faults {
		fmt.Fprintf(&b, "\n  (at %sms (%s%s)", num(x.At), x.What, x.args())
		if x.For > 0 {
			fmt.Fprintf(&b, " (for %sms)", num(x.For))
		}
		b.WriteString(")")
	}
	b.WriteString(")\n")
	return b.String()
}

// args are a fault's arguments as they are written.
func (f *Fault) args() string {
	var b strings.Builder
	switch f.What {
	case "list-gone", "list-silent", "deregister-all", "wrong-roles":
	case "list-late":
		fmt.Fprintf(&b, " %sms", num(f.Value))
	case "load":
		fmt.Fprintf(&b, " %s", num(f.Value))
	case "kill-pooler", "restart-pooler", "stall-pooler":
		fmt.Fprintf(&b, " %d", f.Target.Group)
	default:
		if f.OfWays() {
			fmt.Fprintf(&b, " (%s)", strings.Trim(fmt.Sprint(f.Poolers), "[]"))
		}
		if f.What == "list-held" {
			break
		}
		fmt.Fprintf(&b, " %s", f.Target)
		if slices.Contains([]string{"crowd", "lag", "lose", "disk", "thin"}, f.What) {
			fmt.Fprintf(&b, " %s", num(f.Value))
		}
	}
	return b.String()
}

func num(x float64) string { return strconv.FormatFloat(x, 'f', -1, 64) }

func quote(s string) string {
	return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`).Replace(s) + `"`
}
