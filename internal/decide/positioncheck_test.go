package decide

// Tests of the health checks that precede a read, and of their cost.

import (
	"testing"
	"time"
)

// newStaleGroup returns a group whose positions were last reported a second ago or earlier: p is the primary, a was up to
// date, and b was behind by lag.
func newStaleGroup(t *testing.T, cost float64, lag time.Duration) *harness {
	t.Helper()
	h := newGroupOfThree(t, func(s *Settings) { s.HealthCheckCost = cost })
	h.r.servers["p"].failureAtLast, h.r.servers["p"].failureAt = 0.95, h.now
	h.now += time.Second
	h.report("a", RoleReplica, h.now)
	h.report("b", RoleReplica, h.now)
	h.r.servers["b"].position = h.now - lag
	h.now += time.Second
	return h
}

// TestReadChecksOneServerAtATime: the next server is checked for a read only once the first has reported that it is
// behind. Two checks at once would mostly waste the second one, in each of many routers.
func TestReadChecksOneServerAtATime(t *testing.T) {
	h := newStaleGroup(t, 0, 0)
	first := actionsOf(HealthCheck, h.request("1", classBounded))
	if len(first) != 1 {
		t.Fatalf("health checks for a read: %+v, want one", first)
	}
	h.now += 5 * ms
	next := actionsOf(HealthCheck, h.report(first[0].Server, RoleReplica, h.now-400*ms))
	if len(next) != 1 || next[0].Server == first[0].Server {
		t.Fatalf("health checks after the first server reported that it is behind: %+v, want one of another server", next)
	}
	h.now += 5 * ms
	h.wantSend(h.report(next[0].Server, RoleReplica, h.now), "1", next[0].Server)
}

// TestServerReportedBehindIsCheckedLast: a server that was too far behind at its last report is checked after the others,
// though it is faster.
func TestServerReportedBehindIsCheckedLast(t *testing.T) {
	h := newStaleGroup(t, 0.15, 900*ms)
	h.r.servers["b"].relativeRate, h.r.servers["p"].draining = 1.2, true
	if checked := actionsOf(HealthCheck, h.request("1", classBounded)); len(checked) != 1 || checked[0].Server != "a" {
		t.Fatalf("health checks for a read: %+v, want one of a", checked)
	}
	h.now += 5 * ms
	if checked := actionsOf(HealthCheck, h.report("a", RoleReplica, h.now-400*ms)); len(checked) != 1 || checked[0].Server != "b" {
		t.Fatalf("health checks after a reported that it is behind: %+v, want one of b", checked)
	}
}

// TestServerThatRefusedAHealthCheckGetsNoneForAWhile: a server that refuses health checks, as all routers together send
// too many, gets none for a while, and another server is checked. It would not recover from a check at each tick by
// hundreds of routers.
func TestServerThatRefusedAHealthCheckGetsNoneForAWhile(t *testing.T) {
	h := newStaleGroup(t, 0, 0)
	first := actionsOf(HealthCheck, h.request("1", classBounded))
	if len(first) != 1 {
		t.Fatalf("health checks for a read: %+v, want one", first)
	}
	checked := map[ServerID]int{}
	acts := h.handle(&HealthCheckResult{Server: first[0].Server, Result: Overloaded})
	for range int(ejectedCheckInterval/tickInterval) - 1 {
		for _, a := range actionsOf(HealthCheck, acts) {
			checked[a.Server]++
		}
		acts = h.advance(tickInterval)
	}
	if checked[first[0].Server] != 0 || len(checked) == 0 {
		t.Errorf("refused by %s, then checked %v, want others only", first[0].Server, checked)
	}
}

// TestHealthCheckCostLimitsChecks: where all servers report that they are behind, only the best two are checked for a
// read. The higher the cost of health checks, the less often servers are checked while a write waits for a primary.
func TestHealthCheckCostLimitsChecks(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{Server: "a"}, Endpoint{Server: "b"}, Endpoint{Server: "c"}, Endpoint{Server: "d"})
	checked, acts := 0, h.request("1", classBounded)
	for range 50 {
		var next []Action
		for _, a := range actionsOf(HealthCheck, acts) {
			checked++
			next = append(next, h.report(a.Server, RoleReplica, h.now-350*ms)...)
		}
		acts = append(next, h.advance(tickInterval)...)
	}
	if checked != 2 {
		t.Errorf("%d health checks for one read, want 2", checked)
	}
	checksByCost := map[float64]int{}
	for _, cost := range []float64{0, 0.05} {
		h := newHarness(t, testSettings(), Endpoint{Server: "a"}, Endpoint{Server: "b"}, Endpoint{Server: "c"}, Endpoint{Server: "d"})
		h.r.settings.HealthCheckCost = cost
		acts := h.handle(&Request{ID: "w", Class: classKeyedWrite, Deadline: h.now + 3*time.Second})
		for range 100 {
			var next []Action
			for _, a := range actionsOf(HealthCheck, acts) {
				checksByCost[cost]++
				next = append(next, h.report(a.Server, RoleReplica, h.now)...)
			}
			acts = append(next, h.advance(tickInterval)...)
		}
	}
	if checksByCost[0] != 20 || checksByCost[0.05] != 16 {
		t.Errorf("health checks in a second by cost: %v, want 20 at 0 and 16 at 0.05", checksByCost)
	}
}

// TestPrimaryWithoutCapacityIsNotChecked: a session read that no server has capacity for cannot use the report of a
// primary without capacity.
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
			t.Errorf("primary full: %v; checked %d times, want %d", full, got, want)
		}
	}
}

// TestPrimaryIsCheckedOnceForEachSessionRead: session reads follow each other, and require commits made through other
// poolers. The members of least cost are checked and are behind; then the primary, which costs more, must be checked
// once for each read. The test guards against a read that waits because the primary was checked for the read before,
// and so not again for half of the shortest objective.
func TestPrimaryIsCheckedOnceForEachSessionRead(t *testing.T) {
	settings := testSettings()
	for i := range settings.Classes {
		settings.Classes[i].LatencyObjective, settings.Classes[i].Deadline = 5*time.Second, 10*time.Second
	}
	h := newHarness(t, settings, Endpoint{Server: "p", Capacity: 1}, Endpoint{Server: "a", Capacity: 8}, Endpoint{Server: "b", Capacity: 8})
	h.report("p", RolePrimary, h.now)
	h.report("a", RoleReplica, h.now)
	h.report("b", RoleReplica, h.now)
	for _, id := range []RequestID{"1", "2", "3"} {
		for range 30 { // replicas keep up with the primary, so they are likely to have reached the required position
			h.now += 50 * ms
			h.report("a", RoleReplica, h.now-2*ms)
			h.report("b", RoleReplica, h.now-2*ms)
		}
		h.now += 20 * ms
		writes := []RequestID{id + "a", id + "b", id + "c"} // these raise the primary's cost above the others'
		for _, w := range writes {
			h.request(w, classWriteOnce)
		}
		from, checks, sent := h.now, 0, ServerID("")
		acts := h.handle(&Request{ID: id, Class: classSession, Deadline: h.now + 10*time.Second, SinceCommit: 4 * ms})
		for sent == "" && h.now-from < 300*ms {
			var next []Action
			for _, a := range actionsOf(HealthCheck, acts) {
				role, at := RoleReplica, from-5*ms
				if a.Server == "p" {
					role, at = RolePrimary, h.now
					checks++
				}
				next = append(next, h.report(a.Server, role, at)...)
			}
			if s := actionsOf(Send, next); len(s) > 0 {
				sent = s[0].Server
			}
			acts = append(next, h.advance(tickInterval)...)
		}
		if sent != "p" || checks != 1 {
			t.Errorf("read %s: sent to %q within %v, the primary was checked %d times; want it sent to p after one health check", id, sent, h.now-from, checks)
		}
		for _, x := range append(writes, id) {
			h.end(x, 0, "p", OK)
		}
	}
}
