// Package store is a durable key-value store: a log in segments, an index by key in memory, and compaction into snapshots.
//
// Every acknowledged record survives a crash, and after a crash the store holds a prefix of what was appended, in the order of the calls. The
// entries of one Append are stored atomically. A failed sync is final: the store accepts no more entries until it is opened again. Damage to
// durable records is never repaired silently: opening fails with ErrCorrupt, and an operator has to decide (Inspect, Repair).
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

// Entry is a change to the store: a key with its new value, or the deletion of a key.
type Entry struct {
	Key     string
	Value   []byte
	Deleted bool
}

const defaultSegmentBytes = 8 << 20

// Options configure a Store.
type Options struct {
	FS             FS
	SegmentBytes   int64        // size at which a new segment is begun; 0 for the default
	MaxBytes       int64        // of all files, including a snapshot that is being written; 0 for no bound. Entries beyond it are rejected
	CompactionRate int64        // maximum bytes a second that a compaction writes; 0 for no bound
	MaxMemory      int64        // of live records, by MemoryUse; 0 for no bound. Beyond it, entries that need more memory are rejected
	Post           func(func()) // runs the callbacks of Append and Compact, for example on an event loop; nil runs them on the writer's goroutine

	Checks         *invariant.Checks // used by the writer's goroutine; nil if disabled
	BatchesPerWalk int               // batches between two walks over the whole state
}

// Recovery describes what was found when a store was opened.
type Recovery struct {
	Records      int    // live records
	SegmentsRead int    // segments after the snapshot
	DroppedBytes int    // of an incomplete tail
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
	index        *btree.BTreeG[item] // the durable records
	queue        []commit
	diskError    error
	closed       bool
	liveBytes    int64 // of live records, as encoded in a snapshot
	payloadBytes int64 // of their keys and values
	totalBytes   int64 // of all files

	// Used by the writer's goroutine only.
	segmentFile      File
	segmentNumber    uint64
	segmentBytes     int64
	sequence         uint64   // of the last frame
	durable          uint64   // the last sequence number that is known to be durable
	replaceable      []string // the files that the next snapshot replaces
	fileBytes        map[string]int64
	compacting       *compaction   // in progress, nil if there is none
	compactionDone   chan error    // receives the result of the compaction
	closing          chan struct{} // closed by Close: a compaction then ignores its rate limit
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

// commit is a call of Append or Compact that waits for the writer.
type commit struct {
	entries []Entry
	done    func(error)
	compact bool
}

// Open opens a store and recovers its records. It fails with ErrLocked if another process has the store open, and with ErrCorrupt if durable
// records are damaged.
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
	partialSuffix  = ".tmp" // of an incomplete snapshot
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

// Append stores entries atomically, in the order of the calls. done is called once: with nil after the entries were synced, so that no crash
// loses them, or with an error if they were not stored or that is unknown. done may be nil.
func (s *Store) Append(entries []Entry, done func(error)) {
	s.enqueue(commit{entries: entries, done: done})
}

// Compact replaces the segments by a snapshot of the live records.
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
	default: // a wake-up is already pending
	}
}

// notify calls done, through Options.Post if that is set.
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

// Range calls visit for the keys in the range [from, to), in order, until it returns false; an empty to means no upper bound. It iterates over
// the state of the store at the call, whatever is written meanwhile.
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

// Close rejects further entries, and returns once all earlier calls have been carried out and called back. It may be called more than once.
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
