package core

import (
	"beechgrade/internal/backend"
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/metrics"
	"beechgrade/internal/record/recordpb"
)

// AttemptWritten implements backend.Events.
func (c *Core) AttemptWritten(id backend.AttemptID) {
	req, ok := c.requests.Get(id.Request)
	if !ok || req.attempts[id.Number].written {
		return
	}
	req.attempts[id.Number].written = true
	c.checkWritten(req, id.Number)
	c.requests.sentKeys.recordSend(req.key, req.attempts[id.Number].startedAt, c.loop.Now())
	c.metrics.Attempts++
}

// AttemptEnded implements backend.Events.
func (c *Core) AttemptEnded(id backend.AttemptID, outcome backend.Outcome) {
	req, ok := c.requests.Get(id.Request)
	if !ok {
		return
	}
	c.unreportedEnds++
	req.inFlight--
	if showsWritten(outcome.Result) {
		c.AttemptWritten(id)
	}
	a := &req.attempts[id.Number]
	if showsNotRun(outcome.Result) {
		c.requests.sentKeys.forget(req.key, a.startedAt)
		a.didNotRun = true
	}
	server := string(a.server)
	c.observeAttemptEnd(req, id.Number, outcome.Result)
	c.recordEnd(req, id, &outcome)
	c.forwardReport(server, &outcome)
	c.answerClient(id.Request, req, &outcome)
	c.reportEnd(req, id, &outcome, req.finished)
	if observer := c.observation.observer; observer != nil {
		// The observer may start a trial of the server at once, so the router must have the report before.
		observer.Ended(server, id, outcome.Result, outcome.Report)
	}
}

// showsWritten reports whether a result shows that the attempt was written: it was answered, or its connection broke.
func showsWritten(result decide.Result) bool {
	switch result {
	case decide.OK, decide.Misdirected, decide.Failed, decide.Reset:
		return true
	}
	return false
}

// showsNotRun reports whether a result shows that the server did not run the attempt.
func showsNotRun(result decide.Result) bool {
	switch result {
	case decide.Misdirected, decide.Overloaded, decide.Unreachable, decide.NotSent:
		return true
	}
	return false
}

// answerClient answers the client of an open request if its attempt was served, and finishes a request whose client has closed its
// connection.
func (c *Core) answerClient(ref slotmap.Ref, req *request, outcome *backend.Outcome) {
	switch {
	case req.finished:
	case outcome.Result == decide.OK:
		if c.delayAnswer(ref, req, outcome) {
			req.finished = true
			return
		}
		c.finish(req, metrics.Served)
		req.client.Served(outcome.Answer)
		c.recorder.answer(req, recordpb.Final_FINAL_SERVED, 0)
	case req.clientClosed:
		c.finish(req, metrics.ClientGone)
		c.recorder.answer(req, recordpb.Final_FINAL_GONE, 0)
	}
}

// recordEnd writes the end of an attempt to the records and the journal.
func (c *Core) recordEnd(req *request, id backend.AttemptID, outcome *backend.Outcome) {
	c.recorder.attempt(req, id.Number, outcome)
	if c.journal != nil {
		c.journal.Ended(id, outcome.Result)
	}
}

// reportEnd releases the request if it is done, and passes the end of its attempt to the router.
func (c *Core) reportEnd(req *request, id backend.AttemptID, outcome *backend.Outcome, final bool) {
	server := req.attempts[id.Number].server
	c.releaseIfDone(id.Request, req)
	c.unreportedEnds--
	c.handleEvent(&decide.Outcome{
		ID:       requestID(id.Request),
		Attempt:  id.Number,
		Server:   server,
		Result:   outcome.Result,
		Final:    final,
		Reported: reportOf(outcome.Report),
		Load:     reportOf(outcome.Load),
	})
}

// forwardReport passes a server's report to the report sink.
func (c *Core) forwardReport(server string, outcome *backend.Outcome) {
	if c.reportSink != nil && (outcome.Role != decide.RoleUnknown || outcome.HasPosition) {
		c.reportSink.ServerReported(server, outcome.Role == decide.RolePrimary, outcome.Role == decide.RoleReplica, outcome.Position)
	}
}

// reportOf converts a server's report for the router.
func reportOf(report backend.Report) decide.Report {
	out := decide.Report{Role: report.Role, HasPosition: report.HasPosition}
	if report.HasPosition {
		out.Position = clock.ToDuration(report.Position)
	}
	return out
}
