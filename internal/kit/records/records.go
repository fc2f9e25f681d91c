// Package records reads what poolers recorded: segments of many poolers and runs, merged on Unix time. It yields a
// correct prefix of each and names what is missing; it never changes a file.
package records

import (
	"bufio"
	"cmp"
	"container/heap"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"

	"beechgrade/internal/record"
	"beechgrade/internal/record/recordpb"
)

// maxSegments bounds how many files one reading takes.
const maxSegments = 1 << 17

// ErrNone says that no records were found.
var ErrNone = errors.New("no records found")

// FaultKind says what is wrong with records.
type FaultKind string

// The kinds.
const (
	Torn       FaultKind = "torn"       // ends in the midst of a frame: killed, or the disk was full
	Unclosed   FaultKind = "unclosed"   // ends behind a whole frame without an end: killed, or still written
	Damaged    FaultKind = "damaged"    // bytes are not as they were written
	Missing    FaultKind = "missing"    // segments or batches are not there
	Rotated    FaultKind = "rotated"    // the oldest segments went, as the settings have it
	Twice      FaultKind = "twice"      // a segment is there a second time
	Unreadable FaultKind = "unreadable" // a file can't be read at all
)

// Fault is a place where records are not whole. From and To are the Unix milliseconds between which events may be
// missing, 0 where that is not known.
type Fault struct {
	Kind     FaultKind `json:"kind"`
	Pooler   string    `json:"pooler,omitempty"`
	File     string    `json:"file,omitempty"`
	Offset   int64     `json:"offset"`
	From, To float64
	Text     string `json:"text"`
}

// Run is one life of a pooler's process.
type Run struct {
	Pooler  string
	Program string
	StartMs float64
	Header  *recordpb.Header // of its first segment that is there
	Index   int              // among the set's runs

	segments []segment
}

type segment struct {
	path   string
	number uint32
	opened float64
}

// Sink takes what is read.
type Sink interface {
	Begin(r *Run)                  // a run's first event comes next
	Event(r *Run, e *record.Event) // e is valid during the call
	Fault(f Fault)
	End(r *Run, ordered bool) // no more of it comes; ordered where its last segment was closed and it had stopped
}

// Set is the records of some folders.
type Set struct {
	Runs   []*Run
	paths  []string
	known  map[string]bool
	byKey  map[string]*Run
	faults []Fault
	queue  streams
	dec    *zstd.Decoder
	follow bool
	ended  []*stream // in follow mode: those that wait for more
}

// Open finds the segments below the given folders, or takes files themselves. With follow, segments that are not
// closed are taken as still being written.
func Open(follow bool, paths ...string) (*Set, error) {
	s := &Set{paths: paths, known: map[string]bool{}, byKey: map[string]*Run{}, follow: follow}
	if err := s.scan(); err != nil {
		return nil, err
	}
	if len(s.Runs) == 0 && !follow {
		if len(s.faults) > 0 {
			return nil, fmt.Errorf("%s: offset %d: %s", s.faults[0].File, s.faults[0].Offset, s.faults[0].Text)
		}
		return nil, fmt.Errorf("%s: %w", strings.Join(paths, ", "), ErrNone)
	}
	return s, nil
}

// scan takes in the segments that are not known yet.
func (s *Set) scan() error {
	var found []string
	for _, p := range s.paths {
		err := filepath.WalkDir(p, func(path string, d fs.DirEntry, err error) error {
			if err != nil {
				if path == p {
					return err
				}
				return nil // a file that was rotated away just now
			}
			if !d.IsDir() && (strings.HasSuffix(path, record.Suffix) || path == p) && !s.known[path] {
				found = append(found, path)
			}
			if len(found) > maxSegments {
				return fmt.Errorf("%s: more than %d segments", p, maxSegments)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	slices.Sort(found)
	fresh := map[*Run]bool{}
	for _, path := range found {
		h, err := readHeader(path)
		if err != nil {
			if s.follow { // it may just have been begun
				continue
			}
			s.faults = append(s.faults, Fault{Kind: kindOf(err), File: path, Text: err.Error()})
			s.known[path] = true
			continue
		}
		s.known[path] = true
		key := fmt.Sprintf("%d %s", h.RunUs, h.Pooler)
		r := s.byKey[key]
		if r == nil {
			r = &Run{Pooler: h.Pooler, Program: h.Program, StartMs: ms(h.RunUs), Header: h}
			s.byKey[key] = r
			fresh[r] = true
		}
		r.segments = append(r.segments, segment{path, h.Segment, ms(h.OpenedUs)})
		if h.Segment < r.Header.Segment {
			r.Header = h
		}
	}
	var order []*Run
	for r := range fresh {
		order = append(order, r)
	}
	slices.SortFunc(order, func(a, b *Run) int {
		return cmp.Or(cmp.Compare(a.StartMs, b.StartMs), cmp.Compare(a.Pooler, b.Pooler))
	})
	for _, r := range order {
		r.Index = len(s.Runs)
		s.Runs = append(s.Runs, r)
		heap.Push(&s.queue, &stream{set: s, run: r, at: r.StartMs})
	}
	for _, r := range s.Runs {
		slices.SortStableFunc(r.segments, func(a, b segment) int { return cmp.Compare(a.number, b.number) })
	}
	return nil
}

func readHeader(path string) (*recordpb.Header, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	frames, err := record.NewFrames(f)
	if err != nil {
		return nil, err
	}
	return header(frames)
}

func header(frames *record.Frames) (*recordpb.Header, error) {
	typ, b, err := frames.Next()
	if errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("%w: no header", record.ErrTorn)
	}
	if err != nil {
		return nil, err
	}
	h := &recordpb.Header{}
	if typ != record.FrameHeader {
		return nil, fmt.Errorf("%w: the first frame is no header", record.ErrCorrupt)
	}
	if err := proto.Unmarshal(b, h); err != nil {
		return nil, fmt.Errorf("%w: header: %w", record.ErrCorrupt, err)
	}
	if h.Schema == 0 || h.Schema > record.Schema {
		return nil, fmt.Errorf("schema %d is not known; this program reads up to %d", h.Schema, record.Schema)
	}
	return h, nil
}

func kindOf(err error) FaultKind {
	switch {
	case errors.Is(err, record.ErrTorn):
		return Torn
	case errors.Is(err, record.ErrCorrupt):
		return Damaged
	}
	return Unreadable
}

// Read yields all events in the order of their times, and what is missing. In follow mode it returns when there is
// nothing more for now, and goes on when it is called again.
func (s *Set) Read(sink Sink) error {
	if s.follow {
		if err := s.scan(); err != nil {
			return err
		}
		for _, st := range s.ended {
			heap.Push(&s.queue, st)
		}
		s.ended = nil
	}
	for _, f := range s.faults {
		sink.Fault(f)
	}
	s.faults = nil
	for s.queue.Len() > 0 {
		st := s.queue[0]
		if st.next == len(st.events) {
			more, err := st.fill(sink)
			if err != nil {
				return err
			}
			if !more {
				heap.Pop(&s.queue)
				if s.follow && !st.ended {
					s.ended = append(s.ended, st)
				}
				continue
			}
			heap.Fix(&s.queue, 0)
			continue
		}
		// As long as this stream is the earliest, its events go out without touching the heap.
		limit := math.Inf(1)
		for i := 1; i < min(3, s.queue.Len()); i++ {
			limit = min(limit, s.queue[i].at)
		}
		for st.next < len(st.events) && st.at <= limit {
			sink.Event(st.run, &st.events[st.next])
			st.next++
			if st.next < len(st.events) {
				st.at = st.events[st.next].At
			}
		}
		heap.Fix(&s.queue, 0)
	}
	return nil
}

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
			st.whole = st.frames.At()
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
	st.number, st.file, st.frames, st.names, st.closed, st.whole = seg.number, f, frames, nil, false, frames.At()
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
	f := Fault{Kind: kindOf(err), Pooler: st.run.Pooler, File: st.run.segments[st.seg].path, Offset: st.frames.At(), From: st.at, Text: err.Error()}
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
		sink.Fault(Fault{Kind: Missing, Pooler: st.run.Pooler, File: st.run.segments[st.seg].path, Offset: st.frames.At(),
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
		Whole: x.Whole, Class: int32(x.Class), Attempt: int32(x.Attempt), Group: x.Group, Request: x.Request,
		Session: x.Session, ID: x.Id, Took: ms(int64(x.TookUs)), Left: ms(int64(x.LeftUs)), Wait: ms(int64(x.WaitUs)),
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
		e.How, e.Other, e.Moved, e.Carried = uint8(h.How), h.Other, h.Moved, h.Carried
	}
	if h := x.Held; h != nil {
		e.Holds = record.PoolHolds{Clients: int32(h.Clients), Idle: int32(h.Idle), Used: int32(h.Used), Connecting: int32(h.Connecting),
			Waiting: int32(h.Waiting), LongestMs: ms(int64(h.LongestUs)), Most: int32(h.Most)}
	}
	if x.Positioned {
		e.Position = ms(at - x.BehindUs)
	}
	if n := x.Entry; n != nil {
		e.State, e.Primary, e.Number, e.Text, e.Held = uint8(n.State), n.Primary, n.StartedUs/1000, n.Address, n.Held
	}
	if g := x.Gauge; g != nil {
		e.Sessions, e.Conns, e.Number, e.Memory, e.Files = int64(g.Sessions), int64(g.Connections), int64(g.Open), int64(g.Memory), int64(g.Descriptors)
		e.Wall = ms(g.WallUs)
	}
	if l := x.Lost; l != nil {
		e.Lost, e.From, e.To, e.Cause = l.Events, ms(l.FromUs), ms(l.ToUs), uint8(l.Cause)
	}
	if r := x.Recovered; r != nil {
		e.Found = &record.Found{Store: r.Store, Records: int64(r.Records), Segments: int64(r.Segments), Dropped: int64(r.Dropped)}
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
