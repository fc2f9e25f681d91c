package timers

import (
	"fmt"

	"beechgrade/internal/invariant"
)

// Check states that the heap is one, and that each deadline knows its place.
func (h *Heap) Check(c *invariant.Checks) {
	for i, t := range h.items {
		c.That(t.index == i, "deadlines: each knows its place", func() string { return fmt.Sprintf("at %d, it says %d", i, t.index) })
		if i > 0 {
			up := (i - 1) / 2
			c.That(!h.items.Less(i, up), "deadlines: the earliest comes first", func() string {
				return fmt.Sprintf("%v (%d) at %d is above %v (%d) at %d", h.items[up].at, h.items[up].seq, up, t.at, t.seq, i)
			})
		}
	}
}
