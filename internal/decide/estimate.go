package decide

import "math"

// warmRate is a server's warm rate: its kind's, learned from all answers, times its own relative rate.
func (r *Router) warmRate(s *server) float64 { return r.kindRates[s.endpoint.Kind] * s.relativeRate }

// serviceRate is the rate for one request alone now. A cold server's old rate would win every pick otherwise.
func (r *Router) serviceRate(s *server) float64 { return r.warmRate(s) * r.warmUpFactor(s) }

// rateShare is the part of the rate for one alone that each of n gets: about width/n, as cores are unknown.
func rateShare(n float64) float64 {
	x := n * n / (fullRateConcurrency * fullRateConcurrency)
	return 1 / math.Sqrt(math.Sqrt(1+x*x))
}

// load is a server's load: our attempts but for lost ones, and others' as reported, fading to an estimate.
// The estimate steers, but may not refuse: as evidence, each other has at most as many as this router.
func (r *Router) load(s *server) (likely, evident float64) {
	own := float64(len(s.openAttempts) - s.lostAttempts)
	fresh := r.fading(s.loadReportedAt, 2*rateRefreshInterval)
	guess := (1 - fresh) * r.estimateOthersLoad(s)
	own += s.othersLoad * fresh
	return own + guess, own + min(guess, othersEvidenceFraction*float64((len(s.openAttempts)-s.lostAttempts)*(r.settings.Peers-1)))
}

// estimateOthersLoad estimates others' load at a server: each has as much as this one, spread by rates.
func (r *Router) estimateOthersLoad(s *server) float64 {
	n := float64(r.settings.Peers-1) * r.requestRate / float64(max(1, len(r.groupsByNumber))) * s.requestShare * r.averageWork / r.serviceRate(s)
	use := min(0.95, n/fullRateConcurrency)
	return n / (1 - use*use) // with what waits there, which grows with use
}

// linkDelay is the recent delay of probes into the server's zone, so that a slow link is no dead server.
func (r *Router) linkDelay(s *server) float64 {
	return r.zoneLinks[s.endpoint.Zone].delay * r.fading(r.zoneLinks[s.endpoint.Zone].observedAt, linkDelayMemory)
}

// observeLink takes the time of a probe or a failed connection; true if the link may explain a failure.
func (r *Router) observeLink(s *server, took Time) bool {
	r.zoneLinks[s.endpoint.Zone] = zoneLink{(r.linkDelay(s) + took.Seconds()) / 2, r.now}
	return s.endpoint.Zone != r.settings.Zone && took >= longDelay
}

// failureChance is the chance that a server fails a request: from its last answers, fading.
func (r *Router) failureChance(s *server) float64 {
	return s.failureAtLast * r.fading(s.failureAt, failureMemory)
}

// observeLoad takes an answer as evidence of the load that it met, unless our own attempts explain it.
func (r *Router) observeLoad(s *server, met float64) bool {
	n, _ := r.load(s)
	if fewRouters*(len(s.openAttempts)+1) >= r.settings.Peers || met <= n {
		return false
	}
	s.othersLoad, s.loadReportedAt = (n+met)/2, r.now
	return true
}

// applyReport takes a report's role, position and load; at is the time of the evidence for the role.
func (r *Router) applyReport(s *server, report Report, at Time) {
	if report.HasPosition {
		s.positionReportedAt = max(s.positionReportedAt, r.now-report.Age)
	}
	if report.HasPosition && report.Position > s.position && report.Position <= r.serverClockNow(s.group) {
		if s.position != never && r.now-s.positionAt > 0 {
			s.positionRate += 0.3 * (min(1, float64(report.Position-s.position)/float64(r.now-s.positionAt)) - s.positionRate)
		}
		s.position, s.positionAt = report.Position, r.now
	}
	if report.Role != RoleUnknown && at >= s.roleAt {
		s.role, s.roleAt = report.Role, min(at, r.now)
	}
	if report.HasInFlight {
		r.advanceService(s)
		s.othersLoad, s.loadReportedAt, r.loadReported = max(0, report.InFlight-float64(len(s.openAttempts))), r.now, true
	}
}

// refreshRates corrects rates by recent answers, and by attempts that are late unless others overtook them.
func (r *Router) refreshRates() {
	r.rateRefreshAt = r.now + rateRefreshInterval
	r.countRequests(0)
	trust := rateTrustAnswers * r.averageWork
	step := func(want, got float64) float64 {
		return min(maxRateStep, max(1/maxRateStep, (want+trust)/(got+trust)))
	}
	kinds := map[int]kindEvidence{} // of warm servers
	for _, s := range r.serversByID {
		r.advanceService(s)
		rate := r.warmRate(s)
		for _, a := range s.openAttempts {
			over := s.virtualService - a.serviceAtSend - a.request.expectedWork()/rate
			if over > 0 && a.overtakenBy == 0 && !a.presumedLost && !a.unmeasured {
				s.receivedService += over
			}
		}
		s.receivedService *= rate // from here on in work at its present rate
		if r.warmUpFactor(s) == 1 {
			kinds[s.endpoint.Kind] = kinds[s.endpoint.Kind].with(s, rate)
		}
	}
	for _, s := range r.serversByID {
		x := step(s.expectedWork, s.receivedService*step(kinds[s.endpoint.Kind].expectedWork, kinds[s.endpoint.Kind].receivedService))
		if r.warmUpFactor(s) < 1 { // one that started earlier than we know seems fast
			x = min(1, x)
		}
		s.relativeRate, s.expectedWork, s.receivedService = min(maxRate, max(1/maxRate, s.relativeRate*x)), 0, 0
	}
	for kind, k := range kinds { // each on its own: the order does not matter
		r.kindRates[kind] = min(maxRate, max(1/maxRate, r.kindRates[kind]*step(k.expectedWork, k.receivedService)))
		r.typicalRates[kind] = median(k.rates)
	}
	r.dropRemovedServers()
}
