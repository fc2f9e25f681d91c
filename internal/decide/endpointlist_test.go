package decide

import (
	"fmt"
	"testing"
	"time"
)

// TestDrainingOrRemovedServerGetsNoRequests: once the list has changed, nothing is sent to a server that is draining or
// removed.
func TestDrainingOrRemovedServerGetsNoRequests(t *testing.T) {
	for _, state := range []ServerState{Draining, Removed} {
		h := newGroupOfThree(t, nil)
		h.handle(&EndpointList{Kind: ListChanges, Endpoints: []Endpoint{{Server: "a", State: state}, {Server: "b", State: state}}})
		for i := range 4 {
			h.wantSend(h.request(RequestID(fmt.Sprint(i)), classAny), RequestID(fmt.Sprint(i)), "p")
		}
		h.handle(&EndpointList{Kind: ListChanges, Endpoints: []Endpoint{{Server: "p", State: state}}})
		h.wantNone(Send, append(h.request("w", classKeyedWrite), h.advance(100*ms)...))
	}
}

// TestServerMissingFromAFullListIsRemoved: a server that is missing from a whole list is not used, except with
// DrainOnly.
func TestServerMissingFromAFullListIsRemoved(t *testing.T) {
	for _, drainOnly := range []bool{false, true} {
		h := newGroupOfThree(t, func(s *Settings) { s.DrainOnly = drainOnly })
		h.handle(&EndpointList{Kind: ListFull, Endpoints: []Endpoint{{Server: "b"}}})
		if got := h.r.servers["a"].usable(); got != drainOnly {
			t.Errorf("server missing from a full list, DrainOnly %v: usable is %v, want %v", drainOnly, got, drainOnly)
		}
	}
}

// TestSubscriptionIsRenewedAfterItFails: a subscription that failed is renewed once, and the list is kept meanwhile.
func TestSubscriptionIsRenewedAfterItFails(t *testing.T) {
	settings := testSettings()
	settings.WatchList = true
	h := newHarness(t, settings, Endpoint{Server: "a"})
	if len(actionsOf(Subscribe, h.out)) != 1 {
		t.Fatal("not subscribed at the start")
	}
	h.handle(&EndpointList{Kind: ListFailed})
	if n := len(actionsOf(Subscribe, h.advance(3*maxResubscribePause))); n != 1 {
		t.Errorf("%d subscriptions after a failure, want 1", n)
	}
	if !h.r.servers["a"].usable() {
		t.Error("server a is not usable after a failed list call, which must not change the list")
	}
}

// TestSubscriptionThatBreaksIsRenewedSoon: a subscription that breaks after a while is renewed at once, as draining
// servers and new primaries are known only by it. One that fails as it is opened is renewed more slowly, so that an
// overloaded source is not flooded.
func TestSubscriptionThatBreaksIsRenewedSoon(t *testing.T) {
	settings := testSettings()
	settings.WatchList = true
	h := newHarness(t, settings, Endpoint{Server: "a"})
	h.advance(10 * time.Second)
	h.handle(&EndpointList{Kind: ListFailed})
	if n := len(actionsOf(Subscribe, h.advance(3*minResubscribePause))); n != 1 {
		t.Errorf("%d subscriptions soon after a subscription broke, want 1", n)
	}
	n := 0
	for end := h.now + 10*time.Second; h.now < end; {
		if len(actionsOf(Subscribe, h.advance(tickInterval))) > 0 {
			n++
			h.handle(&EndpointList{Kind: ListFailed})
		}
	}
	if n > 12 {
		t.Errorf("%d subscriptions in 10 s of failures, want at most 12", n)
	}
	h.advance(maxResubscribePause * 2)
	h.handle(&EndpointList{Kind: ListFailed})
	if n := len(actionsOf(Subscribe, h.advance(3*minResubscribePause))); n != 1 {
		t.Errorf("%d subscriptions soon after another subscription that lasted broke, want 1", n)
	}
}

// TestServerRemovedAfterDrainingStaysExcluded: with DrainOnly, a server that was draining and then removed is excluded.
// A server that was removed without draining is not, and is dropped once it has not answered for a while.
func TestServerRemovedAfterDrainingStaysExcluded(t *testing.T) {
	settings := testSettings()
	settings.DrainOnly = true
	h := newHarness(t, settings, Endpoint{Server: "a"}, Endpoint{Server: "b", Group: 1})
	h.handle(&EndpointList{Kind: ListChanges, Endpoints: []Endpoint{{Server: "a", State: Draining}}})
	h.handle(&EndpointList{Kind: ListChanges, Endpoints: []Endpoint{{Server: "a", State: Removed}, {Server: "b", Group: 1, State: Removed}}})
	h.wantNone(Send, h.request("1", classAny))
	h.wantSend(h.handle(&Request{ID: "2", Class: classAny, Group: 1, Deadline: h.now + time.Second}), "2", "b")
	h.wantSend(h.handle(&EndpointList{Kind: ListChanges, Endpoints: []Endpoint{{Server: "a"}}}), "1", "a")
	h.end("1", 0, "a", OK)
	h.end("2", 0, "b", OK)
	h.advance(removedServerMemory + 2*rateRefreshInterval)
	if len(h.r.servers) != 1 || h.r.servers["a"] == nil {
		t.Errorf("%d servers remain, want a alone", len(h.r.servers))
	}
}
