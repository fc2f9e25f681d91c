package main

import (
	"testing"

	"beechgrade/internal/testkit/checker"
	"beechgrade/internal/testkit/rehearse"
)

// The requirements of the operators' standing test that concern several processes: faults between eight of them and discovery.

// TestFleetSilentDiscovery guards against requests to draining servers while discovery is silent: all watches stop answering, discovery
// hangs for 2 s, and servers begin to drain meanwhile. 6 s after the begin of the silence no process may send them new requests, though no
// watch has reported it.
func TestFleetSilentDiscovery(t *testing.T) {
	t.Parallel()
	res := runFleetAtRate(t, 150, fastFleet+` (seconds 18) (at 4s (list-silent) (for 2s)) (at 4500ms (drain replica 0) (for 10s)) (at 5s (drain primary 1) (for 10s)) (at 7s (stall-pooler 3) (for 2s))`, checker.DrainsKept, checker.NotStale)
	drained := 0
	for _, f := range res.Facts {
		if f.What == "drains" {
			drained++
		}
	}
	if drained != 2 {
		t.Errorf("%d servers drained, want 2", drained)
	}
}

// TestFleetGracefulRestarts guards against requests that a graceful restart loses: all 8 are restarted gracefully, a quarter at a time,
// while clients send on every connection that stays open and open new ones. Each request that a process has accepted must be answered. A close
// may cross a request that the process has not read, which then goes to another process. By the records of the poolers all requests without
// an answer are of this kind, and they must be fewer than one in 200.
func TestFleetGracefulRestarts(t *testing.T) {
	t.Parallel()
	out, res := runFleetIn(t, 300, fastFleet+` (retries 0) (roams 1) (class "conferir-ponto" (deadline 1s)) (seconds 22)
		(at 2s (restart-pooler 0)) (at 2s (restart-pooler 1)) (at 6s (restart-pooler 2)) (at 6s (restart-pooler 3))
		(at 10s (restart-pooler 4)) (at 10s (restart-pooler 5)) (at 14s (restart-pooler 6)) (at 14s (restart-pooler 7))`)
	all := &res.Score.Total
	t.Logf("%d tries: %d served, %d refused, %d failed, %d without an answer, %d broken, %d unmade", all.Tries, all.Served, all.Refused, all.Failed, all.Unanswered, all.Broken, all.Unmade)
	if lost := all.Unanswered + all.Broken + all.Unmade; lost*200 > all.Tries || all.Unanswered > 0 {
		t.Errorf("%d of %d attempts had no answer, %d of them counted as unanswered; want at most one in 200, and none unanswered", lost, all.Tries, all.Unanswered)
	}
	m, _, _, err := rehearse.Compare(out)
	if err != nil {
		t.Fatalf("compare records and clients: %v", err)
	}
	if lost := all.Unanswered + all.Broken + all.Unmade; uint64(m.Untaken) != lost || m.InMissing+m.Unknown > 0 {
		t.Errorf("%d attempts had no answer, %d were never accepted by a pooler; %d are in missing records, %d are unknown; want all never accepted, none missing or unknown", lost, m.Untaken, m.InMissing, m.Unknown)
	}
}

// TestFleetColdServersAfterRelease guards against overloading cold servers after a release: six of 8 processes are killed at once and
// restart empty, and with them all servers die and return cold. Each process knows only how many processes there are; together they must
// stay within the allowance.
func TestFleetColdServersAfterRelease(t *testing.T) {
	t.Parallel()
	res := runFleetAtRate(t, 200, fastFleet+` (retries 2) (falls 2) (falls-in 1s) (cold-by 0.15) (seconds 16) (at 5s (die everyone) (for 1s))
		(at 5s (kill-pooler 0) (for 1200ms)) (at 5s (kill-pooler 1) (for 1200ms)) (at 5s (kill-pooler 2) (for 1200ms))
		(at 5s (kill-pooler 3) (for 1200ms)) (at 5s (kill-pooler 4) (for 1200ms)) (at 5s (kill-pooler 5) (for 1200ms))`, checker.ColdSpared)
	if n := res.Rules.Checked[checker.ColdSpared]; n < 50 {
		t.Errorf("cold servers received %d requests, want at least 50", n)
	}
}
