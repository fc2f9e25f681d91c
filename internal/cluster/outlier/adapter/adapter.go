// Package adapter joins package verdicts to a pooler's core and to the ways between poolers: one adapter for sockets and for virtual time.
package adapter

import (
	"slices"

	"beechgrade/internal/backend"
	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/outlier"
	"beechgrade/internal/cluster/view"
	"beechgrade/internal/decide"
	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/invariant"
)

// Core is what it needs of a pooler's core.
type Core interface {
	Snapshot() *decide.Snapshot
	CheckHealthForObserver(store string)
	ServerReported(store string, said backend.Report, ageMs float64)
	Eject(store string)
	StartTrial(store string)
}

// Host is what carries words, and time.
type Host interface {
	module.Transport
	At(ms float64, do func())
}

// Options say what is shared, and how.
type Options struct{ Settings outlier.Settings }

// EjectionObserver hears of each server that this pooler begins or ends to avoid by others' word.
type EjectionObserver func(s outlier.Ejection, begins bool)

// Adapter is a pooler's side. It is part.Part and core.Witness.
type Adapter struct {
	options       Options
	core          Core
	host          Host
	detector      *outlier.Detector // nil until somebody is known
	actions       []outlier.Action
	listed        map[string]outlier.Server
	serverRates   map[string]float64 // rates of the servers, as learned
	classWork     []float64
	learnedAt     float64
	onEjection    EjectionObserver // may be nil
	checks        *invariant.Checks
	checkInterval int
}

// New makes one; it is to be joined to the peers and to the core.
func New(opt Options, c Core, h Host) *Adapter {
	return &Adapter{options: opt, core: c, host: h, listed: map[string]outlier.Server{}, serverRates: map[string]float64{}}
}

// OnEjection has somebody hear of what is avoided.
func (adapter *Adapter) OnEjection(to EjectionObserver) { adapter.onEjection = to }

// CheckInvariants has its invariants checked.
func (adapter *Adapter) CheckInvariants(c *invariant.Checks, every int) {
	if adapter.checks, adapter.checkInterval = c, every; adapter.detector != nil {
		adapter.detector.CheckInvariants(c, every)
	}
}

// learnIntervalMs is between two looks at what requests cost.
const learnIntervalMs = 1000

// Kind is part.Part's.
func (adapter *Adapter) Kind() view.Kind { return module.KindOutlier }

// Decode is part.Part's.
func (adapter *Adapter) Decode(b []byte) (any, error) { return outlier.Decode(b) }

// UpdateMembers is part.Part's.
func (adapter *Adapter) UpdateMembers(self view.ID, all []view.Record, _ view.Counts) {
	var peers []outlier.Peer
	for i := range all {
		if r := &all[i]; r.ID == self || r.State <= view.Suspect {
			peers = append(peers, outlier.Peer{ID: r.ID, Addr: r.Addr, Zone: r.Zone})
		}
	}
	began := adapter.detector == nil
	if began {
		adapter.detector = outlier.New(adapter.options.Settings, self, adapter.host.Now())
		adapter.detector.CheckInvariants(adapter.checks, adapter.checkInterval)
	}
	adapter.handle(outlier.MembersChanged{Self: self, Peers: peers})
	if began {
		adapter.updateServers()
	}
}

// Receive is part.Part's.
func (adapter *Adapter) Receive(from view.ID, m any) {
	adapter.handle(outlier.Received{From: from, Message: m})
}

// Tick is part.Part's.
func (adapter *Adapter) Tick() {
	if now := adapter.host.Now(); now-adapter.learnedAt >= learnIntervalMs || len(adapter.classWork) == 0 {
		adapter.learnedAt = now
		adapter.learn(adapter.core.Snapshot())
	}
	adapter.handle(outlier.Tick{})
}

// learn takes what requests cost, and which servers the module takes for down.
func (adapter *Adapter) learn(m *decide.Snapshot) {
	adapter.classWork = m.ClassWork
	rate := 0.0
	for _, x := range m.KindRates { // the least
		if rate == 0 || x < rate {
			rate = x
		}
	}
	if rate == 0 {
		rate = 1
	}
	var down []string
	for i := range m.Servers {
		s := &m.Servers[i]
		if adapter.serverRates[string(s.ID)] = s.RelativeRate * rate; s.Ejected {
			down = append(down, string(s.ID))
		}
	}
	slices.Sort(down)
	adapter.handle(outlier.ServersDown{Servers: down})
}

// Leave is part.Part's: what it told fades by itself.
func (adapter *Adapter) Leave() {}

// Listed is core.Witness's.
func (adapter *Adapter) Listed(l *discovery.List, whole bool) {
	if whole {
		clear(adapter.listed)
	}
	for i := range l.Instances {
		n := &l.Instances[i]
		if n.ID == "" {
			continue
		}
		if n.Lifecycle == "removed" {
			delete(adapter.listed, n.ID)
			continue
		}
		adapter.listed[n.ID] = outlier.Server{Name: n.ID, Group: n.Cell, Start: float64(n.StartedAtMs)}
	}
	adapter.updateServers()
}

func (adapter *Adapter) updateServers() {
	var all []outlier.Server
	for _, x := range adapter.listed { // the module sorts them
		all = append(all, x)
	}
	adapter.handle(outlier.ServersListed{Servers: all})
}

func attemptRef(t backend.AttemptID) uint64 {
	return uint64(t.Request.Index)<<40 | uint64(t.Request.Gen&0xffffff)<<16 | uint64(t.Number&0xffff)
}

// defaultWorkMs is what a request takes whose class nothing is known of.
const defaultWorkMs = 100

// Sent is core.Witness's.
func (adapter *Adapter) Sent(store string, t backend.AttemptID, class int) {
	work := float64(defaultWorkMs)
	if class >= 0 && class < len(adapter.classWork) {
		if work = adapter.classWork[class] * 1000; adapter.serverRates[store] > 0 {
			work /= adapter.serverRates[store]
		}
	}
	adapter.handle(outlier.AttemptSent{Server: store, Ref: attemptRef(t), Work: max(1, work)})
}

// Ended is core.Witness's.
func (adapter *Adapter) Ended(store string, t backend.AttemptID, result decide.Result, said backend.Report) {
	end := outlier.Answered
	switch result {
	case decide.TimedOut, decide.Cancelled, decide.NotSent:
		end = outlier.Inconclusive
	case decide.Unreachable, decide.Reset:
		end = outlier.Unanswered
	}
	adapter.handle(outlier.AttemptEnded{Server: store, Ref: attemptRef(t), Outcome: end, Report: reportOf(said)})
}

// HealthChecked is core.Witness's.
func (adapter *Adapter) HealthChecked(store string, result decide.Result, said backend.Report) {
	adapter.handle(outlier.HealthChecked{Server: store, OK: result == decide.OK, Report: reportOf(said)})
}

// Ejects is core.Witness's.
func (adapter *Adapter) Ejects(store string) bool {
	return adapter.detector != nil && adapter.detector.Withholds(store)
}

func reportOf(s backend.Report) (out outlier.ServerReport) {
	if s.HasPos {
		out.Position = s.Position
		out.Role = map[decide.Role]outlier.Role{decide.RolePrimary: outlier.RolePrimary, decide.RoleReplica: outlier.RoleReplica}[s.Role]
	}
	return out
}

func (adapter *Adapter) handle(e outlier.Event) {
	if adapter.detector == nil {
		return
	}
	acts := adapter.detector.Handle(adapter.host.Now(), e, adapter.actions[:0])
	adapter.actions = nil
	for i := range acts {
		switch a := &acts[i]; a.Kind {
		case outlier.Send:
			if a.Observations != nil {
				adapter.host.Send(a.Addr, a.To, module.KindOutlier, outgoingObservations(a.Observations))
			} else {
				adapter.host.Send(a.Addr, a.To, module.KindOutlier, outgoingAssessments(a.Assessments))
			}
		case outlier.Eject:
			adapter.core.Eject(a.Server)
		case outlier.Restore:
			adapter.core.StartTrial(a.Server)
		case outlier.EjectionStarted, outlier.EjectionEnded:
			if adapter.onEjection != nil {
				a.Ejection.Server = a.Server
				adapter.onEjection(a.Ejection, a.Kind == outlier.EjectionStarted)
			}
		case outlier.CheckHealth:
			adapter.core.CheckHealthForObserver(a.Server)
		case outlier.LearnReport:
			s := backend.Report{Position: a.Report.Position, HasPos: true}
			if a.Report.Role == outlier.RolePrimary {
				s.Role = decide.RolePrimary
			}
			adapter.core.ServerReported(a.Server, s, max(0, a.Age))
		}
	}
	clear(acts)
	adapter.actions = acts
}

// Avoided is part.Avoiding's: the servers that this pooler avoids by others' word.
func (adapter *Adapter) Avoided() []outlier.Ejection {
	if adapter.detector == nil {
		return nil
	}
	return adapter.detector.Ejections()
}

// LocallyUnreachable counts the servers that others get answers from and this pooler does not.
func (adapter *Adapter) LocallyUnreachable() int {
	if adapter.detector == nil {
		return 0
	}
	return adapter.detector.LocallyUnreachable()
}
