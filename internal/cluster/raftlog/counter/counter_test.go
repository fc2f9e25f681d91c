package counter

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestEntriesCountOnceAndSnapshotsKeepThem applies drawn entries, some of them twice: each counts once, and a counter that is restored from
// a snapshot on the way comes to the same checksum.
func TestEntriesCountOnceAndSnapshotsKeepThem(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type id struct {
			name   string
			number uint64
		}
		var c, restored Counter
		seen := map[id]bool{}
		for i := range rapid.IntRange(1, 80).Draw(t, "entries") {
			x := id{rapid.SampledFrom([]string{"a", "b"}).Draw(t, "proposer"), rapid.Uint64Range(1, 20).Draw(t, "number")}
			seen[x] = true
			entry := EncodeEntry(x.name, x.number, 3)
			c.Apply(uint64(i+1), entry)
			if rapid.IntRange(0, 5).Draw(t, "restore") > 0 {
				restored.Apply(uint64(i+1), entry)
			} else if err := restored.Restore(c.Snapshot()); err != nil {
				t.Fatal(err)
			}
			if !c.Has(x.name, x.number) {
				t.Fatalf("%+v is not counted", x)
			}
		}
		if c.Counted != uint64(len(seen)) || len(c.Numbers()) != len(seen) {
			t.Fatalf("counted %d of %d: %v", c.Counted, len(seen), c.Numbers())
		}
		if diff := cmp.Diff(c.Snapshot(), restored.Snapshot()); diff != "" {
			t.Fatal(diff)
		}
	})
}

// TestMalformedSnapshotIsAnError checks that a snapshot that was cut anywhere is an error, but for none at all.
func TestMalformedSnapshotIsAnError(t *testing.T) {
	var c Counter
	c.Apply(1, EncodeEntry("proposer", 3, 0))
	snapshot := c.Snapshot()
	for n := 1; n < len(snapshot); n++ {
		if err := new(Counter).Restore(snapshot[:n]); !errors.Is(err, ErrMalformed) {
			t.Errorf("cut after %d bytes: %v", n, err)
		}
	}
	if err := new(Counter).Restore(nil); err != nil {
		t.Error(err)
	}
}

// TestEntryBeyondTheWindowIsNotCounted checks that a number too far ahead of the first missing one is not counted.
func TestEntryBeyondTheWindowIsNotCounted(t *testing.T) {
	var c Counter
	c.Apply(1, EncodeEntry("a", Window, 0))
	c.Apply(2, EncodeEntry("a", Window+1, 0))
	if !c.Has("a", Window) || c.Has("a", Window+1) || c.Counted != 1 {
		t.Errorf("%+v", c)
	}
}
