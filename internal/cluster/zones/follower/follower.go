// Package follower applies the fleet's plans at one pooler: it decides which zone the pooler treats as local, and the price of crossing
// zones. It is a pure state machine: plans, renewals and the losses of the pooler's own attempts go in, a Status comes out.
//
// # What it decides
//
// The poolers of a zone have ranks, on which all of them agree, and the plan's shares are assigned to them by rank: if 40% of the reads of
// a zone with ten poolers go to another zone, four of the poolers treat that zone as local. Shares are rounded down, so that no zone
// receives more than the plan says, except if all poolers leave their zone. The decision module picks the server of each request, by price
// and load.
//
// # Fallback without renewals
//
// A plan expires PlanLifetime after it was last in force at a voter. From then on the pooler prefers its local zone at the plan's price of
// crossing; if its own attempts in the local zone fail, it prefers the zone that the last plan assigned to it, and no other. So without
// renewals no zone receives load that the last plan did not send there, whatever each pooler observes. Before the first plan a pooler
// prefers its local zone at the price of its own settings.
//
// # Plans are never followed out of order
//
// A plan with a lower number is ignored, also after a restart: before a plan with another target is followed, the number of the first plan
// with that target is stored, and the pooler's next process gets it as MinPlan.
package follower

import "beechgrade/internal/cluster/zones/statemachine"

// Settings configure a Follower. Times are in ms.
type Settings struct {
	Zone             int    // this pooler's own
	ZonesHash        uint32 // of the zones' names
	PlanLifetime     float64
	CrossingPrice    float64 // of crossing zones once a plan was received, as a part of a request's priority
	MinAttempts      float64 // local attempts a second below which their losses do not count
	FailingLossShare float64 // the part of the attempts from which losses are a failure
	FailureTime      float64 // how long losses last until this pooler leaves its zone while no plan is in force
	MinPlan          uint64  // Since of the plan that this pooler followed last before it was restarted
	FollowsAnyPlan   bool    // fault injected by tests: older plans are followed too
}

// Reason is why a pooler prefers a zone.
type Reason uint8

// The reasons.
const (
	NoPlan   Reason = iota // no plan was received since the start: the pooler acts as if there were no zones
	Planned                // a plan is in force
	Fallback               // the last plan expired: the local zone is preferred
	Spilling               // the last plan expired and the local zone fails: the zone of the last plan is preferred
)

// String returns the reason's name as in admin answers and notes.
func (r Reason) String() string {
	return [...]string{"none", "plan", "fallback", "spilling"}[min(r, Spilling)]
}

// Status is the zone that a pooler prefers, and why.
type Status struct {
	Zone       int     // that the pooler treats as local
	Price      float64 // of crossing zones; below 0 for the price of the pooler's own settings
	Reason     Reason
	PlanNumber uint64 // of the plan followed or followed last, 0 for none
}

// receivedPlan is a plan and when it expires, in ms.
type receivedPlan struct {
	plan      *statemachine.Plan // nil for none
	expiresAt float64
}

// renew replaces a plan by one with the same target.
func (r *receivedPlan) renew(plan *statemachine.Plan, expiresAt float64) {
	r.plan = plan
	r.expiresAt = max(r.expiresAt, expiresAt)
}

func (r *receivedPlan) hasTarget(since uint64) bool { return r.plan != nil && r.plan.Since == since }

// Follower decides for one pooler. At most one number is stored at a time, and of the plans that arrive meanwhile only the newest waits: a
// slow disk delays plans, but frequent plans cannot keep the pooler from following any.
type Follower struct {
	settings     Settings
	current      receivedPlan // followed, or followed last
	storing      receivedPlan // its number is being stored
	waiting      receivedPlan // the newest one received since storing began
	rank         int          // of this pooler in its zone, from 0
	poolers      int          // number of poolers in the zone
	failingSince float64      // when losses of local attempts began, 0 for no losses
	failing      bool         // losses have lasted for FailureTime
}

// New returns a Follower without a plan.
func New(settings Settings) *Follower { return &Follower{settings: settings, poolers: 1} }

// SetRank sets this pooler's rank, from 0, and the number of poolers in its zone.
func (f *Follower) SetRank(rank, poolers int) {
	f.rank, f.poolers = max(0, rank), max(1, poolers)
}

// HandlePlan handles a plan that was in force age ms ago. It returns the number to be stored before the plan is followed, 0 for none.
func (f *Follower) HandlePlan(now float64, plan *statemachine.Plan, age float64) (store uint64) {
	expiresAt := now + f.settings.PlanLifetime - max(0, age)
	if plan.ZonesHash != f.settings.ZonesHash || expiresAt <= now && f.current.plan == nil {
		return 0
	}
	if f.settings.FollowsAnyPlan {
		f.current = receivedPlan{plan, expiresAt}
		return 0
	}
	if plan.Since < f.settings.MinPlan || plan.Number < f.NewestPlan() {
		return 0
	}
	switch {
	case f.waiting.hasTarget(plan.Since):
		f.waiting.renew(plan, expiresAt)
	case f.storing.hasTarget(plan.Since) && f.waiting.plan == nil:
		f.storing.renew(plan, expiresAt)
	case f.storing.plan != nil:
		f.waiting = receivedPlan{plan, expiresAt}
	case f.current.hasTarget(plan.Since):
		f.current.renew(plan, expiresAt)
	default:
		f.storing = receivedPlan{plan, expiresAt}
		return plan.Since
	}
	return 0
}

// newest returns the plan that was received last.
func (f *Follower) newest() *receivedPlan {
	switch {
	case f.waiting.plan != nil:
		return &f.waiting
	case f.storing.plan != nil:
		return &f.storing
	}
	return &f.current
}

// HandleRenewal extends the newest plan if it has the given number; it was still in force age ms ago.
func (f *Follower) HandleRenewal(now float64, number uint64, age float64) {
	if number != f.NewestPlan() {
		return
	}
	if newest := f.newest(); newest.plan != nil {
		newest.expiresAt = max(newest.expiresAt, now+f.settings.PlanLifetime-max(0, age))
	}
}

// NumberStored is called when a number was stored: its plan is followed from now on. It returns the next number to be stored, 0 for none.
func (f *Follower) NumberStored(since uint64) (store uint64) {
	if f.storing.plan == nil || f.storing.plan.Since > since {
		return 0
	}
	f.current, f.storing, f.waiting = f.storing, f.waiting, receivedPlan{}
	if f.storing.plan == nil {
		return 0
	}
	return f.storing.plan.Since
}

// Plan returns the plan that is followed or was followed last, nil for none, and when it expires, in ms.
func (f *Follower) Plan() (plan *statemachine.Plan, expiresAt float64) {
	return f.current.plan, f.current.expiresAt
}

// NewestPlan returns the number of the newest plan that was received, 0 for none.
func (f *Follower) NewestPlan() uint64 {
	if newest := f.newest(); newest.plan != nil {
		return newest.plan.Number
	}
	return 0
}

// RecordLocalAttempts handles the attempts a second that ended in the pooler's own zone since the last call, and those of them that were
// lost.
func (f *Follower) RecordLocalAttempts(now, attempts, lost float64) {
	switch {
	case attempts < f.settings.MinAttempts:
	case lost < f.settings.FailingLossShare*attempts:
		f.failingSince, f.failing = 0, false
	case f.failingSince == 0:
		f.failingSince = now
	case now-f.failingSince >= f.settings.FailureTime:
		f.failing = true
	}
}

// Status returns the status at a time.
func (f *Follower) Status(now float64) Status {
	own := f.settings.Zone
	plan := f.current.plan
	if plan == nil || own >= len(plan.Matrix) {
		return Status{Zone: own, Price: -1}
	}
	target := TargetZone(plan.Matrix[own], own, f.rank, f.poolers)
	status := Status{Zone: own, Price: f.settings.CrossingPrice, Reason: Fallback, PlanNumber: plan.Number}
	switch {
	case now < f.current.expiresAt:
		status.Zone, status.Reason = target, Planned
	case f.failing && target != own:
		status.Zone, status.Reason = target, Spilling
	}
	return status
}

const (
	emptyShare    = 1e-3 // a smaller share that stays local counts as 0
	roundingSlack = 1e-6 // of a pooler, that rounding errors may take away
)

// TargetZone returns the zone that the pooler with a rank treats as local. row is that of the pooler's own zone in the plan's matrix.
func TargetZone(row []float64, own, rank, poolers int) int {
	counts := poolersByZone(row, own, poolers)
	place := poolers - 1 - rank // the last ranks leave first, so a pooler that has left does not return while the other zone's share grows
	for zone, count := range counts {
		if zone == own {
			continue
		}
		if place < count {
			return zone
		}
		place -= count
	}
	return own
}

// poolersByZone returns how many poolers of a zone treat each other zone as local.
func poolersByZone(row []float64, own, poolers int) []int {
	counts := make([]int, len(row))
	largest, leaving, total := own, 0, 0.0
	for zone, share := range row {
		total += share
		if zone == own {
			continue
		}
		counts[zone] = int(share*float64(poolers) + roundingSlack)
		leaving += counts[zone]
		if largest == own && share > 0 || largest != own && share > row[largest] {
			largest = zone
		}
	}
	allLeave := own < len(row) && row[own] < emptyShare && total > 1-emptyShare
	if allLeave && largest != own { // the poolers that remain after rounding down are added to the largest share
		counts[largest] += poolers - leaving
	}
	return counts
}
