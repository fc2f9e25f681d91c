package core

import (
	"fmt"

	"beechgrade/internal/backend"
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/frontend/platform"
)

// An attempt that the router has sent may still wait: for a connection, for its entry in a journal, for its turn. Meanwhile probes, peers'
// verdicts or the list may report that its server is not the primary. So it is checked again just before its first byte is written, against
// what the router knows then; and what waits is called off as soon as the report comes, rather than when it has got a connection.

// mayServe reports whether a request may go out to a server: one for the primary alone goes to the server that the router takes for it.
func (c *Core) mayServe(req *request, server decide.ServerID) bool {
	switch c.config.Settings.Classes[req.class].Read {
	case decide.Write, decide.ReadFresh:
		return c.router.IsPrimary(server)
	}
	return true
}

// MaySend implements backend.Events. It is the one place where an attempt is allowed to be written, whatever it waited for. A request
// whose client has closed its connection, though the loop has yet to read that, ends with the attempt that is held back.
func (c *Core) MaySend(tag backend.AttemptID) bool {
	req, ok := c.requests.Get(tag.Request)
	if !ok || req.finished || req.clientClosed {
		return false
	}
	try, now := &req.attempts[tag.Number], c.loop.Now()
	if now >= try.writeBefore || !c.router.Available(try.server) || !c.mayServe(req, try.server) {
		return false
	}
	if client, ok := req.client.(platform.Disconnectable); ok && client.Disconnected() {
		req.clientClosed = true
		return false
	}
	try.allowed = true
	return true
}

// ServerReportsReplica implements backend.Events: a server reports that it is a replica. The router must know it first: the attempts that are called off
// and the connection that is free now must not meet at that server again.
func (c *Core) ServerReportsReplica(server string, report backend.Report, probe bool) {
	now := clock.ToDuration(c.loop.Now())
	at := now // in an answer to a request it counts at once
	if probe {
		at = min(now, c.reportTime(server, report))
	}
	if known, ok := c.router.SnapshotOf(decide.ServerID(server)); ok && known.Role != decide.RoleReplica {
		known.Ejected, known.Role, known.RoleAt = false, decide.RoleReplica, at
		c.MergeSnapshot(&decide.Snapshot{Servers: []decide.ServerSnapshot{known}})
	}
	c.recallUnwritten(server)
}

// recallUnwritten calls off the attempts at a server that have not been written yet and must not be any more.
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
func (c *Core) checkWritten(req *request, no int) {
	if c.checks.On() {
		t := &req.attempts[no]
		c.checks.That(t.allowed || c.mayServe(req, t.server), "core: what the primary alone may take goes to no other server", func() string {
			known, _ := c.router.SnapshotOf(t.server)
			return fmt.Sprintf("%s, attempt %d, to %s: %+v", req.id, no, t.server, known)
		})
		c.checks.That(t.allowed, "core: what goes out was let go", func() string {
			return fmt.Sprintf("%s, attempt %d, to %s", req.id, no, t.server)
		})
	}
}
