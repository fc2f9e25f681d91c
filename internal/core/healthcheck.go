package core

import (
	"beechgrade/internal/backend"
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop/clock"
)

// skippedHealthCheckDelayMs is the time after which a skipped health check is reported to the router as failed.
const skippedHealthCheckDelayMs = 2

// CheckHealth checks a server's health, within the fleet's limit of health checks.
func (c *Core) CheckHealth(server string) {
	c.limits.use(LimitHealthChecks, "").run(func() { c.servers.CheckHealth(server) })
}

// checkHealthForRouter carries out a health check that the router requests. It is skipped if the observer ejects the server, as the
// result would not count; put off while a check for the observer is in flight; and left to another pooler that makes it.
func (c *Core) checkHealthForRouter(server string) {
	c.recorder.healthCheckSent(server)
	observer, sharer := c.observation.observer, c.fleet.healthCheckSharer
	switch {
	case observer != nil && observer.Ejects(server):
		c.loop.At(c.loop.Now()+skippedHealthCheckDelayMs, func() {
			c.handleEvent(&decide.HealthCheckResult{Server: decide.ServerID(server), Result: decide.Failed})
		})
	case c.observation.pending[server]: // the result of that check is not passed to the router
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
	if sharer != nil && outcome.Result == decide.OK { // a check made for peers may not reach the router otherwise
		c.mergeRole(server, outcome.Report)
	}
	if sharer == nil || !sharer.Ended(server, outcome.Result, outcome.Report) {
		c.HealthCheckReported(server, outcome.Result, outcome.Report, 0)
	}
}

// HealthCheckReported passes the result of a health check by this or another pooler to the router. It is at most ageMs old.
func (c *Core) HealthCheckReported(server string, result decide.Result, report backend.Report, ageMs float64) {
	isReplica := report.Role == decide.RoleReplica
	if observer := c.observation.observer; observer != nil && result == decide.OK && observer.Ejects(server) {
		c.mergeReport(server, report)
		// Peers found that the server serves no requests; a successful health check does not disprove that.
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
