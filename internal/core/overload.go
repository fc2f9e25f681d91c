package core

import (
	"maps"

	"beechgrade/internal/backend"
	"beechgrade/internal/cluster/overload/retrybudget"
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/metrics"
)

// strainThreshold is the latency, as a part of the latency objective, at which the strain of an answer begins to rise from 0. It
// reaches 1 at the objective.
const strainThreshold = 0.7

// DemandObserver counts the demand on groups, and the strain of serving the admitted requests.
type DemandObserver interface {
	Received(group, class, tenant int, isRetry, admitted bool)
	// Ended reports the end of an admitted request. strain is from 0 to 1. clientLeft means that the client left within the
	// latency objective.
	Ended(group, class int, served, clientLeft bool, strain float64)
}

// HealthCheckSharer shares health checks with other poolers.
type HealthCheckSharer interface {
	// Delegates reports whether another pooler makes a server's health check; otherwise this one does.
	Delegates(server string) bool
	// Ended receives the result of a health check that this pooler made, and reports whether it passes the result on itself;
	// otherwise the core passes it to the router.
	Ended(server string, result decide.Result, report backend.Report) bool
}

// fleetState is the state of fleet-wide overload control and zone planning. It is the zero value without peers.
type fleetState struct {
	demandObserver    DemandObserver
	healthCheckSharer HealthCheckSharer
	shedding          map[int]*decide.SheddingPolicy
	retryBudget       *retrybudget.Settings
	recoveryRampRate  float64

	zoneObserver ZoneObserver
	zoneOverride zoneOverride
}

// requestDemand is a request's contribution to its group's demand.
type requestDemand struct {
	admitted    bool // shedding did not reject the request, so its end is reported
	group       int
	class       int
	arrived     float64
	objectiveMs float64
}

// SetDemandObserver sets the observer of demand and load.
func (c *Core) SetDemandObserver(observer DemandObserver) { c.fleet.demandObserver = observer }

// SetHealthCheckSharer sets the sharer of health checks.
func (c *Core) SetHealthCheckSharer(sharer HealthCheckSharer) { c.fleet.healthCheckSharer = sharer }

// AverageWork returns the average work of a request, by class, in seconds.
func (c *Core) AverageWork() []float64 { return c.router.AverageWork() }

// Names returns the names of classes and tenants, by number.
func (c *Core) Names() (classes, tenants []string) { return c.config.Classes, c.config.Tenants }

// DecisionSettings returns the settings with their classes and tenants.
func (c *Core) DecisionSettings() *decide.Settings { return &c.config.Settings }

// SetShedding sets the shedding policy of a group; nil for none.
func (c *Core) SetShedding(group int, policy *decide.SheddingPolicy) {
	shedding := maps.Clone(c.fleet.shedding) // the router still uses the old map
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

// SetRetryBudget sets the budget of hedged requests and retries, and the limit of new connections a second that all poolers together
// may open to a server that has recovered; a rate of 0 means no limit.
func (c *Core) SetRetryBudget(budget *retrybudget.Settings, recoveryRampRate float64) {
	c.fleet.retryBudget = budget
	c.fleet.recoveryRampRate = recoveryRampRate
	if c.servers != nil {
		c.reload()
	}
}

// RetryBudgets returns this pooler's remaining budgets of hedged requests and retries, by group.
func (c *Core) RetryBudgets() []decide.RetryBudget {
	if c.fleet.retryBudget == nil {
		return nil
	}
	return c.router.RetryBudgets()
}

// AddRetryBudget adds amounts, which may be negative, to the groups' budgets of hedged requests and retries.
func (c *Core) AddRetryBudget(amounts map[int]float64) {
	if c.fleet.retryBudget == nil || len(amounts) == 0 {
		return
	}
	budget := *c.fleet.retryBudget // the router still uses the old value
	budget.Lent = maps.Clone(budget.Lent)
	if budget.Lent == nil {
		budget.Lent = map[int]float64{}
	}
	for group, amount := range amounts { // one entry for each group, so the order does not matter
		budget.Lent[group] += amount
	}
	c.fleet.retryBudget = &budget
	c.reload()
}

// countDemand reports a received request to the demand and zone observers.
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

// countEnd reports the end of an admitted request to the demand observer.
func (c *Core) countEnd(req *request, end metrics.Outcome) {
	demand := &req.demand
	if c.fleet.demandObserver == nil || !demand.admitted {
		return
	}
	took := (c.loop.Now() - demand.arrived) / max(1, demand.objectiveMs) // as a multiple of the objective
	served, strain := end == metrics.Served, 1.0
	if served {
		strain = max(0, min(1, (took-strainThreshold)/(1-strainThreshold)))
	}
	c.fleet.demandObserver.Ended(demand.group, demand.class, served, end == metrics.ClientGone && took < 1, strain)
}
