package modelcheck

import (
	"strings"
	"testing"

	"beechgrade/internal/cluster/overload"
)

// TestLevels: in whatever order words on load come, and however often, the same words end in the same state at each process; levels stay within their
// cells, and those of all are the same a while after the last fault.
func TestLevels(t *testing.T) {
	for name, x := range map[string]struct {
		n, depth int
		faults   LevelFaults
	}{
		"two, any order":              {2, 40, LevelFaults{}},
		"two, lost, late and doubled": {2, 17, LevelFaults{Lose: 1, Delay: 1, Duplicate: 1}},
		"two, late twice":             {2, 19, LevelFaults{Delay: 2}},
		"three, any order":            {3, 20, LevelFaults{}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := NewShedLevels(x.n)
			if h := s.AppliedLevels(); h[0] <= 0 {
				t.Fatalf("nothing is shed: %v", h)
			}
			s.LevelFaults, s.CompareAt = x.faults, 2
			r := Run(s, Bounds{Depth: x.depth, States: 200000})
			if r.Err != nil {
				t.Errorf("%v\n%v", r.Err, strings.Join(r.Trace, "\n"))
			}
			t.Logf("%d states, %d steps, %d deep, whole %v", r.States, r.Steps, r.Depth, r.Complete)
			if !r.Complete || r.States < 30 {
				t.Errorf("%d states, whole %v", r.States, r.Complete)
			}
		})
	}
}

// TestLevelMutants: who takes an overtaken word for the newest one, on either side, is found.
func TestLevelMutants(t *testing.T) {
	for name, mutant := range map[string]func(m any, last, received uint32) any{
		"counts what is overtaken": func(m any, _, received uint32) any {
			if x, ok := m.(*overload.LoadReport); ok {
				c := *x
				c.Sequence = 1<<20 + received
				return &c
			}
			return m
		},
		"takes an old answer for the newest": func(m any, last, _ uint32) any {
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
				t.Errorf("not found in %d states, %d deep: %v", r.States, r.Depth, r.Err)
			} else {
				t.Logf("after %d states, %d deep", r.States, r.Depth)
			}
		})
	}
}
