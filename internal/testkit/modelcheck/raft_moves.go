package modelcheck

import (
	"fmt"
	"slices"

	"beechgrade/internal/cluster/raftlog"
)

// lostVoters returns how many voters do not participate, such as those that lost their disk and have not rejoined; all voters while they
// are being changed.
func (s *RaftVoters) lostVoters() (lost int) {
	for _, voter := range s.voters {
		status := voter.replica.Status()
		if !status.Participates {
			lost++
		}
		if status.ChangingVoters {
			return len(s.voters)
		}
	}
	return lost
}

// RandomWalk makes random moves: messages in any order, lost and duplicated, pending writes, crashes, and lost disks of less than half
// of the voters at a time. It keeps the replicas.
func (s *RaftVoters) RandomWalk(pick func(n int) int, steps int) error {
	s.KeepsReplicas = true
	for range steps {
		i := pick(len(s.voters))
		voter := s.voters[i]
		var err error
		switch choice := pick(100); {
		case choice < 38 && len(s.messages) > 0:
			err = s.deliver(pick(min(len(s.messages), 12)), false)
		case choice < 58 && len(voter.pending) > 0:
			err = s.finishWrite(i, true)
		case choice < 72:
			voter.now++
			err = s.handle(i, raftlog.Tick{})
		case choice < 79:
			err = s.propose(i)
		case choice < 81 && s.lastNumber > 0:
			err = s.proposeNumber(i, 1+uint64(pick(int(s.lastNumber))))
		case choice < 84 && len(s.messages) > 0:
			err = s.lose(pick(len(s.messages)))
		case choice < 87 && len(s.messages) > 0:
			err = s.deliver(pick(len(s.messages)), true)
		case choice < 89:
			err = s.crash(i, pick(len(voter.pending)+1))
		case choice == 89 && s.lostVoters() < (len(s.voters)-1)/2:
			err = s.wipe(i)
		case choice > 90 && choice < 93:
			err = s.Settle(4)
		case choice == 93:
			for n := pick(60); n > 0 && err == nil; n-- {
				err = s.propose(i)
			}
		}
		for err == nil && len(s.messages) > 80 {
			err = s.lose(0)
		}
		if err == nil {
			err = s.Check()
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// Settle delivers all messages and completes all writes, while time advances for some ticks.
func (s *RaftVoters) Settle(ticks int) error {
	for range ticks {
		for steps := 0; ; steps++ {
			var err error
			i := slices.IndexFunc(s.voters, func(voter *raftVoter) bool { return len(voter.pending) > 0 })
			switch {
			case steps > 100000:
				return fmt.Errorf("messages and writes are still in progress after 100000 steps")
			case i >= 0:
				err = s.finishWrite(i, true)
			case len(s.messages) > 0:
				err = s.deliver(0, false)
			}
			if err != nil {
				return err
			}
			if i < 0 && len(s.messages) == 0 {
				break
			}
		}
		for i, voter := range s.voters {
			voter.now++
			if err := s.handle(i, raftlog.Tick{}); err != nil {
				return err
			}
		}
	}
	return nil
}

// AppliedCounts returns the lowest and the highest number of entries that a voter has counted, and how many voters participate.
func (s *RaftVoters) AppliedCounts() (least, most uint64, participating int) {
	least = s.lastNumber
	for _, voter := range s.voters {
		least, most = min(least, voter.counter.Counted), max(most, voter.counter.Counted)
		if voter.replica.Status().Participates {
			participating++
		}
	}
	return least, most, participating
}
