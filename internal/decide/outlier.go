package decide

import (
	"cmp"
	"time"
)

const (
	// unresponsiveGaps: a server is unresponsive without an answer for this many mean gaps between answers...
	unresponsiveGaps = 8.0
	// unresponsiveTurns: ...and this many mean request times.
	unresponsiveTurns = 3.0
	// halfOpenAttempts is how many requests a half-open server gets at once: one may get lost and prove
	// nothing.
	halfOpenAttempts = 3
	// restartOutage: a server that refused connections for this long has probably restarted.
	restartOutage = time.Second
)

// recordAnswer takes an answer. To an attempt from before the server was ejected, it shows only that the
// server lived.
func (r *Router) recordAnswer(s *server, attempt *attempt) {
	s.answeredAt = r.now
	if attempt.sentAt >= s.ejectedAt || s.refusingSince == 0 {
		r.markHealthy(s)
	} else {
		s.refusingSince = r.now
	}
}

// markHealthy returns a server to use.
func (r *Router) markHealthy(s *server) {
	if s.health == ejected {
		r.restartSlowStart(s)
	}
	s.refusingSince = 0
	s.healthCheckFailures = 0
	s.health = healthy
}

// restartSlowStart takes a server for cold that refused connections for a while: it has probably restarted.
func (r *Router) restartSlowStart(s *server) {
	if s.refusingSince != 0 && r.now-s.refusingSince >= restartOutage {
		s.startedAt = max(s.startedAt, r.now)
	}
}

// eject takes a server out of use.
func (r *Router) eject(s *server) {
	if s.health != ejected {
		r.emit(Action{Kind: Log, Text: "server " + string(s.id) + " ejected"})
	}
	s.health = ejected
	s.ejectedAt = r.now
}

// recordRefusal takes a refused or broken connection. A second one without an answer between ejects the
// server.
func (r *Router) recordRefusal(s *server) {
	if s.refusingSince != 0 || s.health != healthy {
		r.eject(s)
	}
	s.refusingSince = cmp.Or(s.refusingSince, r.now)
}

// unresponsive reports whether a server left requests unanswered for longer than chance explains. Health
// checks do not count, and neither do attempts that were overtaken: they show something of themselves, not
// of the server.
func (r *Router) unresponsive(s *server) bool {
	first, count, longest := r.now, 0.0, r.averageWork
	for _, attempt := range s.openAttempts {
		if attempt.showsServer() {
			first = min(first, attempt.sentAt)
			count++
			longest = max(longest, attempt.request.expectedWork())
		}
	}
	turn := longest / (r.serviceRate(s) * rateShare(r.loadOf(s).likely))
	limit := turn*(unresponsiveTurns+unresponsiveGaps/min(fullRateConcurrency, count)) + r.linkDelay(s)
	return count > 0 && (r.now-max(s.answeredAt, first)).Seconds() > limit
}

// startTrial makes an ejected server half-open after a pause, where it answers no health checks: a request
// alone can show that it is back.
func (r *Router) startTrial(s *server) {
	if !s.available() || r.now-s.ejectedAt < s.healthCheckBackoff() {
		return
	}
	r.restartSlowStart(s)
	s.healthCheckFailures++
	s.health = halfOpen
	s.presumeAllLost()
}

// trialIsFull reports whether a half-open server has all the attempts that it may have at once.
func (s *server) trialIsFull() bool {
	return s.health == halfOpen && s.countedAttempts() >= halfOpenAttempts
}
