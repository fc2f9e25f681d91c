package checker

import "testing"

// TestZoneRulesFindEachBreach checks that each rule reports exactly its own breach, and that allowed plans and reads break none.
func TestZoneRulesFindEachBreach(t *testing.T) {
	near := [][]float64{{1, 0}, {0, 1}}
	for _, x := range []struct {
		rule Rule
		run  func(c *ZoneChecker)
	}{
		{"", func(c *ZoneChecker) {
			c.PlanFollowed(0, 1, 4, 11)
			c.PlanFollowed(0, 2, 4, 11)
			c.CheckPlan(20000, 4, [][]float64{{0.5, 0.5}, {0, 1}}, []float64{2, 2}, []float64{4, 4})
			c.CheckPlan(20000, 4, near, []float64{9, 9}, []float64{4, 4}) // overloaded, but no zone receives work of others
			c.FaultChanged(20000)
			c.CheckPlan(21000, 5, [][]float64{{0, 1}, {0, 1}}, []float64{4, 4}, []float64{0, 4}) // within SettleMs after a change
			for range 1000 {
				c.ReadSent(50000, false)
			}
			c.ReadSent(50000, true)
		}},
		{OnePlan, func(c *ZoneChecker) { c.PlanFollowed(0, 1, 4, 11); c.PlanFollowed(0, 2, 4, 12) }},
		{OldPlan, func(c *ZoneChecker) { c.PlanFollowed(0, 1, 4, 11); c.PlanFollowed(9, 1, 3, 10) }},
		{FullZone, func(c *ZoneChecker) {
			c.CheckPlan(20000, 4, [][]float64{{0, 1}, {0, 1}}, []float64{2, 2}, []float64{4, 4})
		}},
		{NearCalm, func(c *ZoneChecker) { c.ReadSent(20000, true); c.ReadSent(20000, false) }},
	} {
		c := NewZoneChecker(0.8, 10000, 0.02)
		x.run(c)
		c.Finish(60000)
		if x.rule == "" && len(c.Breaches) > 0 || x.rule != "" && (len(c.Breaches) != 1 || c.Breaches[0].Rule != x.rule) {
			t.Errorf("breaches are %+v, want exactly one of rule %q, none if it is empty", c.Breaches, x.rule)
		}
	}
}
