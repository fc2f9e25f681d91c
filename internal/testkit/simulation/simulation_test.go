package simulation

import (
	"context"
	"fmt"
	"os"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"beechgrade/internal/testkit/checker"
	"beechgrade/internal/testkit/scenario"
)

func parse(t *testing.T, text string) *scenario.Script {
	t.Helper()
	s, err := scenario.Parse("test", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func play(t *testing.T, s *scenario.Script, opt Options) *Result {
	t.Helper()
	r, err := Run(context.Background(), s, opt)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// everything is a scenario in which every rule is put to the test.
const everything = `(rehearsal "everything" (seconds 40) (poolers 3) (groups 3 3 4) (rate 300) (cold 8s) (cold-by 0.05) (falls 1.5) (roams 0.1)
	(detect 150ms 400ms) (elect 100ms 400ms) (switch 100ms 300ms) (list 200ms 500ms)
	(at 3s (drain member 1 1) (for 8s)) (at 4s (hang primary 0) (for 10s)) (at 9s (die primaries) (for 4s)) (at 12s (load 3) (for 4s))
	(at 15s (lag replica 2 30) (for 8s)) (at 18s (kill-pooler 1) (for 1s)) (at 20s (lose member 1 0 0.3) (for 4s)) (at 22s (list-late 3s) (for 8s))
	(at 24s (die everyone) (for 2s)) (at 26s (load 4) (for 3s)) (at 30s (drain primary 1) (for 5s)) (at 31s (cut 0 primary 2) (for 2s)) (at 33s (stall-pooler 2) (for 400ms))
	(at 34s (mute primary 0) (for 1s)) (at 36s (restart-pooler 0)))`

// lies is a scenario in which Consul says everything wrongly that it can.
const lies = `(rehearsal "lies" (seconds 45) (poolers 3) (groups 3 3 4) (rate 250) (cold 8s) (roams 0.1) (consul 2)
	(detect 150ms 400ms) (elect 3s 4s) (switch 100ms 300ms) (list 200ms 500ms) (roles 4s 6s)
	(at 3s (agent 0 frozen) (for 15s)) (at 4s (die primary 0) (for 12s)) (at 5s (deregister-all) (for 4s)) (at 5s (kill-pooler 0) (for 500ms))
	(at 6s (reissue member 0 1) (for 100ms) (every 400ms)) (at 6100ms (reissue member 0 2) (for 100ms) (every 400ms)) (at 6s (wrong-roles) (for 9s))
	(at 12s (agent 1 empty) (for 3s)) (at 16s (drain member 1 1) (for 5s)) (at 20s (hang primary 2) (for 6s)) (at 20s (agent 1 down) (for 3s)) (at 22s (agent 0 cut) (for 3s))
	(at 26s (fail-check everyone) (for 6s)) (at 28s (agent 0 hang) (for 8s)) (at 30s (die primaries) (for 5s)) (at 33s (kill-pooler 1) (for 400ms)) (at 36s (agent 1 leaderless) (for 5s))
	(at 38s (lag replica 1 30) (for 5s)) (at 39s (list-gone) (for 4s)) (at 40s (drain primary 1) (for 4s)))`

// TestWrongCatalogs: whatever Consul says wrongly, no rule is broken, and service goes on.
func TestWrongCatalogs(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		r := play(t, parse(t, lies), Options{Seed: seed})
		for _, b := range r.Verdict.Breaches {
			t.Errorf("seed %d: %s: %s\n%+v", seed, b.Rule, b.Text, b.Proof)
			break
		}
		for _, rule := range checker.Rules() {
			if r.Verdict.Checked[rule] == 0 {
				t.Errorf("seed %d: %q was never put to the test", seed, rule)
			}
		}
		if r.Score.Ratio < 0.5 {
			t.Errorf("seed %d: service %v", seed, r.Score.Ratio)
		}
	}
	a, b := play(t, parse(t, lies), Options{Seed: 7}), play(t, parse(t, lies), Options{Seed: 7})
	if a.Hash != b.Hash {
		t.Errorf("the same seed, and other events: %s, %s", a.Hash, b.Hash)
	}
}

// TestSameSeedGivesSameRun: the same scenario and seed are the same run to the last event; another seed is not.
func TestSameSeedGivesSameRun(t *testing.T) {
	t.Parallel()
	s := parse(t, everything)
	a, b, c := play(t, s, Options{Seed: 7}), play(t, s, Options{Seed: 7}), play(t, s, Options{Seed: 8})
	if a.Hash != b.Hash || a.Hash == c.Hash {
		t.Errorf("hashes %s, %s and of another seed %s", a.Hash, b.Hash, c.Hash)
	}
	if diff := cmp.Diff(a.Score, b.Score); diff != "" {
		t.Error(diff)
	}
}

// TestRules: through all that goes wrong, the pooler breaks no rule, and each rule was put to the test.
func TestRules(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		r := play(t, parse(t, everything), Options{Seed: seed})
		for _, b := range r.Verdict.Breaches {
			t.Errorf("seed %d: %s: %s\n%+v", seed, b.Rule, b.Text, b.Proof)
			break
		}
		for _, rule := range checker.Rules() {
			if r.Verdict.Checked[rule] == 0 {
				t.Errorf("seed %d: %q was never put to the test", seed, rule)
			}
		}
		for _, b := range r.Score.Breaches {
			if b.Rule != "in time" { // a machine stands still in the midst of it
				t.Errorf("the clients saw %+v", b)
				break
			}
		}
		if r.Score.Ratio < 0.5 || r.Score.Ratio > 0.999 {
			t.Errorf("service %v; it is meant to suffer", r.Score.Ratio)
		}
	}
}

// TestMutants: each pooler that is broken on purpose is caught, by the rule that it breaks.
func TestMutants(t *testing.T) {
	t.Parallel()
	for _, m := range Mutants() {
		t.Run(m.Name, func(t *testing.T) {
			s := parse(t, everything)
			switch {
			case m.ReconcileSettings != nil:
				s = parse(t, lies)
			case m.NeedsIdempotencyKeys:
				s = load(t, "keyed-window")
			}
			r := play(t, s, Options{Seed: 1, Mutant: &m})
			if r.Verdict.Broken[m.Breaks] == 0 {
				t.Errorf("it was not caught: %v of %v", r.Verdict.Broken, r.Verdict.Checked)
			}
			for _, b := range r.Verdict.Breaches {
				if b.Rule == m.Breaks && len(b.Proof) == 0 {
					t.Errorf("a breach without its proof: %+v", b)
				}
			}
		})
	}
}

// TestStartWithoutPrimary plays what drawn faults once found: a pooler starts while its group has no primary, and the late
// list still names one whose position stands still.
func TestStartWithoutPrimary(t *testing.T) {
	t.Parallel()
	text, err := os.ReadFile("../../../example/rehearsals/start-without-primary.sexp")
	if err != nil {
		t.Fatal(err)
	}
	r := play(t, parse(t, string(text)), Options{Seed: 21})
	if !r.Verdict.OK() || r.Verdict.Checked[checker.NotStale] == 0 {
		t.Errorf("broken: %v, put to the test: %v", r.Verdict.Broken, r.Verdict.Checked)
	}
}

// TestForgottenConnections: what lies between forgets connections that rest. Requests are lost on them until the pooler has
// learnt it, and no rule is broken; where the pooler closes them sooner, none is lost.
func TestForgottenConnections(t *testing.T) {
	t.Parallel()
	const calm = `(rehearsal "rest" (seconds 40) (groups 3 3) (rate 25) %s)`
	resets := func(forms string) uint64 {
		r := play(t, parse(t, fmt.Sprintf(calm, forms)), Options{Seed: 3})
		if !r.Verdict.OK() || r.Score.Ratio < 0.9 {
			t.Errorf("%q: service %v, broken: %v", forms, r.Score.Ratio, r.Verdict.Broken)
		}
		return r.AttemptsByResult["reset"]
	}
	if never, often, spared := resets(""), resets("(forgets 400ms)"), resets("(forgets 400ms) (idle 400ms)"); never != 0 || often < 20 || spared != 0 {
		t.Errorf("%d resets where nothing is forgotten, %d where it is, %d where connections are closed before", never, often, spared)
	}
}

// TestFewDescriptors: a pooler never has more connections than its descriptors allow, and serves all the same.
func TestFewDescriptors(t *testing.T) {
	t.Parallel()
	const many = `(rehearsal "descriptors" (seconds 10) (groups-of 20 3) (rate 400) (sessions 2000) %s)`
	free := play(t, parse(t, fmt.Sprintf(many, "")), Options{Seed: 4})
	few := play(t, parse(t, fmt.Sprintf(many, "(descriptors 128)")), Options{Seed: 4})
	if most := maxServerConnections(128); few.MaxPoolerConnections != most || free.MaxPoolerConnections <= 2*most {
		t.Errorf("%d connections where %d may be, %d where as many as it likes", few.MaxPoolerConnections, most, free.MaxPoolerConnections)
	}
	if !few.Verdict.OK() || few.Score.Ratio < 0.7 {
		t.Errorf("service %v, broken: %v", few.Score.Ratio, few.Verdict.Broken)
	}
}

// house has peers of a column store, one of which is far behind, and the faults that befall them.
const house = `(rehearsal "house" (clickhouse) (seconds 14) (poolers 3) (groups 4) (rate 150) (cold 6s) (class "painel" (bound 3s)) (at 1s (lag member 0 1 60) (for 9s))
	(at 3s (hang member 0 0) (for 2s)) (at 5s (load 1.6) (for 2s)) (at 6s (drain member 0 2) (for 3s)) (at 8s (die member 0 3) (for 2s)))`

// TestClickHouseInterface: the decisions behind the ClickHouse front, where every member takes writes and only probes tell how far behind one
// is: no rule broken, each put to the test that can be, and the same run twice. What repeats a write or hears of no drain is
// caught there too.
func TestClickHouseInterface(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		r := play(t, parse(t, house), Options{Seed: seed})
		for _, b := range r.Verdict.Breaches {
			t.Errorf("seed %d: %s: %s\n%+v", seed, b.Rule, b.Text, b.Proof)
			break
		}
		for _, rule := range []checker.Rule{checker.OneAnswer, checker.NotTwice, checker.DrainsKept, checker.ColdSpared, checker.NotStale, checker.NoInvented} {
			if r.Verdict.Checked[rule] == 0 {
				t.Errorf("seed %d: %q was never put to the test", seed, rule)
			}
		}
		if r.Score.Ratio < 0.9 {
			t.Errorf("seed %d: service %v", seed, r.Score.Ratio)
		}
	}
	a, b := play(t, parse(t, house), Options{Seed: 7}), play(t, parse(t, house), Options{Seed: 7})
	if a.Hash != b.Hash {
		t.Errorf("the same seed, and other events: %s, %s", a.Hash, b.Hash)
	}
	for _, m := range Mutants() {
		switch m.Name {
		case "hears of no drains", "takes writes for safe to repeat", "answers twice":
			r := play(t, parse(t, house), Options{Seed: 1, Mutant: &m})
			if !slices.ContainsFunc(r.Verdict.Breaches, func(b checker.Breach) bool { return b.Rule == m.Breaks }) {
				t.Errorf("%q is not caught", m.Name)
			}
		}
	}
}

// TestStalledPoolers: poolers stand still and wake while primaries are replaced and replicas fall behind; what waited in their sockets
// is no news, and no read is staler than it may be.
func TestStalledPoolers(t *testing.T) {
	t.Parallel()
	s := load(t, "stalled-poolers")
	for seed := range uint64(4) {
		r := play(t, s, Options{Seed: seed})
		for _, b := range r.Verdict.Breaches {
			t.Errorf("seed %d: %s: %s\n%+v", seed, b.Rule, b.Text, b.Proof)
			break
		}
		if r.Verdict.Checked[checker.NotStale] < 1000 {
			t.Errorf("seed %d: %d reads were held to an age", seed, r.Verdict.Checked[checker.NotStale])
		}
	}
}
