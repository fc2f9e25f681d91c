package decide

// Invariants of the router under any input, checked against separate records of its events and actions (see
// internal/invariant). The checker does not influence decisions, and without one nothing is recorded.

import "beechgrade/internal/invariant"

// EnableChecks enables checks of the router's invariants, before its first event. The invariants of an event
// are checked with each event, those of the whole state once in walkInterval events. It has no effect if
// checks are off.
func (r *Router) EnableChecks(checks *invariant.Checks, walkInterval int) {
	r.checker = nil
	if checks.Enabled() {
		r.checker = &checker{
			checks:       checks,
			walkInterval: walkInterval,
			servers:      map[ServerID]*serverView{},
			requests:     map[RequestID]*requestView{},
			openByClass:  map[int]int{},
			openByTenant: map[int]int{},
		}
	}
}

// checkEvent checks an event that has been handled; before is the number of actions that the output had
// before the event.
func (r *Router) checkEvent(event Event, before int) {
	if r.checker != nil {
		r.checker.observe(r, event, r.actions[before:])
	}
}

// checker keeps records of a router's events and actions, independent of the router's state, and checks the
// router against them.
type checker struct {
	checks            *invariant.Checks
	walkInterval      int
	eventsSinceWalk   int
	servers           map[ServerID]*serverView
	requests          map[RequestID]*requestView // until a request has ended and has no attempt in flight
	openAttempts      int
	openByClass       map[int]int
	openByTenant      map[int]int
	duplicatesByGroup map[int]*duplicateCounts
}

// serverView is what the list and the server's reports show of a server.
type serverView struct {
	draining, removed  bool
	position           Time // the newest reported position
	primaryAt          Time // when the server last was the primary for certain
	primaryNotDeniedAt Time // when the last request was sent whose answer did not deny that it is the primary
	healthCheckedAt    Time // when the last health check was sent
	openAttempts       int
	slowStartSends     []budgetedSend // sends while it was cold, within the last span of the slow-start budget
}

// budgetedSend is work that was sent to a cold server, and this router's budget at that time.
type budgetedSend struct {
	at           Time
	work, budget workSeconds
}

// requestView is the record of a request.
type requestView struct {
	class, tenant int
	ended         bool
	mayHaveRun    bool // an attempt that ended may have run
	openAttempts  map[int]attemptView
	attempts      int
}

// attemptView is the record of an attempt in flight.
type attemptView struct {
	server ServerID
	sentAt Time
}

// server returns the record of a server, which it adds if there is none.
func (c *checker) server(id ServerID) *serverView {
	view := c.servers[id]
	if view == nil {
		view = &serverView{position: never, primaryAt: never, primaryNotDeniedAt: never, healthCheckedAt: never}
		c.servers[id] = view
	}
	return view
}

// observe updates the records by an event and the actions that it caused, and checks the invariants.
func (c *checker) observe(r *Router, event Event, actions []Action) {
	switch event := event.(type) {
	case *Request:
		if c.requests[event.ID] == nil {
			c.requests[event.ID] = &requestView{class: event.Class, tenant: event.Tenant, openAttempts: map[int]attemptView{}}
		}
	case *Outcome:
		c.onOutcome(r, event)
	case *AnswerEnded:
		if view := c.servers[event.Server]; view != nil {
			view.applyAnswerReports(r, event.Server, event.SentAt, event.Reported, event.Load)
		}
	case *Abandoned:
		c.markEnded(event.ID)
	case *HealthCheckResult:
		if view := c.servers[event.Server]; view != nil {
			view.applyReport(r, event.Server, event.Load, view.healthCheckedAt)
		}
	case *EndpointList:
		c.onEndpointList(event)
	}
	for i := range actions {
		c.onAction(r, &actions[i])
	}
	c.checks.Walk(&c.eventsSinceWalk, c.walkInterval, "decide: the walk", func(*invariant.Checks) { c.walk(r, event) })
}

// applyReport updates the record by a server's report, in answer to a request sent at sentAt. A primary's
// position is the time of its report.
func (view *serverView) applyReport(r *Router, id ServerID, report Report, sentAt Time) {
	at := r.ToLocalTime(id, report.Position)
	if report.HasPosition && at <= r.now {
		view.position = max(view.position, report.Position)
	}
	// Where only the list states roles, reports have none.
	if report.Role == RolePrimary || report.Role == RoleUnknown && report.HasPosition {
		view.primaryNotDeniedAt = max(view.primaryNotDeniedAt, sentAt)
	}
	if report.Role == RolePrimary {
		if report.HasPosition {
			sentAt = min(at, r.now)
		}
		view.primaryAt = max(view.primaryAt, sentAt)
	}
}

// applyAnswerReports updates the record by the reports in the answer to an attempt.
func (view *serverView) applyAnswerReports(r *Router, id ServerID, sentAt Time, reported, load Report) {
	view.applyReport(r, id, reported, sentAt)
	if reported.Role == RolePrimary { // the report was made after the send, whatever its clock shows
		view.primaryAt = max(view.primaryAt, sentAt)
	}
	if load.HasPosition {
		view.applyReport(r, id, load, never)
	}
}

// onOutcome updates the records by the end of an attempt.
func (c *checker) onOutcome(r *Router, event *Outcome) {
	request := c.requests[event.ID]
	if request == nil {
		return
	}
	if attempt, ok := request.openAttempts[event.Attempt]; ok && attempt.server == event.Server {
		view := c.server(event.Server)
		view.applyAnswerReports(r, event.Server, attempt.sentAt, event.Reported, event.Load)
		delete(request.openAttempts, event.Attempt)
		request.mayHaveRun = request.mayHaveRun || mayHaveRun(event.Result)
		c.countOpenAttempts(request, view, -1)
	}
	if event.Final {
		request.ended = true
	}
	c.forgetEnded(event.ID, request)
}

// countOpenAttempts adds n to the counts of attempts in flight.
func (c *checker) countOpenAttempts(request *requestView, view *serverView, n int) {
	view.openAttempts += n
	c.openAttempts += n
	c.openByClass[request.class] += n
	c.openByTenant[request.tenant] += n
}

// markEnded marks a request as ended.
func (c *checker) markEnded(id RequestID) {
	if request := c.requests[id]; request != nil {
		request.ended = true
		c.forgetEnded(id, request)
	}
}

// forgetEnded removes a request that has ended and has no attempt in flight.
func (c *checker) forgetEnded(id RequestID, request *requestView) {
	if request.ended && len(request.openAttempts) == 0 {
		delete(c.requests, id)
	}
}

// onEndpointList updates the records by a change of the endpoint list, or by the whole list.
func (c *checker) onEndpointList(event *EndpointList) {
	if event.Kind == ListFailed {
		return
	}
	named := map[ServerID]bool{}
	for _, endpoint := range event.Endpoints {
		named[endpoint.Server] = true
		if endpoint.State == Removed {
			if view := c.servers[endpoint.Server]; view != nil {
				view.removed = true
			}
			continue
		}
		view := c.server(endpoint.Server)
		view.removed = false
		view.draining = endpoint.State == Draining
	}
	for id, view := range c.servers {
		view.removed = view.removed || event.Kind != ListChanges && !named[id]
	}
}

// onMerge updates the records by a snapshot of another router that is merged into this one.
func (c *checker) onMerge(r *Router, now Time, snapshot *Snapshot) {
	for i := range snapshot.Servers {
		known := &snapshot.Servers[i]
		view := c.servers[known.ID]
		if view == nil || r.ToLocalTime(known.ID, known.Position) > now {
			continue
		}
		view.position = max(view.position, known.Position)
		if known.Role == RolePrimary && known.RoleAt <= now {
			view.primaryAt = max(view.primaryAt, known.RoleAt)
		}
	}
}
