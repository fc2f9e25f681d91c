package follower

import (
	"testing"

	"beechgrade/internal/cluster/zones/plan"
	"beechgrade/internal/cluster/zones/statemachine"
)

func set() Settings {
	return Settings{Zone: 0, ZonesHash: 9, PlanLifetime: 5000, CrossingPrice: 0.4, MinAttempts: 10, FailingLossShare: 0.2, FailureTime: 1000}
}

func thePlan(no uint64, away float64) *statemachine.Plan {
	return &statemachine.Plan{Number: no, Since: no, ZonesHash: 9, Zones: make([]statemachine.ZoneStatus, 2), Matrix: plan.Matrix{{1 - away, away}, {0, 1}}}
}

// TestNoMorePoolersLeaveThanTheShare: no more poolers take another zone for local than its share, except where all leave.
func TestNoMorePoolersLeaveThanTheShare(t *testing.T) {
	for _, c := range []struct {
		row  []float64
		of   int
		want []int
	}{
		{[]float64{1, 0, 0}, 4, []int{4, 0, 0}},
		{[]float64{0.6, 0.4, 0}, 10, []int{6, 4, 0}},
		{[]float64{0.5, 0.3, 0.2}, 4, []int{3, 1, 0}},
		{[]float64{0, 0.6, 0.4}, 4, []int{0, 3, 1}},
		{[]float64{0, 0.7, 0.3}, 1, []int{0, 1, 0}},
		{[]float64{0.3, 0, 0}, 4, []int{4, 0, 0}},
		{[]float64{0, 0.6, 0}, 4, []int{2, 2, 0}}, // there is no safe room for more
	} {
		got := make([]int, 3)
		for i := range c.of {
			got[TargetZone(c.row, 0, i, c.of)]++
		}
		for z := range got {
			if got[z] != c.want[z] {
				t.Errorf("%v over %d poolers: %v, want %v", c.row, c.of, got, c.want)
			}
		}
	}
	for i := range 10 { // who has gone stays gone as more go
		for n := 1; n < 10; n++ {
			if TargetZone([]float64{1 - float64(n)/10, float64(n) / 10}, 0, i, 10) == 1 && TargetZone([]float64{0.9 - float64(n)/10, float64(n+1) / 10}, 0, i, 10) != 1 {
				t.Errorf("pooler %d comes back as more go", i)
			}
		}
	}
}

// TestFallsBackWithoutRenewal: without a renewal a plan expires, and local comes first; where the local zone fails too, this pooler goes
// where the plan had sent it.
func TestFallsBackWithoutRenewal(t *testing.T) {
	for _, x := range []struct {
		away  float64
		spill int
	}{{1, 1}, {0, 0}} {
		f := New(set())
		if s := f.Status(0); s.Reason != NoPlan || s.Price >= 0 || s.Zone != 0 {
			t.Errorf("%+v before any plan", s)
		}
		f.NumberStored(f.HandlePlan(0, thePlan(1, x.away), 1000))
		if s := f.Status(3999); s.Reason != Planned || s.Zone != x.spill || s.PlanNumber != 1 {
			t.Errorf("%+v under a plan", s)
		}
		if s := f.Status(4001); s.Reason != Fallback || s.Zone != 0 || s.Price != 0.4 {
			t.Errorf("%+v without news", s)
		}
		for now := 5000.0; now <= 6500; now += 500 {
			f.RecordLocalAttempts(now, 20, 15)
		}
		if s := f.Status(6500); s.Zone != x.spill {
			t.Errorf("%+v without news, where near fails", s)
		}
		f.RecordLocalAttempts(7000, 20, 0)
		if s := f.Status(7000); s.Zone != 0 {
			t.Errorf("%+v where near is well again", s)
		}
	}
}

// TestNeverFollowsAnOlderPlan: no older plan is followed after a newer one, whoever sends it, also after a restart; and none before its
// number is stored.
func TestNeverFollowsAnOlderPlan(t *testing.T) {
	f := New(set())
	f.NumberStored(f.HandlePlan(0, thePlan(7, 1), 0))
	if f.HandlePlan(10, thePlan(6, 0), 0) != 0 || f.Status(10).PlanNumber != 7 {
		t.Errorf("%+v", f.Status(10))
	}
	if keep := f.HandlePlan(20, thePlan(8, 0), 0); keep != 8 || f.Status(20).PlanNumber != 7 {
		t.Errorf("%d is to be kept, and %+v", keep, f.Status(20))
	}
	s := set()
	s.MinPlan = 8
	g := New(s)
	if g.HandlePlan(0, thePlan(7, 1), 0) != 0 || g.Status(0).Reason != NoPlan {
		t.Errorf("%+v after a restart", g.Status(0))
	}
	if g.NumberStored(g.HandlePlan(0, thePlan(8, 0), 0)); g.Status(0).PlanNumber != 8 {
		t.Errorf("%+v: the one that it had", g.Status(0))
	}
	again := thePlan(9, 0) // the same once more
	if again.Since = 8; g.HandlePlan(10, again, 0) != 0 || g.Status(10).PlanNumber != 9 {
		t.Errorf("%+v: the same plan, renewed", g.Status(10))
	}
	g.HandleRenewal(4000, 9, 0)
	if g.Status(8999).Reason != Planned || g.Status(9001).Reason != Fallback {
		t.Error("a plan ends Life after it was in force")
	}
	other := thePlan(10, 0)
	if other.ZonesHash = 1; g.HandlePlan(0, other, 0) != 0 {
		t.Error("a plan for other zones")
	}
}

// TestSlowDiskDelaysButDoesNotStopPlans: plans arrive faster than their numbers are stored. Each number that is stored is newer, and the
// newest plan is followed in the end.
func TestSlowDiskDelaysButDoesNotStopPlans(t *testing.T) {
	f, keep, last := New(set()), uint64(0), uint64(0)
	for no := uint64(1); no <= 40; no++ {
		now := 100 * float64(no)
		if k := f.HandlePlan(now, thePlan(no, float64(no%2)), 0); k > 0 && keep > 0 {
			t.Fatalf("%d and %d are kept at once", keep, k)
		} else if k > 0 {
			keep = k
		}
		if f.NewestPlan() != no {
			t.Fatalf("%d was heard, %d is the newest", no, f.NewestPlan())
		}
		if no%7 != 0 { // the disk takes seven times as long
			continue
		}
		was := keep
		keep = f.NumberStored(keep)
		if s := f.Status(now); s.PlanNumber != was || s.PlanNumber <= last || s.Reason != Planned || keep != no {
			t.Fatalf("%d was kept: %+v after %d, then %d is", was, s, last, keep)
		}
		last = was
	}
	f.HandleRenewal(8000, 40, 0)
	for keep > 0 {
		keep = f.NumberStored(keep)
	}
	if s := f.Status(12000); s.PlanNumber != 40 || s.Reason != Planned {
		t.Errorf("%+v in the end", s)
	}
}
