package serviceratio

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"beechgrade/internal/testkit/deterministic"
)

// TestWindow checks that the streaming window finds the same worst ratio as a search over all seconds, for additions out of order.
func TestWindow(t *testing.T) {
	deterministic.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 200).Draw(t, "seconds")
		requested, served := make([]float64, n), make([]float64, n)
		var w Window
		for s := range n {
			requested[s] = float64(rapid.IntRange(1, 5).Draw(t, "asked"))
			served[s] = min(requested[s], float64(rapid.IntRange(0, 5).Draw(t, "got")))
			at := float64(1_700_000_000+s) * 1000
			w.Add(at, requested[s], 0)
			if late := s - rapid.IntRange(0, 20).Draw(t, "late"); late >= 0 { // an earlier second is added to out of order, without weight
				w.Add(float64(1_700_000_000+late)*1000, 0, 0)
			}
			w.Add(at, 0, served[s])
		}
		want := math.Inf(1)
		for from := 0; from+Seconds <= n || from == 0; from++ {
			var requestedSum, servedSum float64
			for s := from; s < min(n, from+Seconds); s++ {
				requestedSum, servedSum = requestedSum+requested[s], servedSum+served[s]
			}
			want = min(want, servedSum/requestedSum)
		}
		if ratio, _ := w.Worst(); math.Abs(ratio-want) > 1e-9 {
			t.Fatalf("worst ratio over %d seconds is %v, want %v", n, ratio, want)
		}
	})
}
