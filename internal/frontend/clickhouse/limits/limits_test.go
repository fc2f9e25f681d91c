package limits

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"beechgrade/internal/testkit/deterministic"
)

// TestRate: a burst, then the rate; another user is not held to it.
func TestRate(t *testing.T) {
	g := New(map[string]Limits{"slow": {PerSecond: 2, Burst: 3}}, Limits{})
	var got []Verdict
	for i, at := range []float64{0, 0, 0, 0, 400, 500, 500, 10000, 10000, 10000, 10000} {
		got = append(got, g.Enter(ID(i+1), "slow", at))
	}
	if diff := cmp.Diff([]Verdict{In, In, In, TooFast, TooFast, In, TooFast, In, In, In, TooFast}, got); diff != "" {
		t.Error(diff)
	}
	for i := range 50 {
		if v := g.Enter(ID(100+i), "other", 0); v != In {
			t.Errorf("another: %v", v)
		}
	}
}

// TestStateMachine holds the gate to its limits: never more run or wait than may, what waits is let in in its order as others
// leave, nobody waits beyond the time, and no place is lost.
func TestStateMachine(t *testing.T) {
	deterministic.Check(t, func(rt *rapid.T) {
		l := Limits{Queries: rapid.IntRange(1, 3).Draw(rt, "queries"), Queue: rapid.IntRange(0, 3).Draw(rt, "queue"), Wait: 100}
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
				case len(running[u]) < l.Queries && len(queued[u]) == 0:
					want = In
					running[u] = append(running[u], last)
				case len(queued[u]) < l.Queue:
					want = Waits
					queued[u], since[last] = append(queued[u], last), now
				}
				if got := g.Enter(last, u, now); got != want {
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
				if diff := cmp.Diff(want, g.Leave(id)); diff != "" {
					rt.Fatal(diff)
				}
			},
			"give up": func(rt *rapid.T) {
				u := name.Draw(rt, "user")
				if len(queued[u]) > 0 {
					id := rapid.SampledFrom(queued[u]).Draw(rt, "id")
					queued[u] = drop(queued[u], id)
					if in := g.Leave(id); in != nil {
						rt.Fatalf("%v came in", in)
					}
				}
			},
			"time": func(rt *rapid.T) {
				now += float64(rapid.IntRange(1, 80).Draw(rt, "ms"))
				late := map[ID]bool{}
				for _, id := range g.Beat(now) {
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

// TestManyUsers: those of which nothing runs are forgotten.
func TestManyUsers(t *testing.T) {
	g := New(nil, Limits{Queries: 1})
	for i := range 3 * maxUsers {
		id := ID(i + 1)
		if g.Enter(id, fmt.Sprint("u", i), 0) != In {
			t.Fatal(i)
		}
		g.Leave(id)
	}
	if len(g.users) > maxUsers {
		t.Errorf("%d users are kept", len(g.users))
	}
}

// TestTold: what a pooler is told of a user's limits for the whole fleet goes before the settings: nothing until it is more, those that
// wait are let in as it grows, those that run are left to end as it falls.
func TestTold(t *testing.T) {
	g := New(map[string]Limits{"a": {Queries: 9, Queue: 2, Wait: 100}}, Limits{})
	g.Tell("a", Told{Queries: true}, 0)
	if g.Enter(1, "a", 0) != Waits || g.Enter(2, "a", 0) != Waits || g.Enter(3, "a", 0) != TooMany {
		t.Error("some were let in")
	}
	if running, more, asked := g.Demand("a", 0); running != 0 || more != 3 || asked != 3 {
		t.Errorf("demand %d, %v, %v", running, more, asked)
	}
	if in := g.Tell("a", Told{Queries: true, Most: 2}, 10); len(in) != 2 {
		t.Errorf("%v came in", in)
	}
	if in := g.Tell("a", Told{Queries: true, Most: 1, Rate: true, PerSecond: 100, Burst: 2}, 10); in != nil {
		t.Errorf("%v came in", in)
	}
	g.Leave(1)
	if v := g.Enter(4, "a", 10); v != TooFast {
		t.Errorf("%d by a rate that begins empty", v)
	}
	if v := g.Enter(5, "a", 21); v != Waits {
		t.Errorf("%d beside one that runs", v)
	}
	if in := g.Untell("a"); len(in) != 1 || in[0] != 5 {
		t.Errorf("%v came in by the settings", in)
	}
	if v := g.Enter(6, "a", 21); v != In {
		t.Errorf("%d by the settings", v)
	}
}
