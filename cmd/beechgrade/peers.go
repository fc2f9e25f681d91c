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

// openPeers makes the pooler a member of a fleet of poolers, where the settings enable it.
func (p *pooler) openPeers(set settings.Cluster, fleetLimitSettings settings.FleetLimits) error {
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
	seed := rand.Uint64() // not the configuration's: two processes may have the same one
	v.RandomSeed = seed
	p.peers = cluster.New(p.loop, p.log, cluster.Options{
		Listen:    set.Listen,
		Advertise: set.Advertise,
		Key:       key,
		View:      v,
		Quota:     quotas(&fleetLimitSettings, p.expectedPoolers),
		RetryBind: p.inheritedListener != nil,
		Record: view.Record{
			ID:      view.NewID(clock.Wall(), seed),
			Name:    p.cfg.Name,
			Zone:    zone,
			Region:  set.Region,
			Version: truncateName(version()),
		},
	}, fleetEvents{p})
	if fleetLimitSettings.Enabled {
		p.limits = &fleetLimits{pooler: p, set: fleetLimitSettings, assigned: map[string]limits.Allowance{}}
	}
	return nil
}

// truncateName cuts a text to the longest name in a record.
func truncateName(s string) string { return s[:min(len(s), view.MaxNameBytes)] }

// fleetEvents passes changes of the cluster's view on to the pooler.
type fleetEvents struct{ pooler *pooler }

// CountsChanged applies a change of the number of poolers.
func (f fleetEvents) CountsChanged(c view.Counts) {
	p := f.pooler
	p.log.Info("cluster: number of poolers changed", "reachable", c.Reachable, "sending", c.Sending, "majority", c.Majority, "isolated", c.Isolated)
	p.core.SetPeers(c.Sending)
}

// AllowanceChanged applies a new allowance of this pooler under a limit.
func (f fleetEvents) AllowanceChanged(limit string, amount, burst float64) {
	if f.pooler.limits != nil {
		f.pooler.limits.allow(limit, amount, burst)
	}
}

// MemberChanged records a new member, or a member's change of state.
func (f fleetEvents) MemberChanged(r view.Record, previous view.State, isNew bool) {
	if isNew {
		f.pooler.core.RecordEvent(recordpb.Kind_KIND_PEER, fmt.Sprintf("%s %x %s: %s", r.Name, uint64(r.ID), r.Zone, r.State))
		return
	}
	f.pooler.core.RecordEvent(recordpb.Kind_KIND_PEER, fmt.Sprintf("%s %x %s: %s, was %s", r.Name, uint64(r.ID), r.Zone, r.State, previous))
}

// writePeersMetrics writes the metrics of the cluster, where the pooler is a member of a fleet.
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
