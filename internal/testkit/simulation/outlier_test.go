package simulation

import (
	"os"
	"strconv"
	"testing"

	"beechgrade/internal/cluster/module"
	byzantine "beechgrade/internal/testkit/byzantine"
	"beechgrade/internal/testkit/checker"
)

// outlierFleet has poolers in three zones that share their observations of servers.
const outlierFleet = `(sites "a" "b" "c") (cross 0.3ms 1ms) (retries 0) (peers (probe 500ms) (timeout 150ms) (suspicion 1500ms) (exchange 3s)) `

// delayedMessages makes replicas lag while the messages between poolers are delayed.
const delayedMessages = `(rehearsal "late words" (seconds 14) (poolers 12) ` + outlierFleet + ` (groups-of 2 4) (rate 400) (verdicts (delay 1ms))
	(at 3s (lag member 0 2 80) (for 9s)) (at 3s (lag member 1 3 80) (for 9s)) (at 3s (lag member 1 2 80) (for 9s)) (at 4s (between all all (slow 600ms)) (for 8s)))`

// replacedServer stops a server's answers and then replaces it by another process with the same name and address. An assessment counts for
// long if no pooler tests the server.
const replacedServer = `(rehearsal "another process" (seconds 30.5) (poolers 16) ` + outlierFleet + ` (groups-of 1 4) (rate 120) (cold 0s) (verdicts (testers 1) (turn 60s) (lapse 60s))
	(at 3s (deaf member 0 1) (for 5990ms)) (at 9s (restart member 0 1)))`

// mutantSeeds is the number of seeds, at one of which each mutant has to be detected.
const mutantSeeds = 4

// TestOutlierMutants: each mutant breaks its rule at some seed, and without it the rule holds. Observations that arrive 0.6 s late make
// no read too stale, except with poolers that do not add the delay to the age of a position. One or two byzantine collectors of three
// cause no blackout, except with poolers to which a single observer is enough, that take old evidence for new, or that let older
// evidence of others overrule their own. A server that is a new process is not avoided for the evidence about its old one, except by
// poolers that keep that evidence.
func TestOutlierMutants(t *testing.T) {
	t.Parallel()
	for i, m := range OutlierMutants() {
		t.Run(m.Name, func(t *testing.T) {
			text := []string{delayedMessages, falseReports, falseReports, falseReportsRareRequests, replacedServer}[i]
			alter := func() func(int, module.Message) module.Message { // a new hook, with a new count of messages, for each run
				return byzantinePoolers(byzantine.ServerFault{Unresponsive: true, SinceMs: []float64{0, 0, 20000, 20000, 0}[i]}, [][]int{nil, {1}, {1, 7}, {1, 7}, nil}[i]...)
			}
			caught := false
			for seed := uint64(1); seed <= mutantSeeds && !caught; seed++ { // whether a request shows the error depends on the seed
				if r := runScenario(t, parse(t, text), Options{Seed: seed, Mutant: &Mutant{ModuleMessage: alter()}}); r.Verdict.Broken[m.Breaks] > 0 || r.Verdict.Checked[m.Breaks] < []uint64{3, 3, 3, 3, 1}[i] {
					t.Errorf("without the mutant, seed %d: broken rules: %v, checks: %v; want rule %q checked and not broken", seed, r.Verdict.Broken, r.Verdict.Checked, m.Breaks)
				}
				m.ModuleMessage = alter()
				caught = runScenario(t, parse(t, text), Options{Seed: seed, Mutant: &m}).Verdict.Broken[m.Breaks] > 0
			}
			if !caught {
				t.Errorf("rule %q is not broken with the mutant at any of %d seeds", m.Breaks, mutantSeeds)
			}
		})
	}
}

// TestOutliersUnderChaos: servers, poolers and the links between them fail at random, and no rule is broken. At seed 13 a primary returns as a
// replica while writes wait for it. BEECHGRADE_VERDICT_SEEDS is a number of seeds to run instead.
func TestOutliersUnderChaos(t *testing.T) {
	t.Parallel()
	seeds := []uint64{0, 1, 13}
	if n, err := strconv.Atoi(os.Getenv("BEECHGRADE_VERDICT_SEEDS")); err == nil {
		seeds = seeds[:0]
		for seed := range uint64(n) {
			seeds = append(seeds, seed)
		}
	}
	s := loadScenario(t, "verdicts-chaos")
	service, blackouts, lowest := 0.0, uint64(0), 1.0
	for _, seed := range seeds {
		r := runScenario(t, s, Options{Seed: seed})
		for _, b := range r.Verdict.Breaches {
			t.Errorf("seed %d: breach of rule %q at %.1f s: %s\n%+v", seed, b.Rule, (b.At-startTimeMs)/1000, b.Text, b.Proof)
			break
		}
		service, blackouts, lowest = service+r.Score.Ratio, blackouts+r.Verdict.Checked[checker.NoBlackout], min(lowest, r.Score.Ratio)
		if r.Verdict.Checked[checker.LastAsked] == 0 || r.Verdict.Checked[checker.NotStale] == 0 || r.Verdict.Checked[checker.NotDenied] == 0 {
			t.Errorf("seed %d: one of the rules LastAsked, NotStale and NotDenied was never checked; checks: %v", seed, r.Verdict.Checked)
		}
	}
	t.Logf("%d seeds: service %.4f, lowest %.3f; %d checks for blackouts", len(seeds), service/float64(len(seeds)), lowest, blackouts)
}
