package quota

import (
	"fmt"
	"slices"

	"beechgrade/internal/invariant"
)

// CheckInvariants has statements about the quota checked, once in so many events.
func (q *Quota) CheckInvariants(c *invariant.Checks, every int) { q.checks, q.checkInterval = c, every }

// checkState makes the statements about all state.
func (q *Quota) checkState(c *invariant.Checks) {
	c.That(len(q.outbox) == 0, "quota: what was put has gone out", func() string { return fmt.Sprintf("%d messages", len(q.outbox)) })
	for _, limit := range q.limits {
		c.That(q.byHash[limit.key] == limit && len(q.byHash) == len(q.limits), "quota: limits are filed", func() string { return limit.Name })
		switch limit.Guarantee {
		case NeverOver:
			q.checkLease(c, limit)
			q.checkOwnership(c, limit)
		case SoonEven:
			c.That(limit.share >= 0 && limit.share <= 1 && limit.higherShare <= 1, "quota: a share is a part", func() string {
				return fmt.Sprintf("%s: %v, to be %v at %v", limit.Name, limit.share, limit.higherShare, limit.higherShareAt)
			})
		}
	}
}

// checkLease is a holder's side: no more than there is, and none of it beyond its time.
func (q *Quota) checkLease(c *invariant.Checks, limit *limitState) {
	state := func() string {
		return fmt.Sprintf("%s: %+v; holds %d until %v, floor %d, in use %d; votes until %v; now %v", limit.Name, limit.partition, limit.leasedUnits, limit.leaseEnds, limit.reserved, limit.unitsInUse, limit.voteEnds, q.now)
	}
	c.That(limit.leasedUnits >= 0 && limit.leasedUnits <= limit.partition.Pool && limit.reserved >= 0 && limit.reserved <= limit.partition.Reserved, "quota: nobody holds more than there is", state)
	c.That(limit.leasedUnits == 0 || q.now < limit.leaseEnds, "quota: no lease outlives its end", state)
	c.That(limit.leasedUnits == 0 || limit.leaseEnds <= q.now+q.settings.LeaseDuration, "quota: a lease counts from its ask", state)
	c.That(limit.unitsInUse >= limit.leasedUnits, "quota: what may be in use is what is held at least", state)
	c.That(limit.voteEnds <= q.now+q.settings.VoteDuration, "quota: a promise counts from its vote", state)
	amount, _ := q.allowance(limit)
	c.That(amount <= limit.Amount*(1+1e-9), "quota: nobody may use more than the limit", state)
	for i, a := range limit.requests {
		c.That(a.sequence <= limit.sequence && (i == 0 || limit.requests[i-1].sequence < a.sequence), "quota: asks are in order", func() string { return fmt.Sprintf("%s: %+v", limit.Name, limit.requests) })
	}
}

// checkOwnership is an owner's side: what is lent is within the pool, by books that are kept of those alone that may hold something.
func (q *Quota) checkOwnership(c *invariant.Checks, limit *limitState) {
	state := &limit.ownership
	describe := func() string {
		s := fmt.Sprintf("%s: pool %d, epoch %d, owns %v until %v, unknown %d until %v, now %v, lent %d:", limit.Name, limit.partition.Pool, state.epoch, state.active, state.ends, state.unaccounted, state.unaccountedUntil, q.now, q.lentUnits(limit))
		for _, peer := range state.holders {
			s += fmt.Sprintf(" %x: %+v", uint64(peer.id), *peer)
		}
		return s
	}
	if state.active && q.now < state.ends {
		c.That(q.lentUnits(limit) <= limit.partition.Pool, "quota: no more is lent than the pool", describe)
	}
	c.That(state.unaccounted >= 0 && state.unaccounted <= limit.partition.Pool, "quota: what is not known is within the pool", describe)
	c.That(!state.active || state.ends <= q.now+q.settings.VoteDuration, "quota: nobody owns beyond what was promised", describe)
	c.That(len(state.holders) == len(state.holderByID) && slices.IsSortedFunc(state.holders, func(a, peer *holder) int {
		if a.id < peer.id {
			return -1
		}
		return 1
	}), "quota: books are in order, each filed once", describe)
	for _, peer := range state.holders {
		c.That(state.holderByID[peer.id] == peer, "quota: books are in order, each filed once", describe)
		c.That(len(peer.grants) <= maxGrants && peer.confirmedUnits >= 0 && peer.voteEnds <= q.now+q.settings.VoteDuration, "quota: a book's figures are ones that can be", describe)
		for _, p := range peer.grants {
			c.That(p.units >= 0 && p.ends <= q.now+q.settings.leaseRetention(limit.Kind), "quota: a book's figures are ones that can be", describe)
		}
		c.That(!q.isExpired(limit, peer, 4*q.settings.TickInterval), "quota: no book is kept of one that has gone", describe)
	}
}
