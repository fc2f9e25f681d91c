package simulation

import (
	"math"
	"testing"
)

// TestCoreTimeAddsUp: with poolers overloaded to about twice the servers' capacity, the core time by outcome adds up to most of the
// available core time and not to more. At about half the capacity, with one pooler, next to nothing is late and attempts hardly wait.
func TestCoreTimeAddsUp(t *testing.T) {
	t.Parallel()
	const text = `(rehearsal "spent" (seconds 5) (poolers 8) (groups-of 2 4) (rate 1100) (roams 0.6) (retries 3) (retry 20ms 120ms) `
	r := runScenario(t, parse(t, text+`)`), Options{Seed: 1})
	spent, available := r.CoreTime, 5.0*8*4 // seconds of 8 servers with 4 cores each
	total := spent.InTime + spent.Late + spent.LateRetries + spent.Wasted + spent.Abandoned
	t.Logf("core time %+v, available %v s", spent, available)
	if total > available+1 || total < 0.7*available || spent.InTime < 0.6*available || math.IsNaN(spent.MeanWait) || spent.MeanWait <= 0 {
		t.Errorf("core time %+v: total %v s, available %v s; want a total of 0.7 to 1 of what is available, 0.6 in time, and a positive mean wait", spent, total, available)
	}
	light := runScenario(t, parse(t, `(rehearsal "spent" (seconds 5) (poolers 1) (groups-of 2 4) (rate 300))`), Options{Seed: 1}).CoreTime
	if late := light.Late + light.LateRetries + light.Wasted + light.Abandoned; late > 0.05*light.InTime || light.MeanWait > 5 {
		t.Errorf("at half the capacity: core time %+v; want at most 0.05 as much late, wasted or abandoned as in time, and a mean wait of at most 5 ms", light)
	}
}
