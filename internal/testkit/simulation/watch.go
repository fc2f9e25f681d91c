package simulation

import (
	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/testkit/model"
)

// Watch is core.Directory's.
func (p *pooler) Watch() { p.ask(true) }

// Fetch is core.Directory's.
func (p *pooler) Fetch() { p.ask(false) }

func (p *pooler) ask(watch bool) {
	e, life := p.e, p.life
	e.lists++
	e.s.After(e.way(), model.Func(func() {
		if e.world.List.Unavailable {
			e.s.After(e.way(), model.Func(func() { p.whenRunning(life, p.listFailed) }), 0)
			return
		}
		l := e.world.List.Snapshot()
		if watch {
			l = e.world.List.Since(p.known.Generation)
			e.watches++
			no := e.watches
			p.whenRunning(life, func() { p.watch = no })
		}
		if len(l.Instances) > 0 || l.Reset {
			p.tellList(life, l)
		}
	}), 0)
}

// tellList has a list arrive, once nothing holds it.
func (p *pooler) tellList(life uint32, l discovery.List) {
	e := p.e
	if e.ways.hold(p.no, func() { p.tellList(life, l) }) {
		return
	}
	e.s.After(e.way(), model.Func(func() {
		if p.life != life || !p.up {
			return
		}
		named := map[string]bool{}
		for i := range l.Instances {
			n := &l.Instances[i]
			named[n.ID] = true
			if s := e.world.Server(n.ID); s != nil {
				e.check.Listed(e.s.now, p.no, s.No, n.Lifecycle)
			}
		}
		if l.Reset {
			for _, s := range e.world.Servers {
				if !named[s.Name] {
					e.check.Listed(e.s.now, p.no, s.No, "removed")
				}
			}
		}
		p.whenRunning(life, func() {
			p.known.Generation = l.Generation
			if m := e.opt.Mutant; m != nil && m.List != nil {
				m.List(&l)
			}
			p.core.Listed(&l)
		})
	}), 0)
}

// listed has the list's news pushed to a pooler that watches.
func (p *pooler) listed(l discovery.List) {
	if p.watch != 0 && p.up {
		p.tellList(p.life, l)
	}
}

// listDown ends the watch.
func (p *pooler) listDown() {
	if p.watch == 0 || !p.up {
		return
	}
	p.watch = 0
	life := p.life
	p.e.s.After(p.e.way(), model.Func(func() { p.whenRunning(life, p.listFailed) }), 0)
}

const againMs = 160 // before a pushed list's next watch, at most; as the daemon has it

// listFailed is the end of a call or a watch. Where lists are pushed it is nobody's failure, and the watch is asked for anew.
func (p *pooler) listFailed() {
	if !p.e.script.Pushed {
		p.core.ListFailed()
		return
	}
	life := p.life
	p.e.s.After(againMs, model.Func(func() {
		p.whenRunning(life, func() {
			if p.watch == 0 {
				p.Watch()
			}
		})
	}), 0)
}
