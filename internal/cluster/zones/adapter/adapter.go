// Package adapter connects the coordination of zones (package zones) to a pooler's core, the cluster and the replicated log: the endpoint
// list, attempts and health checks go in, the preferred zone and the price of crossing come out. It serves sockets and virtual time alike.
package adapter

import (
	"cmp"
	"math"
	"slices"
	"time"

	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/raftlog"
	"beechgrade/internal/cluster/zones"
	"beechgrade/internal/cluster/zones/follower"
	"beechgrade/internal/cluster/zones/plan"
	"beechgrade/internal/cluster/zones/planner"
	"beechgrade/internal/decide"
	"beechgrade/internal/endpoints/discovery"
)

// Core is the part of a pooler's core that the adapter uses.
type Core interface {
	AverageWork() []float64 // a request's, by class, in seconds
	DecisionSettings() *decide.Settings
	SetZone(zone string, price float64)
	WarmUpFactor(startedMs float64) float64
	RelativeRate(store string) float64
}

// PlanNumberStore stores the number of a plan durably, and calls done on the event loop.
type PlanNumberStore interface{ StorePlanNumber(no uint64, done func()) }

// Adapter is a pooler's side. It implements zones.Pooler and the core's observer of zones. Its methods are called on the event loop.
type Adapter struct {
	*zones.Coordinator
	settings  zones.Settings
	core      Core
	transport module.Transport
	store     PlanNumberStore
	servers   map[string]*zoneServer // servers
	cells     []*cell                // in their order
	demands   map[[2]int]float64
	sent      []uint64 // attempts of reads that any member may serve, by zone of the servers, since the start
	planSeen  bool
}

// zoneServer is a server by the endpoint list, and by what was observed of it.
type zoneServer struct {
	cell    *cell
	size    float64
	serves  bool
	started float64
	primary bool
	misses  int // attempts and health checks in a row without an answer
}

type cell struct {
	planner.Cell
	attempts, lost, fixedCores float64 // since the last sample
	servers                    map[string]*zoneServer
}

// maxMisses is how many misses make a server count as not serving.
const maxMisses = 3

// A server that is overloaded or unhealthy does a part of the work of others of its kind. Differences within paceTolerance are chance.
const (
	paceTolerance = 1.25
	minPace       = 0.02
)

// capacityMemoryMs is the time over which the normal number of servers in a zone fades.
const capacityMemoryMs = 600_000

// New returns an Adapter. The classes, and how far their reads may cross, come from the core's settings.
func New(set zones.Settings, net module.Transport, log zones.Log, c Core, k PlanNumberStore) *Adapter {
	adapter := &Adapter{settings: set, core: c, transport: net, store: k, servers: map[string]*zoneServer{}, demands: map[[2]int]float64{}, sent: make([]uint64, len(set.Zones))}
	set.Planner.Plan.Classes = classes(c.DecisionSettings())
	adapter.settings = set
	adapter.Coordinator = zones.New(set, net, log, adapter)
	return adapter
}

// classes returns the classes for plans. What only the primary can do goes wherever that is, and is not part of a plan.
func classes(set *decide.Settings) (out []plan.Class) {
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	for _, c := range set.Classes {
		x := plan.Class{Priority: c.PriorityWeight, MaxRoundTrip: ms(c.LatencyObjective)}
		if c.Read == decide.ReadBounded {
			x.MaxAge = ms(c.MaxStaleness)
		}
		out = append(out, x)
	}
	return out
}

// Settings returns the settings in use.
func (adapter *Adapter) Settings() *zones.Settings { return &adapter.settings }

// Sent returns the number of attempts since the start of reads that any member may serve, by zone of the servers.
func (adapter *Adapter) Sent() []uint64 { return adapter.sent }

// movable reports whether any member of a group may serve a class.
func (adapter *Adapter) movable(class int) bool {
	set := adapter.core.DecisionSettings()
	return class >= 0 && class < len(set.Classes) && set.Classes[class].Read != decide.Write && set.Classes[class].Read != decide.ReadFresh
}

func (adapter *Adapter) work(class int) float64 {
	if w := adapter.core.AverageWork(); class >= 0 && class < len(w) {
		return w[class]
	}
	return 0
}

// Listed takes an endpoint list, or a part of one that changed.
func (adapter *Adapter) Listed(l *discovery.List, whole bool) {
	seen := map[string]bool{}
	for i := range l.Instances {
		n := &l.Instances[i]
		zone := adapter.settings.Index(n.Zone)
		if seen[n.ID] = true; zone < 0 || n.ID == "" {
			continue
		}
		server := adapter.servers[n.ID]
		if server == nil {
			server = &zoneServer{}
			adapter.servers[n.ID] = server
		}
		at := adapter.cell(n.Cell, zone)
		if server.cell != at && server.cell != nil {
			delete(server.cell.servers, n.ID)
		}
		server.cell, at.servers[n.ID] = at, server
		if started := float64(n.StartedAtMs); started != server.started {
			server.started, server.misses = started, 0
		}
		server.size, server.serves, server.primary = cmp.Or(n.Weight, 1), n.Lifecycle != "draining" && n.Lifecycle != "removed", n.Role == "primary"
	}
	if whole {
		for id, server := range adapter.servers {
			server.serves = server.serves && seen[id]
		}
	}
}

func (adapter *Adapter) cell(group, zone int) *cell {
	i, found := slices.BinarySearchFunc(adapter.cells, [2]int{group, zone}, func(c *cell, at [2]int) int {
		return cmp.Or(cmp.Compare(c.Group, at[0]), cmp.Compare(c.Zone, at[1]))
	})
	if !found {
		adapter.cells = slices.Insert(adapter.cells, i, &cell{Cell: planner.Cell{Group: group, Zone: zone}, servers: map[string]*zoneServer{}})
	}
	return adapter.cells[i]
}

// Received counts a request that arrived for a group.
func (adapter *Adapter) Received(group, class int) {
	if adapter.movable(class) {
		adapter.demands[[2]int{group, class}]++
	}
}

// cancelledLossShare of its class's aim is after what a copy that was called off counts as lost.
const cancelledLossShare = 0.5

// AttemptEnded takes the end of an attempt at a server, ms after it was sent.
func (adapter *Adapter) AttemptEnded(store string, class int, r decide.Result, ms float64, _ bool) {
	server := adapter.servers[store]
	if server == nil {
		return
	}
	lost := false
	if r != decide.NotSent && adapter.movable(class) {
		adapter.sent[server.cell.Zone]++
	}
	switch r {
	case decide.NotSent:
		return
	case decide.Cancelled:
		set := adapter.core.DecisionSettings()
		if class >= len(set.Classes) || ms < cancelledLossShare*float64(set.Classes[class].LatencyObjective)/float64(time.Millisecond) {
			return
		}
		lost = true
	case decide.TimedOut, decide.Unreachable, decide.Reset:
		lost = true
	}
	if server.cell.attempts++; lost {
		server.cell.lost++
		server.misses++
		return
	}
	server.misses = 0
	if r == decide.OK && !adapter.movable(class) {
		server.cell.fixedCores += adapter.work(class)
	}
}

// HealthChecked takes the result of a health check.
func (adapter *Adapter) HealthChecked(store string, ok bool) {
	if server := adapter.servers[store]; server != nil {
		if server.misses++; ok {
			server.misses = 0
		}
	}
}

// Sample implements zones.Pooler.
func (adapter *Adapter) Sample(ms float64) (cells []planner.Cell, asks []planner.Demand) {
	seconds, usual := max(ms, 1)/1000, adapter.medianPace()
	for _, c := range adapter.cells {
		x := &c.Cell
		x.Cores = 0
		whole := 0.0
		for id, server := range c.servers {
			if server.serves && server.misses < maxMisses {
				whole += server.size * adapter.settings.CoresPerSize
				x.Cores += server.size * adapter.settings.CoresPerSize * adapter.core.WarmUpFactor(server.started) * max(minPace, min(1, paceTolerance*adapter.core.RelativeRate(id)/usual))
			}
		}
		x.Cores = math.Round(x.Cores*1000) / 1000 // whatever order they were added in
		x.FullCores = max(whole, x.FullCores*math.Exp(-ms/capacityMemoryMs))
		x.Attempts, x.Lost, x.FixedCores = c.attempts/seconds, c.lost/seconds, c.fixedCores/seconds
		c.attempts, c.lost, c.fixedCores = 0, 0, 0
		cells = append(cells, *x)
	}
	for k, n := range adapter.demands {
		asks = append(asks, planner.Demand{Group: k[0], Class: k[1], Load: n / seconds * adapter.work(k[1])})
		if adapter.demands[k] = 0; n == 0 {
			delete(adapter.demands, k)
		}
	}
	slices.SortFunc(asks, func(a, b planner.Demand) int {
		return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(a.Class, b.Class))
	})
	return cells, asks
}

// medianPace returns the median of the serving servers' paces.
func (adapter *Adapter) medianPace() float64 {
	var all []float64
	for id, server := range adapter.servers {
		if server.serves && server.misses < maxMisses {
			all = append(all, adapter.core.RelativeRate(id))
		}
	}
	if len(all) == 0 {
		return 1
	}
	slices.Sort(all)
	return max(all[len(all)/2], minPace)
}

// ApplyStatus implements zones.Pooler.
func (adapter *Adapter) ApplyStatus(s follower.Status) {
	if s.Reason == follower.NoPlan && !adapter.planSeen {
		return
	}
	adapter.planSeen = true
	adapter.core.SetZone(adapter.settings.Zones[s.Zone], s.Price)
}

// StorePlanNumber implements zones.Pooler.
func (adapter *Adapter) StorePlanNumber(no uint64, done func()) {
	if adapter.store == nil {
		done()
		return
	}
	adapter.store.StorePlanNumber(no, done)
}

// HandleLogAction follows the leader of the replicated log.
func (adapter *Adapter) HandleLogAction(a *raftlog.Action) {
	switch a.Kind {
	case raftlog.BecameLeader:
		adapter.SetLeader(adapter.settings.Name)
	case raftlog.LeaderChanged:
		adapter.SetLeader(a.Leader)
	case raftlog.Stopped:
		adapter.SetLeader("")
	}
}
