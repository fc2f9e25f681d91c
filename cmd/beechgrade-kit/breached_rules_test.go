package main

import (
	"fmt"
	"strings"
	"testing"

	"beechgrade/internal/testkit/checker"
	"beechgrade/internal/testkit/rehearse"
	"beechgrade/internal/testkit/score"
)

// recorder records the failures that a check reports instead of failing the test. Limits of time are reported by Errorf too; they differ
// in the text alone.
type recorder struct {
	testing.TB
	failures []string
}

func (r *recorder) Helper()             {}
func (r *recorder) Logf(string, ...any) {}
func (r *recorder) Errorf(format string, args ...any) {
	r.failures = append(r.failures, fmt.Sprintf(format, args...))
}

// TestBreachesByKind guards against a breach that does not fail a test, and against a late event that hides a more serious breach: if a
// rule other than a limit of time was broken, that breach is reported, as only it fails the test in its first run.
func TestBreachesByKind(t *testing.T) {
	late := checker.Breach{Rule: checker.OneAnswer, Late: true, Text: "late"}
	back := checker.Breach{Rule: checker.ServiceRecovered, Text: "late"}
	twice := checker.Breach{Rule: checker.NotTwice, Text: "wrong"}
	second := checker.Breach{Rule: checker.OneAnswer, Text: "wrong"}
	for name, test := range map[string]struct {
		breaches []checker.Breach
		want     string
	}{
		"none":                           {nil, ""},
		"late":                           {[]checker.Breach{late}, "late"},
		"a rule that is a limit of time": {[]checker.Breach{back}, "late"},
		"twice":                          {[]checker.Breach{twice}, "wrong"},
		"a second answer":                {[]checker.Breach{second}, "wrong"},
		"late, then wrong":               {[]checker.Breach{late, back, second}, "wrong"},
		"wrong, then so late":            {[]checker.Breach{twice, late}, "wrong"},
	} {
		r := &recorder{TB: t}
		reportBreach(r, &rehearse.Result{Rules: &checker.Verdict{Breaches: test.breaches}})
		checkReported(t, name, r.failures, test.want)
	}
}

// TestClientBreachesByKind is TestBreachesByKind for the breaches that the clients observed.
func TestClientBreachesByKind(t *testing.T) {
	late := score.Breach{Rule: "in time", Text: "late"}
	stale := score.Breach{Rule: "no stale read", Text: "wrong"}
	wires := score.Breach{Rule: string(checker.NotTwice), Text: "by the wires: wrong"}
	for name, test := range map[string]struct {
		breaches []score.Breach
		want     string
	}{
		"none":                 {nil, ""},
		"late":                 {[]score.Breach{late}, "late"},
		"stale":                {[]score.Breach{stale}, "wrong"},
		"late, then stale":     {[]score.Breach{late, stale}, "wrong"},
		"left to reportBreach": {[]score.Breach{wires}, ""},
	} {
		r := &recorder{TB: t}
		reportClientBreach(r, &rehearse.Result{Score: &score.Score{Breaches: test.breaches}})
		checkReported(t, name, r.failures, test.want)
	}
}

// checkReported fails the test unless exactly the wanted breach was reported, or nothing if want is empty.
func checkReported(t *testing.T, name string, failures []string, want string) {
	t.Helper()
	if want == "" {
		if len(failures) > 0 {
			t.Errorf("%s: reported %q, want nothing", name, failures)
		}
		return
	}
	if len(failures) != 1 || !strings.Contains(failures[0], want) {
		t.Errorf("%s: reported %q, want %q", name, failures, want)
	}
}
