package rehearse

import (
	"fmt"
	"strings"
	"time"

	"beechgrade/internal/testkit/fake/consulserver"
	"beechgrade/internal/testkit/fake/database"
	"beechgrade/internal/testkit/model"
	"beechgrade/internal/testkit/scenario"
)

// startAgents starts fake Consul agents on a catalog in which the fleet is registered, and configures the poolers to take their
// endpoint list from them.
func (r *Run) startAgents() error {
	c := consulserver.NewCatalog()
	var addrs []string
	for range r.script.Agents {
		a, err := consulserver.Start(c)
		if err != nil {
			return err
		}
		r.agents = append(r.agents, a)
		addrs = append(addrs, fmt.Sprintf("%q", a.Address))
	}
	r.operators += fmt.Sprintf(`(membership (consul (agents %s) (services %q) (wait 5s) (map (role tag))))
`, strings.Join(addrs, " "), database.Service)
	r.fleet.Register(c)
	return nil
}

func (r *Run) stopAgents() {
	for _, a := range r.agents {
		a.Stop()
	}
}

// setConsulFault begins or ends a fault of an agent or of the catalog.
func (r *Run) setConsulFault(f scenario.Fault, on bool) {
	switch f.Kind {
	case "deregister-all":
		_ = r.fleet.Update(func(w *model.World) error { w.DeregisterAll(on); return nil })
	case "wrong-roles":
		_ = r.fleet.Update(func(w *model.World) error { w.SwapRoles(on); return nil })
	default:
		l := consulserver.Fault{}
		if on {
			l = map[string]consulserver.Fault{
				"down":       {Status: 500},
				"hang":       {Hang: true},
				"frozen":     {Frozen: true, LastContact: time.Hour},
				"leaderless": {Frozen: true, Leaderless: true, LastContact: time.Hour},
				"cut":        {Truncated: true},
				"empty":      {Empty: true},
			}[f.Target.Name]
		}
		r.agents[f.Target.Group].SetFault(l)
	}
}
