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
	BeforeAnswer Mode = iota // once its session's commit is durable
	Alongside                // at once: a start after a crash takes every session for as late as that start
)

func (m Mode) String() string { return [...]string{"before", "alongside"}[m] }

// MaxSessions are kept at most. Beyond, all are dropped at once, and any session counts as written as late as the latest of them, as
// the decision module has it.
const MaxSessions = 20000

const (
	commitPrefix, commitPrefixEnd = "commit/", "commit0"
	forgottenKey                  = "dropped" // the latest commit of those that are kept no more
	openKey                       = "open"    // a process answers writes without waiting, and has not ended in order
	maxNameBytes                  = 200       // bytes; a session of more is not kept by its name
)

// Keeper keeps them. It is for the loop alone.
type Keeper struct {
	store       *store.Store
	mode        Mode
	post        func(func()) // runs what tells of a commit, on the loop
	log         *slog.Logger
	maxSessions int

	commits           map[string]decide.Time
	lastForgotten     map[string]decide.Time // those that were dropped last
	longNamed         map[string]decide.Time // those whose names are too long to be kept, as many as may be known
	forgottenUntil    decide.Time
	diskFailureLogged bool // it was told that the disk takes nothing more

	checks           *invariant.Checks // nil for off
	changesPerWalk   int
	changesSinceWalk int
}

// MaxRecordBytes is what a session's commit has at most, key and value.
const MaxRecordBytes = len(commitPrefix) + maxNameBytes + 9

// LimitSessions bounds the sessions further, where memory is short.
func (k *Keeper) LimitSessions(most int) { k.maxSessions = min(k.maxSessions, max(1, most)) }

// UseChecks has the keeper check statements about its state, with a walk over it each so many changes.
func (k *Keeper) UseChecks(c *invariant.Checks, every int) { k.checks, k.changesPerWalk = c, every }

// New makes a keeper on a store that is open and posts nothing itself. Where the process before ended without an order and had
// answered writes without waiting, every session counts as written as late as now, or as the latest that is kept where the clock has gone
// back. What that leads to is durable when New returns.
func New(s *store.Store, mode Mode, now decide.Time, post func(func()), log *slog.Logger) (*Keeper, error) {
	k := &Keeper{store: s, mode: mode, post: post, log: log, maxSessions: MaxSessions, commits: map[string]decide.Time{}}
	h := Read(s, now, log)
	k.commits, k.forgottenUntil = h.commits, h.forgottenUntil
	var entries []store.Entry
	if h.uncleanShutdown {
		log.Warn("sessions: the process before did not end in order: every session counts as written until now")
		entries = k.forgetAll(h.latestCommit)
	}
	if mode == Alongside {
		entries = append(entries, store.Entry{Key: openKey, Value: encode(now)})
	} else if h.uncleanShutdown {
		entries = append(entries, store.Entry{Key: openKey, Deleted: true})
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

// forgetAll drops all sessions, and has the others count as written until then at least.
func (k *Keeper) forgetAll(until decide.Time) (entries []store.Entry) {
	names := make([]string, 0, len(k.commits))
	for name, at := range k.commits {
		names = append(names, name)
		until = max(until, at)
	}
	slices.Sort(names)
	for _, name := range names {
		entries = append(entries, store.Entry{Key: commitPrefix + name, Deleted: true})
	}
	k.lastForgotten, k.commits = k.commits, map[string]decide.Time{}
	k.forgottenUntil = max(k.forgottenUntil, until)
	return append(entries, store.Entry{Key: forgottenKey, Value: encode(k.forgottenUntil)})
}

// Snapshot is what the router is given at a start.
func (k *Keeper) Snapshot() *decide.Snapshot {
	m := &decide.Snapshot{ForgottenCommit: k.forgottenUntil}
	for name, at := range k.commits {
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
	was, ok := k.commits[session]
	switch {
	case len(session) > maxNameBytes:
		k.forgottenUntil = max(k.forgottenUntil, at)
		if len(k.longNamed) >= k.maxSessions || k.longNamed == nil {
			k.longNamed = map[string]decide.Time{}
		}
		k.longNamed[session] = at
		entries = []store.Entry{{Key: forgottenKey, Value: encode(k.forgottenUntil)}}
	case ok && was >= at:
		entries = []store.Entry{{Key: commitPrefix + session, Value: encode(was)}} // it may be on its way yet: this one comes behind it
	default:
		if !ok && len(k.commits) >= k.maxSessions {
			entries = k.forgetAll(0)
		}
		k.commits[session] = at
		entries = append(entries, store.Entry{Key: commitPrefix + session, Value: encode(at)})
	}
	if k.checks.Enabled() {
		k.checkStep(session, was, ok)
		k.checkInvariants()
	}
	waits = k.mode == BeforeAnswer && done != nil
	k.store.Append(entries, func(err error) {
		if err == nil && !waits {
			return
		}
		k.post(func() {
			if err != nil && !k.diskFailureLogged {
				k.diskFailureLogged = true
				k.log.Error("sessions: commits are not kept", "mode", k.mode.String(), "err", err)
			}
			if waits {
				if err == nil {
					k.checkStored(session, at)
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
		s.Append([]store.Entry{{Key: openKey, Deleted: true}}, func(err error) { done <- err })
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

var errMalformed = errors.New("it is of another kind")

func decode(b []byte) (decide.Time, error) {
	num, typ, n := protowire.ConsumeTag(b)
	if n < 0 || num != 1 || typ != protowire.Fixed64Type {
		return 0, errMalformed
	}
	x, m := protowire.ConsumeFixed64(b[n:])
	if m < 0 {
		return 0, errMalformed
	}
	return decide.Time(x), nil
}
