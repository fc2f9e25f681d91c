package simulation

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"

	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/raftlog"
	"beechgrade/internal/cluster/zones"
	"beechgrade/internal/cluster/zones/follower"
	"beechgrade/internal/cluster/zones/health"
	"beechgrade/internal/testkit/checker"
	"beechgrade/internal/testkit/clients"
)

// zonedPlay is a play with zones decided together, and what is held against it.
type zonedPlay struct {
	*ZonePlanning
	*Result
	rules *checker.ZoneChecker
	far   float64 // of the reads that any member may serve at any age, in calm
	steps []step  // what pooler 1 followed
}

type step struct {
	at    float64
	near  float64 // of site 0
	state health.State
	short float64
}

// zoned plays a script with zones decided together, or each pooler for itself; changes are when something begins to befall the fleet and when that ends, by turns.
func zoned(t *testing.T, seed uint64, on bool, script string, changes []float64, mutate func(*zones.Settings, *Options)) *zonedPlay {
	t.Helper()
	s := parse(t, fmt.Sprintf(`(rehearsal "zones" (peers) (near yes) (pushed yes) (cross-price 0.01) (cold 10s) (retries 1) %s)`, script))
	z := &zonedPlay{ZonePlanning: &ZonePlanning{
		Log:         &SharedLog{Settings: raftlog.Defaults(), Voters: 3, Seed: seed, DiskWriteMs: [2]float64{0.1, 2}},
		Settings:    zones.Defaults(),
		PlanWriteMs: 1,
	}}
	z.rules = checker.NewZoneChecker(0.9, 15000, 0.02)
	z.rules.FaultChanged(0)
	for i := 0; i+1 < len(changes); i += 2 {
		z.rules.FaultInjected(changes[i], changes[i+1])
	}
	opt := Options{Seed: seed}
	if mutate != nil {
		mutate(&z.Settings, &opt)
	}
	type ask struct{ at, work float64 }
	asked := make([][]ask, len(s.Sites)) // of the last seconds
	const span = 8000
	lookAt := 0.0
	opt.OnAttemptEnded = func(x *clients.Attempt) {
		if x.Pooler >= 0 && x.Class.Read != clients.Write {
			site := x.Pooler % len(s.Sites)
			asked[site] = append(asked[site], ask{x.Ended, (x.Class.Work[0] + x.Class.Work[1]) / 2})
		}
	}
	opt.OnRead = func(at float64, c *clients.Class, _ int, _ float64, far bool) {
		if c.Read == clients.ReadAny {
			z.rules.ReadSent(at-startTimeMs, far)
		}
		if !on || at < lookAt {
			return
		}
		lookAt = at + 1000
		loads := make([]float64, len(asked))
		for i := range asked {
			asked[i] = slices.DeleteFunc(asked[i], func(a ask) bool { return a.at < at-span })
			for _, a := range asked[i] {
				loads[i] += a.work / span
			}
		}
		for p := range s.Poolers {
			x := z.Adapter(p)
			if x == nil {
				continue
			}
			if _, plan := x.Status(); plan != nil {
				z.rules.PlanFollowed(at-startTimeMs, p, plan.Number, xxhash.Sum64(plan.Append(nil)))
			}
		}
		if z.Adapter(1) == nil {
			return
		}
		if p, plan := z.Adapter(1).Status(); p.Reason == follower.Planned {
			z.rules.CheckPlan(at-startTimeMs, plan.Number, plan.Matrix, loads, z.Cores(1))
		}
	}
	z.OnPlanStored = func(p int, _ uint64) {
		_, plan := z.Adapter(p).Status()
		if plan == nil {
			return // a newer one was heard meanwhile
		}
		at := z.Now(p) - startTimeMs
		z.rules.PlanFollowed(at, p, plan.Number, xxhash.Sum64(plan.Append(nil)))
		if p == 1 {
			z.steps = append(z.steps, step{at, plan.Matrix[0][0], plan.Zones[0].State, plan.Unserved})
		}
	}
	if on {
		opt.Modules = []ModuleMaker{z.Join}
	}
	z.Result = play(t, s, opt)
	z.far = z.rules.Finish(s.Clients.Seconds * 1000)
	return z
}

const threeZones = `(sites "a" "b" "c") (cross 1ms 2ms) (poolers 12) (groups 3 3) (rate 50) `

func (z *zonedPlay) hold(t *testing.T) {
	t.Helper()
	for _, b := range z.rules.Breaches {
		t.Errorf("%s at %.0f: %s", b.Rule, b.At, b.Text)
	}
	for _, b := range z.Verdict.Breaches {
		if b.Rule == checker.NoBlackout { // nobody tells others of servers here; who is near keeps others away
			continue
		}
		t.Errorf("%s at %.0f: %s", b.Rule, b.At, b.Text)
	}
}

// until is when pooler 1 first followed a plan, from a time on, by which site a's reads near are as wanted; below 0 for never.
func (z *zonedPlay) until(from float64, ok func(s *step) bool) float64 {
	for i := range z.steps {
		if s := &z.steps[i]; s.at >= from && ok(s) {
			return s.at - from
		}
	}
	return -1
}

// TestZonesLost: a zone loses its power and has it again, cold. The fleet leaves it within the bound, comes back in steps, and in calm next to
// nothing crosses.
func TestZonesLost(t *testing.T) {
	t.Parallel()
	z := zoned(t, 1, true, threeZones+`(seconds 90) (at 20s (power "a") (for 10s))`, []float64{20000, 65000}, nil)
	z.hold(t)
	bound := z.Settings.DecisionBound(2, 2, 1)
	if out := z.until(20000, func(s *step) bool { return s.near == 0 }); out < 0 || out > bound+1500 { // and the list is late
		t.Errorf("left after %.0f ms, bound %.0f", out, bound)
	}
	back := z.until(30000, func(s *step) bool { return s.near == 1 })
	if last := z.steps[len(z.steps)-1]; back < z.Settings.Planner.Health.MinRest-10000 || last.state != health.Serving {
		t.Errorf("back after %.0f ms, %v at the end", back, last.state)
	}
	if p, _ := z.Adapter(5).Status(); p.Reason != follower.Planned {
		t.Errorf("%+v", p)
	}
}

// TestZonesHalfAlive: probes pass and a third of requests vanish: the zone is left, and is back when it is well.
func TestZonesHalfAlive(t *testing.T) {
	t.Parallel()
	z := zoned(t, 2, true, threeZones+`(seconds 130) (at 15s (lose site "a" 0.4) (for 30s))`, []float64{15000, 130000}, nil) // calm is not looked at
	z.hold(t)
	if out := z.until(15000, func(s *step) bool { return s.near == 0 }); out < 0 || out > 15000 {
		t.Errorf("left after %.0f ms: %+v", out, z.steps)
	}
	if last := z.steps[len(z.steps)-1]; last.near != 1 {
		t.Errorf("%+v in the end", last)
	}
}

// TestZonesCutOff: a zone is cut off from the others but fine inside: its poolers fall back, and its reads of any age are served there; the voters
// that are left go on.
func TestZonesCutOff(t *testing.T) {
	t.Parallel()
	z := zoned(t, 3, true, threeZones+`(seconds 60) (at 15s (routes "a" ("b" "c") cut) (for 15s))`, []float64{15000, 35000}, nil)
	z.hold(t)
	for p := range 12 {
		c := z.Adapter(p).Counts()
		if cut := p%3 == 0; cut != (c.Fallbacks > 0) {
			t.Errorf("pooler %d fell back %d times", p, c.Fallbacks)
		}
		if s, _ := z.Adapter(p).Status(); s.Reason != follower.Planned {
			t.Errorf("pooler %d: %+v in the end", p, s)
		}
	}
}

// otherPlan has a voter tell a plan that was not agreed.
func otherPlan(no int, w module.Message) module.Message {
	x, ok := w.(*zones.PlanUpdate)
	if !ok || no != 1 || x.Plan == nil {
		return w
	}
	p := *x.Plan
	p.Matrix = slices.Concat(p.Matrix[1:], p.Matrix[:1])
	return &zones.PlanUpdate{PlanNumber: x.PlanNumber, AgeMs: x.AgeMs, Plan: &p}
}

// olds has a voter tell the first plan that it ever told in every other word.
func olds() func(no int, w module.Message) module.Message {
	var first *zones.PlanUpdate
	n := 0
	return func(no int, w module.Message) module.Message {
		x, ok := w.(*zones.PlanUpdate)
		if !ok || no != 1 {
			return w
		}
		if first == nil && x.Plan != nil {
			first = &zones.PlanUpdate{PlanNumber: x.PlanNumber, Plan: x.Plan}
		}
		if n++; first == nil || n%2 == 0 {
			return w
		}
		return first
	}
}

// TestZonesMutants: what breaks a rule on purpose is found, and nothing is where it is left out.
func TestZonesMutants(t *testing.T) {
	t.Parallel()
	for _, x := range []struct {
		rule         checker.Rule
		rate, script string
		changes      []float64
		both         func(*Options)
		mutate       func(*zones.Settings, *Options)
	}{
		{checker.NearCalm, "(rate 50)", `(seconds 40)`, nil, nil, func(s *zones.Settings, _ *Options) { s.CrossingPrice = 0 }},
		{checker.OnePlan, "(rate 30)", `(seconds 20)`, nil, nil, func(_ *zones.Settings, o *Options) { o.Mutant = &Mutant{ModuleMessage: otherPlan} }},
		{checker.OldPlan, "(rate 30)", `(seconds 20)`, nil, func(o *Options) { o.Mutant = &Mutant{ModuleMessage: olds()} }, func(s *zones.Settings, _ *Options) { s.FollowsAnyPlan = true }},
		{checker.FullZone, "(rate 300)", `(seconds 28) (at 4s (die site "a") (for 60s)) (at 4s (die site "b") (for 60s))`, []float64{4000, 64000}, nil, func(s *zones.Settings, _ *Options) { s.Planner.Plan.SpareShare = -4 }},
	} {
		t.Run(string(x.rule), func(t *testing.T) {
			t.Parallel()
			script := strings.Replace(threeZones, "(rate 50)", x.rate, 1) + x.script
			mutant := func(on bool) func(*zones.Settings, *Options) {
				return func(s *zones.Settings, o *Options) {
					if x.both != nil {
						x.both(o)
					}
					if on {
						x.mutate(s, o)
					}
				}
			}
			if z := zoned(t, 1, true, script, x.changes, mutant(false)); len(z.rules.Breaches) > 0 {
				t.Errorf("without: %+v", z.rules.Breaches[0])
			}
			z := zoned(t, 1, true, script, x.changes, mutant(true))
			if !slices.ContainsFunc(z.rules.Breaches, func(b checker.Breach) bool { return b.Rule == x.rule }) {
				t.Errorf("it is not found: %+v; %+v, %d plans held", z.rules.Breaches, z.steps, z.rules.PlansChecked)
			}
		})
	}
}
