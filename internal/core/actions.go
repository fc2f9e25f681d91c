package core

import (
	"math"

	"beechgrade/internal/backend"
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/metrics"
	"beechgrade/internal/record/recordpb"
)

// event is an event that the router has yet to handle, with the time at which it happened.
type event struct {
	at    decide.Time
	event decide.Event
}

// handle passes an event of this moment to the router.
func (c *Core) handle(ev decide.Event) { c.handleAt(clock.Span(c.loop.Now()), ev) }

// handleAt queues an event and, unless an action of an earlier one is being carried out, handles the queue: an event that an
// action causes is handled after all actions of the event before it.
func (c *Core) handleAt(at decide.Time, ev decide.Event) {
	c.events = append(c.events, event{at, ev})
	if c.running {
		return
	}
	c.running = true
	for i := 0; i < len(c.events); i++ {
		if c.meter != nil {
			c.meter.Begin()
		}
		c.actions = c.router.Handle(c.events[i].at, c.events[i].event, c.actions[:0])
		if c.meter != nil {
			c.meter.End()
		}
		for k := range c.actions {
			c.carryOut(&c.actions[k])
		}
	}
	clear(c.events)
	c.events = c.events[:0]
	for _, ref := range c.abandoned {
		if req, ok := c.requests.Get(ref); ok {
			c.release(ref, req)
		}
	}
	c.abandoned, c.running = c.abandoned[:0], false
	if c.checks.On() && c.unreported == 0 {
		c.checks.Walk(&c.sinceWalk, c.walkEvery, "core: the walk", c.walk)
	}
}

func (c *Core) carryOut(a *decide.Action) {
	switch a.Kind {
	case decide.Send:
		c.send(a)
	case decide.Cancel:
		if req, ok := c.requests.Get(refOf(a.ID)); ok && a.Attempt >= 0 && a.Attempt < len(req.attempts) {
			c.servers.Cancel(req.attempts[a.Attempt].ref)
		}
	case decide.Refuse:
		c.refuse(a, clock.Millis(a.Wait))
	case decide.Fail:
		c.fail(a)
	case decide.Probe:
		if c.rec.On() {
			c.probed[string(a.Server)] = c.loop.Now()
		}
		id := string(a.Server)
		if witness := c.witnessing.witness; witness != nil && witness.Withholds(id) { // its answer would not count
			c.loop.At(c.loop.Now()+withheldProbeMs, func() { c.handle(&decide.ProbeResult{Server: decide.ServerID(id), Result: decide.Failed}) })
		} else if c.witnessing.pending[id] { // the witness's probe is in flight, whose answer is not the router's
			c.witnessing.repeat[id] = true
		} else if c.fleet.prober == nil || !c.fleet.prober.Wanted(id) {
			c.Probe(id)
		}
	case decide.SetTimer:
		tag := a.Tag
		c.loop.At(clock.Millis(a.At), func() { c.handle(&decide.Timer{Tag: tag}) })
	case decide.Subscribe:
		c.countLimit(OfLists, "").do(c, c.dir.Watch)
	case decide.FetchList:
		c.countLimit(OfLists, "").do(c, c.dir.Fetch)
	case decide.Log:
		c.log.Info(a.Text)
	}
}

func (c *Core) refuse(a *decide.Action, waitMs float64) {
	if req := c.conclude(a.ID, metrics.Dropped); req != nil {
		c.decisions.refused[a.Reason]++
		c.logDecision("refuse", req, a)
		req.client.Refused(waitMs)
		c.recordAnswer(req, recordpb.Final_FINAL_REFUSED, waitMs)
	}
}

// fail gives the final answer to a request which the router takes to have run, perhaps. The router counts an attempt as in flight from its
// decision on. Where no attempt has begun on a connection, or each is known not to have run, a retry is harmless, and the client is told so.
func (c *Core) fail(a *decide.Action) {
	if req, ok := c.requests.Get(refOf(a.ID)); ok && !req.mayHaveRun() {
		c.refuse(a, clock.Millis(c.cfg.Settings.MaxRetryAfter))
		return
	}
	if req := c.conclude(a.ID, metrics.BadGateway); req != nil {
		c.decisions.failed[a.Reason]++
		c.logDecision("fail", req, a)
		req.client.Failed()
		c.recordAnswer(req, recordpb.Final_FINAL_FAILED, 0)
	}
}

// never is later than any time that the router names.
const never = math.MaxInt64 / 2

// send starts a request's next attempt, or skips it where the protocol's rules forbid it.
func (c *Core) send(a *decide.Action) {
	ref := refOf(a.ID)
	req, ok := c.requests.Get(ref)
	if !ok {
		return
	}
	if a.Reason != decide.ReasonNone {
		c.decisions.repeated[a.Reason]++
		c.logDecision("repeat", req, a)
	}
	no, until := len(req.attempts), req.deadline
	if a.Wait != 0 {
		until = min(until, c.loop.Now()+clock.Millis(a.Wait))
	}
	req.attempts = append(req.attempts, attempt{server: a.Server, begun: c.loop.Now(), until: until})
	if req.over || !c.allowed(req, a.Server) || no >= c.cfg.Settings.MaxAttempts || req.deadline <= c.loop.Now() {
		c.handle(&decide.Outcome{ID: a.ID, Attempt: no, Server: a.Server, Result: decide.Skipped, Final: req.over})
		return
	}
	req.inFlight++
	on := backend.Terms{Once: req.once}
	if a.By < never {
		on.WriteBefore = clock.Millis(a.By)
		req.attempts[no].until = min(until, on.WriteBefore)
	}
	if c.witnessing.witness != nil {
		c.witnessing.witness.Sent(string(a.Server), backend.Tag{Request: ref, Number: no}, req.class)
	}
	at := c.servers.Start(string(a.Server), req.query, until, on, backend.Tag{Request: ref, Number: no})
	req.attempts[no].ref = at
}
