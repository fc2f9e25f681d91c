package core

import (
	"fmt"
	"math"

	"beechgrade/internal/backend"
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/frontend/platform"
)

// An attempt that the router has started may still wait for a connection, for its entry in a journal or for its turn. Meanwhile
// health checks, peers' reports or the endpoint list may show that its server is not the primary any more. So an attempt is checked
// again just before its first byte is written, against the router's state at that time, and waiting attempts are recalled as soon as
// such a report arrives rather than when they get a connection.

// noWriteLimit bounds Action.WriteBefore: a value from there on means that there is no limit.
const noWriteLimit = math.MaxInt64 / 2

// send starts a request's next attempt, or reports it to the router as not sent if the request must not be sent any more.
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
	number, deadline := len(req.attempts), req.deadline
	if action.Wait != 0 {
		deadline = min(deadline, c.loop.Now()+clock.ToMillis(action.Wait))
	}
	mayBeSent := c.mayBeSent(req, action.Server)
	req.attempts = append(req.attempts, attempt{server: action.Server, startedAt: c.loop.Now(), writeBefore: deadline})
	if !mayBeSent {
		c.handleEvent(&decide.Outcome{
			ID: action.ID, Attempt: number, Server: action.Server, Result: decide.NotSent, Final: req.finished,
		})
		return
	}
	req.inFlight++
	conditions := backend.SendConditions{AtMostOnce: req.atMostOnce}
	if action.WriteBefore < noWriteLimit {
		conditions.WriteBefore = clock.ToMillis(action.WriteBefore)
		req.attempts[number].writeBefore = min(deadline, conditions.WriteBefore)
	}
	id := backend.AttemptID{Request: ref, Number: number}
	if c.observation.observer != nil {
		c.observation.observer.Sent(string(action.Server), id, req.class)
	}
	attemptRef := c.servers.Start(string(action.Server), req.query, deadline, conditions, id)
	req.attempts[number].ref = attemptRef
}

// mayBeSent reports whether a request's next attempt may be started at a server now.
func (c *Core) mayBeSent(req *request, server decide.ServerID) bool {
	if req.finished || len(req.attempts) >= c.config.Settings.MaxAttempts {
		return false
	}
	return c.mayServe(req, server) && req.deadline > c.loop.Now()
}

func (c *Core) cancelAttempt(action *decide.Action) {
	req, ok := c.requests.Get(refOf(action.ID))
	if ok && action.Attempt >= 0 && action.Attempt < len(req.attempts) {
		c.servers.Cancel(req.attempts[action.Attempt].ref)
	}
}

// mayServe reports whether a server may serve a request: writes and fresh reads may go to the primary only, as the router knows
// it.
func (c *Core) mayServe(req *request, server decide.ServerID) bool {
	switch c.config.Settings.Classes[req.class].Read {
	case decide.Write, decide.ReadFresh:
		return c.router.IsPrimary(server)
	}
	return true
}

// MaySend implements backend.Events. It is the only place that allows an attempt to be written, whatever the attempt waited for.
// It also detects a client that has closed its connection before the loop has read the close; the request then ends when the
// attempt is reported as not sent.
func (c *Core) MaySend(id backend.AttemptID) bool {
	req, ok := c.requests.Get(id.Request)
	if !ok || req.finished || req.clientClosed {
		return false
	}
	a := &req.attempts[id.Number]
	if c.loop.Now() >= a.writeBefore || !c.router.Available(a.server) || !c.mayServe(req, a.server) {
		return false
	}
	if client, ok := req.client.(platform.Disconnectable); ok && client.Disconnected() {
		req.clientClosed = true
		return false
	}
	a.writeAllowed = true
	c.shareID(req)
	return true
}

// ServerReportsReplica implements backend.Events. The router gets the role before attempts are recalled: otherwise it could send the
// recalled requests to that server again, on the connection that has just become free.
func (c *Core) ServerReportsReplica(server string, report backend.Report, healthCheck bool) {
	now := clock.ToDuration(c.loop.Now())
	at := now // a report in an answer to a request counts from now on
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

// recallUnwritten ends the attempts at a server that have not been written yet and that the server must not serve any more.
func (c *Core) recallUnwritten(server string) {
	if c.servers == nil || c.router.IsPrimary(decide.ServerID(server)) {
		return
	}
	c.servers.Recall(server, func(id backend.AttemptID) bool {
		req, ok := c.requests.Get(id.Request)
		return ok && !c.mayServe(req, decide.ServerID(server))
	})
}

// checkWritten checks that MaySend allowed an attempt that was written.
func (c *Core) checkWritten(req *request, number int) {
	if !c.checks.Enabled() {
		return
	}
	a := &req.attempts[number]
	c.checks.That(a.writeAllowed || c.mayServe(req, a.server), "core: writes and fresh reads go to the primary only", func() string {
		known, _ := c.router.SnapshotOf(a.server)
		return fmt.Sprintf("%s, attempt %d, to %s: %+v", req.id, number, a.server, known)
	})
	c.checks.That(a.writeAllowed, "core: only attempts that MaySend allowed are written", func() string {
		return fmt.Sprintf("%s, attempt %d, to %s", req.id, number, a.server)
	})
}
