// Package record records what the event loop observed and did, as a typed stream of events that a goroutine writes to segments on disk.
// Recording an event neither blocks the event loop nor allocates. Events that do not fit the ring or cannot be written are counted, and the
// count is recorded in their place. While the disk fails, requests are still served and writing is retried.
//
// A segment holds Magic and frames (see Frames); the schema of their content is in recordpb. The oldest segments of a pooler are removed when
// the total size of its segments reaches a limit.
package record

import (
	"sync/atomic"

	"beechgrade/internal/record/recordpb"
)

// Recorder accepts events on the event loop. A nil Recorder ignores them.
type Recorder struct {
	ring        ring
	wake        chan struct{} // wakes the writer
	pendingLost Event         // events lost because the ring was full, not yet recorded as lost
	lostCount   atomic.Uint64
}

// Enabled reports whether events are recorded.
func (r *Recorder) Enabled() bool { return r != nil }

// Put records an event, or counts it as lost if the ring is full. It is called on the event loop, and neither blocks nor allocates.
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

// Lost returns the number of events that were lost because the ring was full.
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

// putLost puts the count of lost events into the ring in their place, and reports whether there was space.
func (r *Recorder) putLost() bool {
	if r.ring.put(&r.pendingLost) < 0 {
		return false
	}
	r.pendingLost = Event{}
	return true
}
