package decide

import (
	"math"
	"slices"
	"time"
)

const (
	// ejectedCheckInterval is the pause between health checks of an ejected server.
	ejectedCheckInterval = 200 * time.Millisecond
	// checksBeforeBackoff is how many failed health checks come before that pause grows.
	checksBeforeBackoff = 4
	// maxCheckBackoffDoublings is how often that pause is doubled at most.
	maxCheckBackoffDoublings = 4
)

// onHealthCheckResult handles the result of a health check.
func (r *Router) onHealthCheckResult(event *HealthCheckResult) {
	server := r.servers[event.Server]
	if server == nil {
		return
	}
	sentAt, linkMayExplain := never, false
	if server.healthCheckPending {
		sentAt = server.healthCheckSentAt
		linkMayExplain = r.observeLink(server, r.now-server.healthCheckSentAt)
	}
	server.healthCheckPending = false
	if provesNothing(event.Result, linkMayExplain) {
		server.healthCheckRefusedAt = r.now
		return
	}
	switch event.Result {
	case OK:
		r.onHealthCheckPassed(server, event, sentAt)
	case Unreachable, Reset:
		server.healthCheckFailures++
		r.recordRefusal(server)
	default:
		server.healthCheckFailures++
		r.eject(server)
	}
}

// provesNothing reports whether the result of a health check neither ejects a server nor returns it to use.
func provesNothing(result Result, linkMayExplain bool) bool {
	refused := result == Overloaded || result == Failed || result == NotSent
	return refused || result != OK && linkMayExplain
}

// onHealthCheckPassed handles the report of a server that answered a health check.
func (r *Router) onHealthCheckPassed(server *server, event *HealthCheckResult, sentAt Time) {
	server.healthCheckFailures = 0
	if event.Load.Role == RolePrimary { // no other answer confirms that it is the primary
		server.primaryConfirmedAt = server.healthCheckSentAt
	}
	r.observeClock(server, event.Load, sentAt)
	// A primary's position is the time of its report.
	r.applyReport(server, event.Load, server.group.localTime(event.Load.Position))
	if server.health == ejected {
		// A health check bypasses its queue, so that requests have to prove it. What it had in flight may
		// be lost.
		r.markHealthy(server)
		server.health = halfOpen
		server.presumeAllLost()
	}
	server.refusingSince = 0
	r.sendWaiting(server.group)
}

// checkHealth sends a health check to a server, unless one is in flight or was sent within pause.
func (r *Router) checkHealth(server *server, pause time.Duration) {
	if !r.settings.MayCheckHealth || server.healthCheckPending || !server.available() {
		return
	}
	if server.healthCheckSentAt != never && r.now-server.healthCheckSentAt < pause {
		return
	}
	server.healthCheckPending = true
	server.healthCheckSentAt = r.now
	r.emit(Action{Kind: HealthCheck, Server: server.id})
}

// healthCheckBackoff returns the pause between health checks of an ejected server. It grows as they fail.
func (server *server) healthCheckBackoff() time.Duration {
	doublings := max(0, server.healthCheckFailures-checksBeforeBackoff)
	return ejectedCheckInterval << min(doublings, maxCheckBackoffDoublings)
}

// checkServers ejects unresponsive servers of a busy group, and checks the health of those that need it:
// ejected ones, those that refuse connections, and all while a write waits for a primary.
func (r *Router) checkServers(group *group) {
	primary := r.primary(group)
	search := r.primarySearch(group, primary)
	for _, server := range group.members {
		r.advanceService(server)
		if server.health != ejected && r.unresponsive(server) {
			r.eject(server)
		}
		if server == primary && group.clock.agreeingReports > 0 {
			r.checkHealth(server, offsetCheckInterval)
		}
		switch {
		case server.health == ejected && r.settings.MayCheckHealth:
			r.checkHealth(server, server.healthCheckBackoff())
		case server.health == ejected:
			r.startTrial(server)
		case server.refusingSince != 0:
			r.checkHealth(server, tickInterval)
		case search.active:
			r.checkHealth(server, search.pause)
		}
	}
}

// primarySearch is whether a group's members are checked for a new primary, and the pause between checks of
// each.
type primarySearch struct {
	active bool
	pause  time.Duration
}

// primarySearch returns whether a request waits for a usable primary. The pause is the one at which a round
// of health checks and half a pause of delay cost least together.
func (r *Router) primarySearch(group *group, primary *server) primarySearch {
	if primary != nil && primary.usable() {
		return primarySearch{}
	}
	index := slices.IndexFunc(group.waiting, (*request).primaryOnly)
	if index < 0 {
		return primarySearch{}
	}
	leastCost := math.Sqrt(2 * r.settings.HealthCheckCost * float64(len(group.members)))
	objective := group.waiting[index].class.LatencyObjective.Seconds()
	return primarySearch{active: true, pause: max(r.primarySearchPause, toDuration(objective*leastCost))}
}
