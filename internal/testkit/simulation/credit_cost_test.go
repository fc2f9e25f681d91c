package simulation

import (
	"slices"
	"testing"

	"beechgrade/internal/cluster/raftlog"
	"beechgrade/internal/settings"
	"beechgrade/internal/testkit/clients"
)

// TestCreditCostsLittleBesideNone has the same clients served with tenants that have plenty, and without credit, paired by seed: what waits for an answer about funds
// must not show in what clients wait for.
func TestCreditCostsLittleBesideNone(t *testing.T) {
	t.Parallel()
	set, err := settings.Parse("x", []byte(`(peers (listen "127.0.0.1:1") (key "k")) (agreed (voters "a" "b" "c") (dir "d")) (credit (payment "a" 1 100000000) (price "quadro-obra" (request 10))
		(price "conferir-ponto" (request 10)) (price "relatorio-mes" (request 10)) (price "registrar-ponto" (request 10)))`), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	for seed := range uint64(3) {
		var p99 [2]float64
		for on := range 2 {
			s := parse(t, `(rehearsal "credit" (groups 4 4 4 4) (peers) (poolers 16) (rate 600) (seconds 30) (retries 0) (tenant "a" (share 1)))`)
			var took []float64
			opt := Options{Seed: seed, OnAttemptEnded: func(y *clients.Attempt) {
				if y.Kind == clients.Served && y.Sent > startTimeMs+10000 {
					took = append(took, y.Ended-y.Sent)
				}
			}}
			if on == 1 {
				x := &Prepaid{
					Log:         &SharedLog{Settings: raftlog.Defaults(), Voters: 3, Seed: seed, DiskWriteMs: [2]float64{0.1, 2}},
					Settings:    set.Credit,
					MarkWriteMs: [2]float64{0.1, 2},
				}
				opt.Modules = []ModuleMaker{x.Join}
			}
			play(t, s, opt)
			slices.Sort(took)
			p99[on] = took[len(took)*99/100]
			t.Logf("seed %d, on %d: %d served, p50 %.1f, p99 %.1f ms", seed, on, len(took), took[len(took)/2], p99[on])
		}
		if p99[1] > 1.1*p99[0] {
			t.Errorf("seed %d: p99 %.1f ms with credit, %.1f without", seed, p99[1], p99[0])
		}
	}
}
