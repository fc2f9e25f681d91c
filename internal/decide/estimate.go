package decide

import "math"

// base is a server's warm rate: its kind's, learned from all answers, times its own relative rate.
func (r *Router) base(s *server) float64 { return r.pools[s.entry.Kind] * s.relativeRate }

// rateOf is the rate for one request alone now. A cold server's old rate would win every pick otherwise.
func (r *Router) rateOf(s *server) float64 { return r.base(s) * r.warmth(s) }

// share is the part of the rate for one alone that each of n gets: about width/n, as cores are unknown.
func share(n float64) float64 {
	x := n * n / (width * width)
	return 1 / math.Sqrt(math.Sqrt(1+x*x))
}

// load is a server's load: our attempts but for lost ones, and others' as reported, fading to an estimate.
// The estimate steers, but may not refuse: as evidence, each other has at most as many as this router.
func (r *Router) load(s *server) (likely, evident float64) {
	own := float64(len(s.open) - s.lost)
	fresh := r.fading(s.reportedAt, 2*refreshEvery)
	guess := (1 - fresh) * r.guess(s)
	own += s.othersLoad * fresh
	return own + guess, own + min(guess, othersLike*float64((len(s.open)-s.lost)*(r.set.Peers-1)))
}

// guess estimates others' load at a server: each has as much as this one, spread by rates.
func (r *Router) guess(s *server) float64 {
	n := float64(r.set.Peers-1) * r.flow / float64(max(1, len(r.groupOrder))) * s.share * r.work / r.rateOf(s)
	use := min(0.95, n/width)
	return n / (1 - use*use) // with what waits there, which grows with use
}

// linkDelay is the recent delay of probes into the server's zone, so that a slow link is no dead server.
func (r *Router) linkDelay(s *server) float64 {
	return r.links[s.entry.Zone].delay * r.fading(r.links[s.entry.Zone].at, linkMemory)
}

// observeLink takes the time of a probe or a failed connection; true if the link may explain a failure.
func (r *Router) observeLink(s *server, took Time) bool {
	r.links[s.entry.Zone] = link{(r.linkDelay(s) + took.Seconds()) / 2, r.now}
	return s.entry.Zone != r.set.Zone && took >= longPause
}

// failing is the chance that a server fails a request: from its last answers, fading.
func (r *Router) failing(s *server) float64 { return s.failure * r.fading(s.failedAt, failMemory) }

// observeLoad takes an answer as evidence of the load that it met, unless our own attempts explain it.
func (r *Router) observeLoad(s *server, met float64) bool {
	n, _ := r.load(s)
	if fewRouters*(len(s.open)+1) >= r.set.Peers || met <= n {
		return false
	}
	s.othersLoad, s.reportedAt = (n+met)/2, r.now
	return true
}

// takeReport takes a report's role, position and load; at is the time of the evidence for the role.
func (r *Router) takeReport(s *server, report Report, at Time) {
	if report.HasPosition {
		s.placedAt = max(s.placedAt, r.now-report.Age)
	}
	if report.HasPosition && report.Position > s.position && report.Position <= r.serversNow(s.group) {
		if s.position != never && r.now-s.positionAt > 0 {
			s.pace += 0.3 * (min(1, float64(report.Position-s.position)/float64(r.now-s.positionAt)) - s.pace)
		}
		s.position, s.positionAt = report.Position, r.now
	}
	if report.Role != RoleUnknown && at >= s.roleAt {
		s.role, s.roleAt = report.Role, min(at, r.now)
	}
	if report.HasHeld {
		r.advance(s)
		s.othersLoad, s.reportedAt, r.loadReported = max(0, report.Held-float64(len(s.open))), r.now, true
	}
}

// refresh corrects rates by recent answers, and by attempts that are late unless others overtook them.
func (r *Router) refresh() {
	r.refreshAt = r.now + refreshEvery
	r.countFlow(0)
	trust := rateMemory * r.work
	step := func(want, got float64) float64 {
		return min(rateStep, max(1/rateStep, (want+trust)/(got+trust)))
	}
	kinds := map[int]kindEvidence{} // of warm servers
	for _, s := range r.order {
		r.advance(s)
		rate := r.base(s)
		for _, a := range s.open {
			over := s.service - a.service - a.req.work()/rate
			if over > 0 && a.passed == 0 && !a.lost && !a.blurred {
				s.got += over
			}
		}
		s.got *= rate // from here on in work at its present rate
		if r.warmth(s) == 1 {
			kinds[s.entry.Kind] = kinds[s.entry.Kind].with(s, rate)
		}
	}
	for _, s := range r.order {
		x := step(s.want, s.got*step(kinds[s.entry.Kind].want, kinds[s.entry.Kind].got))
		if r.warmth(s) < 1 { // one that started earlier than we know seems fast
			x = min(1, x)
		}
		s.relativeRate, s.want, s.got = min(rateMost, max(1/rateMost, s.relativeRate*x)), 0, 0
	}
	for kind, k := range kinds { // each on its own: the order does not matter
		r.pools[kind] = min(rateMost, max(1/rateMost, r.pools[kind]*step(k.want, k.got)))
		r.typicalRates[kind] = median(k.rates)
	}
	r.forgetGone()
}
