package scenario

import (
	"fmt"
	"slices"
	"strings"

	"beechgrade/internal/cluster/raftlog"
	"beechgrade/internal/settings"
	"beechgrade/internal/sexp"
	"beechgrade/internal/testkit/clients"
)

// RaftLog is the shared log of which the first poolers are voters.
type RaftLog struct {
	Voters   int
	Settings raftlog.Settings // without names and seeds
	Disk     [2]float64       // range of the time of a durable write in virtual time, ms
}

// Credit has the settings of prepaid credit, in the form of the operators' settings, without the folder of marks.
type Credit struct {
	settings.Credit
	node *sexp.Node
}

// readRaftLog reads (agreed (voters N) ...): the first N poolers are voters. The other settings are those of the operators' settings.
func (s *Script) readRaftLog(n *sexp.Node) error {
	a := &RaftLog{Settings: raftlog.Defaults(), Disk: [2]float64{0.1, 2}}
	s.RaftLog = a
	err := sexp.Schema{
		"voters":    func(n *sexp.Node) (err error) { a.Voters, err = n.Int(3, 5); return err },
		"disk":      func(n *sexp.Node) error { return readRange(n, &a.Disk) },
		"tick":      func(n *sexp.Node) (err error) { a.Settings.TickInterval, err = n.Millis(50, 10000); return err },
		"election":  func(n *sexp.Node) (err error) { a.Settings.ElectionTicks, err = n.Int(4, 1000); return err },
		"heartbeat": func(n *sexp.Node) (err error) { a.Settings.HeartbeatTicks, err = n.Int(1, 250); return err },
		"every":     func(n *sexp.Node) (err error) { a.Settings.SnapshotEntries, err = n.Int(16, 1e6); return err },
		"keep":      func(n *sexp.Node) (err error) { a.Settings.KeepEntries, err = n.Int(1, 1e6); return err },
	}.Read(n.Args())
	if err == nil && a.Voters != 3 && a.Voters != 5 {
		err = n.Errorf("(agreed ...) takes (voters 3) or (voters 5)")
	}
	return err
}

// readCredit reads (credit ...), in the form of the operators' settings but without the folder of marks.
func (s *Script) readCredit(n *sexp.Node) error {
	for _, a := range n.Args() {
		if a.Head() == "files" {
			return a.Errorf("a scenario takes no (files ...): the rehearsal chooses the folder of marks")
		}
	}
	set, err := settings.ReadCredit(n)
	s.Credit = &Credit{*set, n}
	return err
}

// readPayment reads (pay TENANT NUMBER AMOUNT), a payment that all poolers load at that time, or (pay TENANT NUMBER AMOUNT POOLER ...), one that only
// the given poolers load.
func readPayment(f *Fault, n *sexp.Node) error {
	a := n.Args()
	if len(a) < 3 || a[0].Kind == sexp.List {
		return n.Errorf("expected (pay TENANT NUMBER AMOUNT POOLER ...)")
	}
	no, err := a[1].Number(0, 1e9)
	if err != nil {
		return err
	}
	if f.Value, err = a[2].Number(1, 1e15); err != nil {
		return err
	}
	f.Target.Kind, f.Target.Name, f.Number = "pay", a[0].Text, int(no)
	for _, x := range a[3:] {
		no, err := x.Number(0, maxPoolers-1)
		if err != nil {
			return err
		}
		f.Ends[0] = append(f.Ends[0], int(no))
	}
	return nil
}

// checkDependencies checks that the peers, shared log, classes and tenants on which the shared log, credit and pages depend are configured.
func (s *Script) checkDependencies(n *sexp.Node) error {
	known := func(class string) bool {
		return slices.ContainsFunc(s.Clients.Classes, func(c clients.Class) bool { return c.Name == class })
	}
	tenant := func(name string) bool {
		return slices.ContainsFunc(s.Clients.Tenants, func(t clients.Tenant) bool { return t.Name == name })
	}
	switch {
	case s.RaftLog != nil && s.Peers == nil:
		return n.Errorf("(agreed ...) goes with (peers)")
	case s.RaftLog != nil && s.RaftLog.Voters > s.Poolers:
		return n.Errorf("(voters %d) exceeds the number of poolers, %d", s.RaftLog.Voters, s.Poolers)
	case s.Credit != nil && s.RaftLog == nil:
		return n.Errorf("(credit ...) goes with (agreed ...)")
	}
	if s.Credit != nil {
		for _, p := range s.Credit.Prices {
			if !known(p.Class) {
				return s.Credit.node.Errorf("there is no class %q to set a price for", p.Class)
			}
		}
		for _, p := range s.Credit.Payments {
			if !tenant(p.Tenant) {
				return s.Credit.node.Errorf("there is no (tenant %q ...) to credit a payment to", p.Tenant)
			}
		}
	}
	if p := s.Pages; p != nil {
		i := slices.IndexFunc(s.Clients.Classes, func(c clients.Class) bool { return c.Name == p.Class })
		switch {
		case i < 0 || s.Clients.Classes[i].Read != clients.ReadSession:
			return p.node.Errorf("(pages ...) takes a class of session reads; got %q", p.Class)
		case p.Tenant != "" && !tenant(p.Tenant):
			return p.node.Errorf("there is no tenant %q", p.Tenant)
		}
	}
	return nil
}

// PriceOf returns the fixed price of a request of a class, 0 without one.
func (s *Script) PriceOf(class string) int64 {
	if s.Credit == nil {
		return 0
	}
	for _, p := range s.Credit.Prices {
		if p.Class == class {
			return p.PerRequest
		}
	}
	return 0
}

// SharedSettings returns the operators' settings of the shared log, credit, overload and outlier detection for a daemon that keeps its log and its marks in
// the given folders. payments are those that it has loaded since the start; more is the text of further forms of (credit ...).
func (s *Script) SharedSettings(disk, marks string, payments []Fault, more string) string {
	var b strings.Builder
	if s.Overload != nil {
		b.WriteString(textOf(s.Overload.node) + "\n")
	}
	if s.OutlierDetection != nil {
		b.WriteString(textOf(s.OutlierDetection.node) + "\n")
	}
	if a := s.RaftLog; a != nil {
		b.WriteString("(agreed (voters")
		for i := range a.Voters {
			fmt.Fprintf(&b, " \"pooler-%d\"", i)
		}
		fmt.Fprintf(&b, ") (dir %s) (tick %gms) (election %d) (heartbeat %d) (every %d) (keep %d))\n", quote(disk), a.Settings.TickInterval, a.Settings.ElectionTicks, a.Settings.HeartbeatTicks, a.Settings.SnapshotEntries, a.Settings.KeepEntries)
	}
	if c := s.Credit; c != nil {
		fmt.Fprintf(&b, "(credit (files %s)", quote(marks))
		for _, a := range c.node.Args() {
			b.WriteString(" " + textOf(a))
		}
		for _, p := range payments {
			fmt.Fprintf(&b, " (payment %s %d %.0f)", quote(p.Target.Name), p.Number, p.Value)
		}
		b.WriteString(more + ")\n")
	}
	return b.String()
}

// textOf returns the text of a form.
func textOf(n *sexp.Node) string {
	switch {
	case n.Kind == sexp.String:
		return quote(n.Text)
	case n.Kind != sexp.List:
		return n.Text
	}
	var parts []string
	for _, x := range n.Items {
		parts = append(parts, textOf(x))
	}
	return "(" + strings.Join(parts, " ") + ")"
}
