// Package reconcile makes one list of servers out of what several sources say of them and what the servers say of
// themselves. It holds decisions only: no I/O, no clock, no goroutines. Times are in milliseconds on the pooler's clock.
package reconcile

import (
	"cmp"
	"fmt"
	"slices"
)

// Reconciler makes the list. It is not safe for concurrent use.
type Reconciler struct {
	settings        Settings
	now             float64
	sources         []*sourceState
	sourcesByName   map[string]*sourceState
	servers         map[string]*serverState
	listedByID      map[string]*serverState     // by the ids that the list has for them
	selfReports     map[string]*selfReportState // by address: it is the process there that speaks
	listedByAddress map[string][]*serverState
	duplicates      map[string][]string // ids that are not listed, as their address is under another
	dirty           map[string]*serverState
	groups          map[int]*groupState
	changes         []Entry
	decisions       []Decision
	pins            map[string]State
}

type sourceState struct {
	name         string
	rank         int
	observations map[string]*storedObservation
	generation   int64
	hasReported  bool
	lostAt       float64 // 0 while it can be had
	ageMs        float64
	removalTimes []float64 // when it dropped servers, within MassRemovalWindowMs
	heldRemovals map[string]float64
}

// storedObservation is a source's word as it stands; one that the source has dropped is held back, or marked as dropped.
type storedObservation struct {
	Observation
	removed       bool
	rejectedStart float64 // an earlier start that was told since, and not taken
}

type selfReportState struct {
	role           Role
	roleReportedAt float64
	position       float64
	respondedAt    float64 // it answered last
	processStarted float64 // of the process that spoke
}

type serverState struct {
	id                string
	listedID          string               // the list's id for it: its own, or that which its process had before
	observations      []*storedObservation // by the source's rank, nil for none
	entry             Entry
	listed            bool // shown is in the list
	stateChanges      []float64
	flappingUntil     float64 // it counts as flapping until then, 0 for not
	sourceState       State   // what sources come to, before flapping
	usedWhileCritical bool    // it is critical and used for its answers
	lastConflict      string  // two addresses that were told of
	rejectedRole      Role    // as a source had it when that was last disbelieved
}

type groupState struct {
	id          int
	members     map[string]*serverState
	lastProblem DecisionKind
}

// New makes a judge that has heard nothing.
func New(settings Settings) *Reconciler {
	r := &Reconciler{settings: settings, sourcesByName: map[string]*sourceState{}, servers: map[string]*serverState{}, listedByID: map[string]*serverState{}, selfReports: map[string]*selfReportState{}, listedByAddress: map[string][]*serverState{}, duplicates: map[string][]string{}, dirty: map[string]*serverState{},
		groups: map[int]*groupState{}, pins: map[string]State{}}
	for i, name := range settings.Sources {
		source := &sourceState{name: name, rank: i, observations: map[string]*storedObservation{}, heldRemovals: map[string]float64{}}
		r.sources = append(r.sources, source)
		r.sourcesByName[name] = source
	}
	return r
}

func (r *Reconciler) addDecision(kind DecisionKind, server *serverState, sourceName, format string, args ...any) {
	decision := Decision{At: r.now, Kind: kind, Source: sourceName, Reason: fmt.Sprintf(format, args...)}
	if server != nil {
		decision.Server, decision.Group = server.listedID, server.entry.Group
		for _, observation := range server.observations {
			if decision.Group == 0 && observation != nil {
				decision.Group = observation.Group
			}
		}
	}
	r.decisions = append(r.decisions, decision)
}

func (r *Reconciler) markDirty(id string) *serverState {
	server := r.servers[id]
	if server == nil {
		server = &serverState{id: id, listedID: id, observations: make([]*storedObservation, len(r.sources)), sourceState: StateRemoved}
		r.servers[id] = server
	}
	r.dirty[id] = server
	return server
}

func (r *Reconciler) markSourceDirty(source *sourceState) {
	for id := range source.observations {
		r.markDirty(id)
	}
}

// Tick does what time alone brings about, and tells when it must be called next, 0 for never.
func (r *Reconciler) Tick(now float64) (next float64) {
	r.now = max(now, r.now)
	if r.settings.MassRemovalHoldMs > 0 {
		r.acceptHeldRemovals(r.now-r.settings.MassRemovalHoldMs, fmt.Sprintf("it was so for %.0f s", r.settings.MassRemovalHoldMs/1000))
	}
	scheduleNext := func(at float64) {
		if next == 0 || at < next {
			next = at
		}
	}
	for _, source := range r.sources {
		if r.settings.SourceRetentionMs > 0 && source.lostAt != 0 && r.now >= source.lostAt+r.settings.SourceRetentionMs {
			r.markSourceDirty(source)
		}
	}
	for id, server := range r.servers {
		if server.flappingUntil != 0 && r.now >= server.flappingUntil || server.usedWhileCritical {
			r.dirty[id] = server
		}
		if !server.listed && server.flappingUntil == 0 && len(server.stateChanges) > 0 && r.now-server.stateChanges[len(server.stateChanges)-1] > r.settings.FlapWindowMs {
			server.stateChanges = nil
			r.discardUnknown(server)
		}
	}
	for address, report := range r.selfReports {
		if r.listedByAddress[address] == nil && r.now-report.respondedAt > max(10*r.settings.SelfReportTTLMs, 60000) {
			delete(r.selfReports, address)
		}
	}
	r.reconcileDirty()
	for _, source := range r.sources {
		for _, at := range source.heldRemovals {
			if r.settings.MassRemovalHoldMs > 0 {
				scheduleNext(at + r.settings.MassRemovalHoldMs + 1)
			}
		}
		if r.settings.SourceRetentionMs > 0 && source.lostAt != 0 && len(source.observations) > 0 {
			scheduleNext(max(source.lostAt+r.settings.SourceRetentionMs, r.now+1000))
		}
	}
	for _, server := range r.servers {
		if server.flappingUntil != 0 {
			scheduleNext(server.flappingUntil)
		}
		if server.usedWhileCritical {
			scheduleNext(r.now + 1000)
		}
	}
	return next
}

// TakeChanges is what has changed of the list since it was last called, and the judgements.
func (r *Reconciler) TakeChanges() ([]Entry, []Decision) {
	changes, decisions := r.changes, r.decisions
	r.changes, r.decisions = nil, nil
	return changes, decisions
}

// List is the whole list, by id.
func (r *Reconciler) List() []Entry {
	var entries []Entry
	for _, server := range r.listedByID {
		entries = append(entries, server.entry)
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return entries
}

// Entry is a server as the list has it.
func (r *Reconciler) Entry(id string) (Entry, bool) {
	if server := r.listedByID[id]; server != nil {
		return server.entry, true
	}
	return Entry{}, false
}

// Len is how many servers the list has.
func (r *Reconciler) Len() int { return len(r.listedByID) }

// HeldRemovals is how many removals are held back.
func (r *Reconciler) HeldRemovals() (count int) {
	for _, source := range r.sources {
		count += len(source.heldRemovals)
	}
	return count
}

func sortedKeys[V any](values map[string]V) []string {
	keys := make([]string, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
