// Package journal keeps, across crashes, which attempts of requests that must never run twice may have run at a server: an attempt is durable
// before its first byte is sent, or is being written beside it (Mode), and its outcome after. Package backend/journaled puts a journal before
// the connections to servers.
package journal

import (
	"cmp"
	"fmt"
	"slices"

	"beechgrade/internal/decide"
	"beechgrade/internal/storage/store"
)

// Mode is when an attempt's first byte is sent.
type Mode uint8

// The modes.
const (
	BeforeSend Mode = iota // once the attempt is durable: none that ran is ever missing
	Alongside              // at once, while the attempt is being written: one of the last moments may be missing
)

func (m Mode) String() string { return [...]string{"before", "alongside"}[m] }

// Store is the durable store as the journal needs it.
type Store interface {
	Append(entries []store.Entry, done func(error)) // done is called on the loop
	Range(from, to string, visit func(key string, value []byte) bool)
}

// The keys of attempts: the prefix, the start of the process that recorded it, and a count.
const (
	attemptPrefix    = "attempt/"
	attemptPrefixEnd = "attempt0" // the first key after all with the prefix
	keyFormat        = "%013x-%08x"
	keyStartFormat   = "%013x-"
)

// Journal records attempts on a store. It is for the loop alone.
type Journal struct {
	store     Store
	startedAt float64 // Unix ms, in this process's keys
	recorded  uint64
	earlier   map[string]bool // ids of requests that may have run before this process began
}

// Entry is an attempt with its key in the store.
type Entry struct {
	Attempt Attempt
	key     string
}

// New makes a journal on an open store. The attempts of earlier processes in it may have run.
func New(s Store, nowMs float64) *Journal {
	j := &Journal{store: s, startedAt: nowMs, earlier: map[string]bool{}}
	for _, attempt := range Pending(s) {
		j.earlier[attempt.ID] = true
	}
	// No key may be used again, whatever the clock says.
	s.Range(attemptPrefix, attemptPrefixEnd, func(key string, _ []byte) bool {
		var started int64
		if n, err := fmt.Sscanf(key[len(attemptPrefix):], keyStartFormat, &started); err == nil && n == 1 {
			j.startedAt = max(j.startedAt, float64(started+1))
		}
		return true
	})
	return j
}

// MayHaveRun reports whether a request of this id may have run before this process began.
func (j *Journal) MayHaveRun(id string) bool { return j.earlier[id] }

// NewEntry makes an entry for an attempt, which Record stores.
func (j *Journal) NewEntry(attempt Attempt) *Entry {
	j.recorded++
	return &Entry{Attempt: attempt, key: attemptPrefix + fmt.Sprintf(keyFormat, int64(j.startedAt), j.recorded)}
}

// Record stores an attempt before it is sent. done is called once it is durable, or cannot be.
func (j *Journal) Record(entry *Entry, done func(error)) {
	j.store.Append([]store.Entry{{Key: entry.key, Value: entry.Attempt.encode()}}, done)
}

// RecordOutcome records how an attempt ended. One that was answered, or is known not to have run, is removed; any other stays.
func (j *Journal) RecordOutcome(entry *Entry, result decide.Result, done func(error)) {
	change := store.Entry{Key: entry.key, Deleted: true}
	if mayHaveRun(result) {
		entry.Attempt.Outcome = uint64(result) + 1
		change = store.Entry{Key: entry.key, Value: entry.Attempt.encode()}
	}
	j.store.Append([]store.Entry{change}, done)
}

// mayHaveRun reports whether it is not known that an attempt with this result did not run.
func mayHaveRun(result decide.Result) bool {
	switch result {
	case decide.Failed, decide.TimedOut, decide.Reset, decide.Cancelled:
		return true
	}
	return false
}

// Pending returns the attempts that a store holds, by server and time: each may have run.
func Pending(s Store) []Attempt {
	var attempts []Attempt
	s.Range(attemptPrefix, attemptPrefixEnd, func(_ string, value []byte) bool {
		if attempt, err := decode(value); err == nil {
			attempts = append(attempts, attempt)
		}
		return true
	})
	slices.SortStableFunc(attempts, func(a, b Attempt) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.StartedAt, b.StartedAt))
	})
	return attempts
}

// Clear removes all pending attempts, once an operator has looked at them.
func Clear(s Store, done func(error)) {
	var deletions []store.Entry
	s.Range(attemptPrefix, attemptPrefixEnd, func(key string, _ []byte) bool {
		deletions = append(deletions, store.Entry{Key: key, Deleted: true})
		return true
	})
	if len(deletions) == 0 {
		done(nil)
		return
	}
	s.Append(deletions, done)
}
