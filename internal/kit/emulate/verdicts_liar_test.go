package emulate

import (
	"slices"
	"testing"

	liars "beechgrade/internal/kit/lies"
	"beechgrade/internal/peers/part"
)

// toldOf is poolers of which 1 and 7 collect, with few requests each. Verdicts end soon, so that a blackout shows in the second 10 s.
const toldOf = `(rehearsal "told of servers" (seconds 20.5) (poolers 16) ` + judgedFleet + ` (groups-of 1 4) (rate 120) (verdicts (testers 1) (turn 30s) (lapse 3s)))`

// lying has some poolers lie of servers once they were heard for a while.
func lying(l liars.Servers, who ...int) func(no int, w part.Words) part.Words {
	told := 0
	return func(no int, w part.Words) part.Words {
		if !slices.Contains(who, no) {
			return w
		}
		if told++; told < 500*len(who) {
			return w
		}
		return liars.Said(w, l)
	}
}

// TestVerdictLiar: a collector says that all servers are silent, that each leads, or that each is 5 s further than it is, or all of it, as an
// observer and as a collector. No rule is broken, and as much is served as without it.
func TestVerdictLiar(t *testing.T) {
	s := parse(t, toldOf)
	honest := play(t, s, Options{Seed: 1}).Score.Ratio
	for name, lie := range liars.OfServers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := play(t, s, Options{Seed: 1, Mutant: &Mutant{Says: lying(lie, 1)}})
			if len(r.Verdict.Broken) > 0 || r.Score.Ratio < honest-0.01 {
				t.Errorf("service %.4f, %.4f without the liar; %v %+v", r.Score.Ratio, honest, r.Verdict.Broken, r.Verdict.Breaches)
			}
			t.Logf("service %.4f, %.4f without the liar", r.Score.Ratio, honest)
		})
	}
}
