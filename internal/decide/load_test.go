package decide

import (
	"testing"
)

// TestEstimatedLoadRejectsNothing: among many busy routers, the estimated load of the others makes every member seem too
// slow. Fails if a read is rejected by that estimate alone, without evidence from a report or an answer.
func TestEstimatedLoadRejectsNothing(t *testing.T) {
	h := newGroupOfThree(t, func(s *Settings) { s.Peers, s.StaleReads = 250, StaleReadsRefused })
	h.r.requestRate, h.r.recentRequests, h.r.requestRateSpan, h.r.requestRateAt = 50, 250, 5, h.now
	if n := h.r.loadOf(h.r.servers["a"]).likely; n < 2*fullRateConcurrency {
		t.Fatalf("estimated load %v, want at least %v for this test", n, 2*fullRateConcurrency)
	}
	out := h.request("1", classAny)
	h.wantSend(out, "1", "")
	h.wantNone(Reject, out)
}

// TestSlowAnswersRaiseTheLoadEstimate: one of many routers has no other request at a server whose queue is full. Fails
// if an answer that takes many times the expected work does not raise the estimated load of other routers. With a single
// router, its own requests have to explain the time.
func TestSlowAnswersRaiseTheLoadEstimate(t *testing.T) {
	for peers, wantRaised := range map[int]bool{250: true, 1: false} {
		h := newGroupOfThree(t, func(s *Settings) { s.Peers, s.StaleReads = peers, StaleReadsRefused })
		first := actionsOf(Send, h.request("1", classAny))[0].Server
		a := h.r.servers[first]
		for range 39 { // with ticks, so that the router does not detect a pause of its process
			h.advance(tickInterval)
		}
		h.end("1", 0, first, OK)
		if got := a.othersLoad > fullRateConcurrency; got != wantRaised {
			t.Errorf("%d routers: estimated load of others at the server is %v, want more than %v: %v", peers, a.othersLoad, fullRateConcurrency, wantRaised)
		}
	}
}
