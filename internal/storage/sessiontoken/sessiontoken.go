// Package sessiontoken keeps sessions' last commits on a durable store, so that a pooler that is started again does not answer a session with
// less than it has seen. At most MaxSessions are kept by name; where there are more, all are forgotten at once, and any session counts as
// written as late as the latest of them. That is never less than a session has seen.
package sessiontoken

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"

	"beechgrade/internal/decide"
	"beechgrade/internal/invariant"
	"beechgrade/internal/storage/store"
)

// Mode is when the answer of a write goes out.
type Mode uint8

// The modes.
const (
	BeforeAnswer Mode = iota // the session's commit is durable before
	Alongside                // at once: after a crash every session counts as written until the next start
)

func (m Mode) String() string { return [...]string{"before", "alongside"}[m] }

// MaxSessions bounds the sessions that are kept by name.
const MaxSessions = 20000

// The keys of the store.
const (
	commitPrefix    = "commit/"
	commitPrefixEnd = "commit0" // the first key after all with the prefix
	forgottenKey    = "dropped" // the latest commit of the sessions that are not kept by name
	openKey         = "open"    // a process answers writes without waiting, and has not shut down cleanly
)

const maxNameBytes = 200 // a session with a longer name is not kept by it

// MaxRecordBytes bounds the key and the value of a session's commit.
const MaxRecordBytes = len(commitPrefix) + maxNameBytes + encodedTimeBytes

// Keeper keeps sessions' commits. It is for the loop alone.
type Keeper struct {
	store       *store.Store
	mode        Mode
	post        func(func()) // runs callbacks of the store on the loop
	log         *slog.Logger
	maxSessions int

	commits           map[string]decide.Time
	lastForgotten     map[string]decide.Time // the sessions that were forgotten last
	longNamed         map[string]decide.Time // sessions whose names are too long to be kept, at most maxSessions
	forgottenUntil    decide.Time            // any session that is not in commits counts as written by then
	diskFailureLogged bool

	checks           *invariant.Checks // nil for off
	changesPerWalk   int
	changesSinceWalk int
}

// LimitSessions bounds the sessions further, where memory is short.
func (k *Keeper) LimitSessions(limit int) { k.maxSessions = min(k.maxSessions, max(1, limit)) }

// UseChecks has the keeper check its invariants, and walk over its state every so many changes.
func (k *Keeper) UseChecks(checks *invariant.Checks, changesPerWalk int) {
	k.checks = checks
	k.changesPerWalk = changesPerWalk
}

// New makes a keeper on an open store, whose callbacks post runs on the loop. Where the process before did not shut down cleanly and had
// answered writes without waiting, every session counts as written until now, or until the latest commit that is kept where the clock was set
// back. What follows from that is durable when New returns.
func New(s *store.Store, mode Mode, now decide.Time, post func(func()), log *slog.Logger) (*Keeper, error) {
	stored := Read(s, now, log)
	k := &Keeper{
		store: s, mode: mode, post: post, log: log, maxSessions: MaxSessions, commits: stored.commits, forgottenUntil: stored.forgottenUntil,
	}
	var entries []store.Entry
	if stored.uncleanShutdown {
		log.Warn("sessions: the previous process did not shut down cleanly; every session counts as written until now")
		entries = k.forgetAll(stored.latestCommit)
	}
	if mode == Alongside {
		entries = append(entries, store.Entry{Key: openKey, Value: encode(now)})
	} else if stored.uncleanShutdown {
		entries = append(entries, store.Entry{Key: openKey, Deleted: true})
	}
	if err := appendAndWait(s, entries); err != nil {
		return nil, fmt.Errorf("sessions: %w", err)
	}
	return k, nil
}

// appendAndWait returns once entries are durable, or cannot be.
func appendAndWait(s *store.Store, entries []store.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	done := make(chan error, 1)
	s.Append(entries, func(err error) { done <- err })
	return <-done
}

// forgetAll forgets all sessions by name: they, and all that are not known, count as written until then at least.
func (k *Keeper) forgetAll(until decide.Time) []store.Entry {
	var entries []store.Entry
	for _, name := range slices.Sorted(maps.Keys(k.commits)) {
		until = max(until, k.commits[name])
		entries = append(entries, store.Entry{Key: commitPrefix + name, Deleted: true})
	}
	k.lastForgotten = k.commits
	k.commits = map[string]decide.Time{}
	k.forgottenUntil = max(k.forgottenUntil, until)
	return append(entries, k.forgottenEntry())
}

func (k *Keeper) forgottenEntry() store.Entry {
	return store.Entry{Key: forgottenKey, Value: encode(k.forgottenUntil)}
}

func commitEntry(session string, at decide.Time) store.Entry {
	return store.Entry{Key: commitPrefix + session, Value: encode(at)}
}

// Snapshot returns what the decision module is given at a start.
func (k *Keeper) Snapshot() *decide.Snapshot {
	snapshot := &decide.Snapshot{ForgottenCommit: k.forgottenUntil}
	for name, at := range k.commits {
		snapshot.Commits = append(snapshot.Commits, decide.SessionCommit{Session: name, At: at})
	}
	slices.SortFunc(snapshot.Commits, func(a, b decide.SessionCommit) int { return cmp.Compare(a.Session, b.Session) })
	return snapshot
}

// Keep keeps a session's commit. It reports whether the answer has to wait: then done is called on the loop, with whether the commit is
// durable. done may be nil where nobody waits.
func (k *Keeper) Keep(session string, at decide.Time, done func(kept bool)) (waits bool) {
	before, known := k.commits[session]
	entries := k.record(session, at)
	if k.checks.Enabled() {
		k.checkStep(session, before, known)
		k.checkInvariants()
	}
	waits = k.mode == BeforeAnswer && done != nil
	k.store.Append(entries, func(err error) {
		if err == nil && !waits {
			return
		}
		k.post(func() {
			k.logFailure(err)
			if !waits {
				return
			}
			if err == nil {
				k.checkStored(session, at)
			}
			done(err == nil)
		})
	})
	return waits
}

// record takes a commit, and returns what is to be stored for it.
func (k *Keeper) record(session string, at decide.Time) []store.Entry {
	if len(session) > maxNameBytes {
		k.forgottenUntil = max(k.forgottenUntil, at)
		if len(k.longNamed) >= k.maxSessions || k.longNamed == nil {
			k.longNamed = map[string]decide.Time{}
		}
		k.longNamed[session] = at
		return []store.Entry{k.forgottenEntry()}
	}
	before, known := k.commits[session]
	if known && before >= at {
		return []store.Entry{commitEntry(session, before)} // the one before may not be durable yet: this one comes after it
	}
	var entries []store.Entry
	if !known && len(k.commits) >= k.maxSessions {
		entries = k.forgetAll(0)
	}
	k.commits[session] = at
	return append(entries, commitEntry(session, at))
}

// logFailure logs the first error of the store.
func (k *Keeper) logFailure(err error) {
	if err != nil && !k.diskFailureLogged {
		k.diskFailureLogged = true
		k.log.Error("sessions: the store failed, commits are not kept", "mode", k.mode.String(), "err", err)
	}
}

// Close closes the store cleanly, once the loop has ended: what was answered is durable by then, or the next start finds that it may not be.
func Close(s *store.Store, mode Mode) error {
	var err error
	if mode == Alongside {
		err = appendAndWait(s, []store.Entry{{Key: openKey, Deleted: true}})
	}
	return errors.Join(err, s.Close())
}
