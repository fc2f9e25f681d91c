package decide

import (
	"fmt"
	"slices"
	"time"
)

// sumTolerance is what rounding may add to a sum of work, in seconds.
const sumTolerance = 1e-9

// onAction checks an action, and takes it.
func (c *checker) onAction(r *Router, action *Action) {
	switch action.Kind {
	case Send:
		c.onSend(r, action)
	case Reject, Fail:
		c.checkFinalAnswer(action)
		c.end(action.ID)
	case Cancel:
		c.checkCancel(action)
	case HealthCheck:
		c.onHealthCheck(r, action)
	}
}

// checkFinalAnswer states that a request has one final answer.
func (c *checker) checkFinalAnswer(action *Action) {
	request := c.requests[action.ID]
	c.checks.That(request != nil && !request.ended, "decide: each request has one final answer", func() string {
		return fmt.Sprintf("%x gets another by %+v", action.ID, *action)
	})
}

// checkCancel states that what is cancelled is in flight.
func (c *checker) checkCancel(action *Action) {
	inFlight := false
	if request := c.requests[action.ID]; request != nil {
		_, inFlight = request.openAttempts[action.Attempt]
	}
	c.checks.That(inFlight, "decide: only an attempt in flight is cancelled", func() string {
		return fmt.Sprintf("%+v", *action)
	})
}

// onHealthCheck states that only servers in the list are checked.
func (c *checker) onHealthCheck(r *Router, action *Action) {
	view := c.servers[action.Server]
	c.checks.That(view != nil, "decide: only a listed server is checked", func() string { return fmt.Sprintf("%+v", *action) })
	if view != nil {
		view.healthCheckedAt = r.now
		c.checkAvailable(r, action, view)
	}
}

// checkAvailable states that nothing goes to a server that is draining or removed; with DrainOnly, one that
// left the list may be used.
func (c *checker) checkAvailable(r *Router, action *Action, view *serverView) {
	available := !view.draining && (!view.removed || r.settings.DrainOnly)
	c.checks.That(available, "decide: nothing is sent to a server that is draining or removed", func() string {
		return fmt.Sprintf("%s: draining %v, removed %v; %+v", action.Server, view.draining, view.removed, *action)
	})
}

// onSend checks an attempt, and takes it.
func (c *checker) onSend(r *Router, action *Action) {
	view, request, known := c.servers[action.Server], r.requestOf(action), c.requests[action.ID]
	found := view != nil && request != nil && known != nil
	c.checks.That(found && !known.ended, "decide: only an open request is sent, to a listed server", func() string {
		return fmt.Sprintf("%+v: server %+v, request %+v", *action, view, known)
	})
	if !found {
		return
	}
	c.checkAvailable(r, action, view)
	c.checkPosition(r, action, view, request)
	c.checkSlowStart(r, action, view, request)
	c.checkDuplicates(r, request, known)
	known.openAttempts[known.attempts] = attemptView{server: action.Server, sentAt: r.now}
	known.attempts++
	c.count(known, view, 1)
	most := max(1, r.settings.MaxAttempts)
	c.checks.That(known.attempts <= most, "decide: a request has no more than the attempts allowed", func() string {
		return fmt.Sprintf("%d of %d: %+v", known.attempts, most, *action)
	})
	mayHaveTwo := request.class.Idempotency != NotIdempotent
	c.checks.That(mayHaveTwo || len(known.openAttempts) == 1, "decide: what must not run twice is in flight once", func() string {
		return fmt.Sprintf("%+v: in flight %v", *action, known.openAttempts)
	})
}

// requestOf returns the request of a Send, which may be over by the end of the event.
func (r *Router) requestOf(action *Action) *request {
	if server := r.servers[action.Server]; server != nil {
		for _, attempt := range server.openAttempts {
			if attempt.request.id == action.ID {
				return attempt.request
			}
		}
	}
	return nil
}

// checkPosition states that the server of a read has data that is new enough by its own report, dated by
// the report or else by the time of the question: not by when the answer was read, which may be long after.
// A primary's report may be older than a health check for this read alone: it may have been replaced since,
// but hardly between its report and its answer (see freshness).
func (c *checker) checkPosition(r *Router, action *Action, view *serverView, request *request) {
	required := r.requiredPosition(request)
	mayBeStale := r.settings.StaleReads != StaleReadsAnswered || !r.settings.MayCheckHealth
	if request.primaryOnly() || required == never || mayBeStale {
		return
	}
	server := r.servers[action.Server]
	ahead := request.group.clock.ahead
	covered := view.position >= required || view.primaryAt+ahead >= required
	checkedInTime := view.primaryNotDeniedAt >= max(required-ahead, request.arrivedAt)
	c.checks.That(covered || checkedInTime && server.role == RolePrimary, "decide: a read goes where its position is covered", func() string {
		ago := func(t Time) time.Duration { return r.now - t }
		return fmt.Sprintf("%s for %x, which came %v ago and needs %v ago (bound %v): it reported to be at %v ago and to be the primary %v ago, "+
			"when asked %v ago; the router has position %v ago, role %d as of %v ago, last position report %v ago",
			action.Server, request.id, ago(request.arrivedAt), ago(required), request.class.MaxStaleness, ago(view.position),
			ago(view.primaryAt), ago(view.primaryNotDeniedAt), ago(server.position), server.role, ago(server.roleAt), ago(server.positionReportedAt))
	})
}

// checkSlowStart states that a cold server gets no more from this router in a span than the router's part
// of the budget. Where that is less than one request, a draw decides, which has a mean and no bound.
func (c *checker) checkSlowStart(r *Router, action *Action, view *serverView, request *request) {
	server, span := r.servers[action.Server], r.settings.SlowStartSpan
	if r.settings.SlowStartMultiple <= 0 || span <= 0 || r.warmUpFactor(server) == 1 {
		view.slowStartSends = view.slowStartSends[:0]
		return
	}
	rate := min(r.warmRate(server), r.typicalRate(server)) * r.warmUpFactor(server)
	part := r.settings.SlowStartShare / float64(r.settings.Processes)
	budget := r.settings.SlowStartMultiple * fullRateConcurrency * rate * part * span.Seconds()
	if slowStartMargin/2*budget < max(request.expectedWork(), r.averageWork) {
		view.slowStartSends = view.slowStartSends[:0]
		return
	}
	view.slowStartSends = slices.DeleteFunc(view.slowStartSends, func(send budgetedSend) bool { return r.now-send.at >= span })
	view.slowStartSends = append(view.slowStartSends, budgetedSend{at: r.now, work: request.expectedWork(), budget: budget})
	sum, most := 0.0, 0.0 // the part may have been larger when it was sent
	for _, send := range view.slowStartSends {
		sum += send.work
		most = max(most, send.budget)
	}
	c.checks.That(sum <= most+sumTolerance, "decide: a cold server stays within its slow-start budget", func() string {
		return fmt.Sprintf("%s: %.3f of work in %v, at most %.3f: %v", action.Server, sum, span, most, view.slowStartSends)
	})
}
