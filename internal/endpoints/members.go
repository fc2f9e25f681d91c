// Package endpoints joins the sources of the server list to the core: what they say goes to the judge, and what that makes
// of it to the core, the log, the records and the snapshot's file.
package endpoints

import (
	"fmt"
	"log/slog"
	"math"

	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/endpoints/reconcile"
	"beechgrade/internal/endpoints/snapshot"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/eventloop/timers"
	"beechgrade/internal/record"
	"beechgrade/internal/record/recordpb"
)

// Names of the sources that are not the operators' to name.
const (
	SourcePlatform = "platform" // the platform's discovery
	SourceConsul   = "consul"
	SourceStatic   = "static"
	SourceInitial  = "known" // what was known at the start: the configuration's list, or a snapshot
)

// Loop is where everything here runs.
type Loop interface {
	Now() float64
	At(ms float64, do func()) *timers.Timer
	Post(f func())
}

// Discovery is the platform's discovery, where it is a source.
type Discovery interface {
	Watch()
	Fetch()
}

// Options say what the list is made of.
type Options struct {
	Reconcile     reconcile.Settings
	Platform      bool           // the platform's discovery is a source
	SnapshotPath  string         // a file, empty for none
	SnapshotStore snapshot.Store // in place of a file where there is none; nil for none
}

// Manager makes the list. It belongs to the loop.
type Manager struct {
	loop           Loop
	log            *slog.Logger
	options        Options
	reconciler     *reconcile.Reconciler
	events         discovery.Events
	discovery      Discovery // nil where the platform's discovery is none
	recorder       *record.Recorder
	generation     int64
	listedCount    int    // servers in the list
	tickSequence   uint64 // grows with each call of the judge that is hung up: the ones before come to nothing
	started        bool
	pendingSources map[string]bool // sources that have not been heard yet

	unsaved    bool // the list has changed since it was saved
	saving     bool
	nextSaveAt float64
}

const saveIntervalMs = 5000 // ms between snapshots

// New makes members; known is what is known at the start.
func New(loop Loop, log *slog.Logger, options Options, events discovery.Events, known *discovery.List) *Manager {
	m := &Manager{loop: loop, log: log, options: options, events: events, pendingSources: map[string]bool{}}
	for _, source := range options.Reconcile.Sources {
		m.pendingSources[source] = true
	}
	options.Reconcile.Sources = append(append([]string(nil), options.Reconcile.Sources...), SourceInitial)
	m.reconciler = reconcile.New(options.Reconcile)
	report := &reconcile.Report{Full: true}
	for i := range known.Instances {
		if observation, ok := observationFromInstance(&known.Instances[i]); ok {
			report.Observations = append(report.Observations, observation)
		}
	}
	if options.SnapshotPath != "" {
		m.options.SnapshotStore = snapshot.FileStore(options.SnapshotPath)
	}
	if m.options.SnapshotStore != nil {
		file, err := m.options.SnapshotStore.Load()
		switch {
		case err != nil:
			log.Warn("starting without the saved list", "err", err)
		case file != nil:
			for i := range file.Entries {
				report.Observations = append(report.Observations, observationFromEntry(&file.Entries[i]))
			}
			log.Info("starting with the saved list", "file", options.SnapshotPath, "servers", len(file.Entries), "saved_s_ago", math.Round((loop.Now()-file.SavedAtMs)/1000))
		}
	}
	m.reconciler.Observe(loop.Now(), SourceInitial, report)
	return m
}

// InitialList is the list that the core starts with.
func (m *Manager) InitialList() discovery.List {
	_, decisions := m.reconciler.TakeChanges()
	m.recordDecisions(decisions)
	list := discovery.List{Generation: m.generation, Reset: true}
	for _, entry := range m.reconciler.List() {
		list.Instances = append(list.Instances, instanceFromEntry(&entry))
	}
	m.listedCount, m.started = len(list.Instances), true
	return list
}

// SetDiscovery has the platform's discovery asked.
func (m *Manager) SetDiscovery(discovery Discovery) { m.discovery = discovery }

// SetRecorder has what is said and judged recorded.
func (m *Manager) SetRecorder(recorder *record.Recorder) { m.recorder = recorder }

// Watch is core.Directory's.
func (m *Manager) Watch() {
	if m.discovery != nil {
		m.discovery.Watch()
	}
}

// Fetch is core.Directory's.
func (m *Manager) Fetch() {
	if m.discovery != nil {
		m.discovery.Fetch()
	}
}

// Listed is discovery.Events'.
func (m *Manager) Listed(list *discovery.List) {
	m.Observe(SourcePlatform, ReportFromList(list))
}

// ReportFromList is what a list in the platform's form says.
func ReportFromList(list *discovery.List) *reconcile.Report {
	report := &reconcile.Report{Full: list.Reset, Generation: list.Generation}
	for i := range list.Instances {
		instance := &list.Instances[i]
		if instance.Lifecycle == "removed" {
			report.Removed = append(report.Removed, instance.ID)
		} else if observation, ok := observationFromInstance(instance); ok {
			report.Observations = append(report.Observations, observation)
		}
	}
	return report
}

// ListFailed is discovery.Events'. The core asks again, as ever.
func (m *Manager) ListFailed() {
	m.SourceLost(SourcePlatform, "its watch ended")
	m.events.ListFailed()
}

// Observe is consul.Sink's.
func (m *Manager) Observe(source string, report *reconcile.Report) {
	now := m.loop.Now()
	m.recordReport(source, report)
	if m.reconciler.Observe(now, source, report) && source == SourcePlatform {
		m.Fetch()
	}
	if !report.MoreToCome {
		delete(m.pendingSources, source)
	}
	if len(m.pendingSources) == 0 {
		m.pendingSources = map[string]bool{"": true} // once
		m.reconciler.RetireSource(now, SourceInitial)
	}
	m.publish()
}

// SourceLost is consul.Sink's.
func (m *Manager) SourceLost(source, reason string) {
	m.reconciler.SourceLost(m.loop.Now(), source, reason)
	m.publish()
}

// Note is consul.Sink's.
func (m *Manager) Note(source string, kind reconcile.DecisionKind, reason string) {
	m.reconciler.Note(m.loop.Now(), source, kind, reason)
	m.publish()
}

// ServerReported is core.ReportSink's: what a server said of itself in an answer or a probe's.
func (m *Manager) ServerReported(server string, primary, replica bool, position float64) {
	report := reconcile.SelfReport{Position: position}
	switch {
	case primary:
		report.Role = reconcile.Primary
	case replica:
		report.Role = reconcile.Replica
	}
	if m.reconciler.ObserveServer(m.loop.Now(), server, report); m.started && m.publishChanges() { // most answers say nothing new
		m.scheduleTick()
	}
}

// Override takes the operators' word.
func (m *Manager) Override(override reconcile.Override) {
	m.reconciler.Override(m.loop.Now(), override)
	m.publish()
}

// publish carries on what the judge has made, and sees to it that it is called in time.
func (m *Manager) publish() {
	if m.started {
		m.publishChanges()
		m.scheduleTick()
	}
}

// publishChanges carries on what the judge has made, and tells whether there was anything.
func (m *Manager) publishChanges() bool {
	changes, decisions := m.reconciler.TakeChanges()
	m.recordDecisions(decisions)
	if len(changes) > 0 {
		m.generation++
		list := discovery.List{Generation: m.generation, Reset: m.listedCount == 0}
		for i := range changes {
			if instance := instanceFromEntry(&changes[i]); !list.Reset || instance.Lifecycle != "removed" {
				list.Instances = append(list.Instances, instance)
			}
		}
		m.listedCount = m.reconciler.Len()
		m.events.Listed(&list)
		m.unsaved = true
		m.saveSnapshot()
	}
	return len(changes)+len(decisions) > 0
}

// scheduleTick hangs up the judge's next call.
func (m *Manager) scheduleTick() {
	m.tickSequence++
	sequence, next := m.tickSequence, m.reconciler.Tick(m.loop.Now())
	m.publishChanges()
	if next > 0 {
		m.loop.At(max(next, m.loop.Now()+1), func() {
			if m.tickSequence == sequence {
				m.scheduleTick()
			}
		})
	}
}

// recordDecisions logs and records judgements.
func (m *Manager) recordDecisions(decisions []reconcile.Decision) {
	for i := range decisions {
		decision := &decisions[i]
		m.log.Info("members", "what", string(decision.Kind), "server", decision.Server, "source", decision.Source, "why", decision.Reason)
		m.recorder.Put(&record.Event{At: m.loop.Now(), Kind: recordpb.Kind_KIND_JUDGED, Server: decision.Server, Group: int64(decision.Group), Source: decision.Source, Text: string(decision.Kind) + ": " + decision.Reason})
	}
}

func (m *Manager) recordReport(source string, report *reconcile.Report) {
	if !m.recorder.On() {
		return
	}
	now := m.loop.Now()
	for i := range report.Observations {
		observation := &report.Observations[i]
		m.recorder.Put(&record.Event{At: now, Kind: recordpb.Kind_KIND_SAID, Server: observation.ID, Group: int64(observation.Group), Source: source, Health: uint8(observation.Health), Role: uint8(observation.Role),
			Primary: observation.Role == reconcile.Primary, Number: int64(observation.Started), Text: observation.Address})
	}
	for _, id := range report.Removed {
		m.recorder.Put(&record.Event{At: now, Kind: recordpb.Kind_KIND_SAID, Server: id, Source: source, State: uint8(reconcile.StateRemoved)})
	}
}

// saveSnapshot writes the snapshot, not too often and one at a time, on a goroutine of its own.
func (m *Manager) saveSnapshot() {
	if m.options.SnapshotStore == nil || m.saving || !m.unsaved || m.listedCount == 0 {
		return
	}
	now := m.loop.Now()
	if now < m.nextSaveAt {
		m.saving = true
		m.loop.At(m.nextSaveAt, func() { m.saving = false; m.saveSnapshot() })
		return
	}
	m.saving, m.unsaved, m.nextSaveAt = true, false, now+saveIntervalMs
	file := &snapshot.File{SavedAtMs: clock.Wall(), Entries: m.reconciler.List()}
	go func() {
		err := m.options.SnapshotStore.Save(file)
		m.loop.Post(func() {
			m.saving = false
			if err != nil {
				m.log.Warn("the list could not be saved", "err", err)
				return
			}
			m.saveSnapshot()
		})
	}()
}

// observationFromInstance is what an entry of the platform's form says.
func observationFromInstance(instance *discovery.Instance) (reconcile.Observation, bool) {
	observation := reconcile.Observation{ID: instance.ID, Address: instance.HostPort, Group: instance.Cell, Zone: instance.Zone, Kind: instance.MachineType, Weight: instance.Weight, Started: float64(instance.StartedAtMs)}
	switch instance.Role {
	case "primary":
		observation.Role = reconcile.Primary
	case "replica":
		observation.Role = reconcile.Replica
	}
	if instance.Lifecycle == "draining" {
		observation.Health = reconcile.Maintenance
	}
	return observation, instance.ID != "" && instance.HostPort != "" && instance.Lifecycle != "removed"
}

func observationFromEntry(entry *reconcile.Entry) reconcile.Observation {
	observation := reconcile.Observation{ID: entry.ID, Address: entry.Address, Group: entry.Group, Zone: entry.Zone, Kind: entry.Kind, Weight: entry.Weight, Started: entry.Started}
	if entry.State == reconcile.StateDraining {
		observation.Health = reconcile.Maintenance
	}
	if entry.Primary {
		observation.Role = reconcile.Primary
	}
	return observation
}

// instanceFromEntry is an entry of the list in the form that the core takes.
func instanceFromEntry(entry *reconcile.Entry) discovery.Instance {
	instance := discovery.Instance{ID: entry.ID, HostPort: entry.Address, Zone: entry.Zone, MachineType: entry.Kind, Cell: entry.Group, Weight: entry.Weight, StartedAtMs: int64(entry.Started),
		Lifecycle: [...]string{"up", "draining", "removed"}[entry.State]}
	if instance.Weight <= 0 {
		instance.Weight = 1
	}
	if entry.Primary {
		instance.Role = "primary"
	}
	return instance
}

// Entry is a server as the list has it.
func (m *Manager) Entry(id string) (reconcile.Entry, bool) { return m.reconciler.Entry(id) }

// Summary says in a line what the list holds.
func (m *Manager) Summary() string {
	return fmt.Sprintf("%d servers, %d removals held back", m.listedCount, m.reconciler.HeldRemovals())
}
