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

// TestCreditsRandom guards against funds that are spent twice or disappear: lost and duplicated messages, changes of the leader, crashes and
// pauses can make the ledger and the poolers count the same funds differently. It makes random moves of three voters and three poolers, and
// then shuts all poolers down: no funds may be missing but those that were lost in crashes.
func TestCreditsRandom(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := NewCreditSystem(3, 3, int64(rapid.IntRange(0, 40).Draw(rt, "funds")))
		s.Unordered = true
		s.Lease.Checks = invariant.Test(rt)
		s.Lease.PersistMarks = rapid.Bool().Draw(rt, "persist marks")
		s.CreditFaults = CreditFaults{NewRequests: 60, Lose: 10, Duplicate: 10, ChangeLeader: 4, Crash: 2, Pause: 2, RepeatPayment: 1}
		s.Start()
		for range rapid.IntRange(20, 150).Draw(rt, "steps") {
			moves := s.Moves()
			choice := rapid.IntRange(0, len(moves)).Draw(rt, "move")
			if choice == len(moves) {
				s.Advance()
			} else {
				next, err := moves[choice].Do()
				if err != nil {
					rt.Fatalf("move %q: %v", moves[choice].Name, err)
				}
				s = next.(*CreditSystem)
			}
			if err := s.Check(); err != nil {
				rt.Fatalf("check failed: %v; the last move was one of %v", err, moves)
			}
		}
		if err := s.Settle(40); err != nil {
			rt.Fatalf("40 steps after the moves: %v", err)
		}
		s.DrainAll()
		if err := s.Settle(20); err != nil {
			rt.Fatalf("20 steps after the shutdown of all poolers: %v", err)
		}
		tenant := s.Ledger().Tenant(CreditTenant)
		if tenant.Lent != 0 {
			rt.Fatalf("funds of %d are lent after the shutdown of all poolers, want 0: %v", tenant.Lent, s.Ledger().AllAccounts())
		}
		maxExcess := s.LostInCrashes // and funds in messages to a process when it crashed
		for _, key := range s.Ledger().AllAccounts() {
			account, _ := s.Ledger().Account(key)
			if maxExcess += account.Outstanding(); !s.PoolerEnded(key.Holder) {
				rt.Fatalf("account %v is open after the graceful shutdown of its process", key)
			}
		}
		if excess := tenant.Spent + tenant.Stranded - s.Served; excess < 0 || excess > maxExcess && s.Pause == 2 { // a process that was replaced during a pause is charged by its mark
			rt.Fatalf("served requests cost %d, but the ledger has %d spent and %d stranded; at most %d were lost in crashes", s.Served, tenant.Spent, tenant.Stranded, maxExcess)
		}
		if s.Lease.PersistMarks && tenant.Stranded != 0 {
			rt.Fatalf("funds of %d are stranded, want 0: the marks of all ended processes were read", tenant.Stranded)
		}
	})
}

// runHistory makes a mutant's random moves, from a seed, until a check fails.
func runHistory(seed uint64, newSystem func() *CreditSystem) error {
	s := newSystem()
	pauses := s.Pause // a process that was replaced during a pause may be charged by its mark, which is more than it used
	rng := rand.New(rand.NewPCG(seed, 1))
	s.Start()
	for range 150 {
		moves := s.Moves()
		if choice := rng.IntN(len(moves) + 1); choice == len(moves) {
			s.Advance()
		} else {
			next, err := moves[choice].Do()
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
	tenant := s.Ledger().Tenant(CreditTenant)
	if tenant.Spent+tenant.Stranded < s.Served || s.Pause == pauses && tenant.Spent > s.Served+s.LostInCrashes {
		return fmt.Errorf("served requests cost %d, but the ledger has %d spent and %d stranded; at most %d were lost in crashes", s.Served, tenant.Spent, tenant.Stranded, s.LostInCrashes)
	}
	if tenant.Lent != 0 {
		return fmt.Errorf("funds of %d are lent after the shutdown of all poolers, want 0", tenant.Lent)
	}
	return nil
}

// TestCreditsMutants guards against checks that cannot fail: random moves must find each mutant, and no error without one.
func TestCreditsMutants(t *testing.T) {
	t.Parallel()
	base := func() *CreditSystem {
		s := NewCreditSystem(3, 2, 12)
		s.Unordered = true
		s.CreditFaults = CreditFaults{NewRequests: 30, Lose: 5, Duplicate: 8, ChangeLeader: 3, Crash: 1, Pause: 1, RepeatPayment: 2}
		return s
	}
	alterResponses := func(do func(s *CreditSystem, response *message.Response)) func(*CreditSystem, int, *CreditMessage) bool {
		return func(s *CreditSystem, to int, msg *CreditMessage) bool {
			msg.Responses = slices.Clone(msg.Responses)
			for i := range msg.Responses {
				do(s, &msg.Responses[i])
			}
			return false
		}
	}
	mutants := map[string]func(s *CreditSystem){
		"none": func(*CreditSystem) {},
		"a later leader grants one more than it has lent": func(s *CreditSystem) {
			s.AlterMessage = alterResponses(func(s *CreditSystem, response *message.Response) {
				if s.leader != 0 && response.Granted > 0 {
					response.Granted++
				}
			})
		},
		"leases count from the arrival of the response": func(s *CreditSystem) { s.Lease.ExpireFromResponse = true },
		"a repeated payment is booked again": func(s *CreditSystem) {
			s.AlterOp = func(op *ledger.Op) {}
			s.RenumbersPayments = true
		},
		"spent funds are returned": func(s *CreditSystem) {
			s.AlterMessage = func(_ *CreditSystem, _ int, msg *CreditMessage) bool {
				msg.Requests = slices.Clone(msg.Requests)
				for i := range msg.Requests {
					if request := &msg.Requests[i]; request.Final {
						request.Spent = 0
					} else {
						request.Returned, request.Spent = request.Returned+request.Spent, 0
					}
				}
				return false
			}
		},
		"requests are settled twice":                              func(s *CreditSystem) { s.SettlementsPerRequest, s.Lease.Classes[0].Max, s.Pause = 2, 2, 0 },
		"a paused process spends after its accounts have expired": func(s *CreditSystem) { s.Lease.Duration *= 4; s.ShortVoterLeases = true },
		"a replacement reads the marks at once":                   func(s *CreditSystem) { s.SuccessorDoesNotWait, s.Pause, s.Crash, s.NewRequests = true, 3, 0, 60 },
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
		t.Logf("%s: after %d histories without an error: %v", name, tries, first)
		if (name == "none") != (found == 0) {
			t.Errorf("mutant %q: %d found after %d histories without an error: %v; want one, or none for \"none\"", name, found, tries, first)
		}
	}
}

// TestCreditsExplored guards against the same failures as TestCreditsRandom in short histories, without leaving any of these to chance: it
// explores the moves of two poolers and three voters with funds for two requests, up to a depth and a number of states.
func TestCreditsExplored(t *testing.T) {
	t.Parallel()
	for name, faults := range map[string]CreditFaults{
		"three requests, one loss":              {NewRequests: 3, Lose: 1},
		"a change of the leader, one duplicate": {NewRequests: 2, ChangeLeader: 1, Duplicate: 1},
		"a crash, and a repeated payment":       {NewRequests: 3, Crash: 1, RepeatPayment: 1},
		"a pause and a replacement":             {NewRequests: 2, Pause: 1},
	} {
		s := NewCreditSystem(3, 2, 2)
		s.CreditFaults = faults
		s.Start()
		result := Run(s, Bounds{Depth: 16, States: 200_000})
		if result.Err != nil {
			t.Fatalf("%s: search failed: %v\n%s", name, result.Err, strings.Join(result.Trace, "\n"))
		}
		t.Logf("%s: %d states, %d steps, depth %d, complete %v", name, result.States, result.Steps, result.Depth, result.Complete)
	}
}
