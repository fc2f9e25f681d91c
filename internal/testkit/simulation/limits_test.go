package simulation

import (
	"context"
	"testing"

	"beechgrade/internal/testkit/checker"
	"beechgrade/internal/testkit/scenario"
)

const limited = `(rehearsal "limits" (poolers 8) (groups 3 3) (retries 0)
	(tenant "a" (share 0.8)) (tenant "b" (share 0.2)) `

const quick = `(peers (probe 500ms) (timeout 250ms) (suspicion 1500ms)) `

// playLimits plays a scenario of limits.
func playLimits(t *testing.T, text string, seed uint64, m *Mutant) *Result {
	t.Helper()
	s, err := scenario.Parse("s", []byte(limited+text+")"))
	if err != nil {
		t.Fatal(err)
	}
	r, err := Run(context.Background(), s, Options{Seed: seed, Mutant: m})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestLimitMutants: each breaks its rule, and the program as it is breaks none in the same scenario.
func TestLimitMutants(t *testing.T) {
	t.Parallel()
	never := `(fleet-limits (lease 6s) (promise 2s) (limit "a" (of tenant "a") (rate 100) (burst 10)))`
	for i, x := range []struct{ text string }{
		{quick + `(seconds 30) (rate 300) (skew 0.5) (at 15s (between 0 all cut) (for 10s)) ` + never},
		{quick + `(seconds 30) (rate 300) (skew 0.5) (at 15s (between 0 all cut) (for 12s)) ` + never},
		{`(peers (probe 5s) (timeout 2200ms) (suspicion 3s)) (seconds 40) (rate 800) (skew 0.7) (at 5s (links all 0 (slow 1s)) (for 30s)) (at 24s (between 0 all cut) (for 10s))
			(fleet-limits (lease 6s) (promise 6s) (limit "a" (of tenant "a") (rate 200) (burst 4)))`},
		// The owner, cut off from all, lends to itself while its promises last; five others begin again.
		{quick + `(seconds 60) (rate 300) (at 24s (between 2 all cut) (for 30s)) (at 24s (kill-pooler 0) (for 200ms)) (at 24s (kill-pooler 1) (for 200ms)) (at 24s (kill-pooler 3) (for 200ms))
			(at 24s (kill-pooler 4) (for 200ms)) (at 24s (kill-pooler 5) (for 200ms)) (fleet-limits (lease 6s) (promise 10s) (limit "a" (of tenant "a") (rate 100) (burst 40)))`},
		{quick + `(seconds 60) (rate 300) (fleet-limits (lease 6s) (promise 2s) (limit "a" (of tenant "a") (rate 100)))`},
	} {
		m := LimitMutants()[i]
		t.Run(m.Name, func(t *testing.T) {
			t.Parallel()
			if r := playLimits(t, x.text, 1, nil); len(r.Verdict.Broken) > 0 {
				t.Errorf("without: %v %v", r.Verdict.Broken, r.Verdict.Breaches[0].Text)
			} else if r.Verdict.Checked[checker.FleetLimit] == 0 || r.Limits.Usages[0].UsedShare < 0.3 {
				t.Errorf("%v %+v", r.Verdict.Checked, r.Limits.Usages)
			}
			r := playLimits(t, x.text, 1, &m)
			if r.Verdict.Broken[m.Breaks] == 0 {
				t.Errorf("not caught: %v, %+v", r.Verdict.Checked, r.Limits.Usages)
			} else {
				t.Log(r.Verdict.Broken[m.Breaks])
			}
		})
	}
}

// TestLimitsUnderChaos: links and processes fail as drawn from seeds; no limit is gone over by either manner beyond its bound, and the same
// seed plays the same to the bit.
func TestLimitsUnderChaos(t *testing.T) {
	t.Parallel()
	s, err := scenario.Load("../../../example/rehearsals/fleet-limits-chaos.sexp")
	if err != nil {
		t.Fatal(err)
	}
	var hash string
	for seed := range uint64(8) {
		r, err := Run(context.Background(), s, Options{Seed: seed + 1})
		if err != nil {
			t.Fatal(err)
		}
		if len(r.Verdict.Broken) > 0 {
			t.Errorf("seed %d: %v %s", seed+1, r.Verdict.Broken, r.Verdict.Breaches[0].Text)
		}
		if r.Verdict.Checked[checker.FleetLimit] < 1000 {
			t.Errorf("seed %d: %d uses", seed+1, r.Verdict.Checked[checker.FleetLimit])
		}
		if seed == 0 {
			hash = r.Hash
		}
	}
	if r, err := Run(context.Background(), s, Options{Seed: 1}); err != nil || r.Hash != hash {
		t.Errorf("%v, %s and %s", err, hash, r.Hash)
	}
}
