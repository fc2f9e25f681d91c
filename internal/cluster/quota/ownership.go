package quota

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ownership is the state of a limit's owner, or of a process that may become it.
type ownership struct {
	epoch            uint32
	active           bool    // a majority has voted for this process, until ends
	ends             float64 // ms
	unaccounted      int     // units of the pool that an earlier owner may have leased, until unaccountedUntil
	unaccountedUntil float64
	holders          []*holder // by ID
	holderByID       map[ID]*holder
	planNeeded       bool
	nextPlan         float64 // the earliest time of the next plan, a tick after the last one
	nextElection     float64
}

// updateMembers takes over the reachable processes, and determines the limits' owners again.
func (q *Quota) updateMembers(event MembersChanged) {
	q.peers = event.Peers[:min(len(event.Peers), MaxPeers)]
	q.sendingPoolers = max(1, event.SendingPoolers)
	clear(q.addresses)
	for _, peer := range q.peers {
		q.addresses[peer.ID] = peer.Addr
	}
	for _, limit := range q.limits {
		if owner := q.ownerOf(limit); owner != limit.currentOwner {
			limit.currentOwner = owner
			limit.urgent = true
		}
	}
}

// ownerOf returns the process to which requests for a limit are sent.
func (q *Quota) ownerOf(limit *limitState) ID { return selectOwner(limit.key, q.self, q.peers) }

// selectOwner returns the peer that rendezvous hashing selects among those that are not draining; self if there is none.
func selectOwner(key uint64, self ID, peers []Peer) ID {
	best := self
	highest := uint64(0)
	for _, peer := range peers {
		score := rendezvousScore(key, peer.ID)
		better := score > highest || score == highest && peer.ID > best
		if !peer.Draining && better {
			best = peer.ID
			highest = score
		}
	}
	return best
}

// OwnerOf returns the owner of the limit with a name if all these processes can be reached.
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

// restartOwnership ends an ownership. The next one has a higher epoch and no holders.
func (q *Quota) restartOwnership(limit *limitState) {
	limit.ownership = ownership{epoch: limit.ownership.epoch + 1, holderByID: map[ID]*holder{}}
}

// handleLeaseRequest answers a request as the owner. The answer has the owner's time, and a lease if the request is a valid vote and this
// process has a majority.
func (q *Quota) handleLeaseRequest(limit *limitState, from ID, item *Item) {
	state := &limit.ownership
	q.updateOwnership(limit)
	peer := state.addHolder(from)
	if peer == nil || item.Sequence <= peer.sequence { // reordered or duplicated
		return
	}
	peer.sequence = item.Sequence
	peer.lastRequest = q.now
	answer := Item{LimitHash: limit.key, Sequence: item.Sequence, Epoch: state.epoch, OwnerTime: q.now, Pool: limit.partition.Pool}
	if item.Vote && item.Epoch == state.epoch && item.OwnerTime <= q.now && item.Pool == limit.partition.Pool {
		q.recordVote(limit, peer, item)
		if state.active && peer.adopted {
			q.planTargets(limit)
			answer.Vote = true
			answer.Units = q.grantUnits(limit, peer, item.Sequence)
			answer.AllAccounted = q.now >= state.unaccountedUntil
		}
	}
	q.enqueue(from, LeaseAnswer, answer)
}

// recordVote records a vote, with the demand and the units of its sender.
func (q *Quota) recordVote(limit *limitState, peer *holder, item *Item) {
	state := &limit.ownership
	peer.voteEnds = max(peer.voteEnds, item.OwnerTime+q.settings.remoteSpan(q.settings.VoteDuration))
	peer.claimedUnits = item.UnitsInUse
	peer.claimEnds = item.OwnerTime + q.settings.remoteSpan(item.RemainingMs)
	if peer.demand != item.Demand {
		peer.demand = item.Demand
		state.planNeeded = true
	}
	q.updateOwnership(limit)
	before := peer.outstandingUnits(q.now)
	peer.confirmTaken(item)
	if peer.outstandingUnits(q.now) < before { // others may get the units that were given back
		state.planNeeded = true
	}
	if state.active {
		q.adoptClaim(limit, peer)
	}
}

// updateOwnership ends an ownership whose majority has expired, counts the votes, and makes a plan if one is due.
func (q *Quota) updateOwnership(limit *limitState) {
	state := &limit.ownership
	if state.active && q.now >= state.ends {
		q.restartOwnership(limit)
	}
	if q.now >= state.nextElection || !state.active || state.ends-q.now < q.settings.VoteDuration/2 {
		state.nextElection = q.now + electionTicks*q.settings.TickInterval
		q.removeExpiredHolders(limit)
		q.countVotes(limit)
	}
	if !state.active {
		return
	}
	if state.unaccounted > 0 && (q.now >= state.unaccountedUntil || q.allHoldersKnown(limit)) {
		state.unaccounted = 0
		state.planNeeded = true
	}
	q.planTargets(limit)
}

// countVotes starts or extends the ownership, which lasts as long as a majority of votes.
func (q *Quota) countVotes(limit *limitState) {
	state := &limit.ownership
	ends := make([]float64, 0, len(state.holders))
	for _, peer := range state.holders {
		if peer.voteEnds > q.now {
			ends = append(ends, peer.voteEnds)
		}
	}
	majority := q.settings.ExpectedPoolers/2 + 1
	if len(ends) < majority {
		return
	}
	slices.Sort(ends)
	state.ends = max(state.ends, ends[len(ends)-majority])
	if state.active {
		return
	}
	state.active = true
	state.unaccounted = limit.partition.Pool
	state.unaccountedUntil = q.now + q.settings.leaseRetention(limit.Kind)
	state.planNeeded = true
	for _, peer := range state.holders {
		q.adoptClaim(limit, peer)
	}
}

// allHoldersKnown reports whether all ExpectedPoolers, and thus every process that can hold units, have reported their units and are bound
// to this owner by their votes.
func (q *Quota) allHoldersKnown(limit *limitState) bool {
	n := 0
	for _, peer := range limit.ownership.holders {
		if peer.adopted && peer.voteEnds > q.now {
			n++
		}
	}
	return n >= q.settings.ExpectedPoolers
}

// leasedUnits returns the largest number of units that may be leased now: those of all holders and the unaccounted ones.
func (q *Quota) leasedUnits(limit *limitState) int {
	n := limit.ownership.unaccounted
	for _, peer := range limit.ownership.holders {
		n += peer.outstandingUnits(q.now)
	}
	return n
}
