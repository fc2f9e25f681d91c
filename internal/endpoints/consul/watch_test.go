package consul

import (
	"testing"

	"pgregory.net/rapid"

	"beechgrade/internal/testkit/deterministic"
)

// TestWatchKeepsQuerying checks that after any responses the next query is due in bounded time at an existing agent, and that a lower
// index is never accepted without a reason.
func TestWatchKeepsQuerying(t *testing.T) {
	deterministic.Check(t, func(rt *rapid.T) {
		agents := rapid.IntRange(1, 4).Draw(rt, "agents")
		watch := NewWatch(agents, 20000, 10000, func() float64 { return rapid.Float64Range(0, 1).Draw(rt, "random") })
		now, lastIndex := 1e6, uint64(0)
		for range 60 {
			query, queriedAt := watch.Next(now)
			if query.Agent < 0 || query.Agent >= agents || queriedAt < now || queriedAt > now+1.25*maxBackoffMs+3600e3 || query.TimeoutMs() > 30000 {
				rt.Fatalf("next query %+v is due in %v ms, want an existing agent, a bounded pause and a timeout of at most 30000 ms", query, queriedAt-now)
			}
			now = queriedAt
			response := Response{Status: rapid.SampledFrom([]int{200, 200, 200, 403, 500}).Draw(rt, "status"), Index: uint64(rapid.IntRange(0, 9).Draw(rt, "index")),
				Leaderless: rapid.IntRange(0, 4).Draw(rt, "leaderless") == 0, LastContactMs: float64(rapid.SampledFrom([]int{0, 50, 3600000}).Draw(rt, "contact"))}
			result := watch.HandleResponse(now, query, response)
			if result.Accepted && response.Status != 200 || !result.Accepted && result.Reason == "" {
				rt.Fatalf("response %+v: result %+v, want only status 200 accepted, and a reason otherwise", response, result)
			}
			if result.Accepted && response.Index < lastIndex && result.Reason == "" {
				rt.Fatalf("index %d after %d was accepted without a reason", response.Index, lastIndex)
			}
			if result.Accepted {
				lastIndex = watch.index
			}
		}
	})
}
