package scenario

import "beechgrade/internal/kit/world"

// Acts are what a fault does to a server, and what ends it.
func (f *Fault) Acts() (begin, end func(w *world.World, name string) error) {
	switch f.What {
	case "die":
		return (*world.World).Kill, (*world.World).Revive
	case "hang":
		return (*world.World).Hang, (*world.World).Unhang
	case "restart":
		return (*world.World).Restart, func(*world.World, string) error { return nil }
	case "drain":
		return (*world.World).Drain, (*world.World).Undrain
	case "reissue":
		return (*world.World).Reissue, func(*world.World, string) error { return nil }
	case "fail-check":
		return switched((*world.World).Fail)
	case "deaf":
		return switched((*world.World).Deafen)
	case "mute":
		return switched((*world.World).Silence)
	case "lose":
		return figure((*world.World).Lose, f.Value, 0)
	case "disk":
		return figure((*world.World).Disk, f.Value, 1)
	case "crowd":
		return figure((*world.World).Crowd, f.Value, 1)
	}
	return figure((*world.World).Lag, f.Value, 1)
}

type act = func(w *world.World, name string) error

func switched(do func(*world.World, string, bool) error) (begin, end act) {
	return func(w *world.World, name string) error { return do(w, name, true) },
		func(w *world.World, name string) error { return do(w, name, false) }
}

func figure(do func(*world.World, string, float64) error, value, usual float64) (begin, end act) {
	return func(w *world.World, name string) error { return do(w, name, value) },
		func(w *world.World, name string) error { return do(w, name, usual) }
}

// Of resolves a target as the world is now.
func (t Target) Of(w *world.World) (out []*world.Server) {
	for _, g := range w.Groups {
		if t.Kind != "site" && t.Kind != "primaries" && t.Kind != "everyone" && t.Kind != "half-primaries" && g.ID != t.Group || t.Kind == "half-primaries" && g.ID%2 != 0 {
			continue
		}
		for k, s := range g.Members {
			switch t.Kind {
			case "primary", "primaries", "half-primaries":
				if s == g.Primary {
					out = append(out, s)
				}
			case "replica":
				if s != g.Primary {
					return append(out, s)
				}
			case "site":
				if s.Site() == t.Word {
					out = append(out, s)
				}
			case "member":
				if k == t.Member {
					out = append(out, s)
				}
			default:
				out = append(out, s)
			}
		}
	}
	return out
}
