package simulation

import (
	"math"
	"strconv"

	"github.com/HdrHistogram/hdrhistogram-go"

	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/frontend/platform"
	"beechgrade/internal/testkit/clients"
)

// drawer draws the clients' asks, each at its time.
type drawer struct{ e *Emulation }

// Fire is world.Event's.
func (d drawer) Fire(uint64) {
	e := d.e
	a, ok := e.plan.Next()
	if !ok {
		e.drawn = true
		return
	}
	e.open++
	e.asked++
	x := &ask{e: e, Ask: a}
	e.s.at(max(e.s.now, startMs+a.At), x, 0)
	e.s.at(startMs+e.plan.Drawn(), d, 0)
}

// ask is what a client asks, with its retries.
type ask struct {
	clients.Ask
	e     *Emulation
	no    int
	first float64
}

// Fire makes the next try.
func (a *ask) Fire(uint64) {
	e := a.e
	v := &visit{e: e, ask: a, class: &e.script.Clients.Classes[a.Class], no: a.no, id: uint64(a.No)<<8 | uint64(a.no), sent: e.s.now}
	v.name = strconv.FormatUint(v.id, 16)
	e.tries++
	if a.first == 0 {
		a.first = e.s.now
	}
	if v.class.Read == clients.Write {
		v.wrote = e.sessions.Write(&a.Ask, v.class)
		v.value = clients.Value(a.Key, v.wrote)
	}
	if v.class.Read == clients.ReadSession {
		v.after = math.Ceil(e.sessions.Committed(a.Key))
	}
	v.connect(e.home(a), 0)
}

// home is the pooler that a session's requests go to, unless it roams.
func (e *Emulation) home(a *ask) int {
	return e.script.Clients.Home(&a.Ask, len(e.poolers))
}

// visit is one try of a client at a pooler. It is platform.Client and the attempts' backend.Query.
type visit struct {
	e      *Emulation
	ask    *ask
	class  *clients.Class
	p      *pooler
	life   uint32
	ref    slotmap.Ref
	no     int
	id     uint64
	name   string
	value  []byte // that a write writes
	wrote  uint64
	after  float64
	sent   float64
	asked  bool // core has it
	done   bool // its answer is on its way, or it is over
	over   bool
	kind   clients.Kind
	wait   float64
	answer []byte
	extra  bool
	late   bool
	shard  *shardRead // of a page whose shard's read this is, nil for a client's try

	sentOnce bool // an attempt of it was sent
	taken    int  // attempts that servers took

	worked float64 // ms that a core had for it
}

// What a visit's event is.
const (
	visitArrives = iota + 1
	visitAnswered
	visitBroken
	visitPatience // its client gives up, and listens on for a while
	visitSilent   // ...and no longer
	visitElsewhere
)

const frontMs = 500 // the front notices so late that a pooler is gone

// connect finds a pooler that is not known to be gone.
func (v *visit) connect(home, tried int) {
	e := v.e
	for ; tried < len(e.poolers); tried++ {
		n := (home + tried) % len(e.poolers)
		if k := len(e.script.Sites); e.script.Near && k > 0 { // its own site's first
			n = e.nearest(home, tried, k)
		}
		if e.s.now < e.bad[n] {
			continue
		}
		p := e.poolers[n]
		if !p.up { // refused at once
			e.bad[n] = e.s.now + frontMs
			e.s.After(e.way()+e.way(), v, uint64(visitElsewhere)|uint64(home)<<8|uint64(tried+1)<<32)
			return
		}
		v.p, v.life = p, p.life
		e.s.After(e.way(), v, visitArrives)
		e.s.at(v.sent+v.ask.Patience, v, visitPatience)
		return
	}
	v.finish(clients.Unmade)
}

// nearest is the pooler that is tried as the tried-th: first those of the home's own site.
func (e *Emulation) nearest(home, tried, sites int) int {
	all := len(e.poolers)
	own := (all - home%sites + sites - 1) / sites
	if tried < own {
		return (home/sites+tried)%own*sites + home%sites
	}
	n := tried - own
	for i := range all {
		if p := (home + i) % all; p%sites != home%sites {
			if n == 0 {
				return p
			}
			n--
		}
	}
	return home
}

// Fire is world.Event's.
func (v *visit) Fire(arg uint64) {
	e := v.e
	switch what := arg & 0xff; what {
	case visitElsewhere:
		v.connect(int(arg>>8&0xffffff), int(arg>>32))
	case visitArrives:
		if v.p.life != v.life || !v.p.up {
			e.s.After(e.way(), v, visitBroken)
			return
		}
		v.p.visits[v] = true
		left := max(1, math.Floor(v.sent+v.ask.Patience-e.s.now))
		due := e.s.now + left
		e.check.Received(e.s.now, v.id, v.ask.Class, v.p.no, due, v.after)
		if e.black != nil {
			e.black.RequestReceived(v.ask.Group)
		}
		if v.class.KeyMs > 0 {
			e.check.Keyed(v.id, v.ask.Tag)
		}
		e.check.LoadReceived(e.s.now, v.id, v.ask.Class, v.ask.Group, e.script.Clients.TenantOf(&v.ask.Ask), v.no > 0)
		if e.script.Limits != nil {
			e.check.Tenant(e.s.now, v.id, e.script.Clients.TenantOf(&v.ask.Ask))
		}
		v.p.whenRunning(v.life, func() { v.file(due) })
	case visitAnswered:
		if v.over {
			return
		}
		kind := string(v.kind)
		e.check.Answered(e.s.now, v.id, kind, v.kind == clients.Served, hashOf(v.answer))
		v.finish(v.kind)
	case visitBroken:
		if !v.over {
			v.finish(clients.Broken)
		}
	case visitPatience:
		if !v.over {
			v.late = true
			e.s.After(e.script.Clients.LateAfter, v, visitSilent)
		}
	case visitSilent:
		if !v.over {
			e.check.Abandoned(e.s.now, v.id, "its client closed its connection, long after its time")
			if v.asked && v.p.life == v.life && !v.done {
				v.done = true
				v.p.core.Abandon(v.ref)
			}
			v.finish(clients.Silent)
		}
	}
}

// file puts the request to the pooler's core.
func (v *visit) file(due float64) {
	a := v.ask
	q := platform.Request{ID: v.name, Class: v.class.Name, Group: a.Group, Session: a.Key, Deadline: due, MinPosition: v.after, IsRetry: v.no > 0,
		Writes: v.class.Read == clients.Write && !v.e.script.Clients.House, Query: v, Tenant: v.e.script.Clients.TenantOf(&a.Ask)}
	if v.class.KeyMs > 0 {
		q.IdempotencyKey = a.Idem()
	}
	ref, err := v.p.core.Submit(q, v)
	if err != nil {
		v.Failed()
		return
	}
	v.ref, v.asked = ref, true
}

// AppendQuery is backend.Query's; the model takes no text.
func (v *visit) AppendQuery(dst []byte, _ int) []byte { return dst }

// Served is platform.Client's.
func (v *visit) Served(answer []byte) {
	v.answer = append([]byte(nil), answer...)
	v.say(clients.Served, 0)
}

// Rejected is platform.Client's.
func (v *visit) Rejected(retryMs float64) { v.say(clients.Refused, retryMs) }

// Failed is platform.Client's.
func (v *visit) Failed() { v.say(clients.Failed, 0) }

func (v *visit) say(kind clients.Kind, wait float64) {
	e := v.e
	if m := e.opt.Mutant; m != nil && m.Answer != nil && !m.Answer(e, v, kind) {
		return
	}
	v.done = true
	delete(v.p.visits, v)
	v.kind, v.wait = kind, wait
	e.s.After(e.way(), v, visitAnswered)
}

// finish ends a try, and has the client try again where it would.
func (v *visit) finish(kind clients.Kind) {
	e, a := v.e, v.ask
	v.over = true
	if v.p != nil {
		delete(v.p.visits, v)
	}
	t := &clients.Try{Ask: &a.Ask, Class: v.class, No: v.no, ID: v.name, Pooler: -1, First: a.first, Sent: v.sent, Ended: e.s.now, Kind: kind, Late: v.late,
		Extra: v.extra, Value: v.answer, Wrote: v.wrote, After: v.after}
	if v.p != nil {
		t.Pooler = v.p.no
	}
	if kind == clients.Served {
		e.sessions.Served(t)
		e.times.add(t.Ended - a.first)
	}
	e.s.mix(v.id, uint64(len(kind))<<32|uint64(t.Pooler+1))
	e.keeper.Tried(t)
	e.spends.ended(v, t)
	if e.funds != nil {
		e.funds.tried(t)
	}
	if e.opt.OnAttemptEnded != nil {
		t.Tenant = e.script.Clients.TenantOf(&a.Ask)
		e.opt.OnAttemptEnded(t)
	}
	if kind == clients.Served || v.no == len(a.Waits) {
		if kind != clients.Served {
			e.lost[string(kind)] += v.class.Worth
		} else if t.Ended-a.first > v.class.Aim {
			e.lost["late"] += v.class.Worth * (1 - v.class.LateWorth)
		}
		e.open--
		return
	}
	a.no++
	wait := v.wait
	if kind != clients.Refused || wait <= 0 {
		wait = a.Waits[v.no]
	}
	e.s.After(wait, a, 0)
}

// timesOf holds how long answers took.
type timesOf struct{ h *hdrhistogram.Histogram }

func newTimes() *timesOf { return &timesOf{hdrhistogram.New(1, 600_000_000, 2)} }

func (t *timesOf) add(ms float64) { _ = t.h.RecordValue(int64(min(max(1, ms*1000), 600_000_000))) }

func (t *timesOf) quantile(q float64) float64 { return float64(t.h.ValueAtQuantile(q)) / 1000 }
