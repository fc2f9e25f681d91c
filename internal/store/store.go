// Package store keeps records that must survive a crash: a log in segments, an index by key in memory, and compaction into
// snapshots. What was acknowledged is there after a crash; what is there was given to it, once, in the order in which it was.
package store

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/google/btree"
)

// Errors of the store. What is rotten is never opened in silence: an operator has to look.
var (
	ErrRotten = errors.New("the store is damaged")
	ErrLocked = errors.New("another process has the store")
	ErrBroken = errors.New("the store takes nothing more since its disk failed")
	ErrFull   = errors.New("the store is full of what must be kept")
	ErrClosed = errors.New("the store is closed")
)

// Entry is a record to be kept: a key with its value, or the word that a key is there no more.
type Entry struct {
	Key   string
	Value []byte
	Gone  bool
}

// Options are the store's.
type Options struct {
	FS           FS
	SegmentBytes int64        // a segment that has so much is followed by another
	MaxBytes     int64        // of all that is kept, a snapshot that is being written among it, 0 for any; beyond it nothing more is taken
	Pace         int64        // bytes a second that a compaction writes at most, 0 for any
	Post         func(func()) // runs what tells of a commit, on the loop say; nil for where it happens
}

// Recovery is what opening found.
type Recovery struct {
	Records  int    // live ones
	Segments int    // read behind the snapshot
	Dropped  int    // bytes of a tail that was never whole
	Why      string // ...and what was wrong with it
}

type item struct {
	key   string
	value []byte
}

func less(a, b item) bool { return a.key < b.key }

// Store is an open store. Its methods may be called from any goroutine.
type Store struct {
	opt    Options
	unlock func() error

	mu      sync.Mutex
	tree    *btree.BTreeG[item] // what is durable
	queue   []commit
	broken  error
	closed  bool
	wake    chan struct{}
	stopped chan struct{}
	live    int64 // bytes of live records
	total   int64 // bytes of all files

	// The writer's own.
	file    File
	number  uint64 // of the segment that is written
	size    int64
	seq     uint64
	durable uint64
	old     []string // files that the next snapshot replaces
	sizes   map[string]int64
	beside  *compaction   // that is under way, nil for none
	results chan error    // of it, when it has ended
	hurry   chan struct{} // closed once a compaction shall not spare the disk any more
}

type commit struct {
	entries []Entry
	done    func(error)
	compact bool
}

const degree = 32

// Open opens a store, and recovers what it held.
func Open(opt Options) (s *Store, rec *Recovery, err error) {
	if opt.SegmentBytes <= 0 {
		opt.SegmentBytes = 8 << 20
	}
	unlock, err := opt.FS.Lock()
	if err != nil {
		return nil, nil, fmt.Errorf("store: %w", err)
	}
	s = &Store{opt: opt, unlock: unlock, tree: btree.NewG(degree, less), wake: make(chan struct{}, 1), stopped: make(chan struct{}), sizes: map[string]int64{},
		results: make(chan error, 1), hurry: make(chan struct{})}
	if rec, err = s.recover(); err != nil {
		return nil, rec, errors.Join(fmt.Errorf("store: %w", err), unlock())
	}
	go s.write()
	return s, rec, nil
}

func segment(n uint64) string  { return fmt.Sprintf("%016x.log", n) }
func snapshot(n uint64) string { return fmt.Sprintf("%016x.snap", n) }

// numberOf is a file's number by its name.
func numberOf(name, suffix string) (uint64, bool) {
	text, ok := strings.CutSuffix(name, suffix)
	n, err := strconv.ParseUint(text, 16, 64)
	return n, ok && err == nil && len(text) == 16
}

// recover reads the newest snapshot and the segments behind it.
func (s *Store) recover() (*Recovery, error) {
	names, err := s.opt.FS.List()
	if err != nil {
		return nil, err
	}
	slices.Sort(names)
	rec := &Recovery{}
	// A process that ended may have left names and bytes that the disk does not have yet: what is told of must be there.
	if err := s.opt.FS.Sync(); err != nil {
		return rec, err
	}
	var snaps, logs []uint64
	for _, n := range names {
		if x, ok := numberOf(n, ".snap"); ok {
			snaps = append(snaps, x)
		} else if x, ok := numberOf(n, ".log"); ok {
			logs = append(logs, x)
		} else if strings.HasSuffix(n, ".tmp") { // a snapshot that was never whole
			if err := s.opt.FS.Remove(n); err != nil {
				return rec, err
			}
		}
	}
	base := uint64(0)
	if len(snaps) > 0 {
		base = snaps[len(snaps)-1]
		if err := s.readSnapshot(base); err != nil {
			return rec, fmt.Errorf("%s: %w", snapshot(base), err)
		}
	}
	stale := false
	for _, n := range snaps[:max(0, len(snaps)-1)] { // a compaction was killed before it had cleared up
		stale = true
		if err := s.opt.FS.Remove(snapshot(n)); err != nil {
			return rec, err
		}
	}
	var todo []uint64
	for _, n := range logs {
		if n > base {
			todo = append(todo, n)
			continue
		}
		stale = true
		if err := s.opt.FS.Remove(segment(n)); err != nil {
			return rec, err
		}
	}
	if stale {
		if err := s.opt.FS.Sync(); err != nil {
			return rec, err
		}
	}
	for i, n := range todo {
		if n != base+1+uint64(i) {
			return rec, fmt.Errorf("%w: %s is not there", ErrRotten, segment(base+1+uint64(i)))
		}
		if err := s.readSegment(n, i == len(todo)-1, rec); err != nil {
			return rec, fmt.Errorf("%s: %w", segment(n), err)
		}
		rec.Segments++
	}
	s.durable = s.seq
	rec.Records = s.tree.Len()
	if len(todo) > 0 && s.file != nil {
		return rec, nil
	}
	return rec, s.begin(base + 1 + uint64(len(todo)))
}

// readSnapshot takes a snapshot. It was renamed when it was whole: whatever is wrong with it is rot.
func (s *Store) readSnapshot(n uint64) error {
	b, err := s.opt.FS.Read(snapshot(n))
	if err != nil {
		return err
	}
	if err := readHead(b, n); err != nil {
		return errors.Join(ErrRotten, err)
	}
	count := uint64(0)
	for at := headSize; ; {
		f, k, err := readFrame(b[at:])
		if err != nil {
			return fmt.Errorf("%w: byte %d: %w", ErrRotten, at, err)
		}
		at += k
		switch f.kind {
		case kindPut:
			count++
			s.take(&f)
		case kindEnd:
			if f.seq != count || at != len(b) {
				return fmt.Errorf("%w: it ends with %d of %d records at byte %d of %d", ErrRotten, count, f.seq, at, len(b))
			}
			s.seq = max(s.seq, f.durable)
			s.sizes[snapshot(n)] = int64(len(b))
			s.total += int64(len(b))
			s.old = append(s.old, snapshot(n))
			return nil
		default:
			return fmt.Errorf("%w: byte %d: a frame of kind %d", ErrRotten, at-k, f.kind)
		}
	}
}

// readSegment takes a segment. One with another behind it was sealed before that was made; the last one may have a tail that
// was never whole, and is cut there.
func (s *Store) readSegment(n uint64, last bool, rec *Recovery) error {
	b, err := s.opt.FS.Read(segment(n))
	if err != nil {
		return err
	}
	at, sealed := headSize, false
	switch err := readHead(b, n); {
	case err == nil:
	case last && (errors.Is(err, errShort) || len(b) == headSize && bytes.Count(b, []byte{0}) == headSize): // it was being made: its length may be there first
		rec.Dropped, rec.Why = rec.Dropped+len(b), "its head is not whole"
		if err := errors.Join(s.opt.FS.Remove(segment(n)), s.opt.FS.Sync()); err != nil {
			return err
		}
		return s.begin(n)
	default:
		return errors.Join(ErrRotten, err)
	}
	for at < len(b) {
		f, k, err := readFrame(b[at:])
		if err == nil && f.kind == kindPut && f.seq != s.seq+1 {
			return fmt.Errorf("%w: byte %d: record %d after %d", ErrRotten, at, f.seq, s.seq)
		}
		if err != nil {
			if !last {
				return fmt.Errorf("%w: byte %d: %w", ErrRotten, at, err)
			}
			// Nothing was acknowledged before it was synced, and what was synced later frames tell of.
			if durable, found := laterDurable(b[at+1:]); found && durable > s.seq {
				return fmt.Errorf("%w: byte %d: %w, and records up to %d were durable", ErrRotten, at, err, durable)
			}
			rec.Dropped, rec.Why = rec.Dropped+len(b)-at, fmt.Sprintf("%s, byte %d: %v", segment(n), at, err)
			if err := s.opt.FS.Truncate(segment(n), int64(at)); err != nil {
				return err
			}
			break
		}
		at += k
		switch f.kind {
		case kindPut:
			s.seq = f.seq
			s.take(&f)
		case kindSeal:
			if sealed = true; at != len(b) {
				return fmt.Errorf("%w: %d bytes behind its seal", ErrRotten, len(b)-at)
			}
		default:
			return fmt.Errorf("%w: byte %d: a frame of kind %d", ErrRotten, at-k, f.kind)
		}
	}
	if !last && !sealed {
		return fmt.Errorf("%w: it is not sealed, and another follows", ErrRotten)
	}
	s.sizes[segment(n)] = int64(at)
	s.total += int64(at)
	if !last {
		s.old = append(s.old, segment(n))
		return nil
	}
	f, err := s.opt.FS.Append(segment(n))
	if err != nil {
		return err
	}
	if err := f.Sync(); err != nil || sealed {
		s.old = append(s.old, segment(n))
		return errors.Join(err, f.Close())
	}
	s.file, s.number, s.size = f, n, int64(at)
	return nil
}

// take brings a frame into the index.
func (s *Store) take(f *frame) {
	for i := range f.entries {
		e := &f.entries[i]
		var old item
		var was bool
		if e.Gone {
			old, was = s.tree.Delete(item{key: e.Key})
		} else {
			old, was = s.tree.ReplaceOrInsert(item{key: e.Key, value: e.Value})
			s.live += int64(frameHead + sizeOf(e))
		}
		if was {
			s.live -= int64(frameHead + entryHead + len(old.key) + len(old.value))
		}
	}
}

// begin makes a segment: whole and named for good before anything is written to it.
func (s *Store) begin(n uint64) error {
	f, err := s.opt.FS.Create(segment(n))
	if err != nil {
		return err
	}
	if _, err := f.Write(appendHead(nil, n)); err != nil {
		return errors.Join(err, f.Close())
	}
	if err := errors.Join(f.Sync(), s.opt.FS.Sync()); err != nil {
		return errors.Join(err, f.Close())
	}
	s.file, s.number, s.size = f, n, headSize
	s.sizes[segment(n)] = headSize
	s.total += headSize
	return nil
}

// Append has entries kept, all or none of them, in the order of the calls. done is called once: with nil after they have been
// synced, so that no crash takes them away; with an error where they are not kept, or nobody can tell.
func (s *Store) Append(entries []Entry, done func(error)) {
	s.put(commit{entries: entries, done: done})
}

// Compact has a snapshot made of what is live, in place of the segments there are.
func (s *Store) Compact(done func(error)) { s.put(commit{done: done, compact: true}) }

func (s *Store) put(c commit) {
	s.mu.Lock()
	err := s.broken
	if s.closed {
		err = ErrClosed
	}
	if err == nil {
		s.queue = append(s.queue, c)
	}
	s.mu.Unlock()
	if err != nil {
		s.tell(c.done, err)
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Store) tell(done func(error), err error) {
	switch {
	case done == nil:
	case s.opt.Post != nil:
		s.opt.Post(func() { done(err) })
	default:
		done(err)
	}
}

// write is the writer: all that waits goes out in one write and one sync.
func (s *Store) write() {
	defer close(s.stopped)
	for {
		select {
		case err := <-s.results:
			s.compacted(err)
		case <-s.wake:
		}
		for {
			s.mu.Lock()
			all, closed := s.queue, s.closed
			s.queue = nil
			s.mu.Unlock()
			if len(all) == 0 {
				if !closed {
					break
				}
				for s.beside != nil {
					s.compacted(<-s.results)
				}
				return
			}
			s.commit(all)
		}
	}
}

// commit carries out what waited. A sync that failed is final: what the disk then has nobody knows, and a later sync that
// succeeds would say nothing of it.
func (s *Store) commit(all []commit) {
	var buf []byte
	var frames []frame
	var batch []commit
	flush := func() {
		if len(batch) == 0 {
			return
		}
		err := s.flush(buf, frames)
		for _, c := range batch {
			s.tell(c.done, err)
		}
		buf, frames, batch = nil, nil, nil
	}
	for _, c := range all {
		if c.compact {
			flush()
			s.compact(c.done)
			continue
		}
		room := int64(frameHead)
		for i := range c.entries {
			room += int64(sizeOf(&c.entries[i]))
		}
		switch {
		case s.dead() != nil:
			s.tell(c.done, s.dead())
			continue
		case room > maxFrame:
			s.tell(c.done, fmt.Errorf("store: %d bytes at once; at most %d", room, maxFrame))
			continue
		case s.opt.MaxBytes > 0 && s.taken()+int64(len(buf))+room+headSize+frameHead > s.opt.MaxBytes:
			if flush(); !s.roomFor(room + headSize + frameHead) {
				s.tell(c.done, cmp.Or(s.dead(), ErrFull))
				continue
			}
		}
		f := frame{seq: s.seq + 1 + uint64(len(frames)), durable: s.durable, kind: kindPut}
		for _, e := range c.entries { // the caller's own may change
			e.Value = slices.Clone(e.Value)
			f.entries = append(f.entries, e)
		}
		frames = append(frames, f)
		buf = appendFrame(buf, &f)
		batch = append(batch, c)
	}
	flush()
	s.early()
}

func (s *Store) dead() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.broken
}

// fail has the store take nothing more where an error is one of its disk.
func (s *Store) fail(err error) error {
	if err == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken == nil {
		s.broken = fmt.Errorf("%w: %w", ErrBroken, err)
	}
	return s.broken
}

func (s *Store) flush(buf []byte, frames []frame) error {
	if err := s.dead(); err != nil {
		return err
	}
	if s.size > headSize && s.size+int64(len(buf)) > s.opt.SegmentBytes {
		if err := s.rotate(); err != nil {
			return s.fail(err)
		}
	}
	if n, err := s.file.Write(buf); err != nil || n < len(buf) {
		return s.fail(errors.Join(err, fmt.Errorf("%d of %d bytes were written", n, len(buf))))
	}
	if err := s.file.Sync(); err != nil {
		return s.fail(err)
	}
	s.seq += uint64(len(frames))
	s.durable = s.seq
	s.grow(segment(s.number), int64(len(buf)))
	s.size += int64(len(buf))
	s.mu.Lock()
	for i := range frames {
		s.take(&frames[i])
	}
	s.mu.Unlock()
	return nil
}

func (s *Store) grow(name string, n int64) {
	s.sizes[name] += n
	s.total += n
}

// rotate seals the segment, and begins the next once that is durable.
func (s *Store) rotate() error {
	b := appendFrame(nil, &frame{seq: s.seq, durable: s.durable, kind: kindSeal})
	if _, err := s.file.Write(b); err != nil {
		return err
	}
	if err := errors.Join(s.file.Sync(), s.file.Close()); err != nil {
		return err
	}
	s.grow(segment(s.number), int64(len(b)))
	s.old = append(s.old, segment(s.number))
	return s.begin(s.number + 1)
}

// Get is a key's value, as it is durable.
func (s *Store) Get(key string) (value []byte, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x, ok := s.tree.Get(item{key: key})
	return x.value, ok
}

// Range calls f for the keys from from on and before to (empty for all), in their order, until it returns false. It sees the
// store as it is at the call, whatever is written meanwhile.
func (s *Store) Range(from, to string, f func(key string, value []byte) bool) {
	s.mu.Lock()
	tree := s.tree.Clone()
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
	return Stats{s.tree.Len(), s.live}
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
	close(s.hurry)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	<-s.stopped
	var err error
	if s.file != nil {
		err = s.file.Close()
	}
	return errors.Join(err, s.unlock())
}
