package record

import (
	"io"
	"log/slog"
	"math"
	"slices"
	"time"

	"beechgrade/internal/record/recordpb"
	"github.com/klauspost/compress/zstd"
)

// Schema is the number of the form that this program writes.
const Schema = 1

// Suffix ends the names of segments.
const Suffix = ".bgr"

const (
	batchEvents      = 1024
	compressionLevel = 1
	minRetryMs       = 100  // between tries at writing while it fails, doubled...
	maxRetryMs       = 5000 // ...up to this
	closeTimeout     = 2 * time.Second
)

// Options say what is recorded where.
type Options struct {
	Pooler           string
	Program          string
	RunStartMs       float64 // when the process started, Unix ms
	Classes          []*recordpb.Class
	WarmupStartShare float64 // part of its capacity that a server starts with
	WarmupMs         float64 // from its start until it is warm
	DrainGraceMs     float64 // for sends, from hearing that a server drains
	Files            Files
	SegmentBytes     int64 // a segment is closed when it has this many
	TotalBytes       int64 // of all segments of this pooler; the oldest go first
	QueueLength      int   // that wait for the writer at most
	FlushIntervalMs  float64
	Compress         bool // with zstd
	Log              *slog.Logger
}

// writer runs on a goroutine of its own; what is here belongs to it.
type writer struct {
	options  Options
	recorder *Recorder
	stop     chan struct{}
	done     chan struct{}

	file        io.WriteCloser
	name        string
	size        int64
	segment     uint32
	batches     uint64
	lost        uint64
	nameNumbers map[string]uint32
	listed      map[string]Event // the list, by server
	compressor  *zstd.Encoder

	batch      recordpb.Batch
	events     []*recordpb.Event
	payload    []byte
	out        []byte
	previousUs int64 // µs of the event before
	baseUs     int64

	pendingLost   Event // what writing failed for, not yet told
	retryAt       time.Time
	retryMs       float64
	failureLogged bool // of the failure, in the log
}

// Start begins recording. stop ends it once all that was put is written, or after 2 s.
func Start(opt Options) (rec *Recorder, stop func()) {
	rec = &Recorder{ring: newRing(opt.QueueLength), wake: make(chan struct{}, 1)}
	w := &writer{options: opt, recorder: rec, stop: make(chan struct{}), done: make(chan struct{}), listed: map[string]Event{}}
	go w.run()
	return rec, func() {
		close(w.stop)
		select {
		case <-w.done:
		case <-time.After(closeTimeout):
			opt.Log.Error("records: the last events were not written in time")
		}
	}
}

// Write records what f puts, without a goroutine: for tools and tests.
func Write(opt Options, f func(put func(*Event))) {
	rec := &Recorder{ring: newRing(opt.QueueLength), wake: make(chan struct{}, 1)}
	w := &writer{options: opt, recorder: rec, listed: map[string]Event{}}
	f(func(e *Event) {
		rec.Put(e)
		for len(rec.wake) > 0 {
			<-rec.wake
			for w.flush() {
			}
		}
	})
	for w.flush() {
	}
	w.close(true)
}

func (w *writer) run() {
	defer close(w.done)
	tick := time.NewTicker(time.Duration(w.options.FlushIntervalMs * float64(time.Millisecond)))
	defer tick.Stop()
	for {
		stopping := false
		select {
		case <-tick.C:
		case <-w.recorder.wake:
		case <-w.stop:
			stopping = true
		}
		for w.flush() {
		}
		if stopping {
			w.close(true)
			return
		}
	}
}

// flush writes a batch of what waits, and tells whether more may wait.
func (w *writer) flush() bool {
	e := w.recorder.ring.next()
	if e == nil {
		return false
	}
	if !w.ensureSegment(e.At) {
		w.discardQueued()
		return w.recorder.ring.next() != nil
	}
	w.batch.Reset()
	w.batch.Events, w.batch.Names = w.batch.Events[:0], nil
	w.baseUs = microseconds(e.At)
	w.previousUs = w.baseUs
	w.batch.BaseUs = w.baseUs
	if w.pendingLost.Lost > 0 {
		w.pendingLost.At = e.At
		w.encode(&w.pendingLost)
	}
	for ; e != nil && len(w.batch.Events) < batchEvents; e = w.recorder.ring.next() {
		w.trackList(e)
		w.encode(e)
		w.recorder.ring.drop()
	}
	if err := w.write(); err != nil {
		w.failSegment(err)
		return w.recorder.ring.next() != nil
	}
	w.pendingLost, w.batch.Events = Event{}, w.batch.Events[:0]
	if w.size >= w.options.SegmentBytes {
		w.close(true)
	}
	return w.recorder.ring.next() != nil
}

func microseconds(ms float64) int64 { return int64(math.Round(ms * 1000)) }

func unsignedMicroseconds(ms float64) uint64 { return uint64(max(0, microseconds(ms))) }

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
