package simulation

import (
	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/raftlog"
	raftadapter "beechgrade/internal/cluster/raftlog/adapter"
	"beechgrade/internal/cluster/zones"
	"beechgrade/internal/cluster/zones/adapter"
)

// Zoned has poolers decide together which zone serves what, in virtual time: on a log in common, with numbers kept in files that outlive
// processes.
type Zoned struct {
	Log    *CommonLog
	Set    zones.Settings
	KeepMs float64 // that a durable write of a number takes
	Told   func(pooler int, no uint64)

	floors map[int]uint64
	now    map[int]*zoner
}

// zoner is a process's side; it is zones' Log and Keeper.
type zoner struct {
	*Zoned
	h   Host
	j   *adapter.Adapter
	log *raftadapter.Adapter
}

// Join makes a process's parts: the log's and zones'.
func (c *Zoned) Join(h Host) []module.Module {
	if c.floors == nil {
		c.floors, c.now = map[int]uint64{}, map[int]*zoner{}
	}
	p := h.x.p
	x := &zoner{Zoned: c, h: h}
	set := c.Set
	set.Zones, set.Zone, set.Name, set.MinPlan, set.Checks = p.e.script.Sites, p.e.script.Sites[p.no%len(p.e.script.Sites)], p.name, c.floors[h.No()], p.e.checks
	set.CoresPerSize = float64(p.e.script.Fleet.Cores)
	set.Voters = nil
	for i := range c.Log.Voters {
		set.Voters = append(set.Voters, p.e.poolerName(i))
	}
	set.Planner.Plan.Delay = p.e.script.Delays()
	x.j = adapter.New(set, h, x, p.core, x)
	x.j.Listed(&p.known, true)
	p.core.SetZoneObserver(x.j)
	users := &raftlog.MachineMux{}
	if x.j.State() != nil {
		users.Add(raftlog.ZoneEntries, x.j)
	}
	x.log = c.Log.Join(h, users, x.j.HandleLogAction)
	c.now[h.No()] = x
	return []module.Module{x.log, x.j}
}

// Propose is zones.Log's.
func (x *zoner) Propose(entry []byte) {
	x.log.Propose(0, append([]byte{raftlog.ZoneEntries}, entry...))
}

// StorePlanNumber is joined.Keeper's.
func (x *zoner) StorePlanNumber(no uint64, done func()) {
	x.h.At(x.h.Now()+x.KeepMs, func() {
		x.floors[x.h.No()] = max(x.floors[x.h.No()], no)
		if done(); x.Told != nil {
			x.Told(x.h.No(), no)
		}
	})
}

// Cores are what serves in each site, as it truly is: a cold server has a part.
func (c *Zoned) Cores(pooler int) []float64 {
	e := c.now[pooler].h.x.p.e
	out := make([]float64, len(e.script.Sites))
	for _, s := range e.world.Servers {
		if s.Up {
			out[s.SiteNo()] += float64(e.script.Fleet.Cores)
		}
	}
	return out
}

// Now is virtual time.
func (c *Zoned) Now(pooler int) float64 { return c.now[pooler].h.Now() }

// Of is a pooler's present process.
func (c *Zoned) Of(pooler int) *adapter.Adapter {
	if x := c.now[pooler]; x != nil {
		return x.j
	}
	return nil
}
