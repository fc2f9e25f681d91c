package decide

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestSessionKeepsItsSheddingRank: a session has two ranks at most within RankLifetime, whatever the ids of its
// requests and whichever router it comes to; its retries rank below its first attempts; and what ranks below the level
// is rejected at once, with advice that differs by session.
func TestSessionKeepsItsSheddingRank(t *testing.T) {
	s := &SheddingPolicy{Levels: []float64{3.5}, Ranks: [][4]int{{0, 1, 2, 3}}, OverQuotaIndex: []int{0},
		RankLifetime: time.Minute, MaxRetryAfter: 2 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		now := Time(rapid.Int64Range(1, 1e18).Draw(t, "now"))
		session := rapid.StringN(1, 20, -1).Draw(t, "session")
		places := map[float64]bool{}
		for i := range 60 {
			places[s.Rank(now+Time(i)*time.Second, &Request{ID: RequestID(fmt.Sprint(i)), Session: session, Tenant: -1})] = true
		}
		if len(places) > 2 {
			t.Fatalf("%d places in a minute", len(places))
		}
		if first, retry := s.Rank(now, &Request{Session: session, Tenant: -1}),
			s.Rank(now, &Request{Session: session, ClientRetry: true, Tenant: -1}); retry >= first {
			t.Fatalf("a retry ranks at %g, the first attempt at %g", retry, first)
		}
	})
	set := Settings{Classes: []Class{{LatencyObjective: time.Second, PriorityWeight: 1}}, Peers: 1,
		Shedding: map[int]*SheddingPolicy{4: s}, MaxRetryAfter: 2 * time.Second}
	rejected, waits := 0, map[time.Duration]bool{}
	a, b := New(set, 1), New(set, 2)
	for i := range 1000 {
		off := func(r *Router) (no bool) {
			ev := &Request{ID: RequestID(fmt.Sprint(i)), Group: 4, Tenant: -1, Session: fmt.Sprint("s", i), Deadline: Time(time.Hour + time.Second)}
			for _, x := range r.Handle(Time(time.Hour), ev, nil) {
				if x.Kind == Reject {
					no = true
					waits[x.Wait] = true
				}
			}
			return no
		}
		first := off(a)
		if first != off(b) {
			t.Fatalf("two routers differ on session %d", i)
		}
		if first {
			rejected++
		}
	}
	if rejected < 400 || rejected > 600 || len(waits) < rejected/2 {
		t.Errorf("%d of 1000 rejected where half ranks below the level, with %d waits", rejected, len(waits))
	}
}
