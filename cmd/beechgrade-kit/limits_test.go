package main

import (
	"testing"

	"beechgrade/internal/testkit/checker"
	"beechgrade/internal/testkit/rehearse"
)

// overDemandFleet is a fleet of 8 processes whose tenants ask for more than their limits allow, with leases short enough for a test.
const overDemandFleet = fastFleet + ` (retries 0) (tenant "a" (share 0.6)) (tenant "b" (share 0.4)) `

// clickhouseFleet is a fleet whose clients use the ClickHouse interface.
const clickhouseFleet = fastPeers + ` (clickhouse) (groups 4) (retries 0) `

// runLimits plays a scenario with limits on overDemandFleet.
func runLimits(t testing.TB, list, script string) *rehearse.Result {
	t.Helper()
	return runLimitsOn(t, overDemandFleet, list, script)
}

// runLimitsOn plays a scenario with limits on the given fleet and checks that they hold.
func runLimitsOn(t testing.TB, fleet, list, script string) *rehearse.Result {
	t.Helper()
	res := runFleetAtRate(t, 200, fleet+`(fleet-limits (lease 2500ms) (promise 1200ms) (renew 200ms) (soon 60ms) `+list+`) `+script, checker.FleetLimit)
	for _, u := range res.Fleet.Uses {
		t.Logf("%+v", u)
	}
	return res
}

const twoLimits = `(limit "a" (of tenant "a") (rate 60) (burst 30)) (limit "b" (of tenant "b") (rate 40) (burst 20) (manner soon-even))`

// TestFleetLimitsSkewedDemand guards against quotas that stay with idle poolers: nine tenths of the requests of each tenant come to one of
// 8 processes, and one process joins while the whole limit is leased. Each limit must be used for the most part and never exceeded.
func TestFleetLimitsSkewedDemand(t *testing.T) {
	t.Parallel()
	res := runLimits(t, twoLimits, `(seconds 20) (skew 0.9) (at 1s (kill-pooler 6) (for 9s))`)
	for _, u := range res.Fleet.Uses {
		if u.UsedShare < 0.85 {
			t.Errorf("use of a limit: got %+v, want a UsedShare of at least 0.85", u)
		}
	}
}

// TestFleetLimitsPartition guards against limits that are exceeded in a partition: five to three with demand on both sides. During it the
// limit is halved by SIGHUP, on one side first; then the partition heals.
func TestFleetLimitsPartition(t *testing.T) {
	t.Parallel()
	runLimits(t, twoLimits, `(seconds 28) (at 10s (between (5 6 7) (0 1 2 3 4) cut) (for 9s)) (at 12s (limit "a" 30 0 1 2 3 4)) (at 13s (limit "a" 30 5 6 7))`)
}

// TestFleetLimitsOwnerFailure guards against limits that are leased twice when their owner fails: it is killed; its successor is stalled
// for 3 s and resumes unaware; the messages of the next are lost while it receives all.
func TestFleetLimitsOwnerFailure(t *testing.T) {
	t.Parallel()
	res := runLimits(t, twoLimits, `(seconds 32) (at 9s (kill-pooler owner "a")) (at 14s (stall-pooler owner "a") (for 3s)) (at 20s (links (owner "a") all cut) (for 4s))
		(at 11s (kill-pooler owner "b") (for 1s)) (at 17s (stall-pooler owner "b") (for 3s))`)
	if u := res.Fleet.Uses[0]; u.UsedShare < 0.3 {
		t.Errorf("use of the first limit: got %+v, want a UsedShare of at least 0.3", u)
	}
}

// TestFleetLimitsRestarts guards against limits that are leased twice over restarts: all 8 are killed a quarter at a time under load, and
// restart with empty memory.
func TestFleetLimitsRestarts(t *testing.T) {
	t.Parallel()
	runLimits(t, twoLimits, `(seconds 28) (at 9s (kill-pooler 0) (for 300ms)) (at 9s (kill-pooler 1) (for 300ms)) (at 13s (kill-pooler 2) (for 300ms)) (at 13s (kill-pooler 3) (for 300ms))
		(at 17s (kill-pooler 4) (for 300ms)) (at 17s (kill-pooler 5) (for 300ms)) (at 21s (kill-pooler 6) (for 300ms)) (at 21s (kill-pooler 7) (for 300ms))`)
}

// TestFleetLimitsPacketLoss guards against limits that are exceeded or unused on a bad network: three of ten datagrams are lost, others
// duplicated and reordered, while demand alternates between two processes.
func TestFleetLimitsPacketLoss(t *testing.T) {
	t.Parallel()
	res := runLimits(t, twoLimits, `(seconds 24) (skew 0.9) (swing 1s) (at 8s (between all all (lose 0.3) (duplicate 0.2) (reorder 0.3)) (for 12s))`)
	if u := res.Fleet.Uses[0]; u.UsedShare < 0.2 {
		t.Errorf("use of the first limit: got %+v, want a UsedShare of at least 0.2", u)
	}
}

// TestFleetLimitsOneConcurrentQuery guards against queries that run at once though one at a time is allowed: a user's queries come to the
// ClickHouse interface of 8 processes. The owner of the limit is killed, and its successor is stalled. The servers may work on two queries
// for no longer than it takes to detect that a client has gone.
func TestFleetLimitsOneConcurrentQuery(t *testing.T) {
	t.Parallel()
	res := runLimitsOn(t, clickhouseFleet, `(limit "one" (of queries "escritorio") (at-once 1))`, `(seconds 26) (at 10s (kill-pooler owner "one")) (at 16s (stall-pooler owner "one") (for 3s))`)
	if u := res.Fleet.Uses[0]; u.UsedShare < 0.2 || u.MaxOverBurst > 1 {
		t.Errorf("use of the limit: got %+v, want a UsedShare of at least 0.2 and a MaxOverBurst of at most 1", u)
	}
}

// TestFleetLimitsConcurrentQueries allows five queries at a time, most of them at one process, which is cut off and reconnected.
func TestFleetLimitsConcurrentQueries(t *testing.T) {
	t.Parallel()
	res := runLimitsOn(t, clickhouseFleet, `(limit "five" (of queries "escritorio") (at-once 5))`, `(seconds 26) (at 9s (between 0 all cut) (for 6s)) (at 18s (between (0 1 2) (3 4 5 6 7) cut) (for 5s))`)
	if u := res.Fleet.Uses[0]; u.UsedShare < 0.3 {
		t.Errorf("use of the first limit: got %+v, want a UsedShare of at least 0.3", u)
	}
}

// TestFleetLimitsColdServers guards against overloading cold servers: all servers of both groups die and return cold at once. The allowance
// for cold servers is divided by demand, most of it to one of 8 processes, which is cut off from the others as the servers return.
func TestFleetLimitsColdServers(t *testing.T) {
	t.Parallel()
	res := runFleetAtRate(t, 150, fastFleet+` (retries 0) (falls 2) (falls-in 1s) (tenant "a" (share 1)) (skew 0.7)
		(fleet-limits (lease 2500ms) (promise 1200ms) (renew 200ms) (soon 60ms) (limit "cold" (of cold))) (seconds 18) (at 9s (die everyone) (for 1s)) (at 9s (between 0 all cut) (for 4s))`, checker.ColdSpared)
	if n := res.Rules.Checked[checker.ColdSpared]; n < 50 {
		t.Errorf("cold servers received %d requests, want at least 50", n)
	}
}
