// Package store keeps records that must survive a crash: a log in segments, an index by key in memory, and compaction into
// snapshots. What was acknowledged is there after a crash; what is there was given to it, once, in the order in which it was.
package store

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/btree"

	"beechgrade/internal/invariant"
)

// Errors of the store. What is rotten is never opened in silence: an operator has to look.
var (
	ErrCorrupt    = errors.New("the store is damaged")
	ErrLocked     = errors.New("another process has the store")
	ErrDiskFailed = errors.New("the store takes nothing more since its disk failed")
	ErrFull       = errors.New("the store is full of what must be kept")
	ErrClosed     = errors.New("the store is closed")
)

// Entry is a record to be kept: a key with its value, or the word that a key is there no more.
type Entry struct {
	Key     string
	Value   []byte
	Deleted bool
}

// Options are the store's.
type Options struct {
	FS             FS
	SegmentBytes   int64        // a segment that has so much is followed by another
	MaxBytes       int64        // of all that is kept, a snapshot that is being written among it, 0 for any; beyond it nothing more is taken
	CompactionRate int64        // bytes a second that a compaction writes at most, 0 for any
	MaxMemory      int64        // that live records may take, by Memory, 0 for any; beyond it nothing that takes more is taken
	Post           func(func()) // runs what tells of a commit, on the loop say; nil for where it happens

	Checks         *invariant.Checks // the writer's own; nil for off
	BatchesPerWalk int               // batches for a walk over all that there is
}

// Recovery is what opening found.
type Recovery struct {
	Records      int    // live ones
	SegmentsRead int    // read behind the snapshot
	DroppedBytes int    // bytes of a tail that was never whole
	Reason       string // ...and what was wrong with it
	DurationMs   float64
}

// indexBytesPerRecord is what a record takes in the index beside its key and value: its place, with half of a tree's nodes free, the allocations'
// rounding, and as much again as the collector lets grow.
const indexBytesPerRecord = 160

// MemoryUse is about how many bytes of memory so many live records take, whose keys and values have so many bytes.
func MemoryUse(records int, bytes int64) int64 { return 2*bytes + indexBytesPerRecord*int64(records) }

type item struct {
	key   string
	value []byte
}

func less(a, b item) bool { return a.key < b.key }

// Store is an open store. Its methods may be called from any goroutine.
type Store struct {
	options Options
	unlock  func() error

	mu           sync.Mutex
	index        *btree.BTreeG[item] // what is durable
	queue        []commit
	diskError    error
	closed       bool
	wake         chan struct{}
	stopped      chan struct{}
	liveBytes    int64 // bytes of live records, as a snapshot has them
	payloadBytes int64 // bytes of their keys and values
	totalBytes   int64 // bytes of all files

	// The writer's own.
	segmentFile      File
	segmentNumber    uint64 // of the segment that is written
	segmentBytes     int64
	sequence         uint64
	durable          uint64
	replaceable      []string // files that the next snapshot replaces
	fileBytes        map[string]int64
	compacting       *compaction   // that is under way, nil for none
	compactionDone   chan error    // of it, when it has ended
	closing          chan struct{} // closed once a compaction shall not spare the disk any more
	batchesSinceWalk int
	bytesAtOpen      int64 // bytes that were there at the start
}

type commit struct {
	entries []Entry
	done    func(error)
	compact bool
}

const indexDegree = 32

// Open opens a store, and recovers what it held.
func Open(opt Options) (s *Store, rec *Recovery, err error) {
	if opt.SegmentBytes <= 0 {
		opt.SegmentBytes = 8 << 20
	}
	began := time.Now()
	unlock, err := opt.FS.Lock()
	if err != nil {
		return nil, nil, fmt.Errorf("store: %w", err)
	}
	s = &Store{options: opt, unlock: unlock, index: btree.NewG(indexDegree, less), wake: make(chan struct{}, 1), stopped: make(chan struct{}), fileBytes: map[string]int64{},
		compactionDone: make(chan error, 1), closing: make(chan struct{})}
	if rec, err = s.recover(); err != nil {
		return nil, rec, errors.Join(fmt.Errorf("store: %w", err), unlock())
	}
	s.bytesAtOpen = s.totalBytes
	rec.DurationMs = float64(time.Since(began).Microseconds()) / 1000
	go s.runWriter()
	return s, rec, nil
}

func segmentName(n uint64) string  { return fmt.Sprintf("%016x.log", n) }
func snapshotName(n uint64) string { return fmt.Sprintf("%016x.snap", n) }

// fileNumber is a file's number by its name.
func fileNumber(name, suffix string) (uint64, bool) {
	text, ok := strings.CutSuffix(name, suffix)
	n, err := strconv.ParseUint(text, 16, 64)
	return n, ok && err == nil && len(text) == 16
}

// Append has entries kept, all or none of them, in the order of the calls. done is called once: with nil after they have been
// synced, so that no crash takes them away; with an error where they are not kept, or nobody can tell.
func (s *Store) Append(entries []Entry, done func(error)) {
	s.enqueue(commit{entries: entries, done: done})
}

// Compact has a snapshot made of what is live, in place of the segments there are.
func (s *Store) Compact(done func(error)) { s.enqueue(commit{done: done, compact: true}) }

func (s *Store) enqueue(c commit) {
	s.mu.Lock()
	err := s.diskError
	if s.closed {
		err = ErrClosed
	}
	if err == nil {
		s.queue = append(s.queue, c)
	}
	s.mu.Unlock()
	if err != nil {
		s.notify(c.done, err)
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Store) notify(done func(error), err error) {
	switch {
	case done == nil:
	case s.options.Post != nil:
		s.options.Post(func() { done(err) })
	default:
		done(err)
	}
}

// Get is a key's value, as it is durable.
func (s *Store) Get(key string) (value []byte, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x, ok := s.index.Get(item{key: key})
	return x.value, ok
}

// Range calls f for the keys from from on and before to (empty for all), in their order, until it returns false. It sees the
// store as it is at the call, whatever is written meanwhile.
func (s *Store) Range(from, to string, f func(key string, value []byte) bool) {
	s.mu.Lock()
	tree := s.index.Clone()
	s.mu.Unlock()
	tree.AscendGreaterOrEqual(item{key: from}, func(x item) bool { return (to == "" || x.key < to) && f(x.key, x.value) })
}

// Stats are figures of a store.
type Stats struct {
	Records int   `json:"records"`
	Live    int64 `json:"live_bytes"`
}

// Stats tells how much there is.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{s.index.Len(), s.liveBytes}
}

// Close takes nothing more, and ends once all that came before has been told its end.
func (s *Store) Close() error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil
	}
	s.closed = true
	s.mu.Unlock()
	close(s.closing)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	<-s.stopped
	var err error
	if s.segmentFile != nil {
		err = s.segmentFile.Close()
	}
	return errors.Join(err, s.unlock())
}
