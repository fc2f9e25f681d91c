package decide

// The module: every decision, table and tuned value.

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	beat         = 10 * time.Millisecond  // housekeeping step: a few ticks, well under any aim
	refreshEvery = time.Second            // interval of corrections, memory of others' load (DESIGN)
	stall        = 100 * time.Millisecond // a timer this late: we stood still; a failure: the way may be it
	freeze       = time.Second            // shares hold this long after a pick (DESIGN's start value)
	startWork    = 0.2                    // unheard class: work as part of its aim
	startRate    = 1.0                    // unheard kind of store: the unit of work
	width        = 4.0                    // requests served at full rate each: cores of a small server
	workGain     = 0.02                   // weight of one answer in a class's average: memory of 50
	hintMost     = 10.0                   // most that a work hint counts against its class's average
	rateMemory   = 4.0                    // answers' worth of trust in the old rate at each refresh
	rateMost     = 1e3                    // bound of any rate and its inverse
	rateStep     = 2.0                    // most that a rate moves in one refresh, as a factor
	minLeft      = 0.3                    // least remaining work, as part of the average
	crowdShare   = 0.25                   // full: an average request takes this part of the least aim
	fewRouters   = 8                      // up to so many, each knows most of what a store holds
	hearFrom     = 1.5                    // answer after this many times its work: met others' load
	tenantDepth  = 4.0                    // requests: least depth of a tenant's bucket
	crowdOwn     = 0.8                    // ...or, none of ours there, this part of the time left
	crowdRead    = 0.5                    // ...and a read no more than this part of the least aim
	silentJobs   = 8.0                    // silent: this many mean gaps without an answer...
	silentTurns  = 3.0                    // ...and this many mean request times
	flowMemory   = 5 * time.Second        // memory of this router's own flow of requests
	pickMemory   = 4.0                    // memory of where a group's requests went, in rounds of its members
	askMost      = 2                      // stores asked for one read: the best two tell most of it
	askWait      = 4                      // ticks that a read waits for what it asked
	othersLike   = 0.5                    // a guess counts at most as this part of our own, for each other
	trialJobs    = 3                      // requests at once on trial: one may be lost and prove nothing
	lostAfter    = 6.0                    // mislaid: an attempt has had this many times its work...
	lostLeast    = 3.0                    // ...or, where many are, fewer down to this...
	lostPassed   = 3                      // ...and this many later ones were answered before it
	lostMemory   = 300                    // attempts: memory of how many were lost
	repeatValue  = 0.2                    // a repeat's aim runs from its first try: mostly gone
	probeDown    = 200 * time.Millisecond // between probes of a store thought down
	probeSoon    = 4                      // probes that may fail before the pause grows
	probeMost    = 4                      // doublings of that while probes go on failing
	failMemory   = 4 * time.Second        // fading of that chance
	wayMemory    = 10 * time.Second       // fading of what the way to a zone was seen to take
	watchEach    = 20 * time.Millisecond  // of the list for one router's call: all in some seconds
	coldMargin   = 0.5                    // part of the fall budget to use: estimates are rough
	watchSoon    = 100 * time.Millisecond // before subscribing anew, plus jitter of the same...
	watchPause   = time.Second            // ...doubled up to this while it fails within as long
	outage       = time.Second            // refusing for this long means a restarted process
	sessionsKept = 20000                  // sessions in a generation of remembered commits
	goneKeep     = 30 * time.Second       // before a vanished store is forgotten
	dueMargin    = 2                      // ticks before a request's end at which it gets its answer
)

// New makes a router. The seed is its only source of randomness.
func New(set Settings, seed uint64) *Router {
	r := &Router{rng: rand.New(rand.NewPCG(seed, 0)), stores: map[StoreID]*store{}, groups: map[int]*group{},
		reqs: map[RequestID]*request{}, pools: map[int]float64{}, ways: map[int]way{},
		forgotten: never, wakeAt: never}
	r.tune(set)
	for _, c := range r.classes {
		r.work += c.work / float64(len(r.classes))
	}
	return r
}

// tune takes new settings. Classes keep their numbers and what was learned of them; one without an aim is not
// asked for any more. Requests under way keep the class that they came with.
func (r *Router) tune(set Settings) {
	old := r.classes
	for i := range r.tenants { // by the rates that were
		r.fill(i)
	}
	r.tenants = append(r.tenants, make([]tenant, len(set.Tenants))...)[:len(set.Tenants)]
	r.set, r.classes, r.leastAim = set, make([]class, len(set.Classes)), 0
	if r.set.Siblings, r.set.Processes = max(1, set.Siblings), max(1, set.Processes); !set.ColdTold {
		r.set.ColdPart = 1 / float64(r.set.Siblings)
	}
	r.set.MaxAttempts = max(1, set.MaxAttempts)
	for i, c := range set.Classes {
		c.KeyWindow = [...]time.Duration{Safe: math.MaxInt64 / 2, Keyed: c.KeyWindow, Unsafe: 0}[c.Effect]
		if r.classes[i].work = max(1e-3, startWork*c.Aim.Seconds()); i < len(old) {
			r.classes[i] = old[i]
		}
		if r.classes[i].Class = c; c.Aim > 0 && (r.leastAim == 0 || c.Aim < r.leastAim) {
			r.leastAim = c.Aim
		}
	}
	r.seekEach = max(r.leastAim/2, beat)
}

// Handle takes one event at time now and appends what is to be done to out.
func (r *Router) Handle(now Time, e Event, out []Action) []Action {
	r.now, r.out = max(now, r.now), out
	if r.refreshAt == 0 {
		r.flowAt, r.refreshAt, r.rewatchAt = r.now, r.now+refreshEvery, math.MaxInt64
		if r.set.AskList {
			r.rewatch(0, 0)
		}
	}
	if r.wakeAt != never && r.now-r.wakeAt > stall {
		// This router's own standstill must not count against stores: what was out has no measured time.
		// Where it might hurt: a store that died meanwhile is called silent a little later.
		r.wakeAt = r.now
		r.blurOpen()
	}
	switch e := e.(type) {
	case *Request:
		r.onRequest(e)
	case *Outcome:
		r.onOutcome(e)
	case *Expired:
		if q := r.reqs[e.ID]; q != nil {
			r.forget(q)
		}
	case *ProbeResult:
		r.onProbe(e)
	case *List:
		r.onList(e)
	case *Retune:
		r.tune(e.Settings)
	case *Timer:
		r.wakeAt = never
		r.onBeat()
	}
	if r.now >= r.rewatchAt {
		r.rewatchAt, r.watchedAt = math.MaxInt64, r.now
		r.act(Action{Kind: Subscribe})
	}
	// A timer only while something is open or due: hundreds of idle routers cost nothing.
	if r.wakeAt == never && (len(r.reqs) > 0 || r.open > 0 || r.rewatchAt < math.MaxInt64) {
		r.wakeAt = r.now + beat
		r.act(Action{Kind: SetTimer, At: r.wakeAt})
	}
	return r.out
}

// warmth is the part of its capacity that a store can be counted on for.
func (r *Router) warmth(s *store) float64 {
	age := r.now - s.coldFrom
	if r.set.ColdTime <= 0 || age >= r.set.ColdTime {
		return 1
	}
	return r.set.ColdFrom + (1-r.set.ColdFrom)*max(0, age.Seconds())/r.set.ColdTime.Seconds()
}

// base is a store's rate when warm: its kind's, taught by all answers, times its own, as one hears little.
func (r *Router) base(s *store) float64 { return r.pools[s.entry.Kind] * s.rel }

func (r *Router) turn(s *store) Time { return seconds(r.work / r.rateOf(s)) }

// rateOf is the rate for one request alone now. A cold store's old good rate would win every pick otherwise.
func (r *Router) rateOf(s *store) float64 { return r.base(s) * r.warmth(s) }

// share is the part of the rate for one alone that each of n requests gets there: about width/n beyond width,
// rounded at the corner because the number of cores is not told.
func share(n float64) float64 {
	x := n * n / (width * width)
	return 1 / math.Sqrt(math.Sqrt(1+x*x))
}

// fading is what is left, from 1 to 0, of something last heard of then.
func (r *Router) fading(at Time, memory time.Duration) float64 {
	return max(0, 1-(r.now-at).Seconds()/memory.Seconds())
}

// load is the number of requests at a store, ours but for those thought lost, and others': what was told of
// them fades towards a guess, as many routers that each see an idle store would crowd it together. A guess
// may steer, but not refuse: by evidence, it counts no more than if each other had as many there as this one.
func (r *Router) load(s *store) (likely, evident float64) {
	own := float64(len(s.open) - s.lost)
	fresh := r.fading(s.heardAt, 2*refreshEvery)
	guess := (1 - fresh) * r.guess(s)
	own += s.told * fresh
	return own + guess, own + min(guess, othersLike*float64((len(s.open)-s.lost)*(r.set.Siblings-1)))
}

// advance moves a store's virtual service up to now; call it before its load changes.
func (r *Router) advance(s *store) {
	if dt := (r.now - s.serviceAt).Seconds(); dt > 0 {
		n, _ := r.load(s)
		s.service += dt * share(n) * r.warmth(s)
	}
	s.serviceAt = r.now
}

// guess is what the others are taken to have in flight at a store: each as much as this one on average. One
// that seldom has a request out so goes round the members at the pace of their rates, from its own place.
func (r *Router) guess(s *store) float64 {
	n := float64(r.set.Siblings-1) * r.flow / float64(max(1, len(r.gorder))) * s.part * r.work / r.rateOf(s)
	use := min(0.95, n/width)
	return n / (1 - use*use) // and what waits there, which grows with use
}

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

// way is the time that probes into the store's zone took lately. A slow way must not be taken for slow or
// dead stores: they are well in their own zone, and a primary there still takes writes.
func (r *Router) way(s *store) float64 {
	return r.ways[s.entry.Zone].slow * r.fading(r.ways[s.entry.Zone].at, wayMemory)
}

// wayTook notes the time of a probe or a failed connection, and tells whether the way may explain a failure.
func (r *Router) wayTook(s *store, took Time) bool {
	r.ways[s.entry.Zone] = way{(r.way(s) + took.Seconds()) / 2, r.now}
	return s.entry.Zone != r.set.Zone && took >= stall
}

// failing is the chance that a store answers a request with a failure: from its last answers, fading.
func (r *Router) failing(s *store) float64 {
	return s.fails * r.fading(s.failedAt, failMemory)
}

// room tells whether a store can take one more: without making requests there too slow for the least aim, or,
// where none is ours, this one. What finds no room waits here and can still go to whichever frees first.
func (r *Router) room(s *store, q *request) bool {
	if r.now < s.fullUntil || s.health == onTrial && len(s.open)-s.lost >= trialJobs {
		return false
	}
	_, n := r.load(s)
	n, warm := n+1, r.warmth(s)
	if warm < 1 && !r.coldRoom(s, q) {
		return false
	}
	if n <= width*warm {
		return true
	}
	rate := r.rateOf(s) * share(n)
	return len(s.open) == 0 && q.work()/rate <= crowdOwn*(q.aim-r.now).Seconds() &&
		(q.primaryOnly() || fewRouters >= r.set.Siblings || r.work/rate <= crowdRead*r.leastAim.Seconds()) ||
		r.work/rate <= crowdShare*r.leastAim.Seconds()
}

// work is the request's expected work: its class's average, by its hint where it came with one.
func (q *request) work() float64 { return q.class.work * q.size }

// flowed counts n more requests and brings up to date this router's flow of them a second, a fading memory.
func (r *Router) flowed(n float64) {
	dt := (r.now - r.flowAt).Seconds()
	keep := math.Exp(-dt / flowMemory.Seconds())
	r.sends, r.flowSpan, r.flowAt = r.sends*keep+n, r.flowSpan*keep+dt, r.now
	r.flow = r.sends / max(r.flowSpan, 1)
}

// coldRoom keeps the fall rule: this router's part of the budget of all, as a leaky bucket of half a span.
// Where that is less than a request, chance lets through what all together may send of what they are asked
// for: buckets would hold credit where nothing is asked, and writes would wait at an idle cold primary.
func (r *Router) coldRoom(s *store, q *request) bool {
	if r.set.FallMultiple <= 0 || r.set.FallSpan <= 0 {
		return true
	}
	part := coldMargin * r.set.FallMultiple * r.rateOf(s) * width * r.set.ColdPart / float64(r.set.Processes)
	depth := part/2*r.set.FallSpan.Seconds() - q.work()
	if depth < 0 {
		return q.luck*r.flow/float64(max(1, len(r.gorder)))*r.work < part
	}
	s.coldSpent = max(0, s.coldSpent-part/2*(r.now-s.coldSpentAt).Seconds())
	s.coldSpentAt = r.now
	return s.coldSpent <= depth
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
	leads := s == r.primary(q.group) && (s.roleAt >= need || s.placedAt >= q.arrived || !r.set.MayProbe)
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
	if q.only != "" {
		return q.only != s.id
	}
	return len(q.tries) < len(q.group.members) && q.tried(s)
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

// spent tells that a request may not be sent again. One that may have run could otherwise apply twice:
// an unsafe one at any time, a keyed one once its servers may have forgotten it.
func (r *Router) spent(q *request) bool {
	return len(q.tries) >= r.set.MaxAttempts || q.open > 0 && !r.set.MayDuplicate ||
		r.now+r.set.Tick >= q.sendBy
}

func (q *request) mayHaveRun(a *attempt, s *store) {
	if !q.maybe || a.sent < q.maybeAt {
		q.maybe, q.maybeAt, q.maybeZone, q.sendBy = true, a.sent, s.entry.Zone, a.sent+q.class.KeyWindow
	}
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

func (r *Router) onRequest(e *Request) {
	if r.reqs[e.ID] != nil {
		return
	}
	if e.Class < 0 || e.Class >= len(r.classes) || e.Due <= r.now {
		r.act(Action{Kind: Refuse, ID: e.ID})
		return
	}
	c := &r.classes[e.Class]
	if r.groups[e.Group] == nil && len(r.stores) > 0 { // nor does it leave a trace
		r.act(Action{Kind: Refuse, ID: e.ID, Wait: min(r.set.MaxRetryAfter, c.Aim)})
		return
	}
	q := &request{id: e.ID, class: c, group: r.groupOf(e.Group), arrived: r.now, due: e.Due,
		aim: min(e.Due, r.now+c.Aim), need: never, session: e.Session, only: e.Only, sendBy: math.MaxInt64,
		value: max(c.Worth, 1e-6), size: 1}
	if e.RanAt > 0 && c.Effect == Keyed { // another with its key may have run
		q.maybe, q.maybeAt, q.sendBy = true, e.RanAt, e.RanAt+c.KeyWindow
	}
	if q.last = q.aim; c.LateWorth > 0 {
		q.last = q.due
	}
	if c.Read == ReadSession {
		if r.set.KeptTokens {
			t, ok := r.commits[e.Session]
			if q.need = t; !ok {
				q.need = r.forgotten
			}
		} else if e.SinceOwn > 0 {
			q.need = r.now - e.SinceOwn
		}
	}
	if e.Tenant >= 0 && e.Tenant < len(r.tenants) && r.set.Tenants[e.Tenant].Allowance > 0 {
		if t := r.fill(e.Tenant); t.tokens >= 1 {
			t.tokens--
		} else if r.set.Tenants[e.Tenant].Hard {
			wait := seconds((1 - t.tokens) / max(t.rate, 1e-3))
			r.act(Action{Kind: Refuse, ID: e.ID, Wait: min(r.set.MaxRetryAfter, wait)})
			return
		} else {
			q.value = max(q.value*r.set.OverShareWorth, 1e-6)
		}
	}
	if e.Repeat {
		q.value *= repeatValue
	}
	if hint := e.Work.Seconds(); hint > 0 { // it tells how this request compares with its class
		c.hint += max(workGain, 1/(c.hints+1)) * (hint - c.hint)
		c.hints++
		q.size = min(hintMost, hint/c.hint)
	}
	q.luck = r.rng.Float64()
	r.flowed(1)
	r.reqs[q.id] = q
	r.tend(q.group)
	if len(q.group.held) > 0 || !r.place(q) {
		q.group.held = append(q.group.held, q)
		r.pump(q.group)
	}
}

// fill brings a tenant's bucket up to now: a second of this part, as clumps are no excess, or as was told.
func (r *Router) fill(i int) *tenant {
	t, a := &r.tenants[i], r.set.Tenants[i]
	if !a.Told {
		a.Own = a.Allowance / float64(r.set.Siblings)
		a.Depth = max(a.Own, tenantDepth)
	}
	t.tokens = min(a.Depth, t.tokens+a.Own*(r.now-t.at).Seconds())
	t.at, t.rate = r.now, a.Own
	return t
}

// closing tells that a request must have its answer before the next beat. One that no server has seen has
// half its time: a client told by then can still ask again, while one kept to the end for nothing cannot.
func (r *Router) closing(q *request) bool {
	end := q.due
	if !q.reached && q.open == 0 {
		end = q.arrived + (q.due-q.arrived)/2
	}
	return r.now+beat+dueMargin*r.set.Tick >= end
}

// urgency orders held requests: worth for each unit of work, less once only late worth is left.
func (r *Router) urgency(q *request) float64 {
	if r.now > q.aim {
		return q.value * q.class.LateWorth / q.work()
	}
	return q.value / q.work()
}

// pump sends what can be sent of a group's held requests, dearest first, and gives up what has no use.
func (r *Router) pump(g *group) {
	slices.SortStableFunc(g.held, func(a, b *request) int {
		// Newest first: under overload the oldest would each be served just too late.
		return cmp.Or(cmp.Compare(r.urgency(b), r.urgency(a)), cmp.Compare(b.arrived, a.arrived))
	})
	kept, queue := g.held[:0:0], g.held
	g.held = nil
	for _, q := range queue {
		switch over := r.closing(q) || r.spent(q) || r.now+r.soonest(q) > q.last; {
		case q.finished:
		case over && q.open == 0:
			r.finish(q)
		case !over && !r.place(q):
			kept = append(kept, q)
		}
	}
	g.held = append(kept, g.held...)
}

// soonest is the time that an answer takes where it comes soonest, as loaded as that store is.
func (r *Router) soonest(q *request) Time {
	if c := q.class; c.soonAt != r.now || c.soonFor != q.group {
		best := never
		for _, s := range q.group.members {
			_, n := r.load(s)
			t := seconds(c.work / (r.rateOf(s) * share(n)))
			if s.usable() && (best == never || t < best) {
				best = t
			}
		}
		c.soon, c.soonAt, c.soonFor = max(0, best), r.now, q.group
	}
	return seconds(q.class.soon.Seconds() * q.size)
}

// finish gives the final answer: refused where trying again is harmless, else failed. What found no room is
// to stay away for long: soon again it would be late, and in the way of what is not.
func (r *Router) finish(q *request) {
	if q.class.Effect == Safe || !q.maybe && q.open == 0 ||
		q.class.Effect == Keyed && q.class.Scope == ScopeAll {
		r.act(Action{Kind: Refuse, ID: q.id, Wait: r.set.MaxRetryAfter})
	} else {
		r.act(Action{Kind: Fail, ID: q.id})
	}
	r.forget(q)
}

// forget drops a request. Its open attempts are called off: what still waits at a store is spared.
func (r *Router) forget(q *request) {
	q.finished = true
	delete(r.reqs, q.id)
	for _, a := range q.tries {
		if r.set.MayCancel && !a.over {
			r.act(Action{Kind: Cancel, ID: q.id, Attempt: a.no})
		}
	}
}

func (r *Router) onOutcome(e *Outcome) {
	s := r.stores[e.Store]
	if s == nil {
		return
	}
	r.advance(s)
	a, older := r.takeOut(s, e.ID, e.Attempt)
	if a == nil {
		return
	}
	q := a.req
	r.countLost(s, a, e.Result)
	q.reached = q.reached || e.Result != Unreachable && e.Result != Skipped
	r.learn(s, e.Told, r.now)
	r.learn(s, e.Load, e.Load.Position)
	switch e.Result {
	case OK:
		c := q.class
		if !a.blurred {
			got, took := s.service-a.service, (r.now - a.sent).Seconds()
			onTheWay := min(r.way(s), took/2)
			got, took = got*(1-onTheWay/max(took, 1e-9)), took-onTheWay
			if r.loaded(s, width*(took*r.rateOf(s)/q.work()-hearFrom)) {
				n, _ := r.load(s)
				got = min(got, took*share(n)*r.warmth(s))
			}
			s.want += q.work()
			s.got += got
			if r.warmth(s) == 1 { // how cold a store is, is known roughly: it proves little
				c.n++
				c.work += max(workGain, 1/(c.n+8)) * (got*r.base(s)*c.work/q.work() - c.work)
				c.work = max(c.work, 1e-3)
				r.work += max(workGain, 1/(r.answers+8)) * (c.work - r.work)
				r.answers++
			}
		}
		s.fails, s.failedAt = r.failing(s)/2, r.now
		for _, o := range s.open[:older] {
			o.passed++
		}
		r.alive(s, a)
		if q.class.Read == Write && r.set.KeptTokens && e.Told.HasPosition {
			r.remember(q.session, e.Told.Position)
		}
	case Missed:
		r.alive(s, a)
		if q.primaryOnly() && e.Told.Role != RolePrimary {
			s.role, s.roleAt = RoleReplica, r.now
		} else {
			s.pace /= 2 // it is further behind than guessed
		}
	case Full, Unreachable, Failed, Reset:
		// No proof that the store is down, as answers may be lost one by one: it costs more for a while. It
		// is left alone for a turn, but not after a first failure: nothing else may serve.
		if e.Result == Unreachable && !r.wayTook(s, r.now-a.sent) && r.now-a.sent < stall {
			r.refused(s)
		} else if e.Result == Unreachable { // not refused at once: a probe tells whether it lives
			r.probe(s, probeDown)
		}
		if e.Result == Full {
			r.alive(s, a)
			r.loaded(s, 2*width*q.class.Aim.Seconds()*r.rateOf(s)/q.work())
		}
		s.fails, s.failedAt = (r.failing(s)+1)/2, r.now
		if e.Result == Full || e.Result == Failed && s.fails > 0.5 {
			s.fullUntil = r.now + r.turn(s)
		}
	}
	q.asked = 0
	if e.Result == Failed || e.Result == TimedOut || e.Result == Reset || e.Result == Cancelled {
		q.mayHaveRun(a, s)
	}
	if e.Final {
		r.forget(q)
	}
	if e.Result != OK && !q.finished && q.open == 0 && !slices.Contains(q.group.held, q) {
		q.group.held = append(q.group.held, q)
	}
	r.pump(s.group)
}

// loaded takes an answer as evidence of so many requests met there, unless our own explain them. Without it,
// hundreds of routers with nothing there go on feeding a queue full of what will be late.
func (r *Router) loaded(s *store, met float64) bool {
	n, _ := r.load(s)
	if fewRouters*(len(s.open)+1) >= r.set.Siblings || met <= n {
		return false
	}
	s.told, s.heardAt = (n+met)/2, r.now
	return true
}

// remember keeps a session's last commit. One dropped counts as written as late as any that was.
func (r *Router) remember(session string, at Time) {
	if r.commits == nil || len(r.commits) >= sessionsKept {
		for _, t := range r.commits {
			r.forgotten = max(r.forgotten, t)
		}
		r.commits = map[string]Time{}
	}
	r.commits[session] = max(at, r.commits[session])
}

// learn takes a role and a position; at is the time of the role's evidence.
func (r *Router) learn(s *store, t Report, at Time) {
	if t.HasPosition {
		s.placedAt = r.now
	}
	if t.HasPosition && t.Position > s.position && t.Position <= r.now {
		if s.position != never && r.now-s.positionAt > 0 {
			p := float64(t.Position-s.position) / float64(r.now-s.positionAt)
			s.pace += 0.3 * (min(1, p) - s.pace)
		}
		s.position, s.positionAt = t.Position, r.now
	}
	if t.Role != RoleUnknown && at >= s.roleAt {
		s.role, s.roleAt = t.Role, at
	}
	if t.HasHeld {
		r.advance(s)
		s.told, s.heardAt, r.loadTold = max(0, t.Held-float64(len(s.open))), r.now, true
	}
}

// alive notes an answer to an attempt. One sent before the store was found bad shows only that it lived.
func (r *Router) alive(s *store, a *attempt) {
	s.answered = r.now
	if a.sent >= s.badAt || s.refusedSince == 0 {
		r.well(s)
	} else {
		s.refusedSince = r.now
	}
}

// well takes a store back. One that refused connections for a while probably restarted and is cold.
func (r *Router) well(s *store) {
	if s.health == down && s.refusedSince != 0 && r.now-s.refusedSince >= outage {
		s.coldFrom = max(s.coldFrom, r.now)
	}
	s.refusedSince, s.probeFails, s.health = 0, 0, healthy
}

// bad takes a store out of the candidates.
func (r *Router) bad(s *store) {
	if s.health != down {
		r.act(Action{Kind: Log, Text: "store " + string(s.id) + " down"})
	}
	s.health, s.badAt = down, r.now
}

// refused notes a connection that was refused or broke. Connections to healthy stores break too: only a
// second one with no answer between takes the store out. A probe asks meanwhile.
func (r *Router) refused(s *store) {
	if s.refusedSince != 0 || s.health != healthy {
		r.bad(s)
	}
	if s.refusedSince == 0 {
		s.refusedSince = r.now
	}
}

// silent tells whether a store left requests unanswered for longer than chance explains. Probes do not count.
func (r *Router) silent(s *store) bool {
	first, n, longest := r.now, 0.0, r.work
	for _, a := range s.open {
		if a.passed == 0 && !a.lost { // one overtaken tells of itself, not of the store
			first, n, longest = min(first, a.sent), n+1, max(longest, a.req.work())
		}
	}
	load, _ := r.load(s)
	turn := longest / (r.rateOf(s) * share(load))
	limit := turn*(silentTurns+silentJobs/min(width, n)) + r.way(s)
	return n > 0 && (r.now-max(s.answered, first)).Seconds() > limit
}

func (r *Router) onProbe(e *ProbeResult) {
	s := r.stores[e.Store]
	if s == nil {
		return
	}
	slow := s.probing && r.wayTook(s, r.now-s.probeAt)
	s.probing = false
	if e.Result == Full || e.Result == Failed || e.Result != OK && slow {
		return // an answer that tells nothing: it neither takes a store out nor back
	}
	if e.Result != OK {
		s.probeFails++
		if e.Result == Unreachable || e.Result == Reset {
			r.refused(s)
		} else {
			r.bad(s)
		}
		return
	}
	s.probeFails = 0
	r.learn(s, e.Load, e.Load.Position) // a primary stands at the present: its position is the report's time
	if s.health == down {
		// Reached, but beside its queue: requests have to prove it. What it held may be gone, and is no load.
		r.well(s)
		s.health = onTrial
		s.loseOpen()
	}
	s.refusedSince = 0
	r.pump(s.group)
}

func (r *Router) onList(e *List) {
	if e.Kind == ListFailed {
		if r.watchFails++; r.now-r.watchedAt >= watchPause { // it had held
			r.watchFails = 0
		}
		pause := min(watchPause, watchSoon<<min(r.watchFails, 9))
		r.rewatch(pause, pause)
		return
	}
	named := map[StoreID]bool{}
	for _, n := range e.Entries {
		named[n.Store] = true
		s := r.stores[n.Store]
		if s == nil {
			if n.State == Gone {
				continue
			}
			s = r.newStore(n.Store, r.groupOf(n.Group))
			s.soft, s.part = r.set.DrainOnly, r.rng.Float64() // each goes round from a place of its own
			if r.listed {
				s.part = 0
				if r.set.MayProbe {
					s.health = down // it may not exist: a probe comes before any request
				}
				if e.Kind == ListChanges {
					s.coldFrom = max(s.coldFrom, r.now) // a new machine starts cold, whatever its entry says
				}
			}
		}
		if n.Started > 0 && n.Started > s.entry.Started {
			s.coldFrom = max(s.coldFrom, n.Started)
		}
		if r.set.ListShowsRole && n.Primary && s.role == RoleUnknown {
			s.role, s.roleAt = RolePrimary, never+1
		}
		if n.State == Gone { // what drained before stays barred by that
			s.gone = max(r.now, 1)
			continue
		}
		s.entry, s.gone, s.draining = n, 0, n.State == Draining
		if r.pools[n.Kind] == 0 {
			r.pools[n.Kind] = startRate
		}
	}
	for _, s := range r.order {
		if e.Kind != ListChanges && !named[s.id] && s.gone == 0 {
			s.gone = max(r.now, 1)
		}
	}
	r.listed = true
	for _, g := range r.gorder {
		r.pump(g)
	}
}

// rewatch subscribes after a pause, each router at a time of its own: the list answers one after the other.
func (r *Router) rewatch(pause, jitter time.Duration) {
	spread := jitter + watchEach*time.Duration(r.set.Siblings-1)
	r.rewatchAt = r.now + pause + time.Duration(r.rng.Float64()*float64(spread))
}

// probe asks a store how it is, unless it was asked within pause.
func (r *Router) probe(s *store, pause time.Duration) {
	if !r.set.MayProbe || s.probing || !s.listed() || s.probeAt != never && r.now-s.probeAt < pause {
		return
	}
	s.probing, s.probeAt = true, r.now
	r.act(Action{Kind: Probe, Store: s.id})
}

// tend finds silent stores of a busy group, and probes those that are down, or all while a write waits for a
// primary. What nobody asks for is not probed: probes have a price, times all routers.
func (r *Router) tend(g *group) {
	p := r.primary(g)
	seek := (p == nil || !p.usable()) && slices.ContainsFunc(g.held, (*request).primaryOnly)
	for _, s := range g.members {
		r.advance(s)
		if s.health != down && r.silent(s) {
			r.bad(s)
		}
		if s.health == down {
			r.probe(s, probeDown<<min(max(0, s.probeFails-probeSoon), probeMost))
		} else if s.refusedSince != 0 {
			r.probe(s, beat)
		} else if seek {
			r.probe(s, r.seekEach)
		}
	}
}

func (r *Router) onBeat() {
	if r.now >= r.refreshAt {
		r.refresh()
	}
	for _, g := range r.gorder {
		if len(g.held) == 0 && !slices.ContainsFunc(g.members, (*store).isBusy) {
			continue
		}
		r.tend(g)
		r.rescue(g)
		r.pump(g)
	}
}

// rescue frees requests from silent stores and from attempts mislaid, which had several times their work as
// later ones were answered: by a second copy, or by calling the first off; nothing unsafe. They are no load.
func (r *Router) rescue(g *group) {
	for _, s := range g.members {
		for _, a := range slices.Clone(s.open) {
			q := a.req
			if !q.finished && r.closing(q) {
				r.finish(q)
			}
			if !a.lost && a.passed >= lostPassed && r.had(s, a) > r.patience(g) {
				a.lost = true
				s.lost++
			}
			if s.health != down && !a.lost || a.rescued || q.finished || q.class.Effect == Unsafe ||
				q.open != 1 || r.now+r.soonest(q) > q.last {
				continue
			}
			q.mayHaveRun(a, s)
			if r.set.MayDuplicate {
				a.rescued = r.place(q)
			} else if r.set.MayCancel && r.choose(q) != nil {
				a.rescued = true
				r.act(Action{Kind: Cancel, ID: q.id, Attempt: a.no})
			}
		}
	}
}

// had is the service that an attempt has had, in times its expected work.
func (r *Router) had(s *store, a *attempt) float64 {
	return (s.service - a.service) * r.base(s) / a.req.work()
}

// patience is what an attempt that others overtook may have had before it is taken for lost: about exp(-x)
// have more than x times their work; where that is less than the part that is lost, lost is likelier.
func (r *Router) patience(g *group) float64 {
	if len(g.held) > 0 { // copies would be at others' expense
		return lostAfter
	}
	return min(lostAfter, max(lostLeast, -math.Log(r.losing)))
}

// countLost counts an attempt that ended towards the part that is lost. One called off early may be slow.
func (r *Router) countLost(s *store, a *attempt, res Result) {
	lost := 0.0
	switch {
	case res == Unreachable || res == Skipped || res == Reset,
		(res == Cancelled || res == TimedOut) && (a.passed < lostPassed || !a.lost):
		return
	case res == Cancelled || res == TimedOut:
		if lost = 0.5; r.had(s, a) > lostAfter {
			lost = 1
		}
	}
	r.losing += (lost - r.losing) / lostMemory
}

// refresh corrects rates from the last interval's answers: each kind's, then each store's. Requests out for
// more than their work count, or a stopped store kept its rate; not if overtaken: lost answers slow no store.
func (r *Router) refresh() {
	r.refreshAt = r.now + refreshEvery
	r.flowed(0)
	trust := rateMemory * r.work
	step := func(want, got float64) float64 {
		return min(rateStep, max(1/rateStep, (want+trust)/(got+trust)))
	}
	kinds := map[int][2]float64{} // want, got
	for _, s := range r.order {
		r.advance(s)
		rate := r.base(s)
		for _, a := range s.open {
			over := s.service - a.service
			if a.passed == 0 && !a.lost && !a.blurred && over*rate > a.req.work() {
				s.got += over - a.req.work()/rate
			}
		}
		s.got *= rate // from here on in work at its present rate
		if r.warmth(s) == 1 && (s.want > 0 || s.got > 0) {
			k := kinds[s.entry.Kind]
			kinds[s.entry.Kind] = [2]float64{k[0] + s.want, k[1] + s.got}
		}
	}
	for _, s := range r.order {
		if s.want > 0 || s.got > 0 {
			f := step(kinds[s.entry.Kind][0], kinds[s.entry.Kind][1])
			x := step(s.want, s.got*f)
			if r.warmth(s) < 1 { // one that started sooner than we heard seems fast
				x = min(1, x)
			}
			s.rel = min(rateMost, max(1/rateMost, s.rel*x))
		}
		s.want, s.got = 0, 0
	}
	for kind, k := range kinds { // each on its own: the order does not matter
		r.pools[kind] = min(rateMost, max(1/rateMost, r.pools[kind]*step(k[0], k[1])))
	}
	// Stores that left, have not answered since for a while, and hold nothing of ours are forgotten.
	r.order = slices.DeleteFunc(r.order, func(s *store) bool {
		if s.gone == 0 || r.now-max(s.gone, s.answered) < goneKeep || len(s.open) > 0 {
			return false
		}
		r.drop(s)
		return true
	})
}
