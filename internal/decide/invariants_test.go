package decide

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"beechgrade/internal/invariant"
	"beechgrade/internal/testkit/deterministic"
)

// randomRun runs a router with random input from a correct embedder: each attempt ends once, each health check at most
// once, an outcome is final if it is an answer or its request is over, and timers may be late. All else is random.
type randomRun struct {
	r            *Router
	c            *invariant.Checks
	now          Time
	attempts     map[RequestID]int
	finished     map[RequestID]bool
	openAttempts []Action // sends that have not ended
	healthChecks []ServerID
	timers       int
	servers      []ServerID
	lastRequest  int
	finalAnswers map[RequestID]int
}

func drawSettings(t *rapid.T) Settings {
	settings := testSettings()
	flag := func(name string) bool { return rapid.Bool().Draw(t, name) }
	settings.Peers = rapid.SampledFrom([]int{1, 3, 20, 300}).Draw(t, "peers")
	settings.MayCancel, settings.MayDuplicate, settings.MayCheckHealth = flag("cancel"), flag("duplicate"), flag("health checks")
	settings.TrackCommits, settings.DrainOnly, settings.ListShowsRole = flag("track commits"), flag("drain only"), flag("roles")
	settings.StaleReads = StaleReadPolicy(rapid.IntRange(0, 2).Draw(t, "stale reads"))
	settings.MaxAttempts = rapid.IntRange(1, 6).Draw(t, "attempts")
	if flag("no slow start") {
		settings.SlowStartMultiple = 0
	}
	settings.Tenants = []Tenant{{RateLimit: 100}, {RateLimit: 20, Assigned: true, AssignedRate: 3, Burst: 3, RejectOverLimit: true}}
	for i := range settings.Classes {
		settings.Classes[i].LateWeight = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "late weight")
	}
	return settings
}

func newRandomRun(c *invariant.Checks, settings Settings, seed uint64) *randomRun {
	run := &randomRun{r: New(settings, seed), c: c, now: start, attempts: map[RequestID]int{}, finished: map[RequestID]bool{},
		finalAnswers: map[RequestID]int{}}
	run.r.EnableChecks(c, 1)
	var entries []Endpoint
	for g := range 2 {
		for i := range 3 {
			id := ServerID(fmt.Sprintf("s%d%d", g, i))
			run.servers = append(run.servers, id)
			entries = append(entries, Endpoint{Server: id, Group: g, Zone: i, Capacity: 1, Primary: i == 0})
		}
	}
	run.do(&EndpointList{Kind: ListRestored, Endpoints: entries})
	return run
}

func (run *randomRun) do(ev Event) {
	for _, a := range run.r.Handle(run.now, ev, nil) {
		switch a.Kind {
		case Send:
			a.Attempt = run.attempts[a.ID]
			run.attempts[a.ID]++
			run.openAttempts = append(run.openAttempts, a)
		case Reject, Fail:
			run.finished[a.ID] = true
			run.finalAnswers[a.ID]++
		case HealthCheck:
			run.healthChecks = append(run.healthChecks, a.Server)
		case SetTimer:
			run.timers++
		}
	}
}

func (run *randomRun) report(t *rapid.T) Report {
	rep := Report{Role: Role(rapid.IntRange(0, 2).Draw(t, "role")), HasPosition: rapid.Bool().Draw(t, "has position"),
		HasInFlight: rapid.Bool().Draw(t, "has in flight"), InFlight: rapid.Float64Range(0, 30).Draw(t, "in flight")}
	if rep.HasPosition {
		rep.Position = run.now + rapid.SampledFrom([]Time{-10 * time.Second, -400 * ms, -200 * ms, -20 * ms, 0, 20 * ms}).Draw(t, "position")
	}
	return rep
}

// end ends a random attempt with a random result.
func (run *randomRun) end(t *rapid.T) {
	if len(run.openAttempts) == 0 {
		return
	}
	i := rapid.IntRange(0, len(run.openAttempts)-1).Draw(t, "attempt")
	a := run.openAttempts[i]
	run.openAttempts = slices.Delete(run.openAttempts, i, i+1)
	res := Result(rapid.IntRange(0, int(Misdirected)).Draw(t, "result"))
	if res == OK {
		run.finished[a.ID] = true
	}
	ev := &Outcome{ID: a.ID, Attempt: a.Attempt, Server: a.Server, Result: res, Final: run.finished[a.ID]}
	if res == OK || res == Misdirected || res == Failed {
		ev.Reported = run.report(t)
		if rapid.Bool().Draw(t, "report") {
			ev.Load = run.report(t)
		}
	}
	run.do(ev)
}

func (run *randomRun) request(t *rapid.T) {
	run.lastRequest++
	run.do(&Request{ID: RequestID(fmt.Sprint(run.lastRequest)), Class: rapid.IntRange(0, 5).Draw(t, "class"),
		Group:  rapid.IntRange(0, 2).Draw(t, "group"),
		Tenant: rapid.IntRange(-1, 1).Draw(t, "tenant"), Deadline: run.now + Time(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "deadline")),
		Session: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "session"), SinceCommit: Time(rapid.Int64Range(0, int64(time.Second)).Draw(t, "since commit")),
		ClientRetry: rapid.Bool().Draw(t, "client retry"), WorkHint: Time(rapid.Int64Range(0, int64(200*ms)).Draw(t, "work hint"))})
}

// TestInvariants checks the router's invariants under random settings, lists, requests, outcomes, health checks, timers
// and pauses in any order.
func TestInvariants(t *testing.T) {
	deterministic.Check(t, func(t *rapid.T) {
		run := newRandomRun(invariant.Test(t), drawSettings(t), rapid.Uint64().Draw(t, "seed"))
		many := func(do func(*rapid.T)) func(*rapid.T) {
			return func(t *rapid.T) {
				for range rapid.IntRange(1, 8).Draw(t, "times") {
					do(t)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"request": many(run.request), "end": many(run.end),
			"pass time": func(t *rapid.T) {
				for range rapid.IntRange(1, 20).Draw(t, "ticks") {
					if run.now += tickInterval; run.timers > 0 {
						run.timers--
						run.do(&Timer{})
					}
				}
			},
			"stall": func(t *rapid.T) { run.now += Time(rapid.Int64Range(int64(ms), int64(6*time.Second)).Draw(t, "ms")) },
			"health check result": func(t *rapid.T) {
				if len(run.healthChecks) > 0 {
					s := run.healthChecks[0]
					run.healthChecks = run.healthChecks[1:]
					ev := &HealthCheckResult{Server: s, Result: rapid.SampledFrom([]Result{OK, OK, OK, Overloaded, TimedOut,
						Unreachable}).Draw(t, "result")}
					if ev.Result == OK {
						ev.Load = run.report(t)
					}
					run.do(ev)
				}
			},
			"list": func(t *rapid.T) {
				l := &EndpointList{Kind: ListKind(rapid.IntRange(0, int(ListFailed)).Draw(t, "kind"))}
				for _, s := range rapid.SliceOfDistinct(rapid.SampledFrom(append(run.servers, "new")), rapid.ID).Draw(t, "servers") {
					l.Endpoints = append(l.Endpoints, Endpoint{Server: s, Group: int(s[1]) % 2, Capacity: 1,
						State:   ServerState(rapid.IntRange(0, 2).Draw(t, "state")),
						Started: run.now - Time(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "age"))})
				}
				if l.Kind == ListFailed {
					l.Endpoints = nil
				}
				run.do(l)
			},
			"abandon": func(t *rapid.T) {
				if run.lastRequest > 0 {
					id := RequestID(fmt.Sprint(rapid.IntRange(1, run.lastRequest).Draw(t, "request")))
					if !run.finished[id] {
						run.finished[id] = true
						run.do(&Abandoned{ID: id})
					}
				}
			},
			"reload": func(t *rapid.T) { run.do(&Reload{Settings: drawSettings(t)}) },
			"merge":  func(*rapid.T) { run.r.Merge(run.now, run.r.Snapshot()) },
			"": func(t *rapid.T) {
				for id, n := range run.finalAnswers {
					if n > 1 {
						t.Errorf("request %s: %d final answers, want at most one", id, n)
					}
				}
			},
		})
	})
}

// TestInvariantsFailWhenBroken: each invariant reports a breach after a change of state that violates it, or for an
// action that violates it.
func TestInvariantsFailWhenBroken(t *testing.T) {
	send := func(id RequestID, s ServerID) func(*harness) []Action {
		return func(h *harness) []Action { return []Action{{Kind: Send, ID: id, Server: s}} }
	}
	none := func(*harness) []Action { return nil }
	newWaiting := func(h *harness) *request {
		return &request{id: "h", group: h.r.groups[0], class: &h.r.classes[0], deadline: h.now + time.Hour}
	}
	for _, m := range []struct {
		name    string
		corrupt func(*harness)          // changes the state before do, nil for no change
		do      func(*harness) []Action // returns the actions to check
	}{
		{"decide: each request has one final answer", nil, func(*harness) []Action { return []Action{{Kind: Reject, ID: "none"}} }},
		{"decide: only an attempt in flight is cancelled", nil, func(*harness) []Action { return []Action{{Kind: Cancel, ID: "w", Attempt: 3}} }},
		{"decide: only a listed server is checked", nil, func(*harness) []Action { return []Action{{Kind: HealthCheck, Server: "z"}} }},
		{"decide: nothing is sent to a server that is draining or removed",
			func(h *harness) { h.r.checker.servers["p"].draining = true }, send("w", "p")},
		{"decide: nothing is sent to a server that is draining or removed",
			func(h *harness) { h.r.checker.servers["p"].removed = true },
			func(*harness) []Action { return []Action{{Kind: HealthCheck, Server: "p"}} }},
		{"decide: only an open request is sent, to a listed server", func(h *harness) { h.r.checker.requests["w"].ended = true }, send("w", "p")},
		{"decide: a request has no more than the attempts allowed", func(h *harness) { h.r.checker.requests["w"].attempts = 9 }, send("w", "p")},
		{"decide: what must not run twice is in flight once",
			func(h *harness) { h.r.requests["w"].class.Idempotency = NotIdempotent }, send("w", "p")},
		{"decide: a read goes where its position is covered", func(h *harness) {
			s := h.r.checker.servers["p"]
			s.position, s.primaryAt, s.primaryNotDeniedAt = h.now-time.Second, never, never
			h.r.requests["w"].class = &h.r.classes[classBounded]
		}, send("w", "p")},
		{"decide: a cold server stays within its slow-start budget", func(h *harness) {
			s := h.r.servers["p"]
			s.startedAt = h.now
			h.r.requests["w"].relativeWork = 0.01
			h.r.checker.servers["p"].slowStartSends = []budgetedSend{{h.now, 1e6, 1}}
		}, send("w", "p")},
		{"decide: servers are in order", func(h *harness) { slices.Reverse(h.r.serversByID) }, none},
		{"decide: attempts in flight agree", func(h *harness) { h.r.openAttempts++ }, none},
		{"decide: attempts in flight agree by class", func(h *harness) { h.r.checker.requests["w"].class++ }, none},
		{"decide: attempts in flight agree by tenant", func(h *harness) { h.r.checker.requests["w"].tenant++ }, none},
		{"decide: attempts in flight agree by server", func(h *harness) { h.r.servers["p"].openAttempts = nil }, none},
		{"decide: an attempt in flight at a server was sent there", func(h *harness) { h.r.servers["p"].openAttempts[0].number = 7 }, none},
		{"decide: lost attempts are counted", func(h *harness) { h.r.servers["p"].lostAttempts = 2 }, none},
		{"decide: a server is a member of its group", func(h *harness) { h.r.groups[0].members = nil }, none},
		{"decide: a position is one that was reported", func(h *harness) { h.r.servers["a"].position = h.now + 1 }, none},
		{"decide: a server's values are in range", func(h *harness) { h.r.servers["a"].othersLoad = -1 }, none},
		{"decide: a request waits once", func(h *harness) { req := newWaiting(h); req.group.waiting = []*request{req, req} }, none},
		{"decide: a request waits in its group", func(h *harness) {
			req := newWaiting(h)
			req.group.waiting, req.group = []*request{req}, &group{}
		}, none},
		{"decide: after a tick no request that waits is over",
			func(h *harness) { req := newWaiting(h); req.finished, req.group.waiting = true, []*request{req} }, none},
		{"decide: a request without a final answer is known", func(h *harness) { delete(h.r.requests, "w") }, none},
		{"decide: a request that is known has no final answer", func(h *harness) { h.r.requests["x"] = newWaiting(h) }, none},
		{"decide: a request's attempts are counted", func(h *harness) { h.r.requests["w"].openAttempts = 2 }, none},
		{"decide: a request is in flight or waits", func(h *harness) {
			h.r.requests["w"].attempts[0].ended, h.r.requests["w"].openAttempts = true, 0
		}, none},
		{"decide: a timer is pending while anything is open", func(h *harness) { h.r.timerAt = never }, none},
	} {
		h := newGroupOfThree(t, nil)
		h.wantSend(h.request("w", classKeyedWrite), "w", "p")
		c := invariant.New(nil)
		h.r.checker.checks = c
		checker := h.r.checker
		if checker.walk(h.r, &Timer{}); len(c.Breaches()) > 0 {
			t.Errorf("%q: breaches before the violation: %v", m.name, c.Breaches())
		}
		if m.corrupt != nil {
			m.corrupt(h)
		}
		checker.observe(h.r, &Timer{}, m.do(h))
		if !slices.ContainsFunc(c.Breaches(), func(b invariant.Breach) bool { return b.Name == m.name }) {
			t.Errorf("%q is not reported; reported breaches: %v", m.name, c.Breaches())
		}
	}
}

// BenchmarkInvariantChecks measures the cost of the invariants: off, with a walk every 64 events, and with a walk at every
// event.
func BenchmarkInvariantChecks(b *testing.B) {
	for _, x := range []struct {
		name  string
		every int
	}{{"off", 0}, {"each 64", 64}, {"each", 1}} {
		b.Run(x.name, func(b *testing.B) {
			r, now := New(testSettings(), 1), start
			if x.every > 0 {
				r.EnableChecks(invariant.New(nil), x.every)
			}
			out := r.Handle(now, &EndpointList{Endpoints: []Endpoint{{Server: "p", Capacity: 1}}}, nil)
			r.Handle(now, &HealthCheckResult{Server: "p", Load: Report{Role: RolePrimary, Position: now, HasPosition: true}}, out[:0])
			q, ev := &Request{ID: "1", Class: classAny}, &Outcome{ID: "1", Server: "p", Final: true}
			b.ReportAllocs()
			for b.Loop() {
				now += ms
				q.Deadline = now + time.Second
				out = r.Handle(now, q, out[:0])
				now += ms
				out = r.Handle(now, ev, out[:0])
			}
		})
	}
}
