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

// StateNames are theirs, as operators say them.
var StateNames = [...]string{"serving", "strained", "failing", "evacuated", "returning"}

func (s State) String() string { return StateNames[min(int(s), len(StateNames)-1)] }

// Abandoned tells whether a state has a zone left.
func (s State) Abandoned() bool { return s == Failing || s == Evacuated }

// Settings say when. Times are in ms.
type Settings struct {
	MinAttempts      float64 // attempts that a window has at least, for its losses to count
	FailingLossShare float64 // part lost
	HealthyLossShare float64 // part lost at most, to be well again
	MinServingShare  float64 // part of its servers that serve, below which it fails
	StrainedLoad     float64 // load, as a part of its safe room
	UnstrainedLoad   float64
	FailureTime      float64 // that losses last until it fails
	EvacuationTime   float64 // from then until it is evacuated whole
	StrainTime       float64 // that load lasts, to be strained or no more
	MinRest          float64 // that an evacuated zone is left alone at least, doubled for each return in vain...
	MaxRest          float64 // ...up to this
	RecoveryTime     float64 // that it takes to come back
}

// Defaults are for zones of one region.
func Defaults() Settings {
	return Settings{MinAttempts: 10, FailingLossShare: 0.15, HealthyLossShare: 0.05, MinServingShare: 0.5, StrainedLoad: 1, UnstrainedLoad: 0.8, FailureTime: 1500, EvacuationTime: 3000, StrainTime: 3000, MinRest: 15000, MaxRest: 240000, RecoveryTime: 30000}
}

// MaxShifts bounds how often a zone is left or taken back in a time up to MaxRest: from out to back it takes Rest at least, from back to out Fail,
// and where it fails within MaxRest of its return the next Rest is twice as long.
func (s *Settings) MaxShifts(ms float64) int {
	count := func(n int, at, rest float64) int { // from a shift out
		for ; ; rest = min(2*rest, max(s.MaxRest, s.MinRest)) {
			if at += rest; at > ms {
				return n
			}
			n++ // back
			if at += s.FailureTime; at > ms {
				return n
			}
			n++ // out again
		}
	}
	return max(count(1, 0, s.MinRest), count(2, s.FailureTime, 2*s.MinRest)) // the first is out, or it is back
}

// Observation is what was seen in the last window.
type Observation struct {
	Attempts     float64 // attempts that ended
	Lost         float64 // ...of them without an answer
	ServingShare float64 // part of its servers that serve, of those that it has when all is well
	Load         float64 // as a part of its safe room
	Unobserved   bool    // nobody could see it
}

// Zone is one.
type Zone struct {
	State   State
	RestMs  float64 // the next one
	Ordered bool

	returned                                                   bool    // it came back, and has not held since
	since                                                      float64 // of the state
	failingSince, strainedSince, healthySince, unstrainedSince float64 // since when, 0 for not now
}

// New is a zone that serves.
func New(settings *Settings) Zone { return Zone{RestMs: settings.MinRest} }

// Resume is one as another had it: its times begin anew, so it can only be slower.
func Resume(s State, rest, now float64) Zone { return Zone{State: s, RestMs: rest, since: now} }

// Since is when it came to its state.
func (z *Zone) Since() float64 { return z.since }

// RecoveredShare is how far a zone that returns has come, from 0 to 1.
func (z *Zone) RecoveredShare(settings *Settings, now float64) float64 {
	if z.State != Returning {
		return 1
	}
	return min(1, (now-z.since)/max(1, settings.RecoveryTime))
}

// durationOf counts how long something has held.
func durationOf(from *float64, on bool, now float64) float64 {
	if !on {
		*from = 0
		return -1
	}
	if *from == 0 {
		*from = now
	}
	return now - *from
}

// IsFailure tells whether a window speaks of a failure; Well of none.
func (settings *Settings) IsFailure(observation *Observation) bool {
	return !observation.Unobserved && (observation.ServingShare < settings.MinServingShare || observation.Attempts >= settings.MinAttempts && observation.Lost >= settings.FailingLossShare*observation.Attempts)
}

// IsHealthy tells whether a window speaks of no failure at all.
func (settings *Settings) IsHealthy(observation *Observation) bool {
	return !observation.Unobserved && observation.ServingShare >= settings.MinServingShare && observation.Lost <= settings.HealthyLossShare*max(observation.Attempts, settings.MinAttempts)
}

// Order has operators say its state.
func (z *Zone) Order(now float64, s State) {
	if z.Ordered = true; z.State != s {
		z.changeState(s, now)
	}
}

// ClearOrder ends an order: what was ordered out comes back slowly.
func (z *Zone) ClearOrder(now float64) {
	if !z.Ordered {
		return
	}
	if z.Ordered = false; z.State.Abandoned() {
		z.changeState(Returning, now)
	}
}

func (z *Zone) changeState(s State, now float64) {
	z.State, z.since, z.failingSince, z.strainedSince, z.healthySince, z.unstrainedSince = s, now, 0, 0, 0, 0
	z.returned = z.returned || s == Returning
}

// failAgain has it fail; in vain it came back, where that was lately.
func (z *Zone) failAgain(settings *Settings, s State, now float64) {
	if z.returned {
		z.RestMs = min(2*z.RestMs, max(settings.MaxRest, settings.MinRest))
	}
	z.changeState(s, now)
}

// Step takes a window, and tells whether the state is another one.
func (z *Zone) Step(settings *Settings, now float64, observation *Observation) bool {
	was := z.State
	bad, high := durationOf(&z.failingSince, settings.IsFailure(observation), now), durationOf(&z.strainedSince, !observation.Unobserved && observation.Load >= settings.StrainedLoad, now)
	well, calm := durationOf(&z.healthySince, settings.IsHealthy(observation) || observation.Unobserved && z.State == Evacuated, now), durationOf(&z.unstrainedSince, observation.Load <= settings.UnstrainedLoad, now)
	if z.Ordered {
		return false
	}
	switch z.State {
	case Serving, Strained:
		if bad >= settings.FailureTime {
			z.failAgain(settings, Failing, now)
			break
		}
		if z.State == Serving && high >= settings.StrainTime {
			z.changeState(Strained, now)
		} else if z.State == Strained && calm >= settings.StrainTime {
			z.changeState(Serving, now)
		}
		if now-z.since >= settings.MaxRest { // it has held: the next return is as quick as the first
			z.RestMs, z.returned = settings.MinRest, false
		}
	case Failing:
		if now-z.since >= settings.EvacuationTime {
			z.changeState(Evacuated, now)
		}
	case Evacuated:
		if now-z.since >= z.RestMs && well >= min(settings.FailureTime, z.RestMs) {
			z.changeState(Returning, now)
		}
	case Returning:
		if bad >= settings.FailureTime {
			z.failAgain(settings, Evacuated, now)
		} else if now-z.since >= settings.RecoveryTime {
			z.changeState(Serving, now)
		}
	}
	z.RestMs = math.Max(z.RestMs, settings.MinRest)
	return z.State != was
}
