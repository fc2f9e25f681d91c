package simulation

import (
	"os"
	"testing"

	"beechgrade/internal/testkit/scenario"
)

// TestOverloadOfIndependentPoolers: under a load of 1.25 times the servers' capacity, 150 poolers that exchange no messages shed about as well
// as a single pooler would. Before poolers used the waiting times in answers, the service was 0.45, and 0.57 of all requests were late.
func TestOverloadOfIndependentPoolers(t *testing.T) {
	t.Parallel()
	b, err := os.ReadFile("../../../example/rehearsals/over.sexp")
	if err != nil {
		t.Fatalf("reading the scenario: %v", err)
	}
	s, err := scenario.Parse("over.sexp", b)
	if err != nil {
		t.Fatalf("parsing the scenario: %v", err)
	}
	s.Clients.Seconds = 15
	r := runScenario(t, s, Options{Seed: 1})
	late := float64(r.Score.Total.Late) / float64(r.Score.Total.Asked)
	t.Logf("service %.3f, late %.3f", r.Score.Ratio, late)
	if r.Score.Ratio < 0.78 || late > 0.15 {
		t.Errorf("service %.3f, late %.3f of the requests; want at least 0.78 and at most 0.15", r.Score.Ratio, late)
	}
	for _, c := range r.Score.Classes {
		if c.Ratio < 0.4 {
			t.Errorf("class %s: service %.3f; want at least 0.4 of each class", c.Name, c.Ratio)
		}
	}
	if len(r.Verdict.Breaches) > 0 {
		t.Errorf("%d breaches of rules, want none; the first: %+v", len(r.Verdict.Breaches), r.Verdict.Breaches[0])
	}
}
