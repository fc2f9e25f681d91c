package decide

import (
	"testing"
	"time"

	"beechgrade/internal/invariant"
)

const ms = time.Millisecond

// start is the initial time of the tests' clock.
const start = 1000 * time.Second

// harness drives one router step by step.
type harness struct {
	t   *testing.T
	r   *Router
	now Time
	out []Action
}

// Classes of the tests, by number.
const (
	classBounded = iota
	classSession
	classKeyedWrite // idempotent with a key, whose scope is the group
	classWriteOnce  // a write that must not run twice
	classAny
)

// testSettings returns settings with the classes above.
func testSettings() Settings {
	return Settings{
		Peers: 1, Tick: 5 * ms, MayCancel: true, MayDuplicate: true, MayCheckHealth: true,
		MaxRetryAfter: time.Second, MaxAttempts: 6, DrainGrace: 500 * ms, SlowStartMultiple: 3, SlowStartSpan: time.Second,
		SlowStartFrom: 0.2, SlowStartTime: 10 * time.Second, OverQuotaWeight: 0.1,
		Classes: []Class{
			classBounded: {LatencyObjective: 400 * ms, Deadline: 2 * time.Second, PriorityWeight: 1, Read: ReadBounded, MaxStaleness: 300 * ms},
			classSession: {LatencyObjective: 400 * ms, Deadline: 2 * time.Second, PriorityWeight: 1, Read: ReadSession},
			classKeyedWrite: {LatencyObjective: 400 * ms, Deadline: 3 * time.Second, PriorityWeight: 4, LateWeight: 0.3,
				Read: Write, Idempotency: IdempotentWithKey,
				KeyScope: ScopeGroup, KeyWindow: 2 * time.Second},
			classWriteOnce: {LatencyObjective: 400 * ms, Deadline: 3 * time.Second, PriorityWeight: 4, LateWeight: 0.3,
				Read: Write, Idempotency: NotIdempotent},
			classAny: {LatencyObjective: 400 * ms, Deadline: 2 * time.Second, PriorityWeight: 1, Read: ReadAny},
		},
	}
}

// newHarness returns a harness whose router checks its invariants and has received the given list.
func newHarness(t *testing.T, settings Settings, entries ...Endpoint) *harness {
	t.Helper()
	h := &harness{t: t, r: New(settings, 7), now: start}
	h.r.EnableChecks(invariant.Test(t), 1)
	h.handle(&EndpointList{Kind: ListRestored, Endpoints: entries})
	return h
}

// newGroupOfThree returns a harness of one group with primary p and replicas a and b, all reachable and up to
// date.
func newGroupOfThree(t *testing.T, change func(*Settings)) *harness {
	t.Helper()
	settings := testSettings()
	if change != nil {
		change(&settings)
	}
	h := newHarness(t, settings, Endpoint{Server: "p", Capacity: 1}, Endpoint{Server: "a", Capacity: 1}, Endpoint{Server: "b", Capacity: 1})
	h.report("p", RolePrimary, h.now)
	h.report("a", RoleReplica, h.now)
	h.report("b", RoleReplica, h.now)
	return h
}

// handle passes an event to the router, and returns its actions.
func (h *harness) handle(ev Event) []Action {
	h.out = h.r.Handle(h.now, ev, nil)
	return h.out
}

// report passes a server's answer to a health check to the router: its role, and a position at the given time.
func (h *harness) report(s ServerID, role Role, at Time) []Action {
	return h.handle(&HealthCheckResult{Server: s, Load: Report{Role: role, Position: at, HasPosition: true}})
}

// request passes a request of a class to the router, with the deadline of its class.
func (h *harness) request(id RequestID, class int) []Action {
	return h.handle(&Request{ID: id, Class: class, Deadline: h.now + h.r.classes[class].Deadline})
}

// end passes the outcome of an attempt to the router.
func (h *harness) end(id RequestID, number int, s ServerID, result Result) []Action {
	return h.handle(&Outcome{ID: id, Attempt: number, Server: s, Result: result, Final: result == OK})
}

// advance lets time pass with ticks, and returns all actions.
func (h *harness) advance(d time.Duration) (all []Action) {
	for end := h.now + d; h.now < end; {
		h.now = min(end, h.now+tickInterval)
		all = append(all, h.handle(&Timer{})...)
	}
	return all
}

// actionsOf returns the actions of a kind.
func actionsOf(kind ActionKind, actions []Action) (got []Action) {
	for _, a := range actions {
		if a.Kind == kind {
			got = append(got, a)
		}
	}
	return got
}

// wantSend fails the test unless exactly one attempt was sent, of request id and, if s is not empty, to server s.
func (h *harness) wantSend(actions []Action, id RequestID, s ServerID) {
	h.t.Helper()
	got := actionsOf(Send, actions)
	if len(got) != 1 || got[0].ID != id || s != "" && got[0].Server != s {
		h.t.Fatalf("want one send of %s to %q, got %+v", id, s, got)
	}
}

// wantNone fails the test if there is an action of the kind.
func (h *harness) wantNone(kind ActionKind, actions []Action) {
	h.t.Helper()
	if got := actionsOf(kind, actions); len(got) != 0 {
		h.t.Fatalf("want none of kind %v, got %+v", kind, got)
	}
}

// finalAnswers returns the final answers among actions.
func finalAnswers(actions []Action) []Action {
	return append(actionsOf(Reject, actions), actionsOf(Fail, actions)...)
}
