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
	Price     int64
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
	Requests            int
	Rejected            int
	LostInCrashes       int64 // funds that replaced processes held
	Paid                int64
	AdmittedAfterExpiry int // requests admitted by an account that had expired in the log
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
	for i, v := range s.voters {
		voterLedger := ledger.New()
		voterLedger.Checks = s.Lease.Checks
		v.lessor = lessor.New(s.Lessor, voterLedger, s.clock(-1-i))
	}
	s.voters[0].lessor.SetLeader(s.clock(-1), true)
	for i, x := range s.poolers {
		x.manager = lease.New(s.Lease, x.id, s.clock(i))
	}
	s.commit(ledger.Encode([]ledger.Op{{Kind: ledger.Payment, Key: ledger.Key{Tenant: CreditTenant}, Number: 1, Amount: s.Funds}}))
	s.Paid = s.Funds
	s.apply()
}

// clock returns a process's clock. Clocks differ by far more than any duration.
func (s *CreditSystem) clock(i int) float64 {
	if i < 0 {
		return 1e6*float64(-i) + s.now*s.voters[-1-i].clockRate
	}
	return 1e5*float64(i) + s.now*s.poolers[i].clockRate
}

func (s *CreditSystem) clone() *CreditSystem {
	c := *s
	c.voters, c.poolers = make([]*creditVoter, len(s.voters)), make([]*creditPooler, len(s.poolers))
	for i, v := range s.voters {
		x := *v
		x.lessor = v.lessor.Clone()
		c.voters[i] = &x
	}
	for i, p := range s.poolers {
		x := *p
		x.manager, x.reservations = p.manager.Clone(), slices.Clone(p.reservations)
		c.poolers[i] = &x
	}
	c.log, c.messages = slices.Clone(s.log), slices.Clone(s.messages)
	return &c
}

// Key implements System.
func (s *CreditSystem) Key() string {
	var b strings.Builder
	fmt.Fprint(&b, s.CreditFaults, s.leader, s.Served, s.Paid, s.LostInCrashes, "|")
	for i, v := range s.voters {
		fmt.Fprint(&b, i, len(s.log)-v.applied, v.lessor.Key(), "|")
	}
	for _, x := range s.poolers {
		fmt.Fprint(&b, x.id, x.ended, x.pausedSteps, x.persistedMarks, x.reservations, x.manager.Key(), "|")
	}
	for i := range s.messages {
		fmt.Fprint(&b, s.messages[i].String(), s.messages[i].duplicate)
	}
	return b.String()
}

func (s *CreditSystem) commit(entry []byte) { s.log = append(s.log, entry) }

// apply applies the log at all voters.
func (s *CreditSystem) apply() {
	for i, v := range s.voters {
		for ; v.applied < len(s.log); v.applied++ {
			s.performLessor(i, v.lessor.Apply(s.clock(-1-i), uint64(v.applied+1), s.log[v.applied], nil))
		}
	}
}

func (s *CreditSystem) performLessor(i int, acts []lessor.Action) {
	for _, a := range acts {
		switch a.Kind {
		case lessor.Propose:
			if s.AlterOp != nil {
				ops, _ := ledger.Decode(a.Entry)
				for k := range ops {
					s.AlterOp(&ops[k])
				}
				a.Entry = ledger.Encode(ops)
			}
			s.messages = append(s.messages, CreditMessage{From: -1 - i, Entry: a.Entry})
		case lessor.Respond:
			for k, x := range s.poolers {
				if x.id == a.To {
					s.messages = append(s.messages, CreditMessage{From: -1 - i, To: k, Responses: a.Responses})
				}
			}
		}
	}
}

func (s *CreditSystem) performLease(i int, acts []lease.Action) {
	x := s.poolers[i]
	for _, a := range acts {
		switch a.Kind {
		case lease.SendRequests:
			for _, w := range a.Requests {
				if s.SuccessorDoesNotWait && w.Recovered && w.Key.Tenant == "" && !w.MarksRead {
					s.messages = append(s.messages, CreditMessage{From: -1, To: i, Responses: []message.Response{{Key: w.Key, Expired: true}}})
				}
			}
			s.messages = append(s.messages, CreditMessage{From: i, To: -1 - s.leader, Requests: a.Requests})
		case lease.Admit:
			s.admit(x, a.Reservation)
		case lease.Reject:
			s.Rejected++
		case lease.EraseMarks:
			x.inherited = slices.DeleteFunc(slices.Clone(x.inherited), func(h ledger.Holder) bool { return h == a.Holder })
		case lease.ReadMarks:
			k := slices.IndexFunc(s.poolers, func(x *creditPooler) bool { return x.id == a.Holder })
			s.performLease(i, x.manager.Handle(s.clock(i), lease.MarksRead{Holder: a.Holder, Marks: s.poolers[k].persistedMarks}, nil))
		case lease.PersistMarks:
			s.messages = append(s.messages, CreditMessage{From: i, Write: a.Write, Marks: a.Marks})
		}
	}
}

// admit starts an admitted request, and counts it if its account has expired in the log.
func (s *CreditSystem) admit(x *creditPooler, reservation lease.Reservation) {
	x.reservations = append(x.reservations, reservation)
	k := ledger.Key{Tenant: reservation.Tenant, Overdraft: reservation.Overdraft, Holder: x.id, Generation: reservation.Generation}
	for _, v := range s.voters {
		if a, ok := v.lessor.Ledger().Account(k); ok && a.Expired {
			s.AdmittedAfterExpiry++
			return
		}
	}
}

func (s *CreditSystem) deliver(m CreditMessage) {
	if s.AlterMessage != nil && s.AlterMessage(s, m.To, &m) {
		c := m
		c.duplicate = true
		s.messages = append(s.messages, c)
	}
	switch {
	case m.Entry != nil:
		s.commit(m.Entry)
		s.apply()
	case m.Write > 0:
		if x := s.poolers[m.From]; !x.ended && m.Write > x.lastWrite {
			x.persistedMarks, x.lastWrite = m.Marks, m.Write
			s.performLease(m.From, x.manager.Handle(s.clock(m.From), lease.MarksPersisted{Write: m.Write}, nil))
		}
	case m.To < 0:
		i := -1 - m.To
		s.performLessor(i, s.voters[i].lessor.HandleRequests(s.clock(m.To), s.poolers[m.From].id, m.Requests, nil))
	default:
		if x := s.poolers[m.To]; !x.ended {
			s.performLease(m.To, x.manager.Handle(s.clock(m.To), lease.ResponsesReceived{Responses: m.Responses}, nil))
		}
	}
}

// Request makes a client's request at a pooler.
func (s *CreditSystem) Request(i int) lease.Decision {
	x := s.poolers[i]
	s.lastTag++
	s.Requests++
	reservation, v := x.manager.Reserve(s.clock(i), lease.AdmissionRequest{Tenant: CreditTenant, Session: s.lastTag, Parts: 1, Tag: s.lastTag})
	switch v {
	case lease.Admitted:
		s.admit(x, reservation)
	case lease.Throttled, lease.Exhausted:
		s.Rejected++
	}
	return v
}

// EndRequest ends the first request of a pooler.
func (s *CreditSystem) EndRequest(i int) {
	x := s.poolers[i]
	if len(x.reservations) == 0 {
		return
	}
	reservation := x.reservations[0]
	x.reservations = x.reservations[1:]
	s.Served += s.Price
	x.manager.Settle(&reservation, lease.Usage{Served: int(s.SettlementsPerRequest)})
}

// recipientPaused reports whether a message is for a paused process.
func (s *CreditSystem) recipientPaused(m *CreditMessage) bool {
	if m.Write > 0 {
		return s.poolers[m.From].pausedSteps > 0
	}
	return m.To >= 0 && m.Entry == nil && s.poolers[m.To].pausedSteps > 0
}

// Moves implements System.
func (s *CreditSystem) Moves() (out []Move) {
	move := func(name string, do func(c *CreditSystem)) {
		out = append(out, Move{name, func() (System, error) {
			c := s.clone()
			do(c)
			return c, nil
		}})
	}
	deliverable := false
	for k := range s.messages {
		m := s.messages[k]
		if s.recipientPaused(&m) {
			continue
		}
		if deliverable && !s.Unordered {
			continue
		}
		deliverable = true
		remove := func(c *CreditSystem) { c.messages = slices.Delete(c.messages, k, k+1) }
		move("deliver "+m.String(), func(c *CreditSystem) { remove(c); c.deliver(m) })
		if s.Lose > 0 && m.Write == 0 {
			move("lose "+m.String(), func(c *CreditSystem) { c.Lose--; remove(c) })
		}
		if s.Duplicate > 0 && m.Write == 0 && !m.duplicate {
			move("duplicate "+m.String(), func(c *CreditSystem) { c.Duplicate--; c.messages[k].duplicate = true; c.deliver(m) })
		}
	}
	if s.ChangeLeader > 0 {
		for i := range s.voters {
			if i != s.leader {
				move(fmt.Sprint("set leader ", i), func(c *CreditSystem) { c.ChangeLeader--; c.SetLeader(i) })
			}
		}
	}
	for i, x := range s.poolers {
		if x.ended || x.pausedSteps > 0 {
			continue
		}
		if s.NewRequests > 0 {
			move(fmt.Sprint("request at ", i), func(c *CreditSystem) { c.NewRequests--; c.Request(i) })
		}
		if len(x.reservations) > 0 {
			move(fmt.Sprint("end request of ", i), func(c *CreditSystem) { c.EndRequest(i) })
		}
		if s.Crash > 0 {
			move(fmt.Sprint("crash ", i), func(c *CreditSystem) { c.Crash--; c.Replace(i, 0) })
		}
		if s.Pause > 0 {
			move(fmt.Sprint("pause and replace ", i), func(c *CreditSystem) { c.Pause--; c.Replace(i, creditPauseSteps) })
		}
	}
	if s.RepeatPayment > 0 {
		move("repeat payment", func(c *CreditSystem) {
			if c.RepeatPayment--; c.RenumbersPayments {
				c.pay(uint64(2 + c.RepeatPayment))
				return
			}
			c.pay(1)
		})
	}
	if !deliverable {
		move("advance time", (*CreditSystem).Advance)
	}
	return out
}

const creditPauseSteps = 7 // steps, longer than an account takes to expire

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

// Replace ends a process, or pauses it for some steps if pauseFor is not 0, and starts another one with its files.
func (s *CreditSystem) Replace(i, pauseFor int) {
	x := s.poolers[i]
	for _, st := range x.manager.Statuses() {
		s.LostInCrashes += st.Free + st.Reserved
	}
	successor := &creditPooler{id: ledger.Holder(100 * len(s.poolers)), clockRate: x.clockRate, inherited: append(slices.Clone(x.inherited), x.id)}
	s.poolers = append(s.poolers, successor)
	if x.pausedSteps = pauseFor; pauseFor == 0 {
		x.ended, x.reservations = true, nil
	}
	k := len(s.poolers) - 1
	successor.manager = lease.New(s.Lease, successor.id, s.clock(k))
	if s.Lease.PersistMarks {
		s.performLease(k, successor.manager.Handle(s.clock(k), lease.Recover{Holders: successor.inherited}, nil))
	}
}

// Advance advances time by a step.
func (s *CreditSystem) Advance() {
	s.now++
	for i := range s.voters {
		s.performLessor(i, s.voters[i].lessor.Tick(s.clock(-1-i), nil))
	}
	for i, x := range s.poolers {
		if x.pausedSteps > 0 {
			x.pausedSteps--
			continue
		}
		if !x.ended {
			s.performLease(i, x.manager.Handle(s.clock(i), lease.Tick{}, nil))
		}
	}
}

// Settle advances time without faults until all requests have ended.
func (s *CreditSystem) Settle(steps int) error {
	for range steps {
		s.Advance()
		for n := 0; len(s.messages) > 0 && n < 1000; n++ {
			k := slices.IndexFunc(s.messages, func(m CreditMessage) bool { return !s.recipientPaused(&m) })
			if k < 0 {
				break
			}
			m := s.messages[k]
			s.messages = slices.Delete(s.messages, k, k+1)
			s.deliver(m)
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
	for i, x := range s.poolers {
		if !x.ended {
			s.performLease(i, x.manager.Handle(s.clock(i), lease.Shutdown{}, nil))
		}
	}
}

// Ledger returns the leader's ledger.
func (s *CreditSystem) Ledger() *ledger.Ledger { return s.voters[s.leader].lessor.Ledger() }

// Check implements System: served requests cost no more than was paid, and the ledger's invariants hold.
func (s *CreditSystem) Check() error {
	inFlight := int64(0)
	for _, x := range s.poolers {
		inFlight += int64(len(x.reservations)) * s.Price
	}
	if s.Served+inFlight > s.Paid {
		return fmt.Errorf("at %g %d are served and %d under way, of %d paid", s.now, s.Served, inFlight, s.Paid)
	}
	if s.AdmittedAfterExpiry > 0 {
		return fmt.Errorf("at %g a request was admitted by an account that had expired in the log", s.now)
	}
	for i, v := range s.voters {
		if err := v.lessor.Ledger().Check(); err != nil {
			return fmt.Errorf("at %g voter %d: %w", s.now, i, err)
		}
		t := v.lessor.Ledger().Tenant(CreditTenant)
		if t.Paid != s.Paid || t.Balance < 0 {
			return fmt.Errorf("at %g voter %d: the ledger has payments of %d, want %d; balance %d", s.now, i, t.Paid, s.Paid, t.Balance)
		}
	}
	return nil
}

// PoolerEnded reports whether a process has ended.
func (s *CreditSystem) PoolerEnded(id ledger.Holder) bool {
	return slices.ContainsFunc(s.poolers, func(x *creditPooler) bool { return x.id == id && x.ended })
}
