// Package follower is what one pooler makes of the fleet's plans: in which zone it has its requests served first, and how dear it is to cross.
// Pure.
//
// # What it decides, and what not
//
// Poolers of a zone are counted through, the same at each, and the plan's shares are dealt to them: of ten poolers in a zone
// of which 40% goes elsewhere, four take that other zone for near. Shares are rounded down, so that nothing gets more than the plan has,
// but where a zone is left whole. Which server is asked the decision module picks, by price and load.
//
// # Who hears nobody
//
// A plan ends Life after a voter had it in force last. Then, and before the first one, the rule is: near first; crossing is dear; and
// where this pooler's own attempts near fail, it goes where the last plan had sent it, and nowhere else. So without news nothing goes to
// a zone that the last plan did not send there, whatever each pooler believes.
//
// # Never back to an older one
//
// A plan with a lower number is passed over, also after a restart: before a plan that asks for something else is followed, the number
// from which on it was asked for (Since) is Kept where the process's next self finds it, as Floor.
package follower

import "beechgrade/internal/cluster/zones/statemachine"

// Settings say how. Times are in ms.
type Settings struct {
	Zone             int    // this pooler's own
	ZonesHash        uint32 // a sum of the zones' names
	PlanLifetime     float64
	CrossingPrice    float64 // of crossing where the fleet has a plan or has lost it, as a part of a request's worth
	MinAttempts      float64 // attempts near in a window, for their losses to count
	FailingLossShare float64 // part lost
	FailureTime      float64 // that it lasts until this pooler goes by it, without news
	MinPlan          uint64  // Since of the plan that this pooler followed last, before it was started
	FollowsAnyPlan   bool    // a mutant: any plan is followed
}

// Reason is what a pooler goes by.
type Reason uint8

// The reasons.
const (
	NoPlan   Reason = iota // no plan was ever heard: as without zones
	Planned                // a plan in force
	Fallback               // without news: near first
	Spilling               // ...but near fails: where the last plan had sent it
)

func (w Reason) String() string {
	return [...]string{"none", "plan", "fallback", "spilling"}[min(w, Spilling)]
}

// Status is what a pooler does.
type Status struct {
	Zone       int     // near
	Price      float64 // below 0 for that of its own settings
	Reason     Reason
	PlanNumber uint64 // of the plan
}

// Follower is a pooler's.
type Follower struct {
	settings     Settings
	plan         *statemachine.Plan // in force, or the last
	storing      *statemachine.Plan // its number is being kept
	waiting      *statemachine.Plan // heard since: its number is kept once that one's is, so that a slow disk delays, and no haste of plans stops, what is followed
	planEnds     float64
	storingEnds  float64
	waitingEnds  float64
	rank         int
	poolers      int
	failingSince float64
	failing      bool
}

// New makes one.
func New(set Settings) *Follower { return &Follower{settings: set, poolers: 1} }

// SetRank tells that this pooler is the rank-th, from 0, of so many in its zone.
func (f *Follower) SetRank(rank, of int) { f.rank, f.poolers = max(0, rank), max(1, of) }

// HandlePlan is a plan that was in force age ms ago. It tells the number that is to be kept before the plan is followed, 0 for none.
func (f *Follower) HandlePlan(now float64, p *statemachine.Plan, age float64) (keep uint64) {
	ends := now + f.settings.PlanLifetime - max(0, age)
	if p.ZonesHash != f.settings.ZonesHash || ends <= now && f.plan == nil {
		return 0
	}
	switch {
	case f.settings.FollowsAnyPlan:
		f.plan, f.planEnds = p, ends
		return 0
	case p.Since < f.settings.MinPlan, p.Number < f.NewestPlan():
		return 0
	case f.waiting != nil && p.Since == f.waiting.Since:
		f.waiting, f.waitingEnds = p, max(f.waitingEnds, ends)
		return 0
	case f.storing != nil && f.waiting == nil && p.Since == f.storing.Since:
		f.storing, f.storingEnds = p, max(f.storingEnds, ends)
		return 0
	case f.storing != nil:
		f.waiting, f.waitingEnds = p, ends
		return 0
	case f.plan != nil && p.Since == f.plan.Since:
		f.plan, f.planEnds = p, max(f.planEnds, ends)
		return 0
	}
	f.storing, f.storingEnds = p, ends
	return p.Since
}

// HandleRenewal tells that the newest plan that was heard was in force age ms ago still.
func (f *Follower) HandleRenewal(now float64, no uint64, age float64) {
	ends := now + f.settings.PlanLifetime - max(0, age)
	if no != f.NewestPlan() {
		return
	}
	switch {
	case f.waiting != nil:
		f.waitingEnds = max(f.waitingEnds, ends)
	case f.storing != nil:
		f.storingEnds = max(f.storingEnds, ends)
	case f.plan != nil:
		f.planEnds = max(f.planEnds, ends)
	}
}

// NumberStored tells that a number is where the next self of this process finds it. It tells the next number that is to be kept, 0 for none.
func (f *Follower) NumberStored(since uint64) (keep uint64) {
	if f.storing == nil || f.storing.Since > since {
		return 0
	}
	f.plan, f.planEnds, f.storing, f.storingEnds, f.waiting = f.storing, f.storingEnds, f.waiting, f.waitingEnds, nil
	if f.storing == nil {
		return 0
	}
	return f.storing.Since
}

// Plan is the last one that was followed, nil for none, and when it ends.
func (f *Follower) Plan() (p *statemachine.Plan, ends float64) { return f.plan, f.planEnds }

// NewestPlan is the newest plan that was heard.
func (f *Follower) NewestPlan() uint64 {
	switch {
	case f.waiting != nil:
		return f.waiting.Number
	case f.storing != nil:
		return f.storing.Number
	case f.plan != nil:
		return f.plan.Number
	}
	return 0
}

// RecordLocalAttempts is what this pooler saw of its own zone in the last window.
func (f *Follower) RecordLocalAttempts(now, asked, lost float64) {
	switch {
	case asked >= f.settings.MinAttempts && lost < f.settings.FailingLossShare*asked:
		f.failingSince, f.failing = 0, false
	case asked < f.settings.MinAttempts:
	case f.failingSince == 0:
		f.failingSince = now
	case now-f.failingSince >= f.settings.FailureTime:
		f.failing = true
	}
}

// Status is what to do now.
func (f *Follower) Status(now float64) Status {
	if f.plan == nil || f.settings.Zone >= len(f.plan.Matrix) {
		return Status{Zone: f.settings.Zone, Price: -1}
	}
	s := Status{Zone: f.settings.Zone, Price: f.settings.CrossingPrice, Reason: Planned, PlanNumber: f.plan.Number}
	home := TargetZone(f.plan.Matrix[f.settings.Zone], f.settings.Zone, f.rank, f.poolers)
	switch {
	case now < f.planEnds:
		s.Zone = home
	case f.failing && home != f.settings.Zone:
		s.Zone, s.Reason = home, Spilling
	default:
		s.Reason = Fallback
	}
	return s
}

// TargetZone is the zone that the rank-th of so many poolers of a zone takes for near, by its row.
func TargetZone(row []float64, self, rank, of int) int {
	const whole = 1e-3 // less than this stays is nothing
	n, best, first, sum := make([]int, len(row)), self, 0, 0.0
	for z, p := range row {
		if sum += p; z != self {
			n[z] = int(p*float64(of) + 1e-6)
			if first += n[z]; best == self && p > 0 || best != self && p > row[best] {
				best = z
			}
		}
	}
	if self < len(row) && row[self] < whole && sum > 1-whole && best != self { // nobody is to stay: what rounding left goes with the most
		n[best] += of - first
	}
	at := of - 1 - rank // the last ones go first, so that who has gone stays gone as shares grow
	for z := range n {
		if z == self {
			continue
		}
		if at < n[z] {
			return z
		}
		at -= n[z]
	}
	return self
}
