package main

import (
	"fmt"

	"beechgrade/internal/cluster/quota"
	"beechgrade/internal/frontend/clickhouse/limits"
	"beechgrade/internal/metrics/exposition"
	"beechgrade/internal/record/recordpb"
	"beechgrade/internal/settings"
)

// demandIntervalMs is between two looks at what this pooler would use of the fleet's limits.
const demandIntervalMs = 100

// fleetLimits joins limits that hold for the whole fleet to what they are of.
type fleetLimits struct {
	pooler   *pooler
	set      settings.FleetLimits
	assigned map[string]limits.Told // by user
	ticking  bool
}

// quotas are the limits as the poolers share them; nil where there are none.
func quotas(set *settings.FleetLimits, expect int) *quota.Settings {
	if !set.On {
		return nil
	}
	s := set.Settings
	s.Limits, s.Expect = set.Quotas(), expect
	return &s
}

// apply has the parts keep to nothing of each limit until they are told; it runs on the loop.
func (l *fleetLimits) apply(set settings.FleetLimits) {
	old := l.set.List
	l.set = set
	for i := range set.List {
		if x := &set.List[i]; !containsLimit(old, x) { // what the core has is nothing by itself
			l.assign(x, 0, 0)
		}
	}
	for i := range old {
		if x := &old[i]; !containsLimit(set.List, x) {
			l.release(x)
		}
	}
	l.pooler.core.SetLimits(set.Bounds(), l.pooler.peers)
	if !l.ticking {
		l.ticking = true
		l.tick()
	}
}

func containsLimit(list []settings.FleetLimit, x *settings.FleetLimit) bool {
	for i := range list {
		if list[i].Name == x.Name && list[i].Of == x.Of && list[i].Whom == x.Whom && list[i].Kind == x.Kind {
			return true
		}
	}
	return false
}

// assign tells a part what it may use.
func (l *fleetLimits) assign(x *settings.FleetLimit, amount, burst float64) {
	switch x.Of {
	case settings.OfQueries:
		t := l.assigned[x.Whom]
		if x.Kind == quota.Number {
			t.Queries, t.Most = true, int(amount+1e-9)
		} else {
			t.Rate, t.PerSecond, t.Burst = true, amount, burst
		}
		if l.assigned[x.Whom] = t; l.pooler.clickhouse != nil {
			l.pooler.clickhouse.Tell(x.Whom, t)
		}
	case settings.OfPool:
		if l.pooler.pooling != nil {
			l.pooler.pooling.Tell(x.Whom, int(amount+1e-9))
		}
	case settings.OfShards:
		if l.pooler.scatter != nil {
			l.pooler.scatter.Tell(int(amount + 1e-9))
		}
	}
}

// release has a part go by its own settings again.
func (l *fleetLimits) release(x *settings.FleetLimit) {
	switch x.Of {
	case settings.OfQueries:
		t := l.assigned[x.Whom]
		if x.Kind == quota.Number {
			t.Queries = false
		} else {
			t.Rate = false
		}
		if l.assigned[x.Whom] = t; l.pooler.clickhouse == nil {
			return
		}
		if l.pooler.clickhouse.Tell(x.Whom, t); t == (limits.Told{}) {
			l.pooler.clickhouse.Untell(x.Whom)
		}
	case settings.OfPool:
		if l.pooler.pooling != nil {
			l.pooler.pooling.Untell(x.Whom)
		}
	case settings.OfShards:
		if l.pooler.scatter != nil {
			l.pooler.scatter.Untell()
		}
	}
}

// allow is told what this pooler may use of a limit.
func (l *fleetLimits) allow(name string, amount, burst float64) {
	l.pooler.log.Debug("fleet limit", "limit", name, "amount", amount, "burst", burst)
	l.pooler.core.Note(recordpb.Kind_KIND_LIMIT, fmt.Sprintf("%s: %g", name, amount))
	if l.pooler.core.Allow(name, amount, burst) {
		return
	}
	for i := range l.set.List {
		if x := &l.set.List[i]; x.Name == name {
			l.assign(x, amount, burst)
			if x.Kind == quota.Number { // what is in use beyond it must be known before it is lent to others
				l.reportDemand(x)
			}
		}
	}
}

// reportDemand tells what this pooler would use of a limit, and uses.
func (l *fleetLimits) reportDemand(x *settings.FleetLimit) {
	if want, ok := l.pooler.core.Demand(x.Name); ok {
		if x.Of == settings.OfCold { // as a part of what a fleet may ask for
			want /= coldFlow
		}
		l.pooler.peers.Demand(x.Name, want, 0)
		return
	}
	switch {
	case x.Of == settings.OfQueries && l.pooler.clickhouse != nil:
		running, more, asked := l.pooler.clickhouse.Demand(x.Whom)
		if x.Kind == quota.Number {
			l.pooler.peers.Demand(x.Name, float64(running)+more, float64(running))
		} else {
			l.pooler.peers.Demand(x.Name, asked, 0)
		}
	case x.Of == settings.OfPool && l.pooler.pooling != nil:
		has, want := l.pooler.pooling.Demand(x.Whom)
		l.pooler.peers.Demand(x.Name, float64(want), float64(has))
	case x.Of == settings.OfShards && l.pooler.scatter != nil:
		has, want := l.pooler.scatter.Demand()
		l.pooler.peers.Demand(x.Name, float64(want), float64(has))
	}
}

// coldFlow is a flow, a second, that stands for the whole of the fall budget: parts of it follow how flows compare.
const coldFlow = 1e5

func (l *fleetLimits) tick() {
	for i := range l.set.List {
		l.reportDemand(&l.set.List[i])
	}
	l.pooler.loop.At(l.pooler.loop.Now()+demandIntervalMs, l.tick)
}

// reloadLimits takes limits that have changed.
func (p *pooler) reloadLimits(set settings.FleetLimits) {
	if p.peers == nil {
		if set.On {
			p.log.Warn("cannot change while serving, needs a restart", "kept", []string{"fleet-limits"})
		}
		return
	}
	if p.limits == nil {
		if !set.On {
			return
		}
		p.limits = &fleetLimits{pooler: p, assigned: map[string]limits.Told{}}
	}
	p.limits.apply(set)
	p.peers.Limit(*quotasOrNone(&set, p.expectedPoolers))
	p.log.Info("fleet limits read again", "limits", len(set.List))
}

func quotasOrNone(set *settings.FleetLimits, expect int) *quota.Settings {
	if s := quotas(set, expect); s != nil {
		return s
	}
	return &quota.Settings{Expect: expect}
}

// writeLimitsMetrics tells how the fleet's limits stand here.
func (p *pooler) writeLimitsMetrics(s *exposition.Sheet) {
	if p.peers == nil || p.limits == nil {
		return
	}
	for _, l := range p.peers.Standings() {
		of := s.Part("limits").Of("limit", l.Limit.Name)
		of.Level("allowed", l.Amount)
		of.Level("floor", l.Floor)
		of.Flag("owns", l.Owns)
		of.Level("lent", l.Lent)
	}
}
