package simulation

import (
	"os"
	"strconv"
	"strings"
	"testing"

	"beechgrade/internal/testkit/checker"
	"beechgrade/internal/testkit/scenario"
)

// monthEnd plays the month-end of a fleet, smaller where shorter forms say so, and holds it to all promises.
func monthEnd(t *testing.T, s *scenario.Script, opt Options) *Result {
	t.Helper()
	r := play(t, s, opt)
	norte := r.Funds[0]
	t.Logf("seed %d: service %.3f, %.2f probes a try; %s paid %d, served for %d, stranded %d; %+v", opt.Seed, r.Score.Ratio, float64(r.HealthChecks)/float64(r.ClientAttempts), norte.Tenant, norte.Paid, norte.ServedCost,
		norte.Stranded, *r.Pages)
	return r
}

// short is the scenario with fewer poolers and groups, in a third of the time.
func short(t *testing.T, overload string) *scenario.Script {
	return parse(t, `(rehearsal "month-end, short" (seconds 9) (poolers 24) (groups 3 3 3) (rate 180) (roams 0.6) (retries 3) (retry 20ms 120ms)
		(tenant "norte" (share 0.3)) (tenant "sul" (share 0.7)) (peers) (overload (shed yes) `+overload+`) (agreed (voters 3))
		(credit (lease 3s) (renew 500ms) (price "quadro-obra" (request 10)) (price "conferir-ponto" (request 20)) (price "relatorio-mes" (request 20)) (price "registrar-ponto" (request 10))
			(payment "norte" 1 3000) (payment "sul" 1 100000000))
		(pages (class "conferir-ponto") (tenant "sul") (rows 40) (page 25) (readers 3) (think 20ms) (changes 40))
		(at 2s (load 2) (for 4s)) (at 2500ms (between (part 0 0.4) (part 0.4 1) cut) (for 2s)) (at 3s (kill-pooler 2) (for 1s)) (at 5s (kill-pooler 6) (for 1s)) (at 6s (pay "norte" 2 6000 3)))`)
}

// mostProbes bounds the probes for each try, of the short one.
const mostProbes = 0.19

// TestMonthEndUnshared: without shared probes the short month-end is beyond their bound.
func TestMonthEndUnshared(t *testing.T) {
	t.Parallel()
	if r := monthEnd(t, short(t, "(probes (share no))"), Options{Seed: 1}); float64(r.HealthChecks) < mostProbes*float64(r.ClientAttempts) {
		t.Errorf("%d probes for %d tries", r.HealthChecks, r.ClientAttempts)
	}
}

// TestMonthEnd: all of it at once, at a few seeds; BEECHGRADE_MONTH_END names how many more of the whole one at 150 poolers are to be played.
func TestMonthEnd(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 3; seed++ {
		r := monthEnd(t, short(t, ""), Options{Seed: seed})
		if v := r.Verdict; len(v.Breaches) > 0 {
			t.Errorf("seed %d: %v: %s", seed, v.Broken, v.Breaches[0].Text)
		}
		if f := r.Funds[0]; f.ServedCost < f.Paid*9/10 || f.Rejected == 0 {
			t.Errorf("seed %d: of %d paid %d were used, %d tries refused", seed, f.Paid, f.ServedCost, f.Rejected)
		}
		if p := r.Pages; p.Pages < 40 || p.Reports < 3 || p.ByPoolers < 20 {
			t.Errorf("seed %d: %+v", seed, *p)
		}
		if r.Score.Ratio < 0.55 || float64(r.HealthChecks) > mostProbes*float64(r.ClientAttempts) {
			t.Errorf("seed %d: service %.3f, %d probes for %d tries", seed, r.Score.Ratio, r.HealthChecks, r.ClientAttempts)
		}
	}
	more, _ := strconv.ParseUint(os.Getenv("BEECHGRADE_MONTH_END"), 10, 64)
	for seed := range more {
		s, err := scenario.Load("../../../example/rehearsals/month-end-fleet.sexp")
		if err != nil {
			t.Fatal(err)
		}
		if r := monthEnd(t, s, Options{Seed: seed + 1}); len(r.Verdict.Breaches) > 0 {
			t.Errorf("seed %d: %v: %s", seed+1, r.Verdict.Broken, r.Verdict.Breaches[0].Text)
		}
	}
}

// TestMonthEndUnderFaults: the drawn plays of example/experiments/month-end-chaos.sexp at which a pooler's own probe, which it had made for others alone, told that
// a server is a replica now, and the module was not told: it sent a write there.
func TestMonthEndUnderFaults(t *testing.T) {
	t.Parallel()
	b, err := os.ReadFile("../../../example/rehearsals/month-end-fleet.sexp")
	if err != nil {
		t.Fatal(err)
	}
	const whole, drawn = "(seconds 24) (poolers 150)", `(seconds 18) (poolers 24) (at 3s (lag replica 1 6) (for 8s))
		(chaos 6 2s 14s die hang drain deaf mute lose crowd lag kill-pooler restart-pooler stall-pooler parted unheard lossy slow)`
	if !strings.Contains(string(b), whole) {
		t.Fatal("the scenario has another size")
	}
	for _, seed := range []uint64{19, 53} {
		if r := monthEnd(t, parse(t, strings.Replace(string(b), whole, drawn, 1)), Options{Seed: seed}); len(r.Verdict.Breaches) > 0 || r.Verdict.Checked[checker.NotDenied] == 0 {
			t.Errorf("seed %d: %v", seed, r.Verdict.Broken)
		}
	}
}

// TestPageMutants: a pooler that forgets a cursor's positions, leaves a row out or gives one again breaks the rule that it is to break.
func TestPageMutants(t *testing.T) {
	t.Parallel()
	s := parse(t, `(rehearsal "pages" (seconds 4) (poolers 4) (groups 3 3) (rate 60) (ship 5ms 80ms) (apply 6ms) (at 0s (lag replica 0 4)) (at 1s (lag replica 1 4))
		(pages (class "conferir-ponto") (rows 60) (page 11) (readers 3) (think 5ms) (changes 60)))`)
	for _, m := range PageMutants() {
		if r := play(t, s, Options{Seed: 1, Mutant: &m}); r.Verdict.Broken[m.Breaks] == 0 {
			t.Errorf("%s: %q is not broken: %v, %+v", m.Name, m.Breaks, r.Verdict.Broken, *r.Pages)
		}
	}
	whole := play(t, s, Options{Seed: 1})
	if len(whole.Verdict.Breaches) > 0 || whole.Verdict.Checked[checker.PagesOnce] < 200 {
		t.Errorf("without a mutant: %v", whole.Verdict.Broken)
	}
}

// TestWrittenScriptGivesTheSameRun: a scenario with all that the month-end has and faults drawn beside it, written down and read again, is the same play to the bit.
func TestWrittenScriptGivesTheSameRun(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		s := short(t, "")
		s.Clients.Seconds, s.Poolers, s.Clients.Rate = 7.5, 9, 60
		s.Chaos = scenario.Chaos{
			Faults: 9,
			From:   1000,
			To:     6500,
			Kinds:  []string{"die", "lag", "lossy", "parted", "unheard", "slow", "kill-pooler", "stall-pooler", "list-late", "cut", "thin"},
		}
		s, err := s.Draw(seed)
		if err != nil {
			t.Fatal(err)
		}
		if a, b := play(t, s, Options{Seed: seed}), play(t, parse(t, s.Text()), Options{Seed: seed}); a.Hash != b.Hash || a.ClientAttempts == 0 {
			t.Errorf("seed %d: %d and %d tries, another play of\n%s", seed, a.ClientAttempts, b.ClientAttempts, s.Text())
		}
	}
}
