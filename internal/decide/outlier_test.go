package decide

import (
	"fmt"
	"testing"
	"time"
)

// TestUnresponsiveServerGetsNoReads: a server that answers health checks but no requests is not used.
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
		t.Error("an answered health check alone must not make it healthy")
	}
}

// TestAttemptsFromAnOutageDoNotBlockTheTrial: attempts that are still in flight from an outage must not keep the server
// from its trial.
func TestAttemptsFromAnOutageDoNotBlockTheTrial(t *testing.T) {
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

// TestServerWhoseTrialIsNotAnsweredIsEjectedAgain: a half-open server that leaves its requests unanswered is ejected
// again.
func TestServerWhoseTrialIsNotAnsweredIsEjectedAgain(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{Server: "p"})
	h.report("p", RolePrimary, h.now)
	h.r.eject(h.r.servers["p"])
	h.report("p", RolePrimary, h.now)
	h.wantSend(h.request("trial", classWriteOnce), "trial", "p")
	h.advance(1500 * ms)
	if h.r.servers["p"].health != ejected {
		t.Error("the trial is not answered and the server is not ejected")
	}
}

// TestPauseOfThisProcessIsNoEvidenceAgainstServers: a router that was paused finds every timer late and every answer
// late. Fails if it takes servers for unresponsive or slow by that.
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

// TestServerBehindASlowLinkIsNotEjected: health checks and connections into one other zone take long and fail, while
// that zone's servers are healthy. Reads go elsewhere; a write still goes to the primary there, and it does not count
// as restarted. Fails if the server is ejected because of the link to it. A refusal that comes at once is the server's
// own.
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
		t.Errorf("refused at once: health %v, want ejected", s.health)
	}
}

// TestSlowConnectionFailureCausesAHealthCheck: opening connections has become slow, so that some fail at their time
// limit, while the servers are healthy. Fails if that ejects a server; a health check shows whether it lives.
func TestSlowConnectionFailureCausesAHealthCheck(t *testing.T) {
	h := newGroupOfThree(t, nil)
	h.wantSend(h.request("1", classWriteOnce), "1", "p")
	h.advance(250 * ms)
	out := h.end("1", 0, "p", Unreachable)
	h.wantSend(out, "1", "p")
	if got := actionsOf(HealthCheck, out); len(got) != 1 || got[0].Server != "p" || h.r.servers["p"].health != healthy {
		t.Errorf("health checks %+v, health %v", got, h.r.servers["p"].health)
	}
	for range 2 {
		h.now += 5 * ms
		h.handle(&HealthCheckResult{Server: "p", Result: Unreachable})
	}
	if h.r.servers["p"].health != ejected {
		t.Error("the health check failed too, and again, and the server is not ejected")
	}
}

// TestOneBrokenConnectionDoesNotEject: connections of healthy servers break now and then. Fails if one ejects its
// server, if no health check follows soon, or if a server that answers what was sent before counts as restarted.
func TestOneBrokenConnectionDoesNotEject(t *testing.T) {
	h := newGroupOfThree(t, nil)
	s := h.r.servers["p"]
	h.request("open", classWriteOnce)
	h.request("open2", classWriteOnce)
	for _, broken := range []Event{&HealthCheckResult{Server: "p", Result: Reset}, &HealthCheckResult{Server: "p", Result: Unreachable}} {
		h.handle(broken)
		if s.health != healthy {
			t.Fatalf("after one %+v: health %v", broken, s.health)
		}
		if got := actionsOf(HealthCheck, h.advance(2*tickInterval)); len(got) != 1 || got[0].Server != "p" {
			t.Fatalf("checked %+v", got)
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
	h.end("open", 0, "p", OK) // it was alive all the time
	h.now += 10 * ms
	h.report("p", RolePrimary, h.now)
	if s.health == ejected || h.r.warmUpFactor(s) < 1 {
		t.Errorf("health %v, warm-up factor %v", s.health, h.r.warmUpFactor(s))
	}
}
