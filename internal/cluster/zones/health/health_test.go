package health

import (
	"testing"

	"pgregory.net/rapid"

	"beechgrade/internal/testkit/deterministic"
)

const tick = 500.0

// TestLossyZoneIsEvacuatedAndReturns: health checks succeed while a third of the attempts is lost. The zone fails, is evacuated, returns,
// fails again with a longer rest, and serves once it is healthy.
func TestLossyZoneIsEvacuatedAndReturns(t *testing.T) {
	settings := Defaults()
	z, now := New(&settings), 0.0
	var states []State
	enteredAt := map[State]float64{}
	var rests []float64
	for ; now < 400000; now += tick {
		observation := Observation{Attempts: 100, Lost: 33, ServingShare: 1, Load: 0.5}
		if z.State == Evacuated {
			observation.Attempts, observation.Lost = 0, 0
		}
		if now > 200000 {
			observation.Lost = 0
		}
		if previous := z.State; z.Step(&settings, now, &observation) {
			if previous == Evacuated {
				rests = append(rests, now-enteredAt[Evacuated])
			}
			states, enteredAt[z.State] = append(states, z.State), now
		}
	}
	if len(states) < 6 || states[0] != Failing || states[1] != Evacuated || states[2] != Returning || states[3] != Evacuated || z.State != Serving {
		t.Errorf("zone entered states %v and is %v, want failing, evacuated, returning, evacuated, and serving at the end", states, z.State)
	}
	for i := 1; i < len(rests); i++ {
		if rests[i] < 1.9*rests[i-1] {
			t.Errorf("rests of %v ms, want each one twice as long as the previous one", rests)
		}
	}
	if rests[0] < settings.MinRest || rests[0] > settings.MinRest+settings.FailureTime+2*tick {
		t.Errorf("the first rest took %v ms, want about %v", rests[0], settings.MinRest)
	}
}

// TestOrderOverridesEvidence: an ordered state holds whatever is observed; when the order ends the zone returns slowly.
func TestOrderOverridesEvidence(t *testing.T) {
	settings := Defaults()
	z := New(&settings)
	z.Order(0, Evacuated)
	for now := 0.0; now < 300000; now += tick {
		if z.Step(&settings, now, &Observation{Attempts: 100, ServingShare: 1}) || z.State != Evacuated {
			t.Fatalf("zone is %v at %v ms, want evacuated as ordered", z.State, now)
		}
	}
	z.ClearOrder(300000)
	if z.State != Returning || z.RecoveredShare(&settings, 300000+settings.RecoveryTime/2) != 0.5 {
		t.Errorf("zone is %v after the order ended, want returning, and half recovered after half of RecoveryTime", z.State)
	}
	if !z.Step(&settings, 300000+settings.RecoveryTime, &Observation{Attempts: 100, ServingShare: 1}) || z.State != Serving {
		t.Errorf("zone is %v after RecoveryTime, want a change to serving", z.State)
	}
	z.Order(0, Serving)
	for now := 0.0; now < 10000; now += tick {
		if z.Step(&settings, now, &Observation{ServingShare: 0}); z.State != Serving {
			t.Fatalf("zone is %v at %v ms, want serving as ordered", z.State, now)
		}
	}
	if z.ClearOrder(10000); !z.Step(&settings, 10000, &Observation{ServingShare: 0}) || z.State != Failing {
		t.Errorf("zone is %v after the order ended, want failing: the evidence collected during the order counts", z.State)
	}
}

// TestStrainNeedsLastingLoad: a zone becomes strained only if high load lasts, and serves again only if low load lasts.
func TestStrainNeedsLastingLoad(t *testing.T) {
	settings := Defaults()
	z, now := New(&settings), 0.0
	run := func(load, ms float64) State {
		for end := now + ms; now < end; now += tick {
			z.Step(&settings, now, &Observation{Attempts: 100, ServingShare: 1, Load: load})
		}
		return z.State
	}
	for i, step := range []struct {
		load, ms float64
		want     State
	}{{1.2, settings.StrainTime, Serving}, {0.9, tick, Serving}, {1.2, settings.StrainTime + 2*tick, Strained}, {0.9, 5 * settings.StrainTime, Strained}, {0.7, settings.StrainTime, Strained}, {0.7, 2 * tick, Serving}} {
		if got := run(step.load, step.ms); got != step.want {
			t.Errorf("step %d, load %v for %v ms: zone is %v, want %v", i, step.load, step.ms, got, step.want)
		}
	}
}

// TestShiftsAreBounded: whatever is observed, a zone is abandoned or restored no more often than MaxShifts.
func TestShiftsAreBounded(t *testing.T) {
	deterministic.Check(t, func(r *rapid.T) {
		settings := Defaults()
		settings.MinRest = rapid.Float64Range(2000, 20000).Draw(r, "rest")
		z, now, abandoned := New(&settings), 0.0, false
		var shifts []float64
		for now < 150000 {
			observation := Observation{Attempts: 100, ServingShare: 1, Unobserved: rapid.IntRange(0, 9).Draw(r, "unobserved") == 0}
			if rapid.Bool().Draw(r, "bad") {
				observation.Lost = 100
			}
			for range rapid.IntRange(1, 40).Draw(r, "ticks") {
				now += tick
				if z.Step(&settings, now, &observation); z.State.Abandoned() != abandoned {
					abandoned = !abandoned
					shifts = append(shifts, now)
				}
			}
		}
		for i := range shifts {
			n := 0
			for _, at := range shifts[i:] {
				if at < shifts[i]+60000 {
					n++
				}
			}
			if n > settings.MaxShifts(60000) {
				r.Fatalf("%d shifts in the minute from %v ms, want at most %d: %v", n, shifts[i], settings.MaxShifts(60000), shifts)
			}
		}
	})
}

// TestResumeRestartsTimes: in a process that takes over a zone's state the zone rests for the whole time again.
func TestResumeRestartsTimes(t *testing.T) {
	settings := Defaults()
	z := Resume(Evacuated, 60000, 1000)
	for now := 1000.0; now < 61000; now += tick { // its rest is not over
		if z.Step(&settings, now, &Observation{ServingShare: 1}) {
			t.Fatalf("zone changed to %v at %v ms, want evacuated until its rest ends at 61000 ms", z.State, now)
		}
	}
	if !z.Step(&settings, 61000, &Observation{ServingShare: 1}) || z.State != Returning || z.RestMs != 60000 {
		t.Errorf("zone is %v with a next rest of %v ms after its rest, want returning and 60000 ms", z.State, z.RestMs)
	}
}
