package simulation

import (
	"beechgrade/internal/backend"
	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/overload/adapter"
	"beechgrade/internal/cluster/view"
	"beechgrade/internal/core"
	"beechgrade/internal/decide"
)

// partsEach is how many ticks there are for one walk over the state of what handles overload.
const partsEach = 8

// prober is the first prober of a server.
func (e *Emulation) prober(server string) int {
	ids := make([]view.ID, len(e.poolers))
	for i, p := range e.poolers {
		if p.up && p.peer != nil {
			ids[i] = p.peer.view.Self().ID
		}
	}
	return e.script.Prober(server, ids)
}

// Overloaded has poolers handle overload as one.
func Overloaded(opt adapter.Options) Joined {
	return func(h Host) []module.Module {
		c := h.x.p.core
		opt, told := opt, adapter.Core(probed{c, h.x.p})
		if m := h.x.p.e.opt.Mutant; m != nil {
			if m.Over != nil {
				m.Over(h.No(), &opt)
			}
			if m.Core != nil {
				told = m.Core(h.No(), told)
			}
		}
		j := adapter.New(opt, told, h)
		j.CheckInvariants(h.x.p.e.checks, partsEach)
		if opt.Shed {
			c.SetDemandObserver(j)
		}
		if opt.Share {
			c.SetHealthCheckSharer(adapter.Prober{Adapter: j})
		}
		h.x.over = j
		j.Begin()
		return []module.Module{j}
	}
}

// probed has the checker hear what other poolers' probes found servers to be: it counts as if these had said so to this pooler.
type probed struct {
	*core.Core
	p *pooler
}

// HealthCheckReported is joined's core's.
func (c probed) HealthCheckReported(store string, result decide.Result, said backend.Report, ageMs float64) {
	if s := c.p.e.world.Server(store); s != nil && said.Role != decide.RoleUnknown && said.HasPos {
		c.p.e.check.RoleReported(c.p.e.s.now, said.Position, c.p.no, s.No, said.Role == decide.RolePrimary)
	}
	c.Core.HealthCheckReported(store, result, said, ageMs)
}
