package simulation

import "testing"

// TestZonesWithoutSpareCapacity: clients send nine times the load, so that all zones are overloaded at once and no plan is feasible. The plans
// then tell how many cores are missing, and after the overload none is missing and all reads stay in their zone.
func TestZonesWithoutSpareCapacity(t *testing.T) {
	t.Parallel()
	z := runZones(t, 3, true, threeZones+`(seconds 80) (at 20s (load 9) (for 20s))`, []float64{20000, 45000}, nil)
	z.checkRules(t)
	reportedAfter := z.timeUntil(20000, func(s *planStep) bool { return s.unserved > 0.1 })
	if reportedAfter < 0 || reportedAfter > 15000 {
		t.Errorf("shortage in a plan after %.0f ms; want 0 to 15000", reportedAfter)
	}
	maxUnserved := 0.0
	for _, s := range z.steps {
		if s.at < 20000 && s.unserved > 0.1 {
			t.Errorf("plan with a shortage before the overload: %+v", s)
			break
		}
		maxUnserved = max(maxUnserved, s.unserved)
	}
	last := z.steps[len(z.steps)-1]
	if last.unserved > 0 || last.localShare < 1 {
		t.Errorf("last plan: %+v; want no shortage and all reads local", last)
	}
	t.Logf("shortage in a plan after %.0f ms, of %.2f cores at most; service %.4f", reportedAfter, maxUnserved, z.Score.Total.Ratio)
}
