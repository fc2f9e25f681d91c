package core

import (
	"beechgrade/internal/backend"
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/frontend/platform"
	"beechgrade/internal/metrics"
	"beechgrade/internal/record/recordpb"
)

func (c *Core) forwardReport(server string, outcome *backend.Outcome) {
	if c.reportSink != nil && (outcome.Role != decide.RoleUnknown || outcome.HasPos) {
		c.reportSink.ServerReported(server, outcome.Role == decide.RolePrimary, outcome.Role == decide.RoleReplica, outcome.Position)
	}
}

// stream is a request's answer on its way past the core.
type stream struct {
	backend.AnswerStream
	core *Core
	ref  slotmap.Ref
	stop func()
}

// AnswerStreams implements backend.Events. To the router the request is answered then.
func (c *Core) AnswerStreams(tag backend.AttemptID, stop func()) backend.AnswerStream {
	req, ok := c.requests.Get(tag.Request)
	if !ok {
		return nil
	}
	c.unreportedEnds++
	req.inFlight--
	c.AttemptWritten(tag)
	server, final := req.attempts[tag.Number].server, req.finished
	outcome := backend.Outcome{Result: decide.OK}
	c.countAttempt(req, tag.Number, outcome.Result)
	if req.wroteSession != "" && !final { // an answer that is passed on as it comes cannot wait for the commit
		c.sessionTokens.Keep(req.wroteSession, clock.ToDuration(c.loop.Now()), nil)
	}
	c.recordAttempt(req, tag.Number, server, &outcome)
	if c.journal != nil {
		c.journal.Ended(tag, outcome.Result)
	}
	if taker, ok := req.client.(platform.StreamReceiver); ok && !final {
		req.finished, req.stream = true, &stream{AnswerStream: taker.ReceiveStream(), core: c, ref: tag.Request, stop: stop}
		c.recordAnswer(req, recordpb.Final_FINAL_SERVED, 0)
	}
	f := req.stream
	c.releaseIfDone(tag.Request, req)
	c.unreportedEnds--
	c.handleEvent(&decide.Outcome{ID: requestID(tag.Request), Attempt: tag.Number, Server: server, Result: outcome.Result, Final: req.finished})
	if f == nil || final {
		return nil
	}
	return f
}

// Ended implements backend.Flow.
func (f *stream) Ended(b []byte, whole bool) {
	end := metrics.Served
	if !whole {
		end = metrics.Failed
	}
	f.core.streamEnded(f.ref, end)
	f.AnswerStream.Ended(b, whole)
}

// streamEnded ends a request whose answer was passed on as it came.
func (c *Core) streamEnded(ref slotmap.Ref, end metrics.Outcome) {
	if req, ok := c.requests.Get(ref); ok && req.stream != nil {
		req.stream, req.answerDelivered = nil, end == metrics.Served && !req.closedBeforeAnswer()
		c.finish(req, end)
		c.releaseIfDone(ref, req)
	}
}

// AttemptWritten implements backend.Events.
func (c *Core) AttemptWritten(tag backend.AttemptID) {
	if req, ok := c.requests.Get(tag.Request); ok && !req.attempts[tag.Number].written {
		req.attempts[tag.Number].written = true
		c.checkWritten(req, tag.Number)
		c.sentKeys.recordSend(req.key, req.attempts[tag.Number].startedAt, c.loop.Now())
		c.metrics.Attempts++
	}
}

// AttemptEnded implements backend.Events.
func (c *Core) AttemptEnded(tag backend.AttemptID, outcome backend.Outcome) {
	req, ok := c.requests.Get(tag.Request)
	if !ok {
		return
	}
	c.unreportedEnds++
	req.inFlight--
	switch outcome.Result {
	case decide.OK, decide.Misdirected, decide.Failed, decide.Reset: // an attempt that was answered, or broke in flight, was written
		c.AttemptWritten(tag)
	}
	switch outcome.Result {
	case decide.Misdirected, decide.Overloaded, decide.Unreachable, decide.NotSent:
		c.sentKeys.forget(req.key, req.attempts[tag.Number].startedAt)
		req.attempts[tag.Number].didNotRun = true
	}
	server := req.attempts[tag.Number].server
	c.countAttempt(req, tag.Number, outcome.Result)
	c.recordAttempt(req, tag.Number, server, &outcome)
	if c.journal != nil {
		c.journal.Ended(tag, outcome.Result)
	}
	c.forwardReport(string(server), &outcome)
	if outcome.Result == decide.OK && !req.finished && c.delayAnswer(tag.Request, req, &outcome) {
		req.finished = true
	} else if outcome.Result == decide.OK && !req.finished {
		c.finish(req, metrics.Served)
		c.deliver(req, outcome.Answer)
		c.recordAnswer(req, recordpb.Final_FINAL_SERVED, 0)
	} else if req.clientClosed && !req.finished {
		c.finish(req, metrics.ClientGone)
		c.recordAnswer(req, recordpb.Final_FINAL_GONE, 0)
	}
	final := req.finished
	c.releaseIfDone(tag.Request, req)
	c.unreportedEnds--
	c.handleEvent(&decide.Outcome{ID: requestID(tag.Request), Attempt: tag.Number, Server: server, Result: outcome.Result,
		Final: final, Reported: reportOf(outcome.Report), Load: reportOf(outcome.Load)})
	if c.observation.observer != nil { // it may have the server tried, for which the router must know the report first
		c.observation.observer.Ended(string(server), tag, outcome.Result, outcome.Report)
	}
}

// HealthCheckEnded implements backend.Events.
func (c *Core) HealthCheckEnded(server string, outcome backend.Outcome) {
	c.recordProbe(server, &outcome)
	c.forwardReport(server, &outcome)
	if c.fleet.zoneObserver != nil {
		c.fleet.zoneObserver.HealthChecked(server, outcome.Result == decide.OK)
	}
	if c.observeHealthCheck(server, &outcome) {
		return
	}
	if c.fleet.healthCheckSharer != nil && outcome.Result == decide.OK { // it may have been made for peers alone, and not reach the router otherwise
		c.mergeRole(server, outcome.Report)
	}
	if c.fleet.healthCheckSharer == nil || !c.fleet.healthCheckSharer.Ended(server, outcome.Result, outcome.Report) {
		c.HealthCheckReported(server, outcome.Result, outcome.Report, 0)
	}
}

func reportOf(o backend.Report) decide.Report {
	r := decide.Report{Role: o.Role, HasPosition: o.HasPos}
	if o.HasPos {
		r.Position = clock.ToDuration(o.Position)
	}
	return r
}
