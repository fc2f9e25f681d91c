package slotmap

import (
	"testing"

	"pgregory.net/rapid"

	"beechgrade/internal/invariant"
	"beechgrade/internal/testkit/deterministic"
)

// TestTableInvariantsHold: after any sequence of insertions and removals, no slot leaks, none is used twice, and each reference finds its
// own value or nothing.
func TestTableInvariantsHold(t *testing.T) {
	deterministic.Check(t, func(t *rapid.T) {
		var tab Table[int]
		var refs []Ref
		c, want := invariant.Test(t), map[Ref]int{}
		t.Repeat(map[string]func(*rapid.T){
			"put": func(*rapid.T) {
				r := tab.Put(len(refs))
				refs, want[r] = append(refs, r), len(refs)
			},
			"drop": func(t *rapid.T) {
				if len(refs) > 0 {
					r := rapid.SampledFrom(refs).Draw(t, "ref")
					tab.Remove(r)
					delete(want, r)
				}
			},
			"": func(t *rapid.T) {
				tab.Check(c, "table")
				for _, r := range refs {
					v, ok := tab.Get(r)
					if wantValue, present := want[r]; ok != present || present && v != wantValue {
						t.Errorf("ref %v: got value %v, found %v; want %v, %v", r, v, ok, wantValue, present)
					}
				}
				if tab.Len() != len(want) {
					t.Errorf("%d slots are in use, want %d", tab.Len(), len(want))
				}
			},
		})
	})
}

// TestBrokenInvariantsAreReported: each invariant must be found broken after one change of the state.
func TestBrokenInvariantsAreReported(t *testing.T) {
	for _, m := range []struct {
		name   string
		mutate func(*Table[int])
	}{
		{"table: a free slot is not in use, and free only once", func(t *Table[int]) { t.free = append(t.free, t.free[0]) }},
		{"table: a free slot is not in use, and free only once", func(t *Table[int]) { t.free[0] = 0 }},
		{"table: no slot leaks", func(t *Table[int]) { t.free = t.free[:0] }},
		{"table: no slot leaks", func(t *Table[int]) { t.used++ }},
	} {
		var tab Table[int]
		tab.Put(1)
		tab.Remove(tab.Put(2))
		c := invariant.New(nil)
		if tab.Check(c, "table"); len(c.Breaches()) > 0 {
			t.Errorf("%q: broken before the change: %v", m.name, c.Breaches())
		}
		m.mutate(&tab)
		if tab.Check(c, "table"); len(c.Breaches()) == 0 || c.Breaches()[0].Name != m.name {
			t.Errorf("%q is not the first breach reported after the change: %v", m.name, c.Breaches())
		}
	}
}
