// Package endpoints keeps the list of database servers up to date. A Manager takes the reports of the list's sources (the
// platform's discovery, Consul, a static file) and the self-reports of servers, has package reconcile make one list of them, and
// passes the changes on to the core, the log, the records and the snapshot. While no source reports, the list stays as it
// was, at first that of the configuration or of a snapshot.
package endpoints

import (
	"fmt"
	"log/slog"
	"math"
	"slices"

	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/endpoints/reconcile"
	"beechgrade/internal/endpoints/snapshot"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/eventloop/timers"
	"beechgrade/internal/record"
	"beechgrade/internal/record/recordpb"
)

// Names of the sources, as settings, logs and records have them.
const (
	SourcePlatform = "platform" // the platform's discovery
	SourceConsul   = "consul"
	SourceStatic   = "static"
	SourceInitial  = "known" // the list at the start: the configuration's, or a snapshot
)

const (
	saveIntervalMs = 5000 // least time between two snapshots
	msPerSecond    = 1000
)

// Loop is the event loop on which a Manager runs.
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

// Options configure a Manager.
type Options struct {
	Reconcile     reconcile.Settings
	Platform      bool           // the platform's discovery is a source
	SnapshotPath  string         // a file, empty for none
	SnapshotStore snapshot.Store // where SnapshotPath is empty; nil for none
}

// Manager keeps the list of servers. Its methods are called on the event loop.
type Manager struct {
	loop       Loop
	log        *slog.Logger
	options    Options
	reconciler *reconcile.Reconciler
	events     discovery.Events
	discovery  Discovery // nil where the platform's discovery is no source
	recorder   *record.Recorder
	generation int64 // of the list that is published
	listed     int   // servers in it
	started    bool  // InitialList was called
	ticks      uint64

	pendingSources   map[string]bool // that have not yet reported all that they have
	initialRetired   bool            // the initial list was replaced by the sources' reports
	unsavedChanges   bool
	saveScheduled    bool // a snapshot is being written or will be
	earliestNextSave float64
}

// New returns a manager that knows the given list, and the last snapshot where one is configured. events takes the changes.
func New(loop Loop, log *slog.Logger, options Options, events discovery.Events, known *discovery.List) *Manager {
	m := &Manager{loop: loop, log: log, options: options, events: events, pendingSources: map[string]bool{}}
	for _, source := range options.Reconcile.Sources {
		m.pendingSources[source] = true
	}
	settings := options.Reconcile
	settings.Sources = append(slices.Clone(settings.Sources), SourceInitial)
	m.reconciler = reconcile.New(settings)
	report := &reconcile.Report{Full: true}
	for i := range known.Instances {
		if observation, ok := observationFromInstance(&known.Instances[i]); ok {
			report.Observations = append(report.Observations, observation)
		}
	}
	if options.SnapshotPath != "" {
		m.options.SnapshotStore = snapshot.FileStore(options.SnapshotPath)
	}
	report.Observations = append(report.Observations, m.loadSnapshot()...)
	m.reconciler.Observe(loop.Now(), SourceInitial, report)
	return m
}

// loadSnapshot returns the servers of the last snapshot, none where it cannot be read.
func (m *Manager) loadSnapshot() (observations []reconcile.Observation) {
	if m.options.SnapshotStore == nil {
		return nil
	}
	file, err := m.options.SnapshotStore.Load()
	if err != nil {
		m.log.Warn("starting without the saved list", "err", err)
		return nil
	}
	if file == nil {
		return nil
	}
	for i := range file.Entries {
		observations = append(observations, observationFromEntry(&file.Entries[i]))
	}
	age := math.Round((m.loop.Now() - file.SavedAtMs) / msPerSecond)
	m.log.Info("starting with the saved list", "file", m.options.SnapshotPath, "servers", len(file.Entries), "saved_s_ago", age)
	return observations
}

// InitialList returns the list to start with. Changes are published from then on.
func (m *Manager) InitialList() discovery.List {
	_, decisions := m.reconciler.TakeChanges()
	m.recordDecisions(decisions)
	list := discovery.List{Generation: m.generation, Reset: true}
	for _, entry := range m.reconciler.List() {
		list.Instances = append(list.Instances, instanceFromEntry(&entry))
	}
	m.listed = len(list.Instances)
	m.started = true
	return list
}

// SetDiscovery has Watch and Fetch go to the platform's discovery.
func (m *Manager) SetDiscovery(discovery Discovery) { m.discovery = discovery }

// SetRecorder has reports and decisions recorded.
func (m *Manager) SetRecorder(recorder *record.Recorder) { m.recorder = recorder }

// Watch opens a watch at the platform's discovery, where that is a source.
func (m *Manager) Watch() {
	if m.discovery != nil {
		m.discovery.Watch()
	}
}

// Fetch asks the platform's discovery for the full list, where that is a source.
func (m *Manager) Fetch() {
	if m.discovery != nil {
		m.discovery.Fetch()
	}
}

// Listed takes a list of the platform's discovery.
func (m *Manager) Listed(list *discovery.List) {
	m.Observe(SourcePlatform, ReportFromList(list))
}

// ListFailed takes that a call to the platform's discovery failed, and passes that on: the core decides on the next call.
func (m *Manager) ListFailed() {
	m.SourceLost(SourcePlatform, "its watch ended")
	m.events.ListFailed()
}

// Observe takes the report of a source. Once each source has reported all that it has, the initial list is retired.
func (m *Manager) Observe(source string, report *reconcile.Report) {
	now := m.loop.Now()
	m.recordReport(source, report)
	if m.reconciler.Observe(now, source, report) && source == SourcePlatform {
		m.Fetch()
	}
	if !report.MoreToCome {
		delete(m.pendingSources, source)
	}
	if len(m.pendingSources) == 0 && !m.initialRetired {
		m.initialRetired = true
		m.reconciler.RetireSource(now, SourceInitial)
	}
	m.publish()
}

// SourceLost takes that a source is unreachable.
func (m *Manager) SourceLost(source, reason string) {
	m.reconciler.SourceLost(m.loop.Now(), source, reason)
	m.publish()
}

// Note has a decision about a source logged and recorded.
func (m *Manager) Note(source string, kind reconcile.DecisionKind, reason string) {
	m.reconciler.Note(m.loop.Now(), source, kind, reason)
	m.publish()
}

// ServerReported takes what a server reported of itself in a response to a request or a health check. position is 0 for none.
func (m *Manager) ServerReported(server string, primary, replica bool, position float64) {
	report := reconcile.SelfReport{Position: position}
	switch {
	case primary:
		report.Role = reconcile.Primary
	case replica:
		report.Role = reconcile.Replica
	}
	m.reconciler.ObserveServer(m.loop.Now(), server, report)
	if m.started && m.publishChanges() { // most responses change nothing
		m.tick()
	}
}

// Override applies the operators' instructions, in place of those before.
func (m *Manager) Override(override reconcile.Override) {
	m.reconciler.Override(m.loop.Now(), override)
	m.publish()
}

// publish publishes what has changed, and schedules the reconciler's next tick.
func (m *Manager) publish() {
	if m.started {
		m.publishChanges()
		m.tick()
	}
}

// publishChanges publishes the entries that changed and records the decisions. It reports whether there were any.
func (m *Manager) publishChanges() bool {
	changes, decisions := m.reconciler.TakeChanges()
	m.recordDecisions(decisions)
	if len(changes) > 0 {
		m.generation++
		list := discovery.List{Generation: m.generation, Reset: m.listed == 0}
		for i := range changes {
			removed := changes[i].State == reconcile.StateRemoved
			if !list.Reset || !removed {
				list.Instances = append(list.Instances, instanceFromEntry(&changes[i]))
			}
		}
		m.listed = m.reconciler.Len()
		m.events.Listed(&list)
		m.unsavedChanges = true
		m.saveSnapshot()
	}
	return len(changes)+len(decisions) > 0
}

// tick calls the reconciler, and schedules the next call in place of the one before.
func (m *Manager) tick() {
	m.ticks++
	scheduled := m.ticks
	next := m.reconciler.Tick(m.loop.Now())
	m.publishChanges()
	if next == 0 {
		return
	}
	m.loop.At(max(next, m.loop.Now()+1), func() {
		if m.ticks == scheduled {
			m.tick()
		}
	})
}

// recordDecisions logs and records decisions.
func (m *Manager) recordDecisions(decisions []reconcile.Decision) {
	for i := range decisions {
		decision := &decisions[i]
		m.log.Info("endpoints", "decision", string(decision.Kind), "server", decision.Server, "source", decision.Source, "reason", decision.Reason)
		m.recorder.Put(&record.Event{
			At:     m.loop.Now(),
			Kind:   recordpb.Kind_KIND_JUDGED,
			Server: decision.Server,
			Group:  int64(decision.Group),
			Source: decision.Source,
			Text:   string(decision.Kind) + ": " + decision.Reason,
		})
	}
}

// recordReport records what a source reported.
func (m *Manager) recordReport(source string, report *reconcile.Report) {
	if !m.recorder.Enabled() {
		return
	}
	now := m.loop.Now()
	for i := range report.Observations {
		observation := &report.Observations[i]
		m.recorder.Put(&record.Event{
			At:      now,
			Kind:    recordpb.Kind_KIND_SAID,
			Server:  observation.ID,
			Group:   int64(observation.Group),
			Source:  source,
			Health:  uint8(observation.Health),
			Role:    uint8(observation.Role),
			Primary: observation.Role == reconcile.Primary,
			Number:  int64(observation.StartedAtMs),
			Text:    observation.Address,
		})
	}
	for _, id := range report.Removed {
		m.recorder.Put(&record.Event{At: now, Kind: recordpb.Kind_KIND_SAID, Server: id, Source: source, State: uint8(reconcile.StateRemoved)})
	}
}

// saveSnapshot writes the list to the snapshot on a goroutine of its own: one at a time, saveIntervalMs apart, never an empty one.
func (m *Manager) saveSnapshot() {
	idle := m.options.SnapshotStore == nil || m.saveScheduled || !m.unsavedChanges
	if idle || m.listed == 0 {
		return
	}
	now := m.loop.Now()
	m.saveScheduled = true
	if now < m.earliestNextSave {
		m.loop.At(m.earliestNextSave, func() {
			m.saveScheduled = false
			m.saveSnapshot()
		})
		return
	}
	m.unsavedChanges = false
	m.earliestNextSave = now + saveIntervalMs
	file := &snapshot.File{SavedAtMs: clock.Wall(), Entries: m.reconciler.List()}
	go func() {
		err := m.options.SnapshotStore.Save(file)
		m.loop.Post(func() { m.snapshotSaved(err) })
	}()
}

// snapshotSaved ends the writing of a snapshot. After a failure the next change has it tried again.
func (m *Manager) snapshotSaved(err error) {
	m.saveScheduled = false
	if err != nil {
		m.log.Warn("the list could not be saved", "err", err)
		return
	}
	m.saveSnapshot()
}

// Entry returns the entry of a server, by its id in the list, and whether there is one.
func (m *Manager) Entry(id string) (reconcile.Entry, bool) { return m.reconciler.Entry(id) }

// Summary describes the list in a line.
func (m *Manager) Summary() string {
	return fmt.Sprintf("%d servers, %d removals held back", m.listed, m.reconciler.HeldRemovals())
}
