package main

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	jsoniter "github.com/json-iterator/go"

	"beechgrade/internal/testkit/checker"
	"beechgrade/internal/testkit/clients"
	"beechgrade/internal/testkit/rehearse"
	"beechgrade/internal/testkit/scenario"
)

// creditRun is a rehearsal of 8 processes, three or five of which vote, and two tenants with prepaid credit.
type creditRun struct {
	voters        int
	funds         int64  // of tenant a; tenant b has more than it can spend
	extraSettings string // appended to the credit settings
	script        string
	rate          float64
	payments      []creditPayment // during the run

	halvePriceAt float64 // ms; from this time on a request costs half
	killed       func(disk, pooler string)
}

// creditPayment is a payment of tenant a that some poolers read from their settings.
type creditPayment struct {
	at      float64 // ms
	number  int
	amount  int64
	poolers []int
}

const creditPrice = 10

var creditClasses = []string{"quadro-obra", "conferir-ponto", "relatorio-mes", "registrar-ponto"}

// run executes the rehearsal and checks what the clients saw against what was paid.
func (r creditRun) run(t testing.TB) (*checker.CreditChecker, *rehearse.Result) {
	t.Helper()
	dir := t.TempDir()
	names := ""
	for i := range r.voters {
		names += fmt.Sprintf(" %q", fmt.Sprintf("pooler-%d", i))
	}
	s, err := scenario.Parse("script", []byte(fmt.Sprintf(`(rehearsal "credit" %s (retries 0) (tenant "a" (share 0.5)) (tenant "b" (share 0.5)) %s)`, fastFleet, r.script)))
	if err != nil {
		t.Fatalf("parse the scenario: %v", err)
	}
	if s.Clients.Rate = r.rate; r.rate == 0 {
		s.Clients.Rate = 100
	}
	disks := filepath.Join(dir, "disks")
	price := int64(creditPrice)
	settings := func(payments ...creditPayment) string {
		text := fmt.Sprintf("(agreed (voters%s) (dir \"%s/$POOLER\") (tick 50ms) (election 12) (heartbeat 2) (every 400) (keep 100))\n(credit (unit \"cent\") (lease 3s) (renew 500ms) (files %q) (payment \"b\" 1 1000000) (payment \"a\" 1 %d) %s",
			names, disks, filepath.Join(dir, "marks"), r.funds, r.extraSettings)
		for _, c := range creditClasses {
			text += fmt.Sprintf(" (price %q (request %d))", c, price)
		}
		seen := map[int]bool{}
		for _, x := range payments {
			if seen[x.number] {
				continue
			}
			seen[x.number] = true
			text += fmt.Sprintf(" (payment \"a\" %d %d)", x.number, x.amount)
		}
		return text + ")\n"
	}
	opt := rehearse.Options{Seed: 5, Out: dir, Daemon: daemon, Log: slog.New(slog.DiscardHandler), Operators: settings()}
	creditChecker := &checker.CreditChecker{Prices: map[string]int64{}}
	for _, x := range creditClasses {
		creditChecker.Prices[x] = creditPrice
	}
	for i, x := range r.payments {
		opt.Reloads = append(opt.Reloads, rehearse.Reload{AtMs: x.at, Poolers: x.poolers, Operators: settings(r.payments[:i+1]...)})
	}
	if r.halvePriceAt > 0 { // the checker uses the lower of both prices
		price = creditPrice / 2
		opt.Reloads = append(opt.Reloads, rehearse.Reload{AtMs: r.halvePriceAt, Poolers: []int{0, 1, 2, 3, 4, 5, 6, 7}, Operators: settings()})
		for _, x := range creditClasses {
			creditChecker.Prices[x] = price
		}
	}
	if r.killed != nil {
		opt.Killed = func(pooler string) { r.killed(filepath.Join(disks, pooler), pooler) }
	}
	res, err := rehearse.Execute(context.Background(), s, opt)
	if err != nil {
		t.Fatalf("run the rehearsal: %v", err)
	}
	creditChecker.Paid(0, "a", r.funds)
	seen := map[int]bool{}
	for _, x := range r.payments {
		if !seen[x.number] {
			seen[x.number] = true
			creditChecker.Paid(res.FromMs+x.at, "a", x.amount)
		}
	}
	creditChecker.Paid(0, "b", 1_000_000)
	reportBreach(t, res)
	f, err := os.Open(filepath.Join(dir, rehearse.AttemptsFile))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	for in := bufio.NewScanner(f); in.Scan(); {
		var l rehearse.AttemptLine
		if err := jsoniter.Unmarshal(in.Bytes(), &l); err != nil {
			t.Fatalf("decode a line of the clients' attempts: %v", err)
		}
		creditChecker.AttemptEnded(l.Ended, l.Tenant, l.Class, l.Kind == clients.Served, l.Kind == clients.Refused)
	}
	if creditChecker.CheckFinal(); len(creditChecker.Violations) > 0 {
		t.Error(creditChecker.Violations[0])
	}
	logs, err := filepath.Glob(filepath.Join(dir, "pooler-*", "log.txt"))
	if err != nil || len(logs) != 8 {
		t.Fatalf("logs of the poolers: got %v, %v, want 8", logs, err)
	}
	for _, name := range logs {
		b, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for line := range strings.Lines(string(b)) {
			if i := strings.Index(line, "msg=\"credit: "); i >= 0 {
				t.Log(filepath.Base(filepath.Dir(name)), strings.TrimSpace(line[i:]))
			}
		}
	}
	for _, tenant := range []string{"a", "b"} {
		n, _ := creditChecker.ServedCost(tenant, res.ToMs+60000)
		requests, refused := creditChecker.AttemptCounts(tenant)
		t.Logf("tenant %s: %d requests, %d refused, cost of those served: %d", tenant, requests, refused, n)
	}
	return creditChecker, res
}

// TestFleetCreditLeaderCrashes guards against credit that is lost or spent twice when a leader crashes in any step of a loan: each voter is
// killed in turn, the leader among them, while the funds of a tenant run out. Then one pooler that does not vote reads a payment, twice.
func TestFleetCreditLeaderCrashes(t *testing.T) {
	t.Parallel()
	const paidAt = 14000
	c, res := creditRun{voters: 3, funds: 4000, script: `(seconds 20) (at 2s (kill-pooler 0) (for 1s)) (at 4500ms (kill-pooler 1) (for 1s)) (at 7s (kill-pooler 2) (for 1s)) (at 8s (kill-pooler 6) (for 1s))`,
		payments: []creditPayment{{paidAt, 2, 1000, []int{7}}, {paidAt + 500, 2, 1000, []int{7, 3}}, {paidAt + 1000, 2, 1000, []int{0, 1, 2, 4, 5, 6}}}}.run(t)
	before, next := c.ServedCost("a", res.FromMs+paidAt)
	if before < 3600 {
		t.Errorf("%d of 4000 were used before the second payment, want at least 3600", before)
	}
	if delay := next - res.FromMs - paidAt; next == 0 {
		t.Error("the payment never became available, want it within 2500 ms")
	} else if delay > 2500 {
		t.Errorf("the payment became available after %.0f ms, want at most 2500 ms", delay)
	} else {
		t.Logf("the payment became available after %.0f ms", delay)
	}
}

// TestFleetCreditPartition guards against overspending in a partition: of five voters two are cut off from three, with demand on both sides
// and funds that run out meanwhile. Then a payment is read on the side without a majority, and becomes available once the partition has
// healed.
func TestFleetCreditPartition(t *testing.T) {
	t.Parallel()
	c, res := creditRun{voters: 5, funds: 3500, script: `(seconds 24) (at 4s (between (0 1 5) (2 3 4 6 7) cut) (for 9s)) (at 15s (between all all (lose 0.2) (duplicate 0.2) (reorder 0.2)) (for 5s))`,
		payments: []creditPayment{{11000, 2, 1500, []int{5}}}}.run(t)
	if used, _ := c.ServedCost("a", res.FromMs+22000); used < 4000 {
		t.Errorf("%d of 5000 were used by tenant a, want at least 4000", used)
	}
}

// TestFleetCreditStalledPoolers guards against credit that is spent twice: poolers are stalled until after their leases have expired, and
// resume.
func TestFleetCreditStalledPoolers(t *testing.T) {
	t.Parallel()
	c, res := creditRun{voters: 3, funds: 4500, script: `(seconds 22) (at 3s (stall-pooler 5) (for 6s)) (at 4s (stall-pooler 0) (for 6s)) (at 11s (stall-pooler 1) (for 5s)) (at 11s (stall-pooler 6) (for 5s))`}.run(t)
	if used, _ := c.ServedCost("a", res.ToMs); used < 4000 {
		t.Errorf("%d of 4500 were used by tenant a, want at least 4000", used)
	}
}

// TestFleetCreditDiskLoss guards against payments or spending that are forgotten in a crash: all processes are killed and restart on their
// disks, one of them without its disk and one with an incomplete tail.
func TestFleetCreditDiskLoss(t *testing.T) {
	t.Parallel()
	var kills string
	for i := range 8 {
		kills += fmt.Sprintf(" (at 6s (kill-pooler %d) (for 500ms))", i)
	}
	c, res := creditRun{voters: 3, funds: 4000, script: `(seconds 22)` + kills,
		killed: func(disk, pooler string) {
			switch pooler {
			case "pooler-1":
				_ = os.RemoveAll(disk)
			case "pooler-2":
				damage(t, disk, func(b []byte) []byte { return append(b, 40, 0, 0, 0, 1, 2, 3) })
			}
		}}.run(t)
	if used, _ := c.ServedCost("a", res.ToMs); used < 3000 {
		t.Errorf("%d of 4000 were used by tenant a, want at least 3000", used)
	}
}

// TestFleetCreditFundsForTenRequests guards against overspending of a small balance: eight processes compete for funds for ten requests.
func TestFleetCreditFundsForTenRequests(t *testing.T) {
	t.Parallel()
	c, res := creditRun{voters: 3, funds: 10 * creditPrice, script: `(seconds 8)`}.run(t)
	if used, _ := c.ServedCost("a", res.ToMs); used != 10*creditPrice {
		t.Errorf("%d of %d were used by tenant a, want all", used, 10*creditPrice)
	}
}

// TestFleetCreditPriceChangeDuringRestarts guards against requests that are charged at another price than the one at which they were
// admitted: the voters restart one at a time under load, while prices are halved midway at all poolers.
func TestFleetCreditPriceChangeDuringRestarts(t *testing.T) {
	t.Parallel()
	const funds, halvePriceAt = 6000, 9000
	c, res := creditRun{voters: 3, funds: funds, halvePriceAt: halvePriceAt,
		script: `(seconds 20) (at 3s (restart-pooler 0)) (at 7s (restart-pooler 1)) (at 11s (restart-pooler 2)) (at 14s (restart-pooler 5))`}.run(t)
	before, _ := c.ServedCost("a", res.FromMs+halvePriceAt)
	all, _ := c.ServedCost("a", res.ToMs)
	const tolerance = 20 * creditPrice // requests in progress, or at poolers that read the new prices later
	if used := before + all; used < funds*9/10 || used > funds+tolerance {
		t.Errorf("%d of %d were used by tenant a, %d of them at the old price; want %d to %d", used, funds, 2*before, funds*9/10, funds+tolerance)
	}
}
