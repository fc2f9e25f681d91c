package limits

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"beechgrade/internal/testkit/deterministic"
)

// TestRateAndBurstAreApplied: a burst, then the rate; another user is not held to it.
func TestRateAndBurstAreApplied(t *testing.T) {
	g := New(map[string]Limits{"slow": {PerSecond: 2, Burst: 3}}, Limits{})
	var got []Verdict
	for i, at := range []float64{0, 0, 0, 0, 400, 500, 500, 10000, 10000, 10000, 10000} {
		got = append(got, g.Admit(ID(i+1), "slow", at))
	}
	if diff := cmp.Diff([]Verdict{Admitted, Admitted, Admitted, RateExceeded, RateExceeded, Admitted, RateExceeded, Admitted, Admitted, Admitted, RateExceeded}, got); diff != "" {
		t.Error(diff)
	}
	for i := range 50 {
		if v := g.Admit(ID(100+i), "other", 0); v != Admitted {
			t.Errorf("another: %v", v)
		}
	}
}

// TestLimiterAgreesWithModel holds the gate to its limits: never more run or wait than may, what waits is let in in its order as others
// leave, nobody waits beyond the time, and no place is lost.
func TestLimiterAgreesWithModel(t *testing.T) {
	deterministic.Check(t, func(rt *rapid.T) {
		l := Limits{MaxRunning: rapid.IntRange(1, 3).Draw(rt, "queries"), MaxQueued: rapid.IntRange(0, 3).Draw(rt, "queue"), MaxWaitMs: 100}
		g := New(map[string]Limits{"a": l}, l)
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
				if got := g.Admit(last, u, now); got != want {
					rt.Fatalf("%d, want %d", got, want)
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
				if diff := cmp.Diff(want, g.Release(id)); diff != "" {
					rt.Fatal(diff)
				}
			},
			"give up": func(rt *rapid.T) {
				u := name.Draw(rt, "user")
				if len(queued[u]) > 0 {
					id := rapid.SampledFrom(queued[u]).Draw(rt, "id")
					queued[u] = drop(queued[u], id)
					if in := g.Release(id); in != nil {
						rt.Fatalf("%v came in", in)
					}
				}
			},
			"time": func(rt *rapid.T) {
				now += float64(rapid.IntRange(1, 80).Draw(rt, "ms"))
				late := map[ID]bool{}
				for _, id := range g.Expire(now) {
					late[id] = true
				}
				for u, list := range queued {
					for _, id := range list {
						if late[id] != (now >= since[id]+100) {
							rt.Fatalf("%d has waited %v", id, now-since[id])
						}
						if late[id] {
							queued[u] = drop(queued[u], id)
						}
					}
				}
			},
			"": func(rt *rapid.T) {
				r, w := g.Counts()
				if r != len(running["a"])+len(running["b"]) || w != len(queued["a"])+len(queued["b"]) {
					rt.Fatalf("%d run and %d wait, want %v and %v", r, w, running, queued)
				}
			},
		})
	})
}

// TestIdleUsersAreForgotten: those of which nothing runs are forgotten.
func TestIdleUsersAreForgotten(t *testing.T) {
	g := New(nil, Limits{MaxRunning: 1})
	for i := range 3 * maxUsers {
		id := ID(i + 1)
		if g.Admit(id, fmt.Sprint("u", i), 0) != Admitted {
			t.Fatal(i)
		}
		g.Release(id)
	}
	if len(g.users) > maxUsers {
		t.Errorf("%d users are kept", len(g.users))
	}
}

// TestAllowanceReplacesSettings: what a pooler is told of a user's limits for the whole fleet goes before the settings: nothing until it is more, those that
// wait are let in as it grows, those that run are left to end as it falls.
func TestAllowanceReplacesSettings(t *testing.T) {
	g := New(map[string]Limits{"a": {MaxRunning: 9, MaxQueued: 2, MaxWaitMs: 100}}, Limits{})
	g.Assign("a", Allowance{BoundsRunning: true}, 0)
	if g.Admit(1, "a", 0) != Queued || g.Admit(2, "a", 0) != Queued || g.Admit(3, "a", 0) != TooMany {
		t.Error("some were let in")
	}
	if running, more, asked := g.Demand("a", 0); running != 0 || more != 3 || asked != 3 {
		t.Errorf("demand %d, %v, %v", running, more, asked)
	}
	if in := g.Assign("a", Allowance{BoundsRunning: true, MaxRunning: 2}, 10); len(in) != 2 {
		t.Errorf("%v came in", in)
	}
	if in := g.Assign("a", Allowance{BoundsRunning: true, MaxRunning: 1, BoundsRate: true, PerSecond: 100, Burst: 2}, 10); in != nil {
		t.Errorf("%v came in", in)
	}
	g.Release(1)
	if v := g.Admit(4, "a", 10); v != RateExceeded {
		t.Errorf("%d by a rate that begins empty", v)
	}
	if v := g.Admit(5, "a", 21); v != Queued {
		t.Errorf("%d beside one that runs", v)
	}
	if in := g.Restore("a"); len(in) != 1 || in[0] != 5 {
		t.Errorf("%v came in by the settings", in)
	}
	if v := g.Admit(6, "a", 21); v != Admitted {
		t.Errorf("%d by the settings", v)
	}
}
