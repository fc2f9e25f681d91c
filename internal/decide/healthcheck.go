package decide

import (
	"math"
	"slices"
	"time"
)

const (
	// ejectedCheckInterval is the pause between health checks of an ejected server.
	ejectedCheckInterval = 200 * time.Millisecond
	// checksBeforeBackoff is the number of failed health checks in a row after which the pause grows.
	checksBeforeBackoff = 4
	// maxCheckBackoffDoublings bounds the doublings of the pause.
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
	if isInconclusive(event.Result, linkMayExplain) {
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

// isInconclusive reports whether a health check's result is no reason to eject a server or return it to use:
// the check was refused, unreadable or not sent, or the link may be the cause of the failure.
func isInconclusive(result Result, linkMayExplain bool) bool {
	refused := result == Overloaded || result == Failed || result == NotSent
	return refused || result != OK && linkMayExplain
}

// onHealthCheckPassed handles a successful health check and its report.
func (r *Router) onHealthCheckPassed(server *server, event *HealthCheckResult, sentAt Time) {
	server.healthCheckFailures = 0
	if event.Load.Role == RolePrimary { // only a health check's answer confirms that a server is the primary
		server.primaryConfirmedAt = server.healthCheckSentAt
	}
	r.observeClock(server, event.Load, sentAt)
	// A primary's position is the time of its report.
	r.applyReport(server, event.Load, server.group.localTime(event.Load.Position))
	if server.health == ejected {
		// A health check bypasses the server's request queue, so only answered requests prove that it
		// serves. Attempts in flight from before may be lost.
		r.markHealthy(server)
		server.health = halfOpen
		server.presumeAllLost()
	}
	server.refusingSince = 0
	r.sendWaiting(server.group)
}

// checkHealth sends a health check to a server, unless one is in flight or was sent less than pause ago.
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

// healthCheckBackoff returns the pause between health checks of an ejected server, which grows with failures
// in a row.
func (server *server) healthCheckBackoff() time.Duration {
	doublings := max(0, server.healthCheckFailures-checksBeforeBackoff)
	return ejectedCheckInterval << min(doublings, maxCheckBackoffDoublings)
}

// checkServers ejects unresponsive servers of a busy group. It checks the health of ejected servers, of
// servers that refuse connections, of a primary whose clock offset is in question, and of all members while
// a request waits for a primary.
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
// the same member.
type primarySearch struct {
	active bool
	pause  time.Duration
}

// primarySearch returns whether a request waits for a usable primary. The pause minimizes the sum of two
// costs: a round of health checks per pause, and a delay of half a pause on average.
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
