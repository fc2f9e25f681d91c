package main

import (
	"cmp"

	"beechgrade/internal/core"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/record"
	"beechgrade/internal/record/recordpb"
	"beechgrade/internal/settings"
)

// gaugeIntervalMs is the interval between records of the number of connections.
const gaugeIntervalMs = 1000

// openRecorder opens the recorder of events, where the settings enable it. closeRecorder closes it, after the loop has ended.
func (p *pooler) openRecorder(o settings.Record) (closeRecorder func()) {
	if !o.Enabled {
		return func() {}
	}
	rec, end := record.Start(record.Options{
		Pooler:           p.cfg.Name,
		Program:          version(),
		RunStartMs:       p.loop.Now(),
		Classes:          core.RecordClasses(p.cfg.Classes, p.cfg.Settings.Classes),
		Files:            cmp.Or(p.files, record.Files(record.Dir(o.Dir))),
		SegmentBytes:     o.SegmentBytes,
		TotalBytes:       o.TotalBytes,
		QueueLength:      o.QueueLength,
		FlushIntervalMs:  o.FlushIntervalMs,
		Compress:         o.Compress,
		Log:              p.log,
		WarmupStartShare: p.cfg.Settings.SlowStartFrom,
		WarmupMs:         clock.ToMillis(p.cfg.Settings.SlowStartTime),
		DrainGraceMs:     clock.ToMillis(p.cfg.Settings.DrainGrace),
	})
	p.core.SetRecorder(rec)
	if p.pooling != nil {
		p.pooling.Record(rec)
	}
	if p.sources != nil {
		p.sources.members.SetRecorder(rec)
	}
	p.recordsGauges = true
	return func() {
		p.core.RecordEvent(recordpb.Kind_KIND_STOP, "") // the loop has ended
		end()
	}
}

// recordGauges records the number of client sessions and of server connections.
func (p *pooler) recordGauges() {
	sessions, conns := p.platform.Sessions(), p.backend.Conns()
	if p.pooling != nil {
		sessions, conns = sessions+p.pooling.Sessions(), conns+p.pooling.Conns()
	}
	if p.scatter != nil {
		conns += p.scatter.Conns()
	}
	if p.clickhouse != nil {
		sessions, conns = sessions+p.clickhouse.Clients(), conns+p.clickhouse.Conns()
	}
	p.core.RecordGauge(sessions, conns)
}
