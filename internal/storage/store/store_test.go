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

// step is a step of a history: entries that are appended together, or a compaction.
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
	m := map[string]string{}
	snap := func() {
		c := map[string]string{}
		for k, v := range m {
			c[k] = v
		}
		out = append(out, c)
	}
	snap()
	for _, a := range steps {
		for _, e := range a.entries {
			if delete(m, e.Key); !e.Deleted {
				m[e.Key] = string(e.Value)
			}
		}
		snap()
	}
	return out
}

// panicOnBreach returns checks that panic at a breach, for the writer's goroutine.
func panicOnBreach() *invariant.Checks {
	return invariant.New(func(b invariant.Breach) { panic(b.String()) })
}

// runHistory takes the steps of a history one after another, up to an error, and returns how many were acknowledged, and how many requested.
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

// matchingPrefix returns how many steps of a history lead to these records, between two numbers, -1 for none.
func matchingPrefix(got map[string]string, all []map[string]string, from, to int) int {
	for n := to; n >= from; n-- {
		if cmp.Equal(got, all[n]) {
			return n
		}
	}
	return -1
}

// TestAcknowledgedRecordsSurviveALossOfPower loses power at every operation of a history with compactions, whatever of the unsynced bytes and
// names stays: the store has all that was acknowledged and nothing that was not appended, and goes on from there. The same where only the
// process ends.
func TestAcknowledgedRecordsSurviveALossOfPower(t *testing.T) {
	steps := scriptedHistory()
	all := statesAfter(steps)
	undisturbed := faultyfs.New()
	if acknowledged, _ := runHistory(undisturbed, steps); acknowledged != len(steps) {
		t.Fatalf("%d of %d", acknowledged, len(steps))
	}
	ops, _ := undisturbed.Ops()
	where := map[string]int{}
	for at := 1; at <= ops; at++ {
		for variant := range 12 {
			rng := rand.New(rand.NewPCG(uint64(at), uint64(variant)))
			d := faultyfs.New()
			d.CrashAt = at
			acknowledged, requested := runHistory(d, steps)
			if variant == 0 {
				_, what := d.Ops()
				where[what]++
			}
			next := d.Restart(rng, variant > 0)
			s, _, err := store.Open(store.Options{FS: next, SegmentBytes: 700})
			if err != nil {
				t.Fatalf("operation %d, variant %d: %v", at, variant, err)
			}
			got := recordsOf(s)
			n := matchingPrefix(got, all, acknowledged, requested)
			if n < 0 {
				t.Fatalf("operation %d, variant %d: %d acknowledged of %d requested, and it holds %v", at, variant, acknowledged, requested, got)
			}
			done := make(chan error, 1)
			s.Append([]store.Entry{{Key: "after", Value: []byte("all")}}, func(err error) { done <- err })
			if err := errors.Join(<-done, s.Close()); err != nil {
				t.Fatal(err)
			}
			last, _, err := store.Open(store.Options{FS: next.Restart(rng, true)})
			if err != nil {
				t.Fatalf("operation %d, variant %d, the second time: %v", at, variant, err)
			}
			got["after"] = "all"
			if diff := cmp.Diff(got, recordsOf(last)); diff != "" {
				t.Fatalf("operation %d, variant %d, the second time: %s", at, variant, diff)
			}
			_ = last.Close()
		}
	}
	t.Logf("%d operations: %v", ops, where)
	for _, what := range []string{"create", "write", "sync", "rename", "remove", "sync folder"} {
		if where[what] == 0 {
			t.Errorf("power was never lost at %q", what)
		}
	}
}

// TestDamageIsFoundAtEveryByte cuts each file at every offset and flips each of its bytes: the store opens with a prefix of what it held, or
// fails with ErrCorrupt. Only the end of the newest segment may be missing without that.
func TestDamageIsFoundAtEveryByte(t *testing.T) {
	steps := scriptedHistory()
	all := statesAfter(steps)
	d := faultyfs.New()
	if acknowledged, _ := runHistory(d, steps); acknowledged != len(steps) {
		t.Fatal(acknowledged)
	}
	files := d.Files()
	names := slices.Sorted(func(yield func(string) bool) {
		for n := range files {
			if !yield(n) {
				return
			}
		}
	})
	opened, refused := 0, 0
	try := func(name string, b []byte, what string) {
		c := faultyfs.New()
		for n, x := range files {
			c.Set(n, x)
		}
		c.Set(name, b)
		s, rec, err := store.Open(store.Options{FS: c})
		if err != nil {
			if refused++; !errors.Is(err, store.ErrCorrupt) {
				t.Fatalf("%s %s: %v", name, what, err)
			}
			return
		}
		opened++
		n := matchingPrefix(recordsOf(s), all, 0, len(steps))
		if n < 0 || n < len(steps) && rec.DroppedBytes == 0 && !strings.HasPrefix(what, "cut") { // a cut between frames looks like an end
			t.Fatalf("%s %s: it holds %d steps, %+v", name, what, n, rec)
		}
		if name != names[len(names)-1] && n < len(steps) {
			t.Fatalf("%s %s: an older file is damaged, and %d of %d steps are there without an error", name, what, n, len(steps))
		}
		_ = s.Close()
	}
	for _, name := range names {
		b := files[name]
		for at := range b {
			try(name, b[:at], fmt.Sprint("cut at ", at))
			flipped := slices.Clone(b)
			flipped[at] ^= 1 << (at % 8)
			try(name, flipped, fmt.Sprintf("flipped at %d", at))
		}
	}
	t.Logf("%d files; opened %d, rejected %d", len(files), opened, refused)
	if opened == 0 || refused == 0 {
		t.Errorf("opened %d, refused %d", opened, refused)
	}
	for _, name := range names { // without one file
		c := faultyfs.New()
		for n, x := range files {
			if n != name {
				c.Set(n, x)
			}
		}
		if s, _, err := store.Open(store.Options{FS: c}); err == nil {
			if n := matchingPrefix(recordsOf(s), all, 0, len(steps)); n < len(steps) && name != names[len(names)-1] {
				t.Errorf("without %s it holds the first %d steps, without an error", name, n)
			}
			_ = s.Close()
		}
	}
}

// TestRepairKeepsWhatCanBeRead checks that a repair copies what can be read of a damaged store and reports each part that was left out, and
// that the store itself stays as it was.
func TestRepairKeepsWhatCanBeRead(t *testing.T) {
	steps := scriptedHistory()
	d := faultyfs.New()
	if acknowledged, _ := runHistory(d, steps); acknowledged != len(steps) {
		t.Fatal(acknowledged)
	}
	last := statesAfter(steps)[len(steps)]
	for name, b := range d.Files() {
		for at := 16; at < len(b); at += 41 {
			c := faultyfs.New()
			for n, x := range d.Files() {
				c.Set(n, x)
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
				t.Fatalf("%s, byte %d: %d kept, %+v, %v", name, at, kept, lost, err)
			}
			if diff := cmp.Diff(before, c.Files()); diff != "" {
				t.Fatalf("%s, byte %d: the damaged store was changed: %s", name, at, diff)
			}
			s, _, err := store.Open(store.Options{FS: copied})
			if err != nil {
				t.Fatal(err)
			}
			same := 0
			for k, v := range recordsOf(s) {
				if last[k] == v {
					same++
				}
			}
			if same < len(last)-2 { // one frame is lost, of two entries at most
				t.Fatalf("%s, byte %d: %d of %d are as they were", name, at, same, len(last))
			}
			_ = s.Close()
		}
	}
	files, err := store.Inspect(d)
	if err != nil || len(files) == 0 {
		t.Fatal(err)
	}
	for _, f := range files {
		if f.ReadUpTo != f.Bytes || f.Frames == 0 {
			t.Errorf("%+v", f)
		}
	}
}

// TestFailedOperationsLoseNothingAcknowledged fails each operation once: nothing acknowledged is lost, nothing is acknowledged after a failed
// sync, and the next start has all that was.
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
				t.Fatalf("operation %d: %v", at, err)
			}
			if matchingPrefix(recordsOf(s), all, acknowledged, requested) < 0 {
				t.Fatalf("operation %d: %d acknowledged of %d, and it holds %v", at, acknowledged, requested, recordsOf(s))
			}
			_ = s.Close()
		}
	}
}

// TestFullDiskLosesNothingAcknowledged checks that with less and less space what was acknowledged is there, and that with a bound on its own
// size a store says that it is full before anything is lost, and dead records free space.
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
			t.Fatalf("room for %d: %v", room, err)
		}
		if matchingPrefix(recordsOf(s), all, acknowledged, requested) < 0 {
			t.Fatalf("room for %d: %d acknowledged of %d", room, acknowledged, requested)
		}
		_ = s.Close()
	}
	s, _, err := store.Open(store.Options{FS: faultyfs.New(), SegmentBytes: 1000, MaxBytes: 4000})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	one := func(key string) error {
		done := make(chan error, 1)
		s.Append([]store.Entry{{Key: key, Value: make([]byte, 100)}}, func(err error) { done <- err })
		return <-done
	}
	for i := range 300 { // dead records free space
		if err := one("same"); err != nil {
			t.Fatalf("write %d: %v", i, err)
		}
	}
	full := error(nil)
	for i := 0; full == nil && i < 100; i++ {
		full = one(fmt.Sprint("other", i))
	}
	if !errors.Is(full, store.ErrFull) {
		t.Errorf("%v", full)
	}
	if _, ok := s.Get("other0"); !ok {
		t.Error("an acknowledged record is missing")
	}
}

// TestStateMachine compares random histories with crashes, compactions and failures with a map.
func TestStateMachine(t *testing.T) {
	deterministic.Check(t, func(rt *rapid.T) {
		d := faultyfs.New()
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		model := map[string]string{}
		checks := invariant.New(nil)
		open := func() *store.Store {
			s, _, err := store.Open(store.Options{FS: d, SegmentBytes: 300, Checks: checks, BatchesPerWalk: 1})
			if err != nil {
				rt.Fatalf("open: %v", err)
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
					rt.Fatal(err)
				}
				for _, x := range e {
					if delete(model, x.Key); !x.Deleted {
						model[x.Key] = string(x.Value)
					}
				}
			},
			"compact": func(rt *rapid.T) {
				done := make(chan error, 1)
				s.Compact(func(err error) { done <- err })
				if err := <-done; err != nil {
					rt.Fatal(err)
				}
			},
			"crash": func(rt *rapid.T) {
				_ = s.Close()
				if broken := checks.Breaches(); broken != nil {
					rt.Fatal(broken)
				}
				d = d.Restart(rng, rapid.Bool().Draw(rt, "power"))
				s = open()
			},
			"": func(rt *rapid.T) {
				if diff := cmp.Diff(model, recordsOf(s)); diff != "" {
					rt.Fatal(diff)
				}
			},
		})
		_ = s.Close()
		if broken := checks.Breaches(); broken != nil {
			rt.Fatal(broken)
		}
	})
}

// TestConcurrentAppendsShareSyncs checks that concurrent appends share syncs, that each is called back once, when what it wrote can be read,
// that a second process gets ErrLocked, and that a Range sees the store as it was.
func TestConcurrentAppendsShareSyncs(t *testing.T) {
	d := faultyfs.New()
	s, _, err := store.Open(store.Options{FS: d})
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := store.Open(store.Options{FS: d}); !errors.Is(err, store.ErrLocked) {
		t.Errorf("a second process: %v", err)
	}
	before, _ := d.Ops()
	var wg sync.WaitGroup
	var mu sync.Mutex
	told := map[int]int{}
	for i := range 400 {
		wg.Add(1)
		s.Append([]store.Entry{{Key: fmt.Sprint("k", i), Value: []byte("v")}}, func(err error) {
			defer wg.Done()
			if _, ok := s.Get(fmt.Sprint("k", i)); err != nil || !ok {
				t.Errorf("%d: %v %v", i, err, ok)
			}
			mu.Lock()
			told[i]++
			mu.Unlock()
		})
	}
	wg.Wait()
	after, _ := d.Ops()
	if len(told) != 400 || after-before > 2*400 {
		t.Errorf("%d were called back, with %d operations", len(told), after-before)
	}
	n := 0
	s.Range("k1", "k2", func(k string, _ []byte) bool {
		if n++; n == 1 {
			done := make(chan error, 1)
			s.Append([]store.Entry{{Key: "k15", Deleted: true}, {Key: "k1x", Value: []byte("new")}}, func(err error) { done <- err })
			if err := <-done; err != nil {
				t.Error(err)
			}
		}
		return true
	})
	if n != 111 { // k1, k10 to k19, k100 to k199
		t.Errorf("%d in the range", n)
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
	done := make(chan error, 1)
	s.Append(nil, func(err error) { done <- err })
	if err := <-done; !errors.Is(err, store.ErrClosed) {
		t.Errorf("after the end: %v", err)
	}
}
