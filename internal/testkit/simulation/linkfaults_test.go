package simulation

import (
	"slices"
	"testing"

	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/testkit/clients"
	"beechgrade/internal/testkit/model"
)

// TestFaultsOfServerLinks: a pooler that is cut off from all servers serves nothing, also after a restart; one with a lossy link loses most
// of its attempts; and the others are not affected.
func TestFaultsOfServerLinks(t *testing.T) {
	t.Parallel()
	const text = `(rehearsal "ways" (seconds 16) (poolers 4) (groups 3 3) (rate 400) (retries 0)
		(at 4s (cut 1 everyone) (for 8s)) (at 4s (thin (3) everyone 0.9) (for 8s)) (at 8s (kill-pooler 1) (for 200ms)))`
	var served, total [4]int
	r := runScenario(t, parse(t, text), Options{Seed: 2, OnAttemptEnded: func(x *clients.Attempt) {
		if at := x.Sent - startTimeMs; x.Pooler >= 0 && (at > 5000 && at < 7500 || at > 9000 && at < 11000) {
			total[x.Pooler]++
			if x.Kind == clients.Served {
				served[x.Pooler]++
			}
		}
	}})
	if served[1] > 0 || total[1] < 100 || served[3] > total[3]/2 || served[0] < total[0]*95/100 || served[2] < total[2]*95/100 {
		t.Errorf("served %v of %v attempts, by pooler; want none of pooler 1, at most half of pooler 3, and at least 0.95 of 0 and 2", served, total)
	}
	if !r.Verdict.OK() {
		t.Errorf("broken rules: %v; want none", r.Verdict.Broken)
	}
}

// TestHeldListIsDeliveredLater: while the endpoint list is held back, poolers receive no changes of it; afterwards they receive all of them.
// A server that is replaced by another process with the same ID starts cold, and no rule is broken.
func TestHeldListIsDeliveredLater(t *testing.T) {
	t.Parallel()
	received := func(fault string) (n int) {
		r := runScenario(t, parse(t, `(rehearsal "held" (seconds 14) (poolers 2) (groups 3) (rate 100) (cold 3s) `+fault+` (at 3s (drain member 0 1) (for 4s)) (at 5s (restart member 0 2)))`),
			Options{Seed: 2, Mutant: &Mutant{List: func(l *discovery.List) { n += len(l.Instances) }}})
		for _, b := range r.Verdict.Breaches {
			t.Errorf("breach of rule %q: %s\n%+v", b.Rule, b.Text, b.Proof)
			break
		}
		if !slices.ContainsFunc(r.Facts, func(f model.Fact) bool { return f.What == "is another process at once, cold" }) {
			t.Errorf("no server was replaced by another process; facts: %v", r.Facts)
		}
		return n
	}
	if unheld, held, heldForever := received(""), received("(at 2s (list-held all) (for 7s))"), received("(at 2s (list-held all))"); unheld != held || held != heldForever+6 {
		t.Errorf("entries received by two poolers: %d, %d with the list held back for a time, %d with it held back to the end; want equal numbers, and 6 less at the end (3 changes for each)", unheld, held, heldForever)
	}
}
