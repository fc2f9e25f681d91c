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
	s     *Scatter
	a     execution.Action // that asked for it
	ref   slotmap.Ref
	open  bool       // with core
	over  bool       // the run has given it up, or has its end
	due   bool       // it is to be sent as soon as it has a connection
	begun bool       // an attempt's answer has begun: the part's rows are that one's alone, and no other is sent
	tries []*attempt // that are out; the module may have a copy made
	link  *link      // whose answer it is, from when it begins to its end
}

// attempt is a part's try at one server.
type attempt struct {
	ref   slotmap.Ref
	tag   backend.AttemptID
	store string
	p     *part
	link  *link // once it has one
	ended bool
	lost  bool // its connection broke within the answer
	timer *timers.Timer
}

// AppendQuery is backend.Query's; a shard is asked by its own front.
func (p *part) AppendQuery(dst []byte, _ int) []byte { return dst }

// Served is front.Client's. For the decision module a read is served when its first row has come; the rest is the run's.
func (p *part) Served([]byte) { p.open = false }

// Rejected is front.Client's.
func (p *part) Rejected(retryMs float64) {
	p.open = false
	p.s.event(func(now float64) []execution.Action { return p.s.run.Refused(p.a.Shard, p.a.Try, retryMs, now) })
}

// Failed is front.Client's.
func (p *part) Failed() {
	p.open = false
	p.broke("its server gave no answer in time or broke off", true)
}

func (p *part) broke(why string, again bool) {
	p.s.event(func(now float64) []execution.Action { return p.s.run.Broke(p.a.Shard, p.a.Try, why, again, now) })
}

// wrong tells of rows that can't be merged, wherever they are read.
func (p *part) wrong(err error) {
	if p.s.err == nil && p.s.spec.Missing == 0 {
		p.s.err = fmt.Errorf("shard %q: %w", p.s.spec.Shards[p.a.Shard].Name, err)
	}
	p.broke(err.Error(), false)
}

// Try is core.Servers' Start for this front's parts.
func (f *Front) Try(store string, q backend.Query, until float64, t backend.AttemptID) slotmap.Ref {
	p := q.(*part)
	a := &attempt{tag: t, store: store, p: p}
	a.ref = f.attempts.Put(a)
	a.timer = f.loop.At(until, func() { f.end(a, decide.TimedOut, nil) })
	p.tries = append(p.tries, a)
	switch {
	case f.addrs[store] == "":
		f.end(a, decide.Unreachable, nil)
	case p.over || p.begun:
		f.end(a, decide.NotSent, nil)
	default:
		f.connect(a)
	}
	return slotmap.Ref{Index: a.ref.Index | firstRef, Gen: a.ref.Gen}
}

// Cancel is core.Servers': it gives an attempt up.
func (f *Front) Cancel(ref slotmap.Ref) {
	if a, ok := f.attempts.Get(slotmap.Ref{Index: ref.Index &^ firstRef, Gen: ref.Gen}); ok {
		f.end(a, decide.Cancelled, nil)
	}
}

// end ends an attempt, once.
func (f *Front) end(a *attempt, r decide.Result, l *link) {
	if a.ended {
		return
	}
	a.ended = true
	f.attempts.Remove(a.ref)
	f.loop.StopTimer(a.timer)
	p, x := a.p, a.link
	if i := slices.Index(p.tries, a); i >= 0 {
		p.tries = slices.Delete(p.tries, i, i+1)
	}
	quit := r == decide.TimedOut || r == decide.Cancelled
	switch {
	case quit && a.lost:
		r = decide.Reset
	case quit && x != nil && x == p.link: // its answer has begun: it was served, and the rest is the run's
		r = decide.OK
	}
	o := backend.Outcome{Result: r}
	if l != nil {
		o.Role, o.Position, o.HasPos = l.said()
	}
	if a.link = nil; x != nil && r != decide.OK {
		if !x.asked && quit {
			o.Result = decide.NotSent // nothing was sent
		}
		x.drop()
	}
	f.events.AttemptEnded(a.tag, o)
}

// begins has a part's answer be the one that comes on a link. A copy that is out is given up: rows of two would not be in order, and the end of one
// is not the other's.
func (p *part) begins(l *link) {
	if p.begun {
		return
	}
	p.begun, p.link = true, l
	if len(p.tries) < 2 {
		return
	}
	f := p.s.f
	if a := l.attempt; a != nil {
		f.end(a, decide.OK, nil) // first, so the module asks no other in place of those that are given up
	}
	for _, a := range slices.Clone(p.tries) {
		f.end(a, decide.Cancelled, nil)
	}
}

// granted goes on with a part that has a connection.
func (p *part) granted(l *link) {
	l.attempt.link = l
	if p.due {
		p.send(l)
		return
	}
	p.s.event(func(now float64) []execution.Action { return p.s.run.Granted(p.a.Shard, p.a.Try, now) })
}

// sendAll has the statement go out, at once or when there is a connection.
func (p *part) sendAll() {
	p.due = true
	for _, a := range slices.Clone(p.tries) {
		if l := a.link; l != nil && !l.asked && !p.over {
			p.send(l)
		}
	}
}

func (p *part) send(l *link) {
	f := p.s.f
	if f.barred[l.key.store] { // it drains since: the module knows another one
		f.end(l.attempt, decide.Overloaded, nil)
		return
	}
	if a := l.attempt; a != nil && !f.events.MaySend(a.tag) {
		f.end(a, decide.NotSent, nil)
		return
	}
	if err := l.ask(p); err != nil {
		p.broke(err.Error(), false)
		return
	}
	f.Counts.Asked++
	if a := l.attempt; a != nil && !a.ended && l.conn != nil && l.conn.Unsent() == 0 {
		f.events.AttemptWritten(a.tag)
	}
}

// giveUp ends a part for the run. A server that works on it is told.
func (p *part) giveUp() {
	if p.over {
		return
	}
	p.over = true
	if p.link != nil {
		p.link.finish()
	}
	tries := slices.Clone(p.tries)
	for _, a := range tries {
		l := a.link
		if l != nil && l.asked {
			l.finish()
		}
		if p.open && l != nil && l.first { // its answer has begun: as far as it was wanted it was served
			p.s.f.end(a, decide.OK, nil)
		}
	}
	if p.open {
		p.open = false
		p.s.f.desk.Abandon(p.ref)
	}
	for _, a := range tries {
		if l := a.link; l != nil && !l.asked {
			a.link = nil
			l.drop()
		}
	}
}
