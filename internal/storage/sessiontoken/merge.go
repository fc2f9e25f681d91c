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
	uncleanShutdown bool        // its process had answered writes without waiting, and did not end in order
	latestCommit    decide.Time // then: no commit of its process is later
	empty           bool
}

// Read reads what a store holds.
func Read(s *store.Store, now decide.Time, log *slog.Logger) *StoredTokens {
	h := &StoredTokens{commits: map[string]decide.Time{}, empty: true}
	latest := decide.Time(0)
	s.Range("", "", func(key string, v []byte) bool {
		h.empty = false
		at, err := decode(v)
		switch {
		case err != nil:
			log.Warn("sessions: a value is not used", "key", key, "err", err)
			latest = max(latest, now) // whatever it was
			h.forgottenUntil = max(h.forgottenUntil, now)
		case key == forgottenKey:
			h.forgottenUntil = max(h.forgottenUntil, at)
			latest = max(latest, at)
		case key >= commitPrefix && key < commitPrefixEnd:
			h.commits[key[len(commitPrefix):]] = at
			latest = max(latest, at)
		}
		return true
	})
	_, h.uncleanShutdown = s.Get(openKey)
	h.latestCommit = max(now, latest)
	return h
}

// Erase empties a store whose content is kept elsewhere.
func Erase(s *store.Store) error {
	var gone []store.Entry
	s.Range("", "", func(key string, _ []byte) bool {
		gone = append(gone, store.Entry{Key: key, Deleted: true})
		return true
	})
	if len(gone) == 0 {
		return nil
	}
	done := make(chan error, 1)
	s.Append(gone, func(err error) { done <- err })
	return <-done
}

// Merge takes what another process on the same socket held when it ended, and tells what the router has to know of it. done is called
// off the loop, once it is kept here: from then on it need not be there any more.
func (k *Keeper) Merge(h *StoredTokens, done func(error)) *decide.Snapshot {
	m := &decide.Snapshot{}
	var entries []store.Entry
	if h.uncleanShutdown { // a session may have written there until its end, whatever is known of it here
		k.log.Warn("sessions: another process did not end in order: every session counts as written until its end")
		for _, of := range []map[string]decide.Time{k.lastForgotten, k.longNamed, k.commits} {
			for name, at := range of {
				m.Commits = append(m.Commits, decide.SessionCommit{Session: name, At: max(at, h.latestCommit)})
			}
		}
		entries = k.forgetAll(h.latestCommit)
	}
	if h.forgottenUntil > 0 { // what was dropped there may be later than what is known here
		for _, of := range []map[string]decide.Time{k.lastForgotten, k.longNamed, k.commits} {
			for _, name := range slices.Sorted(maps.Keys(of)) {
				if _, ok := h.commits[name]; ok || of[name] >= h.forgottenUntil {
					continue
				}
				m.Commits = append(m.Commits, decide.SessionCommit{Session: name, At: h.forgottenUntil})
				if was, ok := k.commits[name]; ok && was < h.forgottenUntil {
					k.commits[name] = h.forgottenUntil
					entries = append(entries, store.Entry{Key: commitPrefix + name, Value: encode(h.forgottenUntil)})
				}
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(h.commits)) {
		at := h.commits[name]
		was, ok := k.commits[name]
		if ok && was >= at {
			continue
		}
		m.Commits = append(m.Commits, decide.SessionCommit{Session: name, At: at})
		if !ok && k.forgottenUntil >= at { // any that is not kept here counts as later; the router may know it still
			continue
		}
		if !ok && len(k.commits) >= k.maxSessions {
			entries = append(entries, k.forgetAll(0)...)
		}
		k.commits[name] = at
		entries = append(entries, store.Entry{Key: commitPrefix + name, Value: encode(at)})
	}
	if h.forgottenUntil > k.forgottenUntil {
		k.forgottenUntil = h.forgottenUntil
		entries = append(entries, store.Entry{Key: forgottenKey, Value: encode(k.forgottenUntil)})
	}
	m.ForgottenCommit = k.forgottenUntil
	slices.SortStableFunc(m.Commits, func(a, b decide.SessionCommit) int {
		return cmp.Or(cmp.Compare(a.Session, b.Session), cmp.Compare(a.At, b.At))
	})
	k.checkInvariants()
	if len(entries) == 0 {
		done(nil)
		return m
	}
	k.store.Append(entries, done)
	return m
}
