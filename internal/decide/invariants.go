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

// Watch has the router's invariants checked from its beginning on: those of an event with each event, and a walk over all state every so
// many events.
func (r *Router) Watch(c *invariant.Checks, every int) {
	if r.watch = nil; c.On() {
		r.watch = &watch{checks: c, every: every, servers: map[ServerID]*serverView{}, requests: map[RequestID]*requestView{}, class: map[int]int{}, tenant: map[int]int{}}
	}
}

// watched checks an event that has been handled; before is the number of earlier actions in the output.
func (r *Router) watched(ev Event, before int) {
	if r.watch != nil {
		r.watch.observe(r, ev, r.out[before:])
	}
}

// InFlight returns the number of requests that are owed an answer, and of attempts in flight.
func (r *Router) InFlight() (requests, attempts int) { return len(r.requests), r.open }

// watch is what follows from a router's events and actions alone.
type watch struct {
	checks   *invariant.Checks
	every    int
	walked   int
	servers  map[ServerID]*serverView
	requests map[RequestID]*requestView // until they are over and none of their attempts is in flight
	class    map[int]int                // attempts out
	tenant   map[int]int
	out      int
	twice    map[int]*twice // by group
}

// serverView is what was reported of a server, and by it.
type serverView struct {
	drains, gone bool
	position     Time // the newest that it reported
	lead         Time // when it last was the primary for certain
	asked        Time // when the last question was sent whose answer did not deny that it is the primary
	probed       Time // when the last probe was sent
	out          int
	cold         []spent // work sent while it was cold, within the last span of the fall rule
}

// spent is work that was sent to a cold server, and its budget then.
type spent struct {
	at           Time
	work, budget float64
}

// requestView is what follows of a request.
type requestView struct {
	class, tenant int
	over          bool
	ran           bool // an attempt that ended may have run
	out           map[int]attemptView
	attempts      int
}

// attemptView is an attempt in flight.
type attemptView struct {
	server ServerID
	sent   Time
}

func (w *watch) server(id ServerID) *serverView {
	s := w.servers[id]
	if s == nil {
		s = &serverView{position: never, lead: never, asked: never, probed: never}
		w.servers[id] = s
	}
	return s
}

func (w *watch) observe(r *Router, ev Event, out []Action) {
	switch e := ev.(type) {
	case *Request:
		if w.requests[e.ID] == nil {
			w.requests[e.ID] = &requestView{class: e.Class, tenant: e.Tenant, out: map[int]attemptView{}}
		}
	case *Outcome:
		w.onOutcome(r, e)
	case *Expired:
		w.finish(e.ID)
	case *ProbeResult:
		if s := w.servers[e.Server]; s != nil {
			s.report(r, e.Server, e.Load, s.probed)
		}
	case *List:
		w.onList(e)
	}
	for i := range out {
		w.onAction(r, &out[i])
	}
	w.checks.Walk(&w.walked, w.every, "decide: the walk", func(*invariant.Checks) { w.walk(r, ev) })
}

// report takes a server's report in answer to what was sent at that time. A primary's position is the time of its report.
func (s *serverView) report(r *Router, id ServerID, report Report, sent Time) {
	at := r.OnClock(id, report.Position)
	if report.HasPosition && at <= r.now {
		s.position = max(s.position, report.Position)
	}
	if report.Role == RolePrimary || report.Role == RoleUnknown && report.HasPosition { // where the list alone has roles, a report may have none
		s.asked = max(s.asked, sent)
	}
	if report.Role == RolePrimary {
		if report.HasPosition {
			sent = min(at, r.now)
		}
		s.lead = max(s.lead, sent)
	}
}

func (w *watch) onOutcome(r *Router, ev *Outcome) {
	a := w.requests[ev.ID]
	if a == nil {
		return
	}
	if t, ok := a.out[ev.Attempt]; ok && t.server == ev.Server {
		s := w.server(ev.Server)
		s.report(r, ev.Server, ev.Reported, t.sent)
		if ev.Reported.Role == RolePrimary { // reported after it was sent, whatever its clock says
			s.lead = max(s.lead, t.sent)
		}
		if ev.Load.HasPosition {
			s.report(r, ev.Server, ev.Load, never)
		}
		delete(a.out, ev.Attempt)
		a.ran = a.ran || mayRun(ev.Result)
		w.count(a, s, -1)
	}
	if ev.Final {
		a.over = true
	}
	w.settle(ev.ID, a)
}

func (w *watch) count(a *requestView, s *serverView, n int) {
	s.out += n
	w.out += n
	w.class[a.class] += n
	w.tenant[a.tenant] += n
}

func (w *watch) finish(id RequestID) {
	if a := w.requests[id]; a != nil {
		a.over = true
		w.settle(id, a)
	}
}

func (w *watch) settle(id RequestID, a *requestView) {
	if a.over && len(a.out) == 0 {
		delete(w.requests, id)
	}
}

func (w *watch) onList(ev *List) {
	if ev.Kind == ListFailed {
		return
	}
	named := map[ServerID]bool{}
	for _, entry := range ev.Entries {
		named[entry.Server] = true
		if entry.State == Gone {
			if s := w.servers[entry.Server]; s != nil {
				s.gone = true
			}
			continue
		}
		s := w.server(entry.Server)
		s.gone, s.drains = false, entry.State == Draining
	}
	for id, s := range w.servers {
		s.gone = s.gone || ev.Kind != ListChanges && !named[id]
	}
}

func (w *watch) onAction(r *Router, a *Action) {
	switch a.Kind {
	case Send:
		w.onSend(r, a)
	case Refuse, Fail:
		view := w.requests[a.ID]
		w.checks.That(view != nil && !view.over, "decide: each request has one final answer", func() string {
			return fmt.Sprintf("%x gets another by %+v", a.ID, *a)
		})
		w.finish(a.ID)
	case Cancel:
		view := w.requests[a.ID]
		ok := view != nil
		if ok {
			_, ok = view.out[a.Attempt]
		}
		w.checks.That(ok, "decide: only what is out is called off", func() string { return fmt.Sprintf("%+v", *a) })
	case Probe:
		s := w.servers[a.Server]
		w.checks.That(s != nil, "decide: only what was listed is probed", func() string { return fmt.Sprintf("%+v", *a) })
		if s != nil {
			s.probed = r.now
			w.checkListed(r, a, s)
		}
	}
}

// checkListed states that nothing goes to a server that drains or is gone; with DrainOnly, one that left the list may be used.
func (w *watch) checkListed(r *Router, a *Action, s *serverView) {
	w.checks.That(!s.drains && (!s.gone || r.set.DrainOnly), "decide: nothing goes to a store that drains or is gone", func() string {
		return fmt.Sprintf("%s: drains %v, gone %v; %+v", a.Server, s.drains, s.gone, *a)
	})
}

func (w *watch) onSend(r *Router, a *Action) {
	s, req, view := w.servers[a.Server], r.find(a), w.requests[a.ID]
	w.checks.That(s != nil && req != nil && view != nil && !view.over, "decide: only what is not over is sent, to what was listed", func() string {
		return fmt.Sprintf("%+v: store %+v, request %+v", *a, s, view)
	})
	if s == nil || req == nil || view == nil {
		return
	}
	w.checkListed(r, a, s)
	w.checkPosition(r, a, s, req)
	w.checkColdBudget(r, a, s, req)
	w.checkRepeats(r, req, view)
	view.out[view.attempts] = attemptView{server: a.Server, sent: r.now}
	view.attempts++
	w.count(view, s, 1)
	most := max(1, r.set.MaxAttempts)
	w.checks.That(view.attempts <= most, "decide: no more attempts than may be", func() string { return fmt.Sprintf("%d of %d: %+v", view.attempts, most, *a) })
	w.checks.That(req.class.Effect != Unsafe || len(view.out) == 1, "decide: what must not run twice is out once", func() string {
		return fmt.Sprintf("%+v: out %v", *a, view.out)
	})
}

// find returns the request of a Send, which may be over by the end of the event.
func (r *Router) find(a *Action) *request {
	if s := r.servers[a.Server]; s != nil {
		for _, t := range s.open {
			if t.req.id == a.ID {
				return t.req
			}
		}
	}
	return nil
}

// checkPosition states that the server of a read has data that is new enough by its own report, dated by the report or else by the time
// of the question: not by when the answer was read, which may be long after. A primary's report may be older than a probe for this read
// alone: it may have been replaced since, but hardly between its report and its answer (see qualifies).
func (w *watch) checkPosition(r *Router, a *Action, s *serverView, req *request) {
	need := req.need
	if req.class.Read == ReadBounded {
		need = r.serversNow(req.group) - req.class.Bound
	}
	if req.primaryOnly() || need == never || r.set.Behind != BehindAnswers || !r.set.MayProbe {
		return
	}
	ahead := req.group.clock.ahead
	w.checks.That(s.position >= need || s.lead+ahead >= need || s.asked >= max(need-ahead, req.arrived) && r.servers[a.Server].role == RolePrimary, "decide: a read goes where its position is covered", func() string {
		o := r.servers[a.Server]
		ago := func(t Time) time.Duration { return r.now - t }
		return fmt.Sprintf("%s for %x, which came %v ago and needs %v ago (bound %v): it said to be at %v ago and to lead %v ago, when asked %v ago; the router has position %v ago, "+
			"role %d as of %v ago, last placed %v ago", a.Server, a.ID, ago(req.arrived), ago(need), req.class.Bound, ago(s.position), ago(s.lead), ago(s.asked), ago(o.position), o.role, ago(o.roleAt), ago(o.placedAt))
	})
}

// checkColdBudget states that a cold server gets no more from this router in a span than the router's part of the budget. Where that is less
// than one request, a draw decides, which has a mean and no bound.
func (w *watch) checkColdBudget(r *Router, a *Action, s *serverView, req *request) {
	o := r.servers[a.Server]
	if r.set.FallMultiple <= 0 || r.set.FallSpan <= 0 || r.warmth(o) == 1 {
		s.cold = s.cold[:0]
		return
	}
	rate := min(r.base(o), r.typicalRate(o)) * r.warmth(o)
	budget := r.set.FallMultiple * width * rate * r.set.ColdPart / float64(r.set.Processes) * r.set.FallSpan.Seconds()
	if coldMargin/2*budget < max(req.work(), r.work) {
		s.cold = s.cold[:0]
		return
	}
	s.cold = slices.DeleteFunc(s.cold, func(x spent) bool { return r.now-x.at >= r.set.FallSpan })
	s.cold = append(s.cold, spent{r.now, req.work(), budget})
	sum, most := 0.0, 0.0 // the part may have been larger when it was sent
	for _, x := range s.cold {
		sum, most = sum+x.work, max(most, x.budget)
	}
	w.checks.That(sum <= most+1e-9, "decide: nothing cold over budget", func() string {
		return fmt.Sprintf("%s: %.3f of work in %v, at most %.3f: %v", a.Server, sum, r.set.FallSpan, most, s.cold)
	})
}

// walk checks the invariants of all state.
func (w *watch) walk(r *Router, ev Event) {
	open, class, tenant := 0, map[int]int{}, map[int]int{}
	for _, s := range r.order {
		w.walkServer(r, s, class, tenant)
		open += len(s.open)
	}
	w.checks.That(len(r.order) == len(r.servers) && slices.IsSortedFunc(r.order, func(a, b *server) int { return strings.Compare(string(a.id), string(b.id)) }),
		"decide: stores are in order", func() string { return fmt.Sprintf("%d in order, %d filed", len(r.order), len(r.servers)) })
	w.checks.That(open == r.open && open == w.out, "decide: attempts in flight agree", func() string {
		return fmt.Sprintf("%d in lists, %d counted, %d sent and not ended", open, r.open, w.out)
	})
	agree := func(name string, lists, sent map[int]int) {
		for k := range sent {
			w.checks.That(lists[k] == sent[k], name, func() string { return fmt.Sprintf("%d: %d in lists, %d sent and not ended", k, lists[k], sent[k]) })
			if sent[k] == 0 {
				delete(sent, k)
			}
		}
	}
	agree("decide: attempts in flight agree by class", class, w.class)
	agree("decide: attempts in flight agree by tenant", tenant, w.tenant)
	held := map[*request]bool{}
	_, ticked := ev.(*Timer)
	for _, grp := range r.groupOrder {
		atMembers := 0
		for _, s := range grp.members {
			atMembers += len(s.open)
		}
		w.checks.That(grp.open == atMembers, "decide: attempts in flight agree by group", func() string {
			return fmt.Sprintf("group %d: %d in lists, %d counted", grp.id, atMembers, grp.open)
		})
		for _, req := range grp.held {
			w.checks.That(!held[req], "decide: a request is held once", func() string { return fmt.Sprintf("%x in group %d", req.id, grp.id) })
			w.checks.That(req.group == grp, "decide: a request is held in its group", func() string { return fmt.Sprintf("%x in group %d", req.id, grp.id) })
			held[req] = true
			w.checks.That(!ticked || !req.finished && (req.open > 0 || r.now < req.deadline), "decide: after a beat what is held is not over", func() string {
				return fmt.Sprintf("%x in group %d: finished %v, %d out, due in %v", req.id, grp.id, req.finished, req.open, req.deadline-r.now)
			})
		}
	}
	owed := 0
	for id, a := range w.requests {
		if !a.over {
			owed++
			w.checks.That(r.requests[id] != nil, "decide: what is owed an answer is known", func() string { return fmt.Sprintf("%x: %+v", id, a) })
		}
	}
	w.checks.That(owed == len(r.requests), "decide: what is known is owed an answer", func() string { return fmt.Sprintf("%d known, %d owed", len(r.requests), owed) })
	for id, req := range r.requests {
		n := 0
		for _, t := range req.attempts {
			if !t.over {
				n++
			}
		}
		w.checks.That(req.open == n && !req.finished && req.id == id, "decide: a request's attempts are counted", func() string {
			return fmt.Sprintf("%x: %d out, counted %d, finished %v", id, n, req.open, req.finished)
		})
		w.checks.That(req.open > 0 || held[req], "decide: a request is out or held", func() string {
			return fmt.Sprintf("%x in group %d, %d tries, came %v ago, due in %v", id, req.group.id, len(req.attempts), r.now-req.arrived, req.deadline-r.now)
		})
	}
	w.checks.That(r.wakeAt != never || len(r.requests) == 0 && r.open == 0, "decide: a timer is out while anything is open", func() string {
		return fmt.Sprintf("%d requests, %d attempts", len(r.requests), r.open)
	})
	for id, s := range w.servers { // forget those that are gone
		if s.gone && s.out == 0 && r.servers[id] == nil {
			delete(w.servers, id)
		}
	}
}

func (w *watch) walkServer(r *Router, s *server, class, tenant map[int]int) {
	k, lost := w.servers[s.id], 0
	w.checks.That(k != nil && r.servers[s.id] == s && slices.Contains(s.group.members, s), "decide: a store is filed where it belongs", func() string {
		return fmt.Sprintf("%s: listed %v, group %d", s.id, k != nil, s.group.id)
	})
	if k == nil {
		return
	}
	w.checks.That(len(s.open) == k.out, "decide: attempts in flight agree by store", func() string {
		return fmt.Sprintf("%s: %d in its list, %d sent and not ended", s.id, len(s.open), k.out)
	})
	for _, t := range s.open {
		if t.lost {
			lost++
		}
		a := w.requests[t.req.id]
		if a == nil || a.out[t.number].server != s.id || t.server != s || t.over {
			w.checks.That(false, "decide: what is out at a store was sent there", func() string { return fmt.Sprintf("%s: %x, attempt %d", s.id, t.req.id, t.number) })
			continue
		}
		class[a.class]++
		tenant[a.tenant]++
	}
	w.checks.That(lost == s.lost, "decide: lost attempts are counted", func() string { return fmt.Sprintf("%s: %d, counted %d", s.id, lost, s.lost) })
	w.checks.That(s.position <= k.position, "decide: a position is one that was told", func() string {
		return fmt.Sprintf("%s: at %v, told of %v", s.id, s.position, k.position)
	})
	w.checks.That(s.coldSpent >= 0 && s.drawn >= 0 && s.othersLoad >= 0 && s.relativeRate > 0, "decide: a store's figures are ones that can be", func() string {
		return fmt.Sprintf("%s: spent cold %v, drawn %v, told %v, rate %v", s.id, s.coldSpent, s.drawn, s.othersLoad, s.relativeRate)
	})
}

// onRecall takes what the router was given by another.
func (w *watch) onRecall(r *Router, now Time, m *Memory) {
	for i := range m.Servers {
		known := &m.Servers[i]
		if s := w.servers[known.ID]; s != nil && r.OnClock(known.ID, known.Position) <= now {
			s.position = max(s.position, known.Position)
			if known.Role == RolePrimary && known.RoleAt <= now {
				s.lead = max(s.lead, known.RoleAt)
			}
		}
	}
}
