package modelcheck

import (
	"strings"
	"testing"

	"beechgrade/internal/cluster/overload"
)

// TestLevels guards against poolers that shed at different levels although they have the same load, because a load report or a decision was
// lost, delayed, duplicated or overtaken by another. It explores all orders of these messages: the same messages lead to the same state at
// each process, levels stay between 0 and the number of cells, and all poolers have nearly the same level some time after the last fault.
func TestLevels(t *testing.T) {
	for name, test := range map[string]struct {
		poolers, depth int
		faults         LevelFaults
	}{
		"two poolers, any order":              {2, 40, LevelFaults{}},
		"two poolers, loss, delay, duplicate": {2, 17, LevelFaults{Lose: 1, Delay: 1, Duplicate: 1}},
		"two poolers, two delays":             {2, 19, LevelFaults{Delay: 2}},
		"three poolers, any order":            {3, 20, LevelFaults{}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := NewShedLevels(test.poolers)
			if levels := s.AppliedLevels(); levels[0] <= 0 {
				t.Fatalf("levels before the search are %v, want them above 0", levels)
			}
			s.LevelFaults, s.CompareAt = test.faults, 2
			result := Run(s, Bounds{Depth: test.depth, States: 200000})
			if result.Err != nil {
				t.Errorf("search failed: %v\n%v", result.Err, strings.Join(result.Trace, "\n"))
			}
			t.Logf("%d states, %d steps, depth %d, complete %v", result.States, result.Steps, result.Depth, result.Complete)
			if !result.Complete || result.States < 30 {
				t.Errorf("search visited %d states, complete %v; want 30 or more states and a complete search", result.States, result.Complete)
			}
		})
	}
}

// TestLevelMutants guards against a search that cannot fail: it must find a collector that takes an outdated report for the newest, and a
// pooler that does so with decisions.
func TestLevelMutants(t *testing.T) {
	for name, mutant := range map[string]func(message any, last, received uint32) any{
		"counts outdated reports": func(message any, _, received uint32) any {
			if report, ok := message.(*overload.LoadReport); ok {
				altered := *report
				altered.Sequence = 1<<20 + received
				return &altered
			}
			return message
		},
		"applies outdated decisions": func(message any, last, _ uint32) any {
			if decisions, ok := message.(*overload.ShedDecisions); ok {
				altered := *decisions
				altered.Sequence = last
				return &altered
			}
			return message
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := NewShedLevels(2)
			s.LevelFaults, s.AlterMessage = LevelFaults{Duplicate: 1, Delay: 1}, mutant
			if result := Run(s, Bounds{Depth: 20, States: 200000}); result.Err == nil || !strings.Contains(result.Err.Error(), "the same messages") {
				t.Errorf("mutant not found in %d states, depth %d: %v", result.States, result.Depth, result.Err)
			} else {
				t.Logf("found after %d states, depth %d", result.States, result.Depth)
			}
		})
	}
}
