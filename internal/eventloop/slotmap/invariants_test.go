package slotmap

import (
	"testing"

	"pgregory.net/rapid"

	"beechgrade/internal/invariant"
	"beechgrade/internal/testkit/deterministic"
)

// TestTableInvariantsHold: whatever is put and removed in any order, no slot leaks, none is used twice, and each reference finds its own value or
// nothing.
func TestTableInvariantsHold(t *testing.T) {
	deterministic.Check(t, func(t *rapid.T) {
		var tab Table[int]
		var refs []Ref
		c, in := invariant.Test(t), map[Ref]int{}
		t.Repeat(map[string]func(*rapid.T){
			"put": func(*rapid.T) {
				r := tab.Put(len(refs))
				refs, in[r] = append(refs, r), len(refs)
			},
			"drop": func(t *rapid.T) {
				if len(refs) > 0 {
					r := rapid.SampledFrom(refs).Draw(t, "ref")
					tab.Remove(r)
					delete(in, r)
				}
			},
			"": func(t *rapid.T) {
				tab.Check(c, "table")
				for _, r := range refs {
					v, ok := tab.Get(r)
					if x, is := in[r]; ok != is || is && v != x {
						t.Errorf("%v: %v, %v; put was %v, %v", r, v, ok, x, is)
					}
				}
				if tab.Len() != len(in) {
					t.Errorf("%d in use, %d put", tab.Len(), len(in))
				}
			},
		})
	})
}

// TestBrokenInvariantsAreReported: each invariant must be found broken after one change of the state.
func TestBrokenInvariantsAreReported(t *testing.T) {
	for _, m := range []struct {
		name string
		poke func(*Table[int])
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
			t.Errorf("without: %v", c.Breaches())
		}
		m.poke(&tab)
		if tab.Check(c, "table"); len(c.Breaches()) == 0 || c.Breaches()[0].Name != m.name {
			t.Errorf("%q: %v", m.name, c.Breaches())
		}
	}
}
