package simulation

import (
	"os"
	"strconv"
	"strings"
	"testing"

	"beechgrade/internal/testkit/checker"
	"beechgrade/internal/testkit/scenario"
)

// runMonthEnd runs a month-end scenario and logs its service, health checks, first account and pages.
func runMonthEnd(t *testing.T, s *scenario.Script, opt Options) *Result {
	t.Helper()
	r := runScenario(t, s, opt)
	account := r.Funds[0]
	t.Logf("seed %d: service %.3f, %.2f health checks per attempt; tenant %s paid %d, served for %d, stranded %d; %+v", opt.Seed, r.Score.Ratio, float64(r.HealthChecks)/float64(r.ClientAttempts), account.Tenant, account.Paid, account.ServedCost,
		account.Stranded, *r.Pages)
	return r
}

// shortMonthEnd is the month-end scenario with fewer poolers and groups, in a third of the time.
func shortMonthEnd(t *testing.T, overload string) *scenario.Script {
	return parse(t, `(rehearsal "month-end, short" (seconds 9) (poolers 24) (groups 3 3 3) (rate 180) (roams 0.6) (retries 3) (retry 20ms 120ms)
		(tenant "norte" (share 0.3)) (tenant "sul" (share 0.7)) (peers) (overload (shed yes) `+overload+`) (agreed (voters 3))
		(credit (lease 3s) (renew 500ms) (price "quadro-obra" (request 10)) (price "conferir-ponto" (request 20)) (price "relatorio-mes" (request 20)) (price "registrar-ponto" (request 10))
			(payment "norte" 1 3000) (payment "sul" 1 100000000))
		(pages (class "conferir-ponto") (tenant "sul") (rows 40) (page 25) (readers 3) (think 20ms) (changes 40))
		(at 2s (load 2) (for 4s)) (at 2500ms (between (part 0 0.4) (part 0.4 1) cut) (for 2s)) (at 3s (kill-pooler 2) (for 1s)) (at 5s (kill-pooler 6) (for 1s)) (at 6s (pay "norte" 2 6000 3)))`)
}

// maxHealthChecksPerAttempt is the bound on health checks per attempt of a client, in the short scenario.
const maxHealthChecksPerAttempt = 0.19

// TestMonthEndWithoutSharedHealthChecks: without shared health checks the short scenario exceeds the bound on them, so that the bound can
// detect that sharing does not work.
func TestMonthEndWithoutSharedHealthChecks(t *testing.T) {
	t.Parallel()
	if r := runMonthEnd(t, shortMonthEnd(t, "(probes (share no))"), Options{Seed: 1}); float64(r.HealthChecks) < maxHealthChecksPerAttempt*float64(r.ClientAttempts) {
		t.Errorf("%d health checks for %d attempts; want more than the bound of %v for each", r.HealthChecks, r.ClientAttempts, maxHealthChecksPerAttempt)
	}
}

// TestMonthEnd runs overload, credit, pages, partitions and restarts together, at a few seeds. BEECHGRADE_MONTH_END is the number of seeds at
// which the full scenario with 150 poolers runs as well.
func TestMonthEnd(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 3; seed++ {
		r := runMonthEnd(t, shortMonthEnd(t, ""), Options{Seed: seed})
		if v := r.Verdict; len(v.Breaches) > 0 {
			t.Errorf("seed %d: broken rules: %v; want none; the first breach: %s", seed, v.Broken, v.Breaches[0].Text)
		}
		if f := r.Funds[0]; f.ServedCost < f.Paid*9/10 || f.Rejected == 0 {
			t.Errorf("seed %d: tenant %s paid %d and was served for %d, %d attempts refused; want at least 0.9 used and some refused", seed, f.Tenant, f.Paid, f.ServedCost, f.Rejected)
		}
		if p := r.Pages; p.Pages < 40 || p.Reports < 3 || p.ByPoolers < 20 {
			t.Errorf("seed %d: pages: %+v; want at least 40 pages and 3 reports, from at least 20 poolers", seed, *p)
		}
		if r.Score.Ratio < 0.55 || float64(r.HealthChecks) > maxHealthChecksPerAttempt*float64(r.ClientAttempts) {
			t.Errorf("seed %d: service %.3f, %d health checks for %d attempts; want at least 0.55, and at most 0.19 health checks per attempt", seed, r.Score.Ratio, r.HealthChecks, r.ClientAttempts)
		}
	}
	fullSeeds, _ := strconv.ParseUint(os.Getenv("BEECHGRADE_MONTH_END"), 10, 64)
	for seed := range fullSeeds {
		s, err := scenario.Load("../../../example/rehearsals/month-end-fleet.sexp")
		if err != nil {
			t.Fatalf("loading the scenario: %v", err)
		}
		if r := runMonthEnd(t, s, Options{Seed: seed + 1}); len(r.Verdict.Breaches) > 0 {
			t.Errorf("seed %d: broken rules: %v; want none; the first breach: %s", seed+1, r.Verdict.Broken, r.Verdict.Breaches[0].Text)
		}
	}
}

// TestMonthEndUnderFaults runs two cases of example/experiments/month-end-chaos.sexp in which a write went to a replica: a pooler had made a
// health check only on behalf of others, which showed that the server was a replica now, but had not told its own decision module.
func TestMonthEndUnderFaults(t *testing.T) {
	t.Parallel()
	b, err := os.ReadFile("../../../example/rehearsals/month-end-fleet.sexp")
	if err != nil {
		t.Fatalf("reading the scenario: %v", err)
	}
	const size, faults = "(seconds 24) (poolers 150)", `(seconds 18) (poolers 24) (at 3s (lag replica 1 6) (for 8s))
		(chaos 6 2s 14s die hang drain deaf mute lose crowd lag kill-pooler restart-pooler stall-pooler parted unheard lossy slow)`
	if !strings.Contains(string(b), size) {
		t.Fatalf("month-end-fleet.sexp does not contain %q, which this test replaces", size)
	}
	for _, seed := range []uint64{19, 53} {
		if r := runMonthEnd(t, parse(t, strings.Replace(string(b), size, faults, 1)), Options{Seed: seed}); len(r.Verdict.Breaches) > 0 || r.Verdict.Checked[checker.NotDenied] == 0 {
			t.Errorf("seed %d: rule %q checked %d times, broken rules: %v; want some checks and none broken", seed, checker.NotDenied, r.Verdict.Checked[checker.NotDenied], r.Verdict.Broken)
		}
	}
}

// TestPageMutants: a pooler that loses a cursor's positions, omits a row or repeats one breaks the rule of its mutant, and without a mutant no
// rule is broken.
func TestPageMutants(t *testing.T) {
	t.Parallel()
	s := parse(t, `(rehearsal "pages" (seconds 4) (poolers 4) (groups 3 3) (rate 60) (ship 5ms 80ms) (apply 6ms) (at 0s (lag replica 0 4)) (at 1s (lag replica 1 4))
		(pages (class "conferir-ponto") (rows 60) (page 11) (readers 3) (think 5ms) (changes 60)))`)
	for _, m := range PageMutants() {
		if r := runScenario(t, s, Options{Seed: 1, Mutant: &m}); r.Verdict.Broken[m.Breaks] == 0 {
			t.Errorf("mutant %s: rule %q is not broken; broken rules: %v; pages: %+v", m.Name, m.Breaks, r.Verdict.Broken, *r.Pages)
		}
	}
	unchanged := runScenario(t, s, Options{Seed: 1})
	if len(unchanged.Verdict.Breaches) > 0 || unchanged.Verdict.Checked[checker.PagesOnce] < 200 {
		t.Errorf("without a mutant: rule %q checked %d times, broken rules: %v; want at least 200 checks and none broken", checker.PagesOnce, unchanged.Verdict.Checked[checker.PagesOnce], unchanged.Verdict.Broken)
	}
}

// TestWrittenScriptGivesTheSameRun: the short month-end with random faults gives an identical run after it has been written as text and
// parsed again. A difference means that the text omits or alters a setting.
func TestWrittenScriptGivesTheSameRun(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		s := shortMonthEnd(t, "")
		s.Clients.Seconds, s.Poolers, s.Clients.Rate = 7.5, 9, 60
		s.Chaos = scenario.Chaos{
			Faults: 9,
			From:   1000,
			To:     6500,
			Kinds:  []string{"die", "lag", "lossy", "parted", "unheard", "slow", "kill-pooler", "stall-pooler", "list-late", "cut", "thin"},
		}
		s, err := s.Draw(seed)
		if err != nil {
			t.Fatalf("drawing the faults with seed %d: %v", seed, err)
		}
		if a, b := runScenario(t, s, Options{Seed: seed}), runScenario(t, parse(t, s.Text()), Options{Seed: seed}); a.Hash != b.Hash || a.ClientAttempts == 0 {
			t.Errorf("seed %d: hashes %s and %s, %d and %d attempts; want identical runs of\n%s", seed, a.Hash, b.Hash, a.ClientAttempts, b.ClientAttempts, s.Text())
		}
	}
}
