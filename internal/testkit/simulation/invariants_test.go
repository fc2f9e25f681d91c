package simulation

import (
	"testing"

	"beechgrade/internal/testkit/checker"
)

// pausedPoolers pauses poolers and resumes them while servers die, stop answering and lag: a pooler reads old messages after its pause.
const pausedPoolers = `(rehearsal "stopped" (seconds 40) (poolers 24) (groups 3 3 4) (rate 500) (cold 8s) (cold-by 0.05) (falls 1.5) (roams 0.3)
	(detect 150ms 400ms) (elect 100ms 400ms) (switch 100ms 300ms) (list 200ms 500ms) (peers (probe 500ms) (timeout 150ms) (suspicion 1500ms) (exchange 3s))
	(chaos 24 2s 34s stall-pooler stall-pooler stall-pooler stall-pooler kill-pooler die die hang drain lag lag mute list-late))`

// TestPausedPoolersBreakNoRule: whatever old messages a process reads when it resumes after a pause, no read is staler than its class
// allows, each request has one answer, no write is repeated unsafely, and the program's own invariants hold.
func TestPausedPoolersBreakNoRule(t *testing.T) {
	t.Parallel()
	for seed := range uint64(5) {
		r := runScenario(t, parse(t, pausedPoolers), Options{Seed: seed + 1})
		for _, rule := range []checker.Rule{checker.NotStale, checker.OneAnswer, checker.NotTwice, checker.Invariant} {
			if r.Verdict.Broken[rule] > 0 || r.Verdict.Checked[rule] == 0 {
				t.Errorf("seed %d: rule %q checked %d times, broken %d times; want some checks and none broken; breaches: %+v", seed+1, rule, r.Verdict.Checked[rule], r.Verdict.Broken[rule], r.Verdict.Breaches)
			}
		}
	}
}
