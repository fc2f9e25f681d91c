package main

import (
	"cmp"
	"fmt"
	"math/rand/v2"

	"beechgrade/internal/cluster"
	"beechgrade/internal/cluster/view"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/frontend/clickhouse/limits"
	"beechgrade/internal/metrics/exposition"
	"beechgrade/internal/record/recordpb"
	"beechgrade/internal/settings"
)

// openPeers makes the pooler a member of a fleet, where the settings enable it.
func (p *pooler) openPeers(set settings.Cluster, own settings.FleetLimits) error {
	if !set.Enabled {
		return nil
	}
	key, err := set.Key()
	if err != nil {
		return badInput{err}
	}
	zone := set.Zone
	if z := p.cfg.Settings.Zone; zone == "" && z >= 0 && z < len(p.cfg.Zones) {
		zone = p.cfg.Zones[z]
	}
	v := set.View
	v.ExpectedPoolers = cmp.Or(v.ExpectedPoolers, p.cfg.Settings.Peers)
	p.expectedPoolers = v.ExpectedPoolers
	drawn := rand.Uint64() // two processes may have the same seed in their configuration
	v.RandomSeed = drawn
	p.peers = cluster.New(p.loop, p.log, cluster.Options{
		Listen:    set.Listen,
		Advertise: set.Advertise,
		Key:       key,
		View:      v,
		Quota:     quotas(&own, p.expectedPoolers),
		RetryBind: p.inheritedListener != nil,
		Record: view.Record{
			ID:      view.NewID(clock.Wall(), drawn),
			Name:    p.cfg.Name,
			Zone:    zone,
			Region:  set.Region,
			Version: short(version()),
		},
	}, fleetEvents{p})
	if own.Enabled {
		p.limits = &fleetLimits{pooler: p, set: own, assigned: map[string]limits.Allowance{}}
	}
	return nil
}

func short(s string) string { return s[:min(len(s), view.MaxNameBytes)] }

// fleetEvents passes changes of the cluster's view on to the pooler.
type fleetEvents struct{ pooler *pooler }

// CountsChanged applies how many poolers there are.
func (f fleetEvents) CountsChanged(c view.Counts) {
	p := f.pooler
	p.log.Info("fleet", "reachable", c.Reachable, "sending", c.Sending, "majority", c.Majority, "alone", c.Isolated)
	p.core.SetPeers(c.Sending)
}

// AllowanceChanged applies what this pooler may use of a limit.
func (f fleetEvents) AllowanceChanged(limit string, amount, burst float64) {
	if f.pooler.limits != nil {
		f.pooler.limits.allow(limit, amount, burst)
	}
}

// MemberChanged records a change of a member.
func (f fleetEvents) MemberChanged(r view.Record, was view.State, isNew bool) {
	if isNew {
		f.pooler.core.RecordEvent(recordpb.Kind_KIND_PEER, fmt.Sprintf("%s %x %s: %s", r.Name, uint64(r.ID), r.Zone, r.State))
		return
	}
	f.pooler.core.RecordEvent(recordpb.Kind_KIND_PEER, fmt.Sprintf("%s %x %s: %s, was %s", r.Name, uint64(r.ID), r.Zone, r.State, was))
}

// writePeersMetrics writes the metrics of the fleet, where the pooler is in one.
func (p *pooler) writePeersMetrics(s *exposition.Snapshot) {
	if p.peers == nil {
		return
	}
	peers, c, n := s.Scope("peers"), p.peers.Counts(), p.peers.Stats()
	peers.IntGauge("reachable", int64(c.Reachable))
	peers.IntGauge("sending", int64(c.Sending))
	peers.Counter("datagrams_in", n.DatagramsIn)
	peers.Counter("datagrams_out", n.DatagramsOut)
	peers.Counter("dropped", n.Dropped)
	peers.Counter("overrun", n.Overflowed)
	peers.Counter("exchanges", n.Exchanges)
	peers.Counter("exchanges_failed", n.ExchangesFailed)
}
