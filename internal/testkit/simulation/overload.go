package simulation

import (
	"beechgrade/internal/backend"
	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/overload/adapter"
	"beechgrade/internal/cluster/view"
	"beechgrade/internal/core"
	"beechgrade/internal/decide"
)

// overloadInvariantInterval is the number of ticks between two checks of the invariants of overload handling.
const overloadInvariantInterval = 8

// prober returns the pooler that checks a server's health first.
func (sim *Simulation) prober(server string) int {
	ids := make([]view.ID, len(sim.poolers))
	for i, p := range sim.poolers {
		if p.up && p.peer != nil {
			ids[i] = p.peer.view.Self().ID
		}
	}
	return sim.script.Prober(server, ids)
}

// WithOverload returns the maker of joint overload handling.
func WithOverload(opt adapter.Options) ModuleMaker {
	return func(h Host) []module.Module {
		c := h.x.p.core
		opt, told := opt, adapter.Core(healthCheckWatcher{c, h.x.p})
		if m := h.x.p.sim.options.Mutant; m != nil {
			if m.OverloadOptions != nil {
				m.OverloadOptions(h.No(), &opt)
			}
			if m.OverloadCore != nil {
				told = m.OverloadCore(h.No(), told)
			}
		}
		j := adapter.New(opt, told, h)
		j.CheckInvariants(h.x.p.sim.checks, overloadInvariantInterval)
		if opt.SheddingEnabled {
			c.SetDemandObserver(j)
		}
		if opt.ProbeSharingEnabled {
			c.SetHealthCheckSharer(adapter.Prober{Adapter: j})
		}
		h.x.overload = j
		j.Begin()
		return []module.Module{j}
	}
}

// healthCheckWatcher passes the results of other poolers' health checks to the checker: they count as reports to this pooler.
type healthCheckWatcher struct {
	*core.Core
	p *pooler
}

// HealthCheckReported implements adapter.Core.
func (c healthCheckWatcher) HealthCheckReported(store string, result decide.Result, said backend.Report, ageMs float64) {
	if s := c.p.sim.world.Server(store); s != nil && said.Role != decide.RoleUnknown && said.HasPosition {
		c.p.sim.check.RoleReported(c.p.sim.sched.now, said.Position, c.p.no, s.No, said.Role == decide.RolePrimary)
	}
	c.Core.HealthCheckReported(store, result, said, ageMs)
}
