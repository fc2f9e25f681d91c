package decide

import (
	"testing"
	"time"
)

// moveShares reassigns the shares of the slow-start budget at each interval: nearly the whole budget to one router after another.
func (f *slowStartFleet) moveShares(from, to Time, every time.Duration) {
	holder := 0
	var move func()
	move = func() {
		for i := range f.routers {
			settings := f.settings
			settings.SlowStartAssigned, settings.SlowStartShare = true, 0.1/float64(len(f.routers)-1)
			if i == holder {
				settings.SlowStartShare = 0.9
			}
			f.handle(i, &Reload{Settings: settings})
		}
		holder = (holder + 1) % len(f.routers)
		if when := f.now + every; when < to {
			f.at(when, move)
		}
	}
	f.at(from, move)
}

// TestSlowStartSharesMoveBetweenRouters: shares of the budget move from router to router within its span. What a router has
// used of a share is not used again by the next router that gets it, nor by the same router when the share returns.
func TestSlowStartSharesMoveBetweenRouters(t *testing.T) {
	for _, every := range []time.Duration{50 * ms, 100 * ms, 250 * ms, time.Second} {
		for seed := range uint64(3) {
			f := newSlowStartFleet(t, 8, seed+1, nil)
			f.answer = func(*slowStartFleet) (Result, time.Duration) { return OK, ms } // only the budget limits the routers
			f.moveShares(start, start+20*time.Second, every)
			f.restart(restartAt, 0)
			f.demand(restartAt+time.Second, start+18*time.Second, 1000)
			f.run(start + 18*time.Second)
			attempts, allowed := f.fullestSpan(restartAt)
			t.Logf("shares move every %v: %d attempts in the fullest span, %.1f are allowed", every, attempts, allowed)
			if attempts == 0 || float64(attempts) > slowStartBound(allowed) {
				t.Errorf("shares move every %v, seed %d: %d attempts, want some and at most %.1f", every, seed+1, attempts, slowStartBound(allowed))
			}
		}
	}
}

// TestSlowStartDrawsOnlyForTheChosenServer: a request that goes to a cheaper server does not use up the draw of a server
// in slow start that costs more.
func TestSlowStartDrawsOnlyForTheChosenServer(t *testing.T) {
	h := newGroupOfThree(t, func(settings *Settings) { settings.Peers = 300 })
	cold := h.r.servers["b"]
	cold.startedAt, cold.slowStartDrawAt, cold.relativeRate = h.now-time.Second, h.now-time.Second, 0.01
	before := cold.slowStartDrawAt
	sent := h.handle(&Request{ID: "x", Class: classAny, Deadline: h.now + time.Second})
	if len(sent) == 0 || len(cold.openAttempts) > 0 {
		t.Fatalf("the read must go to a warm server: %v", sent)
	}
	if cold.slowStartDrawAt != before {
		t.Error("a draw was made for a server that was not chosen")
	}
}
