package core

import (
	"fmt"

	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/invariant"
)

// walk checks the invariants of all requests between two events: the core and the router have the same ones.
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
	checks.That(totals.unanswered == requests, "core: the router has the requests without a final answer", state)
	checks.That(totals.inFlight == attempts, "core: the router has the attempts in flight", state)
	for id, ref := range c.requests.byID {
		req, ok := c.requests.Get(ref)
		checks.That(ok && req.id == id, "core: each request has its id", state)
	}
	checks.That(c.metrics.OpenRequests == totals.awaitAnswer, "core: the metric is of those in progress", state)
}

// requestTotals are counts over all requests.
type requestTotals struct {
	unanswered  int // without a final answer by the router, to which they are known
	inFlight    int // attempts
	awaitAnswer int
}

// add counts a request.
func (totals *requestTotals) add(req *request) {
	totals.inFlight += req.inFlight
	if !req.finished && req.payment.pending == nil { // the router does not know of one that waits for its tenant's credit
		totals.unanswered++
	}
	if req.awaitsAnswer() {
		totals.awaitAnswer++
	}
}

// checkRequest checks the invariants of one request.
func (c *Core) checkRequest(checks *invariant.Checks, ref slotmap.Ref, req *request) {
	state := func() string {
		return fmt.Sprintf("%v %s: finished %v, %d of %d attempts in flight, streams %v",
			ref, req.id, req.finished, req.inFlight, len(req.attempts), req.stream != nil)
	}
	checks.That(!req.done(), "core: of what is over nothing is stored", state)
	checks.That(req.inFlight >= 0 && req.inFlight <= len(req.attempts), "core: attempts in flight are of those made", state)
	checks.That(c.requests.byID[req.id] == ref || !req.awaitsAnswer(), "core: each request has its id", state)
	unsent := !req.finished && len(req.attempts) == 0
	checks.That(req.payment.pending == nil || unsent, "core: what waits for credit has not been sent", state)
	isLast := req.finished && req.stream == nil
	checks.That(req.delayedAnswer == nil || isLast, "core: an answer that waits is the request's last", state)
}
