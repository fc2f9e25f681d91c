package clickhouse

import (
	"beechgrade/internal/backend"
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/eventloop/timers"
)

const timedOut = decide.TimedOut

// attempt is a query's attempt, or a probe where r is nil.
type attempt struct {
	ref     slotmap.Ref
	tag     backend.AttemptID
	store   *store
	r       *request
	until   float64
	since   float64 // of a probe
	checked bool    // its server has told that it is not too far behind
	link    *link
	timer   *timers.Timer
	connect *timers.Timer
}

// Ours tells whether a query is of this front.
func Ours(q backend.Query) bool { _, ok := q.(*request); return ok }

// OursRef tells whether an attempt is of this front.
func OursRef(ref slotmap.Ref) bool { return ref.Index&firstRef != 0 && ref.Index&(1<<31) == 0 }

// Try starts an attempt that ends by itself at until.
func (f *Front) Try(id string, q backend.Query, until float64, t backend.AttemptID) slotmap.Ref {
	a := &attempt{tag: t, store: f.stores[id], r: q.(*request), until: until}
	a.ref = f.attempts.Put(a)
	if a.store != nil {
		a.store.barredAt = 0 // the module sends there: it serves
	}
	f.begin(a)
	return slotmap.Ref{Index: a.ref.Index | firstRef, Gen: a.ref.Gen}
}

// Recall is core.Servers'.
func (f *Front) Recall(id string, which func(backend.AttemptID) bool) {
	s := f.stores[id]
	if s == nil {
		return
	}
	for i := 0; i < len(s.waiting); {
		if a := s.waiting[i]; a.r != nil && which(a.tag) {
			f.drop(a, decide.NotSent)
			i = 0 // what that led to may have changed the rest
			continue
		}
		i++
	}
}

// goes asks whether an attempt may still go out. A probe always may.
func (f *Front) goes(a *attempt) bool { return a.r == nil || f.events.MaySend(a.tag) }

// CheckHealth asks a server whether it is there.
func (f *Front) CheckHealth(id string) {
	s := f.stores[id]
	if s == nil {
		f.events.HealthCheckEnded(id, backend.Outcome{Result: decide.Unreachable})
		return
	}
	a := &attempt{store: s, until: f.loop.Now() + f.opt.ConnectMs, since: f.loop.Now()}
	a.ref = f.attempts.Put(a)
	f.begin(a)
}

// Cancel gives an attempt up; a server whose connection goes ends its query.
func (f *Front) Cancel(ref slotmap.Ref) {
	ref.Index &^= firstRef
	if a, ok := f.attempts.Get(ref); ok {
		f.drop(a, decide.Cancelled)
	}
}

func (f *Front) begin(a *attempt) {
	s := a.store
	if s == nil || s.addr == "" {
		f.done(a, decide.Unreachable)
		return
	}
	a.timer = f.loop.At(a.until, func() { f.drop(a, decide.TimedOut) })
	for len(s.idle) > 0 {
		l := s.idle[len(s.idle)-1]
		if !l.conn.OpenAndIdle() { // the server has closed it, perhaps
			l.close()
			continue
		}
		if !f.goes(a) {
			f.drop(a, decide.NotSent)
			return
		}
		s.idle = s.idle[:len(s.idle)-1]
		l.ask(a)
		return
	}
	a.connect = f.loop.At(f.loop.Now()+f.opt.ConnectMs, func() {
		switch {
		case a.link != nil:
		case s.dialing == 0: // want of a descriptor tells nothing of the server
			f.drop(a, decide.NotSent)
		default:
			f.drop(a, decide.Unreachable)
		}
	})
	s.waiting = append(s.waiting, a)
	if s.dialing < len(s.waiting) && f.opt.Spare() > 0 {
		f.dial(s)
	}
}

// drop ends an attempt from this side.
func (f *Front) drop(a *attempt, res decide.Result) {
	if _, ok := f.attempts.Get(a.ref); !ok {
		return
	}
	if l := a.link; l != nil {
		l.attempt = nil
		a.leave(l)
		f.done(a, res)
		l.close()
		if (res == decide.Cancelled || res == decide.TimedOut) && !l.lags {
			f.kill(a.store, a.r)
		}
		return
	}
	w := a.store.waiting
	for i := range w {
		if w[i] == a {
			a.store.waiting = append(w[:i:i], w[i+1:]...)
			break
		}
	}
	if a.r != nil && res != decide.Unreachable {
		res = decide.NotSent // it was never written
	}
	f.done(a, res)
}

// done reports an attempt's end, once.
func (f *Front) done(a *attempt, res decide.Result) {
	if _, ok := f.attempts.Get(a.ref); !ok {
		return
	}
	f.attempts.Remove(a.ref)
	f.loop.StopTimer(a.timer)
	f.loop.StopTimer(a.connect)
	if a.r == nil {
		o := backend.Outcome{Result: res}
		if s := a.store; res == decide.OK && s.toldAt >= a.since && s.toldAt != 0 {
			o.Position, o.HasPos = s.position, true
		}
		f.events.HealthCheckEnded(a.store.id, o)
		return
	}
	if res != decide.Unreachable && res != decide.NotSent {
		a.r.reached = true
	}
	o := backend.Outcome{Result: res}
	if res == decide.Misdirected {
		o.Position, o.HasPos = a.store.position, true
	}
	f.events.AttemptEnded(a.tag, o)
}

// leave has an attempt's request know that it is not out on a connection any more.
func (a *attempt) leave(l *link) {
	if a.r != nil && a.r.taker == l {
		a.r.taker = nil
	}
}
