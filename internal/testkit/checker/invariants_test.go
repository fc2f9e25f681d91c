package checker

import (
	"testing"

	"beechgrade/internal/invariant"
)

// TestBrokenInvariantsAreBreaches checks that a broken invariant is reported as a breach with its name and state.
func TestBrokenInvariantsAreBreaches(t *testing.T) {
	for _, ok := range []bool{true, false} {
		c, v := invariant.New(nil), New(Config{}).Verdict()
		c.That(ok, "x", func() string { return "y" })
		v.Invariants(7, c)
		if v.OK() != ok || v.Checked[Invariant] != 1 || !ok && (v.Breaches[0].Text != "x: y" || v.Breaches[0].At != 7) {
			t.Errorf("invariant holds: %v; verdict is %+v, want one check, and a breach at 7 with text %q if it does not hold", ok, v, "x: y")
		}
	}
}
