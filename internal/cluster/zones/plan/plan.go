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
	Priority     float64 // of a core's work for it
	MaxRoundTrip float64 // ms there and back that it may cross, 0 for any
	MaxAge       float64 // ms that its data may be old, 0 for any
}

// Settings are the same for all groups.
type Settings struct {
	Classes        []Class
	Delay          [][]float64 // ms one way, from the zone of a pooler to that of a server; endless where nothing may go
	CrossingPrice  float64     // of crossing, as ms of delay
	SpareShare     float64     // part of a zone's servers that is kept free of what comes from elsewhere
	NearSpareShare float64     // ...and of near reads, before they go elsewhere
}

// Flow is what is asked of a group: the work of a class from clients near a zone, in cores.
type Flow struct {
	Class, Zone int
	Load        float64
}

// Capacity is what a group's servers in a zone can do.
type Capacity struct {
	Cores        float64 // of servers that serve
	FixedCores   float64 // of them taken by what cannot go elsewhere
	Age          float64 // ms that their data is old
	ServesNear   bool    // near reads may go there
	ServesRemote bool    // reads of other zones too
}

// Group is one.
type Group struct {
	Flows      []Flow
	Capacities []Capacity // by zone
}

// SafeCapacity is what reads may take of a room that receives.
func (s *Settings) SafeCapacity(r *Capacity) float64 {
	return max(0, r.Cores*(1-s.SpareShare)-r.FixedCores)
}

// NearExtraCapacity is what near reads alone may take above that.
func (s *Settings) NearExtraCapacity(r *Capacity) float64 {
	return max(0, r.Cores*(1-min(s.SpareShare, s.NearSpareShare))-r.FixedCores) - s.SafeCapacity(r)
}

// Solution is a group's plan.
type Solution struct {
	Shares   [][]float64 // by flow and zone: the part of it that goes there; what is missing to 1 is shed
	Unserved float64     // cores of work for which there is no safe room
	Crossing float64     // cores of work that cross
}

// Feasible tells whether all is served.
func (a *Solution) Feasible() bool { return a.Unserved <= 0 }

// allowed tells whether a flow may go to a zone.
func (s *Settings) allowed(f *Flow, g *Group, to int) bool {
	r, c := &g.Capacities[to], &s.Classes[f.Class]
	if f.Zone == to {
		return r.ServesNear && (c.MaxAge <= 0 || r.Age <= c.MaxAge)
	}
	return r.ServesRemote && !s.Unreachable(f.Zone, to) && (c.MaxAge <= 0 || r.Age <= c.MaxAge) && (c.MaxRoundTrip <= 0 || 2*s.Delay[f.Zone][to] <= c.MaxRoundTrip)
}

// Unreachable tells whether nothing may go from one zone to another.
func (s *Settings) Unreachable(from, to int) bool { return math.IsInf(s.Delay[from][to], 1) }

// crossingCost is the price of a unit from one zone to another, in whole microseconds.
func (s *Settings) crossingCost(from, to int) int64 {
	if from == to || s.Unreachable(from, to) {
		return 0
	}
	return 2*nearExtraCost + int64(math.Round(1000*(s.CrossingPrice+max(0, s.Delay[from][to]))))
}

const nearExtraCost = 1 // the price of a unit that is served near above what is safe for one that receives: less than any crossing

const priorityScale = 1000 // a worth counts in so many parts of one

func priorityCost(c *Class) int64 { return 1 + int64(math.Round(priorityScale*max(0, c.Priority))) }

// Solve makes a group's plan.
func (s *Settings) Solve(g *Group) Solution {
	n := &flowNetwork{}
	src, flows, zones, own := n.node(), make([]int, len(g.Flows)), make([]int, len(g.Capacities)), make([]int, len(g.Capacities))
	for i := range flows {
		flows[i] = n.node()
	}
	for z := range zones {
		zones[z], own[z] = n.node(), n.node()
	}
	sink := n.node()
	most := int64(1)
	for a := range g.Capacities {
		for b := range g.Capacities {
			most = max(most, s.crossingCost(a, b))
		}
	}
	weight := most*int64(2*len(g.Capacities)+2) + 1 // any worth outweighs every crossing that a way may have
	loads := make([]int64, len(g.Flows))
	at := make([][]int, len(g.Flows))
	for i := range g.Flows {
		f := &g.Flows[i]
		loads[i] = int64(math.Ceil(f.Load/Unit - 1e-6))
		n.edge(src, flows[i], loads[i], -priorityCost(&s.Classes[f.Class])*weight)
		at[i] = make([]int, len(g.Capacities)+1)
		at[i][len(g.Capacities)] = -1
		if z := f.Zone; s.allowed(f, g, z) {
			at[i][len(g.Capacities)] = n.edge(flows[i], own[z], math.MaxInt32, nearExtraCost)
		}
		for z := range g.Capacities {
			at[i][z] = -1
			if s.allowed(f, g, z) {
				at[i][z] = n.edge(flows[i], zones[z], math.MaxInt32, s.crossingCost(f.Zone, z))
			}
		}
	}
	for z := range g.Capacities {
		n.edge(zones[z], sink, int64(s.SafeCapacity(&g.Capacities[z])/Unit+1e-6), 0)
		n.edge(own[z], sink, int64(s.NearExtraCapacity(&g.Capacities[z])/Unit+1e-6), 0)
	}
	n.minimizeCost(src, sink)
	a := Solution{Shares: make([][]float64, len(g.Flows))}
	for i := range g.Flows {
		a.Shares[i] = make([]float64, len(g.Capacities))
		left := loads[i]
		for z, e := range at[i] {
			if e < 0 || loads[i] == 0 {
				continue
			}
			used := n.edges[e^1].capacity
			if z == len(g.Capacities) {
				z = g.Flows[i].Zone
			}
			a.Shares[i][z] += float64(used) / float64(loads[i])
			if left -= used; z != g.Flows[i].Zone {
				a.Crossing += float64(used) * Unit
			}
		}
		a.Unserved += float64(left) * Unit
	}
	return a
}

// flowNetwork is a network in which flow is as cheap as can be: by shortest ways, one after another.
type flowNetwork struct {
	edges   []flowEdge // each one with its way back behind it
	edgesOf [][]int
}

type flowEdge struct {
	to             int
	capacity, cost int64
}

func (n *flowNetwork) node() int {
	n.edgesOf = append(n.edgesOf, nil)
	return len(n.edgesOf) - 1
}

func (n *flowNetwork) edge(a, b int, room, cost int64) int {
	e := len(n.edges)
	n.edges = append(n.edges, flowEdge{b, room, cost}, flowEdge{a, 0, -cost})
	n.edgesOf[a], n.edgesOf[b] = append(n.edgesOf[a], e), append(n.edgesOf[b], e+1)
	return e
}

// minimizeCost sends as much as is worth it. A way never leaves the source twice, so what was served once stays served.
func (n *flowNetwork) minimizeCost(src, sink int) {
	dist, by := make([]int64, len(n.edgesOf)), make([]int, len(n.edgesOf))
	for {
		for i := range dist {
			dist[i], by[i] = math.MaxInt64, -1
		}
		dist[src] = 0
		for news := true; news; {
			news = false
			for a := range n.edgesOf {
				if dist[a] == math.MaxInt64 {
					continue
				}
				for _, e := range n.edgesOf[a] {
					if x := &n.edges[e]; x.capacity > 0 && dist[a]+x.cost < dist[x.to] {
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
			push = min(push, n.edges[by[v]].capacity)
		}
		for v := sink; v != src; v = n.edges[by[v]^1].to {
			n.edges[by[v]].capacity -= push
			n.edges[by[v]^1].capacity += push
		}
	}
}
