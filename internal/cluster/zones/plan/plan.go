// Package plan says which part of each zone's reads stays near, and which goes where. Pure: what is known of the fleet in, a plan out, the
// same for the same.
//
// Groups share no servers, so each is solved by itself (Solve): its flows, the reads of a class that clients of a zone ask, against the
// room that its servers have in each zone. First as much worth as there is safe room for is served, the least worth first left out;
// of all ways to do that the one that crosses for the least price and delay is taken. A room is safe up to what its servers can do, less
// a spare part and what only they can do (writes, fresh reads); near reads alone may take some of the spare part before they cross.
//
// Poolers have one near zone for all groups, so what the fleet agrees on is a Matrix: by zone, the part of its reads that goes to each
// (Fold). No group of a zone that receives is above its safe room by it: where one would be, less goes there.
//
// It does not know who is right about the load, nor what a pooler makes of a share.
package plan

import "math"

// Unit is what load is counted in, in cores: loads are rounded up to it, rooms down.
const Unit = 0.001

// Class is a class of reads that any server may answer whose data is new enough.
type Class struct {
	Worth float64 // of a core's work for it
	Reach float64 // ms there and back that it may cross, 0 for any
	Age   float64 // ms that its data may be old, 0 for any
}

// Settings are the same for all groups.
type Settings struct {
	Classes []Class
	Delay   [][]float64 // ms one way, from the zone of a pooler to that of a server; endless where nothing may go
	Price   float64     // of crossing, as ms of delay
	Spare   float64     // part of a zone's servers that is kept free of what comes from elsewhere
	Tight   float64     // ...and of near reads, before they go elsewhere
}

// Flow is what is asked of a group: the work of a class from clients near a zone, in cores.
type Flow struct {
	Class, Zone int
	Load        float64
}

// Room is what a group's servers in a zone can do.
type Room struct {
	Cores float64 // of servers that serve
	Fixed float64 // of them taken by what cannot go elsewhere
	Age   float64 // ms that their data is old
	Keeps bool    // near reads may go there
	Takes bool    // reads of other zones too
}

// Group is one.
type Group struct {
	Flows []Flow
	Rooms []Room // by zone
}

// Safe is what reads may take of a room that receives.
func (s *Settings) Safe(r *Room) float64 { return max(0, r.Cores*(1-s.Spare)-r.Fixed) }

// Beyond is what near reads alone may take above that.
func (s *Settings) Beyond(r *Room) float64 {
	return max(0, r.Cores*(1-min(s.Spare, s.Tight))-r.Fixed) - s.Safe(r)
}

// Answer is a group's plan.
type Answer struct {
	To    [][]float64 // by flow and zone: the part of it that goes there; what is missing to 1 is shed
	Left  float64     // cores of work for which there is no safe room
	Cross float64     // cores of work that cross
}

// Feasible tells whether all is served.
func (a *Answer) Feasible() bool { return a.Left <= 0 }

// may tells whether a flow may go to a zone.
func (s *Settings) may(f *Flow, g *Group, to int) bool {
	r, c := &g.Rooms[to], &s.Classes[f.Class]
	if f.Zone == to {
		return r.Keeps && (c.Age <= 0 || r.Age <= c.Age)
	}
	return r.Takes && !s.Cut(f.Zone, to) && (c.Age <= 0 || r.Age <= c.Age) && (c.Reach <= 0 || 2*s.Delay[f.Zone][to] <= c.Reach)
}

// Cut tells whether nothing may go from one zone to another.
func (s *Settings) Cut(from, to int) bool { return math.IsInf(s.Delay[from][to], 1) }

// crossing is the price of a unit from one zone to another, in whole microseconds.
func (s *Settings) crossing(from, to int) int64 {
	if from == to || s.Cut(from, to) {
		return 0
	}
	return 2*beyond + int64(math.Round(1000*(s.Price+max(0, s.Delay[from][to]))))
}

const beyond = 1 // the price of a unit that is served near above what is safe for one that receives: less than any crossing

const worths = 1000 // a worth counts in so many parts of one

func worthOf(c *Class) int64 { return 1 + int64(math.Round(worths*max(0, c.Worth))) }

// Solve makes a group's plan.
func (s *Settings) Solve(g *Group) Answer {
	n := &net{}
	src, flows, zones, own := n.node(), make([]int, len(g.Flows)), make([]int, len(g.Rooms)), make([]int, len(g.Rooms))
	for i := range flows {
		flows[i] = n.node()
	}
	for z := range zones {
		zones[z], own[z] = n.node(), n.node()
	}
	sink := n.node()
	most := int64(1)
	for a := range g.Rooms {
		for b := range g.Rooms {
			most = max(most, s.crossing(a, b))
		}
	}
	weight := most*int64(2*len(g.Rooms)+2) + 1 // any worth outweighs every crossing that a way may have
	loads := make([]int64, len(g.Flows))
	at := make([][]int, len(g.Flows))
	for i := range g.Flows {
		f := &g.Flows[i]
		loads[i] = int64(math.Ceil(f.Load/Unit - 1e-6))
		n.edge(src, flows[i], loads[i], -worthOf(&s.Classes[f.Class])*weight)
		at[i] = make([]int, len(g.Rooms)+1)
		at[i][len(g.Rooms)] = -1
		if z := f.Zone; s.may(f, g, z) {
			at[i][len(g.Rooms)] = n.edge(flows[i], own[z], math.MaxInt32, beyond)
		}
		for z := range g.Rooms {
			at[i][z] = -1
			if s.may(f, g, z) {
				at[i][z] = n.edge(flows[i], zones[z], math.MaxInt32, s.crossing(f.Zone, z))
			}
		}
	}
	for z := range g.Rooms {
		n.edge(zones[z], sink, int64(s.Safe(&g.Rooms[z])/Unit+1e-6), 0)
		n.edge(own[z], sink, int64(s.Beyond(&g.Rooms[z])/Unit+1e-6), 0)
	}
	n.run(src, sink)
	a := Answer{To: make([][]float64, len(g.Flows))}
	for i := range g.Flows {
		a.To[i] = make([]float64, len(g.Rooms))
		left := loads[i]
		for z, e := range at[i] {
			if e < 0 || loads[i] == 0 {
				continue
			}
			used := n.edges[e^1].room
			if z == len(g.Rooms) {
				z = g.Flows[i].Zone
			}
			a.To[i][z] += float64(used) / float64(loads[i])
			if left -= used; z != g.Flows[i].Zone {
				a.Cross += float64(used) * Unit
			}
		}
		a.Left += float64(left) * Unit
	}
	return a
}

// net is a network in which flow is as cheap as can be: by shortest ways, one after another.
type net struct {
	edges []edge // each one with its way back behind it
	from  [][]int
}

type edge struct {
	to         int
	room, cost int64
}

func (n *net) node() int {
	n.from = append(n.from, nil)
	return len(n.from) - 1
}

func (n *net) edge(a, b int, room, cost int64) int {
	e := len(n.edges)
	n.edges = append(n.edges, edge{b, room, cost}, edge{a, 0, -cost})
	n.from[a], n.from[b] = append(n.from[a], e), append(n.from[b], e+1)
	return e
}

// run sends as much as is worth it. A way never leaves the source twice, so what was served once stays served.
func (n *net) run(src, sink int) {
	dist, by := make([]int64, len(n.from)), make([]int, len(n.from))
	for {
		for i := range dist {
			dist[i], by[i] = math.MaxInt64, -1
		}
		dist[src] = 0
		for news := true; news; {
			news = false
			for a := range n.from {
				if dist[a] == math.MaxInt64 {
					continue
				}
				for _, e := range n.from[a] {
					if x := &n.edges[e]; x.room > 0 && dist[a]+x.cost < dist[x.to] {
						dist[x.to], by[x.to], news = dist[a]+x.cost, e, true
					}
				}
			}
		}
		if by[sink] < 0 || dist[sink] >= 0 {
			return
		}
		push := int64(math.MaxInt64)
		for v := sink; v != src; v = n.edges[by[v]^1].to {
			push = min(push, n.edges[by[v]].room)
		}
		for v := sink; v != src; v = n.edges[by[v]^1].to {
			n.edges[by[v]].room -= push
			n.edges[by[v]^1].room += push
		}
	}
}
