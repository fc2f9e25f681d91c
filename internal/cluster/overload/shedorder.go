package overload

import (
	"cmp"
	"math"
	"slices"
)

// cellOrder numbers the cells of the order: by class in the order of shedding, idempotent ones first.
type cellOrder struct {
	byClass map[uint16][4]int
	count   int
}

func cellsOf(order []uint16, once map[uint16]bool) cellOrder {
	c := cellOrder{byClass: map[uint16][4]int{}}
	for _, last := range []bool{false, true} {
		for stage := range 4 {
			for _, k := range order {
				if once[k] == last {
					x := c.byClass[k]
					x[stage] = c.count
					c.byClass[k] = x
					c.count++
				}
			}
		}
	}
	return c
}

// orderClasses sorts classes by priority for their work; equal ones by priority, and then the longest objective first. A previous order that
// is about right stays.
func orderClasses(old []uint16, worth, work, aim map[uint16]float64) []uint16 {
	keys := make([]uint16, 0, len(worth))
	dear := map[uint16]float64{}
	for k, w := range worth { // sorted below: the map's order does not matter
		keys = append(keys, k)
		dear[k] = w / max(1e-9, work[k])
	}
	slices.SortFunc(keys, func(a, b uint16) int {
		return cmp.Or(cmp.Compare(dear[a], dear[b]), cmp.Compare(worth[a], worth[b]), cmp.Compare(aim[b], aim[a]), cmp.Compare(a, b))
	})
	if len(old) != len(keys) {
		return keys
	}
	most := 0.0
	for _, k := range old {
		d, ok := dear[k]
		if !ok || d < most/toleranceFactor {
			return keys
		}
		most = max(most, d)
	}
	return old
}

const toleranceFactor = 1.25

// levelFor returns the level below which as much demand stands as is to be shed.
func levelFor(demand []float64, need float64) float64 {
	for i, d := range demand {
		if need <= 0 {
			return float64(i)
		}
		if need < d {
			return float64(i) + need/d
		}
		need -= d
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

// beyondQuota returns the part of each tenant's demand that is beyond its share of a budget. What some do not use is divided among the others.
func beyondQuota(want, share []float64, budget float64) []float64 {
	out := make([]float64, len(want))
	left, shares, open := budget, 0.0, []int{}
	for i := range want {
		if share[i] > 0 && want[i] > 0 {
			open = append(open, i)
			shares += share[i]
		} else {
			left -= want[i] // a tenant without a share is never beyond it
		}
	}
	slices.SortStableFunc(open, func(a, b int) int { return cmp.Compare(want[a]/share[a], want[b]/share[b]) })
	for _, i := range open {
		gets := min(want[i], max(0, left)*share[i]/shares)
		out[i] = 1 - gets/want[i]
		left -= gets
		shares -= share[i]
	}
	return out
}

// lowerMedian returns the median, the lower of two; 0 of none. It sorts its argument.
func lowerMedian(x []float64) float64 {
	if len(x) == 0 {
		return 0
	}
	slices.Sort(x)
	return x[(len(x)-1)/2]
}

// medianBudget returns the median of budgets, the upper of two where that of levels is the lower: both admit more. It is 0 of none.
func medianBudget(budgets []float64) float64 {
	if len(budgets) == 0 {
		return 0
	}
	slices.SortFunc(budgets, func(a, b float64) int { return cmp.Compare(effectiveBudget(a), effectiveBudget(b)) })
	return budgets[len(budgets)/2]
}

// effectiveBudget returns how much a budget admits: 0 is none, which admits everything.
func effectiveBudget(budget float64) float64 {
	if budget == 0 {
		return math.Inf(1)
	}
	return budget
}

// encodeWork rounds an estimate of work to eighths of a doubling, so that it takes a byte and rarely changes.
func encodeWork(x float64) uint8 {
	if x <= 0 {
		return 0
	}
	return uint8(max(1, min(255, 128+math.Round(8*math.Log2(x)))))
}

func decodeWork(b uint8) float64 {
	if b == 0 {
		return 0
	}
	return math.Exp2((float64(b) - 128) / 8)
}
