// Package plan decides which part of each zone's reads stays local, and to which zones the others go. It is a pure function: the same
// inputs give the same plan.
//
// Groups share no servers, so each one is solved by itself (Settings.Solve): its flows, which are the reads of a class that the poolers of
// a zone receive, are assigned to the capacity of its servers in each zone. The solution serves as much priority as there is safe capacity
// for, and leaves out the lowest priority first; of all such solutions it has the lowest price and delay of crossing. The safe capacity is
// that of the servers, less a spare share and the load that cannot be served elsewhere (writes, fresh reads). Local reads, but no others,
// may use a part of the spare share before they cross.
//
// Poolers have one local zone for all groups, so the fleet agrees on one Matrix: for each zone, the share of its reads that goes to each
// zone (Settings.Fold). It sends no zone more than its safe capacity in any group: shares are reduced where necessary.
//
// The package neither checks the loads that it is given, nor defines how poolers follow a share.
package plan

import "math"

// Unit is the unit of load and capacity, in cores: loads are rounded up to it, capacities down.
const Unit = 0.001

// Class is a class of reads that any server with data new enough may answer.
type Class struct {
	Priority     float64 // per core of load
	MaxRoundTrip float64 // longest round trip to another zone in ms, 0 for no limit
	MaxAge       float64 // longest staleness of the data in ms, 0 for no limit
}

// Settings are the inputs that all groups share.
type Settings struct {
	Classes         []Class
	Delay           [][]float64 // ms one way, from a pooler's zone to a server's; +Inf if nothing may go there
	CrossingPrice   float64     // added to the delay of each crossing, in ms
	SpareShare      float64     // the part of a zone's capacity that is kept free of remote reads
	LocalSpareShare float64     // the part that is kept free of local reads too: beyond it they cross
}

// Flow is the load of a class on a group that the poolers of a zone receive.
type Flow struct {
	Class int // index in Settings.Classes
	Zone  int
	Load  float64 // cores
}

// Capacity is the capacity of a group's servers in a zone.
type Capacity struct {
	Cores        float64 // of the servers that serve
	FixedCores   float64 // of these cores, in use by load that cannot be served elsewhere
	Age          float64 // staleness of the servers' data in ms
	ServesLocal  bool    // local reads may go there
	ServesRemote bool    // reads of other zones may go there
}

// Group is a group of servers and the load on it.
type Group struct {
	Flows      []Flow
	Capacities []Capacity // by zone
}

// SafeCapacity returns the cores that reads may use in a zone that receives remote reads.
func (s *Settings) SafeCapacity(c *Capacity) float64 {
	return max(0, c.Cores*(1-s.SpareShare)-c.FixedCores)
}

// LocalExtraCapacity returns the cores beyond SafeCapacity that only local reads may use.
func (s *Settings) LocalExtraCapacity(c *Capacity) float64 {
	return max(0, c.Cores*(1-min(s.SpareShare, s.LocalSpareShare))-c.FixedCores) - s.SafeCapacity(c)
}

// Solution is the assignment of one group's flows to zones.
type Solution struct {
	Shares   [][]float64 // by flow and zone: the part of the flow that goes there; what is missing to 1 is unserved
	Unserved float64     // cores of work without safe capacity
	Crossing float64     // cores of work that cross zones
}

// Feasible reports whether all load is served.
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

// Unreachable reports whether no reads may go from one zone to another.
func (s *Settings) Unreachable(from, to int) bool { return math.IsInf(s.Delay[from][to], 1) }

// Costs in the flow network, for each unit of load.
const (
	localExtraCost = 1    // beyond the safe capacity: less than any crossing
	priorityScale  = 1000 // priorities are rounded to 1/priorityScale
	microsPerMs    = 1000
)

// crossingCost returns the cost of sending a unit from one zone to another, in microseconds of delay.
func (s *Settings) crossingCost(from, to int) int64 {
	if from == to || s.Unreachable(from, to) {
		return 0
	}
	return 2*localExtraCost + int64(math.Round(microsPerMs*(s.CrossingPrice+max(0, s.Delay[from][to]))))
}

// priorityCost returns the cost of leaving a unit of a class unserved, to be multiplied by the priorityWeight.
func priorityCost(class *Class) int64 {
	return 1 + int64(math.Round(priorityScale*max(0, class.Priority)))
}

// unitSlack is the part of a unit that rounding errors may add.
const unitSlack = 1e-6

func unitsUp(cores float64) int64   { return int64(math.Ceil(cores/Unit - unitSlack)) }
func unitsDown(cores float64) int64 { return int64(cores/Unit + unitSlack) }

// groupNetwork is the flow network of a group: a source, a node for each flow, two nodes for each zone (its safe capacity, and its extra
// capacity for local reads), and a sink.
type groupNetwork struct {
	flowNetwork
	loads      []int64 // units, by flow
	safe       [][]int // edges to the zones' safe capacity by flow and zone, noEdge if a flow may not go there
	localExtra []int   // edges to the local zone's extra capacity by flow, noEdge if a flow may not stay
}

const noEdge = -1

// Solve returns the solution of a group.
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
	shares := make([]float64, len(n.safe[flow]))
	solution.Shares[flow] = shares
	load := n.loads[flow]
	remaining := load
	add := func(edge, to int) {
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
	for to, edge := range n.safe[flow] {
		add(edge, to)
	}
	add(n.localExtra[flow], zone)
	solution.Unserved += float64(remaining) * Unit
}

// newGroupNetwork returns the solved network of a group.
func (s *Settings) newGroupNetwork(group *Group) *groupNetwork {
	n := &groupNetwork{}
	source := n.addNode()
	flows := n.addNodes(len(group.Flows))
	zones := make([]int, len(group.Capacities))
	localExtra := make([]int, len(group.Capacities))
	for zone := range zones {
		zones[zone] = n.addNode()
		localExtra[zone] = n.addNode()
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
			extra = n.addEdge(flows[i], localExtra[flow.Zone], math.MaxInt32, localExtraCost)
		}
		n.localExtra = append(n.localExtra, extra)
		edges := make([]int, len(group.Capacities))
		for zone := range edges {
			edges[zone] = noEdge
			if s.allowed(flow, group, zone) {
				edges[zone] = n.addEdge(flows[i], zones[zone], math.MaxInt32, s.crossingCost(flow.Zone, zone))
			}
		}
		n.safe = append(n.safe, edges)
	}
	for zone := range group.Capacities {
		capacity := &group.Capacities[zone]
		n.addEdge(zones[zone], sink, unitsDown(s.SafeCapacity(capacity)), 0)
		n.addEdge(localExtra[zone], sink, unitsDown(s.LocalExtraCapacity(capacity)), 0)
	}
	n.minimizeCost(source, sink)
	return n
}

// priorityWeight returns the factor by which every priority outweighs the cost of all crossings on a path.
func (s *Settings) priorityWeight(zones int) int64 {
	highest := int64(1)
	for from := range zones {
		for to := range zones {
			highest = max(highest, s.crossingCost(from, to))
		}
	}
	return highest*int64(2*zones+2) + 1
}
