package plan

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"beechgrade/internal/testkit/deterministic"
)

// bestByEnumeration tries every solution of a group in whole units, and returns the highest priority that can be served and the lowest cost
// of crossing for it.
func bestByEnumeration(s *Settings, g *Group) (priority, cost int64) {
	zones := len(g.Capacities)
	capacity, left := make([]int64, 2*zones), make([]int64, len(g.Flows)) // the second half of capacity: for local reads only
	for z := range zones {
		capacity[z], capacity[zones+z] = int64(math.Floor(s.SafeCapacity(&g.Capacities[z])/Unit+1e-6)), int64(math.Floor(s.LocalExtraCapacity(&g.Capacities[z])/Unit+1e-6))
	}
	for i := range left {
		left[i] = int64(math.Round(g.Flows[i].Load / Unit))
	}
	priority, cost = -1, 0
	var try func(i, z int, p, c int64)
	try = func(i, z int, p, c int64) {
		if z == len(capacity) {
			i, z = i+1, 0
		}
		if i == len(g.Flows) {
			if p > priority || p == priority && c < cost {
				priority, cost = p, c
			}
			return
		}
		f := &g.Flows[i]
		allowed, unitCost := z < zones && s.allowed(f, g, z), int64(localExtraCost)
		if z < zones {
			unitCost = s.crossingCost(f.Zone, z)
		} else {
			allowed = z-zones == f.Zone && s.allowed(f, g, f.Zone)
		}
		for n := int64(0); n <= left[i] && n <= capacity[z] && (n == 0 || allowed); n++ {
			left[i] -= n
			capacity[z] -= n
			try(i, z+1, p+n*priorityCost(&s.Classes[f.Class]), c+n*unitCost)
			left[i] += n
			capacity[z] += n
		}
	}
	try(0, 0, 0, 0)
	return priority, cost
}

// value returns the priority that a solution serves, and its cost of crossing.
func (s *Settings) value(g *Group, solution *Solution) (priority, cost int64) {
	all := make([]int64, len(g.Capacities))
	defer func() {
		for z := range all {
			cost += localExtraCost * max(0, all[z]-int64(s.SafeCapacity(&g.Capacities[z])/Unit+1e-6))
		}
	}()
	for i := range g.Flows {
		for z, share := range solution.Shares[i] {
			n := int64(math.Round(share * g.Flows[i].Load / Unit))
			priority += n * priorityCost(&s.Classes[g.Flows[i].Class])
			cost += n * s.crossingCost(g.Flows[i].Zone, z)
			all[z] += n
		}
	}
	return priority, cost
}

func testSettings(zones int) *Settings {
	settings := &Settings{Classes: []Class{{Priority: 1}, {Priority: 3, MaxRoundTrip: 5, MaxAge: 100}}, CrossingPrice: 1, SpareShare: 0.5}
	for a := range zones {
		settings.Delay = append(settings.Delay, nil)
		for b := range zones {
			settings.Delay[a] = append(settings.Delay[a], float64((a-b)*(a-b)))
		}
	}
	return settings
}

// TestSolveIsOptimalForSmallFleets compares solutions with the best ones found by enumeration, for all small fleets of two zones with two
// classes, and of three zones with one class in a group.
func TestSolveIsOptimalForSmallFleets(t *testing.T) {
	count := 0
	for zones := 2; zones <= 3; zones++ {
		settings, flows, limit := testSettings(zones), 4, 3 // loads and capacities are below limit
		if zones == 3 {
			flows = 3
		}
		combinations := 1
		for range flows + zones {
			combinations *= limit
		}
		for kinds := range 1 << (2 * zones) { // bits: ServesLocal of each zone, then ServesRemote
			for combination := range combinations {
				g := &Group{}
				x := combination
				for i := range flows {
					class := i / zones
					if zones == 3 {
						class = combination & 1
					}
					g.Flows = append(g.Flows, Flow{Class: class, Zone: i % zones, Load: float64(x%limit) * Unit})
					x /= limit
				}
				for z := range zones {
					g.Capacities = append(g.Capacities, Capacity{Cores: float64(2*(x%limit)) * Unit, FixedCores: float64(x%limit/2) * Unit, ServesLocal: kinds>>z&1 > 0, ServesRemote: kinds>>(zones+z)&1 > 0, Age: float64(z * 60)})
					x /= limit
				}
				solution := settings.Solve(g)
				priority, cost := bestByEnumeration(settings, g)
				if p, c := settings.value(g, &solution); p != priority || c != cost {
					t.Fatalf("group %+v: the solution serves priority %d at cost %d, want %d at cost %d: %+v", g, p, c, priority, cost, solution)
				}
				count++
			}
		}
	}
	if count != 1<<4*729+1<<6*729 {
		t.Errorf("%d fleets were compared, want %d", count, 1<<4*729+1<<6*729)
	}
}

func drawGroups(r *rapid.T, zones int) []Group {
	var groups []Group
	for i := range rapid.IntRange(1, 4).Draw(r, "groups") {
		g := Group{}
		for z := range zones {
			for c := range 2 {
				g.Flows = append(g.Flows, Flow{c, z, rapid.Float64Range(0, 3).Draw(r, fmt.Sprint("load", i))})
			}
			g.Capacities = append(g.Capacities, Capacity{Cores: rapid.Float64Range(0, 9).Draw(r, "cores"), FixedCores: rapid.Float64Range(0, 2).Draw(r, "fixed"), ServesLocal: rapid.Bool().Draw(r, "serves local"),
				ServesRemote: rapid.Bool().Draw(r, "serves remote")})
		}
		groups = append(groups, g)
	}
	return groups
}

// TestMatrixNeverExceedsSafeCapacity: for any groups, the matrix sends no receiving zone more than its safe capacity, nor does any step
// towards it.
func TestMatrixNeverExceedsSafeCapacity(t *testing.T) {
	deterministic.Check(t, func(r *rapid.T) {
		zones := rapid.IntRange(2, 4).Draw(r, "zones")
		settings := testSettings(zones)
		settings.SpareShare = rapid.Float64Range(0, 0.5).Draw(r, "spare")
		matrix := IdentityMatrix(zones)
		for range rapid.IntRange(1, 3).Draw(r, "plans") {
			groups := drawGroups(r, zones)
			var solutions []Solution
			for i := range groups {
				solutions = append(solutions, settings.Solve(&groups[i]))
			}
			target, _ := settings.Fold(groups, solutions)
			limits := make([]StepLimit, zones)
			for z := range limits {
				limits[z] = StepLimit{Out: rapid.Float64Range(0.1, 1).Draw(r, "out"), Return: rapid.Float64Range(0.05, 0.3).Draw(r, "return")}
			}
			for range 4 {
				matrix = settings.Step(matrix, target, groups, limits)
				if fill := settings.MaxFill(matrix, groups); fill > 1.001 {
					r.Fatalf("a receiving zone is sent %.3f of its safe capacity, want at most 1.001: matrix %v, groups %+v", fill, matrix, groups)
				}
				if !settings.Allowed(matrix, groups) {
					r.Fatalf("matrix %v sends reads to a zone that does not serve remote ones: groups %+v", matrix, groups)
				}
				poolers := make([]int, zones)
				for z := range poolers {
					poolers[z] = rapid.IntRange(0, 6).Draw(r, "poolers")
				}
				rounded := settings.Round(matrix, groups, poolers)
				if fill := settings.MaxFill(rounded, groups); fill > 1.001 || !settings.Allowed(rounded, groups) {
					r.Fatalf("matrix rounded to %v is not allowed or sends a receiving zone %.3f of its safe capacity: matrix %v, groups %+v", rounded, fill, matrix, groups)
				}
				for z := range rounded {
					for to, share := range rounded[z] {
						if x := share * float64(poolers[z]); to != z && poolers[z] > 0 && math.Abs(x-math.Round(x)) > 1e-6 {
							r.Fatalf("zone %d with %d poolers sends %.3f poolers to zone %d, want a whole number: %v", z, poolers[z], x, to, rounded)
						}
					}
				}
				for z := range matrix {
					sum := 0.0
					for _, share := range matrix[z] {
						sum += share
					}
					if sum > 1.001 {
						r.Fatalf("the shares of zone %d sum to %.3f, want at most 1.001: matrix %v", z, sum, matrix)
					}
				}
			}
		}
	})
}

// TestStepLimitsDifferByDirection: reads leave a zone in large steps and return in small ones until the target is reached. With a limit of
// 1 all reads leave at once.
func TestStepLimitsDifferByDirection(t *testing.T) {
	settings, evacuated := testSettings(2), Matrix{{0, 1}, {0, 1}}
	groups := []Group{{Flows: []Flow{{0, 0, 1}, {0, 1, 1}}, Capacities: []Capacity{{Cores: 9, ServesLocal: true, ServesRemote: true}, {Cores: 9, ServesLocal: true, ServesRemote: true}}}}
	matrix, steps, limits := evacuated, 0, []StepLimit{{0.5, 0.1}, {0.5, 0.1}}
	for ; matrix[0][0] < 0.999 && steps < 100; steps++ {
		next := settings.Step(matrix, IdentityMatrix(2), groups, limits)
		if next[0][0]-matrix[0][0] > 0.1001 {
			t.Fatalf("one step returns a share of %.2f, want at most 0.1", next[0][0]-matrix[0][0])
		}
		matrix = next
	}
	if steps != 10 {
		t.Errorf("reads returned after %d steps, want 10", steps)
	}
	if matrix = settings.Step(IdentityMatrix(2), evacuated, groups, limits); matrix[0][1] != 0.5 {
		t.Errorf("matrix after a step out of zone 0 is %v, want a share of 0.5 in zone 1", matrix)
	}
	if matrix = settings.Step(IdentityMatrix(2), evacuated, groups, []StepLimit{{1, 0.1}, {0.5, 0.1}}); matrix[0][1] != 1 {
		t.Errorf("matrix after a step out of zone 0 with a limit of 1 is %v, want a share of 1 in zone 1", matrix)
	}
}

// TestRoundMovesWholePoolers: whole poolers move, as many as is safe; if no reads are to stay in a zone, all its poolers leave.
func TestRoundMovesWholePoolers(t *testing.T) {
	settings := testSettings(3)
	settings.SpareShare = 0
	group := []Group{{Flows: []Flow{{0, 0, 2}}, Capacities: []Capacity{{Cores: 2, ServesLocal: true}, {Cores: 0.5, ServesRemote: true}, {Cores: 9, ServesRemote: true}}}}
	for _, c := range []struct {
		row, want []float64
		poolers   int
	}{
		{[]float64{0.6, 0.2, 0.2}, []float64{0.5, 0.25, 0.25}, 4}, // 1.6 poolers are to leave: two are nearer than one
		{[]float64{0, 0.25, 0.75}, []float64{0, 0.25, 0.75}, 4},
		{[]float64{0, 0.24, 0.76}, []float64{0, 0, 1}, 2},
		{[]float64{0.9, 0, 0.1}, []float64{1, 0, 0}, 2},
		{[]float64{0, 0.25, 0.4}, []float64{0, 0, 1}, 1}, // the remainder has safe capacity too
		{[]float64{0, 0.25, 0.4}, []float64{0, 0.25, 0.4}, 0},
	} {
		matrix := IdentityMatrix(3)
		matrix[0] = c.row
		got := settings.Round(matrix, group, []int{c.poolers, 1, 1})[0]
		for to := range got {
			if math.Abs(got[to]-c.want[to]) > 1e-9 {
				t.Errorf("row %v with %d poolers: rounded to %v, want %v", c.row, c.poolers, got, c.want)
				break
			}
		}
	}
}
