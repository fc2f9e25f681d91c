package overload

import (
	"cmp"
	"math"
	"slices"
)

// cellOrder numbers the cells of the order: by class in the order of shedding, safe ones before those that must not run twice.
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

// orderClasses sorts classes by worth for work, equals by worth and then the longest aim first, and leaves the order that there was where it is about right.
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

// levelFor is the level at which as much as need stands below it.
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

// admittedDemand is the demand that a level lets in.
func admittedDemand(demand []float64, level float64) (sum float64) {
	for i, d := range demand {
		sum += d * max(0, min(1, float64(i+1)-level))
	}
	return sum
}

// beyondQuota is the part of each tenant's demand that is beyond its share of a budget; what some leave is the others'.
func beyondQuota(want, share []float64, budget float64) []float64 {
	out := make([]float64, len(want))
	left, shares, open := budget, 0.0, []int{}
	for i := range want {
		if share[i] > 0 && want[i] > 0 {
			open = append(open, i)
			shares += share[i]
		} else {
			left -= want[i] // one without a share of its own is never beyond it
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

// lowerMedian is the median, the lower of two; 0 of none.
func lowerMedian(x []float64) float64 {
	if len(x) == 0 {
		return 0
	}
	slices.Sort(x)
	return x[(len(x)-1)/2]
}

// medianBudget is the median of budgets, the upper of two where that of levels is the lower: both let in more. It is 0 of none.
func medianBudget(budgets []float64) float64 {
	if len(budgets) == 0 {
		return 0
	}
	slices.SortFunc(budgets, func(a, b float64) int { return cmp.Compare(effectiveBudget(a), effectiveBudget(b)) })
	return budgets[len(budgets)/2]
}

// effectiveBudget is how much a budget lets in: 0 is none, which lets in everything.
func effectiveBudget(budget float64) float64 {
	if budget == 0 {
		return math.Inf(1)
	}
	return budget
}

// encodeWork rounds a guess of work to eighths of a doubling, so that it takes a byte and hardly ever changes.
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
