package modelcheck

import (
	"fmt"
	"slices"

	"beechgrade/internal/cluster/raftlog"
)

// lostVoters returns how many voters do not participate, such as those that lost their disk and have not rejoined; all voters while they
// are being changed.
func (s *RaftVoters) lostVoters() (n int) {
	for _, x := range s.voters {
		st := x.replica.Status()
		if !st.Participates {
			n++
		}
		if st.ChangingVoters {
			return len(s.voters)
		}
	}
	return n
}

// RandomWalk makes random moves: messages in any order, lost and duplicated, pending writes, crashes, and lost disks of less than half
// of the voters at a time.
func (s *RaftVoters) RandomWalk(pick func(n int) int, steps int) error {
	s.KeepsReplicas = true
	for range steps {
		i := pick(len(s.voters))
		x := s.voters[i]
		var err error
		switch k := pick(100); {
		case k < 38 && len(s.messages) > 0:
			err = s.deliver(pick(min(len(s.messages), 12)), false)
		case k < 58 && len(x.pending) > 0:
			err = s.finishWrite(i, true)
		case k < 72:
			x.now++
			err = s.handle(i, raftlog.Tick{})
		case k < 79:
			err = s.propose(i)
		case k < 81 && s.lastNumber > 0:
			err = s.proposeNumber(i, 1+uint64(pick(int(s.lastNumber))))
		case k < 84 && len(s.messages) > 0:
			err = s.lose(pick(len(s.messages)))
		case k < 87 && len(s.messages) > 0:
			err = s.deliver(pick(len(s.messages)), true)
		case k < 89:
			err = s.crash(i, pick(len(x.pending)+1))
		case k == 89 && s.lostVoters() < (len(s.voters)-1)/2:
			err = s.wipe(i)
		case k > 90 && k < 93:
			err = s.Settle(4)
		case k == 93:
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
		for n := 0; ; n++ {
			var err error
			i := slices.IndexFunc(s.voters, func(x *voter) bool { return len(x.pending) > 0 })
			switch {
			case n > 100000:
				return fmt.Errorf("messages and writes have not ended after 100000 steps")
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
		for i, x := range s.voters {
			x.now++
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
	for _, x := range s.voters {
		least, most = min(least, x.counter.Counted), max(most, x.counter.Counted)
		if x.replica.Status().Participates {
			participating++
		}
	}
	return least, most, participating
}
