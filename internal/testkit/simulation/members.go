package simulation

import (
	"errors"
	"log/slog"
	"maps"
	"slices"

	"beechgrade/internal/endpoints"
	"beechgrade/internal/endpoints/consul"
	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/endpoints/reconcile"
	"beechgrade/internal/eventloop/timers"
	"beechgrade/internal/testkit/model"
)

// agents are Consul's agents before the model's catalogue. What they say goes through the daemon's own judgement.
type agents struct {
	e      *Emulation
	states []agentState
	parked []*question // blocking queries that wait, oldest first
}

type agentState struct {
	what   string // befalls it; empty for nothing
	frozen []model.Registration
	index  uint64
}

// question is a query at an agent.
type question struct {
	m        *member
	life     uint32
	query    consul.Query
	answered bool
}

// member is a pooler's watch of the catalogue and its judge.
type member struct {
	p     *pooler
	life  uint32
	plan  *consul.Watch
	join  *endpoints.Manager
	last  map[string]reconcile.Observation
	alias map[string]*model.Server // by the ids that the catalogue has
}

const (
	watchWaitMs = 20000
	maxStaleMs  = 10000
)

func (e *Emulation) newAgents() *agents {
	return &agents{e: e, states: make([]agentState, e.script.Agents)}
}

// strike has something befall an agent, or end.
func (a *agents) strike(n int, what string) {
	s := &a.states[n]
	*s = agentState{what: what}
	if what == "frozen" || what == "leaderless" {
		s.frozen, s.index = a.e.world.Catalog.All(), a.index()
	}
	a.wake()
}

func (a *agents) index() uint64 { return a.e.world.Catalog.Index + 10 }

// wake answers the queries that waited for a change.
func (a *agents) wake() {
	parked := a.parked
	a.parked = nil
	for _, q := range parked {
		if !q.answered {
			a.arrive(q)
		}
	}
}

// arrive has an agent take a query, and answer it now or at a change.
func (a *agents) arrive(q *question) {
	s := &a.states[q.query.Agent]
	list, index, ans := a.e.world.Catalog.All(), a.index(), consul.Response{Status: 200}
	switch {
	case s.what == "hang":
		return // its poolers give up by themselves
	case s.what == "down" || a.e.world.List.Unavailable:
		ans = consul.Response{Status: 500}
	case s.what == "cut":
		ans = consul.Response{Status: 200, Err: errors.New("the answer is not whole")}
	case s.what == "empty":
		list, index = nil, index+1
	case s.what == "frozen" || s.what == "leaderless":
		list, index = s.frozen, s.index
		ans.Leaderless = s.what == "leaderless"
		ans.LastContactMs = 3600e3
	}
	if ans.Err == nil && ans.Status == 200 {
		if q.query.Index > 0 && index == q.query.Index {
			a.parked = append(a.parked, q)
			return
		}
		ans.Index = index
	}
	q.answered = true
	a.e.s.After(a.e.way(), model.Func(func() { q.m.p.whenRunning(q.life, func() { q.m.answered(q.query, ans, list) }) }), 0)
}

// memberLoop is membership.Loop's, for one life of a pooler.
type memberLoop struct{ lifeLoop }

// Post is membership.Loop's.
func (q memberLoop) Post(f func()) {
	q.p.e.s.After(0, model.Func(func() { q.p.whenRunning(q.life, f) }), 0)
}

// At is membership.Loop's.
func (q memberLoop) At(ms float64, do func()) *timers.Timer { return q.lifeLoop.At(ms, do) }

// newMember joins a pooler's list to the catalogue; its core is told what comes of it.
func (p *pooler) newMember() *member {
	m := &member{p: p, life: p.life, last: map[string]reconcile.Observation{}, alias: map[string]*model.Server{}}
	set := reconcile.Defaults(endpoints.SourceConsul)
	if mu := p.e.opt.Mutant; mu != nil && mu.Judge != nil {
		mu.Judge(&set)
	}
	m.plan = consul.NewWatch(len(p.e.agents.states), watchWaitMs, maxStaleMs, p.e.rng.Float64)
	m.join = endpoints.New(memberLoop{lifeLoop{p, p.life}}, slog.New(slog.DiscardHandler), endpoints.Options{Reconcile: set}, listener{p, p.life}, &discovery.List{}) // it starts knowing nothing
	return m
}

// ask asks the next agent when that is due.
func (m *member) ask() {
	e := m.p.e
	q, at := m.plan.Next(e.s.now)
	e.s.at(max(at, e.s.now), model.Func(func() {
		m.p.whenRunning(m.life, func() {
			e.lists++
			x := &question{m: m, life: m.life, query: q}
			e.s.After(e.way(), model.Func(func() { e.agents.arrive(x) }), 0)
			e.s.After(q.TimeoutMs(), model.Func(func() { m.p.whenRunning(m.life, func() { m.late(x) }) }), 0)
		})
	}), 0)
}

// late ends a query that nobody answered. An agent answers one that waits at the end of its wait; that comes to the same.
func (m *member) late(q *question) {
	if q.answered {
		return
	}
	q.answered = true
	if s := m.p.e.agents.states[q.query.Agent]; s.what == "hang" {
		m.answered(q.query, consul.Response{Err: errors.New("no answer in time")}, nil)
		return
	}
	m.answered(q.query, consul.Response{Status: 200, Index: q.query.Index, LastContactMs: m.p.e.agents.contact(q.query.Agent)}, nil)
}

func (a *agents) contact(n int) float64 {
	if w := a.states[n].what; w == "frozen" || w == "leaderless" {
		return 3600e3
	}
	return 0
}

// answered takes an answer as the daemon's source does.
func (m *member) answered(q consul.Query, a consul.Response, list []model.Registration) {
	e := m.p.e
	same := a.Index == q.Index && q.Index > 0 && list == nil
	v := m.plan.HandleResponse(e.s.now, q, a)
	if m.plan.BecameUnreachable() {
		m.join.SourceLost(endpoints.SourceConsul, v.Reason)
	}
	if v.Accepted && !same {
		r := &reconcile.Report{AgeMs: v.AgeMs}
		next := map[string]reconcile.Observation{}
		for i := range list {
			x := &list[i]
			m.alias[x.ID] = x.Server
			c := reconcile.Observation{ID: x.ID, Address: x.Address, Group: x.Server.Group.ID, Zone: "room", Kind: "padrao-4", Weight: 1, StartedAtMs: x.Started}
			if x.Critical {
				c.Health = reconcile.Critical
			}
			if x.Maintenance {
				c.Health = reconcile.Maintenance
			}
			if c.Role = reconcile.Replica; x.Role == "primary" {
				c.Role = reconcile.Primary
			}
			next[c.ID] = c
			if old, ok := m.last[c.ID]; !ok || old != c {
				r.Observations = append(r.Observations, c)
			}
		}
		for _, id := range slices.Sorted(maps.Keys(m.last)) {
			if _, ok := next[id]; !ok {
				r.Removed = append(r.Removed, id)
			}
		}
		m.last = next
		m.join.Observe(endpoints.SourceConsul, r)
	}
	m.ask()
}

// server is whom an id in the list means.
func (p *pooler) server(id string) *model.Server {
	if p.member != nil {
		if s := p.member.alias[id]; s != nil {
			return s
		}
	}
	return p.e.world.Server(id)
}

// listener tells the core of one life of a pooler what its members come to, and the checker with it.
type listener struct {
	p    *pooler
	life uint32
}

// Listed is discovery.Events'.
func (l listener) Listed(x *discovery.List) {
	if l.p.life != l.life || !l.p.up {
		return
	}
	l.p.e.told(l.p, x)
	l.p.core.Listed(x)
}

// ListFailed is discovery.Events'.
func (l listener) ListFailed() {}

// told tells the checker what a pooler hears of the list.
func (e *Emulation) told(p *pooler, l *discovery.List) {
	for i := range l.Instances {
		n := &l.Instances[i]
		if s := p.server(n.ID); s != nil {
			e.check.Listed(e.s.now, p.no, s.No, n.Lifecycle)
		}
	}
}
