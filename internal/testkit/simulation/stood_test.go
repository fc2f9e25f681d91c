package simulation

import (
	"testing"

	"beechgrade/internal/testkit/checker"
)

// TestPauseIsNoLoad: what waited at a pooler that stood still, and is turned away as it wakes, is not held against a group that is asked for little.
func TestPauseIsNoLoad(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed < 4; seed++ {
		r := play(t, parse(t, `(rehearsal "stood" (seconds 20) (poolers 8) (groups 3 3) (rate 60) (peers (probe 500ms) (timeout 150ms) (suspicion 1500ms)) (overload)
			(at 9s (stall-pooler 5) (for 5s)))`), Options{Seed: seed})
		if r.Verdict.Checked[checker.IdleGroupServed] == 0 || r.Verdict.Broken[checker.IdleGroupServed] > 0 {
			t.Errorf("seed %d: put to the test %d times: %+v", seed, r.Verdict.Checked[checker.IdleGroupServed], r.Verdict.Breaches)
		}
	}
}
