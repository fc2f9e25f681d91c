package reconcile

import (
	"testing"
)

// TestConflictsMovesAndRegressions checks two addresses with one id, two ids with one address, moves between groups, and start times
// and generations that go back.
func TestConflictsMovesAndRegressions(t *testing.T) {
	h := newHarness(t, nil)
	earlier, later := observation("1", 0), observation("1", 0)
	later.Address, later.StartedAtMs = "10.7.7.7:5432", 5e5
	h.observe("consul", true, earlier, later, observation("2", 0))
	if entry := h.list["1"]; entry.Address != later.Address || entry.StartedAtMs != later.StartedAtMs {
		t.Errorf("entry of server 1, reported at two addresses: %+v, want the address and start of %+v", entry, later)
	}
	h.wantDecisions(h.observe("consul", true, earlier, later, observation("2", 0)))
	h.wantDecisions(h.observe("consul", true, withStart(later, 4e5), observation("2", 0)), Regressed)
	h.wantDecisions(h.observe("consul", true, withStart(later, 4e5), observation("2", 0)))
	h.wantDecisions(h.observe("consul", true, withStart(later, 9e5), observation("2", 0)), Restarted)
	moved := observation("2", 7)
	h.observe("consul", true, withStart(later, 9e5), moved, observation("3", 7))
	if entry := h.list["2"]; entry.Group != 7 {
		t.Errorf("entry of server 2 after its move: %+v, want group 7", entry)
	}
	duplicate := observation("9", 7)
	duplicate.Address = moved.Address
	h.wantDecisions(h.observe("consul", false, duplicate), DuplicateAddress)
	if _, ok := h.list["9"]; ok {
		t.Error("one process is listed under two ids")
	}
	h.observe("consul", false, withStart(duplicate, 9.5e5))
	if _, ok := h.list["2"]; ok || h.list["9"].Address != duplicate.Address {
		t.Errorf("list is %q, want server 9 in place of server 2, at its address", h.summary())
	}
	if h.reconciler.Observe(h.now, "static", &Report{Full: true, Generation: 7}) || !h.reconciler.Observe(h.now, "static", &Report{
		Generation:   3,
		Observations: []Observation{observation("5", 0)},
	}) {
		t.Error("no full report is requested after changes of an earlier generation")
	}
	if h.takeChanges(); h.list["5"].ID != "" {
		t.Error("changes of an earlier generation were accepted")
	}
	if h.reconciler.Observe(h.now, "static", &Report{
		Full:         true,
		Generation:   3,
		Observations: []Observation{observation("5", 0)},
	}); h.reconciler.Observe(h.now, "nobody", &Report{}) {
		t.Error("a full report is requested from an unknown source")
	}
	if h.takeChanges(); h.list["5"].ID == "" {
		t.Error("a full report of an earlier generation was ignored")
	}
}

// TestFlappingServerDrainsUntilStable checks that a flapping server is not used until it has been stable for long enough, and that its
// state is discarded if it is removed meanwhile.
func TestFlappingServerDrainsUntilStable(t *testing.T) {
	h := newHarness(t, nil)
	h.observe("consul", true, observation("1", 0), observation("2", 0))
	for i := range 8 {
		h.now += 1000
		h.observe("consul", false, withHealth(observation("1", 0), []Health{Maintenance, Passing}[i%2]))
	}
	h.wantList("1 draining, 2 serving")
	if decisions := h.advance(30000); len(decisions) == 0 || decisions[0].Kind != Stabilized {
		t.Errorf("decisions after 30 s without a change: %+v, want Stabilized first", decisions)
	}
	h.wantList("1 serving, 2 serving")
	h = newHarness(t, func(s *Settings) { s.MassRemovalFraction = 0 })
	h.observe("consul", true, observation("1", 0), observation("2", 0))
	for range 4 {
		h.reconciler.Observe(h.now, "consul", &Report{Removed: []string{"1"}})
		h.observe("consul", false, observation("1", 0))
		h.now += 1000
	}
	h.wantList("1 draining, 2 serving")
	h.reconciler.Observe(h.now, "consul", &Report{Removed: []string{"1"}})
	h.takeChanges()
	h.advance(200000)
	if h.wantList("2 serving"); len(h.reconciler.servers) != 1 || len(h.reconciler.selfReports) != 0 {
		t.Errorf("%d servers and %d self-reports are kept, want 1 and 0", len(h.reconciler.servers), len(h.reconciler.selfReports))
	}
}

// TestEntryIsNotTransferredToAnotherAddress checks that a server that moves to another group with its address is listed in the new
// group: its old entry must not be transferred to another id that moves to that group too.
func TestEntryIsNotTransferredToAnotherAddress(t *testing.T) {
	h := newHarness(t, nil)
	moved := func(id string, group int) Observation {
		result := observation(id, group)
		result.Address = observation("0", 0).Address
		return result
	}
	h.observe("static", true, withStart(moved("2", 0), 1000), moved("0", 0))
	h.wantList("2 serving")
	h.observe("consul", true, moved("0", 1), withHealth(moved("2", 1), Maintenance))
	h.wantList("2 draining")
	if entry := h.list["2"]; entry.Group != 1 {
		t.Errorf("entry of server 2 after its move: %+v, want group 1", entry)
	}
}
