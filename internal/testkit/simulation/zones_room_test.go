package simulation

import "testing"

// TestZonesNoRoom: clients ask nine times as much, so all zones are strained at once and no plan is feasible. The plans say how many cores are short, and once there is
// room again nothing is short and all stays near.
func TestZonesNoRoom(t *testing.T) {
	t.Parallel()
	z := zoned(t, 3, true, threeZones+`(seconds 80) (at 20s (load 9) (for 20s))`, []float64{20000, 45000}, nil)
	z.hold(t)
	said := z.until(20000, func(s *step) bool { return s.short > 0.1 })
	if said < 0 || said > 15000 {
		t.Errorf("a shortage was told after %.0f ms", said)
	}
	most := 0.0
	for _, s := range z.steps {
		if s.at < 20000 && s.short > 0.1 {
			t.Errorf("%+v: short, before anything befell", s)
			break
		}
		most = max(most, s.short)
	}
	last := z.steps[len(z.steps)-1]
	if last.short > 0 || last.near < 1 {
		t.Errorf("%+v in the end", last)
	}
	t.Logf("told after %.0f ms, %.2f cores at most; service %.4f", said, most, z.Score.Total.Ratio)
}
