// Package snapshots keeps the last good configuration and the last endpoint lists in a durable store, so that a pooler can start with them
// when their sources cannot be reached. It stores one value of each kind, with its source and the time at which it was last known to be good.
// A value that is too old, or whose age is unknown, is not used.
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

// The kinds of values, which are the keys in the store.
const (
	Config       = "config"  // the text of the configuration file; its source is the path
	List         = "list"    // the platform's list; its source is the address of discovery
	EndpointList = "members" // the list that endpoint reconciliation in this pooler produces
)

func kinds() []string { return []string{Config, List, EndpointList} }

// Errors of a stored value that is not used.
var (
	ErrTooOld     = errors.New("saved value is too old")
	ErrFromFuture = errors.New("saved value has a time ahead of the clock")
	ErrMalformed  = errors.New("saved value is malformed")
)

const (
	maxClockSkewMs    = 60000                  // by which a saved time may be ahead of the clock, which may have been set back a little
	lockRetryInterval = 500 * time.Millisecond // between attempts to open a store that another process has open
	maxValueBytes     = 15 << 20               // the store accepts at most 16 MiB in one append
	segmentsPerStore  = 8
)

// Options configure a Keeper.
type Options struct {
	FS             store.FS
	MaxBytes       int64             // of the store on disk
	CompactionRate int64             // bytes a second; 0 for no bound
	MaxMemory      int64             // of the store's records, in bytes
	Checks         *invariant.Checks // of the keeper's goroutine; nil if disabled
	StoreChecks    *invariant.Checks // of the store's goroutine; nil if disabled
	BatchesPerWalk int
	MaxAgeMs       float64 // a value that was last known to be good longer ago is not used
	Log            *slog.Logger
}

// Keeper stores values. A goroutine of its own, which Stop ends, writes to the store, so that callers of Put never wait for the disk. A nil
// Keeper stores nothing.
type Keeper struct {
	options  Options
	loaded   map[string]*Record // the values that the store had at the start
	recovery *store.Recovery    // from opening the store at the start

	mu      sync.Mutex
	waiting map[string]func() (*Record, error) // the newest value of each kind that is not stored yet

	wake       chan struct{}
	quit       chan struct{}
	done       chan struct{}
	store      *store.Store      // belongs to the goroutine once it runs
	lastErrors map[string]string // by kind, so that a repeated error is logged once
}

// Start opens the store. After an error, no stored value is used and none is stored. It is no error if another process has the store open,
// as during an upgrade: the stored values are then not read, and this process stores values once the other one has ended.
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
		options.Log.Info("snapshots: another process has the store open; its saved values are not read, and this process saves values once the other one has ended", "err", err)
	case err != nil:
		return nil, err
	}
	go k.run()
	return k, nil
}

// openAndLoad opens the store and reads its values.
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
			k.options.Log.Warn("snapshots: a saved value is malformed and is not used", "kind", kind, "err", err)
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
		k.options.Log.Warn("snapshots: recovery dropped an incomplete tail of the store", "bytes", recovery.DroppedBytes, "reason", recovery.Reason)
	}
	return recovery, nil
}

// Get returns the value that the store had when it was opened, nil if there is none. An error says why the value is not used.
func (k *Keeper) Get(kind string, machine clock.Machine) (*Record, error) {
	if k == nil || k.loaded[kind] == nil {
		return nil, nil
	}
	record := k.loaded[kind]
	switch age := record.Age(machine); {
	case age < -maxClockSkewMs:
		return nil, fmt.Errorf("%w by %.0f s", ErrFromFuture, -age/1000)
	case age > k.options.MaxAgeMs:
		return nil, fmt.Errorf("%w: saved %.0f s ago, at most %.0f s allowed", ErrTooOld, age/1000, k.options.MaxAgeMs/1000)
	}
	return record, nil
}

// Recovery returns the result of opening the store, nil if another process had it open.
func (k *Keeper) Recovery() *store.Recovery {
	if k == nil {
		return nil
	}
	return k.recovery
}

// Put replaces the stored value of a kind. value is called on the keeper's goroutine; of several pending values of a kind, only the last is
// stored.
func (k *Keeper) Put(kind string, value func() (*Record, error)) {
	if k == nil {
		return
	}
	k.mu.Lock()
	k.waiting[kind] = value
	k.mu.Unlock()
	select {
	case k.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// Stop stores the pending values, closes the store and ends the goroutine.
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
				k.options.Log.Warn("snapshots: the store was not closed cleanly", "err", err)
			}
			return
		case <-k.wake:
		}
	}
}

// awaitStore opens the store once no other process has it open. It reports false if the store cannot be opened or the keeper is stopped
// first.
func (k *Keeper) awaitStore() bool {
	for k.store == nil {
		select {
		case <-k.quit:
			return false
		case <-time.After(lockRetryInterval):
		}
		if _, err := k.open(); err != nil && !errors.Is(err, store.ErrLocked) {
			k.options.Log.Error("snapshots: the store cannot be opened now that no other process has it open; nothing will be saved", "err", err)
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
		k.options.Log.Error("snapshots: a value could not be saved; a value saved before stays in the store", "kind", kind, "err", err)
	}
}

func (k *Keeper) write(kind string, record *Record) error {
	if len(record.Body) > maxValueBytes {
		return fmt.Errorf("value of %d bytes; at most %d bytes can be stored", len(record.Body), maxValueBytes)
	}
	done := make(chan error, 1)
	k.store.Append([]store.Entry{{Key: kind, Value: record.encode()}}, func(err error) { done <- err })
	return <-done
}
