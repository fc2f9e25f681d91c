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

// zonesHeavy has a zone alone carry all reads, and just not twice as many: 2 servers of 4 cores in each zone. Work takes a fifth of the aim, as poolers
// guess until they have seen some dozens of a class.
const zonesHeavy = `(groups 3 3) (cores 4) (sites "a" "b" "c") (near yes) (cross-price 0.01) (retries 2) (sessions 40) (cold 1s) (detect 300ms 400ms) (elect 300ms 500ms) (list 100ms 200ms) (roles 300ms 500ms)
	(class "quadro-obra" (aim 400ms) (deadline 4s) (work 60ms 100ms)) (class "conferir-ponto" (aim 400ms) (deadline 4s) (work 60ms 100ms))
	(class "relatorio-mes" (aim 400ms) (deadline 4s) (work 60ms 100ms)) (class "registrar-ponto" (aim 400ms) (deadline 4s) (work 60ms 100ms))` + peersQuick

const (
	heavyWork  = 0.080 // s, in the mean
	heavyCores = 8     // of a zone
)

// zonesOf are the operators' settings of a play: voters, plans that go in quick steps, and a way back that takes a while.
func zonesOf(dir string, voters int) string {
	names := ""
	for v := range voters {
		names += fmt.Sprintf(" \"pooler-%d\"", v)
	}
	return fmt.Sprintf(`(agreed (voters%s) (dir "%[2]s/log-$POOLER") (tick 50ms) (election 12) (heartbeat 2) (every 400) (keep 100))
(zones (names "a" "b" "c") (delay "a" "b" 1ms) (delay "a" "c" 1ms) (delay "b" "c" 2ms) (cores 4) (dir "%[2]s/zones") (period 200ms) (renew 500ms) (life %[3]dms) (step 400ms)
	(out 0.5) (back 0.2) (window 500ms) (memory 1s) (least 3) (fail 400ms) (empty 600ms) (rest 2s) (most-rest 4s) (warm 1500ms))
`, names, dir, zoneLife)
}

// zonesPlay is a play of 8 processes in three zones, and what was seen of it. Times are from its start.
type zonesPlay struct {
	*zoneWatch
	*rehearse.Result
	set    zones.Settings
	dir    string
	shares [8][]planned // by pooler, by time
	tries  []rehearse.AttemptLine

	rmu   sync.Mutex
	reads []zoneRead
}

type planned struct {
	at     float64
	no     uint64
	shares [][]float64
}

type zoneRead struct {
	at       float64
	from, to int // zones
}

// zoneAt is where a server is, of two groups of three.
func zoneAt(server int) int { return (server/3 + server%3) % 3 }

// playZones plays; does are called at their times with where doors are.
func playZones(t testing.TB, voters int, script string, instead func(w *zoneWatch) int, does map[float64]func(doors []string)) *zonesPlay {
	t.Helper()
	s, err := scenario.Parse("script", []byte(`(rehearsal "zones" `+zonesHeavy+script+`)`))
	if err != nil {
		t.Fatal(err)
	}
	z := &zonesPlay{zoneWatch: &zoneWatch{rules: checker.NewZoneChecker(0, 0, 1)}, dir: t.TempDir()}
	operators := zonesOf(filepath.Join(z.dir, "disks"), voters)
	set, err := settings.Parse("x", []byte(`(peers (listen "127.0.0.1:1") (key "k"))`+operators), func(string) string { return "p" })
	if err != nil {
		t.Fatal(err)
	}
	z.set = set.Zones.Settings
	var wg sync.WaitGroup
	opt := rehearse.Options{Seed: 5, Out: z.dir, Daemon: daemon, Log: slog.New(slog.DiscardHandler), Metrics: z.take, Operators: operators,
		Started: func(at float64, doors []string) {
			for ms, do := range does {
				wg.Go(func() {
					time.Sleep(time.Duration(ms * float64(time.Millisecond)))
					do(doors)
				})
			}
		},
		Read: func(at float64, c *clients.Class, pooler, server int) {
			if c.Read == clients.ReadAny || c.Read == clients.ReadBounded {
				z.rmu.Lock()
				defer z.rmu.Unlock()
				z.reads = append(z.reads, zoneRead{at, pooler % 3, zoneAt(server)})
			}
		}}
	if instead != nil {
		opt.ReplaceTarget = func(int) int { return instead(z.zoneWatch) }
	}
	if z.Result, err = rehearse.Execute(context.Background(), s, opt); err != nil {
		t.Fatal(err)
	}
	wg.Wait()
	for _, b := range append(z.rules.Breaches, z.Rules.Breaches...) {
		t.Errorf("%s: at %.1f s: %s", b.Rule, (b.At-z.FromMs)/1000, b.Text)
	}
	zoneFollows(t, z.dir)
	z.logged(t)
	z.tries = triesIn(t, z.dir)
	return z
}

// triesIn are what clients tried.
func triesIn(t testing.TB, dir string) (out []rehearse.AttemptLine) {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(dir, rehearse.AttemptsFile))
	if err != nil {
		t.Fatal(err)
	}
	for line := range bytes.Lines(b) {
		var l rehearse.AttemptLine
		if err := jsoniter.Unmarshal(line, &l); err != nil {
			t.Fatal(err)
		}
		out = append(out, l)
	}
	return out
}

var numberOf = regexp.MustCompile(`[0-9.e-]+`)

// logged takes the plans' shares from the poolers' logs.
func (z *zonesPlay) logged(t testing.TB) {
	for p := range 8 {
		f, err := os.Open(filepath.Join(z.dir, fmt.Sprintf("pooler-%d", p), "log.txt"))
		if err != nil {
			t.Fatal(err)
		}
		for in := bufio.NewScanner(f); in.Scan(); {
			l := map[string]string{}
			for _, m := range fieldOf.FindAllStringSubmatch(in.Text(), -1) {
				l[m[1]] = m[2]
			}
			at, err := time.Parse(time.RFC3339, l["time"])
			cells := numberOf.FindAllString(l["shares"], -1)
			if l["msg"] != `"zones: plan adopted"` || err != nil || len(cells) != 9 {
				continue
			}
			x := planned{at: float64(at.UnixMilli()) - z.FromMs, shares: make([][]float64, 3)}
			x.no, _ = strconv.ParseUint(l["plan"], 10, 64)
			for i, c := range cells {
				v, err := strconv.ParseFloat(c, 64)
				if err != nil {
					t.Fatal(err)
				}
				x.shares[i/3] = append(x.shares[i/3], v)
			}
			z.shares[p] = append(z.shares[p], x)
		}
		_ = f.Close()
	}
}

// looksAt are a pooler's looks, by times from the play's start.
func (z *zonesPlay) looksAt(pooler int, from, to float64) []zoneLook {
	return z.between(pooler, z.FromMs+from, z.FromMs+to)
}

// full holds every plan in force, at each look, against what clients near each zone asked in the last seconds and what serves there by the faults;
// settled after the changes.
func (z *zonesPlay) full(settled float64, changes []float64, cores func(at float64) []float64) (looked int, found []checker.Breach) {
	const spanMs = 2500
	rules := checker.NewZoneChecker(1, settled, 1)
	type event struct {
		at float64
		do func()
	}
	var events []event
	for _, at := range changes {
		events = append(events, event{at, func() { rules.FaultChanged(at) }})
	}
	movable := map[string]bool{"quadro-obra": true, "conferir-ponto": true, "relatorio-mes": true}
	for p := range 8 {
		for _, l := range z.looks[p] {
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
				for _, y := range z.tries {
					if x := y.Sent - z.FromMs; movable[y.Class] && x >= at-spanMs && x < at && y.Pooler != "" {
						no, _ := strconv.Atoi(strings.TrimPrefix(y.Pooler, "pooler-"))
						asked[no%3] += heavyWork / spanMs * 1000
					}
				}
				looked++
				rules.CheckPlan(at, l.plan, z.shares[p][i].shares, asked, cores(at))
			}})
		}
	}
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	for _, e := range events {
		e.do()
	}
	return looked, rules.Breaches
}

// calm is which part of the reads crossed that most members may serve, in a time without faults; more than far breaks the rule.
func (z *zonesPlay) calm(from, to, far float64) (part, reads float64, found []checker.Breach) {
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

// shifts are how often a zone's row of the plans that a pooler followed came to have another zone as the one that most is sent to.
func (z *zonesPlay) shifts(pooler, zone int, from, to float64) (n int) {
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

func doorFlags(doors []string) (out []string) {
	for _, d := range doors {
		out = append(out, "--door", d)
	}
	return out
}

func (z *zonesPlay) tell(t testing.TB) {
	t.Helper()
	all := &z.Score.Total
	t.Logf("%d asked, of the worth %.3f; %d failed", all.Asked, all.Ratio, all.Failed)
	if !t.Failed() && os.Getenv("ZONES_TELL") == "" {
		return
	}
	for p := range 8 {
		for _, x := range z.shares[p] {
			t.Logf("pooler %d at %5.0f: plan %d %v", p, x.at, x.no, x.shares)
		}
	}
}

// TestZonesChecks: what the plays hold is seen to fail: a plan that sends more than is safe, and not one that just fits or is settled too little; reads that cross; shifts.
func TestZonesChecks(t *testing.T) {
	t.Parallel()
	z := &zonesPlay{zoneWatch: &zoneWatch{}, Result: &rehearse.Result{ToMs: 20000}}
	for i := range 2000 { // 100 a second of zone a's, 8 cores
		z.tries = append(z.tries, rehearse.AttemptLine{Class: "relatorio-mes", Pooler: "pooler-0", Sent: float64(i) * 10})
		z.reads = append(z.reads, zoneRead{float64(i) * 10, 0, (9 - i%10) / 9})
	}
	z.shares[0] = []planned{{0, 1, [][]float64{{1, 0, 0}, {0, 1, 0}, {0, 0, 1}}}, {5000, 4, [][]float64{{0.2, 0.8, 0}, {0, 1, 0}, {0, 0, 1}}}, {8000, 6, [][]float64{{1, 0, 0}, {0, 1, 0}, {0, 0, 1}}}}
	z.looks[0] = []zoneLook{{at: 4000, plan: 3, why: "1"}, {at: 7000, plan: 5, why: "1"}, {at: 7500, plan: 5, why: "2"}, {at: 9000, plan: 7, why: "1"}}
	cores := func(b float64) func(float64) []float64 { return func(float64) []float64 { return []float64{8, b, 8} } }
	for _, x := range []struct {
		b       float64
		changes []float64
		want    int
	}{{8, nil, 0}, {5, nil, 1}, {5, []float64{6000}, 0}} {
		if looked, found := z.full(2000, x.changes, cores(x.b)); looked != 3 || len(found) != x.want || x.want > 0 && found[0].Rule != checker.FullZone {
			t.Errorf("%v: %d looks, found %v", x, looked, found)
		}
	}
	if far, reads, found := z.calm(1000, 2000, 0.05); far != 0.1 || reads != 100 || len(found) != 1 {
		t.Errorf("%.3f of %.0f crossed, found %v", far, reads, found)
	}
	if _, _, found := z.calm(1000, 2000, 0.15); len(found) != 0 {
		t.Error(found)
	}
	if n := z.shifts(0, 0, 0, 9000); n != 2 {
		t.Errorf("%d shifts", n)
	}
}
