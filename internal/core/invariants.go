package core

import (
	"fmt"

	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/invariant"
)

// walk checks the invariants of all requests between two events: the core and the router have the same ones.
func (c *Core) walk(checks *invariant.Checks) {
	c.requests.Check(checks, "core: requests")
	owed, open, counted := 0, 0, 0
	c.requests.Each(func(ref slotmap.Ref, req *request) {
		state := func() string {
			return fmt.Sprintf("%v %s: over %v, %d of %d attempts out, passes on %v", ref, req.id, req.finished, req.inFlight, len(req.attempts), req.stream != nil)
		}
		checks.That(!req.finished || req.inFlight > 0 || req.stream != nil || req.delayedAnswer != nil, "core: of what is over nothing is kept", state)
		checks.That(req.inFlight >= 0 && req.inFlight <= len(req.attempts), "core: attempts out are of those made", state)
		checks.That(c.requestsByID[req.id] == ref || !req.awaitsAnswer(), "core: each request has its id", state)
		open += req.inFlight
		checks.That(req.payment.pending == nil || !req.finished && len(req.attempts) == 0, "core: what waits for funds has not been sent", state)
		if !req.finished && req.payment.pending == nil { // the router does not know of one that waits for its tenant's funds
			owed++
		}
		checks.That(req.delayedAnswer == nil || req.finished && req.stream == nil, "core: an answer that is held is the request's last", state)
		if !req.finished || req.stream != nil || req.delayedAnswer != nil {
			counted++
		}
	})
	requests, attempts := c.router.InFlight()
	state := func() string {
		return fmt.Sprintf("%d requests owed an answer, the router has %d; %d attempts out, the router has %d; %d ids of %d; %d counted as open", owed, requests,
			open, attempts, len(c.requestsByID), c.requests.Len(), c.metrics.OpenRequests)
	}
	checks.That(owed == requests, "core: the router has the requests that are owed an answer", state)
	checks.That(open == attempts, "core: the router has the attempts that are out", state)
	for id, ref := range c.requestsByID {
		req, ok := c.requests.Get(ref)
		checks.That(ok && req.id == id, "core: each request has its id", state)
	}
	checks.That(c.metrics.OpenRequests == counted, "core: the figure is of those in progress", state)
}
