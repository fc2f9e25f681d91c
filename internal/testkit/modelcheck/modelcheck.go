// Package modelcheck explores the states of a small system of pure decision modules, breadth first: every order of the possible
// moves, with each distinct state visited once. It checks the invariants of each state and step.
package modelcheck

import "github.com/cespare/xxhash/v2"

// System is a state. A move returns another state and does not change this one.
type System interface {
	Key() string   // equal for equivalent states
	Moves() []Move // in a deterministic order
	Check() error  // nil if the state is correct
}

// Move is a transition to another state.
type Move struct {
	Name string
	Do   func() (System, error) // the error is that of the transition
}

// Bounds limit a search.
type Bounds struct {
	Depth  int // moves from the start
	States int
}

// Result is the result of a search.
type Result struct {
	States   int
	Steps    int
	Depth    int  // of the deepest state visited
	Complete bool // all states within Bounds.Depth were visited; otherwise Bounds.States was reached
	Err      error
	Trace    []string // moves from the start to Err
}

type node struct {
	system System
	depth  int
	parent int
	move   string
}

// Run searches from a start state until the bounds or the first error.
func Run(start System, b Bounds) *Result {
	r := &Result{Complete: true}
	nodes := []node{{system: start, parent: -1}}
	seen := map[uint64]bool{xxhash.Sum64String(start.Key()): true}
	trace := func(i int, last string) {
		for ; i >= 0; i = nodes[i].parent {
			r.Trace = append([]string{nodes[i].move}, r.Trace...)
		}
		r.Trace = append(r.Trace, last)
	}
	for i := 0; i < len(nodes); i++ {
		n := nodes[i]
		r.Depth = max(r.Depth, n.depth)
		if n.depth == b.Depth {
			nodes[i].system = nil
			continue
		}
		for _, m := range n.system.Moves() {
			next, err := m.Do()
			r.Steps++
			if err == nil {
				err = next.Check()
			}
			if err != nil {
				r.Err, r.States = err, len(nodes)
				trace(i, m.Name)
				return r
			}
			if h := xxhash.Sum64String(next.Key()); !seen[h] {
				if len(nodes) >= b.States {
					r.Complete = false
					continue
				}
				seen[h] = true
				nodes = append(nodes, node{next, n.depth + 1, i, m.Name})
			}
		}
		nodes[i].system = nil // no longer needed
	}
	r.States = len(nodes)
	return r
}
