package overload

import (
	"cmp"
	"math"
	"slices"
)

// Constants of a collector's decisions.
const (
	admittedRatioSeconds  = 3.0  // over which admittedRatio follows
	minEndedRate          = 4    // requests a second: fewer are no evidence
	fastDecayRate         = 0.15 // of peakServed, a second, where the servers seem to do less
	slowRate              = 0.05 // of peakServed, a second, and of the budget's first growth
	overBudgetFactor      = 1.3  // more admitted than this: the last decision does not take effect yet
	minAdmittedShare      = 0.75 // of what is served
	minAdmittedRatio      = 0.2
	spareFactor           = 1.5  // a budget of so many times the demand is none
	levelTolerance        = 0.02 // a level that is right to this part stays
	servedLessFactor      = 0.8  // of peakServed: fewer are served
	delayFactor           = 2    // times DelayTarget: too much is outstanding
	strainFactor          = 3    // times StrainTarget: a budget starts
	strainWithDelayFactor = 2    // a budget starts at StrainTarget over this, where too much is outstanding
	msPerSecond           = 1000
)

// peerReport is the last report of a process on a group.
type peerReport struct {
	id         ID
	sequence   uint32
	reportedAt float64 // the earliest time, by this process's clock
	work       []KeyedValue
	load       GroupLoad
}

// collected is a collector's state of a group.
type collected struct {
	decidedAt     float64 // 0 for never
	since         float64 // it collects without interruption since then
	admittedRatio float64 // what was admitted lately, as a part of the budget
	peakServed    float64 // the most work a second that was served lately
	calmSeconds   float64 // without strain
	decision      ShedDecision
}

// handleReport takes a report over and answers it. A report whose age is not bounded by the time that it brings back does not count.
func (controller *Controller) handleReport(from ID, report *LoadReport) {
	if from != controller.self && controller.addresses[from] == "" {
		return
	}
	age := controller.now - report.CollectorTime - report.HeldMs
	stale := controller.settings.StaleAfter
	bounded := report.CollectorTime > 0 && report.HeldMs >= 0 && age >= -stale && age <= stale
	counts := from == controller.self || bounded
	answer := &ShedDecisions{Sequence: report.Sequence, CollectorTime: controller.now, Order: controller.collectorOrder}
	for i := range report.Groups {
		load := &report.Groups[i]
		group := controller.group(load.Group)
		if group == nil || !load.valid() {
			continue
		}
		if counts {
			reportedAt := controller.now - max(0, age)
			if from == controller.self {
				reportedAt = controller.now
			}
			group.recordReport(&peerReport{from, report.Sequence, reportedAt, report.Work, *load})
		}
		if controller.decidedLately(&group.collected) {
			answer.Groups = append(answer.Groups, group.collected.decision)
		}
	}
	controller.enqueue(Action{Kind: SendDecisions, To: from, Decisions: answer})
}

func (controller *Controller) decidedLately(c *collected) bool {
	return c.decidedAt > 0 && controller.now-c.decidedAt <= controller.settings.StaleAfter
}

// valid reports whether the numbers of a received load are in their ranges.
func (p *GroupLoad) valid() bool {
	if !finite(p.Budget) || !finite(p.Level) || len(p.Classes) > MaxClasses || len(p.Tenants) > MaxTenants {
		return false
	}
	for _, c := range p.Classes {
		for _, x := range [...]float64{c.FirstAttempts, c.Retries, c.Admitted, c.Open, c.Served, c.Ended, c.Strain} {
			if !finite(x) {
				return false
			}
		}
	}
	return !slices.ContainsFunc(p.Tenants, func(tenant KeyedValue) bool { return !finite(tenant.Value) })
}

// recordReport keeps the newest report of each process.
func (group *groupState) recordReport(report *peerReport) {
	i, known := slices.BinarySearchFunc(group.reports, report.id, func(r *peerReport, id ID) int { return cmp.Compare(r.id, id) })
	switch {
	case known && report.sequence <= group.reports[i].sequence: // duplicated or reordered
	case known:
		group.reports[i] = report
	case len(group.reports) < MaxPeers:
		group.reports = slices.Insert(group.reports, i, report)
	}
}

// collect decides on all groups with recent reports.
func (controller *Controller) collect() {
	estimates := map[uint16][]float64{}
	reporters := map[ID]bool{}
	for _, group := range controller.sortedGroups {
		group.reports = slices.DeleteFunc(group.reports, func(r *peerReport) bool {
			return controller.now-r.reportedAt > controller.settings.StaleAfter
		})
		for _, report := range group.reports {
			if !reporters[report.id] {
				reporters[report.id] = true
				controller.addEstimates(estimates, report)
			}
		}
	}
	work := map[uint16]float64{}
	for class := range controller.priority {
		work[class] = lowerMedian(estimates[class])
		if work[class] == 0 {
			work[class] = 1
		}
	}
	if len(reporters) > 0 {
		controller.collectorOrder = orderClasses(controller.collectorOrder, controller.priority, work, controller.objective)
	}
	for _, group := range controller.sortedGroups {
		if len(group.reports) > 0 {
			controller.decide(group, work)
		}
	}
}

// addEstimates adds a report's estimates of the work of known classes.
func (controller *Controller) addEstimates(estimates map[uint16][]float64, report *peerReport) {
	for _, estimate := range report.work {
		if _, known := controller.priority[estimate.Key]; known && finite(estimate.Value) && estimate.Value > 0 {
			estimates[estimate.Key] = append(estimates[estimate.Key], estimate.Value)
		}
	}
}

// decide updates a group's budget and makes a level of it.
func (controller *Controller) decide(group *groupState, work map[uint16]float64) {
	totals := controller.sumReports(group, work)
	c := &group.collected
	seconds := min(controller.settings.StaleAfter, controller.now-c.decidedAt) / msPerSecond
	budget := controller.startingBudget(c, &totals)
	if c.decision.Level == 0 || budget == 0 {
		c.admittedRatio = 1
	} else {
		c.admittedRatio += (totals.admitted/budget - c.admittedRatio) * min(1, seconds/admittedRatioSeconds)
	}
	if !controller.decidedLately(c) {
		c.since, c.peakServed, c.calmSeconds = controller.now, 0, 0
	}
	controller.updatePeakServed(c, &totals, budget, seconds)
	budget = controller.nextBudget(c, &totals, budget, seconds)
	if budget > spareFactor*totals.total { // more than anybody wants: there is no overload
		budget = 0
	}
	c.decision = controller.decisionFor(group.id, &totals, budget)
	c.decidedAt = controller.now
}

// startingBudget returns this collector's last budget, where that agrees roughly with those that poolers report; else their median.
func (controller *Controller) startingBudget(c *collected, totals *groupTotals) float64 {
	budget := medianBudget(totals.budgets)
	own := c.decision.Budget
	if controller.decidedLately(c) && budget > 0 && own > budget/toleranceFactor && own < budget*toleranceFactor {
		return own
	}
	return budget
}

// updatePeakServed follows what the servers can do. It fades, and faster where less is served though as much was admitted.
func (controller *Controller) updatePeakServed(c *collected, totals *groupTotals, budget, seconds float64) {
	rate := slowRate
	withinBudget := budget == 0 || totals.admitted <= overBudgetFactor*budget
	servesLess := totals.served < servedLessFactor*c.peakServed && totals.served < totals.admitted
	if totals.strain > controller.settings.StrainTarget && withinBudget && servesLess {
		rate = fastDecayRate
	}
	c.peakServed = max(totals.served, c.peakServed*(1-min(1, rate*seconds)))
}

// nextBudget returns the budget after the evidence of the last reports; 0 for none.
func (controller *Controller) nextBudget(c *collected, totals *groupTotals, budget, seconds float64) float64 {
	settings := &controller.settings
	delayed := totals.delay > delayFactor*settings.DelayTarget
	strained := totals.strain > settings.StrainTarget || delayed
	evident := totals.ended >= minEndedRate
	c.calmSeconds += seconds
	if strained && evident {
		c.calmSeconds = 0
	}
	switch {
	case controller.now-c.since < settings.StaleAfter: // it may not have the reports of all yet: the budget of others stands
		return budget
	case budget == 0:
		overloaded := totals.strain > strainFactor*settings.StrainTarget
		queued := strained && totals.strain > settings.StrainTarget/strainWithDelayFactor && delayed
		if evident && (overloaded || queued) {
			return c.peakServed
		}
		return 0
	case !strained || !evident: // the longer nobody is late, the faster it grows
		return budget * (1 + min(settings.GrowthRate, slowRate*math.Exp2(c.calmSeconds))*seconds)
	case totals.admitted > overBudgetFactor*budget*max(1, c.admittedRatio): // the last decision does not take effect yet
		return budget
	}
	backlog := 1 + (settings.DelayTarget-totals.delay)/settings.BacklogDivisor
	return c.peakServed / max(minAdmittedRatio, min(1, c.admittedRatio)) * max(minAdmittedShare, min(1, backlog))
}

// decisionFor returns the level at which a group's budget is admitted. The level that poolers apply stays where it is about right.
func (controller *Controller) decisionFor(group int, totals *groupTotals, budget float64) ShedDecision {
	decision := ShedDecision{Group: group, Budget: budget}
	if budget <= 0 {
		return decision
	}
	decision.BeyondQuota = totals.beyondQuota(controller, budget)
	demand := totals.cellDemand(controller, decision.BeyondQuota)
	decision.Level = levelFor(demand, totals.total-budget)
	if previous := lowerMedian(totals.levels); previous > 0 && decision.Level > 0 {
		admitted := admittedDemand(demand, previous)
		if admitted > budget*(1-levelTolerance) && admitted < budget*(1+levelTolerance) {
			decision.Level = previous
		}
	}
	return decision
}
