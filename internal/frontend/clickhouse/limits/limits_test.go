package limits

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"beechgrade/internal/testkit/deterministic"
)

// TestRateAndBurstAreApplied: a user may use the burst at once, and then the rate; other users are not bounded by it.
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
		t.Error(diff)
	}
	for i := range 50 {
		if v := limiter.Admit(ID(100+i), "other", 0); v != Admitted {
			t.Errorf("another user: %v", v)
		}
	}
}

// TestLimiterAgreesWithModel: no more queries run or wait than the limits allow, queries that wait are admitted in their order as
// others end, none waits for too long, and no place is lost.
func TestLimiterAgreesWithModel(t *testing.T) {
	deterministic.Check(t, func(rt *rapid.T) {
		l := Limits{MaxRunning: rapid.IntRange(1, 3).Draw(rt, "queries"), MaxQueued: rapid.IntRange(0, 3).Draw(rt, "queue"), MaxWaitMs: 100}
		limiter := New(map[string]Limits{"a": l}, l)
		now, last := 0.0, ID(0)
		running, queued, since := map[string][]ID{}, map[string][]ID{}, map[ID]float64{}
		name := rapid.SampledFrom([]string{"a", "b"})
		drop := func(list []ID, id ID) (out []ID) {
			for _, x := range list {
				if x != id {
					out = append(out, x)
				}
			}
			return out
		}
		rt.Repeat(map[string]func(*rapid.T){
			"enter": func(rt *rapid.T) {
				u := name.Draw(rt, "user")
				last++
				want := TooMany
				switch {
				case len(running[u]) < l.MaxRunning && len(queued[u]) == 0:
					want = Admitted
					running[u] = append(running[u], last)
				case len(queued[u]) < l.MaxQueued:
					want = Queued
					queued[u], since[last] = append(queued[u], last), now
				}
				if got := limiter.Admit(last, u, now); got != want {
					rt.Fatalf("%v, want %v", got, want)
				}
			},
			"leave": func(rt *rapid.T) {
				u := name.Draw(rt, "user")
				if len(running[u]) == 0 {
					return
				}
				id := rapid.SampledFrom(running[u]).Draw(rt, "id")
				running[u] = drop(running[u], id)
				var want []ID
				if len(queued[u]) > 0 {
					want = queued[u][:1:1]
					running[u], queued[u] = append(running[u], want...), queued[u][1:]
				}
				if diff := cmp.Diff(want, limiter.Release(id)); diff != "" {
					rt.Fatal(diff)
				}
			},
			"give up": func(rt *rapid.T) {
				u := name.Draw(rt, "user")
				if len(queued[u]) > 0 {
					id := rapid.SampledFrom(queued[u]).Draw(rt, "id")
					queued[u] = drop(queued[u], id)
					if in := limiter.Release(id); in != nil {
						rt.Fatalf("%v were admitted", in)
					}
				}
			},
			"time": func(rt *rapid.T) {
				now += float64(rapid.IntRange(1, 80).Draw(rt, "ms"))
				late := map[ID]bool{}
				for _, id := range limiter.Expire(now) {
					late[id] = true
				}
				for u, list := range queued {
					for _, id := range list {
						if late[id] != (now >= since[id]+100) {
							rt.Fatalf("query %d has waited %v ms", id, now-since[id])
						}
						if late[id] {
							queued[u] = drop(queued[u], id)
						}
					}
				}
			},
			"": func(rt *rapid.T) {
				r, w := limiter.Counts()
				if r != len(running["a"])+len(running["b"]) || w != len(queued["a"])+len(queued["b"]) {
					rt.Fatalf("%d queries run and %d wait, want %v and %v", r, w, running, queued)
				}
			},
		})
	})
}

// TestIdleUsersAreForgotten: users without queries are forgotten, so that their number is bounded.
func TestIdleUsersAreForgotten(t *testing.T) {
	limiter := New(nil, Limits{MaxRunning: 1})
	for i := range 3 * maxUsers {
		id := ID(i + 1)
		if limiter.Admit(id, fmt.Sprint("u", i), 0) != Admitted {
			t.Fatal(i)
		}
		limiter.Release(id)
	}
	if len(limiter.users) > maxUsers {
		t.Errorf("%d users are remembered", len(limiter.users))
	}
}

// TestAllowanceReplacesSettings: nothing is admitted by an allowance of 0; as it grows, queries that wait are admitted; as it falls,
// queries that run may end. Without it the limits of the settings apply.
func TestAllowanceReplacesSettings(t *testing.T) {
	limiter := New(map[string]Limits{"a": {MaxRunning: 9, MaxQueued: 2, MaxWaitMs: 100}}, Limits{})
	limiter.Assign("a", Allowance{BoundsRunning: true}, 0)
	if limiter.Admit(1, "a", 0) != Queued || limiter.Admit(2, "a", 0) != Queued || limiter.Admit(3, "a", 0) != TooMany {
		t.Error("a query was admitted by an allowance of 0")
	}
	if diff := cmp.Diff(Demand{Running: 0, Unserved: 3, PerSecond: 3}, limiter.Demand("a", 0)); diff != "" {
		t.Error("demand: " + diff)
	}
	if in := limiter.Assign("a", Allowance{BoundsRunning: true, MaxRunning: 2}, 10); len(in) != 2 {
		t.Errorf("%v were admitted", in)
	}
	if in := limiter.Assign("a", Allowance{BoundsRunning: true, MaxRunning: 1, BoundsRate: true, PerSecond: 100, Burst: 2}, 10); in != nil {
		t.Errorf("%v were admitted", in)
	}
	limiter.Release(1)
	if v := limiter.Admit(4, "a", 10); v != RateExceeded {
		t.Errorf("%v by a rate that begins without tokens", v)
	}
	if v := limiter.Admit(5, "a", 21); v != Queued {
		t.Errorf("%v beside a query that runs", v)
	}
	if in := limiter.Restore("a"); len(in) != 1 || in[0] != 5 {
		t.Errorf("%v were admitted by the settings", in)
	}
	if v := limiter.Admit(6, "a", 21); v != Admitted {
		t.Errorf("%v by the settings", v)
	}
}
