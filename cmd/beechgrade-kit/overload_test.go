package main

import (
	"context"
	"log/slog"
	"testing"

	"beechgrade/internal/kit/check"
	"beechgrade/internal/kit/rehearse"
	"beechgrade/internal/kit/scenario"
)

// crowded are classes of which six servers can do about 400 a second.
const crowded = ` (class "quadro-obra" (aim 800ms) (deadline 2s) (work 40ms 80ms)) (class "conferir-ponto" (aim 800ms) (deadline 2s) (work 40ms 80ms))
	(class "relatorio-mes" (aim 800ms) (deadline 2s) (work 40ms 80ms)) (class "registrar-ponto" (aim 800ms) (deadline 2s) (work 40ms 80ms)) `

// overload plays a scenario on 8 processes that handle overload together, with a relay between each two of them.
func overload(t *testing.T, rate float64, script string) *rehearse.Result {
	t.Helper()
	s, err := scenario.Parse("script", []byte(`(rehearsal "overload" `+fleetQuick+` (retries 3) (retry 20ms 120ms) (roams 0.6) `+crowded+script+`)`))
	if err != nil {
		t.Fatal(err)
	}
	s.Clients.Rate = rate
	res, err := rehearse.Play(context.Background(), s, rehearse.Options{Seed: 5, Out: t.TempDir(), Daemon: daemon, Operators: "(overload (shed yes))\n", Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range res.Rules.Breaches {
		t.Errorf("%s: at %.1f s: %s\n%+v", b.Rule, (b.At-res.FromMs)/1000, b.Text, b.Proof)
		break
	}
	for _, b := range res.Score.Breaches {
		t.Errorf("the clients saw %+v", b)
		break
	}
	for _, rule := range []check.Rule{check.OneAnswer, check.ViewAccurate, check.NotStale, check.NotTwice} {
		if res.Rules.Checked[rule] == 0 {
			t.Errorf("%q was never put to the test", rule)
		}
	}
	t.Logf("%d asked, of the worth %.3f; %d refused, %d late", res.Score.Total.Asked, res.Score.Total.Ratio, res.Score.Total.Refused, res.Score.Total.Late)
	return res
}

// TestFleetOverloadHalved: all servers do half as much for 5 s under clients that try again; no rule is broken, with
// probes shared.
func TestFleetOverloadHalved(t *testing.T) {
	t.Parallel()
	res := overload(t, 250, `(seconds 16) (at 4s (crowd everyone 0.5) (for 5s))`)
	if res.Score.Total.Ratio < 0.7 {
		t.Errorf("%.3f of the worth was earned", res.Score.Total.Ratio)
	}
}

// TestFleetOverloadParted: a partition five to three under much load, a pooler that stands still for 5 s, two that restart with nothing, and
// words that are lost, doubled and overtaken; no rule is broken.
func TestFleetOverloadParted(t *testing.T) {
	t.Parallel()
	res := overload(t, 500, `(seconds 22) (at 3s (between (5 6 7) (0 1 2 3 4) cut) (for 5s)) (at 4s (stall-pooler 2) (for 5s)) (at 10s (kill-pooler 1) (for 300ms)) (at 10s (kill-pooler 4) (for 300ms))
		(at 12s (between all all (lose 0.2) (duplicate 0.2) (reorder 0.2) (slow 100ms)) (for 4s))`)
	if res.Score.Total.Ratio < 0.3 {
		t.Errorf("%.3f of the worth was earned", res.Score.Total.Ratio)
	}
}
