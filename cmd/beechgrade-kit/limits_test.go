package main

import (
	"testing"

	"beechgrade/internal/testkit/checker"
	"beechgrade/internal/testkit/rehearse"
)

// limited is a fleet of 8 processes whose tenants ask for more than they may, with leases short enough for a test.
const limited = fleetQuick + ` (retries 0) (tenant "a" (share 0.6)) (tenant "b" (share 0.4)) `

// houseFleet is one whose clients speak the ClickHouse interface.
const houseFleet = peersQuick + ` (clickhouse) (groups 4) (retries 0) `

// limits plays a scenario of limits on 8 processes.
func limits(t testing.TB, list, script string) *rehearse.Result {
	t.Helper()
	return limitsOf(t, limited, list, script)
}

func limitsOf(t testing.TB, what, list, script string) *rehearse.Result {
	t.Helper()
	res := fleetAt(t, 200, what+`(fleet-limits (lease 2500ms) (promise 1200ms) (renew 200ms) (soon 60ms) `+list+`) `+script, checker.FleetLimit)
	for _, u := range res.Fleet.Uses {
		t.Logf("%+v", u)
	}
	return res
}

const two = `(limit "a" (of tenant "a") (rate 60) (burst 30)) (limit "b" (of tenant "b") (rate 40) (burst 20) (manner soon-even))`

// TestFleetLimitsSkewed: nine tenths of each tenant's requests come to one of 8 processes; one joins while the limit is all out. Limits
// are used for the most part, and no more than allowed.
func TestFleetLimitsSkewed(t *testing.T) {
	t.Parallel()
	res := limits(t, two, `(seconds 20) (skew 0.9) (at 1s (kill-pooler 6) (for 9s))`)
	for _, u := range res.Fleet.Uses {
		if u.Part < 0.85 {
			t.Errorf("%+v", u)
		}
	}
}

// TestFleetLimitsParted: a partition five to three with demand on both sides, in the midst of which the limit is halved by SIGHUP, on
// the one side first, and then heals.
func TestFleetLimitsParted(t *testing.T) {
	t.Parallel()
	limits(t, two, `(seconds 28) (at 10s (between (5 6 7) (0 1 2 3 4) cut) (for 9s)) (at 12s (limit "a" 30 0 1 2 3 4)) (at 13s (limit "a" 30 5 6 7))`)
}

// TestFleetLimitsOwner: who lends a limit is killed; the next one stands still for 3 s and wakes as if nothing were; the next is heard by
// nobody while it hears all.
func TestFleetLimitsOwner(t *testing.T) {
	t.Parallel()
	res := limits(t, two, `(seconds 32) (at 9s (kill-pooler owner "a")) (at 14s (stall-pooler owner "a") (for 3s)) (at 20s (links (owner "a") all cut) (for 4s))
		(at 11s (kill-pooler owner "b") (for 1s)) (at 17s (stall-pooler owner "b") (for 3s))`)
	if u := res.Fleet.Uses[0]; u.Part < 0.3 {
		t.Errorf("%+v", u)
	}
}

// TestFleetLimitsRestarted: all 8 are killed a quarter at a time under load, and come back with nothing.
func TestFleetLimitsRestarted(t *testing.T) {
	t.Parallel()
	limits(t, two, `(seconds 28) (at 9s (kill-pooler 0) (for 300ms)) (at 9s (kill-pooler 1) (for 300ms)) (at 13s (kill-pooler 2) (for 300ms)) (at 13s (kill-pooler 3) (for 300ms))
		(at 17s (kill-pooler 4) (for 300ms)) (at 17s (kill-pooler 5) (for 300ms)) (at 21s (kill-pooler 6) (for 300ms)) (at 21s (kill-pooler 7) (for 300ms))`)
}

// TestFleetLimitsLossy: three datagrams of ten lost, doubled and overtaken ones, while demand swings between two processes.
func TestFleetLimitsLossy(t *testing.T) {
	t.Parallel()
	res := limits(t, two, `(seconds 24) (skew 0.9) (swing 1s) (at 8s (between all all (lose 0.3) (duplicate 0.2) (reorder 0.3)) (for 12s))`)
	if u := res.Fleet.Uses[0]; u.Part < 0.2 {
		t.Errorf("%+v", u)
	}
}

// TestFleetLimitsOnce: a user's queries at the ClickHouse interface, one at a time over 8 processes; whoever lends that is killed, and then
// stands still. They take turns, and the servers never work on two for longer than it takes to see that a client has gone.
func TestFleetLimitsOnce(t *testing.T) {
	t.Parallel()
	res := limitsOf(t, houseFleet, `(limit "one" (of queries "escritorio") (at-once 1))`, `(seconds 26) (at 10s (kill-pooler owner "one")) (at 16s (stall-pooler owner "one") (for 3s))`)
	if u := res.Fleet.Uses[0]; u.Part < 0.2 || u.MostOver > 1 {
		t.Errorf("%+v", u)
	}
}

// TestFleetLimitsAtOnce: five at a time, most of them at one process, which is cut off and back.
func TestFleetLimitsAtOnce(t *testing.T) {
	t.Parallel()
	res := limitsOf(t, houseFleet, `(limit "five" (of queries "escritorio") (at-once 5))`, `(seconds 26) (at 9s (between 0 all cut) (for 6s)) (at 18s (between (0 1 2) (3 4 5 6 7) cut) (for 5s))`)
	if u := res.Fleet.Uses[0]; u.Part < 0.3 {
		t.Errorf("%+v", u)
	}
}

// TestFleetLimitsCold: all servers of both groups die and come back cold at once, with the fall budget shared out by demand and most of
// that at one of 8 processes, which is cut off from the others as they return: no server is pushed over.
func TestFleetLimitsCold(t *testing.T) {
	t.Parallel()
	res := fleetAt(t, 150, fleetQuick+` (retries 0) (falls 2) (falls-in 1s) (tenant "a" (share 1)) (skew 0.7)
		(fleet-limits (lease 2500ms) (promise 1200ms) (renew 200ms) (soon 60ms) (limit "cold" (of cold))) (seconds 18) (at 9s (die everyone) (for 1s)) (at 9s (between 0 all cut) (for 4s))`, checker.ColdSpared)
	if n := res.Rules.Checked[checker.ColdSpared]; n < 50 {
		t.Errorf("%d requests came to cold servers", n)
	}
}
