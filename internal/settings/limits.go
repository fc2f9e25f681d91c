package settings

import (
	"fmt"
	"slices"
	"strings"

	"beechgrade/internal/cluster/quota"
	"beechgrade/internal/core"
	"beechgrade/internal/sexp"
)

// FleetLimits are limits that hold for the whole fleet. They take (peers ...).
type FleetLimits struct {
	On       bool
	Settings quota.Settings // but for the limits, and how many poolers are expected
	List     []FleetLimit
}

// What a limit may be of.
const (
	OfTenant  = "tenant"  // requests a second of one
	OfCold    = "cold"    // the fall budget of cold servers
	OfProbes  = "probes"  // probes of servers a second
	OfLists   = "lists"   // calls for lists a second
	OfDials   = "dials"   // new connections to the platform's servers a second
	OfQueries = "queries" // of a user at the ClickHouse interface, at once or a second
	OfPool    = "pool"    // connections to servers of the pools of a database and a user, at once
	OfShards  = "shards"  // that scattered reads ask at once
)

// FleetLimit is one.
type FleetLimit struct {
	quota.Limit
	Of   string
	Whom string // a tenant's or user's name, or DATABASE/USER
	Hard bool   // of a tenant: what is beyond is refused, not only worth less
}

// Quotas are the limits as they are shared.
func (f *FleetLimits) Quotas() (out []quota.Limit) {
	for i := range f.List {
		out = append(out, f.List[i].Limit)
	}
	return out
}

// Bounds are those of the limits that the core keeps to.
func (f *FleetLimits) Bounds() (out []core.Limit) {
	kinds := map[string]core.LimitKind{OfTenant: core.LimitTenantRequests, OfCold: core.LimitSlowStart, OfProbes: core.LimitHealthChecks, OfLists: core.LimitListCalls, OfDials: core.LimitDials}
	for _, x := range f.List {
		if of, ok := kinds[x.Of]; ok {
			out = append(out, core.Limit{Name: x.Name, Kind: of, Tenant: x.Whom, Amount: x.Amount, Hard: x.Hard})
		}
	}
	return out
}

// ReadFleetLimits reads (fleet-limits ...).
func ReadFleetLimits(n *sexp.Node) (*FleetLimits, error) {
	f := &FleetLimits{}
	return f, f.read(n)
}

func (f *FleetLimits) read(n *sexp.Node) error {
	f.On, f.Settings = true, quota.Defaults()
	s := &f.Settings
	span := func(to *float64, least, most float64) func(*sexp.Node) error {
		return func(n *sexp.Node) (err error) { *to, err = n.Millis(least, most); return err }
	}
	err := sexp.Form{
		"lease": span(&s.Lease, 500, 600000), "promise": span(&s.Promise, 500, 600000), "renew": span(&s.Renew, 100, 60000),
		"soon": span(&s.Soon, 50, 60000), "linger": span(&s.Linger, 0, 3600e3),
		"drift": func(n *sexp.Node) (err error) { s.Drift, err = n.Float(0, 0.1); return err },
		"limit": f.limit,
	}.Read(n.Args(), "limit")
	switch {
	case err != nil:
		return err
	case len(f.List) == 0:
		return n.Errorf("(fleet-limits ...) needs a (limit ...)")
	case s.Soon > s.Renew:
		return n.Errorf("what is asked again soon, after %g ms, is asked later than every %g ms", s.Soon, s.Renew)
	case s.Promise < 4*s.Renew || s.Lease < 4*s.Renew:
		return n.Errorf("a promise of %g ms and a lease of %g ms are to be four times the %g ms between asks at least", s.Promise, s.Lease, s.Renew)
	}
	return nil
}

func (f *FleetLimits) limit(n *sexp.Node) error {
	a := n.Args()
	if len(a) == 0 || a[0].Kind == sexp.List || a[0].Text == "" || len(a[0].Text) > quota.MostName {
		return n.Errorf("a limit's name, of %d bytes at most, is due first", quota.MostName)
	}
	l := FleetLimit{Limit: quota.Limit{Name: a[0].Text, Reserve: 0.1}, Hard: true}
	if slices.ContainsFunc(f.List, func(o FleetLimit) bool { return o.Name == l.Name }) {
		return a[0].Errorf("there is a limit %q already", l.Name)
	}
	if len(f.List) == quota.MostLimits {
		return a[0].Errorf("over %d limits", quota.MostLimits)
	}
	rate, once := false, false
	word := func(n *sexp.Node, words ...string) (int, error) {
		s, err := n.Str()
		i := slices.Index(words, s)
		if err == nil && i < 0 {
			err = n.Errorf("%s is due here", strings.Join(words, " or "))
		}
		return i, err
	}
	err := sexp.Form{
		"of": func(n *sexp.Node) error {
			a := n.Args()
			if len(a) == 0 || a[0].Kind == sexp.List {
				return n.Errorf("(of WHAT ...) is due: tenant, queries or pool with a name, cold, probes, lists, dials or shards")
			}
			l.Of = a[0].Text
			named := map[string]int{OfTenant: 1, OfQueries: 1, OfPool: 2, OfCold: 0, OfProbes: 0, OfLists: 0, OfDials: 0, OfShards: 0}
			names, known := named[l.Of]
			if !known || len(a) != 1+names {
				return a[0].Errorf("tenant or queries with a name, pool with a database and a user, cold, probes, lists, dials or shards is due here")
			}
			for _, x := range a[1:] {
				if x.Kind == sexp.List || x.Text == "" {
					return x.Errorf("a name is due here")
				}
				l.Whom = strings.TrimPrefix(l.Whom+"/"+x.Text, "/")
			}
			return nil
		},
		"rate":    func(n *sexp.Node) (err error) { l.Amount, err = n.Float(0.01, 1e7); rate = true; return err },
		"burst":   func(n *sexp.Node) (err error) { l.Burst, err = n.Float(1, 1e7); return err },
		"at-once": func(n *sexp.Node) error { x, err := n.Int(1, 1e6); l.Amount, once = float64(x), true; return err },
		"reserve": func(n *sexp.Node) (err error) { l.Reserve, err = n.Float(0, 1); return err },
		"manner": func(n *sexp.Node) error {
			i, err := word(n, quota.Never.String(), quota.Even.String(), quota.Fixed.String())
			l.Manner = quota.Manner(i)
			return err
		},
		"beyond": func(n *sexp.Node) error { i, err := word(n, "refused", "worth-less"); l.Hard = i == 0; return err },
	}.Read(a[1:])
	if err != nil {
		return err
	}
	switch {
	case l.Of == "":
		return n.Errorf("limit %q: (of WHAT ...) is due", l.Name)
	case l.Of == OfCold && (rate || once):
		return n.Errorf("limit %q: how much cold servers bear is known from elsewhere", l.Name)
	case (l.Of == OfPool || l.Of == OfShards) && !once, l.Of != OfCold && l.Of != OfPool && l.Of != OfShards && l.Of != OfQueries && !rate, l.Of == OfQueries && rate == once:
		return n.Errorf("limit %q: (rate A-SECOND) is due, or (at-once N) where something goes on: of a pool, of shards, or of queries", l.Name)
	case once:
		l.Kind = quota.Number
	case l.Of == OfCold:
		l.Kind, l.Amount, l.Burst = quota.Budget, 1, coldParts
	case l.Of == OfProbes, l.Of == OfLists, l.Of == OfDials:
		l.Kind = quota.Budget
	}
	if !once && l.Burst == 0 {
		l.Burst = max(1, l.Amount)
	}
	if slices.ContainsFunc(f.List, func(o FleetLimit) bool { return o.Of == l.Of && o.Whom == l.Whom && o.Kind == l.Kind }) {
		return n.Errorf("limit %q: there is another of the same", l.Name)
	}
	f.List = append(f.List, l)
	return nil
}

// coldParts is in how many parts the fall budget is shared out.
const coldParts = 1000

// String is the settings' text.
func (f *FleetLimits) String() string {
	var b strings.Builder
	s := &f.Settings
	fmt.Fprintf(&b, "(fleet-limits (lease %gms) (promise %gms) (renew %gms) (soon %gms) (linger %gms) (drift %g)", s.Lease, s.Promise, s.Renew, s.Soon, s.Linger, s.Drift)
	for _, l := range f.List {
		whom := ""
		for i, part := range strings.SplitN(l.Whom, "/", 2) {
			if part != "" && (i == 0 || l.Of == OfPool) {
				whom += fmt.Sprintf(" %q", part)
			}
		}
		amount := fmt.Sprintf(" (rate %g) (burst %g)", l.Amount, l.Burst)
		switch {
		case l.Of == OfCold:
			amount = ""
		case l.Kind == quota.Number:
			amount = fmt.Sprintf(" (at-once %g)", l.Amount)
		}
		fmt.Fprintf(&b, "\n  (limit %q (of %s%s)%s (reserve %g) (manner %s) (beyond %s))", l.Name, l.Of, whom, amount, l.Reserve, l.Manner,
			map[bool]string{true: "refused", false: "worth-less"}[l.Hard])
	}
	return b.String() + ")\n"
}
