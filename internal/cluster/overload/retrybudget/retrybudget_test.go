package retrybudget

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"beechgrade/internal/testkit/deterministic"
)

const sec = time.Second

// TestNeverMoreThanEarned: whatever several poolers send, and lend each other, their retries together stay within Settings.MaxRetries.
func TestNeverMoreThanEarned(t *testing.T) {
	deterministic.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(rt, "poolers")
		settings := Settings{AttemptShare: rapid.Float64Range(0, 1).Draw(rt, "attempt share"), Floor: rapid.Float64Range(0, 20).Draw(rt, "floor"), Span: 10 * sec}
		budgets, lent := make([]Budgets, n), make([]float64, n)
		for i := range budgets {
			own := settings
			budgets[i].UpdateSettings(0, &own, n, 1)
		}
		now, firstAttempts, retries := time.Duration(0), 0, 0
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(rt, "ms")) * time.Millisecond
			i := rapid.IntRange(0, n-1).Draw(rt, "pooler")
			switch b := &budgets[i]; rapid.IntRange(0, 3).Draw(rt, "event") {
			case 0, 1:
				b.CountAttempt(now, 7, true, false)
				firstAttempts++
			case 2:
				if b.Allows(now, 7) {
					b.CountAttempt(now, 7, false, true)
					retries++
				}
			case 3: // all that remains is lent to the next pooler
				if x := b.Remaining(now, 7); x > 0 {
					to := (i + 1) % n
					lent[i], lent[to] = lent[i]-x, lent[to]+x
					for _, k := range []int{i, to} {
						changed := settings
						changed.Lent = map[int]float64{7: lent[k]}
						budgets[k].UpdateSettings(now, &changed, n, 1)
					}
				}
			}
		}
		if limit := settings.MaxRetries(firstAttempts, n, n, now); float64(retries) > limit+1e-6 {
			rt.Fatalf("%d retries for %d first attempts by %d poolers in %v, want at most %v", retries, firstAttempts, n, now, limit)
		}
	})
}

// TestWithoutSettingsEveryRetryIsAllowed: without Settings every retry is allowed.
func TestWithoutSettingsEveryRetryIsAllowed(t *testing.T) {
	var budgets Budgets
	for range 3 {
		budgets.CountAttempt(0, 1, false, true)
	}
	if !budgets.Allows(0, 1) || len(budgets.Groups()) != 0 {
		t.Errorf("a retry is denied, or there are balances of groups %v, want none", budgets.Groups())
	}
}

// TestSlowStartLimitsConnections: 20 poolers together open connections to a server that has returned at the given rate, until SlowStartTime
// is over.
func TestSlowStartLimitsConnections(t *testing.T) {
	slowStarts, opened := make([]SlowStart, 20), 0
	for i := range slowStarts {
		slowStarts[i] = NewSlowStart()
		if !slowStarts[i].AllowsConnection(sec, never, false, 30, 0.5, nil) {
			t.Fatal("connections to a server that was never down are limited")
		}
	}
	for now := sec; now < 2*sec; now += 10 * time.Millisecond {
		for i := range slowStarts {
			random := func() float64 { return (float64(i) + 0.5) / 20 }
			for n := slowStarts[i].maxConnections; slowStarts[i].AllowsConnection(now, sec, true, n, 0.5, random); n++ {
				slowStarts[i].ObserveConnections(n + 1)
				opened++
			}
		}
	}
	if opened < 8 || opened > 12 {
		t.Errorf("%d connections were opened in the first second, want 8 to 12", opened)
	}
	if !slowStarts[0].AllowsConnection(sec+SlowStartTime, sec, true, 99, 0.5, nil) {
		t.Error("connections are still limited after SlowStartTime")
	}
}
