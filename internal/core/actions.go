package core

import (
	"math"

	"beechgrade/internal/backend"
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/metrics"
	"beechgrade/internal/record/recordpb"
)

// queuedEvent is an event that the router has yet to handle, with the time at which it happened.
type queuedEvent struct {
	at    decide.Time
	event decide.Event
}

// handleEvent passes an event of this moment to the router.
func (c *Core) handleEvent(ev decide.Event) { c.handleEventAt(clock.ToDuration(c.loop.Now()), ev) }

// handleEventAt queues an event and, unless an action of an earlier one is being carried out, handles the queue: an event that an
// action causes is handled after all actions of the event before it.
func (c *Core) handleEventAt(at decide.Time, ev decide.Event) {
	c.events = append(c.events, queuedEvent{at, ev})
	if c.carryingOut {
		return
	}
	c.carryingOut = true
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
			c.releaseIfDone(ref, req)
		}
	}
	c.abandoned, c.carryingOut = c.abandoned[:0], false
	if c.checks.On() && c.unreportedEnds == 0 {
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
	case decide.Reject:
		c.reject(a, clock.ToMillis(a.Wait))
	case decide.Fail:
		c.fail(a)
	case decide.HealthCheck:
		if c.recorder.On() {
			c.healthChecksSentAt[string(a.Server)] = c.loop.Now()
		}
		id := string(a.Server)
		if witness := c.observation.observer; witness != nil && witness.Ejects(id) { // its answer would not count
			c.loop.At(c.loop.Now()+unsentHealthCheckMs, func() { c.handleEvent(&decide.HealthCheckResult{Server: decide.ServerID(id), Result: decide.Failed}) })
		} else if c.observation.pending[id] { // the witness's probe is in flight, whose answer is not the router's
			c.observation.requestedMeanwhile[id] = true
		} else if c.fleet.healthCheckSharer == nil || !c.fleet.healthCheckSharer.Delegates(id) {
			c.CheckHealth(id)
		}
	case decide.SetTimer:
		tag := a.Tag
		c.loop.At(clock.ToMillis(a.At), func() { c.handleEvent(&decide.Timer{Tag: tag}) })
	case decide.Subscribe:
		c.useLimit(LimitListCalls, "").run(c, c.directory.Watch)
	case decide.FetchList:
		c.useLimit(LimitListCalls, "").run(c, c.directory.Fetch)
	case decide.Log:
		c.log.Info(a.Text)
	}
}

func (c *Core) reject(a *decide.Action, waitMs float64) {
	if req := c.finishByID(a.ID, metrics.Rejected); req != nil {
		c.decisions.rejected[a.Reason]++
		c.logDecision("refuse", req, a)
		req.client.Rejected(waitMs)
		c.recordAnswer(req, recordpb.Final_FINAL_REFUSED, waitMs)
	}
}

// fail gives the final answer to a request which the router takes to have run, perhaps. The router counts an attempt as in flight from its
// decision on. Where no attempt has begun on a connection, or each is known not to have run, a retry is harmless, and the client is told so.
func (c *Core) fail(a *decide.Action) {
	if req, ok := c.requests.Get(refOf(a.ID)); ok && !req.mayHaveRun() {
		c.reject(a, clock.ToMillis(c.config.Settings.MaxRetryAfter))
		return
	}
	if req := c.finishByID(a.ID, metrics.Failed); req != nil {
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
		c.decisions.retried[a.Reason]++
		c.logDecision("repeat", req, a)
	}
	no, until := len(req.attempts), req.deadline
	if a.Wait != 0 {
		until = min(until, c.loop.Now()+clock.ToMillis(a.Wait))
	}
	req.attempts = append(req.attempts, attempt{server: a.Server, startedAt: c.loop.Now(), writeBefore: until})
	if req.finished || !c.mayServe(req, a.Server) || no >= c.config.Settings.MaxAttempts || req.deadline <= c.loop.Now() {
		c.handleEvent(&decide.Outcome{ID: a.ID, Attempt: no, Server: a.Server, Result: decide.NotSent, Final: req.finished})
		return
	}
	req.inFlight++
	on := backend.SendConditions{AtMostOnce: req.once}
	if a.WriteBefore < never {
		on.WriteBefore = clock.ToMillis(a.WriteBefore)
		req.attempts[no].writeBefore = min(until, on.WriteBefore)
	}
	if c.observation.observer != nil {
		c.observation.observer.Sent(string(a.Server), backend.AttemptID{Request: ref, Number: no}, req.class)
	}
	at := c.servers.Start(string(a.Server), req.query, until, on, backend.AttemptID{Request: ref, Number: no})
	req.attempts[no].ref = at
}
