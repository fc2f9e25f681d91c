package decide

import "math"

// observeWait takes in how long an answer had waited behind others.
func (r *Router) observeWait(s *server, wait float64) {
	much := max(longWaitFraction*r.shortestObjective.Seconds(), longWaitMinTurns*r.averageWork/r.serviceRate(s))
	for _, c := range r.backlogsOf(s) {
		age := (r.now - c.updatedAt).Seconds()
		shut := r.throttle(c) + throttleGain*min(maxWaitMultiple, max(-1, wait/much-1))*min(1, age)
		c.throttle, c.updatedAt, c.cutoffAt = max(minThrottle, shut), r.now, never
	}
}

func (r *Router) throttle(b *backlog) float64 {
	return b.throttle * math.Exp((b.updatedAt-r.now).Seconds()/throttleMemorySeconds)
}

// admits tells whether a request is admitted at a server. With few other routers, our own load tells more.
// One group's answers are few and vary by chance, so all groups' count as much. No backlog, no limit.
func (r *Router) admits(s *server, req *request) bool {
	of := r.backlogsOf(s)
	if may := r.retryBudgetAllows(req) && r.recoveryRampAllows(s); !may || of[0].throttle+of[1].throttle <= 0 {
		return may
	}
	if c := of[0]; c.cutoffAt != r.now {
		others := float64(r.settings.Peers - 1)
		part := math.Exp(-max(0, r.throttle(c)+r.throttle(of[1])) / 2 * others / (others + fewRouters))
		left := 0.0
		for _, n := range r.urgencies {
			left += n * part
		}
		c.cutoffAt, c.cutoffBin = r.now, urgencyBins
		for c.cutoffBin > 0 && left >= 0 {
			c.cutoffBin--
			c.cutoffPart = left / max(1e-9, r.urgencies[c.cutoffBin])
			left -= r.urgencies[c.cutoffBin]
		}
	}
	b := urgencyBin(r.urgency(req))
	return b > of[0].cutoffBin || b == of[0].cutoffBin && req.admissionDraw < of[0].cutoffPart
}

// retryBudgetAllows tells whether a request's next attempt is a first one, or its group may send a copy or repeat.
func (r *Router) retryBudgetAllows(req *request) bool {
	req.awaitsRetryBudget = req.duplicates() && !r.retryBudgets.Affords(r.now, req.group.id)
	return !req.awaitsRetryBudget
}

// recoveryRampAllows tells whether a server may have one more of ours: routers come back slowly to one that returned.
func (r *Router) recoveryRampAllows(s *server) bool {
	rate, of := r.settings.RecoveryRampRate/float64(r.settings.Peers*r.settings.Processes), max(s.ejectedAt, s.startedAt, s.firstListedAt)
	then := s.health == healthy && s.ejectedAt != of
	return rate <= 0 || s.recoveryRamp.May(r.now, of, then, len(s.openAttempts), rate, r.rng.Float64)
}
