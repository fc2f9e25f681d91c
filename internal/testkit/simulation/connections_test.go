package simulation

import (
	"slices"
	"testing"

	"beechgrade/internal/cluster/module"
	"beechgrade/internal/testkit/checker"
	"beechgrade/internal/testkit/model"
)

// TestBrokenConnectionsAreNotCounted: servers die during attempts, some of which are cancelled by clients, the decision module or a page
// before the pooler learns that their connections are broken. Such a connection must not stay counted: it would reduce the pooler's and
// the server's connection limits for ever.
func TestBrokenConnectionsAreNotCounted(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		r := runScenario(t, parse(t, `(rehearsal "broken" (seconds 12) (poolers 4) (groups 3 3) (rate 400) (way 10ms 45ms) (retries 2) (detect 100ms 200ms) (elect 100ms 200ms) (crowds 2)
			(class "quadro-obra" (aim 100ms) (deadline 160ms)) (class "conferir-ponto" (aim 100ms) (deadline 180ms))
			(pages (class "conferir-ponto") (rows 60) (page 11) (readers 6) (think 5ms) (changes 60) (wait 300ms))
			(at 1s (die everyone) (for 100ms) (every 400ms)) (at 1300ms (hang replica 0) (for 300ms) (every 1s)) (at 5s (kill-pooler 1) (for 500ms)))`), Options{Seed: seed + 1})
		if r.Verdict.Broken[checker.Invariant] > 0 || r.Verdict.Checked[checker.Invariant] == 0 {
			t.Errorf("seed %d: invariants checked %d times in %d attempts, broken rules: %v; want some checks and no broken invariant", seed+1, r.Verdict.Checked[checker.Invariant], r.Attempts, r.Verdict.Broken)
		}
	}
}

// TestAbandonedPageOnBrokenConnectionIsNotCounted: a page's client disconnects while rows of a shard arrive on a connection that the server
// has broken, and before the pooler learns of that. The connection must not stay counted.
func TestAbandonedPageOnBrokenConnectionIsNotCounted(t *testing.T) {
	t.Parallel()
	abandoned := 0
	abandonOnBrokenConnection := func(h Host) []module.Module {
		sim := h.peer.pooler.sim
		if h.peer.pooler.no > 0 {
			return nil
		}
		var abandonPages func()
		abandonPages = func() {
			for _, p := range sim.poolers {
				for _, page := range slices.Clone(sim.reports.open[p]) {
					for _, shard := range page.shardReads {
						if shard != nil && shard.source != nil && !shard.source.ended && shard.submitted && shard.source.poolIncarnation != shard.source.pool.incarnation {
							abandoned++
							page.abandon()
							break
						}
					}
				}
			}
			sim.sched.After(1, model.Func(abandonPages), 0)
		}
		abandonPages()
		return nil
	}
	for seed := uint64(1); seed < 5; seed++ { // whether a page is abandoned at such a moment depends on the seed
		r := runScenario(t, parse(t, `(rehearsal "left" (seconds 8) (poolers 3) (groups 3 3) (rate 60) (way 10ms 40ms) (detect 100ms 200ms) (elect 100ms 200ms) (peers)
		(pages (class "conferir-ponto") (rows 900) (page 800) (readers 20) (think 5ms) (changes 60))
		(at 1s (die everyone) (for 100ms) (every 400ms)))`), Options{Seed: seed, Modules: []ModuleMaker{abandonOnBrokenConnection}})
		if r.Verdict.Broken[checker.Invariant] > 0 || r.Verdict.Checked[checker.Invariant] == 0 {
			t.Errorf("seed %d: invariants checked %d times, broken rules: %v; want some checks and no broken invariant", seed, r.Verdict.Checked[checker.Invariant], r.Verdict.Broken)
		}
	}
	if abandoned == 0 {
		t.Error("no page was abandoned while it read from a broken connection")
	}
}
