package store_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"beechgrade/internal/storage/store"
	"beechgrade/internal/testkit/fake/faultyfs"
)

// hookedDisk is a disk that calls hook before each operation of a compaction, and after a rename.
type hookedDisk struct {
	*faultyfs.Disk
	hook func()
}

type hookedFile struct {
	store.File
	disk *hookedDisk
}

func (d *hookedDisk) Create(name string) (store.File, error) {
	if !strings.HasSuffix(name, ".tmp") {
		return d.Disk.Create(name)
	}
	d.hook()
	f, err := d.Disk.Create(name)
	return hookedFile{f, d}, err
}

func (f hookedFile) Write(p []byte) (int, error) { f.disk.hook(); return f.File.Write(p) }
func (f hookedFile) Sync() error                 { f.disk.hook(); return f.File.Sync() }

func (d *hookedDisk) Rename(from, to string) error {
	d.hook()
	defer d.hook()
	return d.Disk.Rename(from, to)
}

func (d *hookedDisk) Remove(name string) error {
	d.hook()
	return d.Disk.Remove(name)
}

// runDuringCompaction appends the steps of a history, some of them at the operations of two compactions, and reads all records after each. It
// returns how many were acknowledged and requested, and the errors of the compactions.
func runDuringCompaction(t *testing.T, d *faultyfs.Disk, steps []step, all []map[string]string) (acknowledged, requested int, compacted error) {
	disk := &hookedDisk{Disk: d}
	s, _, err := store.Open(store.Options{FS: disk, SegmentBytes: 700, Checks: panicOnBreach(), BatchesPerWalk: 1})
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = s.Close() }()
	broken := false
	next := func() {
		if broken || requested == len(steps) {
			return
		}
		done := make(chan error, 1)
		s.Append(steps[requested].entries, func(err error) { done <- err })
		requested++
		if err := <-done; err != nil {
			broken = true
			return
		}
		acknowledged = requested
		if diff := cmp.Diff(all[acknowledged], recordsOf(s)); diff != "" {
			t.Errorf("records after step %d (-want +got):\n%s", acknowledged, diff)
		}
	}
	disk.hook = next
	for range 18 {
		next()
	}
	for range 2 {
		done := make(chan error, 1)
		s.Compact(func(err error) { done <- err })
		compacted = errors.Join(compacted, <-done)
	}
	for requested < len(steps) && !broken {
		next()
	}
	done := make(chan error, 1)
	s.Compact(func(err error) { done <- err })
	if err := <-done; err == nil && !broken && len(d.Files()) != 2 {
		t.Errorf("after a compaction there are %d files, want 2", len(d.Files()))
	} else {
		compacted = errors.Join(compacted, err)
	}
	return acknowledged, requested, compacted
}

// puts returns a history of appends.
func puts(n int) (out []step) {
	for i := range n {
		e := []store.Entry{{Key: fmt.Sprint("k", i%7), Value: []byte(fmt.Sprint("v", i, strings.Repeat("x", i*5)))}}
		if i%5 == 4 {
			e = append(e, store.Entry{Key: fmt.Sprint("k", (i+3)%7), Deleted: true})
		}
		out = append(out, step{entries: e})
	}
	return out
}

// TestCompactionDoesNotBlockAppends appends and reads during each operation of a compaction, with a power failure or a disk error at each
// operation. The restarted store has every acknowledged step and nothing else, and an error before the rename of the snapshot fails the
// compaction only.
func TestCompactionDoesNotBlockAppends(t *testing.T) {
	steps := puts(60)
	all := statesAfter(steps)
	undisturbed := faultyfs.New()
	if acknowledged, _, err := runDuringCompaction(t, undisturbed, steps, all); acknowledged != len(steps) || err != nil {
		t.Fatalf("undisturbed run: %d of %d steps acknowledged, error %v", acknowledged, len(steps), err)
	}
	ops, _ := undisturbed.Ops()
	onlyCompaction, crashes := 0, 0
	for at := 1; at <= ops; at++ {
		for variant := range 6 {
			d := faultyfs.New()
			if variant < 3 {
				d.CrashAt = at
				crashes++
			} else {
				d.FailAt, d.Err, d.Short = at, []error{syscall.EIO, syscall.ENOSPC, syscall.EROFS}[variant-3], variant == 4
			}
			acknowledged, requested, err := runDuringCompaction(t, d, steps, all)
			if variant >= 3 && err != nil && acknowledged == len(steps) {
				onlyCompaction++
			}
			if variant >= 3 && err == nil && acknowledged == len(steps) {
				t.Errorf("operation %d failed, and no error was returned", at)
			}
			s, _, err := store.Open(store.Options{FS: d.Restart(rand.New(rand.NewPCG(uint64(at), uint64(variant))), variant != 1), SegmentBytes: 700})
			if err != nil {
				t.Fatalf("operation %d, variant %d: open the store again: %v", at, variant, err)
			}
			if matchingPrefix(recordsOf(s), all, acknowledged, requested) < 0 {
				t.Fatalf("operation %d, variant %d: %d steps acknowledged, %d requested; the store has %v", at, variant, acknowledged, requested, recordsOf(s))
			}
			_ = s.Close()
		}
	}
	t.Logf("%d operations, %d crashes; %d errors failed only a compaction", ops, crashes, onlyCompaction)
	if onlyCompaction < 6 {
		t.Errorf("%d errors failed only a compaction, want at least 6", onlyCompaction)
	}
}

// readOnly is a read-only disk.
type readOnly struct{ *faultyfs.Disk }

func (readOnly) Create(string) (store.File, error) { return nil, syscall.EROFS }
func (readOnly) Append(string) (store.File, error) { return nil, syscall.EROFS }
func (readOnly) Truncate(string, int64) error      { return syscall.EROFS }
func (readOnly) Rename(string, string) error       { return syscall.EROFS }
func (readOnly) Remove(string) error               { return syscall.EROFS }
func (readOnly) Sync() error                       { return syscall.EROFS }

// TestReadOnlyDiskIsNoDamage checks that opening a store on a read-only disk fails with the disk's error and not with ErrCorrupt, and that the
// store can be inspected.
func TestReadOnlyDiskIsNoDamage(t *testing.T) {
	d := faultyfs.New()
	steps := scriptedHistory()
	runHistory(d, steps)
	before := d.Files()
	if _, _, err := store.Open(store.Options{FS: readOnly{d}}); !errors.Is(err, syscall.EROFS) || errors.Is(err, store.ErrCorrupt) {
		t.Errorf("open on a read-only disk: error %v, want EROFS and not ErrCorrupt", err)
	}
	s, _, err := store.Open(store.Options{FS: store.ReadOnly{FS: readOnly{d}}})
	if err != nil {
		t.Fatalf("open for reading on a read-only disk: %v", err)
	}
	if diff := cmp.Diff(statesAfter(steps)[len(steps)], recordsOf(s)); diff != "" {
		t.Errorf("records on a read-only disk (-want +got):\n%s", diff)
	}
	_ = s.Close()
	if diff := cmp.Diff(before, d.Files()); diff != "" {
		t.Errorf("files before and after reading (-before +after):\n%s", diff)
	}
}

// TestStoreStaysWithinItsSizeBound checks that a store's files, including a snapshot that is being written, never exceed its size bound. The
// space of dead records is reused, and live records are never discarded.
func TestStoreStaysWithinItsSizeBound(t *testing.T) {
	const maxBytes = 30000
	d := faultyfs.New()
	s, _, err := store.Open(store.Options{FS: d, SegmentBytes: 2000, MaxBytes: maxBytes, Checks: panicOnBreach(), BatchesPerWalk: 1})
	if err != nil {
		t.Fatalf("open the store: %v", err)
	}
	largest := 0
	put := func(key string) error {
		done := make(chan error, 1)
		s.Append([]store.Entry{{Key: key, Value: make([]byte, 100)}}, func(err error) { done <- err })
		err := <-done
		n := 0
		for _, b := range d.Files() {
			n += len(b)
		}
		largest = max(largest, n)
		return err
	}
	for i := range 3000 {
		if err := put(fmt.Sprint("k", i%40)); err != nil {
			t.Fatalf("write %d: %v", i, err)
		}
	}
	acknowledged := 40
	for ; acknowledged < 1000; acknowledged++ {
		if err := put(fmt.Sprint("k", acknowledged)); err != nil {
			if !errors.Is(err, store.ErrFull) {
				t.Fatalf("write %d: error %v, want none or ErrFull", acknowledged, err)
			}
			break
		}
	}
	requested := make(chan error, 1)
	s.Compact(func(err error) { requested <- err })
	if err := <-requested; !errors.Is(err, store.ErrFull) { // there is no space for its snapshot
		t.Errorf("a requested compaction of a full store: error %v, want ErrFull", err)
	}
	t.Logf("at most %d bytes of %d; full with %d records", largest, maxBytes, acknowledged)
	if largest > maxBytes || acknowledged == 1000 || len(recordsOf(s)) != acknowledged || acknowledged*(100+40) < maxBytes/3 {
		t.Errorf("at most %d bytes, bound %d; %d records, %d acknowledged; want as many, fewer than 1000, and a third of the bound used", largest, maxBytes, len(recordsOf(s)), acknowledged)
	}
	_ = s.Close()
}

// TestCompactionRateIsLimited checks that a compaction keeps to its rate limit, that appends are not delayed by it, and that Close does not
// wait for the rate limit.
func TestCompactionRateIsLimited(t *testing.T) {
	s, _, err := store.Open(store.Options{FS: faultyfs.New(), CompactionRate: 200 << 10})
	if err != nil {
		t.Fatalf("open the store: %v", err)
	}
	for i := range 40 {
		s.Append([]store.Entry{{Key: fmt.Sprint("k", i), Value: make([]byte, 10<<10)}}, nil)
	}
	done := make(chan error, 1)
	began := time.Now()
	s.Compact(func(err error) { done <- err })
	for i := range 100 {
		ok := make(chan error, 1)
		s.Append([]store.Entry{{Key: fmt.Sprint("m", i)}}, func(err error) { ok <- err })
		if err := <-ok; err != nil {
			t.Fatalf("append during the compaction: %v", err)
		}
	}
	appendsTook := time.Since(began)
	select {
	case <-done:
		t.Errorf("the compaction wrote 400 KB within %v", appendsTook)
	case <-time.After(300 * time.Millisecond):
	}
	if err := s.Close(); err != nil {
		t.Errorf("close the store: %v", err)
	}
	if err := <-done; err != nil || time.Since(began) > 1500*time.Millisecond || appendsTook > 250*time.Millisecond {
		t.Errorf("compaction: error %v, ended after %v, 100 concurrent appends took %v; want none, at most 1.5 s, at most 250 ms", err, time.Since(began), appendsTook)
	}
}
