package store

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// recover reads the newest snapshot and the segments behind it.
func (s *Store) recover() (*Recovery, error) {
	names, err := s.options.FS.List()
	if err != nil {
		return nil, err
	}
	slices.Sort(names)
	rec := &Recovery{}
	// A process that ended may have left names and bytes that the disk does not have yet: what is told of must be there.
	if err := s.options.FS.Sync(); err != nil {
		return rec, err
	}
	var snaps, logs []uint64
	for _, n := range names {
		if x, ok := fileNumber(n, ".snap"); ok {
			snaps = append(snaps, x)
		} else if x, ok := fileNumber(n, ".log"); ok {
			logs = append(logs, x)
		} else if strings.HasSuffix(n, ".tmp") { // a snapshot that was never whole
			if err := s.options.FS.Remove(n); err != nil {
				return rec, err
			}
		}
	}
	base := uint64(0)
	if len(snaps) > 0 {
		base = snaps[len(snaps)-1]
		if err := s.readSnapshot(base); err != nil {
			return rec, fmt.Errorf("%s: %w", snapshotName(base), err)
		}
	}
	stale := false
	for _, n := range snaps[:max(0, len(snaps)-1)] { // a compaction was killed before it had cleared up
		stale = true
		if err := s.options.FS.Remove(snapshotName(n)); err != nil {
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
		if err := s.options.FS.Remove(segmentName(n)); err != nil {
			return rec, err
		}
	}
	if stale {
		if err := s.options.FS.Sync(); err != nil {
			return rec, err
		}
	}
	for i, n := range todo {
		if n != base+1+uint64(i) {
			return rec, fmt.Errorf("%w: %s is not there", ErrCorrupt, segmentName(base+1+uint64(i)))
		}
		if err := s.readSegment(n, i == len(todo)-1, rec); err != nil {
			return rec, fmt.Errorf("%s: %w", segmentName(n), err)
		}
		rec.SegmentsRead++
	}
	s.durable = s.sequence
	rec.Records = s.index.Len()
	if len(todo) > 0 && s.segmentFile != nil {
		return rec, nil
	}
	return rec, s.createSegment(base + 1 + uint64(len(todo)))
}

// readSnapshot takes a snapshot. It was renamed when it was whole: whatever is wrong with it is rot.
func (s *Store) readSnapshot(n uint64) error {
	b, err := s.options.FS.Read(snapshotName(n))
	if err != nil {
		return err
	}
	if err := checkFileHeader(b, n); err != nil {
		return errors.Join(ErrCorrupt, err)
	}
	count := uint64(0)
	for at := fileHeaderBytes; ; {
		f, k, err := readFrame(b[at:])
		if err != nil {
			return fmt.Errorf("%w: byte %d: %w", ErrCorrupt, at, err)
		}
		at += k
		switch f.kind {
		case kindPut:
			count++
			s.applyFrame(&f)
		case kindEnd:
			if f.sequence != count || at != len(b) {
				return fmt.Errorf("%w: it ends with %d of %d records at byte %d of %d", ErrCorrupt, count, f.sequence, at, len(b))
			}
			s.sequence = max(s.sequence, f.durable)
			s.fileBytes[snapshotName(n)] = int64(len(b))
			s.totalBytes += int64(len(b))
			s.replaceable = append(s.replaceable, snapshotName(n))
			return nil
		default:
			return fmt.Errorf("%w: byte %d: a frame of kind %d", ErrCorrupt, at-k, f.kind)
		}
	}
}

// readSegment takes a segment. One with another behind it was sealed before that was made; the last one may have a tail that
// was never whole, and is cut there.
func (s *Store) readSegment(n uint64, last bool, rec *Recovery) error {
	b, err := s.options.FS.Read(segmentName(n))
	if err != nil {
		return err
	}
	at, sealed := fileHeaderBytes, false
	switch err := checkFileHeader(b, n); {
	case err == nil:
	case last && (errors.Is(err, errTruncated) || len(b) == fileHeaderBytes && bytes.Count(b, []byte{0}) == fileHeaderBytes): // it was being made: its length may be there first
		rec.DroppedBytes, rec.Reason = rec.DroppedBytes+len(b), "its head is not whole"
		if err := errors.Join(s.options.FS.Remove(segmentName(n)), s.options.FS.Sync()); err != nil {
			return err
		}
		return s.createSegment(n)
	default:
		return errors.Join(ErrCorrupt, err)
	}
	for at < len(b) {
		f, k, err := readFrame(b[at:])
		if err == nil && f.kind == kindPut && f.sequence != s.sequence+1 {
			return fmt.Errorf("%w: byte %d: record %d after %d", ErrCorrupt, at, f.sequence, s.sequence)
		}
		if err != nil {
			if !last {
				return fmt.Errorf("%w: byte %d: %w", ErrCorrupt, at, err)
			}
			// Nothing was acknowledged before it was synced, and what was synced later frames tell of.
			if durable, found := laterDurable(b[at+1:]); found && durable > s.sequence {
				return fmt.Errorf("%w: byte %d: %w, and records up to %d were durable", ErrCorrupt, at, err, durable)
			}
			rec.DroppedBytes, rec.Reason = rec.DroppedBytes+len(b)-at, fmt.Sprintf("%s, byte %d: %v", segmentName(n), at, err)
			if err := s.options.FS.Truncate(segmentName(n), int64(at)); err != nil {
				return err
			}
			break
		}
		at += k
		switch f.kind {
		case kindPut:
			s.sequence = f.sequence
			s.applyFrame(&f)
		case kindSeal:
			if sealed = true; at != len(b) {
				return fmt.Errorf("%w: %d bytes behind its seal", ErrCorrupt, len(b)-at)
			}
		default:
			return fmt.Errorf("%w: byte %d: a frame of kind %d", ErrCorrupt, at-k, f.kind)
		}
	}
	if !last && !sealed {
		return fmt.Errorf("%w: it is not sealed, and another follows", ErrCorrupt)
	}
	s.fileBytes[segmentName(n)] = int64(at)
	s.totalBytes += int64(at)
	if !last {
		s.replaceable = append(s.replaceable, segmentName(n))
		return nil
	}
	f, err := s.options.FS.Append(segmentName(n))
	if err != nil {
		return err
	}
	if err := f.Sync(); err != nil || sealed {
		s.replaceable = append(s.replaceable, segmentName(n))
		return errors.Join(err, f.Close())
	}
	s.segmentFile, s.segmentNumber, s.segmentBytes = f, n, int64(at)
	return nil
}

// applyFrame brings a frame into the index.
func (s *Store) applyFrame(f *frame) {
	for i := range f.entries {
		e := &f.entries[i]
		var old item
		var was bool
		if e.Deleted {
			old, was = s.index.Delete(item{key: e.Key})
		} else {
			old, was = s.index.ReplaceOrInsert(item{key: e.Key, value: e.Value})
			s.liveBytes += int64(frameHeaderBytes + encodedSize(e))
			s.payloadBytes += int64(len(e.Key) + len(e.Value))
		}
		if was {
			s.liveBytes -= int64(frameHeaderBytes + entryHeaderBytes + len(old.key) + len(old.value))
			s.payloadBytes -= int64(len(old.key) + len(old.value))
		}
	}
}
