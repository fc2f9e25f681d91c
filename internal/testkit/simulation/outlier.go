package simulation

import (
	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/outlier/adapter"
)

// WithOutlierDetection returns a ModuleMaker for shared outlier detection.
func WithOutlierDetection(opt adapter.Options) ModuleMaker {
	return func(h Host) []module.Module {
		c := h.peer.pooler.core
		if m := h.peer.pooler.sim.options.Mutant; m != nil && m.OutlierSettings != nil {
			m.OutlierSettings(h.peer.pooler.no, &opt.Settings)
		}
		j := adapter.New(opt, c, h)
		j.CheckInvariants(h.peer.pooler.sim.checks, invariantInterval)
		j.OnEjection(func(s module.AvoidedServer, begins bool) {
			if begins {
				h.peer.pooler.sim.recordEjection(s)
			}
		})
		c.SetServerObserver(j)
		h.peer.outliers = j
		return []module.Module{j}
	}
}
