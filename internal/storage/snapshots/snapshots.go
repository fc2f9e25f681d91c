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
	Config  = "config"  // the configuration file's text, from its path
	List    = "list"    // the platform's list, from discovery's address
	Members = "members" // the list that membership makes
)

// Errors of what is kept and not used.
var (
	ErrOld     = errors.New("it is too old")
	ErrAhead   = errors.New("it was kept at a time that lies ahead of this clock")
	ErrForeign = errors.New("it is not of this program")
)

// aheadMs is how far ahead of the clock a time may lie: a clock may have been set back a little.
const aheadMs = 60000

// Record is a value that is kept, as a protobuf message:
//
//	message Record { double saved_ms = 1; string from = 2; bytes body = 3; string boot = 4; double monotonic_ms = 5; }
type Record struct {
	SavedMs float64       // Unix ms at which it was known to be good
	Saved   clock.Instant // the same, for the boot in which that was
	From    string
	Body    []byte
}

// RecordOf returns a record that is known to be good now.
func RecordOf(machine clock.Machine, from string, body []byte) *Record {
	return &Record{SavedMs: machine.Wall(), Saved: machine.Now(), From: from, Body: body}
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
	b := encoding.PutFixed(nil, 1, math.Float64bits(r.SavedMs))
	b = encoding.PutText(encoding.PutText(b, 2, r.From), 3, r.Body)
	if r.Saved.Boot == "" {
		return b
	}
	return encoding.PutFixed(encoding.PutText(b, 4, r.Saved.Boot), 5, math.Float64bits(r.Saved.MonotonicMs))
}

func decode(b []byte) (*Record, error) {
	r, seen := &Record{}, 0
	err := encoding.Fields(b, func(error) error { return ErrForeign }, func(f encoding.Field) error {
		switch {
		case f.Num == 1 && f.Type == protowire.Fixed64Type:
			r.SavedMs = math.Float64frombits(f.X)
			seen |= 1
		case f.Num == 2 && f.Type == protowire.BytesType:
			r.From = string(f.Text)
		case f.Num == 3 && f.Type == protowire.BytesType:
			r.Body = f.Text
			seen |= 2
		case f.Num == 4 && f.Type == protowire.BytesType:
			r.Saved.Boot = string(f.Text)
		case f.Num == 5 && f.Type == protowire.Fixed64Type:
			r.Saved.MonotonicMs = math.Float64frombits(f.X)
		}
		return nil
	})
	if err != nil || seen != 3 || math.IsNaN(r.SavedMs) || math.IsNaN(r.Saved.MonotonicMs) {
		return nil, ErrForeign
	}
	return r, nil
}

// Options are a keeper's.
type Options struct {
	FS        store.FS
	MostBytes int64
	Pace      int64 // of its compactions, in bytes a second; 0 for any
	MaxMemory int64
	Checks    *invariant.Checks // the keeper's goroutine's own; nil for off
	Store     *invariant.Checks // the store's
	Every     int
	AgeMs     float64 // what was last known to be good before that is not used
	Log       *slog.Logger
}

// Keeper keeps values. It holds the store on a goroutine of its own; whoever has something new never waits for a disk.
type Keeper struct {
	opt   Options
	first map[string]*Record // as found at the start
	found *store.Recovery    // by the start

	mu     sync.Mutex
	next   map[string]func() (*Record, error)
	wake   chan struct{}
	quit   chan struct{}
	done   chan struct{}
	store  *store.Store // the goroutine's own, once it runs
	failed map[string]string
}

const (
	again = 500 * time.Millisecond // between tries to have a store that another process has
	most  = 15 << 20               // of one value: the store takes no more at once
)

// Start opens the store. An error is one line on why nothing of it is used and nothing is kept; another process that has it, as
// where one takes another's place, is none: what it keeps is not read, and this one keeps on once that one has ended.
func Start(opt Options) (*Keeper, error) {
	k := &Keeper{opt: opt, first: map[string]*Record{}, next: map[string]func() (*Record, error){}, failed: map[string]string{},
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
	s, rec, err := store.Open(store.Options{FS: k.opt.FS, MaxBytes: k.opt.MostBytes, SegmentBytes: k.opt.MostBytes / 8, Pace: k.opt.Pace, MaxMemory: k.opt.MaxMemory,
		Checks: k.opt.Store, Every: k.opt.Every})
	if err != nil {
		return err
	}
	if start {
		k.found = rec
	}
	if k.store = s; rec.Dropped > 0 {
		k.opt.Log.Warn("kept: its end was not whole", "bytes", rec.Dropped, "why", rec.Why)
	}
	for _, what := range []string{Config, List, Members} {
		v, ok := s.Get(what)
		if !ok || !start {
			continue
		}
		r, err := decode(v)
		if err != nil {
			k.opt.Log.Warn("kept: a value is not used", "what", what, "err", err)
			continue
		}
		k.first[what] = r
	}
	return nil
}

// Found is what was kept when the store was opened, nil where there is nothing; an error says why it is not used. Nothing that is
// older than the bound, or whose age nobody can tell, is.
func (k *Keeper) Found(what string, machine clock.Machine) (*Record, error) {
	if k == nil || k.first[what] == nil {
		return nil, nil
	}
	r := k.first[what]
	switch age := r.Age(machine); {
	case age < -aheadMs:
		return nil, fmt.Errorf("%w, by %.0f s", ErrAhead, -age/1000)
	case age > k.opt.AgeMs:
		return nil, fmt.Errorf("%w: %.0f s, at most %.0f", ErrOld, age/1000, k.opt.AgeMs/1000)
	}
	return r, nil
}

// Recovery is what the opening of the store found, nil where another process had it.
func (k *Keeper) Recovery() *store.Recovery {
	if k == nil {
		return nil
	}
	return k.found
}

// Put has a value kept in place of the one before. What makes it runs on the keeper's goroutine; of several that wait, only the
// last does.
func (k *Keeper) Put(what string, value func() (*Record, error)) {
	if k == nil {
		return
	}
	k.mu.Lock()
	k.next[what] = value
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
		case <-time.After(again):
		}
		if err := k.open(false); err != nil && !errors.Is(err, store.ErrLocked) {
			k.opt.Log.Error("kept: nothing is kept", "err", err)
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
				k.opt.Log.Warn("kept", "err", err)
			}
			return
		case <-k.wake:
		}
	}
}

func (k *Keeper) flush() {
	k.mu.Lock()
	next := k.next
	k.next = map[string]func() (*Record, error){}
	k.mu.Unlock()
	for _, what := range []string{Config, List, Members} {
		if value := next[what]; value != nil {
			k.keep(what, value)
		}
	}
}

func (k *Keeper) keep(what string, value func() (*Record, error)) {
	r, err := value()
	if err == nil && len(r.Body) > most {
		err = fmt.Errorf("%d bytes; at most %d", len(r.Body), most)
	}
	if err == nil {
		done := make(chan error, 1)
		k.store.Append([]store.Entry{{Key: what, Value: r.encode()}}, func(err error) { done <- err })
		err = <-done
	}
	if err == nil {
		k.check(what, r)
		delete(k.failed, what)
	} else if k.failed[what] != err.Error() { // once
		k.failed[what] = err.Error()
		k.opt.Log.Error("kept: it could not be kept", "what", what, "err", err)
	}
}

// check states what holds once a value has been kept.
func (k *Keeper) check(what string, r *Record) {
	c := k.opt.Checks
	if !c.On() {
		return
	}
	v, ok := k.store.Get(what)
	got, err := decode(v)
	c.That(ok && err == nil && got.SavedMs == r.SavedMs && got.From == r.From && bytes.Equal(got.Body, r.Body), "kept: a value is there as it was kept", func() string {
		return fmt.Sprintf("%s: there %v, %v, %d bytes of %d", what, ok, err, len(v), len(r.Body))
	})
	n := 0
	k.store.Range("", "", func(key string, _ []byte) bool {
		n++
		c.That(key == Config || key == List || key == Members, "kept: nothing else is there", func() string { return fmt.Sprintf("%q", key) })
		return n < 8
	})
	k.mu.Lock()
	waiting := len(k.next)
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
