package simulation

import (
	"testing"

	"beechgrade/internal/cluster/module"
	byzantine "beechgrade/internal/testkit/byzantine"
	"beechgrade/internal/testkit/checker"
)

// overloadFleet has classes of which a group of three servers with four cores each can serve about 200 requests per second.
const overloadFleet = `(poolers 8) (roams 0.6) (retries 3) (retry 20ms 120ms) (cold 3s) (peers (probe 500ms) (timeout 250ms) (suspicion 1500ms))
	(class "quadro-obra" (aim 800ms) (deadline 2s) (work 40ms 80ms)) (class "conferir-ponto" (aim 800ms) (deadline 2s) (work 40ms 80ms))
	(class "relatorio-mes" (aim 800ms) (deadline 2s) (work 40ms 80ms)) (class "registrar-ponto" (aim 800ms) (deadline 2s) (work 40ms 80ms)) `

// Faults and loads for overloadFleet.
const (
	halfCapacity = `(groups 3 3) (rate 200) (seconds 40) (back-in 8s) (at 12s (crowd everyone 0.5) (for 5s)) `
	lowCapacity  = `(groups 3 3) (rate 320) (seconds 40) (back-in 8s) (at 12s (crowd everyone 0.4) (for 5s)) `
	smallGroup   = `(groups 1 6 6 6 6) (rate 350) (seconds 25) `
	unresponsive = `(groups 3 3) (rate 200) (seconds 20) (at 5s (deaf member 0 1) (for 6s)) (at 5s (lose member 1 1 0.5) (for 6s)) `
	greedyTenant = `(groups 3 3) (rate 700) (allowance 300) (seconds 30) (tenant "quiet" (share 0.5) (usage 0.8)) (tenant "storm" (share 0.5) (usage 4)) `
)

// runOverload runs a scenario of overloadFleet with faults and settings.
func runOverload(t *testing.T, faults, settings string, seed uint64, m *Mutant) *Result {
	t.Helper()
	return runScenario(t, parse(t, `(rehearsal "overload" `+overloadFleet+faults+settings+`)`), Options{Seed: seed, Mutant: m})
}

// TestOverloadMutants: each mutant breaks its rule, and in the same scenario without the mutant no rule is broken.
func TestOverloadMutants(t *testing.T) {
	t.Parallel()
	const sharedProbes = `(overload (probes (each 400ms) (age 400ms)))`
	const smallRetryBudget = `(overload (repeats (part 0.002) (floor 4)))`
	texts := [][2]string{{halfCapacity, sharedProbes}, {halfCapacity, sharedProbes}, {halfCapacity, `(overload (shed yes))`}, {smallGroup, `(overload (shed yes))`}, {greedyTenant, `(overload (shed yes))`}, {lowCapacity, `(overload (shed yes))`},
		{unresponsive, smallRetryBudget}, {unresponsive, smallRetryBudget}}
	for i, m := range OverloadMutants() {
		t.Run(m.Name, func(t *testing.T) {
			t.Parallel()
			r := runOverload(t, texts[i][0], texts[i][1], 1, nil)
			if len(r.Verdict.Broken) > 0 || r.Verdict.Checked[m.Breaks] == 0 {
				t.Errorf("without the mutant: broken rules: %v; checks of its rule: %v; want none broken and some checks; breaches: %+v", r.Verdict.Broken, r.Verdict.Checked[m.Breaks], r.Verdict.Breaches)
			}
			x := runOverload(t, texts[i][0], texts[i][1], 1, &m)
			if x.Verdict.Broken[m.Breaks] == 0 {
				t.Errorf("rule %q is not broken with the mutant; checks: %v", m.Breaks, x.Verdict.Checked)
			}
			t.Logf("rule broken %d times in %d checks; service %.3f without the mutant and %.3f with it", x.Verdict.Broken[m.Breaks], x.Verdict.Checked[m.Breaks], r.Score.Ratio, x.Score.Ratio)
		})
	}
}

// TestByzantineLoadReports: one of eight poolers reports a thousand times its load, or none, as a collector too, while one group of ten is
// overloaded. The other nine groups shed nothing for that, and the service is as good as without the false reports. Before the extremes
// of the reported strain were dropped, the thousandfold reports made the nine healthy groups reject 0.7 of their requests.
func TestByzantineLoadReports(t *testing.T) {
	t.Parallel()
	const tenGroups = `(groups 1 2 2 2 2 2 2 2 2 2) (rate 200) (seconds 18) (at 4s (crowd primary 0 0.1) (for 12s)) `
	honest := runOverload(t, tenGroups, `(overload (shed yes))`, 5, nil).Score.Ratio
	for name, factor := range byzantine.RateFactors {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := runOverload(t, tenGroups, `(overload (shed yes))`, 5, &Mutant{Name: "lies", ModuleMessage: func(no int, message module.Message) module.Message {
				if no != 2 {
					return message
				}
				return byzantine.AlterLoad(message, factor)
			}})
			if len(r.Verdict.Broken) > 0 || r.Verdict.Checked[checker.IdleGroupServed] < 10 || r.Score.Ratio < honest-0.03 {
				t.Errorf("service %.3f, %.3f without the byzantine pooler; want at most 0.03 less, at least 10 checks of idle groups, and no broken rule; broken rules: %v %+v", r.Score.Ratio, honest, r.Verdict.Broken, r.Verdict.Breaches)
			}
		})
	}
}
