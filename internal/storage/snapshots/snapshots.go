// Package snapshots keeps the last good configuration and the last list of servers on a durable store, so that a start whose sources
// are gone serves by them. What is kept is one value for each, with the time at which it was known to be good, and where it is from.
package snapshots

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"beechgrade/internal/encoding"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/invariant"
	"beechgrade/internal/storage/store"
)

// What is kept.
const (
	Config       = "config"  // the configuration file's text, from its path
	List         = "list"    // the platform's list, from discovery's address
	EndpointList = "members" // the list that membership makes
)

// Errors of what is kept and not used.
var (
	ErrTooOld     = errors.New("it is too old")
	ErrFromFuture = errors.New("it was kept at a time that lies ahead of this clock")
	ErrMalformed  = errors.New("it is not of this program")
)

// maxClockSkewMs is how far ahead of the clock a time may lie: a clock may have been set back a little.
const maxClockSkewMs = 60000

// Record is a value that is kept, as a protobuf message:
//
//	message Record { double saved_ms = 1; string from = 2; bytes body = 3; string boot = 4; double monotonic_ms = 5; }
type Record struct {
	SavedMs float64       // Unix ms at which it was known to be good
	Saved   clock.Instant // the same, for the boot in which that was
	Source  string
	Body    []byte
}

// NewRecord returns a record that is known to be good now.
func NewRecord(machine clock.Machine, from string, body []byte) *Record {
	return &Record{SavedMs: machine.Wall(), Saved: machine.Now(), Source: from, Body: body}
}

// Age returns the milliseconds since a record was known to be good: by the boot's own clock, or by the wall clock after another start of the
// machine.
func (r *Record) Age(machine clock.Machine) float64 {
	if ms, known := machine.Since(r.Saved); known {
		return ms
	}
	return machine.Wall() - r.SavedMs
}

func (r *Record) encode() []byte {
	b := encoding.AppendFixedField(nil, 1, math.Float64bits(r.SavedMs))
	b = encoding.AppendBytesField(encoding.AppendBytesField(b, 2, r.Source), 3, r.Body)
	if r.Saved.Boot == "" {
		return b
	}
	return encoding.AppendFixedField(encoding.AppendBytesField(b, 4, r.Saved.Boot), 5, math.Float64bits(r.Saved.MonotonicMs))
}

func decode(b []byte) (*Record, error) {
	r, seen := &Record{}, 0
	err := encoding.Fields(b, func(error) error { return ErrMalformed }, func(f encoding.Field) error {
		switch {
		case f.Number == 1 && f.Type == protowire.Fixed64Type:
			r.SavedMs = math.Float64frombits(f.Value)
			seen |= 1
		case f.Number == 2 && f.Type == protowire.BytesType:
			r.Source = string(f.Bytes)
		case f.Number == 3 && f.Type == protowire.BytesType:
			r.Body = f.Bytes
			seen |= 2
		case f.Number == 4 && f.Type == protowire.BytesType:
			r.Saved.Boot = string(f.Bytes)
		case f.Number == 5 && f.Type == protowire.Fixed64Type:
			r.Saved.MonotonicMs = math.Float64frombits(f.Value)
		}
		return nil
	})
	if err != nil || seen != 3 || math.IsNaN(r.SavedMs) || math.IsNaN(r.Saved.MonotonicMs) {
		return nil, ErrMalformed
	}
	return r, nil
}

// Options are a keeper's.
type Options struct {
	FS             store.FS
	MaxBytes       int64
	CompactionRate int64 // of its compactions, in bytes a second; 0 for any
	MaxMemory      int64
	Checks         *invariant.Checks // the keeper's goroutine's own; nil for off
	Store          *invariant.Checks // the store's
	BatchesPerWalk int
	MaxAgeMs       float64 // what was last known to be good before that is not used
	Log            *slog.Logger
}

// Keeper keeps values. It holds the store on a goroutine of its own; whoever has something new never waits for a disk.
type Keeper struct {
	options  Options
	loaded   map[string]*Record // as found at the start
	recovery *store.Recovery    // by the start

	mu         sync.Mutex
	waiting    map[string]func() (*Record, error)
	wake       chan struct{}
	quit       chan struct{}
	done       chan struct{}
	store      *store.Store // the goroutine's own, once it runs
	lastErrors map[string]string
}

const (
	lockRetryInterval = 500 * time.Millisecond // between tries to have a store that another process has
	maxValueBytes     = 15 << 20               // of one value: the store takes no more at once
)

// Start opens the store. An error is one line on why nothing of it is used and nothing is kept; another process that has it, as
// where one takes another's place, is none: what it keeps is not read, and this one keeps on once that one has ended.
func Start(opt Options) (*Keeper, error) {
	k := &Keeper{options: opt, loaded: map[string]*Record{}, waiting: map[string]func() (*Record, error){}, lastErrors: map[string]string{},
		wake: make(chan struct{}, 1), quit: make(chan struct{}), done: make(chan struct{})}
	err := k.open(true)
	if err != nil && !errors.Is(err, store.ErrLocked) {
		return nil, err
	}
	if err != nil {
		opt.Log.Info("kept: another process has the store", "err", err)
	}
	go k.run()
	return k, nil
}

// open opens the store; what it holds is read at a start only.
func (k *Keeper) open(start bool) error {
	s, rec, err := store.Open(store.Options{FS: k.options.FS, MaxBytes: k.options.MaxBytes, SegmentBytes: k.options.MaxBytes / 8, CompactionRate: k.options.CompactionRate, MaxMemory: k.options.MaxMemory,
		Checks: k.options.Store, BatchesPerWalk: k.options.BatchesPerWalk})
	if err != nil {
		return err
	}
	if start {
		k.recovery = rec
	}
	if k.store = s; rec.DroppedBytes > 0 {
		k.options.Log.Warn("kept: its end was not whole", "bytes", rec.DroppedBytes, "why", rec.Reason)
	}
	for _, what := range []string{Config, List, EndpointList} {
		v, ok := s.Get(what)
		if !ok || !start {
			continue
		}
		r, err := decode(v)
		if err != nil {
			k.options.Log.Warn("kept: a value is not used", "what", what, "err", err)
			continue
		}
		k.loaded[what] = r
	}
	return nil
}

// Get is what was kept when the store was opened, nil where there is nothing; an error says why it is not used. Nothing that is
// older than the bound, or whose age nobody can tell, is.
func (k *Keeper) Get(what string, machine clock.Machine) (*Record, error) {
	if k == nil || k.loaded[what] == nil {
		return nil, nil
	}
	r := k.loaded[what]
	switch age := r.Age(machine); {
	case age < -maxClockSkewMs:
		return nil, fmt.Errorf("%w, by %.0f s", ErrFromFuture, -age/1000)
	case age > k.options.MaxAgeMs:
		return nil, fmt.Errorf("%w: %.0f s, at most %.0f", ErrTooOld, age/1000, k.options.MaxAgeMs/1000)
	}
	return r, nil
}

// Recovery is what the opening of the store found, nil where another process had it.
func (k *Keeper) Recovery() *store.Recovery {
	if k == nil {
		return nil
	}
	return k.recovery
}

// Put has a value kept in place of the one before. What makes it runs on the keeper's goroutine; of several that wait, only the
// last does.
func (k *Keeper) Put(what string, value func() (*Record, error)) {
	if k == nil {
		return
	}
	k.mu.Lock()
	k.waiting[what] = value
	k.mu.Unlock()
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

func (k *Keeper) run() {
	defer close(k.done)
	for k.store == nil {
		select {
		case <-k.quit:
			return
		case <-time.After(lockRetryInterval):
		}
		if err := k.open(false); err != nil && !errors.Is(err, store.ErrLocked) {
			k.options.Log.Error("kept: nothing is kept", "err", err)
			<-k.quit
			return
		}
	}
	for {
		k.flush()
		select {
		case <-k.quit:
			k.flush()
			if err := k.store.Close(); err != nil {
				k.options.Log.Warn("kept", "err", err)
			}
			return
		case <-k.wake:
		}
	}
}

func (k *Keeper) flush() {
	k.mu.Lock()
	next := k.waiting
	k.waiting = map[string]func() (*Record, error){}
	k.mu.Unlock()
	for _, what := range []string{Config, List, EndpointList} {
		if value := next[what]; value != nil {
			k.save(what, value)
		}
	}
}

func (k *Keeper) save(what string, value func() (*Record, error)) {
	r, err := value()
	if err == nil && len(r.Body) > maxValueBytes {
		err = fmt.Errorf("%d bytes; at most %d", len(r.Body), maxValueBytes)
	}
	if err == nil {
		done := make(chan error, 1)
		k.store.Append([]store.Entry{{Key: what, Value: r.encode()}}, func(err error) { done <- err })
		err = <-done
	}
	if err == nil {
		k.checkInvariants(what, r)
		delete(k.lastErrors, what)
	} else if k.lastErrors[what] != err.Error() { // once
		k.lastErrors[what] = err.Error()
		k.options.Log.Error("kept: it could not be kept", "what", what, "err", err)
	}
}

// checkInvariants states what holds once a value has been kept.
func (k *Keeper) checkInvariants(what string, r *Record) {
	c := k.options.Checks
	if !c.Enabled() {
		return
	}
	v, ok := k.store.Get(what)
	got, err := decode(v)
	c.That(ok && err == nil && got.SavedMs == r.SavedMs && got.Source == r.Source && bytes.Equal(got.Body, r.Body), "kept: a value is there as it was kept", func() string {
		return fmt.Sprintf("%s: there %v, %v, %d bytes of %d", what, ok, err, len(v), len(r.Body))
	})
	n := 0
	k.store.Range("", "", func(key string, _ []byte) bool {
		n++
		c.That(key == Config || key == List || key == EndpointList, "kept: nothing else is there", func() string { return fmt.Sprintf("%q", key) })
		return n < 8
	})
	k.mu.Lock()
	waiting := len(k.waiting)
	k.mu.Unlock()
	c.That(waiting <= 3, "kept: one value of each kind waits at most", func() string { return fmt.Sprint(waiting, " wait") })
}

// Stop keeps what waits, and ends.
func (k *Keeper) Stop() {
	if k != nil {
		close(k.quit)
		<-k.done
	}
}
