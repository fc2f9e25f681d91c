// Package netfault injects faults into the links between poolers, separately for each direction: cuts, loss, delay, duplication and
// reordering. Net does no I/O: the simulator and the loopback relays query it for the delays of each message.
package netfault

import (
	"math/rand/v2"
	"slices"
)

// Fault is a fault of a link. Rates are from 0 to 1.
type Fault struct {
	Cut           bool
	LossRate      float64 // share of the messages that are lost
	DuplicateRate float64 // share of the messages that are duplicated
	ReorderRate   float64 // share of the messages that are held back so that others may overtake them
	DelayMs       float64 // added to the delay of each message
}

// Net holds the faults of the links between poolers. It is not safe for concurrent use.
type Net struct {
	poolers int
	links   [][]*Fault // active faults, indexed by from*poolers+to
}

// New returns the links between n poolers, without faults.
func New(n int) *Net { return &Net{poolers: n, links: make([][]*Fault, n*n)} }

// SetFault starts a fault on the links from some poolers to others, or ends it.
func (net *Net) SetFault(from, to []int, f *Fault, on bool) {
	for _, a := range from {
		for _, b := range to {
			faults := &net.links[a*net.poolers+b]
			if a == b {
				continue
			}
			if on {
				*faults = append(*faults, f)
			} else if i := slices.Index(*faults, f); i >= 0 {
				*faults = slices.Delete(*faults, i, i+1)
			}
		}
	}
}

// Cut reports whether no message gets from one pooler to the other.
func (net *Net) Cut(from, to int) bool {
	return slices.ContainsFunc(net.links[from*net.poolers+to], func(f *Fault) bool { return f.Cut || f.LossRate >= 1 })
}

// reorderMs is the longest time for which a message is held back so that others overtake it.
const reorderMs = 80

// MaxHoldMs is the longest extra delay of a duplicated and reordered message's last copy.
const MaxHoldMs = 2 * reorderMs

// CopyDelays draws the extra delay in ms of each copy of a message; it returns none if the message is lost.
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

// ExtraDelayMs returns the extra delay of a stream's data. Streams have no loss, duplication or reordering.
func (net *Net) ExtraDelayMs(from, to int) (ms float64) {
	for _, f := range net.links[from*net.poolers+to] {
		ms += f.DelayMs
	}
	return ms
}
