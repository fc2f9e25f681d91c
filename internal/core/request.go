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

// request is a client's request. It keeps its slot until it is finished and its attempts have ended.
type request struct {
	id           string
	clientID     string // the client's own id of the request
	key          string // idempotency key by which servers recognise a retry, empty for none
	atMostOnce   bool   // the request must not run twice
	class        int
	classMetrics *metrics.Class
	client       platform.Client
	query        backend.Query
	deadline     float64
	attempts     []attempt // by attempt number
	inFlight     int
	finished     bool

	stream        *stream        // the answer while it is streamed to the client, else nil
	delayedAnswer *delayedAnswer // the answer while it waits for the session's commit to be stored, else nil
	commitSession string         // the session in which a write commits, where commits are tracked; empty if none
	payment       payment
	demand        requestDemand
	recorded      recordedRequest

	mayHaveRunBefore bool // an earlier request with its key may have run
	idShared         bool // other processes know that the request may have run
	platformProtocol bool // the client uses the platform protocol, and has a deadline
	clientClosed     bool // MaySend found that the client has closed its connection
}

// attempt is one attempt of a request. ref is zero if the attempt was not started.
type attempt struct {
	server       decide.ServerID
	ref          slotmap.Ref
	startedAt    float64
	writeBefore  float64 // the attempt must not be written from this time on
	writeAllowed bool    // MaySend returned true
	written      bool
	didNotRun    bool // the attempt has ended, and the server did not run it
}

// mayRun reports whether the attempt may have run, or may still run.
func (a *attempt) mayRun() bool { return a.mayHaveBeenWritten() && !a.didNotRun }

// mayHaveBeenWritten reports whether any byte of the attempt may have been written.
func (a *attempt) mayHaveBeenWritten() bool { return a.writeAllowed || a.written }

// awaitsAnswer reports whether the client has not received its complete answer yet.
func (req *request) awaitsAnswer() bool {
	return !req.finished || req.stream != nil || req.delayedAnswer != nil
}

// done reports whether the request is answered and has no attempt in flight.
func (req *request) done() bool { return !req.awaitsAnswer() && req.inFlight == 0 }

// mayHaveBeenWritten reports whether any attempt of the request may have been written.
func (req *request) mayHaveBeenWritten() bool {
	return slices.ContainsFunc(req.attempts, func(a attempt) bool { return a.mayHaveBeenWritten() })
}

// mayHaveRun reports whether the request, or an earlier one with its key, may have run or may still run.
func (req *request) mayHaveRun() bool {
	return req.mayHaveRunBefore || slices.ContainsFunc(req.attempts, func(a attempt) bool { return a.mayRun() })
}

// ClientID returns the id that a request's client uses for it.
func (c *Core) ClientID(ref slotmap.Ref) string {
	if req, ok := c.requests.Get(ref); ok {
		return req.clientID
	}
	return ""
}

// finish marks a request as finished and counts its outcome.
func (c *Core) finish(req *request, end metrics.Outcome) {
	req.finished = true
	if req.payment.creditHold.Amount > 0 {
		c.settleCredit(req, end)
	}
	c.metrics.OpenRequests--
	req.classMetrics.Count(end)
	c.countEnd(req, end)
}

// finishByID finishes a request and returns it, or nil if it is unknown or finished already.
func (c *Core) finishByID(id decide.RequestID, end metrics.Outcome) *request {
	ref := refOf(id)
	req, ok := c.requests.Get(ref)
	if !ok || req.finished {
		return nil
	}
	c.finish(req, end)
	c.releaseIfDone(ref, req)
	return req
}

// releaseIfDone frees the slot of a request that is answered and has no attempt in flight.
func (c *Core) releaseIfDone(ref slotmap.Ref, req *request) {
	if req.done() {
		c.withdrawID(req)
		c.requests.release(ref, req, c.loop.Now())
	}
}

// Abandon implements platform.Dispatcher.
func (c *Core) Abandon(ref slotmap.Ref) {
	req, ok := c.requests.Get(ref)
	switch {
	case !ok:
	case req.stream != nil:
		req.stream.abandon(metrics.ClientGone)
	case req.delayedAnswer != nil:
		c.giveDelayedAnswer(ref, req, metrics.ClientGone)
	case !req.finished:
		c.abandon(ref, req)
	}
}

// abandon ends a request whose client has closed its connection.
func (c *Core) abandon(ref slotmap.Ref, req *request) {
	c.finish(req, metrics.ClientGone)
	c.recorder.answer(req, recordpb.Final_FINAL_GONE, 0)
	if c.carryingOut { // a client may abandon another request when it is answered; actions for that request may still be queued
		c.abandoned = append(c.abandoned, ref)
	} else {
		c.releaseIfDone(ref, req)
	}
	if req.payment.pending != nil { // the request has not been passed to the router yet
		req.payment.pending = nil
		c.credit.Cancel(req.payment.tenant, creditTag(ref))
		return
	}
	c.handleEvent(&decide.Abandoned{ID: requestID(ref)})
}

// AnswerBy implements platform.Dispatcher. It shortens the deadline of a platform client's request to ms.
func (c *Core) AnswerBy(ref slotmap.Ref, ms float64) {
	req, ok := c.requests.Get(ref)
	if !ok || !req.platformProtocol || req.finished || req.deadline <= ms {
		return
	}
	req.deadline = ms
	c.handleEvent(&decide.ShortenDeadline{ID: requestID(ref), Deadline: clock.ToDuration(ms)})
}
