package core

import (
	"slices"

	"beechgrade/internal/backend"
	"beechgrade/internal/clock"
	"beechgrade/internal/decide"
	"beechgrade/internal/figures"
	"beechgrade/internal/record/recordpb"
	"beechgrade/internal/slots"
)

// Commits keeps sessions' last commits where a crash does not take them.
type Commits interface {
	// Keep keeps one. Where the answer has to wait for that it says so, and calls done later, on the loop, with whether it is kept.
	Keep(session string, at decide.Time, done func(kept bool)) (waits bool)
}

// Commits has sessions' commits kept, where the router has to remember them.
func (c *Core) Commits(k Commits) { c.commits = k }

func (c *Core) keeps() bool { return c.commits != nil && c.cfg.Settings.KeptTokens }

// held is a write's answer that waits. For the router the request is answered.
type held struct{ answer []byte }

// hold has a write's commit kept, and tells whether its answer waits for that: until its client's patience ends at most. One that is
// not kept by then is answered as failed: a session that has not heard of its write has not seen it.
func (c *Core) hold(ref slots.Ref, q *request, o *backend.Outcome) bool {
	if q.wrote == "" {
		return false
	}
	at := clock.Span(c.loop.Now())
	if o.HasPos {
		at = clock.Span(o.Position)
	}
	if !c.commits.Keep(q.wrote, at, func(kept bool) {
		e := figures.BadGateway
		if kept {
			e = figures.Passed
		}
		c.unhold(ref, q, e)
	}) {
		return false
	}
	q.held = &held{answer: slices.Clone(o.Answer)}
	c.loop.At(q.due, func() { c.unhold(ref, q, figures.BadGateway) })
	return true
}

// unhold ends what is held.
func (c *Core) unhold(ref slots.Ref, q *request, e figures.End) {
	h := q.held
	if h == nil {
		return
	}
	q.held = nil
	c.ends(q, e)
	switch e {
	case figures.Passed:
		q.client.Served(h.answer)
		c.recordAnswer(q, recordpb.Final_FINAL_SERVED, 0)
	case figures.Gone:
		c.recordAnswer(q, recordpb.Final_FINAL_GONE, 0)
	default:
		q.client.Failed()
		c.recordAnswer(q, recordpb.Final_FINAL_FAILED, 0)
	}
	c.release(ref, q)
}
