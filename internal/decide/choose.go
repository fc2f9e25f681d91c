package decide

import (
	"math"
	"time"
)

// cost is the paper's equation 2, each request's slowdown by its worth: a primary full of writes is spared.
func (r *Router) cost(s *server, req *request) (cost, left float64) {
	r.advance(s)
	rate := r.rateOf(s)
	n, _ := r.load(s)
	now, left := rate*share(n), rate*share(n+1)
	if r.now < s.frozenUntil {
		now, left = min(rate, s.frozenShare), min(left, rate, s.frozenShare)
	}
	cost = req.work() / left
	for _, a := range s.open {
		w := a.req.work()
		rest := max(w-(s.service-a.service)*rate, minLeft*w)
		cost += (rest/left - rest/now) * a.req.value / req.value
	}
	cost /= 1 - r.failing(s)
	if s.entry.Zone != r.set.Zone {
		cost += r.set.PriceCross * req.class.Target.Seconds() // in time: a worth is a target
	}
	return cost + r.linkDelay(s), left
}

// qualifies tells whether a server's data is known to be new enough, and whether it probably is by now.
func (r *Router) qualifies(s *server, req *request) (known, likely bool) {
	need := r.needs(req)
	if need == never || r.proven(s, req) >= need {
		return true, true
	}
	if s == r.primary(req.group) && req.group.clock.inDoubt() { // it stands at the present, by another clock
		return false, true
	}
	return false, s.position == never || r.now-s.placedAt > max(r.seekEach, s.lacked()) ||
		s.position+time.Duration(float64(r.now-s.positionAt)*s.pace) >= need
}

// lacked is how far behind a server's data was when it was last reported.
func (s *server) lacked() time.Duration { return s.placedAt - s.group.onClock(s.position) }

// proven is as of when a server's data is complete, on the servers' clock: a primary's as of its report, or
// of this request's probe.
func (r *Router) proven(s *server, req *request) Time {
	at := s.position
	if s == r.primary(req.group) {
		if at = max(at, s.roleAt+req.group.clock.ahead); !r.set.MayProbe {
			at = math.MaxInt64 / 2
		} else if s.askedAt >= req.arrived {
			at = max(at, s.askedAt+req.group.clock.ahead)
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
	return req.only != "" && req.only != s.id ||
		req.only == "" && len(req.attempts) < len(req.group.members) && req.tried(s)
}

func (req *request) primaryOnly() bool { return req.class.Read == Write || req.class.Read == ReadFresh }

func (s *server) usable() bool { return s.listed() && s.health != down }

// listed tells whether the list allows its use. With DrainOnly a server that left the list may be used.
func (s *server) listed() bool { return !s.draining && (s.gone == 0 || s.set.DrainOnly) }

// needs is the position that a request needs of a replica now, on the servers' clock.
func (r *Router) needs(req *request) Time {
	if req.class.Read == ReadBounded {
		return r.serversNow(req.group) - req.class.Bound
	}
	return req.need
}

// chance is how likely a probe finds a server new enough: one that was far behind stays so for a while.
func (r *Router) chance(s *server, req *request) float64 {
	lacked, may := s.lacked(), r.serversNow(req.group)-r.needs(req)
	if s.position == never || lacked <= may {
		return 1
	}
	return 1 - (1-may.Seconds()/lacked.Seconds())*r.fading(s.placedAt, linkMemory)
}

// choose returns the server for a request, or nil if the request has to wait.
func (r *Router) choose(req *request) *server {
	if req.primaryOnly() {
		p := r.primary(req.group)
		if p == nil || !p.usable() || !r.hasCapacity(p, req) || !r.slowStartAllows(p, req) || r.ask(req, p) {
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
		is, may := r.qualifies(s, req)
		if !is && (!may || r.set.Behind == BehindAnswers && !r.askable(s, req)) {
			continue
		}
		c, _ := r.cost(s, req)
		if !is { // a miss costs a turn; where servers do not check, they are probed one by one
			c += ((2 * r.set.Tick).Seconds() + r.price(req)) / (r.chance(s, req) + 1e-3)
		}
		certain := is || r.set.Behind != BehindAnswers
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
	if best != nil && r.ask(req, best) {
		return nil
	}
	if p := r.primary(req.group); sure == nil && req.class.Read == ReadSession && p != nil && p.usable() &&
		p.probeAt < req.arrived && r.hasCapacity(p, req) {
		r.probe(p, 0) // cheaper members are behind: the primary is probed once
	}
	return sure
}

func (r *Router) price(req *request) float64 { return r.set.PriceProbe * req.class.Target.Seconds() }

// askable: it refused no probe lately, and has none out for longer than another server's probe would cost.
func (r *Router) askable(s *server, req *request) bool {
	most := askWait*r.set.Tick + seconds(r.price(req))
	return r.now-s.probeRefusedAt >= probeDown && !(s.probing && r.now-s.probeAt > most)
}

// ask probes a server whose position or load is needed, if that pays, and tells whether to wait for it.
func (r *Router) ask(req *request, s *server) bool {
	is, _ := r.qualifies(s, req)
	n, _ := r.load(s)
	slow := req.work() / r.rateOf(s) * (1/share(n) - 1)
	if !r.set.MayProbe || (is || r.set.Behind != BehindAnswers) &&
		(!r.loadReported || r.now-s.reportedAt <= r.leastTarget/4 || slow <= r.price(req)) {
		return false
	}
	if !s.probing {
		if req.probes >= askMost {
			if s == r.primary(req.group) { // the answers did not help, and no other member may serve it
				r.probe(s, r.seekEach)
			}
			return false
		}
		req.probes++
		r.probe(s, 0)
	}
	return r.now < s.probeAt+askWait*r.set.Tick
}

// send sends a request if a server can take it now.
func (r *Router) send(req *request) bool {
	if r.spent(req) {
		return false
	}
	s := r.choose(req)
	if s == nil ||
		req.ran && req.class.Effect == Keyed && req.class.Scope == ScopeZone && s.entry.Zone != req.ranZone {
		return false // servers of the first attempt's zone alone drop repeats
	}
	_, left := r.cost(s, req)
	a := &attempt{req: req, server: s, number: len(req.attempts), sent: r.now, service: s.service}
	r.addAttempt(s, a)
	s.frozenShare, s.frozenUntil = left, r.now+freeze
	s.coldSpent, s.coldSpentAt, s.drawn = s.coldSpent+req.work(), r.now, math.Inf(1)
	for _, o := range s.group.members {
		o.share -= o.share / (pickMemory * float64(len(s.group.members)))
	}
	s.share += 1 / (pickMemory * float64(len(s.group.members)))
	by := req.sendBy - r.set.Tick
	if req.class.Read == ReadBounded && r.set.Behind == BehindAnswers { // it may wait, and age
		by = min(by, req.group.onClock(r.proven(s, req))+req.class.Bound+1)
	}
	r.act(Action{Kind: Send, ID: req.id, Server: s.id, By: by, Reason: req.whyAgain()})
	return true
}

// whyAgain is the reason of an attempt that has just been added.
func (req *request) whyAgain() Reason {
	switch {
	case len(req.attempts) < 2:
		return ReasonNone
	case req.open > 1:
		return ReasonCopy
	}
	return ReasonUnanswered
}
