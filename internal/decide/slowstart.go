package decide

import "math"

const (
	// slowStartMargin is the part of the slow-start budget that is used, as estimates are rough.
	slowStartMargin = 0.8
	// slowStartDrawsPerSpan is how often a draw is made in the span of the budget, where that is less than
	// one request.
	slowStartDrawsPerSpan = 4
)

// warmUpFactor returns the part of its capacity that a server has, by the time since its start.
func (r *Router) warmUpFactor(server *server) float64 {
	age := r.now - server.startedAt
	if r.settings.SlowStartTime <= 0 || age >= r.settings.SlowStartTime {
		return 1
	}
	from := r.settings.SlowStartFrom
	return from + (1-from)*max(0, age.Seconds())/r.settings.SlowStartTime.Seconds()
}

// slowStartAllows reports whether a cold server may get a request: by an account of this process's part of
// the budget, or by draws where that is less than one request.
func (r *Router) slowStartAllows(server *server, request *request) bool {
	if r.settings.SlowStartMultiple <= 0 || r.settings.SlowStartSpan <= 0 || r.warmUpFactor(server) == 1 {
		return true
	}
	budget := r.slowStartBudget(server)
	r.updateSlowStartAccount(server, budget)
	part := r.settings.SlowStartShare
	if budget*part >= r.averageWork {
		return server.slowStartUsed <= budget*part-min(budget*part, request.expectedWork())
	}
	return r.slowStartDrawAllows(server, request, budget*part)
}

// slowStartBudget returns the work that the processes of all routers with this one's number may send to a
// cold server in a span.
func (r *Router) slowStartBudget(server *server) workSeconds {
	span := r.settings.SlowStartSpan.Seconds()
	// The server's own rate may be far too high.
	rate := min(r.warmRate(server), r.typicalRate(server)) * r.warmUpFactor(server)
	multiple := slowStartMargin / 2 * r.settings.SlowStartMultiple
	return multiple * rate * fullRateConcurrency / float64(r.settings.Processes) * span
}

// updateSlowStartAccount brings the account of work sent up to now: it leaks a whole budget in each span. A
// part of the budget is handed over with what was used of it, so that what remains is unchanged when the
// part changes.
func (r *Router) updateSlowStartAccount(server *server, budget workSeconds) {
	part := r.settings.SlowStartShare
	elapsed := (r.now - server.slowStartUsedAt).Seconds()
	leaked := budget * min(part, server.slowStartPart) * elapsed / r.settings.SlowStartSpan.Seconds()
	handedOver := budget * (part - server.slowStartPart)
	server.slowStartUsed = max(0, min(server.slowStartUsed, budget*server.slowStartPart)-leaked+handedOver)
	server.slowStartUsedAt = r.now
	server.slowStartPart = part
}

// slowStartDrawAllows decides by a draw whose chance grows with the time since the last one, up to a span,
// so that a burst of requests has no better chance.
func (r *Router) slowStartDrawAllows(server *server, request *request, budget workSeconds) bool {
	span := r.settings.SlowStartSpan
	gap := min(r.now-max(server.slowStartDrawAt, server.startedAt), span)
	if gap >= span/slowStartDrawsPerSpan {
		server.slowStartDraw = r.rng.Float64() / gap.Seconds()
		server.slowStartDrawAt = r.now
	}
	return server.slowStartDraw*max(request.expectedWork(), r.averageWork)*span.Seconds() < budget
}

// useSlowStart counts a request that is sent, and uses up the draw.
func (r *Router) useSlowStart(server *server, request *request) {
	server.slowStartUsed += request.expectedWork()
	server.slowStartUsedAt = r.now
	server.slowStartDraw = math.Inf(1)
}

// recoveryRampAllows reports whether a server may have one more attempt of this router: routers return
// slowly to a server that has come back.
func (r *Router) recoveryRampAllows(server *server) bool {
	rate := r.settings.RecoveryRampRate / float64(r.settings.Peers*r.settings.Processes)
	returnedAt := max(server.ejectedAt, server.startedAt, server.firstListedAt)
	inUseSince := server.health == healthy && server.ejectedAt != returnedAt
	if rate <= 0 {
		return true
	}
	open := len(server.openAttempts)
	return server.recoveryRamp.AllowsConnection(r.now, returnedAt, inUseSince, open, rate, r.rng.Float64)
}
