package reconcile

import (
	"fmt"
	"slices"
	"testing"
)

// TestMassRemovalsAreHeldBack checks that an empty report removes nothing at first, that removals of single servers are applied at once,
// and that held removals are accepted by the operators or after the hold time.
func TestMassRemovalsAreHeldBack(t *testing.T) {
	eight := func() (out []Observation) {
		for i := range 8 {
			out = append(out, observation(fmt.Sprint(i), i/4))
		}
		return out
	}
	for name, c := range map[string]struct {
		do   func(h *harness)
		want string
	}{
		"empty report": {func(h *harness) {
			h.wantDecisions(h.observe("consul", true), slices.Repeat([]DecisionKind{RemovalHeldBack}, 8)...)
		},
			"0 serving, 1 serving, 2 serving, 3 serving, 4 serving, 5 serving, 6 serving, 7 serving"},
		"empty report, then a full one": {func(h *harness) {
			h.observe("consul", true)
			h.observe("consul", true, eight()...)
			h.advance(700000)
		}, "0 serving, 1 serving, 2 serving, 3 serving, 4 serving, 5 serving, 6 serving, 7 serving"},
		"empty report, until the hold time ends": {func(h *harness) {
			h.observe("consul", true)
			if decisions := h.advance(700000); len(decisions) != 16 || decisions[0].Kind != RemovalAccepted {
				t.Errorf("decisions until the hold time ends: %+v, want 16, RemovalAccepted first", decisions)
			}
		}, ""},
		"empty report, accepted by the operators": {func(h *harness) {
			h.observe("consul", true)
			h.reconciler.Override(h.now, Override{AcceptHeldRemovals: true})
			h.takeChanges()
		}, ""},
		"two of eight": {func(h *harness) { h.wantDecisions(h.observe("consul", true, eight()[2:]...), Removed, Removed) },
			"2 serving, 3 serving, 4 serving, 5 serving, 6 serving, 7 serving"},
		"one after another": {func(h *harness) {
			for i := 1; i < 8; i++ {
				h.observe("consul", true, eight()[i:]...)
				h.now += 1000
			}
		}, "3 serving, 4 serving, 5 serving, 6 serving, 7 serving"},
		"one after another, slowly": {func(h *harness) {
			for i := 1; i < 4; i++ {
				h.observe("consul", true, eight()[i:]...)
				h.advance(31000)
			}
		}, "3 serving, 4 serving, 5 serving, 6 serving, 7 serving"},
		"last server of a group": {func(h *harness) {
			for i := 1; i < 5; i++ {
				h.observe("consul", true, eight()[i:]...)
				h.advance(31000)
			}
		}, "3 serving, 4 serving, 5 serving, 6 serving, 7 serving"},
		"pinned by the operators": {func(h *harness) {
			h.reconciler.Override(h.now, Override{Pins: []Pin{{"0", StateServing}, {"7", StateDraining}}})
			h.observe("consul", true, eight()[1:]...)
		}, "0 serving, 1 serving, 2 serving, 3 serving, 4 serving, 5 serving, 6 serving, 7 draining"},
		"no longer pinned": {func(h *harness) {
			h.reconciler.Override(h.now, Override{Pins: []Pin{{"0", StateServing}, {"7", StateDraining}}})
			h.observe("consul", true, eight()[1:]...)
			h.reconciler.Override(h.now, Override{})
			h.takeChanges()
		}, "1 serving, 2 serving, 3 serving, 4 serving, 5 serving, 6 serving, 7 serving"},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, nil)
			h.observe("consul", true, eight()...)
			c.do(h)
			h.wantList(c.want)
		})
	}
}

// TestRetiredSourceLeavesWhatOthersKnow checks that the servers of a retired source stay if other sources report them, and that their
// removals are held back if the other sources report none of them.
func TestRetiredSourceLeavesWhatOthersKnow(t *testing.T) {
	three := []Observation{observation("1", 0), observation("2", 0), observation("3", 1)}
	h := newHarness(t, nil)
	h.observe("static", true, three...)
	h.observe("consul", true)
	h.reconciler.RetireSource(h.now, "static")
	h.wantDecisions(h.takeChanges(), RemovalHeldBack, RemovalHeldBack, RemovalHeldBack)
	h.wantList("1 serving, 2 serving, 3 serving")
	h.observe("consul", true, three[0], three[2])
	h.advance(700000)
	h.wantList("1 serving, 3 serving")

	h = newHarness(t, nil)
	h.observe("static", true, three...)
	h.observe("consul", true, three[0], three[2])
	h.reconciler.RetireSource(h.now, "static")
	h.wantDecisions(h.takeChanges(), Removed)
	h.wantList("1 serving, 3 serving")
}
