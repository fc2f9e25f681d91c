package overload

import (
	"cmp"
	"slices"
)

const (
	minReportsToTrim = 4    // from this number of reports on, one of them may be byzantine
	maxRatio         = 100  // upper limit of a trimmed ratio
	tiny             = 1e-9 // replaces 0 as a divisor
	quotaSteps       = 255  // steps in which the fraction of a tenant's sessions beyond its quota is encoded
)

// groupTotals are the sums of all reports about a group, in work per second. No report counts for more than all others together.
type groupTotals struct {
	classes   map[uint16]ClassLoad
	tenants   []KeyedValue // by key
	total     float64      // received
	admitted  float64
	served    float64
	ended     float64 // requests per second
	objective float64 // average latency objective in s
	strain    float64
	delay     float64 // outstanding requests over the rate of ended ones, as a fraction of the latency objectives
	budgets   []float64
	levels    []float64
}

// sumReports adds up the reports about a group. work is the work of a request, by class.
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
	totals.strain = group.trimmedRatio(weights, func(load *ClassLoad) (numerator, denominator float64) {
		weight := work[load.Key] * totals.servedEvidence(load.Key)
		return weight * min(load.Strain, load.Ended), weight * load.Ended
	})
	totals.delay = group.trimmedRatio(weights, func(load *ClassLoad) (numerator, denominator float64) {
		weight := totals.servedEvidence(load.Key)
		return weight * load.Open, weight * load.Ended * controller.objective[load.Key]
	})
	return totals
}

// addClass adds the load of a class from one report.
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

// servedEvidence returns the weight of a class as evidence of overload. A class of which next to nothing is served has no working servers
// and is no evidence.
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

// trimmedRatio returns the ratio of the sums of both values over all reports. From minReportsToTrim reports on it leaves out the report
// that raises the ratio most and the one that lowers it most.
func (group *groupState) trimmedRatio(weights []float64, values func(load *ClassLoad) (numerator, denominator float64)) float64 {
	numerators, denominators := make([]float64, len(group.reports)), make([]float64, len(group.reports))
	numerator, denominator := 0.0, 0.0
	for i, report := range group.reports {
		for k := range report.load.Classes {
			a, b := values(&report.load.Classes[k])
			numerators[i] += weights[i] * a
			denominators[i] += weights[i] * b
		}
		numerator += numerators[i]
		denominator += denominators[i]
	}
	ratio := func(numerator, denominator float64) float64 {
		return min(maxRatio, max(0, numerator)/max(tiny, denominator))
	}
	if len(group.reports) < minReportsToTrim {
		return ratio(numerator, denominator)
	}
	highest, lowest := extremes(numerators, denominators)
	return ratio(numerator-numerators[highest]-numerators[lowest], denominator-denominators[highest]-denominators[lowest])
}

// extremes returns the index of the report that raises a ratio most, by the largest numerator, and of the one among the others that lowers
// it most, by the largest excess of the denominator over the numerator.
func extremes(numerators, denominators []float64) (highest, lowest int) {
	for i := range numerators {
		if numerators[i] > numerators[highest] {
			highest = i
		}
	}
	lowest = highest
	for i := range numerators {
		if i != highest && (lowest == highest || denominators[i]-numerators[i] > denominators[lowest]-numerators[lowest]) {
			lowest = i
		}
	}
	return highest, lowest
}

// beyondQuota returns the fractions of tenants' sessions that are beyond their shares of the budget.
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
	for i, fraction := range beyondQuota(demand, shares, budget) {
		fraction = float64(int(fraction*quotaSteps+0.5)) / quotaSteps
		if fraction > 0 {
			out = append(out, KeyedValue{totals.tenants[i].Key, fraction})
		}
	}
	return out
}

// cellDemand returns the demand of each cell of the shedding order.
func (totals *groupTotals) cellDemand(controller *Controller, beyond []KeyedValue) []float64 {
	all, fraction := 0.0, 0.0
	for _, tenant := range totals.tenants {
		all += tenant.Value
		for _, b := range beyond {
			if b.Key == tenant.Key {
				fraction += tenant.Value * b.Value
			}
		}
	}
	if all > 0 {
		fraction /= all
	}
	cells := cellsOf(controller.collectorOrder, controller.notIdempotent)
	demand := make([]float64, cells.count)
	for key, at := range cells.byClass {
		class := totals.classes[key]
		byStage := [4]float64{class.Retries * fraction, class.Retries * (1 - fraction), class.FirstAttempts * fraction, class.FirstAttempts * (1 - fraction)}
		for stage, x := range byStage {
			demand[at[stage]] += x
		}
	}
	return demand
}
