package snapshots

import (
	"bytes"
	"fmt"
	"slices"
)

// maxListedKeys bounds the keys that a check looks at.
const maxListedKeys = 8

// checkInvariants states what holds once a value has been stored.
func (k *Keeper) checkInvariants(kind string, record *Record) {
	checks := k.options.Checks
	if !checks.Enabled() {
		return
	}
	value, found := k.store.Get(kind)
	stored, err := decode(value)
	isStored := found && err == nil && stored.equals(record)
	checks.That(isStored, "kept: a value is there as it was kept", func() string {
		return fmt.Sprintf("%s: there %v, %v, %d bytes of %d", kind, found, err, len(value), len(record.Body))
	})
	listed := 0
	k.store.Range("", "", func(key string, _ []byte) bool {
		listed++
		checks.That(slices.Contains(kinds(), key), "kept: nothing else is there", func() string { return fmt.Sprintf("%q", key) })
		return listed < maxListedKeys
	})
	k.mu.Lock()
	waiting := len(k.waiting)
	k.mu.Unlock()
	checks.That(waiting <= len(kinds()), "kept: one value of each kind waits at most", func() string {
		return fmt.Sprint(waiting, " wait")
	})
}

func (r *Record) equals(other *Record) bool {
	return r.SavedMs == other.SavedMs && r.Source == other.Source && bytes.Equal(r.Body, other.Body)
}
