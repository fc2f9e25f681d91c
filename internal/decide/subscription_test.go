package decide

import (
	"testing"
	"time"
)

// longestGap makes each subscription of a router fail after it was open for the given time, and returns the longest time
// from the start of a call to the start of the next.
func longestGap(settings Settings, seed uint64, open time.Duration) time.Duration {
	r, now := New(settings, seed), Time(start)
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

// TestListCallIntervalIsBounded: the list has to be known 6 s after its source becomes reachable again. If that is just
// after a call has started, the call fails after a silence, and the next one needs up to 1.5 s to connect and be
// answered. So calls start at most 4.5 s apart, for any number of routers and any settings, also from the start of a
// process.
func TestListCallIntervalIsBounded(t *testing.T) {
	for name, staleAfter := range map[string]time.Duration{"not set": 0, "short": 2 * time.Second, "long": time.Hour} {
		t.Run(name, func(t *testing.T) {
			for _, open := range []time.Duration{0, 20 * ms, 1200 * ms, 2500 * ms} {
				for seed := range uint64(40) {
					settings := testSettings()
					settings.WatchList, settings.ListStaleAfter, settings.Peers = true, staleAfter, 300
					if gap := longestGap(settings, seed, open); gap > 4500*ms+3*tickInterval {
						t.Fatalf("calls that fail after %v, seed %d: %v from one to the next, want at most 4.5 s", open, seed, gap)
					}
				}
			}
		})
	}
}

// TestListCallSoonAfterALongSubscription: a subscription that was open for a long time may have been silent for up to
// 2.5 s when it ends, so the next call has to start within 2 s.
func TestListCallSoonAfterALongSubscription(t *testing.T) {
	for seed := range uint64(40) {
		settings := testSettings()
		settings.WatchList, settings.Peers = true, 300
		h := &harness{t: t, r: New(settings, seed), now: start}
		h.handle(&EndpointList{Kind: ListRestored, Endpoints: []Endpoint{{Server: "a"}}})
		h.advance(20 * time.Second)
		h.handle(&EndpointList{Kind: ListFailed})
		if n := len(actionsOf(Subscribe, h.advance(2*time.Second+3*tickInterval))); n != 1 {
			t.Fatalf("seed %d: %d calls in the 2 s after the subscription ended, want 1", seed, n)
		}
	}
}

// TestListCallsAreSpreadOverTime: the calls of many routers that start at the same time are spread over the available
// time, as the source handles one call after the other.
func TestListCallsAreSpreadOverTime(t *testing.T) {
	var first, last time.Duration = time.Hour, 0
	for seed := range uint64(300) {
		settings := testSettings()
		settings.WatchList, settings.Peers = true, 300
		r := New(settings, seed)
		now, out := Time(start), r.Handle(start, &EndpointList{Kind: ListRestored, Endpoints: []Endpoint{{Server: "p"}}}, nil)
		for len(actionsOf(Subscribe, out)) == 0 {
			now += tickInterval
			out = r.Handle(now, &Timer{}, nil)
		}
		first, last = min(first, now-start), max(last, now-start)
	}
	if last-first < 4*time.Second || last > 4500*ms+tickInterval {
		t.Errorf("the first calls start %v to %v after the routers, want a range of 4 s or more up to 4.5 s", first, last)
	}
}
