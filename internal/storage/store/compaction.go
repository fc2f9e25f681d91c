package store

import (
	"errors"
	"time"

	"github.com/google/btree"
)

// compactionChunkBytes is how much a compaction writes at a time.
const compactionChunkBytes = 64 << 10

// compaction writes a snapshot beside the writer, which only seals its segment for it. What was live then is written under another name, at
// the rate of the options, from a copy of the index that shares all that does not change; it gets its name once it is complete and synced;
// and what it replaces is removed once that name is durable. Whenever it is killed, the old files or the new one hold the same.
type compaction struct {
	lastSegment   uint64 // that it replaces
	durable       uint64
	records       *btree.BTreeG[item]
	replaced      []string
	reservedBytes int64 // that it may come to
	writtenBytes  int64
	renamed       bool // an error from then on leaves names that are not known
	done          []func(error)
	unthrottle    chan struct{} // closed once somebody waits for its space: it need not spare the disk any more
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

// startCompaction starts a compaction, behind one that is under way: it is to hold all that came before.
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

// awaitCompaction waits for the compaction that is under way, which need not spare the disk meanwhile: appends wait for it too.
func (s *Store) awaitCompaction() {
	c := s.compacting
	if !c.unthrottled {
		c.unthrottled = true
		close(c.unthrottle)
	}
	s.finishCompaction(<-s.compactionDone)
}

// finishCompaction takes a compaction's end. One whose file could not be written leaves all as it was; an error after that is final.
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

// run writes the snapshot and removes what it replaces.
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

// throttle waits until what was written fits the rate, or nobody spares the disk any more.
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

// reservedBytes is what the store takes on its disk, with what a compaction may come to.
func (s *Store) reservedBytes() int64 {
	if s.compacting != nil {
		return s.totalBytes + s.compacting.reservedBytes
	}
	return s.totalBytes
}

// compactEarly starts a compaction while there is space for it, where most of a store with a bound is dead.
func (s *Store) compactEarly() {
	if s.options.MaxBytes <= 0 || s.compacting != nil || s.diskFailure() != nil {
		return
	}
	if s.totalBytes > s.options.MaxBytes/2 && s.compactionFreesSpace() {
		s.startCompaction(nil)
	}
}

// hasSnapshotSpace reports whether a snapshot has space beside what there is.
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

// compactionFreesSpace reports whether a snapshot has space beside what there is, and is less than half of that.
func (s *Store) compactionFreesSpace() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshotBytes := s.liveBytes + fileHeaderBytes + frameHeaderBytes
	return snapshotBytes < s.totalBytes/2 && s.totalBytes+snapshotBytes+fileHeaderBytes+frameHeaderBytes <= s.options.MaxBytes
}

// makeSpace compacts if that is needed to take so many bytes more, and reports whether they can be taken: live records are never given up.
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
