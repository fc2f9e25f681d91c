package plan

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"beechgrade/internal/testkit/deterministic"
)

// brute finds the best plan of a group by trying every one, in whole units: the most worth, then the least crossing.
func brute(s *Settings, g *Group) (worth, cross int64) {
	zones := len(g.Capacities)
	room, left := make([]int64, 2*zones), make([]int64, len(g.Flows)) // the second half: for near reads alone
	for z := range zones {
		room[z], room[zones+z] = int64(math.Floor(s.SafeCapacity(&g.Capacities[z])/Unit+1e-6)), int64(math.Floor(s.LocalExtraCapacity(&g.Capacities[z])/Unit+1e-6))
	}
	for i := range left {
		left[i] = int64(math.Round(g.Flows[i].Load / Unit))
	}
	worth, cross = -1, 0
	var try func(i, z int, w, c int64)
	try = func(i, z int, w, c int64) {
		if z == len(room) {
			i, z = i+1, 0
		}
		if i == len(g.Flows) {
			if w > worth || w == worth && c < cross {
				worth, cross = w, c
			}
			return
		}
		f := &g.Flows[i]
		may, price := z < zones && s.allowed(f, g, z), int64(nearExtraCost)
		if z < zones {
			price = s.crossingCost(f.Zone, z)
		} else {
			may = z-zones == f.Zone && s.allowed(f, g, f.Zone)
		}
		for n := int64(0); n <= left[i] && n <= room[z] && (n == 0 || may); n++ {
			left[i] -= n
			room[z] -= n
			try(i, z+1, w+n*priorityCost(&s.Classes[f.Class]), c+n*price)
			left[i] += n
			room[z] += n
		}
	}
	try(0, 0, 0, 0)
	return worth, cross
}

func (s *Settings) value(g *Group, a *Solution) (worth, cross int64) {
	all := make([]int64, len(g.Capacities))
	defer func() {
		for z := range all {
			cross += nearExtraCost * max(0, all[z]-int64(s.SafeCapacity(&g.Capacities[z])/Unit+1e-6))
		}
	}()
	for i := range g.Flows {
		for z, p := range a.Shares[i] {
			n := int64(math.Round(p * g.Flows[i].Load / Unit))
			worth += n * priorityCost(&s.Classes[g.Flows[i].Class])
			cross += n * s.crossingCost(g.Flows[i].Zone, z)
			all[z] += n
		}
	}
	return worth, cross
}

func small(zones int) *Settings {
	s := &Settings{Classes: []Class{{Priority: 1}, {Priority: 3, MaxRoundTrip: 5, MaxAge: 100}}, CrossingPrice: 1, SpareShare: 0.5}
	for a := range zones {
		s.Delay = append(s.Delay, nil)
		for b := range zones {
			s.Delay[a] = append(s.Delay[a], float64((a-b)*(a-b)))
		}
	}
	return s
}

// TestSolveIsOptimalForSmallFleets: plans are compared with every other one: all fleets of two zones with two classes, and of three with
// one.
func TestSolveIsOptimalForSmallFleets(t *testing.T) {
	count := 0
	for zones := 2; zones <= 3; zones++ {
		s, flows, most := small(zones), 4, 3 // loads and rooms are below it
		if zones == 3 {
			flows = 3
		}
		ways := 1
		for range flows + zones {
			ways *= most
		}
		for kinds := range 1 << (2 * zones) { // keeps, takes
			for w := range ways {
				g := &Group{}
				x := w
				for i := range flows {
					class := i / zones
					if zones == 3 {
						class = w & 1
					}
					g.Flows = append(g.Flows, Flow{Class: class, Zone: i % zones, Load: float64(x%most) * Unit})
					x /= most
				}
				for z := range zones {
					g.Capacities = append(g.Capacities, Capacity{Cores: float64(2*(x%most)) * Unit, FixedCores: float64(x%most/2) * Unit, ServesLocal: kinds>>z&1 > 0, ServesRemote: kinds>>(zones+z)&1 > 0, Age: float64(z * 60)})
					x /= most
				}
				a := s.Solve(g)
				worth, cross := brute(s, g)
				if got, c := s.value(g, &a); got != worth || c != cross {
					t.Fatalf("%+v: worth %d and crossing %d, the best are %d and %d: %+v", g, got, c, worth, cross, a)
				}
				count++
			}
		}
	}
	if count != 1<<4*729+1<<6*729 {
		t.Errorf("%d fleets", count)
	}
}

func drawn(r *rapid.T, zones int) []Group {
	var groups []Group
	for i := range rapid.IntRange(1, 4).Draw(r, "groups") {
		g := Group{}
		for z := range zones {
			for c := range 2 {
				g.Flows = append(g.Flows, Flow{c, z, rapid.Float64Range(0, 3).Draw(r, fmt.Sprint("load", i))})
			}
			g.Capacities = append(g.Capacities, Capacity{Cores: rapid.Float64Range(0, 9).Draw(r, "cores"), FixedCores: rapid.Float64Range(0, 2).Draw(r, "fixed"), ServesLocal: rapid.Bool().Draw(r, "keeps"),
				ServesRemote: rapid.Bool().Draw(r, "takes")})
		}
		groups = append(groups, g)
	}
	return groups
}

// TestMatrixNeverExceedsSafeCapacity: for any groups no receiving zone exceeds its safe capacity by the matrix, nor on any step to it.
func TestMatrixNeverExceedsSafeCapacity(t *testing.T) {
	deterministic.Check(t, func(r *rapid.T) {
		zones := rapid.IntRange(2, 4).Draw(r, "zones")
		s := small(zones)
		s.SpareShare = rapid.Float64Range(0, 0.5).Draw(r, "spare")
		m := IdentityMatrix(zones)
		for range rapid.IntRange(1, 3).Draw(r, "plans") {
			groups := drawn(r, zones)
			var answers []Solution
			for i := range groups {
				answers = append(answers, s.Solve(&groups[i]))
			}
			want, _ := s.Fold(groups, answers)
			p := make([]StepLimit, zones)
			for z := range p {
				p[z] = StepLimit{Out: rapid.Float64Range(0.1, 1).Draw(r, "out"), Return: rapid.Float64Range(0.05, 0.3).Draw(r, "back")}
			}
			for range 4 {
				m = s.Step(m, want, groups, p)
				if most := s.MaxFill(m, groups); most > 1.001 {
					r.Fatalf("a zone that receives is at %.3f of its safe room: %v of %+v", most, m, groups)
				}
				if !s.Allowed(m, groups) {
					r.Fatalf("%v sends where nothing may go: %+v", m, groups)
				}
				from := make([]int, zones)
				for z := range from {
					from[z] = rapid.IntRange(0, 6).Draw(r, "poolers")
				}
				whole := s.Round(m, groups, from)
				if most := s.MaxFill(whole, groups); most > 1.001 || !s.Allowed(whole, groups) {
					r.Fatalf("rounded to %v, a zone is at %.3f: %v of %+v", whole, most, m, groups)
				}
				for z := range whole {
					for b, p := range whole[z] {
						if x := p * float64(from[z]); b != z && from[z] > 0 && math.Abs(x-math.Round(x)) > 1e-6 {
							r.Fatalf("%v has parts of one of %d poolers", whole, from[z])
						}
					}
				}
				for z := range m {
					sum := 0.0
					for _, p := range m[z] {
						sum += p
					}
					if sum > 1.001 {
						r.Fatalf("zone %d sends %.3f of its reads: %v", z, sum, m)
					}
				}
			}
		}
	})
}

// TestStepsOutAreLargeAndBackSmall: reads leave in large steps and return in small ones, and arrive in the end; a dead zone is left at
// once.
func TestStepsOutAreLargeAndBackSmall(t *testing.T) {
	s, far := small(2), Matrix{{0, 1}, {0, 1}}
	well := []Group{{Flows: []Flow{{0, 0, 1}, {0, 1, 1}}, Capacities: []Capacity{{Cores: 9, ServesLocal: true, ServesRemote: true}, {Cores: 9, ServesLocal: true, ServesRemote: true}}}}
	m, steps, slow := far, 0, []StepLimit{{0.5, 0.1}, {0.5, 0.1}}
	for ; m[0][0] < 0.999 && steps < 100; steps++ {
		next := s.Step(m, IdentityMatrix(2), well, slow)
		if next[0][0]-m[0][0] > 0.1001 {
			t.Fatalf("a step back of %.2f", next[0][0]-m[0][0])
		}
		m = next
	}
	if steps != 10 {
		t.Errorf("back after %d steps", steps)
	}
	if m = s.Step(IdentityMatrix(2), far, well, slow); m[0][1] != 0.5 {
		t.Errorf("a step out of %v", m)
	}
	if m = s.Step(IdentityMatrix(2), far, well, []StepLimit{{1, 0.1}, {0.5, 0.1}}); m[0][1] != 1 {
		t.Errorf("a zone that is gone is left by %v", m)
	}
}

// TestRoundMovesWholePoolers: whole poolers move, as many as is safe; a zone in which nothing stays is left by all.
func TestRoundMovesWholePoolers(t *testing.T) {
	s := small(3)
	s.SpareShare = 0
	group := []Group{{Flows: []Flow{{0, 0, 2}}, Capacities: []Capacity{{Cores: 2, ServesLocal: true}, {Cores: 0.5, ServesRemote: true}, {Cores: 9, ServesRemote: true}}}}
	for _, c := range []struct {
		row, want []float64
		n         int
	}{
		{[]float64{0.6, 0.2, 0.2}, []float64{0.5, 0.25, 0.25}, 4}, // two are nearer than one
		{[]float64{0, 0.25, 0.75}, []float64{0, 0.25, 0.75}, 4},
		{[]float64{0, 0.24, 0.76}, []float64{0, 0, 1}, 2},
		{[]float64{0.9, 0, 0.1}, []float64{1, 0, 0}, 2},
		{[]float64{0, 0.25, 0.4}, []float64{0, 0, 1}, 1}, // there is room
		{[]float64{0, 0.25, 0.4}, []float64{0, 0.25, 0.4}, 0},
	} {
		m := IdentityMatrix(3)
		m[0] = c.row
		got := s.Round(m, group, []int{c.n, 1, 1})[0]
		for b := range got {
			if math.Abs(got[b]-c.want[b]) > 1e-9 {
				t.Errorf("%v of %d poolers: %v, want %v", c.row, c.n, got, c.want)
				break
			}
		}
	}
}
