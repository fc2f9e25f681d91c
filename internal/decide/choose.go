package decide

// Which server a request goes to.

import (
	"math"
	"time"
)

// cost is equation 2 of the paper: the read's own time at its max-min fair share plus the slowdown of this
// router's requests there, each by its worth against the read's: so a primary full of writes is spared.
func (r *Router) cost(s *store, q *request) (cost, left float64) {
	r.advance(s)
	rate := r.rateOf(s)
	n, _ := r.load(s)
	now, left := rate*share(n), rate*share(n+1)
	if r.now < s.frozenUntil {
		now = min(rate, s.frozenShare)
		left = min(left, now)
	}
	cost = q.work() / left
	for _, a := range s.open {
		w := a.req.work()
		rest := max(w-(s.service-a.service)*rate, minLeft*w)
		cost += (rest/left - rest/now) * a.req.value / q.value
	}
	// A failed answer comes quickly and leaves its store idle: without its chance a failing store wins picks.
	cost /= 1 - r.failing(s)
	if s.entry.Zone != r.set.Zone {
		cost += r.set.PriceCross * q.class.Aim.Seconds() // in time: a worth is an aim
	}
	cost += r.way(s)
	return cost, left
}

// qualifies tells whether a store's data is known to be new enough, and whether it may well be: by its pace,
// or because it was not asked for as long as it needs to catch up.
func (r *Router) qualifies(s *store, q *request) (known, likely bool) {
	need := q.need
	if q.class.Read == ReadBounded {
		need = r.now - q.class.Bound
	}
	// A primary stood at the present when it said that it was one. It may have been replaced since, unheard,
	// but hardly between its report and the answer to a probe sent for this request.
	leads := s == r.primary(q.group) && (s.roleAt >= need || s.askedAt >= max(need, q.arrived) || !r.set.MayProbe)
	if need == never || leads || s.position >= need {
		return true, true
	}
	return false, s.position == never || r.now-s.placedAt > max(r.seekEach, s.placedAt-s.position) ||
		s.position+time.Duration(float64(r.now-s.positionAt)*s.pace) >= need
}

// primary is the group's primary by the latest evidence, or nil while none is known.
func (r *Router) primary(g *group) *store {
	var best *store
	for _, s := range g.members {
		if s.role == RolePrimary && (best == nil || s.roleAt > best.roleAt) {
			best = s
		}
	}
	return best
}

// elsewhere tells that a request goes to others: to the one that it needs, or to those that it has not tried.
func (q *request) elsewhere(s *store) bool {
	return q.only != "" && q.only != s.id || q.only == "" && len(q.tries) < len(q.group.members) && q.tried(s)
}

func (q *request) primaryOnly() bool { return q.class.Read == Write || q.class.Read == ReadFresh }

func (s *store) usable() bool { return s.listed() && s.health != down }

// listed tells whether the list lets it be used: where only draining binds, a store that vanished may be.
func (s *store) listed() bool { return !s.draining && (s.gone == 0 || s.soft) }

// choose finds the store for a request, or nil if it has to wait.
func (r *Router) choose(q *request) *store {
	if q.primaryOnly() {
		p := r.primary(q.group)
		if p != nil && p.usable() && r.room(p, q) && !r.ask(q, p) {
			return p
		}
		return nil
	}
	var best, next, sure *store
	least, second, known := math.Inf(1), math.Inf(1), math.Inf(1)
	for _, s := range q.group.members {
		if !s.usable() || q.elsewhere(s) || !r.room(s, q) {
			continue
		}
		is, may := r.qualifies(s, q)
		if !is && !may {
			continue
		}
		c, _ := r.cost(s, q)
		if !is { // a wrong guess costs a turn; where stores do not check, they are asked first
			c += (2 * r.set.Tick).Seconds() + r.price(q)
		}
		if (is || r.set.Behind != BehindAnswers) && c < known {
			sure, known = s, c
		}
		if c < least {
			next, second, best, least = best, least, s, c
		} else if c < second {
			next, second = s, c
		}
	}
	wait := best != nil && r.ask(q, best)
	if next != nil && second <= 2*least { // one that might turn out best
		wait = r.ask(q, next) || wait
	}
	if wait {
		return nil
	}
	if sure == nil && q.asked >= askMost && q.class.Read == ReadSession { // asked in vain those that cost least: the primary has it all
		if p := r.primary(q.group); p != nil && p.usable() {
			pause := r.seekEach
			if p.probeAt < q.arrived {
				pause = 0
			}
			r.probe(p, pause)
		}
	}
	return sure
}

func (r *Router) price(q *request) float64 { return r.set.PriceProbe * q.class.Aim.Seconds() }

// ask probes a store for a request and tells whether to wait for that: because its position must be known, or
// because what others seem to have waiting there costs more than a probe.
func (r *Router) ask(q *request, s *store) bool {
	is, _ := r.qualifies(s, q)
	n, _ := r.load(s)
	slow := q.work() / r.rateOf(s) * (1/share(n) - 1)
	if (is || r.set.Behind != BehindAnswers) &&
		(!r.loadTold || r.now-s.heardAt <= r.leastAim/4 || slow <= r.price(q)) || !r.set.MayProbe {
		return false
	}
	if !s.probing {
		if q.asked >= askMost {
			if s == r.primary(q.group) { // the answers told nothing, and nobody else may do
				r.probe(s, r.seekEach)
			}
			return false
		}
		q.asked++
		q.askUntil = r.now + askWait*r.set.Tick
		r.probe(s, 0)
	}
	return r.now < q.askUntil
}

// place sends a request if a store can take it now.
func (r *Router) place(q *request) bool {
	if r.spent(q) {
		return false
	}
	s := r.choose(q)
	if s == nil ||
		q.maybe && q.class.Effect == Keyed && q.class.Scope == ScopeZone && s.entry.Zone != q.maybeZone {
		return false // only the first's zone drops repeats
	}
	_, left := r.cost(s, q)
	a := &attempt{req: q, store: s, no: len(q.tries), sent: r.now, service: s.service}
	r.putIn(s, a)
	s.frozenShare, s.frozenUntil = left, r.now+freeze
	s.coldSpent += q.work()
	for _, o := range s.group.members {
		o.part -= o.part / (pickMemory * float64(len(s.group.members)))
	}
	s.part += 1 / (pickMemory * float64(len(s.group.members)))
	r.act(Action{Kind: Send, ID: q.id, Store: s.id, By: q.sendBy - r.set.Tick})
	return true
}
