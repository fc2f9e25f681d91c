package core

import (
	"maps"

	"beechgrade/internal/backend"
	"beechgrade/internal/cluster/overload/retrybudget"
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/metrics"
)

// strainedFrom is the part of its latency objective at which an answer begins to count as strained.
const strainedFrom = 0.7

// DemandObserver counts the demand on groups, and how hard it was to serve what was admitted.
type DemandObserver interface {
	Received(group, class, tenant int, again, in bool)
	Ended(group, class int, served, gone bool, strain float64) // of an admitted request
}

// HealthCheckSharer shares health checks with other poolers.
type HealthCheckSharer interface {
	// Delegates reports whether another pooler makes a server's health check; else this one does.
	Delegates(server string) bool
	// Ended takes a health check that this pooler made, and reports whether it passes the result on; else it goes to the router
	// as usual.
	Ended(server string, result decide.Result, report backend.Report) bool
}

// fleetState is the core's part in the fleet's handling of overload and zones; all nil without peers.
type fleetState struct {
	demandObserver    DemandObserver
	healthCheckSharer HealthCheckSharer
	shedding          map[int]*decide.SheddingPolicy
	retryBudget       *retrybudget.Settings
	recoveryRampRate  float64

	zoneObserver ZoneObserver
	zoneOverride zoneOverride
}

// requestDemand is a request as a part of its group's demand.
type requestDemand struct {
	admitted    bool // it was admitted, and counts
	group       int
	class       int
	arrived     float64
	objectiveMs float64
}

// SetDemandObserver sets the receiver of demand and load.
func (c *Core) SetDemandObserver(observer DemandObserver) { c.fleet.demandObserver = observer }

// SetHealthCheckSharer sets what shares health checks with other poolers.
func (c *Core) SetHealthCheckSharer(sharer HealthCheckSharer) { c.fleet.healthCheckSharer = sharer }

// AverageWork returns the average work of a request, by class, in seconds.
func (c *Core) AverageWork() []float64 { return c.router.AverageWork() }

// Names returns the names of classes and tenants, by number.
func (c *Core) Names() (classes, tenants []string) { return c.config.Classes, c.config.Tenants }

// DecisionSettings returns the settings with their classes and tenants.
func (c *Core) DecisionSettings() *decide.Settings { return &c.config.Settings }

// SetShedding sets what the router sheds of a group's requests; nil for nothing.
func (c *Core) SetShedding(group int, policy *decide.SheddingPolicy) {
	shedding := maps.Clone(c.fleet.shedding) // the router has the old one
	if shedding == nil {
		shedding = map[int]*decide.SheddingPolicy{}
	}
	delete(shedding, group)
	if policy != nil {
		policy.MaxRetryAfter = c.config.Settings.MaxRetryAfter
		shedding[group] = policy
	}
	c.fleet.shedding = shedding
	c.reload()
}

// SetRetryBudget sets the bound on hedged requests and retries, and on new connections a second, over all poolers, to a server
// that has returned; 0 for any number.
func (c *Core) SetRetryBudget(budget *retrybudget.Settings, recoveryRampRate float64) {
	c.fleet.retryBudget = budget
	c.fleet.recoveryRampRate = recoveryRampRate
	if c.servers != nil {
		c.reload()
	}
}

// RetryBudgets returns the hedged requests and retries that groups may still send from here.
func (c *Core) RetryBudgets() []decide.RetryBudget {
	if c.fleet.retryBudget == nil {
		return nil
	}
	return c.router.RetryBudgets()
}

// AddRetryBudget adds to the hedged requests and retries that groups may send, or subtracts from them.
func (c *Core) AddRetryBudget(more map[int]float64) {
	if c.fleet.retryBudget == nil || len(more) == 0 {
		return
	}
	budget := *c.fleet.retryBudget // the router has the old one
	budget.Lent = maps.Clone(budget.Lent)
	if budget.Lent == nil {
		budget.Lent = map[int]float64{}
	}
	for group, amount := range more { // each on its own, so the order does not matter
		budget.Lent[group] += amount
	}
	c.fleet.retryBudget = &budget
	c.reload()
}

// countDemand counts a request that was received, for the fleet.
func (c *Core) countDemand(req *request, now decide.Time, event *decide.Request) {
	if c.fleet.demandObserver != nil {
		req.demand = requestDemand{
			admitted:    !c.fleet.shedding[event.Group].RejectsArrival(now, event),
			group:       event.Group,
			class:       event.Class,
			arrived:     c.loop.Now(),
			objectiveMs: clock.ToMillis(c.config.Settings.Classes[event.Class].LatencyObjective),
		}
		c.fleet.demandObserver.Received(event.Group, event.Class, event.Tenant, event.ClientRetry, req.demand.admitted)
	}
	if c.fleet.zoneObserver != nil {
		c.fleet.zoneObserver.Received(event.Group, event.Class)
	}
}

// countEnd counts how an admitted request ended.
func (c *Core) countEnd(req *request, end metrics.Outcome) {
	demand := &req.demand
	if c.fleet.demandObserver == nil || !demand.admitted {
		return
	}
	took := (c.loop.Now() - demand.arrived) / max(1, demand.objectiveMs) // as a multiple of the objective
	served, strain := end == metrics.Served, 1.0
	if served {
		strain = max(0, min(1, (took-strainedFrom)/(1-strainedFrom)))
	}
	c.fleet.demandObserver.Ended(demand.group, demand.class, served, end == metrics.ClientGone && took < 1, strain)
}
