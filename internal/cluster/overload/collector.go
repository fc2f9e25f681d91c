package overload

import (
	"cmp"
	"math"
	"slices"
)

// Constants of a collector's decisions.
const (
	admittedRatioSeconds  = 3.0  // time constant of the average admittedRatio
	minEndedRate          = 4    // requests a second: a lower rate is no evidence
	fastDecayRate         = 0.15 // decay of peakServed a second where the capacity seems to have dropped
	slowRate              = 0.05 // usual decay of peakServed a second, and initial growth of the budget a second
	overBudgetFactor      = 1.3  // more work than this times the budget is admitted: the last decision is not in effect yet
	minAdmittedShare      = 0.75 // lowest budget, as a fraction of the served rate
	minAdmittedRatio      = 0.2  // lower limit of admittedRatio in the budget
	spareFactor           = 1.5  // a budget above this times the demand is dropped
	levelTolerance        = 0.02 // a previous level that admits the budget within this fraction is kept
	servedLessFactor      = 0.8  // a served rate below this times peakServed suggests a lower capacity
	delayFactor           = 2    // the delay above this times DelayTarget is too long
	strainFactor          = 3    // strain above this times StrainTarget starts a budget
	strainWithDelayFactor = 2    // strain above StrainTarget divided by this starts a budget where the delay is too long
	msPerSecond           = 1000
)

// peerReport is the last report of a process about a group.
type peerReport struct {
	id         ID
	sequence   uint32
	reportedAt float64 // the earliest possible time, by this process's clock
	work       []KeyedValue
	load       GroupLoad
}

// collectorState is a collector's state for a group.
type collectorState struct {
	decidedAt       float64 // 0 for never
	collectingSince float64 // start of the collection without interruption
	admittedRatio   float64 // moving average of the admitted work over the budget
	peakServed      float64 // the highest recent rate of served work, per second
	calmSeconds     float64 // time without strain
	decision        ShedDecision
}

// handleReport records a report and answers it. A report counts only if the collector time that it echoes bounds its age.
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
		if controller.decidedLately(&group.collector) {
			answer.Groups = append(answer.Groups, group.collector.decision)
		}
	}
	controller.enqueue(Action{Kind: SendDecisions, To: from, Decisions: answer})
}

func (controller *Controller) decidedLately(c *collectorState) bool {
	return c.decidedAt > 0 && controller.now-c.decidedAt <= controller.settings.StaleAfter
}

// valid reports whether the numbers of a received load are in their ranges.
func (load *GroupLoad) valid() bool {
	if !finite(load.Budget) || !finite(load.Level) || len(load.Classes) > MaxClasses || len(load.Tenants) > MaxTenants {
		return false
	}
	for _, c := range load.Classes {
		for _, x := range [...]float64{c.FirstAttempts, c.Retries, c.Admitted, c.Open, c.Served, c.Ended, c.Strain} {
			if !finite(x) {
				return false
			}
		}
	}
	return !slices.ContainsFunc(load.Tenants, func(tenant KeyedValue) bool { return !finite(tenant.Value) })
}

// recordReport stores a report, if it is the newest of its process.
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

// decide updates a group's budget and derives the level from it.
func (controller *Controller) decide(group *groupState, work map[uint16]float64) {
	totals := controller.sumReports(group, work)
	c := &group.collector
	seconds := min(controller.settings.StaleAfter, controller.now-c.decidedAt) / msPerSecond
	budget := controller.startingBudget(c, &totals)
	if c.decision.Level == 0 || budget == 0 {
		c.admittedRatio = 1
	} else {
		c.admittedRatio += (totals.admitted/budget - c.admittedRatio) * min(1, seconds/admittedRatioSeconds)
	}
	if !controller.decidedLately(c) {
		c.collectingSince, c.peakServed, c.calmSeconds = controller.now, 0, 0
	}
	controller.updatePeakServed(c, &totals, budget, seconds)
	budget = controller.nextBudget(c, &totals, budget, seconds)
	if budget > spareFactor*totals.total { // the budget far exceeds the demand: there is no overload
		budget = 0
	}
	c.decision = controller.decisionFor(group.id, &totals, budget)
	c.decidedAt = controller.now
}

// startingBudget returns this collector's last budget, if it is within toleranceFactor of the median of the reported ones; else that
// median.
func (controller *Controller) startingBudget(c *collectorState, totals *groupTotals) float64 {
	budget := medianBudget(totals.budgets)
	own := c.decision.Budget
	if controller.decidedLately(c) && budget > 0 && own > budget/toleranceFactor && own < budget*toleranceFactor {
		return own
	}
	return budget
}

// updatePeakServed tracks the capacity of the servers. The peak decays, and faster where strained servers serve less though no more is
// admitted.
func (controller *Controller) updatePeakServed(c *collectorState, totals *groupTotals, budget, seconds float64) {
	rate := slowRate
	withinBudget := budget == 0 || totals.admitted <= overBudgetFactor*budget
	servesLess := totals.served < servedLessFactor*c.peakServed && totals.served < totals.admitted
	if totals.strain > controller.settings.StrainTarget && withinBudget && servesLess {
		rate = fastDecayRate
	}
	c.peakServed = max(totals.served, c.peakServed*(1-min(1, rate*seconds)))
}

// nextBudget returns the budget that follows from the evidence of the last reports; 0 for none.
func (controller *Controller) nextBudget(c *collectorState, totals *groupTotals, budget, seconds float64) float64 {
	settings := &controller.settings
	delayed := totals.delay > delayFactor*settings.DelayTarget
	strained := totals.strain > settings.StrainTarget || delayed
	evident := totals.ended >= minEndedRate
	c.calmSeconds += seconds
	if strained && evident {
		c.calmSeconds = 0
	}
	switch {
	case controller.now-c.collectingSince < settings.StaleAfter: // some reports may not have arrived yet: keep the budget that the poolers report
		return budget
	case budget == 0:
		overloaded := totals.strain > strainFactor*settings.StrainTarget
		queued := strained && totals.strain > settings.StrainTarget/strainWithDelayFactor && delayed
		if evident && (overloaded || queued) {
			return c.peakServed
		}
		return 0
	case !strained || !evident: // the budget grows faster the longer no answer is late
		return budget * (1 + min(settings.GrowthRate, slowRate*math.Exp2(c.calmSeconds))*seconds)
	case totals.admitted > overBudgetFactor*budget*max(1, c.admittedRatio): // the last decision is not in effect yet
		return budget
	}
	backlog := 1 + (settings.DelayTarget-totals.delay)/settings.BacklogDivisor
	return c.peakServed / max(minAdmittedRatio, min(1, c.admittedRatio)) * max(minAdmittedShare, min(1, backlog))
}

// decisionFor returns the decision that admits a group's budget. The level that poolers apply now is kept if it admits the budget within
// levelTolerance.
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
