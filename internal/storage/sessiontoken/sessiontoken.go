// Package sessiontoken keeps the time of each session's last commit in a durable store, so that a restarted pooler does not serve a session
// older data than the session has already seen. At most MaxSessions sessions are stored by name. When there are more, all of them are
// forgotten at once, and every session that is not stored counts as having written at the latest of their commits. That is never earlier
// than the session's own last commit.
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

// Mode says when a write is answered.
type Mode uint8

// The modes.
const (
	BeforeAnswer Mode = iota // once the session's commit is durable
	Alongside                // at once; after a crash every session counts as written until the next start
)

func (m Mode) String() string { return [...]string{"before", "alongside"}[m] }

// MaxSessions is the maximum number of sessions that are stored by name.
const MaxSessions = 20000

// The keys of the store.
const (
	commitPrefix    = "commit/"
	commitPrefixEnd = "commit0" // the first key after all with the prefix
	forgottenKey    = "dropped" // the latest commit of the sessions that are not stored by name
	openKey         = "open"    // present while a process that answers before commits are durable runs; left behind by an unclean shutdown
)

const maxNameBytes = 200 // a session with a longer name is not stored by name

// MaxRecordBytes is the maximum size of the key and the value of a session's commit.
const MaxRecordBytes = len(commitPrefix) + maxNameBytes + encodedTimeBytes

// Keeper keeps the commits of sessions. Its methods must be called on the event loop.
type Keeper struct {
	store       *store.Store
	mode        Mode
	post        func(func()) // runs callbacks of the store on the loop
	log         *slog.Logger
	maxSessions int

	commits           map[string]decide.Time
	lastForgotten     map[string]decide.Time // the sessions that the last forgetAll removed
	longNamed         map[string]decide.Time // sessions whose names are too long to be stored, at most maxSessions
	forgottenUntil    decide.Time            // a session that is not in commits counts as written at that time
	diskFailureLogged bool

	checks           *invariant.Checks // nil if checking is disabled
	changesPerWalk   int
	changesSinceWalk int
}

// LimitSessions lowers the maximum number of sessions, where memory is scarce.
func (k *Keeper) LimitSessions(limit int) { k.maxSessions = min(k.maxSessions, max(1, limit)) }

// UseChecks enables checks of the invariants, with a walk over all sessions once in changesPerWalk changes.
func (k *Keeper) UseChecks(checks *invariant.Checks, changesPerWalk int) {
	k.checks = checks
	k.changesPerWalk = changesPerWalk
}

// New returns a keeper on an open store; post runs the store's callbacks on the loop. If the previous process answered writes before they
// were durable and did not shut down cleanly, every session counts as written until now, or until the latest stored commit if the clock was
// set back. This is durable when New returns.
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

// appendAndWait appends entries, and returns once they are durable or have failed.
func appendAndWait(s *store.Store, entries []store.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	done := make(chan error, 1)
	s.Append(entries, func(err error) { done <- err })
	return <-done
}

// forgetAll removes all sessions and returns the entries to store for that. They, and all unknown sessions, then count as written at until, or
// at the latest of their commits if that is later.
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

// Snapshot returns the commits for the decision module at startup.
func (k *Keeper) Snapshot() *decide.Snapshot {
	snapshot := &decide.Snapshot{ForgottenCommit: k.forgottenUntil}
	for name, at := range k.commits {
		snapshot.Commits = append(snapshot.Commits, decide.SessionCommit{Session: name, At: at})
	}
	slices.SortFunc(snapshot.Commits, func(a, b decide.SessionCommit) int { return cmp.Compare(a.Session, b.Session) })
	return snapshot
}

// Keep stores a session's commit. It reports whether the answer has to wait: if so, done is called on the loop with whether the commit is
// durable. done may be nil if nothing waits for it.
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

// record adds a commit in memory, and returns the entries that have to be stored for it.
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
		return []store.Entry{commitEntry(session, before)} // the earlier commit may not be durable yet; this entry is durable after it
	}
	var entries []store.Entry
	if !known && len(k.commits) >= k.maxSessions {
		entries = k.forgetAll(0)
	}
	k.commits[session] = at
	return append(entries, commitEntry(session, at))
}

// logFailure logs an error of the store, the first time only.
func (k *Keeper) logFailure(err error) {
	if err != nil && !k.diskFailureLogged {
		k.diskFailureLogged = true
		k.log.Error("sessions: the store failed; commits are not kept from now on", "mode", k.mode.String(), "err", err)
	}
}

// Close closes the store cleanly, once the loop has ended. If the answered commits could not be made durable, the next start finds an unclean
// shutdown.
func Close(s *store.Store, mode Mode) error {
	var err error
	if mode == Alongside {
		err = appendAndWait(s, []store.Entry{{Key: openKey, Deleted: true}})
	}
	return errors.Join(err, s.Close())
}
