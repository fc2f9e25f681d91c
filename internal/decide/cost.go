package decide

import (
	"math"
	"time"
)

// The cost of a server follows Rizvi et al., "Mayflower: Improving Distributed Filesystem Performance
// Through SDN/Filesystem Co-Design". In the paper's terms a flow is a request, a path a server, and a
// bandwidth share the part of the server's rate that one request gets.

const (
	// fullRateConcurrency is the number of requests that a server serves at full rate each: the number of
	// cores of a small server.
	fullRateConcurrency = 4.0
	// minRemainingFraction bounds the estimated remaining work of a request in flight from below, as a
	// fraction of its work.
	minRemainingFraction = 0.3
	// freezeTime is the paper's update-freeze: the time for which estimated shares are kept after a pick.
	freezeTime = time.Second
)

// rateShare returns the fraction of its single-request rate at which a server serves each of n requests:
// about 1 up to fullRateConcurrency, and about fullRateConcurrency/n beyond. The transition is gradual, as
// the number of cores is unknown.
func rateShare(n concurrency) float64 {
	x := n * n / (fullRateConcurrency * fullRateConcurrency)
	return 1 / math.Sqrt(math.Sqrt(1+x*x))
}

// serverCost is the cost of sending a request to a server.
type serverCost struct {
	seconds float64     // the paper's Cost(p)
	share   serviceRate // b_j: the rate that the request is estimated to get
}

// cost is the paper's equation 2: the completion time d_j/b_j of the new request, and the sum over the
// requests in flight there of the increase r_f/b'_f - r_f/b_f of theirs. Each increase is scaled by the
// weight of its request relative to the new one, so that reads avoid a primary that is busy with writes. The
// sum is then corrected for the chance of failure, the zone and the delay of the link.
func (r *Router) cost(server *server, request *request) serverCost {
	r.advanceService(server)
	rate := r.serviceRate(server)
	n := r.loadOf(server).likely
	shareNow := rate * rateShare(n)     // b_f
	shareAfter := rate * rateShare(n+1) // b'_f and b_j
	if r.now < server.frozenUntil {
		shareNow = min(rate, server.frozenShare)
		shareAfter = min(shareAfter, rate, server.frozenShare)
	}
	cost := request.expectedWork() / shareAfter
	for _, attempt := range server.openAttempts {
		remaining := attempt.remainingWork(server, rate) // r_f
		cost += (remaining/shareAfter - remaining/shareNow) * attempt.request.weight / request.weight
	}
	cost /= 1 - r.failureChance(server)
	if server.endpoint.Zone != r.settings.Zone {
		cost += r.settings.CrossZoneCost * request.class.LatencyObjective.Seconds()
	}
	return serverCost{seconds: cost + r.linkDelay(server), share: shareAfter}
}

// remainingWork estimates the remaining work of an attempt at a server of the given rate.
func (attempt *attempt) remainingWork(server *server, rate serviceRate) workSeconds {
	work := attempt.request.expectedWork()
	return max(work-(server.virtualService-attempt.serviceAtSend)*rate, minRemainingFraction*work)
}
