package decide

import (
	"testing"
)

// TestEstimatedLoadRejectsNothing: in a busy fleet the estimate of others' load alone makes every member seem too slow.
// Fails if that rejects a read which no report and no answer speaks against.
func TestEstimatedLoadRejectsNothing(t *testing.T) {
	h := newGroupOfThree(t, func(s *Settings) { s.Peers, s.StaleReads = 250, StaleReadsRefused })
	h.r.requestRate, h.r.recentRequests, h.r.requestRateSpan, h.r.requestRateAt = 50, 250, 5, h.now
	if n := h.r.loadOf(h.r.servers["a"]).likely; n < 2*fullRateConcurrency {
		t.Fatalf("load %v: the guess should be high here", n)
	}
	out := h.request("1", classAny)
	h.wantSend(out, "1", "")
	h.wantNone(Reject, out)
}

// TestSlowAnswersShowTheLoadOfOthers: one of many routers has nothing at a server whose queue is full. Fails if it
// sends the next read there after an answer many times its work; with few routers their own requests explain that.
func TestSlowAnswersShowTheLoadOfOthers(t *testing.T) {
	for peers, avoids := range map[int]bool{250: true, 1: false} {
		h := newGroupOfThree(t, func(s *Settings) { s.Peers, s.StaleReads = peers, StaleReadsRefused })
		first := actionsOf(Send, h.request("1", classAny))[0].Server
		a := h.r.servers[first]
		for range 39 { // the router is awake: this is no standstill of its own
			h.advance(tickInterval)
		}
		h.end("1", 0, first, OK)
		if got := a.othersLoad > fullRateConcurrency; got != avoids {
			t.Errorf("%d routers: estimated %v requests of others there, want load observed: %v", peers, a.othersLoad, avoids)
		}
	}
}
