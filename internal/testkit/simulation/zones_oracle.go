package simulation

import (
	"math"
	"slices"

	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/zones/follower"
	"beechgrade/internal/cluster/zones/plan"
	"beechgrade/internal/decide"
	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/testkit/clients"
	"beechgrade/internal/testkit/model"
)

// ZoneOracle plans zones with the poolers' planner, but from the true state of running poolers, capacities, loss rates and cut links, and
// without delay. It is a reference for the poolers' plans, which have to rely on observations.
type ZoneOracle struct {
	Plan          plan.Settings // classes and delays are taken from the scenario
	CrossingPrice float64       // cost that the poolers' routers add to a read in another zone
	IntervalMs    float64
	MaxLossRate   float64 // a zone serves no reads if at least half of its servers lose a larger share of their requests

	ZoneChanges int // how often a pooler was moved to another zone

	sim      *Simulation
	rates    [][][]float64 // by group, class and zone: smoothed rate of requests per second
	received [][][]float64 // by group, class and zone: requests since the last step
	zoneOf   map[int]int   // by pooler: the zone whose servers it uses as local ones
}

// loadSmoothingMs is the time constant of the exponential smoothing of request rates.
const loadSmoothingMs = 4000

// Join is a ModuleMaker.
func (o *ZoneOracle) Join(h Host) []module.Module {
	p := h.peer.pooler
	if o.sim == nil {
		o.sim, o.zoneOf = p.sim, map[int]int{}
		for range p.sim.world.Groups {
			o.rates, o.received = append(o.rates, o.table()), append(o.received, o.table())
		}
		p.sim.sched.After(o.IntervalMs, model.Func(o.step), 0)
	}
	delete(o.zoneOf, p.no)
	p.core.SetZoneObserver(oracleObserver{o, p.no % len(p.sim.script.Sites)})
	return nil
}

func (o *ZoneOracle) table() (t [][]float64) {
	for range o.sim.script.Clients.Classes {
		t = append(t, make([]float64, len(o.sim.script.Sites)))
	}
	return t
}

// oracleObserver implements core.ZoneObserver.
type oracleObserver struct {
	oracle *ZoneOracle
	zone   int
}

func (x oracleObserver) Listed(*discovery.List, bool)                           {}
func (x oracleObserver) AttemptEnded(string, int, decide.Result, float64, bool) {}
func (x oracleObserver) HealthChecked(string, bool)                             {}
func (x oracleObserver) Received(group, class int)                              { x.oracle.received[group][class][x.zone]++ }
func meanWork(c *clients.Class) float64                                         { return (c.Work[0] + c.Work[1]) / 2 }
func servedByAnyMember(c *clients.Class) bool                                   { return c.Read != clients.Write }
func (o *ZoneOracle) smooth(was, count float64) float64 {
	decay := math.Exp(-o.IntervalMs / loadSmoothingMs)
	return was*decay + count*1000/o.IntervalMs*(1-decay)
}

// step computes a plan from the true state and applies it to each pooler.
func (o *ZoneOracle) step() {
	sim, sites := o.sim, len(o.sim.script.Sites)
	set := o.Plan
	set.Delay = sim.script.Delays()
	for a := range sites {
		for b := range sites {
			if a != b && sim.siteLinks != nil && (sim.siteLinks.Cut(a, b) || sim.siteLinks.Cut(b, a)) {
				set.Delay[a][b] = math.Inf(1)
			}
		}
	}
	classes := sim.script.Clients.Classes
	for i := range classes {
		c := plan.Class{Priority: classes[i].Worth, MaxRoundTrip: classes[i].Aim}
		if classes[i].Read == clients.ReadBounded {
			c.MaxAge = classes[i].Bound
		}
		set.Classes = append(set.Classes, c)
	}
	var groups []plan.Group
	var answers []plan.Solution
	for k, g := range sim.world.Groups {
		x := plan.Group{Capacities: make([]plan.Capacity, sites)}
		members, lossy := make([]float64, sites), make([]float64, sites)
		for _, s := range g.Members {
			z := s.SiteNo()
			share, lossRate := s.EffectiveCapacity(sim.sched.now)
			x.Capacities[z].Cores += share * float64(sim.script.Fleet.Cores)
			if members[z]++; lossRate > o.MaxLossRate {
				lossy[z]++
			}
		}
		for c := range classes {
			for z := range sites {
				o.rates[k][c][z] = o.smooth(o.rates[k][c][z], o.received[k][c][z])
				o.received[k][c][z] = 0
				load := o.rates[k][c][z] * meanWork(&classes[c]) / 1000
				if servedByAnyMember(&classes[c]) {
					x.Flows = append(x.Flows, plan.Flow{Class: c, Zone: z, Load: load})
				} else if g.Primary != nil {
					x.Capacities[g.Primary.SiteNo()].FixedCores += load
				}
			}
		}
		for z := range x.Capacities {
			healthy := members[z] > 0 && lossy[z]*2 < members[z]
			x.Capacities[z].ServesLocal, x.Capacities[z].ServesRemote = healthy, healthy
		}
		groups = append(groups, x)
		answers = append(answers, set.Solve(&x))
	}
	m, _ := set.Fold(groups, answers)
	at := make([][]*pooler, sites)
	for _, p := range sim.poolers {
		if p.up {
			at[p.no%sites] = append(at[p.no%sites], p)
		}
	}
	from := make([]int, sites)
	for z := range at {
		from[z] = len(at[z])
	}
	m = set.Round(m, groups, from)
	for z := range at {
		slices.SortFunc(at[z], func(a, b *pooler) int { return a.no - b.no })
		for rank, p := range at[z] {
			home := follower.TargetZone(m[z], z, rank, len(at[z]))
			if was, ok := o.zoneOf[p.no]; ok && was != home {
				o.ZoneChanges++
			}
			o.zoneOf[p.no] = home
			p.core.SetZone(sim.script.Sites[home], o.CrossingPrice)
		}
	}
	sim.sched.After(o.IntervalMs, model.Func(o.step), 0)
}
