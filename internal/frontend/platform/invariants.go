package platform

import (
	"fmt"
	"slices"

	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/invariant"
)

// drainSlackMs is how long a connection may outlive its drain stage: sweepMs, finalReadMs and lingerMs, and 500 ms for a pause of the
// process.
const drainSlackMs = sweepMs + finalReadMs + lingerMs + 500

// Check checks the invariants of the frontend on every n-th call, n being every. It must be called between the callbacks of the loop.
func (postgres *Postgres) Check(checks *invariant.Checks, every int) {
	checks.Walk(&postgres.checkCalls, every, "platform: all", postgres.checkAll)
}

// checkAll checks that no connection stays open after the drain stage that ends it.
func (postgres *Postgres) checkAll(checks *invariant.Checks) {
	past := postgres.eventLoop.Now() - drainSlackMs
	lateStage := postgres.stageSince < past
	postgres.sessions.Each(func(_ slotmap.Ref, session *session) {
		state := func() string { return session.describe(past + drainSlackMs) }
		outlives := postgres.stage >= CloseAll && lateStage && session.openedAt <= postgres.rejectingSince
		checks.That(!outlives, "platform: no connection outlives a drain", state)
		open := session.isForwarding() && slices.ContainsFunc(session.queue[1:], func(answer *answer) bool { return answer.open })
		checks.That(!open, "platform: no request is open behind an answer that is forwarded in parts", state)
		unused := len(session.queue) == 0 && session.conn != nil && session.conn.Unsent() == 0
		idle := postgres.stage >= CloseActive && lateStage && session.openedAt < past && unused
		checks.That(!idle, "platform: no connection stays idle after a drain", state)
	})
}

// describe returns the state of the session for a report of a broken invariant.
func (session *session) describe(now float64) string {
	postgres := session.postgres
	return fmt.Sprintf("session %v in stage %v since %.0f, now %.0f: opened %.0f, started %v, %d unanswered, %d bytes unhandled, "+
		"closing %v, write side closed %v",
		session.ref, postgres.stage, postgres.stageSince, now, session.openedAt, session.started, len(session.queue), session.input.Pending(),
		session.closing, session.writeClosed)
}
