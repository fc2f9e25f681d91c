package quota

import "math"

const (
	maxRequests   = 64   // the latest requests, whose answers are still accepted
	demandChange  = 0.1  // a demand that differs from the reported one by this fraction, and by a unit, is reported soon...
	smallDemand   = 0.01 // ...if the difference is more than this fraction of the limit, or the limit is of concurrent uses
	maxDemand     = 1e3  // as a multiple of the limit
	minAmount     = 1e-9
	voteFreshness = 0.5 // maximum age of the owner's last answer for another vote, as a fraction of VoteDuration
)

// request is a sent request whose answer may still arrive.
type request struct {
	sequence uint32
	sentAt   float64
	vote     bool
}

// updateDemand records this pooler's demand for a limit, and its use.
func (q *Quota) updateDemand(event Demand) {
	limit := q.limitByName(event.Limit)
	if limit == nil || !finite(event.Wanted) || !finite(event.Used) {
		return
	}
	limit.demand = min(maxDemand, event.Wanted/max(minAmount, limit.Amount))
	if limit.Kind == Concurrency {
		limit.unitsInUse = max(limit.leasedUnits, int(event.Used)-limit.reserved)
	}
	if limit.demandChanged() {
		limit.urgent = true
	}
}

// demandChanged reports whether the demand differs enough from the reported one to be reported soon.
func (limit *limitState) demandChanged() bool {
	change := math.Abs(limit.demand - limit.reportedDemand)
	if change <= demandChange*limit.reportedDemand || change*float64(limit.partition.Units) < 1 {
		return false
	}
	return change > smallDemand || limit.Kind == Concurrency
}

// requestDue reports whether a request is to be sent now.
func (q *Quota) requestDue(limit *limitState) bool {
	if q.now >= limit.nextRequest {
		return true
	}
	return limit.urgent && q.now >= limit.nextRequest-q.settings.RenewInterval+q.settings.UrgentInterval
}

// sendRequest reports this process's demand to the owner, and votes for the owner if it may. The vote reports the units in use.
func (q *Quota) sendRequest(limit *limitState) {
	limit.nextRequest = q.now + q.settings.RenewInterval
	limit.urgent = false
	limit.reportedDemand = limit.demand
	limit.sequence++
	item := Item{
		LimitHash: limit.key, Sequence: limit.sequence, Demand: limit.demand, LastTaken: limit.lastTaken,
		Pool: limit.partition.Pool, SoonEven: limit.Guarantee == SoonEven,
	}
	if limit.Guarantee == NeverOver && q.mayVote(limit) {
		limit.votedFor, limit.votedEpoch = limit.currentOwner, limit.ownerEpoch
		limit.voteEnds = q.now + q.settings.VoteDuration
		item.Vote = true
		item.Epoch = limit.votedEpoch
		item.OwnerTime = limit.ownerTime
		item.UnitsInUse = limit.unitsInUse
		item.RemainingMs = max(0, limit.leaseEnds-q.now)
	}
	limit.requests = append(limit.requests, request{limit.sequence, q.now, item.Vote})
	if len(limit.requests) > maxRequests {
		limit.requests = append(limit.requests[:0], limit.requests[1:]...)
	}
	q.enqueue(limit.currentOwner, LeaseRequest, item)
}

// mayVote reports whether this process may vote for the current owner: the owner's last answer is recent, no vote for another owner binds
// this process, and votes of a previous incarnation have expired.
func (q *Quota) mayVote(limit *limitState) bool {
	fresh := limit.ownerTimeFrom == limit.currentOwner && q.now-limit.ownerTimeAt <= voteFreshness*q.settings.VoteDuration
	unbound := limit.votedFor == limit.currentOwner || q.now >= limit.voteEnds
	return fresh && unbound && q.now >= limit.startedAt+q.voteDelay(limit.Kind)
}

// voteDelay returns how long a process does not vote after its start, as its previous incarnation may have voted, and uses that it admitted
// may continue.
func (q *Quota) voteDelay(kind Kind) float64 {
	if kind == Concurrency {
		return q.settings.LocalWait(max(q.settings.VoteDuration, q.settings.UseTimeout))
	}
	return q.settings.LocalWait(q.settings.VoteDuration)
}

// pendingRequest returns the request that an answer is for. ok is false if the answer is not newer than the last accepted one.
func (limit *limitState) pendingRequest(sequence uint32) (pending request, ok bool) {
	for _, r := range limit.requests {
		if r.sequence == sequence && sequence > limit.lastTaken {
			return r, true
		}
	}
	return request{}, false
}

// handleLeaseAnswer takes over the owner's time, and the lease if the answer has one.
func (q *Quota) handleLeaseAnswer(limit *limitState, from ID, item *Item) {
	pending, ok := limit.pendingRequest(item.Sequence)
	if !ok || from != limit.currentOwner && from != limit.votedFor {
		return
	}
	if from == limit.currentOwner {
		limit.takeOwnerTime(from, item, pending.sentAt)
	}
	boundToSender := from == limit.votedFor && item.Epoch == limit.votedEpoch
	if item.Vote && pending.vote && boundToSender && item.Pool == limit.partition.Pool {
		q.takeLease(limit, item, pending.sentAt)
	}
}

// takeOwnerTime takes over the owner's epoch and time, which this process needs to vote for it.
func (limit *limitState) takeOwnerTime(from ID, item *Item, sentAt float64) {
	if limit.ownerTimeFrom == from && item.OwnerTime <= limit.ownerTime {
		return
	}
	if limit.ownerTimeFrom != from || limit.ownerEpoch != item.Epoch {
		limit.urgent = true // there is a new epoch to vote for
	}
	limit.ownerTimeFrom = from
	limit.ownerTime = item.OwnerTime
	limit.ownerEpoch = item.Epoch
	limit.ownerTimeAt = sentAt
}

// takeLease accepts a lease, whose duration counts from the sending of the request.
func (q *Quota) takeLease(limit *limitState, item *Item, sentAt float64) {
	limit.lastTaken = item.Sequence
	if item.AllAccounted {
		limit.reserved = limit.partition.Reserved
	}
	limit.leasedUnits = item.Units
	limit.leaseEnds = sentAt + q.settings.LeaseDuration
	if q.now >= limit.leaseEnds {
		limit.leasedUnits = 0
	}
	if limit.Kind == Concurrency {
		limit.unitsInUse = max(limit.unitsInUse, limit.leasedUnits)
	} else {
		limit.unitsInUse = limit.leasedUnits
	}
}
