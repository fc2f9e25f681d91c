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

// Limits summarizes the traffic for fleet-wide limits and their use.
type Limits struct {
	Messages float64              `json:"messages_a_second_of_a_pooler"`
	Bytes    float64              `json:"bytes_a_second_of_a_pooler"`
	Usages   []checker.LimitUsage `json:"uses"`
}

const (
	demandIntervalMs = 100 // interval at which a pooler reports its demand, as in the daemon
	messageItemBytes = 70  // assumed size of a message's item for one limit
)

// limitsClient is the quota of a pooler's process for fleet-wide limits.
type limitsClient struct {
	peer     *peer
	quota    *quota.Quota
	id       view.ID
	settings settings.FleetLimits
	due      float64
	actions  []quota.Action
}

// startLimits starts the quota of a process if the scenario has fleet-wide limits.
func (x *peer) startLimits() {
	sim := x.pooler.sim
	if sim.script.Limits == nil {
		return
	}
	x.limits = &limitsClient{peer: x, settings: *x.pooler.limits, due: math.Inf(1)}
	x.limits.setLimits()
	x.limits.updateMembers()
	x.limits.reportDemand()
}

// setLimits passes the limits to the core.
func (l *limitsClient) setLimits() {
	l.peer.pooler.core.SetLimits(l.settings.CoreLimits(), l)
}

func (l *limitsClient) updateMembers() {
	self, sim := l.peer.view.Self().ID, l.peer.pooler.sim
	if l.quota == nil || self != l.id {
		set := sim.script.Quotas()
		set.Limits = l.settings.Quotas()
		from := sim.sched.now
		if m := sim.options.Mutant; m != nil {
			if m.QuotaSettings != nil {
				m.QuotaSettings(l.peer.pooler.no, &set)
			}
			if m.ForgetsEpoch && l.peer.incarnation > 0 {
				from -= 1e9
			}
		}
		l.id, l.quota = self, quota.New(set, self, from)
		l.quota.CheckInvariants(sim.checks, 8)
	}
	m := quota.MembersChanged{SendingPoolers: l.peer.view.Counts().Sending}
	for _, r := range l.peer.view.Members() {
		if r.State <= view.Suspect {
			m.Peers = append(m.Peers, quota.Peer{ID: r.ID, Addr: r.Addr, Draining: r.Draining})
		}
	}
	l.handle(m)
}

func (l *limitsClient) handle(ev quota.Event) {
	sim := l.peer.pooler.sim
	actions := l.quota.Handle(sim.sched.now, ev, l.actions[:0])
	l.actions, l.due = nil, l.quota.Due()
	for i := range actions {
		switch a := &actions[i]; a.Kind {
		case quota.Send:
			l.send(a.Addr, a.Message)
		case quota.SetAllowance:
			l.peer.pooler.core.SetAllowance(a.Limit, a.Amount, a.Burst)
			sim.sched.mix(uint64(l.peer.pooler.no)<<32|uint64(a.Amount*1000), uint64(sim.sched.now))
		}
	}
	clear(actions)
	l.actions = actions
}

// send delivers a message of the quota protocol, subject to the faults of the link.
func (l *limitsClient) send(addr string, m *quota.Message) {
	x := l.peer
	f, sim := x.fleet, x.pooler.sim
	to := f.poolerAt(addr)
	if to == nil || to == x.pooler {
		return
	}
	f.limitMessages++
	f.limitBytes += datagramHeaderBytes + messageItemBytes*uint64(len(m.Items))
	for _, extraMs := range f.net.CopyDelays(x.pooler.no, to.no, f.rng) {
		sim.sched.After(sim.poolerLinkDelay(x.pooler, to)+extraMs, model.Func(func() {
			if y := to.peer; y != nil && to.up && y.limits != nil {
				to.whenRunning(y.incarnation, func() { y.limits.receive(m) })
			}
		}), 0)
	}
}

func (l *limitsClient) receive(m *quota.Message) {
	if k := l.peer.pooler.sim.options.Mutant; k != nil && k.QuotaMessage != nil {
		c := *m
		c.Items = append([]quota.Item(nil), m.Items...)
		k.QuotaMessage(l.peer.pooler.no, l.quota, &c)
		m = &c
	}
	l.handle(quota.Received{Message: m})
}

// Due implements core.Leases.
func (l *limitsClient) Due() float64 { return l.due }

// Expire implements core.Leases.
func (l *limitsClient) Expire() { l.handle(quota.Tick{}) }

// slowStartScale is the request rate, per second, that is reported as the whole slow-start budget, as in the daemon.
const slowStartScale = 1e5

func (l *limitsClient) reportDemand() {
	for i := range l.settings.Limits {
		x := &l.settings.Limits[i]
		if wanted, ok := l.peer.pooler.core.Demand(x.Name); ok {
			if x.Resource == settings.ResourceColdServers {
				wanted /= slowStartScale
			}
			if m := l.peer.pooler.sim.options.Mutant; m != nil && m.Demand != nil {
				wanted = m.Demand(l.peer.pooler.no, wanted)
			}
			l.handle(quota.Demand{Limit: x.Name, Wanted: wanted})
		}
	}
	processLoop{l.peer.pooler, l.peer.incarnation}.At(l.peer.pooler.sim.sched.now+demandIntervalMs, l.reportDemand)
}

// limitOwner returns the pooler that leases out a limit, provided that all running poolers can reach one another.
func (sim *Simulation) limitOwner(limit string) int {
	var members []quota.Peer
	poolerByID := map[view.ID]int{}
	for _, p := range sim.poolers {
		if p.up && p.peer != nil {
			id := p.peer.view.Self().ID
			members, poolerByID[id] = append(members, quota.Peer{ID: id}), p.no
		}
	}
	return poolerByID[quota.OwnerOf(limit, members)]
}

// reload passes changed limits to a pooler and to its running process.
func (p *pooler) reload(set settings.FleetLimits) {
	p.limits = &set
	if x := p.peer; x != nil && x.limits != nil {
		p.whenRunning(x.incarnation, func() {
			x.limits.settings = set
			x.limits.setLimits()
			x.limits.handle(quota.LimitsChanged{Limits: set.Quotas()})
		})
	}
}

// changeLimit changes a limit at some poolers.
func (sim *Simulation) changeLimit(f *scenario.Fault) {
	for _, no := range f.AffectedPoolers(sim.script) {
		p := sim.poolers[no]
		p.reload(scenario.WithLimit(*p.limits, f.Target.Name, f.Value))
	}
	sim.check.LimitChanged(sim.sched.now, f.Target.Name, f.AffectedPoolers(sim.script), len(sim.poolers), f.Value, sim.script.LoweringDelayMs(f))
}

func (f *peerFleet) limitsResult() *Limits {
	seconds := (f.sim.sched.now - f.ratesFrom) / 1000 * float64(len(f.sim.poolers))
	return &Limits{
		Messages: float64(f.limitMessages) / seconds,
		Bytes:    float64(f.limitBytes) / seconds,
		Usages:   f.sim.check.LimitUsages(f.sim.script.WarmUpMs()),
	}
}
