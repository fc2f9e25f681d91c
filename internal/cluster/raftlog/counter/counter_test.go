package counter

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestEntriesAreCountedOnceAcrossSnapshots applies random entries, some of them twice, and checks that each is counted once, and that a
// counter that is restored from snapshots in between has the same state.
func TestEntriesAreCountedOnceAcrossSnapshots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type id struct {
			name   string
			number uint64
		}
		var c, restored Counter
		seen := map[id]bool{}
		for i := range rapid.IntRange(1, 80).Draw(t, "entries") {
			drawn := id{rapid.SampledFrom([]string{"a", "b"}).Draw(t, "proposer"), rapid.Uint64Range(1, 20).Draw(t, "number")}
			seen[drawn] = true
			entry := EncodeEntry(drawn.name, drawn.number, 3)
			c.Apply(uint64(i+1), entry)
			if rapid.IntRange(0, 5).Draw(t, "restore") > 0 {
				restored.Apply(uint64(i+1), entry)
			} else if err := restored.Restore(c.Snapshot()); err != nil {
				t.Fatalf("restore from a snapshot after %d entries: %v", i+1, err)
			}
			if !c.Has(drawn.name, drawn.number) {
				t.Fatalf("entry %+v is not counted after it was applied", drawn)
			}
		}
		if c.Counted != uint64(len(seen)) || len(c.Numbers()) != len(seen) {
			t.Fatalf("%d entries are counted, with numbers %v, want each of %d different ones once", c.Counted, c.Numbers(), len(seen))
		}
		if diff := cmp.Diff(c.Snapshot(), restored.Snapshot()); diff != "" {
			t.Fatalf("snapshot of the restored counter (-want +got):\n%s", diff)
		}
	})
}

// TestMalformedSnapshotIsAnError checks that a snapshot truncated at any byte is an error, and an empty one is not.
func TestMalformedSnapshotIsAnError(t *testing.T) {
	var c Counter
	c.Apply(1, EncodeEntry("proposer", 3, 0))
	snapshot := c.Snapshot()
	for n := 1; n < len(snapshot); n++ {
		if err := new(Counter).Restore(snapshot[:n]); !errors.Is(err, ErrMalformed) {
			t.Errorf("restore from a snapshot truncated to %d bytes: got error %v, want %v", n, err, ErrMalformed)
		}
	}
	if err := new(Counter).Restore(nil); err != nil {
		t.Errorf("restore from an empty snapshot: got error %v, want none", err)
	}
}

// TestEntryBeyondTheWindowIsNotCounted checks that a number more than Window beyond the contiguous ones is not counted.
func TestEntryBeyondTheWindowIsNotCounted(t *testing.T) {
	var c Counter
	c.Apply(1, EncodeEntry("a", Window, 0))
	c.Apply(2, EncodeEntry("a", Window+1, 0))
	if !c.Has("a", Window) || c.Has("a", Window+1) || c.Counted != 1 {
		t.Errorf("counter is %+v, want number %d counted and %d not", c, Window, Window+1)
	}
}
