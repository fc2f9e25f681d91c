package platform

import (
	"fmt"

	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/invariant"
)

// graceMs is how long a connection may outlive its bound: a sweep, leaveMs and lingerMs, and a process that is held up meanwhile.
const graceMs = sweepMs + leaveMs + lingerMs + 500

// Check checks the invariants of the frontend, once in every calls. It must be called between the callbacks of the loop.
func (postgres *Postgres) Check(checks *invariant.Checks, every int) {
	checks.Walk(&postgres.walks, every, "platform: the walk", postgres.walk)
}

// walk checks that no connection outlives its bound while clients are sent away.
func (postgres *Postgres) walk(checks *invariant.Checks) {
	past := postgres.loop.Now() - graceMs
	postgres.sessions.Each(func(_ slotmap.Ref, session *session) {
		state := func() string {
			return fmt.Sprintf("session %v in stage %v since %.0f, now %.0f: opened %.0f, started %v, %d unanswered, %d bytes unhandled, leaving %v, shut %v",
				session.ref, postgres.stage, postgres.stageSince, past+graceMs, session.opened, session.started, len(session.queue), session.input.Pending(),
				session.leaving, session.shut)
		}
		before := session.opened <= postgres.refusingSince
		checks.That(!(postgres.stage >= CloseAll && postgres.stageSince < past && before), "platform: no connection outlives a drain", state)
		rests := len(session.queue) == 0 && session.conn != nil && session.conn.Unsent() == 0
		late := postgres.stageSince < past && session.opened < past
		checks.That(!(postgres.stage >= CloseActive && late && rests), "platform: no connection rests behind a drain's end", state)
	})
}
