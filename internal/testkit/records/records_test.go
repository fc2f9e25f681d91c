package records

import (
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"beechgrade/internal/record"
	"beechgrade/internal/record/recordpb"
	"beechgrade/internal/testkit/fake"
)

// collector is a Sink that keeps what it receives.
type collector struct {
	events []record.Event
	faults []Fault
	ends   []bool
}

func (h *collector) Begin(*Run)                    {}
func (h *collector) Event(_ *Run, e *record.Event) { h.events = append(h.events, *e) }
func (h *collector) Fault(f Fault)                 { h.faults = append(h.faults, f) }
func (h *collector) End(_ *Run, ordered bool)      { h.ends = append(h.ends, ordered) }

func read(t testing.TB, paths ...string) (*collector, error) {
	t.Helper()
	set, err := Open(false, paths...)
	if err != nil {
		return nil, err
	}
	h := &collector{}
	return h, set.Read(h)
}

// writeSmallSegment writes a segment of 51 events in several frames, and returns its path and bytes.
func writeSmallSegment(t testing.TB, pack bool) (path string, b []byte) {
	t.Helper()
	dir := t.TempDir()
	opt := record.Options{
		Pooler:       "n1",
		Program:      "t",
		RunStartMs:   1.7e12,
		Classes:      fake.Classes(),
		Files:        record.Dir(dir),
		SegmentBytes: 1 << 20,
		TotalBytes:   1 << 30,
		QueueLength:  8,
		Compress:     pack,
		Log:          slog.New(slog.DiscardHandler),
	}
	record.Write(opt, func(put func(*record.Event)) {
		put(&record.Event{At: 1.7e12, Kind: recordpb.Kind_KIND_START})
		put(&record.Event{At: 1.7e12, Kind: recordpb.Kind_KIND_ENTRY, Server: "s-1", Primary: true, Text: "127.0.0.1:1"})
		for i := range 24 { // in several frames
			at := 1.7e12 + float64(i)
			put(&record.Event{
				At:          at,
				Kind:        recordpb.Kind_KIND_REQUEST,
				Request:     uint64(i + 1),
				Session:     1 << 60,
				ID:          uint64(i) << 50,
				RemainingMs: 200,
			})
			put(&record.Event{
				At:         at,
				Kind:       recordpb.Kind_KIND_ATTEMPT,
				Request:    uint64(i + 1),
				Server:     "s-" + string(rune('1'+i%3)),
				Position:   at - 3,
				DurationMs: 2,
			})
		}
		put(&record.Event{At: 1.7e12 + 24, Kind: recordpb.Kind_KIND_STOP})
	})
	path = filepath.Join(dir, record.SegmentName("n1", 1.7e12, 1))
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return path, b
}

// isPrefix reports whether got is a prefix of want.
func isPrefix(got, want []record.Event) bool {
	return len(got) <= len(want) && cmp.Equal(append([]record.Event{}, got...), append([]record.Event{}, want[:len(got)]...))
}

// TestTruncatedSegmentYieldsPrefixAndFault truncates a segment at every byte. What is read must be a prefix of the complete
// events, never shorter than with fewer bytes, with one fault that reports the truncation.
func TestTruncatedSegmentYieldsPrefixAndFault(t *testing.T) {
	for _, pack := range []bool{false, true} {
		path, b := writeSmallSegment(t, pack)
		whole, err := read(t, path)
		if err != nil || len(whole.faults) > 0 || !whole.ends[0] || len(whole.events) != 51 {
			t.Fatalf("whole: %v, %d events, faults %v", err, len(whole.events), whole.faults)
		}
		most := -1
		for n := range len(b) {
			if err := os.WriteFile(path, b[:n], 0o600); err != nil {
				t.Fatal(err)
			}
			h, err := read(t, path)
			if err != nil {
				if most >= 0 {
					t.Fatalf("cut at %d: %v, though %d events were read from less", n, err, most)
				}
				if !strings.Contains(err.Error(), path) {
					t.Fatalf("cut at %d: the error does not name the file: %v", n, err)
				}
				continue
			}
			if !isPrefix(h.events, whole.events) || len(h.events) < most {
				t.Fatalf("cut at %d: %d events that are not how the whole begins", n, len(h.events))
			}
			if len(h.faults) != 1 || h.ends[0] {
				t.Fatalf("cut at %d: not said once that it is short: %v", n, h.faults)
			}
			most = len(h.events)
		}
		if most != len(whole.events) {
			t.Errorf("without its closing frame %d events are read, not %d", most, len(whole.events))
		}
	}
}

// TestCorruptedByteYieldsPrefixAndFault flips bits of each byte of a segment in turn. Only a prefix of the events may be
// read, and the corruption must be reported as an error or a fault.
func TestCorruptedByteYieldsPrefixAndFault(t *testing.T) {
	for _, pack := range []bool{false, true} {
		path, b := writeSmallSegment(t, pack)
		whole, err := read(t, path)
		if err != nil {
			t.Fatal(err)
		}
		for i := range b {
			for _, bits := range []byte{0x01, 0x80, 0xff} {
				b[i] ^= bits
				if err := os.WriteFile(path, b, 0o600); err != nil {
					t.Fatal(err)
				}
				b[i] ^= bits
				h, err := read(t, path)
				if err != nil {
					continue // refused, and said
				}
				if !isPrefix(h.events, whole.events) {
					t.Fatalf("byte %d with %#x: events that are not how the whole begins", i, bits)
				}
				if len(h.faults) == 0 || h.ends[0] {
					t.Fatalf("byte %d with %#x: nothing is said", i, bits)
				}
			}
		}
	}
}

// TestMissingAndDuplicateSegmentsAreReported checks that missing segments are reported with their time span, that
// a copy of a segment is not read again, and that a start without the first segments counts as rotated.
func TestMissingAndDuplicateSegmentsAreReported(t *testing.T) {
	dir := t.TempDir()
	fake.Day{From: 1.7e12, Poolers: 1, Groups: 2, Members: 3, Requests: 6000, EveryMs: 5}.Write(dir)
	names, _ := filepath.Glob(filepath.Join(dir, "p0", "*"))
	if len(names) < 4 {
		t.Fatalf("%d segments; the test wants four", len(names))
	}
	whole, err := read(t, dir)
	if err != nil || len(whole.faults) > 0 {
		t.Fatal(err, whole.faults)
	}
	kinds := func(h *collector) (out []FaultKind) {
		for _, f := range h.faults {
			out = append(out, f.Kind)
			if f.Kind != Duplicate && !(f.From > 0 && f.To >= f.From) {
				t.Errorf("%s: no span: %+v", f.Kind, f)
			}
		}
		return out
	}
	b, _ := os.ReadFile(names[2])
	if err := os.WriteFile(filepath.Join(dir, "copy"+record.Suffix), b, 0o600); err != nil {
		t.Fatal(err)
	}
	h, _ := read(t, dir)
	if diff := cmp.Diff([]FaultKind{Duplicate}, kinds(h)); diff != "" || len(h.events) != len(whole.events) {
		t.Errorf("a copy: %d events, want %d; %s", len(h.events), len(whole.events), diff)
	}
	_ = os.Remove(filepath.Join(dir, "copy"+record.Suffix))
	_ = os.Remove(names[1])
	h, _ = read(t, dir)
	if diff := cmp.Diff([]FaultKind{Missing}, kinds(h)); diff != "" || len(h.events) >= len(whole.events) {
		t.Errorf("one is missing: %s", diff)
	}
	_ = os.Remove(names[0])
	h, _ = read(t, dir)
	if diff := cmp.Diff([]FaultKind{Rotated}, kinds(h)); diff != "" {
		t.Errorf("the first ones went: %s", diff)
	}
	if _, err := read(t, t.TempDir()); !errors.Is(err, ErrNone) {
		t.Errorf("no records: %v", err)
	}
	if _, err := read(t, filepath.Join(dir, "nowhere")); err == nil {
		t.Error("no folder, and no error")
	}
}

// TestFollowReadsGrowingSegmentOnce reads a segment that grows by 7 bytes at a time. Each event must be read once.
func TestFollowReadsGrowingSegmentOnce(t *testing.T) {
	path, b := writeSmallSegment(t, false)
	whole, _ := read(t, path)
	_ = os.Remove(path)
	set, err := Open(true, filepath.Dir(path))
	if err != nil {
		t.Fatal(err)
	}
	h := &collector{}
	for n := 0; n <= len(b); n += 7 {
		if err := os.WriteFile(path, b[:n], 0o600); err != nil {
			t.Fatal(err)
		}
		if err := set.Read(h); err != nil {
			t.Fatal(err)
		}
		if !isPrefix(h.events, whole.events) {
			t.Fatalf("at %d bytes: %d events that are not how the whole begins", n, len(h.events))
		}
	}
	_ = os.WriteFile(path, b, 0o600)
	if err := set.Read(h); err != nil || len(h.events) != len(whole.events) || len(h.faults) > 0 || len(h.ends) != 1 {
		t.Errorf("%d of %d events, faults %v, ends %v: %v", len(h.events), len(whole.events), h.faults, h.ends, err)
	}
}

// FuzzSegment checks that no bytes crash the reader, and that each run that began has one end.
func FuzzSegment(f *testing.F) {
	for _, pack := range []bool{false, true} {
		_, b := writeSmallSegment(f, pack)
		f.Add(b)
		f.Add(b[:len(b)/2])
		f.Add(append(b[:100:100], b[200:]...))
	}
	f.Add([]byte(record.Magic))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		path := filepath.Join(t.TempDir(), "x"+record.Suffix)
		if err := os.WriteFile(path, b, 0o600); err != nil {
			t.Fatal(err)
		}
		if h, err := read(t, path); err == nil && len(h.ends) != 1 {
			t.Fatalf("%d ends of one run", len(h.ends))
		}
	})
}
