// Package records reads the event records of poolers: the segments of many poolers and process runs, merged in the order of
// their Unix times. The events that it yields of a segment are always a correct prefix of those written; each gap, damaged
// segment and duplicate is reported as a Fault.
//
// Open finds the segments, Read passes their events to a Sink. Records that are still being written can be followed: Read then
// returns when it has read all that is written, and continues when it is called again. No file is ever changed.
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

// maxSegments bounds how many files a Set reads.
const maxSegments = 1 << 17

// ErrNone is returned by Open where the given folders hold no records.
var ErrNone = errors.New("no records found")

// FaultKind is what is wrong with a part of the records.
type FaultKind string

// Kinds of faults.
const (
	Torn       FaultKind = "torn"       // ends within a frame: the process was killed, or the disk was full
	Unclosed   FaultKind = "unclosed"   // ends after a complete frame without an end frame: killed, or still being written
	Damaged    FaultKind = "damaged"    // a checksum or a message does not match
	Missing    FaultKind = "missing"    // segments or batches are missing
	Rotated    FaultKind = "rotated"    // the oldest segments were removed, as the settings' size limit demands
	Duplicate  FaultKind = "twice"      // a segment with the same number was read before
	Unreadable FaultKind = "unreadable" // the file cannot be opened or read
)

// Fault is a place where the records are incomplete. From and To are the Unix times in milliseconds between which events may
// be missing, 0 where that is not known.
type Fault struct {
	Kind     FaultKind `json:"kind"`
	Pooler   string    `json:"pooler,omitempty"`
	File     string    `json:"file,omitempty"`
	Offset   int64     `json:"offset"`
	From, To float64
	Text     string `json:"text"`
}

// Run is one run of a pooler's process, from its start to its end.
type Run struct {
	Pooler  string
	Program string
	StartMs float64          // Unix time in milliseconds
	Header  *recordpb.Header // of its first segment that was found
	Index   int              // in Set.Runs

	segments []segment
}

// segment is one file of a run. Numbers start at 1 and have no gaps while no segment is lost.
type segment struct {
	path     string
	number   uint32
	openedMs float64 // Unix time at which the pooler opened it
}

// Sink receives what Set.Read reads, in the order of Unix times.
type Sink interface {
	// Begin announces a run, before its first event.
	Begin(r *Run)
	// Event passes an event of a run. It is valid during the call only.
	Event(r *Run, e *record.Event)
	// Fault reports a place where the records are incomplete.
	Fault(f Fault)
	// End reports that a run has no more events. It is ordered where the process recorded its stop and closed its last segment.
	End(r *Run, ordered bool)
}

// Set is the records below some folders.
type Set struct {
	Runs    []*Run
	paths   []string
	known   map[string]bool
	byKey   map[string]*Run
	faults  []Fault
	queue   streams
	decoder *zstd.Decoder
	follow  bool
	paused  []*stream // in follow mode: streams that have read all that is written
}

// Open finds the segments below the given folders; a path may also be a segment itself. With follow, a last segment that has no
// end frame counts as still being written. It fails with ErrNone where nothing is found.
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

// scan adds the segments that have appeared since the last scan.
func (s *Set) scan() error {
	var found []string
	for _, path := range s.paths {
		var err error
		if found, err = s.appendSegments(found, path); err != nil {
			return err
		}
	}
	slices.Sort(found)
	s.addRuns(s.addSegments(found))
	for _, r := range s.Runs {
		slices.SortStableFunc(r.segments, func(a, b segment) int { return cmp.Compare(a.number, b.number) })
	}
	return nil
}

// appendSegments appends the paths of the unknown segments at or below root.
func (s *Set) appendSegments(found []string, root string) ([]string, error) {
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			if path == root {
				return err
			}
			return nil // rotation may remove a file during the walk
		}
		if s.isNewSegment(root, path, entry) {
			found = append(found, path)
		}
		if len(found) > maxSegments {
			return fmt.Errorf("%s: more than %d segments", root, maxSegments)
		}
		return nil
	})
	return found, err
}

// isNewSegment reports whether a file is a segment that is not known yet. The root counts as one whatever its name is.
func (s *Set) isNewSegment(root, path string, entry fs.DirEntry) bool {
	if entry.IsDir() || s.known[path] {
		return false
	}
	return path == root || strings.HasSuffix(path, record.Suffix)
}

// addSegments adds segments to their runs by their headers, and returns the runs that are new. A header that cannot be read is
// a fault, but in follow mode the file is tried again at the next scan, as its header may not be written yet.
func (s *Set) addSegments(paths []string) map[*Run]bool {
	newRuns := map[*Run]bool{}
	for _, path := range paths {
		h, err := readHeader(path)
		if err != nil && s.follow {
			continue
		}
		s.known[path] = true
		if err != nil {
			s.faults = append(s.faults, Fault{Kind: faultKind(err), File: path, Text: err.Error()})
			continue
		}
		key := fmt.Sprintf("%d %s", h.RunUs, h.Pooler)
		r := s.byKey[key]
		if r == nil {
			r = &Run{Pooler: h.Pooler, Program: h.Program, StartMs: milliseconds(h.RunUs), Header: h}
			s.byKey[key] = r
			newRuns[r] = true
		}
		r.segments = append(r.segments, segment{path, h.Segment, milliseconds(h.OpenedUs)})
		if h.Segment < r.Header.Segment {
			r.Header = h
		}
	}
	return newRuns
}

// addRuns numbers new runs by their start, and queues them for reading.
func (s *Set) addRuns(runs map[*Run]bool) {
	order := make([]*Run, 0, len(runs))
	for r := range runs {
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
}

// readHeader reads the header of a segment.
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

// header reads the first frame of a segment, which is its header.
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

// faultKind maps an error of the record package to the kind of the fault that it causes.
func faultKind(err error) FaultKind {
	switch {
	case errors.Is(err, record.ErrTorn):
		return Torn
	case errors.Is(err, record.ErrCorrupt):
		return Damaged
	}
	return Unreadable
}

// Read passes all events to the sink in the order of their times, and reports what is missing. In follow mode it returns when
// it has read all that is written, and continues when it is called again.
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
		if st.next < len(st.events) {
			s.drain(sink, st)
			heap.Fix(&s.queue, 0)
			continue
		}
		more, err := st.fill(sink)
		if err != nil {
			return err
		}
		if more {
			heap.Fix(&s.queue, 0)
			continue
		}
		heap.Pop(&s.queue)
		if s.follow && !st.ended {
			s.paused = append(s.paused, st)
		}
	}
	return nil
}

// drain passes on the events of the earliest stream for as long as no other stream's next event is earlier. Until then the heap
// needs no reordering.
func (s *Set) drain(sink Sink, st *stream) {
	limit := math.Inf(1)
	for _, child := range s.queue[1:min(heapChildrenEnd, s.queue.Len())] {
		limit = min(limit, child.nextAt)
	}
	for st.next < len(st.events) && st.nextAt <= limit {
		sink.Event(st.run, &st.events[st.next])
		st.next++
		if st.next < len(st.events) {
			st.nextAt = st.events[st.next].At
		}
	}
}

// heapChildrenEnd is the index after the children of a heap's root.
const heapChildrenEnd = 3
