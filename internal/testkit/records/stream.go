package records

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"

	"beechgrade/internal/record"
	"beechgrade/internal/record/recordpb"
)

// readBufferBytes is the size of a segment's read buffer.
const readBufferBytes = 1 << 16

// stream reads the segments of one run, batch by batch.
type stream struct {
	set            *Set
	run            *Run
	segmentIndex   int // in run.segments, of the segment that is read
	file           *os.File
	frames         *record.Frames
	completeOffset int64    // end of the last complete frame, where reading resumes in a file that grows
	names          []string // of the segment, which its events refer to by number
	batch          recordpb.Batch
	decompressed   []byte
	events         []record.Event // of the last batch
	next           int            // index of the next event
	nextAt         float64        // Unix time in milliseconds of the next event
	lastBatch      uint64         // number of the last batch, 0 for none
	lastSegment    uint32         // number of the last segment, 0 for none
	began          bool           // Sink.Begin was called
	ended          bool           // Sink.End was called
	stopped        bool           // the last event was the pooler's own stop
	closed         bool           // the segment's end frame was read
}

// fill reads the next batch that has events. It returns false where the run has ended, or has no further events yet.
func (st *stream) fill(sink Sink) (bool, error) {
	for !st.ended {
		if st.frames == nil {
			if st.segmentIndex == len(st.run.segments) {
				if !st.set.follow || st.stopped {
					st.finish(sink)
				}
				return false, nil
			}
			if !st.openSegment(sink) {
				continue
			}
		}
		typ, body, err := st.frames.Next()
		atEnd := errors.Is(err, io.EOF) || errors.Is(err, record.ErrTorn)
		switch {
		case atEnd && st.mayGrow():
			return false, st.pauseAtEnd()
		case err != nil:
			if !st.endsCleanly(err) {
				st.reportFault(sink, err)
			}
			st.closeSegment()
		case st.closed:
			st.reportFault(sink, fmt.Errorf("%w: bytes behind its end", record.ErrCorrupt))
			st.closeSegment()
		case typ == record.FrameEnd:
			st.closed = true
		case typ == record.FrameBatch, typ == record.FrameZstd:
			if st.readBatch(sink, typ, body) {
				return true, nil
			}
		default: // frame types of later versions are skipped
		}
	}
	return false, nil
}

// mayGrow reports whether the segment may still be written to.
func (st *stream) mayGrow() bool {
	isLast := st.segmentIndex == len(st.run.segments)-1
	return st.set.follow && isLast && !st.closed
}

// endsCleanly reports whether an error is the end of a closed segment.
func (st *stream) endsCleanly(err error) bool {
	return st.closed && errors.Is(err, io.EOF) && !errors.Is(err, record.ErrTorn)
}

// readBatch decodes a batch, and reports whether it has events. A batch that cannot be decoded ends the segment.
func (st *stream) readBatch(sink Sink, typ byte, body []byte) bool {
	if err := st.decode(sink, typ, body); err != nil {
		st.reportFault(sink, err)
		st.closeSegment()
		return false
	}
	st.completeOffset = st.frames.Offset()
	if len(st.events) == 0 {
		return false
	}
	if !st.began {
		st.began = true
		sink.Begin(st.run)
	}
	st.next = 0
	st.nextAt = st.events[0].At
	return true
}

// openSegment opens the run's next segment and reads its header. It reports segments that are missing before it. A segment that
// cannot be read, or is a duplicate, is skipped, and the result is false.
func (st *stream) openSegment(sink Sink) bool {
	seg := st.run.segments[st.segmentIndex]
	fail := func(err error) bool {
		sink.Fault(Fault{Kind: faultKind(err), Pooler: st.run.Pooler, File: seg.path, From: st.nextAt, Text: err.Error()})
		st.segmentIndex++
		return false
	}
	if seg.number == st.lastSegment {
		sink.Fault(Fault{
			Kind:   Duplicate,
			Pooler: st.run.Pooler,
			File:   seg.path,
			Text:   fmt.Sprintf("segment %d is here a second time; this copy is not read", seg.number),
		})
		st.segmentIndex++
		return false
	}
	f, err := os.Open(seg.path)
	if err != nil {
		return fail(err)
	}
	frames, err := record.NewFrames(bufio.NewReaderSize(f, readBufferBytes))
	if err == nil {
		_, err = header(frames)
	}
	if err != nil {
		_ = f.Close()
		return fail(err)
	}
	if seg.number != st.lastSegment+1 {
		fault := Fault{Kind: Missing, Pooler: st.run.Pooler, File: seg.path, From: st.nextAt, To: seg.openedMs,
			Text: fmt.Sprintf("segments %d to %d before it are not here", st.lastSegment+1, seg.number-1)}
		if st.lastSegment == 0 {
			fault.Kind, fault.From = Rotated, st.run.StartMs
		}
		sink.Fault(fault)
		st.lastBatch = 0 // the missing batches are reported by this fault
	}
	st.lastSegment = seg.number
	st.file, st.frames = f, frames
	st.completeOffset = frames.Offset()
	st.names = nil
	st.closed = false
	return true
}

// pauseAtEnd seeks to the end of the last complete frame of a file that may grow, where the next call of fill resumes.
func (st *stream) pauseAtEnd() error {
	if _, err := st.file.Seek(st.completeOffset, io.SeekStart); err != nil {
		return fmt.Errorf("%s: %w", st.run.segments[st.segmentIndex].path, err)
	}
	st.frames = record.ResumeFrames(bufio.NewReaderSize(st.file, readBufferBytes), st.completeOffset)
	return nil
}

// closeSegment closes the file and moves on to the run's next segment.
func (st *stream) closeSegment() {
	_ = st.file.Close()
	st.file, st.frames = nil, nil
	st.segmentIndex++
}

// reportFault reports that the rest of the segment cannot be read. Events may be missing up to the start of the next segment,
// or of the pooler's next run.
func (st *stream) reportFault(sink Sink, err error) {
	f := Fault{
		Kind:   faultKind(err),
		Pooler: st.run.Pooler,
		File:   st.run.segments[st.segmentIndex].path,
		Offset: st.frames.Offset(),
		From:   st.nextAt,
		Text:   err.Error(),
	}
	if errors.Is(err, io.EOF) {
		f.Kind, f.Text = Unclosed, "ends without its closing frame"
	}
	if st.segmentIndex+1 < len(st.run.segments) {
		f.To = st.run.segments[st.segmentIndex+1].openedMs
	} else {
		f.To = st.nextRunStart()
	}
	sink.Fault(f)
	if f.Kind != Unclosed {
		st.lastBatch = 0
	}
}

// nextRunStart is the Unix time in milliseconds at which the pooler's next run started, 0 where there is none.
func (st *stream) nextRunStart() float64 {
	next := 0.0
	for _, r := range st.set.Runs {
		if r.Pooler != st.run.Pooler || r.StartMs <= st.run.StartMs {
			continue
		}
		if next == 0 || r.StartMs < next {
			next = r.StartMs
		}
	}
	return next
}

// finish reports the end of the run to the sink.
func (st *stream) finish(sink Sink) {
	st.ended = true
	if !st.began {
		sink.Begin(st.run)
	}
	sink.End(st.run, st.stopped && st.closed)
	st.events, st.decompressed = nil, nil
}

// decode decodes a batch into events. A batch that is missing before it is reported.
func (st *stream) decode(sink Sink, typ byte, b []byte) error {
	if typ == record.FrameZstd {
		var err error
		if b, err = st.decompress(b); err != nil {
			return err
		}
	}
	st.batch.Reset()
	if err := proto.Unmarshal(b, &st.batch); err != nil {
		return fmt.Errorf("%w: %w", record.ErrCorrupt, err)
	}
	if st.lastBatch != 0 && st.batch.Number != st.lastBatch+1 {
		sink.Fault(Fault{
			Kind:   Missing,
			Pooler: st.run.Pooler,
			File:   st.run.segments[st.segmentIndex].path,
			Offset: st.frames.Offset(),
			From:   st.nextAt,
			To:     milliseconds(st.batch.BaseUs),
			Text:   fmt.Sprintf("batch %d follows batch %d", st.batch.Number, st.lastBatch),
		})
	}
	st.lastBatch = st.batch.Number
	st.names = append(st.names, st.batch.Names...)
	if cap(st.events) < len(st.batch.Events) {
		st.events = make([]record.Event, len(st.batch.Events))
	}
	st.events = st.events[:len(st.batch.Events)]
	at := st.batch.BaseUs
	for i, x := range st.batch.Events {
		at += x.AfterUs
		if err := st.decodeEvent(&st.events[i], x, at); err != nil {
			st.events = st.events[:0]
			return err
		}
	}
	st.next = 0
	return nil
}

// decompress decompresses a batch into a buffer that the next call overwrites.
func (st *stream) decompress(b []byte) ([]byte, error) {
	if st.set.decoder == nil {
		decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(record.MaxFrame))
		if err != nil {
			return nil, fmt.Errorf("zstd: %w", err)
		}
		st.set.decoder = decoder
	}
	var err error
	if st.decompressed, err = st.set.decoder.DecodeAll(b, st.decompressed[:0]); err != nil {
		return nil, fmt.Errorf("%w: %w", record.ErrCorrupt, err)
	}
	return st.decompressed, nil
}

// decodeEvent converts an encoded event of the given time, in microseconds. Names are resolved by the segment's table.
func (st *stream) decodeEvent(e *record.Event, x *recordpb.Event, at int64) error {
	*e = record.Event{
		At:          milliseconds(at),
		Kind:        x.Kind,
		Final:       x.Final,
		Result:      uint8(x.Result),
		Role:        uint8(x.Role),
		Repeat:      x.Repeat,
		Full:        x.Whole,
		Class:       int32(x.Class),
		Attempt:     int32(x.Attempt),
		Group:       x.Group,
		Request:     x.Request,
		Session:     x.Session,
		ID:          x.Id,
		DurationMs:  milliseconds(int64(x.TookUs)),
		RemainingMs: milliseconds(int64(x.LeftUs)),
		WaitMs:      milliseconds(int64(x.WaitUs)),
		Reason:      record.Reason(x.Reason),
		Number:      x.Number,
		Text:        x.Text,
		Health:      uint8(x.Health),
	}
	for _, n := range []struct {
		to     *string
		number uint32
	}{{&e.Server, x.Server}, {&e.Pool, x.Pool}, {&e.Source, x.Source}} {
		switch {
		case n.number == 0:
		case int(n.number) > len(st.names):
			return fmt.Errorf("%w: name %d of %d", record.ErrCorrupt, n.number, len(st.names))
		default:
			*n.to = st.names[n.number-1]
		}
	}
	if h := x.Hand; h != nil {
		e.Assignment, e.FromOtherClient, e.ServerChanged, e.SettingsRestored = record.Assignment(h.How), h.Other, h.Moved, h.Carried
	}
	if h := x.Held; h != nil {
		e.PoolState = record.PoolState{Clients: int32(h.Clients), Idle: int32(h.Idle), Used: int32(h.Used), Connecting: int32(h.Connecting),
			Waiting: int32(h.Waiting), LongestWaitMs: milliseconds(int64(h.LongestUs)), MaxConnections: int32(h.Most)}
	}
	if x.Positioned {
		e.Position = milliseconds(at - x.BehindUs)
	}
	if n := x.Entry; n != nil {
		e.State, e.Primary, e.Number, e.Text, e.Restated = uint8(n.State), n.Primary, n.StartedUs/1000, n.Address, n.Held
	}
	if g := x.Gauge; g != nil {
		e.Sessions, e.Connections, e.Number, e.MemoryBytes, e.Descriptors = int64(g.Sessions), int64(g.Connections), int64(g.Open), int64(g.Memory), int64(g.Descriptors)
		e.WallClockMs = milliseconds(g.WallUs)
	}
	if l := x.Lost; l != nil {
		e.Lost, e.LostFrom, e.LostTo, e.LossCause = l.Events, milliseconds(l.FromUs), milliseconds(l.ToUs), record.LossCause(l.Cause)
	}
	if r := x.Recovered; r != nil {
		e.Recovery = &record.StoreRecovery{Store: r.Store, Records: int64(r.Records), Segments: int64(r.Segments), Dropped: int64(r.Dropped)}
	}
	st.stopped = x.Kind == recordpb.Kind_KIND_STOP
	return nil
}

// milliseconds converts microseconds.
func milliseconds(us int64) float64 { return float64(us) / 1000 }

// streams is a heap of streams by the time of their next event; at equal times the run that started first comes first.
type streams []*stream

// Len implements heap.Interface.
func (h streams) Len() int { return len(h) }

// Less implements heap.Interface.
func (h streams) Less(i, j int) bool {
	if h[i].nextAt != h[j].nextAt {
		return h[i].nextAt < h[j].nextAt
	}
	return h[i].run.Index < h[j].run.Index
}

// Swap implements heap.Interface.
func (h streams) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *streams) Push(x any) { *h = append(*h, x.(*stream)) }

// Pop implements heap.Interface.
func (h *streams) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
