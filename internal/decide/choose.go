package decide

import (
	"math"
	"time"
)

// cost is the paper's equation 2, each request's slowdown by its worth: a primary full of writes is spared.
func (r *Router) cost(s *server, req *request) (cost, left float64) {
	r.advanceService(s)
	rate := r.serviceRate(s)
	n, _ := r.load(s)
	now, left := rate*rateShare(n), rate*rateShare(n+1)
	if r.now < s.frozenUntil {
		now, left = min(rate, s.frozenShare), min(left, rate, s.frozenShare)
	}
	cost = req.expectedWork() / left
	for _, a := range s.openAttempts {
		w := a.request.expectedWork()
		rest := max(w-(s.virtualService-a.serviceAtSend)*rate, minRemainingFraction*w)
		cost += (rest/left - rest/now) * a.request.weight / req.weight
	}
	cost /= 1 - r.failureChance(s)
	if s.endpoint.Zone != r.settings.Zone {
		cost += r.settings.CrossZoneCost * req.class.LatencyObjective.Seconds() // in time: a worth is a target
	}
	return cost + r.linkDelay(s), left
}

// freshness tells whether a server's data is known to be new enough, and whether it probably is by now.
func (r *Router) freshness(s *server, req *request) (known, likely bool) {
	need := r.requiredPosition(req)
	if need == never || r.provenPosition(s, req) >= need {
		return true, true
	}
	if s == r.primary(req.group) && req.group.clock.inDoubt() { // it stands at the present, by another clock
		return false, true
	}
	return false, s.position == never || r.now-s.positionReportedAt > max(r.primarySearchPause, s.lag()) ||
		s.position+time.Duration(float64(r.now-s.positionAt)*s.positionRate) >= need
}

// lag is how far behind a server's data was when it was last reported.
func (s *server) lag() time.Duration { return s.positionReportedAt - s.group.localTime(s.position) }

// provenPosition is as of when a server's data is complete, on the servers' clock: a primary's as of its report, or
// of this request's probe.
func (r *Router) provenPosition(s *server, req *request) Time {
	at := s.position
	if s == r.primary(req.group) {
		if at = max(at, s.roleAt+req.group.clock.ahead); !r.settings.MayCheckHealth {
			at = math.MaxInt64 / 2
		} else if s.primaryConfirmedAt >= req.arrivedAt {
			at = max(at, s.primaryConfirmedAt+req.group.clock.ahead)
		}
	}
	return at
}

// primary is the group's primary by the latest evidence, or nil while none is known.
func (r *Router) primary(grp *group) *server {
	var best *server
	for _, s := range grp.members {
		if s.role == RolePrimary && (best == nil || s.roleAt > best.roleAt) {
			best = s
		}
	}
	return best
}

// excludes tells that a request cannot go to a server: it needs another, or has yet to try others.
func (req *request) excludes(s *server) bool {
	return req.onlyServer != "" && req.onlyServer != s.id ||
		req.onlyServer == "" && len(req.attempts) < len(req.group.members) && req.wasSentTo(s)
}

func (req *request) primaryOnly() bool { return req.class.Read == Write || req.class.Read == ReadFresh }

func (s *server) usable() bool { return s.available() && s.health != ejected }

// available tells whether the list allows its use. With DrainOnly a server that left the list may be used.
func (s *server) available() bool { return !s.draining && (s.removedAt == 0 || s.settings.DrainOnly) }

// requiredPosition is the position that a request needs of a replica now, on the servers' clock.
func (r *Router) requiredPosition(req *request) Time {
	if req.class.Read == ReadBounded {
		return r.serverClockNow(req.group) - req.class.MaxStaleness
	}
	return req.requiredPosition
}

// freshnessChance is how likely a probe finds a server new enough: one that was far behind stays so for a while.
func (r *Router) freshnessChance(s *server, req *request) float64 {
	lacked, may := s.lag(), r.serverClockNow(req.group)-r.requiredPosition(req)
	if s.position == never || lacked <= may {
		return 1
	}
	return 1 - (1-may.Seconds()/lacked.Seconds())*r.fading(s.positionReportedAt, linkDelayMemory)
}

// chooseServer returns the server for a request, or nil if the request has to wait.
func (r *Router) chooseServer(req *request) *server {
	if req.primaryOnly() {
		p := r.primary(req.group)
		if p == nil || !p.usable() || !r.hasCapacity(p, req) || !r.slowStartAllows(p, req) || r.awaitsHealthCheck(req, p) {
			return nil
		}
		return p
	}
	var best, sure *server
	least, known := math.Inf(1), math.Inf(1)
	for _, s := range req.group.members {
		if !s.usable() || req.excludes(s) || !r.hasCapacity(s, req) {
			continue
		}
		is, may := r.freshness(s, req)
		if !is && (!may || r.settings.StaleReads == StaleReadsAnswered && !r.mayAwaitHealthCheck(s, req)) {
			continue
		}
		c, _ := r.cost(s, req)
		if !is { // a miss costs a turn; where servers do not check, they are probed one by one
			c += ((2 * r.settings.Tick).Seconds() + r.healthCheckCost(req)) / (r.freshnessChance(s, req) + 1e-3)
		}
		certain := is || r.settings.StaleReads != StaleReadsAnswered
		if certain && c >= known || !certain && c >= least || !r.slowStartAllows(s, req) { // draws last
			continue
		}
		if certain {
			sure, known = s, c
		}
		if c < least {
			best, least = s, c
		}
	}
	if best != nil && r.awaitsHealthCheck(req, best) {
		return nil
	}
	if p := r.primary(req.group); sure == nil && req.class.Read == ReadSession && p != nil && p.usable() &&
		p.healthCheckSentAt < req.arrivedAt && r.hasCapacity(p, req) {
		r.checkHealth(p, 0) // cheaper members are behind: the primary is probed once
	}
	return sure
}

func (r *Router) healthCheckCost(req *request) float64 {
	return r.settings.HealthCheckCost * req.class.LatencyObjective.Seconds()
}

// askable: it refused no probe lately, and has none out for longer than another server's probe would cost.
func (r *Router) mayAwaitHealthCheck(s *server, req *request) bool {
	most := healthCheckWaitTicks*r.settings.Tick + toDuration(r.healthCheckCost(req))
	return r.now-s.healthCheckRefusedAt >= ejectedCheckInterval && !(s.healthCheckPending && r.now-s.healthCheckSentAt > most)
}

// awaitsHealthCheck probes a server whose position or load is needed, if that pays, and tells whether to wait for it.
func (r *Router) awaitsHealthCheck(req *request, s *server) bool {
	is, _ := r.freshness(s, req)
	n, _ := r.load(s)
	slow := req.expectedWork() / r.serviceRate(s) * (1/rateShare(n) - 1)
	if !r.settings.MayCheckHealth || (is || r.settings.StaleReads != StaleReadsAnswered) &&
		(!r.loadReported || r.now-s.loadReportedAt <= r.shortestObjective/4 || slow <= r.healthCheckCost(req)) {
		return false
	}
	if !s.healthCheckPending {
		if req.healthChecks >= maxHealthChecksPerRequest {
			if s == r.primary(req.group) { // the answers did not help, and no other member may serve it
				r.checkHealth(s, r.primarySearchPause)
			}
			return false
		}
		req.healthChecks++
		r.checkHealth(s, 0)
	}
	return r.now < s.healthCheckSentAt+healthCheckWaitTicks*r.settings.Tick
}

// trySend sends a request if a server can take it now.
func (r *Router) trySend(req *request) bool {
	if r.attemptsExhausted(req) {
		return false
	}
	s := r.chooseServer(req)
	if s == nil ||
		req.mayHaveRun && req.class.Idempotency == IdempotentWithKey && req.class.KeyScope == ScopeZone && s.endpoint.Zone != req.mayHaveRunZone {
		return false // servers of the first attempt's zone alone drop repeats
	}
	_, left := r.cost(s, req)
	a := &attempt{request: req, server: s, number: len(req.attempts), sentAt: r.now, serviceAtSend: s.virtualService}
	r.addAttempt(s, a)
	s.frozenShare, s.frozenUntil = left, r.now+freezeTime
	s.slowStartUsed, s.slowStartUsedAt, s.slowStartDraw = s.slowStartUsed+req.expectedWork(), r.now, math.Inf(1)
	for _, o := range s.group.members {
		o.requestShare -= o.requestShare / (requestShareMemory * float64(len(s.group.members)))
	}
	s.requestShare += 1 / (requestShareMemory * float64(len(s.group.members)))
	by := req.sendBy - r.settings.Tick
	if req.class.Read == ReadBounded && r.settings.StaleReads == StaleReadsAnswered { // it may wait, and age
		by = min(by, req.group.localTime(r.provenPosition(s, req))+req.class.MaxStaleness+1)
	}
	r.emit(Action{Kind: Send, ID: req.id, Server: s.id, WriteBefore: by, Reason: req.retryReason()})
	return true
}

// retryReason is the reason of an attempt that has just been added.
func (req *request) retryReason() Reason {
	switch {
	case len(req.attempts) < 2:
		return ReasonNone
	case req.openAttempts > 1:
		return ReasonHedge
	}
	return ReasonRetry
}
