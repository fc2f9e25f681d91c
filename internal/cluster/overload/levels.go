package overload

import (
	"cmp"
	"slices"
)

const cellsPerClass = 4 // see Shedding.Cells

// handleDecisions records a collector's answer to a recent report.
func (controller *Controller) handleDecisions(from ID, answer *ShedDecisions) {
	i := slices.IndexFunc(controller.pendingReports, func(r pendingReport) bool { return r.sequence == answer.Sequence })
	if i < 0 || controller.now-controller.pendingReports[i].sentAt > controller.settings.StaleAfter {
		return
	}
	reportedAt := controller.pendingReports[i].sentAt
	known := from == controller.self || controller.addresses[from] != ""
	if !known || !finite(answer.CollectorTime) {
		return
	}
	if last, ok := controller.collectorTimes[from]; !ok || answer.CollectorTime > last.time {
		controller.collectorTimes[from] = collectorTime{answer.CollectorTime, controller.now}
	}
	for _, decision := range answer.Groups {
		group := controller.groups[decision.Group]
		// A collector's level covers only the classes that it knows.
		decision.Level = min(decision.Level, float64(cellsPerClass*len(answer.Order)))
		valid := finite(decision.Level) && finite(decision.Budget)
		if group == nil || !valid || !slices.Contains(controller.CollectorsOf(decision.Group), from) {
			continue
		}
		if group.recordDecision(collectorDecision{from, reportedAt, answer.Order, decision}) {
			controller.updateLevel(group)
		}
	}
}

// recordDecision stores the last decision of each collector. It reports false for one that a newer decision overtook.
func (group *groupState) recordDecision(decision collectorDecision) bool {
	i := slices.IndexFunc(group.decisions, func(d collectorDecision) bool { return d.from == decision.from })
	switch {
	case i < 0:
		group.decisions = append(group.decisions, decision)
	case decision.reportedAt < group.decisions[i].reportedAt:
		return false
	default:
		group.decisions[i] = decision
	}
	return true
}

// updateLevel applies the recent decision with the median level. Without a recent decision the level falls to 0.
func (controller *Controller) updateLevel(group *groupState) {
	group.decisions = slices.DeleteFunc(group.decisions, func(d collectorDecision) bool {
		return controller.now-d.reportedAt > controller.settings.StaleAfter
	})
	switch {
	case len(group.decisions) > 0:
		controller.applyMedian(group)
	case group.level > 0:
		controller.fadeLevel(group)
	}
}

func (controller *Controller) applyMedian(group *groupState) {
	slices.SortStableFunc(group.decisions, func(a, b collectorDecision) int {
		return cmp.Or(cmp.Compare(a.decision.Level, b.decision.Level), cmp.Compare(a.from, b.from))
	})
	median := group.decisions[(len(group.decisions)-1)/2]
	budgets := make([]float64, len(group.decisions)) // for a median of their own: among equal levels one may be from a byzantine collector
	for i := range group.decisions {
		budgets[i] = group.decisions[i].decision.Budget
	}
	group.level = median.decision.Level
	group.budget = medianBudget(budgets)
	group.decidedAt = controller.now
	group.classOrder = median.order
	group.beyondQuota = median.decision.BeyondQuota
	controller.applyShedding(group, group.level)
}

// fadeLevel keeps the last level for HoldTime, then lowers it linearly to 0 over FadeTime.
func (controller *Controller) fadeLevel(group *groupState) {
	faded := (controller.now - group.decidedAt - controller.settings.HoldTime) / controller.settings.FadeTime
	faded = min(1, max(0, faded))
	controller.applyShedding(group, group.level*(1-faded))
	if faded == 1 {
		group.level, group.budget = 0, 0
	}
}

// applyShedding emits an action if the shedding of a group changes.
func (controller *Controller) applyShedding(group *groupState, level float64) {
	applied := &group.applied
	sameOrder := slices.Equal(applied.order, group.classOrder) && slices.Equal(applied.beyondQuota, group.beyondQuota)
	if level == applied.level && (level == 0 || sameOrder) {
		return
	}
	if level == 0 && applied.level <= 0 {
		applied.level = 0
		return
	}
	*applied = appliedLevel{level, group.classOrder, group.beyondQuota}
	action := Action{Kind: Shed, Group: group.id}
	if level > 0 {
		action.Shedding = controller.sheddingOf(group, level)
	}
	controller.actions = append(controller.actions, action)
}

// sheddingOf returns the shedding of a group, by this pooler's numbers of classes and tenants. Classes that the collector does not know are
// shed last.
func (controller *Controller) sheddingOf(group *groupState, level float64) *Shedding {
	shedding := &Shedding{
		Level: level, Cells: make([][cellsPerClass]int, len(controller.classes)),
		BeyondQuota: make([]float64, len(controller.tenants)), SessionPeriod: controller.settings.SessionPeriod,
	}
	order := cellsOf(group.classOrder, controller.notIdempotent)
	for i, key := range controller.classes {
		cells, known := order.byClass[key]
		if !known {
			cells = [cellsPerClass]int{order.count, order.count, order.count, order.count}
		}
		shedding.Cells[i] = cells
	}
	for i, key := range controller.tenants {
		for _, tenant := range group.beyondQuota {
			if tenant.Key == key {
				shedding.BeyondQuota[i] = min(1, tenant.Value)
			}
		}
	}
	return shedding
}

// Statuses returns the state of each group at this process.
func (controller *Controller) Statuses() (out []Status) {
	for _, group := range controller.sortedGroups {
		out = append(out, Status{
			Group: group.id, Level: max(0, group.applied.level), Cells: cellsPerClass * len(controller.classes),
			Budget: group.budget, Answers: len(group.decisions),
		})
	}
	return out
}
