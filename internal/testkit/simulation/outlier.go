package simulation

import (
	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/outlier/adapter"
)

// WithOutlierDetection returns a ModuleMaker for shared outlier detection.
func WithOutlierDetection(opt adapter.Options) ModuleMaker {
	return func(h Host) []module.Module {
		c := h.x.p.core
		if m := h.x.p.sim.options.Mutant; m != nil && m.OutlierSettings != nil {
			m.OutlierSettings(h.x.p.no, &opt.Settings)
		}
		j := adapter.New(opt, c, h)
		j.CheckInvariants(h.x.p.sim.checks, invariantInterval)
		j.OnEjection(func(s module.AvoidedServer, begins bool) {
			if begins {
				h.x.p.sim.recordEjection(s)
			}
		})
		c.SetServerObserver(j)
		h.x.outliers = j
		return []module.Module{j}
	}
}
