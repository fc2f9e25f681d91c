package store

import (
	"errors"
	"time"

	"github.com/google/btree"
)

// compactionChunkBytes is the size of a compaction's writes.
const compactionChunkBytes = 64 << 10

// compaction writes a snapshot concurrently with the writer, which only seals its segment for it. The records that are live then are written
// from a copy-on-write clone of the index, under a temporary name and at the rate of the options. The snapshot is renamed once it is complete
// and synced, and the files that it replaces are removed once the rename is durable. If the process is killed at any point, the old files or
// the new one hold the same records.
type compaction struct {
	lastSegment   uint64 // the last segment that the snapshot replaces
	durable       uint64
	records       *btree.BTreeG[item]
	replaced      []string
	reservedBytes int64 // the maximum size of the snapshot
	writtenBytes  int64
	renamed       bool // set before the rename: after a later error it is unknown which files exist
	done          []func(error)
	unthrottle    chan struct{} // closed once the writer waits for the compaction, which then ignores its rate limit
	unthrottled   bool
}

// compactOnRequest carries out Compact.
func (s *Store) compactOnRequest(done func(error)) {
	if s.diskFailure() == nil && !s.hasSnapshotSpace() {
		s.notify(done, ErrFull)
		return
	}
	s.startCompaction(done)
}

// startCompaction starts a compaction, after the one in progress if there is one, as the snapshot must include everything appended before.
func (s *Store) startCompaction(done func(error)) {
	for s.compacting != nil {
		s.awaitCompaction()
	}
	err := s.diskFailure()
	if err == nil && s.segmentBytes > fileHeaderBytes {
		err = s.recordDiskFailure(s.rotate())
	}
	last := s.segmentNumber - 1
	upToDate := len(s.replaceable) == 0 || len(s.replaceable) == 1 && s.replaceable[0] == snapshotName(last)
	if err != nil || upToDate {
		s.notify(done, err)
		return
	}
	s.mu.Lock()
	c := &compaction{
		lastSegment:   last,
		durable:       s.durable,
		records:       s.index.Clone(),
		replaced:      s.replaceable,
		reservedBytes: s.liveBytes + fileHeaderBytes + frameHeaderBytes,
		done:          []func(error){done},
		unthrottle:    make(chan struct{}),
	}
	s.mu.Unlock()
	s.replaceable = nil
	s.compacting = c
	go func() { s.compactionDone <- c.run(s.options.FS, s.options.CompactionRate, s.closing) }()
}

// awaitCompaction waits for the compaction in progress and lifts its rate limit, as appends wait for it too.
func (s *Store) awaitCompaction() {
	c := s.compacting
	if !c.unthrottled {
		c.unthrottled = true
		close(c.unthrottle)
	}
	s.finishCompaction(<-s.compactionDone)
}

// finishCompaction handles the end of a compaction. If its file could not be written, nothing has changed; an error after that is final for
// the store.
func (s *Store) finishCompaction(err error) {
	c := s.compacting
	s.compacting = nil
	switch {
	case err == nil:
		s.checkCompacted(c)
		s.addFileBytes(snapshotName(c.lastSegment), c.writtenBytes)
		for _, name := range c.replaced {
			s.totalBytes -= s.fileBytes[name]
			delete(s.fileBytes, name)
		}
		s.replaceable = append([]string{snapshotName(c.lastSegment)}, s.replaceable...)
	case c.renamed:
		err = s.recordDiskFailure(err)
	default:
		s.replaceable = append(c.replaced, s.replaceable...)
	}
	for _, done := range c.done {
		s.notify(done, err)
	}
}

// run writes the snapshot and removes the files that it replaces.
func (c *compaction) run(fs FS, rate int64, closing <-chan struct{}) error {
	partial := snapshotName(c.lastSegment) + partialSuffix
	if err := c.write(fs, partial, rate, closing); err != nil {
		return errors.Join(err, fs.Remove(partial))
	}
	c.renamed = true
	if err := errors.Join(fs.Rename(partial, snapshotName(c.lastSegment)), fs.Sync()); err != nil {
		return err
	}
	for _, name := range c.replaced {
		if err := fs.Remove(name); err != nil {
			return err
		}
	}
	return fs.Sync()
}

func (c *compaction) write(fs FS, name string, rate int64, closing <-chan struct{}) error {
	f, err := fs.Create(name)
	if err != nil {
		return err
	}
	startedAt := time.Now()
	buffer := appendFileHeader(nil, c.lastSegment)
	count := uint64(0)
	flush := func() bool {
		_, err = f.Write(buffer)
		c.writtenBytes += int64(len(buffer))
		buffer = buffer[:0]
		c.throttle(startedAt, rate, closing)
		return err == nil
	}
	c.records.Ascend(func(record item) bool {
		count++
		buffer = appendFrame(buffer, &frame{kind: kindPut, entries: []Entry{{Key: record.key, Value: record.value}}})
		return len(buffer) < compactionChunkBytes || flush()
	})
	if err == nil {
		buffer = appendFrame(buffer, &frame{sequence: count, durable: c.durable, kind: kindEnd})
		flush()
	}
	return errors.Join(err, f.Sync(), f.Close())
}

// throttle waits until the bytes written fit the rate, or until the rate limit is lifted.
func (c *compaction) throttle(startedAt time.Time, rate int64, closing <-chan struct{}) {
	if rate <= 0 {
		return
	}
	due := time.Duration(float64(c.writtenBytes) / float64(rate) * float64(time.Second))
	ahead := due - time.Since(startedAt)
	if ahead <= 0 {
		return
	}
	select {
	case <-time.After(ahead):
	case <-closing:
	case <-c.unthrottle:
	}
}

// reservedBytes returns the size of the store on disk, including the reservation of a compaction in progress.
func (s *Store) reservedBytes() int64 {
	if s.compacting != nil {
		return s.totalBytes + s.compacting.reservedBytes
	}
	return s.totalBytes
}

// compactEarly starts a compaction of a store with a size bound while there is still space for the snapshot, if most of the store is dead.
func (s *Store) compactEarly() {
	if s.options.MaxBytes <= 0 || s.compacting != nil || s.diskFailure() != nil {
		return
	}
	if s.totalBytes > s.options.MaxBytes/2 && s.compactionFreesSpace() {
		s.startCompaction(nil)
	}
}

// hasSnapshotSpace reports whether there is space for a snapshot in addition to the present files.
func (s *Store) hasSnapshotSpace() bool {
	if s.options.MaxBytes <= 0 {
		return true
	}
	for s.compacting != nil {
		s.awaitCompaction()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.totalBytes+s.liveBytes+2*(fileHeaderBytes+frameHeaderBytes) <= s.options.MaxBytes
}

// compactionFreesSpace reports whether there is space for a snapshot in addition to the present files, and it would be less than half their
// size.
func (s *Store) compactionFreesSpace() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshotBytes := s.liveBytes + fileHeaderBytes + frameHeaderBytes
	return snapshotBytes < s.totalBytes/2 && s.totalBytes+snapshotBytes+fileHeaderBytes+frameHeaderBytes <= s.options.MaxBytes
}

// makeSpace compacts if that is needed to store more bytes, and reports whether there is space for them. Live records are never discarded.
func (s *Store) makeSpace(bytes int64) bool {
	for s.compacting != nil && !s.hasSpace(bytes) {
		s.awaitCompaction()
	}
	if !s.hasSpace(bytes) && s.diskFailure() == nil && s.compactionFreesSpace() {
		s.startCompaction(nil)
		for s.compacting != nil {
			s.awaitCompaction()
		}
	}
	return s.diskFailure() == nil && s.hasSpace(bytes)
}

func (s *Store) hasSpace(bytes int64) bool { return s.reservedBytes()+bytes <= s.options.MaxBytes }
