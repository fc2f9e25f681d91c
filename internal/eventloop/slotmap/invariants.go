package slotmap

import (
	"fmt"

	"beechgrade/internal/invariant"
)

// Check states that each slot is either in use or free, and free once: none leaks, and none is used twice.
func (t *Table[T]) Check(c *invariant.Checks, whose string) {
	used := 0
	for i := range t.slots {
		if t.slots[i].inUse {
			used++
		}
	}
	seen := make([]bool, len(t.slots))
	for _, i := range t.free {
		ok := int(i) < len(t.slots) && !t.slots[i].inUse && !seen[i]
		c.That(ok, whose+": a slot that is free is not in use, and free once", func() string { return fmt.Sprintf("slot %d of %d", i, len(t.slots)) })
		if ok {
			seen[i] = true
		}
	}
	c.That(used == t.used && used+len(t.free) == len(t.slots), whose+": no slot leaks", func() string {
		return fmt.Sprintf("%d slots, %d in use, counted %d, %d free", len(t.slots), used, t.used, len(t.free))
	})
}
