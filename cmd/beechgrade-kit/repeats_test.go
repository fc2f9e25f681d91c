package main

import (
	"context"
	"log/slog"
	"testing"

	"beechgrade/internal/cluster/overload/retrybudget"
	"beechgrade/internal/testkit/rehearse"
	"beechgrade/internal/testkit/scenario"
)

// TestFleetRetryBudget guards against retries in excess of the fleet-wide retry budget: among eight processes, the replica of a group
// returns, servers of another group lose more than half of the requests, and meanwhile three poolers are cut off from five. Without the
// bound, servers receive 99 requests a second time. The requests that servers receive a second time must stay within the formula.
func TestFleetRetryBudget(t *testing.T) {
	t.Parallel()
	s, err := scenario.Parse("script", []byte(`(rehearsal "repeats" `+fastFleet+` (seconds 14) (retries 0)
		(at 2s (lose replica 0 0.6) (for 8s)) (at 3s (die replica 1) (for 2s)) (at 4s (between (5 6 7) (0 1 2 3 4) cut) (for 5s)))`))
	if err != nil {
		t.Fatalf("parse the scenario: %v", err)
	}
	s.Clients.Rate = 150
	const operators = "(overload (repeats (part 0.02) (floor 4) (span 10s)) (returns 50))\n"
	res, err := rehearse.Execute(context.Background(), s, rehearse.Options{Seed: 5, Out: t.TempDir(), Daemon: daemon, Operators: operators, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatalf("run the rehearsal: %v", err)
	}
	reportBreach(t, res)
	b := retrybudget.Settings{AttemptShare: 0.02, Floor: 4, Span: 10e9}
	for g, x := range res.Duplicates {
		most := b.MaxRetries(x.Taken-x.Repeated+int(res.Score.Total.Tries/20), 8, 5, 16e9) // includes those that were sent and lost; a side of the partition has five or three poolers
		t.Logf("group %d: %d requests received, %d a second time, limit %.1f", g, x.Taken, x.Repeated, most)
		if float64(x.Repeated) > most {
			t.Errorf("group %d: servers received %d requests a second time, limit %v", g, x.Repeated, most)
		}
	}
	if x := res.Duplicates[0]; x.Repeated == 0 {
		t.Error("no request of group 0 was repeated, want at least one")
	}
	if res.Score.Total.Ratio < 0.8 {
		t.Errorf("service %v, want at least 0.8", res.Score.Total.Ratio)
	}
}
