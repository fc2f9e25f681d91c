package checker

import "testing"

// fakeTruth is a GroundTruth without faults, except for one faulty server and cut links.
type fakeTruth struct {
	faultyServer int // -1 for none
	cut          func(pooler, server int) bool
	startedAt    float64 // start of server 3's process
}

func (c fakeTruth) ServerHealthy(s int) bool { return s != c.faultyServer }
func (c fakeTruth) ServerStartedAt(s int) float64 {
	if s == 3 {
		return c.startedAt
	}
	return 0
}
func (fakeTruth) ServerReachable(int) bool    { return true }
func (fakeTruth) IsPrimary(s int) bool        { return s == 0 }
func (fakeTruth) PoolerRunning(int) bool      { return true }
func (c fakeTruth) LinkHealthy(p, s int) bool { return c.cut == nil || !c.cut(p, s) }
func noLinks(int, int) bool                   { return false }
func halfOfLinks(pooler, _ int) bool          { return pooler < 6 }

// TestAvoidingAHealthyServerIsABreach checks that it is a breach if all or nearly all poolers avoid a server that answers. It is none if
// the server does not answer most poolers, if the poolers observed failures of its current process themselves, or if enough of them still
// send to it. A requested group to which nothing is sent is a breach as well.
func TestAvoidingAHealthyServerIsABreach(t *testing.T) {
	for _, c := range []struct {
		name            string
		truth           fakeTruth
		avoid           func(pooler int) bool // avoids server 3
		unansweredUntil float64               // until then, poolers get no answer from server 3
		noAttempts      bool
		want            Rule
	}{
		{"all send to it", fakeTruth{-1, noLinks, 0}, func(int) bool { return false }, -1, false, ""},
		{"none sends to it", fakeTruth{-1, noLinks, 0}, func(int) bool { return true }, -1, false, NoBlackout},
		{"one sends to it", fakeTruth{-1, noLinks, 0}, func(p int) bool { return p > 0 }, -1, false, NoBlackout},
		{"a third send to it", fakeTruth{-1, noLinks, 0}, func(p int) bool { return p >= 4 }, -1, false, ""},
		{"it does not answer", fakeTruth{3, noLinks, 0}, func(int) bool { return true }, -1, false, ""},
		{"it answers half of the poolers", fakeTruth{-1, halfOfLinks, 0}, func(int) bool { return true }, -1, false, ""},
		{"poolers observed failures themselves", fakeTruth{-1, noLinks, 0}, func(int) bool { return true }, 5000, false, ""},
		{"poolers observed failures of its previous process", fakeTruth{-1, noLinks, 2000}, func(int) bool { return true }, 2000, false, NoBlackout},
		{"poolers observed failures of its new process", fakeTruth{-1, noLinks, 2000}, func(int) bool { return true }, 5000, false, ""},
		{"nothing is sent to the group", fakeTruth{-1, noLinks, 0}, func(int) bool { return true }, -1, true, LastAsked},
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
				for s := 1; s < 4 && !c.noAttempts; s++ {
					if s != 3 || !c.avoid(p) {
						b.AttemptSent(at, p, s, false)
					}
				}
				if at <= c.unansweredUntil {
					b.Unanswered(at, p, 3)
				}
			}
			b.Sample(at, c.truth)
		}
		v := Verdict{Checked: map[Rule]uint64{}, Broken: map[Rule]int{}}
		b.Verdict(&v)
		if c.want == "" && !v.OK() || c.want != "" && v.Broken[c.want] == 0 {
			t.Errorf("%s: breaches %v of checks %v, want a breach of rule %q, none if it is empty", c.name, v.Broken, v.Checked, c.want)
		}
	}
}
