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
	ref          slotmap.Ref
	id           backend.AttemptID
	server       *server
	request      *request
	deadline     float64
	startedAt    float64 // of a probe
	staleChecked bool    // its server has told that it is not too far behind
	link         *link
	timer        *timers.Timer
	connectTimer *timers.Timer
}

// IsRequest tells whether a query is of this front.
func IsRequest(q backend.Query) bool { _, ok := q.(*request); return ok }

// IsAttemptRef tells whether an attempt is of this front.
func IsAttemptRef(ref slotmap.Ref) bool {
	return ref.Index&attemptRefBit != 0 && ref.Index&(1<<31) == 0
}

// StartAttempt starts an attempt that ends by itself at until.
func (f *Frontend) StartAttempt(id string, q backend.Query, until float64, t backend.AttemptID) slotmap.Ref {
	a := &attempt{id: t, server: f.servers[id], request: q.(*request), deadline: until}
	a.ref = f.attempts.Put(a)
	if a.server != nil {
		a.server.drainedAt = 0 // the module sends there: it serves
	}
	f.dispatch(a)
	return slotmap.Ref{Index: a.ref.Index | attemptRefBit, Gen: a.ref.Gen}
}

// Recall is core.Servers'.
func (f *Frontend) Recall(id string, which func(backend.AttemptID) bool) {
	s := f.servers[id]
	if s == nil {
		return
	}
	for i := 0; i < len(s.waiting); {
		if a := s.waiting[i]; a.request != nil && which(a.id) {
			f.abort(a, decide.NotSent)
			i = 0 // what that led to may have changed the rest
			continue
		}
		i++
	}
}

// maySend asks whether an attempt may still go out. A probe always may.
func (f *Frontend) maySend(a *attempt) bool { return a.request == nil || f.events.MaySend(a.id) }

// CheckHealth asks a server whether it is there.
func (f *Frontend) CheckHealth(id string) {
	s := f.servers[id]
	if s == nil {
		f.events.HealthCheckEnded(id, backend.Outcome{Result: decide.Unreachable})
		return
	}
	a := &attempt{server: s, deadline: f.loop.Now() + f.options.ConnectTimeoutMs, startedAt: f.loop.Now()}
	a.ref = f.attempts.Put(a)
	f.dispatch(a)
}

// Cancel gives an attempt up; a server whose connection goes ends its query.
func (f *Frontend) Cancel(ref slotmap.Ref) {
	ref.Index &^= attemptRefBit
	if a, ok := f.attempts.Get(ref); ok {
		f.abort(a, decide.Cancelled)
	}
}

func (f *Frontend) dispatch(a *attempt) {
	s := a.server
	if s == nil || s.address == "" {
		f.finishAttempt(a, decide.Unreachable)
		return
	}
	a.timer = f.loop.At(a.deadline, func() { f.abort(a, decide.TimedOut) })
	for len(s.idle) > 0 {
		l := s.idle[len(s.idle)-1]
		if !l.conn.OpenAndIdle() { // the server has closed it, perhaps
			l.close()
			continue
		}
		if !f.maySend(a) {
			f.abort(a, decide.NotSent)
			return
		}
		s.idle = s.idle[:len(s.idle)-1]
		l.send(a)
		return
	}
	a.connectTimer = f.loop.At(f.loop.Now()+f.options.ConnectTimeoutMs, func() {
		switch {
		case a.link != nil:
		case s.dialing == 0: // want of a descriptor tells nothing of the server
			f.abort(a, decide.NotSent)
		default:
			f.abort(a, decide.Unreachable)
		}
	})
	s.waiting = append(s.waiting, a)
	if s.dialing < len(s.waiting) && f.options.SpareDescriptors() > 0 {
		f.dial(s)
	}
}

// abort ends an attempt from this side.
func (f *Frontend) abort(a *attempt, res decide.Result) {
	if _, ok := f.attempts.Get(a.ref); !ok {
		return
	}
	if l := a.link; l != nil {
		l.attempt = nil
		a.detachRequest(l)
		f.finishAttempt(a, res)
		l.close()
		if (res == decide.Cancelled || res == decide.TimedOut) && !l.asksStaleness {
			f.kill(a.server, a.request)
		}
		return
	}
	w := a.server.waiting
	for i := range w {
		if w[i] == a {
			a.server.waiting = append(w[:i:i], w[i+1:]...)
			break
		}
	}
	if a.request != nil && res != decide.Unreachable {
		res = decide.NotSent // it was never written
	}
	f.finishAttempt(a, res)
}

// finishAttempt reports an attempt's end, once.
func (f *Frontend) finishAttempt(a *attempt, res decide.Result) {
	if _, ok := f.attempts.Get(a.ref); !ok {
		return
	}
	f.attempts.Remove(a.ref)
	f.loop.StopTimer(a.timer)
	f.loop.StopTimer(a.connectTimer)
	if a.request == nil {
		o := backend.Outcome{Result: res}
		if s := a.server; res == decide.OK && s.reportedAt >= a.startedAt && s.reportedAt != 0 {
			o.Position, o.HasPos = s.positionMs, true
		}
		f.events.HealthCheckEnded(a.server.id, o)
		return
	}
	if res != decide.Unreachable && res != decide.NotSent {
		a.request.reached = true
	}
	o := backend.Outcome{Result: res}
	if res == decide.Misdirected {
		o.Position, o.HasPos = a.server.positionMs, true
	}
	f.events.AttemptEnded(a.id, o)
}

// detachRequest has an attempt's request know that it is not out on a connection any more.
func (a *attempt) detachRequest(l *link) {
	if a.request != nil && a.request.uploadLink == l {
		a.request.uploadLink = nil
	}
}
