package quota

import "slices"

// handleShareRequest is the owner's side of an ask about a limit that is soon even.
func (q *Quota) handleShareRequest(limit *limitState, from ID, item *Item) {
	state := &limit.ownership
	peer := state.holderByID[from]
	if peer == nil {
		if len(state.holders) >= MaxPeers {
			return
		}
		peer = &holder{id: from}
		state.holderByID[from] = peer
		state.holders = append(state.holders, peer)
	}
	if item.Sequence <= peer.sequence {
		return
	}
	peer.sequence, peer.demand, peer.lastRequest = item.Sequence, item.Demand, q.now
	state.holders = slices.DeleteFunc(state.holders, func(x *holder) bool {
		if q.now-x.lastRequest < q.settings.StaleAfter() {
			return false
		}
		delete(state.holderByID, x.id)
		return true
	})
	n := float64(len(state.holders))
	total := 0.0
	for _, x := range state.holders {
		total += x.weight(len(state.holders))
	}
	q.enqueue(from, LeaseAnswer, Item{LimitHash: limit.key, Sequence: item.Sequence, SoonEven: true, Share: n / max(n, float64(q.sendingPoolers)) * peer.weight(len(state.holders)) / total})
}

// handleShareAnswer takes a share: less at once, more once others have made room.
func (q *Quota) handleShareAnswer(limit *limitState, from ID, item *Item) {
	a, ok := limit.pendingRequest(item.Sequence)
	if !ok || from != limit.currentOwner || item.Share > 1 {
		return
	}
	limit.lastTaken, limit.shareAnsweredAt = item.Sequence, a.sentAt
	if item.Share <= limit.share {
		limit.share, limit.higherShareAt = item.Share, 0
		return
	}
	if limit.higherShareAt == 0 {
		limit.higherShareAt = q.now + q.settings.RenewInterval + q.settings.UrgentInterval
	}
	limit.higherShare = item.Share
}

// advanceShare lets a share grow, and gives it up where nobody has answered.
func (q *Quota) advanceShare(limit *limitState) {
	if limit.higherShareAt > 0 && q.now >= limit.higherShareAt {
		limit.share, limit.higherShareAt = limit.higherShare, 0
	}
	if q.now-limit.shareAnsweredAt >= q.settings.StaleAfter() {
		limit.share, limit.higherShareAt = 1/float64(q.sendingPoolers), 0
	}
}
