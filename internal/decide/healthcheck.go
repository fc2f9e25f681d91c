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
	s := r.servers[event.Server]
	if s == nil {
		return
	}
	sentAt, linkMayExplain := never, false
	if s.healthCheckPending {
		sentAt = s.healthCheckSentAt
		linkMayExplain = r.observeLink(s, r.now-s.healthCheckSentAt)
	}
	s.healthCheckPending = false
	if provesNothing(event.Result, linkMayExplain) {
		s.healthCheckRefusedAt = r.now
		return
	}
	switch event.Result {
	case OK:
		r.onHealthCheckPassed(s, event, sentAt)
	case Unreachable, Reset:
		s.healthCheckFailures++
		r.recordRefusal(s)
	default:
		s.healthCheckFailures++
		r.eject(s)
	}
}

// provesNothing reports whether the result of a health check neither ejects a server nor returns it to use.
func provesNothing(result Result, linkMayExplain bool) bool {
	refused := result == Overloaded || result == Failed || result == NotSent
	return refused || result != OK && linkMayExplain
}

// onHealthCheckPassed handles the report of a server that answered a health check.
func (r *Router) onHealthCheckPassed(s *server, event *HealthCheckResult, sentAt Time) {
	s.healthCheckFailures = 0
	if event.Load.Role == RolePrimary { // no other answer confirms that it is the primary
		s.primaryConfirmedAt = s.healthCheckSentAt
	}
	r.observeClock(s, event.Load, sentAt)
	// A primary's position is the time of its report.
	r.applyReport(s, event.Load, s.group.localTime(event.Load.Position))
	if s.health == ejected {
		// A health check bypasses its queue, so that requests have to prove it. What it had in flight may
		// be lost.
		r.markHealthy(s)
		s.health = halfOpen
		s.presumeAllLost()
	}
	s.refusingSince = 0
	r.sendWaiting(s.group)
}

// checkHealth sends a health check to a server, unless one is in flight or was sent within pause.
func (r *Router) checkHealth(s *server, pause time.Duration) {
	if !r.settings.MayCheckHealth || s.healthCheckPending || !s.available() {
		return
	}
	if s.healthCheckSentAt != never && r.now-s.healthCheckSentAt < pause {
		return
	}
	s.healthCheckPending = true
	s.healthCheckSentAt = r.now
	r.emit(Action{Kind: HealthCheck, Server: s.id})
}

// healthCheckBackoff returns the pause between health checks of an ejected server. It grows as they fail.
func (s *server) healthCheckBackoff() time.Duration {
	doublings := max(0, s.healthCheckFailures-checksBeforeBackoff)
	return ejectedCheckInterval << min(doublings, maxCheckBackoffDoublings)
}

// checkServers ejects unresponsive servers of a busy group, and checks the health of those that need it:
// ejected ones, those that refuse connections, and all while a write waits for a primary.
func (r *Router) checkServers(group *group) {
	primary := r.primary(group)
	search := r.primarySearch(group, primary)
	for _, s := range group.members {
		r.advanceService(s)
		if s.health != ejected && r.unresponsive(s) {
			r.eject(s)
		}
		if s == primary && group.clock.agreeingReports > 0 {
			r.checkHealth(s, offsetCheckInterval)
		}
		switch {
		case s.health == ejected && r.settings.MayCheckHealth:
			r.checkHealth(s, s.healthCheckBackoff())
		case s.health == ejected:
			r.startTrial(s)
		case s.refusingSince != 0:
			r.checkHealth(s, tickInterval)
		case search.active:
			r.checkHealth(s, search.pause)
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
