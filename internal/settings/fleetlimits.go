package settings

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"beechgrade/internal/cluster/quota"
	"beechgrade/internal/core"
	"beechgrade/internal/sexp"
)

// FleetLimits are limits of all poolers together. They need (peers ...).
type FleetLimits struct {
	Enabled  bool
	Settings quota.Settings // but for the limits, and how many poolers are expected
	Limits   []FleetLimit
}

// Resource is what a limit is of, by its name in the settings.
type Resource string

// The resources.
const (
	ResourceTenant       Resource = "tenant"  // requests of a tenant, a second
	ResourceColdServers  Resource = "cold"    // the budget of requests to servers that are warming up
	ResourceHealthChecks Resource = "probes"  // of servers, a second
	ResourceListCalls    Resource = "lists"   // calls to discovery, a second
	ResourceDials        Resource = "dials"   // new connections to the platform's servers, a second
	ResourceQueries      Resource = "queries" // of a user at the ClickHouse interface, at once or a second
	ResourcePool         Resource = "pool"    // connections of a database and a user to servers, at once
	ResourceShards       Resource = "shards"  // that scattered reads query at once
)

// namesOfResource is how many names follow a resource in the settings.
var namesOfResource = map[Resource]int{
	ResourceTenant:       1,
	ResourceQueries:      1,
	ResourcePool:         2,
	ResourceColdServers:  0,
	ResourceHealthChecks: 0,
	ResourceListCalls:    0,
	ResourceDials:        0,
	ResourceShards:       0,
}

// coreResources are the resources whose limits the core enforces.
var coreResources = map[Resource]core.LimitKind{
	ResourceTenant:       core.LimitTenantRequests,
	ResourceColdServers:  core.LimitSlowStart,
	ResourceHealthChecks: core.LimitHealthChecks,
	ResourceListCalls:    core.LimitListCalls,
	ResourceDials:        core.LimitDials,
}

// FleetLimit is one limit.
type FleetLimit struct {
	quota.Limit
	Resource Resource
	Subject  string // name of a tenant or user, or DATABASE/USER
	Hard     bool   // of a tenant: requests beyond it are rejected, rather than of less weight
}

const (
	coldBudgetUnits     = 1000 // into which the budget of cold servers is divided
	defaultReserve      = 0.1
	minRenewalsPerQuota = 4
	beyondRejected      = "refused"
	beyondLessWeight    = "worth-less"
)

var (
	quotaLeases    = durationRange{500, 10 * minute}
	quotaRenewals  = durationRange{100, minute}
	quotaRetries   = durationRange{50, minute}
	quotaLingering = durationRange{0, hour}
	limitRates     = numberRange{0.01, 1e7} // a second
	limitBursts    = numberRange{1, 1e7}
	limitNumbers   = countRange{1, 1e6}
	limitReserves  = numberRange{0, 1}
)

// Quotas are the limits as they are shared among poolers.
func (f *FleetLimits) Quotas() (quotas []quota.Limit) {
	for i := range f.Limits {
		quotas = append(quotas, f.Limits[i].Limit)
	}
	return quotas
}

// CoreLimits are the limits that the core enforces.
func (f *FleetLimits) CoreLimits() (bounds []core.Limit) {
	for _, limit := range f.Limits {
		if of, ok := coreResources[limit.Resource]; ok {
			bounds = append(bounds, core.Limit{Name: limit.Name, Kind: of, Tenant: limit.Subject, Amount: limit.Amount, Hard: limit.Hard})
		}
	}
	return bounds
}

// ReadFleetLimits reads (fleet-limits ...).
func ReadFleetLimits(node *sexp.Node) (*FleetLimits, error) {
	f := &FleetLimits{}
	return f, f.read(node, os.Getenv)
}

func (f *FleetLimits) read(node *sexp.Node, _ func(string) string) error {
	f.Enabled = true
	f.Settings = quota.Defaults()
	s := &f.Settings
	err := sexp.Schema{
		"lease":   duration(&s.LeaseDuration, quotaLeases),
		"promise": duration(&s.VoteDuration, quotaLeases),
		"renew":   duration(&s.RenewInterval, quotaRenewals),
		"soon":    duration(&s.UrgentInterval, quotaRetries),
		"linger":  duration(&s.UseTimeout, quotaLingering),
		"drift":   number(&s.ClockDrift, clockDrifts),
		"limit":   f.readLimit,
	}.Read(node.Args(), "limit")
	switch {
	case err != nil:
		return err
	case len(f.Limits) == 0:
		return node.Errorf("(fleet-limits ...) needs a (limit ...)")
	case s.UrgentInterval > s.RenewInterval:
		return node.Errorf("what is asked again soon, after %g ms, is asked later than every %g ms", s.UrgentInterval, s.RenewInterval)
	case s.VoteDuration < minRenewalsPerQuota*s.RenewInterval || s.LeaseDuration < minRenewalsPerQuota*s.RenewInterval:
		return node.Errorf("a promise of %g ms and a lease of %g ms are to be four times the %g ms between asks at least", s.VoteDuration, s.LeaseDuration, s.RenewInterval)
	}
	return nil
}

// limitReader reads one (limit ...).
type limitReader struct {
	limit   FleetLimit
	hasRate bool // (rate ...)
	atOnce  bool // (at-once ...)
}

func (f *FleetLimits) readLimit(node *sexp.Node) error {
	arguments := node.Args()
	name, ok := firstName(arguments)
	if !ok || len(name) > quota.MaxNameBytes {
		return node.Errorf("a limit's name, of %d bytes at most, is due first", quota.MaxNameBytes)
	}
	if slices.ContainsFunc(f.Limits, func(other FleetLimit) bool { return other.Name == name }) {
		return arguments[0].Errorf("there is a limit %q already", name)
	}
	if len(f.Limits) == quota.MaxLimits {
		return arguments[0].Errorf("over %d limits", quota.MaxLimits)
	}
	r := &limitReader{limit: FleetLimit{Limit: quota.Limit{Name: name, Reserve: defaultReserve}, Hard: true}}
	if err := r.schema().Read(arguments[1:]); err != nil {
		return err
	}
	if err := r.finish(node); err != nil {
		return err
	}
	limit := r.limit
	same := func(other FleetLimit) bool {
		return other.Resource == limit.Resource && other.Subject == limit.Subject && other.Kind == limit.Kind
	}
	if slices.ContainsFunc(f.Limits, same) {
		return node.Errorf("limit %q: there is another of the same", name)
	}
	f.Limits = append(f.Limits, limit)
	return nil
}

func (r *limitReader) schema() sexp.Schema {
	limit := &r.limit
	return sexp.Schema{
		"of": r.readResource,
		"rate": func(node *sexp.Node) error {
			r.hasRate = true
			return number(&limit.Amount, limitRates)(node)
		},
		"burst": number(&limit.Burst, limitBursts),
		"at-once": func(node *sexp.Node) error {
			r.atOnce = true
			amount, err := node.Int(limitNumbers.min, limitNumbers.max)
			limit.Amount = float64(amount)
			return err
		},
		"reserve": number(&limit.Reserve, limitReserves),
		"manner": func(node *sexp.Node) error {
			i, err := oneOf(node, quota.NeverOver.String(), quota.SoonEven.String(), quota.FixedShare.String())
			limit.Guarantee = quota.Guarantee(i)
			return err
		},
		"beyond": func(node *sexp.Node) error {
			i, err := oneOf(node, beyondRejected, beyondLessWeight)
			limit.Hard = i == 0
			return err
		},
	}
}

// readResource reads (of RESOURCE NAME ...).
func (r *limitReader) readResource(node *sexp.Node) error {
	arguments := node.Args()
	if len(arguments) == 0 || arguments[0].Kind == sexp.List {
		return node.Errorf("(of WHAT ...) is due: tenant, queries or pool with a name, cold, probes, lists, dials or shards")
	}
	r.limit.Resource = Resource(arguments[0].Text)
	names, known := namesOfResource[r.limit.Resource]
	if !known || len(arguments) != 1+names {
		return arguments[0].Errorf("tenant or queries with a name, pool with a database and a user, cold, probes, lists, dials or shards is due here")
	}
	for _, item := range arguments[1:] {
		if !isName(item) {
			return item.Errorf("a name is due here")
		}
		r.limit.Subject = strings.TrimPrefix(r.limit.Subject+"/"+item.Text, "/")
	}
	return nil
}

// hasAmount reports whether a limit says how much, in the way that fits its resource.
func (r *limitReader) hasAmount() bool {
	switch r.limit.Resource {
	case ResourceColdServers:
		return true
	case ResourcePool, ResourceShards:
		return r.atOnce
	case ResourceQueries:
		return r.hasRate != r.atOnce
	}
	return r.hasRate
}

// finish completes a limit from what was set, and checks it.
func (r *limitReader) finish(node *sexp.Node) error {
	limit := &r.limit
	switch {
	case limit.Resource == "":
		return node.Errorf("limit %q: (of WHAT ...) is due", limit.Name)
	case limit.Resource == ResourceColdServers && (r.hasRate || r.atOnce):
		return node.Errorf("limit %q: how much cold servers bear is known from elsewhere", limit.Name)
	case !r.hasAmount():
		return node.Errorf("limit %q: (rate A-SECOND) is due, or (at-once N) where something goes on: of a pool, of shards, or of queries", limit.Name)
	}
	if r.atOnce {
		limit.Kind = quota.Concurrency
		return nil
	}
	switch limit.Resource {
	case ResourceColdServers:
		limit.Kind = quota.Budget
		limit.Amount = 1
		limit.Burst = coldBudgetUnits
	case ResourceHealthChecks, ResourceListCalls, ResourceDials:
		limit.Kind = quota.Budget
	}
	if limit.Burst == 0 {
		limit.Burst = max(1, limit.Amount)
	}
	return nil
}

// String is the text of the settings.
func (f *FleetLimits) String() string {
	var b strings.Builder
	s := &f.Settings
	fmt.Fprintf(&b, "(fleet-limits (lease %gms) (promise %gms) (renew %gms) (soon %gms) (linger %gms) (drift %g)",
		s.LeaseDuration, s.VoteDuration, s.RenewInterval, s.UrgentInterval, s.UseTimeout, s.ClockDrift)
	for i := range f.Limits {
		b.WriteString("\n  " + f.Limits[i].text())
	}
	b.WriteString(")\n")
	return b.String()
}

// text is the text of the limit in the settings.
func (l *FleetLimit) text() string {
	subject := ""
	for i, part := range strings.SplitN(l.Subject, "/", 2) {
		if part != "" && (i == 0 || l.Resource == ResourcePool) {
			subject += fmt.Sprintf(" %q", part)
		}
	}
	amount := fmt.Sprintf(" (rate %g) (burst %g)", l.Amount, l.Burst)
	switch {
	case l.Resource == ResourceColdServers:
		amount = ""
	case l.Kind == quota.Concurrency:
		amount = fmt.Sprintf(" (at-once %g)", l.Amount)
	}
	beyond := beyondLessWeight
	if l.Hard {
		beyond = beyondRejected
	}
	return fmt.Sprintf("(limit %q (of %s%s)%s (reserve %g) (manner %s) (beyond %s))",
		l.Name, l.Resource, subject, amount, l.Reserve, l.Guarantee, beyond)
}
