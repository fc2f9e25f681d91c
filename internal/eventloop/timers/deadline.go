// Package timers is the one ordered structure in which all deadlines of the event loop hang.
package timers

import "container/heap"

// Timer is a deadline in a Heap.
type Timer struct {
	at    float64
	seq   uint64
	index int // in the heap, -1 once out of it
	run   func()
}

// Heap orders deadlines by time, and those of one time by when they were set. It is not safe for
// concurrent use: the loop owns it.
type Heap struct {
	items items
	seq   uint64
}

// Add hangs up a deadline at the given time in milliseconds.
func (h *Heap) Add(at float64, run func()) *Timer {
	h.seq++
	t := &Timer{at: at, seq: h.seq, run: run}
	heap.Push(&h.items, t)
	return t
}

// Stop takes a deadline down; nil and one that has passed are left alone.
func (h *Heap) Stop(t *Timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&h.items, t.index)
	}
}

// Next is the time of the earliest deadline.
func (h *Heap) Next() (at float64, ok bool) {
	if len(h.items) == 0 {
		return 0, false
	}
	return h.items[0].at, true
}

// Run runs what is due at now, in order. What that hangs up anew for now waits for the next call.
func (h *Heap) Run(now float64) {
	last := h.seq
	for len(h.items) > 0 && h.items[0].at <= now && h.items[0].seq <= last {
		heap.Pop(&h.items).(*Timer).run()
	}
}

type items []*Timer

func (s items) Len() int { return len(s) }
func (s items) Less(i, k int) bool {
	return s[i].at < s[k].at || s[i].at == s[k].at && s[i].seq < s[k].seq
}
func (s items) Swap(i, k int) {
	s[i], s[k] = s[k], s[i]
	s[i].index, s[k].index = i, k
}

// Push is container/heap's.
func (s *items) Push(x any) {
	t := x.(*Timer)
	t.index = len(*s)
	*s = append(*s, t)
}

// Pop is container/heap's.
func (s *items) Pop() any {
	old := *s
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*s = old[:len(old)-1]
	t.index = -1
	return t
}
