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

// disk stores segments in memory. It fails when its capacity is used up, and blocks while a test has it blocked.
type disk struct {
	mu           sync.Mutex
	files        map[string]*bytes.Buffer
	capacity     int           // bytes left, -1 for no end
	blocked      chan struct{} // writes wait for it to close, where it is set
	writeStarted chan struct{} // receives for each write that waits
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
	hold, began := f.disk.blocked, f.disk.writeStarted
	f.disk.mu.Unlock()
	if hold != nil {
		select {
		case began <- struct{}{}:
		default:
		}
		<-hold
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

// countEvents counts the events on the disk, and those that are recorded as lost.
func (d *disk) countEvents(t *testing.T) (kept int, lost uint64) {
	t.Helper()
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, b := range d.files {
		f, err := NewFrames(bytes.NewReader(b.Bytes()))
		if err != nil {
			continue // there was no room for its first bytes
		}
		for {
			typ, payload, err := f.Next()
			if err != nil {
				if !errors.Is(err, io.EOF) && !errors.Is(err, ErrTorn) {
					t.Fatalf("%s: %v", name, err)
				}
				break
			}
			var batch recordpb.Batch
			if typ != FrameBatch {
				continue
			}
			if err := proto.Unmarshal(payload, &batch); err != nil {
				t.Fatal(err)
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

// TestSlowDiskLosesAndCountsEvents checks that a slow disk never holds up the event loop, and that lost events are counted.
func TestSlowDiskLosesAndCountsEvents(t *testing.T) {
	d := newDisk()
	d.blocked, d.writeStarted = make(chan struct{}), make(chan struct{}, 1)
	rec, stop := Start(options(d))
	rec.Put(event(0))
	<-d.writeStarted // the writer hangs now
	const all = 5000
	for i := 1; i < all; i++ {
		rec.Put(event(i))
	}
	if rec.Lost() < all-2*256 {
		t.Fatalf("%d events lost with a ring of 256; the ring is not bounded", rec.Lost())
	}
	close(d.blocked)
	for { // until there is room, so that the loss is recorded
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
		t.Errorf("%d kept, %d recorded as lost; %d were lost of over %d", kept, lost, lostInRing, all)
	}
}

// TestFullDiskIsRetriedAndCounted checks that a full disk ends neither service nor records, and that the events it lost are
// counted.
func TestFullDiskIsRetriedAndCounted(t *testing.T) {
	for _, room := range []int{0, 5, 300, 5000, 20000} {
		d := newDisk()
		d.capacity = room
		rec, stop := Start(options(d))
		put := 0
		fill := func(n int) {
			for range n {
				for rec.ring.next() != nil && rec.ring.head.Load()-rec.ring.tail.Load() > 200 {
					time.Sleep(100 * time.Microsecond) // the ring itself loses nothing here
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
			t.Errorf("with %d bytes: %d events kept and %d recorded as lost, %d were put", room, kept, lost, put)
		}
	}
}

// TestOldestSegmentsAreRemoved checks that the segments of a pooler stay within their limit, that other files stay, and that
// each segment begins with the list.
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
		t.Errorf("%d bytes kept, the cap is %d", sum, opt.TotalBytes)
	}
	if files["n_1-old"] == 0 || files["n_10-0001700000000000-000001.bgr"] == 0 {
		t.Error("another's file was removed")
	}
	for name, b := range d.files { // each segment that is left holds the list
		if strings.HasPrefix(name, "n_1_.._x-") && !bytes.Contains(b.Bytes()[:400], []byte("s-1")) {
			t.Errorf("%s does not begin with the list", name)
		}
	}
}

// BenchmarkPut measures what an event costs the event loop.
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
