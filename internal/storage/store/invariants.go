package store

import (
	"fmt"
	"slices"

	"beechgrade/internal/invariant"
)

// checkInvariants checks the invariants that hold between two batches. It is called on the writer's goroutine.
func (s *Store) checkInvariants() {
	checks := s.options.Checks
	if !checks.Enabled() || s.diskFailure() != nil {
		return
	}
	checks.That(s.sequence == s.durable, "store: the last written record is durable", func() string {
		return fmt.Sprintf("sequence number %d, durable up to %d", s.sequence, s.durable)
	})
	open := segmentName(s.segmentNumber)
	checks.That(!slices.Contains(s.replaceable, open), "store: the open segment is not replaceable", func() string {
		return fmt.Sprintf("open segment %d, replaceable %v", s.segmentNumber, s.replaceable)
	})
	bounded := s.options.MaxBytes <= 0 || s.reservedBytes() <= max(s.options.MaxBytes, s.bytesAtOpen)
	checks.That(bounded, "store: its files stay within their size bound", func() string {
		return fmt.Sprintf("%d bytes, at most %d; %d when it was opened", s.reservedBytes(), s.options.MaxBytes, s.bytesAtOpen)
	})
	checks.Walk(&s.batchesSinceWalk, max(1, s.options.BatchesPerWalk), "store: walk over the whole state", s.walk)
}

// walk recomputes the counts that are kept incrementally, and compares them.
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
	checks.That(live == s.liveBytes && payload == s.payloadBytes, "store: live bytes are counted correctly", func() string {
		return fmt.Sprintf("%d live and %d payload bytes in %d records, counted %d and %d", live, payload, records, s.liveBytes, s.payloadBytes)
	})
	checks.That(sorted && records == s.index.Len(), "store: the keys of the index are sorted and unique", func() string {
		return fmt.Sprintf("visited %d records of %d, the last key %q", records, s.index.Len(), last)
	})
}

func (s *Store) walkFiles(checks *invariant.Checks) {
	total := int64(0)
	for _, bytes := range s.fileBytes {
		total += bytes
	}
	open := s.fileBytes[segmentName(s.segmentNumber)]
	checks.That(total == s.totalBytes && open == s.segmentBytes, "store: file sizes are counted correctly", func() string {
		return fmt.Sprintf("%v: %d bytes, counted %d; open segment %d has %d", s.fileBytes, total, s.totalBytes, s.segmentNumber, s.segmentBytes)
	})
	expected := 1 + len(s.replaceable)
	if s.compacting != nil {
		expected += len(s.compacting.replaced)
	}
	checks.That(len(s.fileBytes) == expected, "compaction: every file is open, replaceable or being replaced", func() string {
		return fmt.Sprintf("%v; open segment %d, replaceable %v, compacting %v", s.fileBytes, s.segmentNumber, s.replaceable, s.compacting != nil)
	})
}

// checkCompacted checks the invariants that hold once a compaction has replaced its files.
func (s *Store) checkCompacted(c *compaction) {
	checks := s.options.Checks
	if !checks.Enabled() {
		return
	}
	bounded := c.writtenBytes <= c.reservedBytes+fileHeaderBytes+frameHeaderBytes
	checks.That(bounded, "compaction: a snapshot is no larger than its reservation", func() string {
		return fmt.Sprintf("%d bytes, reserved %d", c.writtenBytes, c.reservedBytes)
	})
	checks.That(c.lastSegment < s.segmentNumber && c.durable <= s.durable, "compaction: a snapshot covers sealed segments and durable records only", func() string {
		return fmt.Sprintf("snapshot up to segment %d and record %d; open segment %d, durable up to record %d",
			c.lastSegment, c.durable, s.segmentNumber, s.durable)
	})
}
