package planner

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"beechgrade/internal/cluster/zones/health"
	"beechgrade/internal/cluster/zones/plan"
)

const (
	samplesPerStep         = 4    // samples within a StepInterval
	returningCapacityShare = 0.25 // the part of a zone's capacity that counts when it begins to return
	fullCapacityShare      = 1.0  // the part that counts when it has returned
	loadIncreaseShare      = 0.15 // the part of an increase of load that one sample adds
	minAttempts            = 1e-9 // fewer attempts count as none
	msPerSecond            = 1000
)

// outcomes are counts of attempts that ended.
type outcomes struct {
	ended float64
	lost  float64
}

func (o *outcomes) add(other outcomes) {
	o.ended += other.ended
	o.lost += other.lost
}

// cellReports holds what all poolers report of a cell.
type cellReports struct {
	cell
	reports []reportedCell
}

// reportedCell is what one pooler reports of a cell.
type reportedCell struct {
	zone int // of the pooler
	Cell
}

// sample makes a snapshot from the reports, and updates the health of zones and links.
func (planner *Planner) sample(now float64) {
	planner.snapshot = Snapshot{Observations: make([]health.Observation, planner.settings.Zones)}
	groups, cells := planner.collectCells()
	planner.smoothLoads(groups)
	planner.countOutcomes(now, cells)
	for zone := range planner.zones {
		planner.snapshot.Observations[zone] = planner.observeZone(zone, cells)
	}
	planner.planSettings = planner.settings.Plan
	planner.planSettings.Delay = make([][]float64, planner.settings.Zones)
	for zone := range planner.planSettings.Delay {
		planner.planSettings.Delay[zone] = slices.Clone(planner.settings.Plan.Delay[zone])
	}
	planner.fillGroups(groups, cells, now)
	for zone := range planner.zones {
		observation := &planner.snapshot.Observations[zone]
		observation.Load = planner.localLoad(zone)
		planner.zones[zone].Step(&planner.settings.Health, now, observation)
	}
	planner.stepLinks(now)
	planner.fillGroups(groups, cells, now) // with the new states
	planner.solve()
}

// stepLinks updates the health of the links. Plans send no reads over an abandoned link.
func (planner *Planner) stepLinks(now float64) {
	for from := range planner.links {
		for to := range planner.links[from] {
			if from == to {
				continue
			}
			link := &planner.links[from][to]
			observation := planner.observeLink(from, to)
			link.Step(&planner.settings.Health, now, &observation)
			if link.State.Abandoned() {
				planner.planSettings.Delay[from][to] = math.Inf(1)
			}
		}
	}
}

// solve solves each group and folds the solutions into the target.
func (planner *Planner) solve() {
	snapshot := &planner.snapshot
	var solutions []plan.Solution
	for i := range snapshot.Groups {
		solutions = append(solutions, planner.planSettings.Solve(&snapshot.Groups[i]))
	}
	snapshot.Target, snapshot.Unserved = planner.planSettings.Fold(snapshot.Groups, solutions)
	snapshot.Crossing = snapshot.Target.CrossingShare(snapshot.Groups)
}

// sortedReports returns the keys of the reports, by pooler and part.
func (planner *Planner) sortedReports() []reportKey {
	return slices.SortedFunc(maps.Keys(planner.reports), func(a, b reportKey) int {
		return cmp.Or(cmp.Compare(a.from, b.from), cmp.Compare(a.part, b.part))
	})
}

// collectCells returns the reported groups, and the reports of each cell, both sorted.
func (planner *Planner) collectCells() (groups []int, cells []cellReports) {
	byCell := map[cell][]reportedCell{}
	for _, key := range planner.sortedReports() {
		report := planner.reports[key].report
		for _, reported := range report.Cells {
			if reported.Zone < 0 || reported.Zone >= planner.settings.Zones {
				continue
			}
			at := cell{reported.Group, reported.Zone}
			byCell[at] = append(byCell[at], reportedCell{report.Zone, reported})
			if !slices.Contains(groups, reported.Group) {
				groups = append(groups, reported.Group)
			}
		}
	}
	slices.Sort(groups)
	sorted := slices.SortedFunc(maps.Keys(byCell), func(a, b cell) int {
		return cmp.Or(cmp.Compare(a.group, b.group), cmp.Compare(a.zone, b.zone))
	})
	for _, at := range sorted {
		cells = append(cells, cellReports{at, byCell[at]})
	}
	return groups, cells
}

// smoothLoads smooths the reported demands. An increase counts faster than a decrease, so that plans are safe.
func (planner *Planner) smoothLoads(groups []int) {
	sums := map[flow]float64{}
	for _, key := range planner.sortedReports() {
		report := planner.reports[key].report
		for _, demand := range report.Demands {
			valid := demand.Class >= 0 && demand.Class < len(planner.settings.Plan.Classes) && slices.Contains(groups, demand.Group)
			if valid {
				sums[flow{demand.Group, demand.Class, report.Zone}] += max(0, demand.Load)
			}
		}
	}
	fade := math.Exp(-1 / max(1, planner.settings.LoadMemory/planner.settings.sampleInterval()))
	for key, previous := range planner.loads {
		planner.loads[key] = previous * fade
		if sums[key] == 0 && planner.loads[key] < plan.Unit {
			delete(planner.loads, key)
		}
	}
	for key, load := range sums {
		planner.loads[key] += load * (1 - fade)
		if load > planner.loads[key]*(1+smallDifference) {
			planner.loads[key] += (load - planner.loads[key]) * loadIncreaseShare
		}
	}
}

func (s *Settings) sampleInterval() float64 { return max(1, s.StepInterval/samplesPerStep) }

// relevantReports returns the reports of a cell by the zone's own poolers, or those of all poolers if there are none.
func relevantReports(all []reportedCell, zone int) []reportedCell {
	own := make([]reportedCell, 0, len(all))
	for _, reported := range all {
		if reported.zone == zone {
			own = append(own, reported)
		}
	}
	if len(own) > 0 {
		return own
	}
	return all
}

// countOutcomes smooths the outcomes of attempts from each zone in each zone over a window, as a single report has too few of them.
func (planner *Planner) countOutcomes(now float64, cells []cellReports) {
	zones := planner.settings.Zones
	if len(planner.outcomes) != zones*zones {
		planner.outcomes = make([]outcomes, zones*zones)
		planner.lastSample = now
	}
	fade := math.Exp(-(now - planner.lastSample) / max(1, planner.settings.Window))
	planner.lastSample = now
	sums := make([]outcomes, zones*zones)
	for _, c := range cells {
		for _, reported := range c.reports {
			sums[reported.zone*zones+c.zone].add(outcomes{reported.Attempts, reported.Lost})
		}
	}
	smooth := func(value, rate float64) float64 {
		return value*fade + rate*planner.settings.Window/msPerSecond*(1-fade)
	}
	for i, sum := range sums {
		o := &planner.outcomes[i]
		o.ended = smooth(o.ended, sum.ended)
		o.lost = smooth(o.lost, sum.lost)
	}
}

// outcomesOf returns the outcomes of attempts by the poolers of one zone at the servers of another or the same zone.
func (planner *Planner) outcomesOf(from, to int) outcomes {
	return planner.outcomes[from*planner.settings.Zones+to]
}

// observeZone returns what a zone's own poolers observe of it. The attempts of other zones' poolers count instead if the zone's own make
// too few, unless the zone has poolers and the attempts of others fail: then the links may be at fault.
func (planner *Planner) observeZone(zone int, cells []cellReports) (observation health.Observation) {
	serving, full := 0.0, 0.0
	observation.Unobserved = true
	for _, c := range cells {
		if c.zone == zone {
			observation.Unobserved = false
			cores, fullCores := medianCores(relevantReports(c.reports, zone))
			serving += cores
			full += fullCores
		}
	}
	counted := planner.outcomesOf(zone, zone)
	var remote outcomes
	for from := range planner.settings.Zones {
		if from != zone {
			remote.add(planner.outcomesOf(from, zone))
		}
	}
	settings := &planner.settings.Health
	remoteFails := remote.lost >= settings.FailingLossShare*remote.ended
	if counted.ended < settings.MinAttempts && (len(planner.poolers(zone)) == 0 || !remoteFails) {
		counted = remote
	}
	observation.Attempts, observation.Lost = counted.ended, counted.lost
	observation.ServingShare = 1
	if full > 0 {
		observation.ServingShare = serving / full
	}
	return observation
}

// poolers returns the poolers of a zone that have reported within ReportLifetime.
func (planner *Planner) poolers(zone int) (out []uint64) {
	for key, entry := range planner.reports {
		if entry.report.Zone == zone && !slices.Contains(out, key.from) {
			out = append(out, key.from)
		}
	}
	return out
}

// poolerCounts returns the number of poolers of each zone that have reported within ReportLifetime.
func (planner *Planner) poolerCounts() []int {
	counts := make([]int, planner.settings.Zones)
	for zone := range counts {
		counts[zone] = len(planner.poolers(zone))
	}
	return counts
}

// medianCores returns the medians of the reported cores of a cell: those that serve, and those in normal operation.
func medianCores(reports []reportedCell) (cores, fullCores float64) {
	var serving, full []float64
	for _, reported := range reports {
		serving = append(serving, reported.Cores)
		full = append(full, reported.FullCores)
	}
	slices.Sort(serving)
	slices.Sort(full)
	return serving[len(serving)/2], full[len(full)/2]
}

// observeLink returns what the poolers of one zone observe of the link to another. The link counts as unobserved if that zone itself fails,
// or if there are no attempts in that zone.
func (planner *Planner) observeLink(from, to int) health.Observation {
	counted := planner.outcomesOf(from, to)
	target := &planner.snapshot.Observations[to]
	unused := target.Attempts < minAttempts && counted.ended < minAttempts
	return health.Observation{
		ServingShare: 1,
		Attempts:     counted.ended,
		Lost:         counted.lost,
		Unobserved:   planner.settings.Health.IsFailure(target) || unused,
	}
}

// fillGroups sets the snapshot's groups, which are to be solved.
func (planner *Planner) fillGroups(groups []int, cells []cellReports, now float64) {
	planner.snapshot.Groups = planner.snapshot.Groups[:0]
	for _, id := range groups {
		group := plan.Group{}
		for zone := range planner.zones {
			for class := range planner.settings.Plan.Classes {
				if load := planner.loads[flow{id, class, zone}]; load > 0 {
					group.Flows = append(group.Flows, plan.Flow{Class: class, Zone: zone, Load: load})
				}
			}
			group.Capacities = append(group.Capacities, planner.capacity(cell{id, zone}, cells, now))
		}
		planner.snapshot.Groups = append(planner.snapshot.Groups, group)
	}
}

// capacity returns the capacity of a group's servers in a zone, according to the reports and the zone's state.
func (planner *Planner) capacity(at cell, cells []cellReports, now float64) (capacity plan.Capacity) {
	if i := slices.IndexFunc(cells, func(c cellReports) bool { return c.cell == at }); i >= 0 {
		relevant := relevantReports(cells[i].reports, at.zone)
		capacity.Cores, _ = medianCores(relevant)
		for _, reported := range cells[i].reports {
			capacity.FixedCores += reported.FixedCores
		}
		capacity.Age = relevant[0].AgeMs
	}
	zone := &planner.zones[at.zone]
	capacity.ServesLocal = !zone.State.Abandoned()
	capacity.ServesRemote = zone.State == health.Serving
	recovered := zone.RecoveredShare(&planner.settings.Health, now)
	capacity.Cores *= returningCapacityShare + (fullCapacityShare-returningCapacityShare)*recovered
	return capacity
}

// localLoad returns the largest part of its safe capacity in a zone that a group's local reads use.
func (planner *Planner) localLoad(zone int) (largest float64) {
	for i := range planner.snapshot.Groups {
		group := &planner.snapshot.Groups[i]
		load := 0.0
		for _, f := range group.Flows {
			if f.Zone == zone {
				load += f.Load
			}
		}
		if load > 0 {
			safe := planner.planSettings.SafeCapacity(&group.Capacities[zone])
			largest = max(largest, load/max(safe, plan.Unit))
		}
	}
	return largest
}
