package quota

import (
	"cmp"
	"slices"
)

const (
	idleWeight      = 0.02 // the part of the limit that is added to the demand of all poolers together, so that new poolers get a share
	targetTolerance = 10   // the units of a rate may differ from the target by 1/targetTolerance of it...
	poolTolerance   = 200  // ...or by 1/poolTolerance of the pool, before a lease is recalled
	roundingSlack   = 1e-9
)

// planTargets determines the target of each process: whole units in proportion to demand; the remaining units are given to the processes in
// turns. It asks processes with too many units to give some back, and those with too few to request again once units are free.
func (q *Quota) planTargets(limit *limitState) {
	state := &limit.ownership
	if !state.active || q.now < state.nextPlan {
		return
	}
	if !state.planNeeded && q.now < state.nextPlan+q.settings.RenewInterval-q.settings.TickInterval {
		return
	}
	turns := (q.now - state.nextPlan + q.settings.TickInterval) / (2 * q.settings.RenewInterval)
	state.planNeeded = false
	state.nextPlan = q.now + q.settings.TickInterval
	bound, free := q.boundHolders(limit)
	remaining := q.setProportionalTargets(limit, bound, free, min(1, turns))
	distributeRemaining(bound, remaining, q.now)
	q.sendRecalls(limit, bound)
}

// boundHolders returns the holders that are bound to this owner by their votes, and the units that no other process can hold.
func (q *Quota) boundHolders(limit *limitState) (bound []*holder, free int) {
	state := &limit.ownership
	bound = make([]*holder, 0, len(state.holders))
	free = limit.partition.Pool - state.unaccounted
	for _, peer := range state.holders {
		peer.target = 0
		if peer.adopted && peer.voteEnds > q.now {
			bound = append(bound, peer)
		} else { // units that it may hold are not available until its lease has ended
			free -= peer.outstandingUnits(q.now)
		}
	}
	return bound, max(0, free)
}

// setProportionalTargets sets each holder's target to the whole units of its proportional part, and returns the remaining units. turns is
// the fraction of a turn (2*RenewInterval) since the last plan, with which deficits accumulate.
func (q *Quota) setProportionalTargets(limit *limitState, bound []*holder, free int, turns float64) (remaining int) {
	total := 0.0
	for _, peer := range bound {
		total += peer.weight(q.settings.ExpectedPoolers)
	}
	pool := float64(limit.partition.Pool)
	remaining = free
	for _, peer := range bound {
		part := float64(free) * peer.weight(q.settings.ExpectedPoolers) / total
		peer.target = int(part + roundingSlack)
		deficit := peer.deficit + (part-float64(peer.outstandingUnits(q.now)))*turns
		peer.deficit = max(-pool, min(pool, deficit))
		remaining -= peer.target
	}
	return remaining
}

// distributeRemaining adds one of the remaining units to each target: first to those of holders with demand, then to all, in the order of
// the holders' priorities.
func distributeRemaining(bound []*holder, remaining int, now float64) {
	slices.SortStableFunc(bound, func(a, b *holder) int {
		return cmp.Or(cmp.Compare(b.priority(now), a.priority(now)), cmp.Compare(a.id, b.id))
	})
	for _, peer := range bound {
		if remaining > 0 && peer.demand > 0 {
			peer.target++
			remaining--
		}
	}
	for _, peer := range bound {
		if remaining > 0 {
			peer.target++
			remaining--
		}
	}
}

// sendRecalls asks the holders whose units differ too much from their target to request again: those with too many if some holder has too
// few, and those with too few if there are free units.
func (q *Quota) sendRecalls(limit *limitState, bound []*holder) {
	free := limit.partition.Pool - q.leasedUnits(limit)
	missing := slices.ContainsFunc(bound, func(peer *holder) bool { return peer.outstandingUnits(q.now) < peer.target })
	for _, peer := range bound {
		units := peer.outstandingUnits(q.now)
		tolerance := 0
		if limit.Kind != Concurrency {
			tolerance = max(peer.target/targetTolerance, limit.partition.Pool/poolTolerance)
		}
		tooMany := missing && units > peer.target+tolerance
		tooFew := free > 0 && units < peer.target-tolerance
		if (tooMany || tooFew) && q.now >= peer.recalledAt+q.settings.UrgentInterval {
			peer.recalledAt = q.now
			q.enqueue(peer.id, LeaseRecall, Item{LimitHash: limit.key, Epoch: limit.ownership.epoch, Units: peer.target, Pool: limit.partition.Pool})
		}
	}
}

func (peer *holder) weight(poolers int) float64 { return peer.demand + idleWeight/float64(poolers) }

// priority is the order in which holders get remaining units. A holder that has units beyond its target has a higher priority, so it keeps
// such a unit for one turn.
func (peer *holder) priority(now float64) float64 {
	if peer.outstandingUnits(now) > peer.target {
		return peer.deficit + 1
	}
	return peer.deficit
}
