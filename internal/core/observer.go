package core

import (
	"beechgrade/internal/backend"
	"beechgrade/internal/decide"
	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/eventloop/clock"
)

// ServerObserver receives all that this pooler learns of servers, for the fleet's outlier detection.
type ServerObserver interface {
	Listed(list *discovery.List, whole bool)
	Sent(server string, tag backend.AttemptID, class int)
	Ended(server string, tag backend.AttemptID, result decide.Result, report backend.Report)
	// HealthChecked takes a health check by this pooler.
	HealthChecked(server string, result decide.Result, report backend.Report)
	// Ejects reports whether peers find that a server serves no requests, whatever its health checks show.
	Ejects(server string) bool
}

// serverObservation is the core's state for an observer; all nil without one.
type serverObservation struct {
	observer           ServerObserver
	pending            map[string]bool // servers with a health check in flight that was made for the observer alone
	requestedMeanwhile map[string]bool // of these, the ones whose health check the router has requested since
}

// SetServerObserver sets the observer and passes it the last known list.
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

// observeHealthCheck passes the end of a health check to the observer, and reports whether it was the observer's own. The
// router gets the server's role first: the observer may start a trial of the server at once, and what waits must not go there
// if it is a replica now.
func (c *Core) observeHealthCheck(server string, outcome *backend.Outcome) bool {
	observation := &c.observation
	if observation.observer == nil {
		return false
	}
	own := observation.pending[server]
	switch {
	case outcome.Result != decide.OK:
	case own:
		c.mergeReport(server, outcome.Report)
	default: // the position comes with the check's result, from which the router learns the rate at which it advances
		c.mergeRole(server, outcome.Report)
	}
	observation.observer.HealthChecked(server, outcome.Result, outcome.Report)
	if !own {
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

// reportTime returns the time of a report on this process's clock, by the server's position.
func (c *Core) reportTime(server string, report backend.Report) decide.Time {
	return c.router.ToLocalTime(decide.ServerID(server), clock.ToDuration(report.Position))
}

// mergeServer gives the router what is known of one server.
func (c *Core) mergeServer(known decide.ServerSnapshot) {
	c.MergeSnapshot(&decide.Snapshot{Servers: []decide.ServerSnapshot{known}})
}

// mergeReport gives the router a server's report, as of the report's time.
func (c *Core) mergeReport(server string, report backend.Report) {
	if !report.HasPos || c.reportTime(server, report) > clock.ToDuration(c.loop.Now()) {
		return
	}
	c.ServerReported(server, report, 0)
}

// mergeRole is mergeReport without the position.
func (c *Core) mergeRole(server string, report backend.Report) {
	now, at := clock.ToDuration(c.loop.Now()), c.reportTime(server, report)
	known, ok := c.router.SnapshotOf(decide.ServerID(server))
	hasRole := report.HasPos && report.Role != decide.RoleUnknown
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

// ServerReported gives the router a server's report, made to any pooler, that is ageMs old at most. A position also is the time
// of its report.
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

// Eject has the router take a server out of use.
func (c *Core) Eject(server string) {
	if known, ok := c.router.SnapshotOf(decide.ServerID(server)); ok {
		known.Ejected = true
		known.EjectedAt = clock.ToDuration(c.loop.Now())
		c.mergeServer(known)
	}
}

// StartTrial has the router send a few requests to a server that it has ejected.
func (c *Core) StartTrial(server string) {
	if known, ok := c.router.SnapshotOf(decide.ServerID(server)); ok && known.Ejected {
		c.handleEvent(&decide.HealthCheckResult{Server: known.ID})
	}
}
