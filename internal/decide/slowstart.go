package decide

import "math"

const (
	// slowStartMargin is the fraction of the slow-start budget that is used, as estimates are rough.
	slowStartMargin = 0.8
	// slowStartDrawsPerSpan is the greatest number of random draws in a span, where this router's share of
	// the budget is less than one request.
	slowStartDrawsPerSpan = 4
)

// warmUpFactor returns the fraction of its capacity that a server has, by the time since its start.
func (r *Router) warmUpFactor(server *server) float64 {
	age := r.now - server.startedAt
	if r.settings.SlowStartTime <= 0 || age >= r.settings.SlowStartTime {
		return 1
	}
	from := r.settings.SlowStartFrom
	return from + (1-from)*max(0, age.Seconds())/r.settings.SlowStartTime.Seconds()
}

// slowStartAllows reports whether a cold server may get a request. A leaky bucket with this process's
// share of the budget decides, or random draws where the share is less than one request.
func (r *Router) slowStartAllows(server *server, request *request) bool {
	if r.settings.SlowStartMultiple <= 0 || r.settings.SlowStartSpan <= 0 || r.warmUpFactor(server) == 1 {
		return true
	}
	budget := r.slowStartBudget(server)
	r.updateSlowStartBucket(server, budget)
	share := r.settings.SlowStartShare
	if budget*share >= r.averageWork {
		return server.slowStartUsed <= budget*share-min(budget*share, request.expectedWork())
	}
	return r.slowStartDrawAllows(server, request, budget*share)
}

// slowStartBudget returns the work that all routers together may send to a cold server in a span, divided by
// the number of processes per router. The configured budget is halved, as in one span a router may send both
// what the bucket holds and what leaks from it.
func (r *Router) slowStartBudget(server *server) workSeconds {
	span := r.settings.SlowStartSpan.Seconds()
	// The estimate of the server's own rate may be far too high.
	rate := min(r.warmRate(server), r.typicalRate(server)) * r.warmUpFactor(server)
	multiple := slowStartMargin / 2 * r.settings.SlowStartMultiple
	return multiple * rate * fullRateConcurrency / float64(r.settings.Processes) * span
}

// updateSlowStartBucket updates the leaky bucket of work sent to a cold server: a whole share of the budget
// leaks in each span. When the share changes, the difference counts as used, since the router that has given
// it up may have used it; the unused remainder stays the same.
func (r *Router) updateSlowStartBucket(server *server, budget workSeconds) {
	share := r.settings.SlowStartShare
	elapsed := (r.now - server.slowStartUsedAt).Seconds()
	leaked := budget * min(share, server.slowStartShare) * elapsed / r.settings.SlowStartSpan.Seconds()
	handedOver := budget * (share - server.slowStartShare)
	server.slowStartUsed = max(0, min(server.slowStartUsed, budget*server.slowStartShare)-leaked+handedOver)
	server.slowStartUsedAt = r.now
	server.slowStartShare = share
}

// slowStartDrawAllows decides by a random draw. Its chance of success grows with the time since the last
// draw, up to a span, and one draw holds for all requests until the next, so that a burst of requests has
// no better chance than one.
func (r *Router) slowStartDrawAllows(server *server, request *request, budget workSeconds) bool {
	span := r.settings.SlowStartSpan
	gap := min(r.now-max(server.slowStartDrawAt, server.startedAt), span)
	if gap >= span/slowStartDrawsPerSpan {
		server.slowStartDraw = r.rng.Float64() / gap.Seconds()
		server.slowStartDrawAt = r.now
	}
	return server.slowStartDraw*max(request.expectedWork(), r.averageWork)*span.Seconds() < budget
}

// chargeSlowStart adds the work of a request that is sent to the bucket, and uses up the draw.
func (r *Router) chargeSlowStart(server *server, request *request) {
	server.slowStartUsed += request.expectedWork()
	server.slowStartUsedAt = r.now
	server.slowStartDraw = math.Inf(1)
}

// recoveryRampAllows reports whether this router may send one more attempt to a server that has returned:
// routers return to it gradually.
func (r *Router) recoveryRampAllows(server *server) bool {
	rate := r.settings.RecoveryRampRate / float64(r.settings.Peers*r.settings.Processes)
	returnedAt := max(server.ejectedAt, server.startedAt, server.firstListedAt)
	usedSinceReturn := server.health == healthy && server.ejectedAt != returnedAt
	if rate <= 0 {
		return true
	}
	open := len(server.openAttempts)
	return server.recoveryRamp.AllowsConnection(r.now, returnedAt, usedSinceReturn, open, rate, r.rng.Float64)
}
