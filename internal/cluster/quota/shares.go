package quota

import "slices"

// handleShareRequest answers a request for a SoonEven limit as the owner, with the sender's share.
func (q *Quota) handleShareRequest(limit *limitState, from ID, item *Item) {
	state := &limit.ownership
	peer := state.holderByID[from]
	if peer == nil {
		if len(state.holders) >= MaxPeers {
			return
		}
		peer = &holder{id: from}
		state.holderByID[from] = peer
		state.holders = append(state.holders, peer) // in the order of their first requests
	}
	if item.Sequence <= peer.sequence {
		return
	}
	peer.sequence = item.Sequence
	peer.demand = item.Demand
	peer.lastRequest = q.now
	q.removeStaleDemands(state)
	poolers := len(state.holders)
	total := 0.0
	for _, h := range state.holders {
		total += h.weight(poolers)
	}
	reporting := float64(poolers) / max(float64(poolers), float64(q.sendingPoolers))
	share := reporting * peer.weight(poolers) / total
	q.enqueue(from, LeaseAnswer, Item{LimitHash: limit.key, Sequence: item.Sequence, SoonEven: true, Share: share})
}

func (q *Quota) removeStaleDemands(state *ownership) {
	state.holders = slices.DeleteFunc(state.holders, func(peer *holder) bool {
		stale := q.now-peer.lastRequest >= q.settings.StaleAfter()
		if stale {
			delete(state.holderByID, peer.id)
		}
		return stale
	})
}

// handleShareAnswer accepts a share: a smaller one at once, a larger one after others have had time to reduce theirs.
func (q *Quota) handleShareAnswer(limit *limitState, from ID, item *Item) {
	pending, ok := limit.pendingRequest(item.Sequence)
	if !ok || from != limit.currentOwner || item.Share > 1 {
		return
	}
	limit.lastTaken = item.Sequence
	limit.shareAnsweredAt = pending.sentAt
	if item.Share <= limit.share {
		limit.setShare(item.Share)
		return
	}
	if limit.higherShareAt == 0 {
		limit.higherShareAt = q.now + q.settings.RenewInterval + q.settings.UrgentInterval
	}
	limit.higherShare = item.Share
}

// advanceShare applies a larger share that is due. Without an answer for StaleAfter it sets an equal share.
func (q *Quota) advanceShare(limit *limitState) {
	if limit.higherShareAt > 0 && q.now >= limit.higherShareAt {
		limit.setShare(limit.higherShare)
	}
	if q.now-limit.shareAnsweredAt >= q.settings.StaleAfter() {
		limit.setShare(1 / float64(q.sendingPoolers))
	}
}

func (limit *limitState) setShare(share float64) {
	limit.share = share
	limit.higherShareAt = 0
}
