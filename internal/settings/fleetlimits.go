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

// FleetLimits are limits that all poolers share. They need (peers ...).
type FleetLimits struct {
	Enabled  bool
	Settings quota.Settings // without Limits and ExpectedPoolers
	Limits   []FleetLimit
}

// Resource is the resource that a limit bounds, by its name in the settings.
type Resource string

// The resources.
const (
	ResourceTenant       Resource = "tenant"  // requests of a tenant per second
	ResourceColdServers  Resource = "cold"    // slow-start budget of requests to servers that are warming up
	ResourceHealthChecks Resource = "probes"  // health checks of servers per second
	ResourceListCalls    Resource = "lists"   // calls to discovery per second
	ResourceDials        Resource = "dials"   // new connections to the platform's servers per second
	ResourceQueries      Resource = "queries" // queries of a user at the ClickHouse interface, concurrent or per second
	ResourcePool         Resource = "pool"    // concurrent connections to servers for a database and a user
	ResourceShards       Resource = "shards"  // shards that scattered reads query concurrently
)

// resourceNameCounts is the number of names that follow a resource in (of RESOURCE NAME ...).
var resourceNameCounts = map[Resource]int{
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
	Hard     bool   // of a tenant: requests beyond the limit are rejected, rather than given a lower weight
}

const (
	slowStartUnits      = 1000 // into which the slow-start budget is divided
	defaultReserve      = 0.1
	minRenewalsPerQuota = 4
	beyondRejected      = "refused"
	beyondLowerWeight   = "worth-less"
)

var (
	quotaLeases    = durationRange{500, 10 * minute}
	quotaRenewals  = durationRange{100, minute}
	quotaRetries   = durationRange{50, minute}
	quotaLingering = durationRange{0, hour}
	limitRates     = numberRange{0.01, 1e7} // per second
	limitBursts    = numberRange{1, 1e7}
	limitNumbers   = countRange{1, 1e6}
	limitReserves  = numberRange{0, 1}
)

// Quotas returns the limits as the poolers share them.
func (f *FleetLimits) Quotas() (quotas []quota.Limit) {
	for i := range f.Limits {
		quotas = append(quotas, f.Limits[i].Limit)
	}
	return quotas
}

// CoreLimits returns the limits that the core enforces.
func (f *FleetLimits) CoreLimits() (limits []core.Limit) {
	for _, limit := range f.Limits {
		if kind, ok := coreResources[limit.Resource]; ok {
			limits = append(limits, core.Limit{Name: limit.Name, Kind: kind, Tenant: limit.Subject, Amount: limit.Amount, Hard: limit.Hard})
		}
	}
	return limits
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
		return node.Errorf("(soon ...) of %g ms must not be longer than (renew ...) of %g ms", s.UrgentInterval, s.RenewInterval)
	case s.VoteDuration < minRenewalsPerQuota*s.RenewInterval || s.LeaseDuration < minRenewalsPerQuota*s.RenewInterval:
		return node.Errorf("(promise ...) of %g ms and (lease ...) of %g ms must be at least four times (renew ...) of %g ms", s.VoteDuration, s.LeaseDuration, s.RenewInterval)
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
		return node.Errorf("expected a limit's name of at most %d bytes first", quota.MaxNameBytes)
	}
	if slices.ContainsFunc(f.Limits, func(other FleetLimit) bool { return other.Name == name }) {
		return arguments[0].Errorf("duplicate limit %q", name)
	}
	if len(f.Limits) == quota.MaxLimits {
		return arguments[0].Errorf("more than %d limits", quota.MaxLimits)
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
		return node.Errorf("limit %q: another limit is of the same resource, subject and kind", name)
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
			i, err := oneOf(node, beyondRejected, beyondLowerWeight)
			limit.Hard = i == 0
			return err
		},
	}
}

// readResource reads (of RESOURCE NAME ...).
func (r *limitReader) readResource(node *sexp.Node) error {
	arguments := node.Args()
	if len(arguments) == 0 || arguments[0].Kind == sexp.List {
		return node.Errorf("expected (of WHAT ...): tenant or queries with a name, pool with a database and a user, cold, probes, lists, dials or shards")
	}
	r.limit.Resource = Resource(arguments[0].Text)
	names, known := resourceNameCounts[r.limit.Resource]
	if !known || len(arguments) != 1+names {
		return arguments[0].Errorf("expected tenant or queries with a name, pool with a database and a user, cold, probes, lists, dials or shards")
	}
	for _, item := range arguments[1:] {
		if !isName(item) {
			return item.Errorf("expected a name")
		}
		r.limit.Subject = strings.TrimPrefix(r.limit.Subject+"/"+item.Text, "/")
	}
	return nil
}

// hasAmount reports whether a limit has its amount, in the form that its resource takes: a rate or a concurrency.
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

// finish checks a limit, and derives its remaining fields.
func (r *limitReader) finish(node *sexp.Node) error {
	limit := &r.limit
	switch {
	case limit.Resource == "":
		return node.Errorf("limit %q: (of WHAT ...) is missing", limit.Name)
	case limit.Resource == ResourceColdServers && (r.hasRate || r.atOnce):
		return node.Errorf("limit %q: (of cold) takes no (rate ...) or (at-once ...), as the slow-start budget has no amount of its own", limit.Name)
	case !r.hasAmount():
		return node.Errorf("limit %q: expected (rate PER-SECOND); or (at-once N) for pool and shards; or either of them for queries", limit.Name)
	}
	if r.atOnce {
		limit.Kind = quota.Concurrency
		return nil
	}
	switch limit.Resource {
	case ResourceColdServers:
		limit.Kind = quota.Budget
		limit.Amount = 1
		limit.Burst = slowStartUnits
	case ResourceHealthChecks, ResourceListCalls, ResourceDials:
		limit.Kind = quota.Budget
	}
	if limit.Burst == 0 {
		limit.Burst = max(1, limit.Amount)
	}
	return nil
}

// String formats the settings as the form that is read.
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

// text formats the limit as the form that is read.
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
	beyond := beyondLowerWeight
	if l.Hard {
		beyond = beyondRejected
	}
	return fmt.Sprintf("(limit %q (of %s%s)%s (reserve %g) (manner %s) (beyond %s))",
		l.Name, l.Resource, subject, amount, l.Reserve, l.Guarantee, beyond)
}
