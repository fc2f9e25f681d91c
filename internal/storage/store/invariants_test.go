package store

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/btree"

	"beechgrade/internal/invariant"
)

func appendAndWait(t *testing.T, s *Store, e ...Entry) error {
	t.Helper()
	done := make(chan error, 1)
	s.Append(e, func(err error) { done <- err })
	return <-done
}

// TestBrokenInvariantsAreReported breaks each invariant of the store in turn and expects its report. An intact state reports none.
func TestBrokenInvariantsAreReported(t *testing.T) {
	t.Parallel()
	for want, breaks := range map[string]func(s *Store){
		"": func(*Store) {},
		"store: the last written record is durable": func(s *Store) { s.sequence++ },
		"store: the open segment is not replaceable": func(s *Store) {
			s.replaceable = append(s.replaceable, segmentName(s.segmentNumber))
		},
		"store: its files stay within their size bound":                          func(s *Store) { s.totalBytes += 2 << 20 },
		"store: live bytes are counted correctly":                                func(s *Store) { s.liveBytes++ },
		"store: file sizes are counted correctly":                                func(s *Store) { s.segmentBytes++ },
		"compaction: every file is open, replaceable or being replaced":          func(s *Store) { s.fileBytes["stray"] = 0 },
		"compaction: a snapshot is no larger than its reservation":               func(s *Store) { s.checkCompacted(&compaction{writtenBytes: 1 << 20}) },
		"compaction: a snapshot covers sealed segments and durable records only": func(s *Store) { s.checkCompacted(&compaction{lastSegment: 1 << 40}) },
		"store: the keys of the index are sorted and unique": func(s *Store) {
			other := btree.NewG(indexDegree, func(a, b item) bool { return a.key > b.key })
			s.index.Ascend(func(x item) bool { other.ReplaceOrInsert(x); return true })
			s.index = other
		},
	} {
		s, _, err := Open(Options{FS: Dir(t.TempDir()), SegmentBytes: 500, MaxBytes: 1 << 20})
		if err != nil {
			t.Fatalf("open the store: %v", err)
		}
		for i := range 40 {
			if err := appendAndWait(t, s, Entry{Key: fmt.Sprint("k", i%9), Value: []byte(strings.Repeat("v", i))}); err != nil {
				t.Fatalf("append entry %d: %v", i, err)
			}
		}
		if err := s.Close(); err != nil { // the writer has ended, so the test may change its state
			t.Fatalf("close the store: %v", err)
		}
		s.options.Checks, s.options.BatchesPerWalk = invariant.New(nil), 1
		breaks(s)
		s.checkInvariants()
		broken := s.options.Checks.Breaches()
		if found := len(broken) > 0; found != (want != "") || found && broken[0].Name != want {
			t.Errorf("breaches: %v, want %q first, or none if that is empty", broken, want)
		}
	}
}

// TestMemoryBoundRejectsGrowth checks that a store at its memory bound rejects entries that take more memory, and accepts deletions, which free
// memory. A store that is opened with a lower bound keeps its records.
func TestMemoryBoundRejectsGrowth(t *testing.T) {
	t.Parallel()
	dir := Dir(t.TempDir())
	maxMemory := MemoryUse(10, 10*102)
	s, _, err := Open(Options{FS: dir, MaxMemory: maxMemory, Checks: invariant.Test(t), BatchesPerWalk: 1})
	if err != nil {
		t.Fatalf("open the store: %v", err)
	}
	put := func(i int) Entry { return Entry{Key: fmt.Sprintf("%02d", i), Value: make([]byte, 100)} }
	for i := range 10 {
		if err := appendAndWait(t, s, put(i)); err != nil {
			t.Fatalf("append entry %d: %v", i, err)
		}
	}
	for _, c := range []struct {
		entries []Entry
		want    error
	}{
		{[]Entry{put(10)}, ErrFull},
		{[]Entry{put(3)}, nil}, // replaces a value of the same size
		{[]Entry{{Key: "03", Value: make([]byte, 101)}}, ErrFull},
		{[]Entry{{Key: "04", Deleted: true}, put(11)}, nil},
		{[]Entry{put(12)}, ErrFull},
		{[]Entry{{Key: "05", Deleted: true}}, nil},
		{[]Entry{put(12)}, nil},
	} {
		if err := appendAndWait(t, s, c.entries...); !errors.Is(err, c.want) {
			t.Errorf("append of key %v: error %v, want %v", c.entries[0].Key, err, c.want)
		}
	}
	var errs [4]error // the entries of one batch are not promised the same memory
	_ = appendAndWait(t, s, Entry{Key: "00", Deleted: true})
	done := make(chan int, len(errs))
	for i := range errs {
		s.Append([]Entry{put(20 + i)}, func(err error) { errs[i] = err; done <- i })
	}
	full := 0
	for range errs {
		if errors.Is(errs[<-done], ErrFull) {
			full++
		}
	}
	if full != 3 {
		t.Errorf("%d of 4 appends were rejected, want 3, as there was memory for one", full)
	}
	if err := s.Close(); err != nil {
		t.Fatalf("close the store: %v", err)
	}
	s, rec, err := Open(Options{FS: dir, MaxMemory: maxMemory / 2})
	if err != nil || rec.Records != 10 || rec.DurationMs <= 0 {
		t.Fatalf("open with a lower bound: recovery %+v, error %v; want 10 records and a duration", rec, err)
	}
	if err := appendAndWait(t, s, put(30)); !errors.Is(err, ErrFull) {
		t.Errorf("append above the memory bound: error %v, want ErrFull", err)
	}
	if err := errors.Join(appendAndWait(t, s, Entry{Key: "01", Deleted: true}), s.Close()); err != nil {
		t.Errorf("delete a record and close the store: %v", err)
	}
}
