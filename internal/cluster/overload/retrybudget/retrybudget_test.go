package retrybudget

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"beechgrade/internal/testkit/deterministic"
)

const sec = time.Second

// TestNeverMoreThanEarned: whatever several poolers send, and lend each other, their repeats together stay within Repeats.Most.
func TestNeverMoreThanEarned(t *testing.T) {
	deterministic.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(rt, "poolers")
		set := Settings{AttemptShare: rapid.Float64Range(0, 1).Draw(rt, "part"), Floor: rapid.Float64Range(0, 20).Draw(rt, "floor"), Span: 10 * sec}
		all, lent := make([]Budgets, n), make([]float64, n)
		for i := range all {
			b := set
			all[i].UpdateSettings(0, &b, n, 1)
		}
		now, firsts, again := time.Duration(0), 0, 0
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(rt, "ms")) * time.Millisecond
			i := rapid.IntRange(0, n-1).Draw(rt, "who")
			switch a := &all[i]; rapid.IntRange(0, 3).Draw(rt, "what") {
			case 0, 1:
				a.CountAttempt(now, 7, true, false)
				firsts++
			case 2:
				if a.Allows(now, 7) {
					a.CountAttempt(now, 7, false, true)
					again++
				}
			case 3: // all that is whole goes to the next one
				if x := a.Remaining(now, 7); x > 0 {
					to := (i + 1) % n
					lent[i], lent[to] = lent[i]-x, lent[to]+x
					for _, k := range []int{i, to} {
						b := set
						b.Lent = map[int]float64{7: lent[k]}
						all[k].UpdateSettings(now, &b, n, 1)
					}
				}
			}
		}
		if most := set.MaxRetries(firsts, n, n, now); float64(again) > most+1e-6 {
			rt.Fatalf("%d repeats of %d first attempts by %d poolers in %v; at most %v", again, firsts, n, now, most)
		}
	})
}

// TestWithoutSettingsEveryRetryIsAllowed: without Settings every retry is allowed.
func TestWithoutSettingsEveryRetryIsAllowed(t *testing.T) {
	var a Budgets
	for range 3 {
		a.CountAttempt(0, 1, false, true)
	}
	if !a.Allows(0, 1) || len(a.Groups()) != 0 {
		t.Errorf("refused, or kept %v", a.Groups())
	}
}

// TestSlowStartLimitsConnections: connections to a server that has returned are opened at the stated rate.
func TestSlowStartLimitsConnections(t *testing.T) {
	all, opened := make([]SlowStart, 20), 0
	for i := range all {
		all[i] = NewSlowStart()
		if !all[i].AllowsConnection(sec, never, false, 30, 0.5, nil) {
			t.Fatal("a server that was always there is held back")
		}
	}
	for now := sec; now < 2*sec; now += 10 * time.Millisecond {
		for i := range all {
			luck := func() float64 { return (float64(i) + 0.5) / 20 }
			for n := all[i].maxConnections; all[i].AllowsConnection(now, sec, true, n, 0.5, luck); n++ {
				all[i].ObserveConnections(n + 1)
				opened++
			}
		}
	}
	if opened < 8 || opened > 12 {
		t.Errorf("%d were opened in the first second, want about 10", opened)
	}
	if !all[0].AllowsConnection(sec+SlowStartTime, sec, true, 99, 0.5, nil) {
		t.Error("one that is back for long is held back")
	}
}
