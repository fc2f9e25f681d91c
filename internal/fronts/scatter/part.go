package scatter

import (
	"fmt"

	"beechgrade/internal/backend"
	"beechgrade/internal/deadline"
	"beechgrade/internal/decide"
	"beechgrade/internal/fronts/scatter/run"
	"beechgrade/internal/slots"
)

// part is a shard's read as the decision module has it: one try of the run. It is front.Client's and backend.Query's.
type part struct {
	s       *Scatter
	a       run.Action // that asked for it
	ref     slots.Ref
	open    bool // with core
	over    bool // the run has given it up, or has its end
	due     bool // it is to be sent as soon as it has a connection
	attempt *attempt
	link    *link
}

// attempt is a part's try at one server.
type attempt struct {
	ref   slots.Ref
	tag   backend.Tag
	store string
	p     *part
	ended bool
	timer *deadline.Timer
}

// AppendQuery is backend.Query's; a shard is asked by its own front.
func (p *part) AppendQuery(dst []byte, _ int) []byte { return dst }

// Served is front.Client's. For the decision module a read is served when its first row has come; the rest is the run's.
func (p *part) Served([]byte) { p.open = false }

// Refused is front.Client's.
func (p *part) Refused(retryMs float64) {
	p.open = false
	p.s.event(func(now float64) []run.Action { return p.s.run.Refused(p.a.Shard, p.a.Try, retryMs, now) })
}

// Failed is front.Client's.
func (p *part) Failed() {
	p.open = false
	p.broke("its server gave no answer in time or broke off", true)
}

func (p *part) broke(why string, again bool) {
	p.s.event(func(now float64) []run.Action { return p.s.run.Broke(p.a.Shard, p.a.Try, why, again, now) })
}

// wrong tells of rows that can't be merged, wherever they are read.
func (p *part) wrong(err error) {
	if p.s.err == nil && p.s.spec.Missing == 0 {
		p.s.err = fmt.Errorf("shard %q: %w", p.s.spec.Shards[p.a.Shard].Name, err)
	}
	p.broke(err.Error(), false)
}

// Try is core.Servers' Start for this front's parts.
func (f *Front) Try(store string, q backend.Query, until float64, t backend.Tag) slots.Ref {
	p := q.(*part)
	a := &attempt{tag: t, store: store, p: p}
	a.ref = f.attempts.Put(a)
	a.timer = f.loop.At(until, func() { f.end(a, decide.TimedOut, nil) })
	p.attempt = a
	switch {
	case f.addrs[store] == "":
		f.end(a, decide.Unreachable, nil)
	case p.over:
		f.end(a, decide.Skipped, nil)
	default:
		f.connect(a)
	}
	return slots.Ref{Index: a.ref.Index | firstRef, Gen: a.ref.Gen}
}

// Cancel is core.Servers': it gives an attempt up.
func (f *Front) Cancel(ref slots.Ref) {
	if a, ok := f.attempts.Get(slots.Ref{Index: ref.Index &^ firstRef, Gen: ref.Gen}); ok {
		f.end(a, decide.Cancelled, nil)
	}
}

// end ends an attempt, once.
func (f *Front) end(a *attempt, r decide.Result, l *link) {
	if a.ended {
		return
	}
	a.ended = true
	f.attempts.Drop(a.ref)
	f.loop.Stop(a.timer)
	o := backend.Outcome{Result: r}
	p := a.p
	if p.attempt == a {
		p.attempt = nil
	}
	if l != nil {
		o.Role, o.Position, o.HasPos = l.said()
	}
	if x := p.link; x != nil && r != decide.OK && x.attempt == a {
		p.link = nil
		if !x.asked && (r == decide.TimedOut || r == decide.Cancelled) {
			o.Result = decide.Skipped // nothing was sent
		}
		x.drop()
	}
	f.events.AttemptEnded(a.tag, o)
}

// granted goes on with a part that has a connection.
func (p *part) granted(l *link) {
	p.link = l
	if p.due {
		p.send()
		return
	}
	p.s.event(func(now float64) []run.Action { return p.s.run.Granted(p.a.Shard, p.a.Try, now) })
}

// send has the statement go out, at once or when there is a connection.
func (p *part) send() {
	l := p.link
	if p.due = true; l == nil {
		return
	}
	f := p.s.f
	if f.barred[l.key.store] { // it drains since: the module knows another one
		f.end(l.attempt, decide.Full, nil)
		return
	}
	if err := l.ask(p); err != nil {
		p.broke(err.Error(), false)
		return
	}
	f.Counts.Asked++
	if a := p.attempt; a != nil && l.conn != nil && l.conn.Unsent() == 0 {
		f.events.AttemptWritten(a.tag)
	}
}

// giveUp ends a part for the run. A server that works on it is told.
func (p *part) giveUp() {
	if p.over {
		return
	}
	p.over = true
	l := p.link
	if l != nil && l.asked {
		l.finish()
	}
	if a := p.attempt; p.open && a != nil && l != nil && l.first { // its answer has begun: as far as it was wanted it was served
		p.s.f.end(a, decide.OK, nil)
	}
	if p.open {
		p.open = false
		p.s.f.desk.Gone(p.ref)
	}
	if l != nil && !l.asked && p.link == l {
		p.link = nil
		l.drop()
	}
}
