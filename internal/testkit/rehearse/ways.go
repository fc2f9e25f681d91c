package rehearse

import (
	"beechgrade/internal/testkit/model"
	"beechgrade/internal/testkit/scenario"
)

// pathFault has a fault of the ways from poolers to servers, or of the list's to poolers, strike or end.
func (r *Run) pathFault(f scenario.Fault) func(on bool) {
	var servers []int
	_ = r.fleet.Act(func(w *model.World) error {
		all := f.Target.Of(w)
		for _, s := range all {
			servers = append(servers, s.No)
		}
		if f.OfProber() {
			f = *f.AtProber(r.peers.prober, all)
		}
		return nil
	})
	return func(on bool) {
		for _, p := range f.Poolers {
			switch f.What {
			case "list-held":
				r.fleet.Hold(p, on)
			case "cut":
				for _, s := range servers {
					r.fleet.Cut(p, s, on)
				}
			case "thin":
				for _, s := range servers {
					r.fleet.Thin(p, s, f.Value, on)
				}
			}
		}
	}
}
