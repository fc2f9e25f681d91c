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

// stream is a request's answer that is streamed to its client.
type stream struct {
	backend.AnswerStream
	core *Core
	ref  slotmap.Ref
	stop func()
}

// Ended implements backend.AnswerStream.
func (s *stream) Ended(b []byte, whole bool) {
	end := metrics.Served
	if !whole {
		end = metrics.Failed
	}
	s.core.streamEnded(s.ref, end)
	s.AnswerStream.Ended(b, whole)
}

// streamEnded ends a request whose answer was streamed.
func (c *Core) streamEnded(ref slotmap.Ref, end metrics.Outcome) {
	if req, ok := c.requests.Get(ref); ok && req.stream != nil {
		req.stream = nil
		req.answerDelivered = end == metrics.Served && !req.closedBeforeAnswer()
		c.finish(req, end)
		c.releaseIfDone(ref, req)
	}
}

// AttemptWritten implements backend.Events.
func (c *Core) AttemptWritten(tag backend.AttemptID) {
	req, ok := c.requests.Get(tag.Request)
	if !ok || req.attempts[tag.Number].written {
		return
	}
	req.attempts[tag.Number].written = true
	c.checkWritten(req, tag.Number)
	c.requests.sentKeys.recordSend(req.key, req.attempts[tag.Number].startedAt, c.loop.Now())
	c.metrics.Attempts++
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
	wasFinished := req.finished
	outcome := backend.Outcome{Result: decide.OK}
	c.countAttempt(req, tag.Number, outcome.Result)
	if req.wroteSession != "" && !wasFinished { // an answer that is streamed cannot wait for the commit
		c.sessionTokens.Keep(req.wroteSession, clock.ToDuration(c.loop.Now()), nil)
	}
	c.recordEnd(req, tag, &outcome)
	if taker, ok := req.client.(platform.StreamReceiver); ok && !wasFinished {
		req.finished = true
		req.stream = &stream{AnswerStream: taker.ReceiveStream(), core: c, ref: tag.Request, stop: stop}
		c.recorder.answer(req, recordpb.Final_FINAL_SERVED, 0)
	}
	answer := req.stream
	c.reportEnd(req, tag, &outcome, req.finished)
	if answer == nil || wasFinished {
		return nil
	}
	return answer
}

// AttemptEnded implements backend.Events.
func (c *Core) AttemptEnded(tag backend.AttemptID, outcome backend.Outcome) {
	req, ok := c.requests.Get(tag.Request)
	if !ok {
		return
	}
	c.unreportedEnds++
	req.inFlight--
	if showsWritten(outcome.Result) {
		c.AttemptWritten(tag)
	}
	a := &req.attempts[tag.Number]
	if showsNotRun(outcome.Result) {
		c.requests.sentKeys.forget(req.key, a.startedAt)
		a.didNotRun = true
	}
	server := string(a.server)
	c.countAttempt(req, tag.Number, outcome.Result)
	c.recordEnd(req, tag, &outcome)
	c.forwardReport(server, &outcome)
	c.answerClient(tag.Request, req, &outcome)
	c.reportEnd(req, tag, &outcome, req.finished)
	if observer := c.observation.observer; observer != nil {
		// It may have the server tried, for which the router must have the report.
		observer.Ended(server, tag, outcome.Result, outcome.Report)
	}
}

// showsWritten reports whether an attempt that ended so was written: it was answered, or broke in flight.
func showsWritten(result decide.Result) bool {
	switch result {
	case decide.OK, decide.Misdirected, decide.Failed, decide.Reset:
		return true
	}
	return false
}

// showsNotRun reports whether an attempt that ended so has not run.
func showsNotRun(result decide.Result) bool {
	switch result {
	case decide.Misdirected, decide.Overloaded, decide.Unreachable, decide.NotSent:
		return true
	}
	return false
}

// answerClient gives the client of an open request the answer that has come, and ends a request whose client has closed its connection.
func (c *Core) answerClient(ref slotmap.Ref, req *request, outcome *backend.Outcome) {
	switch {
	case req.finished:
	case outcome.Result == decide.OK:
		if c.delayAnswer(ref, req, outcome) {
			req.finished = true
			return
		}
		c.finish(req, metrics.Served)
		c.deliver(req, outcome.Answer)
		c.recorder.answer(req, recordpb.Final_FINAL_SERVED, 0)
	case req.clientClosed:
		c.finish(req, metrics.ClientGone)
		c.recorder.answer(req, recordpb.Final_FINAL_GONE, 0)
	}
}

// recordEnd records the end of an attempt, and enters it in the journal.
func (c *Core) recordEnd(req *request, tag backend.AttemptID, outcome *backend.Outcome) {
	c.recorder.attempt(req, tag.Number, outcome)
	if c.journal != nil {
		c.journal.Ended(tag, outcome.Result)
	}
}

// reportEnd releases a request that is done, and passes the end of its attempt to the router.
func (c *Core) reportEnd(req *request, tag backend.AttemptID, outcome *backend.Outcome, final bool) {
	server := req.attempts[tag.Number].server
	c.releaseIfDone(tag.Request, req)
	c.unreportedEnds--
	c.handleEvent(&decide.Outcome{
		ID:       requestID(tag.Request),
		Attempt:  tag.Number,
		Server:   server,
		Result:   outcome.Result,
		Final:    final,
		Reported: reportOf(outcome.Report),
		Load:     reportOf(outcome.Load),
	})
}

// forwardReport passes on what a server reported of itself.
func (c *Core) forwardReport(server string, outcome *backend.Outcome) {
	if c.reportSink != nil && (outcome.Role != decide.RoleUnknown || outcome.HasPos) {
		c.reportSink.ServerReported(server, outcome.Role == decide.RolePrimary, outcome.Role == decide.RoleReplica, outcome.Position)
	}
}

// reportOf returns a report in the router's form.
func reportOf(report backend.Report) decide.Report {
	out := decide.Report{Role: report.Role, HasPosition: report.HasPos}
	if report.HasPos {
		out.Position = clock.ToDuration(report.Position)
	}
	return out
}
