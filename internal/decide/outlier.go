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
func (r *Router) recordAnswer(server *server, attempt *attempt) {
	server.answeredAt = r.now
	if attempt.sentAt >= server.ejectedAt || server.refusingSince == 0 {
		r.markHealthy(server)
	} else {
		server.refusingSince = r.now
	}
}

// markHealthy returns a server to use.
func (r *Router) markHealthy(server *server) {
	if server.health == ejected {
		r.restartSlowStart(server)
	}
	server.refusingSince = 0
	server.healthCheckFailures = 0
	server.health = healthy
}

// restartSlowStart takes a server for cold that refused connections for a while: it has probably restarted.
func (r *Router) restartSlowStart(server *server) {
	if server.refusingSince != 0 && r.now-server.refusingSince >= restartOutage {
		server.startedAt = max(server.startedAt, r.now)
	}
}

// eject takes a server out of use.
func (r *Router) eject(server *server) {
	if server.health != ejected {
		r.emit(Action{Kind: Log, Text: "server " + string(server.id) + " ejected"})
	}
	server.health = ejected
	server.ejectedAt = r.now
}

// recordRefusal takes a refused or broken connection. A second one without an answer between ejects the
// server.
func (r *Router) recordRefusal(server *server) {
	if server.refusingSince != 0 || server.health != healthy {
		r.eject(server)
	}
	server.refusingSince = cmp.Or(server.refusingSince, r.now)
}

// unresponsive reports whether a server left requests unanswered for longer than chance explains. Health
// checks do not count, and neither do attempts that were overtaken: they show something of themselves, not
// of the server.
func (r *Router) unresponsive(server *server) bool {
	first, count, longest := r.now, 0.0, r.averageWork
	for _, attempt := range server.openAttempts {
		if attempt.showsServer() {
			first = min(first, attempt.sentAt)
			count++
			longest = max(longest, attempt.request.expectedWork())
		}
	}
	turn := longest / (r.serviceRate(server) * rateShare(r.loadOf(server).likely))
	limit := turn*(unresponsiveTurns+unresponsiveGaps/min(fullRateConcurrency, count)) + r.linkDelay(server)
	return count > 0 && (r.now-max(server.answeredAt, first)).Seconds() > limit
}

// startTrial makes an ejected server half-open after a pause, where it answers no health checks: a request
// alone can show that it is back.
func (r *Router) startTrial(server *server) {
	if !server.available() || r.now-server.ejectedAt < server.healthCheckBackoff() {
		return
	}
	r.restartSlowStart(server)
	server.healthCheckFailures++
	server.health = halfOpen
	server.presumeAllLost()
}

// trialIsFull reports whether a half-open server has all the attempts that it may have at once.
func (server *server) trialIsFull() bool {
	return server.health == halfOpen && server.countedAttempts() >= halfOpenAttempts
}
