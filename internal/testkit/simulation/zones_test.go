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

// zonesRun is a run with zone planning, and what the checker of zones found.
type zonesRun struct {
	*ZonePlanning
	*Result
	rules       *checker.ZoneChecker
	remoteShare float64    // of the reads while calm that any member may serve at any staleness
	steps       []planStep // plans that pooler 1 followed
}

// planStep is a plan that a pooler followed.
type planStep struct {
	at         float64
	localShare float64      // of the reads of site 0 that stay there
	state      health.State // of site 0
	unserved   float64      // cores that are missing
}

// runZones runs a scenario with zone planning, or with each pooler for itself. faultTimes holds the start and end time of each fault in turn.
func runZones(t *testing.T, seed uint64, on bool, script string, faultTimes []float64, mutate func(*zones.Settings, *Options)) *zonesRun {
	t.Helper()
	s := parse(t, fmt.Sprintf(`(rehearsal "zones" (peers) (near yes) (pushed yes) (cross-price 0.01) (cold 10s) (retries 1) %s)`, script))
	z := &zonesRun{ZonePlanning: &ZonePlanning{
		Log:         &SharedLog{Settings: raftlog.Defaults(), Voters: 3, Seed: seed, DiskWriteMs: [2]float64{0.1, 2}},
		Settings:    zones.Defaults(),
		PlanWriteMs: 1,
	}}
	z.rules = checker.NewZoneChecker(0.9, 15000, 0.02)
	z.rules.FaultChanged(0)
	for i := 0; i+1 < len(faultTimes); i += 2 {
		z.rules.FaultInjected(faultTimes[i], faultTimes[i+1])
	}
	opt := Options{Seed: seed}
	if mutate != nil {
		mutate(&z.Settings, &opt)
	}
	type read struct{ at, work float64 }
	reads := make([][]read, len(s.Sites)) // work of the reads of the last loadWindowMs, by site
	const loadWindowMs = 8000
	nextCheck := 0.0
	opt.OnAttemptEnded = func(x *clients.Attempt) {
		if x.Pooler >= 0 && x.Class.Read != clients.Write {
			site := x.Pooler % len(s.Sites)
			reads[site] = append(reads[site], read{x.Ended, (x.Class.Work[0] + x.Class.Work[1]) / 2})
		}
	}
	opt.OnRead = func(at float64, c *clients.Class, _ int, _ float64, remote bool) {
		if c.Read == clients.ReadAny {
			z.rules.ReadSent(at-startTimeMs, remote)
		}
		if !on || at < nextCheck {
			return
		}
		nextCheck = at + 1000
		loads := make([]float64, len(reads))
		for i := range reads {
			reads[i] = slices.DeleteFunc(reads[i], func(r read) bool { return r.at < at-loadWindowMs })
			for _, r := range reads[i] {
				loads[i] += r.work / loadWindowMs
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
			return // a newer plan has been received meanwhile
		}
		at := z.Now(p) - startTimeMs
		z.rules.PlanFollowed(at, p, plan.Number, xxhash.Sum64(plan.Append(nil)))
		if p == 1 {
			z.steps = append(z.steps, planStep{at, plan.Matrix[0][0], plan.Zones[0].State, plan.Unserved})
		}
	}
	if on {
		opt.Modules = []ModuleMaker{z.Join}
	}
	z.Result = runScenario(t, s, opt)
	z.remoteShare = z.rules.Finish(s.Clients.Seconds * 1000)
	return z
}

const threeZones = `(sites "a" "b" "c") (cross 1ms 2ms) (poolers 12) (groups 3 3) (rate 50) `

// checkRules reports the breaches of rules as errors.
func (z *zonesRun) checkRules(t *testing.T) {
	t.Helper()
	for _, b := range z.rules.Breaches {
		t.Errorf("breach of rule %q at %.0f ms: %s", b.Rule, b.At, b.Text)
	}
	for _, b := range z.Verdict.Breaches {
		if b.Rule == checker.NoBlackout { // poolers share no observations of servers here, and use servers of their own zone
			continue
		}
		t.Errorf("breach of rule %q at %.0f ms: %s", b.Rule, b.At, b.Text)
	}
}

// timeUntil returns the time from a given time until pooler 1 first followed a plan for which ok is true; it is negative if there was none.
func (z *zonesRun) timeUntil(from float64, ok func(s *planStep) bool) float64 {
	for i := range z.steps {
		if s := &z.steps[i]; s.at >= from && ok(s) {
			return s.at - from
		}
	}
	return -1
}

// TestZonePowerLoss: a zone loses its power and returns with cold servers. The plans move reads out of the zone within the bound and return
// them in steps, and while the fleet is calm next to no reads cross zones.
func TestZonePowerLoss(t *testing.T) {
	t.Parallel()
	z := runZones(t, 1, true, threeZones+`(seconds 90) (at 20s (power "a") (for 10s))`, []float64{20000, 65000}, nil)
	z.checkRules(t)
	bound := z.Settings.DecisionBound(2, 2, 1)
	if out := z.timeUntil(20000, func(s *planStep) bool { return s.localShare == 0 }); out < 0 || out > bound+1500 { // the endpoint list changes up to 1.5 s later
		t.Errorf("reads left the zone after %.0f ms; want at most 1500 ms more than the bound of %.0f ms", out, bound)
	}
	back := z.timeUntil(30000, func(s *planStep) bool { return s.localShare == 1 })
	if last := z.steps[len(z.steps)-1]; back < z.Settings.Planner.Health.MinRest-10000 || last.state != health.Serving {
		t.Errorf("reads were back after %.0f ms, last state %v; want a rest of the zone before, and state serving at the end", back, last.state)
	}
	if p, _ := z.Adapter(5).Status(); p.Reason != follower.Planned {
		t.Errorf("status of pooler 5 at the end: %+v; want a followed plan", p)
	}
}

// TestZoneLosingRequests: health checks pass but 0.4 of the requests to a zone are lost. The plans move reads out of the zone, and back after
// the fault.
func TestZoneLosingRequests(t *testing.T) {
	t.Parallel()
	z := runZones(t, 2, true, threeZones+`(seconds 130) (at 15s (lose site "a" 0.4) (for 30s))`, []float64{15000, 130000}, nil) // no time counts as calm
	z.checkRules(t)
	if out := z.timeUntil(15000, func(s *planStep) bool { return s.localShare == 0 }); out < 0 || out > 15000 {
		t.Errorf("reads left the zone after %.0f ms; want at most 15000 ms; plans: %+v", out, z.steps)
	}
	if last := z.steps[len(z.steps)-1]; last.localShare != 1 {
		t.Errorf("last plan: %+v; want all reads local", last)
	}
}

// TestZoneCutOff: a zone is cut off from the others but intact inside. Its poolers fall back and serve reads of any staleness there, and the
// poolers of the other zones follow the plans of the remaining voters.
func TestZoneCutOff(t *testing.T) {
	t.Parallel()
	z := runZones(t, 3, true, threeZones+`(seconds 60) (at 15s (routes "a" ("b" "c") cut) (for 15s))`, []float64{15000, 35000}, nil)
	z.checkRules(t)
	for p := range 12 {
		c := z.Adapter(p).Counts()
		if cut := p%3 == 0; cut != (c.Fallbacks > 0) {
			t.Errorf("pooler %d fell back %d times; want a fallback exactly in the zone that is cut off", p, c.Fallbacks)
		}
		if s, _ := z.Adapter(p).Status(); s.Reason != follower.Planned {
			t.Errorf("status of pooler %d at the end: %+v; want a followed plan", p, s)
		}
	}
}

// sendsOtherPlan makes pooler 1, a voter, send a plan with other contents than the agreed one of the same number.
func sendsOtherPlan(no int, message module.Message) module.Message {
	x, ok := message.(*zones.PlanUpdate)
	if !ok || no != 1 || x.Plan == nil {
		return message
	}
	p := *x.Plan
	p.Matrix = slices.Concat(p.Matrix[1:], p.Matrix[:1])
	return &zones.PlanUpdate{PlanNumber: x.PlanNumber, AgeMs: x.AgeMs, Plan: &p}
}

// resendsFirstPlan makes pooler 1, a voter, send the first plan that it ever sent in every other message.
func resendsFirstPlan() func(no int, message module.Message) module.Message {
	var first *zones.PlanUpdate
	n := 0
	return func(no int, message module.Message) module.Message {
		x, ok := message.(*zones.PlanUpdate)
		if !ok || no != 1 {
			return message
		}
		if first == nil && x.Plan != nil {
			first = &zones.PlanUpdate{PlanNumber: x.PlanNumber, Plan: x.Plan}
		}
		if n++; first == nil || n%2 == 0 {
			return message
		}
		return first
	}
}

// TestZoneMutants: the checker of zones detects each deliberate error by the rule that it breaks, and without the error no rule is broken.
func TestZoneMutants(t *testing.T) {
	t.Parallel()
	for _, x := range []struct {
		rule         checker.Rule
		rate, script string
		faultTimes   []float64
		setup        func(*Options)
		mutate       func(*zones.Settings, *Options)
	}{
		{checker.NearCalm, "(rate 50)", `(seconds 40)`, nil, nil, func(s *zones.Settings, _ *Options) { s.CrossingPrice = 0 }},
		{checker.OnePlan, "(rate 30)", `(seconds 20)`, nil, nil, func(_ *zones.Settings, o *Options) { o.Mutant = &Mutant{ModuleMessage: sendsOtherPlan} }},
		{checker.OldPlan, "(rate 30)", `(seconds 20)`, nil, func(o *Options) { o.Mutant = &Mutant{ModuleMessage: resendsFirstPlan()} }, func(s *zones.Settings, _ *Options) { s.FollowsAnyPlan = true }},
		{checker.FullZone, "(rate 300)", `(seconds 28) (at 4s (die site "a") (for 60s)) (at 4s (die site "b") (for 60s))`, []float64{4000, 64000}, nil, func(s *zones.Settings, _ *Options) { s.Planner.Plan.SpareShare = -4 }},
	} {
		t.Run(string(x.rule), func(t *testing.T) {
			t.Parallel()
			script := strings.Replace(threeZones, "(rate 50)", x.rate, 1) + x.script
			mutant := func(on bool) func(*zones.Settings, *Options) {
				return func(s *zones.Settings, o *Options) {
					if x.setup != nil {
						x.setup(o)
					}
					if on {
						x.mutate(s, o)
					}
				}
			}
			if z := runZones(t, 1, true, script, x.faultTimes, mutant(false)); len(z.rules.Breaches) > 0 {
				t.Errorf("rules are broken without the mutant, want none; the first breach: %+v", z.rules.Breaches[0])
			}
			z := runZones(t, 1, true, script, x.faultTimes, mutant(true))
			if !slices.ContainsFunc(z.rules.Breaches, func(b checker.Breach) bool { return b.Rule == x.rule }) {
				t.Errorf("rule %q is not broken with the mutant; breaches: %+v; plans: %+v; %d plans checked", x.rule, z.rules.Breaches, z.steps, z.rules.PlansChecked)
			}
		})
	}
}
