// Package record keeps what the loop saw and did: a typed stream of events that one goroutine writes to segments
// on disk. The loop never waits for it and never allocates for it; what can't be kept is counted.
package record

import (
	"sync/atomic"

	"beechgrade/internal/record/recordpb"
)

// Kind is what an event is; the schema has the list.
type Kind = recordpb.Kind

// Reason says what the pooler knew of a request when it refused or failed it. Numbers are the schema's.
type Reason uint32

// The reasons. A reason behind ReasonEnded is that of the attempt that ended last, by the decision module's Result.
const (
	ReasonNone       Reason = iota
	ReasonNotSent           // no attempt was begun
	ReasonNoResponse        // an attempt was still out
	ReasonEnded             // ...plus the Result of the last attempt
	reasonsBehind    = 9
)

var resultNames = [...]string{"ok", "error", "turned away", "timed out", "unreachable", "reset", "called off", "never sent", "missed"}

// ResultName names a Result of the decision module, by its number.
func ResultName(r uint32) string {
	if int(r) < len(resultNames) {
		return resultNames[r]
	}
	return "unknown"
}

func (r Reason) String() string {
	switch {
	case r == ReasonNone:
		return "none"
	case r == ReasonNotSent:
		return "nothing sent"
	case r == ReasonNoResponse:
		return "no answer yet"
	case r < ReasonEnded+reasonsBehind:
		return ResultName(uint32(r - ReasonEnded))
	}
	return "unknown"
}

// Event is one event on its way to disk, or read back. Times are in milliseconds; At and Position are Unix time.
// Which fields count depends on Kind, as the schema says.
type Event struct {
	At               float64
	Kind             Kind
	Final            recordpb.Final
	Result           uint8
	Role             uint8
	State            uint8
	Repeat           bool
	Primary          bool
	Full             bool
	Restated         bool
	Class            int32
	Attempt          int32
	Group            int64
	Request          uint64
	Server           string
	Session          uint64
	ID               uint64
	DurationMs       float64
	RemainingMs      float64
	WaitMs           float64
	Position         float64 // 0 for none
	Reason           Reason
	Number           int64 // a list's generation; a server's start in Unix ms; a gauge's open requests
	Sessions         int64
	Connections      int64
	MemoryBytes      int64
	Descriptors      int64
	WallClockMs      float64 // the machine's clock at a gauge, Unix ms
	Text             string
	Lost             uint64 // events
	LostFrom, LostTo float64
	LossCause        uint8

	Source string // of membership
	Health uint8  // as that says

	Pool             string
	Assignment       uint8 // of a hand-over
	FromOtherClient  bool
	ServerChanged    bool
	SettingsRestored bool
	PoolState        PoolState

	Recovery *StoreRecovery // of a store that was opened; Text is why some of it was dropped
}

// StoreRecovery is what the opening of a durable store found.
type StoreRecovery struct {
	Store    string
	Records  int64
	Segments int64
	Dropped  int64 // bytes
}

// PoolState is what a pool holds; LongestWaitMs is for how long one of those who wait has.
type PoolState struct {
	Clients, Idle, Used, Connecting, Waiting, MaxConnections int32
	LongestWaitMs                                            float64
}

// How a transaction's wait for a server connection ended.
const (
	AssignmentGranted   = 1
	AssignmentRejected  = 2
	AssignmentRestarted = 3 // it had only begun, and begins again elsewhere
)

// Causes of a loss.
const (
	CauseRing  = 1 // the writer did not keep up
	CauseWrite = 2 // writing failed
)

// Recorder takes events on the loop. A nil Recorder takes none.
type Recorder struct {
	ring        ring
	wake        chan struct{}
	pendingLost Event // what the ring had no room for since
	lostCount   atomic.Uint64
}

// Enabled tells whether events are kept.
func (r *Recorder) Enabled() bool { return r != nil }

// Put keeps an event, or counts it as lost where the ring is full. It is for the loop alone, and neither waits nor
// allocates.
func (r *Recorder) Put(e *Event) {
	if r == nil {
		return
	}
	if r.pendingLost.Lost > 0 && !r.flushLost() {
		r.countLost(e.At)
		return
	}
	room := r.ring.put(e)
	if room < 0 {
		r.countLost(e.At)
	} else if room == len(r.ring.buf)/2 {
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

// flushLost puts the word of a loss where the lost events would have stood.
func (r *Recorder) flushLost() bool {
	if r.ring.put(&r.pendingLost) < 0 {
		return false
	}
	r.pendingLost = Event{}
	return true
}

// ring is a bounded queue with one writer and one reader, without locks.
type ring struct {
	buf  []Event
	mask uint64
	head atomic.Uint64 // next to be written; moved by the writer alone
	_    [48]byte      // each counter on a cache line of its own
	tail atomic.Uint64 // next to be read; moved by the reader alone
}

func newRing(events int) ring {
	size := 1
	for size < events {
		size *= 2
	}
	return ring{buf: make([]Event, size), mask: uint64(size - 1)}
}

// put adds an event and returns how many are waiting then, -1 where there was no room.
func (r *ring) put(e *Event) int {
	h := r.head.Load()
	n := h - r.tail.Load()
	if n > r.mask {
		return -1
	}
	r.buf[h&r.mask] = *e
	r.head.Store(h + 1)
	return int(n) + 1
}

// next is the oldest event, nil where none waits; it stays until drop.
func (r *ring) next() *Event {
	t := r.tail.Load()
	if t == r.head.Load() {
		return nil
	}
	return &r.buf[t&r.mask]
}

func (r *ring) drop() {
	t := r.tail.Load()
	r.buf[t&r.mask] = Event{} // its strings go
	r.tail.Store(t + 1)
}
