package simulation

import (
	"math"

	"beechgrade/internal/cluster/quota"
	"beechgrade/internal/cluster/view"
	"beechgrade/internal/settings"
	"beechgrade/internal/testkit/checker"
	"beechgrade/internal/testkit/model"
	"beechgrade/internal/testkit/scenario"
)

// Limits is what came of limits that hold for the whole fleet.
type Limits struct {
	Messages float64              `json:"messages_a_second_of_a_pooler"`
	Bytes    float64              `json:"bytes_a_second_of_a_pooler"`
	Uses     []checker.LimitUsage `json:"uses"`
}

const (
	demandMs  = 100 // between two looks at what a pooler would use; as the daemon has it
	itemBytes = 70  // of a message's part about one limit
)

// lender is a pooler's side of the fleet's limits.
type lender struct {
	x    *peer
	q    *quota.Quota
	id   view.ID
	set  settings.FleetLimits
	due  float64
	acts []quota.Action
}

// lend begins a process's limits.
func (x *peer) lend() {
	e := x.p.e
	if e.script.Limits == nil {
		return
	}
	x.limits = &lender{x: x, set: *x.p.limits, due: math.Inf(1)}
	x.limits.bind()
	x.limits.members()
	x.limits.beat()
}

// bind tells the core which limits are its own.
func (l *lender) bind() {
	l.x.p.core.SetLimits(l.set.CoreLimits(), l)
}

func (l *lender) members() {
	self, e := l.x.view.Self().ID, l.x.p.e
	if l.q == nil || self != l.id {
		set := e.script.Quotas()
		set.Limits = l.set.Quotas()
		from := e.s.now
		if m := e.opt.Mutant; m != nil {
			if m.Quota != nil {
				m.Quota(l.x.p.no, &set)
			}
			if m.Rash && l.x.life > 0 {
				from -= 1e9
			}
		}
		l.id, l.q = self, quota.New(set, self, from)
		l.q.CheckInvariants(e.checks, 8)
	}
	m := quota.MembersChanged{SendingPoolers: l.x.view.Counts().Sending}
	for _, r := range l.x.view.Members() {
		if r.State <= view.Suspect {
			m.Peers = append(m.Peers, quota.Peer{ID: r.ID, Addr: r.Addr, Draining: r.Draining})
		}
	}
	l.share(m)
}

func (l *lender) share(ev quota.Event) {
	e := l.x.p.e
	acts := l.q.Handle(e.s.now, ev, l.acts[:0])
	l.acts, l.due = nil, l.q.Due()
	for i := range acts {
		switch a := &acts[i]; a.Kind {
		case quota.Send:
			l.send(a.Addr, a.Message)
		case quota.SetAllowance:
			l.x.p.core.Allow(a.Limit, a.Amount, a.Burst)
			e.s.mix(uint64(l.x.p.no)<<32|uint64(a.Amount*1000), uint64(e.s.now))
		}
	}
	clear(acts)
	l.acts = acts
}

// send has a message about limits arrive, as often and as late as the way has it.
func (l *lender) send(addr string, m *quota.Message) {
	x := l.x
	f, e := x.f, x.p.e
	to := f.at(addr)
	if to == nil || to == x.p {
		return
	}
	f.lent++
	f.lentBytes += headBytes + itemBytes*uint64(len(m.Items))
	for _, late := range f.net.Fate(x.p.no, to.no, f.rng) {
		e.s.After(e.wayBetween(x.p, to)+late, model.Func(func() {
			if y := to.peer; y != nil && to.up && y.limits != nil {
				to.whenRunning(y.life, func() { y.limits.hear(m) })
			}
		}), 0)
	}
}

func (l *lender) hear(m *quota.Message) {
	if k := l.x.p.e.opt.Mutant; k != nil && k.Limits != nil {
		c := *m
		c.Items = append([]quota.Item(nil), m.Items...)
		k.Limits(l.x.p.no, l.q, &c)
		m = &c
	}
	l.share(quota.Received{Message: m})
}

// Due is core.Leases'.
func (l *lender) Due() float64 { return l.due }

// Expire is core.Leases'.
func (l *lender) Expire() { l.share(quota.Tick{}) }

const coldFlow = 1e5 // as the daemon has it

func (l *lender) beat() {
	for i := range l.set.Limits {
		x := &l.set.Limits[i]
		if want, ok := l.x.p.core.Demand(x.Name); ok {
			if x.Resource == settings.ResourceColdServers {
				want /= coldFlow
			}
			if m := l.x.p.e.opt.Mutant; m != nil && m.Demand != nil {
				want = m.Demand(l.x.p.no, want)
			}
			l.share(quota.Demand{Limit: x.Name, Wanted: want})
		}
	}
	lifeLoop{l.x.p, l.x.life}.At(l.x.p.e.s.now+demandMs, l.beat)
}

// lender is the pooler that lends a limit, where all that run can reach one another.
func (e *Emulation) lender(limit string) int {
	var all []quota.Peer
	by := map[view.ID]int{}
	for _, p := range e.poolers {
		if p.up && p.peer != nil {
			id := p.peer.view.Self().ID
			all, by[id] = append(all, quota.Peer{ID: id}), p.no
		}
	}
	return by[quota.OwnerOf(limit, all)]
}

// reload has a pooler take limits that have changed.
func (p *pooler) reload(set settings.FleetLimits) {
	p.limits = &set
	if x := p.peer; x != nil && x.limits != nil {
		p.whenRunning(x.life, func() {
			x.limits.set = set
			x.limits.bind()
			x.limits.share(quota.LimitsChanged{Limits: set.Quotas()})
		})
	}
}

// change has a limit be another at some poolers.
func (e *Emulation) change(f *scenario.Fault) {
	for _, no := range f.Struck(e.script) {
		p := e.poolers[no]
		p.reload(scenario.Changed(*p.limits, f.Target.Word, f.Value))
	}
	e.check.LimitChanged(e.s.now, f.Target.Word, f.Struck(e.script), len(e.poolers), f.Value, e.script.Lowered(f))
}

func (f *fleetOf) lentResult() *Limits {
	seconds := (f.e.s.now - f.from) / 1000 * float64(len(f.e.poolers))
	return &Limits{Messages: float64(f.lent) / seconds, Bytes: float64(f.lentBytes) / seconds, Uses: f.e.check.LimitUsages(f.e.script.WarmMs())}
}
