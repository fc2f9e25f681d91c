package decide

import (
	"fmt"
	"testing"
	"time"
)

// TestUnresponsiveServerGetsNoReads: a read at a server that answers no requests is sent elsewhere, and an answered health
// check alone does not return such a server to use.
func TestUnresponsiveServerGetsNoReads(t *testing.T) {
	h := newGroupOfThree(t, nil)
	for _, s := range h.r.serversByID {
		s.relativeRate = 4
	}
	s := actionsOf(Send, h.request("1", classAny))[0].Server
	var hedged bool
	for range 100 {
		for _, a := range h.advance(tickInterval) {
			hedged = hedged || a.Kind == Send && a.ID == "1" && a.Server != s
		}
		if !h.r.servers[s].usable() {
			break
		}
	}
	if !hedged {
		t.Error("the read was left at the unresponsive server")
	}
	h.r.eject(h.r.servers[s])
	h.report(s, RoleReplica, h.now)
	if h.r.servers[s].health != halfOpen {
		t.Errorf("health of an ejected server after an answered health check is %v, want half-open, %v", h.r.servers[s].health, halfOpen)
	}
}

// TestAttemptsFromAnOutageDoNotCountWhileHalfOpen: attempts still in flight from an outage do not count towards the
// attempts that a half-open server may have.
func TestAttemptsFromAnOutageDoNotCountWhileHalfOpen(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{Server: "p"})
	h.report("p", RolePrimary, h.now)
	for i := range 4 {
		h.request(RequestID(fmt.Sprint("hung", i)), classWriteOnce)
	}
	h.advance(1500 * ms)
	if h.r.servers["p"].health != ejected {
		t.Fatal("an unresponsive server is not ejected")
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

// TestHalfOpenServerThatDoesNotAnswerIsEjected: a half-open server that leaves its requests unanswered is ejected
// again.
func TestHalfOpenServerThatDoesNotAnswerIsEjected(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{Server: "p"})
	h.report("p", RolePrimary, h.now)
	h.r.eject(h.r.servers["p"])
	h.report("p", RolePrimary, h.now)
	h.wantSend(h.request("trial", classWriteOnce), "trial", "p")
	h.advance(1500 * ms)
	if h.r.servers["p"].health != ejected {
		t.Error("the half-open server left its request unanswered, and was not ejected")
	}
}

// TestPauseOfThisProcessIsNoEvidenceAgainstServers: after a pause of the router's process, its timers and all answers are
// late. Fails if servers count as unresponsive or slow because of that.
func TestPauseOfThisProcessIsNoEvidenceAgainstServers(t *testing.T) {
	h := newGroupOfThree(t, nil)
	sent := actionsOf(Send, h.request("1", classAny))[0].Server
	rate := h.r.servers[sent].relativeRate
	h.now += 3 * time.Second
	h.handle(&Request{ID: "2", Class: classAny, Deadline: h.now + time.Second})
	h.end("1", 0, sent, OK)
	h.handle(&Timer{})
	if s := h.r.servers[sent]; s.health != healthy || s.relativeRate < rate {
		t.Errorf("after the pause: health is %v, relative rate is %v; want healthy and at least the rate before it, %v", s.health, s.relativeRate, rate)
	}
}

// TestServerBehindASlowLinkIsNotEjected: health checks and connections into another zone are slow and fail, while that
// zone's servers are healthy. Reads go elsewhere; a write still goes to the primary there, which does not count as
// restarted. Fails if the server is ejected because of the link. A connection that is refused at once is evidence against
// the server.
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
		t.Errorf("server behind a slow link: health %v, started at %v, want healthy and never", s.health, s.startedAt)
	}
	h.now += 2 * ms
	h.end("write", 1, "p", Unreachable)
	h.now += 2 * ms
	h.end("write", 2, "p", Unreachable)
	if s := h.r.servers["p"]; s.health != ejected {
		t.Errorf("server that refused connections at once: health %v, want ejected", s.health)
	}
}

// TestSlowConnectionFailureCausesAHealthCheck: connections open so slowly that some time out, while the servers are
// healthy. Fails if that ejects a server without a health check that shows whether it is alive.
func TestSlowConnectionFailureCausesAHealthCheck(t *testing.T) {
	h := newGroupOfThree(t, nil)
	h.wantSend(h.request("1", classWriteOnce), "1", "p")
	h.advance(250 * ms)
	out := h.end("1", 0, "p", Unreachable)
	h.wantSend(out, "1", "p")
	if got := actionsOf(HealthCheck, out); len(got) != 1 || got[0].Server != "p" || h.r.servers["p"].health != healthy {
		t.Errorf("health checks %+v, health %v; want one health check of p, which stays healthy", got, h.r.servers["p"].health)
	}
	for range 2 {
		h.now += 5 * ms
		h.handle(&HealthCheckResult{Server: "p", Result: Unreachable})
	}
	if h.r.servers["p"].health != ejected {
		t.Error("two health checks failed too, and the server is not ejected")
	}
}

// TestOneBrokenConnectionDoesNotEject: connections to healthy servers break now and then. Fails if a single one ejects
// the server, if no health check follows soon, or if a server that answers a request from before counts as restarted.
func TestOneBrokenConnectionDoesNotEject(t *testing.T) {
	h := newGroupOfThree(t, nil)
	s := h.r.servers["p"]
	h.request("open", classWriteOnce)
	h.request("open2", classWriteOnce)
	for _, broken := range []Event{&HealthCheckResult{Server: "p", Result: Reset}, &HealthCheckResult{Server: "p", Result: Unreachable}} {
		h.handle(broken)
		if s.health != healthy {
			t.Fatalf("health after one %+v is %v, want healthy", broken, s.health)
		}
		if got := actionsOf(HealthCheck, h.advance(2*tickInterval)); len(got) != 1 || got[0].Server != "p" {
			t.Fatalf("health checks %+v, want one of p", got)
		}
		h.handle(&HealthCheckResult{Server: "p", Result: OK})
	}
	for range 2 {
		h.handle(&HealthCheckResult{Server: "p", Result: Reset})
	}
	if s.health != ejected {
		t.Fatalf("after two broken connections: health %v, want ejected", s.health)
	}
	h.now += restartOutage
	h.end("open", 0, "p", OK) // the server was alive all the time
	h.now += 10 * ms
	h.report("p", RolePrimary, h.now)
	if s.health == ejected || h.r.warmUpFactor(s) < 1 {
		t.Errorf("health %v, warm-up factor %v, want it in use and warm", s.health, h.r.warmUpFactor(s))
	}
}
