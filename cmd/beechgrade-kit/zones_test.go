package main

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"beechgrade/internal/testkit/checker"
	"beechgrade/internal/testkit/clients"
	"beechgrade/internal/testkit/rehearse"
	"beechgrade/internal/testkit/scenario"
)

// The times of the run and of the zones, in ms. slackMs is what a busy machine and the interval between samples add.
const (
	zoneFailsAt, zoneReturnsAt = 3000, 5500
	leaderKilledAt             = 3800
	zoneCutAt, zoneHealsAt     = 8500, 13500
	zonesEndAt                 = 16000
	planLifetimeMs             = 3000
	slackMs                    = 1200
	maxGiveUpMs                = 3000 // requests that cannot be served are refused within this time; their deadline is 4 s
	detectionMs                = 700  // until a pooler has detected that servers do not answer
)

var zoneNames = []string{"a", "b", "c"}

// zonesOperators are settings with three voters, one in each zone, and plans with short steps.
const zonesOperators = `(agreed (voters "pooler-0" "pooler-1" "pooler-2") (dir "%[1]s/log-$POOLER") (tick 50ms) (election 12) (heartbeat 2) (every 400) (keep 100))
(zones (names "a" "b" "c") (delay "a" "b" 1ms) (delay "a" "c" 1ms) (delay "b" "c" 1ms) (dir "%[1]s/zones") (period 200ms) (renew 500ms) (life %[2]dms) (step 300ms)
	(out 0.5) (back 0.5) (window 500ms) (memory 1s) (least 3) (fail 400ms) (empty 600ms) (rest 2s) (most-rest 4s) (warm 500ms))
`

// zoneSample is what a pooler's admin endpoint showed at a time.
type zoneSample struct {
	at          float64
	pid         int
	plan        uint64
	why, leads  string
	near, state map[string]string
	most, short float64
}

// zoneWatch collects what the admin endpoints show during a run.
type zoneWatch struct {
	mu      sync.Mutex
	rules   *checker.ZoneChecker
	samples [8][]zoneSample
}

func (w *zoneWatch) record(pooler, pid int, at float64, f map[string]string) {
	l := zoneSample{at: at, pid: pid, why: f["app.zones.why"], leads: f["app.agreed.leads"], near: map[string]string{}, state: map[string]string{}}
	l.plan, _ = strconv.ParseUint(f["app.zones.plan"], 10, 64)
	l.short, _ = strconv.ParseFloat(f["app.zones.short"], 64)
	l.most, _ = strconv.ParseFloat(f["app.zones.most"], 64)
	var sum strings.Builder
	fmt.Fprint(&sum, f["app.zones.short"], f["app.zones.most"])
	for _, z := range zoneNames {
		l.near[z], l.state[z] = f["app.zones."+z+".near"], f["app.zones."+z+".state"]
		fmt.Fprint(&sum, " ", l.near[z], l.state[z])
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if l.plan > 0 {
		w.rules.PlanFollowed(at, pooler, l.plan, xxhash.Sum64String(sum.String()))
	}
	w.samples[pooler] = append(w.samples[pooler], l)
}

// leader returns the voter that was the last to report itself as leader, among those that were queried.
func (w *zoneWatch) leader(int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	last, who := 0.0, 0
	for v := range w.samples {
		if n := len(w.samples[v]); n > 0 && w.samples[v][n-1].leads == "1" && w.samples[v][n-1].at > last {
			last, who = w.samples[v][n-1].at, v
		}
	}
	return who
}

// between returns a pooler's samples in [from, to).
func (w *zoneWatch) between(pooler int, from, to float64) (out []zoneSample) {
	for _, l := range w.samples[pooler] {
		if l.at >= from && l.at < to {
			out = append(out, l)
		}
	}
	return out
}

func numbersOf(samples []zoneSample) (out []uint64) {
	for _, l := range samples {
		out = append(out, l.plan)
	}
	return out
}

func pidsOf(samples []zoneSample) (out []int) {
	for _, l := range samples {
		out = append(out, l.pid)
	}
	return out
}

// checkAdoptedPlans checks the plans that the poolers logged as adopted, whole, against the rules, and returns their number.
func checkAdoptedPlans(t testing.TB, dir string) (adopted int) {
	t.Helper()
	rules := checker.NewZoneChecker(0, 0, 1)
	for p := range 8 {
		f, err := os.Open(filepath.Join(dir, fmt.Sprintf("pooler-%d", p), "log.txt"))
		if err != nil {
			t.Fatal(err)
		}
		for in := bufio.NewScanner(f); in.Scan(); {
			l := map[string]string{}
			for _, m := range logField.FindAllStringSubmatch(in.Text(), -1) {
				l[m[1]] = m[2]
			}
			if l["level"] == "ERROR" && strings.Contains(in.Text(), "zones") {
				t.Errorf("pooler %d logged an error about zones: %s", p, in.Text())
			}
			if l["msg"] != `"zones: plan adopted"` {
				continue
			}
			no, err := strconv.ParseUint(l["plan"], 10, 64)
			at, err2 := time.Parse(time.RFC3339, l["time"])
			if err != nil || err2 != nil {
				t.Errorf("pooler %d: number or time of an adopted plan cannot be parsed: %s", p, in.Text())
			}
			rules.PlanFollowed(float64(at.UnixMilli()), p, no, xxhash.Sum64String(l["author"]+l["zones"]+l["shares"]+l["unserved"]))
			adopted++
		}
		_ = f.Close()
	}
	for _, b := range rules.Breaches {
		t.Errorf("by the logs: %s: %s", b.Rule, b.Text)
	}
	return adopted
}

// checkIsolatedZone checks that in a zone that is cut off stale reads are served where they are allowed, and all other requests are refused soon.
func checkIsolatedZone(t testing.TB, attempts []rehearse.AttemptLine, from, to float64) {
	t.Helper()
	served, reads, waits, kinds := 0, 0, []float64{}, map[string]int{}
	for _, x := range attempts {
		switch {
		case x.Pooler != "pooler-2" && x.Pooler != "pooler-5" || x.Sent < from+detectionMs || x.Sent >= to-detectionMs:
		case x.Class == "quadro-obra" || x.Class == "relatorio-mes":
			if reads++; x.Kind == clients.Served {
				served++
			}
		case x.Kind != clients.Served:
			waits = append(waits, x.Ended-x.Sent)
			kinds[x.Class+" "+string(x.Kind)]++
		}
	}
	slices.Sort(waits)
	if reads < 20 || float64(served) < 0.9*float64(reads) {
		t.Errorf("of %d reads that may be stale %d were served in the isolated zone, want 0.9 of at least 20", reads, served)
	}
	if len(waits) < 10 {
		t.Fatalf("%d other requests were refused, want at least 10", len(waits))
	}
	half, most := waits[len(waits)/2], waits[len(waits)*9/10]
	t.Logf("in the isolated zone %d of %d reads that may be stale were served; %d other requests were refused, half of them within %.0f ms, 90 percent within %.0f ms: %v", served, reads, len(waits), half, most, kinds)
	if most > maxGiveUpMs {
		t.Errorf("90 percent of the refusals took up to %.0f ms, want at most %d ms", most, maxGiveUpMs)
	}
}

// TestFleetZones guards against conflicting or outdated plans: the servers of a zone fail; while the fleet evacuates the zone, the leading voter is killed and
// restarts on its disk; then the poolers of zone c are cut off from the others and from their servers. Admin endpoints and logs must show
// one plan for each number and never an older one after a newer, also over the restart. The zone must be evacuated and used again, only
// the poolers that are cut off may fall back, in time, and at the end all poolers must have the same plan.
func TestFleetZones(t *testing.T) {
	t.Parallel()
	s, err := scenario.Parse("script", []byte(fmt.Sprintf(`(rehearsal "zones" (rate 150) (sites "a" "b" "c") (near yes) %s (retries 2) (seconds %d) (at %dms (die site "c") (for %dms))
		(at %dms (kill-pooler 0) (for 700ms)) (at %dms (between (2 5) (0 1 3 4 6 7) cut) (for %dms)) (at %dms (cut (2 5) site "a") (for %dms)) (at %dms (cut (2 5) site "b") (for %dms)))`,
		strings.NewReplacer("(rate 60)", "", "(aim 3s)", "(aim 400ms)").Replace(fastFleet), zonesEndAt/1000, zoneFailsAt, zoneReturnsAt-zoneFailsAt, leaderKilledAt, zoneCutAt, zoneHealsAt-zoneCutAt, zoneCutAt, zoneHealsAt-zoneCutAt, zoneCutAt, zoneHealsAt-zoneCutAt)))
	if err != nil {
		t.Fatalf("parse the scenario: %v", err)
	}
	dir, watch, killed := t.TempDir(), &zoneWatch{rules: checker.NewZoneChecker(0, 0, 1)}, -1
	arrived := &arrivals{}
	res, err := rehearse.Execute(context.Background(), s, rehearse.Options{Seed: 5, Out: dir, Daemon: daemon, Log: slog.New(slog.DiscardHandler), Metrics: watch.record,
		Operators:     fmt.Sprintf(zonesOperators, filepath.Join(dir, "disks"), planLifetimeMs),
		ReplaceTarget: func(p int) int { killed = watch.leader(p); return killed },
		Arrived: func(server, pooler int, writes bool, at float64) {
			arrived.mu.Lock()
			defer arrived.mu.Unlock()
			arrived.all = append(arrived.all, arrival{server, pooler, writes, at})
		}})
	if err != nil {
		t.Fatalf("run the rehearsal: %v", err)
	}
	for _, b := range append(watch.rules.Breaches, res.Rules.Breaches...) {
		t.Errorf("%s: at %.1f s: %s", b.Rule, (b.At-res.FromMs)/1000, b.Text)
	}
	adopted := checkAdoptedPlans(t, dir)
	from := res.FromMs
	if l := watch.between(killed, from, from+leaderKilledAt); len(l) == 0 || l[len(l)-1].leads != "1" {
		t.Errorf("pooler %d was killed, but was not the leader", killed)
	}
	finalPlans := map[uint64]int{} // by plan number: how many poolers showed it after the partition
	for p := range 8 {
		evacuated := slices.ContainsFunc(watch.between(p, from+zoneFailsAt, from+zoneCutAt), func(l zoneSample) bool { return l.near["c"] == "0" })
		all := watch.between(p, from+zoneHealsAt, res.ToMs+1)
		if len(all) == 0 {
			t.Fatalf("the admin endpoint of pooler %d did not answer", p)
		}
		last := all[len(all)-1]
		for _, no := range slices.Compact(numbersOf(all)) {
			finalPlans[no]++
		}
		if !evacuated || last.near["c"] != "1" || last.state["c"] != "0" || last.why != "1" {
			t.Errorf("pooler %d: zone c was evacuated: %v, want true; at the end %+v, want zone c in full use by a plan", p, evacuated, last)
		}
		short := 0.0
		for _, l := range watch.samples[p] {
			if short = max(short, l.short); l.most > 1 {
				t.Errorf("pooler %d: %+v: more than the safe capacity", p, l)
				break
			}
		}
		cut := p == 2 || p == 5
		for _, l := range watch.between(p, from+zoneCutAt+planLifetimeMs+slackMs, from+zoneHealsAt) {
			if (l.why == "1") == cut {
				t.Errorf("pooler %d, cut off %v, at %.0f ms: got %+v, want a plan followed unless cut off", p, cut, l.at-from, l)
				break
			}
		}
		reads := 0
		for _, x := range arrived.all {
			if x.pooler == p && !x.writes && x.at >= from+zoneCutAt+planLifetimeMs && x.at < from+zoneHealsAt {
				reads++
			}
		}
		if reads < 5 {
			t.Errorf("pooler %d: %d reads reached a server while the poolers of zone c were cut off, want at least 5", p, reads)
		}
		t.Logf("pooler %d: plan %d, why %s, %d samples, %d reads in the partition, %.2f cores short at most", p, last.plan, last.why, len(watch.samples[p]), reads, short)
	}
	if pids := slices.Compact(pidsOf(watch.samples[max(0, killed)])); len(pids) != 2 {
		t.Errorf("pooler %d was seen as %d processes, want 2", killed, len(pids))
	}
	same := 0
	for _, n := range finalPlans {
		if n == 8 {
			same++
		}
	}
	if same < 2 {
		t.Errorf("after the partition all poolers had %d of these plans in common, want at least 2: %v", same, finalPlans)
	}
	all := &res.Score.Total
	t.Logf("killed %d; %d plans logged as adopted; %d requests, %.3f of their worth served; %d failed; %d plans in common at the end", killed, adopted, all.Asked, all.Ratio, all.Failed, same)
	checkIsolatedZone(t, readAttempts(t, dir), from+zoneCutAt, from+zoneHealsAt)
	if all.Ratio < 0.85 { // clients of the isolated zone cannot reach primaries elsewhere
		t.Errorf("%.3f of the worth was served, want at least 0.85", all.Ratio)
	}
}
