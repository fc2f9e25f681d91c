package scatter

import (
	"fmt"
	"slices"

	"beechgrade/internal/backend"
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/eventloop/timers"
	"beechgrade/internal/frontend/scatter/execution"
)

// part is a shard's read as the decision module has it: one try of the run. It is front.Client's and backend.Query's.
type part struct {
	scatter       *Scatter
	action        execution.Action // that asked for it
	ref           slotmap.Ref
	submitted     bool       // with core
	ended         bool       // the run has given it up, or has its end
	sendWhenReady bool       // it is to be sent as soon as it has a connection
	answerBegun   bool       // an attempt's answer has begun: the part's rows are that one's alone, and no other is sent
	attempts      []*attempt // that are out; the module may have a copy made
	link          *link      // whose answer it is, from when it begins to its end
}

// attempt is a part's try at one server.
type attempt struct {
	ref           slotmap.Ref
	id            backend.AttemptID
	server        string
	part          *part
	link          *link // once it has one
	ended         bool
	resetInAnswer bool // its connection broke within the answer
	timer         *timers.Timer
}

// AppendQuery is backend.Query's; a shard is asked by its own front.
func (p *part) AppendQuery(dst []byte, _ int) []byte { return dst }

// Served is front.Client's. For the decision module a read is served when its first row has come; the rest is the run's.
func (p *part) Served([]byte) { p.submitted = false }

// Rejected is front.Client's.
func (p *part) Rejected(retryMs float64) {
	p.submitted = false
	p.scatter.handle(func(now float64) []execution.Action {
		return p.scatter.run.Rejected(p.action.Shard, p.action.Attempt, retryMs, now)
	})
}

// Failed is front.Client's.
func (p *part) Failed() {
	p.submitted = false
	p.reportFailure("its server gave no answer in time or broke off", true)
}

func (p *part) reportFailure(why string, again bool) {
	p.scatter.handle(func(now float64) []execution.Action {
		return p.scatter.run.Failed(p.action.Shard, p.action.Attempt, why, again, now)
	})
}

// rejectRows tells of rows that can't be merged, wherever they are read.
func (p *part) rejectRows(err error) {
	if p.scatter.err == nil && p.scatter.spec.MaxMissing == 0 {
		p.scatter.err = fmt.Errorf("shard %q: %w", p.scatter.spec.Shards[p.action.Shard].Name, err)
	}
	p.reportFailure(err.Error(), false)
}

// StartAttempt is core.Servers' Start for this front's parts.
func (f *Frontend) StartAttempt(store string, q backend.Query, until float64, t backend.AttemptID) slotmap.Ref {
	p := q.(*part)
	a := &attempt{id: t, server: store, part: p}
	a.ref = f.attempts.Put(a)
	a.timer = f.loop.At(until, func() { f.endAttempt(a, decide.TimedOut, nil) })
	p.attempts = append(p.attempts, a)
	switch {
	case f.addresses[store] == "":
		f.endAttempt(a, decide.Unreachable, nil)
	case p.ended || p.answerBegun:
		f.endAttempt(a, decide.NotSent, nil)
	default:
		f.connect(a)
	}
	return slotmap.Ref{Index: a.ref.Index | attemptRefBit, Gen: a.ref.Gen}
}

// Cancel is core.Servers': it gives an attempt up.
func (f *Frontend) Cancel(ref slotmap.Ref) {
	if a, ok := f.attempts.Get(slotmap.Ref{Index: ref.Index &^ attemptRefBit, Gen: ref.Gen}); ok {
		f.endAttempt(a, decide.Cancelled, nil)
	}
}

// endAttempt ends an attempt, once.
func (f *Frontend) endAttempt(a *attempt, r decide.Result, l *link) {
	if a.ended {
		return
	}
	a.ended = true
	f.attempts.Remove(a.ref)
	f.loop.StopTimer(a.timer)
	p, x := a.part, a.link
	if i := slices.Index(p.attempts, a); i >= 0 {
		p.attempts = slices.Delete(p.attempts, i, i+1)
	}
	quit := r == decide.TimedOut || r == decide.Cancelled
	switch {
	case quit && a.resetInAnswer:
		r = decide.Reset
	case quit && x != nil && x == p.link: // its answer has begun: it was served, and the rest is the run's
		r = decide.OK
	}
	o := backend.Outcome{Result: r}
	if l != nil {
		o.Role, o.Position, o.HasPos = l.reportedState()
	}
	if a.link = nil; x != nil && r != decide.OK {
		if !x.sent && quit {
			o.Result = decide.NotSent // nothing was sent
		}
		x.detach()
	}
	f.events.AttemptEnded(a.id, o)
}

// beginAnswer has a part's answer be the one that comes on a link. A copy that is out is given up: rows of two would not be in order, and the end of one
// is not the other's.
func (p *part) beginAnswer(l *link) {
	if p.answerBegun {
		return
	}
	p.answerBegun, p.link = true, l
	if len(p.attempts) < 2 {
		return
	}
	f := p.scatter.frontend
	if a := l.attempt; a != nil {
		f.endAttempt(a, decide.OK, nil) // first, so the module asks no other in place of those that are given up
	}
	for _, a := range slices.Clone(p.attempts) {
		f.endAttempt(a, decide.Cancelled, nil)
	}
}

// connected goes on with a part that has a connection.
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

// sendAll has the statement go out, at once or when there is a connection.
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
	if f.draining[l.key.server] { // it drains since: the module knows another one
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

// abandon ends a part for the run. A server that works on it is told.
func (p *part) abandon() {
	if p.ended {
		return
	}
	p.ended = true
	if p.link != nil {
		p.link.endAnswer()
	}
	tries := slices.Clone(p.attempts)
	for _, a := range tries {
		l := a.link
		if l != nil && l.sent {
			l.endAnswer()
		}
		if p.submitted && l != nil && l.answerBegun { // its answer has begun: as far as it was wanted it was served
			p.scatter.frontend.endAttempt(a, decide.OK, nil)
		}
	}
	if p.submitted {
		p.submitted = false
		p.scatter.frontend.dispatcher.Abandon(p.ref)
	}
	for _, a := range tries {
		if l := a.link; l != nil && !l.sent {
			a.link = nil
			l.detach()
		}
	}
}
