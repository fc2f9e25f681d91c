package simulation

import (
	"path/filepath"
	"testing"

	"beechgrade/internal/testkit/checker"
	"beechgrade/internal/testkit/scenario"
)

// loadScenario loads an example scenario.
func loadScenario(t *testing.T, name string) *scenario.Script {
	t.Helper()
	s, err := scenario.Load(filepath.Join("..", "..", "..", "example", "rehearsals", name+".sexp"))
	if err != nil {
		t.Fatalf("loading the scenario %s: %v", name, err)
	}
	return s
}

// TestKeyWindowTenantsSitesAndRoaming: scenarios with idempotency keys, tenants, two sites and roaming sessions break no rule. Under overload
// a tenant beyond its share is rejected before one within its share; only some of the requests go to the other site; and sessions that
// change poolers see their own writes.
func TestKeyWindowTenantsSitesAndRoaming(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"keyed-window", "tenants", "two-sites", "roaming"} {
		for seed := range uint64(4) {
			r := runScenario(t, loadScenario(t, name), Options{Seed: seed})
			for _, b := range r.Verdict.Breaches {
				t.Errorf("%s, seed %d: breach of rule %q: %s\n%+v", name, seed, b.Rule, b.Text, b.Proof)
				break
			}
			if checks := r.Verdict.Checked[checker.NotTwice]; checks < 500 {
				t.Errorf("%s, seed %d: %d checks for repeated writes; want at least 500", name, seed, checks)
			}
			if r.Score.Ratio < 0.7 {
				t.Errorf("%s, seed %d: service %v; want at least 0.7", name, seed, r.Score.Ratio)
			}
			switch name {
			case "tenants":
				greedy, modest := r.Score.Tenants[0], r.Score.Tenants[1] // the first requests up to three times its share, the second its share
				if modest.Ratio < greedy.Ratio+0.05 || modest.Ratio < 0.85 {
					t.Errorf("seed %d: service %.3f of the tenant within its share, %.3f of the one beyond; want at least 0.85 of the former, and 0.05 more than of the latter", seed, modest.Ratio, greedy.Ratio)
				}
			case "two-sites":
				if share := float64(r.CrossSiteAttempts) / float64(r.Requests); share > 0.6 || r.CrossSiteAttempts == 0 {
					t.Errorf("seed %d: attempts at the other site: %.2f of the requests; want more than 0 and at most 0.6", seed, share)
				}
			}
		}
	}
}
