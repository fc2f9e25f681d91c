package core

import (
	"fmt"

	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/invariant"
)

// walk checks the invariants of all requests between two events: the core and the router must have the same requests and attempts.
func (c *Core) walk(checks *invariant.Checks) {
	c.requests.Check(checks, "core: requests")
	var totals requestTotals
	c.requests.Each(func(ref slotmap.Ref, req *request) {
		c.checkRequest(checks, ref, req)
		totals.add(req)
	})
	requests, attempts := c.router.InFlight()
	state := func() string {
		return fmt.Sprintf("%d requests without a final answer, the router has %d; %d attempts in flight, the router has %d; "+
			"%d ids of %d; %d counted as open",
			totals.unanswered, requests, totals.inFlight, attempts, len(c.requests.byID), c.requests.Len(), c.metrics.OpenRequests)
	}
	checks.That(totals.unanswered == requests, "core: the router has all requests without a final answer", state)
	checks.That(totals.inFlight == attempts, "core: the router has all attempts in flight", state)
	for id, ref := range c.requests.byID {
		req, ok := c.requests.Get(ref)
		checks.That(ok && req.id == id, "core: ids and requests match", state)
	}
	checks.That(c.metrics.OpenRequests == totals.awaitingAnswer, "core: the metric of open requests is right", state)
}

// requestTotals are counts over all requests.
type requestTotals struct {
	unanswered     int // passed to the router and without a final answer
	inFlight       int // attempts in flight
	awaitingAnswer int
}

// add counts a request.
func (totals *requestTotals) add(req *request) {
	totals.inFlight += req.inFlight
	if !req.finished && req.payment.pending == nil { // a request that waits for credit has not been passed to the router
		totals.unanswered++
	}
	if req.awaitsAnswer() {
		totals.awaitingAnswer++
	}
}

// checkRequest checks the invariants of one request.
func (c *Core) checkRequest(checks *invariant.Checks, ref slotmap.Ref, req *request) {
	state := func() string {
		return fmt.Sprintf("%v %s: finished %v, %d of %d attempts in flight, streams %v",
			ref, req.id, req.finished, req.inFlight, len(req.attempts), req.stream != nil)
	}
	checks.That(!req.done(), "core: a request that is done has no slot", state)
	checks.That(req.inFlight >= 0 && req.inFlight <= len(req.attempts), "core: attempts in flight are at most those made", state)
	checks.That(c.requests.byID[req.id] == ref || !req.awaitsAnswer(), "core: ids and requests match", state)
	unsent := !req.finished && len(req.attempts) == 0
	checks.That(req.payment.pending == nil || unsent, "core: a request that waits for credit has no attempts", state)
	isLast := req.finished && req.stream == nil
	checks.That(req.delayedAnswer == nil || isLast, "core: a delayed answer is the final one", state)
}
