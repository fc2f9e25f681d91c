package reconcile

import (
	"fmt"
	"slices"
)

// handleRemovals removes servers of a source, or holds the removals back. removesAll is set if the source has no other servers left.
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
	total := liveCount + len(source.removalTimes) // servers at the start of the window
	ids = slices.DeleteFunc(slices.Clone(ids), func(id string) bool {
		observation := source.observations[id]
		return observation == nil || observation.removed || source.heldRemovals[id] != 0
	})
	removalCount := len(source.removalTimes) + len(ids)
	isMass := r.isMassRemoval(removalCount, total) || r.settings.MassRemovalFraction > 0 && removesAll && liveCount > 1
	for _, id := range ids {
		remainingByGroup[source.observations[id].Group]--
	}
	for _, id := range ids {
		observation := source.observations[id]
		emptiesGroup := r.settings.MassRemovalFraction > 0 && remainingByGroup[observation.Group] == 0 && total > 1
		switch {
		case isMass:
			r.holdRemoval(source, id, fmt.Sprintf("%d of %d within %.0f s", removalCount, total, r.settings.MassRemovalWindowMs/msPerSecond))
		case emptiesGroup:
			r.holdRemoval(source, id, fmt.Sprintf("group %d would have no server left", observation.Group))
		default:
			source.removalTimes = append(source.removalTimes, r.now)
			r.markRemoved(source, observation)
		}
	}
}

// isMassRemoval reports whether a source removed so many of its servers within the window that the removals are held back.
func (r *Reconciler) isMassRemoval(removalCount, total int) bool {
	if r.settings.MassRemovalFraction <= 0 || removalCount < r.settings.MassRemovalMinimum {
		return false
	}
	return float64(removalCount) >= r.settings.MassRemovalFraction*float64(total)
}

func (r *Reconciler) holdRemoval(source *sourceState, id, reason string) {
	source.heldRemovals[id] = r.now
	r.addDecision(RemovalHeldBack, r.servers[id], source.name, "%s", reason)
}

func (r *Reconciler) markRemoved(source *sourceState, observation *storedObservation) {
	observation.removed = true
	delete(source.heldRemovals, observation.ID)
	r.markDirty(observation.ID)
}

// discardRemoved discards the removals that a source reported before it was lost for too long, as other sources have since decided on
// those servers.
func (r *Reconciler) discardRemoved(source *sourceState) {
	for id, observation := range source.observations {
		if observation.removed {
			delete(source.observations, id)
			r.markDirty(id).observations[source.rank] = nil
		}
	}
}
