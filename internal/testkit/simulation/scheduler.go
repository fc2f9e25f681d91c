// Package simulation plays a scenario in virtual time: many poolers, each the daemon's own core with its decision module,
// before the world's model, on one thread and the same to the bit for the same seed.
package simulation

import (
	"math"

	"beechgrade/internal/testkit/model"
)

// sched is virtual time: events in the order of their times, and of their setting among equals. It is a heap of four
// children a node, which is the fastest here for the many short waits.
type sched struct {
	now    float64
	heap   []item
	seq    uint64
	events uint64
	hash   uint64 // of all that happened, in order
}

type item struct {
	at    float64
	seq   uint64
	arg   uint64
	event model.Event
}

// Now is world.Clock's.
func (s *sched) Now() float64 { return s.now }

// After is world.Clock's.
func (s *sched) After(ms float64, e model.Event, arg uint64) { s.at(s.now+max(0, ms), e, arg) }

func (s *sched) at(at float64, e model.Event, arg uint64) {
	s.seq++
	x := item{at, s.seq, arg, e}
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

func before(a, b *item) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }

func (s *sched) pop() item {
	h := s.heap
	top := h[0]
	n := len(h) - 1
	x := h[n]
	h[n] = item{}
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

// run lets time pass until then, or until stop says so.
func (s *sched) run(until float64, stop func() bool) {
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

// mix takes something that happened into the hash.
func (s *sched) mix(a, b uint64) {
	s.hash = (s.hash^a)*0x9e3779b97f4a7c15 + b
	s.hash ^= s.hash >> 29
}
