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

// openPeers has the pooler be one of a fleet, where the settings have it so.
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
	v.Expect = cmp.Or(v.Expect, p.cfg.Settings.Peers)
	p.expectedPoolers = v.Expect
	drawn := rand.Uint64() // not of the configuration's seed, which two processes may have
	v.Seed = drawn
	p.peers = cluster.New(p.loop, p.log, cluster.Options{Listen: set.Listen, Advertise: set.Advertise, Key: key, View: v, Limits: quotas(&own, p.expectedPoolers), Again: p.inheritedListener != nil,
		Record: view.Record{ID: view.NewID(clock.Wall(), drawn), Name: p.cfg.Name, Zone: zone, Region: set.Region, Version: short(version())}}, fleetEvents{p})
	if own.Enabled {
		p.limits = &fleetLimits{pooler: p, set: own, assigned: map[string]limits.Told{}}
	}
	return nil
}

func short(s string) string { return s[:min(len(s), view.MostName)] }

// fleetEvents carries on what the view comes to.
type fleetEvents struct{ pooler *pooler }

// Fleet is peers.Events'.
func (f fleetEvents) Fleet(c view.Counts) {
	p := f.pooler
	p.log.Info("fleet", "reachable", c.Reachable, "sending", c.Sending, "majority", c.Majority, "alone", c.Alone)
	p.core.SetPeers(c.Sending)
}

// Allow is peers.Events'.
func (f fleetEvents) Allow(limit string, amount, burst float64) {
	if f.pooler.limits != nil {
		f.pooler.limits.allow(limit, amount, burst)
	}
}

// Member is peers.Events'.
func (f fleetEvents) Member(r view.Record, was view.State, isNew bool) {
	if isNew {
		f.pooler.core.Note(recordpb.Kind_KIND_PEER, fmt.Sprintf("%s %x %s: %s", r.Name, uint64(r.ID), r.Zone, r.State))
		return
	}
	f.pooler.core.Note(recordpb.Kind_KIND_PEER, fmt.Sprintf("%s %x %s: %s, was %s", r.Name, uint64(r.ID), r.Zone, r.State, was))
}

// writePeersMetrics tells the fleet's figures, where there is one.
func (p *pooler) writePeersMetrics(s *exposition.Snapshot) {
	if p.peers == nil {
		return
	}
	peers, c, n := s.Scope("peers"), p.peers.Counts(), p.peers.Stats()
	peers.IntGauge("reachable", int64(c.Reachable))
	peers.IntGauge("sending", int64(c.Sending))
	peers.Counter("datagrams_in", n.In)
	peers.Counter("datagrams_out", n.Out)
	peers.Counter("dropped", n.Dropped)
	peers.Counter("overrun", n.Overrun)
	peers.Counter("exchanges", n.Exchanges)
	peers.Counter("exchanges_failed", n.Fails)
}
