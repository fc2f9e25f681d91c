package core

import (
	"beechgrade/internal/backend"
	"beechgrade/internal/decide"
	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/eventloop/clock"
)

// ServerObserver receives all that this pooler sees of servers.
type ServerObserver interface {
	Listed(list *discovery.List, whole bool)
	Sent(server string, tag backend.AttemptID, class int)
	Ended(server string, tag backend.AttemptID, result decide.Result, report backend.Report)
	HealthChecked(server string, result decide.Result, report backend.Report) // by this pooler
	Ejects(server string) bool                                                // peers find that it serves no requests, whatever its probes say
}

// serverObservation is the core's state for a witness; all nil without one.
type serverObservation struct {
	observer           ServerObserver
	pending            map[string]bool // servers with a probe in flight that was made for the witness alone
	requestedMeanwhile map[string]bool // of these, the ones that the router has asked to probe meanwhile
}

// unsentHealthCheckMs is the time that a probe which is not made appears to take.
const unsentHealthCheckMs = 2

// SetServerObserver sets the witness and passes it the last known list.
func (c *Core) SetServerObserver(witness ServerObserver) {
	c.observation = serverObservation{observer: witness, pending: map[string]bool{}, requestedMeanwhile: map[string]bool{}}
	witness.Listed(&c.config.InitialList, true)
}

// CheckHealthForObserver probes a server for the witness alone.
func (c *Core) CheckHealthForObserver(server string) {
	if !c.observation.pending[server] {
		c.observation.pending[server] = true
		c.CheckHealth(server)
	}
}

// observeHealthCheck passes a probe's end to the witness, and reports whether the probe was the witness's own. The router gets the server's role first: the
// witness may have the server tried at once, and what waits must not go there if it is a replica now.
func (c *Core) observeHealthCheck(server string, outcome *backend.Outcome) bool {
	if c.observation.observer == nil {
		return false
	}
	look := c.observation.pending[server]
	switch {
	case outcome.Result != decide.OK:
	case look:
		c.mergeReport(server, outcome.Report)
	default: // the position comes with the probe's result, from which the router learns the server's pace
		c.mergeRole(server, outcome.Report)
	}
	c.observation.observer.HealthChecked(server, outcome.Result, outcome.Report)
	if !look {
		return false
	}
	again := c.observation.requestedMeanwhile[server]
	delete(c.observation.pending, server)
	delete(c.observation.requestedMeanwhile, server)
	if again {
		c.carryOut(&decide.Action{Kind: decide.HealthCheck, Server: decide.ServerID(server)})
	}
	return true
}

// reportTime returns the time of a report on this process's clock, by the server's position.
func (c *Core) reportTime(server string, report backend.Report) decide.Time {
	return c.router.ToLocalTime(decide.ServerID(server), clock.ToDuration(report.Position))
}

// mergeReport gives the router a server's report, as of the report's time.
func (c *Core) mergeReport(server string, report backend.Report) {
	if !report.HasPos || c.reportTime(server, report) > clock.ToDuration(c.loop.Now()) {
		return
	}
	c.ServerReported(server, report, 0)
}

// mergeRole is recall without the position.
func (c *Core) mergeRole(server string, report backend.Report) {
	now, at := clock.ToDuration(c.loop.Now()), c.reportTime(server, report)
	if known, ok := c.router.SnapshotOf(decide.ServerID(server)); ok && report.HasPos && report.Role != decide.RoleUnknown && at <= now {
		known.Ejected, known.Role, known.RoleAt = false, report.Role, at
		c.MergeSnapshot(&decide.Snapshot{Servers: []decide.ServerSnapshot{known}})
		if report.Role == decide.RoleReplica {
			c.recallUnwritten(server)
		}
	}
}

// ServerReported gives the router a server's report, made to any pooler, that is ageMs old at most. A position also is the time of its report.
func (c *Core) ServerReported(server string, report backend.Report, ageMs float64) {
	now, at := clock.ToDuration(c.loop.Now()), c.reportTime(server, report)
	known, ok := c.router.SnapshotOf(decide.ServerID(server))
	if !ok || at > now {
		return
	}
	known.Ejected = false
	if report.Role != decide.RoleUnknown {
		known.Role, known.RoleAt = report.Role, at
	}
	if position := clock.ToDuration(report.Position); position > known.Position {
		known.Position, known.PositionAt, known.PositionReportedAt = position, now, now-clock.ToDuration(ageMs)
	}
	c.MergeSnapshot(&decide.Snapshot{Servers: []decide.ServerSnapshot{known}})
	if report.Role == decide.RoleReplica {
		c.recallUnwritten(server)
	}
}

// Eject has the router take a server out of use.
func (c *Core) Eject(server string) {
	if known, ok := c.router.SnapshotOf(decide.ServerID(server)); ok {
		known.Ejected, known.EjectedAt = true, clock.ToDuration(c.loop.Now())
		c.MergeSnapshot(&decide.Snapshot{Servers: []decide.ServerSnapshot{known}})
	}
}

// StartTrial has the router send a few requests to a server that it has taken out of use.
func (c *Core) StartTrial(server string) {
	if known, ok := c.router.SnapshotOf(decide.ServerID(server)); ok && known.Ejected {
		c.handleEvent(&decide.HealthCheckResult{Server: known.ID})
	}
}
