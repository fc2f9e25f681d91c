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

// harness drives one router by hand.
type harness struct {
	t   *testing.T
	r   *Router
	now Time
	out []Action
}

// classes used by the tests, by number.
const (
	classBounded = iota
	classSession
	classKeyedWrite // keyed, inside the group
	classWriteOnce  // a write that must never run twice
	classAny
)

func testSettings() Settings {
	return Settings{
		Peers: 1, Tick: 5 * ms, MayCancel: true, MayDuplicate: true, MayCheckHealth: true,
		MaxRetryAfter: time.Second, MaxAttempts: 6, DrainGrace: 500 * ms, SlowStartMultiple: 3, SlowStartSpan: time.Second,
		SlowStartFrom: 0.2, SlowStartTime: 10 * time.Second, OverQuotaWeight: 0.1,
		Classes: []Class{
			classBounded: {LatencyObjective: 400 * ms, Deadline: 2 * time.Second, PriorityWeight: 1, Read: ReadBounded, MaxStaleness: 300 * ms},
			classSession: {LatencyObjective: 400 * ms, Deadline: 2 * time.Second, PriorityWeight: 1, Read: ReadSession},
			classKeyedWrite: {LatencyObjective: 400 * ms, Deadline: 3 * time.Second, PriorityWeight: 4, LateWeight: 0.3, Read: Write, Idempotency: IdempotentWithKey,
				KeyScope: ScopeGroup, KeyWindow: 2 * time.Second},
			classWriteOnce: {LatencyObjective: 400 * ms, Deadline: 3 * time.Second, PriorityWeight: 4, LateWeight: 0.3, Read: Write, Idempotency: NotIdempotent},
			classAny:       {LatencyObjective: 400 * ms, Deadline: 2 * time.Second, PriorityWeight: 1, Read: ReadAny},
		},
	}
}

func newHarness(t *testing.T, set Settings, entries ...Endpoint) *harness {
	t.Helper()
	h := &harness{t: t, r: New(set, 7), now: start}
	h.r.EnableChecks(invariant.Test(t), 1)
	h.handle(&EndpointList{Kind: ListRestored, Endpoints: entries})
	return h
}

// newGroupOfThree is a group with primary p and replicas a and b, all in touch and up to date.
func newGroupOfThree(t *testing.T, change func(*Settings)) *harness {
	t.Helper()
	set := testSettings()
	if change != nil {
		change(&set)
	}
	h := newHarness(t, set, Endpoint{Server: "p", Capacity: 1}, Endpoint{Server: "a", Capacity: 1}, Endpoint{Server: "b", Capacity: 1})
	h.report("p", RolePrimary, h.now)
	h.report("a", RoleReplica, h.now)
	h.report("b", RoleReplica, h.now)
	return h
}

func (h *harness) handle(ev Event) []Action {
	h.out = h.r.Handle(h.now, ev, nil)
	return h.out
}

func (h *harness) report(s ServerID, role Role, at Time) []Action {
	return h.handle(&HealthCheckResult{Server: s, Load: Report{Role: role, Position: at, HasPosition: true}})
}

func (h *harness) request(id RequestID, class int) []Action {
	return h.handle(&Request{ID: id, Class: class, Deadline: h.now + h.r.classes[class].Deadline})
}

func (h *harness) end(id RequestID, no int, s ServerID, res Result) []Action {
	return h.handle(&Outcome{ID: id, Attempt: no, Server: s, Result: res, Final: res == OK})
}

// advance lets time go by with beats and returns all that was done meanwhile.
func (h *harness) advance(d time.Duration) (all []Action) {
	for end := h.now + d; h.now < end; {
		h.now = min(end, h.now+tickInterval)
		all = append(all, h.handle(&Timer{})...)
	}
	return all
}

// actionsOf picks the actions of a kind.
func actionsOf(kind ActionKind, actions []Action) (got []Action) {
	for _, a := range actions {
		if a.Kind == kind {
			got = append(got, a)
		}
	}
	return got
}

func (h *harness) wantSend(actions []Action, id RequestID, s ServerID) {
	h.t.Helper()
	got := actionsOf(Send, actions)
	if len(got) != 1 || got[0].ID != id || s != "" && got[0].Server != s {
		h.t.Fatalf("want one send of %s to %q, got %+v", id, s, got)
	}
}

func (h *harness) wantNone(kind ActionKind, actions []Action) {
	h.t.Helper()
	if got := actionsOf(kind, actions); len(got) != 0 {
		h.t.Fatalf("want none of kind %d, got %+v", kind, got)
	}
}

func finalAnswers(actions []Action) []Action {
	return append(actionsOf(Reject, actions), actionsOf(Fail, actions)...)
}

// TestCostFollowsEquation2 checks equation 2 on an example worked by hand: rate 1, width 4, average work 0.08. A request among n gets
// (1+(n/4)^4)^(-1/4): 0.9990 alone, 0.9864 as the second, 0.8409 as the fourth, 0.7347 as the fifth. The new one takes
// 0.08 over its share, and each of those there slows from its share to that.
func TestCostFollowsEquation2(t *testing.T) {
	for _, c := range []struct {
		inFlight int
		want     float64
	}{
		{0, 0.08 / 0.9990},
		{3, 0.08/0.8409 + 3*(0.08/0.8409-0.08/0.9330)},
		{4, 0.08/0.7347 + 4*(0.08/0.7347-0.08/0.8409)},
	} {
		h := newGroupOfThree(t, nil)
		s := h.r.servers["a"]
		cl := &h.r.classes[classAny]
		req := &request{class: cl, weight: 1, relativeWork: 1}
		for range c.inFlight {
			s.openAttempts = append(s.openAttempts, &attempt{request: req})
		}
		got := h.r.cost(s, req).seconds
		if math.Abs(got-c.want) > 1e-3 {
			t.Errorf("%d in flight: cost %v, want %v", c.inFlight, got, c.want)
		}
	}
}

func TestCostWeighsTheSlowdownOfOthersByPriority(t *testing.T) {
	h := newGroupOfThree(t, nil)
	s := h.r.servers["p"]
	read := &request{class: &h.r.classes[classAny], weight: 1, relativeWork: 1}
	dear := &request{class: &h.r.classes[classAny], weight: 4, relativeWork: 1}
	for range 4 {
		s.openAttempts = append(s.openAttempts, &attempt{request: dear})
	}
	if got := h.r.cost(s, read).seconds; math.Abs(got-(0.08/0.7347+4*4*(0.08/0.7347-0.08/0.8409))) > 2e-3 {
		t.Errorf("cost %v: the slowdown of dearer requests must count by their worth", got)
	}
}

func TestSharesAreFrozenAfterAPick(t *testing.T) {
	h := newGroupOfThree(t, nil)
	s := h.r.servers["a"]
	for i := range 5 {
		req := &request{id: RequestID(fmt.Sprint(i)), class: &h.r.classes[classAny], weight: 1, relativeWork: 1}
		s.openAttempts = append(s.openAttempts, &attempt{request: req})
	}
	s.frozenShare, s.frozenUntil = 0.8, h.now+freezeTime
	req := &request{class: &h.r.classes[classAny], weight: 1, relativeWork: 1}
	s.openAttempts = s.openAttempts[:3] // two ended: shares stay as they were at the pick
	frozenCost := h.r.cost(s, req).seconds
	h.now += freezeTime + ms
	h.r.now = h.now
	share := h.r.cost(s, req).share
	if share <= 0.8 || frozenCost <= 0 {
		t.Errorf("share after the freeze is %v, want the full rate back", share)
	}
	s.frozenUntil = h.now + freezeTime
	if share = h.r.cost(s, req).share; share != 0.8 {
		t.Errorf("share inside the freeze is %v, want 0.8", share)
	}
}

func TestNewServerHasTheRateOfItsKind(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{Server: "a", Kind: 0}, Endpoint{Server: "b", Kind: 1}, Endpoint{Server: "c", Kind: 1},
		Endpoint{Server: "d", Kind: 1, Group: 5})
	if got := h.r.warmRate(h.r.servers["a"]); got != initialKindRate {
		t.Errorf("nothing heard: %v", got)
	}
	// b's answers take half the service that was expected, second after second.
	for i := range 10 {
		id := RequestID(fmt.Sprint("q", i))
		b := h.r.servers["b"]
		req := &request{id: id, class: &h.r.classes[classAny], group: b.group, weight: 1, relativeWork: 1, deadline: h.now + time.Second}
		h.r.requests[id] = req
		a := &attempt{request: req, sentAt: h.now, serviceAtSend: b.virtualService}
		b.openAttempts, req.attempts, req.openAttempts = append(b.openAttempts, a), append(req.attempts, a), 1
		h.r.openAttempts++
		b.group.openAttempts++
		b.virtualService += req.expectedWork() / h.r.warmRate(b) / 2
		b.virtualServiceAt = h.now
		h.end(id, 0, "b", OK)
		h.advance(rateRefreshInterval)
	}
	a, b, c, d := h.r.warmRate(h.r.servers["a"]), h.r.warmRate(h.r.servers["b"]), h.r.warmRate(h.r.servers["c"]), h.r.warmRate(h.r.servers["d"])
	if a != initialKindRate || c <= 1.2 || d != c || b < c {
		t.Errorf("rates %v %v %v %v: want the kind's to follow b, in every group, and no other kind's", a, b, c, d)
	}
}

// TestReadGoesToTheServerOfLeastCost fails if reads do not spread to the least loaded qualifying member.
func TestReadGoesToTheServerOfLeastCost(t *testing.T) {
	h := newGroupOfThree(t, nil)
	h.r.servers["p"].relativeRate, h.r.servers["a"].relativeRate, h.r.servers["b"].relativeRate = 0.5, 1, 2
	h.wantSend(h.request("1", classBounded), "1", "b")
	for i := 2; i <= 4; i++ {
		h.request(RequestID(fmt.Sprint(i)), classBounded)
	}
	// b's requests would now slow each other; a still gives a whole share.
	h.r.servers["b"].relativeRate = 1
	h.wantSend(h.request("5", classBounded), "5", "a")
}

func TestBoundedReadAtTheBoundary(t *testing.T) {
	for _, c := range []struct {
		age  time.Duration
		want bool
	}{{300 * ms, true}, {301 * ms, false}} {
		h := newHarness(t, testSettings(), Endpoint{Server: "a"})
		h.report("a", RoleReplica, h.now-c.age)
		if got := len(actionsOf(Send, h.request("1", classBounded))) == 1; got != c.want {
			t.Errorf("position %v old: sent %v, want %v", c.age, got, c.want)
		}
	}
}

func TestSessionReadAtTheBoundary(t *testing.T) {
	for _, c := range []struct {
		token time.Duration
		want  bool
	}{{0, true}, {100 * ms, true}, {99 * ms, false}} {
		h := newHarness(t, testSettings(), Endpoint{Server: "a"})
		h.report("a", RoleReplica, h.now-100*ms)
		got := h.handle(&Request{ID: "1", Class: classSession, Deadline: h.now + time.Second, SinceCommit: c.token})
		if sent := len(actionsOf(Send, got)) == 1; sent != c.want {
			t.Errorf("written %v ago: sent %v, want %v", c.token, sent, c.want)
		}
	}
}

func TestRememberedCommitsBindSessionReads(t *testing.T) {
	h := newGroupOfThree(t, func(s *Settings) { s.TrackCommits = true })
	h.handle(&Request{ID: "w", Class: classKeyedWrite, Deadline: h.now + time.Second, Session: "s"})
	h.now += 50 * ms
	h.handle(&Outcome{ID: "w", Server: "p", Final: true, Reported: Report{Role: RolePrimary, Position: h.now, HasPosition: true}})
	got := h.handle(&Request{ID: "r", Class: classSession, Deadline: h.now + time.Second, Session: "s"})
	got = append(append(got, h.report("a", RoleReplica, h.now-51*ms)...), h.report("b", RoleReplica, h.now-51*ms)...)
	h.wantSend(append(got, h.advance(2*tickInterval)...), "r", "p")
	for i := range maxRememberedSessions + 1 {
		h.r.rememberCommit(fmt.Sprint(i), h.now)
		h.r.rememberCommit(fmt.Sprint("more", i), h.now)
	}
	if n := len(h.r.sessionCommits); n > maxRememberedSessions {
		t.Errorf("%d sessions kept", n)
	}
	if h.r.forgottenCommit != h.now {
		t.Error("dropping sessions must raise what an unknown one is taken to have written")
	}
}

// TestStaleReplicaGetsNoReadThatItWouldAnswer guards the stale rule.
func TestStaleReplicaGetsNoReadThatItWouldAnswer(t *testing.T) {
	for _, c := range []struct {
		behind StaleReadPolicy
		want   bool
	}{{StaleReadsAnswered, false}, {StaleReadsRefused, true}, {StaleReadsWait, true}} {
		set := testSettings()
		set.StaleReads = c.behind
		h := newHarness(t, set, Endpoint{Server: "a"})
		h.report("a", RoleReplica, h.now)
		h.now += 350 * ms
		if got := len(actionsOf(Send, h.request("1", classBounded))) == 1; got != c.want {
			t.Errorf("behind=%d: sent %v, want %v", c.behind, got, c.want)
		}
	}
}

func TestPositionNeverGoesBackNorAhead(t *testing.T) {
	h := newGroupOfThree(t, nil)
	h.report("a", RoleReplica, h.now-time.Second)
	if h.r.servers["a"].position != start {
		t.Error("an older report took the position back")
	}
	h.report("a", RoleReplica, h.now+time.Hour)
	if h.r.servers["a"].position != start {
		t.Error("a position in the future was believed")
	}
}

func TestDrainingServerGetsNothingOnceTheListChanges(t *testing.T) {
	for _, state := range []ServerState{Draining, Removed} {
		h := newGroupOfThree(t, nil)
		h.handle(&EndpointList{Kind: ListChanges, Endpoints: []Endpoint{{Server: "a", State: state}, {Server: "b", State: state}}})
		for i := range 4 {
			h.wantSend(h.request(RequestID(fmt.Sprint(i)), classAny), RequestID(fmt.Sprint(i)), "p")
		}
		h.handle(&EndpointList{Kind: ListChanges, Endpoints: []Endpoint{{Server: "p", State: state}}})
		h.wantNone(Send, append(h.request("w", classKeyedWrite), h.advance(100*ms)...))
	}
}

func TestServerMissingFromAFullListIsRemoved(t *testing.T) {
	for _, soft := range []bool{false, true} {
		h := newGroupOfThree(t, func(s *Settings) { s.DrainOnly = soft })
		h.handle(&EndpointList{Kind: ListFull, Endpoints: []Endpoint{{Server: "b"}}})
		if got := h.r.servers["a"].usable(); got != soft {
			t.Errorf("soft removal %v: usable %v", soft, got)
		}
	}
}

// TestRetryFollowsIdempotency is the table of what may follow an attempt's end.
func TestRetryFollowsIdempotency(t *testing.T) {
	again, fail := "sent again", "failed"
	for _, c := range []struct {
		res                 Result
		safe, keyed, unsafe string
	}{
		{Failed, again, again, fail},
		{TimedOut, again, again, fail},
		{Reset, again, again, fail},
		{Cancelled, again, again, fail},
		{Overloaded, again, again, again},
		{Unreachable, again, again, again},
		{Misdirected, again, again, again},
	} {
		for class, want := range map[int]string{classAny: c.safe, classKeyedWrite: c.keyed, classWriteOnce: c.unsafe} {
			h := newGroupOfThree(t, nil)
			first := actionsOf(Send, h.request("1", class))
			if len(first) != 1 {
				t.Fatalf("not sent")
			}
			h.now += 5 * ms
			out := h.end("1", 0, first[0].Server, c.res)
			for range 40 { // help a primary that was doubted back
				h.report("p", RolePrimary, h.now)
				out = append(append(out, h.out...), h.advance(tickInterval)...)
			}
			got := "held"
			switch {
			case len(actionsOf(Send, out)) > 0:
				got = again
			case len(actionsOf(Fail, out)) > 0:
				got = fail
			case len(actionsOf(Reject, out)) > 0:
				got = "refused"
			}
			if got != want {
				t.Errorf("result %d, class %d: %s, want %s", c.res, class, got, want)
			}
		}
	}
}

// TestKeyedRequestIsRetriedOnlyWithinItsWindow sends a keyed request again just inside its window and not at its edge.
func TestKeyedRequestIsRetriedOnlyWithinItsWindow(t *testing.T) {
	for _, c := range []struct {
		after time.Duration
		want  bool
	}{{1990 * ms, true}, {1995 * ms, false}} {
		h := newGroupOfThree(t, nil)
		h.request("1", classKeyedWrite)
		h.now += c.after
		out := h.end("1", 0, "p", Failed)
		if got := len(actionsOf(Send, out)) == 1; got != c.want {
			t.Errorf("after %v: sent %v", c.after, got)
		}
		if !c.want && len(actionsOf(Fail, out)) != 1 {
			t.Errorf("after %v: a keyed request that may have run is failed, not refused: %+v", c.after, out)
		}
	}
}

func TestNeverTwoInFlightWhereNotAllowed(t *testing.T) {
	h := newGroupOfThree(t, func(s *Settings) { s.MayDuplicate = false })
	first := actionsOf(Send, h.request("1", classAny))[0].Server
	h.r.eject(h.r.servers[first])
	out := h.advance(100 * ms)
	h.wantNone(Send, out)
	if len(actionsOf(Cancel, out)) != 1 {
		t.Fatalf("want it called off first: %+v", out)
	}
	out = h.end("1", 0, first, Cancelled)
	if got := actionsOf(Send, out); len(got) != 1 || got[0].Server == first {
		t.Fatalf("want it sent elsewhere: %+v", out)
	}
}

// TestOneFinalAnswerBeforeTheDeadline demands exactly one final answer before the client's time is up.
func TestOneFinalAnswerBeforeTheDeadline(t *testing.T) {
	for class, want := range map[int]ActionKind{classAny: Reject, classWriteOnce: Fail, classKeyedWrite: Fail} {
		h := newGroupOfThree(t, nil)
		h.handle(&Request{ID: "1", Class: class, Deadline: h.now + 200*ms})
		out := h.advance(200 * ms)
		if got := finalAnswers(out); len(got) != 1 || got[0].Kind != want {
			t.Fatalf("class %d: %+v", class, got)
		}
		h.wantNone(Send, h.end("1", 0, "p", TimedOut))
		h.wantNone(Send, h.advance(time.Second))
	}
}

func TestRequestIsRejectedOnceItsObjectiveHasPassed(t *testing.T) {
	h := newHarness(t, testSettings()) // nobody to ask
	if got := finalAnswers(append(h.request("1", classBounded), h.advance(410*ms)...)); len(got) != 1 || got[0].Kind != Reject {
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
		h := newHarness(t, set, Endpoint{Server: "a", Started: start})
		h.report("a", RoleReplica, h.now)
		sent := 0
		for i := range 200 {
			id := RequestID(fmt.Sprint(i))
			for _, a := range append(h.request(id, classAny), h.advance(5*ms)...) {
				if a.Kind == Send {
					sent++
					h.end(a.ID, 0, "a", Overloaded)
					h.r.servers["a"].overloadedUntil = 0
				}
			}
		}
		work := float64(sent) * h.r.classes[classAny].averageWork
		most := set.SlowStartMultiple * 0.3 * fullRateConcurrency * initialKindRate / float64(peers)
		if sent == 0 || work > most {
			t.Errorf("%d siblings: %d sends, %v of work, at most %v", peers, sent, work, most)
		}
	}
}

func TestServerIsColdAfterAnOutage(t *testing.T) {
	h := newGroupOfThree(t, nil)
	s := actionsOf(Send, h.request("1", classAny))[0].Server
	h.end("1", 0, s, Unreachable)
	h.handle(&HealthCheckResult{Server: s, Result: Unreachable})
	h.now += restartOutage + ms
	h.report(s, RoleReplica, h.now)
	if w := h.r.warmUpFactor(h.r.servers[s]); w > 0.3 {
		t.Errorf("warmth %v after an outage", w)
	}
}

// TestColdAnswersDoNotRaiseTheRate: a server that started sooner than the router knows answers sooner than one so cold
// would. Its rate must not rise for that: it would take more than it stands later, while still cold.
func TestColdAnswersDoNotRaiseTheRate(t *testing.T) {
	h := newGroupOfThree(t, nil)
	s, sent := h.r.servers["p"], 0
	rounds := func(name string, n int) {
		for i := range n {
			id := RequestID(fmt.Sprint(name, i))
			out := append([]Action{}, h.request(id, classWriteOnce)...)
			for len(actionsOf(Send, out)) == 0 && len(finalAnswers(out)) == 0 {
				out = append(out, h.advance(tickInterval)...)
			}
			h.advance(60 * ms) // as a server takes that is warm, and a little faster than usual
			if len(actionsOf(Send, out)) == 1 {
				sent++
				h.end(id, 0, "p", OK)
			}
			h.advance(140 * ms)
		}
	}
	s.startedAt = h.now
	was, work := h.r.warmRate(s), h.r.classes[classWriteOnce].averageWork
	rounds("cold", 20)
	if now := h.r.warmRate(s); sent < 10 || now > 1.001*was || h.r.classes[classWriteOnce].averageWork != work {
		t.Errorf("%d answers of a cold store; its rate went from %v to %v", sent, was, now)
	}
	h.advance(10 * time.Second)
	rounds("warm", 20)
	if now := h.r.warmRate(s); now <= 1.05*was {
		t.Errorf("it is warm and answers soon, and its rate stays at %v", now)
	}
}

// TestWritesWaitForAPrimaryAndGoOnce holds writes while no primary is known and releases each once when one appears.
func TestWritesWaitForAPrimaryAndGoOnce(t *testing.T) {
	h := newGroupOfThree(t, nil)
	h.request("0", classKeyedWrite)
	h.handle(&Outcome{ID: "0", Server: "p", Result: Misdirected, Reported: Report{Role: RoleReplica}})
	var out []Action
	for i := 1; i <= 3; i++ {
		out = append(out, h.request(RequestID(fmt.Sprint(i)), classWriteOnce)...)
	}
	out = append(out, h.advance(150*ms)...)
	h.wantNone(Send, out)
	if len(actionsOf(HealthCheck, out)) == 0 {
		t.Error("nobody asks who is primary")
	}
	sent := map[RequestID]int{}
	for _, a := range actionsOf(Send, append(h.report("a", RolePrimary, h.now), h.advance(50*ms)...)) {
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
	h := newGroupOfThree(t, nil)
	h.wantSend(h.request("1", classBounded), "1", "")
	h.end("1", 0, actionsOf(Send, h.out)[0].Server, OK)
	h.now += 2 * time.Second // it hung, was replaced, and is back
	h.wantNone(Send, h.request("2", classBounded))
	if len(actionsOf(HealthCheck, h.out)) == 0 {
		t.Fatal("nobody was asked")
	}
	h.wantNone(Send, h.report("p", RoleReplica, h.now-1900*ms))
	h.wantSend(h.report("a", RolePrimary, h.now), "2", "a")

	h = newGroupOfThree(t, nil) // probes that tell nothing: it is asked again and again, but not without end
	h.now += 2 * time.Second
	asked, acts := 0, h.request("1", classBounded)
	for range 30 {
		var next []Action
		for _, a := range actionsOf(HealthCheck, acts) {
			asked++
			next = append(next, h.handle(&HealthCheckResult{Server: a.Server, Result: Overloaded})...)
		}
		h.wantNone(Send, next)
		acts = append(next, h.advance(tickInterval)...)
	}
	if asked <= 2 || asked > 12 {
		t.Errorf("%d probes in 0.3 s", asked)
	}
	h.wantSend(h.report("p", RolePrimary, h.now-200*ms), "1", "p")

	for _, probes := range []bool{true, false} {
		set := testSettings()
		set.ListShowsRole, set.MayCheckHealth = true, probes
		h := newHarness(t, set, Endpoint{Server: "p", Capacity: 1, Primary: true}, Endpoint{Server: "a", Capacity: 1})
		if sent := len(actionsOf(Send, h.request("1", classBounded))) > 0; sent == probes {
			t.Errorf("sent by the list's word alone: %v, where probes are allowed: %v", sent, probes)
		}
	}
}

func TestDemotionInAnAnswerBinds(t *testing.T) {
	h := newGroupOfThree(t, nil)
	h.handle(&Request{ID: "1", Class: classKeyedWrite, Deadline: h.now + time.Second})
	h.now += 20 * ms
	h.handle(&Outcome{ID: "1", Server: "p", Result: Misdirected, Reported: Report{Role: RoleReplica}})
	h.report("p", RolePrimary, h.now-10*ms) // an older report must not undo it
	if h.r.primary(h.r.groupFor(0)) != nil {
		t.Error("an old report brought the demoted primary back")
	}
}

// TestUnresponsiveServerGetsNoReads: a server that answers probes but no requests is left alone.
func TestUnresponsiveServerGetsNoReads(t *testing.T) {
	h := newGroupOfThree(t, nil)
	for _, s := range h.r.serversByID {
		s.relativeRate = 4
	}
	s := actionsOf(Send, h.request("1", classAny))[0].Server
	var rescued bool
	for range 100 {
		for _, a := range h.advance(tickInterval) {
			rescued = rescued || a.Kind == Send && a.ID == "1" && a.Server != s
		}
		if !h.r.servers[s].usable() {
			break
		}
	}
	if !rescued {
		t.Error("the read was left at the silent store")
	}
	h.r.eject(h.r.servers[s])
	h.report(s, RoleReplica, h.now)
	if h.r.servers[s].health != halfOpen {
		t.Error("an answered probe alone must not make it healthy")
	}
}

// TestOvertakenAttemptIsPresumedLostAndHedged: one that later ones overtake is written off and sent again; the server stays in use.
func TestOvertakenAttemptIsPresumedLostAndHedged(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{Server: "p"})
	h.report("p", RolePrimary, h.now)
	h.request("stuck", classKeyedWrite)
	var again bool
	for i := range 30 {
		id := RequestID(fmt.Sprint(i))
		h.request(id, classKeyedWrite)
		for _, a := range h.advance(20 * ms) {
			again = again || a.Kind == Send && a.ID == "stuck"
		}
		h.end(id, 0, "p", OK)
	}
	if !again {
		t.Error("the lost attempt was never sent again")
	}
	if n := len(h.r.servers["p"].openAttempts) - h.r.servers["p"].lostAttempts; n > 1 {
		t.Errorf("load %v: lost attempts still count", n)
	}
}

// TestLossesShortenTheTimeToHedging: where many attempts are never answered, one that others overtake is copied while its answer may
// still be in time; where none is lost, or others wait for capacity, not yet. A copy at six times the work came too late.
func TestLossesShortenTheTimeToHedging(t *testing.T) {
	copied := func(lose, wait bool) bool {
		h := newGroupOfThree(t, nil)
		n := 0
		one := func(res Result) {
			id := RequestID(fmt.Sprint("n", n))
			n++
			s := actionsOf(Send, h.request(id, classAny))[0].Server
			h.advance(40 * ms)
			if st := h.r.servers[s]; res == Cancelled {
				a := st.openAttempts[0]
				a.overtakenBy, a.serviceAtSend, a.presumedLost, st.lostAttempts = overtakingForLoss, a.serviceAtSend-10, true, 1
			}
			h.handle(&Outcome{ID: id, Server: s, Result: res, Final: true})
		}
		for i := range 400 {
			if lose && i%10 == 9 {
				one(Cancelled)
			} else {
				one(OK)
			}
		}
		q := actionsOf(Send, h.request("slow", classAny))[0]
		s := h.r.servers[q.Server]
		a := s.openAttempts[0]
		a.overtakenBy, a.serviceAtSend = overtakingForLoss, a.serviceAtSend-4*a.request.expectedWork()/h.r.warmRate(s) // four times its work
		if wait {
			r := &request{id: "w", class: &h.r.classes[classKeyedWrite], group: s.group, deadline: never, weight: 1, relativeWork: 1}
			s.group.waiting = append(s.group.waiting, r)
		}
		h.r.actions = nil
		h.r.hedgeStuckRequests(s.group)
		return len(actionsOf(Send, h.r.actions)) > 0
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
	h := newHarness(t, testSettings(), Endpoint{Server: "p"})
	h.report("p", RolePrimary, h.now)
	h.handle(&Request{ID: "stuck", Class: classWriteOnce, Deadline: h.now + time.Minute})
	for i := range 100 {
		id := RequestID(fmt.Sprint(i))
		h.request(id, classWriteOnce)
		h.advance(80 * ms)
		h.end(id, 0, "p", OK)
	}
	if got := h.r.serviceRate(h.r.servers["p"]); got < 0.7 {
		t.Errorf("rate %v", got)
	}
}

// TestAttemptsFromAnOutageDoNotBlockTheTrial: attempts left hanging by an outage must not keep the server from its trial.
func TestAttemptsFromAnOutageDoNotBlockTheTrial(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{Server: "p"})
	h.report("p", RolePrimary, h.now)
	for i := range 4 {
		h.request(RequestID(fmt.Sprint("hung", i)), classWriteOnce)
	}
	h.advance(1500 * ms)
	if h.r.servers["p"].health != ejected {
		t.Fatal("a silent store is not down")
	}
	h.report("p", RolePrimary, h.now)
	h.wantSend(h.request("trial", classWriteOnce), "trial", "p")
	for i := 1; i < halfOpenAttempts; i++ {
		h.request(RequestID(fmt.Sprint("trial", i)), classWriteOnce)
	}
	h.wantNone(Send, h.request("next", classWriteOnce))
	h.now += 50 * ms
	h.wantSend(h.end("trial", 0, "p", OK), "next", "p")
}

// TestServerWhoseTrialIsNotAnsweredIsEjectedAgain: a server that lets its trial hang goes down again.
func TestServerWhoseTrialIsNotAnsweredIsEjectedAgain(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{Server: "p"})
	h.report("p", RolePrimary, h.now)
	h.r.eject(h.r.servers["p"])
	h.report("p", RolePrimary, h.now)
	h.wantSend(h.request("trial", classWriteOnce), "trial", "p")
	h.advance(1500 * ms)
	if h.r.servers["p"].health != ejected {
		t.Error("the trial hangs and the store is not down")
	}
}

func TestAttemptThatNoneOvertookIsNotPresumedLost(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{Server: "p"})
	h.report("p", RolePrimary, h.now)
	for i := range 3 {
		h.request(RequestID(fmt.Sprint(i)), classWriteOnce)
	}
	h.advance(time.Second)
	if h.r.servers["p"].lostAttempts != 0 {
		t.Error("nothing was overtaken, so nothing may be written off")
	}
}

func TestClientRetriesWaitBehindFirstAttempts(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{Server: "p"})
	h.report("p", RolePrimary, h.now)
	for i := 0; h.r.hasCapacity(h.r.servers["p"], &request{class: &h.r.classes[classAny]}); i++ {
		h.request(RequestID(fmt.Sprint("fill", i)), classAny)
	}
	h.handle(&Request{ID: "repeat", Class: classAny, Deadline: h.now + time.Second, ClientRetry: true})
	h.request("first", classAny)
	h.now += 10 * ms
	if got := actionsOf(Send, h.end("fill0", 0, "p", OK)); len(got) == 0 || got[0].ID != "first" {
		t.Errorf("want the first try sent first: %+v", got)
	}
}

func TestWorkHintScalesTheClassAverage(t *testing.T) {
	h := newGroupOfThree(t, nil)
	deadline := h.now + time.Second
	h.handle(&Request{ID: "1", Class: classAny, Deadline: deadline, WorkHint: 10 * ms})
	h.handle(&Request{ID: "2", Class: classAny, Deadline: deadline, WorkHint: 30 * ms})
	h.handle(&Request{ID: "3", Class: classAny, Deadline: deadline})
	avg := h.r.classes[classAny].averageWork
	// The second raises the average to 20 ms, so it counts half as much again.
	if a, b, c := h.r.requests["1"].expectedWork(), h.r.requests["2"].expectedWork(), h.r.requests["3"].expectedWork(); math.Abs(a-avg)+math.Abs(b-1.5*avg)+math.Abs(c-avg) > 1e-9 {
		t.Errorf("work %v, %v, %v with an average of %v", a, b, c, avg)
	}
}

func TestTenantOverItsQuotaHasALowerWeight(t *testing.T) {
	// One of 100 routers: its part of the share is one request in ten seconds, and clumps are no excess.
	h := newGroupOfThree(t, func(s *Settings) { s.Peers, s.Tenants = 100, []Tenant{{RateLimit: 10}} })
	h.handle(&EndpointList{Kind: ListChanges, Endpoints: []Endpoint{{Server: "x", Group: 9}}}) // new: requests wait for its probe
	for i := range int(minTenantBurst) + 1 {
		h.handle(&Request{ID: RequestID(fmt.Sprint(i)), Class: classAny, Group: 9, Deadline: h.now + time.Second})
	}
	if a, b := h.r.requests["3"].weight, h.r.requests["4"].weight; a != 1 || b != 0.1 {
		t.Errorf("values %v and %v", a, b)
	}
}

func TestSubscriptionIsRenewedAfterItFails(t *testing.T) {
	set := testSettings()
	set.WatchList = true
	h := newHarness(t, set, Endpoint{Server: "a"})
	if len(actionsOf(Subscribe, h.out)) != 1 {
		t.Fatal("not subscribed at the start")
	}
	h.handle(&EndpointList{Kind: ListFailed})
	if n := len(actionsOf(Subscribe, h.advance(3*maxResubscribePause))); n != 1 {
		t.Errorf("%d subscriptions after a failure", n)
	}
	if !h.r.servers["a"].usable() {
		t.Error("a failed list call must leave the old list in force")
	}
}

// TestSubscriptionThatBreaksIsRenewedSoon: a watch that held and broke is replaced at once, as drains and new primaries are told by it
// alone; one that breaks as it is opened is not, or a discovery in trouble would be flooded.
func TestSubscriptionThatBreaksIsRenewedSoon(t *testing.T) {
	set := testSettings()
	set.WatchList = true
	h := newHarness(t, set, Endpoint{Server: "a"})
	h.advance(10 * time.Second)
	h.handle(&EndpointList{Kind: ListFailed})
	if n := len(actionsOf(Subscribe, h.advance(3*minResubscribePause))); n != 1 {
		t.Errorf("%d subscriptions soon after a watch broke, want 1", n)
	}
	n := 0
	for end := h.now + 10*time.Second; h.now < end; {
		if len(actionsOf(Subscribe, h.advance(tickInterval))) > 0 {
			n++
			h.handle(&EndpointList{Kind: ListFailed})
		}
	}
	if n > 12 {
		t.Errorf("%d subscriptions in 10 s of failures", n)
	}
	h.advance(maxResubscribePause * 2)
	h.handle(&EndpointList{Kind: ListFailed})
	if n := len(actionsOf(Subscribe, h.advance(3*minResubscribePause))); n != 1 {
		t.Errorf("%d subscriptions soon after a watch that held again", n)
	}
}

// TestBadInputHasADefinedResult feeds what should never come; each has a defined result and no panic.
func TestBadInputHasADefinedResult(t *testing.T) {
	h := newGroupOfThree(t, func(s *Settings) { s.Peers = 0 })
	for _, ev := range []Event{
		&Outcome{ID: "none", Server: "nowhere"}, &Outcome{ID: "none", Server: "a"}, &Abandoned{ID: "none"},
		&HealthCheckResult{Server: "nowhere"}, &EndpointList{Kind: ListChanges}, &Timer{Tag: 99},
		&EndpointList{Kind: ListChanges, Endpoints: []Endpoint{{Server: "new", State: Removed}}},
	} {
		h.wantNone(Send, h.handle(ev))
	}
	for _, q := range []*Request{
		{ID: "class", Class: 99, Deadline: h.now + time.Second}, {ID: "neg", Class: -1, Deadline: h.now + time.Second},
		{ID: "past", Class: classAny, Deadline: h.now - 1},
	} {
		if got := finalAnswers(h.handle(q)); len(got) != 1 {
			t.Errorf("%s: %+v", q.ID, got)
		}
	}
	if got := finalAnswers(h.handle(&Request{ID: "group", Class: classAny, Group: 77, Tenant: 5, Deadline: h.now + time.Second})); len(got) != 1 {
		t.Errorf("a group with no members: %+v", got)
	}
	e := newHarness(t, Settings{})
	e.handle(&Request{ID: "1", Deadline: e.now + time.Second})
	e.handle(&EndpointList{Kind: ListFull})
	e.advance(time.Second)
}

// playMixedLoad runs a mixed day and returns all actions; every server answers, some badly.
func playMixedLoad(t *testing.T, requests int) (*harness, []Action) {
	h := newGroupOfThree(t, func(s *Settings) { s.TrackCommits = true })
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
			case Reject, Fail:
				answered[a.ID]++
			}
		}
	}
	step := func() {
		h.now += 5 * ms
		take(h.handle(&Timer{}))
		for n := len(open); n > 0; n-- {
			a := open[0]
			open = open[1:]
			res := OK
			if len(a.ID)%3 == 0 && a.Attempt == 0 {
				res = []Result{Failed, TimedOut, Unreachable, Reset, Overloaded, Misdirected}[len(all)%6]
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
			take(h.handle(&Outcome{ID: a.ID, Attempt: a.Attempt, Server: a.Server, Result: res, Final: final,
				Reported: Report{Role: role, Position: h.now, HasPosition: true}}))
		}
		for _, s := range []ServerID{"p", "a", "b"} {
			if h.r.servers[s].healthCheckPending {
				role := RoleReplica
				if s == "p" {
					role = RolePrimary
				}
				take(h.report(s, role, h.now))
			}
		}
	}
	for i := range requests {
		id := RequestID(fmt.Sprint(i))
		take(h.handle(&Request{ID: id, Class: i % 5, Deadline: h.now + time.Second, Session: fmt.Sprint(i % 50)}))
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
	return h, all
}

func TestSameEventsSameActions(t *testing.T) {
	_, a := playMixedLoad(t, 1000)
	_, b := playMixedLoad(t, 1000)
	if !reflect.DeepEqual(a, b) {
		t.Error("two runs of the same events differ")
	}
}

func TestNothingIsLeftBehind(t *testing.T) {
	h, _ := playMixedLoad(t, 10000)
	if n := len(h.r.requests); n != 0 {
		t.Errorf("%d requests left", n)
	}
	for _, s := range h.r.serversByID {
		if len(s.openAttempts) != 0 || s.lostAttempts != 0 {
			t.Errorf("%s: %d attempts left, %d lost", s.id, len(s.openAttempts), s.lostAttempts)
		}
	}
	for _, x := range h.r.groupsByNumber {
		if len(x.waiting) != 0 {
			t.Errorf("%d held", len(x.waiting))
		}
	}
	h.handle(&EndpointList{Kind: ListFull})
	h.now += removedServerMemory
	h.handle(&Timer{})
	if len(h.r.servers) != 0 || len(h.r.serversByID) != 0 || len(h.r.groupFor(0).members) != 0 {
		t.Error("vanished stores are kept")
	}
}

// TestManyRoutersKeepTheSlowStartBudgetTogether: the part of one of many is less than a request, yet the sum must neither be
// nothing nor break the rule. Fails if the budget only lets through what fits a router's part.
func TestManyRoutersKeepTheSlowStartBudgetTogether(t *testing.T) {
	const routers = 200
	set := testSettings()
	set.Peers = routers
	var all []*harness
	for i := range routers {
		h := &harness{t: t, r: New(set, uint64(i+1)), now: start}
		h.handle(&EndpointList{Kind: ListRestored, Endpoints: []Endpoint{{Server: "p", Primary: true}}})
		h.handle(&EndpointList{Kind: ListChanges, Endpoints: []Endpoint{{Server: "p", Started: start}}})
		all = append(all, h)
	}
	work := all[0].r.classes[classAny].averageWork
	allowed := set.SlowStartMultiple * set.SlowStartFrom * fullRateConcurrency * initialKindRate // work a second just after the start
	var sent []float64                                                                           // by tenths of a second
	for step := range 30 {
		n := 0
		for i, h := range all {
			h.now = start + Time(step)*100*ms
			n += len(actionsOf(Send, h.handle(&Request{ID: RequestID(fmt.Sprint(i, "-", step)), Class: classAny, Deadline: h.now + time.Second})))
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

// TestServerRemovedAfterDrainingStaysExcluded: where only draining binds, a server seen draining and then listed as gone is
// barred; one only listed as gone is not, and is forgotten once it has not answered for a while.
func TestServerRemovedAfterDrainingStaysExcluded(t *testing.T) {
	set := testSettings()
	set.DrainOnly = true
	h := newHarness(t, set, Endpoint{Server: "a"}, Endpoint{Server: "b", Group: 1})
	h.handle(&EndpointList{Kind: ListChanges, Endpoints: []Endpoint{{Server: "a", State: Draining}}})
	h.handle(&EndpointList{Kind: ListChanges, Endpoints: []Endpoint{{Server: "a", State: Removed}, {Server: "b", Group: 1, State: Removed}}})
	h.wantNone(Send, h.request("1", classAny))
	h.wantSend(h.handle(&Request{ID: "2", Class: classAny, Group: 1, Deadline: h.now + time.Second}), "2", "b")
	h.wantSend(h.handle(&EndpointList{Kind: ListChanges, Endpoints: []Endpoint{{Server: "a"}}}), "1", "a")
	h.end("1", 0, "a", OK)
	h.end("2", 0, "b", OK)
	h.advance(removedServerMemory + 2*rateRefreshInterval)
	if len(h.r.servers) != 1 || h.r.servers["a"] == nil {
		t.Errorf("%d stores kept, want a alone", len(h.r.servers))
	}
}

// TestIdleRouterCausesNoActions: hundreds of routers wait for nothing most of the time. Fails if one without requests
// sets a timer or probes.
func TestIdleRouterCausesNoActions(t *testing.T) {
	h := newGroupOfThree(t, nil)
	if out := h.report("a", RoleReplica, h.now); len(out) != 0 {
		t.Errorf("an idle router did %+v", out)
	}
	h.now += time.Minute
	if out := h.handle(&EndpointList{Kind: ListChanges}); len(out) != 0 {
		t.Errorf("an idle router did %+v", out)
	}
}

// TestReadsSpreadOverTheMembers: one of many routers that has nothing in flight must not send read after read to the same
// server, however little it sees. Fails if the other routers are not taken to do as it does.
func TestReadsSpreadOverTheMembers(t *testing.T) {
	h := newGroupOfThree(t, func(s *Settings) { s.Peers, s.StaleReads = 200, StaleReadsRefused })
	got := map[ServerID]int{}
	for i := range 60 {
		id := RequestID(fmt.Sprint(i))
		sent := actionsOf(Send, h.request(id, classAny))
		if len(sent) != 1 {
			t.Fatalf("read %d: %+v", i, sent)
		}
		got[sent[0].Server]++
		h.now += 80 * ms
		h.end(id, 0, sent[0].Server, OK)
		h.now += 220 * ms
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
	h := newGroupOfThree(t, nil)
	h.r.servers["a"].relativeRate = 1.5
	for i := range 3 {
		id := RequestID(fmt.Sprint(i))
		sent := actionsOf(Send, h.request(id, classAny))
		h.now += 5 * ms
		if i == 0 {
			h.wantSend(h.end(id, 0, sent[0].Server, Failed), id, "")
		}
		if i > 0 && sent[0].Server == "a" {
			t.Errorf("read %d went to the store that failed", i)
		}
	}
}

// TestPauseOfThisProcessIsNoEvidenceAgainstServers: a router that stood still finds every timer late and every answer late. Fails if it takes
// servers for silent or slow by that.
func TestPauseOfThisProcessIsNoEvidenceAgainstServers(t *testing.T) {
	h := newGroupOfThree(t, nil)
	sent := actionsOf(Send, h.request("1", classAny))[0].Server
	rate := h.r.servers[sent].relativeRate
	h.now += 3 * time.Second
	h.handle(&Request{ID: "2", Class: classAny, Deadline: h.now + time.Second})
	h.end("1", 0, sent, OK)
	h.handle(&Timer{})
	if s := h.r.servers[sent]; s.health != healthy || s.relativeRate < rate {
		t.Errorf("health %v, rate %v of %v", s.health, s.relativeRate, rate)
	}
}

// BenchmarkHandle is one of 250 routers before 90 servers: a read and its answer.
func BenchmarkHandle(b *testing.B) {
	set := testSettings()
	set.Peers, set.StaleReads = 250, StaleReadsRefused
	var entries []Endpoint
	for i := range 90 {
		entries = append(entries, Endpoint{Server: ServerID(fmt.Sprint(i)), Group: i / 6})
	}
	r := New(set, 1)
	out := r.Handle(start, &EndpointList{Kind: ListRestored, Endpoints: entries}, nil)
	b.ReportAllocs()
	now := start
	for i := 0; b.Loop(); i++ {
		id := RequestID(fmt.Sprint(i))
		now += 70 * ms
		out = r.Handle(now, &Request{ID: id, Class: classAny, Group: i % 15, Deadline: now + time.Second}, out[:0])
		for _, a := range actionsOf(Send, out) {
			now += 10 * ms
			out = r.Handle(now, &Outcome{ID: id, Server: a.Server, Result: OK, Final: true}, out[:0])
		}
		out = r.Handle(now, &Timer{}, out[:0])
	}
}

// TestServerBehindASlowLinkIsNotEjected: probes and connections into one other zone take long and fail, while that zone's servers
// are well. Reads go elsewhere; a write still goes to the primary there, and it does not count as restarted. Fails if
// the server is judged by the way to it. A refusal that comes at once is the server's own.
func TestServerBehindASlowLinkIsNotEjected(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{Server: "p", Zone: 1}, Endpoint{Server: "a"})
	h.report("p", RolePrimary, h.now)
	h.report("a", RoleReplica, h.now)
	h.r.checkHealth(h.r.servers["p"], 0)
	h.now += 250 * ms
	h.handle(&HealthCheckResult{Server: "p", Result: TimedOut})
	h.wantSend(h.request("read", classAny), "read", "a")
	h.wantSend(h.request("write", classWriteOnce), "write", "p")
	h.now += 250 * ms
	h.wantSend(h.end("write", 0, "p", Unreachable), "write", "p")
	if s := h.r.servers["p"]; s.health != healthy || s.startedAt != never {
		t.Errorf("health %v, cold from %v", s.health, s.startedAt)
	}
	h.now += 2 * ms
	h.end("write", 1, "p", Unreachable)
	h.now += 2 * ms
	h.end("write", 2, "p", Unreachable)
	if s := h.r.servers["p"]; s.health != ejected {
		t.Errorf("refused at once: health %v, want down", s.health)
	}
}

// TestReadTriesEveryMemberBeforeOneAgain: two members fail by turns. Fails if a read goes back and forth between them, or
// if having asked for positions once it may ask no more.
func TestReadTriesEveryMemberBeforeOneAgain(t *testing.T) {
	h := newGroupOfThree(t, nil)
	seen := map[ServerID]bool{}
	sent := actionsOf(Send, h.request("1", classAny))
	for i := range 3 {
		if len(sent) != 1 || seen[sent[0].Server] {
			t.Fatalf("try %d: %+v, tried before: %v", i, sent, seen)
		}
		seen[sent[0].Server] = true
		h.now += 5 * ms
		sent = actionsOf(Send, h.end("1", i, sent[0].Server, Failed))
	}
	h = newHarness(t, testSettings(), Endpoint{Server: "p"}, Endpoint{Server: "a"}, Endpoint{Server: "b"})
	h.report("p", RolePrimary, h.now)
	h.r.servers["p"].failureAtLast, h.r.servers["p"].failureAt = 0.95, h.now
	asked := actionsOf(HealthCheck, h.request("2", classBounded))
	if len(asked) != 1 || asked[0].Server == "p" {
		t.Fatalf("asked %+v, want one replica", asked)
	}
	h.now += 5 * ms
	sent = actionsOf(Send, h.report(asked[0].Server, RoleReplica, h.now))
	if len(sent) != 1 {
		t.Fatalf("sent %+v", sent)
	}
	h.now += 310 * ms // what was told is too old by now
	h.r.servers["p"].failureAt = h.now
	if again := actionsOf(HealthCheck, h.end("2", 0, sent[0].Server, Failed)); len(again) == 0 {
		t.Error("after a failure the others are not asked")
	}
}

// TestEstimatedLoadRejectsNothing: in a busy fleet the guess of others' load alone makes every member look too slow. Fails if
// that refuses a read which no report and no answer speaks against.
func TestEstimatedLoadRejectsNothing(t *testing.T) {
	h := newGroupOfThree(t, func(s *Settings) { s.Peers, s.StaleReads = 250, StaleReadsRefused })
	h.r.requestRate, h.r.recentRequests, h.r.requestRateSpan, h.r.requestRateAt = 50, 250, 5, h.now
	if n := h.r.loadOf(h.r.servers["a"]).likely; n < 2*fullRateConcurrency {
		t.Fatalf("load %v: the guess should be high here", n)
	}
	out := h.request("1", classAny)
	h.wantSend(out, "1", "")
	h.wantNone(Reject, out)
}

// TestSlowAnswersShowTheLoadOfOthers: one of many routers has nothing at a server whose queue is full. Fails if it sends the
// next read there after an answer many times its work; with few routers their own requests explain that.
func TestSlowAnswersShowTheLoadOfOthers(t *testing.T) {
	for peers, avoids := range map[int]bool{250: true, 1: false} {
		h := newGroupOfThree(t, func(s *Settings) { s.Peers, s.StaleReads = peers, StaleReadsRefused })
		first := actionsOf(Send, h.request("1", classAny))[0].Server
		a := h.r.servers[first]
		for range 39 { // the router is awake: this is no standstill of its own
			h.advance(tickInterval)
		}
		h.end("1", 0, first, OK)
		if got := a.othersLoad > fullRateConcurrency; got != avoids {
			t.Errorf("%d routers: told of %v requests there, want load seen: %v", peers, a.othersLoad, avoids)
		}
	}
}

// TestReadIsNotSentAgainToReplicasThatAreBehind: a session read is turned away by every replica as too far behind. Fails if it goes back
// to one before that can have caught up.
func TestReadIsNotSentAgainToReplicasThatAreBehind(t *testing.T) {
	set := testSettings()
	set.StaleReads = StaleReadsRefused
	h := newHarness(t, set, Endpoint{Server: "a"}, Endpoint{Server: "b"})
	out := h.handle(&Request{ID: "1", Class: classSession, Deadline: h.now + time.Second, SinceCommit: 50 * ms})
	for i := range 2 {
		sent := actionsOf(Send, out)
		if len(sent) != 1 {
			t.Fatalf("try %d: %+v", i, sent)
		}
		h.now += 5 * ms
		out = h.handle(&Outcome{ID: "1", Attempt: i, Server: sent[0].Server, Result: Misdirected,
			Reported: Report{Role: RoleReplica, Position: h.now - 2*time.Second, HasPosition: true}})
	}
	h.wantNone(Send, append(out, h.advance(100*ms)...))
}

// TestOddInputNeitherPanicsNorGrows: numbers of routers far off, and lists that real registries send now and then. None may panic, and
// memory must stay bounded.
func TestOddInputNeitherPanicsNorGrows(t *testing.T) {
	for _, peers := range []int{-1, 0, 1, 1000} {
		set := testSettings()
		set.Peers, set.DrainOnly = peers, true
		var list []Endpoint
		for i := range 500 {
			list = append(list, Endpoint{Server: ServerID(fmt.Sprint("s", i)), Group: i % 100, Kind: i % 3})
		}
		h := newHarness(t, set, list...)
		for i := range 1000 { // a thousand groups with one request each
			h.handle(&Request{ID: RequestID(fmt.Sprint(i)), Class: classAny, Group: i, Deadline: h.now + time.Second})
		}
		for range 5 {
			h.handle(&EndpointList{Kind: ListFull, Endpoints: list}) // the same list each second
			h.advance(time.Second)
		}
		list[0].Group = 7 // moved
		h.handle(&EndpointList{Kind: ListFull, Endpoints: list[:250]})
		h.handle(&EndpointList{Kind: ListChanges, Endpoints: []Endpoint{{Server: "s1", State: Draining}, {Server: "s1", State: Removed}, {Server: "s1"}}})
		h.advance(removedServerMemory + 3*time.Second)
		if len(h.r.requests) != 0 || h.r.openAttempts > 500 {
			t.Errorf("%d siblings: %d requests and %d attempts left", peers, len(h.r.requests), h.r.openAttempts)
		}
		if h.r.servers["s1"] == nil || !h.r.servers["s1"].available() {
			t.Error("drained, gone and back: not usable")
		}
	}
}

// TestSlowConnectionFailureCausesAHealthCheck: opening connections has become slow, so that some fail at their time limit, while
// the servers are well. Fails if that takes a server out of use; a probe tells whether it lives.
func TestSlowConnectionFailureCausesAHealthCheck(t *testing.T) {
	h := newGroupOfThree(t, nil)
	h.wantSend(h.request("1", classWriteOnce), "1", "p")
	h.advance(250 * ms)
	out := h.end("1", 0, "p", Unreachable)
	h.wantSend(out, "1", "p")
	if got := actionsOf(HealthCheck, out); len(got) != 1 || got[0].Server != "p" || h.r.servers["p"].health != healthy {
		t.Errorf("probes %+v, health %v", got, h.r.servers["p"].health)
	}
	for range 2 {
		h.now += 5 * ms
		h.handle(&HealthCheckResult{Server: "p", Result: Unreachable})
	}
	if h.r.servers["p"].health != ejected {
		t.Error("the probe failed too, and again, and the store is not down")
	}
}

// TestOneBrokenConnectionDoesNotEject: connections of servers that are well break by themselves. Fails if one takes its server out,
// if no probe asks soon whether there is more to it, or if a server that answers what was sent before counts as restarted.
func TestOneBrokenConnectionDoesNotEject(t *testing.T) {
	h := newGroupOfThree(t, nil)
	s := h.r.servers["p"]
	h.request("held", classWriteOnce)
	h.request("held2", classWriteOnce)
	for _, broken := range []Event{&HealthCheckResult{Server: "p", Result: Reset}, &HealthCheckResult{Server: "p", Result: Unreachable}} {
		h.handle(broken)
		if s.health != healthy {
			t.Fatalf("after one %+v: health %v", broken, s.health)
		}
		if got := actionsOf(HealthCheck, h.advance(2*tickInterval)); len(got) != 1 || got[0].Server != "p" {
			t.Fatalf("asked %+v", got)
		}
		h.handle(&HealthCheckResult{Server: "p", Result: OK})
	}
	for range 2 {
		h.handle(&HealthCheckResult{Server: "p", Result: Reset})
	}
	if s.health != ejected {
		t.Fatalf("after two: health %v", s.health)
	}
	h.now += restartOutage
	h.end("held", 0, "p", OK) // it was alive all the time
	h.now += 10 * ms
	h.report("p", RolePrimary, h.now)
	if s.health == ejected || h.r.warmUpFactor(s) < 1 {
		t.Errorf("health %v, warmth %v", s.health, h.r.warmUpFactor(s))
	}
}

// TestHealthCheckPauseGrowsAfterSeveralFailures: probes fail by chance too, and one that comes late after a few such keeps a server out, and lets it
// count as restarted. Only after several does the pause between them grow.
func TestHealthCheckPauseGrowsAfterSeveralFailures(t *testing.T) {
	h := newGroupOfThree(t, nil)
	h.request("open", classWriteOnce) // its group is tended to
	h.r.servers["a"].health = ejected
	last := h.now
	for n := range checksBeforeBackoff + 3 {
		for h.advance(tickInterval); !h.r.servers["a"].healthCheckPending && h.now-last < time.Minute; {
			h.advance(tickInterval)
		}
		want := ejectedCheckInterval << max(0, n-checksBeforeBackoff)
		if took := h.now - last; n > 0 && (took < want || took > want+2*tickInterval) {
			t.Errorf("probe %d after %v, want %v", n, took, want)
		}
		last = h.now
		h.handle(&HealthCheckResult{Server: "a", Result: Unreachable})
	}
}

// TestUnreadableReportNeitherEjectsNorReturns: a probe answered with what cannot be read neither takes a server out of use nor back.
func TestUnreadableReportNeitherEjectsNorReturns(t *testing.T) {
	h := newGroupOfThree(t, nil)
	for _, was := range []healthState{healthy, ejected} {
		s := h.r.servers["p"]
		s.health = was
		h.r.checkHealth(s, 0)
		h.handle(&HealthCheckResult{Server: "p", Result: Failed})
		if s.health != was || s.healthCheckPending {
			t.Errorf("health %v became %v, probing %v", was, s.health, s.healthCheckPending)
		}
		h.now += time.Second
	}
}

// TestUnknownGroupIsRejectedWithoutARecord: what asks for groups that there are not is turned away at once, and neither that nor a
// group whose servers have all left takes memory for good.
func TestUnknownGroupIsRejectedWithoutARecord(t *testing.T) {
	h := newGroupOfThree(t, func(s *Settings) { s.MaxRetryAfter = time.Second })
	groups := len(h.r.groups)
	for i := range 100 {
		got := finalAnswers(h.handle(&Request{ID: RequestID(fmt.Sprint(i)), Class: classAny, Group: 1000 + i, Deadline: h.now + time.Second}))
		if len(got) != 1 || got[0].Kind != Reject || got[0].Wait <= 0 {
			t.Fatalf("got %+v", got)
		}
	}
	h.handle(&EndpointList{Kind: ListChanges, Endpoints: []Endpoint{{Server: "x", Group: 9}}})
	h.handle(&EndpointList{Kind: ListChanges, Endpoints: []Endpoint{{Server: "x", Group: 9, State: Removed}}})
	h.request("a", classAny) // a tickInterval comes while something is open only
	for range 40 {
		h.advance(time.Second)
		h.request(RequestID(fmt.Sprint("a", h.now)), classAny)
	}
	if len(h.r.groups) != groups || len(h.r.groupsByNumber) != groups || h.r.servers["x"] != nil {
		t.Errorf("%d groups, %d before; %v", len(h.r.groups), groups, h.r.servers["x"])
	}
}

// TestRequestThatReachedNoServerHasHalfItsTime guards against keeping a write for a primary that does not come until too late
// for its client to ask again: nothing is gained by the second half, and a late refusal without an attempt costs
// 0.3 of the worth. One whose connection failed is as unseen as one never sent; one that was missed is not.
func TestRequestThatReachedNoServerHasHalfItsTime(t *testing.T) {
	for name, c := range map[string]struct {
		result Result
		most   time.Duration
		least  time.Duration
	}{
		"never sent":  {OK, 1500 * ms, 1400 * ms},
		"unreachable": {Unreachable, 1500 * ms, 1400 * ms},
		"seen":        {Misdirected, 3000 * ms, 2900 * ms},
	} {
		h := newGroupOfThree(t, func(s *Settings) { s.MayCheckHealth = false })
		began := h.now
		if c.result == OK {
			h.handle(&EndpointList{Kind: ListChanges, Endpoints: []Endpoint{{Server: "p", State: Removed}}})
			h.request("w", classWriteOnce)
		} else {
			h.wantSend(h.request("w", classWriteOnce), "w", "p")
			h.handle(&EndpointList{Kind: ListChanges, Endpoints: []Endpoint{{Server: "p", State: Removed}}})
			h.end("w", 0, "p", c.result)
		}
		for len(finalAnswers(h.advance(10*ms))) == 0 && h.now-began < 4*time.Second {
		}
		if took := h.now - began; took < c.least || took > c.most {
			t.Errorf("%s: given up after %v, want %v to %v", name, took, c.least, c.most)
		}
	}
}
