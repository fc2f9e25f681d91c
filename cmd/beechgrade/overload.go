package main

import (
	"strconv"

	"beechgrade/internal/cluster"
	"beechgrade/internal/cluster/overload/adapter"
	"beechgrade/internal/eventloop"
	"beechgrade/internal/metrics/exposition"
	"beechgrade/internal/settings"
)

// clusterHost is what a part lives on: the peers' words and the loop's time.
type clusterHost struct {
	*cluster.Node
	loop *eventloop.Loop
}

// At is joined.Host's.
func (h clusterHost) At(ms float64, do func()) { h.loop.At(ms, do) }

// openOverload has the fleet handle overload as one, where the settings have it so; after openPeers.
func (p *pooler) openOverload(set settings.Overload) {
	if !set.Enabled || p.peers == nil {
		return
	}
	j := adapter.New(set.Options, p.core, clusterHost{p.peers, p.loop})
	if set.Shed {
		p.core.SetDemandObserver(j)
	}
	if set.Share {
		p.core.SetHealthCheckSharer(adapter.Prober{Adapter: j})
	}
	j.Begin()
	p.peers.Register(j)
	p.overload = j
}

// writeOverloadMetrics tells how groups stand, where overload is handled together.
func (p *pooler) writeOverloadMetrics(s *exposition.Snapshot) {
	if p.overload == nil {
		return
	}
	for _, g := range p.overload.Statuses() {
		of := s.Scope("overload").Label("group", strconv.Itoa(int(g.Group)))
		of.Gauge("level", g.Level)
		of.IntGauge("of", int64(g.Cells))
		of.IntGauge("answers", int64(g.Answers))
	}
}
