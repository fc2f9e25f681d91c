package modelcheck

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"beechgrade/internal/cluster/credit/ledger"
	"beechgrade/internal/cluster/credit/message"
	"beechgrade/internal/invariant"
)

// TestCreditsRandom plays drawn histories of three voters and three poolers, and has each end with nothing lost but what a crash took.
func TestCreditsRandom(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := NewCreditSystem(3, 3, int64(rapid.IntRange(0, 40).Draw(r, "funds")))
		s.Unordered = true
		s.Lease.Checks = invariant.Test(r)
		s.Lease.PersistMarks = rapid.Bool().Draw(r, "marks")
		s.CreditFaults = CreditFaults{NewRequests: 60, Lose: 10, Duplicate: 10, ChangeLeader: 4, Crash: 2, Pause: 2, RepeatPayment: 1}
		s.Start()
		for range rapid.IntRange(20, 150).Draw(r, "steps") {
			moves := s.Moves()
			k := rapid.IntRange(0, len(moves)).Draw(r, "move")
			if k == len(moves) {
				s.Advance()
			} else {
				next, err := moves[k].Do()
				if err != nil {
					r.Fatal(err)
				}
				s = next.(*CreditSystem)
			}
			if err := s.Check(); err != nil {
				r.Fatal(moves, err)
			}
		}
		if err := s.Settle(40); err != nil {
			r.Fatal(err)
		}
		s.DrainAll()
		if err := s.Settle(20); err != nil {
			r.Fatal(err)
		}
		b := s.Ledger().Tenant(CreditTenant)
		if b.Lent != 0 {
			r.Fatalf("all have left, and %d are lent: %v", b.Lent, s.Ledger().AllAccounts())
		}
		maxExcess := s.LostInCrashes // and what was on its way to one when it crashed
		for _, k := range s.Ledger().AllAccounts() {
			a, _ := s.Ledger().Account(k)
			if maxExcess += a.Outstanding(); !s.PoolerEnded(k.Holder) {
				r.Fatalf("account %v is open, and its process has left in order", k)
			}
		}
		if excess := b.Spent + b.Stranded - s.Served; excess < 0 || excess > maxExcess && s.Pause == 2 { // of one that was replaced asleep and woke its mark is charged
			r.Fatalf("served for %d, %d are spent and %d stranded, crashed processes held %d", s.Served, b.Spent, b.Stranded, maxExcess)
		}
		if s.Lease.PersistMarks && b.Stranded != 0 {
			r.Fatalf("files were found, and %d are stranded", b.Stranded)
		}
	})
}

// drive plays a mutant's history, drawn from a seed, until something is wrong.
func runHistory(seed uint64, newSystem func() *CreditSystem) error {
	s := newSystem()
	pauses := s.Pause // of one that was stopped, replaced and woke more than its mark may be charged
	rng := rand.New(rand.NewPCG(seed, 1))
	s.Start()
	for range 150 {
		moves := s.Moves()
		if k := rng.IntN(len(moves) + 1); k == len(moves) {
			s.Advance()
		} else {
			next, err := moves[k].Do()
			if err != nil {
				return err
			}
			s = next.(*CreditSystem)
		}
		if err := s.Check(); err != nil {
			return err
		}
	}
	if err := s.Settle(40); err != nil {
		return err
	}
	s.DrainAll()
	if err := s.Settle(20); err != nil {
		return err
	}
	b := s.Ledger().Tenant(CreditTenant)
	if b.Spent+b.Stranded < s.Served || s.Pause == pauses && b.Spent > s.Served+s.LostInCrashes {
		return fmt.Errorf("served for %d, %d are spent and %d stranded, crashed processes held %d", s.Served, b.Spent, b.Stranded, s.LostInCrashes)
	}
	if b.Lent != 0 {
		return fmt.Errorf("%d are lent for ever", b.Lent)
	}
	return nil
}

// TestCreditsMutants has each way to get it wrong found, and the right way hold in the same histories.
func TestCreditsMutants(t *testing.T) {
	t.Parallel()
	base := func() *CreditSystem {
		s := NewCreditSystem(3, 2, 12)
		s.Unordered = true
		s.CreditFaults = CreditFaults{NewRequests: 30, Lose: 5, Duplicate: 8, ChangeLeader: 3, Crash: 1, Pause: 1, RepeatPayment: 2}
		return s
	}
	alterResponses := func(do func(s *CreditSystem, a *message.Response)) func(*CreditSystem, int, *CreditMessage) bool {
		return func(s *CreditSystem, to int, m *CreditMessage) bool {
			m.Responses = slices.Clone(m.Responses)
			for i := range m.Responses {
				do(s, &m.Responses[i])
			}
			return false
		}
	}
	mutants := map[string]func(s *CreditSystem){
		"none": func(*CreditSystem) {},
		"a slice is lent again after a leader's change": func(s *CreditSystem) {
			s.AlterMessage = alterResponses(func(s *CreditSystem, a *message.Response) {
				if s.leader != 0 && a.Granted > 0 {
					a.Granted++
				}
			})
		},
		"the end counts from the answer's arrival": func(s *CreditSystem) { s.Lease.ExpireFromResponse = true },
		"a payment is taken each time": func(s *CreditSystem) {
			s.AlterOp = func(op *ledger.Op) {}
			s.RenumbersPayments = true
		},
		"what is spent is given back": func(s *CreditSystem) {
			s.AlterMessage = func(_ *CreditSystem, _ int, m *CreditMessage) bool {
				m.Requests = slices.Clone(m.Requests)
				for i := range m.Requests {
					if a := &m.Requests[i]; a.Final {
						a.Spent = 0
					} else {
						a.Returned, a.Spent = a.Returned+a.Spent, 0
					}
				}
				return false
			}
		},
		"a client's repeats are charged":  func(s *CreditSystem) { s.SettlementsPerRequest, s.Lease.Classes[0].Max, s.Pause = 2, 2, 0 },
		"one that was stopped spends on":  func(s *CreditSystem) { s.Lease.Duration *= 4; s.ShortVoterLeases = true },
		"an heir reads the files at once": func(s *CreditSystem) { s.SuccessorDoesNotWait, s.Pause, s.Crash, s.NewRequests = true, 3, 0, 60 },
	}
	for name, change := range mutants {
		found, tries := 0, 0
		var first error
		for seed := range uint64(400) {
			err := runHistory(seed, func() *CreditSystem { s := base(); change(s); return s })
			if err != nil {
				found++
				first = err
				break
			}
			tries++
		}
		t.Logf("%s: after %d histories: %v", name, tries, first)
		if (name == "none") != (found == 0) {
			t.Errorf("mutant %q: found in %d of %d histories: %v", name, found, tries, first)
		}
	}
}

// TestCreditsExplored goes through all that can befall two poolers and three voters with funds for two requests.
func TestCreditsExplored(t *testing.T) {
	t.Parallel()
	for name, f := range map[string]CreditFaults{
		"three requests, one loss":               {NewRequests: 3, Lose: 1},
		"a leader's change, one message doubled": {NewRequests: 2, ChangeLeader: 1, Duplicate: 1},
		"a crash, and a payment read again":      {NewRequests: 3, Crash: 1, RepeatPayment: 1},
		"stopped and replaced":                   {NewRequests: 2, Pause: 1},
	} {
		s := NewCreditSystem(3, 2, 2)
		s.CreditFaults = f
		s.Start()
		r := Run(s, Bounds{Depth: 16, States: 200_000})
		if r.Err != nil {
			t.Fatalf("%s: %v\n%s", name, r.Err, strings.Join(r.Trace, "\n"))
		}
		t.Logf("%s: %d states, %d steps, depth %d, whole %v", name, r.States, r.Steps, r.Depth, r.Complete)
	}
}
