package reconcile

import (
	"fmt"
	"slices"
)

// reconcileDirty judges anew all servers of which something has changed, in the order of their ids, and then what that changes
// for others.
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
	ids := make([]int, 0, len(touched))
	for id := range touched {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		r.updatePrimary(touched[id])
	}
	for _, groupID := range ids {
		if len(r.groups[groupID].members) == 0 {
			delete(r.groups, groupID)
		}
	}
}

// maxReconcileRounds bounds how often what changed is judged anew at once; what is left waits for the next time.
const maxReconcileRounds = 4

// sourceCounts tells whether a source's word counts: it can be had, or could be not long ago.
func (r *Reconciler) sourceCounts(source *sourceState) bool {
	return source.lostAt == 0 || r.settings.SourceRetentionMs <= 0 || r.now < source.lostAt+r.settings.SourceRetentionMs
}

// isStale tells whether a source calls its own news old.
func (r *Reconciler) isStale(source *sourceState) bool {
	return r.settings.StaleAgeMs > 0 && source.ageMs > r.settings.StaleAgeMs
}

// observationCounts tells whether a claim is taken: its source stands, or the server still answers.
func (r *Reconciler) observationCounts(source *sourceState, observation *storedObservation) bool {
	return r.sourceCounts(source) || r.respondedRecently(observation.Address)
}

// bestObservation is the claim that decides on a server, and whose it is: the first by rank that counts, one that is old only where
// there is no other. It tells whether there are some that count no more.
func (r *Reconciler) bestObservation(server *serverState) (best *storedObservation, owner *sourceState, expired bool) {
	for pass := range 2 {
		for i, observation := range server.observations {
			source := r.sources[i]
			if observation == nil || r.isStale(source) != (pass == 1) {
				continue
			}
			if !r.observationCounts(source, observation) {
				expired = true
			} else if best == nil {
				best, owner = observation, source
			}
		}
	}
	return best, owner, expired
}

// reconcileServer makes a server's entry out of the claims on it.
func (r *Reconciler) reconcileServer(server *serverState) {
	var drainReason string // why it drains
	var drainSource string
	best, owner, expired := r.bestObservation(server)
	for i, observation := range server.observations {
		if observation != nil && observation.Health == Maintenance && !observation.removed && drainReason == "" && r.observationCounts(r.sources[i], observation) {
			drainReason, drainSource = "in maintenance", r.sources[i].name
		}
	}
	if best == nil { // nobody's word stands
		reason := "no source knows it any more"
		if expired {
			reason = "its source was lost for too long, and it does not answer"
		}
		r.updateEntry(server, Entry{ID: server.listedID, State: StateRemoved, Group: server.entry.Group, Address: server.entry.Address}, "", reason)
		return
	}
	entry := Entry{ID: server.listedID, Address: best.Address, Group: best.Group, Zone: best.Zone, Kind: best.Kind, Weight: best.Weight}
	for i, observation := range server.observations {
		if observation == nil {
			continue
		}
		if observation.Started > entry.Started && observation.Started <= r.now+maxFutureStartMs && !observation.removed {
			entry.Started = observation.Started
		}
		if observation != best && observation.Address != best.Address && observation.Address != "" && !observation.removed && !best.removed {
			if text := best.Address + " and " + observation.Address; server.lastConflict != text {
				server.lastConflict = text
				r.addDecision(ConflictingAddresses, server, r.sources[i].name, "%s; %s's is taken", text, owner.name)
			}
			if entry.Address == "" {
				entry.Address = observation.Address
			}
		}
	}
	reason, decidedBy := "", owner.name
	switch server.usedWhileCritical = false; {
	case best.removed:
		entry.State, reason = StateRemoved, "its source has dropped it"
	case drainReason != "":
		entry.State, reason, decidedBy = StateDraining, drainReason, drainSource
	case best.Health == Critical && r.settings.Critical != CriticalIgnore:
		entry.State, reason = r.criticalState(server, best)
	}
	if pin, ok := r.pins[server.id]; ok {
		entry.State, reason, decidedBy = pin, "the operators have it so", ""
	}
	if server.listed && entry.Group != server.entry.Group && entry.State != StateRemoved {
		// A server does not change its group: whatever has that id there now is another. The old one goes first.
		previous := server.entry
		previous.State, previous.Primary = StateRemoved, false
		r.updateEntry(server, previous, decidedBy, fmt.Sprintf("its source has moved it to group %d", entry.Group))
	}
	r.updateEntry(server, entry, decidedBy, reason)
}

// maxFutureStartMs is how far a start may lie ahead of the clock here.
const maxFutureStartMs = 5000

// respondedRecently tells whether the process at an address has answered lately.
func (r *Reconciler) respondedRecently(address string) bool {
	report := r.selfReports[address]
	return report != nil && r.now-report.respondedAt <= r.settings.SelfReportTTLMs
}

// criticalState decides what a critical check means for a server.
func (r *Reconciler) criticalState(server *serverState, observation *storedObservation) (State, string) {
	if r.settings.Critical == CriticalUseIfResponding {
		if r.respondedRecently(observation.Address) {
			server.usedWhileCritical = true
			return StateServing, ""
		}
		return StateDraining, "critical, and it has not answered lately"
	}
	memberCount, criticalCount := 0, 0
	for _, member := range r.servers {
		for _, memberObservation := range member.observations {
			if memberObservation != nil && !memberObservation.removed && memberObservation.Group == observation.Group {
				memberCount++
				if memberObservation.Health == Critical {
					criticalCount++
				}
				break
			}
		}
	}
	if r.settings.MassRemovalFraction > 0 && memberCount > 1 && float64(criticalCount) > r.settings.MassRemovalFraction*float64(memberCount) {
		return StateServing, ""
	}
	return StateDraining, "critical"
}

// updateEntry puts an entry into the list, after holding back what flaps and what stands in it already under another id.
func (r *Reconciler) updateEntry(server *serverState, entry Entry, decidedBy, reason string) {
	if entry.State != server.sourceState {
		if server.listed || server.sourceState != StateRemoved || len(server.stateChanges) > 0 {
			server.stateChanges = append(server.stateChanges, r.now)
		}
		server.sourceState = entry.State
	}
	server.stateChanges = slices.DeleteFunc(server.stateChanges, func(at float64) bool { return r.now-at > r.settings.FlapWindowMs })
	isFlapping := r.settings.FlapThreshold > 0 && len(server.stateChanges) >= r.settings.FlapThreshold
	if pin, ok := r.pins[server.id]; ok && pin == StateServing {
		isFlapping = false
	}
	switch {
	case isFlapping:
		if server.flappingUntil == 0 {
			r.addDecision(Flapping, server, decidedBy, "%d changes within %.0f s; it is not used until it has kept still for %.0f s", len(server.stateChanges), r.settings.FlapWindowMs/1000, r.settings.FlapHoldMs/1000)
		}
		server.flappingUntil = server.stateChanges[len(server.stateChanges)-1] + r.settings.FlapHoldMs
		fallthrough
	case server.flappingUntil != 0 && r.now < server.flappingUntil:
		if entry.State == StateServing && r.now < server.flappingUntil {
			entry.State, reason = StateDraining, "flapping"
		}
	}
	if server.flappingUntil != 0 && r.now >= server.flappingUntil {
		server.flappingUntil, server.stateChanges = 0, nil
		r.addDecision(Stabilized, server, decidedBy, "it has kept still")
	}
	if entry.State != StateRemoved && r.isDuplicate(server, &entry) {
		entry.State, reason = StateRemoved, "the process at "+entry.Address+" is listed under another id"
	}
	if entry.State == StateRemoved && !server.listed {
		r.discardUnknown(server)
		return
	}
	if entry.State == StateRemoved && decidedBy != "" && r.transferEntry(server) {
		r.discardUnknown(server)
		return
	}
	if !server.listed {
		server.listedID = r.availableID(server)
		entry.ID = server.listedID
	}
	entry.Primary = server.entry.Primary && entry.State == StateServing && entry.Address == server.entry.Address
	if server.listed && entry == server.entry {
		return
	}
	r.recordChange(server, &entry, decidedBy, reason)
	r.storeEntry(server, &entry)
	r.changes = append(r.changes, entry)
	if entry.State == StateRemoved {
		r.discardUnknown(server)
	}
}

// recordChange says what a new entry changes.
func (r *Reconciler) recordChange(server *serverState, entry *Entry, decidedBy, reason string) {
	previous := server.entry
	server.entry.Group = entry.Group
	switch {
	case !server.listed:
		r.addDecision(Added, server, decidedBy, "at %s, %s%s", entry.Address, entry.State, reasonSuffix(reason))
	case entry.State != previous.State && entry.State == StateRemoved:
		r.addDecision(Removed, server, decidedBy, "%s", reason)
	case entry.State != previous.State && entry.State == StateDraining:
		r.addDecision(Drained, server, decidedBy, "%s", reason)
	case entry.State != previous.State:
		r.addDecision(Restored, server, decidedBy, "its source has it serving")
	}
	if server.listed && entry.State != StateRemoved {
		if entry.Address != previous.Address {
			r.addDecision(Moved, server, decidedBy, "from %s to %s", previous.Address, entry.Address)
		}
		if entry.Started > previous.Started && previous.Started > 0 {
			r.addDecision(Restarted, server, decidedBy, "%.1f s ago", (r.now-entry.Started)/1000)
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

// storeEntry keeps an entry, and what is found by its address and group.
func (r *Reconciler) storeEntry(server *serverState, entry *Entry) {
	if server.listed {
		if server.entry.Address != entry.Address || entry.State == StateRemoved {
			r.removeFromIndexes(server)
		}
		if group := r.groups[server.entry.Group]; group != nil && (group.id != entry.Group || entry.State == StateRemoved) {
			delete(group.members, server.id)
		}
	}
	if report := r.selfReports[entry.Address]; report != nil && entry.Started > report.processStarted { // another process: it has said nothing yet
		*report = selfReportState{processStarted: entry.Started}
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

func (r *Reconciler) removeFromIndexes(server *serverState) {
	if r.listedByID[server.entry.ID] == server {
		delete(r.listedByID, server.entry.ID)
	}
	address := server.entry.Address
	r.listedByAddress[address] = slices.DeleteFunc(r.listedByAddress[address], func(other *serverState) bool { return other == server })
	if len(r.listedByAddress[address]) == 0 {
		delete(r.listedByAddress, address)
		for _, id := range r.duplicates[address] {
			if r.servers[id] != nil {
				r.markDirty(id)
			}
		}
		delete(r.duplicates, address)
	}
}

// transferEntry has another id stand for a server that its source has dropped, where the same process is registered under that:
// in the list it keeps its name, and whoever reads it learns nothing anew.
func (r *Reconciler) transferEntry(server *serverState) bool {
	previous := server.entry
	candidates := append(sortedKeys(r.dirty), r.duplicates[previous.Address]...)
	for _, id := range candidates {
		other := r.servers[id]
		if other == nil || other == server || other.listed {
			continue
		}
		observation, source, _ := r.bestObservation(other) // another's claim would not keep it where it is
		if observation == nil || observation.removed || !r.sourceCounts(source) || observation.Address != previous.Address || observation.Group != previous.Group || observation.Started > previous.Started {
			continue
		}
		r.addDecision(DuplicateAddress, server, "", "its process at %s is registered as %s now; it keeps its name here", previous.Address, other.id)
		r.removeFromIndexes(server)
		delete(r.groups[previous.Group].members, server.id)
		server.listed, server.entry, server.listedID = false, Entry{Group: previous.Group}, server.id
		other.listedID, other.sourceState = previous.ID, previous.State
		r.storeEntry(other, &previous)
		r.markDirty(other.id)
		return true
	}
	return false
}

// availableID is a name for a server that is new in the list: its id, unless another has inherited that.
func (r *Reconciler) availableID(server *serverState) string {
	name := server.id
	for suffix := 2; r.listedByID[name] != nil && r.listedByID[name] != server; suffix++ {
		name = fmt.Sprintf("%s#%d", server.id, suffix)
	}
	return name
}

// isDuplicate tells whether the process at an entry's address is in the list under another id, and stays there: it was there
// first, and no later start is told under this one.
func (r *Reconciler) isDuplicate(server *serverState, entry *Entry) bool {
	for _, other := range slices.Clone(r.listedByAddress[entry.Address]) {
		if other == server || entry.Address == "" {
			continue
		}
		if entry.Started <= other.entry.Started {
			if slices.Contains(r.duplicates[entry.Address], server.id) {
				return true // that has been said
			}
			r.duplicates[entry.Address] = append(r.duplicates[entry.Address], server.id)
			r.addDecision(DuplicateAddress, server, "", "%s has it as %s, since before", entry.Address, other.id)
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

// discardUnknown unfiles a server that every source has dropped. What a lost source said is kept: it may come back with changes only.
func (r *Reconciler) discardUnknown(server *serverState) {
	for _, observation := range server.observations {
		if observation != nil && !observation.removed {
			return
		}
	}
	if len(server.stateChanges) > 0 {
		return // whether it flaps is still to be seen
	}
	for i, observation := range server.observations {
		if observation != nil {
			delete(r.sources[i].observations, server.id)
			delete(r.sources[i].heldRemovals, server.id)
		}
	}
	delete(r.servers, server.id)
}

// updatePrimary decides which of a group's servers the list calls its primary: who says so itself, and only where nobody does, whom
// a source names that has not said otherwise.
func (r *Reconciler) updatePrimary(group *groupState) {
	var selfDeclared, sourceDeclared []*serverState
	for _, id := range sortedKeys(group.members) {
		server := group.members[id]
		if server.entry.State != StateServing {
			continue
		}
		if reported := r.selfReportedRole(server); reported == Primary {
			selfDeclared = append(selfDeclared, server)
		}
		if role, sourceName := r.observedRole(server); role == Primary {
			if r.selfReportedRole(server) == Replica && !r.settings.TrustSourceRoles {
				if server.rejectedRole != role {
					r.addDecision(Rejected, server, sourceName, "it is called the primary, and itself says that it is a replica")
				}
				server.rejectedRole = role
				continue
			}
			sourceDeclared = append(sourceDeclared, server)
		} else {
			server.rejectedRole = role
		}
	}
	primaries, problem := selfDeclared, DecisionKind("")
	if len(selfDeclared) == 0 || r.settings.TrustSourceRoles && len(sourceDeclared) > 0 {
		primaries = sourceDeclared
	}
	switch {
	case len(primaries) > 1:
		problem = MultiplePrimaries
	case len(primaries) == 0 && len(group.members) > 0:
		problem = NoPrimary
	}
	if problem != group.lastProblem && problem != "" {
		text := "nobody says that it is, and no source names one that has not denied it"
		if problem == MultiplePrimaries {
			text = fmt.Sprintf("%s and %s; the list calls neither one", primaries[0].id, primaries[1].id)
		}
		r.decisions = append(r.decisions, Decision{At: r.now, Kind: problem, Group: group.id, Reason: text})
	}
	group.lastProblem = problem
	for _, id := range sortedKeys(group.members) {
		server := group.members[id]
		if isPrimary := len(primaries) == 1 && primaries[0] == server; isPrimary != server.entry.Primary {
			server.entry.Primary = isPrimary
			r.changes = append(r.changes, server.entry)
		}
	}
}

// selfReportedRole is a server's own word on its role, if it is recent.
func (r *Reconciler) selfReportedRole(server *serverState) Role {
	if report := r.selfReports[server.entry.Address]; report != nil && r.now-report.roleReportedAt <= r.settings.SelfReportTTLMs {
		return report.role
	}
	return RoleUnknown
}

// observedRole is the role that the sources give a server, and whose word that is.
func (r *Reconciler) observedRole(server *serverState) (Role, string) {
	for pass := range 2 {
		for i, observation := range server.observations {
			if observation != nil && !observation.removed && observation.Role != RoleUnknown && r.sourceCounts(r.sources[i]) && r.isStale(r.sources[i]) == (pass == 1) {
				return observation.Role, r.sources[i].name
			}
		}
	}
	return RoleUnknown, ""
}
