package simulation

import (
	"testing"

	"beechgrade/internal/testkit/checker"
)

// fleetFaults is a scenario in which every rule of the fleet's view is put to the test.
const fleetFaults = `(rehearsal "fleet" (seconds 180) (poolers 8) (groups 3 3) (rate 20) (peers)
	(at 5s (kill-pooler 1) (for 16s)) (at 5s (kill-pooler 4) (for 16s)) (at 40s (between (0 2 3) (1 4 5 6 7) cut) (for 15s)) (at 75s (links 2 all cut) (for 8s))
	(at 98s (between 0 3 cut) (for 10s)) (at 110s (stall-pooler 5) (for 5s)) (at 130s (restart-pooler 6)) (at 150s (kill-pooler 7) (for 1s)))`

// lossyFaults has a third of all messages lost for a minute, others doubled and overtaken.
const lossyFaults = `(rehearsal "lossy" (seconds 150) (poolers 8) (groups 3 3) (rate 20) (peers) (at 5s (between all all (lose 0.3) (duplicate 0.1) (reorder 0.2)) (for 60s)))`

// flapping is a pooler whose ways go and come twice a second, and two that never hear each other.
const flapping = `(rehearsal "flapping ways" (seconds 60) (poolers 8) (groups 3 3) (rate 20) (peers)
	(at 5s (between 1 all cut) (for 250ms) (every 500ms)) (at 5s (between 2 3 cut) (for 50s)))`

// TestViews: through all that befalls processes and the ways between them, views stay within their bounds, and each rule was put to
// the test.
func TestViews(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		r := play(t, parse(t, fleetFaults), Options{Seed: seed})
		for _, b := range r.Verdict.Breaches {
			t.Errorf("seed %d: %s: at %.1f s: %s\n%+v", seed, b.Rule, (b.At-startTimeMs)/1000, b.Text, b.Proof)
			break
		}
		for _, rule := range checker.ViewRules() {
			if r.Verdict.Checked[rule] == 0 {
				t.Errorf("seed %d: %q was never put to the test", seed, rule)
			}
		}
		if r.Views.FalseFailures > 30 { // of which the partition, the one cut off and the one stopped are 22 at least
			t.Errorf("seed %d: %d failures of processes that ran, told by those who could reach them", seed, r.Views.FalseFailures)
		}
		t.Logf("seed %d: %.1f packets, %.0f bytes a second; accused %d, wrong %d; detected %v settled %v", seed, r.Views.Packets, r.Views.Bytes, r.Views.FalseAccusations, r.Views.FalseFailures, r.Views.DetectionTimes, r.Views.SettleTimes)
	}
	a, b := play(t, parse(t, fleetFaults), Options{Seed: 7}), play(t, parse(t, fleetFaults), Options{Seed: 7})
	if a.Hash != b.Hash {
		t.Errorf("the same seed, and other events: %s, %s", a.Hash, b.Hash)
	}
}

// TestViewMutants: each view that is broken on purpose is caught, by the rule that it breaks.
func TestViewMutants(t *testing.T) {
	t.Parallel()
	for _, m := range ViewMutants() {
		t.Run(m.Name, func(t *testing.T) {
			r := play(t, parse(t, fleetFaults), Options{Seed: 1, Mutant: &m})
			if r.Verdict.Broken[m.Breaks] == 0 {
				t.Errorf("it was not caught: %v of %v", r.Verdict.Broken, r.Verdict.Checked)
			}
		})
	}
}

// TestFlapping: ways that come back within the time of a suspicion have nobody called failed.
func TestFlapping(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		r := play(t, parse(t, flapping), Options{Seed: seed})
		for _, b := range r.Verdict.Breaches {
			t.Errorf("seed %d: %s: at %.1f s: %s\n%+v", seed, b.Rule, (b.At-startTimeMs)/1000, b.Text, b.Proof)
			break
		}
		if r.Views.FalseFailures > 0 {
			t.Errorf("seed %d: %d called failed that run", seed, r.Views.FalseFailures)
		}
	}
}

// TestViewsUnderLoss: with three messages of ten lost for a minute there is no failure that lasts, and in the end all agree.
func TestViewsUnderLoss(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		r := play(t, parse(t, lossyFaults), Options{Seed: seed})
		for _, b := range r.Verdict.Breaches {
			t.Errorf("seed %d: %s: at %.1f s: %s\n%+v", seed, b.Rule, (b.At-startTimeMs)/1000, b.Text, b.Proof)
			break
		}
		if r.Verdict.Checked[checker.ViewSettled] == 0 {
			t.Errorf("seed %d: never settled", seed)
		}
		t.Logf("seed %d: accused %d, wrong %d, settled %v", seed, r.Views.FalseAccusations, r.Views.FalseFailures, r.Views.SettleTimes)
	}
}

// TestViewsUnderChaos: what befalls processes and ways is drawn from 60 seeds, overlapping as it comes, at 12 poolers; no rule is broken.
func TestViewsUnderChaos(t *testing.T) {
	t.Parallel()
	s := load(t, "fleet-chaos")
	for seed := range uint64(60) {
		r := play(t, s, Options{Seed: seed})
		for _, b := range r.Verdict.Breaches {
			t.Errorf("seed %d: %s: at %.1f s: %s\n%+v", seed, b.Rule, (b.At-startTimeMs)/1000, b.Text, b.Proof)
			break
		}
	}
}
