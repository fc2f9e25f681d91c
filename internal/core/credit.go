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

const (
	// creditDeadlineMarginMs is how long before its deadline a request that waits for credit is rejected, so that its client
	// gets the answer.
	creditDeadlineMarginMs = 5
	// minCreditRetryAfterMs is the least wait that a client is advised for lack of credit, and twice that the longest: a payment
	// usually arrives sooner, and clients must not return together.
	minCreditRetryAfterMs = 1000
	// creditIndexShift is where a slot's index begins in a request's name for Credit; its generation is below.
	creditIndexShift = 32
)

// Credit decides whether a tenant's prepaid credit admits a request. The router gets a request once it is admitted.
type Credit interface {
	Hold(tenant, class, session string, tag uint64) (lease.Reservation, lease.Decision)
	Settle(h *lease.Reservation, d lease.Usage)
	Cancel(tenant string, tag uint64)
}

// SetCredit has requests paid for.
func (c *Core) SetCredit(credit Credit) { c.credit = credit }

// payment is a request's state with its tenant's credit.
type payment struct {
	tenant       string
	creditHold   lease.Reservation
	pending      *decide.Request // what the router gets once the request is admitted; nil otherwise
	waitingSince float64
}

// creditTag names a request to Credit by its slot.
func creditTag(ref slotmap.Ref) uint64 { return uint64(ref.Index)<<creditIndexShift | uint64(ref.Gen) }

// creditRef returns the slot of a request by its name for Credit.
func creditRef(tag uint64) slotmap.Ref {
	return slotmap.Ref{Index: uint32(tag >> creditIndexShift), Gen: uint32(tag)}
}

// holdCredit reserves a tenant's credit for a request, and reports whether the request may go on now. Otherwise it waits, or
// was rejected.
func (c *Core) holdCredit(ref slotmap.Ref, req *request, incoming *platform.Request, event *decide.Request) bool {
	// Funded may be called before Hold returns.
	req.payment.tenant = incoming.Tenant
	req.payment.pending = event
	req.payment.waitingSince = c.loop.Now()
	hold, verdict := c.credit.Hold(incoming.Tenant, incoming.Class, incoming.Session, creditTag(ref))
	if verdict == lease.Queued {
		c.loop.At(max(req.payment.waitingSince, incoming.Deadline-creditDeadlineMarginMs), func() { c.rejectOverdue(ref) })
		return false
	}
	req.payment.pending = nil
	req.payment.creditHold = hold
	if verdict != lease.Admitted {
		c.rejectUnfunded(ref, req, verdict == lease.Throttled)
	}
	return verdict == lease.Admitted
}

// rejectOverdue rejects a request that has waited for credit as long as its client does.
func (c *Core) rejectOverdue(ref slotmap.Ref) {
	if req, ok := c.requests.Get(ref); ok && req.payment.pending != nil {
		req.payment.pending = nil
		c.credit.Cancel(req.payment.tenant, creditTag(ref))
		c.rejectUnfunded(ref, req, false)
	}
}

// rejectUnfunded rejects a request for lack of credit; slowed if the credit is low and the request among the least important.
func (c *Core) rejectUnfunded(ref slotmap.Ref, req *request, slowed bool) {
	c.finish(req, metrics.Rejected)
	c.releaseIfDone(ref, req) // its client may send, or give up, something else at once
	spread := float64(creditTag(ref) % minCreditRetryAfterMs)
	wait := min(clock.ToMillis(c.config.Settings.MaxRetryAfter), minCreditRetryAfterMs+spread)
	if client, ok := req.client.(platform.PrepaidClient); ok {
		client.RejectedUnfunded(slowed, wait)
	} else {
		req.client.Rejected(wait)
	}
	c.recorder.answer(req, recordpb.Final_FINAL_REFUSED, wait)
}

// Funded admits a request that waited for credit.
func (c *Core) Funded(tag uint64, hold lease.Reservation) {
	req, ok := c.requests.Get(creditRef(tag))
	if !ok || req.payment.pending == nil {
		c.credit.Settle(&hold, lease.Usage{})
		return
	}
	event := req.payment.pending
	req.payment.pending = nil
	req.payment.creditHold = hold
	if event.SinceCommit > 0 {
		event.SinceCommit += clock.ToDuration(c.loop.Now() - req.payment.waitingSince)
	}
	c.handleEvent(event)
}

// Unfunded rejects a request that waited for credit.
func (c *Core) Unfunded(tag uint64) {
	if req, ok := c.requests.Get(creditRef(tag)); ok && req.payment.pending != nil {
		req.payment.pending = nil
		c.rejectUnfunded(creditRef(tag), req, false)
	}
}

// settleCredit ends the hold on a tenant's credit: once for each request, however many attempts it had.
func (c *Core) settleCredit(req *request, end metrics.Outcome) {
	done := lease.Usage{}
	firstWritten, sent := req.firstWrittenAt()
	switch {
	case end == metrics.Served:
		done.Served = 1
		if sent {
			done.Seconds = (c.loop.Now() - firstWritten) / msPerSecond
		}
		if counted, ok := req.client.(platform.RowCounter); ok {
			done.Rows = counted.Rows()
		}
	case end != metrics.Rejected && sent:
		done.Failed = 1
	}
	c.credit.Settle(&req.payment.creditHold, done)
}

// firstWrittenAt returns when the earliest attempt that was written was started, and false if none was.
func (req *request) firstWrittenAt() (at float64, sent bool) {
	for i := range req.attempts {
		a := &req.attempts[i]
		if a.written && (!sent || a.startedAt < at) {
			at, sent = a.startedAt, true
		}
	}
	return at, sent
}
