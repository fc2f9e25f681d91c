package core

import (
	"beechgrade/internal/backend"
	"beechgrade/internal/decide"
	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/eventloop/clock"
)

// ServerObserver receives everything that this pooler observes of servers, for shared outlier detection.
type ServerObserver interface {
	Listed(list *discovery.List, full bool)
	Sent(server string, id backend.AttemptID, class int)
	Ended(server string, id backend.AttemptID, result decide.Result, report backend.Report)
	// Reported receives what a server reports at the end of an answer whose beginning was its attempt's end.
	Reported(server string, report backend.Report)
	// HealthChecked receives the result of a health check that this pooler made.
	HealthChecked(server string, result decide.Result, report backend.Report)
	// Ejects reports whether peers found that a server serves no requests, whatever its health checks show.
	Ejects(server string) bool
}

// serverObservation is the core's state for a ServerObserver. It is the zero value without one.
type serverObservation struct {
	observer           ServerObserver
	pending            map[string]bool // servers with a health check in flight that was made for the observer alone
	requestedMeanwhile map[string]bool // those of pending for which the router has requested a health check since
}

// SetServerObserver sets the observer and passes it the last known endpoint list.
func (c *Core) SetServerObserver(observer ServerObserver) {
	c.observation = serverObservation{observer: observer, pending: map[string]bool{}, requestedMeanwhile: map[string]bool{}}
	observer.Listed(&c.config.InitialList, true)
}

// CheckHealthForObserver checks a server's health for the observer alone.
func (c *Core) CheckHealthForObserver(server string) {
	if !c.observation.pending[server] {
		c.observation.pending[server] = true
		c.CheckHealth(server)
	}
}

// observeHealthCheck passes the end of a health check to the observer, and reports whether the check was made for the observer
// alone. The router gets the server's role first: the observer may start a trial of the server at once, and waiting writes must not
// go there if it is a replica now.
func (c *Core) observeHealthCheck(server string, outcome *backend.Outcome) bool {
	observation := &c.observation
	if observation.observer == nil {
		return false
	}
	forObserver := observation.pending[server]
	switch {
	case outcome.Result != decide.OK:
	case forObserver:
		c.mergeReport(server, outcome.Report)
	default: // the position is passed with the check's result, from which the router learns the rate at which it advances
		c.mergeRole(server, outcome.Report)
	}
	observation.observer.HealthChecked(server, outcome.Result, outcome.Report)
	if !forObserver {
		return false
	}
	requested := observation.requestedMeanwhile[server]
	delete(observation.pending, server)
	delete(observation.requestedMeanwhile, server)
	if requested {
		c.checkHealthForRouter(server)
	}
	return true
}

// reportTime returns the time of a report on this process's clock, derived from the server's position.
func (c *Core) reportTime(server string, report backend.Report) decide.Time {
	return c.router.ToLocalTime(decide.ServerID(server), clock.ToDuration(report.Position))
}

// mergeServer merges the state of one server into the router's state.
func (c *Core) mergeServer(known decide.ServerSnapshot) {
	c.MergeSnapshot(&decide.Snapshot{Servers: []decide.ServerSnapshot{known}})
}

// mergeReport passes a server's report to the router, as of the report's time. A report from the future is ignored.
func (c *Core) mergeReport(server string, report backend.Report) {
	if !report.HasPosition || c.reportTime(server, report) > clock.ToDuration(c.loop.Now()) {
		return
	}
	c.ServerReported(server, report, 0)
}

// mergeRole is like mergeReport, but passes the role only.
func (c *Core) mergeRole(server string, report backend.Report) {
	now, at := clock.ToDuration(c.loop.Now()), c.reportTime(server, report)
	known, ok := c.router.SnapshotOf(decide.ServerID(server))
	hasRole := report.HasPosition && report.Role != decide.RoleUnknown
	if !ok || !hasRole || at > now {
		return
	}
	known.Ejected = false
	known.Role = report.Role
	known.RoleAt = at
	c.mergeServer(known)
	if report.Role == decide.RoleReplica {
		c.recallUnwritten(server)
	}
}

// ServerReported passes a server's report to any pooler on to the router. The report is at most ageMs old. Its position is also its
// time, on the server's clock.
func (c *Core) ServerReported(server string, report backend.Report, ageMs float64) {
	now, at := clock.ToDuration(c.loop.Now()), c.reportTime(server, report)
	known, ok := c.router.SnapshotOf(decide.ServerID(server))
	if !ok || at > now {
		return
	}
	known.Ejected = false
	if report.Role != decide.RoleUnknown {
		known.Role = report.Role
		known.RoleAt = at
	}
	if position := clock.ToDuration(report.Position); position > known.Position {
		known.Position = position
		known.PositionAt = now
		known.PositionReportedAt = now - clock.ToDuration(ageMs)
	}
	c.mergeServer(known)
	if report.Role == decide.RoleReplica {
		c.recallUnwritten(server)
	}
}

// Eject marks a server as ejected in the router.
func (c *Core) Eject(server string) {
	if known, ok := c.router.SnapshotOf(decide.ServerID(server)); ok {
		known.Ejected = true
		known.EjectedAt = clock.ToDuration(c.loop.Now())
		c.mergeServer(known)
	}
}

// StartTrial makes the router send a few requests to an ejected server.
func (c *Core) StartTrial(server string) {
	if known, ok := c.router.SnapshotOf(decide.ServerID(server)); ok && known.Ejected {
		c.handleEvent(&decide.HealthCheckResult{Server: known.ID})
	}
}
