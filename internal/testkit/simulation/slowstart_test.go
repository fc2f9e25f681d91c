package simulation

import (
	"fmt"
	"testing"

	"beechgrade/internal/testkit/checker"
)

// TestSlowStartOfABusyServer: a server that receives half of all requests, from poolers that exchange no messages, dies and returns cold.
// Each pooler estimates the load that the others send to the server, and may take it for much faster than other servers of its kind. The
// sum of what they send must stay within the allowance alone, without the tolerance of N + 2 sqrt(N) + 2 for N poolers.
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
				result := runScenario(t, script, Options{Seed: seed})
				for _, breach := range result.Verdict.Breaches {
					if breach.Rule == checker.ColdSpared || breach.Rule == checker.Invariant {
						t.Errorf("seed %d: breach of rule %q: %s", seed, breach.Rule, breach.Text)
					}
				}
				if n := result.Verdict.Checked[checker.ColdSpared]; n < 500 {
					t.Errorf("seed %d: %d checks of requests to cold servers; want at least 500", seed, n)
				}
			}
		})
	}
}
