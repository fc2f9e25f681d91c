package overload

import (
	"cmp"
	"slices"
)

const (
	minReportsToTrim = 4 // of so many reports one may be byzantine
	maxRatio         = 100
	tiny             = 1e-9 // in place of 0 as a divisor
	quotaSteps       = 255  // of the part of a tenant's sessions that is beyond its quota
)

// groupTotals are the sums of all reports on a group, in work a second. No report counts for more than all others together.
type groupTotals struct {
	classes   map[uint16]ClassLoad
	tenants   []KeyedValue // by key
	total     float64      // received
	admitted  float64
	served    float64
	ended     float64 // requests a second
	objective float64 // s, on average
	strain    float64
	delay     float64 // what is outstanding by what is answered, as a part of the objectives
	budgets   []float64
	levels    []float64
}

// sumReports adds up the reports on a group. work is that of a request of each class.
func (controller *Controller) sumReports(group *groupState, work map[uint16]float64) groupTotals {
	totals := groupTotals{classes: map[uint16]ClassLoad{}}
	weights := group.reportWeights(work)
	tenants, objectives := map[uint16]float64{}, 0.0
	for i, report := range group.reports {
		for _, load := range report.load.Classes {
			if _, known := controller.priority[load.Key]; !known {
				continue
			}
			totals.addClass(&load, weights[i], work[load.Key])
			objectives += weights[i] * load.Ended * controller.objective[load.Key]
		}
		for _, tenant := range report.load.Tenants {
			tenants[tenant.Key] += weights[i] * tenant.Value
		}
		totals.budgets = append(totals.budgets, report.load.Budget)
		if report.load.Budget > 0 {
			totals.levels = append(totals.levels, report.load.Level)
		}
	}
	for key, value := range tenants {
		totals.tenants = append(totals.tenants, KeyedValue{key, value})
	}
	slices.SortFunc(totals.tenants, func(a, b KeyedValue) int { return cmp.Compare(a.Key, b.Key) })
	for key, class := range totals.classes {
		class.FirstAttempts, class.Retries = class.FirstAttempts*work[key], class.Retries*work[key]
		totals.classes[key] = class
	}
	totals.objective = objectives / max(tiny, totals.ended)
	totals.strain = group.trimmedRatio(weights, func(load *ClassLoad) (x, y float64) {
		weight := work[load.Key] * totals.servedEvidence(load.Key)
		return weight * min(load.Strain, load.Ended), weight * load.Ended
	})
	totals.delay = group.trimmedRatio(weights, func(load *ClassLoad) (x, y float64) {
		weight := totals.servedEvidence(load.Key)
		return weight * load.Open, weight * load.Ended * controller.objective[load.Key]
	})
	return totals
}

// addClass adds a report's load of a class.
func (totals *groupTotals) addClass(load *ClassLoad, weight, work float64) {
	class := totals.classes[load.Key]
	class.FirstAttempts += weight * load.FirstAttempts
	class.Retries += weight * load.Retries
	class.Served += weight * min(load.Served, load.Ended)
	class.Ended += weight * load.Ended
	class.Open += weight * load.Open
	totals.classes[load.Key] = class
	totals.total += weight * (load.FirstAttempts + load.Retries) * work
	totals.admitted += weight * load.Admitted * work
	totals.served += weight * min(load.Served, load.Ended) * work
	totals.ended += weight * load.Ended
}

// servedEvidence returns the weight of a class as evidence of overload: one that is hardly served has no servers.
func (totals *groupTotals) servedEvidence(key uint16) float64 {
	class := totals.classes[key]
	return min(1, 2*class.Served/max(tiny, class.Ended))
}

// reportWeights returns the weights by which no report counts for more than all others together.
func (group *groupState) reportWeights(work map[uint16]float64) []float64 {
	demands := make([]float64, len(group.reports))
	all := 0.0
	for i, report := range group.reports {
		for _, load := range report.load.Classes {
			demands[i] += max(load.FirstAttempts+load.Retries, load.Ended) * work[load.Key]
		}
		all += demands[i]
	}
	weights := make([]float64, len(group.reports))
	for i, demand := range demands {
		weights[i] = 1
		if others := all - demand; len(group.reports) >= minReportsToTrim && demand > others {
			weights[i] = others / demand
		}
	}
	return weights
}

// trimmedRatio returns the ratio of the sums of both values over all reports, without the report that raises it most and the one that
// lowers it most.
func (group *groupState) trimmedRatio(weights []float64, values func(load *ClassLoad) (x, y float64)) float64 {
	xs, ys := make([]float64, len(group.reports)), make([]float64, len(group.reports))
	x, y := 0.0, 0.0
	for i, report := range group.reports {
		for k := range report.load.Classes {
			a, b := values(&report.load.Classes[k])
			xs[i] += weights[i] * a
			ys[i] += weights[i] * b
		}
		x += xs[i]
		y += ys[i]
	}
	ratio := func(x, y float64) float64 { return min(maxRatio, max(0, x)/max(tiny, y)) }
	if len(group.reports) < minReportsToTrim {
		return ratio(x, y)
	}
	highest, calmest := extremes(xs, ys)
	return ratio(x-xs[highest]-xs[calmest], y-ys[highest]-ys[calmest])
}

// extremes returns the index of the largest x, and that of the largest y-x among the others.
func extremes(xs, ys []float64) (highest, calmest int) {
	for i := range xs {
		if xs[i] > xs[highest] {
			highest = i
		}
	}
	calmest = highest
	for i := range xs {
		if i != highest && (calmest == highest || ys[i]-xs[i] > ys[calmest]-xs[calmest]) {
			calmest = i
		}
	}
	return highest, calmest
}

// beyondQuota returns the parts of tenants' sessions that are beyond their shares of the budget.
func (totals *groupTotals) beyondQuota(controller *Controller, budget float64) (out []KeyedValue) {
	all := 0.0
	for _, tenant := range totals.tenants {
		all += tenant.Value
	}
	if all <= 0 {
		return nil
	}
	demand, shares := make([]float64, len(totals.tenants)), make([]float64, len(totals.tenants))
	for i, tenant := range totals.tenants {
		demand[i] = tenant.Value / all * totals.total
		shares[i] = controller.share[tenant.Key]
	}
	for i, part := range beyondQuota(demand, shares, budget) {
		part = float64(int(part*quotaSteps+0.5)) / quotaSteps
		if part > 0 {
			out = append(out, KeyedValue{totals.tenants[i].Key, part})
		}
	}
	return out
}

// cellDemand returns the demand of each cell of the order.
func (totals *groupTotals) cellDemand(controller *Controller, beyond []KeyedValue) []float64 {
	all, part := 0.0, 0.0
	for _, tenant := range totals.tenants {
		all += tenant.Value
		for _, b := range beyond {
			if b.Key == tenant.Key {
				part += tenant.Value * b.Value
			}
		}
	}
	if all > 0 {
		part /= all
	}
	cells := cellsOf(controller.collectorOrder, controller.notIdempotent)
	demand := make([]float64, cells.count)
	for key, at := range cells.byClass {
		class := totals.classes[key]
		byStage := [4]float64{class.Retries * part, class.Retries * (1 - part), class.FirstAttempts * part, class.FirstAttempts * (1 - part)}
		for stage, x := range byStage {
			demand[at[stage]] += x
		}
	}
	return demand
}
