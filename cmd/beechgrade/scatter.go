package main

import (
	"beechgrade/internal/frontend/scatter"
	"beechgrade/internal/frontend/scatter/cursor"
	"beechgrade/internal/metrics/exposition"
	"beechgrade/internal/settings"
)

// openScatter adds reads over many groups to the second front, where the settings have them. It comes before openPooling.
func (p *pooler) openScatter(o settings.Scatter, peers settings.Cluster) error {
	if !o.Enabled {
		return nil
	}
	secrets, err := o.Secrets(&peers)
	if err != nil {
		return badInput{err}
	}
	p.scatter = scatter.New(p.loop, p.log, scatter.Options{Specs: o.Specs, Ring: cursor.NewRing(o.RotateMs, o.MaxCursorAgeMs, secrets...), ConnectMs: p.cfg.ConnectTimeoutMs,
		Roles: [2]string{"primary", "replica"}, PositionName: "applied_ms", Spare: func() int { return p.spareConns() }}, p.core, p.core)
	return nil
}

// heldBeside is how many descriptors the other fronts hold, beside the first one and its connections to servers.
func (p *pooler) heldBeside() int {
	n := 0
	if p.pooling != nil {
		n += p.pooling.Sessions() + p.pooling.Conns()
	}
	if p.scatter != nil {
		n += p.scatter.Conns()
	}
	if p.clickhouse != nil {
		n += p.clickhouse.Sessions() + p.clickhouse.Conns()
	}
	return n
}

// spareConns is how many descriptors the other fronts may take yet.
func (p *pooler) spareConns() int {
	return p.sockets() - reservedDescriptors - p.platform.Sessions() - p.backend.Conns() - p.heldBeside()
}

// writeScatterMetrics tells the scattered reads' figures, where there are any.
func (p *pooler) writeScatterMetrics(s *exposition.Snapshot) {
	if p.scatter != nil {
		p.scatter.Figures(s)
	}
}
