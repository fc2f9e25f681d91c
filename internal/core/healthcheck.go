package core

import (
	"beechgrade/internal/backend"
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop/clock"
)

// unsentHealthCheckMs is the time that a health check which is not made appears to take.
const unsentHealthCheckMs = 2

// CheckHealth checks a server's health, within the fleet's limit of health checks.
func (c *Core) CheckHealth(server string) {
	c.limits.use(LimitHealthChecks, "").run(func() { c.servers.CheckHealth(server) })
}

// checkHealthForRouter carries out a health check that the router requests: it is not made where its result would not count,
// where one for the observer is in flight, or where another pooler makes it.
func (c *Core) checkHealthForRouter(server string) {
	c.recorder.healthCheckSent(server)
	observer, sharer := c.observation.observer, c.fleet.healthCheckSharer
	switch {
	case observer != nil && observer.Ejects(server):
		c.loop.At(c.loop.Now()+unsentHealthCheckMs, func() {
			c.handleEvent(&decide.HealthCheckResult{Server: decide.ServerID(server), Result: decide.Failed})
		})
	case c.observation.pending[server]: // its result is not the router's
		c.observation.requestedMeanwhile[server] = true
	case sharer == nil || !sharer.Delegates(server):
		c.CheckHealth(server)
	}
}

// HealthCheckEnded implements backend.Events.
func (c *Core) HealthCheckEnded(server string, outcome backend.Outcome) {
	c.recorder.healthCheck(server, &outcome)
	c.forwardReport(server, &outcome)
	if c.fleet.zoneObserver != nil {
		c.fleet.zoneObserver.HealthChecked(server, outcome.Result == decide.OK)
	}
	if c.observeHealthCheck(server, &outcome) {
		return
	}
	sharer := c.fleet.healthCheckSharer
	if sharer != nil && outcome.Result == decide.OK { // it may have been made for peers alone, and not reach the router otherwise
		c.mergeRole(server, outcome.Report)
	}
	if sharer == nil || !sharer.Ended(server, outcome.Result, outcome.Report) {
		c.HealthCheckReported(server, outcome.Result, outcome.Report, 0)
	}
}

// HealthCheckReported passes the result of a health check, which is ageMs old at most, to the router.
func (c *Core) HealthCheckReported(server string, result decide.Result, report backend.Report, ageMs float64) {
	isReplica := report.Role == decide.RoleReplica
	if observer := c.observation.observer; observer != nil && result == decide.OK && observer.Ejects(server) {
		c.mergeReport(server, report)
		// It shows nothing of whether requests come through.
		result = decide.Failed
		report = backend.Report{}
	}
	load := reportOf(report)
	load.Age = clock.ToDuration(ageMs)
	c.handleEvent(&decide.HealthCheckResult{Server: decide.ServerID(server), Result: result, Load: load})
	if isReplica {
		c.recallUnwritten(server)
	}
}
