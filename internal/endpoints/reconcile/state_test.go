package reconcile

import (
	"strings"
	"testing"
)

// TestSelfReportsDecideOnThePrimary checks that the primary reported by a source counts only while no self-report contradicts it.
func TestSelfReportsDecideOnThePrimary(t *testing.T) {
	h := newHarness(t, nil)
	three := []Observation{withRole(observation("1", 0), Primary), withRole(observation("2", 0), Replica), withRole(observation("3", 0), Replica)}
	h.wantDecisions(h.observe("consul", true, three...), Added, Added, Added)
	h.wantList("1 serving*, 2 serving, 3 serving")
	h.wantDecisions(h.selfReport("1", Replica), Rejected, NoPrimary) // a failover that the catalogue does not show yet
	h.wantList("1 serving, 2 serving, 3 serving")
	h.selfReport("2", Primary)
	h.wantList("1 serving, 2 serving*, 3 serving")
	h.observe("consul", true, three...)
	h.wantList("1 serving, 2 serving*, 3 serving")
	h.wantDecisions(h.selfReport("3", Primary), MultiplePrimaries)
	h.wantList("1 serving, 2 serving, 3 serving")
	h.selfReport("2", Replica)
	h.wantList("1 serving, 2 serving, 3 serving*")
	// The source registers the same process under another id, as the primary: it keeps its id in the list and its self-report.
	h.reconciler.Observe(h.now, "consul", &Report{
		Observations: []Observation{withRole(Observation{ID: "1b", Address: observation("1", 0).Address}, Primary)},
		Removed:      []string{"1"},
	})
	h.takeChanges()
	h.wantList("1 serving, 2 serving, 3 serving*")
	if entry, ok := h.reconciler.Entry("1"); !ok || entry.Address != observation("1", 0).Address || h.reconciler.Len() != 3 {
		t.Errorf("entry of server 1: %+v, found %v, %d servers; want its first address and 3 servers", entry, ok, h.reconciler.Len())
	}
	h.selfReport("1", Replica)
	// A process that starts later under the first id is another server; the list contains both under different ids.
	later := withStart(withRole(observation("1", 0), Replica), 9e5)
	later.Address = "10.3.3.3:5432"
	h.observe("consul", false, later)
	h.wantList("1 serving, 1#2 serving, 2 serving, 3 serving*")

	// A self-report expires, and counts again when it is repeated.
	expired := newHarness(t, nil)
	expired.observe("consul", true, withRole(observation("1", 0), Primary))
	expired.selfReport("1", Replica)
	expired.advance(31000)
	expired.observe("consul", false, observation("2", 0))
	expired.wantList("1 serving*, 2 serving")
	expired.selfReport("1", Replica)
	expired.wantList("1 serving, 2 serving")

	trusting := newHarness(t, func(s *Settings) { s.TrustSourceRoles = true })
	trusting.observe("consul", true, three...)
	trusting.selfReport("1", Replica)
	trusting.wantList("1 serving*, 2 serving, 3 serving")
}

// TestMaintenanceDrainsAndCriticalNeedsResponses checks that maintenance drains a server whichever source reports it, and that a server
// whose health is critical is used only while it responds.
func TestMaintenanceDrainsAndCriticalNeedsResponses(t *testing.T) {
	h := newHarness(t, nil)
	h.observe("consul", true, observation("1", 0), withHealth(observation("2", 0), Warning), withHealth(observation("3", 0), Critical))
	h.wantList("1 serving, 2 serving, 3 draining")
	h.selfReport("3", Replica)
	h.wantList("1 serving, 2 serving, 3 serving")
	h.advance(25000)
	h.wantList("1 serving, 2 serving, 3 serving")
	h.advance(10000) // it no longer responds
	h.wantList("1 serving, 2 serving, 3 draining")
	h.observe("static", true, observation("1", 0))
	h.wantDecisions(h.observe("static", false, withHealth(observation("1", 0), Maintenance)), Drained)
	h.wantList("1 draining, 2 serving, 3 draining")
	h.observe("static", false, observation("1", 0))
	h.wantList("1 serving, 2 serving, 3 draining")

	strict := newHarness(t, func(s *Settings) { s.Critical = CriticalDrain })
	strict.observe("consul", true, observation("1", 0), observation("2", 0), withHealth(observation("3", 0), Critical))
	strict.selfReport("3", Replica)
	strict.wantList("1 serving, 2 serving, 3 draining")
	strict.observe("consul", false, withHealth(observation("2", 0), Critical), withHealth(observation("1", 0), Critical))
	strict.reconciler.markDirty("3")
	strict.observe("consul", false, withHealth(observation("1", 0), Critical))
	if n := strings.Count(strict.summary(), "serving"); n == 0 {
		t.Errorf("all servers are critical, and none is used: %s", strict.summary())
	}
	loose := newHarness(t, func(s *Settings) { s.Critical = CriticalIgnore })
	loose.observe("consul", true, withHealth(observation("1", 0), Critical))
	loose.wantList("1 serving")
}

// TestSourcesCountByRankAgeAndRetention checks that the first source by rank wins unless its report is stale, and that the observations
// of a lost source count until its retention ends, and longer for servers that respond.
func TestSourcesCountByRankAgeAndRetention(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.SourceRetentionMs = 60000 })
	other := observation("1", 0)
	other.Address, other.Zone = "10.9.9.9:5432", "b"
	h.observe("static", true, other, observation("2", 0))
	h.wantDecisions(h.observe("consul", true, observation("1", 0)), ConflictingAddresses, Moved)
	if address := h.list["1"].Address; address != observation("1", 0).Address {
		t.Errorf("server 1 is listed at %s, want the address from the first source by rank, %s", address, observation("1", 0).Address)
	}
	h.reconciler.Observe(h.now, "consul", &Report{Full: true, Observations: []Observation{observation("1", 0)}, AgeMs: 3600000})
	h.takeChanges()
	if address := h.list["1"].Address; address != other.Address {
		t.Errorf("server 1 is listed at %s after a report that is an hour old, want %s", address, other.Address)
	}
	h.reconciler.Observe(h.now, "consul", &Report{
		Full:         true,
		Observations: []Observation{observation("1", 0), observation("3", 1), observation("4", 1)},
	})
	h.takeChanges()
	h.wantList("1 serving, 2 serving, 3 serving, 4 serving")
	h.reconciler.SourceLost(h.now, "consul", "refused")
	h.reconciler.SourceLost(h.now, "consul", "refused")
	h.wantDecisions(h.takeChanges(), SourceLost)
	h.advance(45000)
	h.selfReport("3", Primary)
	h.advance(20000)
	if last := h.decisions[len(h.decisions)-1]; last.Kind != Removed || last.Server != "4" {
		t.Errorf("last decision is %+v, want Removed of server 4", last)
	}
	h.wantList("1 serving, 2 serving, 3 serving*")
	h.advance(60000)
	h.wantList("1 serving, 2 serving")
	h.wantDecisions(h.observe("consul", false), SourceRecovered, ConflictingAddresses, Moved, Added, Added, NoPrimary)
	h.wantList("1 serving, 2 serving, 3 serving, 4 serving")
}

// TestRemovalsBeforeALossAreDiscarded checks that a removal by a source that was then lost for too long does not remove a server that
// another source has reported since.
func TestRemovalsBeforeALossAreDiscarded(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.SourceRetentionMs, s.MassRemovalFraction = 5000, 0 })
	h.observe("consul", true, observation("1", 0), observation("2", 0))
	h.observe("consul", true, observation("2", 0))
	h.observe("static", true, observation("1", 0))
	h.wantList("2 serving") // the first source by rank has removed server 1
	h.reconciler.SourceLost(h.now, "consul", "gone")
	h.advance(6000)
	h.wantList("1 serving")
	h.observe("consul", true, observation("2", 0))
	h.wantList("1 serving, 2 serving")
}
