package simulation

import (
	"math"

	"beechgrade/internal/backend"
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/testkit/clients"
	"beechgrade/internal/testkit/model"
	"beechgrade/internal/testkit/scenario"
)

// attempt is a pooler's attempt of a request at a server, or a health check if client is nil. The server executes it as a job of the
// model.
type attempt struct {
	job             model.Job
	pooler          *pooler
	incarnation     uint32
	ref             slotmap.Ref
	tag             backend.AttemptID
	pool            *serverPool
	poolIncarnation uint32
	client          *clientAttempt // nil for a health check
	number          int
	deadline        float64
	id              string // of the server in the endpoint list
	sent            bool
	ended           bool
	sentAt          float64
	idleMs          float64
	reportedAt      float64 // time at which the server measured the lag that it reports
	reply           model.Reply
	heldForPage     bool       // it has a connection, but must not be sent before all attempts of its page have one
	rows            *shardRows // of a page's shard; nil for other attempts
	backend.SendConditions
}

// The kinds of an attempt's events. The model's own events have the argument 0. The values are part of a run's hash.
const (
	atServer         = iota + 1 // it arrives at the server
	atPooler                    // its answer arrives at the pooler
	atDeadline                  // its deadline passes
	atConnectTimeout            // its wait for a connection times out
	atServerCancel              // the server notices that the pooler closed the connection
	atReset                     // the pooler notices that the connection broke
	atRefused                   // the server refuses the connection, as it has too many
	atConnected                 // a connection is open
	atConnectFailed             // a connection could not be opened
	atHealthReport              // a health check's report arrives
	atNoServer                  // unused
	atRows                      // the next rows of a page's shard arrive
)

// Start implements core.Servers.
func (p *pooler) Start(id string, q backend.Query, until float64, on backend.SendConditions, t backend.AttemptID) slotmap.Ref {
	ca := q.(*clientAttempt)
	a := &attempt{pooler: p, incarnation: p.incarnation, tag: t, client: ca, number: t.Number, deadline: until, SendConditions: on}
	a.ref = p.attempts.Put(a)
	p.begin(a, id)
	return a.ref
}

// CheckHealth implements core.Servers.
func (p *pooler) CheckHealth(id string) {
	p.sim.healthChecks++
	if pool := p.poolOf(id); pool != nil {
		p.sim.check.HealthCheckSent(p.sim.sched.now, pool.server.No)
	}
	a := &attempt{pooler: p, incarnation: p.incarnation, deadline: p.sim.sched.now + scenario.ConnectMs}
	a.ref = p.attempts.Put(a)
	p.begin(a, id)
}

// Cancel implements core.Servers.
func (p *pooler) Cancel(ref slotmap.Ref) {
	if a, ok := p.attempts.Get(ref); ok {
		a.abort(decide.Cancelled)
	}
}

func (p *pooler) begin(a *attempt, id string) {
	sim := p.sim
	a.id, a.pool = id, p.poolOf(id)
	if a.pool == nil || !a.pool.listed {
		a.end(backend.Outcome{Result: decide.Unreachable}) // before Start returns, as the backend on sockets does
		return
	}
	pool := a.pool
	if a.TooLate(sim.sched.now) {
		a.end(backend.Outcome{Result: decide.NotSent})
		return
	}
	sim.sched.at(a.deadline, a, atDeadline)
	pool.expire()
	if n := len(pool.idle); n > 0 {
		if idleMs := sim.sched.now - pool.idle[n-1]; !a.AtMostOnce || idleMs < p.idleTimeout.Limit() {
			if !a.maySend() {
				a.abort(decide.NotSent)
				return
			}
			pool.idle = pool.idle[:n-1]
			a.idleMs = idleMs
			a.send()
			return
		}
	}
	sim.sched.After(scenario.ConnectMs, a, atConnectTimeout)
	pool.waiting = append(pool.waiting, a)
	if pool.dialing < len(pool.waiting) {
		pool.dial()
	}
}

// Recall implements core.Servers.
func (p *pooler) Recall(id string, which func(backend.AttemptID) bool) {
	pool := p.poolOf(id)
	if pool == nil {
		return
	}
	for i := 0; i < len(pool.waiting); {
		if a := pool.waiting[i]; a.client != nil && which(a.tag) {
			a.abort(decide.NotSent)
			i = 0
			continue
		}
		i++
	}
}

// maySend reports whether an attempt may still be sent; a health check always may.
func (a *attempt) maySend() bool { return a.client == nil || a.pooler.core.MaySend(a.tag) }

// send sends an attempt on a connection, or holds it there if it belongs to a page that is not ready to send.
func (a *attempt) send() {
	sim, pool := a.pooler.sim, a.pool
	if a.client != nil && a.client.shard != nil && a.client.shard.holdUntilSend(a) {
		return
	}
	a.sent, a.poolIncarnation, a.sentAt = true, pool.incarnation, sim.sched.now
	pool.busy[a] = true
	if a.client != nil {
		sim.attempts++
		anyMember := a.client.class.Read != clients.Write
		if n := len(sim.script.Sites); anyMember && sim.options.OnRead != nil {
			sim.options.OnRead(sim.sched.now, a.client.class, a.pooler.no, (a.client.class.Work[0]+a.client.class.Work[1])/2, n > 0 && a.pooler.no%n != pool.server.SiteNo())
		}
		if anyMember {
			sim.anyMemberReads++
		}
		if n := len(sim.script.Sites); n > 0 && a.pooler.no%n != pool.server.SiteNo() {
			if sim.crossSiteAttempts++; anyMember {
				sim.remoteReads++
			}
		}
		sim.repeats.firstAttempt(a.client, pool.server)
		sim.check.AttemptSent(sim.sched.now, a.client.id, a.number, a.pooler.no, pool.server.No)
		if sim.blackouts != nil {
			sim.blackouts.AttemptSent(sim.sched.now, a.pooler.no, pool.server.No, a.client.class.Read == clients.Write)
		}
		a.pooler.core.AttemptWritten(a.tag)
	}
	switch forgets := sim.script.ConnectionForgetMs; {
	case a.pooler.linkCut(pool.server) || a.pooler.dropsRequest(pool.server):
	case forgets > 0 && a.idleMs >= forgets: // the network has silently dropped this idle connection
		sim.sched.After(sim.linkDelayTo(a.pooler, pool.server), a, atReset)
	default:
		if ms := sim.deliveryDelay(a.pooler, pool.server, false); ms >= 0 {
			sim.sched.After(ms, a, atServer)
		}
	}
}

// Fire implements model.Event. Events on the pooler's side are delayed while its machine is paused.
func (a *attempt) Fire(what uint64) {
	switch what {
	case atServer:
		a.arrive()
	case atServerCancel:
		a.pooler.sim.coreTime.cancelled(a)
		a.job.Cancel()
	default:
		if !a.ended && a.pooler.incarnation == a.incarnation && a.pooler.sim.sched.now < a.pooler.pausedUntil {
			a.pooler.sim.sched.at(a.pooler.pausedUntil, a, what)
			return
		}
		a.atPooler(what)
	}
}

// arrive handles the arrival of an attempt at the server.
func (a *attempt) arrive() {
	sim, s := a.pooler.sim, a.pool.server
	if !s.Up || a.poolIncarnation != a.pool.incarnation {
		return // its connection has broken; the pooler is notified by atReset
	}
	if a.client == nil {
		if s.Hung || s.DropsAnswers {
			return
		}
		r := s.Report(sim.sched.now)
		if sim.script.Clients.ClickHouse {
			r, a.reportedAt = model.Report{Position: s.Position(sim.sched.now)}, sim.sched.now
		}
		a.reply = model.Reply{Position: r.Position, Primary: r.Primary}
		if ms := sim.deliveryDelay(a.pooler, s, true); ms >= 0 {
			sim.sched.After(sim.script.ProbeCost+ms, a, atHealthReport)
		}
		return
	}
	ca := a.client
	a.job.ID, a.job.Writes, a.job.Key, a.job.Value, a.job.Owner = ca.name, ca.class.Read == "mutate", ca.request.Key, ca.value, a
	a.job.Work = sim.world.Work(ca.class.Name)
	if ca.class.KeyMs > 0 {
		a.job.IdempotencyKey, a.job.IdempotencyMs = ca.request.IdempotencyKey(), ca.class.KeyMs
	}
	if s.Accepts(&a.job) {
		sim.repeats.attemptAccepted(ca, s)
		sim.check.ServerReceived(sim.sched.now, s.No, s.Started, ca.id, a.job.Work)
	}
	s.Submit(&a.job)
}

// Answered implements model.Owner.
func (a *attempt) Answered(_ *model.Job, r model.Reply) {
	if r.Verdict == model.PushedOver {
		return // its connection breaks, which the pooler notices by atReset
	}
	if r.Verdict == model.QueueFull {
		a.pooler.sim.repeats.attemptRejected(a.client, a.pool.server)
	}
	a.pooler.sim.coreTime.executed(a)
	if a.reply = r; a.pooler.linkCut(a.pool.server) {
		return
	}
	if a.client != nil && a.client.shard != nil {
		a.client.shard.execute(a, r)
	}
	if ms := a.pooler.sim.deliveryDelay(a.pooler, a.pool.server, true); ms >= 0 {
		a.pooler.sim.sched.After(ms, a, atPooler)
	}
}

var resultOfVerdict = map[model.Verdict]decide.Result{
	model.Served:     decide.OK,
	model.NotPrimary: decide.Misdirected,
	model.Draining:   decide.Overloaded,
	model.QueueFull:  decide.Overloaded,
	model.HandedOver: decide.Failed,
}

func (a *attempt) atPooler(what uint64) {
	if a.ended || a.pooler.incarnation != a.incarnation {
		return
	}
	pool := a.pool
	switch what {
	case atPooler, atHealthReport:
		if a.poolIncarnation != pool.incarnation {
			return // the connection broke before the answer was complete
		}
		o := backend.Outcome{Result: resultOfVerdict[a.reply.Verdict], Report: backend.Report{
			Role:        decide.RoleReplica,
			Position:    a.reply.Position,
			HasPosition: a.reply.Position > 0,
		}}
		if a.reply.Primary {
			o.Role = decide.RolePrimary
		}
		if o.Result == decide.OK {
			o.Answer = a.reply.Value
		}
		if a.pooler.sim.script.Clients.ClickHouse {
			a.useClickHouseReport(&o)
		}
		if a.rows != nil {
			a.rows.outcome = o
			a.client.shard.deliverRows(a)
			return
		}
		delete(pool.busy, a)
		a.pooler.idleTimeout.Record(a.pooler.sim.sched.now, a.idleMs, false)
		if o.Role == decide.RoleReplica && len(pool.waiting) > 0 {
			a.pooler.core.ServerReportsReplica(a.id, o.Report, a.client == nil)
		}
		pool.release() // before the end is reported, so that the core can use the connection for the next attempt
		a.end(o)
	case atReset:
		delete(pool.busy, a)
		if now := a.pooler.sim.sched.now; now-a.sentAt <= brokenBeforeSendMs {
			a.pooler.idleTimeout.Record(now, a.idleMs, true)
		}
		pool.countConnections(-1)
		a.end(backend.Outcome{Result: decide.Reset})
		pool.refill()
	case atRows:
		a.client.shard.deliverRows(a)
	case atConnectTimeout:
		if !a.sent && !a.heldForPage {
			r := decide.Unreachable
			if pool.dialing == 0 {
				r = decide.NotSent
			}
			a.abort(r)
		}
	case atDeadline:
		a.abort(decide.TimedOut)
	}
}

// useClickHouseReport reduces a report to what the ClickHouse interface provides: no role, and a position only for health checks, from the
// replica's lag in whole seconds.
func (a *attempt) useClickHouseReport(o *backend.Outcome) {
	o.Role, o.HasPosition = decide.RoleUnknown, false
	if a.client == nil {
		lag := math.Floor(max(0, a.reportedAt-o.Position)/1000) * 1000
		o.Position, o.HasPosition = a.sentAt-lag-1000, true
	}
}

// abort ends an attempt from the pooler's side. If the attempt was sent, its connection is closed.
func (a *attempt) abort(r decide.Result) {
	if a.ended {
		return
	}
	pool := a.pool
	if !a.sent {
		if a.client != nil && r != decide.Unreachable && r != decide.Overloaded {
			r = decide.NotSent
		}
		if a.heldForPage {
			a.releaseHeld()
		}
		pool.dequeue(a)
		a.end(backend.Outcome{Result: r})
		return
	}
	delete(pool.busy, a)
	pool.countConnections(-1) // a later reset by the server finds no attempt and does not count the connection again
	if !a.pooler.linkCut(pool.server) {
		a.pooler.sim.sched.After(a.pooler.sim.linkDelay(), a, atServerCancel)
	}
	a.end(backend.Outcome{Result: r})
	pool.refill()
}

// end reports the end of an attempt to the core and the checkers, once.
func (a *attempt) end(o backend.Outcome) {
	if a.ended {
		return
	}
	a.ended = true
	p, sim := a.pooler, a.pooler.sim
	p.attempts.Remove(a.ref)
	if sim.blackouts != nil && a.pool != nil && o.Result != decide.OK && o.Result != decide.Misdirected && o.Result != decide.NotSent {
		sim.blackouts.Unanswered(sim.sched.now, p.no, a.pool.server.No)
	}
	if a.client == nil {
		sim.reportRole(a, &o)
		p.applyListRole(a.id, &o)
		p.core.HealthCheckEnded(a.id, o)
		return
	}
	if a.sent {
		neverRan := o.Result == decide.Misdirected || o.Result == decide.Overloaded
		sim.check.AttemptEnded(sim.sched.now, a.client.id, a.number, resultNames[o.Result], neverRan)
	}
	sim.reportRole(a, &o)
	sim.attemptsByResult[o.Result]++
	if m := sim.options.Mutant; m != nil && m.Outcome != nil {
		m.Outcome(&o)
	}
	p.applyListRole(a.id, &o)
	if shard := a.client.shard; shard != nil {
		shard.attemptEnded(a, &o)
	}
	p.core.AttemptEnded(a.tag, o)
}

// applyListRole replaces a server's reported role by that of the endpoint list, for mutants with TrustsListRoles.
func (p *pooler) applyListRole(id string, o *backend.Outcome) {
	if m := p.sim.options.Mutant; m == nil || !m.TrustsListRoles || p.catalog == nil || o.Role == decide.RoleUnknown {
		return
	}
	if x, ok := p.catalog.manager.Entry(id); ok {
		if o.Role = decide.RoleReplica; x.Primary {
			o.Role = decide.RolePrimary
		}
	}
}

// reportRole passes a server's reported role to the checker.
func (sim *Simulation) reportRole(a *attempt, o *backend.Outcome) {
	if a.pool != nil && o.Role != decide.RoleUnknown {
		asOf := sim.sched.now
		if a.client == nil {
			asOf = o.Position
		}
		sim.check.RoleReported(sim.sched.now, asOf, a.pooler.no, a.pool.server.No, o.Role == decide.RolePrimary)
	}
}

var resultNames = [...]string{"ok", "error", "turned away", "timed out", "unreachable", "reset", "called off", "never sent", "missed"}
