package record

import (
	"io"
	"log/slog"
	"math"
	"slices"
	"time"

	"github.com/klauspost/compress/zstd"

	"beechgrade/internal/record/recordpb"
)

// Schema is the version of the schema that this program writes.
const Schema = 1

// Suffix is the suffix of segment file names.
const Suffix = ".bgr"

const (
	batchEvents  = 1024
	minRetryMs   = 100 // first wait between attempts to write while writing fails; doubled up to maxRetryMs
	maxRetryMs   = 5000
	closeTimeout = 2 * time.Second
	usPerMs      = 1000
)

// Options configure recording.
type Options struct {
	Pooler           string
	Program          string
	RunStartMs       float64 // when the process started, Unix ms
	Classes          []*recordpb.Class
	WarmupStartShare float64 // share of its capacity that a server starts with
	WarmupMs         float64 // from a server's start until its full capacity
	DrainGraceMs     float64 // for which requests may still be sent to a server after it is reported as draining
	Files            Files
	SegmentBytes     int64 // size at which a segment is closed
	TotalBytes       int64 // maximum size of all segments of this pooler; the oldest are removed
	QueueLength      int   // maximum number of events that wait for the writer
	FlushIntervalMs  float64
	Compress         bool // with zstd
	Log              *slog.Logger
}

// writer writes segments, on a goroutine of its own.
type writer struct {
	options  Options
	recorder *Recorder
	stop     chan struct{}
	done     chan struct{}

	file        io.WriteCloser // nil while no segment is open
	name        string
	size        int64 // of the segment
	segment     uint32
	batches     uint64
	lost        uint64            // events that were recorded as lost so far
	nameNumbers map[string]uint32 // of this segment
	listed      map[string]Event  // the endpoint list, by server
	compressor  *zstd.Encoder

	batch      recordpb.Batch
	events     []*recordpb.Event // reused by batches
	payload    []byte
	out        []byte
	previousUs int64 // time of the previous event

	pendingLost   Event // events lost by write failures, not recorded yet
	retryAt       time.Time
	retryMs       float64
	failureLogged bool
}

func newWriter(options Options) *writer {
	recorder := &Recorder{ring: newRing(options.QueueLength), wake: make(chan struct{}, 1)}
	return &writer{
		options:  options,
		recorder: recorder,
		stop:     make(chan struct{}),
		done:     make(chan struct{}),
		listed:   map[string]Event{},
	}
}

// Start starts recording. stop waits until all events are written, at most 2 s.
func Start(options Options) (recorder *Recorder, stop func()) {
	w := newWriter(options)
	go w.run()
	return w.recorder, func() {
		close(w.stop)
		select {
		case <-w.done:
		case <-time.After(closeTimeout):
			options.Log.Error("records: the last events were not written within the time limit; they may be missing")
		}
	}
}

// Write records the events that produce puts, without starting a goroutine. It is for tools and tests.
func Write(options Options, produce func(put func(*Event))) {
	w := newWriter(options)
	produce(func(event *Event) {
		w.recorder.Put(event)
		for len(w.recorder.wake) > 0 {
			<-w.recorder.wake
			w.flushAll()
		}
	})
	w.flushAll()
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
		w.flushAll()
		if stopping {
			w.close(true)
			return
		}
	}
}

// flushAll writes all queued events.
func (w *writer) flushAll() {
	for w.flush() {
	}
}

// flush writes a batch of queued events, and reports whether more are queued.
func (w *writer) flush() bool {
	queue := &w.recorder.ring
	event := queue.next()
	if event == nil {
		return false
	}
	if !w.ensureSegment(event.At) {
		w.discardQueued()
		return queue.next() != nil
	}
	w.startBatch(event.At)
	if w.pendingLost.Lost > 0 {
		w.pendingLost.At = event.At
		w.encode(&w.pendingLost)
	}
	for ; event != nil && len(w.batch.Events) < batchEvents; event = queue.next() {
		w.trackList(event)
		w.encode(event)
		queue.drop()
	}
	if err := w.writeBatch(); err != nil {
		w.failSegment(err)
		return queue.next() != nil
	}
	w.pendingLost = Event{}
	w.batch.Events = w.batch.Events[:0]
	if w.size >= w.options.SegmentBytes {
		w.close(true)
	}
	return queue.next() != nil
}

// startBatch empties the batch and sets its base time.
func (w *writer) startBatch(at float64) {
	w.batch.Reset()
	w.batch.Events, w.batch.Names = w.batch.Events[:0], nil
	w.previousUs = microseconds(at)
	w.batch.BaseUs = w.previousUs
}

func microseconds(ms float64) int64 { return int64(math.Round(ms * usPerMs)) }

func unsignedMicroseconds(ms float64) uint64 { return uint64(max(0, microseconds(ms))) }

func sortedKeys[V any](values map[string]V) []string {
	keys := make([]string, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
