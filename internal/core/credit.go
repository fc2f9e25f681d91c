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
	// creditDeadlineMarginMs is how long before its deadline a request that waits for credit is rejected, so that the client
	// receives the answer in time.
	creditDeadlineMarginMs = 5
	// minCreditRetryAfterMs is the shortest retry delay in a rejection for lack of credit; the longest is twice that. A
	// payment usually arrives sooner, and the delays are spread so that clients do not return all at once.
	minCreditRetryAfterMs = 1000
	// creditIndexShift is the position of the slot's index in a credit tag; the bits below hold the slot's generation.
	creditIndexShift = 32
)

// Credit decides whether a tenant's prepaid credit admits a request. A request is passed to the router once it is admitted.
type Credit interface {
	Hold(tenant, class, session string, tag uint64) (lease.Reservation, lease.Decision)
	Settle(hold *lease.Reservation, usage lease.Usage)
	Cancel(tenant string, tag uint64)
}

// SetCredit makes the admission of requests depend on prepaid credit.
func (c *Core) SetCredit(credit Credit) { c.credit = credit }

// payment is a request's state concerning its tenant's prepaid credit.
type payment struct {
	tenant       string
	creditHold   lease.Reservation
	pending      *decide.Request // passes a request that waits for credit to the router once it is admitted; nil if it does not wait
	waitingSince float64
}

// creditTag returns the tag by which Credit identifies the request in a slot.
func creditTag(ref slotmap.Ref) uint64 { return uint64(ref.Index)<<creditIndexShift | uint64(ref.Gen) }

// creditRef returns the slot of the request with a credit tag.
func creditRef(tag uint64) slotmap.Ref {
	return slotmap.Ref{Index: uint32(tag >> creditIndexShift), Gen: uint32(tag)}
}

// holdCredit reserves a tenant's credit for a request, and reports whether the request is admitted now. Otherwise it waits or was
// rejected.
func (c *Core) holdCredit(ref slotmap.Ref, req *request, incoming *platform.Request, event *decide.Request) bool {
	// Funded may be called before Hold returns.
	req.payment.tenant = incoming.Tenant
	req.payment.pending = event
	req.payment.waitingSince = c.loop.Now()
	hold, decision := c.credit.Hold(incoming.Tenant, incoming.Class, incoming.Session, creditTag(ref))
	if decision == lease.Queued {
		c.loop.At(max(req.payment.waitingSince, incoming.Deadline-creditDeadlineMarginMs), func() { c.rejectOverdue(ref) })
		return false
	}
	req.payment.pending = nil
	req.payment.creditHold = hold
	if decision != lease.Admitted {
		c.rejectUnfunded(ref, req, decision == lease.Throttled)
	}
	return decision == lease.Admitted
}

// rejectOverdue rejects a request that still waits for credit shortly before its deadline.
func (c *Core) rejectOverdue(ref slotmap.Ref) {
	if req, ok := c.requests.Get(ref); ok && req.payment.pending != nil {
		req.payment.pending = nil
		c.credit.Cancel(req.payment.tenant, creditTag(ref))
		c.rejectUnfunded(ref, req, false)
	}
}

// rejectUnfunded rejects a request for lack of credit. throttled means that the credit is low, and the request among the tenant's
// least important.
func (c *Core) rejectUnfunded(ref slotmap.Ref, req *request, throttled bool) {
	c.finish(req, metrics.Rejected)
	c.releaseIfDone(ref, req) // before the client is called, which may submit or abandon other requests
	spread := float64(creditTag(ref) % minCreditRetryAfterMs)
	wait := min(clock.ToMillis(c.config.Settings.MaxRetryAfter), minCreditRetryAfterMs+spread)
	if client, ok := req.client.(platform.PrepaidClient); ok {
		client.RejectedUnfunded(throttled, wait)
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

// settleCredit ends the hold on a tenant's credit. It is called once for each request, however many attempts the request had.
func (c *Core) settleCredit(req *request, end metrics.Outcome) {
	usage := lease.Usage{}
	firstWritten, sent := req.firstWrittenAt()
	switch {
	case end == metrics.Served:
		usage.Served = 1
		if sent {
			usage.Seconds = (c.loop.Now() - firstWritten) / msPerSecond
		}
		if counted, ok := req.client.(platform.RowCounter); ok {
			usage.Rows = counted.Rows()
		}
	case end != metrics.Rejected && sent:
		usage.Failed = 1
	}
	c.credit.Settle(&req.payment.creditHold, usage)
}

// firstWrittenAt returns when the earliest of the written attempts was started, and false if none was written.
func (req *request) firstWrittenAt() (at float64, sent bool) {
	for i := range req.attempts {
		a := &req.attempts[i]
		if a.written && (!sent || a.startedAt < at) {
			at, sent = a.startedAt, true
		}
	}
	return at, sent
}
