package sessiontoken

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"

	"beechgrade/internal/decide"
	"beechgrade/internal/storage/store"
)

// StoredTokens is what a store holds.
type StoredTokens struct {
	commits         map[string]decide.Time
	forgottenUntil  decide.Time
	uncleanShutdown bool        // its process had answered writes without waiting, and did not shut down cleanly
	latestCommit    decide.Time // then: no commit of its process is later
	empty           bool
}

// Read reads what a store holds. A value that cannot be read counts as written now.
func Read(s *store.Store, now decide.Time, log *slog.Logger) *StoredTokens {
	stored := &StoredTokens{commits: map[string]decide.Time{}, empty: true}
	latest := decide.Time(0)
	s.Range("", "", func(key string, value []byte) bool {
		stored.empty = false
		at, err := decode(value)
		switch {
		case err != nil:
			log.Warn("sessions: a stored value is malformed and not used", "key", key, "err", err)
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

// Erase empties a store whose content is kept elsewhere.
func Erase(s *store.Store) error {
	var deletions []store.Entry
	s.Range("", "", func(key string, _ []byte) bool {
		deletions = append(deletions, store.Entry{Key: key, Deleted: true})
		return true
	})
	return appendAndWait(s, deletions)
}

// merge is what comes of a Merge.
type merge struct {
	snapshot decide.Snapshot // what the decision module has to know
	entries  []store.Entry   // what is to be stored
}

func (m *merge) commit(session string, at decide.Time) {
	m.snapshot.Commits = append(m.snapshot.Commits, decide.SessionCommit{Session: session, At: at})
}

// Merge takes what another process on the same socket held when it ended, and returns what the decision module has to know of it. done is
// called once that is durable here, not on the loop: from then on it need not be stored there any more.
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

// knownSessions are all maps of sessions that the decision module may know by name.
func (k *Keeper) knownSessions() []map[string]decide.Time {
	return []map[string]decide.Time{k.lastForgotten, k.longNamed, k.commits}
}

// mergeUnclean takes it that every session may have written at the other process until its end.
func (k *Keeper) mergeUnclean(m *merge, other *StoredTokens) {
	k.log.Warn("sessions: another process did not shut down cleanly; every session counts as written until its end")
	for _, sessions := range k.knownSessions() {
		for name, at := range sessions {
			m.commit(name, max(at, other.latestCommit))
		}
	}
	m.entries = k.forgetAll(other.latestCommit)
}

// mergeForgotten takes it that the sessions that the other process does not know by name may be among those it has forgotten.
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

// mergeCommits takes the later commits of the other process.
func (k *Keeper) mergeCommits(m *merge, other *StoredTokens) {
	for _, name := range slices.Sorted(maps.Keys(other.commits)) {
		at := other.commits[name]
		before, known := k.commits[name]
		if known && before >= at {
			continue
		}
		m.commit(name, at)
		if !known && k.forgottenUntil >= at { // any session that is not kept here counts as later; the decision module may know it still
			continue
		}
		if !known && len(k.commits) >= k.maxSessions {
			m.entries = append(m.entries, k.forgetAll(0)...)
		}
		k.commits[name] = at
		m.entries = append(m.entries, commitEntry(name, at))
	}
}
