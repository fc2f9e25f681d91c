package core

import (
	"beechgrade/internal/backend"
	"beechgrade/internal/decide"
	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/eventloop/clock"
)

// Witness receives all that this pooler sees of servers.
type Witness interface {
	Listed(list *discovery.List, whole bool)
	Sent(server string, tag backend.Tag, class int)
	Ended(server string, tag backend.Tag, result decide.Result, report backend.Report)
	Probed(server string, result decide.Result, report backend.Report) // by this pooler
	Withholds(server string) bool                                      // peers find that it serves no requests, whatever its probes say
}

// witnessing is the core's state for a witness; all nil without one.
type witnessing struct {
	witness Witness
	pending map[string]bool // servers with a probe in flight that was made for the witness alone
	repeat  map[string]bool // of these, the ones that the router has asked to probe meanwhile
}

// withheldProbeMs is the time that a probe which is not made appears to take.
const withheldProbeMs = 2

// SetWitness sets the witness and passes it the last known list.
func (c *Core) SetWitness(witness Witness) {
	c.witnessing = witnessing{witness: witness, pending: map[string]bool{}, repeat: map[string]bool{}}
	witness.Listed(&c.cfg.Known, true)
}

// Look probes a server for the witness alone.
func (c *Core) Look(server string) {
	if !c.witnessing.pending[server] {
		c.witnessing.pending[server] = true
		c.Probe(server)
	}
}

// probeWitnessed passes a probe's end to the witness, and reports whether the probe was the witness's own. The router gets the server's role first: the
// witness may have the server tried at once, and what waits must not go there if it is a replica now.
func (c *Core) probeWitnessed(server string, outcome *backend.Outcome) bool {
	if c.witnessing.witness == nil {
		return false
	}
	look := c.witnessing.pending[server]
	switch {
	case outcome.Result != decide.OK:
	case look:
		c.recall(server, outcome.Report)
	default: // the position comes with the probe's result, from which the router learns the server's pace
		c.recallRole(server, outcome.Report)
	}
	c.witnessing.witness.Probed(server, outcome.Result, outcome.Report)
	if !look {
		return false
	}
	again := c.witnessing.repeat[server]
	delete(c.witnessing.pending, server)
	delete(c.witnessing.repeat, server)
	if again {
		c.carryOut(&decide.Action{Kind: decide.Probe, Server: decide.ServerID(server)})
	}
	return true
}

// dated returns the time of a report on this process's clock, by the server's position.
func (c *Core) dated(server string, report backend.Report) decide.Time {
	return c.router.OnClock(decide.ServerID(server), clock.Span(report.Position))
}

// recall gives the router a server's report, as of the report's time.
func (c *Core) recall(server string, report backend.Report) {
	if !report.HasPos || c.dated(server, report) > clock.Span(c.loop.Now()) {
		return
	}
	c.ServerReported(server, report, 0)
}

// recallRole is recall without the position.
func (c *Core) recallRole(server string, report backend.Report) {
	now, at := clock.Span(c.loop.Now()), c.dated(server, report)
	if known, ok := c.router.MemoryOf(decide.ServerID(server)); ok && report.HasPos && report.Role != decide.RoleUnknown && at <= now {
		known.Down, known.Role, known.RoleAt = false, report.Role, at
		c.Recall(&decide.Memory{Servers: []decide.ServerMemory{known}})
		if report.Role == decide.RoleReplica {
			c.recallSends(server)
		}
	}
}

// ServerReported gives the router a server's report, made to any pooler, that is ageMs old at most. A position also is the time of its report.
func (c *Core) ServerReported(server string, report backend.Report, ageMs float64) {
	now, at := clock.Span(c.loop.Now()), c.dated(server, report)
	known, ok := c.router.MemoryOf(decide.ServerID(server))
	if !ok || at > now {
		return
	}
	known.Down = false
	if report.Role != decide.RoleUnknown {
		known.Role, known.RoleAt = report.Role, at
	}
	if position := clock.Span(report.Position); position > known.Position {
		known.Position, known.PositionAt, known.PlacedAt = position, now, now-clock.Span(ageMs)
	}
	c.Recall(&decide.Memory{Servers: []decide.ServerMemory{known}})
	if report.Role == decide.RoleReplica {
		c.recallSends(server)
	}
}

// Avoid has the router take a server out of use.
func (c *Core) Avoid(server string) {
	if known, ok := c.router.MemoryOf(decide.ServerID(server)); ok {
		known.Down, known.BadAt = true, clock.Span(c.loop.Now())
		c.Recall(&decide.Memory{Servers: []decide.ServerMemory{known}})
	}
}

// Try has the router send a few requests to a server that it has taken out of use.
func (c *Core) Try(server string) {
	if known, ok := c.router.MemoryOf(decide.ServerID(server)); ok && known.Down {
		c.handle(&decide.ProbeResult{Server: known.ID})
	}
}
