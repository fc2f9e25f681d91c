package scatter

import (
	"slices"

	"beechgrade/internal/backend"
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/eventloop/timers"
)

// The highest bits of the index of an attempt's Ref identify the frontend that the attempt belongs to. Those of this frontend are
// attemptRefBits.
const (
	attemptRefShift = 29
	attemptRefBits  = 1
	attemptRefBit   = attemptRefBits << attemptRefShift
)

// attempt is an attempt to read a part at one server.
type attempt struct {
	ref           slotmap.Ref
	id            backend.AttemptID
	server        string
	part          *part
	link          *link // nil until the connection is open
	ended         bool  // the outcome was reported
	resetInAnswer bool  // the connection was closed during the answer
	timer         *timers.Timer
}

// IsShardRead reports whether a query is the read of a shard by this package.
func IsShardRead(query backend.Query) bool {
	_, ok := query.(*part)
	return ok
}

// IsAttemptRef reports whether ref refers to an attempt of this package.
func IsAttemptRef(ref slotmap.Ref) bool { return ref.Index>>attemptRefShift == attemptRefBits }

// StartAttempt starts an attempt to read a shard, which times out at the deadline. Its outcome is reported to backend.Events.
func (f *Frontend) StartAttempt(server string, query backend.Query, deadline float64, id backend.AttemptID) slotmap.Ref {
	p := query.(*part)
	a := &attempt{id: id, server: server, part: p}
	a.ref = f.attempts.Put(a)
	a.timer = f.loop.At(deadline, func() { f.endAttempt(a, decide.TimedOut, nil) })
	p.attempts = append(p.attempts, a)
	switch {
	case f.addresses[server] == "":
		f.endAttempt(a, decide.Unreachable, nil)
	case p.ended || p.answerBegun:
		f.endAttempt(a, decide.NotSent, nil)
	default:
		f.connect(a)
	}
	return slotmap.Ref{Index: a.ref.Index | attemptRefBit, Gen: a.ref.Gen}
}

// Cancel ends an attempt.
func (f *Frontend) Cancel(ref slotmap.Ref) {
	ref.Index &^= attemptRefBit
	if a, ok := f.attempts.Get(ref); ok {
		f.endAttempt(a, decide.Cancelled, nil)
	}
}

// endAttempt reports the outcome of an attempt, once. reporting is the connection whose server has reported its state with the answer, nil
// for none.
func (f *Frontend) endAttempt(a *attempt, result decide.Result, reporting *link) {
	if a.ended {
		return
	}
	a.ended = true
	f.attempts.Remove(a.ref)
	f.loop.StopTimer(a.timer)
	p, l := a.part, a.link
	a.link = nil
	if i := slices.Index(p.attempts, a); i >= 0 {
		p.attempts = slices.Delete(p.attempts, i, i+1)
	}
	givenUp := result == decide.TimedOut || result == decide.Cancelled
	switch {
	case givenUp && a.resetInAnswer:
		result = decide.Reset
	case givenUp && l != nil && l == p.link: // its answer has begun, and the rest of it does not affect the outcome
		result = decide.OK
	}
	outcome := backend.Outcome{Result: result}
	if reporting != nil {
		outcome.Report = reporting.report()
	}
	if l != nil && result != decide.OK {
		if givenUp && !l.sent {
			outcome.Result = decide.NotSent
		}
		l.detach()
	}
	f.events.AttemptEnded(a.id, outcome)
}
