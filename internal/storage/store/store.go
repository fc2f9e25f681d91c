// Package store keeps records that must survive a crash: a log in segments, an index by key in memory, and compaction into snapshots.
//
// What was acknowledged is there after a crash; what is there was given to the store, once, in the order in which it was. All entries of one
// Append are kept, or none. A sync that fails is final: the store takes nothing more until it is opened anew. Damage of what was durable is
// never repaired silently: opening fails with ErrCorrupt, and an operator has to look (Inspect, Repair).
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

// Errors of the store.
var (
	ErrCorrupt    = errors.New("the store is damaged")
	ErrLocked     = errors.New("another process has the store")
	ErrDiskFailed = errors.New("the store takes nothing more since its disk failed")
	ErrFull       = errors.New("the store is full of what must be kept")
	ErrClosed     = errors.New("the store is closed")
)

// Entry is a record to be kept: a key with its value, or the deletion of a key.
type Entry struct {
	Key     string
	Value   []byte
	Deleted bool
}

const defaultSegmentBytes = 8 << 20

// Options configure a Store.
type Options struct {
	FS             FS
	SegmentBytes   int64        // a segment of that size is followed by another; 0 for the default
	MaxBytes       int64        // of all files, a snapshot that is being written included; 0 for no bound. Beyond it nothing is taken
	CompactionRate int64        // bytes a second that a compaction writes at most; 0 for no bound
	MaxMemory      int64        // that live records may take, by MemoryUse; 0 for no bound. Beyond it nothing is taken that takes more
	Post           func(func()) // runs the callbacks of commits, for example on a loop; nil runs them on the writer's goroutine

	Checks         *invariant.Checks // the writer's own; nil for off
	BatchesPerWalk int               // a check of all that there is every so many batches
}

// Recovery is what opening a store found.
type Recovery struct {
	Records      int    // live
	SegmentsRead int    // after the snapshot
	DroppedBytes int    // of a tail that was never complete
	Reason       string // why they were dropped
	DurationMs   float64
}

// Store is an open store. Its methods may be called from any goroutine.
type Store struct {
	options Options
	unlock  func() error
	wake    chan struct{}
	stopped chan struct{} // closed when the writer has ended

	mu           sync.Mutex
	index        *btree.BTreeG[item] // what is durable
	queue        []commit
	diskError    error
	closed       bool
	liveBytes    int64 // of live records, as a snapshot has them
	payloadBytes int64 // of their keys and values
	totalBytes   int64 // of all files

	// The writer's own.
	segmentFile      File
	segmentNumber    uint64
	segmentBytes     int64
	sequence         uint64   // of the last frame
	durable          uint64   // the last that is known to be durable
	replaceable      []string // files that the next snapshot replaces
	fileBytes        map[string]int64
	compacting       *compaction   // under way, nil for none
	compactionDone   chan error    // its end
	closing          chan struct{} // closed by Close: a compaction need not spare the disk any more
	batchesSinceWalk int
	bytesAtOpen      int64
}

// item is a live record in the index.
type item struct {
	key   string
	value []byte
}

func less(a, b item) bool { return a.key < b.key }

const indexDegree = 32

// commit is a call that waits for the writer.
type commit struct {
	entries []Entry
	done    func(error)
	compact bool
}

// Open opens a store and recovers what it holds. It fails with ErrLocked where another process has the store, and with ErrCorrupt where what
// was durable is damaged.
func Open(options Options) (s *Store, recovery *Recovery, err error) {
	if options.SegmentBytes <= 0 {
		options.SegmentBytes = defaultSegmentBytes
	}
	startedAt := time.Now()
	unlock, err := options.FS.Lock()
	if err != nil {
		return nil, nil, fmt.Errorf("store: %w", err)
	}
	s = &Store{
		options:        options,
		unlock:         unlock,
		wake:           make(chan struct{}, 1),
		stopped:        make(chan struct{}),
		index:          btree.NewG(indexDegree, less),
		fileBytes:      map[string]int64{},
		compactionDone: make(chan error, 1),
		closing:        make(chan struct{}),
	}
	recovery, err = s.recover()
	if err != nil {
		return nil, recovery, errors.Join(fmt.Errorf("store: %w", err), unlock())
	}
	s.bytesAtOpen = s.totalBytes
	recovery.DurationMs = float64(time.Since(startedAt).Microseconds()) / 1000
	go s.runWriter()
	return s, recovery, nil
}

const (
	segmentSuffix  = ".log"
	snapshotSuffix = ".snap"
	partialSuffix  = ".tmp" // of a snapshot that is not complete
	numberDigits   = 16     // of a file's number in its name, hexadecimal
)

func segmentName(number uint64) string {
	return fmt.Sprintf("%0*x%s", numberDigits, number, segmentSuffix)
}
func snapshotName(number uint64) string {
	return fmt.Sprintf("%0*x%s", numberDigits, number, snapshotSuffix)
}

// fileNumber returns the number in a file's name.
func fileNumber(name, suffix string) (number uint64, ok bool) {
	text, found := strings.CutSuffix(name, suffix)
	number, err := strconv.ParseUint(text, 16, 64)
	return number, found && err == nil && len(text) == numberDigits
}

// Append keeps entries, all or none of them, in the order of the calls. done is called once: with nil after they were synced, so that no
// crash loses them; with an error where they are not kept, or it is not known. done may be nil.
func (s *Store) Append(entries []Entry, done func(error)) {
	s.enqueue(commit{entries: entries, done: done})
}

// Compact replaces the segments by a snapshot of what is live.
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
	s.wakeWriter()
}

func (s *Store) wakeWriter() {
	select {
	case s.wake <- struct{}{}:
	default: // it will look anyway
	}
}

// notify calls back, by way of Options.Post.
func (s *Store) notify(done func(error), err error) {
	switch {
	case done == nil:
	case s.options.Post != nil:
		s.options.Post(func() { done(err) })
	default:
		done(err)
	}
}

// Get returns the durable value of a key.
func (s *Store) Get(key string) (value []byte, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.index.Get(item{key: key})
	return found.value, ok
}

// Range calls visit for the keys from from on and before to (empty for all), in their order, until it returns false. It sees the store as it
// is at the call, whatever is written meanwhile.
func (s *Store) Range(from, to string, visit func(key string, value []byte) bool) {
	s.mu.Lock()
	records := s.index.Clone()
	s.mu.Unlock()
	records.AscendGreaterOrEqual(item{key: from}, func(record item) bool {
		inRange := to == "" || record.key < to
		return inRange && visit(record.key, record.value)
	})
}

// Stats are the sizes of a store.
type Stats struct {
	Records int   `json:"records"`
	Live    int64 `json:"live_bytes"`
}

// Stats returns the sizes of the store.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{Records: s.index.Len(), Live: s.liveBytes}
}

// Close takes nothing more, and returns once all that came before has been called back. It may be called more than once.
func (s *Store) Close() error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil
	}
	s.closed = true
	s.mu.Unlock()
	close(s.closing)
	s.wakeWriter()
	<-s.stopped
	var err error
	if s.segmentFile != nil {
		err = s.segmentFile.Close()
	}
	return errors.Join(err, s.unlock())
}
