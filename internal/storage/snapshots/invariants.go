package snapshots

import (
	"bytes"
	"fmt"
	"slices"
)

// maxListedKeys is the maximum number of keys that a check visits.
const maxListedKeys = 8

// checkInvariants checks the invariants that hold once a value has been stored.
func (k *Keeper) checkInvariants(kind string, record *Record) {
	checks := k.options.Checks
	if !checks.Enabled() {
		return
	}
	value, found := k.store.Get(kind)
	stored, err := decode(value)
	isStored := found && err == nil && stored.equals(record)
	checks.That(isStored, "snapshots: a stored value reads back unchanged", func() string {
		return fmt.Sprintf("%s: found %v, %v, %d bytes; body of %d bytes", kind, found, err, len(value), len(record.Body))
	})
	listed := 0
	k.store.Range("", "", func(key string, _ []byte) bool {
		listed++
		checks.That(slices.Contains(kinds(), key), "snapshots: the store has no unknown keys", func() string { return fmt.Sprintf("%q", key) })
		return listed < maxListedKeys
	})
	k.mu.Lock()
	waiting := len(k.waiting)
	k.mu.Unlock()
	checks.That(waiting <= len(kinds()), "snapshots: at most one value of each kind is pending", func() string {
		return fmt.Sprint(waiting, " pending")
	})
}

func (r *Record) equals(other *Record) bool {
	return r.SavedMs == other.SavedMs && r.Source == other.Source && bytes.Equal(r.Body, other.Body)
}
