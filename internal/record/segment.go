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
	if w.payld, err = (proto.MarshalOptions{}).MarshalAppend(w.payld[:0], &w.batch); err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	w.out = beginFrame(w.out[:0], FrameBatch)
	if w.opt.Pack {
		if w.packer == nil {
			if w.packer, err = zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.EncoderLevel(packLevel)), zstd.WithEncoderConcurrency(1),
				zstd.WithWindowSize(1<<17), zstd.WithLowerEncoderMem(true), zstd.WithEncoderCRC(false)); err != nil {
				return fmt.Errorf("zstd: %w", err)
			}
		}
		w.out[4] = FrameZstd
		w.out = w.packer.EncodeAll(w.payld, w.out)
	} else {
		w.out = append(w.out, w.payld...)
	}
	if err = w.put(endFrame(w.out, 0)); err == nil {
		w.batches++
	}
	return err
}

func (w *writer) put(b []byte) error {
	n, err := w.file.Write(b)
	w.size += int64(n)
	if err == nil && n < len(b) {
		err = io.ErrShortWrite
	}
	return err
}

// ready has a segment open, unless the last failure was just now.
func (w *writer) ready(at float64) bool {
	if w.file != nil {
		return true
	}
	if time.Now().Before(w.retryAt) {
		return false
	}
	if err := w.open(at); err != nil {
		w.broke(err)
		return false
	}
	w.retryMs, w.told = 0, false
	return true
}

func (w *writer) open(at float64) error {
	if err := w.prune(); err != nil {
		return err
	}
	w.segment++
	w.name = SegmentName(w.opt.Pooler, w.opt.Run, w.segment)
	f, err := w.opt.Files.Create(w.name)
	if err != nil {
		return err
	}
	w.file, w.size, w.names = f, 0, map[string]uint32{}
	head, err := proto.Marshal(&recordpb.Header{Pooler: w.opt.Pooler, Program: w.opt.Program, RunUs: micros(w.opt.Run),
		Segment: w.segment, OpenedUs: micros(at), Schema: Schema, Classes: w.opt.Classes, LostBefore: w.lost,
		ColdFrom: w.opt.ColdFrom, ColdUs: uspan(w.opt.ColdMs), GraceUs: uspan(w.opt.GraceMs)})
	if err != nil {
		return err
	}
	b := append([]byte(Magic), endFrame(append(beginFrame(nil, FrameHeader), head...), 0)...)
	if err := w.put(b); err != nil || len(w.held) == 0 {
		return err
	}
	// The list as it stands: a segment must be readable with those before it gone.
	w.batch.Reset()
	w.batch.Events, w.batch.Names = w.batch.Events[:0], nil
	w.last = micros(at)
	w.batch.BaseUs = w.last
	for _, id := range sortedKeys(w.held) {
		e := w.held[id]
		e.At, e.Held = at, true
		w.add(&e)
		if len(w.batch.Events) == batchEvents {
			if err := w.write(); err != nil {
				return err
			}
			w.batch.Events, w.batch.Names = w.batch.Events[:0], nil
			w.last = micros(at)
		}
	}
	if len(w.batch.Events) == 0 {
		return nil
	}
	return w.write()
}

// prune removes the oldest segments until another has room.
func (w *writer) prune() error {
	all, err := w.opt.Files.List()
	if err != nil {
		return err
	}
	mine, total := []string{}, w.opt.SegmentBytes
	for name, size := range all {
		if strings.HasPrefix(name, namePrefix(w.opt.Pooler)) && strings.HasSuffix(name, Suffix) {
			mine = append(mine, name)
			total += size
		}
	}
	slices.Sort(mine)
	for _, name := range mine {
		if total <= w.opt.TotalBytes {
			break
		}
		if err := w.opt.Files.Remove(name); err != nil {
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
		if err := w.put(endFrame(beginFrame(nil, FrameEnd), 0)); err != nil {
			w.opt.Log.Warn("records: the end of a segment was not written", "file", w.name, "err", err)
		}
	}
	if err := w.file.Close(); err != nil {
		w.opt.Log.Warn("records: close", "file", w.name, "err", err)
	}
	w.file = nil
}

// broke gives the segment and the batch up; what it held is counted.
func (w *writer) broke(err error) {
	if !w.told {
		w.told = true
		w.opt.Log.Error("records cannot be written; service goes on without", "err", err)
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
			w.miss(float64(x.Lost.FromUs)/1000, x.Lost.Events)
			w.miss(float64(x.Lost.ToUs)/1000, 0)
		case x.Entry == nil || !x.Entry.Held:
			w.miss(float64(at)/1000, 1)
		}
	}
	w.batch.Events = w.batch.Events[:0]
	w.retryMs = min(retryMostMs, max(retryLeastMs, 2*w.retryMs))
	w.retryAt = time.Now().Add(time.Duration(w.retryMs * float64(time.Millisecond)))
}

// skip counts all that waits as lost.
func (w *writer) skip() {
	for e := w.rec.ring.next(); e != nil; e = w.rec.ring.next() {
		w.note(e)
		if e.Kind == recordpb.Kind_KIND_LOST {
			w.miss(e.From, e.Lost)
		} else {
			w.miss(e.At, 1)
		}
		w.rec.ring.drop()
	}
}

func (w *writer) miss(at float64, events uint64) {
	l := &w.pendingLost
	if l.Lost == 0 {
		*l = Event{Kind: recordpb.Kind_KIND_LOST, From: at, To: at, Cause: CauseWrite}
	}
	l.Lost += events
	l.From, l.To = min(l.From, at), max(l.To, at)
}
