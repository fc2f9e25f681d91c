package core

import (
	"maps"

	"beechgrade/internal/backend"
	"beechgrade/internal/cluster/overload/retrybudget"
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/metrics"
)

// DemandObserver counts the demand on groups, and how hard it was to serve what was admitted.
type DemandObserver interface {
	Received(group, class, tenant int, again, in bool)
	Ended(group, class int, served, gone bool, strain float64) // of an admitted request
}

// HealthCheckSharer shares probes with other poolers.
type HealthCheckSharer interface {
	Delegates(server string) bool                                          // false: this pooler makes it
	Ended(server string, result decide.Result, report backend.Report) bool // of one that this pooler made; false: it goes to the router as usual
}

// fleetState is the core's part in the fleet's handling of overload; all nil without peers.
type fleetState struct {
	demandObserver    DemandObserver
	healthCheckSharer HealthCheckSharer
	shedding          map[int]*decide.SheddingPolicy
	retryBudget       *retrybudget.Repeats
	recoveryRampRate  float64

	zoneObserver ZoneObserver
	zoneOverride zoneOverride
}

// requestDemand is a request as a part of its group's load.
type requestDemand struct {
	admitted bool // it was admitted, and counts
	group    int
	class    int
	arrived  float64
	target   float64
}

// SetDemandObserver sets the receiver of demand and load, SetHealthCheckSharer what shares probes.
func (c *Core) SetDemandObserver(p DemandObserver)       { c.fleet.demandObserver = p }
func (c *Core) SetHealthCheckSharer(p HealthCheckSharer) { c.fleet.healthCheckSharer = p }
func (c *Core) AverageWork() []float64                   { return c.router.AverageWork() }
func (c *Core) Names() (classes, tenants []string)       { return c.config.Classes, c.config.Tenants }

// DecisionSettings returns the settings with their classes and tenants.
func (c *Core) DecisionSettings() *decide.Settings { return &c.config.Settings }

// SetShedding sets what the router turns away of a group's requests; nil for nothing.
func (c *Core) SetShedding(group int, s *decide.SheddingPolicy) {
	c.fleet.shedding = maps.Clone(c.fleet.shedding) // the router has the old one
	if c.fleet.shedding == nil {
		c.fleet.shedding = map[int]*decide.SheddingPolicy{}
	}
	if delete(c.fleet.shedding, group); s != nil {
		s.MaxRetryAfter = c.config.Settings.MaxRetryAfter
		c.fleet.shedding[group] = s
	}
	c.reload()
}

// SetRetryBudget sets the bound on copies and repeats, and on new connections a second, over all poolers, to a server that has returned; 0 for
// any number.
func (c *Core) SetRetryBudget(b *retrybudget.Repeats, returns float64) {
	if c.fleet.retryBudget, c.fleet.recoveryRampRate = b, returns; c.servers != nil {
		c.reload()
	}
}

// RetryBudgets returns the copies and repeats that groups may still send from here.
func (c *Core) RetryBudgets() []decide.RetryBudget {
	if c.fleet.retryBudget == nil {
		return nil
	}
	return c.router.RetryBudgets()
}

// AddRetryBudget adds to the copies and repeats that groups may send, or subtracts from them.
func (c *Core) AddRetryBudget(more map[int]float64) {
	if c.fleet.retryBudget == nil || len(more) == 0 {
		return
	}
	b := *c.fleet.retryBudget // the router has the old one
	b.Lent = maps.Clone(b.Lent)
	if b.Lent == nil {
		b.Lent = map[int]float64{}
	}
	for g, x := range more { // each on its own, so the order does not matter
		b.Lent[g] += x
	}
	c.fleet.retryBudget = &b
	c.reload()
}

// CheckHealth probes a server, within the fleet's limit of probes.
func (c *Core) CheckHealth(server string) {
	c.useLimit(LimitHealthChecks, "").run(c, func() { c.servers.CheckHealth(server) })
}

// HealthCheckReported passes a probe's result, which is ageMs old at most, to the router.
func (c *Core) HealthCheckReported(server string, result decide.Result, report backend.Report, ageMs float64) {
	denies := report.Role == decide.RoleReplica
	if witness := c.observation.observer; witness != nil && result == decide.OK && witness.Ejects(server) {
		c.mergeReport(server, report)
		result, report = decide.Failed, backend.Report{} // it says nothing of whether requests come through
	}
	r := reportOf(report)
	r.Age = clock.ToDuration(ageMs)
	c.handleEvent(&decide.HealthCheckResult{Server: decide.ServerID(server), Result: result, Load: r})
	if denies {
		c.recallUnwritten(server)
	}
}

// countLoad counts a request that arrived.
func (c *Core) countLoad(req *request, now decide.Time, ev *decide.Request) {
	if c.fleet.demandObserver == nil {
		return
	}
	s := c.fleet.shedding[ev.Group]
	req.demand = requestDemand{admitted: !s.RejectsArrival(now, ev), group: ev.Group, class: ev.Class, arrived: c.loop.Now(), target: clock.ToMillis(c.config.Settings.Classes[ev.Class].LatencyObjective)}
	c.fleet.demandObserver.Received(ev.Group, ev.Class, ev.Tenant, ev.ClientRetry, req.demand.admitted)
}

// strainedFrom is the part of its target at which an answer begins to count as strained.
const strainedFrom = 0.7

// countEnd counts how an admitted request ended.
func (c *Core) countEnd(req *request, end metrics.Outcome) {
	l := &req.demand
	if c.fleet.demandObserver == nil || !l.admitted {
		return
	}
	took := (c.loop.Now() - l.arrived) / max(1, l.target)
	served, strain := end == metrics.Served, 1.0
	if served {
		strain = max(0, min(1, (took-strainedFrom)/(1-strainedFrom)))
	}
	c.fleet.demandObserver.Ended(l.group, l.class, served, end == metrics.ClientGone && took < 1, strain)
}
