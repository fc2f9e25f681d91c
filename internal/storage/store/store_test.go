package store_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"beechgrade/internal/invariant"
	"beechgrade/internal/storage/store"
	"beechgrade/internal/testkit/deterministic"
	"beechgrade/internal/testkit/fake/faultyfs"
)

// step is one step of a history: entries that are appended atomically, or a compaction.
type step struct {
	entries []store.Entry
	compact bool
}

// scriptedHistory overwrites and deletes keys, fills segments and compacts.
func scriptedHistory() (out []step) {
	for i := range 30 {
		e := []store.Entry{{Key: fmt.Sprint("k", i%7), Value: []byte(fmt.Sprint("v", i, strings.Repeat("x", i*5)))}}
		if i%5 == 4 {
			e = append(e, store.Entry{Key: fmt.Sprint("k", (i+3)%7), Deleted: true})
		}
		out = append(out, step{entries: e})
		if i%11 == 10 {
			out = append(out, step{compact: true})
		}
	}
	return out
}

// statesAfter returns the records of a store after each prefix of a history.
func statesAfter(steps []step) (out []map[string]string) {
	records := map[string]string{}
	appendCopy := func() {
		c := map[string]string{}
		for k, v := range records {
			c[k] = v
		}
		out = append(out, c)
	}
	appendCopy()
	for _, a := range steps {
		for _, e := range a.entries {
			if delete(records, e.Key); !e.Deleted {
				records[e.Key] = string(e.Value)
			}
		}
		appendCopy()
	}
	return out
}

// panicOnBreach returns checks that panic at a breach, for the writer's goroutine.
func panicOnBreach() *invariant.Checks {
	return invariant.New(func(b invariant.Breach) { panic(b.String()) })
}

// runHistory performs the steps of a history in order, up to the first error, and returns how many were acknowledged and how many requested.
func runHistory(d *faultyfs.Disk, steps []step) (acknowledged, requested int) {
	s, _, err := store.Open(store.Options{FS: d, SegmentBytes: 700, Checks: panicOnBreach(), BatchesPerWalk: 1})
	if err != nil {
		return 0, 0
	}
	defer func() { _ = s.Close() }()
	for _, a := range steps {
		requested++
		done := make(chan error, 1)
		if a.compact {
			s.Compact(func(err error) { done <- err })
		} else {
			s.Append(a.entries, func(err error) { done <- err })
		}
		if err := <-done; err != nil {
			return acknowledged, requested
		}
		acknowledged = requested
	}
	return acknowledged, requested
}

func recordsOf(s *store.Store) map[string]string {
	out := map[string]string{}
	s.Range("", "", func(k string, v []byte) bool { out[k] = string(v); return true })
	return out
}

// matchingPrefix returns the highest number of steps, between from and to, after which a store has these records; -1 if there is none.
func matchingPrefix(got map[string]string, all []map[string]string, from, to int) int {
	for n := to; n >= from; n-- {
		if cmp.Equal(got, all[n]) {
			return n
		}
	}
	return -1
}

// TestAcknowledgedRecordsSurviveAPowerFailure loses power at every operation of a history with compactions, and keeps a random part of the
// unsynced bytes and names. The restarted store has every acknowledged record and nothing that was not appended, and accepts new records. The
// same holds if only the process ends.
func TestAcknowledgedRecordsSurviveAPowerFailure(t *testing.T) {
	steps := scriptedHistory()
	all := statesAfter(steps)
	undisturbed := faultyfs.New()
	if acknowledged, _ := runHistory(undisturbed, steps); acknowledged != len(steps) {
		t.Fatalf("acknowledged %d of %d steps, want all", acknowledged, len(steps))
	}
	ops, _ := undisturbed.Ops()
	crashes := map[string]int{} // by operation
	for at := 1; at <= ops; at++ {
		for variant := range 12 {
			rng := rand.New(rand.NewPCG(uint64(at), uint64(variant)))
			d := faultyfs.New()
			d.CrashAt = at
			acknowledged, requested := runHistory(d, steps)
			if variant == 0 {
				_, operation := d.Ops()
				crashes[operation]++
			}
			next := d.Restart(rng, variant > 0)
			s, _, err := store.Open(store.Options{FS: next, SegmentBytes: 700})
			if err != nil {
				t.Fatalf("operation %d, variant %d: open the store again: %v", at, variant, err)
			}
			got := recordsOf(s)
			n := matchingPrefix(got, all, acknowledged, requested)
			if n < 0 {
				t.Fatalf("operation %d, variant %d: %d steps acknowledged, %d requested; the store has %v", at, variant, acknowledged, requested, got)
			}
			done := make(chan error, 1)
			s.Append([]store.Entry{{Key: "after", Value: []byte("all")}}, func(err error) { done <- err })
			if err := errors.Join(<-done, s.Close()); err != nil {
				t.Fatalf("operation %d, variant %d: append and close: %v", at, variant, err)
			}
			last, _, err := store.Open(store.Options{FS: next.Restart(rng, true)})
			if err != nil {
				t.Fatalf("operation %d, variant %d, second restart: %v", at, variant, err)
			}
			got["after"] = "all"
			if diff := cmp.Diff(got, recordsOf(last)); diff != "" {
				t.Fatalf("operation %d, variant %d, second restart: records (-want +got):\n%s", at, variant, diff)
			}
			_ = last.Close()
		}
	}
	t.Logf("%d operations: %v", ops, crashes)
	for _, operation := range []string{"create", "write", "sync", "rename", "remove", "sync folder"} {
		if crashes[operation] == 0 {
			t.Errorf("no power failure at an operation %q", operation)
		}
	}
}

// TestDamageIsDetectedAtEveryByte truncates each file at every offset and flips a bit in each of its bytes: the store opens with a prefix of
// its history, or fails with ErrCorrupt. Only the end of the newest segment may be lost without an error.
func TestDamageIsDetectedAtEveryByte(t *testing.T) {
	steps := scriptedHistory()
	all := statesAfter(steps)
	d := faultyfs.New()
	if acknowledged, _ := runHistory(d, steps); acknowledged != len(steps) {
		t.Fatalf("acknowledged %d of %d steps, want all", acknowledged, len(steps))
	}
	files := d.Files()
	names := slices.Sorted(func(yield func(string) bool) {
		for n := range files {
			if !yield(n) {
				return
			}
		}
	})
	opened, rejected := 0, 0
	openWith := func(name string, b []byte, damage string) {
		c := faultyfs.New()
		for n, content := range files {
			c.Set(n, content)
		}
		c.Set(name, b)
		s, rec, err := store.Open(store.Options{FS: c})
		if err != nil {
			if rejected++; !errors.Is(err, store.ErrCorrupt) {
				t.Fatalf("%s %s: error %v, want ErrCorrupt", name, damage, err)
			}
			return
		}
		opened++
		n := matchingPrefix(recordsOf(s), all, 0, len(steps))
		if n < 0 || n < len(steps) && rec.DroppedBytes == 0 && !strings.HasPrefix(damage, "cut") { // a cut between two frames looks like the end of the file
			t.Fatalf("%s %s: the store has the first %d of %d steps, recovery %+v; want a prefix, with dropped bytes if it is shorter", name, damage, n, len(steps), rec)
		}
		if name != names[len(names)-1] && n < len(steps) {
			t.Fatalf("%s %s: damage to an older file: the store opens without an error, with %d of %d steps", name, damage, n, len(steps))
		}
		_ = s.Close()
	}
	for _, name := range names {
		b := files[name]
		for at := range b {
			openWith(name, b[:at], fmt.Sprint("cut at ", at))
			flipped := slices.Clone(b)
			flipped[at] ^= 1 << (at % 8)
			openWith(name, flipped, fmt.Sprintf("flipped at %d", at))
		}
	}
	t.Logf("%d files; opened %d, rejected %d", len(files), opened, rejected)
	if opened == 0 || rejected == 0 {
		t.Errorf("opened %d, rejected %d, want some of each", opened, rejected)
	}
	for _, name := range names { // each file missing in turn
		c := faultyfs.New()
		for n, content := range files {
			if n != name {
				c.Set(n, content)
			}
		}
		if s, _, err := store.Open(store.Options{FS: c}); err == nil {
			if n := matchingPrefix(recordsOf(s), all, 0, len(steps)); n < len(steps) && name != names[len(names)-1] {
				t.Errorf("without %s the store opens without an error, with the first %d steps", name, n)
			}
			_ = s.Close()
		}
	}
}

// TestRepairCopiesReadableRecords checks that a repair copies the readable records of a damaged store, reports the range that it could not
// read, and leaves the damaged store unchanged.
func TestRepairCopiesReadableRecords(t *testing.T) {
	steps := scriptedHistory()
	d := faultyfs.New()
	if acknowledged, _ := runHistory(d, steps); acknowledged != len(steps) {
		t.Fatalf("acknowledged %d of %d steps, want all", acknowledged, len(steps))
	}
	last := statesAfter(steps)[len(steps)]
	for name, b := range d.Files() {
		for at := 16; at < len(b); at += 41 {
			c := faultyfs.New()
			for n, content := range d.Files() {
				c.Set(n, content)
			}
			bad := slices.Clone(b)
			bad[at] ^= 0x10
			c.Set(name, bad)
			before := c.Files()
			if s, _, err := store.Open(store.Options{FS: store.ReadOnly{FS: c}}); err == nil {
				_ = s.Close()
			}
			copied := faultyfs.New()
			kept, lost, err := store.Repair(c, copied)
			if err != nil || len(lost) != 1 || lost[0].Name != name || lost[0].From > at || lost[0].To <= at {
				t.Fatalf("%s, byte %d: %d records copied, lost %+v, error %v; want one lost range, which has the byte", name, at, kept, lost, err)
			}
			if diff := cmp.Diff(before, c.Files()); diff != "" {
				t.Fatalf("%s, byte %d: the damaged store was changed (-before +after):\n%s", name, at, diff)
			}
			s, _, err := store.Open(store.Options{FS: copied})
			if err != nil {
				t.Fatalf("%s, byte %d: open the copy: %v", name, at, err)
			}
			same := 0
			for k, v := range recordsOf(s) {
				if last[k] == v {
					same++
				}
			}
			if same < len(last)-2 { // one frame is lost, which has at most two entries
				t.Fatalf("%s, byte %d: %d of %d records are unchanged, want all but two", name, at, same, len(last))
			}
			_ = s.Close()
		}
	}
	files, err := store.Inspect(d)
	if err != nil || len(files) == 0 {
		t.Fatalf("inspect the store: %d files, error %v", len(files), err)
	}
	for _, f := range files {
		if f.ReadUpTo != f.Bytes || f.Frames == 0 {
			t.Errorf("file %+v is not read to its end, or has no frames", f)
		}
	}
}

// TestFailedOperationsLoseNothingAcknowledged fails each operation once: some step returns an error, and the restarted store has every
// acknowledged step.
func TestFailedOperationsLoseNothingAcknowledged(t *testing.T) {
	steps := scriptedHistory()
	all := statesAfter(steps)
	undisturbed := faultyfs.New()
	runHistory(undisturbed, steps)
	ops, _ := undisturbed.Ops()
	for at := 1; at <= ops; at++ {
		for _, short := range []bool{false, true} {
			d := faultyfs.New()
			d.FailAt, d.Err, d.Short = at, errors.New("input/output error"), short
			acknowledged, requested := runHistory(d, steps)
			if acknowledged == len(steps) {
				t.Errorf("operation %d failed, and no error was returned", at)
			}
			next := d.Restart(rand.New(rand.NewPCG(uint64(at), 1)), true)
			s, _, err := store.Open(store.Options{FS: next})
			if err != nil {
				t.Fatalf("operation %d: open the store again: %v", at, err)
			}
			if matchingPrefix(recordsOf(s), all, acknowledged, requested) < 0 {
				t.Fatalf("operation %d: %d steps acknowledged, %d requested; the store has %v", at, acknowledged, requested, recordsOf(s))
			}
			_ = s.Close()
		}
	}
}

// TestFullDiskLosesNothingAcknowledged checks that acknowledged records survive on disks that fill up at different points. A store with a size
// bound frees the space of dead records, and fails with ErrFull before it loses a live one.
func TestFullDiskLosesNothingAcknowledged(t *testing.T) {
	steps := scriptedHistory()
	all := statesAfter(steps)
	for room := 20; room < 4000; room += 37 {
		d := faultyfs.New()
		d.Room = room
		acknowledged, requested := runHistory(d, steps)
		next := d.Restart(rand.New(rand.NewPCG(uint64(room), 1)), true)
		s, _, err := store.Open(store.Options{FS: next})
		if err != nil {
			t.Fatalf("disk of %d bytes: open the store again: %v", room, err)
		}
		if matchingPrefix(recordsOf(s), all, acknowledged, requested) < 0 {
			t.Fatalf("disk of %d bytes: the store's records match no step from the %d acknowledged to the %d requested", room, acknowledged, requested)
		}
		_ = s.Close()
	}
	s, _, err := store.Open(store.Options{FS: faultyfs.New(), SegmentBytes: 1000, MaxBytes: 4000})
	if err != nil {
		t.Fatalf("open the store: %v", err)
	}
	defer func() { _ = s.Close() }()
	put := func(key string) error {
		done := make(chan error, 1)
		s.Append([]store.Entry{{Key: key, Value: make([]byte, 100)}}, func(err error) { done <- err })
		return <-done
	}
	for i := range 300 { // the space of dead records is reused
		if err := put("same"); err != nil {
			t.Fatalf("write %d: %v", i, err)
		}
	}
	full := error(nil)
	for i := 0; full == nil && i < 100; i++ {
		full = put(fmt.Sprint("other", i))
	}
	if !errors.Is(full, store.ErrFull) {
		t.Errorf("append to a full store: error %v, want ErrFull", full)
	}
	if _, ok := s.Get("other0"); !ok {
		t.Error("an acknowledged record is missing")
	}
}

// TestStoreMatchesAMap compares the store with a map over random histories of appends, compactions and crashes.
func TestStoreMatchesAMap(t *testing.T) {
	deterministic.Check(t, func(rt *rapid.T) {
		d := faultyfs.New()
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		model := map[string]string{}
		checks := invariant.New(nil)
		open := func() *store.Store {
			s, _, err := store.Open(store.Options{FS: d, SegmentBytes: 300, Checks: checks, BatchesPerWalk: 1})
			if err != nil {
				rt.Fatalf("open the store: %v", err)
			}
			return s
		}
		s := open()
		rt.Repeat(map[string]func(*rapid.T){
			"append": func(rt *rapid.T) {
				var e []store.Entry
				for range rapid.IntRange(1, 3).Draw(rt, "entries") {
					e = append(e, store.Entry{
						Key:     rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(rt, "key"),
						Value:   []byte(rapid.StringN(0, 90, -1).Draw(rt, "value")),
						Deleted: rapid.IntRange(0, 3).Draw(rt, "deleted") == 0,
					})
				}
				done := make(chan error, 1)
				s.Append(e, func(err error) { done <- err })
				if err := <-done; err != nil {
					rt.Fatalf("append: %v", err)
				}
				for _, entry := range e {
					if delete(model, entry.Key); !entry.Deleted {
						model[entry.Key] = string(entry.Value)
					}
				}
			},
			"compact": func(rt *rapid.T) {
				done := make(chan error, 1)
				s.Compact(func(err error) { done <- err })
				if err := <-done; err != nil {
					rt.Fatalf("compact: %v", err)
				}
			},
			"crash": func(rt *rapid.T) {
				_ = s.Close()
				if broken := checks.Breaches(); broken != nil {
					rt.Fatalf("breaches: %v, want none", broken)
				}
				d = d.Restart(rng, rapid.Bool().Draw(rt, "power"))
				s = open()
			},
			"": func(rt *rapid.T) {
				if diff := cmp.Diff(model, recordsOf(s)); diff != "" {
					rt.Fatalf("records (-model +store):\n%s", diff)
				}
			},
		})
		_ = s.Close()
		if broken := checks.Breaches(); broken != nil {
			rt.Fatalf("breaches: %v, want none", broken)
		}
	})
}

// TestConcurrentAppendsShareSyncs checks that concurrent appends share syncs, and that each is called back once, after its entries can be read.
// Also a second process gets ErrLocked, and a Range iterates over the state at its call.
func TestConcurrentAppendsShareSyncs(t *testing.T) {
	d := faultyfs.New()
	s, _, err := store.Open(store.Options{FS: d})
	if err != nil {
		t.Fatalf("open the store: %v", err)
	}
	if _, _, err := store.Open(store.Options{FS: d}); !errors.Is(err, store.ErrLocked) {
		t.Errorf("open by a second process: error %v, want ErrLocked", err)
	}
	before, _ := d.Ops()
	var wg sync.WaitGroup
	var mu sync.Mutex
	calls := map[int]int{} // callbacks by append
	for i := range 400 {
		wg.Add(1)
		s.Append([]store.Entry{{Key: fmt.Sprint("k", i), Value: []byte("v")}}, func(err error) {
			defer wg.Done()
			if _, ok := s.Get(fmt.Sprint("k", i)); err != nil || !ok {
				t.Errorf("append %d: error %v, readable at its callback: %v", i, err, ok)
			}
			mu.Lock()
			calls[i]++
			mu.Unlock()
		})
	}
	wg.Wait()
	after, _ := d.Ops()
	if len(calls) != 400 || after-before > 2*400 {
		t.Errorf("%d appends were called back, with %d operations; want 400 and at most 800", len(calls), after-before)
	}
	n := 0
	s.Range("k1", "k2", func(k string, _ []byte) bool {
		if n++; n == 1 {
			done := make(chan error, 1)
			s.Append([]store.Entry{{Key: "k15", Deleted: true}, {Key: "k1x", Value: []byte("new")}}, func(err error) { done <- err })
			if err := <-done; err != nil {
				t.Errorf("append during a Range: %v", err)
			}
		}
		return true
	})
	if n != 111 { // k1, k10 to k19, k100 to k199
		t.Errorf("%d keys in the range, want 111", n)
	}
	if err := s.Close(); err != nil {
		t.Errorf("close the store: %v", err)
	}
	done := make(chan error, 1)
	s.Append(nil, func(err error) { done <- err })
	if err := <-done; !errors.Is(err, store.ErrClosed) {
		t.Errorf("append after Close: error %v, want ErrClosed", err)
	}
}
