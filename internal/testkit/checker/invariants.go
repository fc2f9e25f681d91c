package checker

import "beechgrade/internal/invariant"

// Invariant is the rule that the program's own invariants hold. The program checks them itself, where they are stated.
const Invariant Rule = "no statement of the program about its own state is false"

// Invariants adds the checks of the program's invariants and their breaches.
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
