// Package journal keeps, across crashes, which attempts of what must never run twice may have run at a server: each is durable
// before, or beside, its first byte, and its end after.
package journal

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"slices"

	"beechgrade/internal/backend"
	"beechgrade/internal/core"
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/eventloop/timers"
	"beechgrade/internal/storage/store"
)

// Mode says when an attempt's first byte goes out.
type Mode uint8

// The modes.
const (
	BeforeSend Mode = iota // once its entry is durable: none that ran is ever missing
	Alongside              // at once, as its entry is being written: one of the last moments may be missing
)

func (m Mode) String() string { return [...]string{"before", "alongside"}[m] }

// Loop is the event loop as the journal needs it.
type Loop interface {
	Now() float64
	At(ms float64, do func()) *timers.Timer
	StopTimer(t *timers.Timer)
}

// Core is the request table as the journal needs it.
type Core interface {
	ClientID(request slotmap.Ref) string // by what its client knows a request
	AttemptEnded(t backend.AttemptID, o backend.Outcome)
}

// Store is the durable store as the journal needs it.
type Store interface {
	Append(entries []store.Entry, done func(error)) // done is called on the loop
	Range(from, to string, f func(key string, value []byte) bool)
}

// ownRef is in the refs of attempts that the journal holds back, so that they differ from the servers'.
const ownRef = 1 << 29

// Journal stands between the core and the connections to servers. It is for the loop alone.
type Journal struct {
	core.Servers
	loop  Loop
	log   *slog.Logger
	core  Core
	store Store
	mode  Mode
	began float64
	n     uint64
	held  slotmap.Table[*held]
	keys  map[backend.AttemptID]*held
	ran   map[string]bool // ids that may have run before this process began
}

// held is an attempt that the journal knows of.
type held struct {
	ref     slotmap.Ref
	key     string
	attempt Attempt
	tag     backend.AttemptID
	inner   slotmap.Ref
	started bool
	over    bool
	timer   *timers.Timer
}

// New makes a journal on a store that is open, before the connections to servers. What the store holds of earlier processes
// may have run.
func New(l Loop, log *slog.Logger, c Core, s Store, mode Mode) *Journal {
	j := &Journal{loop: l, log: log, core: c, store: s, mode: mode, began: l.Now(), keys: map[backend.AttemptID]*held{}, ran: map[string]bool{}}
	for _, a := range Pending(s) {
		j.ran[a.ID] = true
	}
	s.Range(attemptPrefix, attemptPrefixEnd, func(key string, _ []byte) bool { // none of these may be written over, whatever the clock says
		var was int64
		if n, err := fmt.Sscanf(key[len(attemptPrefix):], "%013x-", &was); err == nil && n == 1 {
			j.began = max(j.began, float64(was+1))
		}
		return true
	})
	return j
}

// Wrap has attempts go through the journal.
func (j *Journal) Wrap(s core.Servers) core.Servers {
	j.Servers = s
	return j
}

// Ran tells whether a client's id may have run before this process began.
func (j *Journal) Ran(id string) bool { return j.ran[id] }

// SetGroup is core.Grouped's.
func (j *Journal) SetGroup(id string, group int) {
	if g, ok := j.Servers.(core.Grouped); ok {
		g.SetGroup(id, group)
	}
}

// Start is core.Servers'.
func (j *Journal) Start(id string, q backend.Query, until float64, on backend.SendConditions, t backend.AttemptID) slotmap.Ref {
	if !on.AtMostOnce {
		return j.Servers.Start(id, q, until, on, t)
	}
	j.n++
	h := &held{key: fmt.Sprintf("%s%013x-%08x", attemptPrefix, int64(j.began), j.n), tag: t,
		attempt: Attempt{ID: j.core.ClientID(t.Request), Server: id, StartedAt: j.loop.Now(), Number: t.Number}}
	j.keys[t] = h
	entry := []store.Entry{{Key: h.key, Value: h.attempt.encode()}}
	if j.mode == Alongside {
		j.store.Append(entry, j.failed)
		return j.Servers.Start(id, q, until, on, t)
	}
	h.ref = j.held.Put(h)
	h.timer = j.loop.At(until, func() { j.skip(h) })
	j.store.Append(entry, func(err error) {
		switch {
		case h.over:
		case err != nil: // what cannot be told of afterwards is not sent
			j.failed(err)
			j.skip(h)
		default:
			j.loop.StopTimer(h.timer)
			h.started = true
			h.inner = j.Servers.Start(id, q, until, on, t)
		}
	})
	return slotmap.Ref{Index: h.ref.Index | ownRef, Gen: h.ref.Gen}
}

func (j *Journal) failed(err error) {
	if err != nil && !errors.Is(err, store.ErrClosed) {
		j.log.Error("journal", "err", err)
	}
}

// skip ends an attempt that waits for its entry: it was never sent.
func (j *Journal) skip(h *held) {
	if h.over || h.started {
		return
	}
	h.over = true
	j.loop.StopTimer(h.timer)
	j.core.AttemptEnded(h.tag, backend.Outcome{Result: decide.NotSent})
}

// Cancel is core.Servers'.
func (j *Journal) Cancel(ref slotmap.Ref) {
	if ref.Index&ownRef == 0 || ref.Index&^uint32(ownRef) >= ownRef {
		j.Servers.Cancel(ref)
		return
	}
	ref.Index &^= ownRef
	h, ok := j.held.Get(ref)
	switch {
	case !ok:
	case h.started:
		j.Servers.Cancel(h.inner)
	default:
		j.skip(h)
	}
}

// CloseIdle is core.Servers': what waits for its entry is not sent to a server that drains.
func (j *Journal) CloseIdle(id string) {
	j.recall(func(h *held) bool { return h.attempt.Server == id })
	j.Servers.CloseIdle(id)
}

// Forget is core.Servers'.
func (j *Journal) Forget(id string) {
	j.recall(func(h *held) bool { return h.attempt.Server == id })
	j.Servers.Forget(id)
}

// Retain is core.Servers'.
func (j *Journal) Retain(ids map[string]bool) {
	j.recall(func(h *held) bool { return !ids[h.attempt.Server] })
	j.Servers.Retain(ids)
}

// Recall is core.Servers'.
func (j *Journal) Recall(id string, which func(backend.AttemptID) bool) {
	j.recall(func(h *held) bool { return h.attempt.Server == id && which(h.tag) })
	j.Servers.Recall(id, which)
}

func (j *Journal) recall(which func(*held) bool) {
	var out []*held
	j.held.Each(func(_ slotmap.Ref, h *held) {
		if !h.started && !h.over && which(h) {
			out = append(out, h)
		}
	})
	for _, h := range out {
		j.skip(h)
	}
}

// Ended is told how an attempt ended. One that was answered, or that is known not to have run, is nobody's concern any more;
// any other stays.
func (j *Journal) Ended(t backend.AttemptID, res decide.Result) {
	h := j.keys[t]
	if h == nil {
		return
	}
	delete(j.keys, t)
	h.over = true
	if h.ref != (slotmap.Ref{}) {
		j.held.Remove(h.ref)
	}
	e := store.Entry{Key: h.key, Deleted: true}
	switch res {
	case decide.Failed, decide.TimedOut, decide.Reset, decide.Cancelled:
		h.attempt.Outcome = uint64(res) + 1
		e = store.Entry{Key: h.key, Value: h.attempt.encode()}
	}
	j.store.Append([]store.Entry{e}, j.failed)
}

const attemptPrefix, attemptPrefixEnd = "attempt/", "attempt0" // behind is the first key that is behind all with the prefix

// Pending are the attempts that a store holds, by server and time: each may have run.
func Pending(s Store) (out []Attempt) {
	s.Range(attemptPrefix, attemptPrefixEnd, func(_ string, v []byte) bool {
		if a, err := decode(v); err == nil {
			out = append(out, a)
		}
		return true
	})
	slices.SortStableFunc(out, func(a, b Attempt) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.StartedAt, b.StartedAt))
	})
	return out
}

// Clear drops all that is pending, once it has been reconciled.
func Clear(s Store, done func(error)) {
	var gone []store.Entry
	s.Range(attemptPrefix, attemptPrefixEnd, func(k string, _ []byte) bool {
		gone = append(gone, store.Entry{Key: k, Deleted: true})
		return true
	})
	if len(gone) == 0 {
		done(nil)
		return
	}
	s.Append(gone, done)
}
