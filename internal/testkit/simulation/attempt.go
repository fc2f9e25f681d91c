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

// attempt is a request's attempt, or a probe where query is nil. It is the model's job while it is at the server.
type attempt struct {
	job   model.Job
	p     *pooler
	life  uint32
	ref   slotmap.Ref
	tag   backend.AttemptID
	st    *store
	slife uint32
	v     *visit // nil for a probe
	no    int
	until float64
	id    string // of the server, as the list has it
	sent  bool
	ended bool
	at    float64 // sent then, on a connection that had rested so long
	rest  float64
	asOf  float64 // a server tells its lag as of then
	reply model.Reply
	held  bool    // it has a connection, and waits until all of its page have one
	rows  *rowsOf // of a page's shard, nil where it is none
	backend.SendConditions
}

// What an attempt's event is of; the model's own argument is 0.
const (
	atServer   = iota + 1 // it arrives
	atPooler              // its answer arrives
	atEnd                 // its time is over
	atConnect             // its wait for a connection is over
	atCancel              // the server sees that its connection has gone
	atReset               // the pooler sees that its connection broke
	atRefused             // the server turned its connection away
	atUp                  // a connection is up
	atDown                // a connection could not come up
	atProbed              // a probe's report arrives
	atNoServer            // it was begun at a server that nobody knows
	atRows                // the next rows of a page's shard arrive
)

// Start is core.Servers'.
func (p *pooler) Start(id string, q backend.Query, until float64, on backend.SendConditions, t backend.AttemptID) slotmap.Ref {
	v := q.(*visit)
	a := &attempt{p: p, life: p.life, tag: t, v: v, no: t.Number, until: until, SendConditions: on}
	a.ref = p.tries.Put(a)
	p.begin(a, id)
	return a.ref
}

// CheckHealth is core.Servers'.
func (p *pooler) CheckHealth(id string) {
	p.e.probes++
	if st := p.store(id); st != nil {
		p.e.check.HealthCheckSent(p.e.s.now, st.s.No)
	}
	a := &attempt{p: p, life: p.life, until: p.e.s.now + scenario.ConnectMs}
	a.ref = p.tries.Put(a)
	p.begin(a, id)
}

// Cancel is core.Servers'.
func (p *pooler) Cancel(ref slotmap.Ref) {
	if a, ok := p.tries.Get(ref); ok {
		a.drop(decide.Cancelled)
	}
}

func (p *pooler) begin(a *attempt, id string) {
	e := p.e
	a.id, a.st = id, p.store(id)
	if a.st == nil || !a.st.listed {
		a.end(backend.Outcome{Result: decide.Unreachable}) // as the sockets' side does, before Start returns
		return
	}
	st := a.st
	if a.TooLate(e.s.now) {
		a.end(backend.Outcome{Result: decide.NotSent})
		return
	}
	e.s.at(a.until, a, atEnd)
	st.expire()
	if n := len(st.idle); n > 0 {
		if rest := e.s.now - st.idle[n-1]; !a.AtMostOnce || rest < p.wear.Limit() {
			if !a.goes() {
				a.drop(decide.NotSent)
				return
			}
			st.idle = st.idle[:n-1]
			a.rest = rest
			a.send()
			return
		}
	}
	e.s.After(scenario.ConnectMs, a, atConnect)
	st.waiting = append(st.waiting, a)
	if st.dialing < len(st.waiting) {
		st.dial()
	}
}

// Recall is core.Servers'.
func (p *pooler) Recall(id string, which func(backend.AttemptID) bool) {
	st := p.store(id)
	if st == nil {
		return
	}
	for i := 0; i < len(st.waiting); {
		if a := st.waiting[i]; a.v != nil && which(a.tag) {
			a.drop(decide.NotSent)
			i = 0
			continue
		}
		i++
	}
}

// goes asks whether an attempt may still go out, as the daemon does. A probe always may.
func (a *attempt) goes() bool { return a.v == nil || a.p.core.MaySend(a.tag) }

// send puts an attempt on a connection.
func (a *attempt) send() {
	e, st := a.p.e, a.st
	if a.v != nil && a.v.shard != nil && a.v.shard.holds(a) {
		return
	}
	a.sent, a.slife, a.at = true, st.life, e.s.now
	st.busy[a] = true
	if a.v != nil {
		e.attempts++
		old := a.v.class.Read != clients.Write // it may be
		if n := len(e.script.Sites); old && e.opt.Read != nil {
			e.opt.Read(e.s.now, a.v.class, a.p.no, (a.v.class.Work[0]+a.v.class.Work[1])/2, n > 0 && a.p.no%n != st.s.SiteNo())
		}
		if old {
			e.reads++
		}
		if n := len(e.script.Sites); n > 0 && a.p.no%n != st.s.SiteNo() {
			if e.crossed++; old {
				e.far++
			}
		}
		e.agains.first(a.v, st.s)
		e.check.AttemptSent(e.s.now, a.v.id, a.no, a.p.no, st.s.No)
		if e.black != nil {
			e.black.AttemptSent(e.s.now, a.p.no, st.s.No, a.v.class.Read == clients.Write)
		}
		a.p.core.AttemptWritten(a.tag)
	}
	switch forgets := e.script.Forgets; {
	case a.p.cut(st.s) || a.p.loses(st.s):
	case forgets > 0 && a.rest >= forgets: // what lies between knows nothing of this connection any more
		e.s.After(e.wayTo(a.p, st.s), a, atReset)
	default:
		if ms := e.carried(a.p, st.s, false); ms >= 0 {
			e.s.After(ms, a, atServer)
		}
	}
}

// Fire is world.Event's; what happens at the pooler's side waits for its machine.
func (a *attempt) Fire(what uint64) {
	switch what {
	case atServer:
		a.arrive()
	case atCancel:
		a.p.e.spends.calledOff(a)
		a.job.Cancel()
	default:
		if !a.ended && a.p.life == a.life && a.p.e.s.now < a.p.still {
			a.p.e.s.at(a.p.still, a, what)
			return
		}
		a.atPooler(what)
	}
}

// arrive is at the server.
func (a *attempt) arrive() {
	e, s := a.p.e, a.st.s
	if !s.Up || a.slife != a.st.life {
		return // its connection is broken, and its pooler hears of that
	}
	if a.v == nil { // a probe
		if s.Hung || s.DropsAnswers {
			return
		}
		r := s.Report(e.s.now)
		if e.script.Clients.House {
			r, a.asOf = model.Report{Position: s.Position(e.s.now)}, e.s.now
		}
		a.reply = model.Reply{Position: r.Position, Primary: r.Primary}
		if ms := e.carried(a.p, s, true); ms >= 0 {
			e.s.After(e.script.ProbeCost+ms, a, atProbed)
		}
		return
	}
	v := a.v
	a.job.ID, a.job.Writes, a.job.Key, a.job.Value, a.job.Owner = v.name, v.class.Read == "mutate", v.ask.Key, v.value, a
	a.job.Work = e.world.Work(v.class.Name)
	if v.class.KeyMs > 0 {
		a.job.IdempotencyKey, a.job.IdempotencyMs = v.ask.Idem(), v.class.KeyMs
	}
	if s.Accepts(&a.job) {
		e.agains.took(v, s)
		e.check.ServerReceived(e.s.now, s.No, s.Started, v.id, a.job.Work)
	}
	s.Submit(&a.job)
}

// Answered is world.Owner's.
func (a *attempt) Answered(_ *model.Job, r model.Reply) {
	if r.Verdict == model.PushedOver {
		return // its connection breaks
	}
	if r.Verdict == model.QueueFull {
		a.p.e.agains.full(a.v, a.st.s)
	}
	a.p.e.spends.worked(a)
	if a.reply = r; a.p.cut(a.st.s) {
		return
	}
	if a.v != nil && a.v.shard != nil {
		a.v.shard.read(a, r)
	}
	if ms := a.p.e.carried(a.p, a.st.s, true); ms >= 0 {
		a.p.e.s.After(ms, a, atPooler)
	}
}

var results = map[model.Verdict]decide.Result{model.Served: decide.OK, model.NotPrimary: decide.Misdirected, model.Draining: decide.Overloaded,
	model.QueueFull: decide.Overloaded, model.HandedOver: decide.Failed}

func (a *attempt) atPooler(what uint64) {
	if a.ended || a.p.life != a.life {
		return
	}
	st := a.st
	switch what {
	case atPooler, atProbed:
		if a.slife != st.life {
			return // the connection broke before the answer was whole
		}
		o := backend.Outcome{Result: results[a.reply.Verdict], Report: backend.Report{Role: decide.RoleReplica, Position: a.reply.Position, HasPos: a.reply.Position > 0}}
		if a.reply.Primary {
			o.Role = decide.RolePrimary
		}
		if o.Result == decide.OK {
			o.Answer = a.reply.Value
		}
		if a.p.e.script.Clients.House {
			a.house(&o)
		}
		if a.rows != nil {
			a.rows.o = o
			a.v.shard.come(a)
			return
		}
		delete(st.busy, a)
		a.p.wear.Record(a.p.e.s.now, a.rest, false)
		if o.Role == decide.RoleReplica && len(st.waiting) > 0 {
			a.p.core.ServerReportsReplica(a.id, o.Report, a.v == nil)
		}
		st.free() // before the end is told: what that leads to may use it
		a.end(o)
	case atReset:
		delete(st.busy, a)
		if now := a.p.e.s.now; now-a.at <= brokeMs {
			a.p.wear.Record(now, a.rest, true)
		}
		st.add(-1)
		a.end(backend.Outcome{Result: decide.Reset})
		st.refill()
	case atRows:
		a.v.shard.come(a)
	case atConnect:
		if !a.sent && !a.held {
			r := decide.Unreachable
			if st.dialing == 0 {
				r = decide.NotSent
			}
			a.drop(r)
		}
	case atEnd:
		a.drop(decide.TimedOut)
	}
}

// house has an answer tell what one of the ClickHouse interface does: nothing of a role, and how far behind its server is
// only where a probe asks for that, in whole seconds.
func (a *attempt) house(o *backend.Outcome) {
	o.Role, o.HasPos = decide.RoleUnknown, false
	if a.v == nil {
		lag := math.Floor(max(0, a.asOf-o.Position)/1000) * 1000
		o.Position, o.HasPos = a.at-lag-1000, true
	}
}

// drop ends an attempt from the pooler's side.
func (a *attempt) drop(r decide.Result) {
	if a.ended {
		return
	}
	st := a.st
	if !a.sent {
		if a.v != nil && r != decide.Unreachable && r != decide.Overloaded {
			r = decide.NotSent
		}
		if a.held {
			a.unhold()
		}
		st.unqueue(a)
		a.end(backend.Outcome{Result: r})
		return
	}
	delete(st.busy, a)
	st.add(-1) // where the server broke it, its reset is yet to come, and finds nobody
	if !a.p.cut(st.s) {
		a.p.e.s.After(a.p.e.way(), a, atCancel)
	}
	a.end(backend.Outcome{Result: r})
	st.refill()
}

// end reports an attempt's end, once.
func (a *attempt) end(o backend.Outcome) {
	if a.ended {
		return
	}
	a.ended = true
	p, e := a.p, a.p.e
	p.tries.Remove(a.ref)
	if e.black != nil && a.st != nil && o.Result != decide.OK && o.Result != decide.Misdirected && o.Result != decide.NotSent {
		e.black.Unanswered(e.s.now, p.no, a.st.s.No)
	}
	if a.v == nil {
		e.word(a, &o)
		p.trust(a.id, &o)
		p.core.HealthCheckEnded(a.id, o)
		return
	}
	if a.sent {
		never := o.Result == decide.Misdirected || o.Result == decide.Overloaded
		e.check.AttemptEnded(e.s.now, a.v.id, a.no, resultNames[o.Result], never)
	}
	e.word(a, &o)
	e.results[o.Result]++
	if m := e.opt.Mutant; m != nil && m.Outcome != nil {
		m.Outcome(&o)
	}
	p.trust(a.id, &o)
	if x := a.v.shard; x != nil {
		x.tried(a, &o)
	}
	p.core.AttemptEnded(a.tag, o)
}

// trust has a mutant take the list's word on a server's role for the server's own.
func (p *pooler) trust(id string, o *backend.Outcome) {
	if m := p.e.opt.Mutant; m == nil || !m.Lists || p.member == nil || o.Role == decide.RoleUnknown {
		return
	}
	if x, ok := p.member.join.Entry(id); ok {
		if o.Role = decide.RoleReplica; x.Primary {
			o.Role = decide.RolePrimary
		}
	}
}

// word tells the checker what a server said of itself.
func (e *Emulation) word(a *attempt, o *backend.Outcome) {
	if a.st != nil && o.Role != decide.RoleUnknown {
		asOf := e.s.now
		if a.v == nil {
			asOf = o.Position
		}
		e.check.RoleReported(e.s.now, asOf, a.p.no, a.st.s.No, o.Role == decide.RolePrimary)
	}
}

var resultNames = [...]string{"ok", "error", "turned away", "timed out", "unreachable", "reset", "called off", "never sent", "missed"}
