package simulation

import (
	"fmt"
	"testing"

	"beechgrade/internal/cluster/raftlog"
	"beechgrade/internal/settings"
	"beechgrade/internal/testkit/checker"
	"beechgrade/internal/testkit/clients"
)

// prepaid plays a script on so many poolers with two tenants that pay ahead, one of which runs out; what clients were served is held to what was paid.
func prepaid(t *testing.T, seed uint64, poolers int, funds int64, script string) (*checker.CreditChecker, *Prepaid, string) {
	s := parse(t, fmt.Sprintf(`(rehearsal "credit" (groups 3 3) (peers) (poolers %d) (retries 0) (tenant "a" (share 0.5)) (tenant "b" (share 0.5)) %s)`, poolers, script))
	text := fmt.Sprintf(`(peers (listen "127.0.0.1:1") (key "k")) (agreed (voters "a" "b" "c") (dir "d")) (credit (payment "a" 1 %d) (payment "b" 1 100000000)`, funds)
	c := &checker.CreditChecker{Prices: map[string]int64{}}
	for i := range s.Clients.Classes {
		name := s.Clients.Classes[i].Name
		c.Prices[name] = 10
		text += fmt.Sprintf(` (price %q (request 10))`, name)
	}
	set, err := settings.Parse("x", []byte(text+")"), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	x := &Prepaid{
		Log:         &SharedLog{Settings: raftlog.Defaults(), Voters: 3, Seed: seed, DiskWriteMs: [2]float64{0.1, 2}},
		Settings:    set.Credit,
		MarkWriteMs: [2]float64{0.1, 2},
	}
	c.Paid(0, "a", funds)
	c.Paid(0, "b", 100000000)
	r := play(t, s, Options{Seed: seed, Modules: []ModuleMaker{x.Join}, OnAttemptEnded: func(y *clients.Attempt) {
		c.AttemptEnded(y.Ended, y.Tenant, y.Class.Name, y.Kind == clients.Served, y.Kind == clients.Refused)
	}})
	if c.CheckFinal(); len(c.Violations) > 0 {
		t.Error(c.Violations[0])
	}
	return c, x, r.Hash
}

// TestCreditIsNotOverspent: 30 poolers, voters killed, cut off and stopped while funds run out; the books know of all that was served, and the same
// seed is the same to the bit.
func TestCreditIsNotOverspent(t *testing.T) {
	t.Parallel()
	const funds = 20000
	script := `(rate 150) (seconds 50) (at 10s (kill-pooler 0) (for 2s)) (at 14s (stall-pooler 7) (for 14s)) (at 16s (between (0 1) (2 3 4 5 6 7 8 9) cut) (for 5s)) (at 22s (kill-pooler 9) (for 2s))
		(at 24s (kill-pooler 1) (for 2s))`
	c, x, hash := prepaid(t, 1, 30, funds, script)
	used, _ := c.ServedCost("a", 1e15)
	b := x.Ledger(2).Tenant("a")
	asked, turned := c.AttemptCounts("b")
	t.Logf("a was served for %d of %d, books %+v; b asked %d times and was refused %d times", used, funds, b, asked, turned)
	if used < funds*9/10 || b.Spent+b.Stranded+b.Lent < used || b.Paid != funds {
		t.Errorf("served for %d, books %+v", used, b)
	}
	if _, _, again := prepaid(t, 1, 30, funds, script); again != hash {
		t.Error("the same seed, and other events")
	}
}
