// Package adapter connects shared outlier detection (package outlier) to a pooler's core and to the cluster: attempts, health checks and
// the endpoint list go in, ejections and learned reports come out. It works with sockets and in virtual time. Without other poolers it does
// nothing.
package adapter

import (
	"slices"

	"beechgrade/internal/attempts"
	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/outlier"
	"beechgrade/internal/cluster/view"
	"beechgrade/internal/decide"
	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/invariant"
)

// Core is the part of a pooler's core that the adapter uses.
type Core interface {
	Snapshot() *decide.Snapshot
	CheckHealthForObserver(server string)
	ServerReported(server string, report attempts.Report, ageMs float64)
	Eject(server string)
	StartTrial(server string)
}

// Host sends messages and runs timers.
type Host interface {
	module.Transport
	At(ms float64, callback func())
}

// Options configure an Adapter.
type Options struct{ Settings outlier.Settings }

// EjectionObserver is called for each ejection on shared evidence that starts or ends.
type EjectionObserver func(ejection outlier.Ejection, started bool)

// Adapter is the adapter of one pooler. It implements module.Module and the core's observer of servers. Its methods are called on the event
// loop.
type Adapter struct {
	options       Options
	core          Core
	host          Host
	detector      *outlier.Detector // nil until the first UpdateMembers
	actions       []outlier.Action
	listed        map[string]outlier.Server
	serverRates   map[string]float64 // by server: work done a second, relative to the slowest kind
	classWork     []float64          // average work of a request in seconds, by class
	learnedAt     float64            // time of the last sample of the decision module's estimates
	onEjection    EjectionObserver   // may be nil
	checks        *invariant.Checks
	checkInterval int
}

// New returns an Adapter that is to be registered with the cluster node and the core.
func New(options Options, core Core, host Host) *Adapter {
	return &Adapter{options: options, core: core, host: host, listed: map[string]outlier.Server{}, serverRates: map[string]float64{}}
}

// OnEjection sets the observer of ejections.
func (adapter *Adapter) OnEjection(observer EjectionObserver) { adapter.onEjection = observer }

// CheckInvariants makes the detector check its invariants, once in interval events.
func (adapter *Adapter) CheckInvariants(checks *invariant.Checks, interval int) {
	adapter.checks, adapter.checkInterval = checks, interval
	if adapter.detector != nil {
		adapter.detector.CheckInvariants(checks, interval)
	}
}

// learnIntervalMs is the time between two samples of the decision module's estimates.
const learnIntervalMs = 1000

// Kind implements module.Module.
func (adapter *Adapter) Kind() view.Kind { return module.KindOutlier }

// Decode implements module.Module.
func (adapter *Adapter) Decode(b []byte) (any, error) { return outlier.Decode(b) }

// UpdateMembers implements module.Module.
func (adapter *Adapter) UpdateMembers(self view.ID, all []view.Record, _ view.Counts) {
	var peers []outlier.Peer
	for i := range all {
		if r := &all[i]; r.ID == self || r.State <= view.Suspect {
			peers = append(peers, outlier.Peer{ID: r.ID, Addr: r.Addr, Zone: r.Zone})
		}
	}
	first := adapter.detector == nil
	if first {
		adapter.detector = outlier.New(adapter.options.Settings, self, adapter.host.Now())
		adapter.detector.CheckInvariants(adapter.checks, adapter.checkInterval)
	}
	adapter.handle(outlier.MembersChanged{Self: self, Peers: peers})
	if first {
		adapter.updateServers()
	}
}

// Receive implements module.Module.
func (adapter *Adapter) Receive(from view.ID, m any) {
	adapter.handle(outlier.Received{From: from, Message: m})
}

// Tick implements module.Module.
func (adapter *Adapter) Tick() {
	if now := adapter.host.Now(); now-adapter.learnedAt >= learnIntervalMs || len(adapter.classWork) == 0 {
		adapter.learnedAt = now
		adapter.learn(adapter.core.Snapshot())
	}
	adapter.handle(outlier.Tick{})
}

// learn copies the decision module's estimates of work and rates, and passes on the servers that it has marked down.
func (adapter *Adapter) learn(snapshot *decide.Snapshot) {
	adapter.classWork = snapshot.ClassWork
	rate := 0.0
	for _, x := range snapshot.KindRates { // the lowest
		if rate == 0 || x < rate {
			rate = x
		}
	}
	if rate == 0 {
		rate = 1
	}
	var down []string
	for i := range snapshot.Servers {
		s := &snapshot.Servers[i]
		adapter.serverRates[string(s.ID)] = s.RelativeRate * rate
		if s.Ejected {
			down = append(down, string(s.ID))
		}
	}
	slices.Sort(down)
	adapter.handle(outlier.ServersDown{Servers: down})
}

// Leave implements module.Module. What this process reported expires by itself.
func (adapter *Adapter) Leave() {}

// Listed applies an endpoint list, or the changed part of one if complete is false.
func (adapter *Adapter) Listed(list *discovery.List, complete bool) {
	if complete {
		clear(adapter.listed)
	}
	for i := range list.Instances {
		instance := &list.Instances[i]
		if instance.ID == "" {
			continue
		}
		if instance.Lifecycle == "removed" {
			delete(adapter.listed, instance.ID)
			continue
		}
		adapter.listed[instance.ID] = outlier.Server{Name: instance.ID, Group: instance.Cell, Start: float64(instance.StartedAtMs)}
	}
	adapter.updateServers()
}

func (adapter *Adapter) updateServers() {
	var all []outlier.Server
	for _, server := range adapter.listed { // the detector sorts them
		all = append(all, server)
	}
	adapter.handle(outlier.ServersListed{Servers: all})
}

// attemptRef packs an attempt's ID into 64 bits: the index of its request, 24 bits of the generation and 16 bits of the attempt's number.
func attemptRef(id attempts.ID) uint64 {
	const generationMask, numberMask = 1<<24 - 1, 1<<16 - 1
	return uint64(id.Request.Index)<<40 | uint64(id.Request.Gen&generationMask)<<16 | uint64(id.Number&numberMask)
}

// defaultWorkMs is the work of a request of an unknown class.
const defaultWorkMs = 100

const (
	minWorkMs   = 1
	msPerSecond = 1000
)

// Sent reports an attempt that was sent to a server.
func (adapter *Adapter) Sent(server string, attempt attempts.ID, class int) {
	work := float64(defaultWorkMs)
	if class >= 0 && class < len(adapter.classWork) {
		work = adapter.classWork[class] * msPerSecond
		if rate := adapter.serverRates[server]; rate > 0 {
			work /= rate
		}
	}
	adapter.handle(outlier.AttemptSent{Server: server, Ref: attemptRef(attempt), Work: max(minWorkMs, work)})
}

// Ended reports the end of an attempt, and the server's report with it.
func (adapter *Adapter) Ended(server string, attempt attempts.ID, result decide.Result, report attempts.Report) {
	outcome := outlier.Answered
	switch result {
	case decide.TimedOut, decide.Cancelled, decide.NotSent:
		outcome = outlier.Inconclusive
	case decide.Unreachable, decide.Reset:
		outcome = outlier.Unanswered
	}
	adapter.handle(outlier.AttemptEnded{Server: server, Ref: attemptRef(attempt), Outcome: outcome, Report: reportOf(report)})
}

// Reported reports what a server said of itself at the end of a streamed answer.
func (adapter *Adapter) Reported(server string, report attempts.Report) {
	adapter.handle(outlier.ServerReported{Server: server, Report: reportOf(report)})
}

// HealthChecked reports the result of a health check.
func (adapter *Adapter) HealthChecked(server string, result decide.Result, report attempts.Report) {
	adapter.handle(outlier.HealthChecked{Server: server, OK: result == decide.OK, Report: reportOf(report)})
}

// Ejects reports whether this pooler sends a server no requests though its health check succeeds.
func (adapter *Adapter) Ejects(server string) bool {
	return adapter.detector != nil && adapter.detector.Withholds(server)
}

// reportOf converts a server's report; one without a position is empty.
func reportOf(report attempts.Report) (out outlier.ServerReport) {
	if !report.HasPosition {
		return out
	}
	out.Position = report.Position
	switch report.Role {
	case decide.RolePrimary:
		out.Role = outlier.RolePrimary
	case decide.RoleReplica:
		out.Role = outlier.RoleReplica
	}
	return out
}

// handle passes an event to the detector and carries out the actions. The core may call the adapter again meanwhile.
func (adapter *Adapter) handle(event outlier.Event) {
	if adapter.detector == nil {
		return
	}
	actions := adapter.detector.Handle(adapter.host.Now(), event, adapter.actions[:0])
	adapter.actions = nil // a nested call must not reuse the slice
	for i := range actions {
		adapter.apply(&actions[i])
	}
	clear(actions)
	adapter.actions = actions
}

func (adapter *Adapter) apply(action *outlier.Action) {
	switch action.Kind {
	case outlier.Send:
		adapter.send(action)
	case outlier.Eject:
		adapter.core.Eject(action.Server)
	case outlier.Restore:
		adapter.core.StartTrial(action.Server)
	case outlier.EjectionStarted, outlier.EjectionEnded:
		if adapter.onEjection != nil {
			action.Ejection.Server = action.Server
			adapter.onEjection(action.Ejection, action.Kind == outlier.EjectionStarted)
		}
	case outlier.CheckHealth:
		adapter.core.CheckHealthForObserver(action.Server)
	case outlier.LearnReport:
		report := attempts.Report{Position: action.Report.Position, HasPosition: true}
		if action.Report.Role == outlier.RolePrimary {
			report.Role = decide.RolePrimary
		}
		adapter.core.ServerReported(action.Server, report, max(0, action.Age))
	}
}

func (adapter *Adapter) send(action *outlier.Action) {
	var message module.Message
	if action.Observations != nil {
		message = outgoingObservations(action.Observations)
	} else {
		message = outgoingAssessments(action.Assessments)
	}
	adapter.host.Send(action.Addr, action.To, module.KindOutlier, message)
}

// Avoided implements module.AvoidedReporter.
func (adapter *Adapter) Avoided() []outlier.Ejection {
	if adapter.detector == nil {
		return nil
	}
	return adapter.detector.Ejections()
}

// LocallyUnreachable counts the servers that answer others and not this pooler.
func (adapter *Adapter) LocallyUnreachable() int {
	if adapter.detector == nil {
		return 0
	}
	return adapter.detector.LocallyUnreachable()
}
