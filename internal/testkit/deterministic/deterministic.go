// Package deterministic has tests of drawn sequences draw the same ones in every run, so that they come to the same verdict.
package deterministic

import (
	"flag"
	"testing"

	"pgregory.net/rapid"
)

// Check is rapid.Check from a seed of its own, unless the command line names one (-rapid.seed). With -rapid.checks=N and
// other seeds it looks further than a test in every run can.
func Check(t *testing.T, prop func(*rapid.T)) {
	t.Helper()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		if err := flag.Set("rapid.seed", "7"); err != nil {
			t.Fatal(err)
		}
		defer func() { _ = flag.Set("rapid.seed", "0") }()
	}
	rapid.Check(t, prop)
}
