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
	r.advance(s)
	a, older := r.removeAttempt(s, ev.ID, ev.Attempt)
	if a == nil {
		return
	}
	req := a.req
	r.countLost(s, a, ev.Result)
	req.reached = req.reached || ev.Result != Unreachable && ev.Result != Skipped
	r.observeClock(s, ev.Reported, a.sent)
	at := r.now // that it is a replica counts at once; that it leads, as of its report
	if ev.Reported.Role == RolePrimary {
		at = min(r.now, max(a.sent, s.group.onClock(ev.Reported.Position)))
	}
	r.takeReport(s, ev.Reported, at)
	r.observeClock(s, ev.Load, never) // it is some time old
	r.takeReport(s, ev.Load, s.group.onClock(ev.Load.Position))
	switch ev.Result {
	case OK:
		c := req.class
		if !a.blurred {
			got, took := s.service-a.service, (r.now - a.sent).Seconds()
			onTheWay := min(r.linkDelay(s), took/2)
			got, took = got*(1-onTheWay/max(took, 1e-9)), took-onTheWay
			if r.observeLoad(s, width*(took*r.rateOf(s)/req.work()-observeFrom)) {
				n, _ := r.load(s)
				got = min(got, took*share(n)*r.warmth(s))
			}
			s.want += req.work()
			s.got += got
			if r.warmth(s) == 1 { // the rate of a cold server is known roughly, so its answers prove little
				r.observeWait(s, took-req.work()/r.base(s))
				c.n++
				c.work = max(1e-3, c.work+max(workGain, 1/(c.n+8))*(got*r.base(s)*c.work/req.work()-c.work))
				r.work += max(workGain, 1/(r.answers+8)) * (c.work - r.work)
				r.answers++
			}
		}
		s.failure, s.failedAt = r.failing(s)/2, r.now
		for _, o := range s.open[:older] {
			o.passed++
		}
		r.answered(s, a)
		if req.class.Read == Write && r.set.TrackCommits {
			// committed by now, whatever the report says
			r.remember(req.session, ev.Reported.position(r.serversNow(s.group)))
		}
	case Missed:
		r.answered(s, a)
		if req.primaryOnly() && ev.Reported.Role != RolePrimary {
			s.role, s.roleAt = RoleReplica, r.now
		} else {
			s.pace /= 2 // it is further behind than estimated
		}
	case Full, Unreachable, Failed, Reset:
		// No proof that it is down: its cost rises for a while, and it gets nothing for a turn.
		if ev.Result == Unreachable && !r.observeLink(s, r.now-a.sent) && r.now-a.sent < longPause {
			r.refused(s)
		} else if ev.Result == Unreachable { // not refused at once: a probe tells whether it lives
			r.probe(s, probeDown)
		}
		if ev.Result == Full {
			r.answered(s, a)
			r.observeLoad(s, 2*width*req.class.Target.Seconds()*r.rateOf(s)/req.work())
		}
		s.failure, s.failedAt = (r.failing(s)+1)/2, r.now
		if ev.Result == Full || ev.Result == Failed && s.failure > 0.5 {
			s.fullUntil = r.now + seconds(r.work/r.rateOf(s))
		}
	}
	req.probes = 0
	if ev.Result == Failed || ev.Result == TimedOut || ev.Result == Reset || ev.Result == Cancelled {
		req.mayHaveRun(a, s)
	}
	if ev.Final {
		r.forget(req)
	}
	if ev.Result != OK && !req.finished && req.open == 0 && !slices.Contains(req.group.held, req) {
		req.group.held = append(req.group.held, req)
	}
	r.drainQueue(s.group)
}

// spent tells that a request may not be sent again; one that may have run could then apply twice.
func (r *Router) spent(req *request) bool {
	shed := r.set.Shed[req.group.id]
	return len(req.attempts) >= r.set.MaxAttempts || req.open > 0 && !r.set.MayDuplicate ||
		r.now+r.set.Tick >= req.sendBy || shed.Spent(req.classIndex, req.place, req.ran || req.open > 0)
}

// rescue copies safe requests that are stuck at silent servers or lost, or calls their attempts off.
func (r *Router) rescue(grp *group) {
	for _, s := range grp.members {
		for _, a := range slices.Clone(s.open) {
			req := a.req
			if !req.finished && r.closing(req) {
				r.finish(req, ReasonTime)
			}
			if !a.lost && a.passed >= lostPassed && r.serviceOf(s, a) > r.patience(grp) {
				a.lost, s.lost = true, s.lost+1
			}
			if s.health != down && !a.lost || a.rescued || req.finished || req.class.Effect == Unsafe ||
				req.open != 1 || r.now+r.soonest(req) > req.giveUpAt {
				continue
			}
			req.mayHaveRun(a, s)
			if r.set.MayDuplicate {
				a.rescued = r.send(req)
			} else if r.set.MayCancel && r.choose(req) != nil {
				a.rescued = true
				r.act(Action{Kind: Cancel, ID: req.id, Attempt: a.number})
			}
		}
	}
}

// patience is the service at which an overtaken attempt is likelier lost: exp(-x) have over x times.
func (r *Router) patience(grp *group) float64 {
	if len(grp.held) > 0 { // copies would be at others' expense
		return lostAfter
	}
	return min(lostAfter, max(lostLeast, -math.Log(r.lossRate)))
}

// countLost counts an attempt's end towards the part that is lost. One called off early may just be slow.
func (r *Router) countLost(s *server, a *attempt, res Result) {
	quit, lost := res == Cancelled || res == TimedOut, 0.0
	if res == Unreachable || res == Skipped || res == Reset || quit && (a.passed < lostPassed || !a.lost) {
		return
	}
	if quit && r.serviceOf(s, a) > lostAfter {
		lost = 1
	} else if quit {
		lost = 0.5
	}
	r.lossRate += (lost - r.lossRate) / lostMemory
}

func (req *request) mayHaveRun(a *attempt, s *server) {
	if !req.ran || a.sent < req.ranAt {
		req.ran, req.ranAt, req.ranZone, req.sendBy = true, a.sent, s.entry.Zone, a.sent+req.class.KeyWindow
	}
}
