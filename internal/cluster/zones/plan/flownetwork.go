package plan

import "math"

// flowNetwork finds a flow of minimum cost, by successive shortest paths.
type flowNetwork struct {
	edges   []flowEdge // each one is followed by its reverse
	edgesOf [][]int    // by node
}

type flowEdge struct {
	to       int
	capacity int64 // residual
	cost     int64 // per unit
}

func (n *flowNetwork) addNode() int {
	n.edgesOf = append(n.edgesOf, nil)
	return len(n.edgesOf) - 1
}

func (n *flowNetwork) addNodes(count int) []int {
	nodes := make([]int, count)
	for i := range nodes {
		nodes[i] = n.addNode()
	}
	return nodes
}

func (n *flowNetwork) addEdge(from, to int, capacity, cost int64) int {
	edge := len(n.edges)
	n.edges = append(n.edges, flowEdge{to, capacity, cost}, flowEdge{from, 0, -cost})
	n.edgesOf[from] = append(n.edgesOf[from], edge)
	n.edgesOf[to] = append(n.edgesOf[to], edge+1)
	return edge
}

// used returns the flow on an edge, which is the residual capacity of its reverse edge.
func (n *flowNetwork) used(edge int) int64 { return n.edges[edge^1].capacity }

// minimizeCost sends flow as long as that lowers the cost. A path never returns to the source, so load that is served by one path stays
// served.
func (n *flowNetwork) minimizeCost(source, sink int) {
	for {
		distance, via := n.shortestPaths(source)
		if via[sink] == noEdge || distance[sink] >= 0 {
			return
		}
		n.push(source, sink, via)
	}
}

// shortestPaths returns the distance of each node from the source, and the last edge of the path to it.
func (n *flowNetwork) shortestPaths(source int) (distance []int64, via []int) {
	distance, via = make([]int64, len(n.edgesOf)), make([]int, len(n.edgesOf))
	for node := range distance {
		distance[node], via[node] = math.MaxInt64, noEdge
	}
	distance[source] = 0
	for changed := true; changed; {
		changed = false
		for from := range n.edgesOf {
			if distance[from] == math.MaxInt64 {
				continue
			}
			for _, index := range n.edgesOf[from] {
				edge := &n.edges[index]
				if edge.capacity > 0 && distance[from]+edge.cost < distance[edge.to] {
					distance[edge.to], via[edge.to] = distance[from]+edge.cost, index
					changed = true
				}
			}
		}
	}
	return distance, via
}

// push sends as much flow as the path to the sink has capacity for.
func (n *flowNetwork) push(source, sink int, via []int) {
	amount := int64(math.MaxInt64)
	for node := sink; node != source; node = n.edges[via[node]^1].to {
		amount = min(amount, n.edges[via[node]].capacity)
	}
	for node := sink; node != source; node = n.edges[via[node]^1].to {
		n.edges[via[node]].capacity -= amount
		n.edges[via[node]^1].capacity += amount
	}
}
