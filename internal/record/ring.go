package record

import "sync/atomic"

// ring is a bounded lock-free queue with one writer and one reader.
type ring struct {
	buffer []Event
	mask   uint64
	head   atomic.Uint64 // the next slot to write; advanced by the writer only
	_      [48]byte      // keeps the two counters on separate cache lines
	tail   atomic.Uint64 // the next slot to read; advanced by the reader only
}

// newRing returns a ring for at least that many events.
func newRing(events int) ring {
	size := 1
	for size < events {
		size *= 2
	}
	return ring{buffer: make([]Event, size), mask: uint64(size - 1)}
}

// put adds an event and returns the number of events in the ring, -1 if the ring is full.
func (r *ring) put(event *Event) int {
	head := r.head.Load()
	waiting := head - r.tail.Load()
	if waiting > r.mask {
		return -1
	}
	r.buffer[head&r.mask] = *event
	r.head.Store(head + 1)
	return int(waiting) + 1
}

// next returns the oldest event without removing it, nil if the ring is empty.
func (r *ring) next() *Event {
	tail := r.tail.Load()
	if tail == r.head.Load() {
		return nil
	}
	return &r.buffer[tail&r.mask]
}

// drop removes the oldest event.
func (r *ring) drop() {
	tail := r.tail.Load()
	r.buffer[tail&r.mask] = Event{} // releases its strings
	r.tail.Store(tail + 1)
}
