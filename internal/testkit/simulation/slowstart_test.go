package simulation

import (
	"fmt"
	"testing"

	"beechgrade/internal/testkit/checker"
)

// TestSlowStartOfABusyServer: a server that half of all requests go to dies and returns cold, before poolers that share nothing. Each guesses
// what the others have at it, and may take it for much faster than the servers of its kind are. The sum of what they send is held against the
// allowance alone, without the slack of N + 2 root N + 2.
func TestSlowStartOfABusyServer(t *testing.T) {
	for _, poolers := range []int{1, 2, 8, 24, 60} {
		t.Run(fmt.Sprint(poolers), func(t *testing.T) {
			t.Parallel()
			script := parse(t, fmt.Sprintf(`(rehearsal "slow start" (poolers %d) (groups 1 3) (rate 200) (sessions 200) (retries 3) (seconds 10)
				(detect 300ms 400ms) (elect 300ms 500ms) (list 100ms 200ms) (roles 300ms 500ms) (falls 2.5) (falls-in 1500ms) (cold 12s) (cold-by 0.15)
				(class "quadro-obra" (aim 3s) (deadline 4s) (work 30ms 50ms)) (class "conferir-ponto" (aim 3s) (deadline 4s) (work 30ms 50ms))
				(class "relatorio-mes" (aim 3s) (deadline 4s) (work 30ms 50ms)) (class "registrar-ponto" (aim 3s) (deadline 4s) (work 30ms 50ms))
				(at 4s (die everyone) (for 1500ms)))`, poolers))
			for seed := range uint64(6) {
				result := play(t, script, Options{Seed: seed})
				for _, breach := range result.Verdict.Breaches {
					if breach.Rule == checker.ColdSpared || breach.Rule == checker.Invariant {
						t.Errorf("seed %d: %s: %s", seed, breach.Rule, breach.Text)
					}
				}
				if n := result.Verdict.Checked[checker.ColdSpared]; n < 500 {
					t.Errorf("seed %d: %d requests came to cold servers: too few to tell", seed, n)
				}
			}
		})
	}
}
