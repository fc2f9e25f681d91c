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

func (c *collector) Begin(*Run)                    {}
func (c *collector) Event(_ *Run, e *record.Event) { c.events = append(c.events, *e) }
func (c *collector) Fault(f Fault)                 { c.faults = append(c.faults, f) }
func (c *collector) End(_ *Run, ordered bool)      { c.ends = append(c.ends, ordered) }

func read(t testing.TB, paths ...string) (*collector, error) {
	t.Helper()
	set, err := Open(false, paths...)
	if err != nil {
		return nil, err
	}
	c := &collector{}
	return c, set.Read(c)
}

// writeSmallSegment writes a segment of 51 events in several frames, and returns its path and bytes.
func writeSmallSegment(t testing.TB, compress bool) (path string, b []byte) {
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
		Compress:     compress,
		Log:          slog.New(slog.DiscardHandler),
	}
	record.Write(opt, func(put func(*record.Event)) {
		put(&record.Event{At: 1.7e12, Kind: recordpb.Kind_KIND_START})
		put(&record.Event{At: 1.7e12, Kind: recordpb.Kind_KIND_ENTRY, Server: "s-1", Primary: true, Text: "127.0.0.1:1"})
		for i := range 24 { // enough events for several frames
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
		t.Fatalf("reading the segment as written: %v", err)
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
	for _, compress := range []bool{false, true} {
		path, b := writeSmallSegment(t, compress)
		complete, err := read(t, path)
		if err != nil || len(complete.faults) > 0 || !complete.ends[0] || len(complete.events) != 51 {
			t.Fatalf("complete segment: error is %v, want none; %d events, want 51; faults %v, want none; or its end is not ordered", err, len(complete.events), complete.faults)
		}
		most := -1
		for n := range len(b) {
			if err := os.WriteFile(path, b[:n], 0o600); err != nil {
				t.Fatalf("writing the segment truncated at %d: %v", n, err)
			}
			c, err := read(t, path)
			if err != nil {
				if most >= 0 {
					t.Fatalf("truncated at %d: error %v, though %d events were read from a shorter segment", n, err, most)
				}
				if !strings.Contains(err.Error(), path) {
					t.Fatalf("truncated at %d: the error does not name the file: %v", n, err)
				}
				continue
			}
			if !isPrefix(c.events, complete.events) || len(c.events) < most {
				t.Fatalf("truncated at %d: %d events, which are no prefix of all events or fewer than in a shorter segment", n, len(c.events))
			}
			if len(c.faults) != 1 || c.ends[0] {
				t.Fatalf("truncated at %d: want one fault and no ordered end, got faults %v", n, c.faults)
			}
			most = len(c.events)
		}
		if most != len(complete.events) {
			t.Errorf("without the end frame %d events are read, want %d", most, len(complete.events))
		}
	}
}

// TestCorruptedByteYieldsPrefixAndFault flips bits of each byte of a segment in turn. Only a prefix of the events may be
// read, and the corruption must be reported as an error or a fault.
func TestCorruptedByteYieldsPrefixAndFault(t *testing.T) {
	for _, compress := range []bool{false, true} {
		path, b := writeSmallSegment(t, compress)
		complete, err := read(t, path)
		if err != nil {
			t.Fatalf("reading the complete segment: %v", err)
		}
		for i := range b {
			for _, bits := range []byte{0x01, 0x80, 0xff} {
				b[i] ^= bits
				if err := os.WriteFile(path, b, 0o600); err != nil {
					t.Fatalf("writing the segment with byte %d xor %#x: %v", i, bits, err)
				}
				b[i] ^= bits
				c, err := read(t, path)
				if err != nil {
					continue // rejected with an error
				}
				if !isPrefix(c.events, complete.events) {
					t.Fatalf("byte %d xor %#x: the events are no prefix of all events", i, bits)
				}
				if len(c.faults) == 0 || c.ends[0] {
					t.Fatalf("byte %d xor %#x: the corruption is not reported", i, bits)
				}
			}
		}
	}
}

// TestMissingAndDuplicateSegmentsAreReported checks that missing segments are reported with their time span, that
// a duplicate of a segment is not read again, and that a start without the first segments counts as rotated.
func TestMissingAndDuplicateSegmentsAreReported(t *testing.T) {
	dir := t.TempDir()
	fake.Day{From: 1.7e12, Poolers: 1, Groups: 2, Members: 3, Requests: 6000, EveryMs: 5}.Write(dir)
	names, _ := filepath.Glob(filepath.Join(dir, "p0", "*"))
	if len(names) < 4 {
		t.Fatalf("%d segments, want at least 4", len(names))
	}
	complete, err := read(t, dir)
	if err != nil || len(complete.faults) > 0 {
		t.Fatalf("complete records: error is %v, faults are %v, want none", err, complete.faults)
	}
	kinds := func(c *collector) (out []FaultKind) {
		for _, f := range c.faults {
			out = append(out, f.Kind)
			if f.Kind != Duplicate && !(f.From > 0 && f.To >= f.From) {
				t.Errorf("%s: the fault has no valid time span: %+v", f.Kind, f)
			}
		}
		return out
	}
	b, _ := os.ReadFile(names[2])
	if err := os.WriteFile(filepath.Join(dir, "copy"+record.Suffix), b, 0o600); err != nil {
		t.Fatalf("writing the duplicate segment: %v", err)
	}
	c, _ := read(t, dir)
	if diff := cmp.Diff([]FaultKind{Duplicate}, kinds(c)); diff != "" || len(c.events) != len(complete.events) {
		t.Errorf("with a duplicate segment: %d events, want %d; faults (-want +got): %s", len(c.events), len(complete.events), diff)
	}
	_ = os.Remove(filepath.Join(dir, "copy"+record.Suffix))
	_ = os.Remove(names[1])
	c, _ = read(t, dir)
	if diff := cmp.Diff([]FaultKind{Missing}, kinds(c)); diff != "" || len(c.events) >= len(complete.events) {
		t.Errorf("without the second segment: %d events, want fewer than %d; faults (-want +got): %s", len(c.events), len(complete.events), diff)
	}
	_ = os.Remove(names[0])
	c, _ = read(t, dir)
	if diff := cmp.Diff([]FaultKind{Rotated}, kinds(c)); diff != "" {
		t.Errorf("without the first two segments: faults (-want +got):\n%s", diff)
	}
	if _, err := read(t, t.TempDir()); !errors.Is(err, ErrNone) {
		t.Errorf("empty folder: want ErrNone, got %v", err)
	}
	if _, err := read(t, filepath.Join(dir, "nowhere")); err == nil {
		t.Error("a folder that does not exist: no error")
	}
}

// TestFollowReadsGrowingSegmentOnce reads a segment that grows by 7 bytes at a time. Each event must be read once.
func TestFollowReadsGrowingSegmentOnce(t *testing.T) {
	path, b := writeSmallSegment(t, false)
	complete, _ := read(t, path)
	_ = os.Remove(path)
	set, err := Open(true, filepath.Dir(path))
	if err != nil {
		t.Fatalf("opening the records to follow them: %v", err)
	}
	c := &collector{}
	for n := 0; n <= len(b); n += 7 {
		if err := os.WriteFile(path, b[:n], 0o600); err != nil {
			t.Fatalf("writing %d bytes of the segment: %v", n, err)
		}
		if err := set.Read(c); err != nil {
			t.Fatalf("reading %d bytes of the segment: %v", n, err)
		}
		if !isPrefix(c.events, complete.events) {
			t.Fatalf("at %d bytes: %d events, which are no prefix of all events", n, len(c.events))
		}
	}
	_ = os.WriteFile(path, b, 0o600)
	if err := set.Read(c); err != nil || len(c.events) != len(complete.events) || len(c.faults) > 0 || len(c.ends) != 1 {
		t.Errorf("complete segment: %d events, want %d; faults %v, want none; ends %v, want one; error %v, want none", len(c.events), len(complete.events), c.faults, c.ends, err)
	}
}

// FuzzSegment checks that no bytes crash the reader, and that each run that began has one end.
func FuzzSegment(f *testing.F) {
	for _, compress := range []bool{false, true} {
		_, b := writeSmallSegment(f, compress)
		f.Add(b)
		f.Add(b[:len(b)/2])
		f.Add(append(b[:100:100], b[200:]...))
	}
	f.Add([]byte(record.Magic))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		path := filepath.Join(t.TempDir(), "x"+record.Suffix)
		if err := os.WriteFile(path, b, 0o600); err != nil {
			t.Fatalf("writing the segment: %v", err)
		}
		if c, err := read(t, path); err == nil && len(c.ends) != 1 {
			t.Fatalf("the run has %d ends, want 1", len(c.ends))
		}
	})
}
