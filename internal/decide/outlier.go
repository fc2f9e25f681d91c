package decide

import (
	"cmp"
	"time"
)

const (
	// unresponsiveGaps: a server is unresponsive without an answer for this many mean intervals between
	// answers...
	unresponsiveGaps = 8.0
	// unresponsiveRequestTimes: ...plus this many mean request times.
	unresponsiveRequestTimes = 3.0
	// halfOpenAttempts is how many requests a half-open server gets at once: a single one may get lost by
	// chance.
	halfOpenAttempts = 3
	// restartOutage: a server that refused connections for this long has probably restarted.
	restartOutage = time.Second
)

// recordAnswer records that a server answered an attempt, and returns it to use. An answer to an attempt from
// before the server was ejected for refused connections only shows that it has been alive until now.
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
		r.restartSlowStartAfterOutage(server)
	}
	server.refusingSince = 0
	server.healthCheckFailures = 0
	server.health = healthy
}

// restartSlowStartAfterOutage counts a server that refused connections for at least restartOutage as cold, as
// it has probably restarted.
func (r *Router) restartSlowStartAfterOutage(server *server) {
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

// recordRefusal records a refused or broken connection. A second one without an answer in between ejects the
// server.
func (r *Router) recordRefusal(server *server) {
	if server.refusingSince != 0 || server.health != healthy {
		r.eject(server)
	}
	server.refusingSince = cmp.Or(server.refusingSince, r.now)
}

// unresponsive reports whether a server has left requests unanswered for longer than chance explains.
// Health checks do not count. Neither do attempts that were overtaken, as these may be lost while the
// server answers.
func (r *Router) unresponsive(server *server) bool {
	first, count, longest := r.now, 0.0, r.averageWork
	for _, attempt := range server.openAttempts {
		if attempt.isServerEvidence() {
			first = min(first, attempt.sentAt)
			count++
			longest = max(longest, attempt.request.expectedWork())
		}
	}
	requestTime := longest / (r.serviceRate(server) * rateShare(r.loadOf(server).likely))
	limit := requestTime*(unresponsiveRequestTimes+unresponsiveGaps/min(fullRateConcurrency, count)) +
		r.linkDelay(server)
	return count > 0 && (r.now-max(server.answeredAt, first)).Seconds() > limit
}

// startTrial makes an ejected server half-open after a pause. It is for servers without health checks, where
// only an answered request can show that the server is back.
func (r *Router) startTrial(server *server) {
	if !server.available() || r.now-server.ejectedAt < server.healthCheckBackoff() {
		return
	}
	r.restartSlowStartAfterOutage(server)
	server.healthCheckFailures++
	server.health = halfOpen
	server.presumeAllLost()
}

// trialIsFull reports whether a half-open server has as many attempts in flight as it may have.
func (server *server) trialIsFull() bool {
	return server.health == halfOpen && server.countedAttempts() >= halfOpenAttempts
}
