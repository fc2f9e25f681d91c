package health

import (
	"testing"

	"pgregory.net/rapid"

	"beechgrade/internal/testkit/deterministic"
)

const tick = 500.0

// TestLossyZoneIsEvacuatedAndReturns: health checks succeed, and a third of the attempts is lost. The zone fails, is evacuated, returns,
// fails again with a longer rest, and serves once it is healthy.
func TestLossyZoneIsEvacuatedAndReturns(t *testing.T) {
	set := Defaults()
	z, now := New(&set), 0.0
	var seen []State
	last := map[State]float64{}
	var rests []float64
	for ; now < 400000; now += tick {
		e := Observation{Attempts: 100, Lost: 33, ServingShare: 1, Load: 0.5}
		if z.State == Evacuated {
			e.Attempts, e.Lost = 0, 0
		}
		if now > 200000 {
			e.Lost = 0
		}
		if was := z.State; z.Step(&set, now, &e) {
			if was == Evacuated {
				rests = append(rests, now-last[Evacuated])
			}
			seen, last[z.State] = append(seen, z.State), now
		}
	}
	if len(seen) < 6 || seen[0] != Failing || seen[1] != Evacuated || seen[2] != Returning || seen[3] != Evacuated || z.State != Serving {
		t.Errorf("%v", seen)
	}
	for i := 1; i < len(rests); i++ {
		if rests[i] < 1.9*rests[i-1] {
			t.Errorf("rests of %v", rests)
		}
	}
	if rests[0] < set.MinRest || rests[0] > set.MinRest+set.FailureTime+2*tick {
		t.Errorf("the first rest took %v", rests[0])
	}
}

// TestOrderOverridesEvidence: an order holds whatever is observed, and its end brings the zone back slowly.
func TestOrderOverridesEvidence(t *testing.T) {
	set := Defaults()
	z := New(&set)
	z.Order(0, Evacuated)
	for now := 0.0; now < 300000; now += tick {
		if z.Step(&set, now, &Observation{Attempts: 100, ServingShare: 1}) || z.State != Evacuated {
			t.Fatalf("%v at %v, under an order", z.State, now)
		}
	}
	z.ClearOrder(300000)
	if z.State != Returning || z.RecoveredShare(&set, 300000+set.RecoveryTime/2) != 0.5 {
		t.Errorf("%v after the order", z.State)
	}
	if !z.Step(&set, 300000+set.RecoveryTime, &Observation{Attempts: 100, ServingShare: 1}) || z.State != Serving {
		t.Errorf("%v, warm", z.State)
	}
	z.Order(0, Serving)
	for now := 0.0; now < 10000; now += tick {
		if z.Step(&set, now, &Observation{ServingShare: 0}); z.State != Serving {
			t.Fatalf("%v: it was ordered to serve", z.State)
		}
	}
	if z.ClearOrder(10000); !z.Step(&set, 10000, &Observation{ServingShare: 0}) || z.State != Failing {
		t.Errorf("%v: what was seen all the while counts at the order's end", z.State)
	}
}

// TestStrainNeedsLastingLoad: load must last for a zone to become strained, and be lower for a while for it to serve again.
func TestStrainNeedsLastingLoad(t *testing.T) {
	set := Defaults()
	z, now := New(&set), 0.0
	run := func(load, ms float64) State {
		for end := now + ms; now < end; now += tick {
			z.Step(&set, now, &Observation{Attempts: 100, ServingShare: 1, Load: load})
		}
		return z.State
	}
	for i, s := range []struct {
		load, ms float64
		want     State
	}{{1.2, set.StrainTime, Serving}, {0.9, tick, Serving}, {1.2, set.StrainTime + 2*tick, Strained}, {0.9, 5 * set.StrainTime, Strained}, {0.7, set.StrainTime, Strained}, {0.7, 2 * tick, Serving}} {
		if got := run(s.load, s.ms); got != s.want {
			t.Errorf("%d: %v, want %v", i, got, s.want)
		}
	}
}

// TestShiftsAreBounded: whatever is observed, a zone is abandoned and restored no more often than MaxShifts.
func TestShiftsAreBounded(t *testing.T) {
	deterministic.Check(t, func(r *rapid.T) {
		set := Defaults()
		set.MinRest = rapid.Float64Range(2000, 20000).Draw(r, "rest")
		z, now, out := New(&set), 0.0, false
		var shifts []float64
		for now < 150000 {
			e := Observation{Attempts: 100, ServingShare: 1, Unobserved: rapid.IntRange(0, 9).Draw(r, "dark") == 0}
			if rapid.Bool().Draw(r, "bad") {
				e.Lost = 100
			}
			for range rapid.IntRange(1, 40).Draw(r, "ticks") {
				now += tick
				if z.Step(&set, now, &e); z.State.Abandoned() != out {
					out = !out
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
			if n > set.MaxShifts(60000) {
				r.Fatalf("%d shifts in a minute from %v: %v; %d are stated", n, shifts[i], shifts, set.MaxShifts(60000))
			}
		}
	})
}

// TestResumeStartsTimesAnew: a process that takes over a zone's state starts its times anew.
func TestResumeStartsTimesAnew(t *testing.T) {
	set := Defaults()
	z := Resume(Evacuated, 60000, 1000)
	for now := 1000.0; now < 61000; now += tick { // its rest is not over
		if z.Step(&set, now, &Observation{ServingShare: 1}) {
			t.Fatalf("%v at %v", z.State, now)
		}
	}
	if !z.Step(&set, 61000, &Observation{ServingShare: 1}) || z.State != Returning || z.RestMs != 60000 {
		t.Errorf("%v after its rest of %v", z.State, z.RestMs)
	}
}
