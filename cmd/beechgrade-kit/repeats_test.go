package main

import (
	"context"
	"log/slog"
	"testing"

	"beechgrade/internal/cluster/overload/retrybudget"
	"beechgrade/internal/testkit/rehearse"
	"beechgrade/internal/testkit/scenario"
)

// TestFleetRepeats: among eight processes, a group's replica returns, servers of another lose half of what they are sent, and the ways between
// three poolers and five are cut in the midst of it; without the bound servers take 99 a second time. What servers take a second time stays within the formula, counted at them.
func TestFleetRepeats(t *testing.T) {
	t.Parallel()
	s, err := scenario.Parse("script", []byte(`(rehearsal "repeats" `+fleetQuick+` (seconds 14) (retries 0)
		(at 2s (lose replica 0 0.6) (for 8s)) (at 3s (die replica 1) (for 2s)) (at 4s (between (5 6 7) (0 1 2 3 4) cut) (for 5s)))`))
	if err != nil {
		t.Fatal(err)
	}
	s.Clients.Rate = 150
	const operators = "(overload (repeats (part 0.02) (floor 4) (span 10s)) (returns 50))\n"
	res, err := rehearse.Execute(context.Background(), s, rehearse.Options{Seed: 5, Out: t.TempDir(), Daemon: daemon, Operators: operators, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	breached(t, res)
	b := retrybudget.Settings{AttemptShare: 0.02, Floor: 4, Span: 10e9}
	for g, x := range res.Duplicates {
		most := b.MaxRetries(x.Taken-x.Repeated+int(res.Score.Total.Tries/20), 8, 5, 16e9) // those that were sent and lost, beside what was taken; a side counts five or three
		t.Logf("group %d: %d taken, %d again, at most %.1f", g, x.Taken, x.Repeated, most)
		if float64(x.Repeated) > most {
			t.Errorf("group %d: servers took %d a second time, which is beyond %v", g, x.Repeated, most)
		}
	}
	if x := res.Duplicates[0]; x.Repeated == 0 {
		t.Error("nothing was ever repeated")
	}
	if res.Score.Total.Ratio < 0.8 {
		t.Errorf("service %v", res.Score.Total.Ratio)
	}
}
