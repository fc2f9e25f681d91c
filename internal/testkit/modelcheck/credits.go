package modelcheck

import (
	"fmt"
	"slices"
	"strings"

	"beechgrade/internal/cluster/credit/lease"
	"beechgrade/internal/cluster/credit/ledger"
	"beechgrade/internal/cluster/credit/lessor"
	"beechgrade/internal/cluster/credit/message"
)

// CreditSystem is a set of voters with their lessors and of poolers with their lease managers. The log between them orders its entries and
// may lose, delay and duplicate proposals. Each process has its own clock, with the drift that is allowed and an offset from the others.
// The cost of clients' requests is counted here, when they end, independently of the lease managers' counts.
type CreditSystem struct {
	CreditFaults
	Lease     lease.Settings
	Lessor    lessor.Settings
	Price     int64 // cost of a request
	Funds     int64 // amount of a payment
	Unordered bool  // messages in progress arrive in any order

	AlterMessage          func(s *CreditSystem, to int, m *CreditMessage) (again bool) // a mutant: changes a message before its delivery; again delivers it twice
	AlterOp               func(op *ledger.Op)                                          // a mutant: changes an op before it is proposed
	SuccessorDoesNotWait  bool                                                         // a mutant: a replacement does not wait until its predecessor's accounts have expired
	SettlementsPerRequest int64                                                        // a mutant: how often each request is settled
	RenumbersPayments     bool                                                         // a mutant: a repeated payment has a new number
	ShortVoterLeases      bool                                                         // a mutant: voters assume shorter leases than the poolers have

	now                 float64
	voters              []*creditVoter
	poolers             []*creditPooler
	leader              int
	log                 [][]byte
	messages            []CreditMessage
	lastTag             uint64
	Served              int64 // cost of the served requests
	Requests            int   // number of requests made
	Rejected            int   // number of requests that were throttled or rejected
	LostInCrashes       int64 // funds that replaced processes held
	Paid                int64 // amount that was paid; a repeated payment does not count
	AdmittedAfterExpiry int   // requests admitted from an account that had expired in the log
}

// CreditFaults are the numbers of faults and events that may still happen.
type CreditFaults struct{ NewRequests, Lose, Duplicate, ChangeLeader, Crash, Pause, RepeatPayment int }

type creditVoter struct {
	lessor    *lessor.Lessor
	applied   int // number of entries of the log that it has applied
	clockRate float64
}

type creditPooler struct {
	id             ledger.Holder
	manager        *lease.Manager
	clockRate      float64
	ended          bool
	pausedSteps    int
	persistedMarks []lease.HighWaterMark
	lastWrite      uint64
	inherited      []ledger.Holder // holders whose files it has taken over
	reservations   []lease.Reservation
}

// CreditMessage is a message, proposal or file write in progress.
type CreditMessage struct {
	From, To  int // indices of poolers; voter i is -1-i
	Requests  []message.Request
	Responses []message.Response
	Entry     []byte // proposed to the log, nil for none
	Write     uint64 // number of a write of Marks to a file, 0 for none
	Marks     []lease.HighWaterMark
	duplicate bool
}

// String implements fmt.Stringer.
func (m *CreditMessage) String() string {
	switch {
	case m.Entry != nil:
		ops, _ := ledger.Decode(m.Entry)
		return fmt.Sprintf("proposal %v", ops)
	case m.Write > 0:
		return fmt.Sprintf("%d writes %v", m.From, m.Marks)
	}
	return fmt.Sprintf("%d to %d: %v%v", m.From, m.To, m.Requests, m.Responses)
}

// CreditTenant is the only tenant.
const CreditTenant = "t"

// NewCreditSystem returns a system with prices of 1.
func NewCreditSystem(voters, poolers int, funds int64) *CreditSystem {
	s := &CreditSystem{now: 100, Price: 1, Funds: funds, SettlementsPerRequest: 1}
	s.Lease = lease.Settings{
		Duration:          4,
		RenewInterval:     2,
		UrgentInterval:    1,
		ExhaustedInterval: 2,
		GrantHorizon:      2000,
		IdleTimeout:       3,
		QueueTimeout:      2,
		ClockDrift:        0.01,
		Grace:             0.5,
		TickInterval:      1,
		PersistMarks:      true,
		Classes:           []lease.Class{{Price: lease.Price{PerRequest: 1}, PriorityWeight: 1}},
		PrepaidTenants:    []string{CreditTenant},
	}
	s.Lessor = lessor.Settings{
		ProposalTimeout:   2,
		StrandedRetention: 1e9,
		RecallWait:        0,
		RecallInterval:    1,
		DemandWindow:      5,
		ShareDivisor:      2,
		MaxEntryBytes:     900,
	}
	for i := range voters {
		s.voters = append(s.voters, &creditVoter{clockRate: 1 + 0.01*float64(i%3-1)})
	}
	for i := range poolers {
		s.poolers = append(s.poolers, &creditPooler{id: ledger.Holder(i + 1), clockRate: 1 - 0.01*float64(i%3-1)})
	}
	return s
}

// Start starts all processes with the present settings.
func (s *CreditSystem) Start() {
	if s.Lessor.ExpiryDelay = s.Lease.ExpiryDelay(); s.ShortVoterLeases {
		s.Lessor.ExpiryDelay /= 4
	}
	for i, voter := range s.voters {
		voterLedger := ledger.New()
		voterLedger.Checks = s.Lease.Checks
		voter.lessor = lessor.New(s.Lessor, voterLedger, s.clock(-1-i))
	}
	s.voters[0].lessor.SetLeader(s.clock(-1), true)
	for i, pooler := range s.poolers {
		pooler.manager = lease.New(s.Lease, pooler.id, s.clock(i))
	}
	s.commit(ledger.Encode([]ledger.Op{{Kind: ledger.Payment, Key: ledger.Key{Tenant: CreditTenant}, Number: 1, Amount: s.Funds}}))
	s.Paid = s.Funds
	s.apply()
}

// clock returns the time on the clock of a pooler, or of voter i for -1-i. Clocks differ by far more than any duration.
func (s *CreditSystem) clock(i int) float64 {
	if i < 0 {
		return 1e6*float64(-i) + s.now*s.voters[-1-i].clockRate
	}
	return 1e5*float64(i) + s.now*s.poolers[i].clockRate
}

func (s *CreditSystem) clone() *CreditSystem {
	clone := *s
	clone.voters, clone.poolers = make([]*creditVoter, len(s.voters)), make([]*creditPooler, len(s.poolers))
	for i, voter := range s.voters {
		voterCopy := *voter
		voterCopy.lessor = voter.lessor.Clone()
		clone.voters[i] = &voterCopy
	}
	for i, pooler := range s.poolers {
		poolerCopy := *pooler
		poolerCopy.manager, poolerCopy.reservations = pooler.manager.Clone(), slices.Clone(pooler.reservations)
		clone.poolers[i] = &poolerCopy
	}
	clone.log, clone.messages = slices.Clone(s.log), slices.Clone(s.messages)
	return &clone
}

// Key implements System.
func (s *CreditSystem) Key() string {
	var key strings.Builder
	fmt.Fprint(&key, s.CreditFaults, s.leader, s.Served, s.Paid, s.LostInCrashes, "|")
	for i, voter := range s.voters {
		fmt.Fprint(&key, i, len(s.log)-voter.applied, voter.lessor.Key(), "|")
	}
	for _, pooler := range s.poolers {
		fmt.Fprint(&key, pooler.id, pooler.ended, pooler.pausedSteps, pooler.persistedMarks, pooler.reservations, pooler.manager.Key(), "|")
	}
	for i := range s.messages {
		fmt.Fprint(&key, s.messages[i].String(), s.messages[i].duplicate)
	}
	return key.String()
}

// commit appends an entry to the log.
func (s *CreditSystem) commit(entry []byte) { s.log = append(s.log, entry) }

// apply applies the log at all voters.
func (s *CreditSystem) apply() {
	for i, voter := range s.voters {
		for ; voter.applied < len(s.log); voter.applied++ {
			s.performLessor(i, voter.lessor.Apply(s.clock(-1-i), uint64(voter.applied+1), s.log[voter.applied], nil))
		}
	}
}

// performLessor performs the actions of a voter's lessor.
func (s *CreditSystem) performLessor(i int, actions []lessor.Action) {
	for _, action := range actions {
		switch action.Kind {
		case lessor.Propose:
			if s.AlterOp != nil {
				ops, _ := ledger.Decode(action.Entry)
				for k := range ops {
					s.AlterOp(&ops[k])
				}
				action.Entry = ledger.Encode(ops)
			}
			s.messages = append(s.messages, CreditMessage{From: -1 - i, Entry: action.Entry})
		case lessor.Respond:
			for to, pooler := range s.poolers {
				if pooler.id == action.To {
					s.messages = append(s.messages, CreditMessage{From: -1 - i, To: to, Responses: action.Responses})
				}
			}
		}
	}
}

// performLease performs the actions of a pooler's lease manager.
func (s *CreditSystem) performLease(i int, actions []lease.Action) {
	pooler := s.poolers[i]
	for _, action := range actions {
		switch action.Kind {
		case lease.SendRequests:
			for _, request := range action.Requests {
				if s.SuccessorDoesNotWait && request.Recovered && request.Key.Tenant == "" && !request.MarksRead {
					s.messages = append(s.messages, CreditMessage{From: -1, To: i, Responses: []message.Response{{Key: request.Key, Expired: true}}})
				}
			}
			s.messages = append(s.messages, CreditMessage{From: i, To: -1 - s.leader, Requests: action.Requests})
		case lease.Admit:
			s.admit(pooler, action.Reservation)
		case lease.Reject:
			s.Rejected++
		case lease.EraseMarks:
			pooler.inherited = slices.DeleteFunc(slices.Clone(pooler.inherited), func(holder ledger.Holder) bool { return holder == action.Holder })
		case lease.ReadMarks:
			index := slices.IndexFunc(s.poolers, func(other *creditPooler) bool { return other.id == action.Holder })
			s.performLease(i, pooler.manager.Handle(s.clock(i), lease.MarksRead{Holder: action.Holder, Marks: s.poolers[index].persistedMarks}, nil))
		case lease.PersistMarks:
			s.messages = append(s.messages, CreditMessage{From: i, Write: action.Write, Marks: action.Marks})
		}
	}
}

// admit starts a request that a pooler admitted, and counts it in AdmittedAfterExpiry if the log says that its account has expired.
func (s *CreditSystem) admit(pooler *creditPooler, reservation lease.Reservation) {
	pooler.reservations = append(pooler.reservations, reservation)
	key := ledger.Key{Tenant: reservation.Tenant, Overdraft: reservation.Overdraft, Holder: pooler.id, Generation: reservation.Generation}
	for _, voter := range s.voters {
		if account, ok := voter.lessor.Ledger().Account(key); ok && account.Expired {
			s.AdmittedAfterExpiry++
			return
		}
	}
}

// deliver delivers a message to its recipient, commits a proposal, or completes a file write.
func (s *CreditSystem) deliver(msg CreditMessage) {
	if s.AlterMessage != nil && s.AlterMessage(s, msg.To, &msg) {
		copied := msg
		copied.duplicate = true
		s.messages = append(s.messages, copied)
	}
	switch {
	case msg.Entry != nil:
		s.commit(msg.Entry)
		s.apply()
	case msg.Write > 0:
		if pooler := s.poolers[msg.From]; !pooler.ended && msg.Write > pooler.lastWrite {
			pooler.persistedMarks, pooler.lastWrite = msg.Marks, msg.Write
			s.performLease(msg.From, pooler.manager.Handle(s.clock(msg.From), lease.MarksPersisted{Write: msg.Write}, nil))
		}
	case msg.To < 0:
		i := -1 - msg.To
		s.performLessor(i, s.voters[i].lessor.HandleRequests(s.clock(msg.To), s.poolers[msg.From].id, msg.Requests, nil))
	default:
		if pooler := s.poolers[msg.To]; !pooler.ended {
			s.performLease(msg.To, pooler.manager.Handle(s.clock(msg.To), lease.ResponsesReceived{Responses: msg.Responses}, nil))
		}
	}
}

// Request makes a client's request at a pooler.
func (s *CreditSystem) Request(i int) lease.Decision {
	pooler := s.poolers[i]
	s.lastTag++
	s.Requests++
	reservation, decision := pooler.manager.Reserve(s.clock(i), lease.AdmissionRequest{Tenant: CreditTenant, Session: s.lastTag, Parts: 1, Tag: s.lastTag})
	switch decision {
	case lease.Admitted:
		s.admit(pooler, reservation)
	case lease.Throttled, lease.Exhausted:
		s.Rejected++
	}
	return decision
}

// EndRequest ends the oldest request of a pooler, if it has one.
func (s *CreditSystem) EndRequest(i int) {
	pooler := s.poolers[i]
	if len(pooler.reservations) == 0 {
		return
	}
	reservation := pooler.reservations[0]
	pooler.reservations = pooler.reservations[1:]
	s.Served += s.Price
	pooler.manager.Settle(&reservation, lease.Usage{Served: int(s.SettlementsPerRequest)})
}

// recipientPaused reports whether a message is for a paused process, or a file write of one.
func (s *CreditSystem) recipientPaused(msg *CreditMessage) bool {
	if msg.Write > 0 {
		return s.poolers[msg.From].pausedSteps > 0
	}
	return msg.To >= 0 && msg.Entry == nil && s.poolers[msg.To].pausedSteps > 0
}

// Moves implements System.
func (s *CreditSystem) Moves() (out []Move) {
	move := func(name string, do func(next *CreditSystem)) {
		out = append(out, Move{name, func() (System, error) {
			next := s.clone()
			do(next)
			return next, nil
		}})
	}
	deliverable := false // a message can be delivered: time does not advance before
	for index := range s.messages {
		msg := s.messages[index]
		if s.recipientPaused(&msg) {
			continue
		}
		if deliverable && !s.Unordered {
			continue
		}
		deliverable = true
		remove := func(next *CreditSystem) { next.messages = slices.Delete(next.messages, index, index+1) }
		move("deliver "+msg.String(), func(next *CreditSystem) { remove(next); next.deliver(msg) })
		if s.Lose > 0 && msg.Write == 0 {
			move("lose "+msg.String(), func(next *CreditSystem) { next.Lose--; remove(next) })
		}
		if s.Duplicate > 0 && msg.Write == 0 && !msg.duplicate {
			move("duplicate "+msg.String(), func(next *CreditSystem) { next.Duplicate--; next.messages[index].duplicate = true; next.deliver(msg) })
		}
	}
	if s.ChangeLeader > 0 {
		for i := range s.voters {
			if i != s.leader {
				move(fmt.Sprint("set leader ", i), func(next *CreditSystem) { next.ChangeLeader--; next.SetLeader(i) })
			}
		}
	}
	for i, pooler := range s.poolers {
		if pooler.ended || pooler.pausedSteps > 0 {
			continue
		}
		if s.NewRequests > 0 {
			move(fmt.Sprint("request at ", i), func(next *CreditSystem) { next.NewRequests--; next.Request(i) })
		}
		if len(pooler.reservations) > 0 {
			move(fmt.Sprint("end request of ", i), func(next *CreditSystem) { next.EndRequest(i) })
		}
		if s.Crash > 0 {
			move(fmt.Sprint("crash ", i), func(next *CreditSystem) { next.Crash--; next.Replace(i, 0) })
		}
		if s.Pause > 0 {
			move(fmt.Sprint("pause and replace ", i), func(next *CreditSystem) { next.Pause--; next.Replace(i, creditPauseSteps) })
		}
	}
	if s.RepeatPayment > 0 {
		move("repeat payment", func(next *CreditSystem) {
			if next.RepeatPayment--; next.RenumbersPayments {
				next.pay(uint64(2 + next.RepeatPayment))
				return
			}
			next.pay(1)
		})
	}
	if !deliverable {
		move("advance time", (*CreditSystem).Advance)
	}
	return out
}

// creditPauseSteps is the length of a pause, longer than an account takes to expire.
const creditPauseSteps = 7

// pay commits a payment; the ledger must ignore a number that it has already booked.
func (s *CreditSystem) pay(number uint64) {
	s.commit(ledger.Encode([]ledger.Op{{Kind: ledger.Payment, Key: ledger.Key{Tenant: CreditTenant}, Number: number, Amount: s.Funds}}))
	s.apply()
}

// SetLeader makes another voter the leader.
func (s *CreditSystem) SetLeader(i int) {
	s.voters[s.leader].lessor.SetLeader(s.clock(-1-s.leader), false)
	s.leader = i
	s.voters[i].lessor.SetLeader(s.clock(-1-i), true)
}

// Replace ends a process, or pauses it for pauseFor steps if that is not 0, and starts another process with its files.
func (s *CreditSystem) Replace(i, pauseFor int) {
	pooler := s.poolers[i]
	for _, status := range pooler.manager.Statuses() {
		s.LostInCrashes += status.Free + status.Reserved
	}
	successor := &creditPooler{id: ledger.Holder(100 * len(s.poolers)), clockRate: pooler.clockRate, inherited: append(slices.Clone(pooler.inherited), pooler.id)}
	s.poolers = append(s.poolers, successor)
	if pooler.pausedSteps = pauseFor; pauseFor == 0 {
		pooler.ended, pooler.reservations = true, nil
	}
	successorIndex := len(s.poolers) - 1
	successor.manager = lease.New(s.Lease, successor.id, s.clock(successorIndex))
	if s.Lease.PersistMarks {
		s.performLease(successorIndex, successor.manager.Handle(s.clock(successorIndex), lease.Recover{Holders: successor.inherited}, nil))
	}
}

// Advance advances time by a step.
func (s *CreditSystem) Advance() {
	s.now++
	for i := range s.voters {
		s.performLessor(i, s.voters[i].lessor.Tick(s.clock(-1-i), nil))
	}
	for i, pooler := range s.poolers {
		if pooler.pausedSteps > 0 {
			pooler.pausedSteps--
			continue
		}
		if !pooler.ended {
			s.performLease(i, pooler.manager.Handle(s.clock(i), lease.Tick{}, nil))
		}
	}
}

// Settle advances time by the given number of steps without faults. Messages to processes that are not paused are delivered, and
// the requests of these processes end.
func (s *CreditSystem) Settle(steps int) error {
	for range steps {
		s.Advance()
		for deliveries := 0; len(s.messages) > 0 && deliveries < 1000; deliveries++ {
			index := slices.IndexFunc(s.messages, func(msg CreditMessage) bool { return !s.recipientPaused(&msg) })
			if index < 0 {
				break
			}
			msg := s.messages[index]
			s.messages = slices.Delete(s.messages, index, index+1)
			s.deliver(msg)
		}
		for i := range s.poolers {
			for len(s.poolers[i].reservations) > 0 && s.poolers[i].pausedSteps == 0 {
				s.EndRequest(i)
			}
		}
		if err := s.Check(); err != nil {
			return err
		}
	}
	return nil
}

// DrainAll shuts all poolers down gracefully.
func (s *CreditSystem) DrainAll() {
	for i, pooler := range s.poolers {
		if !pooler.ended {
			s.performLease(i, pooler.manager.Handle(s.clock(i), lease.Shutdown{}, nil))
		}
	}
}

// Ledger returns the leader's ledger.
func (s *CreditSystem) Ledger() *ledger.Ledger { return s.voters[s.leader].lessor.Ledger() }

// Check implements System: served requests cost no more than was paid, and the ledger's invariants hold.
func (s *CreditSystem) Check() error {
	inFlight := int64(0)
	for _, pooler := range s.poolers {
		inFlight += int64(len(pooler.reservations)) * s.Price
	}
	if s.Served+inFlight > s.Paid {
		return fmt.Errorf("at %g %d are served and %d under way, of %d paid", s.now, s.Served, inFlight, s.Paid)
	}
	if s.AdmittedAfterExpiry > 0 {
		return fmt.Errorf("at %g a request was admitted from an account that had expired in the log", s.now)
	}
	for i, voter := range s.voters {
		if err := voter.lessor.Ledger().Check(); err != nil {
			return fmt.Errorf("at %g voter %d: %w", s.now, i, err)
		}
		tenant := voter.lessor.Ledger().Tenant(CreditTenant)
		if tenant.Paid != s.Paid || tenant.Balance < 0 {
			return fmt.Errorf("at %g voter %d: the ledger has payments of %d, want %d; balance %d", s.now, i, tenant.Paid, s.Paid, tenant.Balance)
		}
	}
	return nil
}

// PoolerEnded reports whether a process has ended.
func (s *CreditSystem) PoolerEnded(id ledger.Holder) bool {
	return slices.ContainsFunc(s.poolers, func(pooler *creditPooler) bool { return pooler.id == id && pooler.ended })
}
