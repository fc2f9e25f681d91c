package sessiontoken

import (
	"fmt"

	"beechgrade/internal/decide"
	"beechgrade/internal/invariant"
)

// checkInvariants states what holds between two calls.
func (k *Keeper) checkInvariants() {
	if !k.checks.Enabled() {
		return
	}
	k.checks.That(len(k.commits) <= k.maxSessions, "commits: sessions are bounded", func() string {
		return fmt.Sprintf("%d of %d", len(k.commits), k.maxSessions)
	})
	k.checks.Walk(&k.changesSinceWalk, max(1, k.changesPerWalk), "commits: a walk over the sessions", func(checks *invariant.Checks) {
		for name, at := range k.commits {
			checks.That(at >= 0 && len(name) <= maxNameBytes, "commits: a session's commit is one", func() string {
				return fmt.Sprintf("%.40q: %d", name, at)
			})
		}
	})
}

// checkStep states that a session's commit has not gone back.
func (k *Keeper) checkStep(session string, before decide.Time, known bool) {
	now, kept := k.commits[session]
	k.checks.That(!known || !kept || now >= before, "commits: a session's commit does not go back", func() string {
		return fmt.Sprintf("%.40q: %d after %d", session, now, before)
	})
}

// checkStored states that a write whose answer may go out now is stored.
func (k *Keeper) checkStored(session string, at decide.Time) {
	if !k.checks.Enabled() {
		return
	}
	own, forgotten := k.storedTime(commitPrefix+session), k.storedTime(forgottenKey)
	k.checks.That(own >= at || forgotten >= at, "commits: what is answered as kept is there", func() string {
		return fmt.Sprintf("%.40q at %d: its own %d, forgotten %d", session, at, own, forgotten)
	})
}

// storedTime returns the time of a key, -1 for none.
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
