// Package plan decides which part of each zone's reads stays local, and where the others go. It is a pure function of what is known of the
// fleet: the same inputs give the same plan.
//
// Groups share no servers, so each one is solved by itself (Settings.Solve): its flows, which are the reads of a class that clients of a
// zone send, against the capacity of its servers in each zone. As much priority as there is safe capacity for is served, and the lowest
// priority is left out first; of all ways to do that it takes the one with the lowest price and delay of crossing. A capacity is safe up
// to what the servers can do, less a spare share and what only they can do (writes, fresh reads); local reads alone may take some of the
// spare share before they cross.
//
// Poolers have one local zone for all groups, so what the fleet agrees on is a Matrix: for each zone, the share of its reads that goes to
// each zone (Settings.Fold). It sends no zone more than its safe capacity in any group: where it would, less goes there.
//
// The package does not know whether the loads are right, nor what a pooler makes of a share.
package plan

import "math"

// Unit is the unit of load and capacity, in cores: loads are rounded up to it, capacities down.
const Unit = 0.001

// Class is a class of reads that any server with data new enough may answer.
type Class struct {
	Priority     float64 // of a core's work for it
	MaxRoundTrip float64 // ms that its reads may take to another zone and back, 0 for any
	MaxAge       float64 // ms that the data may be old, 0 for any
}

// Settings are the inputs that all groups have in common.
type Settings struct {
	Classes         []Class
	Delay           [][]float64 // ms one way, from a pooler's zone to a server's; +Inf where nothing may go
	CrossingPrice   float64     // as ms of delay
	SpareShare      float64     // the part of a zone's servers that is kept free of remote reads
	LocalSpareShare float64     // the part that is kept free of local reads, before they go elsewhere
}

// Flow is the load of a class on a group, from the clients near a zone.
type Flow struct {
	Class int
	Zone  int
	Load  float64 // cores
}

// Capacity is what a group's servers in a zone can do.
type Capacity struct {
	Cores        float64 // of the servers that serve
	FixedCores   float64 // of them, taken by what cannot go elsewhere
	Age          float64 // ms that their data is old
	ServesLocal  bool    // local reads may go there
	ServesRemote bool    // reads of other zones may go there
}

// Group is a group of servers and the load on it.
type Group struct {
	Flows      []Flow
	Capacities []Capacity // by zone
}

// SafeCapacity returns the cores that reads may take in a zone that receives remote ones.
func (s *Settings) SafeCapacity(c *Capacity) float64 {
	return max(0, c.Cores*(1-s.SpareShare)-c.FixedCores)
}

// LocalExtraCapacity returns the cores that local reads alone may take beyond SafeCapacity.
func (s *Settings) LocalExtraCapacity(c *Capacity) float64 {
	return max(0, c.Cores*(1-min(s.SpareShare, s.LocalSpareShare))-c.FixedCores) - s.SafeCapacity(c)
}

// Solution is the plan of one group.
type Solution struct {
	Shares   [][]float64 // by flow and zone: the part of the flow that goes there; the remainder to 1 is shed
	Unserved float64     // cores of work without safe capacity
	Crossing float64     // cores of work that cross zones
}

// Feasible reports whether all work is served.
func (s *Solution) Feasible() bool { return s.Unserved <= 0 }

// allowed reports whether a flow may go to a zone.
func (s *Settings) allowed(flow *Flow, group *Group, to int) bool {
	capacity, class := &group.Capacities[to], &s.Classes[flow.Class]
	fresh := class.MaxAge <= 0 || capacity.Age <= class.MaxAge
	if flow.Zone == to {
		return capacity.ServesLocal && fresh
	}
	inReach := class.MaxRoundTrip <= 0 || 2*s.Delay[flow.Zone][to] <= class.MaxRoundTrip
	return capacity.ServesRemote && !s.Unreachable(flow.Zone, to) && fresh && inReach
}

// Unreachable reports whether nothing may go from one zone to another.
func (s *Settings) Unreachable(from, to int) bool { return math.IsInf(s.Delay[from][to], 1) }

// Costs in the flow network.
const (
	nearExtraCost = 1    // of a unit beyond the safe capacity: less than any crossing
	priorityScale = 1000 // a priority counts in so many parts of one
	microsPerMs   = 1000
)

// crossingCost returns the cost of a unit from one zone to another, in microseconds of delay.
func (s *Settings) crossingCost(from, to int) int64 {
	if from == to || s.Unreachable(from, to) {
		return 0
	}
	return 2*nearExtraCost + int64(math.Round(microsPerMs*(s.CrossingPrice+max(0, s.Delay[from][to]))))
}

func priorityCost(class *Class) int64 {
	return 1 + int64(math.Round(priorityScale*max(0, class.Priority)))
}

// unitSlack is the part of a unit that rounding may add.
const unitSlack = 1e-6

func unitsUp(cores float64) int64   { return int64(math.Ceil(cores/Unit - unitSlack)) }
func unitsDown(cores float64) int64 { return int64(cores/Unit + unitSlack) }

// groupNetwork is the flow network of a group: a source, a node for each flow, two for each zone (its safe capacity, and what local reads
// may take beyond), and a sink.
type groupNetwork struct {
	flowNetwork
	loads     []int64 // units, by flow
	remote    [][]int // edges by flow and zone, noEdge where a flow may not go
	nearExtra []int   // edges by flow
}

const noEdge = -1

// Solve makes the plan of a group.
func (s *Settings) Solve(group *Group) Solution {
	network := s.newGroupNetwork(group)
	solution := Solution{Shares: make([][]float64, len(group.Flows))}
	for i := range group.Flows {
		network.collect(i, group.Flows[i].Zone, &solution)
	}
	return solution
}

// collect adds a flow of the solved network to a solution.
func (n *groupNetwork) collect(flow, zone int, solution *Solution) {
	shares := make([]float64, len(n.remote[flow]))
	solution.Shares[flow] = shares
	load := n.loads[flow]
	remaining := load
	take := func(edge, to int) {
		if edge == noEdge || load == 0 {
			return
		}
		used := n.used(edge)
		shares[to] += float64(used) / float64(load)
		remaining -= used
		if to != zone {
			solution.Crossing += float64(used) * Unit
		}
	}
	for to, edge := range n.remote[flow] {
		take(edge, to)
	}
	take(n.nearExtra[flow], zone)
	solution.Unserved += float64(remaining) * Unit
}

// newGroupNetwork returns the solved network of a group.
func (s *Settings) newGroupNetwork(group *Group) *groupNetwork {
	n := &groupNetwork{}
	source := n.addNode()
	flows := n.addNodes(len(group.Flows))
	zones := make([]int, len(group.Capacities))
	near := make([]int, len(group.Capacities))
	for zone := range zones {
		zones[zone] = n.addNode()
		near[zone] = n.addNode()
	}
	sink := n.addNode()
	weight := s.priorityWeight(len(group.Capacities))
	for i := range group.Flows {
		flow := &group.Flows[i]
		load := unitsUp(flow.Load)
		n.loads = append(n.loads, load)
		n.addEdge(source, flows[i], load, -priorityCost(&s.Classes[flow.Class])*weight)
		extra := noEdge
		if s.allowed(flow, group, flow.Zone) {
			extra = n.addEdge(flows[i], near[flow.Zone], math.MaxInt32, nearExtraCost)
		}
		n.nearExtra = append(n.nearExtra, extra)
		edges := make([]int, len(group.Capacities))
		for zone := range edges {
			edges[zone] = noEdge
			if s.allowed(flow, group, zone) {
				edges[zone] = n.addEdge(flows[i], zones[zone], math.MaxInt32, s.crossingCost(flow.Zone, zone))
			}
		}
		n.remote = append(n.remote, edges)
	}
	for zone := range group.Capacities {
		capacity := &group.Capacities[zone]
		n.addEdge(zones[zone], sink, unitsDown(s.SafeCapacity(capacity)), 0)
		n.addEdge(near[zone], sink, unitsDown(s.LocalExtraCapacity(capacity)), 0)
	}
	n.minimizeCost(source, sink)
	return n
}

// priorityWeight returns the factor by which any priority outweighs all the crossings that a path may have.
func (s *Settings) priorityWeight(zones int) int64 {
	highest := int64(1)
	for from := range zones {
		for to := range zones {
			highest = max(highest, s.crossingCost(from, to))
		}
	}
	return highest*int64(2*zones+2) + 1
}
