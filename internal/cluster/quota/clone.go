package quota

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Clone is a copy that goes its own way, for explorers.
func (q *Quota) Clone() *Quota {
	c := *q
	c.actions, c.outbox = nil, nil
	c.addresses = maps.Clone(q.addresses)
	c.limits, c.byHash = make([]*limitState, len(q.limits)), map[uint64]*limitState{}
	for i, limit := range q.limits {
		n := *limit
		n.requests = slices.Clone(limit.requests)
		n.ownership.holders, n.ownership.holderByID = make([]*holder, len(limit.ownership.holders)), map[ID]*holder{}
		for k, peer := range limit.ownership.holders {
			x := *peer
			x.grants = slices.Clone(peer.grants)
			n.ownership.holders[k], n.ownership.holderByID[peer.id] = &x, &x
		}
		c.limits[i], c.byHash[n.key] = &n, &n
	}
	return &c
}

// StateKey is all of a quota that what it does follows from, with times as seen from now, and the numbers of asks as seen from each
// process's last, for explorers.
func (q *Quota) StateKey(last func(ID) uint32) string {
	var w strings.Builder
	ago := func(at float64) float64 { return max(-1e6, min(q.now-at, 1e6)) }
	till := func(at float64) float64 { return max(0, min(at-q.now, 1e6)) }
	fmt.Fprint(&w, q.hasLeft, q.peers)
	for _, limit := range q.limits {
		fmt.Fprintf(&w, "|%v %d %v %d %d %d %v %d %v %d %v ", limit.partition, limit.reserved, till(limit.startedAt+q.voteDelay(limit.Kind)), limit.currentOwner, limit.votedFor, limit.votedEpoch, till(limit.voteEnds), limit.ownerTimeFrom, ago(limit.ownerTime), limit.ownerEpoch, min(ago(limit.ownerTimeAt), q.settings.VoteDuration))
		fmt.Fprintf(&w, "%d %d %d %v %v %v %v %v ", limit.sequence-limit.lastTaken, limit.leasedUnits, limit.unitsInUse, till(limit.leaseEnds), limit.demand, limit.reportedDemand, till(limit.nextRequest), limit.urgent)
		for _, a := range limit.requests {
			if a.sequence > limit.lastTaken && q.now-a.sentAt < q.settings.LeaseDuration {
				fmt.Fprintf(&w, "a%d %v %v ", limit.sequence-a.sequence, ago(a.sentAt), a.vote)
			}
		}
		state := &limit.ownership
		fmt.Fprintf(&w, "o%d %v %v %d %v %v %v %v ", state.epoch, till(state.ends), state.active, state.unaccounted, till(state.unaccountedUntil), state.planNeeded, till(state.plannedAt), till(state.nextElection))
		for _, peer := range state.holders {
			n := last(peer.id)
			fmt.Fprintf(&w, "b%d %d %v %v %v %d %v %d %v %d %d %.3f %v ", peer.id, n-peer.sequence, till(peer.voteEnds), peer.demand, peer.adopted, peer.claimedUnits, till(peer.claimEnds), peer.confirmedUnits, till(peer.confirmedEnds), n-peer.confirmedSequence, peer.target,
				peer.deficit, min(q.settings.UrgentInterval, ago(peer.recalledAt)))
			for _, p := range peer.grants {
				fmt.Fprintf(&w, "p%d %d %v ", n-p.sequence, p.units, till(p.ends))
			}
		}
	}
	return w.String()
}

// LastSequence is the number of the last ask about a limit.
func (q *Quota) LastSequence(name string) uint32 {
	if limit := q.limitByName(name); limit != nil {
		return limit.sequence
	}
	return 0
}

// Usable is how much of a limit may be used, had nothing come since.
func (q *Quota) Usable(name string, now float64) float64 {
	limit := q.limitByName(name)
	if limit == nil || q.hasLeft {
		return 0
	}
	n := limit.reserved
	if limit.Kind == Concurrency && now < limit.startedAt+q.voteDelay(limit.Kind) {
		n = 0
	}
	if now < limit.leaseEnds {
		n += limit.leasedUnits
	}
	amount, _ := limit.unitsAllowance(&limit.partition, n)
	return amount
}

// RestartLease has the lease by the answer to an ask count from now: for a checker's mutant.
func (q *Quota) RestartLease(hash uint64, seq uint32) {
	if limit := q.byHash[hash]; limit != nil {
		for i := range limit.requests {
			if limit.requests[i].sequence == seq {
				limit.requests[i].sentAt = q.now
			}
		}
	}
}
