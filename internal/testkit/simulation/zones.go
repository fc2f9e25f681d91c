package simulation

import (
	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/raftlog"
	raftadapter "beechgrade/internal/cluster/raftlog/adapter"
	"beechgrade/internal/cluster/zones"
	"beechgrade/internal/cluster/zones/adapter"
)

// ZonePlanning runs the daemon's zone planning in virtual time: on the shared log, with plan numbers in files that survive a restart.
type ZonePlanning struct {
	Log          *SharedLog
	Settings     zones.Settings
	PlanWriteMs  float64 // time of a durable write of a plan number
	OnPlanStored func(pooler int, no uint64)

	storedPlans map[int]uint64
	running     map[int]*zoneProcess
}

// zoneProcess is the zone planning of one process. It implements the log and the plan store of package zones.
type zoneProcess struct {
	*ZonePlanning
	host    Host
	adapter *adapter.Adapter
	log     *raftadapter.Adapter
}

// Join returns the modules of a process: the log and zone planning. It is a ModuleMaker.
func (z *ZonePlanning) Join(h Host) []module.Module {
	if z.storedPlans == nil {
		z.storedPlans, z.running = map[int]uint64{}, map[int]*zoneProcess{}
	}
	p := h.peer.pooler
	x := &zoneProcess{ZonePlanning: z, host: h}
	set := z.Settings
	set.Zones, set.Zone, set.Name, set.MinPlan, set.Checks = p.sim.script.Sites, p.sim.script.Sites[p.no%len(p.sim.script.Sites)], p.name, z.storedPlans[h.No()], p.sim.checks
	set.CoresPerSize = float64(p.sim.script.Fleet.Cores)
	set.Voters = nil
	for i := range z.Log.Voters {
		set.Voters = append(set.Voters, p.sim.poolerName(i))
	}
	set.Planner.Plan.Delay = p.sim.script.Delays()
	x.adapter = adapter.New(set, h, x, p.core, x)
	x.adapter.Listed(&p.lastList, true)
	p.core.SetZoneObserver(x.adapter)
	users := &raftlog.MachineMux{}
	if x.adapter.State() != nil {
		users.Add(raftlog.ZoneEntries, x.adapter)
	}
	x.log = z.Log.Join(h, users, x.adapter.HandleLogAction)
	z.running[h.No()] = x
	return []module.Module{x.log, x.adapter}
}

// Propose implements zones.Log.
func (x *zoneProcess) Propose(entry []byte) {
	x.log.Propose(0, append([]byte{raftlog.ZoneEntries}, entry...))
}

// StorePlanNumber implements the plan store of package zones.
func (x *zoneProcess) StorePlanNumber(no uint64, done func()) {
	x.host.At(x.host.Now()+x.PlanWriteMs, func() {
		x.storedPlans[x.host.No()] = max(x.storedPlans[x.host.No()], no)
		if done(); x.OnPlanStored != nil {
			x.OnPlanStored(x.host.No(), no)
		}
	})
}

// Cores returns the cores of running servers by site.
func (z *ZonePlanning) Cores(pooler int) []float64 {
	sim := z.running[pooler].host.peer.pooler.sim
	out := make([]float64, len(sim.script.Sites))
	for _, s := range sim.world.Servers {
		if s.Up {
			out[s.SiteNo()] += float64(sim.script.Fleet.Cores)
		}
	}
	return out
}

// Now returns virtual time in Unix ms.
func (z *ZonePlanning) Now(pooler int) float64 { return z.running[pooler].host.Now() }

// Adapter returns the adapter of a pooler's last process, nil for none.
func (z *ZonePlanning) Adapter(pooler int) *adapter.Adapter {
	if x := z.running[pooler]; x != nil {
		return x.adapter
	}
	return nil
}
