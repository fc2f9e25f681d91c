package decide

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"beechgrade/internal/cluster/overload/retrybudget"
	"beechgrade/internal/invariant"
	"beechgrade/internal/testkit/deterministic"
)

// withRetryBudget returns a change of settings that limits duplicates to a share of first attempts, with a floor.
func withRetryBudget(part, floor float64) func(*Settings) {
	return func(s *Settings) {
		s.Peers = 10
		s.RetryBudget = &retrybudget.Settings{AttemptShare: part, Floor: floor, Span: 10 * time.Second}
	}
}

// failFirstAttempt sends a read whose first attempt fails, and returns the number of its attempts, including a retry.
func (h *harness) failFirstAttempt(id RequestID) int {
	h.t.Helper()
	got := actionsOf(Send, h.request(id, classAny))
	if len(got) != 1 {
		h.t.Fatalf("request %s: %d sends, want one", id, len(got))
	}
	return 1 + len(actionsOf(Send, h.end(id, 0, got[0].Server, Failed)))
}

// TestFirstAttemptsEarnRetries: with an attempt share of one half, two first attempts pay for one retry. A read that
// failed waits while the budget is less than one retry, and is sent once another router has lent the remainder. A retry
// after a refusal costs nothing.
func TestFirstAttemptsEarnRetries(t *testing.T) {
	h := newGroupOfThree(t, withRetryBudget(0.5, 0))
	if n := h.failFirstAttempt("first"); n != 1 {
		t.Fatalf("%d attempts with half a retry in the budget, want 1", n)
	}
	if s := h.r.RetryBudgets(); len(s) != 1 || s[0].Waiting != 1 || s[0].Remaining != 0.5 {
		t.Fatalf("retry budgets: %+v, want one with 1 request waiting and 0.5 remaining", s)
	}
	settings := h.r.settings
	b := *settings.RetryBudget
	b.Lent, settings.RetryBudget = map[int]float64{h.r.groupsByNumber[0].id: 0.5}, &b
	h.handle(&Reload{Settings: settings})
	if n := len(actionsOf(Send, h.advance(50*ms))); n != 1 {
		t.Fatalf("after the loan the read was sent %d times, want 1", n)
	}
	if s := h.r.RetryBudgets(); s[0].Remaining != 0 || s[0].Waiting != 0 {
		t.Fatalf("retry budgets after the loan was used: %+v, want none waiting and 0 remaining", s)
	}
	got := actionsOf(Send, h.request("full", classAny))
	if n := len(actionsOf(Send, h.end("full", 0, got[0].Server, Overloaded))) + len(actionsOf(Send, h.advance(50*ms))); n != 1 {
		t.Errorf("after a refusal as overloaded the read was sent again %d times, want 1", n)
	}
}

// TestDuplicatesStayWithinTheBudget: with random failures, duplicates stay within the budget, by the test's count and by
// that of the invariant.
func TestDuplicatesStayWithinTheBudget(t *testing.T) {
	deterministic.Check(t, func(rt *rapid.T) {
		part, floor := rapid.Float64Range(0, 1).Draw(rt, "part"), rapid.Float64Range(0, 20).Draw(rt, "floor")
		h := newGroupOfThree(t, withRetryBudget(part, floor))
		c := invariant.New(nil)
		h.enableChecks(c)
		firsts, duplicates := 0, 0
		for i := range rapid.IntRange(1, 60).Draw(rt, "requests") {
			id := RequestID(fmt.Sprint("r", i))
			acts := h.request(id, classAny)
			for number := 0; number < 3; number++ {
				got := actionsOf(Send, acts)
				if len(got) == 0 {
					break
				}
				if number == 0 {
					firsts++
				} else {
					duplicates++
				}
				res := rapid.SampledFrom([]Result{OK, Failed, Reset, TimedOut}).Draw(rt, "result")
				acts = append(h.end(id, number, got[0].Server, res), h.advance(20*ms)...)
			}
		}
		if most := h.r.settings.RetryBudget.MaxRetries(firsts, 1, 10, time.Duration(h.now)); float64(duplicates) > most+1e-9 {
			rt.Fatalf("%d duplicates of %d first attempts, want at most %v", duplicates, firsts, most)
		}
		if hasBudgetBreach(c) {
			rt.Fatalf("breaches: %v, want none of the retry budget", c.Breaches())
		}
	})
}

// enableChecks enables checks of the router's invariants from now on, with its servers known to the checker.
func (h *harness) enableChecks(c *invariant.Checks) {
	h.r.EnableChecks(c, 1)
	for _, id := range []ServerID{"p", "a", "b"} {
		h.r.checker.server(id)
	}
}

// hasBudgetBreach reports whether the invariant of the retry budget was breached.
func hasBudgetBreach(c *invariant.Checks) bool {
	return slices.ContainsFunc(c.Breaches(), func(b invariant.Breach) bool {
		return strings.HasPrefix(b.Name, "decide: duplicates stay within the retry budget")
	})
}

// TestInvariantCatchesUncountedDuplicates: a router that does not count its duplicates is detected.
func TestInvariantCatchesUncountedDuplicates(t *testing.T) {
	c := invariant.New(nil)
	h := newGroupOfThree(t, withRetryBudget(0.1, 0))
	h.enableChecks(c)
	lent := *h.r.settings.RetryBudget
	lent.Lent = map[int]float64{0: 1} // a loan that is not in the router's settings
	h.r.retryBudgets.UpdateSettings(h.r.now, &lent, 10, 1)
	if n := h.failFirstAttempt("r"); n != 2 || !hasBudgetBreach(c) {
		t.Errorf("%d attempts, want 2 and a breach of the budget: %v", n, c.Breaches())
	}
}

// TestRoutersReturnSlowlyToARecoveredServer: with a recovery ramp of ten connections per second, of twenty routers none
// opens a connection to a returned server at once, about ten do within a second, and all may after the ramp's time.
// Without the setting all do at once.
func TestRoutersReturnSlowlyToARecoveredServer(t *testing.T) {
	for rate, want := range map[float64][6]int{0: {20, 20, 20, 20, 20, 20}, 10: {0, 0, 5, 15, 20, 20}} {
		sent := [3]int{}
		for i := range 20 {
			h := newGroupOfThree(t, func(s *Settings) { s.Peers, s.RecoveryRampRate = 20, rate })
			for range i {
				h.r.rng.Float64()
			}
			h.r.servers["a"].ejectedAt = h.now // its health check has just been answered
			for k, wait := range []time.Duration{0, time.Second, retrybudget.SlowStartTime} {
				h.advance(wait)
				id := RequestID(fmt.Sprint("x", k))
				n := len(actionsOf(Send, h.requestOfA(id)))
				sent[k] += n
				h.handle(&Abandoned{ID: id})
				if n > 0 {
					h.end(id, 0, "a", NotSent)
				}
			}
		}
		for k, n := range sent {
			if n < want[2*k] || n > want[2*k+1] {
				t.Errorf("rate of %v a second: sent %v at once, after a second, and after %v, want numbers in the ranges %v", rate, sent, retrybudget.SlowStartTime, want)
			}
		}
	}
}
