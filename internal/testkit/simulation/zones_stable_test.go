package simulation

import "testing"

// TestZonesAreDeterministic: a run with zone planning gives a known hash. A change that is not meant to change behaviour leaves it as it is.
func TestZonesAreDeterministic(t *testing.T) {
	t.Parallel()
	z := runZones(t, 1, true, threeZones+`(seconds 60) (at 15s (power "a") (for 10s)) (at 35s (kill-pooler 0) (for 2s))`, []float64{15000, 60000}, nil)
	if z.Hash != "b298735c1127db75" || z.Events != 77220 || len(z.steps) != 12 {
		t.Errorf("hash %s, %d events, %d plans followed; want b298735c1127db75, 77220 and 12", z.Hash, z.Events, len(z.steps))
	}
}
