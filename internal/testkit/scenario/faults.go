package scenario

import (
	"fmt"
	"slices"

	"beechgrade/internal/sexp"
	"beechgrade/internal/testkit/clients"
	"beechgrade/internal/testkit/netfault"
)

// Fault is a fault of the scenario with its start and duration in ms.
type Fault struct {
	Pos      sexp.Pos
	At       float64
	Duration float64 // 0 for no end
	Kind     string
	Target   Target
	Value    float64 // the number of the fault, such as a factor, a share, a delay in ms or an amount, depending on Kind
	Number   int     // number of a payment, by which a repeated one is recognized
	Interval float64 // time between two starts of a repeated fault, 0 for one start

	Selector poolerSelector // poolers whose links to servers or to the list are affected
	Poolers  []int          // poolers that Selector selects

	Owner       string         // limit whose owner is the target
	From, To    poolerSelector // senders and receivers of links between poolers
	Ends        [2][]int       // poolers at both ends of the links; of a limit or payment, the poolers that load it
	Both        bool           // in both directions
	SiteNames   [2][]string    // names of the sites at both ends of the links
	SiteNumbers [2][]int       // SiteNames as indexes of Script.Sites
	Link        netfault.Fault
}

// Target is the target of a fault. It is resolved when the fault starts.
type Target struct {
	Kind   string // primary, replica, member, primaries, half-primaries (of every other group), everyone, site, pooler, agent, limit or pay
	Group  int    // or the number of the pooler or of the agent
	Member int    // index of the server in its group
	Name   string // an agent's fault, or the name of a site, limit or tenant
}

func (t Target) String() string {
	switch t.Kind {
	case "", "primaries", "half-primaries", "everyone":
		return t.Kind
	case "member":
		return fmt.Sprintf("member %d %d", t.Group, t.Member)
	case "agent":
		return fmt.Sprintf("%d %s", t.Group, t.Name)
	case "site":
		return "site " + quote(t.Name)
	}
	return fmt.Sprintf("%s %d", t.Kind, t.Group)
}

// expandRepeats replaces each repeated fault by one fault for each start before the end of the rehearsal.
func expandRepeats(faults []Fault, endMs float64) (out []Fault) {
	for _, f := range faults {
		interval := f.Interval
		f.Interval = 0 // each start becomes a fault of its own
		out = append(out, f)
		if interval <= 0 {
			continue
		}
		for at := f.At + interval; at < endMs && len(out) < maxFaults; at += interval {
			next := f
			next.At = at
			out = append(out, next)
		}
	}
	return out
}

// maxFaults bounds the expansion of repeated faults: a script that has this many gets no further repetitions.
const maxFaults = 10000

// readFault reads a fault: (at TIME (FAULT ...) (for TIME) (every TIME)).
func (s *Script) readFault(n *sexp.Node) error {
	a := n.Args()
	if len(a) < 2 || len(a) > 4 {
		return n.Errorf("expected (at TIME (FAULT ...)), with (for TIME) if the fault ends and (every TIME) if it repeats")
	}
	f := Fault{Pos: n.Pos}
	var err error
	if f.At, err = a[0].Duration(0, maxSeconds*1000); err != nil {
		return err
	}
	for i, x := range a[2:] { // (for TIME), (every TIME), or both in this order
		to, least := &f.Duration, 1.0
		switch {
		case i == 0 && x.Head() == "for":
		case x.Head() == "every" && (i > 0 || len(a) == 3):
			to, least = &f.Interval, 10
		default:
			return x.Errorf("expected (for TIME)")
		}
		if *to, err = x.Millis(least, maxSeconds*1000); err != nil {
			return err
		}
	}
	if f.Interval > 0 && (f.Duration == 0 || f.Duration >= f.Interval) {
		return n.Errorf("a repeated fault must end before its next start: expected (for TIME) shorter than (every TIME)")
	}
	f.Kind = a[1].Head()
	read := faultReaders[f.Kind]
	if read == nil {
		var kinds []string
		for k := range faultReaders {
			kinds = append(kinds, k)
		}
		slices.Sort(kinds)
		return a[1].Errorf("there is no fault %q; there are: %v", f.Kind, kinds)
	}
	if err := read(&f, a[1]); err != nil {
		return err
	}
	s.Faults = append(s.Faults, f)
	return nil
}

// faultReaders has, for each kind of fault, the function that reads its arguments.
var faultReaders = map[string]func(*Fault, *sexp.Node) error{
	"die":            readServerFault(0, 0),
	"hang":           readServerFault(0, 0),
	"drain":          readServerFault(0, 0),
	"crowd":          readServerFault(0.01, 1),
	"lag":            readServerFault(0.1, 1000),
	"deaf":           readServerFault(0, 0),
	"mute":           readServerFault(0, 0),
	"lose":           readServerFault(0, 1),
	"disk":           readServerFault(0.1, 1000),
	"list-late":      func(f *Fault, n *sexp.Node) (err error) { f.Value, err = n.Millis(0, 600000); return err },
	"list-gone":      func(f *Fault, n *sexp.Node) error { return requireNoArguments(n) },
	"list-silent":    func(f *Fault, n *sexp.Node) error { return requireNoArguments(n) },
	"agent":          readAgentFault,
	"deregister-all": func(f *Fault, n *sexp.Node) error { return requireNoArguments(n) },
	"wrong-roles":    func(f *Fault, n *sexp.Node) error { return requireNoArguments(n) },
	"reissue":        readServerFault(0, 0),
	"fail-check":     readServerFault(0, 0),
	"links":          readLinkFault,
	"between":        readLinkFault,
	"route":          readRouteFault,
	"routes":         readRouteFault,
	"power":          readPowerFault,
	"limit":          readLimitFault,
	"pay":            readPayment,
	"load":           func(f *Fault, n *sexp.Node) (err error) { f.Value, err = n.Float(0, 100); return err },
	"kill-pooler":    readPoolerFault,
	"restart-pooler": readPoolerFault,
	"stall-pooler":   readPoolerFault,
	"restart":        readServerFault(0, 0),
	"cut":            readServerLinkFault(0, 0),
	"thin":           readServerLinkFault(0, 1),
	"list-held":      readListHeldFault,
}

// AgentFaults are the kinds of fault of a Consul agent.
var AgentFaults = []string{"down", "hang", "frozen", "leaderless", "cut", "empty"}

// readAgentFault reads (agent NUMBER down), or another of AgentFaults.
func readAgentFault(f *Fault, n *sexp.Node) error {
	a := n.Args()
	if len(a) != 2 || !slices.Contains(AgentFaults, a[1].Text) {
		return n.Errorf("expected (agent NUMBER WHAT), where WHAT is one of %v", AgentFaults)
	}
	x, err := a[0].Number(0, 8)
	f.Target = Target{Kind: "agent", Group: int(x), Name: a[1].Text}
	return err
}

// consulOnly are the kinds of fault that exist only where Consul provides the server list.
var consulOnly = map[string]bool{"agent": true, "deregister-all": true, "wrong-roles": true, "reissue": true, "fail-check": true}

// readPoolerFault reads (stall-pooler NUMBER), or (stall-pooler owner LIMIT) for the owner of the limit at that time.
func readPoolerFault(f *Fault, n *sexp.Node) (err error) {
	f.Target.Kind = "pooler"
	if a := n.Args(); len(a) == 2 && a[0].Text == "owner" && a[1].Kind != sexp.List {
		f.Owner = a[1].Text
		return nil
	}
	f.Target.Group, err = n.Int(0, maxPoolers-1)
	return err
}

func requireNoArguments(n *sexp.Node) error {
	if len(n.Args()) != 0 {
		return n.Errorf("(%s) takes no arguments", n.Head())
	}
	return nil
}

// readServerFault returns a function that reads a target, and a number from least to most if most is positive.
func readServerFault(least, most float64) func(*Fault, *sexp.Node) error {
	return func(f *Fault, n *sexp.Node) error {
		a := n.Args()
		if len(a) == 0 {
			return n.Errorf("expected a target: (%s primary GROUP), replica GROUP, member GROUP N, primaries, half-primaries or everyone", n.Head())
		}
		f.Target.Kind = a[0].Text
		numbers := map[string]int{ // how many numbers follow the kind of target
			"primary": 1, "replica": 1, "member": 2, "primaries": 0, "half-primaries": 0, "everyone": 0,
		}
		if f.Target.Kind == "site" && len(a) > 1 && a[1].Kind != sexp.List {
			f.Target.Name, a = a[1].Text, a[1:]
			numbers["site"] = 0
		}
		targetNumbers, ok := numbers[f.Target.Kind]
		if !ok {
			return a[0].Errorf("unknown target %q; expected primary GROUP, replica GROUP, member GROUP N, primaries, half-primaries, everyone", a[0].Text)
		}
		want := targetNumbers
		if most > 0 {
			want++
		}
		if len(a)-1 != want {
			return n.Errorf("(%s %s ...) takes %d numbers, got %d", n.Head(), f.Target.Kind, want, len(a)-1)
		}
		for i, to := range []*int{&f.Target.Group, &f.Target.Member}[:targetNumbers] {
			x, err := a[1+i].Number(0, maxServers)
			if err != nil {
				return err
			}
			*to = int(x)
		}
		if most > 0 {
			var err error
			f.Value, err = a[len(a)-1].Number(least, most)
			return err
		}
		return nil
	}
}

// checkFault checks a fault against the rest of the script.
func (s *Script) checkFault(f *Fault) error {
	fail := func(format string, args ...any) error {
		return &sexp.Error{Pos: f.Pos, Text: fmt.Sprintf(format, args...)}
	}
	switch {
	case f.At >= s.Clients.Seconds*1000:
		return fail("the fault starts after the end of the rehearsal")
	case consulOnly[f.Kind] && s.Agents == 0:
		return fail("(%s ...) goes with (consul AGENTS)", f.Kind)
	case f.Kind == "agent" && f.Target.Group >= s.Agents:
		return fail("there is no agent %d; they are numbered from 0 to %d", f.Target.Group, s.Agents-1)
	case f.Kind == "limit" && (s.Limits == nil || s.limit(f.Target.Name) == nil):
		return fail("there is no limit %q in (fleet-limits ...)", f.Target.Name)
	case f.Kind == "pay" && s.Credit == nil:
		return fail("(pay ...) goes with (credit ...)")
	case f.Kind == "pay" && !slices.ContainsFunc(s.Clients.Tenants, func(t clients.Tenant) bool { return t.Name == f.Target.Name }):
		return fail("there is no tenant %q", f.Target.Name)
	case f.Owner != "" && s.limit(f.Owner) == nil:
		return fail("there is no limit %q in (fleet-limits ...)", f.Owner)
	case f.OnSiteLinks() && s.Sites == nil:
		return fail("(%s ...) goes with (sites ...)", f.Kind)
	case f.OnPoolerLinks() && s.Peers == nil:
		return fail("(%s ...) goes with (peers)", f.Kind)
	case f.TargetsProber() && (s.Overload == nil || !s.Overload.ProbeSharingEnabled):
		return fail("(%s prober ...) goes with (overload), where poolers share probes", f.Kind)
	case f.OnServerLinks() && (s.Agents > 0 || s.Clients.ClickHouse):
		return fail("(%s ...) goes with the platform's list and protocol: without (consul ...) and (clickhouse)", f.Kind)
	case f.Target.Kind == "pooler" && f.Target.Group >= s.Poolers:
		return fail("there is no pooler %d; they are numbered from 0 to %d", f.Target.Group, s.Poolers-1)
	case slices.Contains([]string{"primary", "replica", "member"}, f.Target.Kind):
		if f.Target.Group >= len(s.Fleet.Groups) {
			return fail("there is no group %d; they are numbered from 0 to %d", f.Target.Group, len(s.Fleet.Groups)-1)
		}
		if n := s.Fleet.Groups[f.Target.Group]; f.Target.Member >= n || f.Target.Kind == "replica" && n < 2 {
			return fail("group %d has %d members", f.Target.Group, n)
		}
	}
	return nil
}
