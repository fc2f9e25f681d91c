package modelcheck

import (
	"math/rand/v2"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"beechgrade/internal/cluster/raftlog"
	"beechgrade/internal/invariant"
)

// leader returns the index of a voter that leads, -1 for none.
func (s *RaftVoters) leader() int {
	for i, voter := range s.voters {
		if voter.replica != nil && voter.replica.Status().IsLeader {
			return i
		}
	}
	return -1
}

// TestRaftCommits guards against a log that makes no progress, which no check of a state finds: voters with empty disks must form a group and
// elect a leader, all must apply what is proposed, and a voter that loses its disk must rejoin, as another voter.
func TestRaftCommits(t *testing.T) {
	for _, voters := range []int{3, 5} {
		s := NewRaftVoters(RaftSettings(voters), false)
		s.KeepsReplicas, s.Checks = true, invariant.Test(t)
		do := func(err error) {
			if err != nil {
				t.Fatalf("%d voters: a step or a check failed: %v", voters, err)
			}
		}
		do(s.Settle(40))
		leader := s.leader()
		if leader < 0 {
			t.Fatalf("no voter leads after 40 ticks; status of the first voter: %+v", s.voters[0].replica.Status())
		}
		for range 10 {
			do(s.propose((leader + 1) % voters))
			do(s.Settle(1))
		}
		do(s.Settle(5))
		for _, voter := range s.voters {
			if voter.counter.Counted != 10 {
				t.Errorf("%s has counted %d entries, want 10: %+v", voter.name, voter.counter.Counted, voter.replica.Status())
			}
		}
		do(s.wipe((leader + 1) % voters))
		do(s.Settle(40))
		voter := s.voters[(leader+1)%voters]
		if status := voter.replica.Status(); !status.Participates || voter.counter.Counted != 10 {
			t.Errorf("voter after the loss of its disk: status %+v, %d entries counted, want a participant with 10", status, voter.counter.Counted)
		}
		do(s.Check())
	}
}

// TestRaftRandomMoves guards against voters that apply different entries, lose a committed entry, or vote twice in a term, and against a log
// that does not recover from faults: the checks must hold over random moves, and once no more messages and writes are lost all voters must
// apply the same entries.
func TestRaftRandomMoves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		voters := rapid.SampledFrom([]int{3, 5}).Draw(t, "voters")
		s := NewRaftVoters(RaftSettings(voters), rapid.Bool().Draw(t, "bootstrapped"))
		s.Checks = invariant.Test(t)
		if err := s.RandomWalk(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "") }, 300); err != nil {
			t.Fatalf("random walk: %v", err)
		}
		if err := s.Settle(120); err != nil {
			t.Fatalf("120 ticks after the random walk: %v", err)
		}
		if err := s.Check(); err != nil {
			t.Fatalf("check after the last tick: %v", err)
		}
		if least, most, participating := s.AppliedCounts(); least != most || participating != voters {
			for _, voter := range s.voters {
				t.Logf("%s %+v", voter.name, voter.replica.Status())
			}
			t.Fatalf("voters have counted %d to %d entries, %d of %d voters participate; want equal counts and all voters", least, most, participating, voters)
		}
	})
}

// onlyHardState reports whether a write consists of the hard state, which contains the vote.
func onlyHardState(records []raftlog.Record) bool {
	return len(records) > 0 && records[0].Key == "hard" && len(records) == 1
}

// endsWithEntry reports whether the last record of a write is a log entry.
func endsWithEntry(records []raftlog.Record) bool {
	return len(records) > 0 && strings.HasPrefix(records[len(records)-1].Key, "e/") && !records[len(records)-1].Deleted
}

// TestRaftMutants guards against checks that cannot fail: those of messages, disks and applied entries must find each mutant.
func TestRaftMutants(t *testing.T) {
	mutants := map[string]func(s *RaftVoters){
		"a vote is sent before it is stored":               func(s *RaftVoters) { s.AcksEarly = onlyHardState },
		"an entry is acknowledged before it is stored":     func(s *RaftVoters) { s.AcksEarly = endsWithEntry },
		"a voter that lost its disk keeps its disk number": func(s *RaftVoters) { s.KeepsOldNumber = true },
		"an entry that is proposed twice is counted twice": func(s *RaftVoters) { s.CountsDuplicates = true },
	}
	for name, mutate := range mutants {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(300) {
				s := NewRaftVoters(RaftSettings(3), true)
				mutate(s)
				rng := rand.New(rand.NewPCG(seed, 1))
				if err := s.RandomWalk(rng.IntN, 400); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Error("mutant not found in 300 random walks")
		})
	}
}

// TestRaftExplored guards against the same failures as TestRaftRandomMoves where they need few moves in an unlikely order: it explores all
// moves up to a depth, of voters without a leader and of voters with a leader and an entry in progress.
func TestRaftExplored(t *testing.T) {
	for _, test := range []struct {
		name                                                          string
		withLeader                                                    bool
		campaigns, heartbeats, proposals, crashes, losses, duplicates int
		depth, states                                                 int
	}{
		{"two campaigns, one crash", false, 2, 0, 0, 1, 1, 1, 6, 40000},
		{"an entry in progress, another voter campaigns", true, 1, 1, 1, 1, 1, 0, 4, 40000},
		{"an entry arrives twice, its leader crashes", true, 1, 0, 2, 1, 0, 1, 4, 40000},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := NewRaftVoters(RaftSettings(3), true)
			if test.withLeader {
				if err := s.Settle(8); err != nil || s.leader() < 0 {
					t.Fatalf("error %v, leader %d after 8 ticks; want a leader", err, s.leader())
				}
				if err := s.propose(s.leader()); err != nil {
					t.Fatalf("proposing an entry at the leader: %v", err)
				}
			}
			s.Campaign, s.Heartbeat, s.Propose, s.Crash, s.Lose, s.Duplicate = test.campaigns, test.heartbeats, test.proposals, test.crashes, test.losses, test.duplicates
			result := Run(s, Bounds{test.depth, test.states})
			t.Logf("%d states, %d steps, depth %d, complete %v", result.States, result.Steps, result.Depth, result.Complete)
			if result.Err != nil || !result.Complete {
				t.Fatalf("search failed: %v after %q; complete %v", result.Err, result.Trace, result.Complete)
			}
		})
	}
}

// TestRaftVoterChanges guards against a group that does not follow its settings, because new voters do not get the log or removed ones still
// count: a pooler replaces a voter that the settings no longer name, then two more voters are added, which makes five.
func TestRaftVoterChanges(t *testing.T) {
	s := NewRaftVoters(RaftSettings(3), true)
	s.KeepsReplicas, s.Checks = true, invariant.Test(t)
	do := func(err error) {
		if err != nil {
			t.Fatalf("a step failed while the voters change: %v", err)
		}
	}
	change := func(voters ...string) {
		s.settings.Voters = voters
		for _, name := range voters {
			if s.index(name) < 0 {
				s.voters = append(s.voters, &raftVoter{name: name, disk: map[string][]byte{}, everDurable: map[string]bool{}})
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
	if status := s.voters[3].replica.Status(); !status.Participates || s.voters[3].counter.Counted != 2 {
		t.Errorf("new voter: status %+v, %d entries counted, want a participant with 2", status, s.voters[3].counter.Counted)
	}
	change("p0", "p1", "p3", "p4", "p5")
	do(s.propose(s.leader()))
	do(s.Settle(10))
	for i, voter := range s.voters {
		if status := voter.replica.Status(); i != 2 && (!status.Participates || len(status.Members) != 5 || voter.counter.Counted != 3) {
			t.Errorf("%s: status %+v, %d entries counted, want a participant in a group of 5 with 3", voter.name, status, voter.counter.Counted)
		}
	}
}
