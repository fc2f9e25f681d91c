package decide

// Invariants of the router under any input, checked against separate records of its events and actions (see
// internal/invariant). Nothing is decided here, and without a checker nothing is done.

import "beechgrade/internal/invariant"

// EnableChecks has the router's invariants checked from its beginning on: those of an event with each
// event, and a walk over all state every so many events. It has no effect if checks are off.
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

// checkEvent checks an event that has been handled; before is the number of earlier actions in the output.
func (r *Router) checkEvent(event Event, before int) {
	if r.checker != nil {
		r.checker.observe(r, event, r.actions[before:])
	}
}

// checker follows a router by its events and actions alone.
type checker struct {
	checks            *invariant.Checks
	walkInterval      int
	eventsSinceWalk   int
	servers           map[ServerID]*serverView
	requests          map[RequestID]*requestView // until they are over and none of their attempts is in flight
	openAttempts      int
	openByClass       map[int]int
	openByTenant      map[int]int
	duplicatesByGroup map[int]*duplicateCounts
}

// serverView is what was reported of a server, and by it.
type serverView struct {
	draining, removed  bool
	position           Time // the newest that it reported
	primaryAt          Time // when it last was the primary for certain
	primaryNotDeniedAt Time // when the last question was sent whose answer did not deny that it is the primary
	healthCheckedAt    Time // when the last health check was sent
	openAttempts       int
	slowStartSends     []budgetedSend // while it was cold, within the last span of the slow-start budget
}

// budgetedSend is work that was sent to a cold server, and its budget then.
type budgetedSend struct {
	at           Time
	work, budget workSeconds
}

// requestView is what is known of a request.
type requestView struct {
	class, tenant int
	ended         bool
	mayHaveRun    bool // an attempt that ended may have run
	openAttempts  map[int]attemptView
	attempts      int
}

// attemptView is an attempt in flight.
type attemptView struct {
	server ServerID
	sentAt Time
}

// server returns the view of a server, which it adds if there is none.
func (c *checker) server(id ServerID) *serverView {
	view := c.servers[id]
	if view == nil {
		view = &serverView{position: never, primaryAt: never, primaryNotDeniedAt: never, healthCheckedAt: never}
		c.servers[id] = view
	}
	return view
}

// observe takes an event and the actions that it caused.
func (c *checker) observe(r *Router, event Event, actions []Action) {
	switch event := event.(type) {
	case *Request:
		if c.requests[event.ID] == nil {
			c.requests[event.ID] = &requestView{class: event.Class, tenant: event.Tenant, openAttempts: map[int]attemptView{}}
		}
	case *Outcome:
		c.onOutcome(r, event)
	case *Abandoned:
		c.end(event.ID)
	case *HealthCheckResult:
		if view := c.servers[event.Server]; view != nil {
			view.report(r, event.Server, event.Load, view.healthCheckedAt)
		}
	case *EndpointList:
		c.onEndpointList(event)
	}
	for i := range actions {
		c.onAction(r, &actions[i])
	}
	c.checks.Walk(&c.eventsSinceWalk, c.walkInterval, "decide: the walk", func(*invariant.Checks) { c.walk(r, event) })
}

// report takes a server's report in answer to what was sent at that time. A primary's position is the time
// of its report.
func (view *serverView) report(r *Router, id ServerID, report Report, sentAt Time) {
	at := r.ToLocalTime(id, report.Position)
	if report.HasPosition && at <= r.now {
		view.position = max(view.position, report.Position)
	}
	// Where the list alone has roles, a report may have none.
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

// onOutcome takes the end of an attempt.
func (c *checker) onOutcome(r *Router, event *Outcome) {
	request := c.requests[event.ID]
	if request == nil {
		return
	}
	if attempt, ok := request.openAttempts[event.Attempt]; ok && attempt.server == event.Server {
		view := c.server(event.Server)
		view.report(r, event.Server, event.Reported, attempt.sentAt)
		if event.Reported.Role == RolePrimary { // reported after it was sent, whatever its clock shows
			view.primaryAt = max(view.primaryAt, attempt.sentAt)
		}
		if event.Load.HasPosition {
			view.report(r, event.Server, event.Load, never)
		}
		delete(request.openAttempts, event.Attempt)
		request.mayHaveRun = request.mayHaveRun || mayHaveRun(event.Result)
		c.count(request, view, -1)
	}
	if event.Final {
		request.ended = true
	}
	c.forgetEnded(event.ID, request)
}

// count adds n to the numbers of attempts in flight.
func (c *checker) count(request *requestView, view *serverView, n int) {
	view.openAttempts += n
	c.openAttempts += n
	c.openByClass[request.class] += n
	c.openByTenant[request.tenant] += n
}

// end marks a request as over.
func (c *checker) end(id RequestID) {
	if request := c.requests[id]; request != nil {
		request.ended = true
		c.forgetEnded(id, request)
	}
}

// forgetEnded removes a request that is over and has no attempt in flight.
func (c *checker) forgetEnded(id RequestID, request *requestView) {
	if request.ended && len(request.openAttempts) == 0 {
		delete(c.requests, id)
	}
}

// onEndpointList takes a change of the endpoint list, or the whole list.
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

// onMerge takes what the router was given by another.
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
