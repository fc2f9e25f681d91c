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
	pooler      *pooler
	incarnation uint32
	watch       *consul.Watch
	manager     *endpoints.Manager
	last        map[string]reconcile.Observation // as of the last accepted answer, by ID
	alias       map[string]*model.Server         // by ID in the catalog
}

const (
	watchWaitMs = 20000 // wait of a blocking query
	maxStaleMs  = 10000 // an agent whose data may be older than this is not accepted while another may have newer data
)

func (sim *Simulation) newAgents() *consulAgents {
	return &consulAgents{sim: sim, states: make([]agentState, sim.script.Agents)}
}

// inject sets an agent's fault; the empty string means none.
func (a *consulAgents) inject(n int, fault string) {
	s := &a.states[n]
	*s = agentState{fault: fault}
	if fault == "frozen" || fault == "leaderless" {
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
	list, index, response := a.sim.world.Catalog.All(), a.index(), consul.Response{Status: 200}
	switch {
	case s.fault == "hang":
		return // the query times out
	case s.fault == "down" || a.sim.world.List.Unavailable:
		response = consul.Response{Status: 500}
	case s.fault == "cut":
		response = consul.Response{Status: 200, Err: errors.New("the answer is not whole")}
	case s.fault == "empty":
		list, index = nil, index+1
	case s.fault == "frozen" || s.fault == "leaderless":
		list, index = s.frozen, s.index
		response.Leaderless = s.fault == "leaderless"
		response.LastContactMs = 3600e3
	}
	if response.Err == nil && response.Status == 200 {
		if q.query.Index > 0 && index == q.query.Index {
			a.blocked = append(a.blocked, q)
			return
		}
		response.Index = index
	}
	q.answered = true
	a.sim.sched.After(a.sim.linkDelay(), model.Func(func() {
		q.watcher.pooler.whenRunning(q.incarnation, func() { q.watcher.answered(q.query, response, list) })
	}), 0)
}

// managerLoop implements endpoints.Loop for one process of a pooler.
type managerLoop struct{ processLoop }

// Post implements endpoints.Loop.
func (l managerLoop) Post(f func()) {
	l.pooler.sim.sched.After(0, model.Func(func() { l.pooler.whenRunning(l.incarnation, f) }), 0)
}

// At implements endpoints.Loop.
func (l managerLoop) At(ms float64, do func()) *timers.Timer { return l.processLoop.At(ms, do) }

// newCatalogWatcher returns a watcher that keeps a pooler's endpoint list in line with the catalog.
func (p *pooler) newCatalogWatcher() *catalogWatcher {
	w := &catalogWatcher{pooler: p, incarnation: p.incarnation, last: map[string]reconcile.Observation{}, alias: map[string]*model.Server{}}
	set := reconcile.Defaults(endpoints.SourceConsul)
	if mutant := p.sim.options.Mutant; mutant != nil && mutant.ReconcileSettings != nil {
		mutant.ReconcileSettings(&set)
	}
	w.watch = consul.NewWatch(len(p.sim.agents.states), watchWaitMs, maxStaleMs, p.sim.rng.Float64)
	w.manager = endpoints.New(managerLoop{processLoop{p, p.incarnation}}, slog.New(slog.DiscardHandler), endpoints.Options{Reconcile: set}, listObserver{p, p.incarnation}, &discovery.List{}) // starts with an empty list
	return w
}

// query sends the next query when it is due.
func (w *catalogWatcher) query() {
	sim := w.pooler.sim
	q, at := w.watch.Next(sim.sched.now)
	sim.sched.at(max(at, sim.sched.now), model.Func(func() {
		w.pooler.whenRunning(w.incarnation, func() {
			sim.lists++
			x := &agentQuery{watcher: w, incarnation: w.incarnation, query: q}
			sim.sched.After(sim.linkDelay(), model.Func(func() { sim.agents.arrive(x) }), 0)
			sim.sched.After(q.TimeoutMs(), model.Func(func() { w.pooler.whenRunning(w.incarnation, func() { w.timeOut(x) }) }), 0)
		})
	}), 0)
}

// timeOut ends a query that has no answer. Unless the agent hangs, the query was blocked and the agent answers at the end of its wait
// that nothing has changed.
func (w *catalogWatcher) timeOut(q *agentQuery) {
	if q.answered {
		return
	}
	q.answered = true
	if s := w.pooler.sim.agents.states[q.query.Agent]; s.fault == "hang" {
		w.answered(q.query, consul.Response{Err: errors.New("no answer in time")}, nil)
		return
	}
	w.answered(q.query, consul.Response{Status: 200, Index: q.query.Index, LastContactMs: w.pooler.sim.agents.lastContactMs(q.query.Agent)}, nil)
}

func (a *consulAgents) lastContactMs(n int) float64 {
	if fault := a.states[n].fault; fault == "frozen" || fault == "leaderless" {
		return 3600e3
	}
	return 0
}

// answered processes an answer as the daemon's Consul source does.
func (w *catalogWatcher) answered(query consul.Query, response consul.Response, list []model.Registration) {
	sim := w.pooler.sim
	unchanged := response.Index == query.Index && query.Index > 0 && list == nil
	verdict := w.watch.HandleResponse(sim.sched.now, query, response)
	if w.watch.BecameUnreachable() {
		w.manager.SourceLost(endpoints.SourceConsul, verdict.Reason)
	}
	if verdict.Accepted && !unchanged {
		report := &reconcile.Report{AgeMs: verdict.AgeMs}
		next := map[string]reconcile.Observation{}
		for i := range list {
			registration := &list[i]
			w.alias[registration.ID] = registration.Server
			observation := reconcile.Observation{
				ID:          registration.ID,
				Address:     registration.Address,
				Group:       registration.Server.Group.ID,
				Zone:        "room",
				Kind:        "padrao-4",
				Weight:      1,
				StartedAtMs: registration.Started,
			}
			if registration.Critical {
				observation.Health = reconcile.Critical
			}
			if registration.Maintenance {
				observation.Health = reconcile.Maintenance
			}
			if observation.Role = reconcile.Replica; registration.Role == "primary" {
				observation.Role = reconcile.Primary
			}
			next[observation.ID] = observation
			if old, ok := w.last[observation.ID]; !ok || old != observation {
				report.Observations = append(report.Observations, observation)
			}
		}
		for _, id := range slices.Sorted(maps.Keys(w.last)) {
			if _, ok := next[id]; !ok {
				report.Removed = append(report.Removed, id)
			}
		}
		w.last = next
		w.manager.Observe(endpoints.SourceConsul, report)
	}
	w.query()
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
	pooler      *pooler
	incarnation uint32
}

// Listed implements discovery.Events.
func (l listObserver) Listed(list *discovery.List) {
	if l.pooler.incarnation != l.incarnation || !l.pooler.up {
		return
	}
	l.pooler.sim.reportListed(l.pooler, list)
	l.pooler.core.Listed(list)
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
