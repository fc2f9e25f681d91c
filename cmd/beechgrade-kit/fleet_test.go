package main

import (
	"context"
	"log/slog"
	"testing"

	"beechgrade/internal/testkit/checker"
	"beechgrade/internal/testkit/rehearse"
	"beechgrade/internal/testkit/scenario"
)

// fleetQuick is what a fleet on sockets is played with, at times short enough for a test.
const fleetQuick = quick + peersQuick

const peersQuick = ` (poolers 8) (peers (probe 300ms) (timeout 100ms) (suspicion 900ms) (gossip 100ms) (exchange 2s) (reconnect 400ms) (hold 30s))`

// fleet plays a scenario on 8 processes with a relay between each two of them, and holds it to all rules.
func fleet(t testing.TB, script string, more ...checker.Rule) *rehearse.Result {
	t.Helper()
	return fleetAt(t, 60, fleetQuick+script, more...)
}

// fleetAt is fleet with so many requests a second, and all of the script given.
func fleetAt(t testing.TB, rate float64, script string, more ...checker.Rule) *rehearse.Result {
	t.Helper()
	_, res := fleetIn(t, rate, script, more...)
	return res
}

// fleetIn is fleetAt, with the folder of what came of it.
func fleetIn(t testing.TB, rate float64, script string, more ...checker.Rule) (string, *rehearse.Result) {
	t.Helper()
	s, err := scenario.Parse("script", []byte(`(rehearsal "fleet" `+script+`)`))
	if err != nil {
		t.Fatal(err)
	}
	s.Clients.Rate = rate
	out := t.TempDir()
	res, err := rehearse.Execute(context.Background(), s, rehearse.Options{Seed: 5, Out: out, Daemon: daemon, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	breached(t, res)
	clientsSaw(t, res)
	for _, rule := range append(more, checker.ViewAccurate, checker.ViewSending, checker.OneAnswer, checker.Invariant) {
		if res.Rules.Checked[rule] == 0 {
			t.Errorf("%q was never put to the test", rule)
		}
	}
	if res.Fleet.Looks < 100 || res.Fleet.Carried == 0 {
		t.Errorf("poolers were asked %d times, %d datagrams were carried", res.Fleet.Looks, res.Fleet.Carried)
	}
	return out, res
}

// TestFleetKilled: half of 8 processes are killed at once and return with an empty memory; the others call them failed within the
// bound, and take their successors for them.
func TestFleetKilled(t *testing.T) {
	t.Parallel()
	res := fleet(t, `(seconds 14) (at 2s (kill-pooler 1) (for 5s)) (at 2s (kill-pooler 4) (for 5s)) (at 2s (kill-pooler 6) (for 5s)) (at 2s (kill-pooler 7) (for 5s))`,
		checker.ViewComplete, checker.ViewNoReturn)
	if n := len(res.Fleet.Views.Detected); n < 16 {
		t.Errorf("%d times one that was killed was called failed", n)
	}
}

// TestFleetParted: a partition five to three heals, and both sides find each other without a seed: 0 and 1, the seeds, are on one
// side.
func TestFleetParted(t *testing.T) {
	t.Parallel()
	res := fleet(t, `(seconds 21) (at 2s (between (5 6 7) (0 1 2 3 4) cut) (for 8s))`, checker.ViewComplete, checker.ViewSettled)
	if res.Fleet.Lost == 0 {
		t.Error("nothing was lost")
	}
}

// TestFleetUnheard: what one says is lost while it hears all, two never hear each other, and one stands still for 5 s; nobody who can
// be reached is called failed for good. That who stood still accuses nobody is held in virtual time, where who says it first is seen.
func TestFleetUnheard(t *testing.T) {
	t.Parallel()
	fleet(t, `(seconds 25) (at 2s (links 2 all cut) (for 4s)) (at 2s (between 0 3 cut) (for 10s)) (at 9s (stall-pooler 5) (for 5s))`, checker.ViewSettled)
}

// TestFleetUnderLoss: with three datagrams of ten lost, doubled and overtaken ones, nobody who runs is called failed for long.
func TestFleetUnderLoss(t *testing.T) {
	t.Parallel()
	res := fleet(t, `(seconds 14) (at 2s (between all all (lose 0.3) (duplicate 0.2) (reorder 0.3)) (for 8s)) (at 4s (restart-pooler 3))`)
	if res.Fleet.Lost < 100 {
		t.Errorf("%d datagrams lost", res.Fleet.Lost)
	}
}

// TestFleetRestarted: all 8 are killed a quarter at a time and come back empty within the time of a suspicion, the seeds first; two
// links flap meanwhile. In the end each is known by its new process, and no old one comes back.
func TestFleetRestarted(t *testing.T) {
	t.Parallel()
	fleet(t, `(seconds 24) (at 2s (between 2 5 cut) (for 200ms) (every 400ms)) (at 2s (between 1 6 cut) (for 300ms) (every 700ms))
		(at 3s (kill-pooler 0) (for 200ms)) (at 3s (kill-pooler 1) (for 200ms)) (at 5s (kill-pooler 2) (for 200ms)) (at 5s (kill-pooler 3) (for 200ms))
		(at 7s (kill-pooler 4) (for 200ms)) (at 7s (kill-pooler 5) (for 200ms)) (at 9s (kill-pooler 6) (for 200ms)) (at 9s (kill-pooler 7) (for 200ms))`, checker.ViewNoReturn)
}

// TestFleetOneLeft: the seeds are gone, then all but one; they come back while the seeds stay away, and are found by the one that was
// left.
func TestFleetOneLeft(t *testing.T) {
	t.Parallel()
	fleet(t, `(seconds 26) (at 2s (kill-pooler 0)) (at 2s (kill-pooler 1)) (at 5s (kill-pooler 2) (for 4s)) (at 5s (kill-pooler 3) (for 4s))
		(at 5s (kill-pooler 4) (for 4s)) (at 5s (kill-pooler 5) (for 4s)) (at 5s (kill-pooler 6) (for 4s))`, checker.ViewComplete, checker.ViewSettled)
}

// TestFleetThreeWays: the fleet falls into three parts, each of which calls the others failed, and is one again after the heal.
func TestFleetThreeWays(t *testing.T) {
	t.Parallel()
	fleet(t, `(seconds 22) (at 2s (between (5 6 7) (0 1 2 3 4) cut) (for 8s)) (at 3s (between (0 1) (2 3 4) cut) (for 7s))`, checker.ViewComplete, checker.ViewSettled)
}
