package main

import (
	"strconv"

	"beechgrade/internal/cluster"
	"beechgrade/internal/cluster/overload/adapter"
	"beechgrade/internal/eventloop"
	"beechgrade/internal/metrics/exposition"
	"beechgrade/internal/settings"
)

// clusterTransport provides a cluster module with the transport and with the loop's timers.
type clusterTransport struct {
	*cluster.Node
	loop *eventloop.Loop
}

// At calls do at a time by the loop's clock, in milliseconds.
func (h clusterTransport) At(ms float64, do func()) { h.loop.At(ms, do) }

// openOverload opens the shared handling of overload, where the settings enable it. It comes after openPeers.
func (p *pooler) openOverload(set settings.Overload) {
	if !set.Enabled || p.peers == nil {
		return
	}
	a := adapter.New(set.Options, p.core, clusterTransport{p.peers, p.loop})
	if set.SheddingEnabled {
		p.core.SetDemandObserver(a)
	}
	if set.ProbeSharingEnabled {
		p.core.SetHealthCheckSharer(adapter.Prober{Adapter: a})
	}
	a.Begin()
	p.peers.Register(a)
	p.overload = a
}

// writeOverloadMetrics writes the shedding levels of groups, where shared overload handling is enabled.
func (p *pooler) writeOverloadMetrics(s *exposition.Snapshot) {
	if p.overload == nil {
		return
	}
	for _, g := range p.overload.Statuses() {
		group := s.Scope("overload").Label("group", strconv.Itoa(int(g.Group)))
		group.Gauge("level", g.Level)
		group.IntGauge("of", int64(g.Cells))
		group.IntGauge("answers", int64(g.Answers))
	}
}
