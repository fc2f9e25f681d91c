package simulation

import (
	"testing"

	"beechgrade/internal/testkit/checker"
)

// TestPauseIsNotCountedAsLoad: requests that waited at a paused pooler are rejected when it resumes. The checker must not
// count these answers as shedding in a group that receives few requests.
func TestPauseIsNotCountedAsLoad(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed < 4; seed++ {
		r := runScenario(t, parse(t, `(rehearsal "stood" (seconds 20) (poolers 8) (groups 3 3) (rate 60) (peers (probe 500ms) (timeout 150ms) (suspicion 1500ms)) (overload)
			(at 9s (stall-pooler 5) (for 5s)))`), Options{Seed: seed})
		if r.Verdict.Checked[checker.IdleGroupServed] == 0 || r.Verdict.Broken[checker.IdleGroupServed] > 0 {
			t.Errorf("seed %d: rule on idle groups checked %d times, want some; breaches, want none of that rule: %+v", seed, r.Verdict.Checked[checker.IdleGroupServed], r.Verdict.Breaches)
		}
	}
}
