package decide

// warmUpFactor is the part of its capacity that a server has, after its start.
func (r *Router) warmUpFactor(s *server) float64 {
	age := r.now - s.startedAt
	if r.settings.SlowStartTime <= 0 || age >= r.settings.SlowStartTime {
		return 1
	}
	return r.settings.SlowStartFrom + (1-r.settings.SlowStartFrom)*max(0, age.Seconds())/r.settings.SlowStartTime.Seconds()
}

// slowStartAllows keeps to this process's part of the budget: by an account, or by draws below one request.
func (r *Router) slowStartAllows(s *server, req *request) bool {
	if r.settings.SlowStartMultiple <= 0 || r.settings.SlowStartSpan <= 0 || r.warmUpFactor(s) == 1 {
		return true
	}
	part, span := r.settings.SlowStartPart, r.settings.SlowStartSpan.Seconds()
	rate := min(r.warmRate(s), r.typicalRate(s)) * r.warmUpFactor(s) // its own may be far too high
	unit := slowStartMargin / 2 * r.settings.SlowStartMultiple * rate * fullRateConcurrency / float64(r.settings.Processes) * span
	leaked := unit * min(part, s.slowStartPart) * (r.now - s.slowStartUsedAt).Seconds() / span
	// A part is handed over with what was spent of it, so what is left stays as it is when the part changes.
	s.slowStartUsed = max(0, min(s.slowStartUsed, unit*s.slowStartPart)-leaked+unit*(part-s.slowStartPart))
	s.slowStartUsedAt, s.slowStartPart = r.now, part
	if unit*part >= r.averageWork {
		return s.slowStartUsed <= unit*part-min(unit*part, req.expectedWork())
	} // a draw's chance grows with the time since the last one, up to a span: bursts gain nothing
	if gap := min(r.now-max(s.slowStartDrawAt, s.startedAt), r.settings.SlowStartSpan); gap >= r.settings.SlowStartSpan/slowStartDrawsPerSpan {
		s.slowStartDraw, s.slowStartDrawAt = r.rng.Float64()/gap.Seconds(), r.now
	}
	return s.slowStartDraw*max(req.expectedWork(), r.averageWork)*span < unit*part
}

// refillBucket updates a tenant's bucket: as assigned, or a second of an equal part, as bursts are no excess.
func (r *Router) refillBucket(i int) *tokenBucket {
	t, a := &r.buckets[i], r.settings.Tenants[i]
	if !a.Assigned {
		a.AssignedRate = a.RateLimit / float64(r.settings.Peers)
		a.Burst = max(a.AssignedRate, minTenantBurst)
	}
	t.tokens, t.updatedAt, t.rate = min(a.Burst, t.tokens+a.AssignedRate*(r.now-t.updatedAt).Seconds()), r.now, a.AssignedRate
	return t
}
