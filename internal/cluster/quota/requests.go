package quota

import "math"

func (q *Quota) updateDemand(e Demand) {
	limit := q.limitByName(e.Limit)
	if limit == nil || !finite(e.Wanted) || !finite(e.Used) {
		return
	}
	limit.demand = min(1e3, e.Wanted/max(1e-9, limit.Amount))
	if limit.Kind == Concurrency {
		limit.unitsInUse = max(limit.leasedUnits, int(e.Used)-limit.reserved)
	}
	if d := math.Abs(limit.demand - limit.reportedDemand); d > demandChange*limit.reportedDemand && d*float64(limit.partition.Units) >= 1 && (d > smallDemand || limit.Kind == Concurrency) {
		limit.urgent = true
	}
}

// advance does what time brings.
func (q *Quota) advance() {
	for _, limit := range q.limits {
		if limit.Guarantee == SoonEven {
			q.advanceShare(limit)
		}
		if limit.Guarantee == FixedShare {
			continue
		}
		if q.now >= limit.nextRequest || limit.urgent && q.now >= limit.nextRequest-q.settings.RenewInterval+q.settings.UrgentInterval {
			q.sendRequest(limit)
		}
		if limit.Guarantee == NeverOver {
			q.updateOwnership(limit)
		}
	}
}

// sendRequest tells the owner of this process's demand, votes for it where that may be, and says what it holds.
func (q *Quota) sendRequest(limit *limitState) {
	limit.nextRequest, limit.urgent, limit.reportedDemand = q.now+q.settings.RenewInterval, false, limit.demand
	limit.sequence++
	item := Item{LimitHash: limit.key, Sequence: limit.sequence, Demand: limit.demand, LastTaken: limit.lastTaken, Pool: limit.partition.Pool, SoonEven: limit.Guarantee == SoonEven}
	if limit.Guarantee == NeverOver {
		fresh := limit.ownerTimeFrom == limit.currentOwner && q.now-limit.ownerTimeAt <= voteFreshness*q.settings.VoteDuration
		free := limit.votedFor == limit.currentOwner || q.now >= limit.voteEnds
		if fresh && free && q.now >= limit.startedAt+q.voteDelay(limit.Kind) {
			if limit.votedFor != limit.currentOwner || limit.votedEpoch != limit.ownerEpoch {
				limit.votedFor, limit.votedEpoch = limit.currentOwner, limit.ownerEpoch
			}
			limit.voteEnds = q.now + q.settings.VoteDuration
			item.Vote, item.Epoch, item.OwnerTime, item.UnitsInUse = true, limit.votedEpoch, limit.ownerTime, limit.unitsInUse
			item.RemainingMs = max(0, limit.leaseEnds-q.now)
		}
	}
	limit.requests = append(limit.requests, request{limit.sequence, q.now, item.Vote})
	if len(limit.requests) > maxRequests {
		limit.requests = append(limit.requests[:0], limit.requests[1:]...)
	}
	q.enqueue(limit.currentOwner, LeaseRequest, item)
}

// voteDelay is how long a process that has begun does not vote: its last life may have promised, and what it let in may go on.
func (q *Quota) voteDelay(k Kind) float64 {
	if k == Concurrency {
		return q.settings.LocalWait(max(q.settings.VoteDuration, q.settings.UseTimeout))
	}
	return q.settings.LocalWait(q.settings.VoteDuration)
}

// enqueue has an item go to a process, with others that go there.
func (q *Quota) enqueue(to ID, v MessageKind, item Item) {
	for _, message := range q.outbox {
		if message.To == to && message.Kind == v && len(message.Items) < MaxItems {
			message.Items = append(message.Items, item)
			return
		}
	}
	q.outbox = append(q.outbox, &Message{Kind: v, From: q.self, To: to, Items: []Item{item}})
}

// flush sends what was put. What is for this process itself is told at once.
func (q *Quota) flush() {
	for len(q.outbox) > 0 {
		message := q.outbox[0]
		q.outbox = q.outbox[1:]
		if message.To == q.self {
			q.handleMessage(message)
		} else if a := q.addresses[message.To]; a != "" {
			q.actions = append(q.actions, Action{Kind: Send, Addr: a, Message: message})
		}
	}
	q.outbox = nil
}

func (q *Quota) handleMessage(message *Message) {
	if message.To != q.self || message.Kind > LeaseRecall || len(message.Items) > MaxItems {
		return
	}
	for i := range message.Items {
		item := &message.Items[i]
		limit := q.byHash[item.LimitHash]
		if limit == nil || item.SoonEven != (limit.Guarantee == SoonEven) || limit.Guarantee == FixedShare || !item.valid() {
			continue
		}
		switch message.Kind {
		case LeaseRequest:
			if item.SoonEven {
				q.handleShareRequest(limit, message.From, item)
			} else {
				q.handleLeaseRequest(limit, message.From, item)
			}
		case LeaseAnswer:
			if item.SoonEven {
				q.handleShareAnswer(limit, message.From, item)
			} else {
				q.handleLeaseAnswer(limit, message.From, item)
			}
		case LeaseRecall:
			if !item.SoonEven && message.From == limit.votedFor && item.Epoch == limit.votedEpoch {
				limit.reduceTo(item.Units)
				limit.urgent = true
			}
		}
	}
}

func (item *Item) valid() bool {
	return finite(item.OwnerTime) && finite(item.RemainingMs) && finite(item.Demand) && finite(item.Share) && min(item.UnitsInUse, item.Units, item.Pool) >= 0 &&
		max(item.UnitsInUse, item.Units, item.Pool) <= MaxUnits*256
}

// pendingRequest finds the ask that an answer is to; each is answered once.
func (limit *limitState) pendingRequest(seq uint32) (request, bool) {
	for _, a := range limit.requests {
		if a.sequence == seq && seq > limit.lastTaken {
			return a, true
		}
	}
	return request{}, false
}

// handleLeaseAnswer takes what an owner lends.
func (q *Quota) handleLeaseAnswer(limit *limitState, from ID, item *Item) {
	a, ok := limit.pendingRequest(item.Sequence)
	if !ok || from != limit.currentOwner && from != limit.votedFor {
		return
	}
	if from == limit.currentOwner && (limit.ownerTimeFrom != from || item.OwnerTime > limit.ownerTime) {
		if limit.ownerTimeFrom != from || limit.ownerEpoch != item.Epoch {
			limit.urgent = true // it can be voted for now
		}
		limit.ownerTimeFrom, limit.ownerTime, limit.ownerEpoch, limit.ownerTimeAt = from, item.OwnerTime, item.Epoch, a.sentAt
	}
	if !item.Vote || !a.vote || from != limit.votedFor || item.Epoch != limit.votedEpoch || item.Pool != limit.partition.Pool {
		return
	}
	if limit.lastTaken = item.Sequence; item.AllAccounted {
		limit.reserved = limit.partition.Reserved
	}
	limit.leasedUnits, limit.leaseEnds = item.Units, a.sentAt+q.settings.LeaseDuration
	if q.now >= limit.leaseEnds {
		limit.leasedUnits = 0
	}
	if limit.Kind == Concurrency {
		limit.unitsInUse = max(limit.unitsInUse, limit.leasedUnits)
	} else {
		limit.unitsInUse = limit.leasedUnits
	}
}
