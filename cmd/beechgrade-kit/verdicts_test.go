package main

import (
	"cmp"
	"context"
	"log/slog"
	"math"
	"strings"
	"sync"
	"testing"

	"beechgrade/internal/testkit/checker"
	"beechgrade/internal/testkit/rehearse"
	"beechgrade/internal/testkit/scenario"
)

// verdictsFleet is a fleet of 8 processes in two zones that share what they know, with a relay between each two of them, and two groups of 4 servers.
const verdictsFleet = ` (groups 4 4) (sessions 60) (retries 0) (cold 0s) (detect 300ms 400ms) (elect 300ms 500ms) (list 100ms 200ms) (roles 300ms 500ms) (sites "a" "b") ` + fastPeers

// arrivals are the requests that reached servers: which pooler sent them, and when.
type arrivals struct {
	mu  sync.Mutex
	all []arrival
}

type arrival struct {
	server, pooler int
	writes         bool
	at             float64
}

// count returns how many requests reached a server in [from, to) from the poolers that match accepts.
func (a *arrivals) count(server int, from, to float64, match func(pooler int) bool) (n int) {
	for _, x := range a.all {
		if x.server == server && x.at >= from && x.at < to && match(x.pooler) {
			n++
		}
	}
	return n
}

func anyPooler(int) bool { return true }

// runVerdicts plays a scenario on 8 processes that share what they know of servers by the given settings, and checks all rules.
func runVerdicts(t testing.TB, settings, script string, opt rehearse.Options) (*rehearse.Result, *arrivals) {
	t.Helper()
	s, err := scenario.Parse("script", []byte(`(rehearsal "verdicts" (rate 240) `+verdictsFleet+settings+script+`)`))
	if err != nil {
		t.Fatalf("parse the scenario: %v", err)
	}
	arrived := &arrivals{}
	opt.Seed, opt.Out, opt.Daemon, opt.Log = 5, cmp.Or(opt.Out, t.TempDir()), daemon, slog.New(slog.DiscardHandler)
	opt.Arrived = func(server, pooler int, writes bool, at float64) {
		arrived.mu.Lock()
		defer arrived.mu.Unlock()
		arrived.all = append(arrived.all, arrival{server, pooler, writes, at})
	}
	res, err := rehearse.Execute(context.Background(), s, opt)
	if err != nil {
		t.Fatalf("run the rehearsal: %v", err)
	}
	for i := range arrived.all {
		arrived.all[i].at -= res.FromMs
	}
	reportBreach(t, res)
	for _, rule := range []checker.Rule{checker.OneAnswer, checker.NotStale, checker.NotTwice, checker.PrimaryRan, checker.ViewAccurate} {
		if res.Rules.Checked[rule] == 0 {
			t.Errorf("%q was never checked", rule)
		}
	}
	t.Logf("%d requests, %.3f of their worth served; %d refused, %d failed, %d late", res.Score.Total.Asked, res.Score.Total.Ratio, res.Score.Total.Refused, res.Score.Total.Failed, res.Score.Total.Late)
	return res, arrived
}

// countPoolersAndRequests returns how many poolers sent requests to a server in [from, to), and how many requests, among those that match accepts.
func (a *arrivals) countPoolersAndRequests(server int, from, to float64, match func(pooler int) bool) (poolers, requests int) {
	who := map[int]bool{}
	for _, x := range a.all {
		if x.server == server && x.at >= from && x.at < to && match(x.pooler) {
			who[x.pooler] = true
			requests++
		}
	}
	return len(who), requests
}

// maxStrayPoolers is how many of seven poolers may send to a server in the first Turn of a verdict, in which none should: on a busy machine the
// collectors of a pooler may be stalled or be taken for failed, and it uses its own judgement for a moment. It then sends a trial of at most
// maxTrialRequests requests. Without shared verdicts all seven send repeatedly, as each readmits the server after a probe: 25 requests of all seven
// in the same time.
const (
	maxStrayPoolers  = 3
	maxTrialRequests = 3
)

// maxProbeIntervalMs is the longest time between two probes of a server that goes on failing, as in the decision module.
const maxProbeIntervalMs = 3200

// verdictSpreadMs is the time within which all poolers must avoid a deaf server: two of eight poolers detect it within some of their requests,
// then follow Settings.Spread and what a busy machine adds.
const verdictSpreadMs = 1500

// TestFleetVerdictsUnresponsiveServers guards against poolers that go on sending to a server which others know to be silent, and against
// avoidance without cause: one server receives no requests while its probes pass, another is cut off from one zone only, one pooler's own
// links lose most messages, and finally all replicas of a group are deaf.
func TestFleetVerdictsUnresponsiveServers(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	res, arrived := runVerdicts(t, "(verdicts (turn 30s))", `(seconds 17) (at 4s (deaf member 0 1) (for 5s)) (at 4s (cut a member 1 1) (for 5s)) (at 4s (thin 7 everyone 0.8) (for 5s))
		(at 11s (deaf member 0 1) (for 4s)) (at 11s (deaf member 0 2) (for 4s)) (at 11s (deaf member 0 3) (for 4s))`, rehearse.Options{Out: dir})
	others := func(p int) bool { return p != 7 }
	inA, inB := func(p int) bool { return p%2 == 0 }, func(p int) bool { return p%2 == 1 && p != 7 }
	poolers, deaf := arrived.countPoolersAndRequests(1, 4000+verdictSpreadMs, 9000, others)
	t.Logf("the deaf server: %d requests in 2 s before, %d of %d poolers in %d ms after the verdict had spread", arrived.count(1, 2000, 4000, others), deaf, poolers, 5000-verdictSpreadMs)
	if poolers > maxStrayPoolers || deaf > maxStrayPoolers*maxTrialRequests {
		t.Errorf("the deaf server got %d requests of %d poolers in %d ms after the verdict had to be known, and before a turn to try it; want at most %d of %d", deaf, poolers, 5000-verdictSpreadMs, maxStrayPoolers*maxTrialRequests, maxStrayPoolers)
	}
	checkAvoidedRecords(t, dir, res)
	cutA, freeB, wasB := arrived.count(5, 4500, 9000, inA), arrived.count(5, 4000+verdictSpreadMs, 9000, inB), arrived.count(5, 2000, 4000, inB)
	t.Logf("the server that zone a is cut off from: zone a %d, zone b %d in 2 s before, %d in %d ms", cutA, wasB, freeB, 5000-verdictSpreadMs)
	if cutA > 0 || float64(freeB)/(5000-verdictSpreadMs) < 0.4*float64(wasB)/2000 {
		t.Errorf("a server cut off from zone a got %d requests of that zone; of zone b it got %d in 2 s before and %d in %d ms since; want none of a, and of b at least 0.4 of the rate before", cutA, wasB, freeB, 5000-verdictSpreadMs)
	}
	for s := range 8 { // a pooler with bad links must not make others avoid servers
		if s == 1 || s == 0 || s == 4 {
			continue
		}
		if was, is := arrived.count(s, 2000, 4000, inB), arrived.count(s, 4000+verdictSpreadMs, 9000, inB); float64(is)/(5000-verdictSpreadMs) < 0.3*float64(was)/2000 {
			t.Errorf("server %d got %d requests of zone b in 2 s before, and %d in %d ms while the links of one pooler lost most messages; want at least 0.3 of the rate before", s, was, is, 5000-verdictSpreadMs)
		}
	}
	asked := 0
	for s := 1; s < 4; s++ {
		asked += arrived.count(s, 12500, 15000, anyPooler)
	}
	t.Logf("replicas that are all deaf: %d requests in 2.5 s", asked)
	if asked == 0 {
		t.Error("the replicas of a group get no requests once all of them look bad to all poolers, want at least one")
	}
}

// checkAvoidedRecords checks the records of the deaf server: nearly all poolers avoid one server in time, reported by two poolers, and stop avoiding it.
func checkAvoidedRecords(t testing.TB, dir string, res *rehearse.Result) {
	t.Helper()
	_, incidentView, _, err := rehearse.Compare(dir)
	if err != nil {
		t.Fatalf("compare records and clients: %v", err)
	}
	by, first, last := map[string]map[string]bool{}, math.Inf(1), 0.0
	for _, a := range incidentView.Avoided {
		if at := a.From - res.FromMs; at < 4000 || at > 4000+verdictSpreadMs {
			continue
		}
		if by[a.Server] == nil {
			by[a.Server] = map[string]bool{}
		}
		by[a.Server][a.By], first, last = true, min(first, a.From), max(last, a.From)
		if a.Why != "silent" || len(a.Reporters) != 2 || !strings.HasPrefix(a.Reporters[0], "pooler-") || a.To == 0 {
			t.Errorf("avoidance in the records: got %+v, want one for silence that two poolers reported and that ended", a)
		}
	}
	most := 0
	for _, who := range by {
		most = max(most, len(who))
	}
	asked := 0 // the poolers were queried every 250 ms meanwhile
	for _, n := range res.Fleet.Avoided {
		asked = max(asked, n)
	}
	if asked < 5 {
		t.Errorf("%d poolers reported that they avoid a server, want at least 5: %v", asked, res.Fleet.Avoided)
	}
	if t.Logf("%d servers are avoided on reports of others, one of them by %d poolers; %.0f ms from the first to the last", len(by), most, last-first); most < 5 {
		t.Errorf("by the records %d poolers avoided the deaf server in time, want at least 5: %+v", most, incidentView.Avoided)
	}
}

// TestFleetVerdictsTakeover guards against verdicts that outlast their cause: the fleet is partitioned while a server is cut off from one side; one process is
// stalled for 5 s; a server is replaced by another process at once. A primary dies and the list reports the takeover to one of eight
// poolers only. A server is deaf while all poolers but one are killed. No rule may be broken, and each of these must end within its bound.
func TestFleetVerdictsTakeover(t *testing.T) {
	t.Parallel()
	_, arrived := runVerdicts(t, "(verdicts (testers 1) (turn 30s))", `(seconds 19) (at 2s (between (5 6 7) (0 1 2 3 4) cut) (for 4s)) (at 2s (cut (5 6 7) member 1 2) (for 5s)) (at 2s (stall-pooler 4) (for 5s))
		(at 3s (restart member 1 1)) (at 8s (list-held (1 2 3 4 5 6 7)) (for 5s)) (at 8200ms (die primary 0)) (at 12s (deaf member 1 3) (for 7s))
		(at 14s (kill-pooler 0) (for 200ms)) (at 14s (kill-pooler 1) (for 200ms)) (at 14s (kill-pooler 2) (for 200ms)) (at 14s (kill-pooler 4) (for 200ms))
		(at 14s (kill-pooler 5) (for 200ms)) (at 14s (kill-pooler 6) (for 200ms)) (at 14s (kill-pooler 7) (for 200ms))`, rehearse.Options{})
	for p := range 8 { // the takeover is over by 9.1 s
		n := 0
		for _, x := range arrived.all {
			if x.pooler == p && x.writes && x.server > 0 && x.server < 4 && x.at > 10000 && x.at < 13000 {
				n++
			}
		}
		if n == 0 {
			t.Errorf("pooler %d sent no write to the new primary of group 0, which the list reported to pooler 0 alone", p)
		}
	}
	unpartitioned := func(p int) bool { return p < 4 }
	requireRequests := func(server int, from, to float64, what string) {
		was, is := arrived.count(server, 500, 2000, unpartitioned)*1000/1500, arrived.count(server, from, to, unpartitioned)*1000/int(to-from)
		if t.Logf("%s: %d requests a second before, %d since", what, was, is); is < was*3/10 {
			t.Errorf("%s: it got %d requests a second before, %d since; want at least 3 of 10", what, was, is)
		}
	}
	requireRequests(6, 2000+verdictSpreadMs, 7000, "a server that the other side of a partition is cut off from") // a pooler's own evidence outranks reports of others
	requireRequests(5, 3000+200+verdictSpreadMs, 7000, "a server that is another process, once the list has it")
	if n := arrived.count(6, 7000+maxProbeIntervalMs+verdictSpreadMs, 13000, func(p int) bool { return p > 4 }); n == 0 {
		t.Error("a server that three poolers were cut off from got no requests of theirs since, want at least one")
	}
	resumed := 0 // Settings.Caught is 1.2 s where messages take 5 ms; which replica it selects depends on what it saw itself when it resumed
	for s := 5; s < 8; s++ {
		resumed += arrived.count(s, 7000+1200+verdictSpreadMs, 12000, func(p int) bool { return p == 4 })
	}
	if resumed == 0 {
		t.Error("a pooler that was stalled for 5 s sent nothing to the replicas of a group since it resumed, want at least one request")
	}
	// The restarted poolers are up by about 15.5 s, and the one that did not restart knows of the deaf server.
	poolers, deaf := arrived.countPoolersAndRequests(7, 14200+1300+verdictSpreadMs, 19000, func(p int) bool { return p != 3 })
	if t.Logf("the deaf server: %d requests of %d restarted poolers after the verdict had to be known", deaf, poolers); poolers > maxStrayPoolers || deaf > maxStrayPoolers*maxTrialRequests {
		t.Errorf("a deaf server got %d requests of %d restarted poolers, though one pooler that knew of it had not restarted; want at most %d of %d", deaf, poolers, maxStrayPoolers*maxTrialRequests, maxStrayPoolers)
	}
}

// TestFleetVerdictsByzantine guards against false reports: one of eight processes reports all servers as silent, as primaries and as 5 s ahead of their true
// position, while one server is deaf. The others must avoid that one and no other. Seven of the eight collect, so the false reporter is a
// collector in most runs.
func TestFleetVerdictsByzantine(t *testing.T) {
	t.Parallel()
	res, arrived := runVerdicts(t, "(verdicts (testers 1) (collectors 7) (turn 30s))", `(seconds 9) (at 4s (deaf member 0 1) (for 5s))`, withByzantinePooler(t, rehearse.Options{}, 3, "servers"))
	if got := res.Score.Total.Ratio; got < 0.9 { // 0.78 if the report of a single pooler is enough
		t.Errorf("service %.3f, want at least 0.9", got)
	}
	others := func(p int) bool { return p != 3 }
	for s := range 8 {
		if s == 0 || s == 4 {
			continue // the primaries
		}
		was, is := float64(arrived.count(s, 1000, 4000, others))/3000, float64(arrived.count(s, 4000+verdictSpreadMs, 9000, others))/(5000-verdictSpreadMs)
		t.Logf("server %d got %.0f requests a second before, %.0f after the verdict on the deaf server had to be known", s, 1000*was, 1000*is)
		if s == 1 && is > 0.2*was || s != 1 && is < 0.3*was || was == 0 {
			t.Errorf("server %d got %.0f requests a second before, %.0f after the verdict on the deaf server had to be known; want at most 0.2 of it at server 1, at least 0.3 elsewhere", s, 1000*was, 1000*is)
		}
	}
}
