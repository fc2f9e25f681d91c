package slotmap

import (
	"fmt"

	"beechgrade/internal/invariant"
)

// Check checks that each slot is either in use or free, and free only once, so that none leaks and none is used for two values. Reports
// name the owner of the table.
func (t *Table[T]) Check(checks *invariant.Checks, owner string) {
	used := 0
	for i := range t.slots {
		if t.slots[i].inUse {
			used++
		}
	}
	seen := make([]bool, len(t.slots))
	for _, i := range t.free {
		ok := int(i) < len(t.slots) && !t.slots[i].inUse && !seen[i]
		checks.That(ok, owner+": a free slot is not in use, and free only once", func() string {
			return fmt.Sprintf("slot %d of %d", i, len(t.slots))
		})
		if ok {
			seen[i] = true
		}
	}
	checks.That(used == t.used && used+len(t.free) == len(t.slots), owner+": no slot leaks", func() string {
		return fmt.Sprintf("%d slots, %d in use, counted %d, %d free", len(t.slots), used, t.used, len(t.free))
	})
}
