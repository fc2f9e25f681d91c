package simulation

import (
	"context"
	"testing"

	"beechgrade/internal/testkit/checker"
	"beechgrade/internal/testkit/scenario"
)

// limitsFleet is the beginning of a scenario with two tenants.
const limitsFleet = `(rehearsal "limits" (poolers 8) (groups 3 3) (retries 0)
	(tenant "a" (share 0.8)) (tenant "b" (share 0.2)) `

// fastDetection makes peers detect failures early.
const fastDetection = `(peers (probe 500ms) (timeout 250ms) (suspicion 1500ms)) `

// runLimits runs a scenario that begins with limitsFleet.
func runLimits(t *testing.T, text string, seed uint64, m *Mutant) *Result {
	t.Helper()
	s, err := scenario.Parse("s", []byte(limitsFleet+text+")"))
	if err != nil {
		t.Fatalf("parsing the scenario: %v", err)
	}
	r, err := Run(context.Background(), s, Options{Seed: seed, Mutant: m})
	if err != nil {
		t.Fatalf("running the scenario with seed %d: %v", seed, err)
	}
	return r
}

// TestLimitMutants: each mutant breaks its rule, and in the same scenario without the mutant no rule is broken and the limit is used.
func TestLimitMutants(t *testing.T) {
	t.Parallel()
	shortPromise := `(fleet-limits (lease 6s) (promise 2s) (limit "a" (of tenant "a") (rate 100) (burst 10)))`
	for i, x := range []struct{ text string }{
		{fastDetection + `(seconds 30) (rate 300) (skew 0.5) (at 15s (between 0 all cut) (for 10s)) ` + shortPromise},
		{fastDetection + `(seconds 30) (rate 300) (skew 0.5) (at 15s (between 0 all cut) (for 12s)) ` + shortPromise},
		{`(peers (probe 5s) (timeout 2200ms) (suspicion 3s)) (seconds 40) (rate 800) (skew 0.7) (at 5s (links all 0 (slow 1s)) (for 30s)) (at 24s (between 0 all cut) (for 10s))
			(fleet-limits (lease 6s) (promise 6s) (limit "a" (of tenant "a") (rate 200) (burst 4)))`},
		// The owner, isolated from all, leases to itself until its promises expire; five other poolers restart.
		{fastDetection + `(seconds 60) (rate 300) (at 24s (between 2 all cut) (for 30s)) (at 24s (kill-pooler 0) (for 200ms)) (at 24s (kill-pooler 1) (for 200ms)) (at 24s (kill-pooler 3) (for 200ms))
			(at 24s (kill-pooler 4) (for 200ms)) (at 24s (kill-pooler 5) (for 200ms)) (fleet-limits (lease 6s) (promise 10s) (limit "a" (of tenant "a") (rate 100) (burst 40)))`},
		{fastDetection + `(seconds 60) (rate 300) (fleet-limits (lease 6s) (promise 2s) (limit "a" (of tenant "a") (rate 100)))`},
	} {
		m := LimitMutants()[i]
		t.Run(m.Name, func(t *testing.T) {
			t.Parallel()
			if r := runLimits(t, x.text, 1, nil); len(r.Verdict.Broken) > 0 {
				t.Errorf("without the mutant: broken rules: %v; want none; the first breach: %v", r.Verdict.Broken, r.Verdict.Breaches[0].Text)
			} else if r.Verdict.Checked[checker.FleetLimit] == 0 || r.Limits.Usages[0].UsedShare < 0.3 {
				t.Errorf("without the mutant: checks: %v, usages of limits %+v; want checks of the limit and a usage of at least 0.3", r.Verdict.Checked, r.Limits.Usages)
			}
			r := runLimits(t, x.text, 1, &m)
			if r.Verdict.Broken[m.Breaks] == 0 {
				t.Errorf("rule %q is not broken with the mutant; checks: %v, usages of limits %+v", m.Breaks, r.Verdict.Checked, r.Limits.Usages)
			} else {
				t.Logf("rule broken %d times", r.Verdict.Broken[m.Breaks])
			}
		})
	}
}

// TestLimitsUnderChaos: links and processes fail at random. No fleet-wide limit is exceeded beyond its bound, and two runs with the same seed
// are identical.
func TestLimitsUnderChaos(t *testing.T) {
	t.Parallel()
	s, err := scenario.Load("../../../example/rehearsals/fleet-limits-chaos.sexp")
	if err != nil {
		t.Fatalf("loading the scenario: %v", err)
	}
	var hash string
	for seed := range uint64(8) {
		r, err := Run(context.Background(), s, Options{Seed: seed + 1})
		if err != nil {
			t.Fatalf("running the scenario with seed %d: %v", seed+1, err)
		}
		if len(r.Verdict.Broken) > 0 {
			t.Errorf("seed %d: broken rules: %v; want none; the first breach: %s", seed+1, r.Verdict.Broken, r.Verdict.Breaches[0].Text)
		}
		if r.Verdict.Checked[checker.FleetLimit] < 1000 {
			t.Errorf("seed %d: %d checks of the limit; want at least 1000", seed+1, r.Verdict.Checked[checker.FleetLimit])
		}
		if seed == 0 {
			hash = r.Hash
		}
	}
	if r, err := Run(context.Background(), s, Options{Seed: 1}); err != nil || r.Hash != hash {
		t.Errorf("second run of seed 1: error %v, hash %s; want none and %s", err, r.Hash, hash)
	}
}
