package main

import (
	"context"
	"fmt"
	"log/slog"
	"testing"

	"beechgrade/internal/testkit/checker"
	"beechgrade/internal/testkit/rehearse"
	"beechgrade/internal/testkit/scenario"
)

// TestSlowStartProcesses guards against overloading cold servers: real processes, which share nothing, serve a group whose servers die and return cold,
// while clients send several times what these servers may get. The servers count the requests that reach them, retries included. The sum in
// any span is checked against the allowance alone, without the slack of N + 2 root N + 2.
func TestSlowStartProcesses(t *testing.T) {
	for _, poolers := range []int{2, 24} {
		t.Run(fmt.Sprint(poolers), func(t *testing.T) {
			s, err := scenario.Parse("script", fmt.Appendf(nil, `(rehearsal "slow start" (poolers %d) (groups 1 3) (rate 200) (sessions 200) (retries 3) (seconds 14)
				(detect 300ms 400ms) (elect 300ms 500ms) (list 100ms 200ms) (roles 300ms 500ms) (falls 2.5) (falls-in 1500ms) (cold 12s) (cold-by 0.15)
				(class "quadro-obra" (aim 3s) (deadline 4s) (work 30ms 50ms)) (class "conferir-ponto" (aim 3s) (deadline 4s) (work 30ms 50ms))
				(class "relatorio-mes" (aim 3s) (deadline 4s) (work 30ms 50ms)) (class "registrar-ponto" (aim 3s) (deadline 4s) (work 30ms 50ms))
				(at 4s (die everyone) (for 1500ms)))`, poolers))
			if err != nil {
				t.Fatalf("parse the scenario: %v", err)
			}
			res, err := rehearse.Execute(context.Background(), s, rehearse.Options{Seed: 5, Out: t.TempDir(), Daemon: daemon, Log: slog.New(slog.DiscardHandler)})
			if err != nil {
				t.Fatalf("run the rehearsal: %v", err)
			}
			for _, b := range res.Rules.Breaches {
				if b.Rule == checker.ColdSpared || b.Rule == checker.Invariant {
					t.Errorf("%s: at %.1f s: %s\n%+v", b.Rule, (b.At-res.FromMs)/1000, b.Text, b.Proof)
					break
				}
			}
			n := res.Rules.Checked[checker.ColdSpared]
			t.Logf("cold servers received %d requests", n)
			if n < 50 {
				t.Errorf("cold servers received %d requests: too few for this test, want at least 50", n)
			}
		})
	}
}
