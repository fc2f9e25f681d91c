package decide

import (
	"testing"
	"time"
)

// TestHealthCheckPauseGrowsAfterSeveralFailures: health checks also fail by chance. If the pause grew after a few such
// failures, the late next check would keep a healthy server ejected, and the server would count as restarted. So the
// pause between checks grows only after checksBeforeBackoff failures.
func TestHealthCheckPauseGrowsAfterSeveralFailures(t *testing.T) {
	h := newGroupOfThree(t, nil)
	h.request("open", classWriteOnce) // servers are checked only while the group has requests
	h.r.servers["a"].health = ejected
	last := h.now
	for n := range checksBeforeBackoff + 3 {
		for h.advance(tickInterval); !h.r.servers["a"].healthCheckPending && h.now-last < time.Minute; {
			h.advance(tickInterval)
		}
		want := ejectedCheckInterval << max(0, n-checksBeforeBackoff)
		if took := h.now - last; n > 0 && (took < want || took > want+2*tickInterval) {
			t.Errorf("health check %d was sent %v after the one before, want %v", n, took, want)
		}
		last = h.now
		h.handle(&HealthCheckResult{Server: "a", Result: Unreachable})
	}
}

// TestUnreadableHealthCheckLeavesHealthUnchanged: a health check whose answer cannot be read neither ejects a server nor
// returns it to use.
func TestUnreadableHealthCheckLeavesHealthUnchanged(t *testing.T) {
	h := newGroupOfThree(t, nil)
	for _, was := range []healthState{healthy, ejected} {
		s := h.r.servers["p"]
		s.health = was
		h.r.checkHealth(s, 0)
		h.handle(&HealthCheckResult{Server: "p", Result: Failed})
		if s.health != was || s.healthCheckPending {
			t.Errorf("after an unreadable health check: health is %v, want %v; health check pending is %v, want false", s.health, was, s.healthCheckPending)
		}
		h.now += time.Second
	}
}
