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
	if uint(ev.Class) >= uint(len(r.classes)) || ev.Deadline <= r.now || r.set.Shed[ev.Group].Off(r.now, ev) {
		reason := ReasonShed
		if uint(ev.Class) >= uint(len(r.classes)) || ev.Deadline <= r.now {
			reason = ReasonLate
		}
		r.act(Action{Kind: Refuse, ID: ev.ID, Wait: r.set.Shed[ev.Group].Advice(r.now, ev), Reason: reason})
		return
	}
	c := &r.classes[ev.Class]
	if r.groups[ev.Group] == nil && len(r.servers) > 0 { // and leaves no record
		r.act(Action{Kind: Refuse, ID: ev.ID, Wait: min(r.set.MaxRetryAfter, c.Target), Reason: ReasonGroup})
		return
	}
	req := &request{id: ev.ID, class: c, group: r.groupOf(ev.Group), arrived: r.now, deadline: ev.Deadline,
		target: min(ev.Deadline, r.now+c.Target), need: never, session: ev.Session, only: ev.Only, size: 1,
		sendBy: math.MaxInt64, value: max(c.Worth, 1e-6), place: r.set.Shed[ev.Group].Place(r.now, ev)}
	if ev.RanAt > 0 && c.Effect == Keyed { // another with its key may have run
		req.ran, req.ranAt, req.sendBy = true, ev.RanAt, ev.RanAt+c.KeyWindow
	}
	if req.classIndex, req.giveUpAt = ev.Class, req.target; c.LateWorth > 0 {
		req.giveUpAt = req.deadline
	}
	if c.Read == ReadSession {
		if r.set.TrackCommits {
			t, ok := r.commits[ev.Session]
			if req.need = t; !ok {
				req.need = r.forgotten
			}
		} else if ev.SinceOwn != 0 {
			req.need = r.now - ev.SinceOwn
		}
	}
	if ev.Tenant >= 0 && ev.Tenant < len(r.tenants) && r.set.Tenants[ev.Tenant].Allowance > 0 {
		if t := r.fill(ev.Tenant); t.tokens >= 1 {
			t.tokens--
		} else if r.set.Tenants[ev.Tenant].Hard {
			wait := min(r.set.MaxRetryAfter, seconds((1-t.tokens)/max(t.rate, 1e-3)))
			r.act(Action{Kind: Refuse, ID: ev.ID, Wait: wait, Reason: ReasonAllowance})
			return
		} else {
			req.value = max(req.value*r.set.OverShareWorth, 1e-6)
		}
	}
	if ev.Repeat {
		req.value *= repeatValue
	}
	if hint := ev.Work.Seconds(); hint > 0 { // it compares the request with its class
		c.hint += max(workGain, 1/(c.hints+1)) * (hint - c.hint)
		c.hints++
		req.size = min(hintMost, hint/c.hint)
	}
	req.draw = r.rng.Float64()
	r.countFlow(1)
	r.countUrgency(req)
	r.requests[req.id] = req
	r.tend(req.group)
	if len(req.group.held) > 0 || !r.send(req) {
		req.group.held = append(req.group.held, req)
		r.drainQueue(req.group)
	}
}

// hasCapacity tells whether a server can take one more. Without one, the request waits for any to free.
func (r *Router) hasCapacity(s *server, req *request) bool {
	if r.now < s.fullUntil || s.health == onTrial && len(s.open)-s.lost >= trialJobs || !r.admits(s, req) {
		return false
	}
	_, n := r.load(s)
	if n++; n <= width*r.warmth(s) {
		return true
	}
	rate, least := r.rateOf(s)*share(n), r.leastTarget.Seconds()
	return len(s.open) == 0 && req.work()/rate <= loadOwn*(req.target-r.now).Seconds() &&
		(req.primaryOnly() || fewRouters >= r.set.Peers || r.work/rate <= loadRead*least) ||
		r.work/rate <= loadShare*least
}

// closing tells that a request must have its answer now. One that reached no server has half its time.
func (r *Router) closing(req *request) bool {
	end := req.deadline
	if !req.reached && req.open == 0 {
		end = req.arrived + (req.deadline-req.arrived)/2
	}
	return r.now+tickEvery+endMargin*r.set.Tick >= end
}

// urgency orders waiting requests: worth per unit of work, less once only the late worth is left.
func (r *Router) urgency(req *request) float64 {
	u := req.value / req.work()
	if r.now > req.target {
		u *= req.class.LateWorth
	}
	if req.primaryOnly() { // requests that any member serves leave the primary to this
		return u * float64(len(req.group.members))
	}
	return u
}

// drainQueue sends what it can of a group's waiting requests, most urgent first, and ends hopeless ones.
func (r *Router) drainQueue(grp *group) {
	slices.SortStableFunc(grp.held, func(a, b *request) int {
		// Newest first: under overload the oldest would each be served just too late.
		return cmp.Or(cmp.Compare(r.urgency(b), r.urgency(a)), cmp.Compare(b.arrived, a.arrived))
	})
	kept, queue := grp.held[:0:0], grp.held
	grp.held = nil
	for _, req := range queue {
		switch over := r.over(req); {
		case req.finished:
		case over != ReasonNone && req.open == 0:
			r.finish(req, over)
		case over == ReasonNone && !r.send(req):
			kept = append(kept, req)
		}
	}
	grp.held = append(kept, grp.held...)
}

// over tells why a request cannot be sent any more; ReasonNone where it can.
func (r *Router) over(req *request) Reason {
	switch {
	case r.closing(req):
		return ReasonTime
	case r.spent(req):
		return ReasonAttempts
	case r.now+r.soonest(req) > req.giveUpAt:
		return ReasonHopeless
	}
	return ReasonNone
}

// soonest is the least time to an answer, at the server of the group that is fastest under its load.
func (r *Router) soonest(req *request) Time {
	if c := req.class; c.soonestAt != r.now || c.soonestFor != req.group {
		best := never
		for _, s := range req.group.members {
			_, n := r.load(s)
			t := seconds(c.work / (r.rateOf(s) * share(n)))
			if s.usable() && (best == never || t < best) {
				best = t
			}
		}
		c.soonest, c.soonestAt, c.soonestFor = max(0, best), r.now, req.group
	}
	return seconds(req.class.soonest.Seconds() * req.size)
}

// finish gives the final answer: refused where a retry is harmless, with the longest advice, else failed.
func (r *Router) finish(req *request, reason Reason) {
	answer := Action{Kind: Fail, ID: req.id, Reason: reason}
	c, unsent := req.class, !req.ran && req.open == 0
	if c.Effect == Safe || unsent || c.Effect == Keyed && c.Scope == ScopeAll {
		answer.Kind, answer.Wait = Refuse, r.set.MaxRetryAfter
	}
	r.act(answer)
	r.forget(req)
}

// forget drops a request and calls off its attempts, so that servers do no work for nobody.
func (r *Router) forget(req *request) {
	req.finished = true
	delete(r.requests, req.id)
	for _, a := range req.attempts {
		if r.set.MayCancel && !a.over {
			r.act(Action{Kind: Cancel, ID: req.id, Attempt: a.number})
		}
	}
}
