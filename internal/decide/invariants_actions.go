package decide

import (
	"fmt"
	"slices"
	"time"
)

// sumTolerance is what rounding may add to a sum of work, in seconds.
const sumTolerance = 1e-9

// onAction checks an action, and updates the records by it.
func (c *checker) onAction(r *Router, action *Action) {
	switch action.Kind {
	case Send:
		c.onSend(r, action)
	case Reject, Fail:
		c.checkFinalAnswer(action)
		c.markEnded(action.ID)
	case Cancel:
		c.checkCancel(action)
	case HealthCheck:
		c.onHealthCheck(r, action)
	}
}

// checkFinalAnswer checks that a request gets one final answer only.
func (c *checker) checkFinalAnswer(action *Action) {
	request := c.requests[action.ID]
	c.checks.That(request != nil && !request.ended, "decide: each request has one final answer", func() string {
		return fmt.Sprintf("request %x is unknown or has ended, and gets %+v", action.ID, *action)
	})
}

// checkCancel checks that a cancelled attempt is in flight.
func (c *checker) checkCancel(action *Action) {
	inFlight := false
	if request := c.requests[action.ID]; request != nil {
		_, inFlight = request.openAttempts[action.Attempt]
	}
	c.checks.That(inFlight, "decide: only an attempt in flight is cancelled", func() string {
		return fmt.Sprintf("%+v", *action)
	})
}

// onHealthCheck checks that health checks go to listed servers only.
func (c *checker) onHealthCheck(r *Router, action *Action) {
	view := c.servers[action.Server]
	c.checks.That(view != nil, "decide: only a listed server is checked", func() string { return fmt.Sprintf("%+v", *action) })
	if view != nil {
		view.healthCheckedAt = r.now
		c.checkAvailable(r, action, view)
	}
}

// checkAvailable checks that nothing is sent to a server that is draining or removed; with DrainOnly, a
// server that left the list may be used.
func (c *checker) checkAvailable(r *Router, action *Action, view *serverView) {
	available := !view.draining && (!view.removed || r.settings.DrainOnly)
	c.checks.That(available, "decide: nothing is sent to a server that is draining or removed", func() string {
		return fmt.Sprintf("%s: draining %v, removed %v; %+v", action.Server, view.draining, view.removed, *action)
	})
}

// onSend checks an attempt, and adds it to the records.
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
	c.countOpenAttempts(known, view, 1)
	most := max(1, r.settings.MaxAttempts)
	c.checks.That(known.attempts <= most, "decide: a request has no more than the attempts allowed", func() string {
		return fmt.Sprintf("%d of %d: %+v", known.attempts, most, *action)
	})
	mayHaveTwo := request.class.Idempotency != NotIdempotent
	c.checks.That(mayHaveTwo || len(known.openAttempts) == 1, "decide: what must not run twice is in flight once", func() string {
		return fmt.Sprintf("%+v: in flight %v", *action, known.openAttempts)
	})
}

// requestOf returns the record of the request of a Send, which may have had its final answer by the end of
// the event.
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

// checkPosition checks that the server of a read has data that is new enough by its own report. The report
// counts as of its own time, or else as of when the request that it answers was sent; not as of when the
// answer was read, which may be long after. Only for a health check sent since the read arrived may a
// primary's report be older: a primary may have been replaced since its report, but hardly between its report
// and its answer (see freshness).
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
		return fmt.Sprintf("server %s, request %x: arrived %v ago, requires position %v ago (bound %v); server reported position %v ago and that it is "+
			"the primary %v ago, last check not denying that sent %v ago; router has position %v ago, role %d as of %v ago, last position report %v ago",
			action.Server, request.id, ago(request.arrivedAt), ago(required), request.class.MaxStaleness, ago(view.position),
			ago(view.primaryAt), ago(view.primaryNotDeniedAt), ago(server.position), server.role, ago(server.roleAt), ago(server.positionReportedAt))
	})
}

// checkSlowStart checks that a cold server gets no more work from this router in a span than the router's
// share of the budget. A share of less than one request is not checked: random draws then decide, which keep
// to the budget on average only.
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
	sum, most := 0.0, 0.0 // the share may have been larger when earlier work was sent
	for _, send := range view.slowStartSends {
		sum += send.work
		most = max(most, send.budget)
	}
	c.checks.That(sum <= most+sumTolerance, "decide: a cold server stays within its slow-start budget", func() string {
		return fmt.Sprintf("%s: %.3f of work in %v, at most %.3f: %v", action.Server, sum, span, most, view.slowStartSends)
	})
}
