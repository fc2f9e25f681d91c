package store

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// batch holds the appends that are written and synced together.
type batch struct {
	encoded        []byte
	frames         []frame
	commits        []commit
	promisedMemory int64
}

// runWriter is the writer's goroutine. It returns once the store is closed, the queue is empty and no compaction is in progress.
func (s *Store) runWriter() {
	defer close(s.stopped)
	for {
		select {
		case err := <-s.compactionDone:
			s.finishCompaction(err)
		case <-s.wake:
		}
		if closed := s.drainQueue(); closed {
			for s.compacting != nil {
				s.finishCompaction(<-s.compactionDone)
			}
			return
		}
	}
}

// drainQueue carries out queued calls until the queue is empty, and reports whether the store is closed.
func (s *Store) drainQueue() (closed bool) {
	for {
		s.mu.Lock()
		commits := s.queue
		closed = s.closed
		s.queue = nil
		s.mu.Unlock()
		if len(commits) == 0 {
			return closed
		}
		s.commitAll(commits)
	}
}

// commitAll carries out queued calls in as few writes as possible.
func (s *Store) commitAll(commits []commit) {
	b := &batch{}
	for _, c := range commits {
		if c.compact {
			s.flushBatch(b)
			s.compactOnRequest(c.done)
			continue
		}
		if err := s.admit(b, c.entries); err != nil {
			s.notify(c.done, err)
			continue
		}
		s.addToBatch(b, c)
	}
	s.flushBatch(b)
	s.compactEarly()
	s.checkInvariants()
}

// admit returns an error if entries cannot be stored. It flushes the batch first if that makes space for them.
func (s *Store) admit(b *batch, entries []Entry) error {
	if err := s.diskFailure(); err != nil {
		return err
	}
	size := frameBytes(entries)
	if size > maxFrameBytes {
		return fmt.Errorf("store: %d bytes at once; at most %d", size, maxFrameBytes)
	}
	if err := s.admitBytes(b, size); err != nil {
		return err
	}
	return s.admitMemory(b, entries)
}

func (s *Store) admitBytes(b *batch, size int64) error {
	needed := size + fileHeaderBytes + frameHeaderBytes // the segment may have to be sealed, and the next one created
	if s.options.MaxBytes <= 0 || s.reservedBytes()+int64(len(b.encoded))+needed <= s.options.MaxBytes {
		return nil
	}
	s.flushBatch(b)
	if !s.makeSpace(needed) {
		return cmp.Or(s.diskFailure(), ErrFull)
	}
	return nil
}

func (s *Store) admitMemory(b *batch, entries []Entry) error {
	if s.options.MaxMemory <= 0 {
		return nil
	}
	growth := s.memoryGrowth(entries)
	if !s.fitsMemory(growth, b.promisedMemory) {
		s.flushBatch(b)
		growth = s.memoryGrowth(entries)
	}
	if !s.fitsMemory(growth, b.promisedMemory) {
		return cmp.Or(s.diskFailure(), ErrFull)
	}
	b.promisedMemory += max(0, growth)
	return nil
}

func (s *Store) addToBatch(b *batch, c commit) {
	f := frame{sequence: s.sequence + 1 + uint64(len(b.frames)), durable: s.durable, kind: kindPut}
	for _, entry := range c.entries {
		entry.Value = slices.Clone(entry.Value) // the caller may change its copy later
		f.entries = append(f.entries, entry)
	}
	b.frames = append(b.frames, f)
	b.encoded = appendFrame(b.encoded, &f)
	b.commits = append(b.commits, c)
}

// flushBatch writes the batch, notifies its callers and empties it.
func (s *Store) flushBatch(b *batch) {
	if len(b.commits) == 0 {
		return
	}
	err := s.writeFrames(b.encoded, b.frames)
	for _, c := range b.commits {
		s.notify(c.done, err)
	}
	*b = batch{}
}

// diskFailure returns the error after which the store rejects entries, nil if there was none.
func (s *Store) diskFailure() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.diskError
}

// recordDiskFailure makes the store reject further entries after a disk error. After a failed sync it is unknown which bytes are on the disk,
// and a later successful sync would not show it.
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

// writeFrames writes and syncs frames, and applies them to the index.
func (s *Store) writeFrames(encoded []byte, frames []frame) error {
	if err := s.diskFailure(); err != nil {
		return err
	}
	if s.segmentBytes > fileHeaderBytes && s.segmentBytes+int64(len(encoded)) > s.options.SegmentBytes {
		if err := s.rotate(); err != nil {
			return s.recordDiskFailure(err)
		}
	}
	if n, err := s.segmentFile.Write(encoded); err != nil || n < len(encoded) {
		return s.recordDiskFailure(errors.Join(err, fmt.Errorf("%d of %d bytes were written", n, len(encoded))))
	}
	if err := s.segmentFile.Sync(); err != nil {
		return s.recordDiskFailure(err)
	}
	s.sequence += uint64(len(frames))
	s.durable = s.sequence
	s.addFileBytes(segmentName(s.segmentNumber), int64(len(encoded)))
	s.segmentBytes += int64(len(encoded))
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range frames {
		s.applyFrame(&frames[i])
	}
	return nil
}

// applyFrame applies a frame to the index. Outside of recovery the caller holds mu.
func (s *Store) applyFrame(f *frame) {
	for i := range f.entries {
		entry := &f.entries[i]
		var old item
		var replaced bool
		if entry.Deleted {
			old, replaced = s.index.Delete(item{key: entry.Key})
		} else {
			old, replaced = s.index.ReplaceOrInsert(item{key: entry.Key, value: entry.Value})
			s.liveBytes += int64(frameHeaderBytes + encodedSize(entry))
			s.payloadBytes += int64(len(entry.Key) + len(entry.Value))
		}
		if replaced {
			s.liveBytes -= int64(frameHeaderBytes + entryHeaderBytes + len(old.key) + len(old.value))
			s.payloadBytes -= int64(len(old.key) + len(old.value))
		}
	}
}

func (s *Store) addFileBytes(name string, n int64) {
	s.fileBytes[name] += n
	s.totalBytes += n
}

// rotate seals the open segment, and creates the next one once the seal is durable.
func (s *Store) rotate() error {
	seal := appendFrame(nil, &frame{sequence: s.sequence, durable: s.durable, kind: kindSeal})
	if _, err := s.segmentFile.Write(seal); err != nil {
		return err
	}
	if err := errors.Join(s.segmentFile.Sync(), s.segmentFile.Close()); err != nil {
		return err
	}
	s.addFileBytes(segmentName(s.segmentNumber), int64(len(seal)))
	s.replaceable = append(s.replaceable, segmentName(s.segmentNumber))
	return s.createSegment(s.segmentNumber + 1)
}

// createSegment creates a segment. Its header and name are durable before anything else is written to it.
func (s *Store) createSegment(number uint64) error {
	f, err := s.options.FS.Create(segmentName(number))
	if err != nil {
		return err
	}
	if _, err := f.Write(appendFileHeader(nil, number)); err != nil {
		return errors.Join(err, f.Close())
	}
	if err := errors.Join(f.Sync(), s.options.FS.Sync()); err != nil {
		return errors.Join(err, f.Close())
	}
	s.segmentFile = f
	s.segmentNumber = number
	s.segmentBytes = fileHeaderBytes
	s.fileBytes[segmentName(number)] = fileHeaderBytes
	s.totalBytes += fileHeaderBytes
	return nil
}
