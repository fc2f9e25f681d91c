package store

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// storeFiles holds the numbers of a store's files, sorted.
type storeFiles struct {
	snapshots []uint64
	segments  []uint64
}

// recover reads the newest snapshot and the segments after it, and removes the files that the snapshot replaces.
func (s *Store) recover() (*Recovery, error) {
	names, err := s.options.FS.List()
	if err != nil {
		return nil, err
	}
	recovery := &Recovery{}
	files, err := s.sortFiles(names)
	if err != nil {
		return recovery, err
	}
	base := uint64(0)
	if len(files.snapshots) > 0 {
		base = files.snapshots[len(files.snapshots)-1]
		if err := s.readSnapshot(base); err != nil {
			return recovery, fmt.Errorf("%s: %w", snapshotName(base), err)
		}
	}
	if err := s.removeReplaced(files, base); err != nil {
		return recovery, err
	}
	if err := s.readSegments(files.segments, base, recovery); err != nil {
		return recovery, err
	}
	s.durable = s.sequence
	recovery.Records = s.index.Len()
	if recovery.SegmentsRead > 0 && s.segmentFile != nil {
		return recovery, nil
	}
	return recovery, s.createSegment(base + 1 + uint64(recovery.SegmentsRead))
}

// sortFiles classifies files as snapshots and segments by their names, and removes incomplete snapshots.
func (s *Store) sortFiles(names []string) (*storeFiles, error) {
	slices.Sort(names)
	// An earlier process may have left names and bytes that are not on the disk yet. Recovery must rely on durable state only.
	if err := s.options.FS.Sync(); err != nil {
		return nil, err
	}
	files := &storeFiles{}
	for _, name := range names {
		if number, ok := fileNumber(name, snapshotSuffix); ok {
			files.snapshots = append(files.snapshots, number)
		} else if number, ok := fileNumber(name, segmentSuffix); ok {
			files.segments = append(files.segments, number)
		} else if strings.HasSuffix(name, partialSuffix) {
			if err := s.options.FS.Remove(name); err != nil {
				return nil, err
			}
		}
	}
	return files, nil
}

// removeReplaced removes the files that the snapshot base replaces, if a compaction was killed before it removed them.
func (s *Store) removeReplaced(files *storeFiles, base uint64) error {
	var replaced []string
	for _, number := range files.snapshots {
		if number < base {
			replaced = append(replaced, snapshotName(number))
		}
	}
	for _, number := range files.segments {
		if number <= base {
			replaced = append(replaced, segmentName(number))
		}
	}
	if len(replaced) == 0 {
		return nil
	}
	for _, name := range replaced {
		if err := s.options.FS.Remove(name); err != nil {
			return err
		}
	}
	return s.options.FS.Sync()
}

// readSegments reads the segments after the snapshot base, none of which may be missing.
func (s *Store) readSegments(numbers []uint64, base uint64, recovery *Recovery) error {
	numbers = slices.DeleteFunc(slices.Clone(numbers), func(number uint64) bool { return number <= base })
	for i, number := range numbers {
		if expected := base + 1 + uint64(i); number != expected {
			return fmt.Errorf("%w: %s is not there", ErrCorrupt, segmentName(expected))
		}
		isLast := i == len(numbers)-1
		if err := s.readSegment(number, isLast, recovery); err != nil {
			return fmt.Errorf("%s: %w", segmentName(number), err)
		}
		recovery.SegmentsRead++
	}
	return nil
}

// readSnapshot reads a snapshot. It was renamed only once it was complete, so any error in it is damage.
func (s *Store) readSnapshot(number uint64) error {
	b, err := s.options.FS.Read(snapshotName(number))
	if err != nil {
		return err
	}
	if err := checkFileHeader(b, number); err != nil {
		return errors.Join(ErrCorrupt, err)
	}
	count := uint64(0)
	for at := fileHeaderBytes; ; {
		f, n, err := readFrame(b[at:])
		if err != nil {
			return fmt.Errorf("%w: byte %d: %w", ErrCorrupt, at, err)
		}
		at += n
		switch f.kind {
		case kindPut:
			count++
			s.applyFrame(&f)
		case kindEnd:
			if f.sequence != count || at != len(b) {
				return fmt.Errorf("%w: it ends with %d of %d records at byte %d of %d", ErrCorrupt, count, f.sequence, at, len(b))
			}
			s.sequence = max(s.sequence, f.durable)
			s.fileBytes[snapshotName(number)] = int64(len(b))
			s.totalBytes += int64(len(b))
			s.replaceable = append(s.replaceable, snapshotName(number))
			return nil
		default:
			return fmt.Errorf("%w: byte %d: a frame of kind %d", ErrCorrupt, at-n, f.kind)
		}
	}
}

// readSegment reads a segment. A segment that is followed by another must be sealed, because it was sealed before the next was created. The
// last segment may have an incomplete tail, which is cut off.
func (s *Store) readSegment(number uint64, isLast bool, recovery *Recovery) error {
	b, err := s.options.FS.Read(segmentName(number))
	if err != nil {
		return err
	}
	if err := checkFileHeader(b, number); err != nil {
		if isLast && isUnfinishedHeader(b, err) {
			return s.replaceUnfinished(number, len(b), recovery)
		}
		return errors.Join(ErrCorrupt, err)
	}
	end, sealed, err := s.readFrames(b)
	if err != nil {
		if !isLast || errors.Is(err, ErrCorrupt) {
			return corrupt(end, err)
		}
		if err := s.cutTail(number, b, end, err, recovery); err != nil {
			return err
		}
	}
	if !isLast && !sealed {
		return fmt.Errorf("%w: it is not sealed, and another follows", ErrCorrupt)
	}
	s.fileBytes[segmentName(number)] = int64(end)
	s.totalBytes += int64(end)
	if !isLast {
		s.replaceable = append(s.replaceable, segmentName(number))
		return nil
	}
	return s.continueSegment(number, end, sealed)
}

// corrupt wraps an error as damage at an offset, unless it says so already.
func corrupt(at int, err error) error {
	if errors.Is(err, ErrCorrupt) {
		return err
	}
	return fmt.Errorf("%w: byte %d: %w", ErrCorrupt, at, err)
}

// isUnfinishedHeader reports whether a segment was still being created, from its content and the error of its header. The length of the file
// may reach the disk before the bytes of the header, which are then zero.
func isUnfinishedHeader(b []byte, err error) bool {
	allZero := len(b) == fileHeaderBytes && bytes.Count(b, []byte{0}) == fileHeaderBytes
	return errors.Is(err, errTruncated) || allZero
}

// replaceUnfinished removes a segment whose header is incomplete, and creates it again.
func (s *Store) replaceUnfinished(number uint64, droppedBytes int, recovery *Recovery) error {
	recovery.DroppedBytes += droppedBytes
	recovery.Reason = "its head is not whole"
	if err := errors.Join(s.options.FS.Remove(segmentName(number)), s.options.FS.Sync()); err != nil {
		return err
	}
	return s.createSegment(number)
}

// readFrames applies a segment's frames up to the first that cannot be read. It returns the end of the last frame that was read, and whether
// that frame is a seal.
func (s *Store) readFrames(b []byte) (end int, sealed bool, err error) {
	at := fileHeaderBytes
	for at < len(b) {
		f, n, err := readFrame(b[at:])
		if err != nil {
			return at, sealed, err
		}
		switch {
		case f.kind == kindPut && f.sequence != s.sequence+1:
			return at, sealed, fmt.Errorf("%w: byte %d: record %d after %d", ErrCorrupt, at, f.sequence, s.sequence)
		case f.kind == kindPut:
			s.sequence = f.sequence
			s.applyFrame(&f)
		case f.kind == kindSeal:
			sealed = true
			if at+n != len(b) {
				return at, sealed, fmt.Errorf("%w: %d bytes behind its seal", ErrCorrupt, len(b)-at-n)
			}
		default:
			return at, sealed, fmt.Errorf("%w: byte %d: a frame of kind %d", ErrCorrupt, at, f.kind)
		}
		at += n
	}
	return at, sealed, nil
}

// cutTail drops an incomplete tail. Nothing in it was acknowledged, as records are acknowledged only after a sync, unless a later frame states
// that a higher sequence number was durable: then the segment is damaged.
func (s *Store) cutTail(number uint64, b []byte, at int, reason error, recovery *Recovery) error {
	if durable, found := laterDurable(b[at+1:]); found && durable > s.sequence {
		return fmt.Errorf("%w: byte %d: %w, and records up to %d were durable", ErrCorrupt, at, reason, durable)
	}
	recovery.DroppedBytes += len(b) - at
	recovery.Reason = fmt.Sprintf("%s, byte %d: %v", segmentName(number), at, reason)
	return s.options.FS.Truncate(segmentName(number), int64(at))
}

// continueSegment opens the last segment for writing, unless it is sealed.
func (s *Store) continueSegment(number uint64, end int, sealed bool) error {
	f, err := s.options.FS.Append(segmentName(number))
	if err != nil {
		return err
	}
	if err := f.Sync(); err != nil || sealed {
		s.replaceable = append(s.replaceable, segmentName(number))
		return errors.Join(err, f.Close())
	}
	s.segmentFile = f
	s.segmentNumber = number
	s.segmentBytes = int64(end)
	return nil
}
