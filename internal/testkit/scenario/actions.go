package scenario

import "beechgrade/internal/testkit/model"

// Actions returns the functions that start a fault at a server and end it.
func (f *Fault) Actions() (begin, end func(w *model.World, name string) error) {
	switch f.Kind {
	case "die":
		return (*model.World).Kill, (*model.World).Revive
	case "hang":
		return (*model.World).Hang, (*model.World).Unhang
	case "restart":
		return (*model.World).Restart, func(*model.World, string) error { return nil }
	case "drain":
		return (*model.World).Drain, (*model.World).Undrain
	case "reissue":
		return (*model.World).Reregister, func(*model.World, string) error { return nil }
	case "fail-check":
		return switchAction((*model.World).FailCheck)
	case "deaf":
		return switchAction((*model.World).DropRequests)
	case "mute":
		return switchAction((*model.World).DropAnswers)
	case "lose":
		return valueAction((*model.World).LoseRequests, f.Value, 0)
	case "disk":
		return valueAction((*model.World).SlowWrites, f.Value, 1)
	case "crowd":
		return valueAction((*model.World).LimitMachine, f.Value, 1)
	}
	return valueAction((*model.World).SlowReplication, f.Value, 1) // lag
}

// action starts or ends a fault at a server.
type action = func(w *model.World, name string) error

// switchAction returns the actions of a fault that is on or off.
func switchAction(do func(*model.World, string, bool) error) (begin, end action) {
	return func(w *model.World, name string) error { return do(w, name, true) },
		func(w *model.World, name string) error { return do(w, name, false) }
}

// valueAction returns the actions of a fault with a value, which returns to normal at its end.
func valueAction(do func(*model.World, string, float64) error, value, normal float64) (begin, end action) {
	return func(w *model.World, name string) error { return do(w, name, value) },
		func(w *model.World, name string) error { return do(w, name, normal) }
}

// Servers returns the servers that the target denotes now.
func (t Target) Servers(w *model.World) (out []*model.Server) {
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
				if s.Site() == t.Name {
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
