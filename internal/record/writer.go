package record

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"math"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"

	"beechgrade/internal/record/recordpb"
)

// Schema is the number of the form that this program writes.
const Schema = 1

// Suffix ends the names of segments.
const Suffix = ".bgr"

const (
	batchEvents  = 1024
	packLevel    = 1
	retryLeastMs = 100  // between tries at writing while it fails, doubled...
	retryMostMs  = 5000 // ...up to this
	closeWait    = 2 * time.Second
)

// Options say what is recorded where.
type Options struct {
	Pooler       string
	Program      string
	Run          float64 // when the process started, Unix ms
	Classes      []*recordpb.Class
	ColdFrom     float64 // part of its capacity that a server starts with
	ColdMs       float64 // from its start until it is warm
	GraceMs      float64 // for sends, from hearing that a server drains
	Files        Files
	SegmentBytes int64 // a segment is closed when it has this many
	TotalBytes   int64 // of all segments of this pooler; the oldest go first
	Events       int   // that wait for the writer at most
	FlushMs      float64
	Pack         bool // with zstd
	Log          *slog.Logger
}

// Files is where segments are kept.
type Files interface {
	Create(name string) (io.WriteCloser, error)
	Remove(name string) error
	List() (map[string]int64, error) // names and sizes in bytes
}

// Dir keeps segments in a folder, which it makes.
type Dir string

// Create is Files'.
func (d Dir) Create(name string) (io.WriteCloser, error) {
	if err := os.MkdirAll(string(d), 0o750); err != nil {
		return nil, err
	}
	return os.OpenFile(filepath.Join(string(d), name), os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o640)
}

// Remove is Files'.
func (d Dir) Remove(name string) error { return os.Remove(filepath.Join(string(d), name)) }

// List is Files'.
func (d Dir) List() (map[string]int64, error) {
	entries, err := os.ReadDir(string(d))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	out := map[string]int64{}
	for _, e := range entries {
		if info, err := e.Info(); err == nil && info.Mode().IsRegular() {
			out[e.Name()] = info.Size()
		}
	}
	return out, err
}

var unsafeName = regexp.MustCompile(`[^A-Za-z0-9_.]+`)

// SegmentName is the name of a segment's file. Names of one pooler sort by run, then by number.
func SegmentName(pooler string, runMs float64, segment uint32) string {
	return fmt.Sprintf("%s%013d-%06d%s", namePrefix(pooler), int64(runMs), segment, Suffix)
}

func namePrefix(pooler string) string {
	s := strings.Trim(unsafeName.ReplaceAllString(pooler, "_"), ".")
	if s == "" {
		s = "pooler"
	}
	return s[:min(len(s), 100)] + "-"
}

// writer runs on a goroutine of its own; what is here belongs to it.
type writer struct {
	opt  Options
	rec  *Recorder
	stop chan struct{}
	done chan struct{}

	file    io.WriteCloser
	name    string
	size    int64
	segment uint32
	batches uint64
	lost    uint64
	names   map[string]uint32
	held    map[string]Event // the list, by server
	packer  *zstd.Encoder

	batch  recordpb.Batch
	events []*recordpb.Event
	payld  []byte
	out    []byte
	last   int64 // µs of the event before
	base   int64

	pendingLost Event // what writing failed for, not yet told
	retryAt     time.Time
	retryMs     float64
	told        bool // of the failure, in the log
}

// Start begins recording. stop ends it once all that was put is written, or after 2 s.
func Start(opt Options) (rec *Recorder, stop func()) {
	rec = &Recorder{ring: newRing(opt.Events), wake: make(chan struct{}, 1)}
	w := &writer{opt: opt, rec: rec, stop: make(chan struct{}), done: make(chan struct{}), held: map[string]Event{}}
	go w.run()
	return rec, func() {
		close(w.stop)
		select {
		case <-w.done:
		case <-time.After(closeWait):
			opt.Log.Error("records: the last events were not written in time")
		}
	}
}

// Write records what f puts, without a goroutine: for tools and tests.
func Write(opt Options, f func(put func(*Event))) {
	rec := &Recorder{ring: newRing(opt.Events), wake: make(chan struct{}, 1)}
	w := &writer{opt: opt, rec: rec, held: map[string]Event{}}
	f(func(e *Event) {
		rec.Put(e)
		for len(rec.wake) > 0 {
			<-rec.wake
			for w.flush() {
			}
		}
	})
	for w.flush() {
	}
	w.close(true)
}

func (w *writer) run() {
	defer close(w.done)
	tick := time.NewTicker(time.Duration(w.opt.FlushMs * float64(time.Millisecond)))
	defer tick.Stop()
	for {
		stopping := false
		select {
		case <-tick.C:
		case <-w.rec.wake:
		case <-w.stop:
			stopping = true
		}
		for w.flush() {
		}
		if stopping {
			w.close(true)
			return
		}
	}
}

// flush writes a batch of what waits, and tells whether more may wait.
func (w *writer) flush() bool {
	e := w.rec.ring.next()
	if e == nil {
		return false
	}
	if !w.ready(e.At) {
		w.skip()
		return w.rec.ring.next() != nil
	}
	w.batch.Reset()
	w.batch.Events, w.batch.Names = w.batch.Events[:0], nil
	w.base = micros(e.At)
	w.last = w.base
	w.batch.BaseUs = w.base
	if w.pendingLost.Lost > 0 {
		w.pendingLost.At = e.At
		w.add(&w.pendingLost)
	}
	for ; e != nil && len(w.batch.Events) < batchEvents; e = w.rec.ring.next() {
		w.note(e)
		w.add(e)
		w.rec.ring.drop()
	}
	if err := w.write(); err != nil {
		w.broke(err)
		return w.rec.ring.next() != nil
	}
	w.pendingLost, w.batch.Events = Event{}, w.batch.Events[:0]
	if w.size >= w.opt.SegmentBytes {
		w.close(true)
	}
	return w.rec.ring.next() != nil
}

// note keeps what a segment's start repeats.
func (w *writer) note(e *Event) {
	if e.Kind == recordpb.Kind_KIND_LIST && e.Whole {
		clear(w.held)
	}
	if e.Kind != recordpb.Kind_KIND_ENTRY {
		return
	}
	if e.State == stateGone {
		delete(w.held, e.Server)
		return
	}
	w.held[e.Server] = *e
}

const stateGone = 2

// add encodes an event into the batch.
func (w *writer) add(e *Event) {
	n := len(w.batch.Events)
	if n == len(w.events) {
		w.events = append(w.events, &recordpb.Event{})
	}
	x := w.events[n]
	x.Reset()
	w.batch.Events = append(w.batch.Events, x)
	at := micros(e.At)
	x.Kind, x.AfterUs = e.Kind, at-w.last
	w.last = at
	x.Request, x.Class, x.Group, x.Server = e.Request, uint32(e.Class), e.Group, w.number(e.Server)
	x.Result, x.Role = uint32(e.Result), uint32(e.Role)
	if e.Position != 0 {
		x.Positioned, x.BehindUs = true, micros(e.At)-micros(e.Position)
	}
	x.TookUs, x.LeftUs, x.WaitUs = uspan(e.Took), uspan(e.Left), uspan(e.Wait)
	x.Session, x.Id, x.Repeat = e.Session, e.ID, e.Repeat
	x.Attempt, x.Final, x.Reason, x.Text = uint32(e.Attempt), e.Final, uint32(e.Reason), e.Text
	x.Pool, x.Source, x.Health = w.number(e.Pool), w.number(e.Source), uint32(e.Health)
	switch e.Kind {
	case recordpb.Kind_KIND_HAND:
		x.Hand = &recordpb.Hand{How: uint32(e.How), Other: e.Other, Moved: e.Moved, Carried: e.Carried}
	case recordpb.Kind_KIND_POOL:
		h := &e.Holds
		x.Held = &recordpb.Pool{Clients: uint32(h.Clients), Idle: uint32(h.Idle), Used: uint32(h.Used), Connecting: uint32(h.Connecting),
			Waiting: uint32(h.Waiting), LongestUs: uspan(h.LongestMs), Most: uint32(h.Most)}
	case recordpb.Kind_KIND_ENTRY, recordpb.Kind_KIND_SAID:
		x.Text = ""
		x.Entry = &recordpb.Entry{State: uint32(e.State), Primary: e.Primary, StartedUs: e.Number * 1000, Address: e.Text, Held: e.Held}
	case recordpb.Kind_KIND_GAUGE:
		memory, files := w.usage()
		x.Gauge = &recordpb.Gauge{Sessions: uint32(e.Sessions), Connections: uint32(e.Conns), Open: uint32(e.Number),
			Memory: memory, Descriptors: files, WallUs: micros(e.Wall)}
	case recordpb.Kind_KIND_LOST:
		x.Lost = &recordpb.Lost{Events: e.Lost, FromUs: micros(e.From), ToUs: micros(e.To), Cause: uint32(e.Cause)}
		w.lost += e.Lost
	case recordpb.Kind_KIND_LIST:
		x.Number, x.Whole = e.Number, e.Whole
	case recordpb.Kind_KIND_RECOVERED:
		f := e.Found
		x.Recovered = &recordpb.Recovered{Store: f.Store, Records: uint64(f.Records), Segments: uint32(f.Segments), Dropped: uint64(f.Dropped)}
	}
}

// number finds a server's number in this segment, or gives it one.
func (w *writer) number(server string) uint32 {
	if server == "" {
		return 0
	}
	n, ok := w.names[server]
	if !ok {
		n = uint32(len(w.names) + 1)
		w.names[server] = n
		w.batch.Names = append(w.batch.Names, server)
	}
	return n
}

// usage reads what the process holds: resident bytes and descriptors, 0 where that can't be told.
func (w *writer) usage() (memory uint64, files uint32) {
	if b, err := os.ReadFile("/proc/self/statm"); err == nil {
		if f := strings.Fields(string(b)); len(f) > 1 {
			pages, _ := strconv.ParseUint(f[1], 10, 64)
			memory = pages * uint64(os.Getpagesize())
		}
	}
	if d, err := os.Open("/proc/self/fd"); err == nil {
		names, _ := d.Readdirnames(-1)
		_ = d.Close()
		files = uint32(len(names))
	}
	return memory, files
}

// write appends the batch as a frame.
func (w *writer) write() error {
	w.batch.Number = w.batches + 1
	var err error
	if w.payld, err = (proto.MarshalOptions{}).MarshalAppend(w.payld[:0], &w.batch); err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	w.out = beginFrame(w.out[:0], FrameBatch)
	if w.opt.Pack {
		if w.packer == nil {
			if w.packer, err = zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.EncoderLevel(packLevel)), zstd.WithEncoderConcurrency(1),
				zstd.WithWindowSize(1<<17), zstd.WithLowerEncoderMem(true), zstd.WithEncoderCRC(false)); err != nil {
				return fmt.Errorf("zstd: %w", err)
			}
		}
		w.out[4] = FrameZstd
		w.out = w.packer.EncodeAll(w.payld, w.out)
	} else {
		w.out = append(w.out, w.payld...)
	}
	if err = w.put(endFrame(w.out, 0)); err == nil {
		w.batches++
	}
	return err
}

func (w *writer) put(b []byte) error {
	n, err := w.file.Write(b)
	w.size += int64(n)
	if err == nil && n < len(b) {
		err = io.ErrShortWrite
	}
	return err
}

// ready has a segment open, unless the last failure was just now.
func (w *writer) ready(at float64) bool {
	if w.file != nil {
		return true
	}
	if time.Now().Before(w.retryAt) {
		return false
	}
	if err := w.open(at); err != nil {
		w.broke(err)
		return false
	}
	w.retryMs, w.told = 0, false
	return true
}

func (w *writer) open(at float64) error {
	if err := w.prune(); err != nil {
		return err
	}
	w.segment++
	w.name = SegmentName(w.opt.Pooler, w.opt.Run, w.segment)
	f, err := w.opt.Files.Create(w.name)
	if err != nil {
		return err
	}
	w.file, w.size, w.names = f, 0, map[string]uint32{}
	head, err := proto.Marshal(&recordpb.Header{Pooler: w.opt.Pooler, Program: w.opt.Program, RunUs: micros(w.opt.Run),
		Segment: w.segment, OpenedUs: micros(at), Schema: Schema, Classes: w.opt.Classes, LostBefore: w.lost,
		ColdFrom: w.opt.ColdFrom, ColdUs: uspan(w.opt.ColdMs), GraceUs: uspan(w.opt.GraceMs)})
	if err != nil {
		return err
	}
	b := append([]byte(Magic), endFrame(append(beginFrame(nil, FrameHeader), head...), 0)...)
	if err := w.put(b); err != nil || len(w.held) == 0 {
		return err
	}
	// The list as it stands: a segment must be readable with those before it gone.
	w.batch.Reset()
	w.batch.Events, w.batch.Names = w.batch.Events[:0], nil
	w.last = micros(at)
	w.batch.BaseUs = w.last
	for _, id := range sortedKeys(w.held) {
		e := w.held[id]
		e.At, e.Held = at, true
		w.add(&e)
		if len(w.batch.Events) == batchEvents {
			if err := w.write(); err != nil {
				return err
			}
			w.batch.Events, w.batch.Names = w.batch.Events[:0], nil
			w.last = micros(at)
		}
	}
	if len(w.batch.Events) == 0 {
		return nil
	}
	return w.write()
}

// prune removes the oldest segments until another has room.
func (w *writer) prune() error {
	all, err := w.opt.Files.List()
	if err != nil {
		return err
	}
	mine, total := []string{}, w.opt.SegmentBytes
	for name, size := range all {
		if strings.HasPrefix(name, namePrefix(w.opt.Pooler)) && strings.HasSuffix(name, Suffix) {
			mine = append(mine, name)
			total += size
		}
	}
	slices.Sort(mine)
	for _, name := range mine {
		if total <= w.opt.TotalBytes {
			break
		}
		if err := w.opt.Files.Remove(name); err != nil {
			return err
		}
		total -= all[name]
	}
	return nil
}

// close ends the segment, in order unless writing failed.
func (w *writer) close(ordered bool) {
	if w.file == nil {
		return
	}
	if ordered {
		if err := w.put(endFrame(beginFrame(nil, FrameEnd), 0)); err != nil {
			w.opt.Log.Warn("records: the end of a segment was not written", "file", w.name, "err", err)
		}
	}
	if err := w.file.Close(); err != nil {
		w.opt.Log.Warn("records: close", "file", w.name, "err", err)
	}
	w.file = nil
}

// broke gives the segment and the batch up; what it held is counted.
func (w *writer) broke(err error) {
	if !w.told {
		w.told = true
		w.opt.Log.Error("records cannot be written; service goes on without", "err", err)
	}
	w.close(false)
	at := w.batch.BaseUs
	for i, x := range w.batch.Events {
		at += x.AfterUs
		switch {
		case x.Lost != nil && i == 0 && x.Lost.Events == w.pendingLost.Lost && x.Lost.Cause == CauseWrite:
			w.lost -= x.Lost.Events // it is still to be told
		case x.Lost != nil:
			w.lost -= x.Lost.Events
			w.miss(float64(x.Lost.FromUs)/1000, x.Lost.Events)
			w.miss(float64(x.Lost.ToUs)/1000, 0)
		case x.Entry == nil || !x.Entry.Held:
			w.miss(float64(at)/1000, 1)
		}
	}
	w.batch.Events = w.batch.Events[:0]
	w.retryMs = min(retryMostMs, max(retryLeastMs, 2*w.retryMs))
	w.retryAt = time.Now().Add(time.Duration(w.retryMs * float64(time.Millisecond)))
}

// skip counts all that waits as lost.
func (w *writer) skip() {
	for e := w.rec.ring.next(); e != nil; e = w.rec.ring.next() {
		w.note(e)
		if e.Kind == recordpb.Kind_KIND_LOST {
			w.miss(e.From, e.Lost)
		} else {
			w.miss(e.At, 1)
		}
		w.rec.ring.drop()
	}
}

func (w *writer) miss(at float64, events uint64) {
	l := &w.pendingLost
	if l.Lost == 0 {
		*l = Event{Kind: recordpb.Kind_KIND_LOST, From: at, To: at, Cause: CauseWrite}
	}
	l.Lost += events
	l.From, l.To = min(l.From, at), max(l.To, at)
}

func micros(ms float64) int64 { return int64(math.Round(ms * 1000)) }

func uspan(ms float64) uint64 { return uint64(max(0, micros(ms))) }

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
