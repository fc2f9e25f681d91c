package overload

import (
	"cmp"
	"math"
	"slices"
)

// cellOrder numbers the cells in the order of shedding: those of idempotent classes first.
type cellOrder struct {
	byClass map[uint16][4]int
	count   int
}

// cellsOf returns the cells of classes, which are given in the order of shedding.
func cellsOf(order []uint16, notIdempotent map[uint16]bool) cellOrder {
	cells := cellOrder{byClass: map[uint16][4]int{}}
	for _, last := range []bool{false, true} {
		for stage := range 4 {
			for _, key := range order {
				if notIdempotent[key] == last {
					stages := cells.byClass[key]
					stages[stage] = cells.count
					cells.byClass[key] = stages
					cells.count++
				}
			}
		}
	}
	return cells
}

// orderClasses sorts classes by priority per work, the lowest first; equal ones by priority, and then the longest objective first. A
// previous order in which no class comes after one with more than toleranceFactor times its value is kept.
func orderClasses(previous []uint16, priority, work, objective map[uint16]float64) []uint16 {
	keys := make([]uint16, 0, len(priority))
	value := map[uint16]float64{}  // priority per work
	for key, p := range priority { // sorted below: the map's order does not matter
		keys = append(keys, key)
		value[key] = p / max(1e-9, work[key])
	}
	slices.SortFunc(keys, func(a, b uint16) int {
		return cmp.Or(cmp.Compare(value[a], value[b]), cmp.Compare(priority[a], priority[b]), cmp.Compare(objective[b], objective[a]), cmp.Compare(a, b))
	})
	if len(previous) != len(keys) {
		return keys
	}
	highest := 0.0
	for _, key := range previous {
		v, ok := value[key]
		if !ok || v < highest/toleranceFactor {
			return keys
		}
		highest = max(highest, v)
	}
	return previous
}

// toleranceFactor is the factor by which values may differ before a previous order of classes, or a collector's own budget, is given up.
const toleranceFactor = 1.25

// levelFor returns the level below which the cells hold as much demand as is to be shed.
func levelFor(demand []float64, excess float64) float64 {
	for i, d := range demand {
		if excess <= 0 {
			return float64(i)
		}
		if excess < d {
			return float64(i) + excess/d
		}
		excess -= d
	}
	return float64(len(demand))
}

// admittedDemand returns the demand that a level admits.
func admittedDemand(demand []float64, level float64) (sum float64) {
	for i, d := range demand {
		sum += d * max(0, min(1, float64(i+1)-level))
	}
	return sum
}

// beyondQuota returns the fraction of each tenant's demand that is beyond its share of a budget. Shares that some do not use are divided
// among the others.
func beyondQuota(demand, share []float64, budget float64) []float64 {
	out := make([]float64, len(demand))
	remaining, shares, limited := budget, 0.0, []int{}
	for i := range demand {
		if share[i] > 0 && demand[i] > 0 {
			limited = append(limited, i)
			shares += share[i]
		} else {
			remaining -= demand[i] // a tenant without a share is never beyond it
		}
	}
	slices.SortStableFunc(limited, func(a, b int) int { return cmp.Compare(demand[a]/share[a], demand[b]/share[b]) })
	for _, i := range limited {
		granted := min(demand[i], max(0, remaining)*share[i]/shares)
		out[i] = 1 - granted/demand[i]
		remaining -= granted
		shares -= share[i]
	}
	return out
}

// lowerMedian returns the median, the lower of two, and 0 without values. It sorts its argument.
func lowerMedian(x []float64) float64 {
	if len(x) == 0 {
		return 0
	}
	slices.Sort(x)
	return x[(len(x)-1)/2]
}

// medianBudget returns the median of budgets, and 0 without budgets. Of two it takes the upper one, as the median of levels takes the lower
// one: both admit more. It sorts its argument.
func medianBudget(budgets []float64) float64 {
	if len(budgets) == 0 {
		return 0
	}
	slices.SortFunc(budgets, func(a, b float64) int { return cmp.Compare(effectiveBudget(a), effectiveBudget(b)) })
	return budgets[len(budgets)/2]
}

// effectiveBudget returns the work that a budget admits. A budget of 0 means no budget, which admits everything.
func effectiveBudget(budget float64) float64 {
	if budget == 0 {
		return math.Inf(1)
	}
	return budget
}

// encodeWork encodes an estimate of work as its logarithm in eighths of a doubling, so that it fits a byte and rarely changes.
func encodeWork(x float64) uint8 {
	if x <= 0 {
		return 0
	}
	return uint8(max(1, min(255, 128+math.Round(8*math.Log2(x)))))
}

// decodeWork reverses encodeWork, up to rounding.
func decodeWork(b uint8) float64 {
	if b == 0 {
		return 0
	}
	return math.Exp2((float64(b) - 128) / 8)
}
