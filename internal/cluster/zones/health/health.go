// Package health follows the state of one zone, or of the link from one zone to another: serving, strained, failing, evacuated,
// returning. It is a pure state machine: observations of the fleet go in from time to time, a state comes out. Each change takes evidence
// that lasts, and an evacuated zone rests longer after each return that failed, so states do not flap (Settings.MaxShifts). Without an
// observation, or with one that nobody could make, the state stays as it is; an evacuated zone that nobody can observe may return.
//
// Operators may order a state until they lift the order; what was observed meanwhile counts again from then on. The package does not know
// whose evidence it is, nor what follows from a state.
package health

import "math"

// State is the state of a zone or a link.
type State uint8

// The states.
const (
	Serving   State = iota
	Strained        // its local reads fill it: it takes none of other zones
	Failing         // a part of what is sent there is lost: its reads leave in steps
	Evacuated       // nothing is sent there
	Returning       // its local reads come back in small steps
)

// StateNames are the names of the states in orders and answers.
var StateNames = [...]string{"serving", "strained", "failing", "evacuated", "returning"}

// String returns the state's name.
func (s State) String() string { return StateNames[min(int(s), len(StateNames)-1)] }

// Abandoned reports whether the reads of a zone in this state leave it.
func (s State) Abandoned() bool { return s == Failing || s == Evacuated }

// Settings configure when states change. Times are in ms.
type Settings struct {
	MinAttempts      float64 // in a window, for its losses to count
	FailingLossShare float64 // the part of the attempts whose loss is a failure
	HealthyLossShare float64 // the part that may be lost in a healthy zone
	MinServingShare  float64 // a zone fails with a smaller part of its servers serving
	StrainedLoad     float64 // as a part of the safe capacity
	UnstrainedLoad   float64
	FailureTime      float64 // that losses last until a zone fails
	EvacuationTime   float64 // from then until it is evacuated
	StrainTime       float64 // that load lasts until a zone is strained, or is not any more
	MinRest          float64 // that an evacuated zone is left alone, doubled for each failed return...
	MaxRest          float64 // ...up to this
	RecoveryTime     float64 // that a return takes
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

// nextRest returns the rest after a failed return.
func (settings *Settings) nextRest(rest float64) float64 {
	return min(2*rest, max(settings.MaxRest, settings.MinRest))
}

// MaxShifts bounds how often a zone is abandoned or restored within a time of up to MaxRest: it stays abandoned for at least MinRest and
// restored for at least FailureTime, and where it fails within MaxRest of its return the next rest is twice as long.
func (settings *Settings) MaxShifts(ms float64) int {
	// count returns n and the shifts after a time at which the zone was abandoned.
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
	Lost         float64 // of them, without an answer
	ServingShare float64 // the part of its servers that serve, of those in normal operation
	Load         float64 // as a part of the safe capacity
	Unobserved   bool    // nobody could observe it
}

// IsFailure reports whether an observation is evidence of a failure.
func (settings *Settings) IsFailure(observation *Observation) bool {
	if observation.Unobserved {
		return false
	}
	lossy := observation.Attempts >= settings.MinAttempts && observation.Lost >= settings.FailingLossShare*observation.Attempts
	return lossy || observation.ServingShare < settings.MinServingShare
}

// IsHealthy reports whether an observation has no evidence of a failure at all.
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

	returned bool    // it returned, and has not served for MaxRest since
	since    float64 // of the state

	// Since when the evidence lasts, 0 for none.
	failingSince    float64
	strainedSince   float64
	healthySince    float64
	unstrainedSince float64
}

// New returns a zone that serves.
func New(settings *Settings) Zone { return Zone{RestMs: settings.MinRest} }

// Resume returns a zone in the state that another process had it in. Its times start anew, so it can only change later.
func Resume(state State, restMs, now float64) Zone {
	return Zone{State: state, RestMs: restMs, since: now}
}

// Since returns when the zone came to its state.
func (z *Zone) Since() float64 { return z.since }

// RecoveredShare returns how far a returning zone has recovered, from 0 to 1.
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

// ClearOrder ends an order: a zone that was abandoned returns.
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

// fail changes to an abandoned state, with a longer rest if the zone had returned lately.
func (z *Zone) fail(settings *Settings, state State, now float64) {
	if z.returned {
		z.RestMs = settings.nextRest(z.RestMs)
	}
	z.changeState(state, now)
}

// noEvidence is the duration of evidence that there is none of.
const noEvidence = -1

// durationOf returns for how long a condition has held. since is where the start of that is stored.
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

// durations are how long the kinds of evidence have lasted, in ms.
type durations struct{ failing, strained, healthy, unstrained float64 }

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

// Step takes an observation and reports whether the state changed. An ordered state does not change.
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
	if now-z.since >= settings.MaxRest { // it has served for long: the next return is as quick as the first one
		z.RestMs = settings.MinRest
		z.returned = false
	}
}
