package discovery

import (
	"fmt"
	"testing"
	"time"
)

// TestFullListIsRequestedUntilReceived checks that after a change of address a watch that sends changes alone has the full list
// fetched, and fetched again when that fails: a new watch may not go on from the changes.
func TestFullListIsRequestedUntilReceived(t *testing.T) {
	old, moved := newScriptedServer(t), newScriptedServer(t)
	s := newTestClient(t, old)
	s.onLoop(s.client.Watch)
	old.nextWatch(4)
	s.onLoop(func() { s.client.SetAddress(moved.address) })
	watch := moved.nextWatch(0)
	watch.send(okHead)
	watch.sendList(9, false)
	s.wantEvent("list 9, whole false")
	moved.nextFetch().send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
	s.wantEvent("failed")
	s.onLoop(s.client.Watch) // as the core does after a failure
	watch = moved.nextWatch(0)
	watch.send(okHead)
	watch.sendList(9, false)
	s.wantEvent("list 9, whole false")
	fetch := moved.nextFetch()
	fetch.send(okHead)
	fetch.sendList(9, true)
	s.wantEvent("list 9, whole true")
	s.onLoop(s.client.Watch)
	moved.nextWatch(9)
}

// TestOlderFullListIsRejected checks that a full list older than what the watch has sent meanwhile is rejected: a draining
// server would be up again. Discovery handles calls in turn, so it may come.
func TestOlderFullListIsRejected(t *testing.T) {
	at := newScriptedServer(t)
	s := newTestClient(t, at)
	s.onLoop(s.client.Watch)
	watch := at.nextWatch(4)
	watch.send(okHead)
	s.onLoop(s.client.Fetch)
	fetch := at.nextFetch()
	watch.sendList(7, false)
	s.wantEvent("list 7, whole false")
	fetch.send(okHead)
	fetch.sendList(6, true)
	s.wantEvent("failed")
	s.onLoop(s.client.Fetch)
	fetch = at.nextFetch()
	fetch.send(okHead)
	fetch.sendList(7, true)
	s.wantEvent("list 7, whole true")
}

// TestChangesOlderThanTheFullListAreIgnored checks that changes on a watch that the full list already holds are ignored.
func TestChangesOlderThanTheFullListAreIgnored(t *testing.T) {
	at := newScriptedServer(t)
	s := newTestClient(t, at)
	s.onLoop(s.client.Watch)
	watch := at.nextWatch(4)
	watch.send(okHead)
	s.onLoop(s.client.Fetch)
	fetch := at.nextFetch()
	fetch.send(okHead)
	fetch.sendList(9, true)
	s.wantEvent("list 9, whole true")
	watch.sendList(8, false)
	watch.sendList(10, false)
	s.wantEvent("list 10, whole false")
}

// TestOlderListOnAWatchEndsIt checks that a generation that goes back on one watch ends it, and that the next one goes on from
// the newest.
func TestOlderListOnAWatchEndsIt(t *testing.T) {
	for _, full := range []bool{false, true} {
		t.Run(fmt.Sprintf("whole %v", full), func(t *testing.T) {
			at := newScriptedServer(t)
			s := newTestClient(t, at)
			s.onLoop(s.client.Watch)
			watch := at.nextWatch(4)
			watch.send(okHead)
			watch.sendList(7, false)
			s.wantEvent("list 7, whole false")
			watch.sendList(6, full)
			s.wantEvent("failed")
			watch.wantEnd()
			s.onLoop(s.client.Watch)
			at.nextWatch(7)
		})
	}
}

// TestRestartOfDiscoveryIsDetected checks that a lower generation first on a new watch counts as a restart of discovery, and
// that the full list is fetched where only changes came.
func TestRestartOfDiscoveryIsDetected(t *testing.T) {
	for _, full := range []bool{true, false} {
		t.Run(fmt.Sprintf("whole %v", full), func(t *testing.T) {
			at := newScriptedServer(t)
			s := newTestClient(t, at)
			s.onLoop(s.client.Watch)
			watch := at.nextWatch(4)
			watch.send(okHead)
			watch.sendList(2, full)
			s.wantEvent(fmt.Sprintf("list 2, whole %v", full))
			if !full {
				fetch := at.nextFetch()
				fetch.send(okHead)
				fetch.sendList(2, true)
				s.wantEvent("list 2, whole true")
			}
			watch.sendList(3, false)
			s.wantEvent("list 3, whole false")
			s.onLoop(s.client.Watch)
			at.nextWatch(3)
		})
	}
}

// TestOldAddressIsIgnoredAfterSetAddress checks that what the old discovery has sent, and was not read before SetAddress, is
// ignored.
func TestOldAddressIsIgnoredAfterSetAddress(t *testing.T) {
	old, moved := newScriptedServer(t), newScriptedServer(t)
	s := newTestClient(t, old)
	s.onLoop(s.client.Watch)
	s.onLoop(s.client.Fetch)
	calls := old.next2()
	watch, fetch := calls["/v1/endpoints?watch=1&from=4"], calls["/v1/endpoints"]
	watch.send(okHead)
	fetch.send(okHead)
	s.waitUntil("both heads are read", func() bool {
		return s.client.watch.response.inBody && s.client.fullFetch.response.inBody
	})
	s.onLoop(func() {
		watch.sendList(90, true)
		fetch.sendList(91, true)
		for end := time.Now().Add(patience); s.client.watch.conn.OpenAndIdle() || s.client.fullFetch.conn.OpenAndIdle(); {
			if time.Now().After(end) {
				t.Error("nothing came")
				break
			}
		}
		s.client.SetAddress(moved.address)
	})
	reopened := moved.next2()
	if reopened["/v1/endpoints"] == nil || reopened["/v1/endpoints?watch=1&from=0"] == nil {
		t.Fatalf("requested %v", reopened)
	}
	watch = reopened["/v1/endpoints?watch=1&from=0"]
	watch.send(okHead)
	watch.sendList(3, true)
	s.wantEvent("list 3, whole true")
}
