package scatter

import (
	"fmt"
	"slices"

	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/frontend/scatter/execution"
)

// part is one attempt of the run to read a shard, and one request to the decision module. It implements platform.Client and
// backend.Query.
type part struct {
	page          *PageRead
	action        execution.Action // of kind Submit
	ref           slotmap.Ref
	submitted     bool       // to the dispatcher, which has not answered yet
	ended         bool       // abandoned by the run
	sendWhenReady bool       // the run has begun to send statements: this one is sent as soon as it has a connection
	answerBegun   bool       // the rows are taken from one attempt, and no further attempt is sent
	attempts      []*attempt // attempts in progress; hedging may start more than one
	link          *link      // the connection that the rows are taken from, until its answer has ended
}

// AppendQuery implements backend.Query. It is not called, as link sends the statement.
func (p *part) AppendQuery(dst []byte, _ int) []byte { return dst }

// Served implements platform.Client. To the dispatcher, a read may be served before its rows have ended; see endLongAttempt.
func (p *part) Served([]byte) { p.submitted = false }

// Rejected implements platform.Client.
func (p *part) Rejected(retryMs float64) {
	p.submitted = false
	p.page.handle(func(now float64) []execution.Action {
		return p.page.run.Rejected(p.action.Shard, p.action.Attempt, retryMs, now)
	})
}

// Failed implements platform.Client.
func (p *part) Failed() {
	p.submitted = false
	p.reportFailure("its server gave no answer in time or broke off", true)
}

// reportFailure reports to the run that the read has failed, for a cause.
func (p *part) reportFailure(cause string, retryable bool) {
	p.page.handle(func(now float64) []execution.Action {
		return p.page.run.Failed(p.action.Shard, p.action.Attempt, cause, retryable, now)
	})
}

// rejectRows reports a failure because the rows cannot be merged. It is not retryable, as other servers would send the same rows.
func (p *part) rejectRows(err error) {
	r := p.page
	if r.err == nil && r.spec.MaxMissing == 0 {
		r.err = fmt.Errorf("shard %q: %w", r.spec.Shards[p.action.Shard].Name, err)
	}
	p.reportFailure(err.Error(), false)
}

// beginAnswer takes the rows from one connection, and cancels all other attempts: the rows of two servers together would not be in order,
// and the end of the rows of one server is not that of the other's.
func (p *part) beginAnswer(l *link) {
	if p.answerBegun {
		return
	}
	p.answerBegun = true
	p.link = l
	if len(p.attempts) < 2 {
		return
	}
	f := p.page.frontend
	if l.attempt != nil {
		f.endAttempt(l.attempt, decide.OK, nil) // before the others are cancelled, so that these are not replaced by further attempts
	}
	for _, a := range slices.Clone(p.attempts) {
		f.endAttempt(a, decide.Cancelled, nil)
	}
}

// connected reports to the run that an attempt has a connection, or sends the statement on it.
func (p *part) connected(l *link) {
	l.attempt.link = l
	if p.sendWhenReady {
		p.send(l)
		return
	}
	p.page.handle(func(now float64) []execution.Action {
		return p.page.run.Connected(p.action.Shard, p.action.Attempt, now)
	})
}

// sendAll sends the statement on the connection of each attempt, or as soon as the attempt has one.
func (p *part) sendAll() {
	p.sendWhenReady = true
	for _, a := range slices.Clone(p.attempts) {
		if l := a.link; l != nil && !l.sent && !p.ended {
			p.send(l)
		}
	}
}

func (p *part) send(l *link) {
	f := p.page.frontend
	if f.draining[l.key.server] { // have the decision module choose another server
		f.endAttempt(l.attempt, decide.Overloaded, nil)
		return
	}
	if a := l.attempt; a != nil && !f.events.MaySend(a.id) {
		f.endAttempt(a, decide.NotSent, nil)
		return
	}
	if !l.clean() {
		l.close()
		return
	}
	if err := l.send(p); err != nil {
		p.reportFailure(err.Error(), false)
		return
	}
	f.Counts.Sent++
}

// abandon ends a part that the run does not need any more. Statements that do not end by themselves shortly after are cancelled at their
// servers.
func (p *part) abandon() {
	if p.ended {
		return
	}
	p.ended = true
	if p.link != nil {
		p.link.endAnswer()
	}
	f := p.page.frontend
	attempts := slices.Clone(p.attempts)
	for _, a := range attempts {
		l := a.link
		if l == nil {
			continue
		}
		if l.sent {
			l.endAnswer()
		}
		if p.submitted && l.answerBegun { // the server has answered, and the rest of its answer is not needed
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
