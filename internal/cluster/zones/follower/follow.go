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
	Zone    int    // this pooler's own
	Of      uint32 // a sum of the zones' names
	Life    float64
	Price   float64 // of crossing where the fleet has a plan or has lost it, as a part of a request's worth
	Least   float64 // attempts near in a window, for their losses to count
	FailAt  float64 // part lost
	Fail    float64 // that it lasts until this pooler goes by it, without news
	Floor   uint64  // Since of the plan that this pooler followed last, before it was started
	Forgets bool    // a mutant: any plan is followed
}

// Why is what a pooler goes by.
type Why uint8

// The reasons.
const (
	None     Why = iota // no plan was ever heard: as without zones
	Planned             // a plan in force
	Fallback            // without news: near first
	Spilling            // ...but near fails: where the last plan had sent it
)

func (w Why) String() string {
	return [...]string{"none", "plan", "fallback", "spilling"}[min(w, Spilling)]
}

// Stand is what a pooler does.
type Stand struct {
	Zone  int     // near
	Price float64 // below 0 for that of its own settings
	Why   Why
	No    uint64 // of the plan
}

// Follower is a pooler's.
type Follower struct {
	set   Settings
	plan  *statemachine.Plan // in force, or the last
	next  *statemachine.Plan // its number is being kept
	later *statemachine.Plan // heard since: its number is kept once that one's is, so that a slow disk delays, and no haste of plans stops, what is followed
	ends  float64
	nextE float64
	lateE float64
	rank  int
	of    int
	bad   float64
	fails bool
}

// New makes one.
func New(set Settings) *Follower { return &Follower{set: set, of: 1} }

// Count tells that this pooler is the rank-th, from 0, of so many in its zone.
func (f *Follower) Count(rank, of int) { f.rank, f.of = max(0, rank), max(1, of) }

// Heard is a plan that was in force age ms ago. It tells the number that is to be kept before the plan is followed, 0 for none.
func (f *Follower) Heard(now float64, p *statemachine.Plan, age float64) (keep uint64) {
	ends := now + f.set.Life - max(0, age)
	if p.Of != f.set.Of || ends <= now && f.plan == nil {
		return 0
	}
	switch {
	case f.set.Forgets:
		f.plan, f.ends = p, ends
		return 0
	case p.Since < f.set.Floor, p.No < f.Number():
		return 0
	case f.later != nil && p.Since == f.later.Since:
		f.later, f.lateE = p, max(f.lateE, ends)
		return 0
	case f.next != nil && f.later == nil && p.Since == f.next.Since:
		f.next, f.nextE = p, max(f.nextE, ends)
		return 0
	case f.next != nil:
		f.later, f.lateE = p, ends
		return 0
	case f.plan != nil && p.Since == f.plan.Since:
		f.plan, f.ends = p, max(f.ends, ends)
		return 0
	}
	f.next, f.nextE = p, ends
	return p.Since
}

// Again tells that the newest plan that was heard was in force age ms ago still.
func (f *Follower) Again(now float64, no uint64, age float64) {
	ends := now + f.set.Life - max(0, age)
	if no != f.Number() {
		return
	}
	switch {
	case f.later != nil:
		f.lateE = max(f.lateE, ends)
	case f.next != nil:
		f.nextE = max(f.nextE, ends)
	case f.plan != nil:
		f.ends = max(f.ends, ends)
	}
}

// Kept tells that a number is where the next self of this process finds it. It tells the next number that is to be kept, 0 for none.
func (f *Follower) Kept(since uint64) (keep uint64) {
	if f.next == nil || f.next.Since > since {
		return 0
	}
	f.plan, f.ends, f.next, f.nextE, f.later = f.next, f.nextE, f.later, f.lateE, nil
	if f.next == nil {
		return 0
	}
	return f.next.Since
}

// Plan is the last one that was followed, nil for none, and when it ends.
func (f *Follower) Plan() (p *statemachine.Plan, ends float64) { return f.plan, f.ends }

// Number is the newest plan that was heard.
func (f *Follower) Number() uint64 {
	switch {
	case f.later != nil:
		return f.later.No
	case f.next != nil:
		return f.next.No
	case f.plan != nil:
		return f.plan.No
	}
	return 0
}

// Near is what this pooler saw of its own zone in the last window.
func (f *Follower) Near(now, asked, lost float64) {
	switch {
	case asked >= f.set.Least && lost < f.set.FailAt*asked:
		f.bad, f.fails = 0, false
	case asked < f.set.Least:
	case f.bad == 0:
		f.bad = now
	case now-f.bad >= f.set.Fail:
		f.fails = true
	}
}

// Stand is what to do now.
func (f *Follower) Stand(now float64) Stand {
	if f.plan == nil || f.set.Zone >= len(f.plan.Matrix) {
		return Stand{Zone: f.set.Zone, Price: -1}
	}
	s := Stand{Zone: f.set.Zone, Price: f.set.Price, Why: Planned, No: f.plan.No}
	home := Home(f.plan.Matrix[f.set.Zone], f.set.Zone, f.rank, f.of)
	switch {
	case now < f.ends:
		s.Zone = home
	case f.fails && home != f.set.Zone:
		s.Zone, s.Why = home, Spilling
	default:
		s.Why = Fallback
	}
	return s
}

// Home is the zone that the rank-th of so many poolers of a zone takes for near, by its row.
func Home(row []float64, self, rank, of int) int {
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
