package decide

import (
	"cmp"
	"math"
	"slices"
)

const (
	// capacityFraction: a server has capacity while an average request takes at most this fraction of the
	// shortest latency objective there.
	capacityFraction = 0.25
	// idleCapacityFraction: a server without attempts of this router has capacity for a request that is
	// expected to take at most this fraction of the time until its objective...
	idleCapacityFraction = 0.8
	// idleReadCapacityFraction: ...and, for a read in a larger tier, only while an average request takes at
	// most this fraction of the shortest latency objective there.
	idleReadCapacityFraction = 0.5
	// smallTierSize is the number of routers up to which each one's own requests show most of a server's
	// load.
	smallTierSize = 8
	// urgencyBins is the number of bins of the histogram of urgencies. Bins are logarithmic,
	// urgencyBinsOctave of them for each factor of two; the middle one begins at an urgency of 1.
	urgencyBins       = 96
	urgencyBinsOctave = 4
)

// hasCapacity reports whether a server can take one more attempt. A request for which no server has
// capacity waits.
func (r *Router) hasCapacity(server *server, request *request) bool {
	if r.now < server.overloadedUntil || server.trialIsFull() || !r.admits(server, request) {
		return false
	}
	after := r.loadOf(server).evident + 1
	if after <= fullRateConcurrency*r.warmUpFactor(server) {
		return true
	}
	perRequest := r.serviceRate(server) * rateShare(after)
	if len(server.openAttempts) == 0 && r.idleServerHasCapacity(request, perRequest) {
		return true
	}
	return r.averageWork/perRequest <= capacityFraction*r.shortestObjective.Seconds()
}

// idleServerHasCapacity reports whether a server that has no attempt of this router can serve a request in
// time at the given rate per request.
func (r *Router) idleServerHasCapacity(request *request, perRequest serviceRate) bool {
	inTime := request.expectedWork()/perRequest <= idleCapacityFraction*(request.objectiveAt-r.now).Seconds()
	if !inTime || request.primaryOnly() || smallTierSize >= r.settings.Peers {
		return inTime
	}
	return r.averageWork/perRequest <= idleReadCapacityFraction*r.shortestObjective.Seconds()
}

// urgency returns the priority of a waiting request: its weight per unit of work, scaled by the class's late
// weight once its objective has passed.
func (r *Router) urgency(request *request) float64 {
	urgency := request.weight / request.expectedWork()
	if r.now > request.objectiveAt {
		urgency *= request.class.LateWeight
	}
	if request.primaryOnly() { // it precedes, at the primary, requests that any member may serve
		return urgency * float64(len(request.group.members))
	}
	return urgency
}

// sendWaiting sends the waiting requests of a group for which there is capacity, most urgent first, and gives
// a final answer to those that cannot be sent any more.
func (r *Router) sendWaiting(group *group) {
	slices.SortStableFunc(group.waiting, func(a, b *request) int {
		// Newest first: under overload the oldest would each be served just too late.
		return cmp.Or(cmp.Compare(r.urgency(b), r.urgency(a)), cmp.Compare(b.arrivedAt, a.arrivedAt))
	})
	remaining := group.waiting[:0:0]
	queue := group.waiting
	group.waiting = nil
	for _, request := range queue {
		reason := r.giveUpReason(request)
		switch {
		case request.finished:
		case reason != ReasonNone && request.openAttempts == 0:
			r.giveFinalAnswer(request, reason)
		case reason == ReasonNone && !r.trySend(request):
			remaining = append(remaining, request)
		}
	}
	group.waiting = append(remaining, group.waiting...)
}

// countUrgency adds a request to the histogram of recent urgencies, which decays exponentially.
func (r *Router) countUrgency(request *request) {
	remaining := math.Exp(-(r.now - r.urgenciesAt).Seconds() / requestRateMemory.Seconds())
	for i := range r.urgencies {
		r.urgencies[i] *= remaining
	}
	r.urgencies[urgencyBin(r.urgency(request))]++
	r.urgenciesAt = r.now
}

// urgencyBin returns the index of the histogram bin that an urgency falls into.
func urgencyBin(urgency float64) int {
	return int(min(urgencyBins-1, max(0, urgencyBins/2+urgencyBinsOctave*math.Log2(urgency))))
}
