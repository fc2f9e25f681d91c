package quota

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

type ownership struct {
	epoch            uint32
	ends             float64 // it may lend before then
	active           bool
	unaccounted      int
	unaccountedUntil float64
	holders          []*holder // by ID
	holderByID       map[ID]*holder
	planNeeded       bool
	plannedAt        float64
	nextElection     float64
}

type holder struct {
	id                ID
	sequence          uint32
	voteEnds          float64
	demand            float64
	lastRequest       float64 // of the last ask
	adopted           bool
	claimedUnits      int
	claimEnds         float64 // the claim's
	confirmedUnits    int
	confirmedEnds     float64
	confirmedSequence uint32
	grants            []grant
	target            int
	deficit           float64
	recalledAt        float64
}

type grant struct {
	sequence uint32
	units    int
	ends     float64
}

func (q *Quota) updateMembers(e MembersChanged) {
	q.peers = e.Peers[:min(len(e.Peers), MaxPeers)]
	q.sendingPoolers = max(1, e.SendingPoolers)
	clear(q.addresses)
	for _, p := range q.peers {
		q.addresses[p.ID] = p.Addr
	}
	for _, limit := range q.limits {
		if b := q.ownerOf(limit); b != limit.currentOwner {
			limit.currentOwner, limit.urgent = b, true
		}
	}
}

// ownerOf is whom a limit's asks go to.
func (q *Quota) ownerOf(limit *limitState) ID { return selectOwner(limit.key, q.self, q.peers) }

func selectOwner(key uint64, self ID, peers []Peer) (best ID) {
	best = self
	most := uint64(0)
	for _, p := range peers {
		if s := rendezvousScore(key, p.ID); !p.Draining && (s > most || s == most && p.ID > best) {
			best, most = p.ID, s
		}
	}
	return best
}

// OwnerOf is who lends a limit of a name where these processes can all be reached: the first by a hash of the name and the process.
func OwnerOf(limit string, peers []Peer) ID {
	return selectOwner((&Limit{Name: limit}).hash(), 0, peers)
}

func rendezvousScore(key uint64, id ID) uint64 {
	var b [16]byte
	for i := range 8 {
		b[i], b[8+i] = byte(key>>(8*i)), byte(id>>(8*i))
	}
	return xxhash.Sum64(b[:])
}

// restartOwnership makes an owner start anew: with nothing known, and a higher epoch.
func (q *Quota) restartOwnership(limit *limitState) {
	limit.ownership = ownership{epoch: limit.ownership.epoch + 1, holderByID: map[ID]*holder{}}
}

// handleLeaseRequest is the owner's side of an ask.
func (q *Quota) handleLeaseRequest(limit *limitState, from ID, item *Item) {
	state := &limit.ownership
	q.updateOwnership(limit)
	peer := state.holderByID[from]
	if peer == nil {
		if len(state.holders) >= MaxPeers {
			return
		}
		peer = &holder{id: from}
		state.holderByID[from] = peer
		i, _ := slices.BinarySearchFunc(state.holders, from, func(peer *holder, id ID) int { return cmp.Compare(peer.id, id) })
		state.holders = slices.Insert(state.holders, i, peer)
	}
	if item.Sequence <= peer.sequence { // overtaken, or come twice
		return
	}
	peer.sequence, peer.lastRequest = item.Sequence, q.now
	re := Item{LimitHash: limit.key, Sequence: item.Sequence, Epoch: state.epoch, OwnerTime: q.now, Pool: limit.partition.Pool}
	if item.Vote && item.Epoch == state.epoch && item.OwnerTime <= q.now && item.Pool == limit.partition.Pool {
		peer.voteEnds = max(peer.voteEnds, item.OwnerTime+q.settings.VoteDuration*(1-q.settings.ClockDrift)/(1+q.settings.ClockDrift))
		peer.claimedUnits, peer.claimEnds = item.UnitsInUse, item.OwnerTime+item.RemainingMs*(1-q.settings.ClockDrift)/(1+q.settings.ClockDrift)
		if peer.demand != item.Demand {
			peer.demand, state.planNeeded = item.Demand, true
		}
		q.updateOwnership(limit)
		had := peer.outstandingUnits(q.now)
		if peer.confirmTaken(item); peer.outstandingUnits(q.now) < had { // there may be something for who is short
			state.planNeeded = true
		}
		if state.active {
			q.adoptClaim(limit, peer)
		}
		if state.active && peer.adopted {
			q.planTargets(limit)
			re.Vote, re.Units = true, q.grantUnits(limit, peer, item.Sequence)
			re.AllAccounted = q.now >= state.unaccountedUntil
		}
	}
	q.enqueue(from, LeaseAnswer, re)
}

// confirmTaken takes a process's word on what it took last: older answers are never taken any more.
func (peer *holder) confirmTaken(item *Item) {
	if !peer.adopted {
		return
	}
	kept := peer.grants[:0]
	for _, p := range peer.grants {
		switch {
		case p.sequence > item.LastTaken:
			kept = append(kept, p)
		case p.sequence == item.LastTaken:
			peer.confirmedEnds, peer.confirmedSequence = p.ends, p.sequence
		}
	}
	peer.grants = kept
	if item.LastTaken == peer.confirmedSequence {
		peer.confirmedUnits = item.UnitsInUse
	}
}

// updateOwnership brings an owner's right up to date: it lasts as long as more than half have promised.
func (q *Quota) updateOwnership(limit *limitState) {
	state := &limit.ownership
	if state.active && q.now >= state.ends {
		q.restartOwnership(limit)
		state = &limit.ownership
	}
	if q.now >= state.nextElection || !state.active || state.ends-q.now < q.settings.VoteDuration/2 {
		state.nextElection = q.now + 2*q.settings.TickInterval
		q.removeExpiredHolders(limit)
		ends := make([]float64, 0, len(state.holders))
		for _, peer := range state.holders {
			if peer.voteEnds > q.now {
				ends = append(ends, peer.voteEnds)
			}
		}
		most := q.settings.ExpectedPoolers/2 + 1
		if len(ends) >= most {
			slices.Sort(ends)
			state.ends = max(state.ends, ends[len(ends)-most])
			if !state.active {
				state.active, state.unaccounted, state.unaccountedUntil = true, limit.partition.Pool, q.now+q.settings.leaseRetention(limit.Kind)
				state.planNeeded = true
				for _, peer := range state.holders {
					q.adoptClaim(limit, peer)
				}
			}
		}
	}
	if !state.active {
		return
	}
	if state.unaccounted > 0 && q.now >= state.unaccountedUntil {
		state.unaccounted, state.planNeeded = 0, true
	}
	if state.unaccounted > 0 && q.allHoldersKnown(limit) {
		state.unaccounted, state.planNeeded = 0, true
	}
	q.planTargets(limit)
}

// isExpired tells that a process is not there and, for so long at least, can have held nothing: of its last words none would be taken.
func (q *Quota) isExpired(limit *limitState, peer *holder, ms float64) bool {
	_, here := q.addresses[peer.id]
	return !here && peer.id != q.self && q.now-ms >= peer.voteEnds+q.settings.leaseRetention(limit.Kind) && q.now-ms >= peer.lastRequest+q.settings.leaseRetention(limit.Kind) && peer.outstandingUnits(q.now-ms) == 0
}

// removeExpiredHolders closes the books of those that have gone: each start of a process is another, and they would fill up.
func (q *Quota) removeExpiredHolders(limit *limitState) {
	limit.ownership.holders = slices.DeleteFunc(limit.ownership.holders, func(peer *holder) bool {
		gone := q.isExpired(limit, peer, 0)
		if gone {
			delete(limit.ownership.holderByID, peer.id)
		}
		return gone
	})
}

// allHoldersKnown tells whether every process that can hold something has said so, and is bound to this owner.
func (q *Quota) allHoldersKnown(limit *limitState) bool {
	n := 0
	for _, peer := range limit.ownership.holders {
		if peer.adopted && peer.voteEnds > q.now {
			n++
		}
	}
	return n >= q.settings.ExpectedPoolers
}

// adoptClaim takes into the books what a process holds of an older owner, where that is surely so still.
func (q *Quota) adoptClaim(limit *limitState, peer *holder) {
	state := &limit.ownership
	if peer.adopted || peer.voteEnds <= q.now {
		return
	}
	switch {
	case peer.claimedUnits == 0:
	case q.now < peer.claimEnds && peer.claimedUnits <= state.unaccounted:
		state.unaccounted -= peer.claimedUnits
		peer.confirmedUnits, peer.confirmedEnds = peer.claimedUnits, q.now+q.settings.leaseRetention(limit.Kind)
	case state.unaccounted == 0 && q.now >= state.unaccountedUntil:
	default:
		return
	}
	peer.adopted, peer.confirmedSequence, peer.target = true, math.MaxUint32, peer.outstandingUnits(q.now) // until there is a plan it keeps what it has
	state.planNeeded = true
}

// outstandingUnits is the most that a process can come to hold.
func (peer *holder) outstandingUnits(now float64) int {
	n := 0
	if now < peer.confirmedEnds {
		n = peer.confirmedUnits
	}
	for _, p := range peer.grants {
		if now < p.ends {
			n = max(n, p.units)
		}
	}
	return n
}

func (q *Quota) lentUnits(limit *limitState) int {
	n := limit.ownership.unaccounted
	for _, peer := range limit.ownership.holders {
		n += peer.outstandingUnits(q.now)
	}
	return n
}

// grantUnits gives a process what it is to have, as far as that is there.
func (q *Quota) grantUnits(limit *limitState, peer *holder, seq uint32) int {
	has := peer.outstandingUnits(q.now)
	n := max(0, min(peer.target, has+max(0, limit.partition.Pool-q.lentUnits(limit))))
	if len(peer.grants) >= maxGrants { // the two oldest are kept as one that is taken for the later
		peer.grants[1].units, peer.grants[1].ends = max(peer.grants[0].units, peer.grants[1].units), max(peer.grants[0].ends, peer.grants[1].ends)
		peer.grants = append(peer.grants[:0], peer.grants[1:]...)
	}
	books := n
	if limit.Kind == Concurrency { // what is in use beyond it goes on for as long as this answer's lease does
		books = max(n, has)
	}
	peer.grants = append(peer.grants, grant{seq, books, q.now + q.settings.leaseRetention(limit.Kind)})
	return n
}

// planTargets says what each process is to have: by its demand, whole units; what is left over goes round by turns. Who has too much is told to
// give back, and who has too little to ask again once there is something.
func (q *Quota) planTargets(limit *limitState) {
	state := &limit.ownership
	if !state.active || q.now < state.plannedAt || !state.planNeeded && q.now < state.plannedAt+q.settings.RenewInterval-q.settings.TickInterval {
		return
	}
	turns := (q.now - state.plannedAt + q.settings.TickInterval) / (2 * q.settings.RenewInterval)
	state.planNeeded, state.plannedAt = false, q.now+q.settings.TickInterval
	live := make([]*holder, 0, len(state.holders))
	total, left := 0.0, limit.partition.Pool-state.unaccounted // what one that has gone may hold is nobody's until its lease is over
	for _, peer := range state.holders {
		peer.target = 0
		if peer.adopted && peer.voteEnds > q.now {
			live = append(live, peer)
			total += peer.weight(q.settings.ExpectedPoolers)
		} else {
			left -= peer.outstandingUnits(q.now)
		}
	}
	left = max(0, left)
	pool := float64(left)
	for _, peer := range live {
		part := pool * peer.weight(q.settings.ExpectedPoolers) / total
		peer.target = int(part + 1e-9)
		peer.deficit = max(-float64(limit.partition.Pool), min(float64(limit.partition.Pool), peer.deficit+(part-float64(peer.outstandingUnits(q.now)))*min(1, turns)))
		left -= peer.target
	}
	slices.SortStableFunc(live, func(a, peer *holder) int {
		// By what each is owed; a unit that one has is kept for a turn.
		return cmp.Or(cmp.Compare(peer.priority(q.now), a.priority(q.now)), cmp.Compare(a.id, peer.id))
	})
	for _, peer := range live {
		if left > 0 && peer.demand > 0 {
			peer.target++
			left--
		}
	}
	for _, peer := range live {
		if left > 0 {
			peer.target++
			left--
		}
	}
	free := limit.partition.Pool - q.lentUnits(limit)
	short := false
	for _, peer := range live {
		short = short || peer.outstandingUnits(q.now) < peer.target
	}
	for _, peer := range live {
		has := peer.outstandingUnits(q.now)
		near := 0 // of fine units, what is about right is left until the next ask
		if limit.Kind != Concurrency {
			near = max(peer.target/10, limit.partition.Pool/200)
		}
		if q.now >= peer.recalledAt+q.settings.UrgentInterval && (short && has > peer.target+near || free > 0 && has < peer.target-near) {
			peer.recalledAt = q.now
			q.enqueue(peer.id, LeaseRecall, Item{LimitHash: limit.key, Epoch: state.epoch, Units: peer.target, Pool: limit.partition.Pool})
		}
	}
}

func (peer *holder) weight(n int) float64 { return peer.demand + idleWeight/float64(n) }

func (peer *holder) priority(now float64) float64 {
	if peer.outstandingUnits(now) > peer.target {
		return peer.deficit + 1
	}
	return peer.deficit
}
