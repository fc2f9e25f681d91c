// Package netfault says what befalls the ways between poolers: cut, lossy, slow, duplicating and reordering ones, each direction by
// itself. It does no I/O; the emulator and the relays on loopback ask it what becomes of each message.
package netfault

import (
	"math/rand/v2"
	"slices"
)

// Fault is what befalls a way. Times are in ms.
type Fault struct {
	Cut       bool
	Lose      float64 // part of the messages
	Duplicate float64 // part of the messages that come twice
	Reorder   float64 // part of the messages that others overtake
	Slow      float64 // each takes so much longer
}

// Net is the ways between so many poolers.
type Net struct {
	n    int
	ways [][]*Fault // those in force, by from*n+to
}

// New makes ways with no faults.
func New(n int) *Net { return &Net{n: n, ways: make([][]*Fault, n*n)} }

// Set has a fault strike the ways from some poolers to others, or ends it.
func (x *Net) Set(from, to []int, f *Fault, on bool) {
	for _, a := range from {
		for _, b := range to {
			w := &x.ways[a*x.n+b]
			if a == b {
				continue
			}
			if on {
				*w = append(*w, f)
			} else if i := slices.Index(*w, f); i >= 0 {
				*w = slices.Delete(*w, i, i+1)
			}
		}
	}
}

// Cut tells whether nothing gets from one to the other.
func (x *Net) Cut(from, to int) bool {
	return slices.ContainsFunc(x.ways[from*x.n+to], func(f *Fault) bool { return f.Cut || f.Lose >= 1 })
}

// reorderMs is how long a message may be held back for others to overtake it.
const reorderMs = 80

// HeldMs is how much later the last copy of a message may come that is doubled and overtaken.
const HeldMs = 2 * reorderMs

// Fate is after which delays beyond the usual a message's copies arrive; none where it is lost.
func (x *Net) Fate(from, to int, rng *rand.Rand) []float64 {
	copies, slow, held := 1, 0.0, 0.0
	for _, f := range x.ways[from*x.n+to] {
		switch {
		case f.Cut, f.Lose > 0 && rng.Float64() < f.Lose:
			return nil
		}
		if f.Duplicate > 0 && rng.Float64() < f.Duplicate {
			copies++
		}
		if f.Reorder > 0 && rng.Float64() < f.Reorder {
			held += reorderMs * rng.Float64()
		}
		slow += f.Slow
	}
	out := make([]float64, copies)
	for i := range out {
		out[i] = slow + held
		if i > 0 {
			out[i] += reorderMs * rng.Float64()
		}
	}
	return out
}

// Slow is how much longer what is never lost takes.
func (x *Net) Slow(from, to int) (ms float64) {
	for _, f := range x.ways[from*x.n+to] {
		ms += f.Slow
	}
	return ms
}
