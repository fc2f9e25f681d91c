package decide

import (
	"math"
	"slices"
)

func (r *Router) onOutcome(ev *Outcome) {
	s := r.servers[ev.Server]
	if s == nil {
		return
	}
	r.advanceService(s)
	a, older := r.removeAttempt(s, ev.ID, ev.Attempt)
	if a == nil {
		return
	}
	req := a.request
	r.recordLoss(s, a, ev.Result)
	req.reachedServer = req.reachedServer || ev.Result != Unreachable && ev.Result != NotSent
	r.observeClock(s, ev.Reported, a.sentAt)
	at := r.now // that it is a replica counts at once; that it leads, as of its report
	if ev.Reported.Role == RolePrimary {
		at = min(r.now, max(a.sentAt, s.group.localTime(ev.Reported.Position)))
	}
	r.applyReport(s, ev.Reported, at)
	r.observeClock(s, ev.Load, never) // it is some time old
	r.applyReport(s, ev.Load, s.group.localTime(ev.Load.Position))
	switch ev.Result {
	case OK:
		c := req.class
		if !a.unmeasured {
			got, took := s.virtualService-a.serviceAtSend, (r.now - a.sentAt).Seconds()
			onTheWay := min(r.linkDelay(s), took/2)
			got, took = got*(1-onTheWay/max(took, 1e-9)), took-onTheWay
			if r.observeLoad(s, fullRateConcurrency*(took*r.serviceRate(s)/req.expectedWork()-slowAnswerFactor)) {
				n, _ := r.load(s)
				got = min(got, took*rateShare(n)*r.warmUpFactor(s))
			}
			s.expectedWork += req.expectedWork()
			s.receivedService += got
			if r.warmUpFactor(s) == 1 { // the rate of a cold server is known roughly, so its answers prove little
				r.observeWait(s, took-req.expectedWork()/r.warmRate(s))
				c.answerCount++
				c.averageWork = max(1e-3, c.averageWork+max(minAverageGain, 1/(c.answerCount+8))*(got*r.warmRate(s)*c.averageWork/req.expectedWork()-c.averageWork))
				r.averageWork += max(minAverageGain, 1/(r.answerCount+8)) * (c.averageWork - r.averageWork)
				r.answerCount++
			}
		}
		s.failureAtLast, s.failureAt = r.failureChance(s)/2, r.now
		for _, o := range s.openAttempts[:older] {
			o.overtakenBy++
		}
		r.recordAnswer(s, a)
		if req.class.Read == Write && r.settings.TrackCommits {
			// committed by now, whatever the report says
			r.rememberCommit(req.session, ev.Reported.positionOr(r.serverClockNow(s.group)))
		}
	case Misdirected:
		r.recordAnswer(s, a)
		if req.primaryOnly() && ev.Reported.Role != RolePrimary {
			s.role, s.roleAt = RoleReplica, r.now
		} else {
			s.positionRate /= 2 // it is further behind than estimated
		}
	case Overloaded, Unreachable, Failed, Reset:
		// No proof that it is down: its cost rises for a while, and it gets nothing for a turn.
		if ev.Result == Unreachable && !r.observeLink(s, r.now-a.sentAt) && r.now-a.sentAt < longDelay {
			r.recordRefusal(s)
		} else if ev.Result == Unreachable { // not refused at once: a probe tells whether it lives
			r.checkHealth(s, ejectedCheckInterval)
		}
		if ev.Result == Overloaded {
			r.recordAnswer(s, a)
			r.observeLoad(s, 2*fullRateConcurrency*req.class.LatencyObjective.Seconds()*r.serviceRate(s)/req.expectedWork())
		}
		s.failureAtLast, s.failureAt = (r.failureChance(s)+1)/2, r.now
		if ev.Result == Overloaded || ev.Result == Failed && s.failureAtLast > 0.5 {
			s.overloadedUntil = r.now + toDuration(r.averageWork/r.serviceRate(s))
		}
	}
	req.healthChecks = 0
	if ev.Result == Failed || ev.Result == TimedOut || ev.Result == Reset || ev.Result == Cancelled {
		req.markMayHaveRun(a, s)
	}
	if ev.Final {
		r.dropRequest(req)
	}
	if ev.Result != OK && !req.finished && req.openAttempts == 0 && !slices.Contains(req.group.waiting, req) {
		req.group.waiting = append(req.group.waiting, req)
	}
	r.sendWaiting(s.group)
}

// attemptsExhausted tells that a request may not be sent again; one that may have run could then apply twice.
func (r *Router) attemptsExhausted(req *request) bool {
	shed := r.settings.Shedding[req.group.id]
	return len(req.attempts) >= r.settings.MaxAttempts || req.openAttempts > 0 && !r.settings.MayDuplicate ||
		r.now+r.settings.Tick >= req.sendBy || shed.RejectsAttempt(req.classIndex, req.sheddingRank, req.mayHaveRun || req.openAttempts > 0)
}

// hedgeStuckRequests copies safe requests that are stuck at silent servers or lost, or calls their attempts off.
func (r *Router) hedgeStuckRequests(grp *group) {
	for _, s := range grp.members {
		for _, a := range slices.Clone(s.openAttempts) {
			req := a.request
			if !req.finished && r.mustAnswerNow(req) {
				r.giveFinalAnswer(req, ReasonDeadline)
			}
			if !a.presumedLost && a.overtakenBy >= overtakingForLoss && r.serviceMultiple(s, a) > r.patience(grp) {
				a.presumedLost, s.lostAttempts = true, s.lostAttempts+1
			}
			if s.health != ejected && !a.presumedLost || a.hedged || req.finished || req.class.Idempotency == NotIdempotent ||
				req.openAttempts != 1 || r.now+r.earliestAnswer(req) > req.giveUpAt {
				continue
			}
			req.markMayHaveRun(a, s)
			if r.settings.MayDuplicate {
				a.hedged = r.trySend(req)
			} else if r.settings.MayCancel && r.chooseServer(req) != nil {
				a.hedged = true
				r.emit(Action{Kind: Cancel, ID: req.id, Attempt: a.number})
			}
		}
	}
}

// patience is the service at which an overtaken attempt is likelier lost: exp(-x) have over x times.
func (r *Router) patience(grp *group) float64 {
	if len(grp.waiting) > 0 { // copies would be at others' expense
		return maxPatience
	}
	return min(maxPatience, max(minPatience, -math.Log(r.lossRate)))
}

// recordLoss counts an attempt's end towards the part that is lost. One called off early may just be slow.
func (r *Router) recordLoss(s *server, a *attempt, res Result) {
	quit, lost := res == Cancelled || res == TimedOut, 0.0
	if res == Unreachable || res == NotSent || res == Reset || quit && (a.overtakenBy < overtakingForLoss || !a.presumedLost) {
		return
	}
	if quit && r.serviceMultiple(s, a) > maxPatience {
		lost = 1
	} else if quit {
		lost = 0.5
	}
	r.lossRate += (lost - r.lossRate) / lossRateMemory
}

func (req *request) markMayHaveRun(a *attempt, s *server) {
	if !req.mayHaveRun || a.sentAt < req.mayHaveRunSince {
		req.mayHaveRun, req.mayHaveRunSince, req.mayHaveRunZone, req.sendBy = true, a.sentAt, s.endpoint.Zone, a.sentAt+req.class.KeyWindow
	}
}
