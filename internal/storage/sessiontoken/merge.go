package sessiontoken

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"

	"beechgrade/internal/decide"
	"beechgrade/internal/storage/store"
)

// StoredTokens is the content of a store.
type StoredTokens struct {
	commits         map[string]decide.Time
	forgottenUntil  decide.Time
	uncleanShutdown bool        // its process answered writes before they were durable, and did not shut down cleanly
	latestCommit    decide.Time // no commit of its process is later; used after an unclean shutdown
	empty           bool
}

// Read reads the content of a store. For a value that cannot be decoded, every session that is not stored by name counts as written now.
func Read(s *store.Store, now decide.Time, log *slog.Logger) *StoredTokens {
	stored := &StoredTokens{commits: map[string]decide.Time{}, empty: true}
	latest := decide.Time(0)
	s.Range("", "", func(key string, value []byte) bool {
		stored.empty = false
		at, err := decode(value)
		switch {
		case err != nil:
			log.Warn("sessions: ignoring a malformed stored value; sessions without a stored commit count as written now", "key", key, "err", err)
			latest = max(latest, now)
			stored.forgottenUntil = max(stored.forgottenUntil, now)
		case key == forgottenKey:
			latest = max(latest, at)
			stored.forgottenUntil = max(stored.forgottenUntil, at)
		case key >= commitPrefix && key < commitPrefixEnd:
			latest = max(latest, at)
			stored.commits[key[len(commitPrefix):]] = at
		}
		return true
	})
	_, stored.uncleanShutdown = s.Get(openKey)
	stored.latestCommit = max(now, latest)
	return stored
}

// Erase deletes all entries of a store, once they are stored elsewhere.
func Erase(s *store.Store) error {
	var deletions []store.Entry
	s.Range("", "", func(key string, _ []byte) bool {
		deletions = append(deletions, store.Entry{Key: key, Deleted: true})
		return true
	})
	return appendAndWait(s, deletions)
}

// merge is the result of a Merge.
type merge struct {
	snapshot decide.Snapshot // for the decision module
	entries  []store.Entry   // to be stored
}

func (m *merge) commit(session string, at decide.Time) {
	m.snapshot.Commits = append(m.snapshot.Commits, decide.SessionCommit{Session: session, At: at})
}

// Merge adds the commits that another process on the same socket had stored when it ended, and returns the resulting changes for the
// decision module. done is called, not on the loop, once they are durable in this keeper's store; the other store may then be erased.
func (k *Keeper) Merge(other *StoredTokens, done func(error)) *decide.Snapshot {
	m := &merge{}
	if other.uncleanShutdown {
		k.mergeUnclean(m, other)
	}
	if other.forgottenUntil > 0 {
		k.mergeForgotten(m, other)
	}
	k.mergeCommits(m, other)
	if other.forgottenUntil > k.forgottenUntil {
		k.forgottenUntil = other.forgottenUntil
		m.entries = append(m.entries, k.forgottenEntry())
	}
	m.snapshot.ForgottenCommit = k.forgottenUntil
	slices.SortStableFunc(m.snapshot.Commits, func(a, b decide.SessionCommit) int {
		return cmp.Or(cmp.Compare(a.Session, b.Session), cmp.Compare(a.At, b.At))
	})
	k.checkInvariants()
	if len(m.entries) == 0 {
		done(nil)
	} else {
		k.store.Append(m.entries, done)
	}
	return &m.snapshot
}

// knownSessions returns all maps of sessions that the decision module may know by name.
func (k *Keeper) knownSessions() []map[string]decide.Time {
	return []map[string]decide.Time{k.lastForgotten, k.longNamed, k.commits}
}

// mergeUnclean treats every session as having written through the other process until that process ended.
func (k *Keeper) mergeUnclean(m *merge, other *StoredTokens) {
	k.log.Warn("sessions: another process did not shut down cleanly; every session counts as written until that process ended")
	for _, sessions := range k.knownSessions() {
		for name, at := range sessions {
			m.commit(name, max(at, other.latestCommit))
		}
	}
	m.entries = k.forgetAll(other.latestCommit)
}

// mergeForgotten treats the sessions that the other process does not know by name as sessions that it may have forgotten.
func (k *Keeper) mergeForgotten(m *merge, other *StoredTokens) {
	for _, sessions := range k.knownSessions() {
		for _, name := range slices.Sorted(maps.Keys(sessions)) {
			_, named := other.commits[name]
			if named || sessions[name] >= other.forgottenUntil {
				continue
			}
			m.commit(name, other.forgottenUntil)
			if at, known := k.commits[name]; known && at < other.forgottenUntil {
				k.commits[name] = other.forgottenUntil
				m.entries = append(m.entries, commitEntry(name, other.forgottenUntil))
			}
		}
	}
}

// mergeCommits adds the commits of the other process that are later than those of this one.
func (k *Keeper) mergeCommits(m *merge, other *StoredTokens) {
	for _, name := range slices.Sorted(maps.Keys(other.commits)) {
		at := other.commits[name]
		before, known := k.commits[name]
		if known && before >= at {
			continue
		}
		m.commit(name, at)
		if !known && k.forgottenUntil >= at { // a session that is not stored here counts as written later; the decision module may still know it
			continue
		}
		if !known && len(k.commits) >= k.maxSessions {
			m.entries = append(m.entries, k.forgetAll(0)...)
		}
		k.commits[name] = at
		m.entries = append(m.entries, commitEntry(name, at))
	}
}
