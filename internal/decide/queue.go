package decide

import (
	"cmp"
	"math"
	"slices"
)

func (r *Router) onRequest(ev *Request) {
	if r.requests[ev.ID] != nil {
		return
	}
	if uint(ev.Class) >= uint(len(r.classes)) || ev.Deadline <= r.now || r.settings.Shedding[ev.Group].RejectsArrival(r.now, ev) {
		reason := ReasonShed
		if uint(ev.Class) >= uint(len(r.classes)) || ev.Deadline <= r.now {
			reason = ReasonExpired
		}
		r.emit(Action{Kind: Reject, ID: ev.ID, Wait: r.settings.Shedding[ev.Group].RetryAfter(r.now, ev), Reason: reason})
		return
	}
	c := &r.classes[ev.Class]
	if r.groups[ev.Group] == nil && len(r.servers) > 0 { // and leaves no record
		r.emit(Action{Kind: Reject, ID: ev.ID, Wait: min(r.settings.MaxRetryAfter, c.LatencyObjective), Reason: ReasonNoServer})
		return
	}
	req := &request{id: ev.ID, class: c, group: r.groupFor(ev.Group), arrivedAt: r.now, deadline: ev.Deadline,
		objectiveAt: min(ev.Deadline, r.now+c.LatencyObjective), requiredPosition: never, session: ev.Session, onlyServer: ev.OnlyServer, relativeWork: 1,
		sendBy: math.MaxInt64, weight: max(c.PriorityWeight, 1e-6), sheddingRank: r.settings.Shedding[ev.Group].Rank(r.now, ev)}
	if ev.MayHaveRunSince > 0 && c.Idempotency == IdempotentWithKey { // another with its key may have run
		req.mayHaveRun, req.mayHaveRunSince, req.sendBy = true, ev.MayHaveRunSince, ev.MayHaveRunSince+c.KeyWindow
	}
	if req.classIndex, req.giveUpAt = ev.Class, req.objectiveAt; c.LateWeight > 0 {
		req.giveUpAt = req.deadline
	}
	if c.Read == ReadSession {
		if r.settings.TrackCommits {
			t, ok := r.sessionCommits[ev.Session]
			if req.requiredPosition = t; !ok {
				req.requiredPosition = r.forgottenCommit
			}
		} else if ev.SinceCommit != 0 {
			req.requiredPosition = r.now - ev.SinceCommit
		}
	}
	if ev.Tenant >= 0 && ev.Tenant < len(r.buckets) && r.settings.Tenants[ev.Tenant].RateLimit > 0 {
		if t := r.refillBucket(ev.Tenant); t.tokens >= 1 {
			t.tokens--
		} else if r.settings.Tenants[ev.Tenant].RejectOverLimit {
			wait := min(r.settings.MaxRetryAfter, toDuration((1-t.tokens)/max(t.rate, 1e-3)))
			r.emit(Action{Kind: Reject, ID: ev.ID, Wait: wait, Reason: ReasonRateLimit})
			return
		} else {
			req.weight = max(req.weight*r.settings.OverQuotaWeight, 1e-6)
		}
	}
	if ev.ClientRetry {
		req.weight *= clientRetryFactor
	}
	if hint := ev.WorkHint.Seconds(); hint > 0 { // it compares the request with its class
		c.averageHint += max(minAverageGain, 1/(c.hintCount+1)) * (hint - c.averageHint)
		c.hintCount++
		req.relativeWork = min(maxRelativeWork, hint/c.averageHint)
	}
	req.admissionDraw = r.rng.Float64()
	r.countRequests(1)
	r.countUrgency(req)
	r.requests[req.id] = req
	r.checkServers(req.group)
	if len(req.group.waiting) > 0 || !r.trySend(req) {
		req.group.waiting = append(req.group.waiting, req)
		r.sendWaiting(req.group)
	}
}

// hasCapacity tells whether a server can take one more. Without one, the request waits for any to free.
func (r *Router) hasCapacity(s *server, req *request) bool {
	if r.now < s.overloadedUntil || s.health == halfOpen && len(s.openAttempts)-s.lostAttempts >= halfOpenAttempts || !r.admits(s, req) {
		return false
	}
	_, n := r.load(s)
	if n++; n <= fullRateConcurrency*r.warmUpFactor(s) {
		return true
	}
	rate, least := r.serviceRate(s)*rateShare(n), r.shortestObjective.Seconds()
	return len(s.openAttempts) == 0 && req.expectedWork()/rate <= idleCapacityFraction*(req.objectiveAt-r.now).Seconds() &&
		(req.primaryOnly() || fewRouters >= r.settings.Peers || r.averageWork/rate <= idleReadCapacityFraction*least) ||
		r.averageWork/rate <= capacityFraction*least
}

// mustAnswerNow tells that a request must have its answer now. One that reached no server has half its time.
func (r *Router) mustAnswerNow(req *request) bool {
	end := req.deadline
	if !req.reachedServer && req.openAttempts == 0 {
		end = req.arrivedAt + (req.deadline-req.arrivedAt)/2
	}
	return r.now+tickInterval+finalAnswerTicks*r.settings.Tick >= end
}

// urgency orders waiting requests: worth per unit of work, less once only the late worth is left.
func (r *Router) urgency(req *request) float64 {
	u := req.weight / req.expectedWork()
	if r.now > req.objectiveAt {
		u *= req.class.LateWeight
	}
	if req.primaryOnly() { // requests that any member serves leave the primary to this
		return u * float64(len(req.group.members))
	}
	return u
}

// sendWaiting sends what it can of a group's waiting requests, most urgent first, and ends hopeless ones.
func (r *Router) sendWaiting(grp *group) {
	slices.SortStableFunc(grp.waiting, func(a, b *request) int {
		// Newest first: under overload the oldest would each be served just too late.
		return cmp.Or(cmp.Compare(r.urgency(b), r.urgency(a)), cmp.Compare(b.arrivedAt, a.arrivedAt))
	})
	kept, queue := grp.waiting[:0:0], grp.waiting
	grp.waiting = nil
	for _, req := range queue {
		switch over := r.giveUpReason(req); {
		case req.finished:
		case over != ReasonNone && req.openAttempts == 0:
			r.giveFinalAnswer(req, over)
		case over == ReasonNone && !r.trySend(req):
			kept = append(kept, req)
		}
	}
	grp.waiting = append(kept, grp.waiting...)
}

// giveUpReason tells why a request cannot be sent any more; ReasonNone where it can.
func (r *Router) giveUpReason(req *request) Reason {
	switch {
	case r.mustAnswerNow(req):
		return ReasonDeadline
	case r.attemptsExhausted(req):
		return ReasonMaxAttempts
	case r.now+r.earliestAnswer(req) > req.giveUpAt:
		return ReasonTooLate
	}
	return ReasonNone
}

// earliestAnswer is the least time to an answer, at the server of the group that is fastest under its load.
func (r *Router) earliestAnswer(req *request) Time {
	if c := req.class; c.earliestAnswerAt != r.now || c.earliestAnswerGroup != req.group {
		best := never
		for _, s := range req.group.members {
			_, n := r.load(s)
			t := toDuration(c.averageWork / (r.serviceRate(s) * rateShare(n)))
			if s.usable() && (best == never || t < best) {
				best = t
			}
		}
		c.earliestAnswer, c.earliestAnswerAt, c.earliestAnswerGroup = max(0, best), r.now, req.group
	}
	return toDuration(req.class.earliestAnswer.Seconds() * req.relativeWork)
}

// giveFinalAnswer gives the final answer: refused where a retry is harmless, with the longest advice, else failed.
func (r *Router) giveFinalAnswer(req *request, reason Reason) {
	answer := Action{Kind: Fail, ID: req.id, Reason: reason}
	c, unsent := req.class, !req.mayHaveRun && req.openAttempts == 0
	if c.Idempotency == Idempotent || unsent || c.Idempotency == IdempotentWithKey && c.KeyScope == ScopeAll {
		answer.Kind, answer.Wait = Reject, r.settings.MaxRetryAfter
	}
	r.emit(answer)
	r.dropRequest(req)
}

// dropRequest drops a request and calls off its attempts, so that servers do no work for nobody.
func (r *Router) dropRequest(req *request) {
	req.finished = true
	delete(r.requests, req.id)
	for _, a := range req.attempts {
		if r.settings.MayCancel && !a.ended {
			r.emit(Action{Kind: Cancel, ID: req.id, Attempt: a.number})
		}
	}
}
