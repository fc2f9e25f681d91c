package main

import (
	"beechgrade/internal/frontend/scatter"
	"beechgrade/internal/frontend/scatter/cursor"
	"beechgrade/internal/metrics/exposition"
	"beechgrade/internal/settings"
)

// openScatter opens reads over many groups, where the settings enable them. It is called before openPooling, whose frontend serves their clients.
func (p *pooler) openScatter(o settings.Scatter, cluster settings.Cluster) error {
	if !o.Enabled {
		return nil
	}
	secrets, err := o.Secrets(&cluster)
	if err != nil {
		return badInput{err}
	}
	p.scatter = scatter.New(p.loop, p.log, scatter.Options{
		Specs:            o.Specs,
		Ring:             cursor.NewRing(o.RotateMs, o.MaxCursorAgeMs, secrets...),
		ConnectTimeoutMs: p.cfg.ConnectTimeoutMs,
		RoleNames:        serverRoles,
		PositionName:     positionParameter,
		SpareDescriptors: p.spareConns,
	}, p.core, p.core)
	return nil
}

// writeScatterMetrics writes the metrics of reads over many groups, where they are enabled.
func (p *pooler) writeScatterMetrics(s *exposition.Snapshot) {
	if p.scatter != nil {
		p.scatter.AppendMetrics(s)
	}
}
