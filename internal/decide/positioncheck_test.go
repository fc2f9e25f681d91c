package decide

// What is asked before a read goes, and what that may cost.

import (
	"testing"
	"time"
)

// newStaleGroup is a group whose positions were told long ago: p leads, a was up to date then and b far behind.
func newStaleGroup(t *testing.T, price float64, lacked time.Duration) *harness {
	h := newGroupOfThree(t, func(s *Settings) { s.HealthCheckCost = price })
	h.r.servers["p"].failureAtLast, h.r.servers["p"].failureAt = 0.95, h.now
	h.now += time.Second
	h.report("a", RoleReplica, h.now)
	h.report("b", RoleReplica, h.now)
	h.r.servers["b"].position = h.now - lacked
	h.now += time.Second
	return h
}

// TestReadChecksOneServerAtATime: a read asks the next server when the first has told that it is behind, not both at once: the second
// probe would mostly be for nothing, times all routers.
func TestReadChecksOneServerAtATime(t *testing.T) {
	h := newStaleGroup(t, 0, 0)
	first := actionsOf(HealthCheck, h.request("1", classBounded))
	if len(first) != 1 {
		t.Fatalf("asked %+v, want one", first)
	}
	h.now += 5 * ms
	next := actionsOf(HealthCheck, h.report(first[0].Server, RoleReplica, h.now-400*ms))
	if len(next) != 1 || next[0].Server == first[0].Server {
		t.Fatalf("then asked %+v, want another", next)
	}
	h.now += 5 * ms
	h.wantSend(h.report(next[0].Server, RoleReplica, h.now), "1", next[0].Server)
}

// TestServerKnownBehindIsCheckedLast: a server that lacked too much when last told is asked after the others, though it is faster.
func TestServerKnownBehindIsCheckedLast(t *testing.T) {
	h := newStaleGroup(t, 0.15, 900*ms)
	h.r.servers["b"].relativeRate, h.r.servers["p"].draining = 1.2, true
	if asked := actionsOf(HealthCheck, h.request("1", classBounded)); len(asked) != 1 || asked[0].Server != "a" {
		t.Fatalf("asked %+v, want a", asked)
	}
	h.now += 5 * ms
	if asked := actionsOf(HealthCheck, h.report("a", RoleReplica, h.now-400*ms)); len(asked) != 1 || asked[0].Server != "b" {
		t.Fatalf("then asked %+v, want b", asked)
	}
}

// TestServerThatRefusesHealthChecksGetsNone: a server that has more probes than it takes, from all routers together, is left alone for a while, and
// another is asked. Asked again at each tick by each of hundreds, it never comes out of that.
func TestServerThatRefusesHealthChecksGetsNone(t *testing.T) {
	h := newStaleGroup(t, 0, 0)
	first := actionsOf(HealthCheck, h.request("1", classBounded))
	if len(first) != 1 {
		t.Fatalf("asked %+v", first)
	}
	asked := map[ServerID]int{}
	acts := h.handle(&HealthCheckResult{Server: first[0].Server, Result: Overloaded})
	for range int(ejectedCheckInterval/tickInterval) - 1 {
		for _, a := range actionsOf(HealthCheck, acts) {
			asked[a.Server]++
		}
		acts = h.advance(tickInterval)
	}
	if asked[first[0].Server] != 0 || len(asked) == 0 {
		t.Errorf("turned away by %s, then asked %v", first[0].Server, asked)
	}
}

// TestHealthChecksAreWeighedAgainstTheRead: where all servers tell that they are behind, the best two are asked for a read and no more; and
// those that wait for a primary look for it the less often, the dearer that is.
func TestHealthChecksAreWeighedAgainstTheRead(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{Server: "a"}, Endpoint{Server: "b"}, Endpoint{Server: "c"}, Endpoint{Server: "d"})
	asked, acts := 0, h.request("1", classBounded)
	for range 50 {
		var next []Action
		for _, a := range actionsOf(HealthCheck, acts) {
			asked++
			next = append(next, h.report(a.Server, RoleReplica, h.now-350*ms)...)
		}
		acts = append(next, h.advance(tickInterval)...)
	}
	if asked != 2 {
		t.Errorf("%d probes for one read, want 2", asked)
	}
	sought := map[float64]int{}
	for _, price := range []float64{0, 0.05} {
		h := newHarness(t, testSettings(), Endpoint{Server: "a"}, Endpoint{Server: "b"}, Endpoint{Server: "c"}, Endpoint{Server: "d"})
		h.r.settings.HealthCheckCost = price
		acts := h.handle(&Request{ID: "w", Class: classKeyedWrite, Deadline: h.now + 3*time.Second})
		for range 100 {
			var next []Action
			for _, a := range actionsOf(HealthCheck, acts) {
				sought[price]++
				next = append(next, h.report(a.Server, RoleReplica, h.now)...)
			}
			acts = append(next, h.advance(tickInterval)...)
		}
	}
	if sought[0] != 20 || sought[0.05] != 16 {
		t.Errorf("probes in a second by price: %v", sought)
	}
}

// TestPrimaryWithoutCapacityIsNotChecked: a session's read that finds no server with capacity is not helped by what a primary without capacity tells.
func TestPrimaryWithoutCapacityIsNotChecked(t *testing.T) {
	for full, want := range map[bool]int{true: 0, false: 1} {
		h := newGroupOfThree(t, nil)
		for _, s := range h.r.serversByID {
			s.overloadedUntil = h.now + time.Second
		}
		if !full {
			h.r.servers["p"].overloadedUntil = 0
		}
		acts := h.handle(&Request{ID: "1", Class: classSession, Deadline: h.now + 2*time.Second, SinceCommit: -ms})
		if got := len(actionsOf(HealthCheck, append(acts, h.advance(100*ms)...))); got != want {
			t.Errorf("primary full: %v; probed %d times, want %d", full, got, want)
		}
	}
}
