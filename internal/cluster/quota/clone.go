package quota

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// maxKeyTimeMs bounds the times in a StateKey.
const maxKeyTimeMs = 1e6

// Clone returns an independent copy, for model checking.
func (q *Quota) Clone() *Quota {
	clone := *q
	clone.actions, clone.outbox = nil, nil
	clone.addresses = maps.Clone(q.addresses)
	clone.limits = make([]*limitState, len(q.limits))
	clone.byHash = map[uint64]*limitState{}
	for i, limit := range q.limits {
		copied := limit.clone()
		clone.limits[i] = copied
		clone.byHash[copied.key] = copied
	}
	return &clone
}

func (limit *limitState) clone() *limitState {
	clone := *limit
	clone.requests = slices.Clone(limit.requests)
	clone.ownership.holders = make([]*holder, len(limit.ownership.holders))
	clone.ownership.holderByID = map[ID]*holder{}
	for i, original := range limit.ownership.holders {
		peer := *original
		peer.grants = slices.Clone(original.grants)
		clone.ownership.holders[i] = &peer
		clone.ownership.holderByID[peer.id] = &peer
	}
	return &clone
}

// StateKey returns a string that is equal for two Quotas that behave the same from now on. Times in it are relative to now, and the numbers
// of requests to the last one of their sender, which last returns.
func (q *Quota) StateKey(last func(ID) uint32) string {
	var w strings.Builder
	fmt.Fprint(&w, q.hasLeft, q.peers)
	for _, limit := range q.limits {
		q.writeHolderKey(&w, limit)
		q.writeOwnerKey(&w, limit, last)
	}
	return w.String()
}

func (q *Quota) timeSince(at float64) float64 { return max(-maxKeyTimeMs, min(q.now-at, maxKeyTimeMs)) }
func (q *Quota) timeUntil(at float64) float64 { return max(0, min(at-q.now, maxKeyTimeMs)) }

func (q *Quota) writeHolderKey(w *strings.Builder, limit *limitState) {
	fmt.Fprintf(w, "|%v %d %v ", limit.partition, limit.reserved, q.timeUntil(limit.startedAt+q.voteDelay(limit.Kind)))
	fmt.Fprintf(w, "%d %d %d %v ", limit.currentOwner, limit.votedFor, limit.votedEpoch, q.timeUntil(limit.voteEnds))
	ownerTimeAge := min(q.timeSince(limit.ownerTimeAt), q.settings.VoteDuration)
	fmt.Fprintf(w, "%d %v %d %v ", limit.ownerTimeFrom, q.timeSince(limit.ownerTime), limit.ownerEpoch, ownerTimeAge)
	fmt.Fprintf(w, "%d %d %d %v ", limit.sequence-limit.lastTaken, limit.leasedUnits, limit.unitsInUse, q.timeUntil(limit.leaseEnds))
	fmt.Fprintf(w, "%v %v %v %v ", limit.demand, limit.reportedDemand, q.timeUntil(limit.nextRequest), limit.urgent)
	for _, r := range limit.requests {
		if r.sequence > limit.lastTaken && q.now-r.sentAt < q.settings.LeaseDuration {
			fmt.Fprintf(w, "a%d %v %v ", limit.sequence-r.sequence, q.timeSince(r.sentAt), r.vote)
		}
	}
}

func (q *Quota) writeOwnerKey(w *strings.Builder, limit *limitState, last func(ID) uint32) {
	state := &limit.ownership
	fmt.Fprintf(w, "o%d %v %v ", state.epoch, q.timeUntil(state.ends), state.active)
	fmt.Fprintf(w, "%d %v ", state.unaccounted, q.timeUntil(state.unaccountedUntil))
	fmt.Fprintf(w, "%v %v %v ", state.planNeeded, q.timeUntil(state.nextPlan), q.timeUntil(state.nextElection))
	for _, peer := range state.holders {
		n := last(peer.id)
		fmt.Fprintf(w, "b%d %d %v %v ", peer.id, n-peer.sequence, q.timeUntil(peer.voteEnds), peer.demand)
		fmt.Fprintf(w, "%v %d %v ", peer.adopted, peer.claimedUnits, q.timeUntil(peer.claimEnds))
		fmt.Fprintf(w, "%d %v %d ", peer.confirmedUnits, q.timeUntil(peer.confirmedEnds), n-peer.confirmedSequence)
		fmt.Fprintf(w, "%d %.3f %v ", peer.target, peer.deficit, min(q.settings.UrgentInterval, q.timeSince(peer.recalledAt)))
		for _, g := range peer.grants {
			fmt.Fprintf(w, "p%d %d %v ", n-g.sequence, g.units, q.timeUntil(g.ends))
		}
	}
}

// LastSequence returns the number of the last request for a limit.
func (q *Quota) LastSequence(name string) uint32 {
	if limit := q.limitByName(name); limit != nil {
		return limit.sequence
	}
	return 0
}

// Usable returns how much of a limit may be used at time now, if no event is handled before.
func (q *Quota) Usable(name string, now float64) float64 {
	limit := q.limitByName(name)
	if limit == nil || q.hasLeft {
		return 0
	}
	units := limit.reserved
	if limit.Kind == Concurrency && now < limit.startedAt+q.voteDelay(limit.Kind) {
		units = 0
	}
	if now < limit.leaseEnds {
		units += limit.leasedUnits
	}
	amount, _ := limit.unitsAllowance(&limit.partition, units)
	return amount
}

// RestartLease makes the lease in the answer to a request count from now. It is a fault injection that tests whether a model checker finds
// it.
func (q *Quota) RestartLease(hash uint64, sequence uint32) {
	limit := q.byHash[hash]
	if limit == nil {
		return
	}
	for i := range limit.requests {
		if limit.requests[i].sequence == sequence {
			limit.requests[i].sentAt = q.now
		}
	}
}
