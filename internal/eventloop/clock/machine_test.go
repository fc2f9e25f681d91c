package clock

import "testing"

// TestInstantsOfOneBootAreCompared: instants of one boot are compared by the monotonic clock, whatever the wall clock does; others are not compared.
func TestInstantsOfOneBootAreCompared(t *testing.T) {
	monotonic := 1000.0
	machine := Machine{Wall: func() float64 { return -1e9 * monotonic }, Monotonic: func() float64 { return monotonic }, Boot: "b"}
	instant := machine.Now()
	monotonic = 1250
	if ms, known := machine.Since(instant); ms != 250 || !known {
		t.Errorf("time since an instant of this boot: got %v ms, known %v; want 250 ms, true", ms, known)
	}
	for name, other := range map[string]Instant{"another boot": {"c", 1000}, "an unknown boot": {"", 1000}} {
		if _, known := machine.Since(other); known {
			t.Error(name, "is compared")
		}
	}
	machine.Boot = ""
	if _, known := machine.Since(Instant{}); known {
		t.Error("two unknown boots are compared")
	}
	if one, two := ThisMachine().Now(), ThisMachine().Now(); one.Boot != two.Boot || two.MonotonicMs < one.MonotonicMs || one.MonotonicMs <= 0 {
		t.Errorf("instants of this machine: %+v, then %+v; want one boot and times above 0 that do not go back", one, two)
	}
}
