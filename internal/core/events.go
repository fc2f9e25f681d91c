package core

import (
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/metrics"
	"beechgrade/internal/record/recordpb"
)

// queuedEvent is an event that the router has not handled yet, with the time at which it happened.
type queuedEvent struct {
	at    decide.Time
	event decide.Event
}

// handleEvent passes an event to the router, with the current time.
func (c *Core) handleEvent(event decide.Event) {
	c.handleEventAt(clock.ToDuration(c.loop.Now()), event)
}

// handleEventAt queues an event and handles the queue, unless it is called while an action is carried out: an event that is caused
// by an action is handled after all actions of the current event.
func (c *Core) handleEventAt(at decide.Time, event decide.Event) {
	c.events = append(c.events, queuedEvent{at, event})
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
	c.abandoned = c.abandoned[:0]
	c.carryingOut = false
	if c.checks.Enabled() && c.unreportedEnds == 0 {
		c.checks.Walk(&c.eventsSinceWalk, c.walkInterval, "core: check of all requests", c.walk)
	}
}

// carryOut carries out one action of the router.
func (c *Core) carryOut(action *decide.Action) {
	switch action.Kind {
	case decide.Send:
		c.send(action)
	case decide.Cancel:
		c.cancelAttempt(action)
	case decide.Reject:
		c.reject(action, clock.ToMillis(action.Wait))
	case decide.Fail:
		c.fail(action)
	case decide.HealthCheck:
		c.checkHealthForRouter(string(action.Server))
	case decide.SetTimer:
		tag := action.Tag
		c.loop.At(clock.ToMillis(action.At), func() { c.handleEvent(&decide.Timer{Tag: tag}) })
	case decide.Subscribe:
		c.limits.use(LimitListCalls, "").run(c.directory.Watch)
	case decide.FetchList:
		c.limits.use(LimitListCalls, "").run(c.directory.Fetch)
	case decide.Log:
		c.log.Info(action.Text)
	}
}

// reject answers a request that did not run; its client may retry it after waitMs.
func (c *Core) reject(action *decide.Action, waitMs float64) {
	req := c.finishByID(action.ID, metrics.Rejected)
	if req == nil {
		return
	}
	c.decisions.rejected[action.Reason]++
	c.logDecision("refuse", req, action)
	req.client.Rejected(waitMs)
	c.recorder.answer(req, recordpb.Final_FINAL_REFUSED, waitMs)
}

// fail answers a request which, as far as the router knows, may have run. The router counts an attempt as in flight from the decision
// to send it. If no attempt can have been written, or each is known not to have run, a retry is safe and the request is rejected
// instead.
func (c *Core) fail(action *decide.Action) {
	if req, ok := c.requests.Get(refOf(action.ID)); ok && !req.mayHaveRun() {
		c.reject(action, clock.ToMillis(c.config.Settings.MaxRetryAfter))
		return
	}
	req := c.finishByID(action.ID, metrics.Failed)
	if req == nil {
		return
	}
	c.decisions.failed[action.Reason]++
	c.logDecision("fail", req, action)
	req.client.Failed()
	c.recorder.answer(req, recordpb.Final_FINAL_FAILED, 0)
}
