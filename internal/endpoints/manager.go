// Package endpoints keeps the list of database servers up to date. A Manager receives the reports of the list's sources (the
// platform's discovery, Consul, a static file) and the self-reports of servers, merges them into one list with package reconcile,
// and passes the changes on to the core, the log, the records and the snapshot. The list starts as that of the configuration and of
// the last snapshot, and stays as it is while no source reports.
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

// Names of the sources in settings, logs and records.
const (
	SourcePlatform = "platform" // the platform's discovery
	SourceConsul   = "consul"
	SourceStatic   = "static"
	SourceInitial  = "known" // the initial list: from the configuration and the last snapshot
)

const (
	saveIntervalMs = 5000 // minimum time between two snapshots
	msPerSecond    = 1000
)

// Loop is the event loop on which a Manager runs.
type Loop interface {
	Now() float64
	At(ms float64, do func()) *timers.Timer
	Post(f func())
}

// Discovery sends requests to the platform's discovery.
type Discovery interface {
	Watch()
	Fetch()
}

// Options configure a Manager.
type Options struct {
	Reconcile     reconcile.Settings
	Platform      bool           // the platform's discovery is a source
	SnapshotPath  string         // of the snapshot file; if empty, SnapshotStore is used
	SnapshotStore snapshot.Store // used if SnapshotPath is empty; nil for no snapshots
}

// Manager keeps the list of servers. Its methods are called on the event loop.
type Manager struct {
	loop        Loop
	log         *slog.Logger
	options     Options
	reconciler  *reconcile.Reconciler
	events      discovery.Events
	discovery   Discovery // nil if the platform's discovery is not a source
	recorder    *record.Recorder
	generation  int64  // of the published list
	serverCount int    // servers in the published list
	started     bool   // InitialList was called
	ticks       uint64 // calls of tick; a scheduled tick is skipped if another has run since

	pendingSources   map[string]bool // sources that have not yet reported all their servers
	initialRetired   bool            // the sources' reports have replaced the initial list
	unsavedChanges   bool
	saveScheduled    bool // a snapshot is being written or is scheduled to be
	earliestNextSave float64
}

// New returns a manager that starts with the given list and with the last snapshot, if one is configured. events receives the changes.
func New(loop Loop, log *slog.Logger, options Options, events discovery.Events, initial *discovery.List) *Manager {
	m := &Manager{loop: loop, log: log, options: options, events: events, pendingSources: map[string]bool{}}
	for _, source := range options.Reconcile.Sources {
		m.pendingSources[source] = true
	}
	settings := options.Reconcile
	settings.Sources = append(slices.Clone(settings.Sources), SourceInitial)
	m.reconciler = reconcile.New(settings)
	report := &reconcile.Report{Full: true}
	for i := range initial.Instances {
		if observation, ok := observationFromInstance(&initial.Instances[i]); ok {
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

// loadSnapshot returns the servers of the last snapshot, or none if there is no snapshot or it cannot be read.
func (m *Manager) loadSnapshot() (observations []reconcile.Observation) {
	if m.options.SnapshotStore == nil {
		return nil
	}
	file, err := m.options.SnapshotStore.Load()
	if err != nil {
		m.log.Warn("cannot read the saved endpoint list; starting without it", "err", err)
		return nil
	}
	if file == nil {
		return nil
	}
	for i := range file.Entries {
		observations = append(observations, observationFromEntry(&file.Entries[i]))
	}
	age := math.Round((m.loop.Now() - file.SavedAtMs) / msPerSecond)
	m.log.Info("starting with the saved endpoint list", "file", m.options.SnapshotPath, "servers", len(file.Entries), "saved_s_ago", age)
	return observations
}

// InitialList returns the list to start with. Changes are published from this call on.
func (m *Manager) InitialList() discovery.List {
	_, decisions := m.reconciler.TakeChanges()
	m.recordDecisions(decisions)
	list := discovery.List{Generation: m.generation, Reset: true}
	for _, entry := range m.reconciler.List() {
		list.Instances = append(list.Instances, instanceFromEntry(&entry))
	}
	m.serverCount = len(list.Instances)
	m.started = true
	return list
}

// SetDiscovery sets the platform's discovery, which Watch and Fetch then call.
func (m *Manager) SetDiscovery(discovery Discovery) { m.discovery = discovery }

// SetRecorder sets the recorder of reports and decisions.
func (m *Manager) SetRecorder(recorder *record.Recorder) { m.recorder = recorder }

// Watch opens a watch at the platform's discovery, if that is a source.
func (m *Manager) Watch() {
	if m.discovery != nil {
		m.discovery.Watch()
	}
}

// Fetch requests the full list from the platform's discovery, if that is a source.
func (m *Manager) Fetch() {
	if m.discovery != nil {
		m.discovery.Fetch()
	}
}

// Listed handles a list from the platform's discovery.
func (m *Manager) Listed(list *discovery.List) {
	m.Observe(SourcePlatform, ReportFromList(list))
}

// ListFailed handles the failure of a call to the platform's discovery, and passes it on: the core decides on the next call.
func (m *Manager) ListFailed() {
	m.SourceLost(SourcePlatform, "its watch ended")
	m.events.ListFailed()
}

// Observe handles the report of a source. Once every source has reported all its servers, the initial list is retired.
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

// SourceLost handles a source that has become unreachable.
func (m *Manager) SourceLost(source, reason string) {
	m.reconciler.SourceLost(m.loop.Now(), source, reason)
	m.publish()
}

// Note logs and records a decision about a source.
func (m *Manager) Note(source string, kind reconcile.DecisionKind, reason string) {
	m.reconciler.Note(m.loop.Now(), source, kind, reason)
	m.publish()
}

// ServerReported handles what a server reported about itself in a response to a request or a health check. position is 0 if it
// reported none.
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

// Override applies the operators' instructions, which replace the previous ones.
func (m *Manager) Override(override reconcile.Override) {
	m.reconciler.Override(m.loop.Now(), override)
	m.publish()
}

// publish publishes the changes, and schedules the reconciler's next tick.
func (m *Manager) publish() {
	if m.started {
		m.publishChanges()
		m.tick()
	}
}

// publishChanges publishes the entries that changed and records the decisions. It reports whether there were any
// changes or decisions.
func (m *Manager) publishChanges() bool {
	changes, decisions := m.reconciler.TakeChanges()
	m.recordDecisions(decisions)
	if len(changes) > 0 {
		m.generation++
		list := discovery.List{Generation: m.generation, Reset: m.serverCount == 0}
		for i := range changes {
			removed := changes[i].State == reconcile.StateRemoved
			if !list.Reset || !removed {
				list.Instances = append(list.Instances, instanceFromEntry(&changes[i]))
			}
		}
		m.serverCount = m.reconciler.Len()
		m.events.Listed(&list)
		m.unsavedChanges = true
		m.saveSnapshot()
	}
	return len(changes)+len(decisions) > 0
}

// tick runs the reconciler's tick, and schedules the next one in place of any scheduled before.
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
		m.log.Info("decision on the endpoint list", "decision", string(decision.Kind), "server", decision.Server, "source", decision.Source, "reason", decision.Reason)
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

// saveSnapshot writes the list to the snapshot on a goroutine of its own. Writes do not overlap and start at least saveIntervalMs
// apart, and an empty list is never written.
func (m *Manager) saveSnapshot() {
	idle := m.options.SnapshotStore == nil || m.saveScheduled || !m.unsavedChanges
	if idle || m.serverCount == 0 {
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

// snapshotSaved handles the end of a snapshot's writing. A failed write is repeated after the next change.
func (m *Manager) snapshotSaved(err error) {
	m.saveScheduled = false
	if err != nil {
		m.log.Warn("cannot save the endpoint list; retrying after its next change", "err", err)
		return
	}
	m.saveSnapshot()
}

// Entry returns the entry of the server with this id in the list, and whether there is one.
func (m *Manager) Entry(id string) (reconcile.Entry, bool) { return m.reconciler.Entry(id) }

// Summary describes the list in one line.
func (m *Manager) Summary() string {
	return fmt.Sprintf("%d servers, %d removals held back", m.serverCount, m.reconciler.HeldRemovals())
}
