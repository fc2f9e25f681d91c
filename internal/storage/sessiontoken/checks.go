package sessiontoken

import (
	"fmt"

	"beechgrade/internal/decide"
	"beechgrade/internal/invariant"
)

// checkInvariants states what holds between two calls.
func (k *Keeper) checkInvariants() {
	c := k.checks
	if !c.Enabled() {
		return
	}
	c.That(len(k.commits) <= k.maxSessions, "commits: sessions are bounded", func() string { return fmt.Sprintf("%d of %d", len(k.commits), k.maxSessions) })
	c.Walk(&k.changesSinceWalk, max(1, k.changesPerWalk), "commits: a walk over the sessions", func(c *invariant.Checks) {
		for name, at := range k.commits {
			c.That(at >= 0 && len(name) <= maxNameBytes, "commits: a session's commit is one", func() string { return fmt.Sprintf("%.40q: %d", name, at) })
		}
	})
}

// checkStep states that a session's commit has not gone back.
func (k *Keeper) checkStep(session string, was decide.Time, known bool) {
	now, is := k.commits[session]
	k.checks.That(!known || !is || now >= was, "commits: a session's commit does not go back", func() string {
		return fmt.Sprintf("%.40q: %d after %d", session, now, was)
	})
}

// checkStored states that a write whose answer may go out now is kept.
func (k *Keeper) checkStored(session string, at decide.Time) {
	c := k.checks
	if !c.Enabled() {
		return
	}
	read := func(key string) decide.Time {
		v, ok := k.store.Get(key)
		if !ok {
			return -1
		}
		x, err := decode(v)
		if err != nil {
			return -1
		}
		return x
	}
	c.That(read(commitPrefix+session) >= at || read(forgottenKey) >= at, "commits: what is answered as kept is there", func() string {
		return fmt.Sprintf("%.40q at %d: its own %d, dropped %d", session, at, read(commitPrefix+session), read(forgottenKey))
	})
}
