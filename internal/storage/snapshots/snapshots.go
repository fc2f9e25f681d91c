// Package snapshots keeps the last good configuration and the last endpoint lists on a durable store, so that a start whose sources cannot be
// reached serves by them. It keeps one value of each kind, with the time at which it was known to be good, and where it is from. A value that
// is too old, or whose age is not known, is not used.
package snapshots

import (
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/invariant"
	"beechgrade/internal/storage/store"
)

// The kinds of values: keys of the store.
const (
	Config       = "config"  // the configuration file's text, from its path
	List         = "list"    // the platform's list, from discovery's address
	EndpointList = "members" // the list that this pooler's endpoint reconciliation makes
)

func kinds() []string { return []string{Config, List, EndpointList} }

// Errors of a stored value that is not used.
var (
	ErrTooOld     = errors.New("it is too old")
	ErrFromFuture = errors.New("it was kept at a time that lies ahead of this clock")
	ErrMalformed  = errors.New("it is not of this program")
)

const (
	maxClockSkewMs    = 60000                  // that a time may be ahead of the clock, as that may have been set back a little
	lockRetryInterval = 500 * time.Millisecond // between attempts to open a store that another process has
	maxValueBytes     = 15 << 20               // the store takes no more at once
	segmentsPerStore  = 8
)

// Options configure a Keeper.
type Options struct {
	FS             store.FS
	MaxBytes       int64 // of the store
	CompactionRate int64 // bytes a second; 0 for no bound
	MaxMemory      int64
	Checks         *invariant.Checks // of the keeper's goroutine; nil for off
	StoreChecks    *invariant.Checks // of the store; nil for off
	BatchesPerWalk int
	MaxAgeMs       float64 // a value that was known to be good longer ago is not used
	Log            *slog.Logger
}

// Keeper keeps values. The store belongs to a goroutine of its own, which Stop ends: who has a new value never waits for a disk. A nil Keeper
// keeps nothing.
type Keeper struct {
	options  Options
	loaded   map[string]*Record // at the start
	recovery *store.Recovery    // of the start

	mu      sync.Mutex
	waiting map[string]func() (*Record, error) // the newest value of each kind that is not stored

	wake       chan struct{}
	quit       chan struct{}
	done       chan struct{}
	store      *store.Store      // the goroutine's own, once it runs
	lastErrors map[string]string // by kind: each error is logged once
}

// Start opens the store. An error says why nothing of it is used and nothing is kept. Another process that has the store is no error, as
// where one takes another's place: what it keeps is not read, and this one keeps values once that one has ended.
func Start(options Options) (*Keeper, error) {
	k := &Keeper{
		options:    options,
		loaded:     map[string]*Record{},
		waiting:    map[string]func() (*Record, error){},
		lastErrors: map[string]string{},
		wake:       make(chan struct{}, 1),
		quit:       make(chan struct{}),
		done:       make(chan struct{}),
	}
	switch err := k.openAndLoad(); {
	case errors.Is(err, store.ErrLocked):
		options.Log.Info("kept: another process has the store", "err", err)
	case err != nil:
		return nil, err
	}
	go k.run()
	return k, nil
}

// openAndLoad opens the store and reads what it holds.
func (k *Keeper) openAndLoad() error {
	recovery, err := k.open()
	if err != nil {
		return err
	}
	k.recovery = recovery
	for _, kind := range kinds() {
		value, ok := k.store.Get(kind)
		if !ok {
			continue
		}
		record, err := decode(value)
		if err != nil {
			k.options.Log.Warn("kept: a stored value is malformed and not used", "kind", kind, "err", err)
			continue
		}
		k.loaded[kind] = record
	}
	return nil
}

func (k *Keeper) open() (*store.Recovery, error) {
	s, recovery, err := store.Open(store.Options{
		FS:             k.options.FS,
		MaxBytes:       k.options.MaxBytes,
		SegmentBytes:   k.options.MaxBytes / segmentsPerStore,
		CompactionRate: k.options.CompactionRate,
		MaxMemory:      k.options.MaxMemory,
		Checks:         k.options.StoreChecks,
		BatchesPerWalk: k.options.BatchesPerWalk,
	})
	if err != nil {
		return nil, err
	}
	k.store = s
	if recovery.DroppedBytes > 0 {
		k.options.Log.Warn("kept: its end was not whole", "bytes", recovery.DroppedBytes, "why", recovery.Reason)
	}
	return recovery, nil
}

// Get returns the value that was stored when the store was opened, nil where there is none. An error says why it is not used.
func (k *Keeper) Get(kind string, machine clock.Machine) (*Record, error) {
	if k == nil || k.loaded[kind] == nil {
		return nil, nil
	}
	record := k.loaded[kind]
	switch age := record.Age(machine); {
	case age < -maxClockSkewMs:
		return nil, fmt.Errorf("%w, by %.0f s", ErrFromFuture, -age/1000)
	case age > k.options.MaxAgeMs:
		return nil, fmt.Errorf("%w: %.0f s, at most %.0f", ErrTooOld, age/1000, k.options.MaxAgeMs/1000)
	}
	return record, nil
}

// Recovery returns what opening the store found, nil where another process had it.
func (k *Keeper) Recovery() *store.Recovery {
	if k == nil {
		return nil
	}
	return k.recovery
}

// Put stores a value in place of the one before. value is called on the keeper's goroutine; of several that wait, only the last is.
func (k *Keeper) Put(kind string, value func() (*Record, error)) {
	if k == nil {
		return
	}
	k.mu.Lock()
	k.waiting[kind] = value
	k.mu.Unlock()
	select {
	case k.wake <- struct{}{}:
	default: // the goroutine will look anyway
	}
}

// Stop stores what waits, closes the store and ends the goroutine.
func (k *Keeper) Stop() {
	if k == nil {
		return
	}
	close(k.quit)
	<-k.done
}

func (k *Keeper) run() {
	defer close(k.done)
	if !k.awaitStore() {
		return
	}
	for {
		k.saveWaiting()
		select {
		case <-k.quit:
			k.saveWaiting()
			if err := k.store.Close(); err != nil {
				k.options.Log.Warn("kept: closing the store failed", "err", err)
			}
			return
		case <-k.wake:
		}
	}
}

// awaitStore opens the store once no other process has it, and reports whether it is open; it is not when the keeper is stopped before.
func (k *Keeper) awaitStore() bool {
	for k.store == nil {
		select {
		case <-k.quit:
			return false
		case <-time.After(lockRetryInterval):
		}
		if _, err := k.open(); err != nil && !errors.Is(err, store.ErrLocked) {
			k.options.Log.Error("kept: the store cannot be opened, nothing is stored", "err", err)
			<-k.quit
			return false
		}
	}
	return true
}

func (k *Keeper) saveWaiting() {
	k.mu.Lock()
	waiting := k.waiting
	k.waiting = map[string]func() (*Record, error){}
	k.mu.Unlock()
	for _, kind := range kinds() {
		if value := waiting[kind]; value != nil {
			k.save(kind, value)
		}
	}
}

func (k *Keeper) save(kind string, value func() (*Record, error)) {
	record, err := value()
	if err == nil {
		err = k.write(kind, record)
	}
	if err == nil {
		k.checkInvariants(kind, record)
		delete(k.lastErrors, kind)
		return
	}
	if k.lastErrors[kind] != err.Error() {
		k.lastErrors[kind] = err.Error()
		k.options.Log.Error("kept: a value could not be stored", "kind", kind, "err", err)
	}
}

func (k *Keeper) write(kind string, record *Record) error {
	if len(record.Body) > maxValueBytes {
		return fmt.Errorf("%d bytes; at most %d", len(record.Body), maxValueBytes)
	}
	done := make(chan error, 1)
	k.store.Append([]store.Entry{{Key: kind, Value: record.encode()}}, func(err error) { done <- err })
	return <-done
}
