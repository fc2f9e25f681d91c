package main

import (
	"fmt"

	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/frontend/clickhouse"
	"beechgrade/internal/metrics/exposition"
	"beechgrade/internal/settings"
)

// openClickHouse adds the frontend for the ClickHouse HTTP interface, where the settings enable it.
func (p *pooler) openClickHouse(o settings.ClickHouse) {
	if o.Listen == "" {
		return
	}
	p.clickhouseAddr, p.clickhouseGroup = o.Listen, o.Group
	var rules []clickhouse.Rule
	for i := range o.Rules {
		rules = append(rules, o.Rules[i].Rule)
	}
	p.clickhouse = clickhouse.New(p.loop, p.log, clickhouse.Options{
		Group:                o.Group,
		MaxBufferedBytes:     o.MaxBufferedBytes,
		MaxBodyBytes:         o.MaxBodyBytes,
		MaxStalenessMs:       o.MaxStalenessMs,
		UploadTimeoutMs:      o.UploadTimeoutMs,
		ServerIdleTimeoutMs:  o.ServerIdleTimeoutMs,
		ClientStallTimeoutMs: o.ClientStallTimeoutMs,
		DeadlineHeader:       o.DeadlineHeader,
		MaxSessions:          o.MaxSessions,
		CheckStaleness:       p.cfg.Settings.StaleReads != decide.StaleReadsAnswered,
		DeadlineMs:           o.DeadlineMs,
		ConnectTimeoutMs:     p.cfg.ConnectTimeoutMs,
		ConnectionIdleMs:     o.ConnectionIdleMs * idleTimeShare,
		ClientIdleMs:         o.ClientIdleMs,
		RequestTimeoutMs:     o.HeadTimeoutMs,
		KillQueries:          o.KillQueries,
		DrainGraceMs:         clock.ToMillis(p.cfg.Settings.DrainGrace),
		Name:                 p.cfg.Name,
		Rules:                rules,
		UserLimits:           o.Users,
		DefaultLimits:        o.DefaultLimits,
		ExpireLeases:         p.core.ExpireLeases,
		Account:              &p.memoryWatch.account,
		SpareDescriptors:     p.spareConns,
	}, p.core, p.core)
}

// writeClickHouseMetrics writes the metrics of the ClickHouse frontend, where it is enabled.
func (p *pooler) writeClickHouseMetrics(s *exposition.Snapshot) {
	if p.clickhouse != nil {
		p.clickhouse.WriteMetrics(s)
	}
}

// listenClickHouse opens the address of the ClickHouse frontend.
func (p *pooler) listenClickHouse() {
	address, stop, err := p.loop.Listen(p.clickhouseAddr, p.clickhouse.Accept)
	if err != nil {
		p.log.Error("clickhouse: frontend could not listen; shutting down", "err", err)
		p.stopClickHouse = func() {}
		p.fail(fmt.Errorf("clickhouse: frontend: %w", err))
		return
	}
	p.clickhouseAddr = address
	p.stopClickHouse = func() { p.stopListening(stop, p.clickhouse.End) }
	p.clickhouse.Start()
	p.log.Info("clickhouse: frontend listening", "listen", address)
}
