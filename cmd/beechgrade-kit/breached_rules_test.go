package main

import (
	"fmt"
	"strings"
	"testing"

	"beechgrade/internal/testkit/checker"
	"beechgrade/internal/testkit/rehearse"
	"beechgrade/internal/testkit/score"
)

// recorder keeps what a check reports as a plain failure. As it is no story's own, a limit of time is reported by Errorf, too;
// the two differ in what is said.
type recorder struct {
	testing.TB
	said []string
}

func (r *recorder) Helper()             {}
func (r *recorder) Logf(string, ...any) {}
func (r *recorder) Errorf(format string, args ...any) {
	r.said = append(r.said, fmt.Sprintf(format, args...))
}

// TestBreachesByKind: each broken rule fails a play, and where one was broken that is no limit of time, that one is reported, as
// only it fails the test in its first run.
func TestBreachesByKind(t *testing.T) {
	late := checker.Breach{Rule: checker.OneAnswer, Late: true, Text: "late"}
	back := checker.Breach{Rule: checker.ServiceRecovered, Text: "late"}
	twice := checker.Breach{Rule: checker.NotTwice, Text: "wrong"}
	second := checker.Breach{Rule: checker.OneAnswer, Text: "wrong"}
	for name, x := range map[string]struct {
		breaches []checker.Breach
		want     string
	}{
		"none":                {nil, ""},
		"late":                {[]checker.Breach{late}, "late"},
		"a rule of time":      {[]checker.Breach{back}, "late"},
		"twice":               {[]checker.Breach{twice}, "wrong"},
		"a second answer":     {[]checker.Breach{second}, "wrong"},
		"late, then wrong":    {[]checker.Breach{late, back, second}, "wrong"},
		"wrong, then so late": {[]checker.Breach{twice, late}, "wrong"},
	} {
		r := &recorder{TB: t}
		breached(r, &rehearse.Result{Rules: &checker.Verdict{Breaches: x.breaches}})
		reported(t, name, r.said, x.want)
	}
}

// TestWhatClientsSaw: as TestBreachesByKind, of what clients saw themselves.
func TestWhatClientsSaw(t *testing.T) {
	late := score.Breach{Rule: "in time", Text: "late"}
	stale := score.Breach{Rule: "no stale read", Text: "wrong"}
	wires := score.Breach{Rule: string(checker.NotTwice), Text: "by the wires: wrong"}
	for name, x := range map[string]struct {
		breaches []score.Breach
		want     string
	}{
		"none":                       {nil, ""},
		"late":                       {[]score.Breach{late}, "late"},
		"stale":                      {[]score.Breach{stale}, "wrong"},
		"late, then stale":           {[]score.Breach{late, stale}, "wrong"},
		"what breached has to judge": {[]score.Breach{wires}, ""},
	} {
		r := &recorder{TB: t}
		clientsSaw(r, &rehearse.Result{Score: &score.Score{Breaches: x.breaches}})
		reported(t, name, r.said, x.want)
	}
}

// reported fails unless exactly the wanted breach was reported, or none.
func reported(t *testing.T, name string, said []string, want string) {
	t.Helper()
	if want == "" {
		if len(said) > 0 {
			t.Errorf("%s: reported %q", name, said)
		}
		return
	}
	if len(said) != 1 || !strings.Contains(said[0], want) {
		t.Errorf("%s: reported %q, want %q", name, said, want)
	}
}
