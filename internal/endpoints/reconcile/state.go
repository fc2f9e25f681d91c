package reconcile

import (
	"fmt"
	"maps"
	"slices"
)

const (
	// maxReconcileRounds bounds the rounds of reconciling servers that were marked by the previous round. Servers that are still
	// marked after the last round wait for the next input.
	maxReconcileRounds = 4
	// maxFutureStartMs is how far a start time may be ahead of the caller's clock; later ones are ignored.
	maxFutureStartMs = 5000
)

// selection is the observation that determines the entry of a server.
type selection struct {
	observation *storedObservation // nil if no observation counts
	source      *sourceState
	expired     bool // there are observations that no longer count
}

// proposal is an entry that may be published, with its reason.
type proposal struct {
	Entry
	decidedBy string // name of the source, empty for none
	reason    string
}

// reconcileDirty reconciles the marked servers in the order of their ids, then the servers that this marks, and then updates the
// primaries of their groups.
func (r *Reconciler) reconcileDirty() {
	if len(r.dirty) == 0 {
		return
	}
	touched := map[int]*groupState{}
	for round := 0; len(r.dirty) > 0 && round < maxReconcileRounds; round++ {
		for _, id := range sortedKeys(r.dirty) {
			server := r.dirty[id]
			delete(r.dirty, id)
			previousGroup := server.entry.Group
			r.reconcileServer(server)
			for _, groupID := range []int{previousGroup, server.entry.Group} {
				if group := r.groups[groupID]; group != nil {
					touched[groupID] = group
				}
			}
		}
	}
	groupIDs := slices.Sorted(maps.Keys(touched))
	for _, groupID := range groupIDs {
		r.updatePrimary(touched[groupID])
	}
	for _, groupID := range groupIDs {
		if len(r.groups[groupID].members) == 0 {
			delete(r.groups, groupID)
		}
	}
}

// retentionExpired reports whether a source has been lost for so long that its observations no longer count.
func (r *Reconciler) retentionExpired(source *sourceState) bool {
	retention := r.settings.SourceRetentionMs
	return retention > 0 && source.lostAt != 0 && r.now >= source.lostAt+retention
}

// sourceCounts reports whether the observations of a source count: it is reachable, or was lost less than SourceRetentionMs ago.
func (r *Reconciler) sourceCounts(source *sourceState) bool { return !r.retentionExpired(source) }

func (r *Reconciler) isStaleAge(ageMs float64) bool {
	return r.settings.StaleAgeMs > 0 && ageMs > r.settings.StaleAgeMs
}

// isStale reports whether the last report of a source was stale by its AgeMs.
func (r *Reconciler) isStale(source *sourceState) bool { return r.isStaleAge(source.ageMs) }

// observationCounts reports whether an observation is used: its source counts, or the server still responds.
func (r *Reconciler) observationCounts(source *sourceState, observation *storedObservation) bool {
	return r.sourceCounts(source) || r.respondedRecently(observation.Address)
}

// respondedRecently reports whether the process at an address has responded within Settings.SelfReportTTLMs.
func (r *Reconciler) respondedRecently(address string) bool {
	report := r.selfReports[address]
	return report != nil && r.now-report.respondedAt <= r.settings.SelfReportTTLMs
}

// selectSource selects the observation that determines the entry of a server: the first by rank that counts, and a stale one only if
// there is no other.
func (r *Reconciler) selectSource(server *serverState) selection {
	var selected selection
	for _, stale := range []bool{false, true} {
		for rank, observation := range server.observations {
			source := r.sources[rank]
			if observation == nil || r.isStale(source) != stale {
				continue
			}
			if !r.observationCounts(source, observation) {
				selected.expired = true
			} else if selected.observation == nil {
				selected.observation, selected.source = observation, source
			}
		}
	}
	return selected
}

// reconcileServer updates the entry of a server from its observations.
func (r *Reconciler) reconcileServer(server *serverState) {
	selected := r.selectSource(server)
	if selected.observation == nil {
		reason := "no source knows it any more"
		if selected.expired {
			reason = "its source was lost for too long, and it does not answer"
		}
		removed := Entry{ID: server.listedID, State: StateRemoved, Group: server.entry.Group, Address: server.entry.Address}
		r.updateEntry(server, proposal{Entry: removed, reason: reason})
		return
	}
	proposed := proposal{Entry: r.entryOf(server, selected), decidedBy: selected.source.name}
	r.applyHealth(server, selected.observation, &proposed)
	if pin, ok := r.pins[server.id]; ok {
		proposed.State = pin
		proposed.reason = "the operators have it so"
		proposed.decidedBy = ""
	}
	if server.listed && proposed.Group != server.entry.Group && proposed.State != StateRemoved {
		// A server does not change its group, so the server with this id in the new group is another one. The old one is removed
		// first.
		previous := server.entry
		previous.State, previous.Primary = StateRemoved, false
		moved := fmt.Sprintf("its source has moved it to group %d", proposed.Group)
		r.updateEntry(server, proposal{Entry: previous, decidedBy: proposed.decidedBy, reason: moved})
	}
	r.updateEntry(server, proposed)
}

// entryOf returns the entry of a server according to the selected observation, with the latest start time reported by any source.
func (r *Reconciler) entryOf(server *serverState, selected selection) Entry {
	best := selected.observation
	entry := Entry{ID: server.listedID, Address: best.Address, Group: best.Group, Zone: best.Zone, Kind: best.Kind, Weight: best.Weight}
	for rank, observation := range server.observations {
		if observation == nil || observation.removed {
			continue
		}
		if observation.StartedAtMs > entry.StartedAtMs && observation.StartedAtMs <= r.now+maxFutureStartMs {
			entry.StartedAtMs = observation.StartedAtMs
		}
		if !conflicts(best, observation) {
			continue
		}
		if text := best.Address + " and " + observation.Address; server.lastConflict != text {
			server.lastConflict = text
			r.addDecision(ConflictingAddresses, server, r.sources[rank].name, "%s; %s's is taken", text, selected.source.name)
		}
		if entry.Address == "" {
			entry.Address = observation.Address
		}
	}
	return entry
}

// conflicts reports whether another observation has a different address than the selected one.
func conflicts(best, other *storedObservation) bool {
	return !best.removed && other.Address != "" && other.Address != best.Address
}

// applyHealth sets the state of an entry according to the health of the server as reported by the sources.
func (r *Reconciler) applyHealth(server *serverState, best *storedObservation, proposed *proposal) {
	server.usedWhileCritical = false
	maintenanceSource := r.maintenanceSource(server)
	switch {
	case best.removed:
		proposed.State, proposed.reason = StateRemoved, "its source has dropped it"
	case maintenanceSource != nil:
		proposed.State, proposed.reason = StateDraining, "in maintenance"
		proposed.decidedBy = maintenanceSource.name
	case best.Health == Critical && r.settings.Critical != CriticalIgnore:
		proposed.State, proposed.reason = r.criticalState(server, best)
	}
}

// maintenanceSource returns the first source by rank that reports a server in maintenance, or nil.
func (r *Reconciler) maintenanceSource(server *serverState) *sourceState {
	for rank, observation := range server.observations {
		if observation == nil || observation.removed || observation.Health != Maintenance {
			continue
		}
		if r.observationCounts(r.sources[rank], observation) {
			return r.sources[rank]
		}
	}
	return nil
}

// criticalState returns the state of a server whose health is critical, and the reason.
func (r *Reconciler) criticalState(server *serverState, observation *storedObservation) (State, string) {
	if r.settings.Critical == CriticalUseIfResponding {
		if r.respondedRecently(observation.Address) {
			server.usedWhileCritical = true
			return StateServing, ""
		}
		return StateDraining, "critical, and it has not answered lately"
	}
	memberCount, criticalCount := r.countCritical(observation.Group)
	isMass := float64(criticalCount) > r.settings.MassRemovalFraction*float64(memberCount)
	if r.settings.MassRemovalFraction > 0 && memberCount > 1 && isMass {
		return StateServing, ""
	}
	return StateDraining, "critical"
}

// countCritical counts the servers of a group and how many of them are critical. The first observation by rank in the group decides
// for each server.
func (r *Reconciler) countCritical(group int) (members, critical int) {
	for _, member := range r.servers {
		for _, observation := range member.observations {
			if observation == nil || observation.removed || observation.Group != group {
				continue
			}
			members++
			if observation.Health == Critical {
				critical++
			}
			break
		}
	}
	return members, critical
}
