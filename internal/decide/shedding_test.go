package decide

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestSessionKeepsItsSheddingRank: a session has at most two ranks within RankLifetime, independent of the ids of its
// requests and of the router. Its client's retries rank below first attempts. Requests that rank below the level are
// rejected at once, with retry-after times that differ by session.
func TestSessionKeepsItsSheddingRank(t *testing.T) {
	s := &SheddingPolicy{Levels: []float64{3.5}, Ranks: [][4]int{{0, 1, 2, 3}}, OverQuotaIndex: []int{0},
		RankLifetime: time.Minute, MaxRetryAfter: 2 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		now := Time(rapid.Int64Range(1, 1e18).Draw(t, "now"))
		session := rapid.StringN(1, 20, -1).Draw(t, "session")
		ranks := map[float64]bool{}
		for i := range 60 {
			ranks[s.Rank(now+Time(i)*time.Second, &Request{ID: RequestID(fmt.Sprint(i)), Session: session, Tenant: -1})] = true
		}
		if len(ranks) > 2 {
			t.Fatalf("%d ranks in a minute, want at most 2", len(ranks))
		}
		if first, retry := s.Rank(now, &Request{Session: session, Tenant: -1}),
			s.Rank(now, &Request{Session: session, ClientRetry: true, Tenant: -1}); retry >= first {
			t.Fatalf("rank of a retry is %g, want less than that of the first attempt, %g", retry, first)
		}
	})
	settings := Settings{Classes: []Class{{LatencyObjective: time.Second, PriorityWeight: 1}}, Peers: 1,
		Shedding: map[int]*SheddingPolicy{4: s}, MaxRetryAfter: 2 * time.Second}
	rejected, waits := 0, map[time.Duration]bool{}
	a, b := New(settings, 1), New(settings, 2)
	for i := range 1000 {
		isRejected := func(r *Router) (found bool) {
			ev := &Request{ID: RequestID(fmt.Sprint(i)), Group: 4, Tenant: -1, Session: fmt.Sprint("s", i), Deadline: Time(time.Hour + time.Second)}
			for _, action := range r.Handle(Time(time.Hour), ev, nil) {
				if action.Kind == Reject {
					found = true
					waits[action.Wait] = true
				}
			}
			return found
		}
		first := isRejected(a)
		if first != isRejected(b) {
			t.Fatalf("two routers decide differently on session %d", i)
		}
		if first {
			rejected++
		}
	}
	if rejected < 400 || rejected > 600 || len(waits) < rejected/2 {
		t.Errorf("half of the ranks are below the level: %d of 1000 requests rejected with %d retry-after times, want 400 to 600 and half as many times", rejected, len(waits))
	}
}
