package discovery

import (
	"fmt"
	"testing"
	"time"
)

// TestFullListIsRequestedUntilReceived checks that after a change of address the client fetches the full list if the watch sends only
// changes, and that it requests the full list again if the fetch fails: a new watch must not continue from the changes.
func TestFullListIsRequestedUntilReceived(t *testing.T) {
	old, moved := newScriptedServer(t), newScriptedServer(t)
	s := newTestClient(t, old)
	s.onLoop(s.client.Watch)
	old.nextWatch(4)
	s.onLoop(func() { s.client.SetAddress(moved.address) })
	watch := moved.nextWatch(0)
	watch.send(okHead)
	watch.sendList(9, false)
	s.wantEvent("list 9, full false")
	moved.nextFetch().send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
	s.wantEvent("failed")
	s.onLoop(s.client.Watch) // as the core does after a failure
	watch = moved.nextWatch(0)
	watch.send(okHead)
	watch.sendList(9, false)
	s.wantEvent("list 9, full false")
	fetch := moved.nextFetch()
	fetch.send(okHead)
	fetch.sendList(9, true)
	s.wantEvent("list 9, full true")
	s.onLoop(s.client.Watch)
	moved.nextWatch(9)
}

// TestOlderFullListIsRejected checks that a full list older than the changes that the watch has sent meanwhile is rejected, as it
// would mark a draining server as up again. Discovery handles calls one after another, so such a list may arrive.
func TestOlderFullListIsRejected(t *testing.T) {
	server := newScriptedServer(t)
	s := newTestClient(t, server)
	s.onLoop(s.client.Watch)
	watch := server.nextWatch(4)
	watch.send(okHead)
	s.onLoop(s.client.Fetch)
	fetch := server.nextFetch()
	watch.sendList(7, false)
	s.wantEvent("list 7, full false")
	fetch.send(okHead)
	fetch.sendList(6, true)
	s.wantEvent("failed")
	s.onLoop(s.client.Fetch)
	fetch = server.nextFetch()
	fetch.send(okHead)
	fetch.sendList(7, true)
	s.wantEvent("list 7, full true")
}

// TestChangesOlderThanTheFullListAreIgnored checks that changes on a watch are ignored if the full list already contains them.
func TestChangesOlderThanTheFullListAreIgnored(t *testing.T) {
	server := newScriptedServer(t)
	s := newTestClient(t, server)
	s.onLoop(s.client.Watch)
	watch := server.nextWatch(4)
	watch.send(okHead)
	s.onLoop(s.client.Fetch)
	fetch := server.nextFetch()
	fetch.send(okHead)
	fetch.sendList(9, true)
	s.wantEvent("list 9, full true")
	watch.sendList(8, false)
	watch.sendList(10, false)
	s.wantEvent("list 10, full false")
}

// TestOlderListOnAWatchEndsIt checks that a list of an earlier generation than the one before ends a watch, and that the next watch
// continues from the newest generation.
func TestOlderListOnAWatchEndsIt(t *testing.T) {
	for _, full := range []bool{false, true} {
		t.Run(fmt.Sprintf("full %v", full), func(t *testing.T) {
			server := newScriptedServer(t)
			s := newTestClient(t, server)
			s.onLoop(s.client.Watch)
			watch := server.nextWatch(4)
			watch.send(okHead)
			watch.sendList(7, false)
			s.wantEvent("list 7, full false")
			watch.sendList(6, full)
			s.wantEvent("failed")
			watch.wantEnd()
			s.onLoop(s.client.Watch)
			server.nextWatch(7)
		})
	}
}

// TestRestartOfDiscoveryIsDetected checks that a lower generation in the first list of a new watch counts as a restart of discovery,
// and that the full list is fetched if that first list holds only changes.
func TestRestartOfDiscoveryIsDetected(t *testing.T) {
	for _, full := range []bool{true, false} {
		t.Run(fmt.Sprintf("full %v", full), func(t *testing.T) {
			server := newScriptedServer(t)
			s := newTestClient(t, server)
			s.onLoop(s.client.Watch)
			watch := server.nextWatch(4)
			watch.send(okHead)
			watch.sendList(2, full)
			s.wantEvent(fmt.Sprintf("list 2, full %v", full))
			if !full {
				fetch := server.nextFetch()
				fetch.send(okHead)
				fetch.sendList(2, true)
				s.wantEvent("list 2, full true")
			}
			watch.sendList(3, false)
			s.wantEvent("list 3, full false")
			s.onLoop(s.client.Watch)
			server.nextWatch(3)
		})
	}
}

// TestOldAddressIsIgnoredAfterSetAddress checks that lists of the old discovery that were sent before SetAddress, but not yet read,
// are ignored.
func TestOldAddressIsIgnoredAfterSetAddress(t *testing.T) {
	old, moved := newScriptedServer(t), newScriptedServer(t)
	s := newTestClient(t, old)
	s.onLoop(s.client.Watch)
	s.onLoop(s.client.Fetch)
	calls := old.next2()
	watch, fetch := calls["/v1/endpoints?watch=1&from=4"], calls["/v1/endpoints"]
	watch.send(okHead)
	fetch.send(okHead)
	s.waitUntil("both response heads are read", func() bool {
		return s.client.watch.response.inBody && s.client.fullFetch.response.inBody
	})
	s.onLoop(func() {
		watch.sendList(90, true)
		fetch.sendList(91, true)
		for end := time.Now().Add(testTimeout); s.client.watch.conn.OpenAndIdle() || s.client.fullFetch.conn.OpenAndIdle(); {
			if time.Now().After(end) {
				t.Error("the lists did not arrive")
				break
			}
		}
		s.client.SetAddress(moved.address)
	})
	reopened := moved.next2()
	if reopened["/v1/endpoints"] == nil || reopened["/v1/endpoints?watch=1&from=0"] == nil {
		t.Fatalf("requested %v, want the full list and a watch from 0", reopened)
	}
	watch = reopened["/v1/endpoints?watch=1&from=0"]
	watch.send(okHead)
	watch.sendList(3, true)
	s.wantEvent("list 3, full true")
}
