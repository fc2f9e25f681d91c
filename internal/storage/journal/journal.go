// Package journal records durably which attempts of requests that must not run twice may have run at a server. An attempt is recorded before
// its first byte is sent or concurrently with it, depending on Mode, and its outcome once it has ended. Package backend/journaled puts a
// journal in front of the connections to servers.
package journal

import (
	"cmp"
	"fmt"
	"slices"

	"beechgrade/internal/decide"
	"beechgrade/internal/storage/store"
)

// Mode says when an attempt's first byte is sent.
type Mode uint8

// The modes.
const (
	BeforeSend Mode = iota // once the attempt is durable: no attempt that ran is missing after a crash
	Alongside              // at once, while the attempt is being written: the last attempts before a crash may be missing
)

func (m Mode) String() string { return [...]string{"before", "alongside"}[m] }

// Store is the part of the durable store that the journal uses.
type Store interface {
	Append(entries []store.Entry, done func(error)) // done is called on the loop
	Range(from, to string, visit func(key string, value []byte) bool)
}

// The key of an attempt is the prefix, the start time of the process that recorded it, and a counter.
const (
	attemptPrefix    = "attempt/"
	attemptPrefixEnd = "attempt0" // the first key after all with the prefix
	keyFormat        = "%013x-%08x"
	keyStartFormat   = "%013x-"
)

// Journal records attempts in a store. Its methods must be called on the event loop.
type Journal struct {
	store     Store
	startedAt float64 // Unix ms; part of this process's keys
	recorded  uint64
	earlier   map[string]bool // ids of requests that may have run before this process started
}

// Entry is an attempt with its key in the store.
type Entry struct {
	Attempt Attempt
	key     string
}

// New returns a journal on an open store. The attempts of earlier processes that it finds there may have run.
func New(s Store, nowMs float64) *Journal {
	j := &Journal{store: s, startedAt: nowMs, earlier: map[string]bool{}}
	for _, attempt := range Pending(s) {
		j.earlier[attempt.ID] = true
	}
	// A key must not be reused, even if the clock was set back.
	s.Range(attemptPrefix, attemptPrefixEnd, func(key string, _ []byte) bool {
		var started int64
		if n, err := fmt.Sscanf(key[len(attemptPrefix):], keyStartFormat, &started); err == nil && n == 1 {
			j.startedAt = max(j.startedAt, float64(started+1))
		}
		return true
	})
	return j
}

// MayHaveRun reports whether a request with this id may have run before this process started.
func (j *Journal) MayHaveRun(id string) bool { return j.earlier[id] }

// NewEntry returns an entry for an attempt, to be stored by Record.
func (j *Journal) NewEntry(attempt Attempt) *Entry {
	j.recorded++
	return &Entry{Attempt: attempt, key: attemptPrefix + fmt.Sprintf(keyFormat, int64(j.startedAt), j.recorded)}
}

// Record stores an attempt before it is sent. done is called once it is durable or storing it has failed.
func (j *Journal) Record(entry *Entry, done func(error)) {
	j.store.Append([]store.Entry{{Key: entry.key, Value: entry.Attempt.encode()}}, done)
}

// RecordOutcome records how an attempt ended. An attempt that was answered or is known not to have run is removed; any other stays.
func (j *Journal) RecordOutcome(entry *Entry, result decide.Result, done func(error)) {
	change := store.Entry{Key: entry.key, Deleted: true}
	if mayHaveRun(result) {
		entry.Attempt.Outcome = uint64(result) + 1
		change = store.Entry{Key: entry.key, Value: entry.Attempt.encode()}
	}
	j.store.Append([]store.Entry{change}, done)
}

// mayHaveRun reports whether it is unknown if an attempt with this result ran.
func mayHaveRun(result decide.Result) bool {
	switch result {
	case decide.Failed, decide.TimedOut, decide.Reset, decide.Cancelled:
		return true
	}
	return false
}

// Pending returns the attempts in a store, sorted by server and time. Each of them may have run.
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

// Clear removes all pending attempts, once an operator has reviewed them.
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
