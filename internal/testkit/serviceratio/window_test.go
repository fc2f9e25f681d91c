package serviceratio

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"beechgrade/internal/testkit/deterministic"
)

// TestWindow holds the streaming window to a plain search over all seconds.
func TestWindow(t *testing.T) {
	deterministic.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 200).Draw(t, "seconds")
		asked, got := make([]float64, n), make([]float64, n)
		var w Window
		for s := range n {
			asked[s] = float64(rapid.IntRange(1, 5).Draw(t, "asked"))
			got[s] = min(asked[s], float64(rapid.IntRange(0, 5).Draw(t, "got")))
			at := float64(1_700_000_000+s) * 1000
			w.Add(at, asked[s], 0)
			if late := s - rapid.IntRange(0, 20).Draw(t, "late"); late >= 0 { // worth comes later than it was asked for
				w.Add(float64(1_700_000_000+late)*1000, 0, 0)
			}
			w.Add(at, 0, got[s])
		}
		want := math.Inf(1)
		for from := 0; from+Seconds <= n || from == 0; from++ {
			var a, g float64
			for s := from; s < min(n, from+Seconds); s++ {
				a, g = a+asked[s], g+got[s]
			}
			want = min(want, g/a)
		}
		if ratio, _ := w.Worst(); math.Abs(ratio-want) > 1e-9 {
			t.Fatalf("worst is %v, want %v", ratio, want)
		}
	})
}
