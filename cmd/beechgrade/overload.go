package main

import (
	"strconv"

	"beechgrade/internal/cluster"
	"beechgrade/internal/cluster/overload/adapter"
	"beechgrade/internal/eventloop"
	"beechgrade/internal/metrics/exposition"
	"beechgrade/internal/settings"
)

// clusterTransport gives a module of the cluster its transport and the loop's timers.
type clusterTransport struct {
	*cluster.Node
	loop *eventloop.Loop
}

// At calls do at a time of the loop's clock, in milliseconds.
func (h clusterTransport) At(ms float64, do func()) { h.loop.At(ms, do) }

// openOverload opens the shared handling of overload, where the settings enable it. It comes after openPeers.
func (p *pooler) openOverload(set settings.Overload) {
	if !set.Enabled || p.peers == nil {
		return
	}
	j := adapter.New(set.Options, p.core, clusterTransport{p.peers, p.loop})
	if set.SheddingEnabled {
		p.core.SetDemandObserver(j)
	}
	if set.ProbeSharingEnabled {
		p.core.SetHealthCheckSharer(adapter.Prober{Adapter: j})
	}
	j.Begin()
	p.peers.Register(j)
	p.overload = j
}

// writeOverloadMetrics writes the shedding levels of groups, where the fleet handles overload together.
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
