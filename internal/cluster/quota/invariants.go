package quota

import (
	"cmp"
	"fmt"
	"slices"

	"beechgrade/internal/invariant"
)

// expiredTicks is the number of ticks within which the account of an expired holder must be closed.
const expiredTicks = 4

// CheckInvariants makes the Quota check its invariants once every interval events.
func (q *Quota) CheckInvariants(checks *invariant.Checks, interval int) {
	q.checks, q.checkInterval = checks, interval
}

// checkState checks the invariants of the whole state.
func (q *Quota) checkState(checks *invariant.Checks) {
	checks.That(len(q.outbox) == 0, "quota: all enqueued messages were sent", func() string { return fmt.Sprintf("%d messages", len(q.outbox)) })
	for _, limit := range q.limits {
		indexed := q.byHash[limit.key] == limit && len(q.byHash) == len(q.limits)
		checks.That(indexed, "quota: limits are indexed by their hash", func() string { return limit.Name })
		switch limit.Guarantee {
		case NeverOver:
			q.checkLease(checks, limit)
			q.checkOwnership(checks, limit)
		case SoonEven:
			inRange := limit.share >= 0 && limit.share <= 1 && limit.higherShare <= 1
			checks.That(inRange, "quota: a share is between 0 and the whole limit", func() string {
				return fmt.Sprintf("%s: share %v, %v from %v on", limit.Name, limit.share, limit.higherShare, limit.higherShareAt)
			})
		}
	}
}

// checkLease checks the state of a holder.
func (q *Quota) checkLease(checks *invariant.Checks, limit *limitState) {
	describe := func() string {
		return fmt.Sprintf("%s: %+v; holds %d until %v, reserved %d, in use %d; votes until %v; now %v",
			limit.Name, limit.partition, limit.leasedUnits, limit.leaseEnds, limit.reserved, limit.unitsInUse, limit.voteEnds, q.now)
	}
	leaseInPool := limit.leasedUnits >= 0 && limit.leasedUnits <= limit.partition.Pool
	reservedInPartition := limit.reserved >= 0 && limit.reserved <= limit.partition.Reserved
	checks.That(leaseInPool && reservedInPartition, "quota: a lease is within the pool", describe)
	noLease := limit.leasedUnits == 0
	checks.That(noLease || q.now < limit.leaseEnds, "quota: no lease is used after its end", describe)
	checks.That(noLease || limit.leaseEnds <= q.now+q.settings.LeaseDuration, "quota: a lease ends at most LeaseDuration from now", describe)
	checks.That(limit.unitsInUse >= limit.leasedUnits, "quota: leased units count as in use", describe)
	checks.That(limit.voteEnds <= q.now+q.settings.VoteDuration, "quota: a vote ends at most VoteDuration from now", describe)
	amount, _ := q.allowance(limit)
	checks.That(amount <= limit.Amount*(1+roundingSlack), "quota: an allowance is within the limit", describe)
	for i, r := range limit.requests {
		inOrder := r.sequence <= limit.sequence && (i == 0 || limit.requests[i-1].sequence < r.sequence)
		checks.That(inOrder, "quota: requests are in order", func() string { return fmt.Sprintf("%s: %+v", limit.Name, limit.requests) })
	}
}

// checkOwnership checks the state of an owner.
func (q *Quota) checkOwnership(checks *invariant.Checks, limit *limitState) {
	state := &limit.ownership
	describe := func() string { return q.describeOwnership(limit) }
	if state.active && q.now < state.ends {
		checks.That(q.leasedUnits(limit) <= limit.partition.Pool, "quota: no more is leased than the pool", describe)
	}
	inPool := state.unaccounted >= 0 && state.unaccounted <= limit.partition.Pool
	checks.That(inPool, "quota: unaccounted units are within the pool", describe)
	checks.That(!state.active || state.ends <= q.now+q.settings.VoteDuration, "quota: an ownership ends at most VoteDuration from now", describe)

	const (
		holdersIndexed = "quota: holders are in order, each indexed once"
		numbersInRange = "quota: the numbers of a holder's account are in their ranges"
	)
	inOrder := slices.IsSortedFunc(state.holders, func(a, b *holder) int { return cmp.Compare(a.id, b.id) })
	checks.That(inOrder && len(state.holders) == len(state.holderByID), holdersIndexed, describe)
	for _, peer := range state.holders {
		checks.That(state.holderByID[peer.id] == peer, holdersIndexed, describe)
		inRange := len(peer.grants) <= maxGrants && peer.confirmedUnits >= 0 && peer.voteEnds <= q.now+q.settings.VoteDuration
		checks.That(inRange, numbersInRange, describe)
		for _, g := range peer.grants {
			checks.That(g.units >= 0 && g.ends <= q.now+q.settings.leaseRetention(limit.Kind), numbersInRange, describe)
		}
		checks.That(!q.isExpired(limit, peer, expiredTicks*q.settings.TickInterval), "quota: the accounts of expired holders are closed", describe)
	}
}

func (q *Quota) describeOwnership(limit *limitState) string {
	state := &limit.ownership
	text := fmt.Sprintf("%s: pool %d, epoch %d, owns %v until %v, unaccounted %d until %v, now %v, leased %d:", limit.Name,
		limit.partition.Pool, state.epoch, state.active, state.ends, state.unaccounted, state.unaccountedUntil, q.now, q.leasedUnits(limit))
	for _, peer := range state.holders {
		text += fmt.Sprintf(" %x: %+v", uint64(peer.id), *peer)
	}
	return text
}
