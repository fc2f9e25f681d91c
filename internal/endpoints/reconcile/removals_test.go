package reconcile

import (
	"fmt"
	"slices"
	"testing"
)

// TestMassRemovalsAreHeldBack checks that an empty report removes nothing at first, that single removals count at once, and
// that operators or time release those held back.
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
		"an empty answer": {func(h *harness) {
			h.wantDecisions(h.observe("consul", true), slices.Repeat([]DecisionKind{RemovalHeldBack}, 8)...)
		},
			"0 serving, 1 serving, 2 serving, 3 serving, 4 serving, 5 serving, 6 serving, 7 serving"},
		"...that was a mistake": {func(h *harness) {
			h.observe("consul", true)
			h.observe("consul", true, eight()...)
			h.advance(700000)
		}, "0 serving, 1 serving, 2 serving, 3 serving, 4 serving, 5 serving, 6 serving, 7 serving"},
		"...that stays so": {func(h *harness) {
			h.observe("consul", true)
			if said := h.advance(700000); len(said) != 16 || said[0].Kind != RemovalAccepted {
				t.Errorf("%+v", said)
			}
		}, ""},
		"...that the operators accept": {func(h *harness) {
			h.observe("consul", true)
			h.reconciler.Override(h.now, Override{AcceptHeldRemovals: true})
			h.takeChanges()
		}, ""},
		"two of eight": {func(h *harness) { h.wantDecisions(h.observe("consul", true, eight()[2:]...), Removed, Removed) },
			"2 serving, 3 serving, 4 serving, 5 serving, 6 serving, 7 serving"},
		"one after the other": {func(h *harness) {
			for i := 1; i < 8; i++ {
				h.observe("consul", true, eight()[i:]...)
				h.now += 1000
			}
		}, "3 serving, 4 serving, 5 serving, 6 serving, 7 serving"},
		"one after the other, slowly": {func(h *harness) {
			for i := 1; i < 4; i++ {
				h.observe("consul", true, eight()[i:]...)
				h.advance(31000)
			}
		}, "3 serving, 4 serving, 5 serving, 6 serving, 7 serving"},
		"a group's last": {func(h *harness) {
			for i := 1; i < 5; i++ {
				h.observe("consul", true, eight()[i:]...)
				h.advance(31000)
			}
		}, "3 serving, 4 serving, 5 serving, 6 serving, 7 serving"},
		"pinned by the operators": {func(h *harness) {
			h.reconciler.Override(h.now, Override{Pins: []Pin{{"0", StateServing}, {"7", StateDraining}}})
			h.observe("consul", true, eight()[1:]...)
		}, "0 serving, 1 serving, 2 serving, 3 serving, 4 serving, 5 serving, 6 serving, 7 draining"},
		"pinned no more": {func(h *harness) {
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

// TestRetiredSourceLeavesWhatOthersKnow checks that a retired source leaves the servers that others know, and that its removals
// are held back where they know none.
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
