package store

import (
	"errors"
	"time"

	"github.com/google/btree"
)

// A compaction goes on beside the writer, which only seals the segment that it stands on. What was live then is written under another
// name, in pieces and at its pace, from a copy of the index that shares all that does not change; renamed once it is whole and synced;
// and what it replaces is removed once its name is durable. Killed anywhere, the old files or the new one tell the same.

// compaction is one that is under way. Its goroutine has all but what the writer counts.
type compaction struct {
	lastSegment   uint64 // the last segment that it replaces
	durable       uint64
	records       *btree.BTreeG[item]
	replaced      []string
	reservedBytes int64 // bytes that it may come to
	writtenBytes  int64
	renamed       bool // what failed leaves names that nobody knows of
	done          []func(error)
	unthrottle    chan struct{} // closed once somebody waits for its room: no sparing of the disk any more
	unthrottled   bool
}

const compactionChunkBytes = 64 << 10

// startCompaction begins a compaction; one that is asked for while another is under way comes behind that, as it is to hold all that came before.
func (s *Store) startCompaction(done func(error)) {
	for s.compacting != nil {
		s.awaitCompaction()
	}
	err := s.diskFailure()
	if err == nil && s.segmentBytes > fileHeaderBytes {
		err = s.recordDiskFailure(s.rotate())
	}
	upTo := s.segmentNumber - 1
	if err != nil || len(s.replaceable) == 0 || len(s.replaceable) == 1 && s.replaceable[0] == snapshotName(upTo) { // nothing has come since
		s.notify(done, err)
		return
	}
	s.mu.Lock()
	c := &compaction{lastSegment: upTo, durable: s.durable, records: s.index.Clone(), replaced: s.replaceable, reservedBytes: s.liveBytes + fileHeaderBytes + frameHeaderBytes, done: []func(error){done},
		unthrottle: make(chan struct{})}
	s.mu.Unlock()
	s.replaceable = nil
	s.compacting = c
	go func() { s.compactionDone <- c.run(s.options.FS, s.options.CompactionRate, s.closing) }()
}

// awaitCompaction waits for the compaction that is under way, which need not spare the disk meanwhile: appends wait for it too.
func (s *Store) awaitCompaction() {
	if c := s.compacting; !c.unthrottled {
		c.unthrottled = true
		close(c.unthrottle)
	}
	s.finishCompaction(<-s.compactionDone)
}

// finishCompaction takes a compaction's end. One whose file could not be written leaves all as it was; one that failed later is final.
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
func (c *compaction) run(fs FS, pace int64, hurry <-chan struct{}) error {
	tmp := snapshotName(c.lastSegment) + ".tmp"
	if err := c.write(fs, tmp, pace, hurry); err != nil {
		return errors.Join(err, fs.Remove(tmp))
	}
	c.renamed = true
	if err := errors.Join(fs.Rename(tmp, snapshotName(c.lastSegment)), fs.Sync()); err != nil {
		return err
	}
	for _, name := range c.replaced {
		if err := fs.Remove(name); err != nil {
			return err
		}
	}
	return fs.Sync()
}

func (c *compaction) write(fs FS, tmp string, pace int64, hurry <-chan struct{}) error {
	f, err := fs.Create(tmp)
	if err != nil {
		return err
	}
	buf, count, began := appendFileHeader(nil, c.lastSegment), uint64(0), time.Now()
	put := func() bool {
		_, err = f.Write(buf)
		c.writtenBytes += int64(len(buf))
		buf = buf[:0]
		if ahead := time.Duration(float64(c.writtenBytes) / float64(max(1, pace)) * float64(time.Second)); pace > 0 && ahead > time.Since(began) {
			select {
			case <-time.After(ahead - time.Since(began)):
			case <-hurry:
			case <-c.unthrottle:
			}
		}
		return err == nil
	}
	c.records.Ascend(func(x item) bool {
		count++
		buf = appendFrame(buf, &frame{kind: kindPut, entries: []Entry{{Key: x.key, Value: x.value}}})
		return len(buf) < compactionChunkBytes || put()
	})
	if err == nil {
		buf = appendFrame(buf, &frame{sequence: count, durable: c.durable, kind: kindEnd})
		put()
	}
	return errors.Join(err, f.Sync(), f.Close())
}

// reservedBytes is what the store takes on its disk, with what a compaction may come to.
func (s *Store) reservedBytes() int64 {
	if s.compacting != nil {
		return s.totalBytes + s.compacting.reservedBytes
	}
	return s.totalBytes
}

// compactEarly begins a compaction while there is room for it, where most of a store with a bound is dead.
func (s *Store) compactEarly() {
	if s.options.MaxBytes > 0 && s.compacting == nil && s.diskFailure() == nil && s.totalBytes > s.options.MaxBytes/2 && s.compactionFreesSpace() {
		s.startCompaction(nil)
	}
}

// hasSnapshotSpace tells whether a snapshot has room beside what there is.
func (s *Store) hasSnapshotSpace() bool {
	for s.options.MaxBytes > 0 && s.compacting != nil {
		s.awaitCompaction()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.options.MaxBytes <= 0 || s.totalBytes+s.liveBytes+2*(fileHeaderBytes+frameHeaderBytes) <= s.options.MaxBytes
}

// compactionFreesSpace tells whether a snapshot has room beside what there is, and is less than half of that.
func (s *Store) compactionFreesSpace() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	snap := s.liveBytes + fileHeaderBytes + frameHeaderBytes
	return snap < s.totalBytes/2 && s.totalBytes+snap+fileHeaderBytes+frameHeaderBytes <= s.options.MaxBytes
}

// makeSpace sees to it that so many bytes more can be taken, and tells whether they can: what must be kept is never given up for it.
func (s *Store) makeSpace(n int64) bool {
	for s.compacting != nil && s.reservedBytes()+n > s.options.MaxBytes {
		s.awaitCompaction()
	}
	if s.reservedBytes()+n > s.options.MaxBytes && s.diskFailure() == nil && s.compactionFreesSpace() {
		s.startCompaction(nil)
		for s.compacting != nil {
			s.awaitCompaction()
		}
	}
	return s.diskFailure() == nil && s.reservedBytes()+n <= s.options.MaxBytes
}
