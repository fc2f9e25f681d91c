package decide

import (
	"cmp"
	"slices"
	"time"
)

const (
	// rateRefreshInterval is the interval of the correction of rates.
	rateRefreshInterval = time.Second
	// initialKindRate is the rate of a kind of server without answers: the unit of work.
	initialKindRate = 1.0
	// rateTrustAnswers is how many average answers' worth of trust the old rate has at each refresh.
	rateTrustAnswers = 4.0
	// maxRate bounds any rate, and its inverse.
	maxRate = 1e3
	// maxRateStep is the greatest factor by which a rate moves in one refresh.
	maxRateStep = 2.0
)

// warmRate returns a server's rate once it is warm: its kind's, learned from all answers, times its own
// relative rate.
func (r *Router) warmRate(server *server) serviceRate {
	return r.kindRates[server.endpoint.Kind] * server.relativeRate
}

// serviceRate returns the rate for one request alone now. With its warm rate a cold server would win every
// pick.
func (r *Router) serviceRate(server *server) serviceRate {
	return r.warmRate(server) * r.warmUpFactor(server)
}

// typicalRate returns the rate of a usual server of the same kind. A server's own estimate is too high
// where the peers' load there is estimated too high, which shows first at one that most requests go to: its
// answers seem fast for such a load.
func (r *Router) typicalRate(server *server) serviceRate {
	return cmp.Or(r.typicalRates[server.endpoint.Kind], maxRate)
}

// advanceService brings a server's virtual service up to now. It must be called before the server's load
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
	receivedService workSeconds   // that they took
	rates           []serviceRate // of servers that have a rate of their own by answers
}

// with adds a server whose rate was such so far.
func (evidence kindEvidence) with(server *server, rate serviceRate) kindEvidence {
	evidence.expectedWork += server.expectedWork
	evidence.receivedService += server.receivedService
	if server.relativeRate != 1 {
		evidence.rates = append(evidence.rates, rate)
	}
	return evidence
}

// refreshRates corrects rates by recent answers, and by attempts that are late unless others overtook them.
func (r *Router) refreshRates() {
	r.rateRefreshAt = r.now + rateRefreshInterval
	r.countRequests(0)
	kinds := map[int]kindEvidence{} // of warm servers
	for _, server := range r.serversByID {
		r.advanceService(server)
		rate := r.warmRate(server)
		r.countLateAttempts(server, rate)
		server.receivedService *= rate // from here on work at its present rate
		if r.warmUpFactor(server) == 1 {
			kinds[server.endpoint.Kind] = kinds[server.endpoint.Kind].with(server, rate)
		}
	}
	for _, server := range r.serversByID {
		kind := kinds[server.endpoint.Kind]
		kindStep := r.rateStep(kind.expectedWork, kind.receivedService)
		step := r.rateStep(server.expectedWork, server.receivedService*kindStep)
		if r.warmUpFactor(server) < 1 { // one that started earlier than is known seems fast
			step = min(1, step)
		}
		server.relativeRate = boundedRate(server.relativeRate * step)
		server.expectedWork = 0
		server.receivedService = 0
	}
	for kind, evidence := range kinds { // each on its own: the order does not matter
		step := r.rateStep(evidence.expectedWork, evidence.receivedService)
		r.kindRates[kind] = boundedRate(r.kindRates[kind] * step)
		r.typicalRates[kind] = median(evidence.rates)
	}
	r.dropRemovedServers()
}

// countLateAttempts adds the service of attempts beyond their work, as if they had been answered now.
func (r *Router) countLateAttempts(server *server, rate serviceRate) {
	for _, attempt := range server.openAttempts {
		excess := server.virtualService - attempt.serviceAtSend - attempt.request.expectedWork()/rate
		if excess > 0 && attempt.showsServer() && !attempt.unmeasured {
			server.receivedService += excess
		}
	}
}

// rateStep returns the factor by which a rate changes, where work was expected and took so much.
func (r *Router) rateStep(expected, received workSeconds) float64 {
	trust := rateTrustAnswers * r.averageWork
	return min(maxRateStep, max(1/maxRateStep, (expected+trust)/(received+trust)))
}

// boundedRate limits a rate, and its inverse, to maxRate.
func boundedRate(rate serviceRate) serviceRate { return min(maxRate, max(1/maxRate, rate)) }

// median returns the middle value, the lower one of two, or maxRate where there is none. It sorts the values.
func median(values []serviceRate) serviceRate {
	if len(values) == 0 {
		return maxRate
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
