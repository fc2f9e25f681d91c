package simulation

import (
	"slices"
	"testing"

	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/outlier"
	byzantine "beechgrade/internal/testkit/byzantine"
	"beechgrade/internal/testkit/checker"
)

// falseReports is a scenario in which poolers 1 and 7 are collectors, and each pooler has few requests. Assessments expire early, so that a
// blackout shows within the second 10 s.
const falseReports = `(rehearsal "told of servers" (seconds 20.5) (poolers 16) ` + outlierFleet + ` (groups-of 1 4) (rate 120) (verdicts (testers 1) (turn 30s) (lapse 3s)))`

// falseReportsRareRequests has fewer requests, and assessments that count for longer, so that false reports have an effect on servers that
// receive no requests.
const falseReportsRareRequests = `(rehearsal "seldom told" (seconds 30.5) (poolers 16) ` + outlierFleet + ` (groups-of 1 4) (rate 60) (verdicts (testers 1) (turn 30s) (lapse 9s) (refresh 20s) (blind 0.75)))`

// byzantinePoolers returns a hook that alters the messages of some poolers, after they have sent 500 each on average unaltered.
func byzantinePoolers(fault byzantine.ServerFault, poolers ...int) func(no int, message module.Message) module.Message {
	messages := 0
	return func(no int, message module.Message) module.Message {
		if !slices.Contains(poolers, no) {
			return message
		}
		if messages++; messages < 500*len(poolers) {
			return message
		}
		return byzantine.AlterServers(message, fault)
	}
}

// laggingReplicas makes two replicas lag and then kills the primary: a pooler that believes that a replica is the primary, or further ahead
// than it is, breaks a rule.
const laggingReplicas = `(rehearsal "lied to" (seconds 20.5) (poolers 16) ` + outlierFleet + ` (groups-of 1 4) (rate 120) (verdicts (testers 1) (turn 30s) (lapse 3s))
	(at 4s (lag member 0 2 80) (for 16s)) (at 4s (lag member 0 1 80) (for 16s)) (at 9s (die primary 0)))`

// TestByzantineOutlierReports: a collector reports falsely that all servers are unresponsive, that each is the primary, that each is 5 s
// ahead of its position, or all of this, as an observer and as a collector. No rule is broken, and the service is as good as without it.
// Poolers to which a single observer is enough break the rules of staleness and of writes to a server that is not the primary.
func TestByzantineOutlierReports(t *testing.T) {
	t.Parallel()
	s := parse(t, laggingReplicas)
	honest := runScenario(t, s, Options{Seed: 1}).Score.Ratio
	brokenBySingleObserver := map[string]checker.Rule{"leads": checker.NotDenied, "ahead": checker.NotStale}
	for name, fault := range byzantine.ServerFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := runScenario(t, s, Options{Seed: 1, Mutant: &Mutant{ModuleMessage: byzantinePoolers(fault, 1)}})
			if len(r.Verdict.Broken) > 0 || r.Score.Ratio < honest-0.01 {
				t.Errorf("service %.4f, %.4f without the byzantine pooler; want at most 0.01 less, and no broken rule; broken rules: %v %+v", r.Score.Ratio, honest, r.Verdict.Broken, r.Verdict.Breaches)
			}
			t.Logf("service %.4f, %.4f without the byzantine pooler", r.Score.Ratio, honest)
			if rule := brokenBySingleObserver[name]; rule != "" {
				m := &Mutant{ModuleMessage: byzantinePoolers(fault, 1), OutlierSettings: func(_ int, s *outlier.Settings) { s.Fault = outlier.SingleObserver }}
				if r := runScenario(t, s, Options{Seed: 1, Mutant: m}); r.Verdict.Broken[rule] == 0 {
					t.Errorf("rule %q is not broken though a single observer is enough; checks: %v", rule, r.Verdict.Checked)
				}
			}
		})
	}
}
