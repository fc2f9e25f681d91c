package record

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"

	"beechgrade/internal/record/recordpb"
)

// Settings of the compressor, chosen for low memory use.
const (
	compressionLevel  = 1
	compressionWindow = 1 << 17 // bytes
)

// writeBatch appends the batch to the segment as a frame.
func (w *writer) writeBatch() error {
	w.batch.Number = w.batches + 1
	var err error
	if w.payload, err = (proto.MarshalOptions{}).MarshalAppend(w.payload[:0], &w.batch); err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	if err := w.frameBatch(); err != nil {
		return err
	}
	if err := w.writeBytes(endFrame(w.out, 0)); err != nil {
		return err
	}
	w.batches++
	return nil
}

// frameBatch begins a frame with the encoded batch as payload, compressed if the options say so.
func (w *writer) frameBatch() error {
	if !w.options.Compress {
		w.out = append(beginFrame(w.out[:0], FrameBatch), w.payload...)
		return nil
	}
	if w.compressor == nil {
		compressor, err := zstd.NewWriter(nil,
			zstd.WithEncoderLevel(zstd.EncoderLevel(compressionLevel)),
			zstd.WithEncoderConcurrency(1),
			zstd.WithWindowSize(compressionWindow),
			zstd.WithLowerEncoderMem(true),
			zstd.WithEncoderCRC(false))
		if err != nil {
			return fmt.Errorf("zstd: %w", err)
		}
		w.compressor = compressor
	}
	w.out = w.compressor.EncodeAll(w.payload, beginFrame(w.out[:0], FrameZstd))
	return nil
}

func (w *writer) writeBytes(b []byte) error {
	n, err := w.file.Write(b)
	w.size += int64(n)
	if err == nil && n < len(b) {
		err = io.ErrShortWrite
	}
	return err
}

// ensureSegment opens a segment if none is open, unless it is too early to retry after a failure. It reports whether a segment is open.
func (w *writer) ensureSegment(at float64) bool {
	if w.file != nil {
		return true
	}
	if time.Now().Before(w.retryAt) {
		return false
	}
	if err := w.open(at); err != nil {
		w.failSegment(err)
		return false
	}
	w.retryMs = 0
	w.failureLogged = false
	return true
}

// open creates a segment, and writes its header and the endpoint list, so that it can be read without earlier segments.
func (w *writer) open(at float64) error {
	if err := w.prune(); err != nil {
		return err
	}
	w.segment++
	w.name = SegmentName(w.options.Pooler, w.options.RunStartMs, w.segment)
	file, err := w.options.Files.Create(w.name)
	if err != nil {
		return err
	}
	w.file, w.size = file, 0
	w.nameNumbers = map[string]uint32{}
	if err := w.writeHeader(at); err != nil {
		return err
	}
	return w.writeList(at)
}

func (w *writer) writeHeader(at float64) error {
	header, err := proto.Marshal(&recordpb.Header{
		Pooler:     w.options.Pooler,
		Program:    w.options.Program,
		RunUs:      microseconds(w.options.RunStartMs),
		Segment:    w.segment,
		OpenedUs:   microseconds(at),
		Schema:     Schema,
		Classes:    w.options.Classes,
		LostBefore: w.lost,
		ColdFrom:   w.options.WarmupStartShare,
		ColdUs:     unsignedMicroseconds(w.options.WarmupMs),
		GraceUs:    unsignedMicroseconds(w.options.DrainGraceMs),
	})
	if err != nil {
		return err
	}
	frame := endFrame(append(beginFrame(nil, FrameHeader), header...), 0)
	return w.writeBytes(append([]byte(Magic), frame...))
}

// writeList writes the entries of the endpoint list, marked as restated.
func (w *writer) writeList(at float64) error {
	w.startBatch(at)
	for _, id := range sortedKeys(w.listed) {
		entry := w.listed[id]
		entry.At = at
		entry.Restated = true
		w.encode(&entry)
		if len(w.batch.Events) == batchEvents {
			if err := w.writeBatch(); err != nil {
				return err
			}
			w.startBatch(at)
		}
	}
	if len(w.batch.Events) == 0 {
		return nil
	}
	return w.writeBatch()
}

// prune removes the oldest segments of this pooler until another one fits the size limit.
func (w *writer) prune() error {
	sizes, err := w.options.Files.List()
	if err != nil {
		return err
	}
	var segments []string
	total := w.options.SegmentBytes
	for name, size := range sizes {
		if strings.HasPrefix(name, namePrefix(w.options.Pooler)) && strings.HasSuffix(name, Suffix) {
			segments = append(segments, name)
			total += size
		}
	}
	slices.Sort(segments)
	for _, name := range segments {
		if total <= w.options.TotalBytes {
			break
		}
		if err := w.options.Files.Remove(name); err != nil {
			return err
		}
		total -= sizes[name]
	}
	return nil
}

// close closes the segment; clean is false if writing failed. A clean close writes an end frame first.
func (w *writer) close(clean bool) {
	if w.file == nil {
		return
	}
	if clean {
		if err := w.writeBytes(endFrame(beginFrame(nil, FrameEnd), 0)); err != nil {
			w.options.Log.Warn("records: could not write the end frame of a segment; the segment reads as if cut off by a crash", "file", w.name, "err", err)
		}
	}
	if err := w.file.Close(); err != nil {
		w.options.Log.Warn("records: could not close a segment", "file", w.name, "err", err)
	}
	w.file = nil
}

// failSegment closes the segment and discards the batch after a failure, and counts the events of the batch as lost.
func (w *writer) failSegment(err error) {
	if !w.failureLogged {
		w.failureLogged = true
		w.options.Log.Error("records: writing failed; requests are served without records while writing is retried", "err", err)
	}
	w.close(false)
	at := w.batch.BaseUs
	for i, event := range w.batch.Events {
		at += event.AfterUs
		switch {
		case event.Lost != nil:
			w.lost -= event.Lost.Events
			isPending := i == 0 && event.Lost.Events == w.pendingLost.Lost && LossCause(event.Lost.Cause) == CauseWrite
			if !isPending { // pendingLost already has its count
				w.countLost(milliseconds(event.Lost.FromUs), event.Lost.Events)
				w.countLost(milliseconds(event.Lost.ToUs), 0)
			}
		case event.Entry == nil || !event.Entry.Held:
			w.countLost(milliseconds(at), 1)
		}
	}
	w.batch.Events = w.batch.Events[:0]
	w.retryMs = min(maxRetryMs, max(minRetryMs, 2*w.retryMs))
	w.retryAt = time.Now().Add(time.Duration(w.retryMs * float64(time.Millisecond)))
}

func milliseconds(us int64) float64 { return float64(us) / usPerMs }

// discardQueued discards all queued events and counts them as lost.
func (w *writer) discardQueued() {
	queue := &w.recorder.ring
	for event := queue.next(); event != nil; event = queue.next() {
		w.trackList(event)
		if event.Kind == recordpb.Kind_KIND_LOST {
			w.countLost(event.LostFrom, event.Lost)
		} else {
			w.countLost(event.At, 1)
		}
		queue.drop()
	}
}

// countLost counts events that were lost because writing failed.
func (w *writer) countLost(at float64, events uint64) {
	lost := &w.pendingLost
	if lost.Lost == 0 {
		*lost = Event{Kind: recordpb.Kind_KIND_LOST, LostFrom: at, LostTo: at, LossCause: CauseWrite}
	}
	lost.Lost += events
	lost.LostFrom = min(lost.LostFrom, at)
	lost.LostTo = max(lost.LostTo, at)
}
