package consul

import (
	"testing"

	"pgregory.net/rapid"

	"beechgrade/internal/testkit/deterministic"
)

// TestWatchKeepsQuerying checks that whatever responses come, the next query is due in bounded time at an existing agent, and
// that a lower index is never accepted silently.
func TestWatchKeepsQuerying(t *testing.T) {
	deterministic.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 4).Draw(rt, "agents")
		w := NewWatch(n, 20000, 10000, func() float64 { return rapid.Float64Range(0, 1).Draw(rt, "random") })
		now, known := 1e6, uint64(0)
		for range 60 {
			q, at := w.Next(now)
			if q.Agent < 0 || q.Agent >= n || at < now || at > now+1.25*maxBackoffMs+3600e3 || q.TimeoutMs() > 30000 {
				rt.Fatalf("%+v at %v", q, at-now)
			}
			now = at
			a := Response{Status: rapid.SampledFrom([]int{200, 200, 200, 403, 500}).Draw(rt, "status"), Index: uint64(rapid.IntRange(0, 9).Draw(rt, "index")),
				Leaderless: rapid.IntRange(0, 4).Draw(rt, "leaderless") == 0, LastContactMs: float64(rapid.SampledFrom([]int{0, 50, 3600000}).Draw(rt, "contact"))}
			v := w.HandleResponse(now, q, a)
			if v.Accepted && a.Status != 200 || !v.Accepted && v.Reason == "" {
				rt.Fatalf("%+v: %+v", a, v)
			}
			if v.Accepted && a.Index < known && v.Reason == "" {
				rt.Fatalf("index %d after %d was taken in silence", a.Index, known)
			}
			if v.Accepted {
				known = w.index
			}
		}
	})
}
