package modelcheck

import (
	"math/rand/v2"
	"os"
	"strings"
	"testing"
)

// zonesWithPlan returns voters of which the first leads, with a plan that all follow and have stored.
func zonesWithPlan(t *testing.T, mutate func(s *ZoneVoters)) *ZoneVoters {
	t.Helper()
	s := NewZoneVoters(ZoneSettings(3))
	if mutate != nil {
		mutate(s)
	}
	do := func(err error) {
		if err != nil {
			t.Fatalf("preparing voters that follow a plan: %v", err)
		}
	}
	for i := range s.processes {
		do(s.setLeader(i, 0))
	}
	s.ZoneLostAt = 3
	for s.now < 2 {
		do(s.advance(-1))
		do(s.settle())
	}
	for i, process := range s.processes {
		if status, followed := process.coordinator.Status(); followed == nil || status.Zone != i {
			t.Fatalf("voter %d: status %+v, plan %+v; want a plan and its own zone", i, status, followed)
		}
	}
	return s
}

// settle commits all proposals, applies all entries, completes all writes and delivers all messages.
func (s *ZoneVoters) settle() (err error) {
	for more := true; more && err == nil; {
		more = false
		for len(s.proposals) > 0 {
			s.commitProposal(0, false)
		}
		for i := range s.processes {
			for err == nil && s.processes[i].applied < len(s.log) {
				more, err = true, s.apply(i)
			}
			for err == nil && len(s.processes[i].pendingStores) > 0 {
				more, err = true, s.numberStored(i)
			}
		}
		for err == nil && len(s.messages) > 0 {
			more, err = true, s.deliver(0, false)
		}
	}
	return err
}

// TestZonesSmoke guards against searches of voters that never plan anything: once a zone has no servers, all voters must follow a plan that
// sends none of that zone's load there, and its own voter must use another zone.
func TestZonesSmoke(t *testing.T) {
	t.Parallel()
	s := zonesWithPlan(t, nil)
	for range 4 {
		if err := s.advance(-1); err != nil {
			t.Fatalf("advancing time: %v", err)
		}
		if err := s.settle(); err != nil {
			t.Fatalf("settling after a step of time: %v", err)
		}
	}
	for i, process := range s.processes {
		if status, followed := process.coordinator.Status(); followed == nil || followed.Matrix[2][2] != 0 || i == 2 && status.Zone == 2 {
			t.Errorf("voter %d: status %+v, plan %+v; want a plan that evacuates zone 2", i, status, followed)
		}
	}
	t.Logf("%d entries, plan %d", len(s.log), s.processes[0].followedNumber)
}

// zoneSearches are the searches: their faults and events, and their depth, which is longDepth if EXPLORE_LONG is set.
var zoneSearches = []struct {
	name                                                                  string
	withLeader                                                            bool
	ticks, pauses, leaderChanges, crashes, duplicates, duplicateProposals int
	depth, longDepth                                                      int
}{
	{"no leader yet, then two", false, 1, 0, 3, 0, 0, 1, 4, 6},
	{"a zone fails, two leaders", true, 2, 1, 2, 0, 0, 0, 4, 5},
	{"a zone fails, voters restart", true, 2, 0, 1, 2, 0, 0, 4, 5},
	{"duplicates, a paused voter", true, 2, 1, 0, 1, 1, 0, 3, 5},
	{"a zone was evacuated, voters restart", true, 0, 0, 1, 1, 0, 0, 5, 7},
}

// evacuatedZoneSearch is the index of the search that starts after the evacuation of a zone.
const evacuatedZoneSearch = 4

// zoneSearchStart returns the first state of a search.
func zoneSearchStart(t *testing.T, i int, mutate func(s *ZoneVoters)) *ZoneVoters {
	t.Helper()
	search, s := zoneSearches[i], NewZoneVoters(ZoneSettings(3))
	if search.withLeader {
		s = zonesWithPlan(t, mutate)
	}
	if i == evacuatedZoneSearch {
		for range 2 {
			if err := s.advance(-1); err != nil {
				t.Fatalf("advancing time before the search: %v", err)
			}
			if err := s.settle(); err != nil {
				t.Fatalf("settling before the search: %v", err)
			}
		}
		if _, followed := s.processes[1].coordinator.Status(); followed.Matrix[2][2] != 0 {
			t.Fatalf("zone 2 is not evacuated by plan %+v", followed)
		}
	}
	s.Ticks, s.Pauses, s.ChangeLeader, s.Crash, s.Duplicate, s.DuplicateProposal = search.ticks, search.pauses, search.leaderChanges, search.crashes, search.duplicates, search.duplicateProposals
	return s
}

// TestZonesExplored guards against voters that follow different plans under one number, return to an older plan, or follow an expired one. This
// can happen when several voters consider themselves the leader, and proposals, messages and restarts come in an unlikely order: the test
// explores all moves up to a depth.
func TestZonesExplored(t *testing.T) {
	t.Parallel()
	for i, search := range zoneSearches {
		t.Run(search.name, func(t *testing.T) {
			t.Parallel()
			s := zoneSearchStart(t, i, nil)
			depth := search.depth
			if os.Getenv("EXPLORE_LONG") != "" {
				depth = search.longDepth
			}
			result := Run(s, Bounds{depth, 1 << 20})
			t.Logf("%d states, %d steps, depth %d, complete %v", result.States, result.Steps, result.Depth, result.Complete)
			if result.Err != nil || !result.Complete {
				t.Fatalf("search failed: %v after %q; complete %v", result.Err, result.Trace, result.Complete)
			}
		})
	}
}

// randomWalks makes random walks of up to the given number of steps, with all faults and events, until one fails.
func randomWalks(t *testing.T, walks, steps int, mutate func(s *ZoneVoters)) (trace []string, err error) {
	t.Helper()
	for seed := range uint64(walks) {
		s := zonesWithPlan(t, mutate)
		s.Ticks, s.Pauses, s.ChangeLeader, s.Crash, s.Duplicate, s.DuplicateProposal = 12, 4, 6, 3, 3, 2
		rng := rand.New(rand.NewPCG(seed, 9))
		if trace, err = s.RandomWalk(rng.IntN, steps); err != nil {
			return trace, err
		}
	}
	return nil, nil
}

// TestZonesRandomMoves guards against the same failures as TestZonesExplored where they need more moves than the depth of the searches.
func TestZonesRandomMoves(t *testing.T) {
	t.Parallel()
	if trace, err := randomWalks(t, 80, 70, nil); err != nil {
		t.Fatalf("random walk failed: %v after %q", err, trace)
	}
}

// TestZoneMutants guards against checks that cannot fail: random walks or a search must find each mutant.
func TestZoneMutants(t *testing.T) {
	t.Parallel()
	for _, mutant := range []struct {
		name, wantErr string
		mutate        func(s *ZoneVoters)
	}{
		{"the state machine accepts any plan", "another plan", func(s *ZoneVoters) { s.AcceptsAnyPlan = true }},
		{"a restart loses the stored plan number", "after a target", func(s *ZoneVoters) { s.LosesPlanNumber = true }},
		{"a restarted voter takes the entries on its disk for new", "last applied", func(s *ZoneVoters) { s.KnowsLeaderBeforeReplay = true }},
		{"plan updates arrive without their age", "last applied", func(s *ZoneVoters) { s.DropsAges = true }},
		{"older plans are followed too", "after", func(s *ZoneVoters) { s.Settings.FollowsAnyPlan = true }},
		{"plans do not expire", "last applied", func(s *ZoneVoters) { s.PlansNeverExpire = true }},
	} {
		t.Run(mutant.name, func(t *testing.T) {
			t.Parallel()
			trace, err := randomWalks(t, 300, 70, mutant.mutate)
			if mutant.wantErr == "after a target" {
				result := Run(zoneSearchStart(t, evacuatedZoneSearch, mutant.mutate), Bounds{5, 1 << 20})
				trace, err = result.Trace, result.Err
			}
			if err == nil || !strings.Contains(err.Error(), mutant.wantErr) {
				t.Fatalf("found error %v after %d steps, want one with %q", err, len(trace), mutant.wantErr)
			}
			t.Logf("found: %v after %d steps", err, len(trace))
		})
	}
}
