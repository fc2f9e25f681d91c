package record

import (
	"bytes"
	"errors"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"beechgrade/internal/record/recordpb"
)

// disk stores segments in memory. Writes fail when its capacity is used up, and wait while blocked is set.
type disk struct {
	mu           sync.Mutex
	files        map[string]*bytes.Buffer
	capacity     int           // bytes left, -1 for unlimited
	blocked      chan struct{} // if set, writes wait until it is closed
	writeStarted chan struct{} // receives when a write begins to wait
}

func newDisk() *disk { return &disk{files: map[string]*bytes.Buffer{}, capacity: -1} }

func (d *disk) Create(name string) (io.WriteCloser, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.capacity == 0 {
		return nil, errors.New("no space left")
	}
	d.files[name] = &bytes.Buffer{}
	return &diskFile{d, name}, nil
}

func (d *disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.files, name)
	return nil
}

func (d *disk) List() (map[string]int64, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[string]int64{}
	for n, b := range d.files {
		out[n] = int64(b.Len())
	}
	return out, nil
}

type diskFile struct {
	disk *disk
	name string
}

func (f *diskFile) Write(b []byte) (int, error) {
	f.disk.mu.Lock()
	blocked, started := f.disk.blocked, f.disk.writeStarted
	f.disk.mu.Unlock()
	if blocked != nil {
		select {
		case started <- struct{}{}:
		default:
		}
		<-blocked
	}
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	n := len(b)
	if f.disk.capacity >= 0 {
		n = min(n, f.disk.capacity)
		f.disk.capacity -= n
	}
	f.disk.files[f.name].Write(b[:n])
	if n < len(b) {
		return n, errors.New("no space left")
	}
	return n, nil
}

func (f *diskFile) Close() error { return nil }

// countEvents counts the events on the disk, and the events that are recorded as lost.
func (d *disk) countEvents(t *testing.T) (kept int, lost uint64) {
	t.Helper()
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, b := range d.files {
		f, err := NewFrames(bytes.NewReader(b.Bytes()))
		if err != nil {
			continue // the disk was full before Magic was complete
		}
		for {
			typ, payload, err := f.Next()
			if err != nil {
				if !errors.Is(err, io.EOF) && !errors.Is(err, ErrTorn) {
					t.Fatalf("read a frame of %s: %v", name, err)
				}
				break
			}
			var batch recordpb.Batch
			if typ != FrameBatch {
				continue
			}
			if err := proto.Unmarshal(payload, &batch); err != nil {
				t.Fatalf("decode a batch of %s: %v", name, err)
			}
			for _, e := range batch.Events {
				switch {
				case e.Lost != nil:
					lost += e.Lost.Events
				case e.Entry == nil || !e.Entry.Held:
					kept++
				}
			}
		}
	}
	return kept, lost
}

func options(d *disk) Options {
	return Options{Pooler: "n 1/../x", RunStartMs: 1.7e12, Files: d, SegmentBytes: 64 << 10, TotalBytes: 256 << 10, QueueLength: 256, FlushIntervalMs: 1,
		Log: slog.New(slog.DiscardHandler)}
}

func event(i int) *Event {
	return &Event{At: 1.7e12 + float64(i), Kind: recordpb.Kind_KIND_ATTEMPT, Request: uint64(i), Server: "s-1", DurationMs: 3}
}

// TestSlowDiskLosesAndCountsEvents checks that a slow disk never blocks the event loop, and that lost events are counted.
func TestSlowDiskLosesAndCountsEvents(t *testing.T) {
	d := newDisk()
	d.blocked, d.writeStarted = make(chan struct{}), make(chan struct{}, 1)
	rec, stop := Start(options(d))
	rec.Put(event(0))
	<-d.writeStarted // the writer is blocked now
	const all = 5000
	for i := 1; i < all; i++ {
		rec.Put(event(i))
	}
	if rec.Lost() < all-2*256 {
		t.Fatalf("only %d events lost with a ring of 256; the ring is not bounded", rec.Lost())
	}
	close(d.blocked)
	for { // until the ring has space, so that the loss is recorded
		before := rec.Lost()
		rec.Put(event(all))
		if rec.Lost() == before {
			break
		}
	}
	lostInRing := rec.Lost()
	stop()
	kept, lost := d.countEvents(t)
	if lost != lostInRing || kept+int(lost) < all {
		t.Errorf("%d events kept, %d recorded as lost; want %d lost, and at least %d in all", kept, lost, lostInRing, all)
	}
}

// TestFullDiskIsRetriedAndCounted checks that recording resumes after the disk was full, and that the events lost meanwhile are counted.
func TestFullDiskIsRetriedAndCounted(t *testing.T) {
	for _, capacity := range []int{0, 5, 300, 5000, 20000} {
		d := newDisk()
		d.capacity = capacity
		rec, stop := Start(options(d))
		put := 0
		fill := func(n int) {
			for range n {
				for rec.ring.next() != nil && rec.ring.head.Load()-rec.ring.tail.Load() > 200 {
					time.Sleep(100 * time.Microsecond) // waits, so that the ring itself loses no events
				}
				rec.Put(event(put))
				put++
			}
		}
		fill(3000)
		d.mu.Lock()
		d.capacity = -1
		d.mu.Unlock()
		until := time.Now().Add(20 * time.Second)
		for kept, lost := d.countEvents(t); lost == 0 && time.Now().Before(until); kept, lost = d.countEvents(t) {
			if kept == put {
				break
			}
			fill(1)
			time.Sleep(time.Millisecond)
		}
		stop()
		if kept, lost := d.countEvents(t); kept+int(lost) != put || lost == 0 {
			t.Errorf("disk of %d bytes: %d events kept and %d recorded as lost, want some lost and %d in all", capacity, kept, lost, put)
		}
	}
}

// TestOldestSegmentsAreRemoved checks that the segments of a pooler stay within their size limit, that other files are not removed, and that
// each segment begins with the endpoint list.
func TestOldestSegmentsAreRemoved(t *testing.T) {
	d := newDisk()
	d.files["n_1-old"] = bytes.NewBufferString("no segment")
	d.files["n_10-0001700000000000-000001.bgr"] = bytes.NewBuffer(make([]byte, 1<<20))
	opt := options(d)
	opt.QueueLength = 8192
	Write(opt, func(put func(*Event)) {
		put(&Event{At: 1.7e12, Kind: recordpb.Kind_KIND_ENTRY, Server: "s-1", Primary: true})
		for i := range 200000 {
			put(event(i))
		}
	})
	files, _ := d.List()
	var sum int64
	for name, size := range files {
		if strings.HasPrefix(name, "n_1_.._x-") {
			sum += size
		}
	}
	if sum == 0 || sum > opt.TotalBytes+opt.SegmentBytes {
		t.Errorf("%d bytes kept, want some and at most %d", sum, opt.TotalBytes+opt.SegmentBytes)
	}
	if files["n_1-old"] == 0 || files["n_10-0001700000000000-000001.bgr"] == 0 {
		t.Error("a file that is no segment of this pooler was removed")
	}
	for name, b := range d.files { // each remaining segment has the list
		if strings.HasPrefix(name, "n_1_.._x-") && !bytes.Contains(b.Bytes()[:400], []byte("s-1")) {
			t.Errorf("%s does not begin with the list", name)
		}
	}
}

// BenchmarkPut measures the cost of recording an event on the event loop.
func BenchmarkPut(b *testing.B) {
	rec, stop := Start(Options{Pooler: "n", Files: Dir(b.TempDir()), SegmentBytes: 16 << 20, TotalBytes: 64 << 20, QueueLength: 1 << 16, FlushIntervalMs: 50,
		Log: slog.New(slog.DiscardHandler)})
	defer stop()
	b.ReportAllocs()
	for i := range b.N {
		e := Event{At: 1.7e12 + float64(i), Kind: recordpb.Kind_KIND_ATTEMPT, Request: uint64(i), Server: "s-1", DurationMs: 3, Position: 1.7e12}
		rec.Put(&e)
	}
}
