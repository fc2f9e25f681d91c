package decide

import (
	"fmt"
	"testing"
	"time"
)

// TestEjectedServerWithoutHealthChecksGetsTrialRequests: where servers answer no health checks, only a request can show
// that a server that refused connections is back. The test guards against an ejected server that gets no requests any
// more, because only a health check would return it to use: a group's only server refused two connections, listened again
// a moment later, and each request waited for half its deadline and was rejected.
func TestEjectedServerWithoutHealthChecksGetsTrialRequests(t *testing.T) {
	settings := testSettings()
	settings.MayCheckHealth = false
	h := newHarness(t, settings, Endpoint{Server: "p", Capacity: 1})
	for n := range 2 {
		id := RequestID(fmt.Sprint("refused", n))
		h.wantSend(h.request(id, classAny), id, "p")
		h.end(id, 0, "p", Unreachable)
		h.handle(&Abandoned{ID: id})
	}
	h.wantNone(Send, h.request("at once", classAny))

	// A server that still refuses connections gets a few requests after each pause, and the pauses grow.
	sent, refused := 0, 0
	for range 500 {
		refused++
		h.request(RequestID(fmt.Sprint("more", refused)), classAny)
		for _, a := range actionsOf(Send, append(h.out, h.advance(20*ms)...)) {
			sent++
			h.end(a.ID, a.Attempt, "p", Unreachable)
		}
	}
	if most := 10 * halfOpenAttempts; sent == 0 || sent > most {
		t.Errorf("%d attempts at a server that refuses connections for 10 s, want 1 to %d", sent, most)
	}

	// The server is back, which one answer shows.
	served := false
	for n := range 400 {
		h.request(RequestID(fmt.Sprint("back", n)), classAny)
		for _, a := range actionsOf(Send, append(h.out, h.advance(10*ms)...)) {
			served = true
			h.end(a.ID, a.Attempt, "p", OK)
		}
		if served {
			break
		}
	}
	if !served {
		t.Fatal("nothing is sent to a server that is back")
	}
	if s := h.r.servers["p"]; s.health != healthy || h.now-s.startedAt > 5*time.Second {
		t.Errorf("health %d, started at %v, now %v: want it in use and cold, as it refused connections for more than %v", s.health,
			s.startedAt, h.now, restartOutage)
	}
}

// TestUnsentHealthCheckLeavesServerInUse: a health check that was not sent, as this machine had no file descriptor for it,
// is no evidence against the server, which must stay in use.
func TestUnsentHealthCheckLeavesServerInUse(t *testing.T) {
	h := newGroupOfThree(t, nil)
	h.handle(&HealthCheckResult{Server: "p", Result: NotSent})
	h.wantSend(h.request("w", classWriteOnce), "w", "p")
}
