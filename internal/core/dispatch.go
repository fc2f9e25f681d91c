package core

import (
	"fmt"
	"math"

	"beechgrade/internal/backend"
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/frontend/platform"
)

// An attempt that the router has sent may still wait: for a connection, for its entry in a journal, for its turn. Meanwhile
// health checks, peers' reports or the list may show that its server is not the primary. So it is checked again just before
// its first byte is written, against what the router knows then; and what waits is recalled as soon as the report comes,
// rather than when it has got a connection.

// noWriteLimit is later than any time that the router names.
const noWriteLimit = math.MaxInt64 / 2

// send starts a request's next attempt, or skips it where the request may not be sent any more.
func (c *Core) send(action *decide.Action) {
	ref := refOf(action.ID)
	req, ok := c.requests.Get(ref)
	if !ok {
		return
	}
	if action.Reason != decide.ReasonNone {
		c.decisions.retried[action.Reason]++
		c.logDecision("repeat", req, action)
	}
	number, until := len(req.attempts), req.deadline
	if action.Wait != 0 {
		until = min(until, c.loop.Now()+clock.ToMillis(action.Wait))
	}
	mayBeSent := c.mayBeSent(req, action.Server)
	req.attempts = append(req.attempts, attempt{server: action.Server, startedAt: c.loop.Now(), writeBefore: until})
	if !mayBeSent {
		c.handleEvent(&decide.Outcome{
			ID: action.ID, Attempt: number, Server: action.Server, Result: decide.NotSent, Final: req.finished,
		})
		return
	}
	req.inFlight++
	conditions := backend.SendConditions{AtMostOnce: req.once}
	if action.WriteBefore < noWriteLimit {
		conditions.WriteBefore = clock.ToMillis(action.WriteBefore)
		req.attempts[number].writeBefore = min(until, conditions.WriteBefore)
	}
	tag := backend.AttemptID{Request: ref, Number: number}
	if c.observation.observer != nil {
		c.observation.observer.Sent(string(action.Server), tag, req.class)
	}
	started := c.servers.Start(string(action.Server), req.query, until, conditions, tag)
	req.attempts[number].ref = started
}

// mayBeSent reports whether a request's next attempt may go to a server now.
func (c *Core) mayBeSent(req *request, server decide.ServerID) bool {
	if req.finished || len(req.attempts) >= c.config.Settings.MaxAttempts {
		return false
	}
	return c.mayServe(req, server) && req.deadline > c.loop.Now()
}

// cancelAttempt cancels an attempt.
func (c *Core) cancelAttempt(action *decide.Action) {
	req, ok := c.requests.Get(refOf(action.ID))
	if ok && action.Attempt >= 0 && action.Attempt < len(req.attempts) {
		c.servers.Cancel(req.attempts[action.Attempt].ref)
	}
}

// mayServe reports whether a request may be sent to a server: one for the primary alone goes to the server that the router
// takes for it.
func (c *Core) mayServe(req *request, server decide.ServerID) bool {
	switch c.config.Settings.Classes[req.class].Read {
	case decide.Write, decide.ReadFresh:
		return c.router.IsPrimary(server)
	}
	return true
}

// MaySend implements backend.Events. It is the one place where an attempt is allowed to be written, whatever it waited
// for. A request whose client has closed its connection, though the loop has yet to read that, ends with the attempt that is
// not sent.
func (c *Core) MaySend(tag backend.AttemptID) bool {
	req, ok := c.requests.Get(tag.Request)
	if !ok || req.finished || req.clientClosed {
		return false
	}
	a := &req.attempts[tag.Number]
	if c.loop.Now() >= a.writeBefore || !c.router.Available(a.server) || !c.mayServe(req, a.server) {
		return false
	}
	if client, ok := req.client.(platform.Disconnectable); ok && client.Disconnected() {
		req.clientClosed = true
		return false
	}
	a.allowed = true
	return true
}

// ServerReportsReplica implements backend.Events: a server reports that it is a replica. The router must know it first: the attempts
// that are recalled and the connection that is free now must not meet at that server again.
func (c *Core) ServerReportsReplica(server string, report backend.Report, healthCheck bool) {
	now := clock.ToDuration(c.loop.Now())
	at := now // in an answer to a request it counts at once
	if healthCheck {
		at = min(now, c.reportTime(server, report))
	}
	if known, ok := c.router.SnapshotOf(decide.ServerID(server)); ok && known.Role != decide.RoleReplica {
		known.Ejected = false
		known.Role = decide.RoleReplica
		known.RoleAt = at
		c.mergeServer(known)
	}
	c.recallUnwritten(server)
}

// recallUnwritten ends the attempts at a server that have not been written yet and must not be any more.
func (c *Core) recallUnwritten(server string) {
	if c.servers == nil || c.router.IsPrimary(decide.ServerID(server)) {
		return
	}
	c.servers.Recall(server, func(tag backend.AttemptID) bool {
		req, ok := c.requests.Get(tag.Request)
		return ok && !c.mayServe(req, decide.ServerID(server))
	})
}

// checkWritten states that what is written was allowed to be.
func (c *Core) checkWritten(req *request, number int) {
	if !c.checks.Enabled() {
		return
	}
	a := &req.attempts[number]
	c.checks.That(a.allowed || c.mayServe(req, a.server), "core: what only the primary may serve goes to no other server", func() string {
		known, _ := c.router.SnapshotOf(a.server)
		return fmt.Sprintf("%s, attempt %d, to %s: %+v", req.id, number, a.server, known)
	})
	c.checks.That(a.allowed, "core: what is written was allowed", func() string {
		return fmt.Sprintf("%s, attempt %d, to %s", req.id, number, a.server)
	})
}
