package limits

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"beechgrade/internal/testkit/deterministic"
)

// TestRateAndBurstAreApplied: a user may send the burst at once, and then queries at the rate. Other users are not limited by it.
func TestRateAndBurstAreApplied(t *testing.T) {
	limiter := New(map[string]Limits{"slow": {PerSecond: 2, Burst: 3}}, Limits{})
	var got []Verdict
	for i, at := range []float64{0, 0, 0, 0, 400, 500, 500, 10000, 10000, 10000, 10000} {
		got = append(got, limiter.Admit(ID(i+1), "slow", at))
	}
	want := []Verdict{
		Admitted, Admitted, Admitted, RateExceeded, // at 0
		RateExceeded, Admitted, RateExceeded,
		Admitted, Admitted, Admitted, RateExceeded, // at 10000
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("verdicts of the user's queries (-want +got):\n%s", diff)
	}
	for i := range 50 {
		if v := limiter.Admit(ID(100+i), "other", 0); v != Admitted {
			t.Errorf("query of another user: %v, want %v", v, Admitted)
		}
	}
}

// TestLimiterAgreesWithModel compares the Limiter with a model: no more queries run or are queued than the limits allow, queued queries are
// admitted in their order as others end, none is queued for too long, and the places of ended queries become free.
func TestLimiterAgreesWithModel(t *testing.T) {
	deterministic.Check(t, func(rt *rapid.T) {
		limits := Limits{MaxRunning: rapid.IntRange(1, 3).Draw(rt, "queries"), MaxQueued: rapid.IntRange(0, 3).Draw(rt, "queue"), MaxWaitMs: 100}
		limiter := New(map[string]Limits{"a": limits}, limits)
		now, lastID := 0.0, ID(0)
		running, queued, queuedAt := map[string][]ID{}, map[string][]ID{}, map[ID]float64{}
		name := rapid.SampledFrom([]string{"a", "b"})
		without := func(list []ID, id ID) (out []ID) {
			for _, other := range list {
				if other != id {
					out = append(out, other)
				}
			}
			return out
		}
		rt.Repeat(map[string]func(*rapid.T){
			"enter": func(rt *rapid.T) {
				u := name.Draw(rt, "user")
				lastID++
				want := TooMany
				switch {
				case len(running[u]) < limits.MaxRunning && len(queued[u]) == 0:
					want = Admitted
					running[u] = append(running[u], lastID)
				case len(queued[u]) < limits.MaxQueued:
					want = Queued
					queued[u], queuedAt[lastID] = append(queued[u], lastID), now
				}
				if got := limiter.Admit(lastID, u, now); got != want {
					rt.Fatalf("query %d of user %s: %v, want %v", lastID, u, got, want)
				}
			},
			"leave": func(rt *rapid.T) {
				u := name.Draw(rt, "user")
				if len(running[u]) == 0 {
					return
				}
				id := rapid.SampledFrom(running[u]).Draw(rt, "id")
				running[u] = without(running[u], id)
				var want []ID
				if len(queued[u]) > 0 {
					want = queued[u][:1:1]
					running[u], queued[u] = append(running[u], want...), queued[u][1:]
				}
				if diff := cmp.Diff(want, limiter.Release(id)); diff != "" {
					rt.Fatalf("queries admitted after the end of query %d (-want +got):\n%s", id, diff)
				}
			},
			"give up": func(rt *rapid.T) {
				u := name.Draw(rt, "user")
				if len(queued[u]) > 0 {
					id := rapid.SampledFrom(queued[u]).Draw(rt, "id")
					queued[u] = without(queued[u], id)
					if admitted := limiter.Release(id); admitted != nil {
						rt.Fatalf("withdrawing queued query %d admitted %v, want none", id, admitted)
					}
				}
			},
			"time": func(rt *rapid.T) {
				now += float64(rapid.IntRange(1, 80).Draw(rt, "ms"))
				expired := map[ID]bool{}
				for _, id := range limiter.Expire(now) {
					expired[id] = true
				}
				for u, list := range queued {
					for _, id := range list {
						if expired[id] != (now >= queuedAt[id]+100) {
							rt.Fatalf("query %d was queued for %v ms: expired is %v, and the limit is 100 ms", id, now-queuedAt[id], expired[id])
						}
						if expired[id] {
							queued[u] = without(queued[u], id)
						}
					}
				}
			},
			"": func(rt *rapid.T) {
				runningCount, queuedCount := limiter.Counts()
				if runningCount != len(running["a"])+len(running["b"]) || queuedCount != len(queued["a"])+len(queued["b"]) {
					rt.Fatalf("%d queries run and %d are queued, want %v and %v", runningCount, queuedCount, running, queued)
				}
			},
		})
	})
}

// TestIdleUsersAreForgotten: users without queries are forgotten, so that names of users cannot take unbounded memory.
func TestIdleUsersAreForgotten(t *testing.T) {
	limiter := New(nil, Limits{MaxRunning: 1})
	for i := range 3 * maxUsers {
		id := ID(i + 1)
		if limiter.Admit(id, fmt.Sprint("u", i), 0) != Admitted {
			t.Fatalf("query of user %d was not admitted", i)
		}
		limiter.Release(id)
	}
	if len(limiter.users) > maxUsers {
		t.Errorf("state of %d users is held, want at most %d", len(limiter.users), maxUsers)
	}
}

// TestAllowanceReplacesSettings: an allowance of 0 admits nothing. When it grows, queued queries are admitted; when it shrinks, running
// queries may finish. Without an allowance, the limits in the settings apply.
func TestAllowanceReplacesSettings(t *testing.T) {
	limiter := New(map[string]Limits{"a": {MaxRunning: 9, MaxQueued: 2, MaxWaitMs: 100}}, Limits{})
	limiter.Assign("a", Allowance{BoundsRunning: true}, 0)
	if limiter.Admit(1, "a", 0) != Queued || limiter.Admit(2, "a", 0) != Queued || limiter.Admit(3, "a", 0) != TooMany {
		t.Error("with an allowance of 0, three queries were not answered with queued, queued and too many")
	}
	if diff := cmp.Diff(Demand{Running: 0, Unserved: 3, PerSecond: 3}, limiter.Demand("a", 0)); diff != "" {
		t.Errorf("demand with an allowance of 0 (-want +got):\n%s", diff)
	}
	if in := limiter.Assign("a", Allowance{BoundsRunning: true, MaxRunning: 2}, 10); len(in) != 2 {
		t.Errorf("an allowance of 2 admitted %v, want both queued queries", in)
	}
	if in := limiter.Assign("a", Allowance{BoundsRunning: true, MaxRunning: 1, BoundsRate: true, PerSecond: 100, Burst: 2}, 10); in != nil {
		t.Errorf("a smaller allowance admitted %v, want none", in)
	}
	limiter.Release(1)
	if v := limiter.Admit(4, "a", 10); v != RateExceeded {
		t.Errorf("%v under a new rate, which starts without tokens; want %v", v, RateExceeded)
	}
	if v := limiter.Admit(5, "a", 21); v != Queued {
		t.Errorf("%v while another query uses the allowance of 1, want %v", v, Queued)
	}
	if in := limiter.Restore("a"); len(in) != 1 || in[0] != 5 {
		t.Errorf("the limits in the settings admitted %v, want query 5", in)
	}
	if v := limiter.Admit(6, "a", 21); v != Admitted {
		t.Errorf("%v under the limits in the settings, want %v", v, Admitted)
	}
}
