// Package deterministic runs property tests of rapid with the same draws in every run, so that each run gives the same result.
package deterministic

import (
	"flag"
	"testing"

	"pgregory.net/rapid"
)

// Check is rapid.Check with a fixed seed, unless the command line sets one (-rapid.seed). Other seeds and a larger
// -rapid.checks cover more cases than the default run.
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
