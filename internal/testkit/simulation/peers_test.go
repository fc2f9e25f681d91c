package simulation

import (
	"testing"

	"beechgrade/internal/testkit/checker"
)

// fleetFaults is a scenario in which every rule of the views is checked.
const fleetFaults = `(rehearsal "fleet" (seconds 180) (poolers 8) (groups 3 3) (rate 20) (peers)
	(at 5s (kill-pooler 1) (for 16s)) (at 5s (kill-pooler 4) (for 16s)) (at 40s (between (0 2 3) (1 4 5 6 7) cut) (for 15s)) (at 75s (links 2 all cut) (for 8s))
	(at 98s (between 0 3 cut) (for 10s)) (at 110s (stall-pooler 5) (for 5s)) (at 130s (restart-pooler 6)) (at 150s (kill-pooler 7) (for 1s)))`

// lossyFaults loses 0.3 of all messages for a minute, and duplicates and reorders others.
const lossyFaults = `(rehearsal "lossy" (seconds 150) (poolers 8) (groups 3 3) (rate 20) (peers) (at 5s (between all all (lose 0.3) (duplicate 0.1) (reorder 0.2)) (for 60s)))`

// flappingLinks cuts and restores all links of a pooler twice a second, and cuts the link between two others.
const flappingLinks = `(rehearsal "flapping ways" (seconds 60) (poolers 8) (groups 3 3) (rate 20) (peers)
	(at 5s (between 1 all cut) (for 250ms) (every 500ms)) (at 5s (between 2 3 cut) (for 50s)))`

// TestViewsUnderFaults: while processes are killed, paused and restarted and links are cut, the views break none of their rules, each of which
// is checked, and few running processes are reported as failed. Two runs with the same seed are identical.
func TestViewsUnderFaults(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		r := runScenario(t, parse(t, fleetFaults), Options{Seed: seed})
		for _, b := range r.Verdict.Breaches {
			t.Errorf("seed %d: breach of rule %q at %.1f s: %s\n%+v", seed, b.Rule, (b.At-startTimeMs)/1000, b.Text, b.Proof)
			break
		}
		for _, rule := range checker.ViewRules() {
			if r.Verdict.Checked[rule] == 0 {
				t.Errorf("seed %d: rule %q was never checked", seed, rule)
			}
		}
		if r.Views.FalseFailures > 30 { // at least 22 of these come from the partition, the isolated pooler and the paused one
			t.Errorf("seed %d: %d reported failures of running processes that could be reached; want at most 30", seed, r.Views.FalseFailures)
		}
		t.Logf("seed %d: %.1f packets, %.0f bytes a second; %d false accusations, %d false failures; detection times %v, settling times %v", seed, r.Views.Packets, r.Views.Bytes, r.Views.FalseAccusations, r.Views.FalseFailures, r.Views.DetectionTimes, r.Views.SettleTimes)
	}
	a, b := runScenario(t, parse(t, fleetFaults), Options{Seed: 7}), runScenario(t, parse(t, fleetFaults), Options{Seed: 7})
	if a.Hash != b.Hash {
		t.Errorf("hashes %s and %s of two runs with the same seed; want equal ones", a.Hash, b.Hash)
	}
}

// TestViewMutants: the checker detects each mutant of the view by the rule that it breaks.
func TestViewMutants(t *testing.T) {
	t.Parallel()
	for _, m := range ViewMutants() {
		t.Run(m.Name, func(t *testing.T) {
			r := runScenario(t, parse(t, fleetFaults), Options{Seed: 1, Mutant: &m})
			if r.Verdict.Broken[m.Breaks] == 0 {
				t.Errorf("rule %q is not broken with the mutant; broken rules: %v, checks: %v", m.Breaks, r.Verdict.Broken, r.Verdict.Checked)
			}
		})
	}
}

// TestFlappingLinks: links that are restored before a suspicion expires do not make a running process count as failed.
func TestFlappingLinks(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		r := runScenario(t, parse(t, flappingLinks), Options{Seed: seed})
		for _, b := range r.Verdict.Breaches {
			t.Errorf("seed %d: breach of rule %q at %.1f s: %s\n%+v", seed, b.Rule, (b.At-startTimeMs)/1000, b.Text, b.Proof)
			break
		}
		if r.Views.FalseFailures > 0 {
			t.Errorf("seed %d: %d reported failures of running processes; want none", seed, r.Views.FalseFailures)
		}
	}
}

// TestViewsUnderLoss: although 0.3 of the messages are lost for a minute, no rule is broken, and afterwards the views agree again.
func TestViewsUnderLoss(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		r := runScenario(t, parse(t, lossyFaults), Options{Seed: seed})
		for _, b := range r.Verdict.Breaches {
			t.Errorf("seed %d: breach of rule %q at %.1f s: %s\n%+v", seed, b.Rule, (b.At-startTimeMs)/1000, b.Text, b.Proof)
			break
		}
		if r.Verdict.Checked[checker.ViewSettled] == 0 {
			t.Errorf("seed %d: the views never settled", seed)
		}
		t.Logf("seed %d: %d false accusations, %d false failures, settling times %v", seed, r.Views.FalseAccusations, r.Views.FalseFailures, r.Views.SettleTimes)
	}
}

// TestViewsUnderChaos: random, overlapping faults of processes and links, at 12 poolers and 60 seeds, break no rule.
func TestViewsUnderChaos(t *testing.T) {
	t.Parallel()
	s := loadScenario(t, "fleet-chaos")
	for seed := range uint64(60) {
		r := runScenario(t, s, Options{Seed: seed})
		for _, b := range r.Verdict.Breaches {
			t.Errorf("seed %d: breach of rule %q at %.1f s: %s\n%+v", seed, b.Rule, (b.At-startTimeMs)/1000, b.Text, b.Proof)
			break
		}
	}
}
