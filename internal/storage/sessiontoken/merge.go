package sessiontoken

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"

	"beechgrade/internal/decide"
	"beechgrade/internal/storage/store"
)

// Held is what a store holds.
type Held struct {
	commits map[string]decide.Time
	dropped decide.Time
	unclean bool        // its process had answered writes without waiting, and did not end in order
	until   decide.Time // then: no commit of its process is later
	empty   bool
}

// Read reads what a store holds.
func Read(s *store.Store, now decide.Time, log *slog.Logger) *Held {
	h := &Held{commits: map[string]decide.Time{}, empty: true}
	latest := decide.Time(0)
	s.Range("", "", func(key string, v []byte) bool {
		h.empty = false
		at, err := decode(v)
		switch {
		case err != nil:
			log.Warn("sessions: a value is not used", "key", key, "err", err)
			latest = max(latest, now) // whatever it was
			h.dropped = max(h.dropped, now)
		case key == dropped:
			h.dropped = max(h.dropped, at)
			latest = max(latest, at)
		case key >= prefix && key < behind:
			h.commits[key[len(prefix):]] = at
			latest = max(latest, at)
		}
		return true
	})
	_, h.unclean = s.Get(marker)
	h.until = max(now, latest)
	return h
}

// Erase empties a store whose content is kept elsewhere.
func Erase(s *store.Store) error {
	var gone []store.Entry
	s.Range("", "", func(key string, _ []byte) bool {
		gone = append(gone, store.Entry{Key: key, Gone: true})
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
func (k *Keeper) Merge(h *Held, done func(error)) *decide.Snapshot {
	m := &decide.Snapshot{}
	var entries []store.Entry
	if h.unclean { // a session may have written there until its end, whatever is known of it here
		k.log.Warn("sessions: another process did not end in order: every session counts as written until its end")
		for _, of := range []map[string]decide.Time{k.earlier, k.long, k.known} {
			for name, at := range of {
				m.Commits = append(m.Commits, decide.SessionCommit{Session: name, At: max(at, h.until)})
			}
		}
		entries = k.drop(h.until)
	}
	if h.dropped > 0 { // what was dropped there may be later than what is known here
		for _, of := range []map[string]decide.Time{k.earlier, k.long, k.known} {
			for _, name := range slices.Sorted(maps.Keys(of)) {
				if _, ok := h.commits[name]; ok || of[name] >= h.dropped {
					continue
				}
				m.Commits = append(m.Commits, decide.SessionCommit{Session: name, At: h.dropped})
				if was, ok := k.known[name]; ok && was < h.dropped {
					k.known[name] = h.dropped
					entries = append(entries, store.Entry{Key: prefix + name, Value: encode(h.dropped)})
				}
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(h.commits)) {
		at := h.commits[name]
		was, ok := k.known[name]
		if ok && was >= at {
			continue
		}
		m.Commits = append(m.Commits, decide.SessionCommit{Session: name, At: at})
		if !ok && k.dropped >= at { // any that is not kept here counts as later; the router may know it still
			continue
		}
		if !ok && len(k.known) >= k.most {
			entries = append(entries, k.drop(0)...)
		}
		k.known[name] = at
		entries = append(entries, store.Entry{Key: prefix + name, Value: encode(at)})
	}
	if h.dropped > k.dropped {
		k.dropped = h.dropped
		entries = append(entries, store.Entry{Key: dropped, Value: encode(k.dropped)})
	}
	m.ForgottenCommit = k.dropped
	slices.SortStableFunc(m.Commits, func(a, b decide.SessionCommit) int {
		return cmp.Or(cmp.Compare(a.Session, b.Session), cmp.Compare(a.At, b.At))
	})
	k.check()
	if len(entries) == 0 {
		done(nil)
		return m
	}
	k.store.Append(entries, done)
	return m
}
