package reconcile

import (
	"fmt"
	"maps"
	"slices"
)

const (
	// maxReconcileRounds bounds how often servers that change others are reconciled in one go; the rest waits for the next input.
	maxReconcileRounds = 4
	// maxFutureStartMs is how far a start may lie ahead of the clock here; later ones are ignored.
	maxFutureStartMs = 5000
)

// selection is the observation that decides on a server.
type selection struct {
	observation *storedObservation // nil where none counts
	source      *sourceState
	expired     bool // there are observations that count no more
}

// proposal is an entry that may be published, and why.
type proposal struct {
	Entry
	decidedBy string // name of the source, empty for none
	reason    string
}

// reconcileDirty reconciles the servers of which something has changed, in the order of their ids, then those that these
// changes mark, and then the primaries of their groups.
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

// retentionExpired reports whether a source has been lost for so long that its observations count no more.
func (r *Reconciler) retentionExpired(source *sourceState) bool {
	retention := r.settings.SourceRetentionMs
	return retention > 0 && source.lostAt != 0 && r.now >= source.lostAt+retention
}

// sourceCounts reports whether the observations of a source count: it is reachable, or was not long ago.
func (r *Reconciler) sourceCounts(source *sourceState) bool { return !r.retentionExpired(source) }

func (r *Reconciler) isStaleAge(ageMs float64) bool {
	return r.settings.StaleAgeMs > 0 && ageMs > r.settings.StaleAgeMs
}

// isStale reports whether a source calls its own last report stale.
func (r *Reconciler) isStale(source *sourceState) bool { return r.isStaleAge(source.ageMs) }

// observationCounts reports whether an observation is used: its source counts, or the server still responds.
func (r *Reconciler) observationCounts(source *sourceState, observation *storedObservation) bool {
	return r.sourceCounts(source) || r.respondedRecently(observation.Address)
}

// respondedRecently reports whether the process at an address has responded within the time for which self-reports count.
func (r *Reconciler) respondedRecently(address string) bool {
	report := r.selfReports[address]
	return report != nil && r.now-report.respondedAt <= r.settings.SelfReportTTLMs
}

// selectSource returns the observation that decides on a server: the first by rank that counts, a stale one only where there is
// no other.
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

// reconcileServer makes the entry of a server out of its observations.
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
		// A server does not change its group: what has that id there now is another server. The old one is removed first.
		previous := server.entry
		previous.State, previous.Primary = StateRemoved, false
		moved := fmt.Sprintf("its source has moved it to group %d", proposed.Group)
		r.updateEntry(server, proposal{Entry: previous, decidedBy: proposed.decidedBy, reason: moved})
	}
	r.updateEntry(server, proposed)
}

// entryOf is the entry of a server by the selected observation, with the latest start that any source reports.
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

// conflicts reports whether another observation has a server at another address than the selected one.
func conflicts(best, other *storedObservation) bool {
	return !best.removed && other.Address != "" && other.Address != best.Address
}

// applyHealth sets the state of an entry by what sources report of the server's health.
func (r *Reconciler) applyHealth(server *serverState, best *storedObservation, proposed *proposal) {
	server.usedWhileCritical = false
	maintainedBy := r.maintainedBy(server)
	switch {
	case best.removed:
		proposed.State, proposed.reason = StateRemoved, "its source has dropped it"
	case maintainedBy != nil:
		proposed.State, proposed.reason = StateDraining, "in maintenance"
		proposed.decidedBy = maintainedBy.name
	case best.Health == Critical && r.settings.Critical != CriticalIgnore:
		proposed.State, proposed.reason = r.criticalState(server, best)
	}
}

// maintainedBy is the first source that has a server in maintenance, nil for none.
func (r *Reconciler) maintainedBy(server *serverState) *sourceState {
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

// criticalState is the state of a server whose health check is critical, and the reason.
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

// countCritical counts the servers of a group, each by its first observation there, and those that are critical.
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
