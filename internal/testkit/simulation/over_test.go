package simulation

import (
	"os"
	"testing"

	"beechgrade/internal/testkit/scenario"
)

// TestOverloadOfMany: 150 poolers that do not talk shed a quarter more than the servers can do much as one pooler would.
// Before they went by their answers' waits, 0.45 of the worth was served, and 0.57 of all that was asked came late.
func TestOverloadOfMany(t *testing.T) {
	t.Parallel()
	b, err := os.ReadFile("../../../example/rehearsals/over.sexp")
	if err != nil {
		t.Fatal(err)
	}
	s, err := scenario.Parse("over.sexp", b)
	if err != nil {
		t.Fatal(err)
	}
	s.Clients.Seconds = 15
	r := play(t, s, Options{Seed: 1})
	late := float64(r.Score.Total.Late) / float64(r.Score.Total.Asked)
	t.Logf("service %.3f, late %.3f", r.Score.Ratio, late)
	if r.Score.Ratio < 0.78 || late > 0.15 {
		t.Errorf("service %.3f, late %.3f of what was asked; want at least 0.78 and at most 0.15", r.Score.Ratio, late)
	}
	for _, c := range r.Score.Classes {
		if c.Ratio < 0.4 {
			t.Errorf("%s was served %.3f; none may be starved", c.Name, c.Ratio)
		}
	}
	if len(r.Verdict.Breaches) > 0 {
		t.Errorf("%d breaches of rules", len(r.Verdict.Breaches))
	}
}
