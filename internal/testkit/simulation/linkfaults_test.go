package simulation

import (
	"slices"
	"testing"

	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/testkit/clients"
	"beechgrade/internal/testkit/model"
)

// TestFaultsOfServerLinks: who is cut off from all servers serves nobody, on a thin way much is lost, and others do not notice; in another
// process of the pooler it goes on.
func TestFaultsOfServerLinks(t *testing.T) {
	t.Parallel()
	const text = `(rehearsal "ways" (seconds 16) (poolers 4) (groups 3 3) (rate 400) (retries 0)
		(at 4s (cut 1 everyone) (for 8s)) (at 4s (thin (3) everyone 0.9) (for 8s)) (at 8s (kill-pooler 1) (for 200ms)))`
	var served, all [4]int
	r := play(t, parse(t, text), Options{Seed: 2, OnAttemptEnded: func(x *clients.Attempt) {
		if at := x.Sent - startTimeMs; x.Pooler >= 0 && (at > 5000 && at < 7500 || at > 9000 && at < 11000) {
			all[x.Pooler]++
			if x.Kind == clients.Served {
				served[x.Pooler]++
			}
		}
	}})
	if served[1] > 0 || all[1] < 100 || served[3] > all[3]/2 || served[0] < all[0]*95/100 || served[2] < all[2]*95/100 {
		t.Errorf("served %v of %v", served, all)
	}
	if !r.Verdict.OK() {
		t.Errorf("broken: %v", r.Verdict.Broken)
	}
}

// TestHeldListIsDeliveredLater: while the list tells poolers nothing, nothing new comes to them; at the end all does. A server that is another process at
// once, under its old id, is cold, and no rule is broken.
func TestHeldListIsDeliveredLater(t *testing.T) {
	t.Parallel()
	heard := func(hold string) (n int) {
		r := play(t, parse(t, `(rehearsal "held" (seconds 14) (poolers 2) (groups 3) (rate 100) (cold 3s) `+hold+` (at 3s (drain member 0 1) (for 4s)) (at 5s (restart member 0 2)))`),
			Options{Seed: 2, Mutant: &Mutant{List: func(l *discovery.List) { n += len(l.Instances) }}})
		for _, b := range r.Verdict.Breaches {
			t.Errorf("%s: %s\n%+v", b.Rule, b.Text, b.Proof)
			break
		}
		if !slices.ContainsFunc(r.Facts, func(f model.Fact) bool { return f.What == "is another process at once, cold" }) {
			t.Errorf("no server was restarted: %v", r.Facts)
		}
		return n
	}
	if free, late, never := heard(""), heard("(at 2s (list-held all) (for 7s))"), heard("(at 2s (list-held all))"); free != late || late != never+6 {
		t.Errorf("two poolers heard %d times of a server, %d with the list held back, %d where it told no more; three changes were to be told to each", free, late, never)
	}
}
