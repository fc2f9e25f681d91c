package clickhouse

import (
	"beechgrade/internal/backend"
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/eventloop/timers"
)

// An attempt's Ref has attemptRefBit set in its Index and otherRefBit clear. By these bits the frontends distinguish their attempts.
const (
	attemptRefBit = 1 << 30
	otherRefBit   = 1 << 31
)

// attempt is an attempt to run a request at a server, or a health check.
type attempt struct {
	ref              slotmap.Ref
	id               backend.AttemptID
	server           *server
	request          *request // nil for a health check
	startedAt        float64  // of a health check
	deadline         float64
	stalenessChecked bool          // the server has reported a staleness that the request allows
	link             *link         // nil until the attempt is sent
	timer            *timers.Timer // of the deadline
	connectTimer     *timers.Timer // bounds the wait for a connection
}

// IsRequest reports whether a query is a request of this frontend.
func IsRequest(query backend.Query) bool {
	_, ok := query.(*request)
	return ok
}

// IsAttemptRef reports whether an attempt belongs to this frontend.
func IsAttemptRef(ref slotmap.Ref) bool {
	return ref.Index&attemptRefBit != 0 && ref.Index&otherRefBit == 0
}

// StartAttempt starts an attempt, which times out at the deadline. Its outcome is reported to backend.Events.
func (f *Frontend) StartAttempt(serverID string, query backend.Query, deadline float64, id backend.AttemptID) slotmap.Ref {
	a := &attempt{id: id, server: f.servers[serverID], request: query.(*request), deadline: deadline}
	a.ref = f.attempts.Put(a)
	if a.server != nil {
		a.server.drainedAt = 0 // attempts are only started at servers that do not drain
	}
	f.dispatch(a)
	return slotmap.Ref{Index: a.ref.Index | attemptRefBit, Gen: a.ref.Gen}
}

// Recall ends the attempts that wait for a connection to a server and that choose selects, so that they can be sent to other servers.
func (f *Frontend) Recall(serverID string, choose func(backend.AttemptID) bool) {
	s := f.servers[serverID]
	if s == nil {
		return
	}
	for i := 0; i < len(s.waiting); {
		if a := s.waiting[i]; a.request != nil && choose(a.id) {
			f.abort(a, decide.NotSent)
			i = 0 // the list may have changed
			continue
		}
		i++
	}
}

// CheckHealth sends a health check to a server. Its outcome is reported to backend.Events.
func (f *Frontend) CheckHealth(serverID string) {
	s := f.servers[serverID]
	if s == nil {
		f.events.HealthCheckEnded(serverID, backend.Outcome{Result: decide.Unreachable})
		return
	}
	a := &attempt{server: s, deadline: f.loop.Now() + f.options.ConnectTimeoutMs, startedAt: f.loop.Now()}
	a.ref = f.attempts.Put(a)
	f.dispatch(a)
}

// Cancel ends an attempt. The server ends the query when it detects the closed connection or receives KILL QUERY.
func (f *Frontend) Cancel(ref slotmap.Ref) {
	ref.Index &^= attemptRefBit
	if a, ok := f.attempts.Get(ref); ok {
		f.abort(a, decide.Cancelled)
	}
}

// maySend reports whether an attempt may still be sent. The decision module may have ruled it out since it was started.
func (f *Frontend) maySend(a *attempt) bool { return a.request == nil || f.events.MaySend(a.id) }

// dispatch sends an attempt on an idle connection, or queues it until one is available.
func (f *Frontend) dispatch(a *attempt) {
	s := a.server
	if s == nil || s.address == "" {
		f.finishAttempt(a, decide.Unreachable)
		return
	}
	a.timer = f.loop.At(a.deadline, func() { f.abort(a, decide.TimedOut) })
	for len(s.idle) > 0 {
		l := s.idle[len(s.idle)-1]
		if !l.clean() { // the server may have closed the connection
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
	a.connectTimer = f.loop.At(f.loop.Now()+f.options.ConnectTimeoutMs, func() { f.connectTimedOut(a) })
	s.waiting = append(s.waiting, a)
	f.dialForWaiting(s)
}

// connectTimedOut ends an attempt that has waited for a connection for too long.
func (f *Frontend) connectTimedOut(a *attempt) {
	switch {
	case a.link != nil:
	case a.server.dialingConns == 0: // no connection could be opened for lack of descriptors, which is not the server's fault
		f.abort(a, decide.NotSent)
	default:
		f.abort(a, decide.Unreachable)
	}
}

// abort ends an attempt that has not been answered, unless it has already ended.
func (f *Frontend) abort(a *attempt, result decide.Result) {
	if _, ok := f.attempts.Get(a.ref); !ok {
		return
	}
	if a.link != nil {
		f.abortSent(a, result)
		return
	}
	a.server.removeWaiting(a)
	if a.request != nil && result != decide.Unreachable {
		result = decide.NotSent
	}
	f.finishAttempt(a, result)
}

// abortSent ends an attempt that was sent, and closes its connection.
func (f *Frontend) abortSent(a *attempt, result decide.Result) {
	l := a.link
	l.attempt = nil
	a.detachRequest(l)
	f.finishAttempt(a, result)
	l.close()
	mayStillRun := result == decide.Cancelled || result == decide.TimedOut
	if mayStillRun && !l.asksStaleness {
		f.kill(a.server, a.request)
	}
}

// finishAttempt ends an attempt and reports its outcome, unless the attempt has already ended.
func (f *Frontend) finishAttempt(a *attempt, result decide.Result) {
	if _, ok := f.attempts.Get(a.ref); !ok {
		return
	}
	f.attempts.Remove(a.ref)
	f.loop.StopTimer(a.timer)
	f.loop.StopTimer(a.connectTimer)
	s := a.server
	outcome := backend.Outcome{Result: result}
	if a.request == nil {
		if result == decide.OK && s.reportedAt != 0 && s.reportedAt >= a.startedAt {
			outcome.Position = s.positionMs
			outcome.HasPosition = true
		}
		f.events.HealthCheckEnded(s.id, outcome)
		return
	}
	if result != decide.Unreachable && result != decide.NotSent {
		a.request.reachedServer = true
	}
	if result == decide.Misdirected {
		outcome.Position = s.positionMs
		outcome.HasPosition = true
	}
	f.events.AttemptEnded(a.id, outcome)
}

// detachRequest clears the attemptLink of the attempt's request if it is l.
func (a *attempt) detachRequest(l *link) {
	if a.request != nil && a.request.attemptLink == l {
		a.request.attemptLink = nil
	}
}
