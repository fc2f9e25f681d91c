package main

import (
	"fmt"

	"beechgrade/internal/cluster/quota"
	"beechgrade/internal/frontend/clickhouse/limits"
	"beechgrade/internal/metrics/exposition"
	"beechgrade/internal/record/recordpb"
	"beechgrade/internal/settings"
)

// demandIntervalMs is the interval between reports of this pooler's demand under the fleet's limits.
const demandIntervalMs = 100

// fleetLimits passes allowances under the limits of the whole fleet on to the subsystems that enforce them.
type fleetLimits struct {
	pooler   *pooler
	set      settings.FleetLimits
	assigned map[string]limits.Allowance // by user
	ticking  bool
}

// quotas returns the settings of package quota for the limits; nil where there are none.
func quotas(set *settings.FleetLimits, expectedPoolers int) *quota.Settings {
	if !set.Enabled {
		return nil
	}
	s := set.Settings
	s.Limits, s.ExpectedPoolers = set.Quotas(), expectedPoolers
	return &s
}

// apply puts limits in force. A new limit allows nothing until an allowance is assigned. It runs on the loop.
func (l *fleetLimits) apply(set settings.FleetLimits) {
	old := l.set.Limits
	l.set = set
	for i := range set.Limits {
		if limit := &set.Limits[i]; !containsLimit(old, limit) { // limits that the core enforces start with an allowance of nothing by themselves
			l.assign(limit, 0, 0)
		}
	}
	for i := range old {
		if limit := &old[i]; !containsLimit(set.Limits, limit) {
			l.release(limit)
		}
	}
	l.pooler.core.SetLimits(set.CoreLimits(), l.pooler.peers)
	if !l.ticking {
		l.ticking = true
		l.tick()
		l.pooler.loop.Every("fleet_limits", demandIntervalMs, l.tick)
	}
}

func containsLimit(list []settings.FleetLimit, limit *settings.FleetLimit) bool {
	for i := range list {
		if list[i].Name == limit.Name && list[i].Resource == limit.Resource && list[i].Subject == limit.Subject && list[i].Kind == limit.Kind {
			return true
		}
	}
	return false
}

// assign sets the allowance of a limit in the subsystem that enforces it.
func (l *fleetLimits) assign(limit *settings.FleetLimit, amount, burst float64) {
	switch limit.Resource {
	case settings.ResourceQueries:
		t := l.assigned[limit.Subject]
		if limit.Kind == quota.Concurrency {
			t.BoundsRunning, t.MaxRunning = true, int(amount+1e-9)
		} else {
			t.BoundsRate, t.PerSecond, t.Burst = true, amount, burst
		}
		if l.assigned[limit.Subject] = t; l.pooler.clickhouse != nil {
			l.pooler.clickhouse.AssignLimit(limit.Subject, t)
		}
	case settings.ResourcePool:
		if l.pooler.pooling != nil {
			l.pooler.pooling.AssignLimit(limit.Subject, int(amount+1e-9))
		}
	case settings.ResourceShards:
		if l.pooler.scatter != nil {
			l.pooler.scatter.AssignLimit(int(amount + 1e-9))
		}
	}
}

// release removes a limit from the subsystem that enforced it, which returns to its own settings.
func (l *fleetLimits) release(limit *settings.FleetLimit) {
	switch limit.Resource {
	case settings.ResourceQueries:
		t := l.assigned[limit.Subject]
		if limit.Kind == quota.Concurrency {
			t.BoundsRunning = false
		} else {
			t.BoundsRate = false
		}
		if l.assigned[limit.Subject] = t; l.pooler.clickhouse == nil {
			return
		}
		if l.pooler.clickhouse.AssignLimit(limit.Subject, t); t == (limits.Allowance{}) {
			l.pooler.clickhouse.RestoreLimits(limit.Subject)
		}
	case settings.ResourcePool:
		if l.pooler.pooling != nil {
			l.pooler.pooling.RestoreLimits(limit.Subject)
		}
	case settings.ResourceShards:
		if l.pooler.scatter != nil {
			l.pooler.scatter.RestoreLimits()
		}
	}
}

// allow sets this pooler's allowance under a limit.
func (l *fleetLimits) allow(name string, amount, burst float64) {
	l.pooler.log.Debug("fleet limits: allowance changed", "limit", name, "amount", amount, "burst", burst)
	l.pooler.core.RecordEvent(recordpb.Kind_KIND_LIMIT, fmt.Sprintf("%s: %g", name, amount))
	if l.pooler.core.SetAllowance(name, amount, burst) {
		return
	}
	for i := range l.set.Limits {
		if limit := &l.set.Limits[i]; limit.Name == name {
			l.assign(limit, amount, burst)
			if limit.Kind == quota.Concurrency { // use beyond the allowance must be reported before the rest is leased to other poolers
				l.reportDemand(limit)
			}
		}
	}
}

// reportDemand reports how much this pooler would use of a limit, and for a concurrency limit how much it uses.
func (l *fleetLimits) reportDemand(limit *settings.FleetLimit) {
	if wanted, ok := l.pooler.core.Demand(limit.Name); ok {
		if limit.Resource == settings.ResourceColdServers { // as a share of the fleet's slow-start budget
			wanted /= slowStartScale
		}
		l.pooler.peers.ReportDemand(limit.Name, wanted, 0)
		return
	}
	switch {
	case limit.Resource == settings.ResourceQueries && l.pooler.clickhouse != nil:
		demand := l.pooler.clickhouse.Demand(limit.Subject)
		if limit.Kind == quota.Concurrency {
			running := float64(demand.Running)
			l.pooler.peers.ReportDemand(limit.Name, running+demand.Unserved, running)
		} else {
			l.pooler.peers.ReportDemand(limit.Name, demand.PerSecond, 0)
		}
	case limit.Resource == settings.ResourcePool && l.pooler.pooling != nil:
		used, wanted := l.pooler.pooling.Demand(limit.Subject)
		l.pooler.peers.ReportDemand(limit.Name, float64(wanted), float64(used))
	case limit.Resource == settings.ResourceShards && l.pooler.scatter != nil:
		used, wanted := l.pooler.scatter.Demand()
		l.pooler.peers.ReportDemand(limit.Name, float64(wanted), float64(used))
	}
}

// slowStartScale is the request rate, per second, that is reported as the whole slow-start budget. Only ratios between rates matter.
const slowStartScale = 1e5

func (l *fleetLimits) tick() {
	for i := range l.set.Limits {
		l.reportDemand(&l.set.Limits[i])
	}
}

// reloadLimits applies new limits.
func (p *pooler) reloadLimits(set settings.FleetLimits) {
	if p.peers == nil {
		if set.Enabled {
			p.log.Warn("settings cannot be changed while serving; the previous ones apply until a restart", "settings", []string{"fleet-limits"})
		}
		return
	}
	if p.limits == nil {
		if !set.Enabled {
			return
		}
		p.limits = &fleetLimits{pooler: p, assigned: map[string]limits.Allowance{}}
	}
	p.limits.apply(set)
	p.peers.SetLimits(*quotasOrNone(&set, p.expectedPoolers))
	p.log.Info("fleet limits: settings reloaded", "limits", len(set.Limits))
}

func quotasOrNone(set *settings.FleetLimits, expectedPoolers int) *quota.Settings {
	if s := quotas(set, expectedPoolers); s != nil {
		return s
	}
	return &quota.Settings{ExpectedPoolers: expectedPoolers}
}

// writeLimitsMetrics writes the metrics of the fleet's limits, where any are configured.
func (p *pooler) writeLimitsMetrics(s *exposition.Snapshot) {
	if p.peers == nil || p.limits == nil {
		return
	}
	for _, l := range p.peers.QuotaStatuses() {
		limit := s.Scope("limits").Label("limit", l.Limit.Name)
		limit.Gauge("allowed", l.Amount)
		limit.Gauge("floor", l.Reserved)
		limit.BoolGauge("owns", l.IsOwner)
		limit.Gauge("lent", l.Leased)
	}
}
