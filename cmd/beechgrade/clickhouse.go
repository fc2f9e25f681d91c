package main

import (
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/frontend/clickhouse"
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
		Group:     o.Group,
		Hold:      o.MaxBufferedBytes,
		MostBody:  o.MaxBodyBytes,
		Bound:     o.MaxStalenessMs,
		UploadMs:  o.UploadTimeoutMs,
		QuietMs:   o.ServerIdleTimeoutMs,
		StallMs:   o.ClientStallTimeoutMs,
		Header:    o.DeadlineHeader,
		Sessions:  o.MaxSessions,
		Check:     p.cfg.Settings.StaleReads != decide.StaleReadsAnswered,
		Deadline:  o.DeadlineMs,
		ConnectMs: p.cfg.ConnectTimeoutMs,
		IdleMs:    o.ConnectionIdleMs * closeIdlePart,
		ClientMs:  o.ClientIdleMs,
		HeadMs:    o.HeadTimeoutMs,
		Kill:      o.KillQueries,
		GraceMs:   clock.ToMillis(p.cfg.Settings.DrainGrace),
		Name:      p.cfg.Name,
		Rules:     rules,
		Users:     o.Users,
		Others:    o.DefaultLimits,
		Expire:    p.core.Expire,
		Memory:    func() int { return p.cfg.Limits.MemoryMB << 20 },
		Spare:     p.spareConns,
	}, p.core, p.core)
}

// listenClickHouse opens the address of the ClickHouse frontend.
func (p *pooler) listenClickHouse() {
	at, stop, err := p.loop.Listen(p.clickhouseAddr, p.clickhouse.Accept)
	if err != nil {
		p.log.Error("clickhouse", "err", err)
		p.stopClickHouse = func() {}
		p.loop.End()
		return
	}
	p.clickhouseAddr = at
	p.stopClickHouse = func() { p.stopListening(stop, p.clickhouse.End) }
	p.clickhouse.Start()
	p.log.Info("clickhouse", "listen", at)
}
