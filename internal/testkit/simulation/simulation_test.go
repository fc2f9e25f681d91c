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

// parse parses a scenario.
func parse(t *testing.T, text string) *scenario.Script {
	t.Helper()
	s, err := scenario.Parse("test", []byte(text))
	if err != nil {
		t.Fatalf("parsing the scenario: %v", err)
	}
	return s
}

// runScenario runs a scenario and fails the test at once if it cannot run. Broken rules are in the result.
func runScenario(t *testing.T, s *scenario.Script, opt Options) *Result {
	t.Helper()
	r, err := Run(context.Background(), s, opt)
	if err != nil {
		t.Fatalf("running the scenario with seed %d: %v", opt.Seed, err)
	}
	return r
}

// allRules is a scenario in which every rule is checked.
const allRules = `(rehearsal "everything" (seconds 40) (poolers 3) (groups 3 3 4) (rate 300) (cold 8s) (cold-by 0.05) (falls 1.5) (roams 0.1)
	(detect 150ms 400ms) (elect 100ms 400ms) (switch 100ms 300ms) (list 200ms 500ms)
	(at 3s (drain member 1 1) (for 8s)) (at 4s (hang primary 0) (for 10s)) (at 9s (die primaries) (for 4s)) (at 12s (load 3) (for 4s))
	(at 15s (lag replica 2 30) (for 8s)) (at 18s (kill-pooler 1) (for 1s)) (at 20s (lose member 1 0 0.3) (for 4s)) (at 22s (list-late 3s) (for 8s))
	(at 24s (die everyone) (for 2s)) (at 26s (load 4) (for 3s)) (at 30s (drain primary 1) (for 5s)) (at 31s (cut 0 primary 2) (for 2s)) (at 33s (stall-pooler 2) (for 400ms))
	(at 34s (mute primary 0) (for 1s)) (at 36s (restart-pooler 0)))`

// wrongCatalogs is a scenario with all kinds of errors in the Consul catalog, and faults of the agents and servers.
const wrongCatalogs = `(rehearsal "lies" (seconds 45) (poolers 3) (groups 3 3 4) (rate 250) (cold 8s) (roams 0.1) (consul 2)
	(detect 150ms 400ms) (elect 3s 4s) (switch 100ms 300ms) (list 200ms 500ms) (roles 4s 6s)
	(at 3s (agent 0 frozen) (for 15s)) (at 4s (die primary 0) (for 12s)) (at 5s (deregister-all) (for 4s)) (at 5s (kill-pooler 0) (for 500ms))
	(at 6s (reissue member 0 1) (for 100ms) (every 400ms)) (at 6100ms (reissue member 0 2) (for 100ms) (every 400ms)) (at 6s (wrong-roles) (for 9s))
	(at 12s (agent 1 empty) (for 3s)) (at 16s (drain member 1 1) (for 5s)) (at 20s (hang primary 2) (for 6s)) (at 20s (agent 1 down) (for 3s)) (at 22s (agent 0 cut) (for 3s))
	(at 26s (fail-check everyone) (for 6s)) (at 28s (agent 0 hang) (for 8s)) (at 30s (die primaries) (for 5s)) (at 33s (kill-pooler 1) (for 400ms)) (at 36s (agent 1 leaderless) (for 5s))
	(at 38s (lag replica 1 30) (for 5s)) (at 39s (list-gone) (for 4s)) (at 40s (drain primary 1) (for 4s)))`

// TestWrongCatalogs: when the Consul catalog is stale, empty or wrong, no rule is broken and at least half of the service remains.
func TestWrongCatalogs(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		r := runScenario(t, parse(t, wrongCatalogs), Options{Seed: seed})
		for _, b := range r.Verdict.Breaches {
			t.Errorf("seed %d: breach of rule %q: %s\n%+v", seed, b.Rule, b.Text, b.Proof)
			break
		}
		for _, rule := range checker.Rules() {
			if r.Verdict.Checked[rule] == 0 {
				t.Errorf("seed %d: rule %q was never checked", seed, rule)
			}
		}
		if r.Score.Ratio < 0.5 {
			t.Errorf("seed %d: service %v; want at least 0.5", seed, r.Score.Ratio)
		}
	}
	a, b := runScenario(t, parse(t, wrongCatalogs), Options{Seed: 7}), runScenario(t, parse(t, wrongCatalogs), Options{Seed: 7})
	if a.Hash != b.Hash {
		t.Errorf("hashes %s and %s of two runs with the same seed; want equal ones", a.Hash, b.Hash)
	}
}

// TestSameSeedGivesSameRun: two runs of a scenario with the same seed have the same hash of events, and a run with another seed a different one.
func TestSameSeedGivesSameRun(t *testing.T) {
	t.Parallel()
	s := parse(t, allRules)
	a, b, c := runScenario(t, s, Options{Seed: 7}), runScenario(t, s, Options{Seed: 7}), runScenario(t, s, Options{Seed: 8})
	if a.Hash != b.Hash || a.Hash == c.Hash {
		t.Errorf("hashes %s and %s of two runs with the same seed, %s of one with another seed; want the first two equal and the third different", a.Hash, b.Hash, c.Hash)
	}
	if diff := cmp.Diff(a.Score, b.Score); diff != "" {
		t.Errorf("scores of two runs with the same seed differ:\n%s", diff)
	}
}

// TestRules: under many kinds of faults poolers break no rule, and each rule is checked at least once.
func TestRules(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		r := runScenario(t, parse(t, allRules), Options{Seed: seed})
		for _, b := range r.Verdict.Breaches {
			t.Errorf("seed %d: breach of rule %q: %s\n%+v", seed, b.Rule, b.Text, b.Proof)
			break
		}
		for _, rule := range checker.Rules() {
			if r.Verdict.Checked[rule] == 0 {
				t.Errorf("seed %d: rule %q was never checked", seed, rule)
			}
		}
		for _, b := range r.Score.Breaches {
			if b.Rule != "in time" { // a paused pooler answers late
				t.Errorf("seed %d: breach at the clients: %+v", seed, b)
				break
			}
		}
		if r.Score.Ratio < 0.5 || r.Score.Ratio > 0.999 {
			t.Errorf("seed %d: service %v; want 0.5 to 0.999, as the faults must cost some service", seed, r.Score.Ratio)
		}
	}
}

// TestMutants: the checker detects each mutant by the rule that it breaks, with a proof of the breach. Otherwise a rule could be broken
// without a test that notices.
func TestMutants(t *testing.T) {
	t.Parallel()
	for _, m := range Mutants() {
		t.Run(m.Name, func(t *testing.T) {
			s := parse(t, allRules)
			switch {
			case m.ReconcileSettings != nil:
				s = parse(t, wrongCatalogs)
			case m.NeedsIdempotencyKeys:
				s = loadScenario(t, "keyed-window")
			}
			r := runScenario(t, s, Options{Seed: 1, Mutant: &m})
			if r.Verdict.Broken[m.Breaks] == 0 {
				t.Errorf("rule %q is not broken with the mutant; broken rules: %v, checks: %v", m.Breaks, r.Verdict.Broken, r.Verdict.Checked)
			}
			for _, b := range r.Verdict.Breaches {
				if b.Rule == m.Breaks && len(b.Proof) == 0 {
					t.Errorf("breach of the mutant's rule without proof: %+v", b)
				}
			}
		})
	}
}

// TestStartWithoutPrimary runs a case that random faults found: a pooler starts while a group has no primary, and the delayed endpoint
// list still names one, whose position no longer advances. Reads must not become too stale.
func TestStartWithoutPrimary(t *testing.T) {
	t.Parallel()
	text, err := os.ReadFile("../../../example/rehearsals/start-without-primary.sexp")
	if err != nil {
		t.Fatalf("reading the scenario: %v", err)
	}
	r := runScenario(t, parse(t, string(text)), Options{Seed: 21})
	if !r.Verdict.OK() || r.Verdict.Checked[checker.NotStale] == 0 {
		t.Errorf("broken rules: %v, checks: %v; want no broken rule and some checks of staleness", r.Verdict.Broken, r.Verdict.Checked)
	}
}

// TestIdleConnectionsDroppedByNetwork: the network silently drops idle connections. Attempts on them are reset until the pooler has learnt
// the idle timeout, and no rule is broken; if the pooler is configured to close them earlier, none is reset.
func TestIdleConnectionsDroppedByNetwork(t *testing.T) {
	t.Parallel()
	const quietScenario = `(rehearsal "rest" (seconds 40) (groups 3 3) (rate 25) %s)`
	resets := func(settings string) uint64 {
		r := runScenario(t, parse(t, fmt.Sprintf(quietScenario, settings)), Options{Seed: 3})
		if !r.Verdict.OK() || r.Score.Ratio < 0.9 {
			t.Errorf("%q: service %v, broken rules: %v; want at least 0.9 and none", settings, r.Score.Ratio, r.Verdict.Broken)
		}
		return r.AttemptsByResult["reset"]
	}
	if keptOpen, dropped, closedBefore := resets(""), resets("(forgets 400ms)"), resets("(forgets 400ms) (idle 400ms)"); keptOpen != 0 || dropped < 20 || closedBefore != 0 {
		t.Errorf("%d resets without drops, %d with drops, %d with drops and an earlier idle timeout; want 0, at least 20 and 0", keptOpen, dropped, closedBefore)
	}
}

// TestDescriptorLimit: a pooler uses the connections that its descriptors allow, never more, and still serves most requests.
func TestDescriptorLimit(t *testing.T) {
	t.Parallel()
	const manyServers = `(rehearsal "descriptors" (seconds 10) (groups-of 20 3) (rate 400) (sessions 2000) %s)`
	unlimited := runScenario(t, parse(t, fmt.Sprintf(manyServers, "")), Options{Seed: 4})
	limited := runScenario(t, parse(t, fmt.Sprintf(manyServers, "(descriptors 128)")), Options{Seed: 4})
	if limit := maxServerConnections(128); limited.MaxPoolerConnections != limit || unlimited.MaxPoolerConnections <= 2*limit {
		t.Errorf("at most %d connections with few descriptors, limit %d; %d without a limit, want over twice that limit", limited.MaxPoolerConnections, limit, unlimited.MaxPoolerConnections)
	}
	if !limited.Verdict.OK() || limited.Score.Ratio < 0.7 {
		t.Errorf("service %v, broken rules: %v; want at least 0.7 and none", limited.Score.Ratio, limited.Verdict.Broken)
	}
}

// clickhouseServers is a scenario with a ClickHouse group, one of whose members lags far behind, and faults of its servers.
const clickhouseServers = `(rehearsal "house" (clickhouse) (seconds 14) (poolers 3) (groups 4) (rate 150) (cold 6s) (class "painel" (bound 3s)) (at 1s (lag member 0 1 60) (for 9s))
	(at 3s (hang member 0 0) (for 2s)) (at 5s (load 1.6) (for 2s)) (at 6s (drain member 0 2) (for 3s)) (at 8s (die member 0 3) (for 2s)))`

// TestClickHouseInterface: behind the ClickHouse frontend every member accepts writes, and only health checks tell how far a member lags.
// No rule is broken, each applicable rule is checked, and two runs with the same seed are identical. Mutants that repeat writes, ignore
// drains or answer twice are detected there too.
func TestClickHouseInterface(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		r := runScenario(t, parse(t, clickhouseServers), Options{Seed: seed})
		for _, b := range r.Verdict.Breaches {
			t.Errorf("seed %d: breach of rule %q: %s\n%+v", seed, b.Rule, b.Text, b.Proof)
			break
		}
		for _, rule := range []checker.Rule{checker.OneAnswer, checker.NotTwice, checker.DrainsKept, checker.ColdSpared, checker.NotStale, checker.NoInvented} {
			if r.Verdict.Checked[rule] == 0 {
				t.Errorf("seed %d: rule %q was never checked", seed, rule)
			}
		}
		if r.Score.Ratio < 0.9 {
			t.Errorf("seed %d: service %v; want at least 0.9", seed, r.Score.Ratio)
		}
	}
	a, b := runScenario(t, parse(t, clickhouseServers), Options{Seed: 7}), runScenario(t, parse(t, clickhouseServers), Options{Seed: 7})
	if a.Hash != b.Hash {
		t.Errorf("hashes %s and %s of two runs with the same seed; want equal ones", a.Hash, b.Hash)
	}
	for _, m := range Mutants() {
		switch m.Name {
		case "hears of no drains", "takes writes for safe to repeat", "answers twice":
			r := runScenario(t, parse(t, clickhouseServers), Options{Seed: 1, Mutant: &m})
			if !slices.ContainsFunc(r.Verdict.Breaches, func(b checker.Breach) bool { return b.Rule == m.Breaks }) {
				t.Errorf("mutant %q: no breach of rule %q; want at least one", m.Name, m.Breaks)
			}
		}
	}
}

// TestStalledPoolers: poolers are paused and resumed while primaries are replaced and replicas lag. After a pause a pooler must not take
// the old messages in its sockets for fresh information, so that no read is staler than its class allows.
func TestStalledPoolers(t *testing.T) {
	t.Parallel()
	s := loadScenario(t, "stalled-poolers")
	for seed := range uint64(4) {
		r := runScenario(t, s, Options{Seed: seed})
		for _, b := range r.Verdict.Breaches {
			t.Errorf("seed %d: breach of rule %q: %s\n%+v", seed, b.Rule, b.Text, b.Proof)
			break
		}
		if r.Verdict.Checked[checker.NotStale] < 1000 {
			t.Errorf("seed %d: the staleness of %d reads was checked; want at least 1000", seed, r.Verdict.Checked[checker.NotStale])
		}
	}
}
