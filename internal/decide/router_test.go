package decide

import (
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"

	"beechgrade/internal/invariant"
)

const ms = time.Millisecond

// start is where the tests' clock begins.
const start = 1000 * time.Second

// rig drives one router by hand.
type rig struct {
	t   *testing.T
	r   *Router
	now Time
	out []Action
}

// classes used by the tests, by number.
const (
	cBounded = iota
	cSession
	cWrite  // keyed, inside the group
	cUnsafe // a write that must never run twice
	cAny
)

func testSettings() Settings {
	return Settings{
		Peers: 1, Tick: 5 * ms, MayCancel: true, MayDuplicate: true, MayProbe: true,
		MaxRetryAfter: time.Second, MaxAttempts: 6, DrainGrace: 500 * ms, FallMultiple: 3, FallSpan: time.Second,
		ColdFrom: 0.2, ColdTime: 10 * time.Second, OverShareWorth: 0.1,
		Classes: []Class{
			cBounded: {Target: 400 * ms, Deadline: 2 * time.Second, Worth: 1, Read: ReadBounded, Bound: 300 * ms},
			cSession: {Target: 400 * ms, Deadline: 2 * time.Second, Worth: 1, Read: ReadSession},
			cWrite: {Target: 400 * ms, Deadline: 3 * time.Second, Worth: 4, LateWorth: 0.3, Read: Write, Effect: Keyed,
				Scope: ScopeGroup, KeyWindow: 2 * time.Second},
			cUnsafe: {Target: 400 * ms, Deadline: 3 * time.Second, Worth: 4, LateWorth: 0.3, Read: Write, Effect: Unsafe},
			cAny:    {Target: 400 * ms, Deadline: 2 * time.Second, Worth: 1, Read: ReadAny},
		},
	}
}

func newRig(t *testing.T, set Settings, entries ...Entry) *rig {
	t.Helper()
	g := &rig{t: t, r: New(set, 7), now: start}
	g.r.Watch(invariant.Test(t), 1)
	g.do(&List{Kind: ListRestored, Entries: entries})
	return g
}

// trio is a group with primary p and replicas a and b, all in touch and up to date.
func trio(t *testing.T, change func(*Settings)) *rig {
	t.Helper()
	set := testSettings()
	if change != nil {
		change(&set)
	}
	g := newRig(t, set, Entry{Server: "p", Size: 1}, Entry{Server: "a", Size: 1}, Entry{Server: "b", Size: 1})
	g.report("p", RolePrimary, g.now)
	g.report("a", RoleReplica, g.now)
	g.report("b", RoleReplica, g.now)
	return g
}

func (g *rig) do(ev Event) []Action {
	g.out = g.r.Handle(g.now, ev, nil)
	return g.out
}

func (g *rig) report(s ServerID, role Role, at Time) []Action {
	return g.do(&ProbeResult{Server: s, Load: Report{Role: role, Position: at, HasPosition: true}})
}

func (g *rig) ask(id RequestID, class int) []Action {
	return g.do(&Request{ID: id, Class: class, Deadline: g.now + g.r.classes[class].Deadline})
}

func (g *rig) end(id RequestID, no int, s ServerID, res Result) []Action {
	return g.do(&Outcome{ID: id, Attempt: no, Server: s, Result: res, Final: res == OK})
}

// pass lets time go by with beats and returns all that was done meanwhile.
func (g *rig) pass(d time.Duration) (all []Action) {
	for end := g.now + d; g.now < end; {
		g.now = min(end, g.now+tickEvery)
		all = append(all, g.do(&Timer{})...)
	}
	return all
}

// of picks the actions of a kind.
func of(kind ActionKind, actions []Action) (got []Action) {
	for _, a := range actions {
		if a.Kind == kind {
			got = append(got, a)
		}
	}
	return got
}

func (g *rig) wantSend(actions []Action, id RequestID, s ServerID) {
	g.t.Helper()
	got := of(Send, actions)
	if len(got) != 1 || got[0].ID != id || s != "" && got[0].Server != s {
		g.t.Fatalf("want one send of %s to %q, got %+v", id, s, got)
	}
}

func (g *rig) wantNone(kind ActionKind, actions []Action) {
	g.t.Helper()
	if got := of(kind, actions); len(got) != 0 {
		g.t.Fatalf("want none of kind %d, got %+v", kind, got)
	}
}

func finals(actions []Action) []Action {
	return append(of(Refuse, actions), of(Fail, actions)...)
}

// TestCostMatchesAWorkedExample checks equation 2 on an example worked by hand: rate 1, width 4, average work 0.08. A request among n gets
// (1+(n/4)^4)^(-1/4): 0.9990 alone, 0.9864 as the second, 0.8409 as the fourth, 0.7347 as the fifth. The new one takes
// 0.08 over its share, and each of those there slows from its share to that.
func TestCostMatchesAWorkedExample(t *testing.T) {
	for _, c := range []struct {
		inFlight int
		want     float64
	}{
		{0, 0.08 / 0.9990},
		{3, 0.08/0.8409 + 3*(0.08/0.8409-0.08/0.9330)},
		{4, 0.08/0.7347 + 4*(0.08/0.7347-0.08/0.8409)},
	} {
		g := trio(t, nil)
		s := g.r.servers["a"]
		cl := &g.r.classes[cAny]
		req := &request{class: cl, value: 1, size: 1}
		for range c.inFlight {
			s.open = append(s.open, &attempt{req: req})
		}
		got, _ := g.r.cost(s, req)
		if math.Abs(got-c.want) > 1e-3 {
			t.Errorf("%d in flight: cost %v, want %v", c.inFlight, got, c.want)
		}
	}
}

func TestCostCountsWorth(t *testing.T) {
	g := trio(t, nil)
	s := g.r.servers["p"]
	read := &request{class: &g.r.classes[cAny], value: 1, size: 1}
	dear := &request{class: &g.r.classes[cAny], value: 4, size: 1}
	for range 4 {
		s.open = append(s.open, &attempt{req: dear})
	}
	if got, _ := g.r.cost(s, read); math.Abs(got-(0.08/0.7347+4*4*(0.08/0.7347-0.08/0.8409))) > 2e-3 {
		t.Errorf("cost %v: the slowdown of dearer requests must count by their worth", got)
	}
}

func TestFreezeHoldsShares(t *testing.T) {
	g := trio(t, nil)
	s := g.r.servers["a"]
	for i := range 5 {
		req := &request{id: RequestID(fmt.Sprint(i)), class: &g.r.classes[cAny], value: 1, size: 1}
		s.open = append(s.open, &attempt{req: req})
	}
	s.frozenShare, s.frozenUntil = 0.8, g.now+freeze
	req := &request{class: &g.r.classes[cAny], value: 1, size: 1}
	s.open = s.open[:3] // two ended: shares stay as they were at the pick
	held, _ := g.r.cost(s, req)
	g.now += freeze + ms
	g.r.now = g.now
	_, left := g.r.cost(s, req)
	if left <= 0.8 || held <= 0 {
		t.Errorf("share after the freeze is %v, want the full rate back", left)
	}
	s.frozenUntil = g.now + freeze
	if _, left = g.r.cost(s, req); left != 0.8 {
		t.Errorf("share inside the freeze is %v, want 0.8", left)
	}
}

func TestUnknownServerTakesItsKindsRate(t *testing.T) {
	g := newRig(t, testSettings(), Entry{Server: "a", Kind: 0}, Entry{Server: "b", Kind: 1}, Entry{Server: "c", Kind: 1},
		Entry{Server: "d", Kind: 1, Group: 5})
	if got := g.r.base(g.r.servers["a"]); got != startRate {
		t.Errorf("nothing heard: %v", got)
	}
	// b's answers take half the service that was expected, second after second.
	for i := range 10 {
		id := RequestID(fmt.Sprint("q", i))
		b := g.r.servers["b"]
		req := &request{id: id, class: &g.r.classes[cAny], group: b.group, value: 1, size: 1, deadline: g.now + time.Second}
		g.r.requests[id] = req
		a := &attempt{req: req, sent: g.now, service: b.service}
		b.open, req.attempts, req.open = append(b.open, a), append(req.attempts, a), 1
		g.r.open++
		b.group.open++
		b.service += req.work() / g.r.base(b) / 2
		b.serviceAt = g.now
		g.end(id, 0, "b", OK)
		g.pass(refreshEvery)
	}
	a, b, c, d := g.r.base(g.r.servers["a"]), g.r.base(g.r.servers["b"]), g.r.base(g.r.servers["c"]), g.r.base(g.r.servers["d"])
	if a != startRate || c <= 1.2 || d != c || b < c {
		t.Errorf("rates %v %v %v %v: want the kind's to follow b, in every group, and no other kind's", a, b, c, d)
	}
}

// TestLeastCostDecides fails if reads do not spread to the least loaded qualifying member.
func TestLeastCostDecides(t *testing.T) {
	g := trio(t, nil)
	g.r.servers["p"].relativeRate, g.r.servers["a"].relativeRate, g.r.servers["b"].relativeRate = 0.5, 1, 2
	g.wantSend(g.ask("1", cBounded), "1", "b")
	for i := 2; i <= 4; i++ {
		g.ask(RequestID(fmt.Sprint(i)), cBounded)
	}
	// b's requests would now slow each other; a still gives a whole share.
	g.r.servers["b"].relativeRate = 1
	g.wantSend(g.ask("5", cBounded), "5", "a")
}

func TestBoundedReadAtTheBoundary(t *testing.T) {
	for _, c := range []struct {
		age  time.Duration
		want bool
	}{{300 * ms, true}, {301 * ms, false}} {
		g := newRig(t, testSettings(), Entry{Server: "a"})
		g.report("a", RoleReplica, g.now-c.age)
		if got := len(of(Send, g.ask("1", cBounded))) == 1; got != c.want {
			t.Errorf("position %v old: sent %v, want %v", c.age, got, c.want)
		}
	}
}

func TestSessionReadAtTheBoundary(t *testing.T) {
	for _, c := range []struct {
		token time.Duration
		want  bool
	}{{0, true}, {100 * ms, true}, {99 * ms, false}} {
		g := newRig(t, testSettings(), Entry{Server: "a"})
		g.report("a", RoleReplica, g.now-100*ms)
		got := g.do(&Request{ID: "1", Class: cSession, Deadline: g.now + time.Second, SinceOwn: c.token})
		if sent := len(of(Send, got)) == 1; sent != c.want {
			t.Errorf("written %v ago: sent %v, want %v", c.token, sent, c.want)
		}
	}
}

func TestRememberedCommitsBindSessionReads(t *testing.T) {
	g := trio(t, func(s *Settings) { s.TrackCommits = true })
	g.do(&Request{ID: "w", Class: cWrite, Deadline: g.now + time.Second, Session: "s"})
	g.now += 50 * ms
	g.do(&Outcome{ID: "w", Server: "p", Final: true, Reported: Report{Role: RolePrimary, Position: g.now, HasPosition: true}})
	got := g.do(&Request{ID: "r", Class: cSession, Deadline: g.now + time.Second, Session: "s"})
	got = append(append(got, g.report("a", RoleReplica, g.now-51*ms)...), g.report("b", RoleReplica, g.now-51*ms)...)
	g.wantSend(append(got, g.pass(2*tickEvery)...), "r", "p")
	for i := range maxSessions + 1 {
		g.r.remember(fmt.Sprint(i), g.now)
		g.r.remember(fmt.Sprint("more", i), g.now)
	}
	if n := len(g.r.commits); n > maxSessions {
		t.Errorf("%d sessions kept", n)
	}
	if g.r.forgotten != g.now {
		t.Error("dropping sessions must raise what an unknown one is taken to have written")
	}
}

// TestStaleReplicaIsNeverGuessedWhereItWouldAnswer guards the stale rule.
func TestStaleReplicaIsNeverGuessedWhereItWouldAnswer(t *testing.T) {
	for _, c := range []struct {
		behind Behind
		want   bool
	}{{BehindAnswers, false}, {BehindRefuses, true}, {BehindWaits, true}} {
		set := testSettings()
		set.Behind = c.behind
		g := newRig(t, set, Entry{Server: "a"})
		g.report("a", RoleReplica, g.now)
		g.now += 350 * ms
		if got := len(of(Send, g.ask("1", cBounded))) == 1; got != c.want {
			t.Errorf("behind=%d: sent %v, want %v", c.behind, got, c.want)
		}
	}
}

func TestPositionNeverGoesBackNorAhead(t *testing.T) {
	g := trio(t, nil)
	g.report("a", RoleReplica, g.now-time.Second)
	if g.r.servers["a"].position != start {
		t.Error("an older report took the position back")
	}
	g.report("a", RoleReplica, g.now+time.Hour)
	if g.r.servers["a"].position != start {
		t.Error("a position in the future was believed")
	}
}

func TestDrainBindsFromTheBatchThatTells(t *testing.T) {
	for _, state := range []ServerState{Draining, Gone} {
		g := trio(t, nil)
		g.do(&List{Kind: ListChanges, Entries: []Entry{{Server: "a", State: state}, {Server: "b", State: state}}})
		for i := range 4 {
			g.wantSend(g.ask(RequestID(fmt.Sprint(i)), cAny), RequestID(fmt.Sprint(i)), "p")
		}
		g.do(&List{Kind: ListChanges, Entries: []Entry{{Server: "p", State: state}}})
		g.wantNone(Send, append(g.ask("w", cWrite), g.pass(100*ms)...))
	}
}

func TestMissingFromAFullListIsGone(t *testing.T) {
	for _, soft := range []bool{false, true} {
		g := trio(t, func(s *Settings) { s.DrainOnly = soft })
		g.do(&List{Kind: ListFull, Entries: []Entry{{Server: "b"}}})
		if got := g.r.servers["a"].usable(); got != soft {
			t.Errorf("soft removal %v: usable %v", soft, got)
		}
	}
}

// TestOutcomeIsRetriedAsItsEffectAllows is the table of what may follow an attempt's end.
func TestOutcomeIsRetriedAsItsEffectAllows(t *testing.T) {
	again, fail := "sent again", "failed"
	for _, c := range []struct {
		res                 Result
		safe, keyed, unsafe string
	}{
		{Failed, again, again, fail},
		{TimedOut, again, again, fail},
		{Reset, again, again, fail},
		{Cancelled, again, again, fail},
		{Full, again, again, again},
		{Unreachable, again, again, again},
		{Missed, again, again, again},
	} {
		for class, want := range map[int]string{cAny: c.safe, cWrite: c.keyed, cUnsafe: c.unsafe} {
			g := trio(t, nil)
			first := of(Send, g.ask("1", class))
			if len(first) != 1 {
				t.Fatalf("not sent")
			}
			g.now += 5 * ms
			out := g.end("1", 0, first[0].Server, c.res)
			for range 40 { // help a primary that was doubted back
				g.report("p", RolePrimary, g.now)
				out = append(append(out, g.out...), g.pass(tickEvery)...)
			}
			got := "held"
			switch {
			case len(of(Send, out)) > 0:
				got = again
			case len(of(Fail, out)) > 0:
				got = fail
			case len(of(Refuse, out)) > 0:
				got = "refused"
			}
			if got != want {
				t.Errorf("result %d, class %d: %s, want %s", c.res, class, got, want)
			}
		}
	}
}

// TestKeyedRequestIsRepeatedOnlyInItsWindow sends a keyed request again just inside its window and not at its edge.
func TestKeyedRequestIsRepeatedOnlyInItsWindow(t *testing.T) {
	for _, c := range []struct {
		after time.Duration
		want  bool
	}{{1990 * ms, true}, {1995 * ms, false}} {
		g := trio(t, nil)
		g.ask("1", cWrite)
		g.now += c.after
		out := g.end("1", 0, "p", Failed)
		if got := len(of(Send, out)) == 1; got != c.want {
			t.Errorf("after %v: sent %v", c.after, got)
		}
		if !c.want && len(of(Fail, out)) != 1 {
			t.Errorf("after %v: a keyed request that may have run is failed, not refused: %+v", c.after, out)
		}
	}
}

func TestNeverTwoInFlightWhereNotAllowed(t *testing.T) {
	g := trio(t, func(s *Settings) { s.MayDuplicate = false })
	first := of(Send, g.ask("1", cAny))[0].Server
	g.r.takeDown(g.r.servers[first])
	out := g.pass(100 * ms)
	g.wantNone(Send, out)
	if len(of(Cancel, out)) != 1 {
		t.Fatalf("want it called off first: %+v", out)
	}
	out = g.end("1", 0, first, Cancelled)
	if got := of(Send, out); len(got) != 1 || got[0].Server == first {
		t.Fatalf("want it sent elsewhere: %+v", out)
	}
}

// TestOneFinalAnswerBeforeTheDeadline demands exactly one final answer before the client's time is up.
func TestOneFinalAnswerBeforeTheDeadline(t *testing.T) {
	for class, want := range map[int]ActionKind{cAny: Refuse, cUnsafe: Fail, cWrite: Fail} {
		g := trio(t, nil)
		g.do(&Request{ID: "1", Class: class, Deadline: g.now + 200*ms})
		out := g.pass(200 * ms)
		if got := finals(out); len(got) != 1 || got[0].Kind != want {
			t.Fatalf("class %d: %+v", class, got)
		}
		g.wantNone(Send, g.end("1", 0, "p", TimedOut))
		g.wantNone(Send, g.pass(time.Second))
	}
}

func TestRequestIsGivenUpOnceItsTargetHasPassed(t *testing.T) {
	g := newRig(t, testSettings()) // nobody to ask
	if got := finals(append(g.ask("1", cBounded), g.pass(410*ms)...)); len(got) != 1 || got[0].Kind != Refuse {
		t.Fatalf("want a refusal once the aim has passed: %+v", got)
	} else if got[0].Wait != time.Second { // it found no capacity for all its target: soon again it would be late
		t.Fatalf("advised %v, want the longest that there is", got[0].Wait)
	}
}

// TestColdServerStaysWithinItsBudget counts the work sent to a cold server within the rule's span.
func TestColdServerStaysWithinItsBudget(t *testing.T) {
	for _, peers := range []int{1, 3} {
		set := testSettings()
		set.Peers = peers
		g := newRig(t, set, Entry{Server: "a", Started: start})
		g.report("a", RoleReplica, g.now)
		sent := 0
		for i := range 200 {
			id := RequestID(fmt.Sprint(i))
			for _, a := range append(g.ask(id, cAny), g.pass(5*ms)...) {
				if a.Kind == Send {
					sent++
					g.end(a.ID, 0, "a", Full)
					g.r.servers["a"].fullUntil = 0
				}
			}
		}
		work := float64(sent) * g.r.classes[cAny].work
		most := set.FallMultiple * 0.3 * width * startRate / float64(peers)
		if sent == 0 || work > most {
			t.Errorf("%d siblings: %d sends, %v of work, at most %v", peers, sent, work, most)
		}
	}
}

func TestReturnAfterAnOutageIsCold(t *testing.T) {
	g := trio(t, nil)
	s := of(Send, g.ask("1", cAny))[0].Server
	g.end("1", 0, s, Unreachable)
	g.do(&ProbeResult{Server: s, Result: Unreachable})
	g.now += outage + ms
	g.report(s, RoleReplica, g.now)
	if w := g.r.warmth(g.r.servers[s]); w > 0.3 {
		t.Errorf("warmth %v after an outage", w)
	}
}

// TestColdAnswersDoNotRaiseTheRate: a server that started sooner than the router knows answers sooner than one so cold
// would. Its rate must not rise for that: it would take more than it stands later, while still cold.
func TestColdAnswersDoNotRaiseTheRate(t *testing.T) {
	g := trio(t, nil)
	s, sent := g.r.servers["p"], 0
	rounds := func(name string, n int) {
		for i := range n {
			id := RequestID(fmt.Sprint(name, i))
			out := append([]Action{}, g.ask(id, cUnsafe)...)
			for len(of(Send, out)) == 0 && len(finals(out)) == 0 {
				out = append(out, g.pass(tickEvery)...)
			}
			g.pass(60 * ms) // as a server takes that is warm, and a little faster than usual
			if len(of(Send, out)) == 1 {
				sent++
				g.end(id, 0, "p", OK)
			}
			g.pass(140 * ms)
		}
	}
	s.coldFrom = g.now
	was, work := g.r.base(s), g.r.classes[cUnsafe].work
	rounds("cold", 20)
	if now := g.r.base(s); sent < 10 || now > 1.001*was || g.r.classes[cUnsafe].work != work {
		t.Errorf("%d answers of a cold store; its rate went from %v to %v", sent, was, now)
	}
	g.pass(10 * time.Second)
	rounds("warm", 20)
	if now := g.r.base(s); now <= 1.05*was {
		t.Errorf("it is warm and answers soon, and its rate stays at %v", now)
	}
}

// TestWritesWaitForAPrimaryAndGoOnce holds writes while no primary is known and releases each once when one appears.
func TestWritesWaitForAPrimaryAndGoOnce(t *testing.T) {
	g := trio(t, nil)
	g.ask("0", cWrite)
	g.do(&Outcome{ID: "0", Server: "p", Result: Missed, Reported: Report{Role: RoleReplica}})
	var out []Action
	for i := 1; i <= 3; i++ {
		out = append(out, g.ask(RequestID(fmt.Sprint(i)), cUnsafe)...)
	}
	out = append(out, g.pass(150*ms)...)
	g.wantNone(Send, out)
	if len(of(Probe, out)) == 0 {
		t.Error("nobody asks who is primary")
	}
	sent := map[RequestID]int{}
	for _, a := range of(Send, append(g.report("a", RolePrimary, g.now), g.pass(50*ms)...)) {
		if a.Server != "a" {
			t.Errorf("sent to %s", a.Server)
		}
		sent[a.ID]++
	}
	if len(sent) != 4 {
		t.Errorf("released %v", sent)
	}
	for id, n := range sent {
		if n != 1 {
			t.Errorf("%s sent %d times", id, n)
		}
	}
}

// TestOldPrimaryReportCountsUpToItsTime: what once said that it is the primary may have been replaced since, unheard. Its word counts for
// reads up to when it was said, and the list's counts for nothing; where nothing can be asked, they have to do.
func TestOldPrimaryReportCountsUpToItsTime(t *testing.T) {
	g := trio(t, nil)
	g.wantSend(g.ask("1", cBounded), "1", "")
	g.end("1", 0, of(Send, g.out)[0].Server, OK)
	g.now += 2 * time.Second // it hung, was replaced, and is back
	g.wantNone(Send, g.ask("2", cBounded))
	if len(of(Probe, g.out)) == 0 {
		t.Fatal("nobody was asked")
	}
	g.wantNone(Send, g.report("p", RoleReplica, g.now-1900*ms))
	g.wantSend(g.report("a", RolePrimary, g.now), "2", "a")

	g = trio(t, nil) // probes that tell nothing: it is asked again and again, but not without end
	g.now += 2 * time.Second
	asked, acts := 0, g.ask("1", cBounded)
	for range 30 {
		var next []Action
		for _, a := range of(Probe, acts) {
			asked++
			next = append(next, g.do(&ProbeResult{Server: a.Server, Result: Full})...)
		}
		g.wantNone(Send, next)
		acts = append(next, g.pass(tickEvery)...)
	}
	if asked <= 2 || asked > 12 {
		t.Errorf("%d probes in 0.3 s", asked)
	}
	g.wantSend(g.report("p", RolePrimary, g.now-200*ms), "1", "p")

	for _, probes := range []bool{true, false} {
		set := testSettings()
		set.ListShowsRole, set.MayProbe = true, probes
		g := newRig(t, set, Entry{Server: "p", Size: 1, Primary: true}, Entry{Server: "a", Size: 1})
		if sent := len(of(Send, g.ask("1", cBounded))) > 0; sent == probes {
			t.Errorf("sent by the list's word alone: %v, where probes are allowed: %v", sent, probes)
		}
	}
}

func TestDemotionInAnAnswerBinds(t *testing.T) {
	g := trio(t, nil)
	g.do(&Request{ID: "1", Class: cWrite, Deadline: g.now + time.Second})
	g.now += 20 * ms
	g.do(&Outcome{ID: "1", Server: "p", Result: Missed, Reported: Report{Role: RoleReplica}})
	g.report("p", RolePrimary, g.now-10*ms) // an older report must not undo it
	if g.r.primary(g.r.groupOf(0)) != nil {
		t.Error("an old report brought the demoted primary back")
	}
}

// TestSilentServerLosesReads: a server that answers probes but no requests is left alone.
func TestSilentServerLosesReads(t *testing.T) {
	g := trio(t, nil)
	for _, s := range g.r.order {
		s.relativeRate = 4
	}
	s := of(Send, g.ask("1", cAny))[0].Server
	var rescued bool
	for range 100 {
		for _, a := range g.pass(tickEvery) {
			rescued = rescued || a.Kind == Send && a.ID == "1" && a.Server != s
		}
		if !g.r.servers[s].usable() {
			break
		}
	}
	if !rescued {
		t.Error("the read was left at the silent store")
	}
	g.r.takeDown(g.r.servers[s])
	g.report(s, RoleReplica, g.now)
	if g.r.servers[s].health != onTrial {
		t.Error("an answered probe alone must not make it healthy")
	}
}

// TestOvertakenAttemptIsWrittenOffAndSentAgain: one that later ones overtake is written off and sent again; the server stays in use.
func TestOvertakenAttemptIsWrittenOffAndSentAgain(t *testing.T) {
	g := newRig(t, testSettings(), Entry{Server: "p"})
	g.report("p", RolePrimary, g.now)
	g.ask("stuck", cWrite)
	var again bool
	for i := range 30 {
		id := RequestID(fmt.Sprint(i))
		g.ask(id, cWrite)
		for _, a := range g.pass(20 * ms) {
			again = again || a.Kind == Send && a.ID == "stuck"
		}
		g.end(id, 0, "p", OK)
	}
	if !again {
		t.Error("the lost attempt was never sent again")
	}
	if n := len(g.r.servers["p"].open) - g.r.servers["p"].lost; n > 1 {
		t.Errorf("load %v: lost attempts still count", n)
	}
}

// TestLossesShortenPatience: where many attempts are never answered, one that others overtake is copied while its answer may
// still be in time; where none is lost, or others wait for capacity, not yet. A copy at six times the work came too late.
func TestLossesShortenPatience(t *testing.T) {
	copied := func(lose, wait bool) bool {
		g := trio(t, nil)
		n := 0
		one := func(res Result) {
			id := RequestID(fmt.Sprint("n", n))
			n++
			s := of(Send, g.ask(id, cAny))[0].Server
			g.pass(40 * ms)
			if st := g.r.servers[s]; res == Cancelled {
				a := st.open[0]
				a.passed, a.service, a.lost, st.lost = lostPassed, a.service-10, true, 1
			}
			g.do(&Outcome{ID: id, Server: s, Result: res, Final: true})
		}
		for i := range 400 {
			if lose && i%10 == 9 {
				one(Cancelled)
			} else {
				one(OK)
			}
		}
		q := of(Send, g.ask("slow", cAny))[0]
		s := g.r.servers[q.Server]
		a := s.open[0]
		a.passed, a.service = lostPassed, a.service-4*a.req.work()/g.r.base(s) // four times its work
		if wait {
			r := &request{id: "w", class: &g.r.classes[cWrite], group: s.group, deadline: never, value: 1, size: 1}
			s.group.held = append(s.group.held, r)
		}
		g.r.out = nil
		g.r.rescue(s.group)
		return len(of(Send, g.r.out)) > 0
	}
	if !copied(true, false) {
		t.Error("an attempt that is probably lost was not copied")
	}
	if copied(false, false) {
		t.Error("copied where nothing was ever lost")
	}
	if copied(true, true) {
		t.Error("copied while others wait for room")
	}
}

// TestLostAnswersDoNotSlowTheRate: the rate follows the answers, not an attempt that they overtook.
func TestLostAnswersDoNotSlowTheRate(t *testing.T) {
	g := newRig(t, testSettings(), Entry{Server: "p"})
	g.report("p", RolePrimary, g.now)
	g.do(&Request{ID: "stuck", Class: cUnsafe, Deadline: g.now + time.Minute})
	for i := range 100 {
		id := RequestID(fmt.Sprint(i))
		g.ask(id, cUnsafe)
		g.pass(80 * ms)
		g.end(id, 0, "p", OK)
	}
	if got := g.r.rateOf(g.r.servers["p"]); got < 0.7 {
		t.Errorf("rate %v", got)
	}
}

// TestOutageDoesNotOutlastItself: attempts left hanging by an outage must not keep the server from its trial.
func TestOutageDoesNotOutlastItself(t *testing.T) {
	g := newRig(t, testSettings(), Entry{Server: "p"})
	g.report("p", RolePrimary, g.now)
	for i := range 4 {
		g.ask(RequestID(fmt.Sprint("hung", i)), cUnsafe)
	}
	g.pass(1500 * ms)
	if g.r.servers["p"].health != down {
		t.Fatal("a silent store is not down")
	}
	g.report("p", RolePrimary, g.now)
	g.wantSend(g.ask("trial", cUnsafe), "trial", "p")
	for i := 1; i < trialJobs; i++ {
		g.ask(RequestID(fmt.Sprint("trial", i)), cUnsafe)
	}
	g.wantNone(Send, g.ask("next", cUnsafe))
	g.now += 50 * ms
	g.wantSend(g.end("trial", 0, "p", OK), "next", "p")
}

// TestTrialThatIsNotAnsweredEnds: a server that lets its trial hang goes down again.
func TestTrialThatIsNotAnsweredEnds(t *testing.T) {
	g := newRig(t, testSettings(), Entry{Server: "p"})
	g.report("p", RolePrimary, g.now)
	g.r.takeDown(g.r.servers["p"])
	g.report("p", RolePrimary, g.now)
	g.wantSend(g.ask("trial", cUnsafe), "trial", "p")
	g.pass(1500 * ms)
	if g.r.servers["p"].health != down {
		t.Error("the trial hangs and the store is not down")
	}
}

func TestSlowServerIsNotWrittenOff(t *testing.T) {
	g := newRig(t, testSettings(), Entry{Server: "p"})
	g.report("p", RolePrimary, g.now)
	for i := range 3 {
		g.ask(RequestID(fmt.Sprint(i)), cUnsafe)
	}
	g.pass(time.Second)
	if g.r.servers["p"].lost != 0 {
		t.Error("nothing was overtaken, so nothing may be written off")
	}
}

func TestRepeatsWaitBehindFirstAttempts(t *testing.T) {
	g := newRig(t, testSettings(), Entry{Server: "p"})
	g.report("p", RolePrimary, g.now)
	for i := 0; g.r.hasCapacity(g.r.servers["p"], &request{class: &g.r.classes[cAny]}); i++ {
		g.ask(RequestID(fmt.Sprint("fill", i)), cAny)
	}
	g.do(&Request{ID: "repeat", Class: cAny, Deadline: g.now + time.Second, Repeat: true})
	g.ask("first", cAny)
	g.now += 10 * ms
	if got := of(Send, g.end("fill0", 0, "p", OK)); len(got) == 0 || got[0].ID != "first" {
		t.Errorf("want the first try sent first: %+v", got)
	}
}

func TestWorkHintScalesTheClassAverage(t *testing.T) {
	g := trio(t, nil)
	deadline := g.now + time.Second
	g.do(&Request{ID: "1", Class: cAny, Deadline: deadline, Work: 10 * ms})
	g.do(&Request{ID: "2", Class: cAny, Deadline: deadline, Work: 30 * ms})
	g.do(&Request{ID: "3", Class: cAny, Deadline: deadline})
	avg := g.r.classes[cAny].work
	// The second raises the average to 20 ms, so it counts half as much again.
	if a, b, c := g.r.requests["1"].work(), g.r.requests["2"].work(), g.r.requests["3"].work(); math.Abs(a-avg)+math.Abs(b-1.5*avg)+math.Abs(c-avg) > 1e-9 {
		t.Errorf("work %v, %v, %v with an average of %v", a, b, c, avg)
	}
}

func TestTenantOverItsShareWaits(t *testing.T) {
	// One of 100 routers: its part of the share is one request in ten seconds, and clumps are no excess.
	g := trio(t, func(s *Settings) { s.Peers, s.Tenants = 100, []Tenant{{Allowance: 10}} })
	g.do(&List{Kind: ListChanges, Entries: []Entry{{Server: "x", Group: 9}}}) // new: requests wait for its probe
	for i := range int(tenantDepth) + 1 {
		g.do(&Request{ID: RequestID(fmt.Sprint(i)), Class: cAny, Group: 9, Deadline: g.now + time.Second})
	}
	if a, b := g.r.requests["3"].value, g.r.requests["4"].value; a != 1 || b != 0.1 {
		t.Errorf("values %v and %v", a, b)
	}
}

func TestSubscriptionIsRenewedAfterItFails(t *testing.T) {
	set := testSettings()
	set.AskList = true
	g := newRig(t, set, Entry{Server: "a"})
	if len(of(Subscribe, g.out)) != 1 {
		t.Fatal("not subscribed at the start")
	}
	g.do(&List{Kind: ListFailed})
	if n := len(of(Subscribe, g.pass(3*watchPause))); n != 1 {
		t.Errorf("%d subscriptions after a failure", n)
	}
	if !g.r.servers["a"].usable() {
		t.Error("a failed list call must leave the old list in force")
	}
}

// TestBrokenWatchIsReplacedSoon: a watch that held and broke is replaced at once, as drains and new primaries are told by it
// alone; one that breaks as it is opened is not, or a discovery in trouble would be flooded.
func TestBrokenWatchIsReplacedSoon(t *testing.T) {
	set := testSettings()
	set.AskList = true
	g := newRig(t, set, Entry{Server: "a"})
	g.pass(10 * time.Second)
	g.do(&List{Kind: ListFailed})
	if n := len(of(Subscribe, g.pass(3*watchSoon))); n != 1 {
		t.Errorf("%d subscriptions soon after a watch broke, want 1", n)
	}
	n := 0
	for end := g.now + 10*time.Second; g.now < end; {
		if len(of(Subscribe, g.pass(tickEvery))) > 0 {
			n++
			g.do(&List{Kind: ListFailed})
		}
	}
	if n > 12 {
		t.Errorf("%d subscriptions in 10 s of failures", n)
	}
	g.pass(watchPause * 2)
	g.do(&List{Kind: ListFailed})
	if n := len(of(Subscribe, g.pass(3*watchSoon))); n != 1 {
		t.Errorf("%d subscriptions soon after a watch that held again", n)
	}
}

// TestBadInputHasADefinedResult feeds what should never come; each has a defined result and no panic.
func TestBadInputHasADefinedResult(t *testing.T) {
	g := trio(t, func(s *Settings) { s.Peers = 0 })
	for _, ev := range []Event{
		&Outcome{ID: "none", Server: "nowhere"}, &Outcome{ID: "none", Server: "a"}, &Expired{ID: "none"},
		&ProbeResult{Server: "nowhere"}, &List{Kind: ListChanges}, &Timer{Tag: 99},
		&List{Kind: ListChanges, Entries: []Entry{{Server: "new", State: Gone}}},
	} {
		g.wantNone(Send, g.do(ev))
	}
	for _, q := range []*Request{
		{ID: "class", Class: 99, Deadline: g.now + time.Second}, {ID: "neg", Class: -1, Deadline: g.now + time.Second},
		{ID: "past", Class: cAny, Deadline: g.now - 1},
	} {
		if got := finals(g.do(q)); len(got) != 1 {
			t.Errorf("%s: %+v", q.ID, got)
		}
	}
	if got := finals(g.do(&Request{ID: "group", Class: cAny, Group: 77, Tenant: 5, Deadline: g.now + time.Second})); len(got) != 1 {
		t.Errorf("a group with no members: %+v", got)
	}
	e := newRig(t, Settings{})
	e.do(&Request{ID: "1", Deadline: e.now + time.Second})
	e.do(&List{Kind: ListFull})
	e.pass(time.Second)
}

// play runs a mixed day and returns all actions; every server answers, some badly.
func play(t *testing.T, requests int) (*rig, []Action) {
	g := trio(t, func(s *Settings) { s.TrackCommits = true })
	var all []Action
	var open []Action
	answered := map[RequestID]int{}
	tries := map[RequestID]int{}
	take := func(out []Action) {
		all = append(all, out...)
		for _, a := range out {
			switch a.Kind {
			case Send:
				a.Attempt = tries[a.ID]
				tries[a.ID]++
				open = append(open, a)
			case Refuse, Fail:
				answered[a.ID]++
			}
		}
	}
	step := func() {
		g.now += 5 * ms
		take(g.do(&Timer{}))
		for n := len(open); n > 0; n-- {
			a := open[0]
			open = open[1:]
			res := OK
			if len(a.ID)%3 == 0 && a.Attempt == 0 {
				res = []Result{Failed, TimedOut, Unreachable, Reset, Full, Missed}[len(all)%6]
			}
			over := answered[a.ID] > 0
			final := res == OK || over
			if res == OK && !over {
				answered[a.ID]++ // later copies' answers reach nobody
			}
			role := RoleReplica
			if a.Server == "p" {
				role = RolePrimary
			}
			take(g.do(&Outcome{ID: a.ID, Attempt: a.Attempt, Server: a.Server, Result: res, Final: final,
				Reported: Report{Role: role, Position: g.now, HasPosition: true}}))
		}
		for _, s := range []ServerID{"p", "a", "b"} {
			if g.r.servers[s].probing {
				role := RoleReplica
				if s == "p" {
					role = RolePrimary
				}
				take(g.report(s, role, g.now))
			}
		}
	}
	for i := range requests {
		id := RequestID(fmt.Sprint(i))
		take(g.do(&Request{ID: id, Class: i % 5, Deadline: g.now + time.Second, Session: fmt.Sprint(i % 50)}))
		step()
	}
	for range 1000 {
		step()
	}
	for i := range requests {
		if n := answered[RequestID(fmt.Sprint(i))]; n != 1 {
			t.Fatalf("request %d got %d answers", i, n)
		}
	}
	return g, all
}

func TestSameEventsSameActions(t *testing.T) {
	_, a := play(t, 1000)
	_, b := play(t, 1000)
	if !reflect.DeepEqual(a, b) {
		t.Error("two runs of the same events differ")
	}
}

func TestNothingIsLeftBehind(t *testing.T) {
	g, _ := play(t, 10000)
	if n := len(g.r.requests); n != 0 {
		t.Errorf("%d requests left", n)
	}
	for _, s := range g.r.order {
		if len(s.open) != 0 || s.lost != 0 {
			t.Errorf("%s: %d attempts left, %d lost", s.id, len(s.open), s.lost)
		}
	}
	for _, x := range g.r.groupOrder {
		if len(x.held) != 0 {
			t.Errorf("%d held", len(x.held))
		}
	}
	g.do(&List{Kind: ListFull})
	g.now += goneMemory
	g.do(&Timer{})
	if len(g.r.servers) != 0 || len(g.r.order) != 0 || len(g.r.groupOf(0).members) != 0 {
		t.Error("vanished stores are kept")
	}
}

// TestManyRoutersKeepTheFallRuleTogether: the part of one of many is less than a request, yet the sum must neither be
// nothing nor break the rule. Fails if the budget only lets through what fits a router's part.
func TestManyRoutersKeepTheFallRuleTogether(t *testing.T) {
	const routers = 200
	set := testSettings()
	set.Peers = routers
	var all []*rig
	for i := range routers {
		g := &rig{t: t, r: New(set, uint64(i+1)), now: start}
		g.do(&List{Kind: ListRestored, Entries: []Entry{{Server: "p", Primary: true}}})
		g.do(&List{Kind: ListChanges, Entries: []Entry{{Server: "p", Started: start}}})
		all = append(all, g)
	}
	work := all[0].r.classes[cAny].work
	allowed := set.FallMultiple * set.ColdFrom * width * startRate // work a second just after the start
	var sent []float64                                             // by tenths of a second
	for step := range 30 {
		n := 0
		for i, g := range all {
			g.now = start + Time(step)*100*ms
			n += len(of(Send, g.do(&Request{ID: RequestID(fmt.Sprint(i, "-", step)), Class: cAny, Deadline: g.now + time.Second})))
		}
		sent = append(sent, float64(n)*work)
	}
	for i := 0; i+10 <= len(sent); i++ {
		sum := 0.0
		for _, w := range sent[i : i+10] {
			sum += w
		}
		if most := allowed * (1 + 4*float64(i+10)/100); sum > most {
			t.Errorf("%.2f of work in the second from %d ms, allowed %.2f", sum, i*100, most)
		}
		if i == 0 && sum == 0 {
			t.Error("nothing at all was sent to the cold store in its first second")
		}
	}
}

// TestDrainedThenGoneStaysBarred: where only draining binds, a server seen draining and then listed as gone is
// barred; one only listed as gone is not, and is forgotten once it has not answered for a while.
func TestDrainedThenGoneStaysBarred(t *testing.T) {
	set := testSettings()
	set.DrainOnly = true
	g := newRig(t, set, Entry{Server: "a"}, Entry{Server: "b", Group: 1})
	g.do(&List{Kind: ListChanges, Entries: []Entry{{Server: "a", State: Draining}}})
	g.do(&List{Kind: ListChanges, Entries: []Entry{{Server: "a", State: Gone}, {Server: "b", Group: 1, State: Gone}}})
	g.wantNone(Send, g.ask("1", cAny))
	g.wantSend(g.do(&Request{ID: "2", Class: cAny, Group: 1, Deadline: g.now + time.Second}), "2", "b")
	g.wantSend(g.do(&List{Kind: ListChanges, Entries: []Entry{{Server: "a"}}}), "1", "a")
	g.end("1", 0, "a", OK)
	g.end("2", 0, "b", OK)
	g.pass(goneMemory + 2*refreshEvery)
	if len(g.r.servers) != 1 || g.r.servers["a"] == nil {
		t.Errorf("%d stores kept, want a alone", len(g.r.servers))
	}
}

// TestIdleRouterAsksForNothing: hundreds of routers wait for nothing most of the time. Fails if one without requests
// sets a timer or probes.
func TestIdleRouterAsksForNothing(t *testing.T) {
	g := trio(t, nil)
	if out := g.report("a", RoleReplica, g.now); len(out) != 0 {
		t.Errorf("an idle router did %+v", out)
	}
	g.now += time.Minute
	if out := g.do(&List{Kind: ListChanges}); len(out) != 0 {
		t.Errorf("an idle router did %+v", out)
	}
}

// TestReadsGoRoundTheMembers: one of many routers that has nothing in flight must not send read after read to the same
// server, however little it sees. Fails if the other routers are not taken to do as it does.
func TestReadsGoRoundTheMembers(t *testing.T) {
	g := trio(t, func(s *Settings) { s.Peers, s.Behind = 200, BehindRefuses })
	got := map[ServerID]int{}
	for i := range 60 {
		id := RequestID(fmt.Sprint(i))
		sent := of(Send, g.ask(id, cAny))
		if len(sent) != 1 {
			t.Fatalf("read %d: %+v", i, sent)
		}
		got[sent[0].Server]++
		g.now += 80 * ms
		g.end(id, 0, sent[0].Server, OK)
		g.now += 220 * ms
	}
	for _, s := range []ServerID{"p", "a", "b"} {
		if got[s] < 12 || got[s] > 28 {
			t.Errorf("reads by store: %v, want about a third each", got)
		}
	}
}

// TestFailingServerIsNotTheCheapest: quick failures leave a server idle, and an idle server costs least. Fails if failed
// answers do not count.
func TestFailingServerIsNotTheCheapest(t *testing.T) {
	g := trio(t, nil)
	g.r.servers["a"].relativeRate = 1.5
	for i := range 3 {
		id := RequestID(fmt.Sprint(i))
		sent := of(Send, g.ask(id, cAny))
		g.now += 5 * ms
		if i == 0 {
			g.wantSend(g.end(id, 0, sent[0].Server, Failed), id, "")
		}
		if i > 0 && sent[0].Server == "a" {
			t.Errorf("read %d went to the store that failed", i)
		}
	}
}

// TestOwnPauseIsNoEvidence: a router that stood still finds every timer late and every answer late. Fails if it takes
// servers for silent or slow by that.
func TestOwnPauseIsNoEvidence(t *testing.T) {
	g := trio(t, nil)
	sent := of(Send, g.ask("1", cAny))[0].Server
	rate := g.r.servers[sent].relativeRate
	g.now += 3 * time.Second
	g.do(&Request{ID: "2", Class: cAny, Deadline: g.now + time.Second})
	g.end("1", 0, sent, OK)
	g.do(&Timer{})
	if s := g.r.servers[sent]; s.health != healthy || s.relativeRate < rate {
		t.Errorf("health %v, rate %v of %v", s.health, s.relativeRate, rate)
	}
}

// BenchmarkHandle is one of 250 routers before 90 servers: a read and its answer.
func BenchmarkHandle(b *testing.B) {
	set := testSettings()
	set.Peers, set.Behind = 250, BehindRefuses
	var entries []Entry
	for i := range 90 {
		entries = append(entries, Entry{Server: ServerID(fmt.Sprint(i)), Group: i / 6})
	}
	r := New(set, 1)
	out := r.Handle(start, &List{Kind: ListRestored, Entries: entries}, nil)
	b.ReportAllocs()
	now := start
	for i := 0; b.Loop(); i++ {
		id := RequestID(fmt.Sprint(i))
		now += 70 * ms
		out = r.Handle(now, &Request{ID: id, Class: cAny, Group: i % 15, Deadline: now + time.Second}, out[:0])
		for _, a := range of(Send, out) {
			now += 10 * ms
			out = r.Handle(now, &Outcome{ID: id, Server: a.Server, Result: OK, Final: true}, out[:0])
		}
		out = r.Handle(now, &Timer{}, out[:0])
	}
}

// TestSlowLinkIsNotADeadServer: probes and connections into one other zone take long and fail, while that zone's servers
// are well. Reads go elsewhere; a write still goes to the primary there, and it does not count as restarted. Fails if
// the server is judged by the way to it. A refusal that comes at once is the server's own.
func TestSlowLinkIsNotADeadServer(t *testing.T) {
	g := newRig(t, testSettings(), Entry{Server: "p", Zone: 1}, Entry{Server: "a"})
	g.report("p", RolePrimary, g.now)
	g.report("a", RoleReplica, g.now)
	g.r.probe(g.r.servers["p"], 0)
	g.now += 250 * ms
	g.do(&ProbeResult{Server: "p", Result: TimedOut})
	g.wantSend(g.ask("read", cAny), "read", "a")
	g.wantSend(g.ask("write", cUnsafe), "write", "p")
	g.now += 250 * ms
	g.wantSend(g.end("write", 0, "p", Unreachable), "write", "p")
	if s := g.r.servers["p"]; s.health != healthy || s.coldFrom != never {
		t.Errorf("health %v, cold from %v", s.health, s.coldFrom)
	}
	g.now += 2 * ms
	g.end("write", 1, "p", Unreachable)
	g.now += 2 * ms
	g.end("write", 2, "p", Unreachable)
	if s := g.r.servers["p"]; s.health != down {
		t.Errorf("refused at once: health %v, want down", s.health)
	}
}

// TestReadTriesEveryMemberBeforeOneAgain: two members fail by turns. Fails if a read goes back and forth between them, or
// if having asked for positions once it may ask no more.
func TestReadTriesEveryMemberBeforeOneAgain(t *testing.T) {
	g := trio(t, nil)
	seen := map[ServerID]bool{}
	sent := of(Send, g.ask("1", cAny))
	for i := range 3 {
		if len(sent) != 1 || seen[sent[0].Server] {
			t.Fatalf("try %d: %+v, tried before: %v", i, sent, seen)
		}
		seen[sent[0].Server] = true
		g.now += 5 * ms
		sent = of(Send, g.end("1", i, sent[0].Server, Failed))
	}
	g = newRig(t, testSettings(), Entry{Server: "p"}, Entry{Server: "a"}, Entry{Server: "b"})
	g.report("p", RolePrimary, g.now)
	g.r.servers["p"].failure, g.r.servers["p"].failedAt = 0.95, g.now
	asked := of(Probe, g.ask("2", cBounded))
	if len(asked) != 1 || asked[0].Server == "p" {
		t.Fatalf("asked %+v, want one replica", asked)
	}
	g.now += 5 * ms
	sent = of(Send, g.report(asked[0].Server, RoleReplica, g.now))
	if len(sent) != 1 {
		t.Fatalf("sent %+v", sent)
	}
	g.now += 310 * ms // what was told is too old by now
	g.r.servers["p"].failedAt = g.now
	if again := of(Probe, g.end("2", 0, sent[0].Server, Failed)); len(again) == 0 {
		t.Error("after a failure the others are not asked")
	}
}

// TestGuessRefusesNothing: in a busy fleet the guess of others' load alone makes every member look too slow. Fails if
// that refuses a read which no report and no answer speaks against.
func TestGuessRefusesNothing(t *testing.T) {
	g := trio(t, func(s *Settings) { s.Peers, s.Behind = 250, BehindRefuses })
	g.r.flow, g.r.sends, g.r.flowSpan, g.r.flowAt = 50, 250, 5, g.now
	if n, _ := g.r.load(g.r.servers["a"]); n < 2*width {
		t.Fatalf("load %v: the guess should be high here", n)
	}
	out := g.ask("1", cAny)
	g.wantSend(out, "1", "")
	g.wantNone(Refuse, out)
}

// TestSlowAnswersTellOfOthersLoad: one of many routers has nothing at a server whose queue is full. Fails if it sends the
// next read there after an answer many times its work; with few routers their own requests explain that.
func TestSlowAnswersTellOfOthersLoad(t *testing.T) {
	for peers, avoids := range map[int]bool{250: true, 1: false} {
		g := trio(t, func(s *Settings) { s.Peers, s.Behind = peers, BehindRefuses })
		first := of(Send, g.ask("1", cAny))[0].Server
		a := g.r.servers[first]
		for range 39 { // the router is awake: this is no standstill of its own
			g.pass(tickEvery)
		}
		g.end("1", 0, first, OK)
		if got := a.othersLoad > width; got != avoids {
			t.Errorf("%d routers: told of %v requests there, want load seen: %v", peers, a.othersLoad, avoids)
		}
	}
}

// TestMissesInARowAreNotRepeated: a session read is turned away by every replica as too far behind. Fails if it goes back
// to one before that can have caught up.
func TestMissesInARowAreNotRepeated(t *testing.T) {
	set := testSettings()
	set.Behind = BehindRefuses
	g := newRig(t, set, Entry{Server: "a"}, Entry{Server: "b"})
	out := g.do(&Request{ID: "1", Class: cSession, Deadline: g.now + time.Second, SinceOwn: 50 * ms})
	for i := range 2 {
		sent := of(Send, out)
		if len(sent) != 1 {
			t.Fatalf("try %d: %+v", i, sent)
		}
		g.now += 5 * ms
		out = g.do(&Outcome{ID: "1", Attempt: i, Server: sent[0].Server, Result: Missed,
			Reported: Report{Role: RoleReplica, Position: g.now - 2*time.Second, HasPosition: true}})
	}
	g.wantNone(Send, append(out, g.pass(100*ms)...))
}

// TestOddFleetInputNeitherPanicsNorGrows: numbers of routers far off, and lists that real registries send now and then. None may panic, and
// memory must stay bounded.
func TestOddFleetInputNeitherPanicsNorGrows(t *testing.T) {
	for _, peers := range []int{-1, 0, 1, 1000} {
		set := testSettings()
		set.Peers, set.DrainOnly = peers, true
		var list []Entry
		for i := range 500 {
			list = append(list, Entry{Server: ServerID(fmt.Sprint("s", i)), Group: i % 100, Kind: i % 3})
		}
		g := newRig(t, set, list...)
		for i := range 1000 { // a thousand groups with one request each
			g.do(&Request{ID: RequestID(fmt.Sprint(i)), Class: cAny, Group: i, Deadline: g.now + time.Second})
		}
		for range 5 {
			g.do(&List{Kind: ListFull, Entries: list}) // the same list each second
			g.pass(time.Second)
		}
		list[0].Group = 7 // moved
		g.do(&List{Kind: ListFull, Entries: list[:250]})
		g.do(&List{Kind: ListChanges, Entries: []Entry{{Server: "s1", State: Draining}, {Server: "s1", State: Gone}, {Server: "s1"}}})
		g.pass(goneMemory + 3*time.Second)
		if len(g.r.requests) != 0 || g.r.open > 500 {
			t.Errorf("%d siblings: %d requests and %d attempts left", peers, len(g.r.requests), g.r.open)
		}
		if g.r.servers["s1"] == nil || !g.r.servers["s1"].listed() {
			t.Error("drained, gone and back: not usable")
		}
	}
}

// TestLateConnectionFailureIsAskedAbout: opening connections has become slow, so that some fail at their time limit, while
// the servers are well. Fails if that takes a server out of use; a probe tells whether it lives.
func TestLateConnectionFailureIsAskedAbout(t *testing.T) {
	g := trio(t, nil)
	g.wantSend(g.ask("1", cUnsafe), "1", "p")
	g.pass(250 * ms)
	out := g.end("1", 0, "p", Unreachable)
	g.wantSend(out, "1", "p")
	if got := of(Probe, out); len(got) != 1 || got[0].Server != "p" || g.r.servers["p"].health != healthy {
		t.Errorf("probes %+v, health %v", got, g.r.servers["p"].health)
	}
	for range 2 {
		g.now += 5 * ms
		g.do(&ProbeResult{Server: "p", Result: Unreachable})
	}
	if g.r.servers["p"].health != down {
		t.Error("the probe failed too, and again, and the store is not down")
	}
}

// TestOneBrokenConnectionIsNoOutage: connections of servers that are well break by themselves. Fails if one takes its server out,
// if no probe asks soon whether there is more to it, or if a server that answers what was sent before counts as restarted.
func TestOneBrokenConnectionIsNoOutage(t *testing.T) {
	g := trio(t, nil)
	s := g.r.servers["p"]
	g.ask("held", cUnsafe)
	g.ask("held2", cUnsafe)
	for _, broken := range []Event{&ProbeResult{Server: "p", Result: Reset}, &ProbeResult{Server: "p", Result: Unreachable}} {
		g.do(broken)
		if s.health != healthy {
			t.Fatalf("after one %+v: health %v", broken, s.health)
		}
		if got := of(Probe, g.pass(2*tickEvery)); len(got) != 1 || got[0].Server != "p" {
			t.Fatalf("asked %+v", got)
		}
		g.do(&ProbeResult{Server: "p", Result: OK})
	}
	for range 2 {
		g.do(&ProbeResult{Server: "p", Result: Reset})
	}
	if s.health != down {
		t.Fatalf("after two: health %v", s.health)
	}
	g.now += outage
	g.end("held", 0, "p", OK) // it was alive all the time
	g.now += 10 * ms
	g.report("p", RolePrimary, g.now)
	if s.health == down || g.r.warmth(s) < 1 {
		t.Errorf("health %v, warmth %v", s.health, g.r.warmth(s))
	}
}

// TestProbesSlowDownLate: probes fail by chance too, and one that comes late after a few such keeps a server out, and lets it
// count as restarted. Only after several does the pause between them grow.
func TestProbesSlowDownLate(t *testing.T) {
	g := trio(t, nil)
	g.ask("open", cUnsafe) // its group is tended to
	g.r.servers["a"].health = down
	last := g.now
	for n := range probeSoon + 3 {
		for g.pass(tickEvery); !g.r.servers["a"].probing && g.now-last < time.Minute; {
			g.pass(tickEvery)
		}
		want := probeDown << max(0, n-probeSoon)
		if took := g.now - last; n > 0 && (took < want || took > want+2*tickEvery) {
			t.Errorf("probe %d after %v, want %v", n, took, want)
		}
		last = g.now
		g.do(&ProbeResult{Server: "a", Result: Unreachable})
	}
}

// TestUnreadableReportTellsNothing: a probe answered with what cannot be read neither takes a server out of use nor back.
func TestUnreadableReportTellsNothing(t *testing.T) {
	g := trio(t, nil)
	for _, was := range []health{healthy, down} {
		s := g.r.servers["p"]
		s.health = was
		g.r.probe(s, 0)
		g.do(&ProbeResult{Server: "p", Result: Failed})
		if s.health != was || s.probing {
			t.Errorf("health %v became %v, probing %v", was, s.health, s.probing)
		}
		g.now += time.Second
	}
}

// TestUnknownGroupLeavesNoTrace: what asks for groups that there are not is turned away at once, and neither that nor a
// group whose servers have all left takes memory for good.
func TestUnknownGroupLeavesNoTrace(t *testing.T) {
	g := trio(t, func(s *Settings) { s.MaxRetryAfter = time.Second })
	groups := len(g.r.groups)
	for i := range 100 {
		got := finals(g.do(&Request{ID: RequestID(fmt.Sprint(i)), Class: cAny, Group: 1000 + i, Deadline: g.now + time.Second}))
		if len(got) != 1 || got[0].Kind != Refuse || got[0].Wait <= 0 {
			t.Fatalf("got %+v", got)
		}
	}
	g.do(&List{Kind: ListChanges, Entries: []Entry{{Server: "x", Group: 9}}})
	g.do(&List{Kind: ListChanges, Entries: []Entry{{Server: "x", Group: 9, State: Gone}}})
	g.ask("a", cAny) // a tickEvery comes while something is open only
	for range 40 {
		g.pass(time.Second)
		g.ask(RequestID(fmt.Sprint("a", g.now)), cAny)
	}
	if len(g.r.groups) != groups || len(g.r.groupOrder) != groups || g.r.servers["x"] != nil {
		t.Errorf("%d groups, %d before; %v", len(g.r.groups), groups, g.r.servers["x"])
	}
}

// TestUnseenRequestHasHalfItsTime guards against keeping a write for a primary that does not come until too late
// for its client to ask again: nothing is gained by the second half, and a late refusal without an attempt costs
// 0.3 of the worth. One whose connection failed is as unseen as one never sent; one that was missed is not.
func TestUnseenRequestHasHalfItsTime(t *testing.T) {
	for name, c := range map[string]struct {
		result Result
		most   time.Duration
		least  time.Duration
	}{
		"never sent":  {OK, 1500 * ms, 1400 * ms},
		"unreachable": {Unreachable, 1500 * ms, 1400 * ms},
		"seen":        {Missed, 3000 * ms, 2900 * ms},
	} {
		g := trio(t, func(s *Settings) { s.MayProbe = false })
		began := g.now
		if c.result == OK {
			g.do(&List{Kind: ListChanges, Entries: []Entry{{Server: "p", State: Gone}}})
			g.ask("w", cUnsafe)
		} else {
			g.wantSend(g.ask("w", cUnsafe), "w", "p")
			g.do(&List{Kind: ListChanges, Entries: []Entry{{Server: "p", State: Gone}}})
			g.end("w", 0, "p", c.result)
		}
		for len(finals(g.pass(10*ms))) == 0 && g.now-began < 4*time.Second {
		}
		if took := g.now - began; took < c.least || took > c.most {
			t.Errorf("%s: given up after %v, want %v to %v", name, took, c.least, c.most)
		}
	}
}
