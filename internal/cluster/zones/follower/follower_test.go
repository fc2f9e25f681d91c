package follower

import (
	"testing"

	"beechgrade/internal/cluster/zones/plan"
	"beechgrade/internal/cluster/zones/statemachine"
)

func testSettings() Settings {
	return Settings{Zone: 0, ZonesHash: 9, PlanLifetime: 5000, CrossingPrice: 0.4, MinAttempts: 10, FailingLossShare: 0.2, FailureTime: 1000}
}

// testPlan returns a plan for two zones by which a share of the reads of zone 0 goes to zone 1.
func testPlan(number uint64, share float64) *statemachine.Plan {
	return &statemachine.Plan{Number: number, Since: number, ZonesHash: 9, Zones: make([]statemachine.ZoneStatus, 2), Matrix: plan.Matrix{{1 - share, share}, {0, 1}}}
}

// TestNoMorePoolersLeaveThanTheShare: no more poolers treat another zone as local than its share allows, unless all poolers leave.
func TestNoMorePoolersLeaveThanTheShare(t *testing.T) {
	for _, c := range []struct {
		row     []float64
		poolers int
		want    []int
	}{
		{[]float64{1, 0, 0}, 4, []int{4, 0, 0}},
		{[]float64{0.6, 0.4, 0}, 10, []int{6, 4, 0}},
		{[]float64{0.5, 0.3, 0.2}, 4, []int{3, 1, 0}},
		{[]float64{0, 0.6, 0.4}, 4, []int{0, 3, 1}},
		{[]float64{0, 0.7, 0.3}, 1, []int{0, 1, 0}},
		{[]float64{0.3, 0, 0}, 4, []int{4, 0, 0}},
		{[]float64{0, 0.6, 0}, 4, []int{2, 2, 0}}, // a row that sums to less than 1: there is no safe capacity for more
	} {
		got := make([]int, 3)
		for rank := range c.poolers {
			got[TargetZone(c.row, 0, rank, c.poolers)]++
		}
		for zone := range got {
			if got[zone] != c.want[zone] {
				t.Errorf("row %v with %d poolers: got %v poolers by zone, want %v", c.row, c.poolers, got, c.want)
			}
		}
	}
	for rank := range 10 { // a pooler that has left does not return while the other zone's share grows
		for n := 1; n < 10; n++ {
			if TargetZone([]float64{1 - float64(n)/10, float64(n) / 10}, 0, rank, 10) == 1 && TargetZone([]float64{0.9 - float64(n)/10, float64(n+1) / 10}, 0, rank, 10) != 1 {
				t.Errorf("pooler %d returns while the other zone's share grows from %d to %d tenths", rank, n, n+1)
			}
		}
	}
}

// TestFallsBackWithoutRenewal: without a renewal a plan expires, and the local zone is preferred; if the local zone fails too, the pooler
// prefers the zone that the plan had assigned to it.
func TestFallsBackWithoutRenewal(t *testing.T) {
	for _, test := range []struct {
		share  float64 // of the reads that leave zone 0
		target int     // by the plan
	}{{1, 1}, {0, 0}} {
		f := New(testSettings())
		if s := f.Status(0); s.Reason != NoPlan || s.Price >= 0 || s.Zone != 0 {
			t.Errorf("status %+v before the first plan, want zone 0, no plan and no price", s)
		}
		f.NumberStored(f.HandlePlan(0, testPlan(1, test.share), 1000))
		if s := f.Status(3999); s.Reason != Planned || s.Zone != test.target || s.PlanNumber != 1 {
			t.Errorf("status %+v while the plan is in force, want plan 1 and zone %d", s, test.target)
		}
		if s := f.Status(4001); s.Reason != Fallback || s.Zone != 0 || s.Price != 0.4 {
			t.Errorf("status %+v after the plan expired, want a fallback to zone 0 at a price of 0.4", s)
		}
		for now := 5000.0; now <= 6500; now += 500 {
			f.RecordLocalAttempts(now, 20, 15)
		}
		if s := f.Status(6500); s.Zone != test.target {
			t.Errorf("status %+v after the plan expired while the local zone fails, want zone %d", s, test.target)
		}
		f.RecordLocalAttempts(7000, 20, 0)
		if s := f.Status(7000); s.Zone != 0 {
			t.Errorf("status %+v after the local zone recovered, want zone 0", s)
		}
	}
}

// TestNeverFollowsAnOlderPlan: an older plan is not followed after a newer one, whichever process sends it, also after a restart; and no plan is
// followed before its number is stored.
func TestNeverFollowsAnOlderPlan(t *testing.T) {
	f := New(testSettings())
	f.NumberStored(f.HandlePlan(0, testPlan(7, 1), 0))
	if f.HandlePlan(10, testPlan(6, 0), 0) != 0 || f.Status(10).PlanNumber != 7 {
		t.Errorf("status %+v after plan 6 arrived, want plan 7", f.Status(10))
	}
	if number := f.HandlePlan(20, testPlan(8, 0), 0); number != 8 || f.Status(20).PlanNumber != 7 {
		t.Errorf("number %d is to be stored, and status %+v; want number 8, and plan 7 until it is stored", number, f.Status(20))
	}
	settings := testSettings()
	settings.MinPlan = 8
	restarted := New(settings)
	if restarted.HandlePlan(0, testPlan(7, 1), 0) != 0 || restarted.Status(0).Reason != NoPlan {
		t.Errorf("status %+v after a restart and plan 7, want no plan: the least is 8", restarted.Status(0))
	}
	if restarted.NumberStored(restarted.HandlePlan(0, testPlan(8, 0), 0)); restarted.Status(0).PlanNumber != 8 {
		t.Errorf("status %+v after a restart, want plan 8 again", restarted.Status(0))
	}
	renewed := testPlan(9, 0) // has the target of plan 8
	if renewed.Since = 8; restarted.HandlePlan(10, renewed, 0) != 0 || restarted.Status(10).PlanNumber != 9 {
		t.Errorf("status %+v after a renewal, want plan 9 without a number to store", restarted.Status(10))
	}
	restarted.HandleRenewal(4000, 9, 0)
	if restarted.Status(8999).Reason != Planned || restarted.Status(9001).Reason != Fallback {
		t.Error("the plan did not expire PlanLifetime after its renewal")
	}
	other := testPlan(10, 0)
	if other.ZonesHash = 1; restarted.HandlePlan(0, other, 0) != 0 {
		t.Error("plan 10, which is for other zones, was accepted, want it ignored")
	}
}

// TestSlowDiskDelaysButDoesNotStopPlans: plans arrive faster than their numbers are stored. Each stored number is newer than the previous
// one, and the newest plan is followed in the end.
func TestSlowDiskDelaysButDoesNotStopPlans(t *testing.T) {
	f, storing, last := New(testSettings()), uint64(0), uint64(0)
	for number := uint64(1); number <= 40; number++ {
		now := 100 * float64(number)
		if next := f.HandlePlan(now, testPlan(number, float64(number%2)), 0); next > 0 && storing > 0 {
			t.Fatalf("number %d is to be stored while %d is being stored", next, storing)
		} else if next > 0 {
			storing = next
		}
		if f.NewestPlan() != number {
			t.Fatalf("plan %d was received, but plan %d is the newest", number, f.NewestPlan())
		}
		if number%7 != 0 { // storing a number takes as long as seven plans
			continue
		}
		stored := storing
		storing = f.NumberStored(storing)
		if s := f.Status(now); s.PlanNumber != stored || s.PlanNumber <= last || s.Reason != Planned || storing != number {
			t.Fatalf("after number %d was stored: status %+v, previous plan %d, next number %d, want %d", stored, s, last, storing, number)
		}
		last = stored
	}
	f.HandleRenewal(8000, 40, 0)
	for storing > 0 {
		storing = f.NumberStored(storing)
	}
	if s := f.Status(12000); s.PlanNumber != 40 || s.Reason != Planned {
		t.Errorf("status %+v in the end, want plan 40 in force", s)
	}
}
