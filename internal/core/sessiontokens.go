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

// SessionTokens stores sessions' last commits where they survive a crash.
type SessionTokens interface {
	// Keep stores one. If the answer has to wait for that, it returns true and calls done later, on the loop.
	Keep(session string, at decide.Time, done func(kept bool)) (waits bool)
}

// SetSessionTokens sets the storage of sessions' commits, for settings where the router has to remember them.
func (c *Core) SetSessionTokens(tokens SessionTokens) { c.sessionTokens = tokens }

// SetSessionDoubt has session reads see everything written until now while doubts returns true, whatever the router knows of their sessions:
// another process may serve these sessions' writes.
func (c *Core) SetSessionDoubt(doubts func() bool) { c.sessionDoubt.inDoubt = doubts }

// sessionDoubt is whether sessions' writes may be served elsewhere.
type sessionDoubt struct {
	inDoubt      func() bool // nil for never
	unknownUntil float64     // sessions that the router does not know count as written until then
}

const (
	doubtAheadMs = 1000 // how far ahead of the clock unknown sessions count as written, and a commit elsewhere may lie...
	doubtRenewMs = 500  // ...renewed when less than this is left
)

// sessionOf returns the session for the router: in doubt an unknown one, all of which count as written just now.
func (c *Core) sessionOf(incoming *platform.Request, set *decide.Class) string {
	if c.sessionDoubt.inDoubt == nil || set.Read != decide.ReadSession || !c.sessionDoubt.inDoubt() {
		return incoming.Session
	}
	if now := c.loop.Now(); c.sessionDoubt.unknownUntil < now+doubtRenewMs {
		c.sessionDoubt.unknownUntil = now + doubtAheadMs
		c.MergeSnapshot(&decide.Snapshot{ForgottenCommit: clock.ToDuration(c.sessionDoubt.unknownUntil)})
	}
	return "\x00" + incoming.Session
}

func (c *Core) storesCommits() bool { return c.sessionTokens != nil && c.config.Settings.TrackCommits }

// delayedAnswer is a write's answer that waits. To the router the request is answered.
type delayedAnswer struct{ answer []byte }

// delayAnswer has a write's commit stored, and reports whether the answer waits for that, until its client's deadline at most. A write whose commit
// is not stored by then is answered as failed: a session that has not heard of its write need not see it.
func (c *Core) delayAnswer(ref slotmap.Ref, req *request, outcome *backend.Outcome) bool {
	if req.wroteSession == "" {
		return false
	}
	at := clock.ToDuration(c.loop.Now())
	if outcome.HasPos {
		at = clock.ToDuration(outcome.Position)
	}
	if !c.sessionTokens.Keep(req.wroteSession, at, func(kept bool) {
		end := metrics.Failed
		if kept {
			end = metrics.Served
		}
		c.giveDelayedAnswer(ref, req, end)
	}) {
		return false
	}
	req.delayedAnswer = &delayedAnswer{answer: slices.Clone(outcome.Answer)}
	c.loop.At(req.deadline, func() { c.giveDelayedAnswer(ref, req, metrics.Failed) })
	return true
}

// giveDelayedAnswer ends a held answer.
func (c *Core) giveDelayedAnswer(ref slotmap.Ref, req *request, end metrics.Outcome) {
	held := req.delayedAnswer
	if held == nil {
		return
	}
	req.delayedAnswer = nil
	c.finish(req, end)
	switch end {
	case metrics.Served:
		c.deliver(req, held.answer)
		c.recordAnswer(req, recordpb.Final_FINAL_SERVED, 0)
	case metrics.ClientGone:
		c.recordAnswer(req, recordpb.Final_FINAL_GONE, 0)
	default:
		req.client.Failed()
		c.recordAnswer(req, recordpb.Final_FINAL_FAILED, 0)
	}
	c.releaseIfDone(ref, req)
}
