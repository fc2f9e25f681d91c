package simulation

import (
	"fmt"
	"testing"

	"beechgrade/internal/cluster/raftlog"
	"beechgrade/internal/settings"
	"beechgrade/internal/testkit/checker"
	"beechgrade/internal/testkit/clients"
)

// runPrepaid runs a scenario with two prepaid tenants, the first of which runs out of funds. It checks that no tenant is served for more
// than it paid, and returns the checker, the simulated credit and the hash of the run.
func runPrepaid(t *testing.T, seed uint64, poolers int, funds int64, script string) (*checker.CreditChecker, *Prepaid, string) {
	s := parse(t, fmt.Sprintf(`(rehearsal "credit" (groups 3 3) (peers) (poolers %d) (retries 0) (tenant "a" (share 0.5)) (tenant "b" (share 0.5)) %s)`, poolers, script))
	text := fmt.Sprintf(`(peers (listen "127.0.0.1:1") (key "k")) (agreed (voters "a" "b" "c") (dir "d")) (credit (payment "a" 1 %d) (payment "b" 1 100000000)`, funds)
	check := &checker.CreditChecker{Prices: map[string]int64{}}
	for i := range s.Clients.Classes {
		name := s.Clients.Classes[i].Name
		check.Prices[name] = 10
		text += fmt.Sprintf(` (price %q (request 10))`, name)
	}
	set, err := settings.Parse("x", []byte(text+")"), func(string) string { return "" })
	if err != nil {
		t.Fatalf("parsing the settings of the credit: %v", err)
	}
	credit := &Prepaid{
		Log:         &SharedLog{Settings: raftlog.Defaults(), Voters: 3, Seed: seed, DiskWriteMs: [2]float64{0.1, 2}},
		Settings:    set.Credit,
		MarkWriteMs: [2]float64{0.1, 2},
	}
	check.Paid(0, "a", funds)
	check.Paid(0, "b", 100000000)
	r := runScenario(t, s, Options{Seed: seed, Modules: []ModuleMaker{credit.Join}, OnAttemptEnded: func(a *clients.Attempt) {
		check.AttemptEnded(a.Ended, a.Tenant, a.Class.Name, a.Kind == clients.Served, a.Kind == clients.Refused)
	}})
	if check.CheckFinal(); len(check.Violations) > 0 {
		t.Errorf("seed %d: %d violations of the credit, want none; the first: %v", seed, len(check.Violations), check.Violations[0])
	}
	return check, credit, r.Hash
}

// TestCreditIsNotOverspent: 30 poolers, of which some are killed, cut off and paused, voters among them, while a tenant's funds run out.
// The ledger must account for all that was served, and a second run with the same seed must be identical.
func TestCreditIsNotOverspent(t *testing.T) {
	t.Parallel()
	const funds = 20000
	script := `(rate 150) (seconds 50) (at 10s (kill-pooler 0) (for 2s)) (at 14s (stall-pooler 7) (for 14s)) (at 16s (between (0 1) (2 3 4 5 6 7 8 9) cut) (for 5s)) (at 22s (kill-pooler 9) (for 2s))
		(at 24s (kill-pooler 1) (for 2s))`
	check, credit, hash := runPrepaid(t, 1, 30, funds, script)
	served, _ := check.ServedCost("a", 1e15)
	account := credit.Ledger(2).Tenant("a")
	requested, refused := check.AttemptCounts("b")
	t.Logf("tenant a was served for %d of %d, account %+v; tenant b had %d attempts, of which %d were refused", served, funds, account, requested, refused)
	if served < funds*9/10 || account.Spent+account.Stranded+account.Lent < served || account.Paid != funds {
		t.Errorf("tenant a was served for %d of %d, account %+v; want at least 0.9 used, all of it in the account, and the payment booked", served, funds, account)
	}
	if _, _, again := runPrepaid(t, 1, 30, funds, script); again != hash {
		t.Errorf("hashes %s and %s of two runs with the same seed; want equal ones", hash, again)
	}
}
