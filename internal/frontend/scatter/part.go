package scatter

import (
	"fmt"
	"slices"

	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/frontend/scatter/execution"
)

// part is an attempt of the run to read a shard, which is one request for the decision module. It implements platform.Client and
// backend.Query.
type part struct {
	scatter       *PageRead
	action        execution.Action // the Submit
	ref           slotmap.Ref
	submitted     bool       // and not answered by the dispatcher yet
	ended         bool       // cancelled by the run
	sendWhenReady bool       // the run has sent all statements: it is sent as soon as it has a connection
	answerBegun   bool       // the rows are those of one attempt from now on, and no other is sent
	attempts      []*attempt // at servers; hedging may start more than one
	link          *link      // the connection of the answer, until that has ended
}

// AppendQuery implements backend.Query. It is not called: the statement is sent by link.
func (p *part) AppendQuery(dst []byte, _ int) []byte { return dst }

// Served implements platform.Client. For the dispatcher, a read is served when its first row has come.
func (p *part) Served([]byte) { p.submitted = false }

// Rejected implements platform.Client.
func (p *part) Rejected(retryMs float64) {
	p.submitted = false
	p.scatter.handle(func(now float64) []execution.Action {
		return p.scatter.run.Rejected(p.action.Shard, p.action.Attempt, retryMs, now)
	})
}

// Failed implements platform.Client.
func (p *part) Failed() {
	p.submitted = false
	p.reportFailure("its server gave no answer in time or broke off", true)
}

// reportFailure reports to the run that the read has failed.
func (p *part) reportFailure(cause string, retryable bool) {
	p.scatter.handle(func(now float64) []execution.Action {
		return p.scatter.run.Failed(p.action.Shard, p.action.Attempt, cause, retryable, now)
	})
}

// rejectRows reports rows that cannot be merged. Other servers would send the same.
func (p *part) rejectRows(err error) {
	s := p.scatter
	if s.err == nil && s.spec.MaxMissing == 0 {
		s.err = fmt.Errorf("shard %q: %w", s.spec.Shards[p.action.Shard].Name, err)
	}
	p.reportFailure(err.Error(), false)
}

// beginAnswer takes the rows from one connection. Other attempts are cancelled: the rows of two servers would not be in order, and the
// end of one is not that of the other.
func (p *part) beginAnswer(l *link) {
	if p.answerBegun {
		return
	}
	p.answerBegun = true
	p.link = l
	if len(p.attempts) < 2 {
		return
	}
	f := p.scatter.frontend
	if l.attempt != nil {
		f.endAttempt(l.attempt, decide.OK, nil) // first, so that no further attempt is started for those that are cancelled
	}
	for _, a := range slices.Clone(p.attempts) {
		f.endAttempt(a, decide.Cancelled, nil)
	}
}

// connected uses the connection of an attempt.
func (p *part) connected(l *link) {
	l.attempt.link = l
	if p.sendWhenReady {
		p.send(l)
		return
	}
	p.scatter.handle(func(now float64) []execution.Action {
		return p.scatter.run.Connected(p.action.Shard, p.action.Attempt, now)
	})
}

// sendAll sends the statement on each attempt's connection, now or when it is open.
func (p *part) sendAll() {
	p.sendWhenReady = true
	for _, a := range slices.Clone(p.attempts) {
		if l := a.link; l != nil && !l.sent && !p.ended {
			p.send(l)
		}
	}
}

func (p *part) send(l *link) {
	f := p.scatter.frontend
	if f.draining[l.key.server] { // the decision module chooses another server
		f.endAttempt(l.attempt, decide.Overloaded, nil)
		return
	}
	if a := l.attempt; a != nil && !f.events.MaySend(a.id) {
		f.endAttempt(a, decide.NotSent, nil)
		return
	}
	if err := l.send(p); err != nil {
		p.reportFailure(err.Error(), false)
		return
	}
	f.Counts.Sent++
	if a := l.attempt; a != nil && !a.ended && l.conn != nil && l.conn.Unsent() == 0 {
		f.events.AttemptWritten(a.id)
	}
}

// abandon ends a part that the run does not need any more. Servers that run its statement are sent a cancel request.
func (p *part) abandon() {
	if p.ended {
		return
	}
	p.ended = true
	if p.link != nil {
		p.link.endAnswer()
	}
	f := p.scatter.frontend
	attempts := slices.Clone(p.attempts)
	for _, a := range attempts {
		l := a.link
		if l == nil {
			continue
		}
		if l.sent {
			l.endAnswer()
		}
		if p.submitted && l.answerBegun { // the server has answered, as far as its answer was needed
			f.endAttempt(a, decide.OK, nil)
		}
	}
	if p.submitted {
		p.submitted = false
		f.dispatcher.Abandon(p.ref)
	}
	for _, a := range attempts {
		if l := a.link; l != nil && !l.sent {
			a.link = nil
			l.detach()
		}
	}
}
