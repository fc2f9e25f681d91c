package main

import (
	"context"
	"log/slog"
	"testing"

	"beechgrade/internal/testkit/checker"
	"beechgrade/internal/testkit/rehearse"
	"beechgrade/internal/testkit/scenario"
)

// fastFleet is the scenario settings of 8 processes on sockets, with times short enough for a test.
const fastFleet = fastTimings + fastPeers

const fastPeers = ` (poolers 8) (peers (probe 300ms) (timeout 100ms) (suspicion 900ms) (gossip 100ms) (exchange 2s) (reconnect 400ms) (hold 30s))`

// runFleet plays a scenario on 8 processes with a relay between each two of them, and checks all rules.
func runFleet(t testing.TB, script string, more ...checker.Rule) *rehearse.Result {
	t.Helper()
	return runFleetAtRate(t, 60, fastFleet+script, more...)
}

// runFleetAtRate is runFleet with the given rate in requests per second and without the usual settings: script holds all of them.
func runFleetAtRate(t testing.TB, rate float64, script string, more ...checker.Rule) *rehearse.Result {
	t.Helper()
	_, res := runFleetIn(t, rate, script, more...)
	return res
}

// runFleetIn is runFleetAtRate that also returns the folder with the results.
func runFleetIn(t testing.TB, rate float64, script string, more ...checker.Rule) (string, *rehearse.Result) {
	t.Helper()
	s, err := scenario.Parse("script", []byte(`(rehearsal "fleet" `+script+`)`))
	if err != nil {
		t.Fatalf("parse the scenario: %v", err)
	}
	s.Clients.Rate = rate
	out := t.TempDir()
	res, err := rehearse.Execute(context.Background(), s, rehearse.Options{Seed: 5, Out: out, Daemon: daemon, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatalf("run the rehearsal: %v", err)
	}
	reportBreach(t, res)
	reportClientBreach(t, res)
	for _, rule := range append(more, checker.ViewAccurate, checker.ViewSending, checker.OneAnswer, checker.Invariant) {
		if res.Rules.Checked[rule] == 0 {
			t.Errorf("%q was never checked", rule)
		}
	}
	if res.Fleet.Looks < 100 || res.Fleet.Carried == 0 {
		t.Errorf("poolers were queried %d times, relays carried %d datagrams; want at least 100 queries and one datagram", res.Fleet.Looks, res.Fleet.Carried)
	}
	return out, res
}

// TestFleetHalfCrashes guards against late failure detection and against old incarnations that return: half of 8 processes are killed at
// once and restart with empty memory. The others have to call them failed within the bound, and accept their successors.
func TestFleetHalfCrashes(t *testing.T) {
	t.Parallel()
	res := runFleet(t, `(seconds 14) (at 2s (kill-pooler 1) (for 5s)) (at 2s (kill-pooler 4) (for 5s)) (at 2s (kill-pooler 6) (for 5s)) (at 2s (kill-pooler 7) (for 5s))`,
		checker.ViewComplete, checker.ViewNoReturn)
	if n := len(res.Fleet.Views.DetectionTimes); n < 16 {
		t.Errorf("killed processes were called failed %d times, want at least 16", n)
	}
}

// TestFleetPartition guards against a fleet that stays split: after a partition five to three heals, both sides have to find each other
// without a seed. Both seeds, 0 and 1, are on one side.
func TestFleetPartition(t *testing.T) {
	t.Parallel()
	res := runFleet(t, `(seconds 21) (at 2s (between (5 6 7) (0 1 2 3 4) cut) (for 8s))`, checker.ViewComplete, checker.ViewSettled)
	if res.Fleet.Lost == 0 {
		t.Error("no datagram was lost in the partition")
	}
}

// TestFleetAsymmetricLinkLoss guards against permanent false failures: one process receives all but its own messages are lost, two never
// receive from each other, and one is stalled for 5 s. No reachable process may stay failed. That the stalled one accuses nobody is checked
// in virtual time, where the first accuser is known.
func TestFleetAsymmetricLinkLoss(t *testing.T) {
	t.Parallel()
	runFleet(t, `(seconds 25) (at 2s (links 2 all cut) (for 4s)) (at 2s (between 0 3 cut) (for 10s)) (at 9s (stall-pooler 5) (for 5s))`, checker.ViewSettled)
}

// TestFleetPacketLoss guards against false failures on a bad network: three of ten datagrams are lost, others duplicated and reordered.
// No running process may be called failed for long.
func TestFleetPacketLoss(t *testing.T) {
	t.Parallel()
	res := runFleet(t, `(seconds 14) (at 2s (between all all (lose 0.3) (duplicate 0.2) (reorder 0.3)) (for 8s)) (at 4s (restart-pooler 3))`)
	if res.Fleet.Lost < 100 {
		t.Errorf("%d datagrams lost, want at least 100", res.Fleet.Lost)
	}
}

// TestFleetRestartsWithFlappingLinks guards against old incarnations that return: all 8 are killed a quarter at a time, the seeds first,
// and restart empty within the suspicion time, while two links flap. At the end each is known by its new process.
func TestFleetRestartsWithFlappingLinks(t *testing.T) {
	t.Parallel()
	runFleet(t, `(seconds 24) (at 2s (between 2 5 cut) (for 200ms) (every 400ms)) (at 2s (between 1 6 cut) (for 300ms) (every 700ms))
		(at 3s (kill-pooler 0) (for 200ms)) (at 3s (kill-pooler 1) (for 200ms)) (at 5s (kill-pooler 2) (for 200ms)) (at 5s (kill-pooler 3) (for 200ms))
		(at 7s (kill-pooler 4) (for 200ms)) (at 7s (kill-pooler 5) (for 200ms)) (at 9s (kill-pooler 6) (for 200ms)) (at 9s (kill-pooler 7) (for 200ms))`, checker.ViewNoReturn)
}

// TestFleetReformsWithoutSeeds guards against a fleet that cannot form again without seeds: the seeds are killed for good, then all but one
// of the others. The remaining one has to find those that restart.
func TestFleetReformsWithoutSeeds(t *testing.T) {
	t.Parallel()
	runFleet(t, `(seconds 26) (at 2s (kill-pooler 0)) (at 2s (kill-pooler 1)) (at 5s (kill-pooler 2) (for 4s)) (at 5s (kill-pooler 3) (for 4s))
		(at 5s (kill-pooler 4) (for 4s)) (at 5s (kill-pooler 5) (for 4s)) (at 5s (kill-pooler 6) (for 4s))`, checker.ViewComplete, checker.ViewSettled)
}

// TestFleetThreeWayPartition guards against a fleet that stays split after two partitions: it falls into three parts, each of which calls
// the others failed, and has to be one again after they heal.
func TestFleetThreeWayPartition(t *testing.T) {
	t.Parallel()
	runFleet(t, `(seconds 22) (at 2s (between (5 6 7) (0 1 2 3 4) cut) (for 8s)) (at 3s (between (0 1) (2 3 4) cut) (for 7s))`, checker.ViewComplete, checker.ViewSettled)
}
