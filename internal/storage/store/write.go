package store

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// runWriter is the writer: all that waits goes out in one write and one sync.
func (s *Store) runWriter() {
	defer close(s.stopped)
	for {
		select {
		case err := <-s.compactionDone:
			s.finishCompaction(err)
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
				for s.compacting != nil {
					s.finishCompaction(<-s.compactionDone)
				}
				return
			}
			s.commitBatch(all)
		}
	}
}

// commitBatch carries out what waited. A sync that failed is final: what the disk then has nobody knows, and a later sync that
// succeeds would say nothing of it.
func (s *Store) commitBatch(all []commit) {
	var buf []byte
	var frames []frame
	var batch []commit
	promised := int64(0) // of memory, by the batch
	flush := func() {
		if len(batch) == 0 {
			return
		}
		err := s.flush(buf, frames)
		for _, c := range batch {
			s.notify(c.done, err)
		}
		buf, frames, batch, promised = nil, nil, nil, 0
	}
	for _, c := range all {
		if c.compact {
			if flush(); s.diskFailure() == nil && !s.hasSnapshotSpace() {
				s.notify(c.done, ErrFull)
				continue
			}
			s.startCompaction(c.done)
			continue
		}
		room := int64(frameHeaderBytes)
		for i := range c.entries {
			room += int64(encodedSize(&c.entries[i]))
		}
		switch {
		case s.diskFailure() != nil:
			s.notify(c.done, s.diskFailure())
			continue
		case room > maxFrameBytes:
			s.notify(c.done, fmt.Errorf("store: %d bytes at once; at most %d", room, maxFrameBytes))
			continue
		case s.options.MaxBytes > 0 && s.reservedBytes()+int64(len(buf))+room+fileHeaderBytes+frameHeaderBytes > s.options.MaxBytes:
			if flush(); !s.makeSpace(room + fileHeaderBytes + frameHeaderBytes) {
				s.notify(c.done, cmp.Or(s.diskFailure(), ErrFull))
				continue
			}
		}
		if s.options.MaxMemory > 0 {
			more := s.memoryGrowth(c.entries)
			if !s.fitsMemory(more, promised) {
				flush()
				more = s.memoryGrowth(c.entries)
			}
			if !s.fitsMemory(more, promised) {
				s.notify(c.done, cmp.Or(s.diskFailure(), ErrFull))
				continue
			}
			promised += max(0, more)
		}
		f := frame{sequence: s.sequence + 1 + uint64(len(frames)), durable: s.durable, kind: kindPut}
		for _, e := range c.entries { // the caller's own may change
			e.Value = slices.Clone(e.Value)
			f.entries = append(f.entries, e)
		}
		frames = append(frames, f)
		buf = appendFrame(buf, &f)
		batch = append(batch, c)
	}
	flush()
	s.compactEarly()
	s.checkInvariants()
}

// fitsMemory tells whether entries find room in memory behind so much that is promised, or take no more than they give back.
func (s *Store) fitsMemory(more, promised int64) bool {
	return more <= 0 || s.memoryUse()+promised+more <= s.options.MaxMemory
}

func (s *Store) memoryUse() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return MemoryUse(s.index.Len(), s.payloadBytes)
}

// memoryGrowth is how much more memory is taken once entries are kept, by what is there now.
func (s *Store) memoryGrowth(entries []Entry) (n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range entries {
		e := &entries[i]
		if old, ok := s.index.Get(item{key: e.Key}); ok {
			n -= MemoryUse(1, int64(len(old.key)+len(old.value)))
		}
		if !e.Deleted {
			n += MemoryUse(1, int64(len(e.Key)+len(e.Value)))
		}
	}
	return n
}

func (s *Store) diskFailure() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.diskError
}

// recordDiskFailure has the store take nothing more where an error is one of its disk.
func (s *Store) recordDiskFailure(err error) error {
	if err == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.diskError == nil {
		s.diskError = fmt.Errorf("%w: %w", ErrDiskFailed, err)
	}
	return s.diskError
}

func (s *Store) flush(buf []byte, frames []frame) error {
	if err := s.diskFailure(); err != nil {
		return err
	}
	if s.segmentBytes > fileHeaderBytes && s.segmentBytes+int64(len(buf)) > s.options.SegmentBytes {
		if err := s.rotate(); err != nil {
			return s.recordDiskFailure(err)
		}
	}
	if n, err := s.segmentFile.Write(buf); err != nil || n < len(buf) {
		return s.recordDiskFailure(errors.Join(err, fmt.Errorf("%d of %d bytes were written", n, len(buf))))
	}
	if err := s.segmentFile.Sync(); err != nil {
		return s.recordDiskFailure(err)
	}
	s.sequence += uint64(len(frames))
	s.durable = s.sequence
	s.addFileBytes(segmentName(s.segmentNumber), int64(len(buf)))
	s.segmentBytes += int64(len(buf))
	s.mu.Lock()
	for i := range frames {
		s.applyFrame(&frames[i])
	}
	s.mu.Unlock()
	return nil
}

func (s *Store) addFileBytes(name string, n int64) {
	s.fileBytes[name] += n
	s.totalBytes += n
}

// rotate seals the segment, and begins the next once that is durable.
func (s *Store) rotate() error {
	b := appendFrame(nil, &frame{sequence: s.sequence, durable: s.durable, kind: kindSeal})
	if _, err := s.segmentFile.Write(b); err != nil {
		return err
	}
	if err := errors.Join(s.segmentFile.Sync(), s.segmentFile.Close()); err != nil {
		return err
	}
	s.addFileBytes(segmentName(s.segmentNumber), int64(len(b)))
	s.replaceable = append(s.replaceable, segmentName(s.segmentNumber))
	return s.createSegment(s.segmentNumber + 1)
}

// createSegment makes a segment: whole and named for good before anything is written to it.
func (s *Store) createSegment(n uint64) error {
	f, err := s.options.FS.Create(segmentName(n))
	if err != nil {
		return err
	}
	if _, err := f.Write(appendFileHeader(nil, n)); err != nil {
		return errors.Join(err, f.Close())
	}
	if err := errors.Join(f.Sync(), s.options.FS.Sync()); err != nil {
		return errors.Join(err, f.Close())
	}
	s.segmentFile, s.segmentNumber, s.segmentBytes = f, n, fileHeaderBytes
	s.fileBytes[segmentName(n)] = fileHeaderBytes
	s.totalBytes += fileHeaderBytes
	return nil
}
