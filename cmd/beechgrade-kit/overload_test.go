package main

import (
	"bufio"
	"context"
	"encoding/json"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"beechgrade/internal/testkit/checker"
	"beechgrade/internal/testkit/clients"
	"beechgrade/internal/testkit/rehearse"
	"beechgrade/internal/testkit/scenario"
)

// overloadClasses are classes of which six servers can serve about 400 requests a second.
const overloadClasses = ` (class "quadro-obra" (aim 800ms) (deadline 2s) (work 40ms 80ms)) (class "conferir-ponto" (aim 800ms) (deadline 2s) (work 40ms 80ms))
	(class "relatorio-mes" (aim 800ms) (deadline 2s) (work 40ms 80ms)) (class "registrar-ponto" (aim 800ms) (deadline 2s) (work 40ms 80ms)) `

const overloadSettings = "(overload (shed yes))" // for the rules and for the daemons

// byzantineDaemon builds the variant of the daemon that reports false data to the other poolers.
var byzantineDaemon = sync.OnceValues(func() (string, error) {
	path := filepath.Join(filepath.Dir(daemon), "liar")
	return path, exec.Command("go", "build", "-tags", "liar", "-o", path, "beechgrade/cmd/beechgrade").Run()
})

// runOverload plays a scenario on 8 processes that handle overload together, with a relay between each two of them.
func runOverload(t testing.TB, rate float64, script string, opt rehearse.Options) *rehearse.Result {
	t.Helper()
	fleetSettings := fastFleet
	if strings.Contains(script, "(groups ") {
		fleetSettings = strings.Replace(fleetSettings, "(groups 3 3)", "", 1)
	}
	s, err := scenario.Parse("script", []byte(`(rehearsal "overload" `+fleetSettings+` (retries 3) (retry 20ms 120ms) (roams 0.6) `+overloadClasses+overloadSettings+script+`)`))
	if err != nil {
		t.Fatalf("parse the scenario: %v", err)
	}
	s.Clients.Rate = rate
	opt.Seed, opt.Daemon, opt.Log = 5, daemon, slog.New(slog.DiscardHandler)
	if opt.Out == "" {
		opt.Out = t.TempDir()
	}
	res, err := rehearse.Execute(context.Background(), s, opt)
	if err != nil {
		t.Fatalf("run the rehearsal: %v", err)
	}
	reportBreach(t, res)
	reportClientBreach(t, res)
	for _, rule := range []checker.Rule{checker.OneAnswer, checker.ViewAccurate, checker.NotStale, checker.NotTwice, checker.Invariant} {
		if res.Rules.Checked[rule] == 0 {
			t.Errorf("%q was never checked", rule)
		}
	}
	t.Logf("%d requests, %.3f of their worth served; %d refused, %d late; checked: %v", res.Score.Total.Asked, res.Score.Total.Ratio, res.Score.Total.Refused, res.Score.Total.Late, overloadRules(res))
	return res
}

func overloadRules(res *rehearse.Result) map[checker.Rule]uint64 {
	out := map[checker.Rule]uint64{}
	for _, r := range checker.OverloadRules() {
		if n := res.Rules.Checked[r]; n > 0 {
			out[r] = n
		}
	}
	return out
}

// requireChecked fails the test unless each of the rules was checked.
func requireChecked(t testing.TB, res *rehearse.Result, rules ...checker.Rule) {
	t.Helper()
	for _, r := range rules {
		if res.Rules.Checked[r] == 0 {
			t.Errorf("%q was never checked", r)
		}
	}
}

// TestFleetOverloadHalvedCapacity guards against overload that outlasts its cause: the capacity of all servers is halved for 5 s while
// clients retry. Service must be back to 0.95 of its former level within 4 s of the end of the fault.
func TestFleetOverloadHalvedCapacity(t *testing.T) {
	t.Parallel()
	res := runOverload(t, 250, `(seconds 18) (back-in 4s) (at 5s (crowd everyone 0.5) (for 5s))`, rehearse.Options{})
	if res.Score.Total.Ratio < 0.7 {
		t.Errorf("%.3f of the worth was served, want at least 0.7", res.Score.Total.Ratio)
	}
	requireChecked(t, res, checker.ServiceRecovered, checker.HealthChecksShared)
}

// TestFleetOverloadPartition guards against rules that break under load and network faults: a partition five to three, a pooler that is
// stalled for 5 s, two that restart with empty memory, and messages that are lost, duplicated and reordered.
func TestFleetOverloadPartition(t *testing.T) {
	t.Parallel()
	res := runOverload(t, 500, `(seconds 22) (at 3s (between (5 6 7) (0 1 2 3 4) cut) (for 5s)) (at 4s (stall-pooler 2) (for 5s)) (at 10s (kill-pooler 1) (for 300ms)) (at 10s (kill-pooler 4) (for 300ms))
		(at 12s (between all all (lose 0.2) (duplicate 0.2) (reorder 0.2) (slow 100ms)) (for 4s))`, rehearse.Options{})
	if res.Score.Total.Ratio < 0.3 {
		t.Errorf("%.3f of the worth was served, want at least 0.3", res.Score.Total.Ratio)
	}
}

// TestFleetOverloadSkewedDemand guards against unfair shedding: one pooler gets half of all clients, one falsely reports that it has no
// demand, messages of two come 3 s late, duplicated and reordered, and one tenant sends far more than its share. The other tenant must keep
// its share, and the part that is served must be similar at all poolers.
func TestFleetOverloadSkewedDemand(t *testing.T) {
	t.Parallel()
	out := t.TempDir()
	res := runOverload(t, 500, `(seconds 16) (skew 0.45) (allowance 300) (tenant "quiet" (share 0.5) (usage 0.8)) (tenant "storm" (share 0.5) (usage 4))
		(at 7s (links (3 4) all (slow 3s) (duplicate 0.3) (reorder 0.3)) (for 4s))`, withByzantinePooler(t, rehearse.Options{Out: out}, 6, "none"))
	requireChecked(t, res, checker.TenantServed)
	at := servedByPooler(t, out)
	busy, others := at["pooler-0"], [2]float64{}
	for name, attempt := range at {
		if name != "pooler-0" {
			others[0], others[1] = others[0]+attempt[0], others[1]+attempt[1]
		}
	}
	a, b := busy[1]/busy[0], others[1]/others[0]
	t.Logf("the pooler with %.2f of the requests serves %.3f of its own, the others %.3f", busy[0]/(busy[0]+others[0]), a, b)
	if busy[0] < 0.4*(busy[0]+others[0]) || a < b-0.25 || b < a-0.25 {
		t.Errorf("[requests, served] of the busy pooler %v, of the others %v; want at least 0.4 of all requests at the busy one, and served parts within 0.25", busy, others)
	}
}

// TestFleetOverloadOneGroup guards against overload measures that spread to idle groups: one group of ten has a tenth of its capacity, one
// pooler reports a thousand times its demand, and the prober of a server of another group is cut off from that server, which all others
// reach. Nine groups must be unaffected, and the server must go on serving.
func TestFleetOverloadOneGroup(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	var came []float64
	res := runOverload(t, 200, `(seconds 16) (groups 1 2 2 2 2 2 2 2 2 2) (at 4s (crowd primary 0 0.1) (for 11s)) (at 8s (cut prober replica 3) (for 6s))`,
		withByzantinePooler(t, rehearse.Options{Received: func(server int, at float64) {
			if server == 6 { // group 3's replica: 1 + 2 + 2 + 1 before it
				mu.Lock()
				defer mu.Unlock()
				came = append(came, at)
			}
		}}, 2, "all"))
	requireChecked(t, res, checker.IdleGroupServed)
	before, during := 0.0, 0.0
	for _, at := range came {
		switch at -= res.FromMs; {
		case at >= 3000 && at < 8000:
			before += 1 / 5.0
		case at >= 9000 && at < 14000:
			during += 1 / 5.0
		}
	}
	t.Logf("the server got %.1f requests a second before its prober was cut off, %.1f while it was", before, during)
	if before < 3 || during < 0.3*before {
		t.Errorf("the server got %.1f requests a second before its prober was cut off, %.1f while it was; want at least 3, and 0.3 of that", before, during)
	}
}

// withByzantinePooler replaces one pooler by the daemon that reports false data in the given mode.
func withByzantinePooler(t testing.TB, opt rehearse.Options, pooler int, mode string) rehearse.Options {
	t.Helper()
	path, err := byzantineDaemon()
	if err != nil {
		t.Fatalf("build the daemon that reports false data: %v", err)
	}
	opt.ByzantineDaemon, opt.ByzantineModes = path, map[int]string{pooler: mode}
	return opt
}

// servedByPooler returns how many requests were made and how many of them were served, by the pooler of the attempt, as the clients saw it.
func servedByPooler(t testing.TB, out string) map[string][2]float64 {
	t.Helper()
	f, err := os.Open(filepath.Join(out, rehearse.AttemptsFile))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	at := map[string][2]float64{}
	for lines := bufio.NewScanner(f); lines.Scan(); {
		var attempt rehearse.AttemptLine
		if err := json.Unmarshal(lines.Bytes(), &attempt); err != nil {
			t.Fatalf("decode a line of the clients' attempts: %v", err)
		}
		n := at[attempt.Pooler]
		if attempt.Number == 0 {
			n[0]++
		}
		if attempt.Kind == clients.Served {
			n[1]++
		}
		at[attempt.Pooler] = n
	}
	return at
}
