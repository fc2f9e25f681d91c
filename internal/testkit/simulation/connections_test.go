package simulation

import (
	"slices"
	"testing"

	"beechgrade/internal/cluster/module"
	"beechgrade/internal/testkit/checker"
	"beechgrade/internal/testkit/model"
)

// TestBrokenConnectionsAreNotCounted: servers die while attempts are out there, some of which are given up, by clients, the module or a page, before the pooler
// hears that their connection broke. No such connection counts for ever: it would take a place of the pooler's, and of the server's.
func TestBrokenConnectionsAreNotCounted(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		r := play(t, parse(t, `(rehearsal "broken" (seconds 12) (poolers 4) (groups 3 3) (rate 400) (way 10ms 45ms) (retries 2) (detect 100ms 200ms) (elect 100ms 200ms) (crowds 2)
			(class "quadro-obra" (aim 100ms) (deadline 160ms)) (class "conferir-ponto" (aim 100ms) (deadline 180ms))
			(pages (class "conferir-ponto") (rows 60) (page 11) (readers 6) (think 5ms) (changes 60) (wait 300ms))
			(at 1s (die everyone) (for 100ms) (every 400ms)) (at 1300ms (hang replica 0) (for 300ms) (every 1s)) (at 5s (kill-pooler 1) (for 500ms)))`), Options{Seed: seed + 1})
		if r.Verdict.Broken[checker.Invariant] > 0 || r.Verdict.Checked[checker.Invariant] == 0 {
			t.Errorf("seed %d: %v, in %d attempts", seed+1, r.Verdict.Broken, r.Attempts)
		}
	}
}

// TestPageLeftBeforeItsResetIsNotCounted: a page's client gives up while rows of a shard come on a connection that its server has broken, before the pooler hears of that.
func TestPageLeftBeforeItsResetIsNotCounted(t *testing.T) {
	t.Parallel()
	left := 0
	join := func(h Host) []module.Module {
		sim := h.peer.pooler.sim
		if h.peer.pooler.no > 0 {
			return nil
		}
		var look func()
		look = func() {
			for _, p := range sim.poolers {
				for _, s := range slices.Clone(sim.reports.open[p]) {
					for _, x := range s.shardReads {
						if x != nil && x.source != nil && !x.source.ended && x.submitted && x.source.poolIncarnation != x.source.pool.incarnation {
							left++
							s.abandon()
							break
						}
					}
				}
			}
			sim.sched.After(1, model.Func(look), 0)
		}
		look()
		return nil
	}
	for seed := uint64(1); seed < 5; seed++ { // how often it happens is chance
		r := play(t, parse(t, `(rehearsal "left" (seconds 8) (poolers 3) (groups 3 3) (rate 60) (way 10ms 40ms) (detect 100ms 200ms) (elect 100ms 200ms) (peers)
		(pages (class "conferir-ponto") (rows 900) (page 800) (readers 20) (think 5ms) (changes 60))
		(at 1s (die everyone) (for 100ms) (every 400ms)))`), Options{Seed: seed, Modules: []ModuleMaker{join}})
		if r.Verdict.Broken[checker.Invariant] > 0 || r.Verdict.Checked[checker.Invariant] == 0 {
			t.Errorf("seed %d: %v", seed, r.Verdict.Broken)
		}
	}
	if left == 0 {
		t.Error("none was left")
	}
}
