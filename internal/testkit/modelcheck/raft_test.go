package modelcheck

import (
	"math/rand/v2"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"beechgrade/internal/cluster/raftlog"
	"beechgrade/internal/invariant"
)

func (s *RaftVoters) leader() int {
	for i, x := range s.voters {
		if x.replica != nil && x.replica.Status().IsLeader {
			return i
		}
	}
	return -1
}

// TestRaftCommits: voters with empty disks find each other, and one leads; what is proposed all have; one that loses its disk comes
// back as another voter.
func TestRaftCommits(t *testing.T) {
	for _, n := range []int{3, 5} {
		s := NewRaftVoters(RaftSettings(n), false)
		s.KeepsReplicas, s.Checks = true, invariant.Test(t)
		do := func(err error) {
			if err != nil {
				t.Fatal(err)
			}
		}
		do(s.Settle(40))
		l := s.leader()
		if l < 0 {
			t.Fatalf("nobody leads: %+v", s.voters[0].replica.Status())
		}
		for range 10 {
			do(s.propose((l + 1) % n))
			do(s.Settle(1))
		}
		do(s.Settle(5))
		for _, x := range s.voters {
			if x.counter.Counted != 10 {
				t.Errorf("%s has taken %d: %+v", x.name, x.counter.Counted, x.replica.Status())
			}
		}
		do(s.wipe((l + 1) % n))
		do(s.Settle(40))
		x := s.voters[(l+1)%n]
		if st := x.replica.Status(); !st.Participates || x.counter.Counted != 10 {
			t.Errorf("%+v, took %d", st, x.counter.Counted)
		}
		do(s.Check())
	}
}

// TestRaftRandomMoves: whatever way is gone, and once the links and disks are well again all have taken the same.
func TestRaftRandomMoves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{3, 5}).Draw(t, "voters")
		s := NewRaftVoters(RaftSettings(n), rapid.Bool().Draw(t, "founded"))
		s.Checks = invariant.Test(t)
		if err := s.RandomWalk(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "") }, 300); err != nil {
			t.Fatal(err)
		}
		if err := s.Settle(120); err != nil {
			t.Fatal(err)
		}
		if err := s.Check(); err != nil {
			t.Fatal(err)
		}
		if least, most, participating := s.AppliedCounts(); least != most || participating != n {
			for _, x := range s.voters {
				t.Logf("%s %+v", x.name, x.replica.Status())
			}
			t.Fatalf("taken %d to %d, %d of %d take part", least, most, participating, n)
		}
	})
}

func onlyHardState(records []raftlog.Record) bool {
	return len(records) > 0 && records[0].Key == "hard" && len(records) == 1
}

func endsWithEntry(records []raftlog.Record) bool {
	return len(records) > 0 && strings.HasPrefix(records[len(records)-1].Key, "e/") && !records[len(records)-1].Deleted
}

// TestRaftMutants: each of these is found by what crosses the wires and what the disks hold.
func TestRaftMutants(t *testing.T) {
	mutants := map[string]func(s *RaftVoters){
		"a vote is told before it is stored":            func(s *RaftVoters) { s.AcksEarly = onlyHardState },
		"an entry is told before it is stored":          func(s *RaftVoters) { s.AcksEarly = endsWithEntry },
		"a voter that lost its disk goes by its number": func(s *RaftVoters) { s.KeepsOldNumber = true },
		"what is proposed twice is taken twice":         func(s *RaftVoters) { s.CountsDuplicates = true },
	}
	for name, mutate := range mutants {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(300) {
				s := NewRaftVoters(RaftSettings(3), true)
				mutate(s)
				r := rand.New(rand.NewPCG(seed, 1))
				if err := s.RandomWalk(r.IntN, 400); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Error("not found in 300 ways")
		})
	}
}

// TestRaftExplored goes through all that can happen within so many steps: to voters of whom none leads, and to such as have a leader with
// an entry on its way.
func TestRaftExplored(t *testing.T) {
	for _, c := range []struct {
		name                                                          string
		withLeader                                                    bool
		campaigns, heartbeats, proposals, crashes, losses, duplicates int
		depth, states                                                 int
	}{
		{"two stand, one crashes", false, 2, 0, 0, 1, 1, 1, 6, 40000},
		{"an entry is on its way, another stands", true, 1, 1, 1, 1, 1, 0, 4, 40000},
		{"an entry comes twice, its leader crashes", true, 1, 0, 2, 1, 0, 1, 4, 40000},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := NewRaftVoters(RaftSettings(3), true)
			if c.withLeader {
				if err := s.Settle(8); err != nil || s.leader() < 0 {
					t.Fatal(err, s.leader())
				}
				if err := s.propose(s.leader()); err != nil {
					t.Fatal(err)
				}
			}
			s.Campaign, s.Heartbeat, s.Propose, s.Crash, s.Lose, s.Duplicate = c.campaigns, c.heartbeats, c.proposals, c.crashes, c.losses, c.duplicates
			r := Run(s, Bounds{c.depth, c.states})
			t.Logf("%d states, %d steps, depth %d, whole %v", r.States, r.Steps, r.Depth, r.Complete)
			if r.Err != nil || !r.Complete {
				t.Fatalf("%v after %q; whole: %v", r.Err, r.Trace, r.Complete)
			}
		})
	}
}

// TestRaftOtherVoters: a pooler takes the place of a voter that the settings name no more; then two more come to make five.
func TestRaftOtherVoters(t *testing.T) {
	s := NewRaftVoters(RaftSettings(3), true)
	s.KeepsReplicas, s.Checks = true, invariant.Test(t)
	do := func(err error) {
		if err != nil {
			t.Fatal(err)
		}
	}
	change := func(voters ...string) {
		s.settings.Voters = voters
		for _, v := range voters {
			if s.index(v) < 0 {
				s.voters = append(s.voters, &voter{name: v, disk: map[string][]byte{}, everDurable: map[string]bool{}})
			}
		}
		for i := range s.voters { // one after the other, the new ones last
			do(s.start(i))
			do(s.Settle(20))
		}
		do(s.Settle(60))
	}
	do(s.Settle(20))
	do(s.propose(s.leader()))
	change("p0", "p1", "p3")
	do(s.propose(s.leader()))
	do(s.Settle(10))
	if st := s.voters[3].replica.Status(); !st.Participates || s.voters[3].counter.Counted != 2 {
		t.Errorf("the new voter: %+v, took %d", st, s.voters[3].counter.Counted)
	}
	change("p0", "p1", "p3", "p4", "p5")
	do(s.propose(s.leader()))
	do(s.Settle(10))
	for i, x := range s.voters {
		if st := x.replica.Status(); i != 2 && (!st.Participates || len(st.Members) != 5 || x.counter.Counted != 3) {
			t.Errorf("%s: %+v, took %d", x.name, st, x.counter.Counted)
		}
	}
}
