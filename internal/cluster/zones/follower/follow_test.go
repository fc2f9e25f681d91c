package follower

import (
	"testing"

	"beechgrade/internal/cluster/zones/plan"
	"beechgrade/internal/cluster/zones/statemachine"
)

func set() Settings {
	return Settings{Zone: 0, Of: 9, Life: 5000, Price: 0.4, Least: 10, FailAt: 0.2, Fail: 1000}
}

func thePlan(no uint64, away float64) *statemachine.Plan {
	return &statemachine.Plan{No: no, Since: no, Of: 9, Zones: make([]statemachine.Mark, 2), Matrix: plan.Matrix{{1 - away, away}, {0, 1}}}
}

// TestSharesAreDealt: never more poolers than a share has go, but where a zone is left whole.
func TestSharesAreDealt(t *testing.T) {
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
			got[Home(c.row, 0, i, c.of)]++
		}
		for z := range got {
			if got[z] != c.want[z] {
				t.Errorf("%v over %d poolers: %v, want %v", c.row, c.of, got, c.want)
			}
		}
	}
	for i := range 10 { // who has gone stays gone as more go
		for n := 1; n < 10; n++ {
			if Home([]float64{1 - float64(n)/10, float64(n) / 10}, 0, i, 10) == 1 && Home([]float64{0.9 - float64(n)/10, float64(n+1) / 10}, 0, i, 10) != 1 {
				t.Errorf("pooler %d comes back as more go", i)
			}
		}
	}
}

// TestFallsBack: without news a plan ends, then near comes first; where near fails too, this pooler goes where it was sent, and no one else does.
func TestFallsBack(t *testing.T) {
	for _, x := range []struct {
		away  float64
		spill int
	}{{1, 1}, {0, 0}} {
		f := New(set())
		if s := f.Stand(0); s.Why != None || s.Price >= 0 || s.Zone != 0 {
			t.Errorf("%+v before any plan", s)
		}
		f.Kept(f.Heard(0, thePlan(1, x.away), 1000))
		if s := f.Stand(3999); s.Why != Planned || s.Zone != x.spill || s.No != 1 {
			t.Errorf("%+v under a plan", s)
		}
		if s := f.Stand(4001); s.Why != Fallback || s.Zone != 0 || s.Price != 0.4 {
			t.Errorf("%+v without news", s)
		}
		for now := 5000.0; now <= 6500; now += 500 {
			f.Near(now, 20, 15)
		}
		if s := f.Stand(6500); s.Zone != x.spill {
			t.Errorf("%+v without news, where near fails", s)
		}
		f.Near(7000, 20, 0)
		if s := f.Stand(7000); s.Zone != 0 {
			t.Errorf("%+v where near is well again", s)
		}
	}
}

// TestNeverOlder: no old plan after a new one, whoever tells, not after a restart either; and none before its number is kept.
func TestNeverOlder(t *testing.T) {
	f := New(set())
	f.Kept(f.Heard(0, thePlan(7, 1), 0))
	if f.Heard(10, thePlan(6, 0), 0) != 0 || f.Stand(10).No != 7 {
		t.Errorf("%+v", f.Stand(10))
	}
	if keep := f.Heard(20, thePlan(8, 0), 0); keep != 8 || f.Stand(20).No != 7 {
		t.Errorf("%d is to be kept, and %+v", keep, f.Stand(20))
	}
	s := set()
	s.Floor = 8
	g := New(s)
	if g.Heard(0, thePlan(7, 1), 0) != 0 || g.Stand(0).Why != None {
		t.Errorf("%+v after a restart", g.Stand(0))
	}
	if g.Kept(g.Heard(0, thePlan(8, 0), 0)); g.Stand(0).No != 8 {
		t.Errorf("%+v: the one that it had", g.Stand(0))
	}
	again := thePlan(9, 0) // the same once more
	if again.Since = 8; g.Heard(10, again, 0) != 0 || g.Stand(10).No != 9 {
		t.Errorf("%+v: the same plan, renewed", g.Stand(10))
	}
	g.Again(4000, 9, 0)
	if g.Stand(8999).Why != Planned || g.Stand(9001).Why != Fallback {
		t.Error("a plan ends Life after it was in force")
	}
	other := thePlan(10, 0)
	if other.Of = 1; g.Heard(0, other, 0) != 0 {
		t.Error("a plan for other zones")
	}
}

// TestSlowDisk: plans come faster than the disk keeps their numbers. One after the other is kept, each that is followed is newer, and the newest is
// followed in the end; renewals of what waits hold.
func TestSlowDisk(t *testing.T) {
	f, keep, last := New(set()), uint64(0), uint64(0)
	for no := uint64(1); no <= 40; no++ {
		now := 100 * float64(no)
		if k := f.Heard(now, thePlan(no, float64(no%2)), 0); k > 0 && keep > 0 {
			t.Fatalf("%d and %d are kept at once", keep, k)
		} else if k > 0 {
			keep = k
		}
		if f.Number() != no {
			t.Fatalf("%d was heard, %d is the newest", no, f.Number())
		}
		if no%7 != 0 { // the disk takes seven times as long
			continue
		}
		was := keep
		keep = f.Kept(keep)
		if s := f.Stand(now); s.No != was || s.No <= last || s.Why != Planned || keep != no {
			t.Fatalf("%d was kept: %+v after %d, then %d is", was, s, last, keep)
		}
		last = was
	}
	f.Again(8000, 40, 0)
	for keep > 0 {
		keep = f.Kept(keep)
	}
	if s := f.Stand(12000); s.No != 40 || s.Why != Planned {
		t.Errorf("%+v in the end", s)
	}
}
