// Package simulation runs a scenario in virtual time in a single goroutine: many poolers, each with the daemon's own core and decision
// module, in front of the model's servers. A run is deterministic: the same scenario and seed give bit-identical results.
package simulation

import (
	"math"

	"beechgrade/internal/testkit/model"
)

// scheduler runs events in virtual time, ordered by time and, for equal times, by the order in which they were scheduled. Its queue is
// a 4-ary heap, which is fast for many short delays.
type scheduler struct {
	now    float64
	heap   []scheduledEvent
	seq    uint64
	events uint64
	hash   uint64 // of all events so far, in order
}

type scheduledEvent struct {
	at    float64
	seq   uint64
	arg   uint64
	event model.Event
}

// Now implements model.Clock.
func (s *scheduler) Now() float64 { return s.now }

// After implements model.Clock.
func (s *scheduler) After(ms float64, e model.Event, arg uint64) { s.at(s.now+max(0, ms), e, arg) }

func (s *scheduler) at(at float64, e model.Event, arg uint64) {
	s.seq++
	x := scheduledEvent{at, s.seq, arg, e}
	h := append(s.heap, x)
	i := len(h) - 1
	for i > 0 {
		p := (i - 1) / 4
		if !before(&x, &h[p]) {
			break
		}
		h[i] = h[p]
		i = p
	}
	h[i] = x
	s.heap = h
}

func before(a, b *scheduledEvent) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }

func (s *scheduler) pop() scheduledEvent {
	h := s.heap
	top := h[0]
	n := len(h) - 1
	x := h[n]
	h[n] = scheduledEvent{}
	h = h[:n]
	s.heap = h
	if n == 0 {
		return top
	}
	i := 0
	for {
		k := 4*i + 1
		if k >= n {
			break
		}
		least := k
		for end := min(k+4, n); k < end; k++ {
			if before(&h[k], &h[least]) {
				least = k
			}
		}
		if !before(&h[least], &x) {
			break
		}
		h[i] = h[least]
		i = least
	}
	h[i] = x
	return top
}

// run executes events up to the given time. It polls stop every 4096 events and returns early if it is true.
func (s *scheduler) run(until float64, stop func() bool) {
	for len(s.heap) > 0 && s.heap[0].at <= until {
		x := s.pop()
		s.now = x.at
		s.events++
		s.mix(math.Float64bits(x.at), x.arg)
		x.event.Fire(x.arg)
		if s.events&0xfff == 0 && stop() {
			return
		}
	}
	s.now = max(s.now, until)
}

// mix adds an event to the run's hash.
func (s *scheduler) mix(a, b uint64) {
	s.hash = (s.hash^a)*0x9e3779b97f4a7c15 + b
	s.hash ^= s.hash >> 29
}
