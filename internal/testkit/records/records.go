// Package records reads what poolers recorded: segments of many poolers and runs, merged on Unix time. It yields a
// correct prefix of each and names what is missing; it never changes a file.
package records

import (
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
	Duplicate  FaultKind = "twice"      // a segment is there a second time
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
	path     string
	number   uint32
	openedMs float64
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
	Runs    []*Run
	paths   []string
	known   map[string]bool
	byKey   map[string]*Run
	faults  []Fault
	queue   streams
	decoder *zstd.Decoder
	follow  bool
	paused  []*stream // in follow mode: those that wait for more
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
			s.faults = append(s.faults, Fault{Kind: faultKind(err), File: path, Text: err.Error()})
			s.known[path] = true
			continue
		}
		s.known[path] = true
		key := fmt.Sprintf("%d %s", h.RunUs, h.Pooler)
		r := s.byKey[key]
		if r == nil {
			r = &Run{Pooler: h.Pooler, Program: h.Program, StartMs: milliseconds(h.RunUs), Header: h}
			s.byKey[key] = r
			fresh[r] = true
		}
		r.segments = append(r.segments, segment{path, h.Segment, milliseconds(h.OpenedUs)})
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
		heap.Push(&s.queue, &stream{set: s, run: r, nextAt: r.StartMs})
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

func faultKind(err error) FaultKind {
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
		for _, st := range s.paused {
			heap.Push(&s.queue, st)
		}
		s.paused = nil
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
					s.paused = append(s.paused, st)
				}
				continue
			}
			heap.Fix(&s.queue, 0)
			continue
		}
		// As long as this stream is the earliest, its events go out without touching the heap.
		limit := math.Inf(1)
		for i := 1; i < min(3, s.queue.Len()); i++ {
			limit = min(limit, s.queue[i].nextAt)
		}
		for st.next < len(st.events) && st.nextAt <= limit {
			sink.Event(st.run, &st.events[st.next])
			st.next++
			if st.next < len(st.events) {
				st.nextAt = st.events[st.next].At
			}
		}
		heap.Fix(&s.queue, 0)
	}
	return nil
}
