package timers

import (
	"testing"

	"pgregory.net/rapid"

	"beechgrade/internal/invariant"
	"beechgrade/internal/testkit/deterministic"
)

// TestInvariants: whatever is hung up, taken down and run in any order, the heap is one, and what runs is what is due, in order.
func TestInvariants(t *testing.T) {
	deterministic.Check(t, func(t *rapid.T) {
		var h Heap
		var timers []*Timer
		c, now, ran := invariant.Test(t), 0.0, 0
		want := map[*Timer]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				var x *Timer
				x = h.Add(now+rapid.Float64Range(0, 10).Draw(t, "in"), func() {
					if !want[x] || x.at > now {
						t.Errorf("ran at %v, due at %v, hung up: %v", now, x.at, want[x])
					}
					delete(want, x)
					ran++
				})
				want[x] = true
				timers = append(timers, x)
			},
			"stop": func(t *rapid.T) {
				if len(timers) > 0 {
					x := rapid.SampledFrom(timers).Draw(t, "timer")
					h.Stop(x)
					delete(want, x)
				}
			},
			"run": func(t *rapid.T) {
				now += rapid.Float64Range(0, 5).Draw(t, "ms")
				h.Run(now)
				for x := range want {
					if x.at <= now {
						t.Errorf("due at %v and not run at %v", x.at, now)
					}
				}
			},
			"": func(*rapid.T) { h.Check(c) },
		})
	})
}

// TestMutants: each statement is seen to break.
func TestMutants(t *testing.T) {
	for name, poke := range map[string]func(*Heap){
		"deadlines: the earliest comes first": func(h *Heap) { h.items[0].at = 100 },
		"deadlines: each knows its place":     func(h *Heap) { h.items[1].index = 0 },
	} {
		var h Heap
		for i := range 5 {
			h.Add(float64(i), func() {})
		}
		c := invariant.New(nil)
		if h.Check(c); len(c.Broken()) > 0 {
			t.Errorf("%q without: %v", name, c.Broken())
		}
		poke(&h)
		if h.Check(c); len(c.Broken()) == 0 || c.Broken()[0].Name != name {
			t.Errorf("%q: %v", name, c.Broken())
		}
	}
}
