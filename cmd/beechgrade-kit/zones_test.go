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

// The times of the play and of the zones, in ms. slackMs is what a busy machine and looking now and then add.
const (
	zoneDies, zoneBack  = 3000, 5500
	chiefDies           = 3800
	zoneParts, zoneOnes = 8500, 13500
	zonesEnd            = 16000
	zoneLife            = 3000
	slackMs             = 1200
	soonMs              = 3000 // by which what cannot be done is given up, of 4 s that there are
	zoneLooks           = 700  // until a pooler has seen that servers do not answer
)

var zoneNames = []string{"a", "b", "c"}

// zonesOperators are three voters, one in each zone, and plans that go in quick steps.
const zonesOperators = `(agreed (voters "pooler-0" "pooler-1" "pooler-2") (dir "%[1]s/log-$POOLER") (tick 50ms) (election 12) (heartbeat 2) (every 400) (keep 100))
(zones (names "a" "b" "c") (delay "a" "b" 1ms) (delay "a" "c" 1ms) (delay "b" "c" 1ms) (dir "%[1]s/zones") (period 200ms) (renew 500ms) (life %[2]dms) (step 300ms)
	(out 0.5) (back 0.5) (window 500ms) (memory 1s) (least 3) (fail 400ms) (empty 600ms) (rest 2s) (most-rest 4s) (warm 500ms))
`

// zoneLook is what a pooler's door showed at a time.
type zoneLook struct {
	at          float64
	pid         int
	plan        uint64
	why, leads  string
	near, state map[string]string
	most, short float64
}

// zoneWatch takes what doors show, as the play goes.
type zoneWatch struct {
	mu    sync.Mutex
	rules *checker.ZoneChecker
	looks [8][]zoneLook
}

func (w *zoneWatch) take(pooler, pid int, at float64, f map[string]string) {
	l := zoneLook{at: at, pid: pid, why: f["app.zones.why"], leads: f["app.agreed.leads"], near: map[string]string{}, state: map[string]string{}}
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
	w.looks[pooler] = append(w.looks[pooler], l)
}

// leader is the voter that said last that it leads, of those that were seen to.
func (w *zoneWatch) leader(int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	last, who := 0.0, 0
	for v := range w.looks {
		if n := len(w.looks[v]); n > 0 && w.looks[v][n-1].leads == "1" && w.looks[v][n-1].at > last {
			last, who = w.looks[v][n-1].at, v
		}
	}
	return who
}

// between are a pooler's looks from some time to another.
func (w *zoneWatch) between(pooler int, from, to float64) (out []zoneLook) {
	for _, l := range w.looks[pooler] {
		if l.at >= from && l.at < to {
			out = append(out, l)
		}
	}
	return out
}

func numbersOf(looks []zoneLook) (out []uint64) {
	for _, l := range looks {
		out = append(out, l.plan)
	}
	return out
}

func pidsOf(looks []zoneLook) (out []int) {
	for _, l := range looks {
		out = append(out, l.pid)
	}
	return out
}

// zoneFollows holds what poolers logged of plans that ask for something else, all of it, to the rules.
func zoneFollows(t testing.TB, dir string) (follows int) {
	t.Helper()
	rules := checker.NewZoneChecker(0, 0, 1)
	for p := range 8 {
		f, err := os.Open(filepath.Join(dir, fmt.Sprintf("pooler-%d", p), "log.txt"))
		if err != nil {
			t.Fatal(err)
		}
		for in := bufio.NewScanner(f); in.Scan(); {
			l := map[string]string{}
			for _, m := range fieldOf.FindAllStringSubmatch(in.Text(), -1) {
				l[m[1]] = m[2]
			}
			if l["level"] == "ERROR" && strings.Contains(in.Text(), "zones") {
				t.Error(in.Text())
			}
			if l["msg"] != `"zones: plan adopted"` {
				continue
			}
			no, err := strconv.ParseUint(l["plan"], 10, 64)
			at, err2 := time.Parse(time.RFC3339, l["time"])
			if err != nil || err2 != nil {
				t.Error(in.Text())
			}
			rules.PlanFollowed(float64(at.UnixMilli()), p, no, xxhash.Sum64String(l["author"]+l["zones"]+l["shares"]+l["unserved"]))
			follows++
		}
		_ = f.Close()
	}
	for _, b := range rules.Breaches {
		t.Errorf("by the logs: %s: %s", b.Rule, b.Text)
	}
	return follows
}

// zoneInside holds that in a zone that is cut off reads which may be old are served, and the rest is given up soon.
func zoneInside(t testing.TB, tries []rehearse.AttemptLine, from, to float64) {
	t.Helper()
	served, reads, waits, kinds := 0, 0, []float64{}, map[string]int{}
	for _, x := range tries {
		switch {
		case x.Pooler != "pooler-2" && x.Pooler != "pooler-5" || x.Sent < from+zoneLooks || x.Sent >= to-zoneLooks:
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
		t.Errorf("of %d reads that may be old %d were served in the zone that was cut off", reads, served)
	}
	if len(waits) < 10 {
		t.Fatalf("%d others were given up", len(waits))
	}
	half, most := waits[len(waits)/2], waits[len(waits)*9/10]
	t.Logf("in the zone that was cut off %d of %d reads that may be old were served; %d others were given up after %.0f ms, %.0f for nine in ten: %v", served, reads, len(waits), half, most, kinds)
	if most > soonMs {
		t.Errorf("nine in ten were given up after up to %.0f ms", most)
	}
}

// TestFleetZones: a zone's servers lose their power; while it is left the voter that leads is killed, and starts again on its disk; then zone c's poolers
// are cut off from the others, and from their servers. Doors and logs show one plan for each number and none older after a newer, over the restart too; the zone is left and taken
// back; who is cut off falls back in time, nobody else does; in the end all have the same plan.
func TestFleetZones(t *testing.T) {
	t.Parallel()
	s, err := scenario.Parse("script", []byte(fmt.Sprintf(`(rehearsal "zones" (rate 150) (sites "a" "b" "c") (near yes) %s (retries 2) (seconds %d) (at %dms (die site "c") (for %dms))
		(at %dms (kill-pooler 0) (for 700ms)) (at %dms (between (2 5) (0 1 3 4 6 7) cut) (for %dms)) (at %dms (cut (2 5) site "a") (for %dms)) (at %dms (cut (2 5) site "b") (for %dms)))`,
		strings.NewReplacer("(rate 60)", "", "(aim 3s)", "(aim 400ms)").Replace(fleetQuick), zonesEnd/1000, zoneDies, zoneBack-zoneDies, chiefDies, zoneParts, zoneOnes-zoneParts, zoneParts, zoneOnes-zoneParts, zoneParts, zoneOnes-zoneParts)))
	if err != nil {
		t.Fatal(err)
	}
	dir, w, killed := t.TempDir(), &zoneWatch{rules: checker.NewZoneChecker(0, 0, 1)}, -1
	came := &arrivals{}
	res, err := rehearse.Execute(context.Background(), s, rehearse.Options{Seed: 5, Out: dir, Daemon: daemon, Log: slog.New(slog.DiscardHandler), Metrics: w.take,
		Operators:     fmt.Sprintf(zonesOperators, filepath.Join(dir, "disks"), zoneLife),
		ReplaceTarget: func(p int) int { killed = w.leader(p); return killed },
		Arrived: func(server, pooler int, writes bool, at float64) {
			came.mu.Lock()
			defer came.mu.Unlock()
			came.all = append(came.all, arrival{server, pooler, writes, at})
		}})
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range append(w.rules.Breaches, res.Rules.Breaches...) {
		t.Errorf("%s: at %.1f s: %s", b.Rule, (b.At-res.FromMs)/1000, b.Text)
	}
	follows := zoneFollows(t, dir)
	from := res.FromMs
	if l := w.between(killed, from, from+chiefDies); len(l) == 0 || l[len(l)-1].leads != "1" {
		t.Errorf("pooler %d was killed, which did not lead", killed)
	}
	ends := map[uint64]int{} // by number: how many poolers had it last
	for p := range 8 {
		left := slices.ContainsFunc(w.between(p, from+zoneDies, from+zoneParts), func(l zoneLook) bool { return l.near["c"] == "0" })
		all := w.between(p, from+zoneOnes, res.ToMs+1)
		if len(all) == 0 {
			t.Fatalf("pooler %d's door was silent", p)
		}
		last := all[len(all)-1]
		for _, no := range slices.Compact(numbersOf(all)) {
			ends[no]++
		}
		if !left || last.near["c"] != "1" || last.state["c"] != "0" || last.why != "1" {
			t.Errorf("pooler %d: zone c was left: %v; in the end %+v", p, left, last)
		}
		short := 0.0
		for _, l := range w.looks[p] {
			if short = max(short, l.short); l.most > 1 {
				t.Errorf("pooler %d: %+v: more than the safe room", p, l)
				break
			}
		}
		cut := p == 2 || p == 5
		for _, l := range w.between(p, from+zoneParts+zoneLife+slackMs, from+zoneOnes) {
			if (l.why == "1") == cut {
				t.Errorf("pooler %d, cut off %v, at %.0f ms: %+v", p, cut, l.at-from, l)
				break
			}
		}
		reads := 0
		for _, x := range came.all {
			if x.pooler == p && !x.writes && x.at >= from+zoneParts+zoneLife && x.at < from+zoneOnes {
				reads++
			}
		}
		if reads < 5 {
			t.Errorf("pooler %d had %d reads reach a server while zone c's were cut off", p, reads)
		}
		t.Logf("pooler %d: plan %d, why %s, %d looks, %d reads in the cut, %.2f cores short at most", p, last.plan, last.why, len(w.looks[p]), reads, short)
	}
	if pids := slices.Compact(pidsOf(w.looks[max(0, killed)])); len(pids) != 2 {
		t.Errorf("pooler %d was seen as %d processes", killed, len(pids))
	}
	same := 0
	for _, n := range ends {
		if n == 8 {
			same++
		}
	}
	if same < 2 {
		t.Errorf("once the ways were well all poolers had %d of these in common: %v", same, ends)
	}
	all := &res.Score.Total
	t.Logf("killed %d; %d lines of plans that ask for something else; %d asked, of the worth %.3f; %d failed; %d numbers in common at the end", killed, follows, all.Asked, all.Ratio, all.Failed, same)
	zoneInside(t, triesIn(t, dir), from+zoneParts, from+zoneOnes)
	if all.Ratio < 0.85 { // what only a primary elsewhere can do is lost to the clients of the zone that is cut off
		t.Errorf("of the worth asked %.3f was served", all.Ratio)
	}
}
