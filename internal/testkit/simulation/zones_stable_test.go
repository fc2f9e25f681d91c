package simulation

import "testing"

// TestZonesAreStable: a run in which zones are decided in common is deterministic; a change that is not meant to change behaviour leaves it as it is.
func TestZonesAreStable(t *testing.T) {
	t.Parallel()
	z := zoned(t, 1, true, threeZones+`(seconds 60) (at 15s (power "a") (for 10s)) (at 35s (kill-pooler 0) (for 2s))`, []float64{15000, 60000}, nil)
	if z.Hash != "b298735c1127db75" || z.Events != 77220 || len(z.steps) != 12 {
		t.Errorf("hash %s, %d events, %d steps", z.Hash, z.Events, len(z.steps))
	}
}
