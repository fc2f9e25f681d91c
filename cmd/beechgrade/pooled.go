package main

import (
	"beechgrade/internal/backend"
	"beechgrade/internal/clock"
	"beechgrade/internal/core"
	"beechgrade/internal/operate"
	"beechgrade/internal/pooling"
	"beechgrade/internal/slots"
)

// usePooling adds the second front, where the settings have it on.
func (p *pooler) usePooling(o operate.Pooling) {
	if o.Listen == "" {
		return
	}
	p.pooledAddr = o.Listen
	p.pooled = pooling.New(p.loop, p.log, pooling.Options{Pools: o.Pools, ConnectMs: p.cfg.ConnectTimeoutMs, GraceMs: clock.Millis(p.cfg.Settings.DrainGrace),
		Roles: [2]string{"primary", "replica"}, PositionName: "applied_ms", MaxMessage: o.MaxMessage, MaxAnswer: o.MaxAnswer,
		Spare: func() int {
			return p.cfg.Limits.Sockets - reserved - p.front.Sessions() - p.pool.Conns() - p.pooled.Sessions() - p.pooled.Conns()
		}}, p.core, p.core)
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
	p.pooledAddr, p.stopPooled = at, stop
	p.pooled.Start()
	p.log.Info("pooling", "listen", at)
}

// servers are what carries out attempts: the platform's connections, and those of the second front.
func (p *pooler) servers() core.Servers {
	if p.pooled == nil {
		return p.pool
	}
	return bothServers{p.pool, p.pooled}
}

// bothServers gives each front's attempts to its own connections.
type bothServers struct {
	*backend.Pool
	pooled *pooling.Front
}

func (s bothServers) SetAddress(id, addr string) {
	s.Pool.SetAddress(id, addr)
	s.pooled.SetAddress(id, addr)
}

func (s bothServers) CloseIdle(id string) {
	s.Pool.CloseIdle(id)
	s.pooled.Bar(id)
}

func (s bothServers) Forget(id string) {
	s.Pool.Forget(id)
	s.pooled.Forget(id)
}

func (s bothServers) Retain(ids map[string]bool) {
	s.Pool.Retain(ids)
	s.pooled.Retain(ids)
}

func (s bothServers) Start(id string, q backend.Query, until float64, once bool, t backend.Tag) slots.Ref {
	if pooling.Ours(q) {
		return s.pooled.Try(id, q, until, t)
	}
	return s.Pool.Start(id, q, until, once, t)
}

func (s bothServers) Cancel(ref slots.Ref) {
	if pooling.OursRef(ref) {
		s.pooled.Cancel(ref)
		return
	}
	s.Pool.Cancel(ref)
}
