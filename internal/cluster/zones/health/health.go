// Package health tracks the state of one zone, or of the link from one zone to another: serving, strained, failing, evacuated, returning.
// It is a pure state machine: observations of the fleet go in periodically, a state comes out. Each change needs evidence that lasts for
// some time, and an evacuated zone rests longer after each failed return, so states do not flap (Settings.MaxShifts). An observation that
// no pooler could make is no evidence: the state stays as it is, except that an evacuated zone that cannot be observed may return.
//
// Operators may order a state until they lift the order. Evidence is collected meanwhile, and counts when the order ends. The package does
// not depend on who made the observations, nor on what follows from a state.
package health

import "math"

// State is the state of a zone or a link.
type State uint8

// The states.
const (
	Serving   State = iota
	Strained        // its local reads use up its safe capacity: it takes no reads of other zones
	Failing         // a part of the attempts there is lost, or servers are missing: its reads leave in steps
	Evacuated       // no reads are sent there
	Returning       // its local reads return in small steps
)

// StateNames are the names of the states in orders and admin answers.
var StateNames = [...]string{"serving", "strained", "failing", "evacuated", "returning"}

// String returns the state's name.
func (s State) String() string { return StateNames[min(int(s), len(StateNames)-1)] }

// Abandoned reports whether the reads of a zone in this state leave it.
func (s State) Abandoned() bool { return s == Failing || s == Evacuated }

// Settings configure when states change. Times are in ms.
type Settings struct {
	MinAttempts      float64 // in a window, below which losses do not count
	FailingLossShare float64 // the part of the attempts from which losses are a failure
	HealthyLossShare float64 // the part of the attempts that may be lost in a healthy zone
	MinServingShare  float64 // a zone fails if a smaller part of its servers serves
	StrainedLoad     float64 // from which a zone is strained, as a part of the safe capacity
	UnstrainedLoad   float64 // up to which it is not strained any more, as a part of the safe capacity
	FailureTime      float64 // how long a failure lasts until the zone is failing
	EvacuationTime   float64 // from failing to evacuated
	StrainTime       float64 // how long a load lasts until a zone is strained, or is not strained any more
	MinRest          float64 // the first time for which an evacuated zone is not used; doubled for each failed return...
	MaxRest          float64 // ...up to this
	RecoveryTime     float64 // duration of a return
}

// Defaults returns settings for the zones of one region.
func Defaults() Settings {
	return Settings{
		MinAttempts:      10,
		FailingLossShare: 0.15,
		HealthyLossShare: 0.05,
		MinServingShare:  0.5,
		StrainedLoad:     1,
		UnstrainedLoad:   0.8,
		FailureTime:      1500,
		EvacuationTime:   3000,
		StrainTime:       3000,
		MinRest:          15000,
		MaxRest:          240000,
		RecoveryTime:     30000,
	}
}

// nextRest returns the rest that follows a rest whose return failed.
func (settings *Settings) nextRest(rest float64) float64 {
	return min(2*rest, max(settings.MaxRest, settings.MinRest))
}

// MaxShifts bounds how often a zone is abandoned or restored within a time of up to MaxRest: it stays abandoned for at least MinRest and
// restored for at least FailureTime, and if it fails within MaxRest of its return the next rest is twice as long.
func (settings *Settings) MaxShifts(ms float64) int {
	// count returns n plus the number of shifts after the zone was abandoned at a time.
	count := func(n int, at, rest float64) int {
		for ; ; rest = settings.nextRest(rest) {
			at += rest
			if at > ms {
				return n
			}
			n++ // restored
			at += settings.FailureTime
			if at > ms {
				return n
			}
			n++ // abandoned again
		}
	}
	abandonedFirst := count(1, 0, settings.MinRest)
	restoredFirst := count(2, settings.FailureTime, 2*settings.MinRest)
	return max(abandonedFirst, restoredFirst)
}

// Observation is what was observed in the last window.
type Observation struct {
	Attempts     float64 // that ended
	Lost         float64 // attempts of these without an answer
	ServingShare float64 // cores that serve, as a part of those in normal operation
	Load         float64 // as a part of the safe capacity
	Unobserved   bool    // no pooler could observe the zone or link
}

// IsFailure reports whether an observation is evidence of a failure.
func (settings *Settings) IsFailure(observation *Observation) bool {
	if observation.Unobserved {
		return false
	}
	lossy := observation.Attempts >= settings.MinAttempts && observation.Lost >= settings.FailingLossShare*observation.Attempts
	return lossy || observation.ServingShare < settings.MinServingShare
}

// IsHealthy reports whether an observation was made and has no evidence of a failure.
func (settings *Settings) IsHealthy(observation *Observation) bool {
	if observation.Unobserved || observation.ServingShare < settings.MinServingShare {
		return false
	}
	return observation.Lost <= settings.HealthyLossShare*max(observation.Attempts, settings.MinAttempts)
}

// Zone is the state of a zone or a link, and the evidence for the next one. Times are in ms.
type Zone struct {
	State   State
	RestMs  float64 // the next rest
	Ordered bool    // by operators

	returned bool    // returned, and has not served for MaxRest since
	since    float64 // when the state was entered

	// When each kind of evidence began, 0 for no evidence.
	failingSince    float64
	strainedSince   float64
	healthySince    float64
	unstrainedSince float64
}

// New returns a zone in the state Serving.
func New(settings *Settings) Zone { return Zone{RestMs: settings.MinRest} }

// Resume returns a zone in the state that it had in another process. Its times start again from the beginning, so it
// changes no earlier than it would have.
func Resume(state State, restMs, now float64) Zone {
	return Zone{State: state, RestMs: restMs, since: now}
}

// Since returns when the zone entered its state.
func (z *Zone) Since() float64 { return z.since }

// RecoveredShare returns how far a returning zone has recovered, from 0 to 1; 1 in any other state.
func (z *Zone) RecoveredShare(settings *Settings, now float64) float64 {
	if z.State != Returning {
		return 1
	}
	return min(1, (now-z.since)/max(1, settings.RecoveryTime))
}

// Order sets the state that operators order.
func (z *Zone) Order(now float64, state State) {
	z.Ordered = true
	if z.State != state {
		z.changeState(state, now)
	}
}

// ClearOrder ends an order, if there is one: a zone that was abandoned returns.
func (z *Zone) ClearOrder(now float64) {
	if !z.Ordered {
		return
	}
	z.Ordered = false
	if z.State.Abandoned() {
		z.changeState(Returning, now)
	}
}

func (z *Zone) changeState(state State, now float64) {
	z.State = state
	z.since = now
	z.failingSince = 0
	z.strainedSince = 0
	z.healthySince = 0
	z.unstrainedSince = 0
	z.returned = z.returned || state == Returning
}

// fail changes to an abandoned state, with a longer rest if the zone had returned recently.
func (z *Zone) fail(settings *Settings, state State, now float64) {
	if z.returned {
		z.RestMs = settings.nextRest(z.RestMs)
	}
	z.changeState(state, now)
}

// noEvidence is returned as the duration of a condition that does not hold.
const noEvidence = -1

// durationOf returns for how long a condition has held. since points to the time at which it began, 0 for a condition that does not hold.
func durationOf(since *float64, holds bool, now float64) float64 {
	if !holds {
		*since = 0
		return noEvidence
	}
	if *since == 0 {
		*since = now
	}
	return now - *since
}

// durations is how long each kind of evidence has lasted, in ms.
type durations struct{ failing, strained, healthy, unstrained float64 }

// observe updates the times at which evidence began, and returns how long it has lasted.
func (z *Zone) observe(settings *Settings, now float64, observation *Observation) durations {
	strained := !observation.Unobserved && observation.Load >= settings.StrainedLoad
	mayReturn := settings.IsHealthy(observation) || observation.Unobserved && z.State == Evacuated
	return durations{
		failing:    durationOf(&z.failingSince, settings.IsFailure(observation), now),
		strained:   durationOf(&z.strainedSince, strained, now),
		healthy:    durationOf(&z.healthySince, mayReturn, now),
		unstrained: durationOf(&z.unstrainedSince, observation.Load <= settings.UnstrainedLoad, now),
	}
}

// Step handles an observation and reports whether the state changed. An ordered state does not change.
func (z *Zone) Step(settings *Settings, now float64, observation *Observation) bool {
	previous := z.State
	lasted := z.observe(settings, now, observation)
	if z.Ordered {
		return false
	}
	age := now - z.since
	switch z.State {
	case Serving, Strained:
		z.stepServing(settings, now, lasted)
	case Failing:
		if age >= settings.EvacuationTime {
			z.changeState(Evacuated, now)
		}
	case Evacuated:
		if age >= z.RestMs && lasted.healthy >= min(settings.FailureTime, z.RestMs) {
			z.changeState(Returning, now)
		}
	case Returning:
		if lasted.failing >= settings.FailureTime {
			z.fail(settings, Evacuated, now)
		} else if age >= settings.RecoveryTime {
			z.changeState(Serving, now)
		}
	}
	z.RestMs = math.Max(z.RestMs, settings.MinRest)
	return z.State != previous
}

// stepServing changes the state of a zone that is serving or strained.
func (z *Zone) stepServing(settings *Settings, now float64, lasted durations) {
	if lasted.failing >= settings.FailureTime {
		z.fail(settings, Failing, now)
		return
	}
	switch {
	case z.State == Serving && lasted.strained >= settings.StrainTime:
		z.changeState(Strained, now)
	case z.State == Strained && lasted.unstrained >= settings.StrainTime:
		z.changeState(Serving, now)
	}
	if now-z.since >= settings.MaxRest { // a failure after this long starts with the shortest rest again
		z.RestMs = settings.MinRest
		z.returned = false
	}
}
