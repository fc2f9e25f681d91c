// Package modelcheck goes through all that can happen to a small system of pure decision modules, breadth first: every order of the
// moves that there are, with states that were seen before gone through once. It holds each state, and each step, to what must be so.
package modelcheck

import "github.com/cespare/xxhash/v2"

// System is a state. A move makes another one and leaves this as it is.
type System interface {
	Key() string   // the same for states from which the same follows
	Moves() []Move // in an order that is the same in every run
	Check() error  // what is wrong with it, nil for nothing
}

// Move is a step to another state.
type Move struct {
	Name string
	Do   func() (System, error) // the error says what is wrong with the step itself
}

// Bounds say how far a search goes.
type Bounds struct {
	Depth  int // steps from the start
	States int
}

// Result is what was found.
type Result struct {
	States   int
	Steps    int
	Depth    int  // the longest way that was gone
	Complete bool // every state within Depth was seen; else States was too few
	Err      error
	Trace    []string // the moves that lead to Err
}

type node struct {
	system System
	depth  int
	parent int
	move   string
}

// Run searches from a start.
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
		nodes[i].system = nil // its successors have all that is needed
	}
	r.States = len(nodes)
	return r
}
