package core

import (
	"slices"

	"beechgrade/internal/backend"
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/frontend/platform"
	"beechgrade/internal/metrics"
	"beechgrade/internal/record/recordpb"
)

const (
	// doubtAheadMs is how far ahead of the clock the commits of unknown sessions are assumed to lie; a commit that another process
	// served may lie that far ahead.
	doubtAheadMs = 1000
	// doubtRenewMs: the assumption is renewed when less than this remains.
	doubtRenewMs = 500
	// unknownSessionPrefix turns a session's name into one that the router does not know.
	unknownSessionPrefix = "\x00"
)

// SessionTokens stores sessions' last commits durably.
type SessionTokens interface {
	// Keep stores a commit. If the answer has to wait until it is stored, Keep returns true and calls done later, on the loop.
	Keep(session string, at decide.Time, done func(stored bool)) (waits bool)
}

// SetSessionTokens sets the storage of sessions' commits. It is used only if Settings.TrackCommits is set.
func (c *Core) SetSessionTokens(tokens SessionTokens) { c.sessionTokens = tokens }

// SetSessionDoubt makes session reads see everything written until now while inDoubt returns true, whatever the router knows of
// their sessions: meanwhile another process may serve writes of the same sessions.
func (c *Core) SetSessionDoubt(inDoubt func() bool) { c.sessionDoubt.inDoubt = inDoubt }

// sessionDoubt says whether another process may serve writes of this pooler's sessions.
type sessionDoubt struct {
	inDoubt      func() bool // nil for never
	unknownUntil float64     // sessions that the router does not know are assumed to have commits up to this time, in ms of the loop
}

// sessionOf returns the session name for the router. In doubt it is one that the router does not know: unknown sessions are assumed
// to have a commit just now.
func (c *Core) sessionOf(incoming *platform.Request, classSettings *decide.Class) string {
	doubt := &c.sessionDoubt
	if doubt.inDoubt == nil || classSettings.Read != decide.ReadSession || !doubt.inDoubt() {
		return incoming.Session
	}
	if now := c.loop.Now(); doubt.unknownUntil < now+doubtRenewMs {
		doubt.unknownUntil = now + doubtAheadMs
		c.MergeSnapshot(&decide.Snapshot{ForgottenCommit: clock.ToDuration(doubt.unknownUntil)})
	}
	return unknownSessionPrefix + incoming.Session
}

// storesCommitOf reports whether the commit of a request must be stored before its answer is given.
func (c *Core) storesCommitOf(req *request) bool {
	return c.sessionTokens != nil && c.config.Settings.TrackCommits && req.commitSession != ""
}

// commitTime returns when a write counts as committed: at the reported position, or else now, the latest possible time.
func (c *Core) commitTime(outcome *backend.Outcome) decide.Time {
	if outcome.HasPosition {
		return clock.ToDuration(outcome.Position)
	}
	return clock.ToDuration(c.loop.Now())
}

// delayedAnswer is a write's answer that waits for its commit to be stored. The router regards the request as answered.
type delayedAnswer struct{ answer []byte }

// delayAnswer stores a write's commit, and reports whether the answer has to wait for that, at most until the client's deadline. A
// write whose commit is not stored by then is answered as failed: reads of a session need not see a write that was not acknowledged.
func (c *Core) delayAnswer(ref slotmap.Ref, req *request, outcome *backend.Outcome) bool {
	if !c.storesCommitOf(req) {
		return false
	}
	waits := c.sessionTokens.Keep(req.commitSession, c.commitTime(outcome), func(stored bool) {
		end := metrics.Failed
		if stored {
			end = metrics.Served
		}
		c.giveDelayedAnswer(ref, req, end)
	})
	if !waits {
		return false
	}
	req.delayedAnswer = &delayedAnswer{answer: slices.Clone(outcome.Answer)}
	c.loop.At(req.deadline, func() { c.giveDelayedAnswer(ref, req, metrics.Failed) })
	return true
}

// giveDelayedAnswer finishes a request whose answer still waits, with the given outcome.
func (c *Core) giveDelayedAnswer(ref slotmap.Ref, req *request, end metrics.Outcome) {
	delayed := req.delayedAnswer
	if delayed == nil {
		return
	}
	req.delayedAnswer = nil
	c.finish(req, end)
	switch end {
	case metrics.Served:
		req.client.Served(delayed.answer)
		c.recorder.answer(req, recordpb.Final_FINAL_SERVED, 0)
	case metrics.ClientGone:
		c.recorder.answer(req, recordpb.Final_FINAL_GONE, 0)
	default:
		req.client.Failed()
		c.recorder.answer(req, recordpb.Final_FINAL_FAILED, 0)
	}
	c.releaseIfDone(ref, req)
}
