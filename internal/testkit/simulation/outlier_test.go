package simulation

import (
	"os"
	"strconv"
	"testing"

	"beechgrade/internal/cluster/module"
	byzantine "beechgrade/internal/testkit/byzantine"
	"beechgrade/internal/testkit/checker"
)

// judgedFleet is poolers in three zones that share what they know of servers.
const judgedFleet = `(sites "a" "b" "c") (cross 0.3ms 1ms) (retries 0) (peers (probe 500ms) (timeout 150ms) (suspicion 1500ms) (exchange 3s)) `

// lateWords has replicas fall behind while what poolers tell one another comes late.
const lateWords = `(rehearsal "late words" (seconds 14) (poolers 12) ` + judgedFleet + ` (groups-of 2 4) (rate 400) (verdicts (delay 1ms))
	(at 3s (lag member 0 2 80) (for 9s)) (at 3s (lag member 1 3 80) (for 9s)) (at 3s (lag member 1 2 80) (for 9s)) (at 4s (between all all (slow 600ms)) (for 8s)))`

// another has a server that was deaf be another process at once, under its name and at its address. A verdict stands for long where nobody tries.
const another = `(rehearsal "another process" (seconds 30.5) (poolers 16) ` + judgedFleet + ` (groups-of 1 4) (rate 120) (cold 0s) (verdicts (testers 1) (turn 60s) (lapse 60s))
	(at 3s (deaf member 0 1) (for 5990ms)) (at 9s (restart member 0 1)))`

// mutantSeeds is the number of seeds at one of which a mutant has to be caught.
const mutantSeeds = 4

// TestOutlierMutants: words that come 0.6 s late make no read staler than its class allows; poolers that take a position for as new as the word
// that brought it are caught. Collectors that lie take no server from those that it answers, one of three nor two: poolers that need one
// word only, or for which each word is new, are caught. A server that is another process is avoided for nothing that the last one did; poolers that keep
// what they have of that one are caught.
func TestOutlierMutants(t *testing.T) {
	t.Parallel()
	for i, m := range OutlierMutants() {
		t.Run(m.Name, func(t *testing.T) {
			text := []string{lateWords, toldOf, toldOf, seldomTold, another}[i]
			says := func() func(int, module.Message) module.Message { // afresh for each play
				return lying(byzantine.ServerFault{Unresponsive: true, SinceMs: []float64{0, 0, 20000, 20000, 0}[i]}, [][]int{nil, {1}, {1, 7}, {1, 7}, nil}[i]...)
			}
			caught := false
			for seed := uint64(1); seed <= mutantSeeds && !caught; seed++ { // whether a server is asked at the moment that shows it is chance
				if r := play(t, parse(t, text), Options{Seed: seed, Mutant: &Mutant{ModuleMessage: says()}}); r.Verdict.Broken[m.Breaks] > 0 || r.Verdict.Checked[m.Breaks] < []uint64{3, 3, 3, 3, 1}[i] {
					t.Errorf("without, seed %d: %v of %v", seed, r.Verdict.Broken, r.Verdict.Checked)
				}
				m.ModuleMessage = says()
				caught = play(t, parse(t, text), Options{Seed: seed, Mutant: &m}).Verdict.Broken[m.Breaks] > 0
			}
			if !caught {
				t.Errorf("it was not caught at any of %d seeds", mutantSeeds)
			}
		})
	}
}

// TestOutliersUnderChaos: what befalls servers, the ways to them, poolers and the ways between them is drawn from seeds; no rule is broken. At seed 13
// a primary comes back as a replica while writes wait for it. Many more seeds with BEECHGRADE_VERDICT_SEEDS.
func TestOutliersUnderChaos(t *testing.T) {
	t.Parallel()
	seeds := []uint64{0, 1, 13}
	if n, err := strconv.Atoi(os.Getenv("BEECHGRADE_VERDICT_SEEDS")); err == nil {
		seeds = seeds[:0]
		for seed := range uint64(n) {
			seeds = append(seeds, seed)
		}
	}
	s := load(t, "verdicts-chaos")
	service, blackouts, least := 0.0, uint64(0), 1.0
	for _, seed := range seeds {
		r := play(t, s, Options{Seed: seed})
		for _, b := range r.Verdict.Breaches {
			t.Errorf("seed %d: %s: at %.1f s: %s\n%+v", seed, b.Rule, (b.At-startTimeMs)/1000, b.Text, b.Proof)
			break
		}
		service, blackouts, least = service+r.Score.Ratio, blackouts+r.Verdict.Checked[checker.NoBlackout], min(least, r.Score.Ratio)
		if r.Verdict.Checked[checker.LastAsked] == 0 || r.Verdict.Checked[checker.NotStale] == 0 || r.Verdict.Checked[checker.NotDenied] == 0 {
			t.Errorf("seed %d: a rule was never put to the test: %v", seed, r.Verdict.Checked)
		}
	}
	t.Logf("%d seeds: service %.4f, least %.3f; blackouts looked for %d times", len(seeds), service/float64(len(seeds)), least, blackouts)
}
