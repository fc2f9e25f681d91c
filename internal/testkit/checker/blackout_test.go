package checker

import "testing"

// calm is a sight in which nothing befalls anybody, but a server that one who knows says is unsound, and a way.
type calm struct {
	unsound int
	cut     func(pooler, server int) bool
	born    float64 // server 3's process began then
}

func (c calm) ServerHealthy(s int) bool { return s != c.unsound }
func (c calm) ServerStartedAt(s int) float64 {
	if s == 3 {
		return c.born
	}
	return 0
}
func (calm) ServerReachable(int) bool    { return true }
func (calm) IsPrimary(s int) bool        { return s == 0 }
func (calm) PoolerRunning(int) bool      { return true }
func (c calm) LinkHealthy(p, s int) bool { return c.cut == nil || !c.cut(p, s) }
func nobody(int, int) bool               { return false }
func half(pooler, _ int) bool            { return pooler < 6 }

// TestAvoidingAHealthyServerIsABreach: that all poolers, or nearly all, leave out a server that answers is a breach; not where it does not answer most, where they saw
// that themselves, of the process that runs now, or where some still ask it. A group that nobody asks any more is one too.
func TestAvoidingAHealthyServerIsABreach(t *testing.T) {
	for _, c := range []struct {
		what   string
		see    calm
		avoid  func(pooler int) bool // of server 3
		own    float64               // until when they have no answer of it
		silent bool
		broken Rule
	}{
		{"all ask it", calm{-1, nobody, 0}, func(int) bool { return false }, -1, false, ""},
		{"nobody asks it", calm{-1, nobody, 0}, func(int) bool { return true }, -1, false, NoBlackout},
		{"one asks it", calm{-1, nobody, 0}, func(p int) bool { return p > 0 }, -1, false, NoBlackout},
		{"a third ask it", calm{-1, nobody, 0}, func(p int) bool { return p >= 4 }, -1, false, ""},
		{"it does not answer", calm{3, nobody, 0}, func(int) bool { return true }, -1, false, ""},
		{"it answers half", calm{-1, half, 0}, func(int) bool { return true }, -1, false, ""},
		{"they saw it themselves", calm{-1, nobody, 0}, func(int) bool { return true }, 5000, false, ""},
		{"they saw its last process themselves", calm{-1, nobody, 2000}, func(int) bool { return true }, 2000, false, NoBlackout},
		{"they saw its new process themselves", calm{-1, nobody, 2000}, func(int) bool { return true }, 5000, false, ""},
		{"nobody asks anybody", calm{-1, nobody, 0}, func(int) bool { return true }, -1, true, LastAsked},
	} {
		b := NewBlackoutChecker(0, BlackoutConfig{
			Groups:           [][]int{{0, 1, 2, 3}},
			Poolers:          12,
			WindowMs:         1000,
			HealthyMs:        1000,
			RestartGraceMs:   500,
			OwnEvidenceMs:    60000,
			MaxAvoidingShare: 0.8,
			MinReads:         12,
			MinRequests:      20,
		})
		for at := 0.0; at <= 5000; at += 50 {
			for p := range 12 {
				b.RequestReceived(0)
				for s := 1; s < 4 && !c.silent; s++ {
					if s != 3 || !c.avoid(p) {
						b.AttemptSent(at, p, s, false)
					}
				}
				if at <= c.own {
					b.Unanswered(at, p, 3)
				}
			}
			b.Sample(at, c.see)
		}
		v := Verdict{Checked: map[Rule]uint64{}, Broken: map[Rule]int{}}
		b.Verdict(&v)
		if c.broken == "" && !v.OK() || c.broken != "" && v.Broken[c.broken] == 0 {
			t.Errorf("%s: broken %v of %v", c.what, v.Broken, v.Checked)
		}
	}
}
