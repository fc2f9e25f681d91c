package decide

// Invariants of the router under any input, checked against separate records of its events and actions (see internal/invariant). Nothing is
// decided here, and without a checker nothing is done.

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"beechgrade/internal/invariant"
)

// EnableChecks has the router's invariants checked from its beginning on: those of an event with each event, and a walk over all state every so
// many events.
func (r *Router) EnableChecks(c *invariant.Checks, every int) {
	if r.checker = nil; c.On() {
		r.checker = &checker{checks: c, walkInterval: every, servers: map[ServerID]*serverView{}, requests: map[RequestID]*requestView{}, openByClass: map[int]int{}, openByTenant: map[int]int{}}
	}
}

// checkEvent checks an event that has been handled; before is the number of earlier actions in the output.
func (r *Router) checkEvent(ev Event, before int) {
	if r.checker != nil {
		r.checker.observe(r, ev, r.actions[before:])
	}
}

// InFlight returns the number of requests that are owed an answer, and of attempts in flight.
func (r *Router) InFlight() (requests, attempts int) { return len(r.requests), r.openAttempts }

// checker is what follows from a router's events and actions alone.
type checker struct {
	checks            *invariant.Checks
	walkInterval      int
	eventsSinceWalk   int
	servers           map[ServerID]*serverView
	requests          map[RequestID]*requestView // until they are over and none of their attempts is in flight
	openByClass       map[int]int                // attempts out
	openByTenant      map[int]int
	openAttempts      int
	duplicatesByGroup map[int]*duplicateCounts // by group
}

// serverView is what was reported of a server, and by it.
type serverView struct {
	draining, removed  bool
	position           Time // the newest that it reported
	primaryAt          Time // when it last was the primary for certain
	primaryNotDeniedAt Time // when the last question was sent whose answer did not deny that it is the primary
	healthCheckedAt    Time // when the last probe was sent
	openAttempts       int
	slowStartSends     []budgetedSend // work sent while it was cold, within the last span of the fall rule
}

// budgetedSend is work that was sent to a cold server, and its budget then.
type budgetedSend struct {
	at           Time
	work, budget float64
}

// requestView is what follows of a request.
type requestView struct {
	class, tenant int
	ended         bool
	mayHaveRun    bool // an attempt that ended may have run
	openAttempts  map[int]attemptView
	attempts      int
}

// attemptView is an attempt in flight.
type attemptView struct {
	server ServerID
	sentAt Time
}

func (w *checker) server(id ServerID) *serverView {
	s := w.servers[id]
	if s == nil {
		s = &serverView{position: never, primaryAt: never, primaryNotDeniedAt: never, healthCheckedAt: never}
		w.servers[id] = s
	}
	return s
}

func (w *checker) observe(r *Router, ev Event, out []Action) {
	switch e := ev.(type) {
	case *Request:
		if w.requests[e.ID] == nil {
			w.requests[e.ID] = &requestView{class: e.Class, tenant: e.Tenant, openAttempts: map[int]attemptView{}}
		}
	case *Outcome:
		w.onOutcome(r, e)
	case *Abandoned:
		w.end(e.ID)
	case *HealthCheckResult:
		if s := w.servers[e.Server]; s != nil {
			s.report(r, e.Server, e.Load, s.healthCheckedAt)
		}
	case *EndpointList:
		w.onEndpointList(e)
	}
	for i := range out {
		w.onAction(r, &out[i])
	}
	w.checks.Walk(&w.eventsSinceWalk, w.walkInterval, "decide: the walk", func(*invariant.Checks) { w.walk(r, ev) })
}

// report takes a server's report in answer to what was sent at that time. A primary's position is the time of its report.
func (s *serverView) report(r *Router, id ServerID, report Report, sent Time) {
	at := r.ToLocalTime(id, report.Position)
	if report.HasPosition && at <= r.now {
		s.position = max(s.position, report.Position)
	}
	if report.Role == RolePrimary || report.Role == RoleUnknown && report.HasPosition { // where the list alone has roles, a report may have none
		s.primaryNotDeniedAt = max(s.primaryNotDeniedAt, sent)
	}
	if report.Role == RolePrimary {
		if report.HasPosition {
			sent = min(at, r.now)
		}
		s.primaryAt = max(s.primaryAt, sent)
	}
}

func (w *checker) onOutcome(r *Router, ev *Outcome) {
	a := w.requests[ev.ID]
	if a == nil {
		return
	}
	if t, ok := a.openAttempts[ev.Attempt]; ok && t.server == ev.Server {
		s := w.server(ev.Server)
		s.report(r, ev.Server, ev.Reported, t.sentAt)
		if ev.Reported.Role == RolePrimary { // reported after it was sent, whatever its clock says
			s.primaryAt = max(s.primaryAt, t.sentAt)
		}
		if ev.Load.HasPosition {
			s.report(r, ev.Server, ev.Load, never)
		}
		delete(a.openAttempts, ev.Attempt)
		a.mayHaveRun = a.mayHaveRun || mayHaveRun(ev.Result)
		w.count(a, s, -1)
	}
	if ev.Final {
		a.ended = true
	}
	w.forgetEnded(ev.ID, a)
}

func (w *checker) count(a *requestView, s *serverView, n int) {
	s.openAttempts += n
	w.openAttempts += n
	w.openByClass[a.class] += n
	w.openByTenant[a.tenant] += n
}

func (w *checker) end(id RequestID) {
	if a := w.requests[id]; a != nil {
		a.ended = true
		w.forgetEnded(id, a)
	}
}

func (w *checker) forgetEnded(id RequestID, a *requestView) {
	if a.ended && len(a.openAttempts) == 0 {
		delete(w.requests, id)
	}
}

func (w *checker) onEndpointList(ev *EndpointList) {
	if ev.Kind == ListFailed {
		return
	}
	named := map[ServerID]bool{}
	for _, entry := range ev.Endpoints {
		named[entry.Server] = true
		if entry.State == Removed {
			if s := w.servers[entry.Server]; s != nil {
				s.removed = true
			}
			continue
		}
		s := w.server(entry.Server)
		s.removed, s.draining = false, entry.State == Draining
	}
	for id, s := range w.servers {
		s.removed = s.removed || ev.Kind != ListChanges && !named[id]
	}
}

func (w *checker) onAction(r *Router, a *Action) {
	switch a.Kind {
	case Send:
		w.onSend(r, a)
	case Reject, Fail:
		view := w.requests[a.ID]
		w.checks.That(view != nil && !view.ended, "decide: each request has one final answer", func() string {
			return fmt.Sprintf("%x gets another by %+v", a.ID, *a)
		})
		w.end(a.ID)
	case Cancel:
		view := w.requests[a.ID]
		ok := view != nil
		if ok {
			_, ok = view.openAttempts[a.Attempt]
		}
		w.checks.That(ok, "decide: only what is out is called off", func() string { return fmt.Sprintf("%+v", *a) })
	case HealthCheck:
		s := w.servers[a.Server]
		w.checks.That(s != nil, "decide: only what was listed is probed", func() string { return fmt.Sprintf("%+v", *a) })
		if s != nil {
			s.healthCheckedAt = r.now
			w.checkAvailable(r, a, s)
		}
	}
}

// checkAvailable states that nothing goes to a server that drains or is gone; with DrainOnly, one that left the list may be used.
func (w *checker) checkAvailable(r *Router, a *Action, s *serverView) {
	w.checks.That(!s.draining && (!s.removed || r.settings.DrainOnly), "decide: nothing goes to a store that drains or is gone", func() string {
		return fmt.Sprintf("%s: drains %v, gone %v; %+v", a.Server, s.draining, s.removed, *a)
	})
}

func (w *checker) onSend(r *Router, a *Action) {
	s, req, view := w.servers[a.Server], r.requestOf(a), w.requests[a.ID]
	w.checks.That(s != nil && req != nil && view != nil && !view.ended, "decide: only what is not over is sent, to what was listed", func() string {
		return fmt.Sprintf("%+v: store %+v, request %+v", *a, s, view)
	})
	if s == nil || req == nil || view == nil {
		return
	}
	w.checkAvailable(r, a, s)
	w.checkPosition(r, a, s, req)
	w.checkSlowStart(r, a, s, req)
	w.checkDuplicates(r, req, view)
	view.openAttempts[view.attempts] = attemptView{server: a.Server, sentAt: r.now}
	view.attempts++
	w.count(view, s, 1)
	most := max(1, r.settings.MaxAttempts)
	w.checks.That(view.attempts <= most, "decide: no more attempts than may be", func() string { return fmt.Sprintf("%d of %d: %+v", view.attempts, most, *a) })
	w.checks.That(req.class.Idempotency != NotIdempotent || len(view.openAttempts) == 1, "decide: what must not run twice is out once", func() string {
		return fmt.Sprintf("%+v: out %v", *a, view.openAttempts)
	})
}

// requestOf returns the request of a Send, which may be over by the end of the event.
func (r *Router) requestOf(a *Action) *request {
	if s := r.servers[a.Server]; s != nil {
		for _, t := range s.openAttempts {
			if t.request.id == a.ID {
				return t.request
			}
		}
	}
	return nil
}

// checkPosition states that the server of a read has data that is new enough by its own report, dated by the report or else by the time
// of the question: not by when the answer was read, which may be long after. A primary's report may be older than a probe for this read
// alone: it may have been replaced since, but hardly between its report and its answer (see qualifies).
func (w *checker) checkPosition(r *Router, a *Action, s *serverView, req *request) {
	need := req.requiredPosition
	if req.class.Read == ReadBounded {
		need = r.serverClockNow(req.group) - req.class.MaxStaleness
	}
	if req.primaryOnly() || need == never || r.settings.StaleReads != StaleReadsAnswered || !r.settings.MayCheckHealth {
		return
	}
	ahead := req.group.clock.ahead
	w.checks.That(s.position >= need || s.primaryAt+ahead >= need || s.primaryNotDeniedAt >= max(need-ahead, req.arrivedAt) && r.servers[a.Server].role == RolePrimary, "decide: a read goes where its position is covered", func() string {
		o := r.servers[a.Server]
		ago := func(t Time) time.Duration { return r.now - t }
		return fmt.Sprintf("%s for %x, which came %v ago and needs %v ago (bound %v): it said to be at %v ago and to lead %v ago, when asked %v ago; the router has position %v ago, "+
			"role %d as of %v ago, last placed %v ago", a.Server, a.ID, ago(req.arrivedAt), ago(need), req.class.MaxStaleness, ago(s.position), ago(s.primaryAt), ago(s.primaryNotDeniedAt), ago(o.position), o.role, ago(o.roleAt), ago(o.positionReportedAt))
	})
}

// checkSlowStart states that a cold server gets no more from this router in a span than the router's part of the budget. Where that is less
// than one request, a draw decides, which has a mean and no bound.
func (w *checker) checkSlowStart(r *Router, a *Action, s *serverView, req *request) {
	o := r.servers[a.Server]
	if r.settings.SlowStartMultiple <= 0 || r.settings.SlowStartSpan <= 0 || r.warmUpFactor(o) == 1 {
		s.slowStartSends = s.slowStartSends[:0]
		return
	}
	rate := min(r.warmRate(o), r.typicalRate(o)) * r.warmUpFactor(o)
	budget := r.settings.SlowStartMultiple * fullRateConcurrency * rate * r.settings.SlowStartPart / float64(r.settings.Processes) * r.settings.SlowStartSpan.Seconds()
	if slowStartMargin/2*budget < max(req.expectedWork(), r.averageWork) {
		s.slowStartSends = s.slowStartSends[:0]
		return
	}
	s.slowStartSends = slices.DeleteFunc(s.slowStartSends, func(x budgetedSend) bool { return r.now-x.at >= r.settings.SlowStartSpan })
	s.slowStartSends = append(s.slowStartSends, budgetedSend{r.now, req.expectedWork(), budget})
	sum, most := 0.0, 0.0 // the part may have been larger when it was sent
	for _, x := range s.slowStartSends {
		sum, most = sum+x.work, max(most, x.budget)
	}
	w.checks.That(sum <= most+1e-9, "decide: nothing cold over budget", func() string {
		return fmt.Sprintf("%s: %.3f of work in %v, at most %.3f: %v", a.Server, sum, r.settings.SlowStartSpan, most, s.slowStartSends)
	})
}

// walk checks the invariants of all state.
func (w *checker) walk(r *Router, ev Event) {
	open, class, tenant := 0, map[int]int{}, map[int]int{}
	for _, s := range r.serversByID {
		w.walkServer(r, s, class, tenant)
		open += len(s.openAttempts)
	}
	w.checks.That(len(r.serversByID) == len(r.servers) && slices.IsSortedFunc(r.serversByID, func(a, b *server) int { return strings.Compare(string(a.id), string(b.id)) }),
		"decide: stores are in order", func() string { return fmt.Sprintf("%d in order, %d filed", len(r.serversByID), len(r.servers)) })
	w.checks.That(open == r.openAttempts && open == w.openAttempts, "decide: attempts in flight agree", func() string {
		return fmt.Sprintf("%d in lists, %d counted, %d sent and not ended", open, r.openAttempts, w.openAttempts)
	})
	agree := func(name string, lists, sent map[int]int) {
		for k := range sent {
			w.checks.That(lists[k] == sent[k], name, func() string { return fmt.Sprintf("%d: %d in lists, %d sent and not ended", k, lists[k], sent[k]) })
			if sent[k] == 0 {
				delete(sent, k)
			}
		}
	}
	agree("decide: attempts in flight agree by class", class, w.openByClass)
	agree("decide: attempts in flight agree by tenant", tenant, w.openByTenant)
	held := map[*request]bool{}
	_, ticked := ev.(*Timer)
	for _, grp := range r.groupsByNumber {
		atMembers := 0
		for _, s := range grp.members {
			atMembers += len(s.openAttempts)
		}
		w.checks.That(grp.openAttempts == atMembers, "decide: attempts in flight agree by group", func() string {
			return fmt.Sprintf("group %d: %d in lists, %d counted", grp.id, atMembers, grp.openAttempts)
		})
		for _, req := range grp.waiting {
			w.checks.That(!held[req], "decide: a request is held once", func() string { return fmt.Sprintf("%x in group %d", req.id, grp.id) })
			w.checks.That(req.group == grp, "decide: a request is held in its group", func() string { return fmt.Sprintf("%x in group %d", req.id, grp.id) })
			held[req] = true
			w.checks.That(!ticked || !req.finished && (req.openAttempts > 0 || r.now < req.deadline), "decide: after a beat what is held is not over", func() string {
				return fmt.Sprintf("%x in group %d: finished %v, %d out, due in %v", req.id, grp.id, req.finished, req.openAttempts, req.deadline-r.now)
			})
		}
	}
	owed := 0
	for id, a := range w.requests {
		if !a.ended {
			owed++
			w.checks.That(r.requests[id] != nil, "decide: what is owed an answer is known", func() string { return fmt.Sprintf("%x: %+v", id, a) })
		}
	}
	w.checks.That(owed == len(r.requests), "decide: what is known is owed an answer", func() string { return fmt.Sprintf("%d known, %d owed", len(r.requests), owed) })
	for id, req := range r.requests {
		n := 0
		for _, t := range req.attempts {
			if !t.ended {
				n++
			}
		}
		w.checks.That(req.openAttempts == n && !req.finished && req.id == id, "decide: a request's attempts are counted", func() string {
			return fmt.Sprintf("%x: %d out, counted %d, finished %v", id, n, req.openAttempts, req.finished)
		})
		w.checks.That(req.openAttempts > 0 || held[req], "decide: a request is out or held", func() string {
			return fmt.Sprintf("%x in group %d, %d tries, came %v ago, due in %v", id, req.group.id, len(req.attempts), r.now-req.arrivedAt, req.deadline-r.now)
		})
	}
	w.checks.That(r.timerAt != never || len(r.requests) == 0 && r.openAttempts == 0, "decide: a timer is out while anything is open", func() string {
		return fmt.Sprintf("%d requests, %d attempts", len(r.requests), r.openAttempts)
	})
	for id, s := range w.servers { // forget those that are gone
		if s.removed && s.openAttempts == 0 && r.servers[id] == nil {
			delete(w.servers, id)
		}
	}
}

func (w *checker) walkServer(r *Router, s *server, class, tenant map[int]int) {
	k, lost := w.servers[s.id], 0
	w.checks.That(k != nil && r.servers[s.id] == s && slices.Contains(s.group.members, s), "decide: a store is filed where it belongs", func() string {
		return fmt.Sprintf("%s: listed %v, group %d", s.id, k != nil, s.group.id)
	})
	if k == nil {
		return
	}
	w.checks.That(len(s.openAttempts) == k.openAttempts, "decide: attempts in flight agree by store", func() string {
		return fmt.Sprintf("%s: %d in its list, %d sent and not ended", s.id, len(s.openAttempts), k.openAttempts)
	})
	for _, t := range s.openAttempts {
		if t.presumedLost {
			lost++
		}
		a := w.requests[t.request.id]
		if a == nil || a.openAttempts[t.number].server != s.id || t.server != s || t.ended {
			w.checks.That(false, "decide: what is out at a store was sent there", func() string { return fmt.Sprintf("%s: %x, attempt %d", s.id, t.request.id, t.number) })
			continue
		}
		class[a.class]++
		tenant[a.tenant]++
	}
	w.checks.That(lost == s.lostAttempts, "decide: lost attempts are counted", func() string { return fmt.Sprintf("%s: %d, counted %d", s.id, lost, s.lostAttempts) })
	w.checks.That(s.position <= k.position, "decide: a position is one that was told", func() string {
		return fmt.Sprintf("%s: at %v, told of %v", s.id, s.position, k.position)
	})
	w.checks.That(s.slowStartUsed >= 0 && s.slowStartDraw >= 0 && s.othersLoad >= 0 && s.relativeRate > 0, "decide: a store's figures are ones that can be", func() string {
		return fmt.Sprintf("%s: spent cold %v, drawn %v, told %v, rate %v", s.id, s.slowStartUsed, s.slowStartDraw, s.othersLoad, s.relativeRate)
	})
}

// onMerge takes what the router was given by another.
func (w *checker) onMerge(r *Router, now Time, m *Snapshot) {
	for i := range m.Servers {
		known := &m.Servers[i]
		if s := w.servers[known.ID]; s != nil && r.ToLocalTime(known.ID, known.Position) <= now {
			s.position = max(s.position, known.Position)
			if known.Role == RolePrimary && known.RoleAt <= now {
				s.primaryAt = max(s.primaryAt, known.RoleAt)
			}
		}
	}
}
