package decide

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// recordAnswer takes an answer. To an attempt from before the server went down, it shows only that it lived.
func (r *Router) recordAnswer(s *server, a *attempt) {
	if s.answeredAt = r.now; a.sentAt >= s.ejectedAt || s.refusingSince == 0 {
		r.markHealthy(s)
	} else {
		s.refusingSince = r.now
	}
}

// restartSlowStart takes a server for cold that refused connections for a while: it has probably restarted.
func (r *Router) restartSlowStart(s *server) {
	if s.refusingSince != 0 && r.now-s.refusingSince >= restartOutage {
		s.startedAt = max(s.startedAt, r.now)
	}
}

// markHealthy takes a server back.
func (r *Router) markHealthy(s *server) {
	if s.health == ejected {
		r.restartSlowStart(s)
	}
	s.refusingSince, s.healthCheckFailures, s.health = 0, 0, healthy
}

// eject takes a server out of use.
func (r *Router) eject(s *server) {
	if s.health != ejected {
		r.emit(Action{Kind: Log, Text: "store " + string(s.id) + " down"})
	}
	s.health, s.ejectedAt = ejected, r.now
}

// recordRefusal takes a refused or broken connection. A second one without an answer between takes it out of use.
func (r *Router) recordRefusal(s *server) {
	if s.refusingSince != 0 || s.health != healthy {
		r.eject(s)
	}
	s.refusingSince = cmp.Or(s.refusingSince, r.now)
}

// unresponsive tells whether a server left requests unanswered for longer than chance explains, probes aside.
func (r *Router) unresponsive(s *server) bool {
	first, n, longest := r.now, 0.0, r.averageWork
	for _, a := range s.openAttempts {
		if a.overtakenBy == 0 && !a.presumedLost { // an overtaken one says something of itself, not of the server
			first, n, longest = min(first, a.sentAt), n+1, max(longest, a.request.expectedWork())
		}
	}
	load, _ := r.load(s)
	limit := longest/(r.serviceRate(s)*rateShare(load))*(unresponsiveTurns+unresponsiveGaps/min(fullRateConcurrency, n)) + r.linkDelay(s)
	return n > 0 && (r.now-max(s.answeredAt, first)).Seconds() > limit
}

func (r *Router) onHealthCheckResult(ev *HealthCheckResult) {
	s := r.servers[ev.Server]
	if s == nil {
		return
	}
	sent := never
	if s.healthCheckPending {
		sent = s.healthCheckSentAt
	}
	slow := s.healthCheckPending && r.observeLink(s, r.now-s.healthCheckSentAt)
	s.healthCheckPending = false
	if ev.Result == Overloaded || ev.Result == Failed || ev.Result == NotSent || ev.Result != OK && slow {
		s.healthCheckRefusedAt = r.now // not a report: it takes a server neither out of use nor back
		return
	}
	if s.healthCheckFailures++; ev.Result == Unreachable || ev.Result == Reset {
		r.recordRefusal(s)
		return
	} else if ev.Result != OK {
		r.eject(s)
		return
	}
	if s.healthCheckFailures = 0; ev.Load.Role == RolePrimary { // no other answer confirms that it leads
		s.primaryConfirmedAt = s.healthCheckSentAt
	}
	r.observeClock(s, ev.Load, sent)
	// a primary's position is the time of its report
	r.applyReport(s, ev.Load, s.group.localTime(ev.Load.Position))
	if s.health == ejected {
		// A probe bypasses its queue, so requests have to prove it. What it had in flight may be gone.
		r.markHealthy(s)
		s.health = halfOpen
		s.presumeAllLost()
	}
	s.refusingSince = 0
	r.sendWaiting(s.group)
}

// checkHealth probes a server, unless it was probed within pause.
func (r *Router) checkHealth(s *server, pause time.Duration) {
	if !r.settings.MayCheckHealth || s.healthCheckPending || !s.available() || s.healthCheckSentAt != never && r.now-s.healthCheckSentAt < pause {
		return
	}
	s.healthCheckPending, s.healthCheckSentAt = true, r.now
	r.emit(Action{Kind: HealthCheck, Server: s.id})
}

// healthCheckBackoff is the time between probes of a server that is down. It grows as they fail.
func (s *server) healthCheckBackoff() time.Duration {
	return ejectedCheckInterval << min(max(0, s.healthCheckFailures-checksBeforeBackoff), maxCheckBackoffDoublings)
}

// startTrial puts a server that is down on trial after a pause, where it answers no probes: a request alone can
// show that it is back.
func (r *Router) startTrial(s *server) {
	if !s.available() || r.now-s.ejectedAt < s.healthCheckBackoff() {
		return
	}
	r.restartSlowStart(s)
	s.healthCheckFailures++
	s.health = halfOpen
	s.presumeAllLost()
}

// checkServers finds silent servers of a busy group, and probes those down, or all while a write needs a primary.
func (r *Router) checkServers(grp *group) {
	p, i := r.primary(grp), slices.IndexFunc(grp.waiting, (*request).primaryOnly)
	seek, pause := (p == nil || !p.usable()) && i >= 0, r.primarySearchPause
	if seek { // the pause at which a round of probes and half a pause of delay cost least together
		least := math.Sqrt(2 * r.settings.HealthCheckCost * float64(len(grp.members)))
		pause = max(pause, toDuration(grp.waiting[i].class.LatencyObjective.Seconds()*least))
	}
	for _, s := range grp.members {
		r.advanceService(s)
		if s.health != ejected && r.unresponsive(s) {
			r.eject(s)
		}
		if s == p && grp.clock.agreeingReports > 0 {
			r.checkHealth(s, offsetCheckInterval)
		}
		if s.health == ejected && r.settings.MayCheckHealth {
			r.checkHealth(s, s.healthCheckBackoff())
		} else if s.health == ejected {
			r.startTrial(s)
		} else if s.refusingSince != 0 {
			r.checkHealth(s, tickInterval)
		} else if seek {
			r.checkHealth(s, pause)
		}
	}
}
