package rehearse

import (
	"beechgrade/internal/testkit/model"
	"beechgrade/internal/testkit/scenario"
)

// pathFault returns a function that switches a fault on the paths from poolers to servers, or to the endpoint list, on and off.
func (r *Run) pathFault(f scenario.Fault) func(on bool) {
	var servers []int
	_ = r.fleet.Update(func(w *model.World) error {
		all := f.Target.Servers(w)
		for _, s := range all {
			servers = append(servers, s.No)
		}
		if f.TargetsProber() {
			f = *f.WithProber(r.peers.prober, all)
		}
		return nil
	})
	return func(on bool) {
		for _, p := range f.Poolers {
			switch f.Kind {
			case "list-held":
				r.fleet.HoldList(p, on)
			case "cut":
				for _, s := range servers {
					r.fleet.CutLink(p, s, on)
				}
			case "thin":
				for _, s := range servers {
					r.fleet.LoseOnLink(p, s, f.Value, on)
				}
			}
		}
	}
}
