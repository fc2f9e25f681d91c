// Package timers orders the timers of the event loop by the time when they are due.
//
// A Heap holds any number of timers; adding, stopping and running one costs O(log n). It is not safe for concurrent use: the loop
// owns it. It has no clock of its own: the loop passes the present time to Run.
package timers

import "container/heap"

// Timer is a function that a Heap runs once, when its time has come.
type Timer struct {
	dueAt    float64 // milliseconds on the clock
	sequence uint64  // orders timers that are due at the same time
	index    int     // in the heap, -1 after removal
	run      func()
}

// Heap holds timers in the order of their due times; those of the same time are in the order in which they were added. The zero Heap
// is empty and ready to use.
type Heap struct {
	items    items
	sequence uint64
}

// Add adds a timer that is due at the given time in milliseconds.
func (h *Heap) Add(at float64, run func()) *Timer {
	h.sequence++
	t := &Timer{dueAt: at, sequence: h.sequence, run: run}
	heap.Push(&h.items, t)
	return t
}

// Stop removes a timer. It does nothing for nil and for a timer that has run or was stopped.
func (h *Heap) Stop(t *Timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&h.items, t.index)
	}
}

// Next returns the earliest due time, and false if there is no timer.
func (h *Heap) Next() (at float64, ok bool) {
	if len(h.items) == 0 {
		return 0, false
	}
	return h.items[0].dueAt, true
}

// Run runs the timers due at now, in order. Timers that they add wait for the next call, even if they are due.
func (h *Heap) Run(now float64) {
	last := h.sequence
	for len(h.items) > 0 && h.items[0].dueAt <= now && h.items[0].sequence <= last {
		heap.Pop(&h.items).(*Timer).run()
	}
}

// items implements heap.Interface.
type items []*Timer

// Len implements sort.Interface.
func (s items) Len() int { return len(s) }

// Less implements sort.Interface.
func (s items) Less(i, k int) bool {
	return s[i].dueAt < s[k].dueAt || s[i].dueAt == s[k].dueAt && s[i].sequence < s[k].sequence
}

// Swap implements sort.Interface.
func (s items) Swap(i, k int) {
	s[i], s[k] = s[k], s[i]
	s[i].index, s[k].index = i, k
}

// Push implements heap.Interface.
func (s *items) Push(x any) {
	t := x.(*Timer)
	t.index = len(*s)
	*s = append(*s, t)
}

// Pop implements heap.Interface.
func (s *items) Pop() any {
	old := *s
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*s = old[:len(old)-1]
	t.index = -1
	return t
}
