package simulation

import (
	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/outlier/adapter"
)

// Judged has poolers share what they know of servers.
func Judged(opt adapter.Options) Joined {
	return func(h Host) []module.Module {
		c := h.x.p.core
		if m := h.x.p.e.opt.Mutant; m != nil && m.Verdicts != nil {
			m.Verdicts(h.x.p.no, &opt.Settings)
		}
		j := adapter.New(opt, c, h)
		j.CheckInvariants(h.x.p.e.checks, walkEach)
		j.OnEjection(func(s module.AvoidedServer, begins bool) {
			if begins {
				h.x.p.e.heeded(s)
			}
		})
		c.SetServerObserver(j)
		h.x.judged = j
		return []module.Module{j}
	}
}
