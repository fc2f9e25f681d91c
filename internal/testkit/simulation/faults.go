package simulation

import (
	"beechgrade/internal/cluster/view"
	"beechgrade/internal/testkit/model"
	"beechgrade/internal/testkit/scenario"
)

// injectFault starts a fault, and schedules its end.
func (sim *Simulation) injectFault(f *scenario.Fault) {
	afterDuration := func(do func()) {
		if f.Duration > 0 {
			sim.sched.After(f.Duration, model.Func(do), 0)
		}
	}
	f = f.WithOwner(sim.limitOwner)
	groups, poolers := f.Affected(sim.script)
	sim.check.FaultInjected(sim.sched.now, f.EndAt(sim.sched.now), groups, poolers)
	switch f.Kind {
	case "load": // the clients' planner applies it
	case "route", "routes":
		setFault := func(on bool) {
			sim.siteLinks.SetFault(f.SiteNumbers[0], f.SiteNumbers[1], &f.Link, on)
			if f.Both {
				sim.siteLinks.SetFault(f.SiteNumbers[1], f.SiteNumbers[0], &f.Link, on)
			}
			if sim.fleet != nil {
				f.SetLinks(sim.fleet.net, on)
				sim.fleet.check.FaultChanged(sim.sched.now)
			}
			sim.check.FaultChanged(sim.sched.now, map[bool]int{true: 1, false: -1}[on])
		}
		setFault(true)
		afterDuration(func() { setFault(false) })
	case "links", "between":
		setFault := func(on bool) {
			f.SetLinks(sim.fleet.net, on)
			sim.fleet.check.FaultChanged(sim.sched.now)
			sim.check.FaultChanged(sim.sched.now, map[bool]int{true: 1, false: -1}[on])
			if f.Link.LossRate > 0 {
				sim.fleet.check.SetLossy(on)
			}
		}
		setFault(true)
		afterDuration(func() { setFault(false) })
	case "list-late":
		sim.world.DelayList(f.Value)
		afterDuration(func() { sim.world.DelayList(0) })
	case "list-gone":
		sim.world.SetListUnavailable(true)
		afterDuration(func() { sim.world.SetListUnavailable(false) })
	case "agent":
		n, what := f.Target.Group, f.Target.Name
		sim.agents.inject(n, what)
		afterDuration(func() { sim.agents.inject(n, "") })
	case "deregister-all":
		sim.world.DeregisterAll(true)
		afterDuration(func() { sim.world.DeregisterAll(false) })
	case "wrong-roles":
		sim.world.SwapRoles(true)
		afterDuration(func() { sim.world.SwapRoles(false) })
	case "limit":
		sim.changeLimit(f)
	case "pay":
		sim.funds.pay(f)
	case "kill-pooler":
		p := sim.poolers[f.Target.Group]
		p.kill()
		sim.check.FaultChanged(sim.sched.now, 0)
		afterDuration(func() { p.startAgain(); sim.check.FaultChanged(sim.sched.now, 0) })
	case "restart-pooler":
		sim.poolers[f.Target.Group].restart()
		sim.check.FaultChanged(sim.sched.now, 0)
	case "stall-pooler":
		sim.check.FaultChanged(sim.sched.now+f.Duration, 0)
		p := sim.poolers[f.Target.Group]
		p.pausedUntil = max(p.pausedUntil, sim.sched.now+max(1, f.Duration))
		sim.check.Paused(sim.sched.now, p.no, p.pausedUntil)
		if sim.fleet != nil {
			sim.fleet.check.Paused(sim.sched.now, p.no, p.pausedUntil)
		}
	case "cut", "thin":
		servers := f.Target.Servers(sim.world)
		f = f.WithProber(sim.prober, servers)
		sim.links.inject(f, servers, true)
		afterDuration(func() { sim.links.inject(f, servers, false) })
	case "list-held":
		sim.links.holdLists(f.Poolers, true)
		afterDuration(func() { sim.links.holdLists(f.Poolers, false) })
	default:
		begin, end := f.Actions()
		for _, s := range f.Target.Servers(sim.world) {
			_ = begin(sim.world, s.Name) // cannot fail: the server exists
			afterDuration(func() { _ = end(sim.world, s.Name) })
		}
	}
}

// startAgain starts a new process of a killed pooler.
func (p *pooler) startAgain() {
	if !p.up {
		p.lastList = p.sim.world.List.Snapshot()
		_ = p.start() // cannot fail: the same settings were accepted before
	}
}

// restart shuts a pooler down gracefully, when its requests have ended or after maxRestartMs, and starts it again.
func (p *pooler) restart() {
	sim, incarnation := p.sim, p.incarnation
	if !p.up {
		return
	}
	sim.avoidUntil[p.no] = sim.sched.now + maxRestartMs + restartDownMs
	startedAt := sim.sched.now
	var poll func()
	if p.peer != nil {
		p.whenRunning(p.incarnation, func() { p.peer.handle(view.SetDraining{Draining: true}) })
	}
	poll = func() {
		if p.incarnation != incarnation {
			return
		}
		if len(p.clientAttempts)+sim.reports.openPages(p) > 0 && sim.sched.now < startedAt+maxRestartMs || sim.sched.now < startedAt+100 {
			sim.sched.After(restartPollMs, model.Func(poll), 0)
			return
		}
		p.leaveFleet()
		p.kill()
		sim.sched.After(restartDownMs, model.Func(func() {
			p.startAgain()
			sim.avoidUntil[p.no] = 0
		}), 0)
	}
	poll()
}
