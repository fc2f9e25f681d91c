package decide

import (
	"testing"
	"time"
)

// TestHealthCheckPauseGrowsAfterSeveralFailures: health checks fail by chance too, and a late one after a few of these
// would keep a server out, and have it count as restarted. Only after several does the pause between them grow.
func TestHealthCheckPauseGrowsAfterSeveralFailures(t *testing.T) {
	h := newGroupOfThree(t, nil)
	h.request("open", classWriteOnce) // its group is tended to
	h.r.servers["a"].health = ejected
	last := h.now
	for n := range checksBeforeBackoff + 3 {
		for h.advance(tickInterval); !h.r.servers["a"].healthCheckPending && h.now-last < time.Minute; {
			h.advance(tickInterval)
		}
		want := ejectedCheckInterval << max(0, n-checksBeforeBackoff)
		if took := h.now - last; n > 0 && (took < want || took > want+2*tickInterval) {
			t.Errorf("health check %d after %v, want %v", n, took, want)
		}
		last = h.now
		h.handle(&HealthCheckResult{Server: "a", Result: Unreachable})
	}
}

// TestUnreadableReportNeitherEjectsNorReturns: a health check with an answer that cannot be read neither ejects a
// server nor returns it to use.
func TestUnreadableReportNeitherEjectsNorReturns(t *testing.T) {
	h := newGroupOfThree(t, nil)
	for _, was := range []healthState{healthy, ejected} {
		s := h.r.servers["p"]
		s.health = was
		h.r.checkHealth(s, 0)
		h.handle(&HealthCheckResult{Server: "p", Result: Failed})
		if s.health != was || s.healthCheckPending {
			t.Errorf("health %v became %v, probing %v", was, s.health, s.healthCheckPending)
		}
		h.now += time.Second
	}
}
