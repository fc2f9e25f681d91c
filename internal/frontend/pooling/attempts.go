package pooling

import (
	"strconv"

	"beechgrade/internal/backend"
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/eventloop/timers"
	"beechgrade/internal/frontend/pooling/connpool"
)

// attemptRefBit is set in the index of references to attempts of this frontend, to distinguish them from those of package backend.
const attemptRefBit = 1 << 31

// IsTransaction reports whether a query is one of this frontend's transactions.
func IsTransaction(q backend.Query) bool {
	_, ok := q.(*transaction)
	return ok
}

// IsAttemptRef reports whether a reference is to an attempt of this frontend.
func IsAttemptRef(r slotmap.Ref) bool { return r.Index >= attemptRefBit }

// attempt is an attempt of a transaction at one server.
type attempt struct {
	ref         slotmap.Ref
	id          backend.AttemptID
	server      string
	transaction *transaction
	link        *link // nil while the attempt waits for a connection
	sent        bool  // messages of the transaction were sent, not only settings of the session
	ended       bool
	timer       *timers.Timer // fires at its deadline
	answering   bool          // a part of a statement's answer was passed to the client
}

func (a *attempt) waiterID() connpool.ID { return connpool.ID(packRef(a.ref)) }

// SetAddress sets the address of a server, and allows its use. Connections to a previous address are closed once they are free.
func (f *Frontend) SetAddress(server, addr string) {
	if old, ok := f.addresses[server]; ok && old != addr {
		f.DrainServer(server)
	}
	f.addresses[server] = addr
	for _, p := range f.pools {
		p.conns.RestoreServer(server)
	}
}

// DrainServer reports that a server is draining or was removed: no transaction gets a connection to it any more, and those that are
// open there may end within GraceMs.
func (f *Frontend) DrainServer(server string) {
	now := f.now()
	for _, p := range f.pools {
		f.execute(p, p.conns.DrainServer(server, now))
	}
	f.links.Each(func(_ slotmap.Ref, l *link) {
		if l.serverID == server && l.closesAt == 0 {
			l.closesAt = now + max(0, f.options.GraceMs-graceMarginMs)
			f.eventLoop.At(l.closesAt, l.onGraceExpired)
		}
	})
}

// Retain forgets all servers except the given ones.
func (f *Frontend) Retain(ids map[string]bool) {
	for id := range f.addresses {
		if !ids[id] {
			f.Forget(id)
		}
	}
}

// Forget removes a server that has left the endpoint list.
func (f *Frontend) Forget(server string) {
	delete(f.addresses, server)
	f.DrainServer(server)
}

// StartAttempt implements core.Servers.Start for this frontend's transactions: it requests a connection to the server.
func (f *Frontend) StartAttempt(server string, query backend.Query, deadline float64, id backend.AttemptID) slotmap.Ref {
	a := &attempt{id: id, server: server, transaction: query.(*transaction)}
	a.ref = f.attempts.Put(a)
	a.timer = f.eventLoop.At(deadline-deadlineMarginMs, func() { f.deadlineNear(a, deadline) })
	a.transaction.attempt = a
	c := a.transaction.client
	switch {
	case f.addresses[server] == "":
		f.endAttempt(a, decide.Unreachable, nil)
	case !f.events.MaySend(a.id):
		f.endAttempt(a, decide.Cancelled, nil)
	case !c.keepConnection(a):
		f.expireLeases()
		f.execute(c.pool, c.pool.conns.Request(a.waiterID(), server, f.now()))
	}
	return slotmap.Ref{Index: a.ref.Index | attemptRefBit, Gen: a.ref.Gen}
}

// deadlineNear is called shortly before the deadline of an attempt, which applies to the beginning of an answer: an attempt whose answer the client
// is receiving counts as served, so that the answer is not cut off.
func (f *Frontend) deadlineNear(a *attempt, deadline float64) {
	t := a.transaction
	c := t.client
	if !a.answering || a.link == nil || c.transaction != t {
		a.timer = f.eventLoop.At(deadline, func() { f.endAttempt(a, decide.TimedOut, nil) })
		return
	}
	c.transaction = nil
	t.answered = true
	f.endAttempt(a, decide.OK, nil) // what the server reports follows at the end of the answer
}

// Recall implements core.Servers: it ends the attempts that wait for a connection to a server and for which selected returns true.
func (f *Frontend) Recall(server string, selected func(backend.AttemptID) bool) {
	var recalled []*attempt
	f.attempts.Each(func(_ slotmap.Ref, a *attempt) {
		if a.server == server && a.link == nil && selected(a.id) {
			recalled = append(recalled, a)
		}
	})
	for _, a := range recalled {
		f.endAttempt(a, decide.Cancelled, nil)
	}
}

// Cancel implements core.Servers: it abandons an attempt. The server may have run what was sent.
func (f *Frontend) Cancel(ref slotmap.Ref) {
	if a, ok := f.attempts.Get(slotmap.Ref{Index: ref.Index &^ attemptRefBit, Gen: ref.Gen}); ok {
		f.endAttempt(a, decide.Cancelled, nil)
	}
}

// endAttempt ends an attempt; further calls do nothing. The role and position that the server last reported on connection from, if it is
// not nil, are part of the outcome. Unless the result is OK, the connection of the attempt is closed.
func (f *Frontend) endAttempt(a *attempt, result decide.Result, from *link) {
	if a.ended {
		return
	}
	a.ended = true
	f.attempts.Remove(a.ref)
	f.eventLoop.StopTimer(a.timer)
	outcome := backend.Outcome{Result: result}
	if from != nil {
		outcome.Report = from.report()
	}
	if a.transaction.attempt == a {
		a.transaction.attempt = nil
	}
	switch {
	case result == decide.OK:
	case a.link != nil:
		outcome.Result = a.resultIfUnsent(result)
		a.link.abandon()
	default: // the attempt never got a connection
		outcome.Result = a.resultIfUnsent(result)
		p := a.transaction.client.pool
		f.execute(p, p.conns.Withdraw(a.waiterID(), f.now()))
	}
	f.events.AttemptEnded(a.id, outcome)
}

// resultIfUnsent returns the result of an attempt that was given up: NotSent if nothing of its transaction was sent.
func (a *attempt) resultIfUnsent(result decide.Result) decide.Result {
	if givenUp := result == decide.TimedOut || result == decide.Cancelled; givenUp && !a.sent {
		return decide.NotSent
	}
	return result
}

// role maps a role that a server reported.
func (f *Frontend) role(value string) decide.Role {
	switch value {
	case f.options.Roles[0]:
		return decide.RolePrimary
	case f.options.Roles[1]:
		return decide.RoleReplica
	}
	return decide.RoleUnknown
}

// position parses a position that a server reported; it returns 0 for a missing or implausible one.
func (f *Frontend) position(value string) float64 {
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || !clock.Plausible(float64(ms), f.now()) {
		return 0
	}
	return float64(ms)
}
