package main

import (
	"fmt"

	"beechgrade/internal/backend"
	"beechgrade/internal/core"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/frontend/clickhouse"
	"beechgrade/internal/frontend/pooling"
	"beechgrade/internal/frontend/scatter"
	"beechgrade/internal/lifecycle"
	"beechgrade/internal/metrics/exposition"
	"beechgrade/internal/settings"
)

// openPooling adds the pooling frontend, where the settings enable it.
func (p *pooler) openPooling(o settings.Pooling) {
	if o.Listen == "" {
		return
	}
	p.poolingAddr = o.Listen
	p.pooling = pooling.New(p.loop, p.log, pooling.Options{
		Pools:            o.Pools,
		ConnectMs:        p.cfg.ConnectTimeoutMs,
		GraceMs:          clock.ToMillis(p.cfg.Settings.DrainGrace),
		Roles:            serverRoles,
		PositionName:     positionParameter,
		MaxMessage:       o.MaxMessageBytes,
		MaxAnswer:        o.MaxResponseBytes,
		ExpireLeases:     p.core.ExpireLeases,
		SpareDescriptors: p.spareConns,
		Account:          &p.memoryWatch.account,
		Scatter:          p.scatter,
	}, p.core, p.core)
}

// writePoolingMetrics writes the metrics of the pooling frontend, where it is enabled.
func (p *pooler) writePoolingMetrics(s *exposition.Snapshot) {
	if p.pooling != nil {
		p.pooling.WriteMetrics(s)
	}
}

// listenPooling opens the address of the pooling frontend.
func (p *pooler) listenPooling() {
	address, stop, err := p.loop.Listen(p.poolingAddr, p.pooling.Accept)
	if err != nil {
		p.log.Error("pooling: frontend could not listen; shutting down", "err", err)
		p.stopPooling = func() {}
		p.fail(fmt.Errorf("pooling: frontend: %w", err))
		return
	}
	p.poolingAddr = address
	p.stopPooling = func() { p.stopListening(stop, p.pooling.End) }
	p.pooling.Start()
	p.log.Info("pooling: frontend listening", "listen", address)
}

// lastAnswersMs is how long before stopTimeoutMs clients receive an error for requests that are still in progress.
const lastAnswersMs = 1200

// stopListening closes the listener of a frontend after acceptAfterTermMs, so that connections waiting to be accepted receive an answer. It
// calls end lastAnswersMs before stopTimeoutMs.
func (p *pooler) stopListening(stop, end func()) {
	now := p.loop.Now()
	p.loop.At(now+stopTimeoutMs-lastAnswersMs, end)
	if p.lifecycle.State() == lifecycle.HandingOver { // the next process may need the address
		stop()
		return
	}
	p.loop.At(now+acceptAfterTermMs, stop)
}

// servers returns the implementation of attempts: the platform's server connections, and those of the optional frontends.
func (p *pooler) servers() core.Servers {
	if p.pooling == nil && p.clickhouse == nil {
		return p.backend
	}
	return frontends{
		Pool:              p.backend,
		pooling:           p.pooling,
		scatter:           p.scatter,
		clickhouse:        p.clickhouse,
		clickhouseServers: map[string]bool{},
		group:             p.clickhouseGroup,
	}
}

// frontends passes each attempt to the server connections of its frontend. Optional frontends are nil where they are disabled.
type frontends struct {
	*backend.Pool
	pooling           *pooling.Frontend
	scatter           *scatter.Frontend // only where pooling is on
	clickhouse        *clickhouse.Frontend
	clickhouseServers map[string]bool // by ID
	group             int             // the group of servers that speak ClickHouse's protocol
}

// SetGroup records whether a server speaks ClickHouse's protocol, by its group.
func (s frontends) SetGroup(id string, group int) {
	if s.clickhouse != nil && group == s.group {
		s.clickhouseServers[id] = true
	}
}

func (s frontends) SetAddress(id, addr string) {
	if s.clickhouseServers[id] {
		s.clickhouse.SetAddress(id, addr)
		return
	}
	s.Pool.SetAddress(id, addr)
	if s.pooling != nil {
		s.pooling.SetAddress(id, addr)
	}
	if s.scatter != nil {
		s.scatter.SetAddress(id, addr)
	}
}

func (s frontends) CloseIdle(id string) {
	s.Pool.CloseIdle(id)
	if s.pooling != nil {
		s.pooling.DrainServer(id)
	}
	if s.scatter != nil {
		s.scatter.DrainServer(id)
	}
	if s.clickhouse != nil {
		s.clickhouse.CloseIdle(id)
	}
}

func (s frontends) Forget(id string) {
	s.Pool.Forget(id)
	if s.pooling != nil {
		s.pooling.Forget(id)
	}
	if s.scatter != nil {
		s.scatter.Forget(id)
	}
	if s.clickhouse != nil {
		s.clickhouse.Forget(id)
		delete(s.clickhouseServers, id)
	}
}

func (s frontends) Retain(ids map[string]bool) {
	s.Pool.Retain(ids)
	if s.pooling != nil {
		s.pooling.Retain(ids)
	}
	if s.scatter != nil {
		s.scatter.Retain(ids)
	}
	if s.clickhouse != nil {
		s.clickhouse.Retain(ids)
	}
}

func (s frontends) Recall(id string, which func(backend.AttemptID) bool) {
	s.Pool.Recall(id, which)
	if s.pooling != nil {
		s.pooling.Recall(id, which)
	}
	if s.clickhouse != nil {
		s.clickhouse.Recall(id, which)
	}
}

func (s frontends) Start(id string, q backend.Query, until float64, conditions backend.SendConditions, attempt backend.AttemptID) slotmap.Ref {
	switch {
	case s.clickhouse != nil && clickhouse.IsRequest(q):
		return s.clickhouse.StartAttempt(id, q, until, attempt)
	case s.pooling != nil && pooling.IsTransaction(q):
		return s.pooling.StartAttempt(id, q, until, attempt)
	case s.scatter != nil && scatter.IsShardRead(q):
		return s.scatter.StartAttempt(id, q, until, attempt)
	}
	return s.Pool.Start(id, q, until, conditions, attempt)
}

func (s frontends) CheckHealth(id string) {
	if s.clickhouseServers[id] {
		s.clickhouse.CheckHealth(id)
		return
	}
	s.Pool.CheckHealth(id)
}

func (s frontends) Cancel(ref slotmap.Ref) {
	switch {
	case s.clickhouse != nil && clickhouse.IsAttemptRef(ref):
		s.clickhouse.Cancel(ref)
	case s.pooling != nil && pooling.IsAttemptRef(ref):
		s.pooling.Cancel(ref)
	case s.scatter != nil && scatter.IsAttemptRef(ref):
		s.scatter.Cancel(ref)
	default:
		s.Pool.Cancel(ref)
	}
}
