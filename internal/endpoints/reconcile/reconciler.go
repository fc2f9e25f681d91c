// Package reconcile merges the reports of several sources and the self-reports of servers into one endpoint list.
//
// Its inputs are sources' reports (Observe, SourceLost, RetireSource), servers' self-reports (ObserveServer), the operators'
// instructions (Override) and the passage of time (Tick). Its outputs are the entries that changed and the decisions with
// their reasons (TakeChanges).
//
// If sources contradict each other, the first by rank wins, unless it has been lost for too long or its own report is stale. A
// server's self-report decides on its role. Removals of many servers at once, or of the last server of a group, are held back. A
// server that flaps drains until it is stable. While no source reports, the list stays as it is for at least
// Settings.SourceRetentionMs, and for as long as its servers respond.
//
// The package does no I/O, reads no clock and starts no goroutines. Times are in milliseconds on the caller's clock. Memory is
// bounded by what the sources report: one entry for each server and source.
package reconcile

import (
	"cmp"
	"fmt"
	"slices"
)

const msPerSecond = 1000

// How long a self-report is kept after its address has left the list.
const (
	selfReportRetentionTTLs  = 10 // times Settings.SelfReportTTLMs
	minSelfReportRetentionMs = 60000
)

// recheckIntervalMs is the time between checks of conditions that depend on servers' responses and have no timer of their own.
const recheckIntervalMs = 1000

// Reconciler maintains the endpoint list. It is not safe for concurrent use.
type Reconciler struct {
	settings        Settings
	now             float64
	sources         []*sourceState // by rank
	sourcesByName   map[string]*sourceState
	servers         map[string]*serverState     // by their ids at the sources
	listedByID      map[string]*serverState     // by their ids in the list
	selfReports     map[string]*selfReportState // by address, as the process at an address reports, whatever its id
	listedByAddress map[string][]*serverState
	duplicates      map[string][]string     // by address: ids that are not listed because the address is listed under another id
	dirty           map[string]*serverState // servers to be reconciled
	groups          map[int]*groupState
	changes         []Entry
	decisions       []Decision
	pins            map[string]State // by id at the sources
}

type sourceState struct {
	name         string
	rank         int
	observations map[string]*storedObservation // by id
	generation   int64
	hasReported  bool
	lostAt       float64 // 0 while the source is reachable
	ageMs        float64
	removalTimes []float64          // times of removals within Settings.MassRemovalWindowMs
	heldRemovals map[string]float64 // by id: the time since when the removal is held back
}

// storedObservation is the last observation of a server by a source.
type storedObservation struct {
	Observation
	removed         bool    // the source has since removed the server
	rejectedStartMs float64 // the earlier start time that was last reported and rejected; 0 for none
}

type selfReportState struct {
	role               Role
	roleReportedAt     float64
	position           float64
	respondedAt        float64
	processStartedAtMs float64 // start time of the process that reported
}

type serverState struct {
	id                string
	listedID          string               // its id in the list: id, or the one under which its process was listed before
	observations      []*storedObservation // by the source's rank; nil if the source has not reported the server
	entry             Entry                // as last published
	listed            bool                 // entry is in the list
	stateChanges      []float64            // times of changes of sourceState within Settings.FlapWindowMs
	flappingUntil     float64              // 0 if the server is not flapping
	sourceState       State                // the state according to the sources, before flapping is considered
	usedWhileCritical bool                 // the server is critical, but used because it responds
	lastConflict      string               // addresses of the last reported conflict
	rejectedRole      Role                 // role of the last Rejected decision; reset once the sources report another role
}

type groupState struct {
	id          int
	members     map[string]*serverState
	lastProblem DecisionKind
}

// New returns a reconciler that has received no report.
func New(settings Settings) *Reconciler {
	r := &Reconciler{
		settings:        settings,
		sourcesByName:   map[string]*sourceState{},
		servers:         map[string]*serverState{},
		listedByID:      map[string]*serverState{},
		selfReports:     map[string]*selfReportState{},
		listedByAddress: map[string][]*serverState{},
		duplicates:      map[string][]string{},
		dirty:           map[string]*serverState{},
		groups:          map[int]*groupState{},
		pins:            map[string]State{},
	}
	for rank, name := range settings.Sources {
		source := &sourceState{name: name, rank: rank, observations: map[string]*storedObservation{}, heldRemovals: map[string]float64{}}
		r.sources = append(r.sources, source)
		r.sourcesByName[name] = source
	}
	return r
}

// addDecision adds a decision about a server, or about a source where server is nil.
func (r *Reconciler) addDecision(kind DecisionKind, server *serverState, sourceName, format string, args ...any) {
	decision := Decision{AtMs: r.now, Kind: kind, Source: sourceName, Reason: fmt.Sprintf(format, args...)}
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

// markDirty marks a server for reconciliation, and returns its state.
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

// Tick applies what is due at now, and returns when to call it next, or 0 if it need not be called before the next input.
func (r *Reconciler) Tick(now float64) (next float64) {
	r.now = max(now, r.now)
	if hold := r.settings.MassRemovalHoldMs; hold > 0 {
		r.acceptHeldRemovals(r.now-hold, fmt.Sprintf("it was so for %.0f s", hold/msPerSecond))
	}
	r.markExpired()
	r.expireSelfReports()
	r.reconcileDirty()
	return r.nextTick()
}

// markExpired marks the servers whose entries may change by the passage of time alone, and discards outdated state changes of servers
// that are not listed.
func (r *Reconciler) markExpired() {
	for _, source := range r.sources {
		if r.retentionExpired(source) {
			r.markSourceDirty(source)
		}
	}
	for id, server := range r.servers {
		if server.flappingUntil != 0 && r.now >= server.flappingUntil || server.usedWhileCritical {
			r.dirty[id] = server
		}
		if r.wasStableUnlisted(server) {
			server.stateChanges = nil
			r.discardUnknown(server)
		}
	}
}

// wasStableUnlisted reports whether a server is not listed and has not changed its state for Settings.FlapWindowMs.
func (r *Reconciler) wasStableUnlisted(server *serverState) bool {
	if server.listed || server.flappingUntil != 0 || len(server.stateChanges) == 0 {
		return false
	}
	return r.now-server.stateChanges[len(server.stateChanges)-1] > r.settings.FlapWindowMs
}

func (r *Reconciler) expireSelfReports() {
	retention := max(selfReportRetentionTTLs*r.settings.SelfReportTTLMs, minSelfReportRetentionMs)
	for address, report := range r.selfReports {
		if r.listedByAddress[address] == nil && r.now-report.respondedAt > retention {
			delete(r.selfReports, address)
		}
	}
}

// nextTick returns when Tick has something to do next, or 0 for never.
func (r *Reconciler) nextTick() (next float64) {
	schedule := func(at float64) {
		if next == 0 || at < next {
			next = at
		}
	}
	for _, source := range r.sources {
		if r.settings.MassRemovalHoldMs > 0 {
			for _, heldAt := range source.heldRemovals {
				schedule(heldAt + r.settings.MassRemovalHoldMs + 1)
			}
		}
		if r.settings.SourceRetentionMs > 0 && source.lostAt != 0 && len(source.observations) > 0 {
			schedule(max(source.lostAt+r.settings.SourceRetentionMs, r.now+recheckIntervalMs))
		}
	}
	for _, server := range r.servers {
		if server.flappingUntil != 0 {
			schedule(server.flappingUntil)
		}
		if server.usedWhileCritical {
			schedule(r.now + recheckIntervalMs)
		}
	}
	return next
}

// TakeChanges returns the entries that changed and the decisions since the last call.
func (r *Reconciler) TakeChanges() ([]Entry, []Decision) {
	changes, decisions := r.changes, r.decisions
	r.changes, r.decisions = nil, nil
	return changes, decisions
}

// List returns the whole list, sorted by id.
func (r *Reconciler) List() []Entry {
	var entries []Entry
	for _, server := range r.listedByID {
		entries = append(entries, server.entry)
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return entries
}

// Entry returns the entry of the server with this id in the list, and whether there is one.
func (r *Reconciler) Entry(id string) (Entry, bool) {
	if server := r.listedByID[id]; server != nil {
		return server.entry, true
	}
	return Entry{}, false
}

// Len returns the number of servers in the list.
func (r *Reconciler) Len() int { return len(r.listedByID) }

// HeldRemovals returns the number of removals that are held back.
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
