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

// stream reads one run.
type stream struct {
	set     *Set
	run     *Run
	seg     int // of the run's segments, the one that is read
	file    *os.File
	frames  *record.Frames
	whole   int64 // offset behind the last whole frame, for a file that grows
	names   []string
	batch   recordpb.Batch
	unpack  []byte
	events  []record.Event
	next    int
	at      float64 // of the next event
	batches uint64  // number of the last batch
	number  uint32  // of the last segment
	began   bool
	ended   bool
	stopped bool // the last event was the pooler's own end
	closed  bool // the segment had its end
}

// fill reads the next batch; false where the run has no more.
func (st *stream) fill(sink Sink) (bool, error) {
	for {
		if st.ended {
			return false, nil
		}
		if st.frames == nil {
			if st.seg == len(st.run.segments) {
				if st.set.follow && !st.stopped {
					return false, nil
				}
				st.finish(sink)
				return false, nil
			}
			if !st.open(sink) {
				continue
			}
		}
		typ, b, err := st.frames.Next()
		switch {
		case errors.Is(err, io.EOF), errors.Is(err, record.ErrTorn):
			last := st.seg == len(st.run.segments)-1
			if st.set.follow && last && !st.closed {
				return false, st.pause()
			}
			if !st.closed || errors.Is(err, record.ErrTorn) {
				st.fault(sink, err)
			}
			st.shut()
		case err != nil:
			st.fault(sink, err)
			st.shut()
		case st.closed:
			st.fault(sink, fmt.Errorf("%w: bytes behind its end", record.ErrCorrupt))
			st.shut()
		case typ == record.FrameEnd:
			st.closed = true
		case typ == record.FrameBatch, typ == record.FrameZstd:
			if err := st.decode(sink, typ, b); err != nil {
				st.fault(sink, err)
				st.shut()
				continue
			}
			st.whole = st.frames.Offset()
			if len(st.events) == 0 {
				continue
			}
			if !st.began {
				st.began = true
				sink.Begin(st.run)
			}
			st.next, st.at = 0, st.events[0].At
			return true, nil
		default: // a frame of a later program: what it holds is not for this one
		}
	}
}

// open begins the run's next segment.
func (st *stream) open(sink Sink) bool {
	seg := st.run.segments[st.seg]
	fail := func(err error) bool {
		sink.Fault(Fault{Kind: kindOf(err), Pooler: st.run.Pooler, File: seg.path, From: st.at, Text: err.Error()})
		st.seg++
		return false
	}
	if seg.number == st.number {
		sink.Fault(Fault{Kind: Twice, Pooler: st.run.Pooler, File: seg.path, Text: fmt.Sprintf("segment %d is here a second time; this copy is not read", seg.number)})
		st.seg++
		return false
	}
	f, err := os.Open(seg.path)
	if err != nil {
		return fail(err)
	}
	frames, err := record.NewFrames(bufio.NewReaderSize(f, 1<<16))
	if err == nil {
		_, err = header(frames)
	}
	if err != nil {
		_ = f.Close()
		return fail(err)
	}
	if seg.number != st.number+1 {
		fault := Fault{Kind: Missing, Pooler: st.run.Pooler, File: seg.path, From: st.at, To: seg.opened,
			Text: fmt.Sprintf("segments %d to %d before it are not here", st.number+1, seg.number-1)}
		if st.number == 0 {
			fault.Kind, fault.From = Rotated, st.run.StartMs
		}
		sink.Fault(fault)
		st.batches = 0 // what is missing has been said
	}
	st.number, st.file, st.frames, st.names, st.closed, st.whole = seg.number, f, frames, nil, false, frames.Offset()
	return true
}

// pause keeps the place in a file that may grow.
func (st *stream) pause() error {
	if _, err := st.file.Seek(st.whole, io.SeekStart); err != nil {
		return fmt.Errorf("%s: %w", st.run.segments[st.seg].path, err)
	}
	st.frames = record.ResumeFrames(bufio.NewReaderSize(st.file, 1<<16), st.whole)
	return nil
}

func (st *stream) shut() {
	_ = st.file.Close()
	st.file, st.frames = nil, nil
	st.seg++
}

// fault tells that the segment cannot be read further. What is missing ends with the next one's start.
func (st *stream) fault(sink Sink, err error) {
	f := Fault{Kind: kindOf(err), Pooler: st.run.Pooler, File: st.run.segments[st.seg].path, Offset: st.frames.Offset(), From: st.at, Text: err.Error()}
	if errors.Is(err, io.EOF) {
		f.Kind, f.Text = Unclosed, "ends without its closing frame"
	}
	if st.seg+1 < len(st.run.segments) {
		f.To = st.run.segments[st.seg+1].opened
	} else {
		for _, r := range st.set.Runs { // the pooler's next life
			if r.Pooler == st.run.Pooler && r.StartMs > st.run.StartMs && (f.To == 0 || r.StartMs < f.To) {
				f.To = r.StartMs
			}
		}
	}
	sink.Fault(f)
	if f.Kind != Unclosed {
		st.batches = 0
	}
}

func (st *stream) finish(sink Sink) {
	st.ended = true
	if !st.began {
		sink.Begin(st.run)
	}
	sink.End(st.run, st.stopped && st.closed)
	st.events, st.unpack = nil, nil
}

// decode reads a batch into events.
func (st *stream) decode(sink Sink, typ byte, b []byte) error {
	if typ == record.FrameZstd {
		if st.set.dec == nil {
			dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(record.MaxFrame))
			if err != nil {
				return fmt.Errorf("zstd: %w", err)
			}
			st.set.dec = dec
		}
		var err error
		if st.unpack, err = st.set.dec.DecodeAll(b, st.unpack[:0]); err != nil {
			return fmt.Errorf("%w: %w", record.ErrCorrupt, err)
		}
		b = st.unpack
	}
	st.batch.Reset()
	if err := proto.Unmarshal(b, &st.batch); err != nil {
		return fmt.Errorf("%w: %w", record.ErrCorrupt, err)
	}
	if st.batches != 0 && st.batch.Number != st.batches+1 {
		sink.Fault(Fault{Kind: Missing, Pooler: st.run.Pooler, File: st.run.segments[st.seg].path, Offset: st.frames.Offset(),
			From: st.at, To: ms(st.batch.BaseUs), Text: fmt.Sprintf("batch %d follows batch %d", st.batch.Number, st.batches)})
	}
	st.batches = st.batch.Number
	st.names = append(st.names, st.batch.Names...)
	if cap(st.events) < len(st.batch.Events) {
		st.events = make([]record.Event, len(st.batch.Events))
	}
	st.events = st.events[:len(st.batch.Events)]
	at := st.batch.BaseUs
	for i, x := range st.batch.Events {
		at += x.AfterUs
		if err := st.event(&st.events[i], x, at); err != nil {
			st.events = st.events[:0]
			return err
		}
	}
	st.next = 0
	return nil
}

func (st *stream) event(e *record.Event, x *recordpb.Event, at int64) error {
	*e = record.Event{At: ms(at), Kind: x.Kind, Final: x.Final, Result: uint8(x.Result), Role: uint8(x.Role), Repeat: x.Repeat,
		Full: x.Whole, Class: int32(x.Class), Attempt: int32(x.Attempt), Group: x.Group, Request: x.Request,
		Session: x.Session, ID: x.Id, DurationMs: ms(int64(x.TookUs)), RemainingMs: ms(int64(x.LeftUs)), WaitMs: ms(int64(x.WaitUs)),
		Reason: record.Reason(x.Reason), Number: x.Number, Text: x.Text, Health: uint8(x.Health)}
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
			Waiting: int32(h.Waiting), LongestWaitMs: ms(int64(h.LongestUs)), MaxConnections: int32(h.Most)}
	}
	if x.Positioned {
		e.Position = ms(at - x.BehindUs)
	}
	if n := x.Entry; n != nil {
		e.State, e.Primary, e.Number, e.Text, e.Restated = uint8(n.State), n.Primary, n.StartedUs/1000, n.Address, n.Held
	}
	if g := x.Gauge; g != nil {
		e.Sessions, e.Connections, e.Number, e.MemoryBytes, e.Descriptors = int64(g.Sessions), int64(g.Connections), int64(g.Open), int64(g.Memory), int64(g.Descriptors)
		e.WallClockMs = ms(g.WallUs)
	}
	if l := x.Lost; l != nil {
		e.Lost, e.LostFrom, e.LostTo, e.LossCause = l.Events, ms(l.FromUs), ms(l.ToUs), record.LossCause(l.Cause)
	}
	if r := x.Recovered; r != nil {
		e.Recovery = &record.StoreRecovery{Store: r.Store, Records: int64(r.Records), Segments: int64(r.Segments), Dropped: int64(r.Dropped)}
	}
	st.stopped = x.Kind == recordpb.Kind_KIND_STOP
	return nil
}

func ms(us int64) float64 { return float64(us) / 1000 }

// streams is a heap of runs by the time of their next event.
type streams []*stream

func (h streams) Len() int { return len(h) }

func (h streams) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].run.Index < h[j].run.Index
}

func (h streams) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push is heap's.
func (h *streams) Push(x any) { *h = append(*h, x.(*stream)) }

// Pop is heap's.
func (h *streams) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
