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

func (o oracleObserver) Listed(*discovery.List, bool)                           {}
func (o oracleObserver) AttemptEnded(string, int, decide.Result, float64, bool) {}
func (o oracleObserver) HealthChecked(string, bool)                             {}
func (o oracleObserver) Received(group, class int)                              { o.oracle.received[group][class][o.zone]++ }
func meanWork(c *clients.Class) float64                                         { return (c.Work[0] + c.Work[1]) / 2 }
func servedByAnyMember(c *clients.Class) bool                                   { return c.Read != clients.Write }
func (o *ZoneOracle) smooth(previous, count float64) float64 {
	decay := math.Exp(-o.IntervalMs / loadSmoothingMs)
	return previous*decay + count*1000/o.IntervalMs*(1-decay)
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
	var solutions []plan.Solution
	for k, g := range sim.world.Groups {
		group := plan.Group{Capacities: make([]plan.Capacity, sites)}
		members, lossy := make([]float64, sites), make([]float64, sites)
		for _, s := range g.Members {
			z := s.SiteNo()
			share, lossRate := s.EffectiveCapacity(sim.sched.now)
			group.Capacities[z].Cores += share * float64(sim.script.Fleet.Cores)
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
					group.Flows = append(group.Flows, plan.Flow{Class: c, Zone: z, Load: load})
				} else if g.Primary != nil {
					group.Capacities[g.Primary.SiteNo()].FixedCores += load
				}
			}
		}
		for z := range group.Capacities {
			healthy := members[z] > 0 && lossy[z]*2 < members[z]
			group.Capacities[z].ServesLocal, group.Capacities[z].ServesRemote = healthy, healthy
		}
		groups = append(groups, group)
		solutions = append(solutions, set.Solve(&group))
	}
	matrix, _ := set.Fold(groups, solutions)
	poolersAt := make([][]*pooler, sites)
	for _, p := range sim.poolers {
		if p.up {
			poolersAt[p.no%sites] = append(poolersAt[p.no%sites], p)
		}
	}
	poolerCounts := make([]int, sites)
	for z := range poolersAt {
		poolerCounts[z] = len(poolersAt[z])
	}
	matrix = set.Round(matrix, groups, poolerCounts)
	for z := range poolersAt {
		slices.SortFunc(poolersAt[z], func(a, b *pooler) int { return a.no - b.no })
		for rank, p := range poolersAt[z] {
			target := follower.TargetZone(matrix[z], z, rank, len(poolersAt[z]))
			if previous, ok := o.zoneOf[p.no]; ok && previous != target {
				o.ZoneChanges++
			}
			o.zoneOf[p.no] = target
			p.core.SetZone(sim.script.Sites[target], o.CrossingPrice)
		}
	}
	sim.sched.After(o.IntervalMs, model.Func(o.step), 0)
}
