package quota

import (
	"math"
	"slices"

	"beechgrade/internal/invariant"
)

const (
	maxRequests   = 64   // asks whose answers are still taken
	maxGrants     = 8    // answers of each process that are kept apart
	demandChange  = 0.1  // a demand that differs by so much, or a unit, from the one told last is told soon
	smallDemand   = 0.01 // ...if that is not a small part of the limit
	idleWeight    = 0.02 // part of the limit that all together count as wanting beside their demand: newcomers have a share
	voteFreshness = 0.5  // part of Promise that an answer may be old for the owner to be voted for again
)

// Quota is one process's side of the fleet's limits.
type Quota struct {
	settings       Settings
	self           ID
	now            float64
	peers          []Peer
	addresses      map[ID]string
	sendingPoolers int
	limits         []*limitState
	byHash         map[uint64]*limitState
	actions        []Action
	outbox         []*Message // that go out at the end
	hasLeft        bool

	checks        *invariant.Checks // nil where nothing is checked
	checkInterval int
	checkCounter  int
}

type limitState struct {
	Limit
	key           uint64
	partition     Partition
	reserved      int // floor that is in effect: a higher one waits until no more is lent than the new pool
	startedAt     float64
	allowedAmount float64 // amount that was allowed last
	allowedBurst  float64

	// as a holder
	currentOwner        ID
	votedFor            ID // whom it voted for
	votedEpoch          uint32
	voteEnds            float64 // its promise
	ownerTimeFrom       ID      // whom the stamp is from
	ownerTime           float64
	ownerEpoch          uint32
	ownerTimeAt         float64
	sequence, lastTaken uint32
	requests            []request
	leasedUnits         int
	unitsInUse          int // that may be in use
	leaseEnds           float64
	demand              float64 // as a part of the limit
	reportedDemand      float64
	nextRequest         float64
	urgent              bool

	// soon even
	share, higherShare float64
	higherShareAt      float64
	shareAnsweredAt    float64

	// as an owner
	ownership ownership
}

type request struct {
	sequence uint32
	sentAt   float64
	vote     bool
}

// New makes a process's quota.
func New(set Settings, self ID, now float64) *Quota {
	q := &Quota{settings: set, self: self, now: now, sendingPoolers: max(1, set.ExpectedPoolers), byHash: map[uint64]*limitState{}, addresses: map[ID]string{}}
	q.settings.ExpectedPoolers = max(1, set.ExpectedPoolers)
	q.updateLimits(set.Limits)
	return q
}

// NextTick is when it wants a Tick.
func (q *Quota) NextTick() float64 { return q.now + q.settings.TickInterval }

// Handle takes one event and appends what is to be done.
func (q *Quota) Handle(now float64, event Event, out []Action) []Action {
	q.now, q.actions = max(now, q.now), out
	if q.hasLeft {
		return q.actions
	}
	for _, limit := range q.limits { // whatever has come, one that was stopped finds its leases over first
		if limit.leasedUnits > 0 && q.now >= limit.leaseEnds {
			limit.reduceTo(0)
		}
	}
	switch e := event.(type) {
	case MembersChanged:
		q.updateMembers(e)
	case Demand:
		q.updateDemand(e)
	case LimitsChanged:
		q.updateLimits(e.Limits)
	case Received:
		q.handleMessage(e.Message)
	case Leave:
		q.leave()
	}
	q.advance()
	q.flush()
	for _, limit := range q.limits {
		q.reportAllowance(limit)
	}
	if q.checks.Enabled() {
		q.checks.Walk(&q.checkCounter, q.checkInterval, "quota: the walk", q.checkState)
	}
	return q.actions
}

// Due is when what is allowed may fall without another word, so that who was stopped can ask first; +Inf for never.
func (q *Quota) Due() float64 {
	due := math.Inf(1)
	for _, limit := range q.limits {
		if limit.leasedUnits > 0 && limit.Guarantee == NeverOver {
			due = min(due, limit.leaseEnds)
		}
	}
	return due
}

func (q *Quota) limitByName(name string) *limitState {
	for _, limit := range q.limits {
		if limit.Name == name {
			return limit
		}
	}
	return nil
}

// updateLimits takes the limits as they are now. What was lent is cut in proportion where the pool has become smaller.
func (q *Quota) updateLimits(limits []Limit) {
	old := q.limits
	q.limits, q.byHash = nil, map[uint64]*limitState{}
	for _, n := range limits {
		i := slices.IndexFunc(old, func(limit *limitState) bool {
			return limit.Name == n.Name && limit.Kind == n.Kind && limit.Guarantee == n.Guarantee
		})
		if i < 0 {
			limit := &limitState{Limit: n, key: n.hash(), startedAt: q.now, allowedAmount: -1, shareAnsweredAt: q.now}
			limit.partition = n.Partition(q.settings.ExpectedPoolers)
			limit.reserved, limit.share = limit.partition.Reserved, 1/float64(max(1, q.sendingPoolers))
			limit.ownership = ownership{epoch: 1, holderByID: map[ID]*holder{}}
			q.limits, q.byHash[limit.key] = append(q.limits, limit), limit
			limit.currentOwner = q.ownerOf(limit)
			continue
		}
		limit := old[i]
		if limit.Limit != n {
			was, amount := limit.partition, limit.Amount
			limit.Limit, limit.partition = n, n.Partition(q.settings.ExpectedPoolers)
			// No more than before of the limit, and a floor of no more than it was, until the owner knows the limit as it is.
			low, _ := (&Limit{Amount: amount}).unitsAllowance(&was, limit.reserved)
			limit.reserved = min(limit.partition.Reserved, int(low/n.Amount*float64(limit.partition.Units)+1e-9))
			limit.leasedUnits = limit.leasedUnits * limit.partition.Pool / max(1, was.Pool)
			if limit.Kind != Concurrency { // the measure of what is kept in units has changed
				limit.unitsInUse = limit.leasedUnits
			}
			limit.allowedAmount = -1
			limit.urgent = true
			limit.ownership.planNeeded = true
			if was.Pool != limit.partition.Pool { // books in the old measure: what is not known to be free is waited out
				q.restartOwnership(limit)
			}
		}
		q.limits, q.byHash[limit.key] = append(q.limits, limit), limit
	}
}

// reduceTo has the holder use less from now on.
func (limit *limitState) reduceTo(to int) {
	limit.leasedUnits = min(limit.leasedUnits, to)
	if limit.Kind != Concurrency {
		limit.unitsInUse = limit.leasedUnits
	}
}

// leave gives back what this process holds.
func (q *Quota) leave() {
	for _, limit := range q.limits {
		limit.reduceTo(0)
		limit.demand, limit.reserved = 0, 0
		if limit.Guarantee != FixedShare {
			q.sendRequest(limit)
		}
	}
	q.flush()
	q.hasLeft = true
}

// reportAllowance tells the embedder of what has changed.
func (q *Quota) reportAllowance(limit *limitState) {
	amount, burst := q.allowance(limit)
	if amount != limit.allowedAmount || burst != limit.allowedBurst {
		limit.allowedAmount, limit.allowedBurst = amount, burst
		q.actions = append(q.actions, Action{Kind: SetAllowance, Limit: limit.Name, Amount: amount, Burst: burst})
	}
}

// allowance is what this process may use now.
func (q *Quota) allowance(limit *limitState) (amount, burst float64) {
	switch limit.Guarantee {
	case NeverOver:
		n := limit.leasedUnits
		if limit.Kind != Concurrency || q.now >= limit.startedAt+q.voteDelay(limit.Kind) { // what a last life let in may still go on
			n += limit.reserved
		}
		return limit.unitsAllowance(&limit.partition, n)
	case SoonEven:
		amount, burst = limit.Amount*limit.share, limit.Burst*limit.share
	default:
		amount, burst = limit.Amount/float64(q.sendingPoolers), limit.Burst/float64(q.sendingPoolers)
	}
	if limit.Kind == Concurrency {
		amount = max(1, math.Floor(amount+1e-9))
	}
	return amount, max(1, burst)
}

// Statuses tell how limits stand here.
func (q *Quota) Statuses() (out []Status) {
	for _, limit := range q.limits {
		amount, _ := q.allowance(limit)
		s := Status{Limit: limit.Limit, Amount: amount, LeaseEnds: limit.leaseEnds, Owner: limit.currentOwner, Epoch: limit.votedEpoch}
		s.Reserved, _ = limit.unitsAllowance(&limit.partition, limit.reserved)
		if limit.ownership.active && q.now < limit.ownership.ends {
			s.IsOwner = true
			s.Epoch = limit.ownership.epoch
			s.Lent, _ = limit.unitsAllowance(&limit.partition, q.lentUnits(limit))
		}
		for _, peer := range limit.ownership.holders {
			if peer.voteEnds > q.now {
				s.Voters++
			}
		}
		out = append(out, s)
	}
	return out
}
