package store

import (
	"fmt"
	"slices"

	"beechgrade/internal/invariant"
)

// checkInvariants states what holds between two batches. It is called by the writer, which the checks belong to.
func (s *Store) checkInvariants() {
	checks := s.options.Checks
	if !checks.Enabled() || s.diskFailure() != nil {
		return
	}
	checks.That(s.sequence == s.durable, "store: what was acknowledged is what is durable", func() string {
		return fmt.Sprintf("%d kept, %d durable", s.sequence, s.durable)
	})
	open := segmentName(s.segmentNumber)
	checks.That(!slices.Contains(s.replaceable, open), "store: the segment that is written is replaced by nothing", func() string {
		return fmt.Sprintf("segment %d of %v", s.segmentNumber, s.replaceable)
	})
	bounded := s.options.MaxBytes <= 0 || s.reservedBytes() <= max(s.options.MaxBytes, s.bytesAtOpen)
	checks.That(bounded, "store: it stays within its bound", func() string {
		return fmt.Sprintf("%d bytes of %d, and %d were found", s.reservedBytes(), s.options.MaxBytes, s.bytesAtOpen)
	})
	checks.Walk(&s.batchesSinceWalk, max(1, s.options.BatchesPerWalk), "store: a walk over all that there is", s.walk)
}

// walk counts anew what is counted as it changes.
func (s *Store) walk(checks *invariant.Checks) {
	s.walkIndex(checks)
	s.walkFiles(checks)
}

func (s *Store) walkIndex(checks *invariant.Checks) {
	live, payload := int64(0), int64(0)
	records, last, sorted := 0, "", true
	s.mu.Lock()
	s.index.Ascend(func(record item) bool {
		sorted = sorted && (records == 0 || last < record.key)
		live += int64(frameHeaderBytes + entryHeaderBytes + len(record.key) + len(record.value))
		payload += int64(len(record.key) + len(record.value))
		records++
		last = record.key
		return true
	})
	s.mu.Unlock()
	checks.That(live == s.liveBytes && payload == s.payloadBytes, "store: what is live is counted", func() string {
		return fmt.Sprintf("%d and %d bytes in %d records, counted %d and %d", live, payload, records, s.liveBytes, s.payloadBytes)
	})
	checks.That(sorted && records == s.index.Len(), "store: the index has its keys in order, each once", func() string {
		return fmt.Sprintf("%d records seen of %d, the last %q", records, s.index.Len(), last)
	})
}

func (s *Store) walkFiles(checks *invariant.Checks) {
	total := int64(0)
	for _, bytes := range s.fileBytes {
		total += bytes
	}
	open := s.fileBytes[segmentName(s.segmentNumber)]
	checks.That(total == s.totalBytes && open == s.segmentBytes, "store: its files' sizes are counted", func() string {
		return fmt.Sprintf("%v: %d bytes, counted %d; segment %d has %d", s.fileBytes, total, s.totalBytes, s.segmentNumber, s.segmentBytes)
	})
	expected := 1 + len(s.replaceable)
	if s.compacting != nil {
		expected += len(s.compacting.replaced)
	}
	checks.That(len(s.fileBytes) == expected, "compaction: every file is written, to be replaced, or being replaced", func() string {
		return fmt.Sprintf("%v; written %d, to be replaced %v, compacting %v", s.fileBytes, s.segmentNumber, s.replaceable, s.compacting != nil)
	})
}

// checkCompacted states what holds once a compaction has replaced its files.
func (s *Store) checkCompacted(c *compaction) {
	checks := s.options.Checks
	if !checks.Enabled() {
		return
	}
	bounded := c.writtenBytes <= c.reservedBytes+fileHeaderBytes+frameHeaderBytes
	checks.That(bounded, "compaction: a snapshot is no larger than was reserved", func() string {
		return fmt.Sprintf("%d bytes, reserved %d", c.writtenBytes, c.reservedBytes)
	})
	checks.That(c.lastSegment < s.segmentNumber && c.durable <= s.durable, "compaction: a snapshot is of what was before", func() string {
		return fmt.Sprintf("up to segment %d and record %d, while segment %d is written and %d durable",
			c.lastSegment, c.durable, s.segmentNumber, s.durable)
	})
}
