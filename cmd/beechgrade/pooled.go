package main

import (
	"beechgrade/internal/backend"
	"beechgrade/internal/core"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/frontend/clickhouse"
	"beechgrade/internal/frontend/pooling"
	"beechgrade/internal/frontend/scatter"
	"beechgrade/internal/lifecycle"
	"beechgrade/internal/settings"
)

// usePooling adds the second front, where the settings have it on.
func (p *pooler) usePooling(o settings.Pooling) {
	if o.Listen == "" {
		return
	}
	p.pooledAddr = o.Listen
	p.pooled = pooling.New(p.loop, p.log, pooling.Options{Pools: o.Pools, ConnectMs: p.cfg.ConnectTimeoutMs, GraceMs: clock.Millis(p.cfg.Settings.DrainGrace),
		Roles: [2]string{"primary", "replica"}, PositionName: "applied_ms", MaxMessage: o.MaxMessage, MaxAnswer: o.MaxAnswer, Expire: p.core.Expire,
		Spare: p.spareConns, Scatter: p.scatter}, p.core, p.core)
}

// listen opens the second front's address.
func (p *pooler) listen() {
	at, stop, err := p.loop.Listen(p.pooledAddr, p.pooled.Accept)
	if err != nil {
		p.log.Error("pooling", "err", err)
		p.stopPooled = func() {}
		p.loop.End()
		return
	}
	p.pooledAddr = at
	p.stopPooled = func() { p.stopListening(stop, p.pooled.End) }
	p.pooled.Start()
	p.log.Info("pooling", "listen", at)
}

// lastWordMs is how long before the process ends, whatever is owed, clients are told what becomes of what they have under way.
const lastWordMs = 1200

// stopListening ends accepting at a front's address once clients have noticed that this process ends: what they send on connections that wait to be
// accepted has an answer, too. end is called shortly before the process ends in any case.
func (p *pooler) stopListening(stop, end func()) {
	now := p.loop.Now()
	p.loop.At(now+drainMost-lastWordMs, end)
	if p.life.State() == lifecycle.HandingOver { // the address may be the next process's
		stop()
		return
	}
	p.loop.At(now+drainMs, stop)
}

// servers are what carries out attempts: the platform's connections, and those of the other fronts.
func (p *pooler) servers() core.Servers {
	if p.pooled == nil && p.clickhouse == nil {
		return p.pool
	}
	return fronts{Pool: p.pool, pooled: p.pooled, scatter: p.scatter, house: p.clickhouse, housed: map[string]bool{}, group: p.clickhouseGroup}
}

// fronts gives each front's attempts to its own connections; pooled and house are nil where they are off.
type fronts struct {
	*backend.Pool
	pooled  *pooling.Front
	scatter *scatter.Front // with pooled only
	house   *clickhouse.Front
	housed  map[string]bool // servers that are ClickHouse's
	group   int             // ...which are those of this group
}

// SetGroup is core.Grouped's.
func (s fronts) SetGroup(id string, group int) {
	if s.house != nil && group == s.group {
		s.housed[id] = true
	}
}

func (s fronts) SetAddress(id, addr string) {
	if s.housed[id] {
		s.house.SetAddress(id, addr)
		return
	}
	s.Pool.SetAddress(id, addr)
	if s.pooled != nil {
		s.pooled.SetAddress(id, addr)
	}
	if s.scatter != nil {
		s.scatter.SetAddress(id, addr)
	}
}

func (s fronts) CloseIdle(id string) {
	s.Pool.CloseIdle(id)
	if s.pooled != nil {
		s.pooled.Bar(id)
	}
	if s.scatter != nil {
		s.scatter.Bar(id)
	}
	if s.house != nil {
		s.house.CloseIdle(id)
	}
}

func (s fronts) Forget(id string) {
	s.Pool.Forget(id)
	if s.pooled != nil {
		s.pooled.Forget(id)
	}
	if s.scatter != nil {
		s.scatter.Forget(id)
	}
	if s.house != nil {
		s.house.Forget(id)
		delete(s.housed, id)
	}
}

func (s fronts) Retain(ids map[string]bool) {
	s.Pool.Retain(ids)
	if s.pooled != nil {
		s.pooled.Retain(ids)
	}
	if s.scatter != nil {
		s.scatter.Retain(ids)
	}
	if s.house != nil {
		s.house.Retain(ids)
	}
}

func (s fronts) Recall(id string, which func(backend.Tag) bool) {
	s.Pool.Recall(id, which)
	if s.pooled != nil {
		s.pooled.Recall(id, which)
	}
	if s.house != nil {
		s.house.Recall(id, which)
	}
}

func (s fronts) Start(id string, q backend.Query, until float64, on backend.Terms, t backend.Tag) slotmap.Ref {
	switch {
	case s.house != nil && clickhouse.Ours(q):
		return s.house.Try(id, q, until, t)
	case s.pooled != nil && pooling.Ours(q):
		return s.pooled.Try(id, q, until, t)
	case s.scatter != nil && scatter.Ours(q):
		return s.scatter.Try(id, q, until, t)
	}
	return s.Pool.Start(id, q, until, on, t)
}

func (s fronts) Probe(id string) {
	if s.housed[id] {
		s.house.Probe(id)
		return
	}
	s.Pool.Probe(id)
}

func (s fronts) Cancel(ref slotmap.Ref) {
	switch {
	case s.house != nil && clickhouse.OursRef(ref):
		s.house.Cancel(ref)
	case s.pooled != nil && pooling.OursRef(ref):
		s.pooled.Cancel(ref)
	case s.scatter != nil && scatter.OursRef(ref):
		s.scatter.Cancel(ref)
	default:
		s.Pool.Cancel(ref)
	}
}
