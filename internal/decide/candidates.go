package decide

import (
	"math"
	"time"
)

const (
	// maxHealthChecksPerRequest is how many servers are checked for one request: the best two matter most.
	maxHealthChecksPerRequest = 2
	// healthCheckWaitTicks is how many ticks a request waits for a health check.
	healthCheckWaitTicks = 4
	// minFreshnessChance is added to the chance that a server is fresh, which may be 0.
	minFreshnessChance = 1e-3
	// loadReportLifetimes: a load report is recent for the shortest objective divided by this.
	loadReportLifetimes = 4
)

// freshness is whether a server's data is new enough for a request.
type freshness struct {
	known  bool // by what it reported
	likely bool // by now, at the rate at which it advanced
}

// freshness returns whether a server's data is known to be new enough, and whether it probably is by now.
func (r *Router) freshness(s *server, request *request) freshness {
	required := r.requiredPosition(request)
	if required == never || r.provenPosition(s, request) >= required {
		return freshness{known: true, likely: true}
	}
	if s == r.primary(request.group) && request.group.clock.inDoubt() { // it is up to date, by another clock
		return freshness{likely: true}
	}
	return freshness{likely: r.likelyReached(s, required)}
}

// likelyReached reports whether a server has probably reached a position by now, or has not reported its
// position lately.
func (r *Router) likelyReached(s *server, required Time) bool {
	if s.position == never || r.now-s.positionReportedAt > max(r.primarySearchPause, s.lag()) {
		return true
	}
	return s.position+time.Duration(float64(r.now-s.positionAt)*s.positionRate) >= required
}

// lag returns how far behind the server's data was when its position was last reported.
func (s *server) lag() time.Duration { return s.positionReportedAt - s.group.localTime(s.position) }

// provenPosition returns as of when a server's data is complete, on the servers' clock: a primary's as of
// its report, or of a health check since the request arrived.
func (r *Router) provenPosition(s *server, request *request) Time {
	if s != r.primary(request.group) {
		return s.position
	}
	if !r.settings.MayCheckHealth {
		return farFuture
	}
	ahead := request.group.clock.ahead
	proven := max(s.position, s.roleAt+ahead)
	if s.primaryConfirmedAt >= request.arrivedAt {
		proven = max(proven, s.primaryConfirmedAt+ahead)
	}
	return proven
}

// requiredPosition returns the position that a request requires of a replica now, on the servers' clock.
func (r *Router) requiredPosition(request *request) Time {
	if request.class.Read == ReadBounded {
		return r.serverClockNow(request.group) - request.class.MaxStaleness
	}
	return request.requiredPosition
}

// freshnessChance returns how likely a health check finds a server fresh: one that was far behind stays so
// for a while.
func (r *Router) freshnessChance(s *server, request *request) float64 {
	lag := s.lag()
	allowed := r.serverClockNow(request.group) - r.requiredPosition(request)
	if s.position == never || lag <= allowed {
		return 1
	}
	return 1 - (1-allowed.Seconds()/lag.Seconds())*r.fading(s.positionReportedAt, linkDelayMemory)
}

// excludes reports whether a request cannot go to a server: it needs another one, or has yet to try others.
func (request *request) excludes(s *server) bool {
	if request.onlyServer != "" {
		return request.onlyServer != s.id
	}
	return len(request.attempts) < len(request.group.members) && request.wasSentTo(s)
}

// chooseServer returns the server for a request, or nil if the request has to wait.
func (r *Router) chooseServer(request *request) *server {
	if request.primaryOnly() {
		return r.choosePrimary(request)
	}
	certain, cheapest := r.cheapestCandidates(request)
	if cheapest != nil && r.awaitsHealthCheck(request, cheapest) {
		return nil
	}
	if certain == nil && request.class.Read == ReadSession {
		r.checkPrimaryOnce(request)
	}
	return certain
}

// choosePrimary returns the primary for a request that it alone may serve, or nil if the request has to wait.
func (r *Router) choosePrimary(request *request) *server {
	primary := r.primary(request.group)
	if primary == nil || !primary.usable() || !r.hasCapacity(primary, request) {
		return nil
	}
	if !r.slowStartAllows(primary, request) || r.awaitsHealthCheck(request, primary) {
		return nil
	}
	return primary
}

// cheapestCandidates returns the member of least cost among those that are certain to serve a read
// correctly, and among all that may.
func (r *Router) cheapestCandidates(request *request) (certain, cheapest *server) {
	leastCertain, least := math.Inf(1), math.Inf(1)
	for _, s := range request.group.members {
		if !s.usable() || request.excludes(s) || !r.hasCapacity(s, request) {
			continue
		}
		fresh := r.freshness(s, request)
		if !fresh.known && !r.isPossible(s, request, fresh) {
			continue
		}
		cost := r.cost(s, request).seconds
		if !fresh.known {
			cost += r.costOfMiss(s, request)
		}
		isCertain := fresh.known || r.settings.StaleReads != StaleReadsAnswered
		costsTooMuch := isCertain && cost >= leastCertain || !isCertain && cost >= least
		if costsTooMuch || !r.slowStartAllows(s, request) { // slowStartAllows last, as it draws
			continue
		}
		if isCertain {
			certain, leastCertain = s, cost
		}
		if cost < least {
			cheapest, least = s, cost
		}
	}
	return certain, cheapest
}

// isPossible reports whether a server that is not known to be fresh may be used: it refuses reads if it is
// stale, or its health may be checked first.
func (r *Router) isPossible(s *server, request *request, fresh freshness) bool {
	return fresh.likely && (r.settings.StaleReads != StaleReadsAnswered || r.mayAwaitHealthCheck(s, request))
}

// costOfMiss returns the expected seconds that a server costs which turns out to be stale: a turn there,
// and a health check. Where servers do not refuse stale reads, they are checked one by one.
func (r *Router) costOfMiss(s *server, request *request) float64 {
	turn := (2 * r.settings.Tick).Seconds()
	return (turn + r.healthCheckCost(request)) / (r.freshnessChance(s, request) + minFreshnessChance)
}

// checkPrimaryOnce checks the health of the primary for a session read whose cheaper members are behind.
func (r *Router) checkPrimaryOnce(request *request) {
	primary := r.primary(request.group)
	if primary == nil || !primary.usable() || primary.healthCheckSentAt >= request.arrivedAt {
		return
	}
	if r.hasCapacity(primary, request) {
		r.checkHealth(primary, 0)
	}
}

// healthCheckCost returns the cost of a health check for a request, in seconds of its time.
func (r *Router) healthCheckCost(request *request) float64 {
	return r.settings.HealthCheckCost * request.class.LatencyObjective.Seconds()
}

// mayAwaitHealthCheck reports whether a request may wait for a server's health check: the server refused
// none lately, and has none in flight for longer than another server's check would cost.
func (r *Router) mayAwaitHealthCheck(s *server, request *request) bool {
	if r.now-s.healthCheckRefusedAt < ejectedCheckInterval {
		return false
	}
	longest := healthCheckWaitTicks*r.settings.Tick + toDuration(r.healthCheckCost(request))
	return !s.healthCheckPending || r.now-s.healthCheckSentAt <= longest
}

// awaitsHealthCheck checks the health of a server whose position or load a request needs, if that pays, and
// reports whether the request has to wait for the result.
func (r *Router) awaitsHealthCheck(request *request, s *server) bool {
	if !r.needsHealthCheck(request, s) {
		return false
	}
	if !s.healthCheckPending {
		if request.healthChecks >= maxHealthChecksPerRequest {
			if s == r.primary(request.group) { // the results did not help, and no other member may serve it
				r.checkHealth(s, r.primarySearchPause)
			}
			return false
		}
		request.healthChecks++
		r.checkHealth(s, 0)
	}
	return r.now < s.healthCheckSentAt+healthCheckWaitTicks*r.settings.Tick
}

// needsHealthCheck reports whether a request needs a server's position, or its load where that costs more
// than the check.
func (r *Router) needsHealthCheck(request *request, s *server) bool {
	if !r.settings.MayCheckHealth {
		return false
	}
	if !r.freshness(s, request).known && r.settings.StaleReads == StaleReadsAnswered {
		return true
	}
	if !r.loadReported || r.now-s.loadReportedAt <= r.shortestObjective/loadReportLifetimes {
		return false
	}
	slowdown := request.expectedWork() / r.serviceRate(s) * (1/rateShare(r.loadOf(s).likely) - 1)
	return slowdown > r.healthCheckCost(request)
}
