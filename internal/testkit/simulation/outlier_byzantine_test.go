package simulation

import (
	"slices"
	"testing"

	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/outlier"
	byzantine "beechgrade/internal/testkit/byzantine"
	"beechgrade/internal/testkit/checker"
)

// toldOf is poolers of which 1 and 7 collect, with few requests each. Verdicts end soon, so that a blackout shows in the second 10 s.
const toldOf = `(rehearsal "told of servers" (seconds 20.5) (poolers 16) ` + judgedFleet + ` (groups-of 1 4) (rate 120) (verdicts (testers 1) (turn 30s) (lapse 3s)))`

// seldomTold has what collectors said count for longer, as liars are not heard on servers that nobody asks.
const seldomTold = `(rehearsal "seldom told" (seconds 30.5) (poolers 16) ` + judgedFleet + ` (groups-of 1 4) (rate 60) (verdicts (testers 1) (turn 30s) (lapse 9s) (refresh 20s) (blind 0.75)))`

// lying has some poolers lie of servers once they were heard for a while.
func lying(l byzantine.ServerFault, who ...int) func(no int, w module.Message) module.Message {
	told := 0
	return func(no int, w module.Message) module.Message {
		if !slices.Contains(who, no) {
			return w
		}
		if told++; told < 500*len(who) {
			return w
		}
		return byzantine.AlterServers(w, l)
	}
}

// liedTo has two replicas behind, and then the primary dead, so that who believes that each leads, or is further than it is, is seen to.
const liedTo = `(rehearsal "lied to" (seconds 20.5) (poolers 16) ` + judgedFleet + ` (groups-of 1 4) (rate 120) (verdicts (testers 1) (turn 30s) (lapse 3s))
	(at 4s (lag member 0 2 80) (for 16s)) (at 4s (lag member 0 1 80) (for 16s)) (at 9s (die primary 0)))`

// TestByzantineOutlierReports: a collector says that all servers are silent, that each leads, or that each is 5 s further than it is, or all of it, as an
// observer and as a collector. No rule is broken, and as much is served as without it; poolers that need one word only break the rules of
// staleness and of whom writes go to.
func TestByzantineOutlierReports(t *testing.T) {
	t.Parallel()
	s := parse(t, liedTo)
	honest := play(t, s, Options{Seed: 1}).Score.Ratio
	believed := map[string]checker.Rule{"leads": checker.NotDenied, "ahead": checker.NotStale}
	for name, lie := range byzantine.ServerFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := play(t, s, Options{Seed: 1, Mutant: &Mutant{ModuleMessage: lying(lie, 1)}})
			if len(r.Verdict.Broken) > 0 || r.Score.Ratio < honest-0.01 {
				t.Errorf("service %.4f, %.4f without the liar; %v %+v", r.Score.Ratio, honest, r.Verdict.Broken, r.Verdict.Breaches)
			}
			t.Logf("service %.4f, %.4f without the liar", r.Score.Ratio, honest)
			if rule := believed[name]; rule != "" {
				m := &Mutant{ModuleMessage: lying(lie, 1), OutlierSettings: func(_ int, s *outlier.Settings) { s.Fault = outlier.SingleObserver }}
				if r := play(t, s, Options{Seed: 1, Mutant: m}); r.Verdict.Broken[rule] == 0 {
					t.Errorf("%q holds though one word is enough: %v", rule, r.Verdict.Checked)
				}
			}
		})
	}
}
