package simulation

import (
	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/testkit/model"
)

// Watch implements core.Directory.
func (p *pooler) Watch() { p.requestList(true) }

// Fetch implements core.Directory.
func (p *pooler) Fetch() { p.requestList(false) }

// requestList requests the endpoint list; with watch, all changes since the last list and a watch for later ones.
func (p *pooler) requestList(watch bool) {
	sim, incarnation := p.sim, p.incarnation
	sim.lists++
	sim.sched.After(sim.linkDelay(), model.Func(func() {
		if sim.world.List.Unavailable {
			sim.sched.After(sim.linkDelay(), model.Func(func() { p.whenRunning(incarnation, p.listFailed) }), 0)
			return
		}
		l := sim.world.List.Snapshot()
		if watch {
			l = sim.world.List.Since(p.lastList.Generation)
			sim.lastWatch++
			no := sim.lastWatch
			p.whenRunning(incarnation, func() { p.watch = no })
		}
		if len(l.Instances) > 0 || l.Reset {
			p.deliverList(incarnation, l)
		}
	}), 0)
}

// deliverList delivers a list to a pooler, after the end of a fault that holds it back.
func (p *pooler) deliverList(incarnation uint32, l discovery.List) {
	sim := p.sim
	if sim.links.holdList(p.no, func() { p.deliverList(incarnation, l) }) {
		return
	}
	sim.sched.After(sim.linkDelay(), model.Func(func() {
		if p.incarnation != incarnation || !p.up {
			return
		}
		listed := map[string]bool{}
		for i := range l.Instances {
			n := &l.Instances[i]
			listed[n.ID] = true
			if s := sim.world.Server(n.ID); s != nil {
				sim.check.Listed(sim.sched.now, p.no, s.No, n.Lifecycle)
			}
		}
		if l.Reset {
			for _, s := range sim.world.Servers {
				if !listed[s.Name] {
					sim.check.Listed(sim.sched.now, p.no, s.No, "removed")
				}
			}
		}
		p.whenRunning(incarnation, func() {
			p.lastList.Generation = l.Generation
			if m := sim.options.Mutant; m != nil && m.List != nil {
				m.List(&l)
			}
			p.core.Listed(&l)
		})
	}), 0)
}

// listed delivers a change of the list if the pooler watches it.
func (p *pooler) listed(l discovery.List) {
	if p.watch != 0 && p.up {
		p.deliverList(p.incarnation, l)
	}
}

// listDown ends the pooler's watch when the list becomes unavailable.
func (p *pooler) listDown() {
	if p.watch == 0 || !p.up {
		return
	}
	p.watch = 0
	incarnation := p.incarnation
	p.sim.sched.After(p.sim.linkDelay(), model.Func(func() { p.whenRunning(incarnation, p.listFailed) }), 0)
}

// maxRewatchDelayMs is the daemon's longest delay before it opens a watch of a pushed list again.
const maxRewatchDelayMs = 160

// listFailed handles the failure of a list request or watch. The watch of a pushed list is opened again after a delay; otherwise the core
// handles the failure.
func (p *pooler) listFailed() {
	if !p.sim.script.Pushed {
		p.core.ListFailed()
		return
	}
	incarnation := p.incarnation
	p.sim.sched.After(maxRewatchDelayMs, model.Func(func() {
		p.whenRunning(incarnation, func() {
			if p.watch == 0 {
				p.Watch()
			}
		})
	}), 0)
}
