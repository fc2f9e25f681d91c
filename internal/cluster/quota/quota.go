package quota

import (
	"math"
	"slices"

	"beechgrade/internal/invariant"
)

const maxGrants = 8 // grants to each holder that are accounted for separately

// Quota is one process's side of the fleet's limits. It is not safe for concurrent use.
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
	outbox         []*Message // sent at the end of an event
	hasLeft        bool

	checks        *invariant.Checks // nil if invariants are not checked
	checkInterval int               // in events
	checkCounter  int
}

// limitState is the state of a limit at this process. Times are in ms.
type limitState struct {
	Limit
	key           uint64 // hash of the name
	partition     Partition
	reserved      int // reserved units in effect; raised only once no more than the new pool is leased
	startedAt     float64
	allowedAmount float64 // reported by the last SetAllowance, as allowedBurst
	allowedBurst  float64

	// As a holder.
	currentOwner   ID
	votedFor       ID
	votedEpoch     uint32
	voteEnds       float64
	ownerTimeFrom  ID // the owner that sent ownerTime and ownerEpoch
	ownerTime      float64
	ownerEpoch     uint32
	ownerTimeAt    float64 // when the request was sent whose answer has ownerTime
	sequence       uint32  // number of the last request
	lastTaken      uint32  // number of the request whose answer was accepted last
	requests       []request
	leasedUnits    int
	unitsInUse     int // leased units that are or may be in use
	leaseEnds      float64
	demand         float64 // as a part of the limit
	reportedDemand float64
	nextRequest    float64
	urgent         bool // a request is due after UrgentInterval

	// With the guarantee SoonEven.
	share           float64
	higherShare     float64 // applied at higherShareAt
	higherShareAt   float64 // 0 for none
	shareAnsweredAt float64

	// As an owner.
	ownership ownership
}

// New returns the Quota of a process that holds nothing, at time now in ms.
func New(settings Settings, self ID, now float64) *Quota {
	settings.ExpectedPoolers = max(1, settings.ExpectedPoolers)
	q := &Quota{
		settings: settings, self: self, now: now, sendingPoolers: settings.ExpectedPoolers,
		byHash: map[uint64]*limitState{}, addresses: map[ID]string{},
	}
	q.updateLimits(settings.Limits)
	return q
}

// NextTick returns when the next Tick is due, in ms.
func (q *Quota) NextTick() float64 { return q.now + q.settings.TickInterval }

// Handle processes one event at time now, in ms, and appends the actions that it causes to out. After Leave it does nothing.
func (q *Quota) Handle(now float64, event Event, out []Action) []Action {
	q.now, q.actions = max(now, q.now), out
	if q.hasLeft {
		return q.actions
	}
	for _, limit := range q.limits { // before anything else, as this process may have been paused
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
		q.checks.Walk(&q.checkCounter, q.checkInterval, "quota: the state", q.checkState)
	}
	return q.actions
}

// advance applies shares, sends requests and updates ownerships that are due.
func (q *Quota) advance() {
	for _, limit := range q.limits {
		if limit.Guarantee == SoonEven {
			q.advanceShare(limit)
		}
		if limit.Guarantee != FixedShare && q.requestDue(limit) {
			q.sendRequest(limit)
		}
		if limit.Guarantee == NeverOver {
			q.updateOwnership(limit)
		}
	}
}

// Due returns when an allowance may decrease without another event, in ms; +Inf for never. A caller that was paused must call Handle before
// it uses an allowance.
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

// updateLimits replaces the limits, and keeps the state of those with the same name, kind and guarantee.
func (q *Quota) updateLimits(limits []Limit) {
	previous := q.limits
	q.limits, q.byHash = nil, map[uint64]*limitState{}
	for _, l := range limits {
		i := slices.IndexFunc(previous, func(limit *limitState) bool {
			return limit.Name == l.Name && limit.Kind == l.Kind && limit.Guarantee == l.Guarantee
		})
		var limit *limitState
		if i < 0 {
			limit = q.newLimit(l)
		} else {
			limit = previous[i]
			q.changeLimit(limit, l)
		}
		q.limits = append(q.limits, limit)
		q.byHash[limit.key] = limit
	}
}

func (q *Quota) newLimit(l Limit) *limitState {
	limit := &limitState{
		Limit: l, key: l.hash(), partition: l.Partition(q.settings.ExpectedPoolers), startedAt: q.now,
		allowedAmount: -1, shareAnsweredAt: q.now, share: 1 / float64(max(1, q.sendingPoolers)),
		ownership: ownership{epoch: 1, holderByID: map[ID]*holder{}},
	}
	limit.reserved = limit.partition.Reserved
	limit.currentOwner = q.ownerOf(limit)
	return limit
}

// changeLimit changes a limit's amount, burst or reserve. Until the owner confirms that all leases are within the new pool, this process
// uses no more reserved units than before; leased units change in proportion to the pool.
func (q *Quota) changeLimit(limit *limitState, changed Limit) {
	if limit.Limit == changed {
		return
	}
	previous, amount := limit.partition, limit.Amount
	limit.Limit, limit.partition = changed, changed.Partition(q.settings.ExpectedPoolers)
	reservedAmount, _ := (&Limit{Amount: amount}).unitsAllowance(&previous, limit.reserved)
	limit.reserved = min(limit.partition.Reserved, int(reservedAmount/changed.Amount*float64(limit.partition.Units)+roundingSlack))
	limit.leasedUnits = limit.leasedUnits * limit.partition.Pool / max(1, previous.Pool)
	if limit.Kind != Concurrency { // the size of a unit has changed
		limit.unitsInUse = limit.leasedUnits
	}
	limit.allowedAmount = -1
	limit.urgent = true
	limit.ownership.planNeeded = true
	if previous.Pool != limit.partition.Pool { // the accounts are in units of another size, so new ones start once the leases have expired
		q.restartOwnership(limit)
	}
}

// reduceTo gives back the leased units beyond a number.
func (limit *limitState) reduceTo(units int) {
	limit.leasedUnits = min(limit.leasedUnits, units)
	if limit.Kind != Concurrency {
		limit.unitsInUse = limit.leasedUnits
	}
}

// leave gives back all units that this process holds, and reports that to the owners.
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

// reportAllowance emits a SetAllowance action if the allowance has changed.
func (q *Quota) reportAllowance(limit *limitState) {
	amount, burst := q.allowance(limit)
	if amount != limit.allowedAmount || burst != limit.allowedBurst {
		limit.allowedAmount, limit.allowedBurst = amount, burst
		q.actions = append(q.actions, Action{Kind: SetAllowance, Limit: limit.Name, Amount: amount, Burst: burst})
	}
}

// allowance returns how much of a limit this process may use now.
func (q *Quota) allowance(limit *limitState) (amount, burst float64) {
	switch limit.Guarantee {
	case NeverOver:
		units := limit.leasedUnits
		if limit.Kind != Concurrency || q.now >= limit.startedAt+q.voteDelay(limit.Kind) {
			units += limit.reserved // uses that a previous incarnation admitted have ended
		}
		return limit.unitsAllowance(&limit.partition, units)
	case SoonEven:
		amount, burst = limit.Amount*limit.share, limit.Burst*limit.share
	default:
		amount, burst = limit.Amount/float64(q.sendingPoolers), limit.Burst/float64(q.sendingPoolers)
	}
	if limit.Kind == Concurrency {
		amount = max(1, math.Floor(amount+roundingSlack))
	}
	return amount, max(1, burst)
}

// Statuses returns the state of each limit at this process.
func (q *Quota) Statuses() (out []Status) {
	for _, limit := range q.limits {
		amount, _ := q.allowance(limit)
		status := Status{Limit: limit.Limit, Amount: amount, LeaseEnds: limit.leaseEnds, Owner: limit.currentOwner, Epoch: limit.votedEpoch}
		status.Reserved, _ = limit.unitsAllowance(&limit.partition, limit.reserved)
		if limit.ownership.active && q.now < limit.ownership.ends {
			status.IsOwner = true
			status.Epoch = limit.ownership.epoch
			status.Leased, _ = limit.unitsAllowance(&limit.partition, q.leasedUnits(limit))
		}
		for _, peer := range limit.ownership.holders {
			if peer.voteEnds > q.now {
				status.Voters++
			}
		}
		out = append(out, status)
	}
	return out
}
