package reconcile

import (
	"fmt"
	"slices"
)

// updateEntry publishes the proposed entry of a server. A flapping server is drained, and a server whose process is listed under
// another id is removed.
func (r *Reconciler) updateEntry(server *serverState, proposed proposal) {
	r.trackStateChange(server, proposed.State)
	r.holdFlapping(server, &proposed)
	entry := &proposed.Entry
	if entry.State != StateRemoved && r.isDuplicate(server, entry) {
		entry.State = StateRemoved
		proposed.reason = "the process at " + entry.Address + " is listed under another id"
	}
	if entry.State == StateRemoved {
		transferred := server.listed && proposed.decidedBy != "" && r.transferEntry(server)
		if !server.listed || transferred {
			r.discardUnknown(server)
			return
		}
	}
	if !server.listed {
		server.listedID = r.availableID(server)
		entry.ID = server.listedID
	}
	entry.Primary = server.entry.Primary && entry.State == StateServing && entry.Address == server.entry.Address
	if server.listed && *entry == server.entry {
		return
	}
	r.recordChange(server, &proposed)
	r.storeEntry(server, entry)
	r.changes = append(r.changes, *entry)
	if entry.State == StateRemoved {
		r.discardUnknown(server)
	}
}

// trackStateChange records when the state according to the sources changes. The first state of a new server is not a change.
func (r *Reconciler) trackStateChange(server *serverState, state State) {
	if state != server.sourceState {
		if server.listed || server.sourceState != StateRemoved || len(server.stateChanges) > 0 {
			server.stateChanges = append(server.stateChanges, r.now)
		}
		server.sourceState = state
	}
	server.stateChanges = slices.DeleteFunc(server.stateChanges, func(at float64) bool { return r.now-at > r.settings.FlapWindowMs })
}

// holdFlapping drains a server that flaps until it is stable.
func (r *Reconciler) holdFlapping(server *serverState, proposed *proposal) {
	if r.isFlapping(server) {
		if server.flappingUntil == 0 {
			r.addDecision(Flapping, server, proposed.decidedBy, "%d changes within %.0f s; it is not used until it has kept still for %.0f s",
				len(server.stateChanges), r.settings.FlapWindowMs/msPerSecond, r.settings.FlapHoldMs/msPerSecond)
		}
		server.flappingUntil = server.stateChanges[len(server.stateChanges)-1] + r.settings.FlapHoldMs
	}
	if server.flappingUntil == 0 {
		return
	}
	if r.now >= server.flappingUntil {
		server.flappingUntil, server.stateChanges = 0, nil
		r.addDecision(Stabilized, server, proposed.decidedBy, "it has kept still")
		return
	}
	if proposed.State == StateServing {
		proposed.State, proposed.reason = StateDraining, "flapping"
	}
}

// isFlapping reports whether a server changes its state too often. A server that the operators have pinned to serving never flaps.
func (r *Reconciler) isFlapping(server *serverState) bool {
	if pin, ok := r.pins[server.id]; ok && pin == StateServing {
		return false
	}
	return r.settings.FlapThreshold > 0 && len(server.stateChanges) >= r.settings.FlapThreshold
}

// recordChange adds the decisions that describe the change to an entry that is about to be published.
func (r *Reconciler) recordChange(server *serverState, proposed *proposal) {
	previous := server.entry
	server.entry.Group = proposed.Group // so that addDecision uses the new group
	decidedBy, reason := proposed.decidedBy, proposed.reason
	stateChanged := proposed.State != previous.State
	switch {
	case !server.listed:
		r.addDecision(Added, server, decidedBy, "at %s, %s%s", proposed.Address, proposed.State, reasonSuffix(reason))
	case stateChanged && proposed.State == StateRemoved:
		r.addDecision(Removed, server, decidedBy, "%s", reason)
	case stateChanged && proposed.State == StateDraining:
		r.addDecision(Drained, server, decidedBy, "%s", reason)
	case stateChanged:
		r.addDecision(Restored, server, decidedBy, "its source has it serving")
	}
	if server.listed && proposed.State != StateRemoved {
		if proposed.Address != previous.Address {
			r.addDecision(Moved, server, decidedBy, "from %s to %s", previous.Address, proposed.Address)
		}
		if proposed.StartedAtMs > previous.StartedAtMs && previous.StartedAtMs > 0 {
			r.addDecision(Restarted, server, decidedBy, "%.1f s ago", (r.now-proposed.StartedAtMs)/msPerSecond)
		}
	}
	server.entry = previous
}

func reasonSuffix(reason string) string {
	if reason == "" {
		return ""
	}
	return ": " + reason
}

// storeEntry stores an entry and updates the indexes by id, address and group.
func (r *Reconciler) storeEntry(server *serverState, entry *Entry) {
	if server.listed {
		if server.entry.Address != entry.Address || entry.State == StateRemoved {
			r.removeFromIndexes(server)
		}
		if group := r.groups[server.entry.Group]; group != nil && (group.id != entry.Group || entry.State == StateRemoved) {
			delete(group.members, server.id)
		}
	}
	if report := r.selfReports[entry.Address]; report != nil && entry.StartedAtMs > report.processStartedAtMs {
		*report = selfReportState{processStartedAtMs: entry.StartedAtMs} // a new process, which has not reported yet
	}
	server.listed, server.entry = entry.State != StateRemoved, *entry
	if !server.listed {
		if r.listedByID[entry.ID] == server {
			delete(r.listedByID, entry.ID)
		}
		return
	}
	r.listedByID[entry.ID] = server
	if !slices.Contains(r.listedByAddress[entry.Address], server) {
		r.listedByAddress[entry.Address] = append(r.listedByAddress[entry.Address], server)
	}
	group := r.groups[entry.Group]
	if group == nil {
		group = &groupState{id: entry.Group, members: map[string]*serverState{}}
		r.groups[entry.Group] = group
	}
	group.members[server.id] = server
}

// removeFromIndexes removes a server from the indexes by id and address. Ids that were not listed because this server had their
// address are marked for reconciliation.
func (r *Reconciler) removeFromIndexes(server *serverState) {
	if r.listedByID[server.entry.ID] == server {
		delete(r.listedByID, server.entry.ID)
	}
	address := server.entry.Address
	r.listedByAddress[address] = slices.DeleteFunc(r.listedByAddress[address], func(other *serverState) bool { return other == server })
	if len(r.listedByAddress[address]) > 0 {
		return
	}
	delete(r.listedByAddress, address)
	for _, id := range r.duplicates[address] {
		if r.servers[id] != nil {
			r.markDirty(id)
		}
	}
	delete(r.duplicates, address)
}

// transferEntry transfers the entry of a server that its source has removed to another id, if the same process is now registered
// under that id. The process keeps its id in the list, so that readers of the list see no change. It reports whether an entry was
// transferred.
func (r *Reconciler) transferEntry(server *serverState) bool {
	previous := server.entry
	candidates := append(sortedKeys(r.dirty), r.duplicates[previous.Address]...)
	for _, id := range candidates {
		other := r.servers[id]
		if other == nil || other == server || other.listed || !r.describesProcess(other, &previous) {
			continue
		}
		r.addDecision(DuplicateAddress, server, "", "its process at %s is registered as %s now; it keeps its name here", previous.Address, other.id)
		r.removeFromIndexes(server)
		delete(r.groups[previous.Group].members, server.id)
		server.listed = false
		server.entry = Entry{Group: previous.Group}
		server.listedID = server.id
		other.listedID = previous.ID
		other.sourceState = previous.State
		r.storeEntry(other, &previous)
		r.markDirty(other.id)
		return true
	}
	return false
}

// describesProcess reports whether the selected observation of a server describes the process of an entry.
func (r *Reconciler) describesProcess(server *serverState, entry *Entry) bool {
	selected := r.selectSource(server)
	observation := selected.observation
	if observation == nil || observation.removed || !r.sourceCounts(selected.source) {
		return false
	}
	samePlacement := observation.Address == entry.Address && observation.Group == entry.Group
	return samePlacement && observation.StartedAtMs <= entry.StartedAtMs
}

// availableID returns the id for a server that is new in the list: its own, or one derived from it if that is taken.
func (r *Reconciler) availableID(server *serverState) string {
	id := server.id
	for suffix := 2; r.listedByID[id] != nil && r.listedByID[id] != server; suffix++ {
		id = fmt.Sprintf("%s#%d", server.id, suffix)
	}
	return id
}

// isDuplicate reports whether the address of an entry is listed under another id that keeps it, which is so unless this entry has a
// later start time. In that case the other id is removed from the list.
func (r *Reconciler) isDuplicate(server *serverState, entry *Entry) bool {
	for _, other := range slices.Clone(r.listedByAddress[entry.Address]) {
		if other == server || entry.Address == "" {
			continue
		}
		if entry.StartedAtMs <= other.entry.StartedAtMs {
			if !slices.Contains(r.duplicates[entry.Address], server.id) { // the decision is added only once
				r.duplicates[entry.Address] = append(r.duplicates[entry.Address], server.id)
				r.addDecision(DuplicateAddress, server, "", "%s has it as %s, since before", entry.Address, other.id)
			}
			return true
		}
		removed := other.entry
		removed.State, removed.Primary = StateRemoved, false
		r.addDecision(DuplicateAddress, other, "", "%s is %s by a later start", entry.Address, server.id)
		other.sourceState = StateRemoved
		r.storeEntry(other, &removed)
		r.changes = append(r.changes, removed)
	}
	return false
}

// discardUnknown discards the state of a server that every source has removed. Observations that a lost source has not removed are
// kept, as the source may come back with changes only, and so is the state of a server that may be flapping.
func (r *Reconciler) discardUnknown(server *serverState) {
	for _, observation := range server.observations {
		if observation != nil && !observation.removed {
			return
		}
	}
	if len(server.stateChanges) > 0 {
		return
	}
	for rank, observation := range server.observations {
		if observation != nil {
			delete(r.sources[rank].observations, server.id)
			delete(r.sources[rank].heldRemovals, server.id)
		}
	}
	delete(r.servers, server.id)
}
