package timers

import (
	"fmt"

	"beechgrade/internal/invariant"
)

// Check checks that the timers form a heap, and that each knows its index.
func (h *Heap) Check(checks *invariant.Checks) {
	for i, t := range h.items {
		checks.That(t.index == i, "timers: each knows its index", func() string {
			return fmt.Sprintf("at index %d, recorded as %d", i, t.index)
		})
		if i == 0 {
			continue
		}
		parent := (i - 1) / 2
		checks.That(!h.items.Less(i, parent), "timers: the earliest comes first", func() string {
			above := h.items[parent]
			return fmt.Sprintf("%v (%d) at %d is above %v (%d) at %d", above.dueAt, above.sequence, parent, t.dueAt, t.sequence, i)
		})
	}
}
