// Package modelcheck is a model checker for the pooler's state machines, which do no I/O and read no clock. Run explores, breadth first,
// every order of the moves of a small system of them, visits each distinct state once, and checks the invariants of each state and step.
//
// The systems, one per file, connect the state machines of a few processes by messages, and count the faults and events that may still
// happen, which bounds the search. Their fields for mutants inject a fault into the protocol: tests set them to show that the checks
// find it.
package modelcheck

import "github.com/cespare/xxhash/v2"

// System is a state of a system. A move returns another state and does not change this one.
type System interface {
	Key() string   // equal for equivalent states
	Moves() []Move // in a deterministic order
	Check() error  // nil if the invariants hold
}

// Move is a transition to another state.
type Move struct {
	Name string
	Do   func() (System, error) // an error is a violation found during the transition
}

// Bounds limit a search.
type Bounds struct {
	Depth  int // moves from the start
	States int // distinct states
}

// Result is the result of a search.
type Result struct {
	States   int  // distinct states found
	Steps    int  // moves made
	Depth    int  // of the deepest state visited
	Complete bool // all states within Bounds.Depth were visited; otherwise Bounds.States was reached
	Err      error
	Trace    []string // moves from the start to Err
}

// searchNode is a state that was found, and how.
type searchNode struct {
	system System
	depth  int
	parent int    // index of the node that the move was made from, -1 for the start
	move   string // name of the move that led to it
}

// Run searches from a start state until the bounds or the first error.
func Run(start System, bounds Bounds) *Result {
	result := &Result{Complete: true}
	nodes := []searchNode{{system: start, parent: -1}}
	seen := map[uint64]bool{xxhash.Sum64String(start.Key()): true}
	trace := func(i int, last string) {
		for ; i >= 0; i = nodes[i].parent {
			result.Trace = append([]string{nodes[i].move}, result.Trace...)
		}
		result.Trace = append(result.Trace, last)
	}
	for i := 0; i < len(nodes); i++ {
		current := nodes[i]
		result.Depth = max(result.Depth, current.depth)
		if current.depth == bounds.Depth {
			nodes[i].system = nil
			continue
		}
		for _, move := range current.system.Moves() {
			next, err := move.Do()
			result.Steps++
			if err == nil {
				err = next.Check()
			}
			if err != nil {
				result.Err, result.States = err, len(nodes)
				trace(i, move.Name)
				return result
			}
			if hash := xxhash.Sum64String(next.Key()); !seen[hash] {
				if len(nodes) >= bounds.States {
					result.Complete = false
					continue
				}
				seen[hash] = true
				nodes = append(nodes, searchNode{next, current.depth + 1, i, move.Name})
			}
		}
		nodes[i].system = nil // its moves have been made: frees the memory
	}
	result.States = len(nodes)
	return result
}
