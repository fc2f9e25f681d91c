package planner

import (
	"math"
	"runtime"
	"slices"
	"testing"
	"time"

	"beechgrade/internal/cluster/zones/health"
	"beechgrade/internal/cluster/zones/plan"
	"beechgrade/internal/cluster/zones/statemachine"
	"beechgrade/internal/invariant"
)

const (
	period  = 500.0
	poolers = 10 // of each zone
)

// fleet simulates zones with one group and the reports of their poolers to the leader's planner. Poolers follow the plan in force, and their
// attempts are lost according to the injected faults.
type fleet struct {
	t          *testing.T
	settings   Settings
	machine    *statemachine.StateMachine
	leader     *Planner
	now        float64
	index      uint64
	cores      []float64            // that serve, by zone
	fullCores  []float64            // in normal operation, by zone
	lossShares []float64            // part of the attempts in a zone that is lost
	cutLinks   [][2]int             // over which all attempts are lost
	loads      []float64            // cores of load that poolers of a zone receive
	silent     []bool               // poolers of the zone send no reports
	plans      []*statemachine.Plan // in order
	abandoned  []bool               // by zone, according to the last plan
	shifts     []float64            // times at which a zone was abandoned or restored
}

func testSettings(zones int) Settings {
	s := Settings{Name: "a", ZonesHash: 1, Zones: zones, Health: health.Defaults(), ReportLifetime: 1600, Window: 1000, LoadMemory: 3000, StepInterval: 1000, OutwardShare: 0.34, ReturnShare: 0.1, RenewInterval: 2000, SettleTime: 1000, ProposalTimeout: 1000}
	s.Plan = plan.Settings{Classes: []plan.Class{{Priority: 1}}, CrossingPrice: 1, SpareShare: 0.2, LocalSpareShare: 0.2}
	for a := range zones {
		s.Plan.Delay = append(s.Plan.Delay, make([]float64, zones))
		for b := range zones {
			s.Plan.Delay[a][b] = math.Abs(float64(a - b))
		}
	}
	return s
}

func newFleet(t *testing.T, zones int) *fleet {
	f := &fleet{t: t, settings: testSettings(zones), machine: statemachine.New(), now: 1e6, abandoned: make([]bool, zones), silent: make([]bool, zones), lossShares: make([]float64, zones)}
	f.machine.Checks = invariant.Test(t)
	for range zones {
		f.cores, f.fullCores, f.loads = append(f.cores, 10), append(f.fullCores, 10), append(f.loads, 4)
	}
	f.elect("a")
	return f
}

// elect starts a new planner as the leader.
func (f *fleet) elect(name string) {
	f.settings.Name = name
	f.leader = New(f.settings)
	f.leader.SetLeading(f.now, true, f.machine.Plan)
}

func (f *fleet) matrix() plan.Matrix {
	if f.machine.Plan == nil {
		return plan.IdentityMatrix(f.settings.Zones)
	}
	return f.machine.Plan.Matrix
}

// apply applies entries as the replicated log does, and checks the plans among them.
func (f *fleet) apply(entries [][]byte) {
	for _, entry := range entries {
		f.index++
		if !f.machine.Apply(f.index, entry) || entry[0] != 1 {
			continue
		}
		p := f.machine.Plan
		f.plans = append(f.plans, p)
		if fill := f.leader.planSettings.MaxFill(p.Matrix, f.leader.snapshot.Groups); len(f.leader.snapshot.Groups) > 0 && f.now-f.leader.leadingSince > f.settings.SettleTime && fill > 1.02 {
			f.t.Errorf("at %.0f ms plan %d sends a receiving zone %.2f of its safe capacity, want at most 1.02: matrix %v", f.now-1e6, p.Number, fill, p.Matrix)
		}
		for z := range f.abandoned {
			if abandoned := p.Zones[z].State.Abandoned(); abandoned != f.abandoned[z] {
				f.abandoned[z], f.shifts = abandoned, append(f.shifts, f.now)
			}
		}
	}
}

// report sends a report of each pooler to the leader.
func (f *fleet) report() {
	zones := f.settings.Zones
	for from := range zones {
		if f.silent[from] {
			continue
		}
		report := Report{Zone: from, Demands: []Demand{{0, 0, f.loads[from]}}}
		for to := range zones {
			c := Cell{Zone: to, Cores: f.cores[to], FullCores: f.fullCores[to], Attempts: 1 + 100*f.matrix()[from][to]}
			c.Lost = c.Attempts * f.lossShares[to]
			if f.cores[to] == 0 {
				c.Lost = c.Attempts
			}
			for _, link := range f.cutLinks {
				if link == [2]int{from, to} {
					c.Attempts, c.Lost = 30, 30
				}
			}
			report.Cells = append(report.Cells, c)
		}
		for i := range report.Cells {
			report.Cells[i].Attempts, report.Cells[i].Lost = report.Cells[i].Attempts/poolers, report.Cells[i].Lost/poolers
		}
		report.Demands[0].Load /= poolers
		for i := range poolers {
			f.leader.Receive(f.now, uint64(from*poolers+i+1), &report)
		}
	}
}

// run simulates a time in ms.
func (f *fleet) run(ms float64) {
	for end := f.now + ms; f.now < end; f.now += period {
		f.report()
		f.apply(f.leader.Step(f.now, f.machine))
	}
}

// runUntil runs until a condition holds, for at most limit ms, and returns how long that took.
func (f *fleet) runUntil(limit float64, what string, holds func() bool) float64 {
	from := f.now
	for !holds() {
		if f.now-from > limit {
			f.t.Fatalf("%q was not reached within %.0f ms: matrix %v, zones %v", what, limit, f.matrix(), f.machine.Plan.Zones)
		}
		f.run(period)
	}
	return f.now - from
}

// TestUnchangedPlanIsRenewed: while local capacity is safe all reads stay local, and the plan is renewed every RenewInterval and no more
// often.
func TestUnchangedPlanIsRenewed(t *testing.T) {
	f := newFleet(t, 3)
	f.run(60000)
	if n := len(f.plans); n < 20 || n > 32 {
		t.Errorf("%d plans in a minute, want 20 to 32", n)
	}
	if share := f.matrix().CrossingShare(f.leader.snapshot.Groups); share != 0 {
		t.Errorf("a share of %.3f crosses zones, want none", share)
	}
}

// TestLostZoneIsLeftAndReturnsSlowly: all servers of a zone are lost. Its reads go to other zones within the bound, and return in small
// steps once the servers are back.
func TestLostZoneIsLeftAndReturnsSlowly(t *testing.T) {
	f := newFleet(t, 3)
	f.run(10000)
	f.cores[0] = 0
	took := f.runUntil(20000, "evacuated", func() bool { return f.matrix()[0][0] == 0 })
	if bound := f.settings.Health.FailureTime + f.settings.Window + 2*f.settings.StepInterval + 2*period; took > bound {
		t.Errorf("zone 0 was evacuated after %.0f ms, want at most %.0f", took, bound)
	}
	f.run(20000)
	f.cores[0] = 10
	previous := 0.0
	took = f.runUntil(120000, "back", func() bool {
		if share := f.matrix()[0][0]; share < previous-0.001 || share > previous+f.settings.ReturnShare+0.002 {
			t.Fatalf("local share %.2f after %.2f, want an increase of at most %.2f", share, previous, f.settings.ReturnShare)
		} else {
			previous = share
		}
		return previous == 1
	})
	if took < f.settings.StepInterval/f.settings.ReturnShare-f.settings.StepInterval || f.leader.Zone(0).State != health.Returning && f.leader.Zone(0).State != health.Serving {
		t.Errorf("all reads returned after %.0f ms in state %v, want returning or serving, and one step per StepInterval", took, f.leader.Zone(0).State)
	}
}

// TestLossyZoneRestsLongerEachTime: health checks succeed while a third of the attempts is lost. The zone is abandoned, for longer each
// time.
func TestLossyZoneRestsLongerEachTime(t *testing.T) {
	f := newFleet(t, 2)
	f.run(5000)
	f.lossShares[1] = 0.33
	f.runUntil(20000, "evacuated", func() bool { return f.matrix()[1][1] == 0 })
	f.run(280000)
	if n := len(f.shifts); n < 3 || n > f.settings.Health.MaxShifts(240000)+1 {
		t.Errorf("%d shifts in the whole run, want 3 to %d: %v", n, f.settings.Health.MaxShifts(240000)+1, f.shifts)
	}
	f.lossShares[1] = 0
	f.runUntil(400000, "back", func() bool { return f.matrix()[1][1] == 1 && f.leader.Zone(1).State == health.Serving })
}

// TestUnservedWorkIsReported: two zones are strained at once, then the third one is lost. Load without safe capacity is reported, and no
// receiving zone is sent more than its safe capacity.
func TestUnservedWorkIsReported(t *testing.T) {
	f := newFleet(t, 3)
	f.loads = []float64{9, 9, 3}
	f.run(30000)
	if planner := f.leader; planner.Zone(0).State != health.Strained || planner.Zone(1).State != health.Strained || f.matrix()[0][2]+f.matrix()[1][2] == 0 || f.machine.Plan.Unserved > 0 {
		t.Errorf("zones %v and %v, matrix %v, %.2f cores unserved; want both strained, reads in zone 2, nothing unserved", planner.Zone(0).State, planner.Zone(1).State, f.matrix(), f.machine.Plan.Unserved)
	}
	f.cores[2] = 0
	f.run(30000)
	if f.machine.Plan.Unserved < 4 || f.matrix()[0][2] > 0 {
		t.Errorf("%.2f cores unserved, matrix %v; want at least 4 unserved and no reads in zone 2", f.machine.Plan.Unserved, f.matrix())
	}
}

// TestReceivingZoneFailsToo: the zone that receives the reads of an evacuated one fails too; all reads go to the third zone.
func TestReceivingZoneFailsToo(t *testing.T) {
	f := newFleet(t, 3)
	f.loads = []float64{2, 2, 2}
	f.run(5000)
	f.cores[0] = 0
	f.runUntil(20000, "evacuated", func() bool { return f.matrix()[0][1] == 1 })
	f.cores[1] = 0
	f.runUntil(20000, "evacuated once more", func() bool { return f.matrix()[0][2] == 1 && f.matrix()[1][2] == 1 })
}

// TestFlappingLinkShiftsRarely: a link that is cut and restored again and again moves reads no more often than MaxShifts.
func TestFlappingLinkShiftsRarely(t *testing.T) {
	f := newFleet(t, 3)
	f.loads, f.cores[0] = []float64{2, 2, 2}, 0
	f.run(30000)
	last, shifts := f.matrix()[0][1] > 0.5, 0
	from := f.now
	for f.now < from+60000 {
		f.cutLinks = [][2]int{{0, 1}}
		f.run(3000)
		if on := f.matrix()[0][1] > 0.5; on != last {
			last, shifts = on, shifts+1
		}
		f.cutLinks = nil
		f.run(1500)
		if on := f.matrix()[0][1] > 0.5; on != last {
			last, shifts = on, shifts+1
		}
	}
	if shifts == 0 || shifts > f.settings.Health.MaxShifts(60000) {
		t.Errorf("reads shifted between zones %d times in a minute, want 1 to %d", shifts, f.settings.Health.MaxShifts(60000))
	}
}

// TestOrderSurvivesLeaderChanges: operators evacuate a zone while another one is being abandoned. Leaders change meanwhile, and a former
// leader proposes a plan late. The order holds.
func TestOrderSurvivesLeaderChanges(t *testing.T) {
	f := newFleet(t, 3)
	f.loads = []float64{2, 2, 2}
	f.run(5000)
	f.lossShares[0] = 0.5
	f.runUntil(10000, "first reads moved", func() bool { return f.matrix()[0][0] < 1 })
	former := f.leader
	f.apply([][]byte{statemachine.EncodeOrder(&statemachine.Order{Number: 1, Zone: 2, State: health.Evacuated, Until: f.now + 60000})})
	if clone := f.machine.Clone(); clone.Apply(1<<40, statemachine.EncodePlan(&statemachine.Plan{Number: clone.Plan.Number + 1, Version: 0, Zones: clone.Plan.Zones, Matrix: plan.IdentityMatrix(3)})) {
		t.Error("a plan made without the order was accepted")
	}
	f.elect("b")
	f.runUntil(20000, "both evacuated", func() bool { return f.matrix()[0][1] == 1 && f.matrix()[2][1] == 1 })
	number := f.machine.Plan.Number
	former.proposedNumber = 0
	for _, entry := range former.Step(f.now, statemachine.New()) { // a paused process with an outdated state machine
		if f.index++; f.machine.Apply(f.index, entry) {
			t.Error("an outdated plan was accepted")
		}
	}
	restored := statemachine.New()
	if err := restored.Restore(f.machine.Snapshot()); err != nil || restored.Plan.Number != number {
		t.Fatalf("restored state machine: plan %+v, error %v; want plan %d", restored.Plan, err, number)
	}
	f.machine = restored
	f.elect("c")
	for range 10 {
		if f.run(period); f.matrix()[0][1] != 1 || f.matrix()[2][1] != 1 {
			t.Fatalf("matrix %v after a restart of all voters, want all reads in zone 1", f.matrix())
		}
	}
	f.run(20000)
	if order, ok := f.machine.Order(2); !ok || order.Number != 1 || f.matrix()[2][2] != 0 {
		t.Errorf("active order %+v, matrix %v; want order 1, and no reads in zone 2", order, f.matrix())
	}
	f.runUntil(60000, "the order's end", func() bool { _, ok := f.machine.Order(2); return !ok })
	f.runUntil(60000, "back", func() bool { return f.matrix()[2][2] == 1 })
}

// TestLoadDoublesDuringReturn: the load doubles while a zone returns.
func TestLoadDoublesDuringReturn(t *testing.T) {
	f := newFleet(t, 2)
	f.loads = []float64{3, 3}
	f.run(5000)
	f.cores[0] = 0
	f.run(30000)
	f.cores[0] = 10
	f.runUntil(60000, "half way", func() bool { return f.matrix()[0][0] > 0.4 })
	f.loads = []float64{6, 6}
	f.run(60000)
	if m := f.matrix(); m[0][0] != 1 || f.machine.Plan.Unserved > 0 {
		t.Errorf("matrix %v, %.2f cores unserved; want all reads local and nothing unserved", m, f.machine.Plan.Unserved)
	}
}

// BenchmarkStep measures a step of the planner with nine zones, 90 poolers, and 20 groups with a server in every zone, while a zone is lost
// and restored. This is the longest time for which package zones occupies the leader's event loop, except for received reports.
func BenchmarkStep(b *testing.B) {
	settings := testSettings(9)
	heap := func() float64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc) / (1 << 20)
	}
	before := heap()
	planner, machine := New(settings), statemachine.New()
	planner.SetLeading(1, true, nil)
	now, took := 1.0, []float64{}
	for range b.N {
		for p := range uint64(90) {
			report := &Report{Zone: int(p % 9)}
			for g := range 20 {
				for z := range 9 {
					c := Cell{Group: g, Zone: z, Attempts: 3, Cores: 4, FullCores: 4}
					if z == 0 && len(took)%2 == 1 {
						c.Cores, c.Lost = 0, 3
					}
					report.Cells = append(report.Cells, c)
				}
				report.Demands = append(report.Demands, Demand{Group: g, Load: 0.1})
			}
			planner.Receive(now, p, report)
		}
		from := time.Now()
		entries := planner.Step(now, machine)
		took = append(took, float64(time.Since(from).Microseconds())/1000)
		for i, entry := range entries {
			machine.Apply(machine.Index+uint64(i)+1, entry)
		}
		now += settings.StepInterval / 4
	}
	slices.Sort(took)
	b.ReportMetric(heap()-before, "MB-kept")
	runtime.KeepAlive(planner)
	b.ReportMetric(took[len(took)/2], "p50-ms")
	b.ReportMetric(took[len(took)*99/100], "p99-ms")
}
