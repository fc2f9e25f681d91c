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
	// doubtAheadMs is how far ahead of the clock unknown sessions count as written, and a commit elsewhere may lie...
	doubtAheadMs = 1000
	// doubtRenewMs: ...renewed when less than this is left.
	doubtRenewMs = 500
	// unknownSessionPrefix makes a session's name one that the router does not know.
	unknownSessionPrefix = "\x00"
)

// SessionTokens stores sessions' last commits where they survive a crash.
type SessionTokens interface {
	// Keep stores one. If the answer has to wait for that, it returns true and calls done later, on the loop.
	Keep(session string, at decide.Time, done func(kept bool)) (waits bool)
}

// SetSessionTokens sets the storage of sessions' commits, for settings where the router has to remember them.
func (c *Core) SetSessionTokens(tokens SessionTokens) { c.sessionTokens = tokens }

// SetSessionDoubt has session reads see everything written until now while inDoubt returns true, whatever the router knows of
// their sessions: another process may serve these sessions' writes.
func (c *Core) SetSessionDoubt(inDoubt func() bool) { c.sessionDoubt.inDoubt = inDoubt }

// sessionDoubt is whether sessions' writes may be served elsewhere.
type sessionDoubt struct {
	inDoubt      func() bool // nil for never
	unknownUntil float64     // sessions that the router does not know count as written until then
}

// sessionOf returns the session for the router: in doubt an unknown one, all of which count as written just now.
func (c *Core) sessionOf(incoming *platform.Request, contract *decide.Class) string {
	doubt := &c.sessionDoubt
	if doubt.inDoubt == nil || contract.Read != decide.ReadSession || !doubt.inDoubt() {
		return incoming.Session
	}
	if now := c.loop.Now(); doubt.unknownUntil < now+doubtRenewMs {
		doubt.unknownUntil = now + doubtAheadMs
		c.MergeSnapshot(&decide.Snapshot{ForgottenCommit: clock.ToDuration(doubt.unknownUntil)})
	}
	return unknownSessionPrefix + incoming.Session
}

// storesCommits reports whether sessions' commits are stored.
func (c *Core) storesCommits() bool { return c.sessionTokens != nil && c.config.Settings.TrackCommits }

// delayedAnswer is a write's answer that waits for its commit to be stored. To the router the request is answered.
type delayedAnswer struct{ answer []byte }

// delayAnswer has a write's commit stored, and reports whether the answer waits for that, until its client's deadline at most.
// A write whose commit is not stored by then is answered as failed: a session without an answer to its write need not see it.
func (c *Core) delayAnswer(ref slotmap.Ref, req *request, outcome *backend.Outcome) bool {
	if req.wroteSession == "" {
		return false
	}
	at := clock.ToDuration(c.loop.Now())
	if outcome.HasPos {
		at = clock.ToDuration(outcome.Position)
	}
	waits := c.sessionTokens.Keep(req.wroteSession, at, func(kept bool) {
		end := metrics.Failed
		if kept {
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

// giveDelayedAnswer ends a request whose answer waits, if it still does.
func (c *Core) giveDelayedAnswer(ref slotmap.Ref, req *request, end metrics.Outcome) {
	delayed := req.delayedAnswer
	if delayed == nil {
		return
	}
	req.delayedAnswer = nil
	c.finish(req, end)
	switch end {
	case metrics.Served:
		c.deliver(req, delayed.answer)
		c.recorder.answer(req, recordpb.Final_FINAL_SERVED, 0)
	case metrics.ClientGone:
		c.recorder.answer(req, recordpb.Final_FINAL_GONE, 0)
	default:
		req.client.Failed()
		c.recorder.answer(req, recordpb.Final_FINAL_FAILED, 0)
	}
	c.releaseIfDone(ref, req)
}
