package timers

import (
	"testing"

	"pgregory.net/rapid"

	"beechgrade/internal/invariant"
	"beechgrade/internal/testkit/deterministic"
)

// TestHeapInvariantsHold: after any sequence of additions, stops and runs, the timers form a heap, and exactly those that are due run.
func TestHeapInvariantsHold(t *testing.T) {
	deterministic.Check(t, func(t *rapid.T) {
		var h Heap
		var timers []*Timer
		c, now, ran := invariant.Test(t), 0.0, 0
		want := map[*Timer]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				var x *Timer
				x = h.Add(now+rapid.Float64Range(0, 10).Draw(t, "in"), func() {
					if !want[x] || x.dueAt > now {
						t.Errorf("timer ran at %v, due at %v, in the heap: %v", now, x.dueAt, want[x])
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
					if x.dueAt <= now {
						t.Errorf("timer due at %v has not run at %v", x.dueAt, now)
					}
				}
			},
			"": func(*rapid.T) { h.Check(c) },
		})
	})
}

// TestBrokenInvariantsAreReported: each invariant must be found broken after one change of the state.
func TestBrokenInvariantsAreReported(t *testing.T) {
	for name, mutate := range map[string]func(*Heap){
		"timers: the earliest comes first": func(h *Heap) { h.items[0].dueAt = 100 },
		"timers: each knows its index":     func(h *Heap) { h.items[1].index = 0 },
	} {
		var h Heap
		for i := range 5 {
			h.Add(float64(i), func() {})
		}
		c := invariant.New(nil)
		if h.Check(c); len(c.Breaches()) > 0 {
			t.Errorf("%q: broken before the change: %v", name, c.Breaches())
		}
		mutate(&h)
		if h.Check(c); len(c.Breaches()) == 0 || c.Breaches()[0].Name != name {
			t.Errorf("%q is not the first breach reported after the change: %v", name, c.Breaches())
		}
	}
}
