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
	set := testSettings()
	flag := func(name string) bool { return rapid.Bool().Draw(t, name) }
	set.Peers = rapid.SampledFrom([]int{1, 3, 20, 300}).Draw(t, "siblings")
	set.MayCancel, set.MayDuplicate, set.MayCheckHealth = flag("cancel"), flag("duplicate"), flag("health checks")
	set.TrackCommits, set.DrainOnly, set.ListShowsRole = flag("tokens"), flag("drain only"), flag("roles")
	set.StaleReads = StaleReadPolicy(rapid.IntRange(0, 2).Draw(t, "behind"))
	set.MaxAttempts = rapid.IntRange(1, 6).Draw(t, "attempts")
	if flag("no cold") {
		set.SlowStartMultiple = 0
	}
	set.Tenants = []Tenant{{RateLimit: 100}, {RateLimit: 20, Assigned: true, AssignedRate: 3, Burst: 3, RejectOverLimit: true}}
	for i := range set.Classes {
		set.Classes[i].LateWeight = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "late worth")
	}
	return set
}

func newRandomRun(c *invariant.Checks, set Settings, seed uint64) *randomRun {
	d := &randomRun{r: New(set, seed), c: c, now: start, attempts: map[RequestID]int{}, finished: map[RequestID]bool{},
		finalAnswers: map[RequestID]int{}}
	d.r.EnableChecks(c, 1)
	var entries []Endpoint
	for g := range 2 {
		for i := range 3 {
			id := ServerID(fmt.Sprintf("s%d%d", g, i))
			d.servers = append(d.servers, id)
			entries = append(entries, Endpoint{Server: id, Group: g, Zone: i, Capacity: 1, Primary: i == 0})
		}
	}
	d.do(&EndpointList{Kind: ListRestored, Endpoints: entries})
	return d
}

func (d *randomRun) do(ev Event) {
	for _, a := range d.r.Handle(d.now, ev, nil) {
		switch a.Kind {
		case Send:
			a.Attempt = d.attempts[a.ID]
			d.attempts[a.ID]++
			d.openAttempts = append(d.openAttempts, a)
		case Reject, Fail:
			d.finished[a.ID] = true
			d.finalAnswers[a.ID]++
		case HealthCheck:
			d.healthChecks = append(d.healthChecks, a.Server)
		case SetTimer:
			d.timers++
		}
	}
}

func (d *randomRun) report(t *rapid.T) Report {
	rep := Report{Role: Role(rapid.IntRange(0, 2).Draw(t, "role")), HasPosition: rapid.Bool().Draw(t, "placed"),
		HasInFlight: rapid.Bool().Draw(t, "loaded"), InFlight: rapid.Float64Range(0, 30).Draw(t, "in flight")}
	if rep.HasPosition {
		rep.Position = d.now + rapid.SampledFrom([]Time{-10 * time.Second, -400 * ms, -200 * ms, -20 * ms, 0, 20 * ms}).Draw(t, "position")
	}
	return rep
}

// end ends a random attempt with a random result.
func (d *randomRun) end(t *rapid.T) {
	if len(d.openAttempts) == 0 {
		return
	}
	i := rapid.IntRange(0, len(d.openAttempts)-1).Draw(t, "attempt")
	a := d.openAttempts[i]
	d.openAttempts = slices.Delete(d.openAttempts, i, i+1)
	res := Result(rapid.IntRange(0, int(Misdirected)).Draw(t, "result"))
	if res == OK {
		d.finished[a.ID] = true
	}
	ev := &Outcome{ID: a.ID, Attempt: a.Attempt, Server: a.Server, Result: res, Final: d.finished[a.ID]}
	if res == OK || res == Misdirected || res == Failed {
		ev.Reported = d.report(t)
		if rapid.Bool().Draw(t, "report") {
			ev.Load = d.report(t)
		}
	}
	d.do(ev)
}

func (d *randomRun) request(t *rapid.T) {
	d.lastRequest++
	d.do(&Request{ID: RequestID(fmt.Sprint(d.lastRequest)), Class: rapid.IntRange(0, 5).Draw(t, "class"),
		Group:  rapid.IntRange(0, 2).Draw(t, "group"),
		Tenant: rapid.IntRange(-1, 1).Draw(t, "tenant"), Deadline: d.now + Time(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "due")),
		Session: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "session"), SinceCommit: Time(rapid.Int64Range(0, int64(time.Second)).Draw(t, "own")),
		ClientRetry: rapid.Bool().Draw(t, "repeat"), WorkHint: Time(rapid.Int64Range(0, int64(200*ms)).Draw(t, "work"))})
}

// TestInvariants checks the router's invariants under random settings, lists, requests, outcomes, health checks, timers
// and pauses in any order.
func TestInvariants(t *testing.T) {
	deterministic.Check(t, func(t *rapid.T) {
		d := newRandomRun(invariant.Test(t), drawSettings(t), rapid.Uint64().Draw(t, "seed"))
		many := func(do func(*rapid.T)) func(*rapid.T) {
			return func(t *rapid.T) {
				for range rapid.IntRange(1, 8).Draw(t, "times") {
					do(t)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"request": many(d.request), "end": many(d.end),
			"pass": func(t *rapid.T) {
				for range rapid.IntRange(1, 20).Draw(t, "ticks") {
					if d.now += tickInterval; d.timers > 0 {
						d.timers--
						d.do(&Timer{})
					}
				}
			},
			"stand still": func(t *rapid.T) { d.now += Time(rapid.Int64Range(int64(ms), int64(6*time.Second)).Draw(t, "ms")) },
			"health check result": func(t *rapid.T) {
				if len(d.healthChecks) > 0 {
					s := d.healthChecks[0]
					d.healthChecks = d.healthChecks[1:]
					ev := &HealthCheckResult{Server: s, Result: rapid.SampledFrom([]Result{OK, OK, OK, Overloaded, TimedOut,
						Unreachable}).Draw(t, "result")}
					if ev.Result == OK {
						ev.Load = d.report(t)
					}
					d.do(ev)
				}
			},
			"list": func(t *rapid.T) {
				l := &EndpointList{Kind: ListKind(rapid.IntRange(0, int(ListFailed)).Draw(t, "kind"))}
				for _, s := range rapid.SliceOfDistinct(rapid.SampledFrom(append(d.servers, "new")), rapid.ID).Draw(t, "named") {
					l.Endpoints = append(l.Endpoints, Endpoint{Server: s, Group: int(s[1]) % 2, Capacity: 1,
						State:   ServerState(rapid.IntRange(0, 2).Draw(t, "state")),
						Started: d.now - Time(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "age"))})
				}
				if l.Kind == ListFailed {
					l.Endpoints = nil
				}
				d.do(l)
			},
			"abandon": func(t *rapid.T) {
				if d.lastRequest > 0 {
					id := RequestID(fmt.Sprint(rapid.IntRange(1, d.lastRequest).Draw(t, "request")))
					if !d.finished[id] {
						d.finished[id] = true
						d.do(&Abandoned{ID: id})
					}
				}
			},
			"reload": func(t *rapid.T) { d.do(&Reload{Settings: drawSettings(t)}) },
			"merge":  func(*rapid.T) { d.r.Merge(d.now, d.r.Snapshot()) },
			"": func(t *rapid.T) {
				for id, n := range d.finalAnswers {
					if n > 1 {
						t.Errorf("%s had %d answers", id, n)
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
		name string
		poke func(*harness)
		do   func(*harness) []Action
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
			req.group.waiting,
				req.group = []*request{req}, &group{}
		}, none},
		{"decide: after a tick no request that waits is over",
			func(h *harness) { req := newWaiting(h); req.finished, req.group.waiting = true, []*request{req} }, none},
		{"decide: a request without a final answer is known", func(h *harness) { delete(h.r.requests, "w") }, none},
		{"decide: a request that is known has no final answer", func(h *harness) { h.r.requests["x"] = newWaiting(h) }, none},
		{"decide: a request's attempts are counted", func(h *harness) { h.r.requests["w"].openAttempts = 2 }, none},
		{"decide: a request is in flight or waits", func(h *harness) {
			h.r.requests["w"].attempts[0].ended,
				h.r.requests["w"].openAttempts = true, 0
		}, none},
		{"decide: a timer is pending while anything is open", func(h *harness) { h.r.timerAt = never }, none},
	} {
		h := newGroupOfThree(t, nil)
		h.wantSend(h.request("w", classKeyedWrite), "w", "p")
		c := invariant.New(nil)
		h.r.checker.checks = c
		w := h.r.checker
		if w.walk(h.r, &Timer{}); len(c.Breaches()) > 0 {
			t.Errorf("%q: breaches before the violation: %v", m.name, c.Breaches())
		}
		if m.poke != nil {
			m.poke(h)
		}
		w.observe(h.r, &Timer{}, m.do(h))
		if !slices.ContainsFunc(c.Breaches(), func(b invariant.Breach) bool { return b.Name == m.name }) {
			t.Errorf("%q is not reported, but %v", m.name, c.Breaches())
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
