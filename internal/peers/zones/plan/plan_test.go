package plan

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"beechgrade/internal/steady"
)

// brute finds the best plan of a group by trying every one, in whole units: the most worth, then the least crossing.
func brute(s *Settings, g *Group) (worth, cross int64) {
	room, left := make([]int64, len(g.Rooms)), make([]int64, len(g.Flows))
	for z := range room {
		room[z] = int64(math.Floor(s.Safe(&g.Rooms[z])/Unit + 1e-6))
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
		for n := int64(0); n <= left[i] && n <= room[z] && (n == 0 || s.may(f, g, z)); n++ {
			left[i] -= n
			room[z] -= n
			try(i, z+1, w+n*worthOf(&s.Classes[f.Class]), c+n*s.crossing(f.Zone, z))
			left[i] += n
			room[z] += n
		}
	}
	try(0, 0, 0, 0)
	return worth, cross
}

func (s *Settings) value(g *Group, a *Answer) (worth, cross int64) {
	for i := range g.Flows {
		for z, p := range a.To[i] {
			n := int64(math.Round(p * g.Flows[i].Load / Unit))
			worth += n * worthOf(&s.Classes[g.Flows[i].Class])
			cross += n * s.crossing(g.Flows[i].Zone, z)
		}
	}
	return worth, cross
}

func small(zones int) *Settings {
	s := &Settings{Classes: []Class{{Worth: 1}, {Worth: 3, Reach: 5, Age: 100}}, Price: 1}
	for a := range zones {
		s.Delay = append(s.Delay, nil)
		for b := range zones {
			s.Delay[a] = append(s.Delay[a], float64((a-b)*(a-b)))
		}
	}
	return s
}

// TestEverySmallFleet holds plans against every other one: all fleets of two zones with two classes, and of three with one.
func TestEverySmallFleet(t *testing.T) {
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
					g.Rooms = append(g.Rooms, Room{Cores: float64(x%most) * Unit, Keeps: kinds>>z&1 > 0, Takes: kinds>>(zones+z)&1 > 0, Age: float64(z * 60)})
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
			g.Rooms = append(g.Rooms, Room{Cores: rapid.Float64Range(0, 9).Draw(r, "cores"), Fixed: rapid.Float64Range(0, 2).Draw(r, "fixed"), Keeps: rapid.Bool().Draw(r, "keeps"),
				Takes: rapid.Bool().Draw(r, "takes")})
		}
		groups = append(groups, g)
	}
	return groups
}

// TestMatrixIsSafe: whatever groups there are, no zone that receives is above its safe room by the matrix, nor on any step of a way to it.
func TestMatrixIsSafe(t *testing.T) {
	steady.Check(t, func(r *rapid.T) {
		zones := rapid.IntRange(2, 4).Draw(r, "zones")
		s := small(zones)
		s.Spare = rapid.Float64Range(0, 0.5).Draw(r, "spare")
		m := Near(zones)
		for range rapid.IntRange(1, 3).Draw(r, "plans") {
			groups := drawn(r, zones)
			var answers []Answer
			for i := range groups {
				answers = append(answers, s.Solve(&groups[i]))
			}
			want, _ := s.Fold(groups, answers)
			p := make([]Pace, zones)
			for z := range p {
				p[z] = Pace{Out: rapid.Float64Range(0.1, 1).Draw(r, "out"), Back: rapid.Float64Range(0.05, 0.3).Draw(r, "back")}
			}
			for range 4 {
				m = s.Step(m, want, groups, p)
				if most := s.Most(m, groups); most > 1.001 {
					r.Fatalf("a zone that receives is at %.3f of its safe room: %v of %+v", most, m, groups)
				}
				if !s.Allowed(m, groups) {
					r.Fatalf("%v sends where nothing may go: %+v", m, groups)
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

// TestStepsBackAreSmall: out in big steps, back in small ones, and there in the end; what is dead is left at once.
func TestStepsBackAreSmall(t *testing.T) {
	s, far := small(2), Matrix{{0, 1}, {0, 1}}
	well := []Group{{Flows: []Flow{{0, 0, 1}, {0, 1, 1}}, Rooms: []Room{{Cores: 9, Keeps: true, Takes: true}, {Cores: 9, Keeps: true, Takes: true}}}}
	m, steps, slow := far, 0, []Pace{{0.5, 0.1}, {0.5, 0.1}}
	for ; m[0][0] < 0.999 && steps < 100; steps++ {
		next := s.Step(m, Near(2), well, slow)
		if next[0][0]-m[0][0] > 0.1001 {
			t.Fatalf("a step back of %.2f", next[0][0]-m[0][0])
		}
		m = next
	}
	if steps != 10 {
		t.Errorf("back after %d steps", steps)
	}
	if m = s.Step(Near(2), far, well, slow); m[0][1] != 0.5 {
		t.Errorf("a step out of %v", m)
	}
	if m = s.Step(Near(2), far, well, []Pace{{1, 0.1}, {0.5, 0.1}}); m[0][1] != 1 {
		t.Errorf("a zone that is gone is left by %v", m)
	}
}
