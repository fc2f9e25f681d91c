package decide

import (
	"testing"
	"time"
)

// TestReasons: each rejection, failure and retry has its reason.
func TestReasons(t *testing.T) {
	want := func(t *testing.T, kind ActionKind, reason Reason, actions []Action) {
		t.Helper()
		got := actionsOf(kind, actions)
		if len(got) != 1 || got[0].Reason != reason {
			t.Fatalf("want one action %v with reason %v, got %+v", kind, reason, got)
		}
	}
	t.Run("late", func(t *testing.T) {
		h := newGroupOfThree(t, nil)
		want(t, Reject, ReasonExpired, h.handle(&Request{ID: "1", Class: classAny, Deadline: h.now}))
	})
	t.Run("shed", func(t *testing.T) {
		cells := make([][4]int, len(testSettings().Classes))
		levels := make([]float64, len(cells))
		levels[classAny] = 9
		h := newGroupOfThree(t, func(s *Settings) {
			s.Shedding = map[int]*SheddingPolicy{0: {Levels: levels, Ranks: cells}}
		})
		want(t, Reject, ReasonShed, h.request("1", classAny))
	})
	t.Run("group", func(t *testing.T) {
		h := newGroupOfThree(t, nil)
		want(t, Reject, ReasonNoServer, h.handle(&Request{ID: "1", Class: classAny, Group: 7, Deadline: h.now + time.Second}))
	})
	t.Run("allowance", func(t *testing.T) {
		h := newGroupOfThree(t, func(s *Settings) { s.Tenants = []Tenant{{RateLimit: 1e-6, RejectOverLimit: true}} })
		all := h.request("0", classAny)
		for len(actionsOf(Reject, all)) == 0 {
			all = h.handle(&Request{ID: RequestID(h.now.String()), Class: classAny, Deadline: h.now + time.Second})
			h.now++
		}
		want(t, Reject, ReasonRateLimit, all)
	})
	t.Run("time", func(t *testing.T) {
		h := newGroupOfThree(t, func(s *Settings) { s.MayCheckHealth = false })
		h.handle(&EndpointList{Kind: ListChanges, Endpoints: []Endpoint{{Server: "p", State: Removed}}})
		h.request("w", classWriteOnce)
		want(t, Reject, ReasonDeadline, h.advance(3*time.Second))
	})
	t.Run("attempts, after one that was unanswered", func(t *testing.T) {
		h := newGroupOfThree(t, func(s *Settings) { s.MaxAttempts = 2 })
		h.wantSend(h.request("w", classWriteOnce), "w", "p")
		want(t, Send, ReasonRetry, append(h.end("w", 0, "p", Overloaded), h.advance(300*ms)...))
		want(t, Reject, ReasonMaxAttempts, append(h.end("w", 1, "p", Overloaded), h.advance(20*ms)...))
	})
	t.Run("copy", func(t *testing.T) {
		h := newGroupOfThree(t, nil)
		server := actionsOf(Send, h.request("r", classAny))[0].Server
		want(t, Send, ReasonHedge, append(h.handle(&HealthCheckResult{Server: server, Result: TimedOut}), h.advance(100*ms)...))
	})
}
