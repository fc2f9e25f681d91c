// Package adapter connects the coordination of zones (package zones) to a pooler's core, the cluster and the replicated log: the endpoint
// list, attempts and health checks go in, the preferred zone and the price of crossing come out. The pooler and the simulator both use it.
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
	AverageWork() []float64 // of a request, by class, in seconds
	DecisionSettings() *decide.Settings
	SetZone(zone string, price float64)
	WarmUpFactor(startedMs float64) float64
	RelativeRate(server string) float64
}

// PlanNumberStore stores the number of a plan durably, and then calls done on the event loop.
type PlanNumberStore interface {
	StorePlanNumber(number uint64, done func())
}

// Adapter connects one pooler. It implements zones.Pooler and core.ZoneObserver. Its methods are called on the event loop.
type Adapter struct {
	*zones.Coordinator
	settings  zones.Settings
	core      Core
	transport module.Transport
	store     PlanNumberStore
	servers   map[string]*zoneServer // by ID
	cells     []*cell                // sorted by group and zone
	demands   map[[2]int]float64     // requests since the last sample, by group and class
	sent      []uint64               // attempts of reads that any member may serve, by zone of the servers, since the start
	planSeen  bool                   // a status with a plan was applied
}

// zoneServer is what the endpoint list states of a server, and what was observed of it.
type zoneServer struct {
	cell    *cell
	size    float64 // relative to a server of size 1
	serves  bool    // according to the endpoint list
	started float64 // Unix ms
	primary bool
	misses  int // consecutive attempts that were lost and health checks that failed
}

// cell is what was observed of the servers of a group in a zone.
type cell struct {
	planner.Cell
	attempts, lost, fixedCores float64 // since the last sample
	servers                    map[string]*zoneServer
}

// maxMisses is the number of consecutive misses from which a server counts as not serving.
const maxMisses = 3

// A server that is overloaded or unhealthy is slower than others of its kind, and counts with the corresponding part of its cores.
const (
	paceTolerance = 1.25 // a pace that is lower than the median by this factor or less counts as full: such differences are chance
	minPace       = 0.02 // lower bound of a server's relative pace
)

// capacityMemoryMs is the time constant with which the capacity of a zone in normal operation decays.
const capacityMemoryMs = 600_000

// New returns an Adapter. The classes, and how long a round trip their reads allow, come from the core's settings. store may be nil.
func New(settings zones.Settings, transport module.Transport, log zones.Log, core Core, store PlanNumberStore) *Adapter {
	adapter := &Adapter{settings: settings, core: core, transport: transport, store: store, servers: map[string]*zoneServer{}, demands: map[[2]int]float64{}, sent: make([]uint64, len(settings.Zones))}
	settings.Planner.Plan.Classes = classes(core.DecisionSettings())
	adapter.settings = settings
	adapter.Coordinator = zones.New(settings, transport, log, adapter)
	return adapter
}

// classes returns the classes as plans need them. Requests that only the primary can serve go to its zone, and are not part of a plan.
func classes(settings *decide.Settings) (out []plan.Class) {
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	for _, c := range settings.Classes {
		class := plan.Class{Priority: c.PriorityWeight, MaxRoundTrip: ms(c.LatencyObjective)}
		if c.Read == decide.ReadBounded {
			class.MaxAge = ms(c.MaxStaleness)
		}
		out = append(out, class)
	}
	return out
}

// Settings returns the settings in use.
func (adapter *Adapter) Settings() *zones.Settings { return &adapter.settings }

// Sent returns, by zone of the servers, the number of attempts since the start for reads that any member may serve.
func (adapter *Adapter) Sent() []uint64 { return adapter.sent }

// movable reports whether any member of a group may serve requests of a class, so that they may move to another zone.
func (adapter *Adapter) movable(class int) bool {
	settings := adapter.core.DecisionSettings()
	return class >= 0 && class < len(settings.Classes) && settings.Classes[class].Read != decide.Write && settings.Classes[class].Read != decide.ReadFresh
}

// work returns the average work of a request of a class, in seconds.
func (adapter *Adapter) work(class int) float64 {
	if work := adapter.core.AverageWork(); class >= 0 && class < len(work) {
		return work[class]
	}
	return 0
}

// Listed handles an endpoint list; unless whole, it holds changes only.
func (adapter *Adapter) Listed(list *discovery.List, whole bool) {
	seen := map[string]bool{}
	for i := range list.Instances {
		instance := &list.Instances[i]
		zone := adapter.settings.Index(instance.Zone)
		if seen[instance.ID] = true; zone < 0 || instance.ID == "" {
			continue
		}
		server := adapter.servers[instance.ID]
		if server == nil {
			server = &zoneServer{}
			adapter.servers[instance.ID] = server
		}
		at := adapter.cell(instance.Cell, zone)
		if server.cell != at && server.cell != nil {
			delete(server.cell.servers, instance.ID)
		}
		server.cell, at.servers[instance.ID] = at, server
		if started := float64(instance.StartedAtMs); started != server.started {
			server.started, server.misses = started, 0
		}
		server.size, server.serves, server.primary = cmp.Or(instance.Weight, 1), instance.Lifecycle != "draining" && instance.Lifecycle != "removed", instance.Role == "primary"
	}
	if whole {
		for id, server := range adapter.servers {
			server.serves = server.serves && seen[id]
		}
	}
}

// cell returns the cell of a group in a zone, which it adds if there is none.
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

// cancelledLossShare is the part of its class's latency objective after which an attempt that was cancelled counts as lost.
const cancelledLossShare = 0.5

// AttemptEnded counts an attempt at a server that ended ms after it was sent.
func (adapter *Adapter) AttemptEnded(id string, class int, result decide.Result, ms float64, _ bool) {
	server := adapter.servers[id]
	if server == nil {
		return
	}
	lost := false
	if result != decide.NotSent && adapter.movable(class) {
		adapter.sent[server.cell.Zone]++
	}
	switch result {
	case decide.NotSent:
		return
	case decide.Cancelled:
		settings := adapter.core.DecisionSettings()
		if class >= len(settings.Classes) || ms < cancelledLossShare*float64(settings.Classes[class].LatencyObjective)/float64(time.Millisecond) {
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
	if result == decide.OK && !adapter.movable(class) {
		server.cell.fixedCores += adapter.work(class)
	}
}

// HealthChecked counts the result of a health check.
func (adapter *Adapter) HealthChecked(id string, ok bool) {
	if server := adapter.servers[id]; server != nil {
		if server.misses++; ok {
			server.misses = 0
		}
	}
}

// Sample implements zones.Pooler.
func (adapter *Adapter) Sample(ms float64) (cells []planner.Cell, demands []planner.Demand) {
	seconds, medianPace := max(ms, 1)/1000, adapter.medianPace()
	for _, c := range adapter.cells {
		sampled := &c.Cell
		sampled.Cores = 0
		fullCores := 0.0
		for id, server := range c.servers {
			if server.serves && server.misses < maxMisses {
				fullCores += server.size * adapter.settings.CoresPerSize
				sampled.Cores += server.size * adapter.settings.CoresPerSize * adapter.core.WarmUpFactor(server.started) * max(minPace, min(1, paceTolerance*adapter.core.RelativeRate(id)/medianPace))
			}
		}
		sampled.Cores = math.Round(sampled.Cores*1000) / 1000 // the sum must not depend on the order of the map
		sampled.FullCores = max(fullCores, sampled.FullCores*math.Exp(-ms/capacityMemoryMs))
		sampled.Attempts, sampled.Lost, sampled.FixedCores = c.attempts/seconds, c.lost/seconds, c.fixedCores/seconds
		c.attempts, c.lost, c.fixedCores = 0, 0, 0
		cells = append(cells, *sampled)
	}
	for key, requests := range adapter.demands {
		demands = append(demands, planner.Demand{Group: key[0], Class: key[1], Load: requests / seconds * adapter.work(key[1])})
		if adapter.demands[key] = 0; requests == 0 {
			delete(adapter.demands, key)
		}
	}
	slices.SortFunc(demands, func(a, b planner.Demand) int {
		return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(a.Class, b.Class))
	})
	return cells, demands
}

// medianPace returns the median of the relative rates of the servers that serve.
func (adapter *Adapter) medianPace() float64 {
	var paces []float64
	for id, server := range adapter.servers {
		if server.serves && server.misses < maxMisses {
			paces = append(paces, adapter.core.RelativeRate(id))
		}
	}
	if len(paces) == 0 {
		return 1
	}
	slices.Sort(paces)
	return max(paces[len(paces)/2], minPace)
}

// ApplyStatus implements zones.Pooler. Until a first plan the core keeps its own settings.
func (adapter *Adapter) ApplyStatus(status follower.Status) {
	if status.Reason == follower.NoPlan && !adapter.planSeen {
		return
	}
	adapter.planSeen = true
	adapter.core.SetZone(adapter.settings.Zones[status.Zone], status.Price)
}

// StorePlanNumber implements zones.Pooler.
func (adapter *Adapter) StorePlanNumber(number uint64, done func()) {
	if adapter.store == nil {
		done()
		return
	}
	adapter.store.StorePlanNumber(number, done)
}

// HandleLogAction follows changes of the replicated log's leader.
func (adapter *Adapter) HandleLogAction(action *raftlog.Action) {
	switch action.Kind {
	case raftlog.BecameLeader:
		adapter.SetLeader(adapter.settings.Name)
	case raftlog.LeaderChanged:
		adapter.SetLeader(action.Leader)
	case raftlog.Stopped:
		adapter.SetLeader("")
	}
}
