package decide

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// TestBadInputHasADefinedResult: events that a correct embedder does not send have a defined result and do not panic.
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
			t.Errorf("request %s: final answers %+v, want one", q.ID, got)
		}
	}
	if got := finalAnswers(h.handle(&Request{ID: "group", Class: classAny, Group: 77, Tenant: 5, Deadline: h.now + time.Second})); len(got) != 1 {
		t.Errorf("a request for a group without members: final answers %+v, want one", got)
	}
	e := newHarness(t, Settings{})
	e.handle(&Request{ID: "1", Deadline: e.now + time.Second})
	e.handle(&EndpointList{Kind: ListFull})
	e.advance(time.Second)
}

// playMixedLoad runs a mixed load, in which every attempt ends and some fail, and returns all actions.
func playMixedLoad(t *testing.T, requests int) (*harness, []Action) {
	t.Helper()
	h := newGroupOfThree(t, func(s *Settings) { s.TrackCommits = true })
	var all []Action
	var open []Action
	answered := map[RequestID]int{}
	attempts := map[RequestID]int{}
	take := func(out []Action) {
		all = append(all, out...)
		for _, a := range out {
			switch a.Kind {
			case Send:
				a.Attempt = attempts[a.ID]
				attempts[a.ID]++
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
				answered[a.ID]++ // answers of further attempts are not given to the client
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
			t.Fatalf("request %d: %d final answers, want one", i, n)
		}
	}
	return h, all
}

// TestSameEventsSameActions: two routers with the same seed and events cause the same actions.
func TestSameEventsSameActions(t *testing.T) {
	_, a := playMixedLoad(t, 1000)
	_, b := playMixedLoad(t, 1000)
	if !reflect.DeepEqual(a, b) {
		t.Error("two runs of the same events differ")
	}
}

// TestNoStateRemainsAfterLoad: after a mixed load no requests, attempts or servers that were removed remain.
func TestNoStateRemainsAfterLoad(t *testing.T) {
	h, _ := playMixedLoad(t, 10000)
	if n := len(h.r.requests); n != 0 {
		t.Errorf("the router keeps %d requests after all have ended, want none", n)
	}
	for _, s := range h.r.serversByID {
		if len(s.openAttempts) != 0 || s.lostAttempts != 0 {
			t.Errorf("server %s: %d open attempts remain, %d presumed lost, want none", s.id, len(s.openAttempts), s.lostAttempts)
		}
	}
	for _, group := range h.r.groupsByNumber {
		if len(group.waiting) != 0 {
			t.Errorf("%d requests still wait, want none", len(group.waiting))
		}
	}
	h.handle(&EndpointList{Kind: ListFull})
	h.now += removedServerMemory
	h.handle(&Timer{})
	if len(h.r.servers) != 0 || len(h.r.serversByID) != 0 || len(h.r.groupFor(0).members) != 0 {
		t.Errorf("servers that were removed remain: %d by name, %d by id, or members of group 0; want none", len(h.r.servers), len(h.r.serversByID))
	}
}

// TestIdleRouterEmitsNoActions: in a tier of hundreds of routers, most are idle most of the time. Fails if a router
// without requests sets a timer or checks servers.
func TestIdleRouterEmitsNoActions(t *testing.T) {
	h := newGroupOfThree(t, nil)
	if out := h.report("a", RoleReplica, h.now); len(out) != 0 {
		t.Errorf("actions of an idle router on a health report: %+v, want none", out)
	}
	h.now += time.Minute
	if out := h.handle(&EndpointList{Kind: ListChanges}); len(out) != 0 {
		t.Errorf("actions of an idle router on an empty change of the list: %+v, want none", out)
	}
}

// BenchmarkHandle measures a read and its answer, in one of 250 routers with 90 servers.
func BenchmarkHandle(b *testing.B) {
	settings := testSettings()
	settings.Peers, settings.StaleReads = 250, StaleReadsRefused
	var entries []Endpoint
	for i := range 90 {
		entries = append(entries, Endpoint{Server: ServerID(fmt.Sprint(i)), Group: i / 6})
	}
	r := New(settings, 1)
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

// TestUnusualInputNeitherPanicsNorLeaks: numbers of routers that are out of range, and lists as real registries send them
// now and then (repeated, with moved servers, in contradictory order) cause no panic, and memory stays bounded.
func TestUnusualInputNeitherPanicsNorLeaks(t *testing.T) {
	for _, peers := range []int{-1, 0, 1, 1000} {
		settings := testSettings()
		settings.Peers, settings.DrainOnly = peers, true
		var list []Endpoint
		for i := range 500 {
			list = append(list, Endpoint{Server: ServerID(fmt.Sprint("s", i)), Group: i % 100, Kind: i % 3})
		}
		h := newHarness(t, settings, list...)
		for i := range 1000 { // a thousand groups with one request each
			h.handle(&Request{ID: RequestID(fmt.Sprint(i)), Class: classAny, Group: i, Deadline: h.now + time.Second})
		}
		for range 5 {
			h.handle(&EndpointList{Kind: ListFull, Endpoints: list}) // the same list each second
			h.advance(time.Second)
		}
		list[0].Group = 7 // moved
		h.handle(&EndpointList{Kind: ListFull, Endpoints: list[:250]})
		h.handle(&EndpointList{Kind: ListChanges, Endpoints: []Endpoint{{Server: "s1", State: Draining},
			{Server: "s1", State: Removed}, {Server: "s1"}}})
		h.advance(removedServerMemory + 3*time.Second)
		if len(h.r.requests) != 0 || h.r.openAttempts > 500 {
			t.Errorf("%d routers: %d requests and %d attempts remain, want no requests and at most 500 attempts", peers, len(h.r.requests), h.r.openAttempts)
		}
		if h.r.servers["s1"] == nil || !h.r.servers["s1"].available() {
			t.Error("s1 was drained, removed and listed again, and is not available")
		}
	}
}

// TestUnknownGroupIsRejectedWithoutARecord: requests for groups that do not exist are rejected at once. Neither they nor
// a group whose servers were all removed leave a record.
func TestUnknownGroupIsRejectedWithoutARecord(t *testing.T) {
	h := newGroupOfThree(t, func(s *Settings) { s.MaxRetryAfter = time.Second })
	groups := len(h.r.groups)
	for i := range 100 {
		got := finalAnswers(h.handle(&Request{ID: RequestID(fmt.Sprint(i)), Class: classAny, Group: 1000 + i, Deadline: h.now + time.Second}))
		if len(got) != 1 || got[0].Kind != Reject || got[0].Wait <= 0 {
			t.Fatalf("group %d: final answers %+v, want one rejection with a retry delay", 1000+i, got)
		}
	}
	h.handle(&EndpointList{Kind: ListChanges, Endpoints: []Endpoint{{Server: "x", Group: 9}}})
	h.handle(&EndpointList{Kind: ListChanges, Endpoints: []Endpoint{{Server: "x", Group: 9, State: Removed}}})
	h.request("a", classAny) // ticks come only while a request is open
	for range 40 {
		h.advance(time.Second)
		h.request(RequestID(fmt.Sprint("a", h.now)), classAny)
	}
	if len(h.r.groups) != groups || len(h.r.groupsByNumber) != groups || h.r.servers["x"] != nil {
		t.Errorf("%d groups, want %d as before; server x: %v, want none", len(h.r.groups), groups, h.r.servers["x"])
	}
}
