package record

import "sync/atomic"

// ring is a bounded queue with one writer and one reader, without locks.
type ring struct {
	buffer []Event
	mask   uint64
	head   atomic.Uint64 // next to be written; moved by the writer alone
	_      [48]byte      // each counter on a cache line of its own
	tail   atomic.Uint64 // next to be read; moved by the reader alone
}

// newRing returns a ring for at least so many events.
func newRing(events int) ring {
	size := 1
	for size < events {
		size *= 2
	}
	return ring{buffer: make([]Event, size), mask: uint64(size - 1)}
}

// put adds an event and returns how many are waiting then, -1 where there is no room.
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

// next is the oldest event, nil where none waits; it stays until drop.
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
