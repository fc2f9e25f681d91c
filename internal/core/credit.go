package core

import (
	"beechgrade/internal/cluster/credit/lease"
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/frontend/platform"
	"beechgrade/internal/metrics"
	"beechgrade/internal/record/recordpb"
)

// Credit decides whether a tenant's prepaid funds admit a request. The router sees a request once it is admitted.
type Credit interface {
	Hold(tenant, class, session string, tag uint64) (lease.Reservation, lease.Decision)
	Settle(h *lease.Reservation, d lease.Usage)
	Cancel(tenant string, tag uint64)
}

// SetCredit has requests paid for.
func (c *Core) SetCredit(x Credit) { c.credit = x }

// payment is a request's state with its tenant's funds.
type payment struct {
	tenant       string
	creditHold   lease.Reservation
	pending      *decide.Request // what the router gets once the request is admitted; nil otherwise
	waitingSince float64
}

func creditTag(ref slotmap.Ref) uint64 { return uint64(ref.Index)<<32 | uint64(ref.Gen) }

// holdCredit reports whether a request may go on now.
func (c *Core) holdCredit(ref slotmap.Ref, req *request, incoming *platform.Request, ev *decide.Request) bool {
	req.payment.tenant, req.payment.pending, req.payment.waitingSince = incoming.Tenant, ev, c.loop.Now() // Funded may be called before Hold returns
	hold, v := c.credit.Hold(incoming.Tenant, incoming.Class, incoming.Session, creditTag(ref))
	if v == lease.Queued {
		c.loop.At(max(req.payment.waitingSince, incoming.Deadline-creditDeadlineMarginMs), func() { c.rejectOverdue(ref) })
		return false
	}
	req.payment.pending, req.payment.creditHold = nil, hold
	if v != lease.Admitted {
		c.rejectUnfunded(ref, req, v == lease.Throttled)
	}
	return v == lease.Admitted
}

const creditDeadlineMarginMs = 5 // a request that waits for funds is refused so long before its deadline, so that its client hears of it

// rejectOverdue refuses a request that has waited for funds as long as its client does.
func (c *Core) rejectOverdue(ref slotmap.Ref) {
	if req, ok := c.requests.Get(ref); ok && req.payment.pending != nil {
		req.payment.pending = nil
		c.credit.Cancel(req.payment.tenant, creditTag(ref))
		c.rejectUnfunded(ref, req, false)
	}
}

// rejectUnfunded refuses a request for lack of funds.
func (c *Core) rejectUnfunded(ref slotmap.Ref, req *request, slowed bool) {
	c.finish(req, metrics.Rejected)
	c.releaseIfDone(ref, req) // its client may ask, or give up, something else at once
	wait := min(clock.ToMillis(c.config.Settings.MaxRetryAfter), minCreditRetryAfterMs+float64(creditTag(ref)%minCreditRetryAfterMs))
	if b, ok := req.client.(platform.PrepaidClient); ok {
		b.RejectedUnfunded(slowed, wait)
	} else {
		req.client.Rejected(wait)
	}
	c.recordAnswer(req, recordpb.Final_FINAL_REFUSED, wait)
}

const minCreditRetryAfterMs = 1000 // a payment usually arrives sooner; the advice is up to twice that, so that clients do not return together

// Funded admits a request that waited for funds.
func (c *Core) Funded(tag uint64, hold lease.Reservation) {
	req, ok := c.requests.Get(creditRef(tag))
	if !ok || req.payment.pending == nil {
		c.credit.Settle(&hold, lease.Usage{})
		return
	}
	ev := req.payment.pending
	if req.payment.pending, req.payment.creditHold = nil, hold; ev.SinceCommit > 0 {
		ev.SinceCommit += clock.ToDuration(c.loop.Now() - req.payment.waitingSince)
	}
	c.handleEvent(ev)
}

// Unfunded refuses a request that waited for funds.
func (c *Core) Unfunded(tag uint64) {
	if req, ok := c.requests.Get(creditRef(tag)); ok && req.payment.pending != nil {
		req.payment.pending = nil
		c.rejectUnfunded(creditRef(tag), req, false)
	}
}

func creditRef(tag uint64) slotmap.Ref {
	return slotmap.Ref{Index: uint32(tag >> 32), Gen: uint32(tag)}
}

// settleCredit ends the hold on a tenant's funds: once for each request, however many attempts it had.
func (c *Core) settleCredit(req *request, end metrics.Outcome) {
	d, sent := lease.Usage{}, false
	from := 0.0
	for i := range req.attempts {
		if t := &req.attempts[i]; t.written && (!sent || t.startedAt < from) {
			sent, from = true, t.startedAt
		}
	}
	switch {
	case end == metrics.Served:
		d.Served = 1
		if sent {
			d.Seconds = (c.loop.Now() - from) / 1000
		}
		if x, ok := req.client.(platform.RowCounter); ok {
			d.Rows = x.Rows()
		}
	case end != metrics.Rejected && sent:
		d.Failed = 1
	}
	c.credit.Settle(&req.payment.creditHold, d)
}
