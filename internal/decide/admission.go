package decide

import (
	"cmp"
	"math"
	"slices"
)

const (
	// capacityFraction: a server has capacity while an average request takes this part of the shortest
	// objective there.
	capacityFraction = 0.25
	// idleCapacityFraction: a server without attempts of this router has capacity for a request that takes
	// this part of its time left...
	idleCapacityFraction = 0.8
	// idleReadCapacityFraction: ...and, for a read, while an average request takes this part of the
	// shortest objective.
	idleReadCapacityFraction = 0.5
	// fewRouters is how many routers are so few that each knows most of a server's load.
	fewRouters = 8
	// urgencyBins is the number of bins of a quarter of an octave; the middle one begins at 1.
	urgencyBins       = 96
	urgencyBinsOctave = 4
)

// hasCapacity reports whether a server can take one more attempt. If no server can, the request waits for
// any.
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
// time, where each request gets that rate.
func (r *Router) idleServerHasCapacity(request *request, perRequest serviceRate) bool {
	inTime := request.expectedWork()/perRequest <= idleCapacityFraction*(request.objectiveAt-r.now).Seconds()
	if !inTime || request.primaryOnly() || fewRouters >= r.settings.Peers {
		return inTime
	}
	return r.averageWork/perRequest <= idleReadCapacityFraction*r.shortestObjective.Seconds()
}

// urgency orders waiting requests: weight per unit of work, less once only the late weight is left.
func (r *Router) urgency(request *request) float64 {
	urgency := request.weight / request.expectedWork()
	if r.now > request.objectiveAt {
		urgency *= request.class.LateWeight
	}
	if request.primaryOnly() { // requests that any member serves leave the primary to this
		return urgency * float64(len(request.group.members))
	}
	return urgency
}

// sendWaiting sends what it can of a group's waiting requests, most urgent first, and ends those that are
// too late.
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

// countUrgency counts a request by its urgency.
func (r *Router) countUrgency(request *request) {
	remaining := math.Exp(-(r.now - r.urgenciesAt).Seconds() / requestRateMemory.Seconds())
	for i := range r.urgencies {
		r.urgencies[i] *= remaining
	}
	r.urgencies[urgencyBin(r.urgency(request))]++
	r.urgenciesAt = r.now
}

// urgencyBin returns the bin of an urgency.
func urgencyBin(urgency float64) int {
	return int(min(urgencyBins-1, max(0, urgencyBins/2+urgencyBinsOctave*math.Log2(urgency))))
}
