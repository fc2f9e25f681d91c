package reconcile

import (
	"fmt"
	"slices"
)

// Observe takes a source's news. It tells whether the source must be asked for all that it has: its changes do not fit.
func (r *Reconciler) Observe(now float64, sourceName string, report *Report) (needsFull bool) {
	r.now = max(now, r.now)
	source := r.sourcesByName[sourceName]
	if source == nil {
		return false
	}
	if source.lostAt != 0 {
		if !r.sourceCounts(source) {
			r.forgetRemoved(source)
		}
		source.lostAt = 0
		r.addDecision(SourceRecovered, nil, sourceName, "it can be had again")
		r.markSourceDirty(source)
	}
	if report.Generation != 0 && report.Generation < source.generation {
		if !report.Full {
			r.addDecision(Regressed, nil, sourceName, "changes of generation %d after %d are not taken", report.Generation, source.generation)
			return true
		}
		r.addDecision(Regressed, nil, sourceName, "generation %d after %d: it began anew", report.Generation, source.generation)
	}
	if wasStale := source.ageMs > r.settings.StaleAgeMs && r.settings.StaleAgeMs > 0; wasStale != (report.AgeMs > r.settings.StaleAgeMs && r.settings.StaleAgeMs > 0) {
		r.markSourceDirty(source)
	}
	source.generation, source.ageMs = report.Generation, report.AgeMs
	seen := map[string]bool{}
	for i := range report.Observations {
		observation := r.selectObservation(source, report.Observations, i, seen)
		if observation == nil {
			continue
		}
		delete(source.heldRemovals, observation.ID)
		previous := source.observations[observation.ID]
		updated := &storedObservation{Observation: *observation}
		if previous != nil {
			r.keepLatestStart(source, previous, updated)
			if !previous.removed && previous.Observation == updated.Observation {
				previous.rejectedStart = updated.rejectedStart
				continue
			}
		}
		source.observations[observation.ID] = updated
		r.markDirty(observation.ID).observations[source.rank] = updated
	}
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

// selectObservation is the claim on a server where its source has only one, and the likeliest of several: of the process that started
// last, else at the address that is known.
func (r *Reconciler) selectObservation(source *sourceState, observations []Observation, index int, seen map[string]bool) *Observation {
	observation := &observations[index]
	if observation.ID == "" || seen[observation.ID] {
		return nil
	}
	seen[observation.ID] = true
	best := observation
	for k := index + 1; k < len(observations); k++ {
		other := &observations[k]
		if other.ID != observation.ID || other.Address == best.Address {
			continue
		}
		knownAddress := ""
		if server := r.servers[observation.ID]; server != nil {
			knownAddress = server.entry.Address
		}
		if other.Started > best.Started || other.Started == best.Started && other.Address == knownAddress {
			best = other
		}
		if server := r.markDirty(observation.ID); server.lastConflict != observation.Address+other.Address {
			server.lastConflict = observation.Address + other.Address
			r.addDecision(ConflictingAddresses, server, source.name, "%s and %s; %s is taken", observation.Address, other.Address, best.Address)
		}
	}
	return best
}

// keepLatestStart keeps the later start where a source tells an earlier one: a process does not start again in the past.
func (r *Reconciler) keepLatestStart(source *sourceState, previous, observation *storedObservation) {
	if observation.rejectedStart = previous.rejectedStart; observation.Started >= previous.Started {
		return
	}
	if observation.Started != previous.rejectedStart {
		r.addDecision(Regressed, r.servers[observation.ID], source.name, "its start went from %.0f to %.0f; the later one stands", previous.Started, observation.Started)
	}
	observation.rejectedStart, observation.Started = observation.Started, previous.Started
}

// handleRemovals has a source drop servers, unless it drops too many, or all, to be believed.
func (r *Reconciler) handleRemovals(source *sourceState, ids []string, removesAll bool) {
	liveCount := 0
	remainingByGroup := map[int]int{}
	for _, observation := range source.observations {
		if !observation.removed && source.heldRemovals[observation.ID] == 0 {
			liveCount++
			remainingByGroup[observation.Group]++
		}
	}
	source.removalTimes = slices.DeleteFunc(source.removalTimes, func(at float64) bool { return r.now-at > r.settings.MassRemovalWindowMs })
	recentCount := liveCount + len(source.removalTimes)
	ids = slices.DeleteFunc(slices.Clone(ids), func(id string) bool {
		observation := source.observations[id]
		return observation == nil || observation.removed || source.heldRemovals[id] != 0
	})
	removalCount := len(source.removalTimes) + len(ids)
	isMassRemoval := r.settings.MassRemovalFraction > 0 && (removalCount >= r.settings.MassRemovalMinimum && float64(removalCount) >= r.settings.MassRemovalFraction*float64(recentCount) || removesAll && liveCount > 1)
	for _, id := range ids {
		remainingByGroup[source.observations[id].Group]--
	}
	for _, id := range ids {
		observation := source.observations[id]
		emptiesGroup := r.settings.MassRemovalFraction > 0 && remainingByGroup[observation.Group] == 0 && recentCount > 1
		if isMassRemoval || emptiesGroup {
			source.heldRemovals[id] = r.now
			reason := fmt.Sprintf("%d of %d within %.0f s", removalCount, recentCount, r.settings.MassRemovalWindowMs/1000)
			if !isMassRemoval {
				reason = fmt.Sprintf("group %d would have no server left", observation.Group)
			}
			r.addDecision(RemovalHeldBack, r.servers[id], source.name, "%s", reason)
		} else {
			source.removalTimes = append(source.removalTimes, r.now)
			r.markRemoved(source, observation)
		}
	}
}

// Note has a judgement of a source kept that this module has no part in.
func (r *Reconciler) Note(now float64, sourceName string, kind DecisionKind, reason string) {
	r.now = max(now, r.now)
	r.addDecision(kind, nil, sourceName, "%s", reason)
}

func (r *Reconciler) markRemoved(source *sourceState, observation *storedObservation) {
	observation.removed = true
	delete(source.heldRemovals, observation.ID)
	r.markDirty(observation.ID)
}

// forgetRemoved forgets what a source dropped before it was lost for too long: others have had the word on that since.
func (r *Reconciler) forgetRemoved(source *sourceState) {
	for id, observation := range source.observations {
		if observation.removed {
			delete(source.observations, id)
			r.markDirty(id).observations[source.rank] = nil
		}
	}
}

// SourceLost tells that a source cannot be had. What it said stands for a while.
func (r *Reconciler) SourceLost(now float64, sourceName, reason string) {
	r.now = max(now, r.now)
	if source := r.sourcesByName[sourceName]; source != nil && source.lostAt == 0 {
		source.lostAt = max(r.now, 1)
		retention := "until it is back"
		if r.settings.SourceRetentionMs > 0 {
			retention = fmt.Sprintf("for %.0f s", r.settings.SourceRetentionMs/1000)
		}
		r.addDecision(SourceLost, nil, sourceName, "%s; what it said last stands %s", reason, retention)
	}
}

// ObserveServer takes a server's own word, by the id that the list has for it.
func (r *Reconciler) ObserveServer(now float64, id string, report SelfReport) {
	r.now = max(now, r.now)
	server := r.listedByID[id]
	if server == nil {
		return
	}
	stored := r.selfReports[server.entry.Address]
	if stored == nil {
		stored = &selfReportState{processStarted: server.entry.Started}
		r.selfReports[server.entry.Address] = stored
	}
	stored.respondedAt = r.now
	stored.position = max(stored.position, report.Position)
	if report.Role != RoleUnknown {
		if stored.role != report.Role || r.now-stored.roleReportedAt > r.settings.SelfReportTTLMs { // it changed, or counted no more
			r.dirty[server.id] = server
		}
		stored.role, stored.roleReportedAt = report.Role, r.now
	}
	if server.sourceState == StateDraining && r.settings.Critical == CriticalUseIfResponding && !server.usedWhileCritical {
		r.dirty[server.id] = server // its answer may speak for it
	}
	if len(r.dirty) > 0 {
		r.reconcileDirty()
	}
}
