package invariant

import (
	"fmt"
	"strings"
	"testing"
)

// TestBreachIsReportedOnce checks that a breach is reported once for each name, and counted.
func TestBreachIsReportedOnce(t *testing.T) {
	var reported []string
	c := New(func(breach Breach) { reported = append(reported, breach.String()) })
	for i := range 3 {
		c.That(i == 0, "small", func() string { return fmt.Sprint("i is ", i) })
	}
	c.That(false, "other", func() string { var s []string; return s[1] })
	n := 0
	for range 4 {
		c.Walk(&n, 2, "walk", func(c *Checks) { var s []int; c.That(s[1] == 0, "not reached", nil) })
	}
	want := []string{
		"invariant broken: small: i is 1",
		"invariant broken: other: describing the state panicked",
		"invariant broken: walk: the walk panicked",
	}
	for i, w := range want {
		if i >= len(reported) || !strings.HasPrefix(reported[i], w) {
			t.Fatalf("reported %q, want %q at %d", reported, w, i)
		}
	}
	if len(reported) != len(want) {
		t.Errorf("reported %q, want %d breaches", reported, len(want))
	}
	if checked, failed := c.Counts(); checked != 4 || failed != 5 || c.Breaches()[0].Times != 2 {
		t.Errorf("%d checked, %d failed, breaches %v; want 4, 5, the first breach twice", checked, failed, c.Breaches())
	}
}

// TestNilChecksNothing checks that a nil *Checks checks nothing and calls none of the functions that it is given.
func TestNilChecksNothing(t *testing.T) {
	var c *Checks
	n := 0
	c.That(false, "x", func() string { t.Error("state was called"); return "" })
	c.Walk(&n, 1, "x", func(*Checks) { t.Error("walk was called") })
	if checked, failed := c.Counts(); c.Enabled() || c.Breaches() != nil || checked != 0 || failed != 0 {
		t.Errorf("a nil *Checks is enabled, has breaches or counts %d checks, %d failed", checked, failed)
	}
}

// errorRecorder is a T that records its errors.
type errorRecorder struct{ text string }

func (r *errorRecorder) Helper()                           {}
func (r *errorRecorder) Errorf(format string, args ...any) { r.text += fmt.Sprintf(format, args...) }

// TestBreachFailsTheTest checks that a breach fails the test.
func TestBreachFailsTheTest(t *testing.T) {
	var recorder errorRecorder
	Test(&recorder).That(false, "x", func() string { return "y" })
	if recorder.text != "invariant broken: x: y" {
		t.Errorf("error of the test: got %q, want \"invariant broken: x: y\"", recorder.text)
	}
}

// BenchmarkDisabledCheck measures a disabled check in the form in which callers use it.
func BenchmarkDisabledCheck(b *testing.B) {
	var c *Checks
	s := make([]int, 8)
	b.ReportAllocs()
	for i := range b.N {
		s[i&7]++
		if c.Enabled() {
			c.That(s[i&7] >= 0, "x", func() string { return fmt.Sprint(s, i) })
		}
	}
}

// BenchmarkLoopWithoutCheck measures the loop of BenchmarkDisabledCheck without the check, as a baseline.
func BenchmarkLoopWithoutCheck(b *testing.B) {
	s := make([]int, 8)
	b.ReportAllocs()
	for i := range b.N {
		s[i&7]++
	}
}

// BenchmarkEnabledCheck measures an enabled check that holds.
func BenchmarkEnabledCheck(b *testing.B) {
	c := New(nil)
	s := make([]int, 8)
	b.ReportAllocs()
	for i := range b.N {
		s[i&7]++
		if c.Enabled() {
			c.That(s[i&7] >= 0, "x", func() string { return fmt.Sprint(s, i) })
		}
	}
}
