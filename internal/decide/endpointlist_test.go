package decide

import (
	"fmt"
	"testing"
	"time"
)

// TestDrainingServerGetsNothingOnceTheListChanges: from the change of the list on, nothing goes to a server that is
// draining or removed.
func TestDrainingServerGetsNothingOnceTheListChanges(t *testing.T) {
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
	for _, soft := range []bool{false, true} {
		h := newGroupOfThree(t, func(s *Settings) { s.DrainOnly = soft })
		h.handle(&EndpointList{Kind: ListFull, Endpoints: []Endpoint{{Server: "b"}}})
		if got := h.r.servers["a"].usable(); got != soft {
			t.Errorf("soft removal %v: usable %v", soft, got)
		}
	}
}

// TestSubscriptionIsRenewedAfterItFails: a subscription that failed is renewed once, and the list stays in force
// meanwhile.
func TestSubscriptionIsRenewedAfterItFails(t *testing.T) {
	set := testSettings()
	set.WatchList = true
	h := newHarness(t, set, Endpoint{Server: "a"})
	if len(actionsOf(Subscribe, h.out)) != 1 {
		t.Fatal("not subscribed at the start")
	}
	h.handle(&EndpointList{Kind: ListFailed})
	if n := len(actionsOf(Subscribe, h.advance(3*maxResubscribePause))); n != 1 {
		t.Errorf("%d subscriptions after a failure", n)
	}
	if !h.r.servers["a"].usable() {
		t.Error("a failed list call must leave the old list in force")
	}
}

// TestSubscriptionThatBreaksIsRenewedSoon: a subscription that had lasted and broke is renewed at once, as draining
// servers and new primaries are known by it alone; one that breaks as it is opened is not, or an overloaded source
// would be flooded.
func TestSubscriptionThatBreaksIsRenewedSoon(t *testing.T) {
	set := testSettings()
	set.WatchList = true
	h := newHarness(t, set, Endpoint{Server: "a"})
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
		t.Errorf("%d subscriptions in 10 s of failures", n)
	}
	h.advance(maxResubscribePause * 2)
	h.handle(&EndpointList{Kind: ListFailed})
	if n := len(actionsOf(Subscribe, h.advance(3*minResubscribePause))); n != 1 {
		t.Errorf("%d subscriptions soon after a subscription that lasted again", n)
	}
}

// TestServerRemovedAfterDrainingStaysExcluded: with DrainOnly, a server seen draining and then listed as removed is
// excluded; one only listed as removed is not, and is dropped once it has not answered for a while.
func TestServerRemovedAfterDrainingStaysExcluded(t *testing.T) {
	set := testSettings()
	set.DrainOnly = true
	h := newHarness(t, set, Endpoint{Server: "a"}, Endpoint{Server: "b", Group: 1})
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
