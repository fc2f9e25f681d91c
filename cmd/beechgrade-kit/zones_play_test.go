package main

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	jsoniter "github.com/json-iterator/go"

	"beechgrade/internal/cluster/zones"
	"beechgrade/internal/settings"
	"beechgrade/internal/testkit/checker"
	"beechgrade/internal/testkit/clients"
	"beechgrade/internal/testkit/rehearse"
	"beechgrade/internal/testkit/scenario"
)

// zonesScenario are settings with which one zone can serve all reads, but not quite twice as many: 2 servers of 4 cores in each zone. Work takes a fifth of the
// aim, which is what poolers assume until they have seen some dozens of requests of a class.
const zonesScenario = `(groups 3 3) (cores 4) (sites "a" "b" "c") (near yes) (cross-price 0.01) (retries 2) (sessions 40) (cold 1s) (detect 300ms 400ms) (elect 300ms 500ms) (list 100ms 200ms) (roles 300ms 500ms)
	(class "quadro-obra" (aim 400ms) (deadline 4s) (work 60ms 100ms)) (class "conferir-ponto" (aim 400ms) (deadline 4s) (work 60ms 100ms))
	(class "relatorio-mes" (aim 400ms) (deadline 4s) (work 60ms 100ms)) (class "registrar-ponto" (aim 400ms) (deadline 4s) (work 60ms 100ms))` + fastPeers

const (
	heavyWork  = 0.080 // mean, in s
	heavyCores = 8     // of a zone
)

// zonesSettings returns the settings of a run: voters, plans with short steps, and a slow return of a zone.
func zonesSettings(dir string, voters int) string {
	names := ""
	for v := range voters {
		names += fmt.Sprintf(" \"pooler-%d\"", v)
	}
	return fmt.Sprintf(`(agreed (voters%s) (dir "%[2]s/log-$POOLER") (tick 50ms) (election 12) (heartbeat 2) (every 400) (keep 100))
(zones (names "a" "b" "c") (delay "a" "b" 1ms) (delay "a" "c" 1ms) (delay "b" "c" 2ms) (cores 4) (dir "%[2]s/zones") (period 200ms) (renew 500ms) (life %[3]dms) (step 400ms)
	(out 0.5) (back 0.2) (window 500ms) (memory 1s) (least 3) (fail 400ms) (empty 600ms) (rest 2s) (most-rest 4s) (warm 1500ms))
`, names, dir, planLifetimeMs)
}

// zonesRun is a run of 8 processes in three zones, and what was observed. Its times are in ms from its start.
type zonesRun struct {
	*zoneWatch
	*rehearse.Result
	set      zones.Settings
	dir      string
	shares   [8][]adoptedPlan // by pooler, by time
	attempts []rehearse.AttemptLine

	readsMu sync.Mutex
	reads   []zoneRead
}

type adoptedPlan struct {
	at     float64
	no     uint64
	shares [][]float64
}

type zoneRead struct {
	at       float64
	from, to int // zones
}

// zoneOfServer returns the zone of a server, for groups of three.
func zoneOfServer(server int) int { return (server/3 + server%3) % 3 }

// runZones plays a scenario. Each function of actions is called at its time (in ms) with the addresses of the admin endpoints; replaceTarget may replace the
// pooler that a fault names.
func runZones(t testing.TB, voters int, script string, replaceTarget func(w *zoneWatch) int, actions map[float64]func(endpoints []string)) *zonesRun {
	t.Helper()
	s, err := scenario.Parse("script", []byte(`(rehearsal "zones" `+zonesScenario+script+`)`))
	if err != nil {
		t.Fatalf("parse the scenario: %v", err)
	}
	run := &zonesRun{zoneWatch: &zoneWatch{rules: checker.NewZoneChecker(0, 0, 1)}, dir: t.TempDir()}
	operators := zonesSettings(filepath.Join(run.dir, "disks"), voters)
	set, err := settings.Parse("x", []byte(`(peers (listen "127.0.0.1:1") (key "k"))`+operators), func(string) string { return "p" })
	if err != nil {
		t.Fatalf("parse the settings of the zones: %v", err)
	}
	run.set = set.Zones.Settings
	var wg sync.WaitGroup
	opt := rehearse.Options{Seed: 5, Out: run.dir, Daemon: daemon, Log: slog.New(slog.DiscardHandler), Metrics: run.record, Operators: operators,
		Started: func(at float64, endpoints []string) {
			for ms, act := range actions {
				wg.Go(func() {
					time.Sleep(time.Duration(ms * float64(time.Millisecond)))
					act(endpoints)
				})
			}
		},
		Read: func(at float64, c *clients.Class, pooler, server int) {
			if c.Read == clients.ReadAny || c.Read == clients.ReadBounded {
				run.readsMu.Lock()
				defer run.readsMu.Unlock()
				run.reads = append(run.reads, zoneRead{at, pooler % 3, zoneOfServer(server)})
			}
		}}
	if replaceTarget != nil {
		opt.ReplaceTarget = func(int) int { return replaceTarget(run.zoneWatch) }
	}
	if run.Result, err = rehearse.Execute(context.Background(), s, opt); err != nil {
		t.Fatalf("run the rehearsal: %v", err)
	}
	wg.Wait()
	for _, b := range append(run.rules.Breaches, run.Rules.Breaches...) {
		t.Errorf("%s: at %.1f s: %s", b.Rule, (b.At-run.FromMs)/1000, b.Text)
	}
	checkAdoptedPlans(t, run.dir)
	run.readPlanLogs(t)
	run.attempts = readAttempts(t, run.dir)
	return run
}

// readAttempts returns the attempts of the clients.
func readAttempts(t testing.TB, dir string) (out []rehearse.AttemptLine) {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(dir, rehearse.AttemptsFile))
	if err != nil {
		t.Fatal(err)
	}
	for line := range bytes.Lines(b) {
		var l rehearse.AttemptLine
		if err := jsoniter.Unmarshal(line, &l); err != nil {
			t.Fatalf("decode a line of the clients' attempts: %v", err)
		}
		out = append(out, l)
	}
	return out
}

var number = regexp.MustCompile(`[0-9.e-]+`)

// readPlanLogs reads the plans' shares from the logs of the poolers.
func (z *zonesRun) readPlanLogs(t testing.TB) {
	for p := range 8 {
		f, err := os.Open(filepath.Join(z.dir, fmt.Sprintf("pooler-%d", p), "log.txt"))
		if err != nil {
			t.Fatal(err)
		}
		for in := bufio.NewScanner(f); in.Scan(); {
			l := map[string]string{}
			for _, m := range logField.FindAllStringSubmatch(in.Text(), -1) {
				l[m[1]] = m[2]
			}
			at, err := time.Parse(time.RFC3339, l["time"])
			cells := number.FindAllString(l["shares"], -1)
			if l["msg"] != `"zones: plan adopted"` || err != nil || len(cells) != 9 {
				continue
			}
			x := adoptedPlan{at: float64(at.UnixMilli()) - z.FromMs, shares: make([][]float64, 3)}
			x.no, _ = strconv.ParseUint(l["plan"], 10, 64)
			for i, c := range cells {
				v, err := strconv.ParseFloat(c, 64)
				if err != nil {
					t.Fatalf("pooler %d: a share of plan %d: %v", p, x.no, err)
				}
				x.shares[i/3] = append(x.shares[i/3], v)
			}
			z.shares[p] = append(z.shares[p], x)
		}
		_ = f.Close()
	}
}

// samplesBetween returns a pooler's samples in [from, to), in ms from the start of the run.
func (z *zonesRun) samplesBetween(pooler int, from, to float64) []zoneSample {
	return z.between(pooler, z.FromMs+from, z.FromMs+to)
}

// checkPlans checks every plan in force, at each sample, against the demand of the clients near each zone in the last 2.5 s and the capacity that the faults
// leave. The rule applies once settled ms have passed since the last of the changes.
func (z *zonesRun) checkPlans(settled float64, changes []float64, cores func(at float64) []float64) (checked int, found []checker.Breach) {
	const spanMs = 2500
	rules := checker.NewZoneChecker(1, settled, 1)
	type event struct {
		at  float64
		act func()
	}
	var events []event
	for _, at := range changes {
		events = append(events, event{at, func() { rules.FaultChanged(at) }})
	}
	movable := map[string]bool{"quadro-obra": true, "conferir-ponto": true, "relatorio-mes": true}
	for p := range 8 {
		for _, l := range z.samples[p] {
			at := l.at - z.FromMs
			i := len(z.shares[p]) - 1
			for i >= 0 && z.shares[p][i].no > l.plan {
				i--
			}
			if l.why != "1" || i < 0 || at < spanMs || at > z.ToMs-z.FromMs-500 {
				continue
			}
			events = append(events, event{at, func() {
				asked := make([]float64, 3)
				for _, y := range z.attempts {
					if x := y.Sent - z.FromMs; movable[y.Class] && x >= at-spanMs && x < at && y.Pooler != "" {
						no, _ := strconv.Atoi(strings.TrimPrefix(y.Pooler, "pooler-"))
						asked[no%3] += heavyWork / spanMs * 1000
					}
				}
				checked++
				rules.CheckPlan(at, l.plan, z.shares[p][i].shares, asked, cores(at))
			}})
		}
	}
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	for _, e := range events {
		e.act()
	}
	return checked, rules.Breaches
}

// checkCrossedReads returns which part of the reads that may be stale crossed zones in a time without faults. A part above far breaks the
// rule.
func (z *zonesRun) checkCrossedReads(from, to, far float64) (part, reads float64, found []checker.Breach) {
	rules := checker.NewZoneChecker(1, 0, far)
	for _, r := range z.reads {
		if at := r.at - z.FromMs; at >= from && at < to {
			rules.ReadSent(at, r.from != r.to)
			reads++
		}
	}
	part = rules.Finish(to)
	return part, reads, rules.Breaches
}

// countShifts returns how often the zone that gets most of a zone's reads changed, in the plans that a pooler followed.
func (z *zonesRun) countShifts(pooler, zone int, from, to float64) (n int) {
	last := -1
	for _, x := range z.shares[pooler] {
		most := 0
		for b, part := range x.shares[zone] {
			if part > x.shares[zone][most] {
				most = b
			}
		}
		if x.at >= from && x.at < to && last >= 0 && most != last {
			n++
		}
		last = most
	}
	return n
}

func endpointFlags(endpoints []string) (out []string) {
	for _, d := range endpoints {
		out = append(out, "--door", d)
	}
	return out
}

func (z *zonesRun) logSummary(t testing.TB) {
	t.Helper()
	all := &z.Score.Total
	t.Logf("%d requests, %.3f of their worth served; %d failed", all.Asked, all.Ratio, all.Failed)
	if !t.Failed() && os.Getenv("ZONES_TELL") == "" {
		return
	}
	for p := range 8 {
		for _, x := range z.shares[p] {
			t.Logf("pooler %d at %5.0f: plan %d %v", p, x.at, x.no, x.shares)
		}
	}
}

// TestZoneChecksDetectBreaches guards against checks that detect nothing: a plan that sends more than is safe must be reported, but not one
// that just fits or came too soon after a change; reads that cross zones and changes of the target must be counted.
func TestZoneChecksDetectBreaches(t *testing.T) {
	t.Parallel()
	run := &zonesRun{zoneWatch: &zoneWatch{}, Result: &rehearse.Result{ToMs: 20000}}
	for i := range 2000 { // 100 requests a second in zone a, which has 8 cores
		run.attempts = append(run.attempts, rehearse.AttemptLine{Class: "relatorio-mes", Pooler: "pooler-0", Sent: float64(i) * 10})
		run.reads = append(run.reads, zoneRead{float64(i) * 10, 0, (9 - i%10) / 9})
	}
	run.shares[0] = []adoptedPlan{{0, 1, [][]float64{{1, 0, 0}, {0, 1, 0}, {0, 0, 1}}}, {5000, 4, [][]float64{{0.2, 0.8, 0}, {0, 1, 0}, {0, 0, 1}}}, {8000, 6, [][]float64{{1, 0, 0}, {0, 1, 0}, {0, 0, 1}}}}
	run.samples[0] = []zoneSample{{at: 4000, plan: 3, why: "1"}, {at: 7000, plan: 5, why: "1"}, {at: 7500, plan: 5, why: "2"}, {at: 9000, plan: 7, why: "1"}}
	cores := func(b float64) func(float64) []float64 { return func(float64) []float64 { return []float64{8, b, 8} } }
	for _, x := range []struct {
		b       float64
		changes []float64
		want    int
	}{{8, nil, 0}, {5, nil, 1}, {5, []float64{6000}, 0}} {
		if checked, found := run.checkPlans(2000, x.changes, cores(x.b)); checked != 3 || len(found) != x.want || x.want > 0 && found[0].Rule != checker.FullZone {
			t.Errorf("plans with %v: checked %d samples, found %v; want 3 samples and %d breaches", x, checked, found, x.want)
		}
	}
	if far, reads, found := run.checkCrossedReads(1000, 2000, 0.05); far != 0.1 || reads != 100 || len(found) != 1 {
		t.Errorf("reads: %.3f of %.0f crossed, found %v; want 0.1 of 100, and one breach", far, reads, found)
	}
	if _, _, found := run.checkCrossedReads(1000, 2000, 0.15); len(found) != 0 {
		t.Errorf("reads that crossed, limit 0.15: found %v, want none", found)
	}
	if n := run.countShifts(0, 0, 0, 9000); n != 2 {
		t.Errorf("%d shifts, want 2", n)
	}
}
