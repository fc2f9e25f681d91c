package reconcile

import "math"

// RetireSource has all that a source said count no more: others have taken its place. What none of them knows is dropped as any
// other removal is: an empty answer in place of a saved list takes nothing away at first.
func (r *Reconciler) RetireSource(now float64, sourceName string) {
	r.now = max(now, r.now)
	source := r.sourcesByName[sourceName]
	if source == nil || len(source.observations) == 0 {
		return
	}
	var alone, shared []string
	for _, id := range sortedKeys(source.observations) {
		known := false
		for i, observation := range r.servers[id].observations {
			known = known || i != source.rank && observation != nil && !observation.removed && r.sourceCounts(r.sources[i])
		}
		if known {
			shared = append(shared, id)
		} else {
			alone = append(alone, id)
		}
	}
	r.handleRemovals(source, alone, len(shared) == 0)
	for _, id := range shared {
		r.markRemoved(source, source.observations[id])
	}
	r.reconcileDirty()
}

// Override takes the operators' word; it replaces what they said before.
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

// acceptHeldRemovals accepts removals that were held back since before.
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
