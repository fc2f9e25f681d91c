package reconcile

import (
	"fmt"
	"slices"
)

// Observe handles the report of a source. It returns whether a full report must be requested from the source, because these changes
// are older than its last report. Sources that the settings do not name are ignored.
func (r *Reconciler) Observe(now float64, sourceName string, report *Report) (needsFull bool) {
	r.now = max(now, r.now)
	source := r.sourcesByName[sourceName]
	if source == nil {
		return false
	}
	r.recoverSource(source)
	if !r.acceptGeneration(source, report) {
		return true
	}
	if r.isStale(source) != r.isStaleAge(report.AgeMs) {
		r.markSourceDirty(source)
	}
	source.generation, source.ageMs = report.Generation, report.AgeMs
	seen := r.storeObservations(source, report.Observations)
	removed := report.Removed
	if report.Full && source.hasReported {
		for id, observation := range source.observations {
			if !seen[id] && !observation.removed {
				removed = append(removed, id)
			}
		}
		slices.Sort(removed)
	}
	source.hasReported = true
	r.handleRemovals(source, removed, report.Full && len(seen) == 0)
	r.reconcileDirty()
	return false
}

// recoverSource marks a lost source that reports again as reachable.
func (r *Reconciler) recoverSource(source *sourceState) {
	if source.lostAt == 0 {
		return
	}
	if !r.sourceCounts(source) {
		r.discardRemoved(source)
	}
	source.lostAt = 0
	r.addDecision(SourceRecovered, nil, source.name, "it can be had again")
	r.markSourceDirty(source)
}

// acceptGeneration reports whether a report is accepted. Changes of an earlier generation than that of the last report are not.
func (r *Reconciler) acceptGeneration(source *sourceState, report *Report) bool {
	if report.Generation == 0 || report.Generation >= source.generation {
		return true
	}
	if !report.Full {
		r.addDecision(Regressed, nil, source.name, "changes of generation %d after %d are not taken", report.Generation, source.generation)
		return false
	}
	r.addDecision(Regressed, nil, source.name, "generation %d after %d: it began anew", report.Generation, source.generation)
	return true
}

// storeObservations stores the observations of a source, and returns their ids.
func (r *Reconciler) storeObservations(source *sourceState, observations []Observation) (seen map[string]bool) {
	seen = map[string]bool{}
	for i := range observations {
		id := observations[i].ID
		if id == "" || seen[id] {
			continue
		}
		seen[id] = true
		r.storeObservation(source, r.selectObservation(source, observations[i:]))
	}
	return seen
}

func (r *Reconciler) storeObservation(source *sourceState, observation *Observation) {
	delete(source.heldRemovals, observation.ID)
	previous := source.observations[observation.ID]
	updated := &storedObservation{Observation: *observation}
	if previous != nil {
		r.keepLatestStart(source, previous, updated)
		if !previous.removed && previous.Observation == updated.Observation {
			previous.rejectedStartMs = updated.rejectedStartMs
			return
		}
	}
	source.observations[observation.ID] = updated
	r.markDirty(observation.ID).observations[source.rank] = updated
}

// selectObservation returns the first observation or, if a source reports the same id at several addresses, the most likely one: that
// of the process that started last, or else the one at the listed address.
func (r *Reconciler) selectObservation(source *sourceState, observations []Observation) *Observation {
	first := &observations[0]
	best := first
	for i := 1; i < len(observations); i++ {
		other := &observations[i]
		if other.ID != first.ID || other.Address == best.Address {
			continue
		}
		listedAddress := ""
		if server := r.servers[first.ID]; server != nil {
			listedAddress = server.entry.Address
		}
		if other.StartedAtMs > best.StartedAtMs || other.StartedAtMs == best.StartedAtMs && other.Address == listedAddress {
			best = other
		}
		if server := r.markDirty(first.ID); server.lastConflict != first.Address+other.Address {
			server.lastConflict = first.Address + other.Address
			r.addDecision(ConflictingAddresses, server, source.name, "%s and %s; %s is taken", first.Address, other.Address, best.Address)
		}
	}
	return best
}

// keepLatestStart keeps the previous start time if a source reports an earlier one, as a process cannot restart in the past.
func (r *Reconciler) keepLatestStart(source *sourceState, previous, updated *storedObservation) {
	updated.rejectedStartMs = previous.rejectedStartMs
	if updated.StartedAtMs >= previous.StartedAtMs {
		return
	}
	if updated.StartedAtMs != previous.rejectedStartMs {
		r.addDecision(Regressed, r.servers[updated.ID], source.name, "its start went from %.0f to %.0f; the later one stands",
			previous.StartedAtMs, updated.StartedAtMs)
	}
	updated.rejectedStartMs = updated.StartedAtMs
	updated.StartedAtMs = previous.StartedAtMs
}

// Note adds a decision about a source that was made elsewhere, for example that its message could not be read.
func (r *Reconciler) Note(now float64, sourceName string, kind DecisionKind, reason string) {
	r.now = max(now, r.now)
	r.addDecision(kind, nil, sourceName, "%s", reason)
}

// SourceLost handles a source that has become unreachable. Its observations count for another Settings.SourceRetentionMs.
func (r *Reconciler) SourceLost(now float64, sourceName, reason string) {
	r.now = max(now, r.now)
	source := r.sourcesByName[sourceName]
	if source == nil || source.lostAt != 0 {
		return
	}
	source.lostAt = max(r.now, 1)
	retention := "until it is back"
	if r.settings.SourceRetentionMs > 0 {
		retention = fmt.Sprintf("for %.0f s", r.settings.SourceRetentionMs/msPerSecond)
	}
	r.addDecision(SourceLost, nil, sourceName, "%s; what it said last stands %s", reason, retention)
}

// ObserveServer handles the self-report of the server with this id in the list.
func (r *Reconciler) ObserveServer(now float64, id string, report SelfReport) {
	r.now = max(now, r.now)
	server := r.listedByID[id]
	if server == nil {
		return
	}
	stored := r.selfReports[server.entry.Address]
	if stored == nil {
		stored = &selfReportState{processStartedAtMs: server.entry.StartedAtMs}
		r.selfReports[server.entry.Address] = stored
	}
	stored.respondedAt = r.now
	stored.position = max(stored.position, report.Position)
	if report.Role != RoleUnknown {
		expired := r.now-stored.roleReportedAt > r.settings.SelfReportTTLMs
		if stored.role != report.Role || expired {
			r.dirty[server.id] = server
		}
		stored.role, stored.roleReportedAt = report.Role, r.now
	}
	if server.sourceState == StateDraining && r.settings.Critical == CriticalUseIfResponding && !server.usedWhileCritical {
		r.dirty[server.id] = server // as it responds, it may be used again
	}
	if len(r.dirty) > 0 {
		r.reconcileDirty()
	}
}
