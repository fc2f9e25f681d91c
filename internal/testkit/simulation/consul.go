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

// consulAgents simulates Consul agents that serve the model's catalog. The poolers process their answers with the daemon's own watch and
// reconciliation.
type consulAgents struct {
	sim     *Simulation
	states  []agentState
	blocked []*agentQuery // blocking queries, oldest first
}

type agentState struct {
	fault  string // empty for none
	frozen []model.Registration
	index  uint64
}

// agentQuery is a pooler's query to an agent.
type agentQuery struct {
	watcher     *catalogWatcher
	incarnation uint32
	query       consul.Query
	answered    bool
}

// catalogWatcher is a pooler's watch of the Consul catalog, with the reconciliation of its endpoint list.
type catalogWatcher struct {
	p           *pooler
	incarnation uint32
	watch       *consul.Watch
	manager     *endpoints.Manager
	last        map[string]reconcile.Observation
	alias       map[string]*model.Server // servers by their IDs in the catalog
}

const (
	watchWaitMs = 20000
	maxStaleMs  = 10000
)

func (sim *Simulation) newAgents() *consulAgents {
	return &consulAgents{sim: sim, states: make([]agentState, sim.script.Agents)}
}

// inject sets an agent's fault; the empty string means none.
func (a *consulAgents) inject(n int, what string) {
	s := &a.states[n]
	*s = agentState{fault: what}
	if what == "frozen" || what == "leaderless" {
		s.frozen, s.index = a.sim.world.Catalog.All(), a.index()
	}
	a.wake()
}

func (a *consulAgents) index() uint64 { return a.sim.world.Catalog.Index + 10 }

// wake handles the blocked queries again after a change.
func (a *consulAgents) wake() {
	blocked := a.blocked
	a.blocked = nil
	for _, q := range blocked {
		if !q.answered {
			a.arrive(q)
		}
	}
}

// arrive handles a query at an agent: it answers the query now, or blocks it until a change.
func (a *consulAgents) arrive(q *agentQuery) {
	s := &a.states[q.query.Agent]
	list, index, ans := a.sim.world.Catalog.All(), a.index(), consul.Response{Status: 200}
	switch {
	case s.fault == "hang":
		return // the query times out
	case s.fault == "down" || a.sim.world.List.Unavailable:
		ans = consul.Response{Status: 500}
	case s.fault == "cut":
		ans = consul.Response{Status: 200, Err: errors.New("the answer is not whole")}
	case s.fault == "empty":
		list, index = nil, index+1
	case s.fault == "frozen" || s.fault == "leaderless":
		list, index = s.frozen, s.index
		ans.Leaderless = s.fault == "leaderless"
		ans.LastContactMs = 3600e3
	}
	if ans.Err == nil && ans.Status == 200 {
		if q.query.Index > 0 && index == q.query.Index {
			a.blocked = append(a.blocked, q)
			return
		}
		ans.Index = index
	}
	q.answered = true
	a.sim.sched.After(a.sim.linkDelay(), model.Func(func() { q.watcher.p.whenRunning(q.incarnation, func() { q.watcher.answered(q.query, ans, list) }) }), 0)
}

// managerLoop implements endpoints.Loop for one process of a pooler.
type managerLoop struct{ processLoop }

// Post implements endpoints.Loop.
func (l managerLoop) Post(f func()) {
	l.p.sim.sched.After(0, model.Func(func() { l.p.whenRunning(l.incarnation, f) }), 0)
}

// At implements endpoints.Loop.
func (l managerLoop) At(ms float64, do func()) *timers.Timer { return l.processLoop.At(ms, do) }

// newCatalogWatcher returns a watcher that keeps a pooler's endpoint list in line with the catalog.
func (p *pooler) newCatalogWatcher() *catalogWatcher {
	m := &catalogWatcher{p: p, incarnation: p.incarnation, last: map[string]reconcile.Observation{}, alias: map[string]*model.Server{}}
	set := reconcile.Defaults(endpoints.SourceConsul)
	if mutant := p.sim.options.Mutant; mutant != nil && mutant.ReconcileSettings != nil {
		mutant.ReconcileSettings(&set)
	}
	m.watch = consul.NewWatch(len(p.sim.agents.states), watchWaitMs, maxStaleMs, p.sim.rng.Float64)
	m.manager = endpoints.New(managerLoop{processLoop{p, p.incarnation}}, slog.New(slog.DiscardHandler), endpoints.Options{Reconcile: set}, listObserver{p, p.incarnation}, &discovery.List{}) // the list is empty at first
	return m
}

// query sends the next query when it is due.
func (m *catalogWatcher) query() {
	sim := m.p.sim
	q, at := m.watch.Next(sim.sched.now)
	sim.sched.at(max(at, sim.sched.now), model.Func(func() {
		m.p.whenRunning(m.incarnation, func() {
			sim.lists++
			x := &agentQuery{watcher: m, incarnation: m.incarnation, query: q}
			sim.sched.After(sim.linkDelay(), model.Func(func() { sim.agents.arrive(x) }), 0)
			sim.sched.After(q.TimeoutMs(), model.Func(func() { m.p.whenRunning(m.incarnation, func() { m.timeOut(x) }) }), 0)
		})
	}), 0)
}

// timeOut ends a query that has no answer. Unless the agent hangs, the query was blocked and the agent answers at the end of its wait
// that nothing has changed.
func (m *catalogWatcher) timeOut(q *agentQuery) {
	if q.answered {
		return
	}
	q.answered = true
	if s := m.p.sim.agents.states[q.query.Agent]; s.fault == "hang" {
		m.answered(q.query, consul.Response{Err: errors.New("no answer in time")}, nil)
		return
	}
	m.answered(q.query, consul.Response{Status: 200, Index: q.query.Index, LastContactMs: m.p.sim.agents.lastContactMs(q.query.Agent)}, nil)
}

func (a *consulAgents) lastContactMs(n int) float64 {
	if w := a.states[n].fault; w == "frozen" || w == "leaderless" {
		return 3600e3
	}
	return 0
}

// answered processes an answer as the daemon's Consul source does.
func (m *catalogWatcher) answered(q consul.Query, a consul.Response, list []model.Registration) {
	sim := m.p.sim
	same := a.Index == q.Index && q.Index > 0 && list == nil
	v := m.watch.HandleResponse(sim.sched.now, q, a)
	if m.watch.BecameUnreachable() {
		m.manager.SourceLost(endpoints.SourceConsul, v.Reason)
	}
	if v.Accepted && !same {
		r := &reconcile.Report{AgeMs: v.AgeMs}
		next := map[string]reconcile.Observation{}
		for i := range list {
			x := &list[i]
			m.alias[x.ID] = x.Server
			c := reconcile.Observation{
				ID:          x.ID,
				Address:     x.Address,
				Group:       x.Server.Group.ID,
				Zone:        "room",
				Kind:        "padrao-4",
				Weight:      1,
				StartedAtMs: x.Started,
			}
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
		m.manager.Observe(endpoints.SourceConsul, r)
	}
	m.query()
}

// server returns the server with an ID of the endpoint list, nil for none.
func (p *pooler) server(id string) *model.Server {
	if p.catalog != nil {
		if s := p.catalog.alias[id]; s != nil {
			return s
		}
	}
	return p.sim.world.Server(id)
}

// listObserver passes endpoint lists to the core of one process and to the checker.
type listObserver struct {
	p           *pooler
	incarnation uint32
}

// Listed implements discovery.Events.
func (l listObserver) Listed(x *discovery.List) {
	if l.p.incarnation != l.incarnation || !l.p.up {
		return
	}
	l.p.sim.reportListed(l.p, x)
	l.p.core.Listed(x)
}

// ListFailed implements discovery.Events.
func (l listObserver) ListFailed() {}

// reportListed passes a pooler's endpoint list to the checker.
func (sim *Simulation) reportListed(p *pooler, l *discovery.List) {
	for i := range l.Instances {
		n := &l.Instances[i]
		if s := p.server(n.ID); s != nil {
			sim.check.Listed(sim.sched.now, p.no, s.No, n.Lifecycle)
		}
	}
}
