package checker

import "beechgrade/internal/invariant"

// Invariant is the rule that the program's own statements about its state hold. It is put to the test where these are checked.
const Invariant Rule = "no statement of the program about its own state is false"

// Invariants adds the statements that were made by then, and those that were false.
func (v *Verdict) Invariants(at float64, c *invariant.Checks) {
	made, broken := c.Counts()
	if v.Checked[Invariant] += uint64(made); broken == 0 {
		return
	}
	v.Broken[Invariant] += broken
	for _, b := range c.Breaches() {
		v.Breaches = append(v.Breaches, Breach{Rule: Invariant, At: at, Text: b.Name + ": " + b.State})
	}
}
