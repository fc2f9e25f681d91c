package decide

import (
	"cmp"
	"slices"
	"time"
)

const (
	// rateRefreshInterval is the interval at which rates are corrected.
	rateRefreshInterval = time.Second
	// initialKindRate is the rate of a kind of server without answers. It defines the unit of work.
	initialKindRate = 1.0
	// rateTrustAnswers is the weight of the old rate at each refresh, in average answers.
	rateTrustAnswers = 4.0
	// maxRate bounds any rate, and its inverse.
	maxRate = 1e3
	// maxRateStep is the greatest factor by which a rate changes in one refresh.
	maxRateStep = 2.0
)

// warmRate returns a server's rate once it is warm: the rate of its kind, learned from all answers, times its
// own relative rate.
func (r *Router) warmRate(server *server) serviceRate {
	return r.kindRates[server.endpoint.Kind] * server.relativeRate
}

// serviceRate returns the present rate of a server for a single request. It includes the warm-up factor, as a
// cold server would otherwise always seem cheapest.
func (r *Router) serviceRate(server *server) serviceRate {
	return r.warmRate(server) * r.warmUpFactor(server)
}

// typicalRate returns the median rate of servers of the same kind. A server's own estimate is too high where
// the load of other routers there is overestimated, as its answers seem fast for such a load. This affects
// first the servers that most requests go to.
func (r *Router) typicalRate(server *server) serviceRate {
	return cmp.Or(r.typicalRates[server.endpoint.Kind], maxRate)
}

// advanceService advances a server's virtual service to now. It must be called before the server's load
// changes.
func (r *Router) advanceService(server *server) {
	if elapsed := (r.now - server.virtualServiceAt).Seconds(); elapsed > 0 {
		load := r.loadOf(server).likely
		server.virtualService += elapsed * rateShare(load) * r.warmUpFactor(server)
	}
	server.virtualServiceAt = r.now
}

// serviceMultiple returns the service that an attempt has had, as a multiple of its expected work.
func (r *Router) serviceMultiple(server *server, attempt *attempt) float64 {
	received := server.virtualService - attempt.serviceAtSend
	return received * r.warmRate(server) / attempt.request.expectedWork()
}

// kindEvidence is what one refresh of the rates learns from the warm servers of a kind.
type kindEvidence struct {
	expectedWork    workSeconds   // of answered requests
	receivedService workSeconds   // service that these requests received
	rates           []serviceRate // of the servers whose own rate was learned from answers
}

// with returns the evidence with that of another server added; rate is the server's rate before the refresh.
func (evidence kindEvidence) with(server *server, rate serviceRate) kindEvidence {
	evidence.expectedWork += server.expectedWork
	evidence.receivedService += server.receivedService
	if server.relativeRate != 1 {
		evidence.rates = append(evidence.rates, rate)
	}
	return evidence
}

// refreshRates corrects rates by recent answers, and by attempts that are late and were not overtaken.
func (r *Router) refreshRates() {
	r.rateRefreshAt = r.now + rateRefreshInterval
	r.countRequests(0)
	kinds := map[int]kindEvidence{} // by kind, of warm servers only
	for _, server := range r.serversByID {
		r.advanceService(server)
		rate := r.warmRate(server)
		r.countLateAttempts(server, rate)
		server.receivedService *= rate // converted from service to work, by the present rate
		if r.warmUpFactor(server) == 1 {
			kinds[server.endpoint.Kind] = kinds[server.endpoint.Kind].with(server, rate)
		}
	}
	for _, server := range r.serversByID {
		kind := kinds[server.endpoint.Kind]
		kindStep := r.rateStep(kind.expectedWork, kind.receivedService)
		step := r.rateStep(server.expectedWork, server.receivedService*kindStep)
		if r.warmUpFactor(server) < 1 { // a server that started earlier than known seems too fast
			step = min(1, step)
		}
		server.relativeRate = boundedRate(server.relativeRate * step)
		server.expectedWork = 0
		server.receivedService = 0
	}
	for kind, evidence := range kinds { // kinds are independent: the order does not matter
		step := r.rateStep(evidence.expectedWork, evidence.receivedService)
		r.kindRates[kind] = boundedRate(r.kindRates[kind] * step)
		r.typicalRates[kind] = median(evidence.rates)
	}
	r.dropRemovedServers()
}

// countLateAttempts adds the service that open attempts have received beyond their expected work, as if they
// were answered now.
func (r *Router) countLateAttempts(server *server, rate serviceRate) {
	for _, attempt := range server.openAttempts {
		excess := server.virtualService - attempt.serviceAtSend - attempt.request.expectedWork()/rate
		if excess > 0 && attempt.isServerEvidence() && !attempt.unmeasured {
			server.receivedService += excess
		}
	}
}

// rateStep returns the factor by which a rate changes, for requests of an expected work that received a
// measured amount of work.
func (r *Router) rateStep(expected, received workSeconds) float64 {
	trust := rateTrustAnswers * r.averageWork
	return min(maxRateStep, max(1/maxRateStep, (expected+trust)/(received+trust)))
}

// boundedRate limits a rate, and its inverse, to maxRate.
func boundedRate(rate serviceRate) serviceRate { return min(maxRate, max(1/maxRate, rate)) }

// median returns the median, the lower one of two, or maxRate if there are no values. It sorts the values.
func median(values []serviceRate) serviceRate {
	if len(values) == 0 {
		return maxRate
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
