package simulation

import (
	"slices"
	"testing"

	"beechgrade/internal/cluster/raftlog"
	"beechgrade/internal/settings"
	"beechgrade/internal/testkit/clients"
)

// TestCreditAddsLittleLatency runs the same clients without credit and with tenants that have ample funds, paired by seed: requests that
// wait for a decision about funds must not raise the clients' p99 latency noticeably.
func TestCreditAddsLittleLatency(t *testing.T) {
	t.Parallel()
	set, err := settings.Parse("x", []byte(`(peers (listen "127.0.0.1:1") (key "k")) (agreed (voters "a" "b" "c") (dir "d")) (credit (payment "a" 1 100000000) (price "quadro-obra" (request 10))
		(price "conferir-ponto" (request 10)) (price "relatorio-mes" (request 10)) (price "registrar-ponto" (request 10)))`), func(string) string { return "" })
	if err != nil {
		t.Fatalf("parsing the settings of the credit: %v", err)
	}
	for seed := range uint64(3) {
		var p99 [2]float64
		for on := range 2 {
			s := parse(t, `(rehearsal "credit" (groups 4 4 4 4) (peers) (poolers 16) (rate 600) (seconds 30) (retries 0) (tenant "a" (share 1)))`)
			var latencies []float64
			opt := Options{Seed: seed, OnAttemptEnded: func(a *clients.Attempt) {
				if a.Kind == clients.Served && a.Sent > startTimeMs+10000 {
					latencies = append(latencies, a.Ended-a.Sent)
				}
			}}
			if on == 1 {
				prepaid := &Prepaid{
					Log:         &SharedLog{Settings: raftlog.Defaults(), Voters: 3, Seed: seed, DiskWriteMs: [2]float64{0.1, 2}},
					Settings:    set.Credit,
					MarkWriteMs: [2]float64{0.1, 2},
				}
				opt.Modules = []ModuleMaker{prepaid.Join}
			}
			runScenario(t, s, opt)
			slices.Sort(latencies)
			p99[on] = latencies[len(latencies)*99/100]
			t.Logf("seed %d, credit %d: %d served, p50 %.1f, p99 %.1f ms", seed, on, len(latencies), latencies[len(latencies)/2], p99[on])
		}
		if p99[1] > 1.1*p99[0] {
			t.Errorf("seed %d: p99 %.1f ms with credit, %.1f ms without; want at most 1.1 times as much", seed, p99[1], p99[0])
		}
	}
}
