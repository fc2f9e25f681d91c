package decide

import (
	"math"
	"time"
)

const (
	// maxHealthChecksPerRequest bounds the servers that are checked for one request: further ones than the
	// best two gain little.
	maxHealthChecksPerRequest = 2
	// healthCheckWaitTicks is how many ticks a request waits for a health check.
	healthCheckWaitTicks = 4
	// minFreshnessChance is added to the chance that a server is fresh, which is a divisor and may be 0.
	minFreshnessChance = 1e-3
	// loadReportLifetimes: a load report is recent for the shortest latency objective divided by this.
	loadReportLifetimes = 4
)

// freshness is whether a server's data is new enough for a request.
type freshness struct {
	known  bool // by the position that the server reported
	likely bool // by the position extrapolated to now
}

// freshness returns whether a server's data is known to be new enough, and whether it probably is by now.
func (r *Router) freshness(server *server, request *request) freshness {
	required := r.requiredPosition(request)
	if required == never || r.provenPosition(server, request) >= required {
		return freshness{known: true, likely: true}
	}
	// A primary is up to date, but its clock may be behind the estimate.
	if server == r.primary(request.group) && request.group.clock.inDoubt() {
		return freshness{likely: true}
	}
	return freshness{likely: r.likelyReached(server, required)}
}

// likelyReached reports whether a server has probably reached a position by now. A server that has not
// reported its position recently counts as having reached it.
func (r *Router) likelyReached(server *server, required Time) bool {
	if server.position == never || r.now-server.positionReportedAt > max(r.primarySearchPause, server.lag()) {
		return true
	}
	return server.position+time.Duration(float64(r.now-server.positionAt)*server.positionRate) >= required
}

// lag returns how far behind the server's data was when its position was last reported.
func (server *server) lag() time.Duration {
	return server.positionReportedAt - server.group.localTime(server.position)
}

// provenPosition returns the time on the servers' clock up to which a server's data is known to be complete.
// For a primary that is the time of its report, or of a health check sent since the request arrived.
func (r *Router) provenPosition(server *server, request *request) Time {
	if server != r.primary(request.group) {
		return server.position
	}
	if !r.settings.MayCheckHealth {
		return farFuture
	}
	ahead := request.group.clock.ahead
	proven := max(server.position, server.roleAt+ahead)
	if server.primaryConfirmedAt >= request.arrivedAt {
		proven = max(proven, server.primaryConfirmedAt+ahead)
	}
	return proven
}

// requiredPosition returns the position that a server must have reached now to serve a request, on the
// servers' clock.
func (r *Router) requiredPosition(request *request) Time {
	if request.class.Read == ReadBounded {
		return r.serverClockNow(request.group) - request.class.MaxStaleness
	}
	return request.requiredPosition
}

// freshnessChance returns the estimated probability that a health check finds a server fresh enough: a
// server that was far behind stays so for a while.
func (r *Router) freshnessChance(server *server, request *request) float64 {
	lag := server.lag()
	allowed := r.serverClockNow(request.group) - r.requiredPosition(request)
	if server.position == never || lag <= allowed {
		return 1
	}
	return 1 - (1-allowed.Seconds()/lag.Seconds())*
		r.evidenceWeight(server.positionReportedAt, linkDelayMemory)
}

// excludes reports whether a request must not go to a server: only another server can serve it, or the server
// was tried and other members were not.
func (request *request) excludes(server *server) bool {
	if request.onlyServer != "" {
		return request.onlyServer != server.id
	}
	return len(request.attempts) < len(request.group.members) && request.wasSentTo(server)
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

// choosePrimary returns the primary for a request that only the primary may serve, or nil if the request has
// to wait.
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

// cheapestCandidates returns the member of least cost among those that never serve the read from data that is
// too old (certain), and the one of least cost among all candidates (cheapest).
func (r *Router) cheapestCandidates(request *request) (certain, cheapest *server) {
	leastCertain, least := math.Inf(1), math.Inf(1)
	for _, server := range request.group.members {
		if !server.usable() || request.excludes(server) || !r.hasCapacity(server, request) {
			continue
		}
		fresh := r.freshness(server, request)
		if !fresh.known && !r.mayTryUnproven(server, request, fresh) {
			continue
		}
		cost := r.cost(server, request).seconds
		if !fresh.known {
			cost += r.costOfMiss(server, request)
		}
		isCertain := fresh.known || r.settings.StaleReads != StaleReadsAnswered
		costsTooMuch := isCertain && cost >= leastCertain || !isCertain && cost >= least
		if costsTooMuch || !r.slowStartAllows(server, request) { // slowStartAllows last: it uses random draws
			continue
		}
		if isCertain {
			certain, leastCertain = server, cost
		}
		if cost < least {
			cheapest, least = server, cost
		}
	}
	return certain, cheapest
}

// mayTryUnproven reports whether a server that is probably but not certainly fresh is a candidate: it refuses
// reads for which its data is too old, or its health may be checked first.
func (r *Router) mayTryUnproven(server *server, request *request, fresh freshness) bool {
	refusesStale := r.settings.StaleReads != StaleReadsAnswered
	return fresh.likely && (refusesStale || r.mayAwaitHealthCheck(server, request))
}

// costOfMiss returns the expected extra cost, in seconds, of trying a server that may turn out to be stale: a
// delay of two ticks and a health check, divided by the chance that it is fresh.
func (r *Router) costOfMiss(server *server, request *request) float64 {
	delay := (2 * r.settings.Tick).Seconds()
	return (delay + r.healthCheckCost(request)) / (r.freshnessChance(server, request) + minFreshnessChance)
}

// checkPrimaryOnce checks the health of the primary for a session read that no member is known to be fresh
// enough for, once since the read arrived.
func (r *Router) checkPrimaryOnce(request *request) {
	primary := r.primary(request.group)
	if primary == nil || !primary.usable() || primary.healthCheckSentAt >= request.arrivedAt {
		return
	}
	if r.hasCapacity(primary, request) {
		r.checkHealth(primary, 0)
	}
}

// healthCheckCost returns the cost of a health check for a request, in seconds of latency.
func (r *Router) healthCheckCost(request *request) float64 {
	return r.settings.HealthCheckCost * request.class.LatencyObjective.Seconds()
}

// mayAwaitHealthCheck reports whether a request may wait for a server's health check: the server has refused
// none recently, and none has been in flight for longer than checking another server would cost.
func (r *Router) mayAwaitHealthCheck(server *server, request *request) bool {
	if r.now-server.healthCheckRefusedAt < ejectedCheckInterval {
		return false
	}
	longest := healthCheckWaitTicks*r.settings.Tick + toDuration(r.healthCheckCost(request))
	return !server.healthCheckPending || r.now-server.healthCheckSentAt <= longest
}

// awaitsHealthCheck checks the health of a server whose position or load a request needs, if the check is
// worth its cost, and reports whether the request has to wait for the result.
func (r *Router) awaitsHealthCheck(request *request, server *server) bool {
	if !r.needsHealthCheck(request, server) {
		return false
	}
	if !server.healthCheckPending {
		if request.healthChecks >= maxHealthChecksPerRequest {
			if server == r.primary(request.group) { // the results did not help, and no other may serve it
				r.checkHealth(server, r.primarySearchPause)
			}
			return false
		}
		request.healthChecks++
		r.checkHealth(server, 0)
	}
	return r.now < server.healthCheckSentAt+healthCheckWaitTicks*r.settings.Tick
}

// needsHealthCheck reports whether a request needs a server's position, or whether the estimated load there
// delays it by more than the cost of a check.
func (r *Router) needsHealthCheck(request *request, server *server) bool {
	if !r.settings.MayCheckHealth {
		return false
	}
	if !r.freshness(server, request).known && r.settings.StaleReads == StaleReadsAnswered {
		return true
	}
	if !r.loadReported || r.now-server.loadReportedAt <= r.shortestObjective/loadReportLifetimes {
		return false
	}
	slowdown := request.expectedWork() / r.serviceRate(server) * (1/rateShare(r.loadOf(server).likely) - 1)
	return slowdown > r.healthCheckCost(request)
}
