// Package health follows one zone, or the way from one zone to another: serving, strained, failing, evacuated, returning. Pure: what the fleet
// saw of it goes in from time to time, a state comes out. Each step takes evidence that lasts, and the way back takes longer each time it
// was in vain, so nothing flaps: see Settings.Shifts.
//
// Operators may order a state, until it is taken back; what was seen meanwhile counts again from the order's end on. It does not know
// whose evidence it is, nor what is made of a state.
package health

import "math"

// State is what a zone is in.
type State uint8

// The states.
const (
	Serving   State = iota
	Strained        // near reads fill it: it takes none of others
	Failing         // a part of what is sent there is lost: its reads leave in steps
	Evacuated       // nothing goes there
	Returning       // near reads come back in small steps
)

// Names are theirs, as operators say them.
var Names = [...]string{"serving", "strained", "failing", "evacuated", "returning"}

func (s State) String() string { return Names[min(int(s), len(Names)-1)] }

// Out tells whether a state has a zone left.
func (s State) Out() bool { return s == Failing || s == Evacuated }

// Settings say when. Times are in ms.
type Settings struct {
	Least     float64 // attempts that a window has at least, for its losses to count
	FailAt    float64 // part lost
	WellAt    float64 // part lost at most, to be well again
	UpAt      float64 // part of its servers that serve, below which it fails
	StrainAt  float64 // load, as a part of its safe room
	StrainOff float64
	Fail      float64 // that losses last until it fails
	Empty     float64 // from then until it is evacuated whole
	Strain    float64 // that load lasts, to be strained or no more
	Rest      float64 // that an evacuated zone is left alone at least, doubled for each return in vain...
	MostRest  float64 // ...up to this
	Warm      float64 // that it takes to come back
}

// Defaults are for zones of one region.
func Defaults() Settings {
	return Settings{Least: 10, FailAt: 0.15, WellAt: 0.05, UpAt: 0.5, StrainAt: 1, StrainOff: 0.8, Fail: 1500, Empty: 3000, Strain: 3000, Rest: 15000, MostRest: 240000, Warm: 30000}
}

// Shifts bounds how often a zone is left or taken back in a time up to MostRest: from out to back it takes Rest at least, from back to out Fail,
// and where it fails within MostRest of its return the next Rest is twice as long.
func (s *Settings) Shifts(ms float64) int {
	count := func(n int, at, rest float64) int { // from a shift out
		for ; ; rest = min(2*rest, max(s.MostRest, s.Rest)) {
			if at += rest; at > ms {
				return n
			}
			n++ // back
			if at += s.Fail; at > ms {
				return n
			}
			n++ // out again
		}
	}
	return max(count(1, 0, s.Rest), count(2, s.Fail, 2*s.Rest)) // the first is out, or it is back
}

// Seen is what was seen in the last window.
type Seen struct {
	Asked float64 // attempts that ended
	Lost  float64 // ...of them without an answer
	Up    float64 // part of its servers that serve, of those that it has when all is well
	Load  float64 // as a part of its safe room
	Dark  bool    // nobody could see it
}

// Zone is one.
type Zone struct {
	State   State
	Rest    float64 // the next one
	Ordered bool

	tried                bool    // it came back, and has not held since
	since                float64 // of the state
	bad, high, well, low float64 // since when, 0 for not now
}

// New is a zone that serves.
func New(set *Settings) Zone { return Zone{Rest: set.Rest} }

// Resume is one as another had it: its times begin anew, so it can only be slower.
func Resume(s State, rest, now float64) Zone { return Zone{State: s, Rest: rest, since: now} }

// Since is when it came to its state.
func (z *Zone) Since() float64 { return z.since }

// Warmed is how far a zone that returns has come, from 0 to 1.
func (z *Zone) Warmed(set *Settings, now float64) float64 {
	if z.State != Returning {
		return 1
	}
	return min(1, (now-z.since)/max(1, set.Warm))
}

// lasts counts how long something has held.
func lasts(from *float64, on bool, now float64) float64 {
	if !on {
		*from = 0
		return -1
	}
	if *from == 0 {
		*from = now
	}
	return now - *from
}

// Bad tells whether a window speaks of a failure; Well of none.
func (set *Settings) Bad(e *Seen) bool {
	return !e.Dark && (e.Up < set.UpAt || e.Asked >= set.Least && e.Lost >= set.FailAt*e.Asked)
}

// Well tells whether a window speaks of no failure at all.
func (set *Settings) Well(e *Seen) bool {
	return !e.Dark && e.Up >= set.UpAt && e.Lost <= set.WellAt*max(e.Asked, set.Least)
}

// Order has operators say its state.
func (z *Zone) Order(now float64, s State) {
	if z.Ordered = true; z.State != s {
		z.to(s, now)
	}
}

// Free ends an order: what was ordered out comes back slowly.
func (z *Zone) Free(now float64) {
	if !z.Ordered {
		return
	}
	if z.Ordered = false; z.State.Out() {
		z.to(Returning, now)
	}
}

func (z *Zone) to(s State, now float64) {
	z.State, z.since, z.bad, z.high, z.well, z.low = s, now, 0, 0, 0, 0
	z.tried = z.tried || s == Returning
}

// fails has it fail; in vain it came back, where that was lately.
func (z *Zone) fails(set *Settings, s State, now float64) {
	if z.tried {
		z.Rest = min(2*z.Rest, max(set.MostRest, set.Rest))
	}
	z.to(s, now)
}

// Step takes a window, and tells whether the state is another one.
func (z *Zone) Step(set *Settings, now float64, e *Seen) bool {
	was := z.State
	bad, high := lasts(&z.bad, set.Bad(e), now), lasts(&z.high, !e.Dark && e.Load >= set.StrainAt, now)
	well, calm := lasts(&z.well, set.Well(e) || e.Dark && z.State == Evacuated, now), lasts(&z.low, e.Load <= set.StrainOff, now)
	if z.Ordered {
		return false
	}
	switch z.State {
	case Serving, Strained:
		if bad >= set.Fail {
			z.fails(set, Failing, now)
			break
		}
		if z.State == Serving && high >= set.Strain {
			z.to(Strained, now)
		} else if z.State == Strained && calm >= set.Strain {
			z.to(Serving, now)
		}
		if now-z.since >= set.MostRest { // it has held: the next return is as quick as the first
			z.Rest, z.tried = set.Rest, false
		}
	case Failing:
		if now-z.since >= set.Empty {
			z.to(Evacuated, now)
		}
	case Evacuated:
		if now-z.since >= z.Rest && well >= min(set.Fail, z.Rest) {
			z.to(Returning, now)
		}
	case Returning:
		if bad >= set.Fail {
			z.fails(set, Evacuated, now)
		} else if now-z.since >= set.Warm {
			z.to(Serving, now)
		}
	}
	z.Rest = math.Max(z.Rest, set.Rest)
	return z.State != was
}
