package simulation

import (
	"path/filepath"
	"testing"

	"beechgrade/internal/testkit/checker"
	"beechgrade/internal/testkit/scenario"
)

func load(t *testing.T, name string) *scenario.Script {
	t.Helper()
	s, err := scenario.Load(filepath.Join("..", "..", "..", "example", "rehearsals", name+".sexp"))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestSecondDeployment: what a second deployment has that the first has not breaks no rule, and serves as it should: a tenant
// beyond its share loses first, and only under pressure; crossing between sites is the exception; sessions that roam see their
// own writes.
func TestSecondDeployment(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"keyed-window", "tenants", "two-sites", "roaming"} {
		for seed := range uint64(4) {
			r := play(t, load(t, name), Options{Seed: seed})
			for _, b := range r.Verdict.Breaches {
				t.Errorf("%s, seed %d: %s: %s\n%+v", name, seed, b.Rule, b.Text, b.Proof)
				break
			}
			if n := r.Verdict.Checked[checker.NotTwice]; n < 500 {
				t.Errorf("%s, seed %d: writes were held to their classes %d times", name, seed, n)
			}
			if r.Score.Ratio < 0.7 {
				t.Errorf("%s, seed %d: service %v", name, seed, r.Score.Ratio)
			}
			switch name {
			case "tenants":
				greedy, modest := r.Score.Tenants[0], r.Score.Tenants[1] // the first asks for three times its share at worst, the second for its share
				if modest.Ratio < greedy.Ratio+0.05 || modest.Ratio < 0.85 {
					t.Errorf("seed %d: within its share the modest tenant is served %.3f, the greedy one %.3f", seed, modest.Ratio, greedy.Ratio)
				}
			case "two-sites":
				if part := float64(r.CrossSiteAttempts) / float64(r.Requests); part > 0.6 || r.CrossSiteAttempts == 0 {
					t.Errorf("seed %d: %.2f of the requests cross", seed, part)
				}
			}
		}
	}
}
