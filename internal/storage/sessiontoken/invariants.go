package sessiontoken

import (
	"fmt"

	"beechgrade/internal/decide"
	"beechgrade/internal/invariant"
)

// checkInvariants checks the invariants that hold between two calls.
func (k *Keeper) checkInvariants() {
	if !k.checks.Enabled() {
		return
	}
	k.checks.That(len(k.commits) <= k.maxSessions, "commits: the number of sessions is bounded", func() string {
		return fmt.Sprintf("%d sessions, at most %d", len(k.commits), k.maxSessions)
	})
	k.checks.Walk(&k.changesSinceWalk, max(1, k.changesPerWalk), "commits: walk over the sessions", func(checks *invariant.Checks) {
		for name, at := range k.commits {
			checks.That(at >= 0 && len(name) <= maxNameBytes, "commits: a session's name and commit time are valid", func() string {
				return fmt.Sprintf("%.40q: %d", name, at)
			})
		}
	})
}

// checkStep checks that a session's commit time has not decreased.
func (k *Keeper) checkStep(session string, before decide.Time, known bool) {
	now, kept := k.commits[session]
	k.checks.That(!known || !kept || now >= before, "commits: a session's commit time does not decrease", func() string {
		return fmt.Sprintf("%.40q: %d after %d", session, now, before)
	})
}

// checkStored checks that a commit is in the store, as the write is about to be answered.
func (k *Keeper) checkStored(session string, at decide.Time) {
	if !k.checks.Enabled() {
		return
	}
	own, forgotten := k.storedTime(commitPrefix+session), k.storedTime(forgottenKey)
	k.checks.That(own >= at || forgotten >= at, "commits: an acknowledged commit is in the store", func() string {
		return fmt.Sprintf("%.40q at %d: stored %d, forgotten %d", session, at, own, forgotten)
	})
}

// storedTime returns the time that is stored under a key, -1 if there is none.
func (k *Keeper) storedTime(key string) decide.Time {
	value, found := k.store.Get(key)
	if !found {
		return -1
	}
	at, err := decode(value)
	if err != nil {
		return -1
	}
	return at
}
