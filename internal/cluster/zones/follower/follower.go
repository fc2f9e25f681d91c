// Package follower is what one pooler makes of the fleet's plans: in which zone its requests are served first, and the price of crossing
// zones. It is a pure state machine: plans, renewals and the pooler's own losses go in, a Status comes out.
//
// # What it decides
//
// The poolers of a zone are numbered, the same at each, and the plan's shares are dealt to them: of ten poolers in a zone of which 40% of
// the reads go elsewhere, four take that other zone for local. Shares are rounded down, so that no zone receives more than the plan says,
// except where a zone is left by all. The decision module picks the server of each request, by price and load.
//
// # A pooler that receives nothing
//
// A plan expires PlanLifetime after a voter had it in force last. Then, and before the first plan, the rule is: local first; crossing is
// expensive; and where this pooler's own attempts in its zone fail, it goes where the last plan had sent it, and nowhere else. So without
// news nothing goes to a zone that the last plan did not send there, whatever each pooler believes.
//
// # Never back to an older plan
//
// A plan with a lower number is ignored, also after a restart: before a plan with another target is followed, the number since which plans
// have that target is stored where the next process of this pooler finds it, as MinPlan.
package follower

import "beechgrade/internal/cluster/zones/statemachine"

// Settings configure a Follower. Times are in ms.
type Settings struct {
	Zone             int    // this pooler's own
	ZonesHash        uint32 // of the zones' names
	PlanLifetime     float64
	CrossingPrice    float64 // where the fleet has a plan or had one, as a part of a request's priority
	MinAttempts      float64 // local attempts in a window, for their losses to count
	FailingLossShare float64 // the part of the attempts whose loss is a failure
	FailureTime      float64 // that losses last until this pooler leaves its zone, without a plan in force
	MinPlan          uint64  // Since of the plan that this pooler followed last, before it was restarted
	FollowsAnyPlan   bool    // a fault by which tests are tested
}

// Reason is why a pooler prefers a zone.
type Reason uint8

// The reasons.
const (
	NoPlan   Reason = iota // no plan was ever received: as without zones
	Planned                // a plan in force
	Fallback               // without a plan in force: local first
	Spilling               // the same, but the local zone fails: where the last plan had sent it
)

// String returns the reason's name in answers and notes.
func (r Reason) String() string {
	return [...]string{"none", "plan", "fallback", "spilling"}[min(r, Spilling)]
}

// Status is what a pooler does.
type Status struct {
	Zone       int     // that it takes for local
	Price      float64 // of crossing; below 0 for that of its own settings
	Reason     Reason
	PlanNumber uint64
}

// receivedPlan is a plan and when it expires, in ms.
type receivedPlan struct {
	plan *statemachine.Plan // nil for none
	ends float64
}

// renew replaces a plan by one with the same target.
func (r *receivedPlan) renew(plan *statemachine.Plan, ends float64) {
	r.plan = plan
	r.ends = max(r.ends, ends)
}

func (r *receivedPlan) hasTarget(since uint64) bool { return r.plan != nil && r.plan.Since == since }

// Follower is one pooler's. At most one number is stored at a time: a slow disk delays a plan, and no frequency of plans stops them.
type Follower struct {
	settings     Settings
	current      receivedPlan // in force, or the last one
	storing      receivedPlan // its number is being stored
	waiting      receivedPlan // received since then
	rank         int          // of this pooler in its zone, from 0
	poolers      int          // of the zone
	failingSince float64      // 0 for not failing
	failing      bool
}

// New returns a Follower without a plan.
func New(settings Settings) *Follower { return &Follower{settings: settings, poolers: 1} }

// SetRank sets this pooler's rank, from 0, and the number of poolers in its zone.
func (f *Follower) SetRank(rank, poolers int) {
	f.rank, f.poolers = max(0, rank), max(1, poolers)
}

// HandlePlan takes a plan that was in force age ms ago. It returns the number to be stored before the plan is followed, 0 for none.
func (f *Follower) HandlePlan(now float64, plan *statemachine.Plan, age float64) (store uint64) {
	ends := now + f.settings.PlanLifetime - max(0, age)
	if plan.ZonesHash != f.settings.ZonesHash || ends <= now && f.current.plan == nil {
		return 0
	}
	if f.settings.FollowsAnyPlan {
		f.current = receivedPlan{plan, ends}
		return 0
	}
	if plan.Since < f.settings.MinPlan || plan.Number < f.NewestPlan() {
		return 0
	}
	switch {
	case f.waiting.hasTarget(plan.Since):
		f.waiting.renew(plan, ends)
	case f.storing.hasTarget(plan.Since) && f.waiting.plan == nil:
		f.storing.renew(plan, ends)
	case f.storing.plan != nil:
		f.waiting = receivedPlan{plan, ends}
	case f.current.hasTarget(plan.Since):
		f.current.renew(plan, ends)
	default:
		f.storing = receivedPlan{plan, ends}
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

// HandleRenewal takes the news that the plan with a number was still in force age ms ago.
func (f *Follower) HandleRenewal(now float64, number uint64, age float64) {
	if number != f.NewestPlan() {
		return
	}
	if newest := f.newest(); newest.plan != nil {
		newest.ends = max(newest.ends, now+f.settings.PlanLifetime-max(0, age))
	}
}

// NumberStored reports that a number was stored: its plan is followed from now on. It returns the next number to be stored, 0 for none.
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

// Plan returns the plan that is or was followed last, nil for none, and when it expires, in ms.
func (f *Follower) Plan() (plan *statemachine.Plan, ends float64) {
	return f.current.plan, f.current.ends
}

// NewestPlan returns the number of the newest plan that was received, 0 for none.
func (f *Follower) NewestPlan() uint64 {
	if newest := f.newest(); newest.plan != nil {
		return newest.plan.Number
	}
	return 0
}

// RecordLocalAttempts takes the attempts a second in the pooler's own zone in the last window, and those of them that were lost.
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

// Status returns what the pooler does now.
func (f *Follower) Status(now float64) Status {
	own := f.settings.Zone
	plan := f.current.plan
	if plan == nil || own >= len(plan.Matrix) {
		return Status{Zone: own, Price: -1}
	}
	target := TargetZone(plan.Matrix[own], own, f.rank, f.poolers)
	status := Status{Zone: own, Price: f.settings.CrossingPrice, Reason: Fallback, PlanNumber: plan.Number}
	switch {
	case now < f.current.ends:
		status.Zone, status.Reason = target, Planned
	case f.failing && target != own:
		status.Zone, status.Reason = target, Spilling
	}
	return status
}

const (
	emptyShare    = 1e-3 // a smaller share that stays is none
	roundingSlack = 1e-6
)

// TargetZone returns the zone that the pooler with a rank takes for local, by its zone's row of the plan.
func TargetZone(row []float64, own, rank, poolers int) int {
	counts := poolersByZone(row, own, poolers)
	place := poolers - 1 - rank // the last ranks leave first, so a pooler that has left does not return while shares grow
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

// poolersByZone returns how many poolers of a zone go to each other zone.
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
	if allLeave && largest != own { // the poolers that rounding left over go with the largest share
		counts[largest] += poolers - leaving
	}
	return counts
}
