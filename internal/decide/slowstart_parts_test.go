package decide

import (
	"testing"
	"time"
)

// moveParts gives routers their parts of the slow start budget anew every so often: nearly all of it to one after another.
func (f *slowStartFleet) moveParts(from, to Time, every time.Duration) {
	holder := 0
	var move func()
	move = func() {
		for i := range f.routers {
			set := f.set
			set.SlowStartAssigned, set.SlowStartShare = true, 0.1/float64(len(f.routers)-1)
			if i == holder {
				set.SlowStartShare = 0.9
			}
			f.handle(i, &Reload{Settings: set})
		}
		holder = (holder + 1) % len(f.routers)
		if when := f.now + every; when < to {
			f.at(when, move)
		}
	}
	f.at(from, move)
}

// TestSlowStartPartsMove: parts of the budget move from router to router within its span. What one has used of a part
// is not used again by the next that gets it, nor by the same one when the part returns.
func TestSlowStartPartsMove(t *testing.T) {
	for _, every := range []time.Duration{50 * ms, 100 * ms, 250 * ms, time.Second} {
		for seed := range uint64(3) {
			f := newSlowStartFleet(t, 8, seed+1, nil)
			f.answer = func(*slowStartFleet) (Result, time.Duration) { return OK, ms } // so that its budget alone holds a router back
			f.moveParts(start, start+20*time.Second, every)
			f.restart(restartAt, 0)
			f.demand(restartAt+time.Second, start+18*time.Second, 1000)
			f.run(start + 18*time.Second)
			calls, allowed := f.worst(restartAt)
			t.Logf("parts move every %v: %d calls in the fullest span, %.1f are allowed", every, calls, allowed)
			if calls == 0 || float64(calls) > slowStartBound(allowed) {
				t.Errorf("parts move every %v, seed %d: %d calls, at most %.1f", every, seed+1, calls, slowStartBound(allowed))
			}
		}
	}
}

// TestSlowStartDrawsForWhatIsTaken: a server in slow start that costs more than another has no draw used up by a
// request that goes to the other.
func TestSlowStartDrawsForWhatIsTaken(t *testing.T) {
	h := newGroupOfThree(t, func(set *Settings) { set.Peers = 300 })
	cold := h.r.servers["b"]
	cold.startedAt, cold.slowStartDrawAt, cold.relativeRate = h.now-time.Second, h.now-time.Second, 0.01
	before := cold.slowStartDrawAt
	sent := h.handle(&Request{ID: "x", Class: classAny, Deadline: h.now + time.Second})
	if len(sent) == 0 || len(cold.openAttempts) > 0 {
		t.Fatalf("the read goes to a warm server: %v", sent)
	}
	if cold.slowStartDrawAt != before {
		t.Error("a draw was used up for a server that was not taken")
	}
}
