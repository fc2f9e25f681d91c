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

// Credits are voters with their banks and poolers with their purses, with a log between them that has its entries in one order and may
// lose, delay and double what is proposed. Each process has a clock of its own, off by as much as drift allows and set apart from the
// others. Clients' requests are counted here, at their ends, and never by what the purses say.
type Credits struct {
	CreditFaults
	Set   lease.Settings
	Banks lessor.Settings
	Price int64
	Funds int64 // of the one payment
	Free  bool  // what is on its way arrives in any order

	Break func(s *Credits, to int, m *CreditMail) (again bool) // a mutant: before something is told
	Trust func(op *ledger.Op)                                  // a mutant: before an op is proposed
	Hasty bool                                                 // a mutant: an heir does not wait for the ends
	Many  int64                                                // a mutant: a request is settled so often
	Again bool                                                 // a mutant: a payment has another number each time
	Early bool                                                 // a mutant: voters know of another lease than poolers

	t       float64
	voters  []*creditVoter
	poolers []*spender
	leader  int
	log     [][]byte
	mail    []CreditMail
	tag     uint64
	Served  int64 // what served requests cost
	Asked   int
	Turned  int
	Crashed int64 // what those that crashed held
	Paid    int64
	Late    int // requests let in by an account whose end the log had
}

// CreditFaults are what may still happen.
type CreditFaults struct{ Ask, Lose, Double, Depose, Crash, Stop, Pay int }

type creditVoter struct {
	b    *lessor.Lessor
	has  int // entries of the log that it applied
	rate float64
}

type spender struct {
	id      ledger.Holder
	p       *lease.Manager
	rate    float64
	gone    bool
	stopped int
	files   []lease.HighWaterMark
	wrote   uint64
	legacy  []ledger.Holder // whose files it has taken over
	flights []lease.Reservation
}

// CreditMail is what is on its way.
type CreditMail struct {
	From, To int // poolers; a voter's number is -1-i
	Asks     []message.Request
	Answers  []message.Response
	Entry    []byte // to the log
	Write    uint64 // to a file
	Marks    []lease.HighWaterMark
	again    bool
}

func (m *CreditMail) String() string {
	switch {
	case m.Entry != nil:
		ops, _ := ledger.Decode(m.Entry)
		return fmt.Sprintf("proposal %v", ops)
	case m.Write > 0:
		return fmt.Sprintf("%d writes %v", m.From, m.Marks)
	}
	return fmt.Sprintf("%d to %d: %v%v", m.From, m.To, m.Asks, m.Answers)
}

// CreditTenant is whose funds they are.
const CreditTenant = "t"

// NewCredits makes a system of so many voters and poolers, with prices of 1.
func NewCredits(voters, poolers int, funds int64) *Credits {
	s := &Credits{t: 100, Price: 1, Funds: funds, Many: 1}
	s.Set = lease.Settings{Duration: 4, RenewInterval: 2, UrgentInterval: 1, ExhaustedInterval: 2, GrantHorizon: 2000, IdleTimeout: 3, QueueTimeout: 2, ClockDrift: 0.01, Grace: 0.5, TickInterval: 1, PersistMarks: true,
		Classes: []lease.Class{{Price: lease.Price{PerRequest: 1}, PriorityWeight: 1}}, PrepaidTenants: []string{CreditTenant}}
	s.Banks = lessor.Settings{ProposalTimeout: 2, StrandedRetention: 1e9, RecallWait: 0, RecallInterval: 1, DemandWindow: 5, ShareDivisor: 2, MaxEntryBytes: 900}
	for i := range voters {
		s.voters = append(s.voters, &creditVoter{rate: 1 + 0.01*float64(i%3-1)})
	}
	for i := range poolers {
		s.poolers = append(s.poolers, &spender{id: ledger.Holder(i + 1), rate: 1 - 0.01*float64(i%3-1)})
	}
	return s
}

// Start begins all; settings are taken as they are by then.
func (s *Credits) Start() {
	if s.Banks.ExpiryDelay = s.Set.ExpiryDelay(); s.Early {
		s.Banks.ExpiryDelay /= 4
	}
	for i, v := range s.voters {
		books := ledger.New()
		books.Checks = s.Set.Checks
		v.b = lessor.New(s.Banks, books, s.clockOf(-1-i))
	}
	s.voters[0].b.SetLeader(s.clockOf(-1), true)
	for i, x := range s.poolers {
		x.p = lease.New(s.Set, x.id, s.clockOf(i))
	}
	s.commit(ledger.Encode([]ledger.Op{{Kind: ledger.Payment, Key: ledger.Key{Tenant: CreditTenant}, Number: 1, Amount: s.Funds}}))
	s.Paid = s.Funds
	s.apply()
}

// clockOf is a process's own: apart by far more than any span.
func (s *Credits) clockOf(i int) float64 {
	if i < 0 {
		return 1e6*float64(-i) + s.t*s.voters[-1-i].rate
	}
	return 1e5*float64(i) + s.t*s.poolers[i].rate
}

func (s *Credits) clone() *Credits {
	c := *s
	c.voters, c.poolers = make([]*creditVoter, len(s.voters)), make([]*spender, len(s.poolers))
	for i, v := range s.voters {
		x := *v
		x.b = v.b.Clone()
		c.voters[i] = &x
	}
	for i, p := range s.poolers {
		x := *p
		x.p, x.flights = p.p.Clone(), slices.Clone(p.flights)
		c.poolers[i] = &x
	}
	c.log, c.mail = slices.Clone(s.log), slices.Clone(s.mail)
	return &c
}

// Key is System's.
func (s *Credits) Key() string {
	var b strings.Builder
	fmt.Fprint(&b, s.CreditFaults, s.leader, s.Served, s.Paid, s.Crashed, "|")
	for i, v := range s.voters {
		fmt.Fprint(&b, i, len(s.log)-v.has, v.b.Key(), "|")
	}
	for _, x := range s.poolers {
		fmt.Fprint(&b, x.id, x.gone, x.stopped, x.files, x.flights, x.p.Key(), "|")
	}
	for i := range s.mail {
		fmt.Fprint(&b, s.mail[i].String(), s.mail[i].again)
	}
	return b.String()
}

func (s *Credits) commit(entry []byte) { s.log = append(s.log, entry) }

// apply has the leader, and all others, take what the log has.
func (s *Credits) apply() {
	for i, v := range s.voters {
		for ; v.has < len(s.log); v.has++ {
			s.banked(i, v.b.Apply(s.clockOf(-1-i), uint64(v.has+1), s.log[v.has], nil))
		}
	}
}

func (s *Credits) banked(i int, acts []lessor.Action) {
	for _, a := range acts {
		switch a.Kind {
		case lessor.Propose:
			if s.Trust != nil {
				ops, _ := ledger.Decode(a.Entry)
				for k := range ops {
					s.Trust(&ops[k])
				}
				a.Entry = ledger.Encode(ops)
			}
			s.mail = append(s.mail, CreditMail{From: -1 - i, Entry: a.Entry})
		case lessor.Respond:
			for k, x := range s.poolers {
				if x.id == a.To {
					s.mail = append(s.mail, CreditMail{From: -1 - i, To: k, Answers: a.Responses})
				}
			}
		}
	}
}

func (s *Credits) pursed(i int, acts []lease.Action) {
	x := s.poolers[i]
	for _, a := range acts {
		switch a.Kind {
		case lease.SendRequests:
			for _, w := range a.Requests {
				if s.Hasty && w.Recovered && w.Key.Tenant == "" && !w.MarksRead {
					s.mail = append(s.mail, CreditMail{From: -1, To: i, Answers: []message.Response{{Key: w.Key, Expired: true}}})
				}
			}
			s.mail = append(s.mail, CreditMail{From: i, To: -1 - s.leader, Asks: a.Requests})
		case lease.Admit:
			s.admit(x, a.Reservation)
		case lease.Reject:
			s.Turned++
		case lease.EraseMarks:
			x.legacy = slices.DeleteFunc(slices.Clone(x.legacy), func(h ledger.Holder) bool { return h == a.Holder })
		case lease.ReadMarks:
			k := slices.IndexFunc(s.poolers, func(x *spender) bool { return x.id == a.Holder })
			s.pursed(i, x.p.Handle(s.clockOf(i), lease.MarksRead{Holder: a.Holder, Marks: s.poolers[k].files}, nil))
		case lease.PersistMarks:
			s.mail = append(s.mail, CreditMail{From: i, Write: a.Write, Marks: a.Marks})
		}
	}
}

// admit has a request go to its server.
func (s *Credits) admit(x *spender, h lease.Reservation) {
	x.flights = append(x.flights, h)
	k := ledger.Key{Tenant: h.Tenant, Overdraft: h.Overdraft, Holder: x.id, Generation: h.Generation}
	for _, v := range s.voters {
		if a, ok := v.b.Ledger().Account(k); ok && a.Expired {
			s.Late++
			return
		}
	}
}

func (s *Credits) deliver(m CreditMail) {
	if s.Break != nil && s.Break(s, m.To, &m) {
		c := m
		c.again = true
		s.mail = append(s.mail, c)
	}
	switch {
	case m.Entry != nil:
		s.commit(m.Entry)
		s.apply()
	case m.Write > 0:
		if x := s.poolers[m.From]; !x.gone && m.Write > x.wrote {
			x.files, x.wrote = m.Marks, m.Write
			s.pursed(m.From, x.p.Handle(s.clockOf(m.From), lease.MarksPersisted{Write: m.Write}, nil))
		}
	case m.To < 0:
		i := -1 - m.To
		s.banked(i, s.voters[i].b.HandleRequests(s.clockOf(m.To), s.poolers[m.From].id, m.Asks, nil))
	default:
		if x := s.poolers[m.To]; !x.gone {
			s.pursed(m.To, x.p.Handle(s.clockOf(m.To), lease.ResponsesReceived{Responses: m.Answers}, nil))
		}
	}
}

// Request has a client ask a pooler.
func (s *Credits) Request(i int) lease.Decision {
	x := s.poolers[i]
	s.tag++
	s.Asked++
	h, v := x.p.Reserve(s.clockOf(i), lease.AdmissionRequest{Tenant: CreditTenant, Session: s.tag, Parts: 1, Tag: s.tag})
	switch v {
	case lease.Admitted:
		s.admit(x, h)
	case lease.Throttled, lease.Exhausted:
		s.Turned++
	}
	return v
}

// End has the first request of a pooler end.
func (s *Credits) End(i int) {
	x := s.poolers[i]
	if len(x.flights) == 0 {
		return
	}
	h := x.flights[0]
	x.flights = x.flights[1:]
	s.Served += s.Price
	x.p.Settle(&h, lease.Usage{Served: int(s.Many)})
}

// asleep tells whether a message is for a process that stands still.
func (s *Credits) asleep(m *CreditMail) bool {
	if m.Write > 0 {
		return s.poolers[m.From].stopped > 0
	}
	return m.To >= 0 && m.Entry == nil && s.poolers[m.To].stopped > 0
}

// Moves is System's.
func (s *Credits) Moves() (out []Move) {
	move := func(name string, do func(c *Credits)) {
		out = append(out, Move{name, func() (System, error) {
			c := s.clone()
			do(c)
			return c, nil
		}})
	}
	blocked := false
	for k := range s.mail {
		m := s.mail[k]
		if s.asleep(&m) {
			continue
		}
		if blocked && !s.Free {
			continue
		}
		blocked = true
		take := func(c *Credits) { c.mail = slices.Delete(c.mail, k, k+1) }
		move("arrives "+m.String(), func(c *Credits) { take(c); c.deliver(m) })
		if s.Lose > 0 && m.Write == 0 {
			move("lost "+m.String(), func(c *Credits) { c.Lose--; take(c) })
		}
		if s.Double > 0 && m.Write == 0 && !m.again {
			move("twice "+m.String(), func(c *Credits) { c.Double--; c.mail[k].again = true; c.deliver(m) })
		}
	}
	if s.Depose > 0 {
		for i := range s.voters {
			if i != s.leader {
				move(fmt.Sprint("leads ", i), func(c *Credits) { c.Depose--; c.Lead(i) })
			}
		}
	}
	for i, x := range s.poolers {
		if x.gone || x.stopped > 0 {
			continue
		}
		if s.Ask > 0 {
			move(fmt.Sprint("request at ", i), func(c *Credits) { c.Ask--; c.Request(i) })
		}
		if len(x.flights) > 0 {
			move(fmt.Sprint("ends at ", i), func(c *Credits) { c.End(i) })
		}
		if s.Crash > 0 {
			move(fmt.Sprint("crash ", i), func(c *Credits) { c.Crash--; c.Kill(i, 0) })
		}
		if s.Stop > 0 {
			move(fmt.Sprint("stopped, and another begun in its place ", i), func(c *Credits) { c.Stop--; c.Kill(i, creditStop) })
		}
	}
	if s.Pay > 0 {
		move("pays again", func(c *Credits) {
			if c.Pay--; c.Again {
				c.pay(uint64(2 + c.Pay))
				return
			}
			c.pay(1)
		})
	}
	if !blocked {
		move("time", (*Credits).Time)
	}
	return out
}

const creditStop = 7 // steps, more than an account's end

func (s *Credits) pay(no uint64) {
	s.commit(ledger.Encode([]ledger.Op{{Kind: ledger.Payment, Key: ledger.Key{Tenant: CreditTenant}, Number: no, Amount: s.Funds}}))
	s.apply()
}

// Lead has another voter lead.
func (s *Credits) Lead(i int) {
	s.voters[s.leader].b.SetLeader(s.clockOf(-1-s.leader), false)
	s.leader = i
	s.voters[i].b.SetLeader(s.clockOf(-1-i), true)
}

// Kill ends a process, or stops it for so many steps, and has another begin with its files.
func (s *Credits) Kill(i, stop int) {
	x := s.poolers[i]
	for _, st := range x.p.Statuses() {
		s.Crashed += st.Free + st.Reserved
	}
	y := &spender{id: ledger.Holder(100 * len(s.poolers)), rate: x.rate, legacy: append(slices.Clone(x.legacy), x.id)}
	s.poolers = append(s.poolers, y)
	if x.stopped = stop; stop == 0 {
		x.gone, x.flights = true, nil
	}
	k := len(s.poolers) - 1
	y.p = lease.New(s.Set, y.id, s.clockOf(k))
	if s.Set.PersistMarks {
		s.pursed(k, y.p.Handle(s.clockOf(k), lease.Recover{Holders: y.legacy}, nil))
	}
}

// Time has a step go by.
func (s *Credits) Time() {
	s.t++
	for i := range s.voters {
		s.banked(i, s.voters[i].b.Tick(s.clockOf(-1-i), nil))
	}
	for i, x := range s.poolers {
		if x.stopped > 0 {
			x.stopped--
			continue
		}
		if !x.gone {
			s.pursed(i, x.p.Handle(s.clockOf(i), lease.Tick{}, nil))
		}
	}
}

// Settle has time go by with nothing going wrong, and all requests end.
func (s *Credits) Settle(steps int) error {
	for range steps {
		s.Time()
		for n := 0; len(s.mail) > 0 && n < 1000; n++ {
			k := slices.IndexFunc(s.mail, func(m CreditMail) bool { return !s.asleep(&m) })
			if k < 0 {
				break
			}
			m := s.mail[k]
			s.mail = slices.Delete(s.mail, k, k+1)
			s.deliver(m)
		}
		for i := range s.poolers {
			for len(s.poolers[i].flights) > 0 && s.poolers[i].stopped == 0 {
				s.End(i)
			}
		}
		if err := s.Check(); err != nil {
			return err
		}
	}
	return nil
}

// Leave has all poolers end their work in order.
func (s *Credits) Leave() {
	for i, x := range s.poolers {
		if !x.gone {
			s.pursed(i, x.p.Handle(s.clockOf(i), lease.Shutdown{}, nil))
		}
	}
}

// Books are the leader's.
func (s *Credits) Books() *ledger.Ledger { return s.voters[s.leader].b.Ledger() }

// Check is System's: what was served costs no more than was paid, and the books are whole.
func (s *Credits) Check() error {
	inFlight := int64(0)
	for _, x := range s.poolers {
		inFlight += int64(len(x.flights)) * s.Price
	}
	if s.Served+inFlight > s.Paid {
		return fmt.Errorf("at %g %d are served and %d under way, of %d paid", s.t, s.Served, inFlight, s.Paid)
	}
	if s.Late > 0 {
		return fmt.Errorf("at %g a request was let in by an account whose end the log has", s.t)
	}
	for i, v := range s.voters {
		if err := v.b.Ledger().Check(); err != nil {
			return fmt.Errorf("at %g voter %d: %w", s.t, i, err)
		}
		t := v.b.Ledger().Tenant(CreditTenant)
		if t.Paid != s.Paid || t.Balance < 0 {
			return fmt.Errorf("at %g voter %d: paid %d, of %d that were; balance %d", s.t, i, t.Paid, s.Paid, t.Balance)
		}
	}
	return nil
}

// Gone tells whether a process crashed.
func (s *Credits) Gone(id ledger.Holder) bool {
	return slices.ContainsFunc(s.poolers, func(x *spender) bool { return x.id == id && x.gone })
}
