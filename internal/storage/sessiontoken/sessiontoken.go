// Package sessiontoken keeps sessions' last commits on a durable store, so that a pooler that is started again does not answer a session
// with less than it had seen.
package sessiontoken

import (
	"errors"
	"fmt"
	"log/slog"
	"slices"

	"google.golang.org/protobuf/encoding/protowire"

	"beechgrade/internal/decide"
	"beechgrade/internal/invariant"
	"beechgrade/internal/storage/store"
)

// Mode says when a write's answer goes out.
type Mode uint8

// The modes.
const (
	Before    Mode = iota // once its session's commit is durable
	Alongside             // at once: a start after a crash takes every session for as late as that start
)

func (m Mode) String() string { return [...]string{"before", "alongside"}[m] }

// MostSessions are kept at most. Beyond, all are dropped at once, and any session counts as written as late as the latest of them, as
// the decision module has it.
const MostSessions = 20000

const (
	prefix, behind = "commit/", "commit0"
	dropped        = "dropped" // the latest commit of those that are kept no more
	marker         = "open"    // a process answers writes without waiting, and has not ended in order
	longName       = 200       // bytes; a session of more is not kept by its name
)

// Keeper keeps them. It is for the loop alone.
type Keeper struct {
	store *store.Store
	mode  Mode
	post  func(func()) // runs what tells of a commit, on the loop
	log   *slog.Logger
	most  int

	known   map[string]decide.Time
	earlier map[string]decide.Time // those that were dropped last
	long    map[string]decide.Time // those whose names are too long to be kept, as many as may be known
	dropped decide.Time
	failed  bool // it was told that the disk takes nothing more

	checks *invariant.Checks // nil for off
	every  int
	walked int
}

// MostBytes is what a session's commit has at most, key and value.
const MostBytes = len(prefix) + longName + 9

// Bound bounds the sessions further, where memory is short.
func (k *Keeper) Bound(most int) { k.most = min(k.most, max(1, most)) }

// Check has the keeper check statements about its state, with a walk over it each so many changes.
func (k *Keeper) Check(c *invariant.Checks, every int) { k.checks, k.every = c, every }

// New makes a keeper on a store that is open and posts nothing itself. Where the process before ended without an order and had
// answered writes without waiting, every session counts as written as late as now, or as the latest that is kept where the clock has gone
// back. What that leads to is durable when New returns.
func New(s *store.Store, mode Mode, now decide.Time, post func(func()), log *slog.Logger) (*Keeper, error) {
	k := &Keeper{store: s, mode: mode, post: post, log: log, most: MostSessions, known: map[string]decide.Time{}}
	h := Read(s, now, log)
	k.known, k.dropped = h.commits, h.dropped
	var entries []store.Entry
	if h.unclean {
		log.Warn("sessions: the process before did not end in order: every session counts as written until now")
		entries = k.drop(h.until)
	}
	if mode == Alongside {
		entries = append(entries, store.Entry{Key: marker, Value: encode(now)})
	} else if h.unclean {
		entries = append(entries, store.Entry{Key: marker, Gone: true})
	}
	if len(entries) > 0 {
		done := make(chan error, 1)
		s.Append(entries, func(err error) { done <- err })
		if err := <-done; err != nil {
			return nil, fmt.Errorf("sessions: %w", err)
		}
	}
	return k, nil
}

// drop drops all sessions, and has the others count as written until then at least.
func (k *Keeper) drop(until decide.Time) (entries []store.Entry) {
	names := make([]string, 0, len(k.known))
	for name, at := range k.known {
		names = append(names, name)
		until = max(until, at)
	}
	slices.Sort(names)
	for _, name := range names {
		entries = append(entries, store.Entry{Key: prefix + name, Gone: true})
	}
	k.earlier, k.known = k.known, map[string]decide.Time{}
	k.dropped = max(k.dropped, until)
	return append(entries, store.Entry{Key: dropped, Value: encode(k.dropped)})
}

// Memory is what the router is given at a start.
func (k *Keeper) Memory() *decide.Snapshot {
	m := &decide.Snapshot{ForgottenCommit: k.dropped}
	for name, at := range k.known {
		m.Commits = append(m.Commits, decide.SessionCommit{Session: name, At: at})
	}
	slices.SortFunc(m.Commits, func(a, b decide.SessionCommit) int {
		if a.Session < b.Session {
			return -1
		}
		return 1
	})
	return m
}

// Keep is core.SessionTokens'.
func (k *Keeper) Keep(session string, at decide.Time, done func(kept bool)) (waits bool) {
	var entries []store.Entry
	was, ok := k.known[session]
	switch {
	case len(session) > longName:
		k.dropped = max(k.dropped, at)
		if len(k.long) >= k.most || k.long == nil {
			k.long = map[string]decide.Time{}
		}
		k.long[session] = at
		entries = []store.Entry{{Key: dropped, Value: encode(k.dropped)}}
	case ok && was >= at:
		entries = []store.Entry{{Key: prefix + session, Value: encode(was)}} // it may be on its way yet: this one comes behind it
	default:
		if !ok && len(k.known) >= k.most {
			entries = k.drop(0)
		}
		k.known[session] = at
		entries = append(entries, store.Entry{Key: prefix + session, Value: encode(at)})
	}
	if k.checks.On() {
		k.checkStep(session, was, ok)
		k.check()
	}
	waits = k.mode == Before && done != nil
	k.store.Append(entries, func(err error) {
		if err == nil && !waits {
			return
		}
		k.post(func() {
			if err != nil && !k.failed {
				k.failed = true
				k.log.Error("sessions: commits are not kept", "mode", k.mode.String(), "err", err)
			}
			if waits {
				if err == nil {
					k.checkKept(session, at)
				}
				done(err == nil)
			}
		})
	})
	return waits
}

// Close ends in order, once the loop has ended: what was answered is kept by then, or the next start is told that it may not be.
func Close(s *store.Store, mode Mode) error {
	var err error
	if mode == Alongside {
		done := make(chan error, 1)
		s.Append([]store.Entry{{Key: marker, Gone: true}}, func(err error) { done <- err })
		err = <-done
	}
	return errors.Join(err, s.Close())
}

// encode writes a time as a protobuf message:
//
//	message Commit { sfixed64 at_ns = 1; }
func encode(at decide.Time) []byte {
	return protowire.AppendFixed64(protowire.AppendTag(nil, 1, protowire.Fixed64Type), uint64(at))
}

var errForeign = errors.New("it is of another kind")

func decode(b []byte) (decide.Time, error) {
	num, typ, n := protowire.ConsumeTag(b)
	if n < 0 || num != 1 || typ != protowire.Fixed64Type {
		return 0, errForeign
	}
	x, m := protowire.ConsumeFixed64(b[n:])
	if m < 0 {
		return 0, errForeign
	}
	return decide.Time(x), nil
}
