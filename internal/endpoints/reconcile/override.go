package reconcile

import "math"

// RetireSource discards the observations of a source that other sources have replaced. Servers that no other source reports are removed
// under the rules for removals: if the other sources report none of the servers, nothing is removed at first.
func (r *Reconciler) RetireSource(now float64, sourceName string) {
	r.now = max(now, r.now)
	source := r.sourcesByName[sourceName]
	if source == nil || len(source.observations) == 0 {
		return
	}
	var unknown, shared []string
	for _, id := range sortedKeys(source.observations) {
		if r.knownToOthers(source, id) {
			shared = append(shared, id)
		} else {
			unknown = append(unknown, id)
		}
	}
	r.handleRemovals(source, unknown, len(shared) == 0)
	for _, id := range shared {
		r.markRemoved(source, source.observations[id])
	}
	r.reconcileDirty()
}

// knownToOthers reports whether a source other than this one reports the server.
func (r *Reconciler) knownToOthers(source *sourceState, id string) bool {
	for rank, observation := range r.servers[id].observations {
		if rank == source.rank || observation == nil || observation.removed {
			continue
		}
		if r.sourceCounts(r.sources[rank]) {
			return true
		}
	}
	return false
}

// Override applies the operators' instructions, which replace the previous ones.
func (r *Reconciler) Override(now float64, override Override) {
	r.now = max(now, r.now)
	for id := range r.pins {
		r.markDirty(id)
	}
	clear(r.pins)
	for _, pin := range override.Pins {
		r.pins[pin.ID] = pin.State
		r.addDecision(Pinned, r.markDirty(pin.ID), "", "the operators have it %s", pin.State)
	}
	if override.AcceptHeldRemovals {
		r.acceptHeldRemovals(math.Inf(1), "the operators said so")
	}
	r.reconcileDirty()
}

// acceptHeldRemovals accepts the removals that have been held back since before the given time.
func (r *Reconciler) acceptHeldRemovals(before float64, reason string) {
	for _, source := range r.sources {
		for _, id := range sortedKeys(source.heldRemovals) {
			if source.heldRemovals[id] < before {
				r.addDecision(RemovalAccepted, r.servers[id], source.name, "%s", reason)
				r.markRemoved(source, source.observations[id])
			}
		}
	}
}
