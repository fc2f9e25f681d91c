package quota

import (
	"cmp"
	"math"
	"slices"
)

// holder is an owner's account of a process that holds, or may hold, units of the pool. Times are in ms on the owner's clock.
type holder struct {
	id                ID
	sequence          uint32 // number of the last request
	lastRequest       float64
	voteEnds          float64
	demand            float64 // as a part of the limit
	adopted           bool    // the units that it holds from an earlier owner are accounted for
	claimedUnits      int     // units that it reported with its last vote, until claimEnds
	claimEnds         float64
	confirmedUnits    int // of the last grant that it accepted, which has confirmedSequence, until confirmedEnds
	confirmedEnds     float64
	confirmedSequence uint32
	grants            []grant // grants that it may still accept
	target            int     // units that it should have according to the last plan
	deficit           float64 // accumulated difference between its proportional part and its units
	recalledAt        float64
}

// grant is an answer with a lease.
type grant struct {
	sequence uint32
	units    int
	ends     float64
}

// addHolder returns the account of a process, which it opens if there is none; nil if there are too many.
func (state *ownership) addHolder(id ID) *holder {
	peer := state.holderByID[id]
	if peer != nil || len(state.holders) >= MaxPeers {
		return peer
	}
	peer = &holder{id: id}
	state.holderByID[id] = peer
	i, _ := slices.BinarySearchFunc(state.holders, id, func(h *holder, id ID) int { return cmp.Compare(h.id, id) })
	state.holders = slices.Insert(state.holders, i, peer)
	return peer
}

// outstandingUnits returns the largest number of units that a process can hold by the answers that it accepted or may still accept.
func (peer *holder) outstandingUnits(now float64) int {
	n := 0
	if now < peer.confirmedEnds {
		n = peer.confirmedUnits
	}
	for _, g := range peer.grants {
		if now < g.ends {
			n = max(n, g.units)
		}
	}
	return n
}

// confirmTaken records which grant the process accepted last. It accepts no earlier one afterwards.
func (peer *holder) confirmTaken(item *Item) {
	if !peer.adopted {
		return
	}
	open := peer.grants[:0]
	for _, g := range peer.grants {
		switch {
		case g.sequence > item.LastTaken:
			open = append(open, g)
		case g.sequence == item.LastTaken:
			peer.confirmedEnds, peer.confirmedSequence = g.ends, g.sequence
		}
	}
	peer.grants = open
	if item.LastTaken == peer.confirmedSequence {
		peer.confirmedUnits = item.UnitsInUse
	}
}

// adoptClaim accounts for the units that a process holds from an earlier owner, if it is certain that it still holds them or that no unit
// of an earlier owner is left.
func (q *Quota) adoptClaim(limit *limitState, peer *holder) {
	state := &limit.ownership
	if peer.adopted || peer.voteEnds <= q.now {
		return
	}
	switch {
	case peer.claimedUnits == 0:
	case q.now < peer.claimEnds && peer.claimedUnits <= state.unaccounted:
		state.unaccounted -= peer.claimedUnits
		peer.confirmedUnits = peer.claimedUnits
		peer.confirmedEnds = q.now + q.settings.leaseRetention(limit.Kind)
	case state.unaccounted == 0 && q.now >= state.unaccountedUntil:
	default:
		return
	}
	peer.adopted = true
	peer.confirmedSequence = math.MaxUint32 // matches no grant
	peer.target = peer.outstandingUnits(q.now)
	state.planNeeded = true
}

// grantUnits records a grant to a process and returns its units: the target, as far as units are free.
func (q *Quota) grantUnits(limit *limitState, peer *holder, sequence uint32) int {
	outstanding := peer.outstandingUnits(q.now)
	free := max(0, limit.partition.Pool-q.leasedUnits(limit))
	units := max(0, min(peer.target, outstanding+free))
	peer.mergeOldestGrants()
	accounted := units
	if limit.Kind == Concurrency { // uses beyond the grant may continue for as long as its lease
		accounted = max(units, outstanding)
	}
	peer.grants = append(peer.grants, grant{sequence, accounted, q.now + q.settings.leaseRetention(limit.Kind)})
	return units
}

// mergeOldestGrants makes room for another grant by merging the two oldest ones. The merged grant has the later number, the larger number
// of units and the later end.
func (peer *holder) mergeOldestGrants() {
	if len(peer.grants) < maxGrants {
		return
	}
	first, second := peer.grants[0], &peer.grants[1]
	second.units = max(first.units, second.units)
	second.ends = max(first.ends, second.ends)
	peer.grants = append(peer.grants[:0], peer.grants[1:]...)
}

// isExpired reports whether a process cannot be reached and certainly has held no units for ms, as its last request and vote are too old.
func (q *Quota) isExpired(limit *limitState, peer *holder, ms float64) bool {
	if _, reachable := q.addresses[peer.id]; reachable || peer.id == q.self {
		return false
	}
	at := q.now - ms
	retention := q.settings.leaseRetention(limit.Kind)
	return at >= peer.voteEnds+retention && at >= peer.lastRequest+retention && peer.outstandingUnits(at) == 0
}

// removeExpiredHolders closes the accounts of processes that have ended. They would accumulate, as each restart of a pooler opens one.
func (q *Quota) removeExpiredHolders(limit *limitState) {
	state := &limit.ownership
	state.holders = slices.DeleteFunc(state.holders, func(peer *holder) bool {
		expired := q.isExpired(limit, peer, 0)
		if expired {
			delete(state.holderByID, peer.id)
		}
		return expired
	})
}
