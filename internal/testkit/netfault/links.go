// Package netfault says what befalls the ways between poolers: cut, lossy, slow, duplicating and reordering ones, each direction by
// itself. It does no I/O; the emulator and the relays on loopback ask it what becomes of each message.
package netfault

import (
	"math/rand/v2"
	"slices"
)

// Fault is what befalls a way. Times are in ms.
type Fault struct {
	Cut           bool
	LossRate      float64 // part of the messages
	DuplicateRate float64 // part of the messages that come twice
	ReorderRate   float64 // part of the messages that others overtake
	DelayMs       float64 // each takes so much longer
}

// Net is the ways between so many poolers.
type Net struct {
	poolers int
	links   [][]*Fault // those in force, by from*n+to
}

// New makes ways with no faults.
func New(n int) *Net { return &Net{poolers: n, links: make([][]*Fault, n*n)} }

// SetFault has a fault strike the ways from some poolers to others, or ends it.
func (net *Net) SetFault(from, to []int, f *Fault, on bool) {
	for _, a := range from {
		for _, b := range to {
			w := &net.links[a*net.poolers+b]
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
func (net *Net) Cut(from, to int) bool {
	return slices.ContainsFunc(net.links[from*net.poolers+to], func(f *Fault) bool { return f.Cut || f.LossRate >= 1 })
}

// reorderMs is how long a message may be held back for others to overtake it.
const reorderMs = 80

// MaxHoldMs is how much later the last copy of a message may come that is doubled and overtaken.
const MaxHoldMs = 2 * reorderMs

// CopyDelays is after which delays beyond the usual a message's copies arrive; none where it is lost.
func (net *Net) CopyDelays(from, to int, rng *rand.Rand) []float64 {
	copies, delayMs, holdMs := 1, 0.0, 0.0
	for _, f := range net.links[from*net.poolers+to] {
		switch {
		case f.Cut, f.LossRate > 0 && rng.Float64() < f.LossRate:
			return nil
		}
		if f.DuplicateRate > 0 && rng.Float64() < f.DuplicateRate {
			copies++
		}
		if f.ReorderRate > 0 && rng.Float64() < f.ReorderRate {
			holdMs += reorderMs * rng.Float64()
		}
		delayMs += f.DelayMs
	}
	out := make([]float64, copies)
	for i := range out {
		out[i] = delayMs + holdMs
		if i > 0 {
			out[i] += reorderMs * rng.Float64()
		}
	}
	return out
}

// ExtraDelayMs is how much longer what is never lost takes.
func (net *Net) ExtraDelayMs(from, to int) (ms float64) {
	for _, f := range net.links[from*net.poolers+to] {
		ms += f.DelayMs
	}
	return ms
}
