package record

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"beechgrade/internal/record/recordpb"
	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"
)

// write appends the batch as a frame.
func (w *writer) write() error {
	w.batch.Number = w.batches + 1
	var err error
	if w.payload, err = (proto.MarshalOptions{}).MarshalAppend(w.payload[:0], &w.batch); err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	w.out = beginFrame(w.out[:0], FrameBatch)
	if w.options.Compress {
		if w.compressor == nil {
			if w.compressor, err = zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.EncoderLevel(compressionLevel)), zstd.WithEncoderConcurrency(1),
				zstd.WithWindowSize(1<<17), zstd.WithLowerEncoderMem(true), zstd.WithEncoderCRC(false)); err != nil {
				return fmt.Errorf("zstd: %w", err)
			}
		}
		w.out[4] = FrameZstd
		w.out = w.compressor.EncodeAll(w.payload, w.out)
	} else {
		w.out = append(w.out, w.payload...)
	}
	if err = w.writeBytes(endFrame(w.out, 0)); err == nil {
		w.batches++
	}
	return err
}

func (w *writer) writeBytes(b []byte) error {
	n, err := w.file.Write(b)
	w.size += int64(n)
	if err == nil && n < len(b) {
		err = io.ErrShortWrite
	}
	return err
}

// ensureSegment has a segment open, unless the last failure was just now.
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
	w.retryMs, w.failureLogged = 0, false
	return true
}

func (w *writer) open(at float64) error {
	if err := w.prune(); err != nil {
		return err
	}
	w.segment++
	w.name = SegmentName(w.options.Pooler, w.options.RunStartMs, w.segment)
	f, err := w.options.Files.Create(w.name)
	if err != nil {
		return err
	}
	w.file, w.size, w.nameNumbers = f, 0, map[string]uint32{}
	head, err := proto.Marshal(&recordpb.Header{Pooler: w.options.Pooler, Program: w.options.Program, RunUs: microseconds(w.options.RunStartMs),
		Segment: w.segment, OpenedUs: microseconds(at), Schema: Schema, Classes: w.options.Classes, LostBefore: w.lost,
		ColdFrom: w.options.WarmupStartShare, ColdUs: unsignedMicroseconds(w.options.WarmupMs), GraceUs: unsignedMicroseconds(w.options.DrainGraceMs)})
	if err != nil {
		return err
	}
	b := append([]byte(Magic), endFrame(append(beginFrame(nil, FrameHeader), head...), 0)...)
	if err := w.writeBytes(b); err != nil || len(w.listed) == 0 {
		return err
	}
	// The list as it stands: a segment must be readable with those before it gone.
	w.batch.Reset()
	w.batch.Events, w.batch.Names = w.batch.Events[:0], nil
	w.previousUs = microseconds(at)
	w.batch.BaseUs = w.previousUs
	for _, id := range sortedKeys(w.listed) {
		e := w.listed[id]
		e.At, e.Restated = at, true
		w.encode(&e)
		if len(w.batch.Events) == batchEvents {
			if err := w.write(); err != nil {
				return err
			}
			w.batch.Events, w.batch.Names = w.batch.Events[:0], nil
			w.previousUs = microseconds(at)
		}
	}
	if len(w.batch.Events) == 0 {
		return nil
	}
	return w.write()
}

// prune removes the oldest segments until another has room.
func (w *writer) prune() error {
	all, err := w.options.Files.List()
	if err != nil {
		return err
	}
	mine, total := []string{}, w.options.SegmentBytes
	for name, size := range all {
		if strings.HasPrefix(name, namePrefix(w.options.Pooler)) && strings.HasSuffix(name, Suffix) {
			mine = append(mine, name)
			total += size
		}
	}
	slices.Sort(mine)
	for _, name := range mine {
		if total <= w.options.TotalBytes {
			break
		}
		if err := w.options.Files.Remove(name); err != nil {
			return err
		}
		total -= all[name]
	}
	return nil
}

// close ends the segment, in order unless writing failed.
func (w *writer) close(ordered bool) {
	if w.file == nil {
		return
	}
	if ordered {
		if err := w.writeBytes(endFrame(beginFrame(nil, FrameEnd), 0)); err != nil {
			w.options.Log.Warn("records: the end of a segment was not written", "file", w.name, "err", err)
		}
	}
	if err := w.file.Close(); err != nil {
		w.options.Log.Warn("records: close", "file", w.name, "err", err)
	}
	w.file = nil
}

// failSegment gives the segment and the batch up; what it held is counted.
func (w *writer) failSegment(err error) {
	if !w.failureLogged {
		w.failureLogged = true
		w.options.Log.Error("records cannot be written; service goes on without", "err", err)
	}
	w.close(false)
	at := w.batch.BaseUs
	for i, x := range w.batch.Events {
		at += x.AfterUs
		switch {
		case x.Lost != nil && i == 0 && x.Lost.Events == w.pendingLost.Lost && x.Lost.Cause == CauseWrite:
			w.lost -= x.Lost.Events // it is still to be told
		case x.Lost != nil:
			w.lost -= x.Lost.Events
			w.countLost(float64(x.Lost.FromUs)/1000, x.Lost.Events)
			w.countLost(float64(x.Lost.ToUs)/1000, 0)
		case x.Entry == nil || !x.Entry.Held:
			w.countLost(float64(at)/1000, 1)
		}
	}
	w.batch.Events = w.batch.Events[:0]
	w.retryMs = min(maxRetryMs, max(minRetryMs, 2*w.retryMs))
	w.retryAt = time.Now().Add(time.Duration(w.retryMs * float64(time.Millisecond)))
}

// discardQueued counts all that waits as lost.
func (w *writer) discardQueued() {
	for e := w.recorder.ring.next(); e != nil; e = w.recorder.ring.next() {
		w.trackList(e)
		if e.Kind == recordpb.Kind_KIND_LOST {
			w.countLost(e.LostFrom, e.Lost)
		} else {
			w.countLost(e.At, 1)
		}
		w.recorder.ring.drop()
	}
}

func (w *writer) countLost(at float64, events uint64) {
	l := &w.pendingLost
	if l.Lost == 0 {
		*l = Event{Kind: recordpb.Kind_KIND_LOST, LostFrom: at, LostTo: at, LossCause: CauseWrite}
	}
	l.Lost += events
	l.LostFrom, l.LostTo = min(l.LostFrom, at), max(l.LostTo, at)
}
