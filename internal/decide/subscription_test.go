package decide

import (
	"testing"
	"time"
)

// longestGap has the subscription of a router fail again and again, each time after it was open for so long, and
// returns the longest time from the start of a call to the start of the next.
func longestGap(set Settings, seed uint64, open time.Duration) time.Duration {
	r, now := New(set, seed), Time(start)
	began, longest := now, time.Duration(0)
	out := r.Handle(now, &EndpointList{Kind: ListRestored, Endpoints: []Endpoint{{Server: "p"}}}, nil)
	failed := false
	for end := now + 30*time.Second; now < end; now += tickInterval {
		if len(actionsOf(Subscribe, out)) > 0 {
			longest, began, failed = max(longest, now-began), now, false
		}
		var ev Event = &Timer{}
		if !failed && now-began >= open && began > start {
			ev, failed = &EndpointList{Kind: ListFailed}, true
		}
		out = r.Handle(now+tickInterval, ev, nil)
	}
	return longest
}

// TestNextCallIsInTime: the list counts as known 6 s after its source can be reached again. That may be just after a
// call has begun, which then fails after being silent; the next call needs up to 1.5 s to connect and to be answered.
// So calls begin no further apart than 4.5 s, however many routers there are and whatever the settings; and from the
// start of a process alike.
func TestNextCallIsInTime(t *testing.T) {
	for name, askEvery := range map[string]time.Duration{"not set": 0, "short": 2 * time.Second, "long": time.Hour} {
		t.Run(name, func(t *testing.T) {
			for _, open := range []time.Duration{0, 20 * ms, 1200 * ms, 2500 * ms} {
				for seed := range uint64(40) {
					set := testSettings()
					set.WatchList, set.ListStaleAfter, set.Peers = true, askEvery, 300
					if gap := longestGap(set, seed, open); gap > 4500*ms+3*tickInterval {
						t.Fatalf("calls that fail after %v, seed %d: %v from one to the next", open, seed, gap)
					}
				}
			}
		})
	}
}

// TestNextListCallAfterASubscriptionThatLasted: a subscription that was open for long may have been silent for up to
// 2.5 s when it ends.
func TestNextListCallAfterASubscriptionThatLasted(t *testing.T) {
	for seed := range uint64(40) {
		set := testSettings()
		set.WatchList, set.Peers = true, 300
		h := &harness{t: t, r: New(set, seed), now: start}
		h.handle(&EndpointList{Kind: ListRestored, Endpoints: []Endpoint{{Server: "a"}}})
		h.advance(20 * time.Second)
		h.handle(&EndpointList{Kind: ListFailed})
		if n := len(actionsOf(Subscribe, h.advance(2*time.Second+3*tickInterval))); n != 1 {
			t.Fatalf("seed %d: %d calls in the 2 s after the watch ended", seed, n)
		}
	}
}

// TestCallsAreSpread: the calls of many routers whose subscriptions fail at the same time are spread over the time
// available: the source handles calls in turn.
func TestCallsAreSpread(t *testing.T) {
	var first, last time.Duration = time.Hour, 0
	for seed := range uint64(300) {
		set := testSettings()
		set.WatchList, set.Peers = true, 300
		r := New(set, seed)
		now, out := Time(start), r.Handle(start, &EndpointList{Kind: ListRestored, Endpoints: []Endpoint{{Server: "p"}}}, nil)
		for len(actionsOf(Subscribe, out)) == 0 {
			now += tickInterval
			out = r.Handle(now, &Timer{}, nil)
		}
		first, last = min(first, now-start), max(last, now-start)
	}
	if last-first < 4*time.Second || last > 4500*ms+tickInterval {
		t.Errorf("the first calls come from %v to %v after the start", first, last)
	}
}
