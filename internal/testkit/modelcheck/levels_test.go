package modelcheck

import (
	"strings"
	"testing"

	"beechgrade/internal/cluster/overload"
)

// TestLevels explores all orders of the messages on load, with losses, delays and duplicates: the same messages lead to the same state at each
// process, levels stay between 0 and the number of cells, and all poolers have nearly the same level some time after the last fault.
func TestLevels(t *testing.T) {
	for name, x := range map[string]struct {
		n, depth int
		faults   LevelFaults
	}{
		"two poolers, any order":              {2, 40, LevelFaults{}},
		"two poolers, loss, delay, duplicate": {2, 17, LevelFaults{Lose: 1, Delay: 1, Duplicate: 1}},
		"two poolers, two delays":             {2, 19, LevelFaults{Delay: 2}},
		"three poolers, any order":            {3, 20, LevelFaults{}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := NewShedLevels(x.n)
			if h := s.AppliedLevels(); h[0] <= 0 {
				t.Fatalf("levels before the search are %v, want them above 0", h)
			}
			s.LevelFaults, s.CompareAt = x.faults, 2
			r := Run(s, Bounds{Depth: x.depth, States: 200000})
			if r.Err != nil {
				t.Errorf("search failed: %v\n%v", r.Err, strings.Join(r.Trace, "\n"))
			}
			t.Logf("%d states, %d steps, depth %d, complete %v", r.States, r.Steps, r.Depth, r.Complete)
			if !r.Complete || r.States < 30 {
				t.Errorf("search visited %d states, complete %v; want 30 or more states and a complete search", r.States, r.Complete)
			}
		})
	}
}

// TestLevelMutants: the search finds a collector that takes an outdated report for the newest, and a pooler that does so with decisions.
func TestLevelMutants(t *testing.T) {
	for name, mutant := range map[string]func(m any, last, received uint32) any{
		"counts outdated reports": func(m any, _, received uint32) any {
			if x, ok := m.(*overload.LoadReport); ok {
				c := *x
				c.Sequence = 1<<20 + received
				return &c
			}
			return m
		},
		"applies outdated decisions": func(m any, last, _ uint32) any {
			if x, ok := m.(*overload.ShedDecisions); ok {
				c := *x
				c.Sequence = last
				return &c
			}
			return m
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := NewShedLevels(2)
			s.LevelFaults, s.AlterMessage = LevelFaults{Duplicate: 1, Delay: 1}, mutant
			if r := Run(s, Bounds{Depth: 20, States: 200000}); r.Err == nil || !strings.Contains(r.Err.Error(), "the same messages") {
				t.Errorf("mutant not found in %d states, depth %d: %v", r.States, r.Depth, r.Err)
			} else {
				t.Logf("found after %d states, depth %d", r.States, r.Depth)
			}
		})
	}
}
