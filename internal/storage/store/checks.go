package store

import (
	"fmt"
	"slices"

	"beechgrade/internal/invariant"
)

// checkInvariants states what holds between two batches. It is the writer's, and so are the checks.
func (s *Store) checkInvariants() {
	c := s.options.Checks
	if !c.Enabled() || s.diskFailure() != nil {
		return
	}
	c.That(s.sequence == s.durable, "store: what was acknowledged is what is durable", func() string { return fmt.Sprintf("%d kept, %d durable", s.sequence, s.durable) })
	c.That(!slices.Contains(s.replaceable, segmentName(s.segmentNumber)), "store: the segment that is written is replaced by nothing", func() string {
		return fmt.Sprintf("segment %d of %v", s.segmentNumber, s.replaceable)
	})
	c.That(s.options.MaxBytes <= 0 || s.reservedBytes() <= max(s.options.MaxBytes, s.bytesAtOpen), "store: it stays within its bound", func() string {
		return fmt.Sprintf("%d bytes of %d, and %d were found", s.reservedBytes(), s.options.MaxBytes, s.bytesAtOpen)
	})
	c.Walk(&s.batchesSinceWalk, max(1, s.options.BatchesPerWalk), "store: a walk over all that there is", func(c *invariant.Checks) { s.walk(c) })
}

// walk counts anew what is counted as it changes.
func (s *Store) walk(c *invariant.Checks) {
	s.mu.Lock()
	live, payload, records, last, sorted := int64(0), int64(0), 0, "", true
	s.index.Ascend(func(x item) bool {
		sorted = sorted && (records == 0 || last < x.key)
		live += int64(frameHeaderBytes + entryHeaderBytes + len(x.key) + len(x.value))
		payload += int64(len(x.key) + len(x.value))
		records, last = records+1, x.key
		return true
	})
	s.mu.Unlock()
	c.That(live == s.liveBytes && payload == s.payloadBytes, "store: what is live is counted", func() string {
		return fmt.Sprintf("%d and %d bytes in %d records, counted %d and %d", live, payload, records, s.liveBytes, s.payloadBytes)
	})
	c.That(sorted && records == s.index.Len(), "store: the index has its keys in order, each once", func() string {
		return fmt.Sprintf("%d records seen of %d, the last %q", records, s.index.Len(), last)
	})
	total := int64(0)
	for _, n := range s.fileBytes {
		total += n
	}
	c.That(total == s.totalBytes && s.fileBytes[segmentName(s.segmentNumber)] == s.segmentBytes, "store: its files' sizes are counted", func() string {
		return fmt.Sprintf("%v: %d bytes, counted %d; segment %d has %d", s.fileBytes, total, s.totalBytes, s.segmentNumber, s.segmentBytes)
	})
	want := 1 + len(s.replaceable)
	if s.compacting != nil {
		want += len(s.compacting.replaced)
	}
	c.That(len(s.fileBytes) == want, "compaction: every file is written, to be replaced, or being replaced", func() string {
		return fmt.Sprintf("%v; written %d, to be replaced %v, beside %v", s.fileBytes, s.segmentNumber, s.replaceable, s.compacting != nil)
	})
}

// checkCompacted states what holds once a compaction has replaced its files.
func (s *Store) checkCompacted(b *compaction) {
	c := s.options.Checks
	if !c.Enabled() {
		return
	}
	c.That(b.writtenBytes <= b.reservedBytes+fileHeaderBytes+frameHeaderBytes, "compaction: a snapshot is no larger than was reserved", func() string {
		return fmt.Sprintf("%d bytes, reserved %d", b.writtenBytes, b.reservedBytes)
	})
	c.That(b.lastSegment < s.segmentNumber && b.durable <= s.durable, "compaction: a snapshot is of what was before", func() string {
		return fmt.Sprintf("up to segment %d and record %d, while segment %d is written and %d durable", b.lastSegment, b.durable, s.segmentNumber, s.durable)
	})
}
