package main

import (
	"fmt"

	"beechgrade/internal/cluster/quota"
	"beechgrade/internal/frontend/clickhouse/limits"
	"beechgrade/internal/metrics/exposition"
	"beechgrade/internal/record/recordpb"
	"beechgrade/internal/settings"
)

// demandIntervalMs is the time between two reports of this pooler's demand for the fleet's limits.
const demandIntervalMs = 100

// fleetLimits joins the limits that hold for the whole fleet to the subsystems that apply them.
type fleetLimits struct {
	pooler   *pooler
	set      settings.FleetLimits
	assigned map[string]limits.Allowance // by user
	ticking  bool
}

// quotas returns the settings of package quota for the limits; nil where there are none.
func quotas(set *settings.FleetLimits, expect int) *quota.Settings {
	if !set.Enabled {
		return nil
	}
	s := set.Settings
	s.Limits, s.ExpectedPoolers = set.Quotas(), expect
	return &s
}

// apply puts limits in force, with an allowance of nothing until one is assigned. It runs on the loop.
func (l *fleetLimits) apply(set settings.FleetLimits) {
	old := l.set.Limits
	l.set = set
	for i := range set.Limits {
		if x := &set.Limits[i]; !containsLimit(old, x) { // the core's own limits begin with nothing
			l.assign(x, 0, 0)
		}
	}
	for i := range old {
		if x := &old[i]; !containsLimit(set.Limits, x) {
			l.release(x)
		}
	}
	l.pooler.core.SetLimits(set.CoreLimits(), l.pooler.peers)
	if !l.ticking {
		l.ticking = true
		l.tick()
	}
}

func containsLimit(list []settings.FleetLimit, x *settings.FleetLimit) bool {
	for i := range list {
		if list[i].Name == x.Name && list[i].Resource == x.Resource && list[i].Subject == x.Subject && list[i].Kind == x.Kind {
			return true
		}
	}
	return false
}

// assign sets the allowance of a limit where it is applied.
func (l *fleetLimits) assign(x *settings.FleetLimit, amount, burst float64) {
	switch x.Resource {
	case settings.ResourceQueries:
		t := l.assigned[x.Subject]
		if x.Kind == quota.Concurrency {
			t.BoundsRunning, t.MaxRunning = true, int(amount+1e-9)
		} else {
			t.BoundsRate, t.PerSecond, t.Burst = true, amount, burst
		}
		if l.assigned[x.Subject] = t; l.pooler.clickhouse != nil {
			l.pooler.clickhouse.AssignLimit(x.Subject, t)
		}
	case settings.ResourcePool:
		if l.pooler.pooling != nil {
			l.pooler.pooling.AssignLimit(x.Subject, int(amount+1e-9))
		}
	case settings.ResourceShards:
		if l.pooler.scatter != nil {
			l.pooler.scatter.AssignLimit(int(amount + 1e-9))
		}
	}
}

// release removes a limit where it was applied, which goes by its own settings again.
func (l *fleetLimits) release(x *settings.FleetLimit) {
	switch x.Resource {
	case settings.ResourceQueries:
		t := l.assigned[x.Subject]
		if x.Kind == quota.Concurrency {
			t.BoundsRunning = false
		} else {
			t.BoundsRate = false
		}
		if l.assigned[x.Subject] = t; l.pooler.clickhouse == nil {
			return
		}
		if l.pooler.clickhouse.AssignLimit(x.Subject, t); t == (limits.Allowance{}) {
			l.pooler.clickhouse.RestoreLimits(x.Subject)
		}
	case settings.ResourcePool:
		if l.pooler.pooling != nil {
			l.pooler.pooling.RestoreLimits(x.Subject)
		}
	case settings.ResourceShards:
		if l.pooler.scatter != nil {
			l.pooler.scatter.RestoreLimits()
		}
	}
}

// allow sets what this pooler may use of a limit.
func (l *fleetLimits) allow(name string, amount, burst float64) {
	l.pooler.log.Debug("fleet limit", "limit", name, "amount", amount, "burst", burst)
	l.pooler.core.RecordEvent(recordpb.Kind_KIND_LIMIT, fmt.Sprintf("%s: %g", name, amount))
	if l.pooler.core.SetAllowance(name, amount, burst) {
		return
	}
	for i := range l.set.Limits {
		if x := &l.set.Limits[i]; x.Name == name {
			l.assign(x, amount, burst)
			if x.Kind == quota.Concurrency { // what is in use beyond it must be known before it is leased to others
				l.reportDemand(x)
			}
		}
	}
}

// reportDemand reports what this pooler would use of a limit, and what it uses.
func (l *fleetLimits) reportDemand(x *settings.FleetLimit) {
	if want, ok := l.pooler.core.Demand(x.Name); ok {
		if x.Resource == settings.ResourceColdServers { // as a part of the fleet's slow-start budget
			want /= slowStartScale
		}
		l.pooler.peers.ReportDemand(x.Name, want, 0)
		return
	}
	switch {
	case x.Resource == settings.ResourceQueries && l.pooler.clickhouse != nil:
		demand := l.pooler.clickhouse.Demand(x.Subject)
		if x.Kind == quota.Concurrency {
			running := float64(demand.Running)
			l.pooler.peers.ReportDemand(x.Name, running+demand.Unserved, running)
		} else {
			l.pooler.peers.ReportDemand(x.Name, demand.PerSecond, 0)
		}
	case x.Resource == settings.ResourcePool && l.pooler.pooling != nil:
		has, want := l.pooler.pooling.Demand(x.Subject)
		l.pooler.peers.ReportDemand(x.Name, float64(want), float64(has))
	case x.Resource == settings.ResourceShards && l.pooler.scatter != nil:
		has, want := l.pooler.scatter.Demand()
		l.pooler.peers.ReportDemand(x.Name, float64(want), float64(has))
	}
}

// slowStartScale is the flow of requests a second that counts as the whole slow-start budget. Only ratios of flows matter.
const slowStartScale = 1e5

func (l *fleetLimits) tick() {
	for i := range l.set.Limits {
		l.reportDemand(&l.set.Limits[i])
	}
	l.pooler.loop.At(l.pooler.loop.Now()+demandIntervalMs, l.tick)
}

// reloadLimits applies new limits.
func (p *pooler) reloadLimits(set settings.FleetLimits) {
	if p.peers == nil {
		if set.Enabled {
			p.log.Warn("cannot change while serving, needs a restart", "kept", []string{"fleet-limits"})
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
	p.log.Info("fleet limits read again", "limits", len(set.Limits))
}

func quotasOrNone(set *settings.FleetLimits, expect int) *quota.Settings {
	if s := quotas(set, expect); s != nil {
		return s
	}
	return &quota.Settings{ExpectedPoolers: expect}
}

// writeLimitsMetrics writes the metrics of the fleet's limits, where there are any.
func (p *pooler) writeLimitsMetrics(s *exposition.Snapshot) {
	if p.peers == nil || p.limits == nil {
		return
	}
	for _, l := range p.peers.QuotaStatuses() {
		of := s.Scope("limits").Label("limit", l.Limit.Name)
		of.Gauge("allowed", l.Amount)
		of.Gauge("floor", l.Reserved)
		of.BoolGauge("owns", l.IsOwner)
		of.Gauge("lent", l.Leased)
	}
}
