// Package adapter connects overload handling, shared probes and lent retry budgets (package overload and those below) to a pooler's core and
// to the cluster: requests, probe results and budgets go in, shedding policies, probes and lent retries come out. It serves sockets and
// virtual time alike.
package adapter

import (
	"time"

	"beechgrade/internal/attempts"
	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/overload"
	"beechgrade/internal/cluster/overload/budgetlease"
	"beechgrade/internal/cluster/overload/retrybudget"
	"beechgrade/internal/cluster/view"
	"beechgrade/internal/decide"
	"beechgrade/internal/invariant"
)

// Core is the part of a pooler's core that the adapter uses.
type Core interface {
	SetShedding(group int, s *decide.SheddingPolicy)
	AverageWork() []float64
	Names() (classes, tenants []string)
	DecisionSettings() *decide.Settings
	CheckHealth(store string)
	SetRetryBudget(b *retrybudget.Settings, returns float64)
	RetryBudgets() []decide.RetryBudget
	AddRetryBudget(more map[int]float64)
	HealthCheckReported(store string, result decide.Result, said attempts.Report, ageMs float64)
}

// Host sends messages and runs timers.
type Host interface {
	module.Transport
	At(ms float64, do func())
}

// Options configure an Adapter.
type Options struct {
	SheddingEnabled     bool // overload is handled by all poolers together
	Shedding            overload.Settings
	ProbeSharingEnabled bool // probes are shared
	Probes              overload.ProbeSettings
	RetryBounds
}

// Adapter is a pooler's side. It implements module.Module and the core's observer of requests. Its methods are called on the event loop.
type Adapter struct {
	options      Options
	core         Core
	host         Host
	controller   *overload.Controller
	probes       *overload.ProbeSharing
	budget       *budgetlease.Lender
	actions      []overload.Action
	probesDue    float64
	contractSize int // classes and tenants that the settings had
	learnedAt    float64
	shedding     map[int]*overload.Shedding // by resource

	checks        *invariant.Checks
	checkInterval int
}

// New returns an Adapter that is to be registered with the cluster node and the core.
func New(opt Options, c Core, h Host) *Adapter {
	return &Adapter{options: opt, core: c, host: h, shedding: map[int]*overload.Shedding{}}
}

// CheckInvariants makes its parts check their invariants, at one tick of interval.
func (adapter *Adapter) CheckInvariants(c *invariant.Checks, every int) {
	if adapter.checks, adapter.checkInterval = c, every; adapter.controller != nil {
		adapter.controller.CheckInvariants(c, every)
	}
	if adapter.probes != nil {
		adapter.probes.CheckInvariants(c, every)
	}
}

// learnIntervalMs is the time between two samples of the work of classes.
const learnIntervalMs = 1000

// Kind implements module.Module.
func (adapter *Adapter) Kind() view.Kind { return module.KindOverload }

// Decode implements module.Module.
func (adapter *Adapter) Decode(b []byte) (any, error) {
	if budgetlease.IsBudgetMessage(b) {
		return budgetlease.Decode(b)
	}
	return overload.Decode(b)
}

// contracts returns the settings with the classes and tenants as they are now.
func (adapter *Adapter) contracts() overload.Settings {
	set, out := adapter.core.DecisionSettings(), adapter.options.Shedding
	classes, tenants := adapter.core.Names()
	for i, c := range set.Classes {
		if i < len(classes) {
			out.Classes = append(out.Classes, overload.Class{Name: classes[i], Priority: c.PriorityWeight, ObjectiveMs: float64(c.LatencyObjective) / float64(time.Millisecond), NotIdempotent: c.Idempotency == decide.NotIdempotent})
		}
	}
	all := 0.0
	for _, t := range set.Tenants {
		all += t.RateLimit
	}
	for i, t := range set.Tenants {
		if i < len(tenants) {
			out.Tenants = append(out.Tenants, overload.Tenant{Name: tenants[i], Share: t.RateLimit / max(all, 1e-9)})
		}
	}
	adapter.contractSize = len(set.Classes) + len(set.Tenants)<<16
	return out
}

// UpdateMembers implements module.Module.
func (adapter *Adapter) UpdateMembers(self view.ID, all []view.Record, _ view.Counts) {
	var peers []overload.Peer
	for i := range all {
		if r := &all[i]; r.ID == self || r.State <= view.Suspect {
			peers = append(peers, overload.Peer{ID: r.ID, Addr: r.Addr})
		}
	}
	now := adapter.host.Now()
	if adapter.controller == nil && adapter.options.SheddingEnabled {
		adapter.controller = overload.New(adapter.contracts(), self, now)
		adapter.controller.CheckInvariants(adapter.checks, adapter.checkInterval)
	}
	if adapter.probes == nil && adapter.options.ProbeSharingEnabled {
		adapter.probes = overload.NewProbes(adapter.options.Probes, self, now)
		adapter.probes.CheckInvariants(adapter.checks, adapter.checkInterval)
	}
	adapter.updateLenders(self, peers)
	if adapter.controller != nil {
		adapter.handle(overload.MembersChanged{Self: self, Peers: peers})
	}
	if adapter.probes != nil {
		adapter.probes.UpdateMembers(self, peers)
	}
}

// Receive implements module.Module.
func (adapter *Adapter) Receive(from view.ID, m any) {
	switch m := m.(type) {
	case *overload.LoadReport:
		adapter.handle(overload.ReportReceived{From: from, Report: m})
	case *overload.ShedDecisions:
		adapter.handle(overload.DecisionsReceived{From: from, Decisions: m})
	case *budgetlease.Transfer, *budgetlease.TransferRequest:
		if adapter.budget != nil {
			adapter.handleBudgetActions(adapter.budget.Receive(adapter.host.Now(), from, m, nil))
		}
	default:
		if adapter.probes != nil {
			adapter.handleProbeActions(adapter.probes.Receive(adapter.host.Now(), from, m, nil))
		}
	}
}

// Tick implements module.Module.
func (adapter *Adapter) Tick() {
	now := adapter.host.Now()
	if adapter.controller != nil {
		if set := adapter.core.DecisionSettings(); len(set.Classes)+len(set.Tenants)<<16 != adapter.contractSize {
			adapter.handle(overload.SettingsChanged{Settings: adapter.contracts()})
		}
		if now-adapter.learnedAt >= learnIntervalMs {
			adapter.learnedAt = now
			adapter.handle(overload.WorkLearned{Work: adapter.core.AverageWork()})
		}
		adapter.handle(overload.Tick{})
	}
	if adapter.probes != nil {
		adapter.handleProbeActions(adapter.probes.Tick(now, nil))
	}
	adapter.reportBalances()
}

// Leave implements module.Module. What this process reported expires by itself.
func (adapter *Adapter) Leave() {}

// Received is called by the core.
func (adapter *Adapter) Received(group, class, tenant int, again, in bool) {
	adapter.handle(overload.RequestReceived{Group: adapter.resource(group, class), Class: class, Tenant: tenant, Retry: again, Admitted: in})
}

// Ended is called by the core.
func (adapter *Adapter) Ended(group, class int, served, gone bool, strain float64) {
	adapter.handle(overload.RequestEnded{Group: adapter.resource(group, class), Class: class, Served: served, ClientGone: gone, Strain: strain})
}

func (adapter *Adapter) handle(e overload.Event) {
	if adapter.controller == nil {
		return
	}
	acts := adapter.controller.Handle(adapter.host.Now(), e, adapter.actions[:0])
	adapter.actions = nil
	for i := range acts {
		switch a := &acts[i]; a.Kind {
		case overload.SendReport:
			adapter.host.Send(a.Addr, a.To, module.KindOverload, outgoingReport(a.Report))
		case overload.SendDecisions:
			adapter.host.Send(a.Addr, a.To, module.KindOverload, outgoingDecisions(a.Decisions))
		case overload.Shed:
			adapter.shed(a.Group, a.Shedding)
		}
	}
	clear(acts)
	adapter.actions = acts
}

// resource returns the number by which a group is reported for a class: one for its primary, another for any of its servers. Each has a
// level of its own.
func (adapter *Adapter) resource(group, class int) int {
	if set := adapter.core.DecisionSettings(); class >= 0 && class < len(set.Classes) && (set.Classes[class].Read == decide.Write || set.Classes[class].Read == decide.ReadFresh) {
		return 2*group + 1
	}
	return 2 * group
}

// shed gives the decision module what both of a group's levels say.
func (adapter *Adapter) shed(resource int, p *overload.Shedding) {
	if adapter.shedding[resource] = p; p == nil {
		delete(adapter.shedding, resource)
	}
	group, set := resource/2, adapter.core.DecisionSettings()
	n := len(set.Classes)
	s := &decide.SheddingPolicy{Levels: make([]float64, n), Ranks: make([][4]int, n), OverQuotaIndex: make([]int, n), OverQuota: make([][2]float64, len(set.Tenants)),
		RankLifetime: time.Duration(adapter.options.Shedding.SessionPeriod * float64(time.Millisecond))}
	on := false
	for i := range set.Classes {
		s.OverQuotaIndex[i] = adapter.resource(group, i) & 1
		if p := adapter.shedding[2*group+s.OverQuotaIndex[i]]; p != nil && i < len(p.Cells) {
			s.Levels[i], s.Ranks[i], on = p.Level, p.Cells[i], true
		}
	}
	if !on {
		adapter.core.SetShedding(group, nil)
		return
	}
	for k := range 2 {
		if p := adapter.shedding[2*group+k]; p != nil {
			for i := range min(len(s.OverQuota), len(p.BeyondQuota)) {
				s.OverQuota[i][k] = p.BeyondQuota[i]
			}
		}
	}
	adapter.core.SetShedding(group, s)
}

// Prober is the part of an Adapter that shares probes.
type Prober struct{ *Adapter }

// Delegates is called by the core.
func (j Prober) Delegates(store string) bool {
	if j.probes == nil {
		return false
	}
	j.handleProbeActions(j.probes.RequestProbe(j.host.Now(), store, nil))
	return true
}

// Ended is called by the core.
func (j Prober) Ended(store string, result decide.Result, said attempts.Report) bool {
	if j.probes == nil {
		return false
	}
	f := overload.Finding{Kind: uint8(result), Role: uint8(said.Role)}
	if result != decide.OK {
		f.Result = overload.Unhealthy
	}
	if said.HasPos {
		f.Position = said.Position
	}
	j.handleProbeActions(j.probes.ProbeEnded(j.host.Now(), store, f, nil))
	return true
}

func (adapter *Adapter) handleProbeActions(acts []overload.ProbeAction) {
	for i := range acts {
		switch a := &acts[i]; {
		case a.Probe != "":
			adapter.core.CheckHealth(a.Probe)
		case a.Request != nil:
			adapter.host.Send(a.Addr, a.To, module.KindOverload, a.Request)
		case a.Response != nil:
			adapter.host.Send(a.Addr, a.To, module.KindOverload, a.Response)
		case a.Report:
			said := attempts.Report{Role: decide.Role(min(a.Role, uint8(decide.RoleReplica))), HasPos: a.Position > 0}
			if said.HasPos {
				said.Position = a.Position
			}
			adapter.core.HealthCheckReported(a.Server, decide.Result(min(a.Kind, uint8(decide.Misdirected))), said, a.Age)
		}
	}
	if due := adapter.probes.Due(); due < adapter.probesDue || adapter.probesDue <= adapter.host.Now() {
		if adapter.probesDue = due; due < 1e300 {
			adapter.host.At(due, func() {
				if adapter.host.Now() >= due {
					adapter.handleProbeActions(adapter.probes.Tick(adapter.host.Now(), nil))
				}
			})
		}
	}
}

// Statuses returns the state of each group at this process.
func (adapter *Adapter) Statuses() []overload.Status {
	if adapter.controller == nil {
		return nil
	}
	return adapter.controller.Statuses()
}
