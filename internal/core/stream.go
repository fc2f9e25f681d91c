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

// streamStoreMs is how long the end of a streamed answer waits at most for its session's commit to be stored.
const streamStoreMs = 1000

// stream is an answer that is streamed to the request's client. Its beginning shows that the server has answered; what the server reports about
// itself, and whether the answer is complete, is known at its end.
type stream struct {
	core    *Core
	ref     slotmap.Ref
	attempt backend.AttemptID
	client  backend.AnswerStream
	stop    func() // abandons the rest at the server's connection; nil once the answer has ended
}

// AnswerStreams implements backend.Events. The router regards the request as answered when the stream begins.
func (c *Core) AnswerStreams(id backend.AttemptID, bytes int, stop func()) backend.AttemptStream {
	req, ok := c.requests.Get(id.Request)
	if !ok {
		return nil
	}
	c.unreportedEnds++
	req.inFlight--
	c.AttemptWritten(id)
	outcome := backend.Outcome{Result: decide.OK}
	c.observeAttemptEnd(req, id.Number, outcome.Result)
	receiver, ok := req.client.(platform.StreamReceiver)
	receives := ok && !req.finished
	var begun *stream
	if receives {
		begun = &stream{core: c, ref: id.Request, attempt: id, stop: stop}
		req.finished = true
		req.stream = begun
		begun.client = receiver.ReceiveStream(backend.StreamStart{
			Bytes:    bytes,
			Deadline: req.deadline,
			Abandon:  func() { begun.abandon(metrics.Failed) },
		})
	} else {
		c.recordEnd(req, id, &outcome)
	}
	server := string(req.attempts[id.Number].server)
	c.reportEnd(req, id, &outcome, req.finished)
	if observer := c.observation.observer; observer != nil {
		observer.Ended(server, id, outcome.Result, outcome.Report)
	}
	if !receives || req.stream != begun {
		return nil
	}
	return begun
}

// Chunk implements backend.AttemptStream.
func (s *stream) Chunk(b []byte) { s.client.Chunk(b) }

// HasCapacity implements backend.AttemptStream.
func (s *stream) HasCapacity() bool { return s.client.HasCapacity() }

// Ended implements backend.AttemptStream. All that take the outcomes of attempts have it before the client has the rest of the answer.
func (s *stream) Ended(outcome backend.Outcome) {
	c := s.core
	req := s.request()
	if req == nil {
		return
	}
	s.stop = nil
	attempt := &req.attempts[s.attempt.Number]
	c.recordEnd(req, s.attempt, &outcome)
	c.reportAnswerEnd(attempt.server, attempt.startedAt, req.commitSession, &outcome)
	if s.request() == nil { // abandoned by what the report has caused
		return
	}
	if outcome.Result != decide.OK || !s.delayEnd(req, &outcome) {
		s.finish(outcome.Answer, outcome.Result == decide.OK)
	}
}

// request returns the request while its answer is streamed, nil afterwards.
func (s *stream) request() *request {
	if req, ok := s.core.requests.Get(s.ref); ok && req.stream == s {
		return req
	}
	return nil
}

// AnswerEnded implements backend.Events.
func (c *Core) AnswerEnded(server string, sentAt float64, outcome backend.Outcome) {
	c.reportAnswerEnd(decide.ServerID(server), sentAt, "", &outcome)
}

// reportAnswerEnd passes the end of an answer whose attempt ended before to all that take reports. commitSession is the session in which a write has
// committed if the answer is complete, empty for none.
func (c *Core) reportAnswerEnd(server decide.ServerID, sentAt float64, commitSession string, outcome *backend.Outcome) {
	c.forwardReport(string(server), outcome)
	c.handleEvent(&decide.AnswerEnded{
		Server:   server,
		Result:   outcome.Result,
		SentAt:   clock.ToDuration(sentAt),
		Session:  commitSession,
		Reported: reportOf(outcome.Report),
		Load:     reportOf(outcome.Load),
	})
	if observer := c.observation.observer; observer != nil {
		observer.Reported(string(server), outcome.Report)
	}
}

// delayEnd stores a write's commit, and reports whether the end of the answer has to wait for that.
func (s *stream) delayEnd(req *request, outcome *backend.Outcome) bool {
	c := s.core
	if !c.storesCommitOf(req) {
		return false
	}
	rest := outcome.Answer
	waits := c.sessionTokens.Keep(req.commitSession, c.commitTime(outcome), func(stored bool) { s.finish(rest, stored) })
	if waits {
		c.loop.At(c.loop.Now()+streamStoreMs, func() { s.finish(nil, false) })
	}
	return waits
}

// finish ends the answer at the client with what follows its last chunk, unless it has ended.
func (s *stream) finish(rest []byte, complete bool) {
	req := s.request()
	if req == nil {
		return
	}
	end, final := metrics.Failed, recordpb.Final_FINAL_FAILED
	if complete {
		end, final = metrics.Served, recordpb.Final_FINAL_SERVED
	}
	s.release(req, end, final)
	s.client.Ended(rest, complete)
}

// abandon ends an answer whose client takes no more of it.
func (s *stream) abandon(end metrics.Outcome) {
	req := s.request()
	if req == nil {
		return
	}
	final := recordpb.Final_FINAL_FAILED
	if end == metrics.ClientGone {
		final = recordpb.Final_FINAL_GONE
	}
	stop := s.stop
	if stop != nil { // its end is never known
		s.core.recordEnd(req, s.attempt, &backend.Outcome{Result: decide.Cancelled})
	}
	s.release(req, end, final)
	if stop != nil {
		stop()
	}
}

// release finishes the request, of which nothing is outstanding any more.
func (s *stream) release(req *request, end metrics.Outcome, final recordpb.Final) {
	c := s.core
	req.stream = nil
	c.finish(req, end)
	c.recorder.answer(req, final, 0)
	c.releaseIfDone(s.ref, req)
}
