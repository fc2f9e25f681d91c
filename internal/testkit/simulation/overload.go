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

// prober returns the number of the pooler that is first responsible for a server's health checks.
func (sim *Simulation) prober(server string) int {
	ids := make([]view.ID, len(sim.poolers))
	for i, p := range sim.poolers {
		if p.up && p.peer != nil {
			ids[i] = p.peer.view.Self().ID
		}
	}
	return sim.script.Prober(server, ids)
}

// WithOverload returns a ModuleMaker for joint overload handling.
func WithOverload(opt adapter.Options) ModuleMaker {
	return func(h Host) []module.Module {
		c := h.peer.pooler.core
		opt, observed := opt, adapter.Core(healthCheckRecorder{c, h.peer.pooler})
		if m := h.peer.pooler.sim.options.Mutant; m != nil {
			if m.OverloadOptions != nil {
				m.OverloadOptions(h.No(), &opt)
			}
			if m.OverloadCore != nil {
				observed = m.OverloadCore(h.No(), observed)
			}
		}
		overload := adapter.New(opt, observed, h)
		overload.CheckInvariants(h.peer.pooler.sim.checks, overloadInvariantInterval)
		if opt.SheddingEnabled {
			c.SetDemandObserver(overload)
		}
		if opt.ProbeSharingEnabled {
			c.SetHealthCheckSharer(adapter.Prober{Adapter: overload})
		}
		h.peer.overload = overload
		overload.Begin()
		return []module.Module{overload}
	}
}

// healthCheckRecorder passes the results of other poolers' health checks to the checker, as roles reported to this pooler.
type healthCheckRecorder struct {
	*core.Core
	p *pooler
}

// HealthCheckReported implements adapter.Core.
func (c healthCheckRecorder) HealthCheckReported(server string, result decide.Result, report backend.Report, ageMs float64) {
	if s := c.p.sim.world.Server(server); s != nil && report.Role != decide.RoleUnknown && report.HasPosition {
		c.p.sim.check.RoleReported(c.p.sim.sched.now, report.Position, c.p.no, s.No, report.Role == decide.RolePrimary)
	}
	c.Core.HealthCheckReported(server, result, report, ageMs)
}
