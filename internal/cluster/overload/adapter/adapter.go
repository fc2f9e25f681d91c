// Package adapter connects overload handling, shared probes and lent retry budgets (package overload and its subpackages) to a pooler's
// core and to the cluster: requests, probe results and budgets go in, shedding policies, probes and lent retries come out. It works with
// sockets and in virtual time.
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
	SetShedding(group int, policy *decide.SheddingPolicy)
	AverageWork() []float64
	Names() (classes, tenants []string)
	DecisionSettings() *decide.Settings
	CheckHealth(server string)
	SetRetryBudget(settings *retrybudget.Settings, recoveryRampRate float64)
	RetryBudgets() []decide.RetryBudget
	AddRetryBudget(amounts map[int]float64)
	HealthCheckReported(server string, result decide.Result, report attempts.Report, ageMs float64)
}

// Host sends messages and runs timers.
type Host interface {
	module.Transport
	At(ms float64, callback func())
}

// Options configure an Adapter.
type Options struct {
	SheddingEnabled     bool // the poolers handle overload together
	Shedding            overload.Settings
	ProbeSharingEnabled bool
	Probes              overload.ProbeSettings
	RetryBounds
}

// Adapter is the adapter of one pooler. It implements module.Module and core.DemandObserver. Its methods are called on the event loop.
type Adapter struct {
	options      Options
	core         Core
	host         Host
	controller   *overload.Controller
	probes       *overload.ProbeSharing
	budget       *budgetlease.Lender
	actions      []overload.Action
	probesDue    float64                    // time of the timer for the next probe
	settingsSize int                        // numbers of classes and tenants in the last settings
	learnedAt    float64                    // time of the last sample of the work of classes
	shedding     map[int]*overload.Shedding // by resource

	checks        *invariant.Checks
	checkInterval int
}

// New returns an Adapter that is to be registered with the cluster node and the core.
func New(options Options, core Core, host Host) *Adapter {
	return &Adapter{options: options, core: core, host: host, shedding: map[int]*overload.Shedding{}}
}

// CheckInvariants makes the controller and the shared probes check their invariants, once in interval ticks.
func (adapter *Adapter) CheckInvariants(checks *invariant.Checks, interval int) {
	if adapter.checks, adapter.checkInterval = checks, interval; adapter.controller != nil {
		adapter.controller.CheckInvariants(checks, interval)
	}
	if adapter.probes != nil {
		adapter.probes.CheckInvariants(checks, interval)
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

// currentSettings returns the settings of overload with the current classes and tenants.
func (adapter *Adapter) currentSettings() overload.Settings {
	settings, out := adapter.core.DecisionSettings(), adapter.options.Shedding
	classes, tenants := adapter.core.Names()
	for i, class := range settings.Classes {
		if i < len(classes) {
			out.Classes = append(out.Classes, overload.Class{Name: classes[i], Priority: class.PriorityWeight, ObjectiveMs: float64(class.LatencyObjective) / float64(time.Millisecond), NotIdempotent: class.Idempotency == decide.NotIdempotent})
		}
	}
	all := 0.0
	for _, tenant := range settings.Tenants {
		all += tenant.RateLimit
	}
	for i, tenant := range settings.Tenants {
		if i < len(tenants) {
			out.Tenants = append(out.Tenants, overload.Tenant{Name: tenants[i], Share: tenant.RateLimit / max(all, 1e-9)})
		}
	}
	adapter.settingsSize = len(settings.Classes) + len(settings.Tenants)<<16
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
		adapter.controller = overload.New(adapter.currentSettings(), self, now)
		adapter.controller.CheckInvariants(adapter.checks, adapter.checkInterval)
	}
	if adapter.probes == nil && adapter.options.ProbeSharingEnabled {
		adapter.probes = overload.NewProbes(adapter.options.Probes, self, now)
		adapter.probes.CheckInvariants(adapter.checks, adapter.checkInterval)
	}
	adapter.updateLender(self, peers)
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
		if settings := adapter.core.DecisionSettings(); len(settings.Classes)+len(settings.Tenants)<<16 != adapter.settingsSize {
			adapter.handle(overload.SettingsChanged{Settings: adapter.currentSettings()})
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

// Received implements core.DemandObserver.
func (adapter *Adapter) Received(group, class, tenant int, retry, admitted bool) {
	adapter.handle(overload.RequestReceived{Group: adapter.resource(group, class), Class: class, Tenant: tenant, Retry: retry, Admitted: admitted})
}

// Ended implements core.DemandObserver.
func (adapter *Adapter) Ended(group, class int, served, clientGone bool, strain float64) {
	adapter.handle(overload.RequestEnded{Group: adapter.resource(group, class), Class: class, Served: served, ClientGone: clientGone, Strain: strain})
}

// handle passes an event to the controller and carries out the actions. The core may call the adapter again meanwhile.
func (adapter *Adapter) handle(e overload.Event) {
	if adapter.controller == nil {
		return
	}
	actions := adapter.controller.Handle(adapter.host.Now(), e, adapter.actions[:0])
	adapter.actions = nil // a nested call must not reuse the slice
	for i := range actions {
		switch a := &actions[i]; a.Kind {
		case overload.SendReport:
			adapter.host.Send(a.Addr, a.To, module.KindOverload, outgoingReport(a.Report))
		case overload.SendDecisions:
			adapter.host.Send(a.Addr, a.To, module.KindOverload, outgoingDecisions(a.Decisions))
		case overload.Shed:
			adapter.shed(a.Group, a.Shedding)
		}
	}
	clear(actions)
	adapter.actions = actions
}

// resource returns the number by which a group is reported for a class: one number for requests that only its primary may serve, another
// for all other requests. Each has a level of its own.
func (adapter *Adapter) resource(group, class int) int {
	if settings := adapter.core.DecisionSettings(); class >= 0 && class < len(settings.Classes) && (settings.Classes[class].Read == decide.Write || settings.Classes[class].Read == decide.ReadFresh) {
		return 2*group + 1
	}
	return 2 * group
}

// shed records the shedding of one of a group's two resources and gives the decision module the policy that combines both.
func (adapter *Adapter) shed(resource int, shedding *overload.Shedding) {
	if adapter.shedding[resource] = shedding; shedding == nil {
		delete(adapter.shedding, resource)
	}
	group, settings := resource/2, adapter.core.DecisionSettings()
	n := len(settings.Classes)
	policy := &decide.SheddingPolicy{Levels: make([]float64, n), Ranks: make([][4]int, n), OverQuotaIndex: make([]int, n), OverQuota: make([][2]float64, len(settings.Tenants)),
		RankLifetime: time.Duration(adapter.options.Shedding.SessionPeriod * float64(time.Millisecond))}
	active := false
	for i := range settings.Classes {
		policy.OverQuotaIndex[i] = adapter.resource(group, i) & 1
		if own := adapter.shedding[2*group+policy.OverQuotaIndex[i]]; own != nil && i < len(own.Cells) {
			policy.Levels[i], policy.Ranks[i], active = own.Level, own.Cells[i], true
		}
	}
	if !active {
		adapter.core.SetShedding(group, nil)
		return
	}
	for k := range 2 {
		if own := adapter.shedding[2*group+k]; own != nil {
			for i := range min(len(policy.OverQuota), len(own.BeyondQuota)) {
				policy.OverQuota[i][k] = own.BeyondQuota[i]
			}
		}
	}
	adapter.core.SetShedding(group, policy)
}

// Prober is the part of an Adapter that shares probes. It implements core.HealthCheckSharer.
type Prober struct{ *Adapter }

// Delegates implements core.HealthCheckSharer.
func (prober Prober) Delegates(server string) bool {
	if prober.probes == nil {
		return false
	}
	prober.handleProbeActions(prober.probes.RequestProbe(prober.host.Now(), server, nil))
	return true
}

// Ended implements core.HealthCheckSharer.
func (prober Prober) Ended(server string, result decide.Result, report attempts.Report) bool {
	if prober.probes == nil {
		return false
	}
	finding := overload.Finding{Kind: uint8(result), Role: uint8(report.Role)}
	if result != decide.OK {
		finding.Result = overload.Unhealthy
	}
	if report.HasPosition {
		finding.Position = report.Position
	}
	prober.handleProbeActions(prober.probes.ProbeEnded(prober.host.Now(), server, finding, nil))
	return true
}

// handleProbeActions carries out the actions of shared probes and sets a timer for the next probe that is due.
func (adapter *Adapter) handleProbeActions(actions []overload.ProbeAction) {
	for i := range actions {
		switch a := &actions[i]; {
		case a.Probe != "":
			adapter.core.CheckHealth(a.Probe)
		case a.Request != nil:
			adapter.host.Send(a.Addr, a.To, module.KindOverload, a.Request)
		case a.Response != nil:
			adapter.host.Send(a.Addr, a.To, module.KindOverload, a.Response)
		case a.Report:
			report := attempts.Report{Role: decide.Role(min(a.Role, uint8(decide.RoleReplica))), HasPosition: a.Position > 0}
			if report.HasPosition {
				report.Position = a.Position
			}
			adapter.core.HealthCheckReported(a.Server, decide.Result(min(a.Kind, uint8(decide.Misdirected))), report, a.Age)
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
