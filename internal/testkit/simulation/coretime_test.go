package simulation

import (
	"math"
	"testing"
)

// TestCoreTimeAddsUp: what cores did under twice the load is told whole, by what became of it: no more than there are cores, and most of it.
// At half of it nothing is late, and nothing waits.
func TestCoreTimeAddsUp(t *testing.T) {
	t.Parallel()
	const text = `(rehearsal "spent" (seconds 5) (poolers 8) (groups-of 2 4) (rate 1100) (roams 0.6) (retries 3) (retry 20ms 120ms) `
	r := play(t, parse(t, text+`)`), Options{Seed: 1})
	x, most := r.CoreTime, 5.0*8*4
	all := x.InTime + x.Late + x.LateRetries + x.Wasted + x.Abandoned
	t.Logf("%+v of %v core seconds", x, most)
	if all > most+1 || all < 0.7*most || x.InTime < 0.6*most || math.IsNaN(x.MeanWait) || x.MeanWait <= 0 {
		t.Errorf("%+v: %v of %v core seconds", x, all, most)
	}
	alone := play(t, parse(t, `(rehearsal "spent" (seconds 5) (poolers 1) (groups-of 2 4) (rate 300))`), Options{Seed: 1}).CoreTime
	if late := alone.Late + alone.LateRetries + alone.Wasted + alone.Abandoned; late > 0.05*alone.InTime || alone.MeanWait > 5 {
		t.Errorf("half of the load, one pooler: %+v", alone)
	}
}
