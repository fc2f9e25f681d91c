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

// TestBrokenInvariantsAreReported breaks the state for each invariant of the store; without a break none is reported.
func TestBrokenInvariantsAreReported(t *testing.T) {
	t.Parallel()
	for want, breaks := range map[string]func(s *Store){
		"": func(*Store) {},
		"store: what was acknowledged is what is durable": func(s *Store) { s.sequence++ },
		"store: the segment that is written is replaced by nothing": func(s *Store) {
			s.replaceable = append(s.replaceable, segmentName(s.segmentNumber))
		},
		"store: it stays within its bound":                                     func(s *Store) { s.totalBytes += 2 << 20 },
		"store: what is live is counted":                                       func(s *Store) { s.liveBytes++ },
		"store: its files' sizes are counted":                                  func(s *Store) { s.segmentBytes++ },
		"compaction: every file is written, to be replaced, or being replaced": func(s *Store) { s.fileBytes["stray"] = 0 },
		"compaction: a snapshot is no larger than was reserved":                func(s *Store) { s.checkCompacted(&compaction{writtenBytes: 1 << 20}) },
		"compaction: a snapshot is of what was before":                         func(s *Store) { s.checkCompacted(&compaction{lastSegment: 1 << 40}) },
		"store: the index has its keys in order, each once": func(s *Store) {
			other := btree.NewG(indexDegree, func(a, b item) bool { return a.key > b.key })
			s.index.Ascend(func(x item) bool { other.ReplaceOrInsert(x); return true })
			s.index = other
		},
	} {
		s, _, err := Open(Options{FS: Dir(t.TempDir()), SegmentBytes: 500, MaxBytes: 1 << 20})
		if err != nil {
			t.Fatal(err)
		}
		for i := range 40 {
			if err := appendAndWait(t, s, Entry{Key: fmt.Sprint("k", i%9), Value: []byte(strings.Repeat("v", i))}); err != nil {
				t.Fatal(err)
			}
		}
		if err := s.Close(); err != nil { // the writer has ended, and the test may change its state
			t.Fatal(err)
		}
		s.options.Checks, s.options.BatchesPerWalk = invariant.New(nil), 1
		breaks(s)
		s.checkInvariants()
		broken := s.options.Checks.Breaches()
		if found := len(broken) > 0; found != (want != "") || found && broken[0].Name != want {
			t.Errorf("%q: %v", want, broken)
		}
	}
}

// TestMemoryBoundRejectsWhatTakesMore checks that beyond the bound on memory nothing is taken that takes more, that deletions are and free
// memory, and that a store opened with a lower bound keeps what it has.
func TestMemoryBoundRejectsWhatTakesMore(t *testing.T) {
	t.Parallel()
	dir := Dir(t.TempDir())
	most := MemoryUse(10, 10*102)
	s, _, err := Open(Options{FS: dir, MaxMemory: most, Checks: invariant.Test(t), BatchesPerWalk: 1})
	if err != nil {
		t.Fatal(err)
	}
	put := func(i int) Entry { return Entry{Key: fmt.Sprintf("%02d", i), Value: make([]byte, 100)} }
	for i := range 10 {
		if err := appendAndWait(t, s, put(i)); err != nil {
			t.Fatal(i, err)
		}
	}
	for _, x := range []struct {
		entries []Entry
		want    error
	}{
		{[]Entry{put(10)}, ErrFull},
		{[]Entry{put(3)}, nil}, // in place of as much
		{[]Entry{{Key: "03", Value: make([]byte, 101)}}, ErrFull},
		{[]Entry{{Key: "04", Deleted: true}, put(11)}, nil},
		{[]Entry{put(12)}, ErrFull},
		{[]Entry{{Key: "05", Deleted: true}}, nil},
		{[]Entry{put(12)}, nil},
	} {
		if err := appendAndWait(t, s, x.entries...); !errors.Is(err, x.want) {
			t.Errorf("%v: %v", x.entries[0].Key, err)
		}
	}
	var errs [4]error // in one batch, room is promised once
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
		t.Errorf("%d of 4 were rejected; there was space for one", full)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	s, rec, err := Open(Options{FS: dir, MaxMemory: most / 2})
	if err != nil || rec.Records != 10 || rec.DurationMs <= 0 {
		t.Fatal(rec, err)
	}
	if err := appendAndWait(t, s, put(30)); !errors.Is(err, ErrFull) {
		t.Error(err)
	}
	if err := errors.Join(appendAndWait(t, s, Entry{Key: "01", Deleted: true}), s.Close()); err != nil {
		t.Error(err)
	}
}
