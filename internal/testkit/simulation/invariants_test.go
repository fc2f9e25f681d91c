package simulation

import (
	"testing"

	"beechgrade/internal/testkit/checker"
)

// stopped has poolers stopped and woken, while servers die, fall silent and fall behind: what was said before a stop is read after it.
const stopped = `(rehearsal "stopped" (seconds 40) (poolers 24) (groups 3 3 4) (rate 500) (cold 8s) (cold-by 0.05) (falls 1.5) (roams 0.3)
	(detect 150ms 400ms) (elect 100ms 400ms) (switch 100ms 300ms) (list 200ms 500ms) (peers (probe 500ms) (timeout 150ms) (suspicion 1500ms) (exchange 3s))
	(chaos 24 2s 34s stall-pooler stall-pooler stall-pooler stall-pooler kill-pooler die die hang drain lag lag mute list-late))`

// TestStopped: whatever a process that was stopped reads when it wakes, no read is staler than it may be, each request has one answer,
// and no statement of the program about its own state is false.
func TestStopped(t *testing.T) {
	t.Parallel()
	for seed := range uint64(5) {
		r := play(t, parse(t, stopped), Options{Seed: seed + 1})
		for _, rule := range []checker.Rule{checker.NotStale, checker.OneAnswer, checker.NotTwice, checker.Invariant} {
			if r.Verdict.Broken[rule] > 0 || r.Verdict.Checked[rule] == 0 {
				t.Errorf("seed %d: %q: put to the test %d times, broken %d: %+v", seed+1, rule, r.Verdict.Checked[rule], r.Verdict.Broken[rule], r.Verdict.Breaches)
			}
		}
	}
}
