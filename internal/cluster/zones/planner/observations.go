package planner

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"beechgrade/internal/cluster/zones/health"
	"beechgrade/internal/cluster/zones/plan"
	"beechgrade/internal/cluster/zones/statemachine"
)

const (
	emptyZoneShare         = 0.05 // a zone with less of its servers than this is left at once
	returningCapacityShare = 0.25 // of a zone's room is there when it begins to return
	fullCapacityShare      = 1.0
	minAttempts            = 1e-9
)

// sample makes a picture of what was told, and has the zones and ways take it.
func (planner *Planner) sample(now float64, b *statemachine.StateMachine) {
	planner.snapshot = Snapshot{Observations: make([]health.Observation, planner.settings.Zones)}
	groups, cells := planner.collectCells()
	planner.smoothLoads(now, groups)
	planner.countOutcomes(now, cells)
	for z := range planner.zones {
		planner.snapshot.Observations[z] = planner.observeZone(z, cells)
	}
	planner.planSettings = planner.settings.Plan
	planner.planSettings.Delay = make([][]float64, planner.settings.Zones)
	for z := range planner.planSettings.Delay {
		planner.planSettings.Delay[z] = slices.Clone(planner.settings.Plan.Delay[z])
	}
	planner.fillGroups(groups, cells, now)
	for z := range planner.zones {
		planner.snapshot.Observations[z].Load = planner.nearLoad(z)
		planner.zones[z].Step(&planner.settings.Health, now, &planner.snapshot.Observations[z])
	}
	for a := range planner.links {
		for b := range planner.links[a] {
			if a == b {
				continue
			}
			w := &planner.links[a][b]
			e := planner.observeLink(a, b)
			if w.Step(&planner.settings.Health, now, &e); w.State.Abandoned() {
				planner.planSettings.Delay[a][b] = math.Inf(1)
			}
		}
	}
	planner.fillGroups(groups, cells, now)
	var answers []plan.Solution
	for i := range planner.snapshot.Groups {
		answers = append(answers, planner.planSettings.Solve(&planner.snapshot.Groups[i]))
	}
	planner.snapshot.Target, planner.snapshot.Unserved = planner.planSettings.Fold(planner.snapshot.Groups, answers)
	planner.snapshot.Crossing = planner.snapshot.Target.CrossingShare(planner.snapshot.Groups)
}

// collectCells sorts what was told: which groups there are, and what each zone's poolers say of each cell.
func (planner *Planner) collectCells() (groups []int, sorted []cellReports) {
	by := map[cell][]reportedCell{}
	for _, k := range slices.SortedFunc(maps.Keys(planner.reports), func(a, b reportKey) int { return cmp.Or(cmp.Compare(a.from, b.from), cmp.Compare(a.part, b.part)) }) {
		t := planner.reports[k]
		for _, x := range t.report.Cells {
			if x.Zone < 0 || x.Zone >= planner.settings.Zones {
				continue
			}
			at := cell{x.Group, x.Zone}
			by[at] = append(by[at], reportedCell{t.report.Zone, x})
			if !slices.Contains(groups, x.Group) {
				groups = append(groups, x.Group)
			}
		}
	}
	slices.Sort(groups)
	for _, at := range slices.SortedFunc(maps.Keys(by), func(a, b cell) int { return cmp.Or(cmp.Compare(a.group, b.group), cmp.Compare(a.zone, b.zone)) }) {
		sorted = append(sorted, cellReports{at, by[at]})
	}
	return groups, sorted
}

// cellReports are what all say of a cell.
type cellReports struct {
	cell
	reports []reportedCell
}

type reportedCell struct {
	zone int
	Cell
}

// smoothLoads follows what is asked. A load that grows is taken at once, as plans must be safe; one that falls fades.
func (planner *Planner) smoothLoads(now float64, groups []int) {
	sums := map[flow]float64{}
	for _, k := range slices.SortedFunc(maps.Keys(planner.reports), func(a, b reportKey) int { return cmp.Or(cmp.Compare(a.from, b.from), cmp.Compare(a.part, b.part)) }) {
		t := planner.reports[k]
		for _, a := range t.report.Demands {
			if a.Class >= 0 && a.Class < len(planner.settings.Plan.Classes) && slices.Contains(groups, a.Group) {
				sums[flow{a.Group, a.Class, t.report.Zone}] += max(0, a.Load)
			}
		}
	}
	fade := math.Exp(-1 / max(1, planner.settings.LoadMemory/planner.settings.sampleInterval()))
	for k, was := range planner.loads {
		planner.loads[k] = was * fade
		if sums[k] == 0 && planner.loads[k] < plan.Unit {
			delete(planner.loads, k)
		}
	}
	for k, x := range sums {
		planner.loads[k] += x * (1 - fade)
		if x > planner.loads[k]*(1+smallDifference) {
			planner.loads[k] += (x - planner.loads[k]) * loadIncreaseShare
		}
	}
}

const loadIncreaseShare = 0.15 // of what a load has grown is taken in a look

func (s *Settings) sampleInterval() float64 { return max(1, s.StepInterval/4) }

// relevantReports are the words on a cell that count: of the zone's own poolers, else of all.
func relevantReports(all []reportedCell, zone int) []reportedCell {
	own := make([]reportedCell, 0, len(all))
	for _, x := range all {
		if x.zone == zone {
			own = append(own, x)
		}
	}
	if len(own) > 0 {
		return own
	}
	return all
}

// countOutcomes follows how attempts end, over a window: one word of a pooler has few.
func (planner *Planner) countOutcomes(now float64, by []cellReports) {
	n := planner.settings.Zones
	if len(planner.outcomes) != n*n {
		planner.outcomes, planner.lastSample = make([][2]float64, n*n), now
	}
	fade := math.Exp(-(now - planner.lastSample) / max(1, planner.settings.Window))
	planner.lastSample = now
	sums := make([][2]float64, n*n)
	for _, w := range by {
		for _, x := range w.reports {
			sums[x.zone*n+w.zone][0] += x.Attempts
			sums[x.zone*n+w.zone][1] += x.Lost
		}
	}
	for i := range sums {
		for k := range 2 {
			planner.outcomes[i][k] = planner.outcomes[i][k]*fade + sums[i][k]*planner.settings.Window/1000*(1-fade)
		}
	}
}

// observeZone is what there is to say of a zone: what its own poolers see, where they ask enough.
func (planner *Planner) observeZone(z int, by []cellReports) (e health.Observation) {
	var far health.Observation
	up, whole := 0.0, 0.0
	e.Unobserved = true
	for _, w := range by {
		if w.zone == z {
			e.Unobserved = false
			cores, most := medianCores(relevantReports(w.reports, z))
			up, whole = up+cores, whole+most
		}
	}
	for a := range planner.settings.Zones {
		if x := planner.outcomes[a*planner.settings.Zones+z]; a == z {
			e.Attempts, e.Lost = x[0], x[1]
		} else {
			far.Attempts, far.Lost = far.Attempts+x[0], far.Lost+x[1]
		}
	}
	if e.Attempts < planner.settings.Health.MinAttempts && (len(planner.poolers(z)) == 0 || far.Lost < planner.settings.Health.FailingLossShare*far.Attempts) {
		e.Attempts, e.Lost = far.Attempts, far.Lost
	}
	if e.ServingShare = 1; whole > 0 {
		e.ServingShare = up / whole
	}
	return e
}

// poolers are those of a zone that have told something lately.
func (planner *Planner) poolers(z int) (out []uint64) {
	for k, t := range planner.reports {
		if t.report.Zone == z && !slices.Contains(out, k.from) {
			out = append(out, k.from)
		}
	}
	return out
}

// poolerCounts are how many poolers of each zone have told something lately.
func (planner *Planner) poolerCounts() []int {
	n := make([]int, planner.settings.Zones)
	for z := range n {
		n[z] = len(planner.poolers(z))
	}
	return n
}

// medianCores is the median of what is said of a cell's cores.
func medianCores(all []reportedCell) (cores, whole float64) {
	var a, b []float64
	for _, x := range all {
		a, b = append(a, x.Cores), append(b, x.FullCores)
	}
	slices.Sort(a)
	slices.Sort(b)
	return a[len(a)/2], b[len(b)/2]
}

// observeLink is what there is to say of one: what one zone's poolers see of another that is well by its own.
func (planner *Planner) observeLink(a, b int) (e health.Observation) {
	x := planner.outcomes[a*planner.settings.Zones+b]
	e.ServingShare, e.Attempts, e.Lost = 1, x[0], x[1]
	z := &planner.snapshot.Observations[b]
	e.Unobserved = planner.settings.Health.IsFailure(z) || z.Attempts < minAttempts && e.Attempts < minAttempts
	return e
}

// fillGroups makes the groups that are to be solved.
func (planner *Planner) fillGroups(groups []int, by []cellReports, now float64) {
	planner.snapshot.Groups = planner.snapshot.Groups[:0]
	for _, id := range groups {
		g := plan.Group{}
		for z := range planner.zones {
			for class := range planner.settings.Plan.Classes {
				if x := planner.loads[flow{id, class, z}]; x > 0 {
					g.Flows = append(g.Flows, plan.Flow{Class: class, Zone: z, Load: x})
				}
			}
			r := plan.Capacity{}
			if i := slices.IndexFunc(by, func(w cellReports) bool { return w.cell == cell{id, z} }); i >= 0 {
				all := by[i].reports
				r.Cores, _ = medianCores(relevantReports(all, z))
				for _, x := range all {
					r.FixedCores += x.FixedCores
				}
				r.Age = relevantReports(all, z)[0].AgeMs
			}
			s := &planner.zones[z]
			r.ServesNear, r.ServesRemote = !s.State.Abandoned(), s.State == health.Serving
			r.Cores *= returningCapacityShare + (fullCapacityShare-returningCapacityShare)*s.RecoveredShare(&planner.settings.Health, now)
			g.Capacities = append(g.Capacities, r)
		}
		planner.snapshot.Groups = append(planner.snapshot.Groups, g)
	}
}

// nearLoad is the largest part of its safe room that a group's near reads fill in a zone.
func (planner *Planner) nearLoad(z int) (most float64) {
	for i := range planner.snapshot.Groups {
		g, near := &planner.snapshot.Groups[i], 0.0
		for _, f := range g.Flows {
			if f.Zone == z {
				near += f.Load
			}
		}
		if near > 0 {
			most = max(most, near/max(planner.settings.Plan.SafeCapacity(&g.Capacities[z]), plan.Unit))
		}
	}
	return most
}
