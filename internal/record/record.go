// Package record records what the event loop observed and did: a typed stream of events, which one goroutine writes to segments on
// disk. The event loop never waits for it and never allocates for it: events that the ring or the disk has no room for are counted,
// and the count is recorded in their place. While the disk fails, service goes on and writing is retried.
//
// A segment holds Magic and frames (see Frames); the schema of their content is in recordpb. Segments of a pooler are
// removed, oldest first, at a limit on their size.
package record

import (
	"sync/atomic"

	"beechgrade/internal/record/recordpb"
)

// Recorder takes events on the event loop. A nil Recorder takes none.
type Recorder struct {
	ring        ring
	wake        chan struct{} // of the writer
	pendingLost Event         // events that found no room and are not in the ring as lost yet
	lostCount   atomic.Uint64
}

// Enabled reports whether events are recorded.
func (r *Recorder) Enabled() bool { return r != nil }

// Put records an event, or counts it as lost where the ring is full. It is called on the event loop, and neither waits nor allocates.
func (r *Recorder) Put(event *Event) {
	if r == nil {
		return
	}
	if r.pendingLost.Lost > 0 && !r.putLost() {
		r.countLost(event.At)
		return
	}
	waiting := r.ring.put(event)
	switch {
	case waiting < 0:
		r.countLost(event.At)
	case waiting == len(r.ring.buffer)/2:
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
}

// Lost is the number of events that found no room in the ring.
func (r *Recorder) Lost() uint64 {
	if r == nil {
		return 0
	}
	return r.lostCount.Load()
}

func (r *Recorder) countLost(at float64) {
	if r.pendingLost.Lost == 0 {
		r.pendingLost = Event{Kind: recordpb.Kind_KIND_LOST, LostFrom: at, LossCause: CauseRing}
	}
	r.pendingLost.Lost++
	r.pendingLost.At, r.pendingLost.LostTo = at, at
	r.lostCount.Add(1)
}

// putLost puts the count of lost events where these would have been, and reports whether there was room.
func (r *Recorder) putLost() bool {
	if r.ring.put(&r.pendingLost) < 0 {
		return false
	}
	r.pendingLost = Event{}
	return true
}
