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
	Enabled  bool
	Settings quota.Settings // but for the limits, and how many poolers are expected
	Limits   []FleetLimit
}

// What a limit may be of.
const (
	ResourceTenant       = "tenant"  // requests a second of one
	ResourceColdServers  = "cold"    // the fall budget of cold servers
	ResourceHealthChecks = "probes"  // probes of servers a second
	ResourceListCalls    = "lists"   // calls for lists a second
	ResourceDials        = "dials"   // new connections to the platform's servers a second
	ResourceQueries      = "queries" // of a user at the ClickHouse interface, at once or a second
	ResourcePool         = "pool"    // connections to servers of the pools of a database and a user, at once
	ResourceShards       = "shards"  // that scattered reads ask at once
)

// FleetLimit is one.
type FleetLimit struct {
	quota.Limit
	Resource string
	Subject  string // a tenant's or user's name, or DATABASE/USER
	Hard     bool   // of a tenant: what is beyond is refused, not only worth less
}

// Quotas are the limits as they are shared.
func (f *FleetLimits) Quotas() (out []quota.Limit) {
	for i := range f.Limits {
		out = append(out, f.Limits[i].Limit)
	}
	return out
}

// CoreLimits are those of the limits that the core keeps to.
func (f *FleetLimits) CoreLimits() (out []core.Limit) {
	kinds := map[string]core.LimitKind{ResourceTenant: core.LimitTenantRequests, ResourceColdServers: core.LimitSlowStart, ResourceHealthChecks: core.LimitHealthChecks, ResourceListCalls: core.LimitListCalls, ResourceDials: core.LimitDials}
	for _, x := range f.Limits {
		if of, ok := kinds[x.Resource]; ok {
			out = append(out, core.Limit{Name: x.Name, Kind: of, Tenant: x.Subject, Amount: x.Amount, Hard: x.Hard})
		}
	}
	return out
}

// ReadFleetLimits reads (fleet-limits ...).
func ReadFleetLimits(node *sexp.Node) (*FleetLimits, error) {
	f := &FleetLimits{}
	return f, f.read(node)
}

func (f *FleetLimits) read(node *sexp.Node) error {
	f.Enabled, f.Settings = true, quota.Defaults()
	s := &f.Settings
	span := func(to *float64, least, most float64) func(*sexp.Node) error {
		return func(node *sexp.Node) (err error) { *to, err = node.Millis(least, most); return err }
	}
	err := sexp.Schema{
		"lease": span(&s.LeaseDuration, 500, 600000), "promise": span(&s.VoteDuration, 500, 600000), "renew": span(&s.RenewInterval, 100, 60000),
		"soon": span(&s.UrgentInterval, 50, 60000), "linger": span(&s.UseTimeout, 0, 3600e3),
		"drift": func(node *sexp.Node) (err error) { s.ClockDrift, err = node.Float(0, 0.1); return err },
		"limit": f.readLimit,
	}.Read(node.Args(), "limit")
	switch {
	case err != nil:
		return err
	case len(f.Limits) == 0:
		return node.Errorf("(fleet-limits ...) needs a (limit ...)")
	case s.UrgentInterval > s.RenewInterval:
		return node.Errorf("what is asked again soon, after %g ms, is asked later than every %g ms", s.UrgentInterval, s.RenewInterval)
	case s.VoteDuration < 4*s.RenewInterval || s.LeaseDuration < 4*s.RenewInterval:
		return node.Errorf("a promise of %g ms and a lease of %g ms are to be four times the %g ms between asks at least", s.VoteDuration, s.LeaseDuration, s.RenewInterval)
	}
	return nil
}

func (f *FleetLimits) readLimit(node *sexp.Node) error {
	a := node.Args()
	if len(a) == 0 || a[0].Kind == sexp.List || a[0].Text == "" || len(a[0].Text) > quota.MaxNameBytes {
		return node.Errorf("a limit's name, of %d bytes at most, is due first", quota.MaxNameBytes)
	}
	l := FleetLimit{Limit: quota.Limit{Name: a[0].Text, Reserve: 0.1}, Hard: true}
	if slices.ContainsFunc(f.Limits, func(o FleetLimit) bool { return o.Name == l.Name }) {
		return a[0].Errorf("there is a limit %q already", l.Name)
	}
	if len(f.Limits) == quota.MaxLimits {
		return a[0].Errorf("over %d limits", quota.MaxLimits)
	}
	rate, once := false, false
	word := func(node *sexp.Node, words ...string) (int, error) {
		s, err := node.Str()
		i := slices.Index(words, s)
		if err == nil && i < 0 {
			err = node.Errorf("%s is due here", strings.Join(words, " or "))
		}
		return i, err
	}
	err := sexp.Schema{
		"of": func(node *sexp.Node) error {
			a := node.Args()
			if len(a) == 0 || a[0].Kind == sexp.List {
				return node.Errorf("(of WHAT ...) is due: tenant, queries or pool with a name, cold, probes, lists, dials or shards")
			}
			l.Resource = a[0].Text
			named := map[string]int{ResourceTenant: 1, ResourceQueries: 1, ResourcePool: 2, ResourceColdServers: 0, ResourceHealthChecks: 0, ResourceListCalls: 0, ResourceDials: 0, ResourceShards: 0}
			names, known := named[l.Resource]
			if !known || len(a) != 1+names {
				return a[0].Errorf("tenant or queries with a name, pool with a database and a user, cold, probes, lists, dials or shards is due here")
			}
			for _, x := range a[1:] {
				if x.Kind == sexp.List || x.Text == "" {
					return x.Errorf("a name is due here")
				}
				l.Subject = strings.TrimPrefix(l.Subject+"/"+x.Text, "/")
			}
			return nil
		},
		"rate":    func(node *sexp.Node) (err error) { l.Amount, err = node.Float(0.01, 1e7); rate = true; return err },
		"burst":   func(node *sexp.Node) (err error) { l.Burst, err = node.Float(1, 1e7); return err },
		"at-once": func(node *sexp.Node) error { x, err := node.Int(1, 1e6); l.Amount, once = float64(x), true; return err },
		"reserve": func(node *sexp.Node) (err error) { l.Reserve, err = node.Float(0, 1); return err },
		"manner": func(node *sexp.Node) error {
			i, err := word(node, quota.NeverOver.String(), quota.SoonEven.String(), quota.FixedShare.String())
			l.Guarantee = quota.Guarantee(i)
			return err
		},
		"beyond": func(node *sexp.Node) error {
			i, err := word(node, "refused", "worth-less")
			l.Hard = i == 0
			return err
		},
	}.Read(a[1:])
	if err != nil {
		return err
	}
	switch {
	case l.Resource == "":
		return node.Errorf("limit %q: (of WHAT ...) is due", l.Name)
	case l.Resource == ResourceColdServers && (rate || once):
		return node.Errorf("limit %q: how much cold servers bear is known from elsewhere", l.Name)
	case (l.Resource == ResourcePool || l.Resource == ResourceShards) && !once, l.Resource != ResourceColdServers && l.Resource != ResourcePool && l.Resource != ResourceShards && l.Resource != ResourceQueries && !rate, l.Resource == ResourceQueries && rate == once:
		return node.Errorf("limit %q: (rate A-SECOND) is due, or (at-once N) where something goes on: of a pool, of shards, or of queries", l.Name)
	case once:
		l.Kind = quota.Concurrency
	case l.Resource == ResourceColdServers:
		l.Kind, l.Amount, l.Burst = quota.Budget, 1, coldBudgetUnits
	case l.Resource == ResourceHealthChecks, l.Resource == ResourceListCalls, l.Resource == ResourceDials:
		l.Kind = quota.Budget
	}
	if !once && l.Burst == 0 {
		l.Burst = max(1, l.Amount)
	}
	if slices.ContainsFunc(f.Limits, func(o FleetLimit) bool { return o.Resource == l.Resource && o.Subject == l.Subject && o.Kind == l.Kind }) {
		return node.Errorf("limit %q: there is another of the same", l.Name)
	}
	f.Limits = append(f.Limits, l)
	return nil
}

// coldBudgetUnits is in how many parts the fall budget is shared out.
const coldBudgetUnits = 1000

// String is the settings' text.
func (f *FleetLimits) String() string {
	var b strings.Builder
	s := &f.Settings
	fmt.Fprintf(&b, "(fleet-limits (lease %gms) (promise %gms) (renew %gms) (soon %gms) (linger %gms) (drift %g)", s.LeaseDuration, s.VoteDuration, s.RenewInterval, s.UrgentInterval, s.UseTimeout, s.ClockDrift)
	for _, l := range f.Limits {
		whom := ""
		for i, part := range strings.SplitN(l.Subject, "/", 2) {
			if part != "" && (i == 0 || l.Resource == ResourcePool) {
				whom += fmt.Sprintf(" %q", part)
			}
		}
		amount := fmt.Sprintf(" (rate %g) (burst %g)", l.Amount, l.Burst)
		switch {
		case l.Resource == ResourceColdServers:
			amount = ""
		case l.Kind == quota.Concurrency:
			amount = fmt.Sprintf(" (at-once %g)", l.Amount)
		}
		fmt.Fprintf(&b, "\n  (limit %q (of %s%s)%s (reserve %g) (manner %s) (beyond %s))", l.Name, l.Resource, whom, amount, l.Reserve, l.Guarantee,
			map[bool]string{true: "refused", false: "worth-less"}[l.Hard])
	}
	return b.String() + ")\n"
}
