package simulation

import (
	"beechgrade/internal/cluster/view"
	"beechgrade/internal/testkit/model"
	"beechgrade/internal/testkit/scenario"
)

// strike carries out a fault, and has it end at its time.
func (e *Emulation) strike(f *scenario.Fault) {
	later := func(do func()) {
		if f.For > 0 {
			e.s.After(f.For, model.Func(do), 0)
		}
	}
	f = f.Resolved(e.lender)
	groups, poolers := f.Where(e.script)
	e.check.FaultInjected(e.s.now, f.Until(e.s.now), groups, poolers)
	switch f.What {
	case "load": // the plan has it
	case "route", "routes":
		strike := func(on bool) {
			e.routes.Set(f.Sited[0], f.Sited[1], &f.Link, on)
			if f.Both {
				e.routes.Set(f.Sited[1], f.Sited[0], &f.Link, on)
			}
			if e.fleet != nil {
				f.Strike(e.fleet.net, on)
				e.fleet.check.FaultChanged(e.s.now)
			}
			e.check.FaultChanged(e.s.now, map[bool]int{true: 1, false: -1}[on])
		}
		strike(true)
		later(func() { strike(false) })
	case "links", "between":
		strike := func(on bool) {
			f.Strike(e.fleet.net, on)
			e.fleet.check.FaultChanged(e.s.now)
			e.check.FaultChanged(e.s.now, map[bool]int{true: 1, false: -1}[on])
			if f.Link.Lose > 0 {
				e.fleet.check.SetLossy(on)
			}
		}
		strike(true)
		later(func() { strike(false) })
	case "list-late":
		e.world.DelayList(f.Value)
		later(func() { e.world.DelayList(0) })
	case "list-gone":
		e.world.SetListUnavailable(true)
		later(func() { e.world.SetListUnavailable(false) })
	case "agent":
		n, what := f.Target.Group, f.Target.Word
		e.agents.strike(n, what)
		later(func() { e.agents.strike(n, "") })
	case "deregister-all":
		e.world.DeregisterAll(true)
		later(func() { e.world.DeregisterAll(false) })
	case "wrong-roles":
		e.world.SwapRoles(true)
		later(func() { e.world.SwapRoles(false) })
	case "limit":
		e.change(f)
	case "pay":
		e.funds.pay(f)
	case "kill-pooler":
		p := e.poolers[f.Target.Group]
		p.kill()
		e.check.FaultChanged(e.s.now, 0)
		later(func() { p.revive(); e.check.FaultChanged(e.s.now, 0) })
	case "restart-pooler":
		e.poolers[f.Target.Group].restart()
		e.check.FaultChanged(e.s.now, 0)
	case "stall-pooler":
		e.check.FaultChanged(e.s.now+f.For, 0)
		p := e.poolers[f.Target.Group]
		p.still = max(p.still, e.s.now+max(1, f.For))
		e.check.Paused(e.s.now, p.no, p.still)
		if e.fleet != nil {
			e.fleet.check.Paused(e.s.now, p.no, p.still)
		}
	case "cut", "thin":
		servers := f.Target.Of(e.world)
		f = f.AtProber(e.prober, servers)
		e.ways.strike(f, servers, true)
		later(func() { e.ways.strike(f, servers, false) })
	case "list-held":
		e.ways.holdAll(f.Poolers, true)
		later(func() { e.ways.holdAll(f.Poolers, false) })
	default:
		begin, end := f.Acts()
		for _, s := range f.Target.Of(e.world) {
			_ = begin(e.world, s.Name) // the name is the model's own
			later(func() { _ = end(e.world, s.Name) })
		}
	}
}

// revive starts a killed pooler again.
func (p *pooler) revive() {
	if !p.up {
		p.known = p.e.world.List.Snapshot()
		_ = p.start() // it was started from the same settings before
	}
}

// restart has a pooler end in order and start again: it takes nothing new, and ends once nothing is open.
func (p *pooler) restart() {
	e, life := p.e, p.life
	if !p.up {
		return
	}
	e.bad[p.no] = e.s.now + restartMost + restartAway
	began := e.s.now
	var look func()
	if p.peer != nil {
		p.whenRunning(p.life, func() { p.peer.do(view.SetDraining{Draining: true}) })
	}
	look = func() {
		if p.life != life {
			return
		}
		if len(p.visits)+e.paging.made(p) > 0 && e.s.now < began+restartMost || e.s.now < began+100 {
			e.s.After(restartLook, model.Func(look), 0)
			return
		}
		p.leave()
		p.kill()
		e.s.After(restartAway, model.Func(func() {
			p.revive()
			e.bad[p.no] = 0
		}), 0)
	}
	look()
}
