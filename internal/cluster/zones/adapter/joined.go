// Package adapter joins package zones to a pooler's core and to the ways between poolers: one adapter for sockets and for virtual time.
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

// Core is what it needs of a pooler's core.
type Core interface {
	AverageWork() []float64 // a request's, by class, in seconds
	DecisionSettings() *decide.Settings
	SetZone(zone string, price float64)
	WarmUpFactor(startedMs float64) float64
	RelativeRate(store string) float64
}

// Keeper has a number outlive the process; done comes on the loop.
type Keeper interface{ Keep(no uint64, done func()) }

// Joined is a pooler's side. It is core.Geography, and zones.Pooler.
type Joined struct {
	*zones.Zones
	set   zones.Settings
	core  Core
	net   module.Transport
	keep  Keeper
	sites map[string]*site // servers
	cells []*cell          // in their order
	asks  map[[2]int]float64
	sent  []uint64 // attempts of reads that any member may serve, by zone, since the start
	stood bool
}

// site is a server, as the list has it and as it was seen.
type site struct {
	at      *cell
	size    float64
	serves  bool
	started float64
	primary bool
	misses  int // in a row, without an answer
}

type cell struct {
	planner.Cell
	asked, lost, fixed float64 // since the last look
	stores             map[string]*site
}

// missesMost without an answer have a server not be counted on.
const missesMost = 3

// A server that is crowded, or sick, does a part of what others of its kind do; what differs by less than chance is none.
const (
	chancePace = 1.25
	leastPace  = 0.02
)

// forgetMs is how long it is remembered how many servers a zone had.
const forgetMs = 600_000

// New makes one. Classes, and how far each may cross, come from the core's contracts.
func New(set zones.Settings, net module.Transport, log zones.Log, c Core, k Keeper) *Joined {
	j := &Joined{set: set, core: c, net: net, keep: k, sites: map[string]*site{}, asks: map[[2]int]float64{}, sent: make([]uint64, len(set.Zones))}
	set.Chief.Plan.Classes = classes(c.DecisionSettings())
	j.set = set
	j.Zones = zones.New(set, net, log, j)
	return j
}

// classes are what the plan knows of them; what only the primary may do crosses to wherever that is, and counts as none.
func classes(set *decide.Settings) (out []plan.Class) {
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	for _, c := range set.Classes {
		x := plan.Class{Worth: c.PriorityWeight, Reach: ms(c.LatencyObjective)}
		if c.Read == decide.ReadBounded {
			x.Age = ms(c.MaxStaleness)
		}
		out = append(out, x)
	}
	return out
}

// Settings are those that it goes by.
func (j *Joined) Settings() *zones.Settings { return &j.set }

// Sent are the attempts of reads that any member may serve, by zone of the servers, since the start.
func (j *Joined) Sent() []uint64 { return j.sent }

// movable tells whether any member may serve a class.
func (j *Joined) movable(class int) bool {
	set := j.core.DecisionSettings()
	return class >= 0 && class < len(set.Classes) && set.Classes[class].Read != decide.Write && set.Classes[class].Read != decide.ReadFresh
}

func (j *Joined) work(class int) float64 {
	if w := j.core.AverageWork(); class >= 0 && class < len(w) {
		return w[class]
	}
	return 0
}

// Listed is core.Geography's.
func (j *Joined) Listed(l *discovery.List, whole bool) {
	seen := map[string]bool{}
	for i := range l.Instances {
		n := &l.Instances[i]
		zone := j.set.Index(n.Zone)
		if seen[n.ID] = true; zone < 0 || n.ID == "" {
			continue
		}
		s := j.sites[n.ID]
		if s == nil {
			s = &site{}
			j.sites[n.ID] = s
		}
		at := j.cell(n.Cell, zone)
		if s.at != at && s.at != nil {
			delete(s.at.stores, n.ID)
		}
		s.at, at.stores[n.ID] = at, s
		if started := float64(n.StartedAtMs); started != s.started {
			s.started, s.misses = started, 0
		}
		s.size, s.serves, s.primary = cmp.Or(n.Weight, 1), n.Lifecycle != "draining" && n.Lifecycle != "removed", n.Role == "primary"
	}
	if whole {
		for id, s := range j.sites {
			s.serves = s.serves && seen[id]
		}
	}
}

func (j *Joined) cell(group, zone int) *cell {
	i, found := slices.BinarySearchFunc(j.cells, [2]int{group, zone}, func(c *cell, at [2]int) int {
		return cmp.Or(cmp.Compare(c.Group, at[0]), cmp.Compare(c.Zone, at[1]))
	})
	if !found {
		j.cells = slices.Insert(j.cells, i, &cell{Cell: planner.Cell{Group: group, Zone: zone}, stores: map[string]*site{}})
	}
	return j.cells[i]
}

// Received is core.Geography's.
func (j *Joined) Received(group, class int) {
	if j.movable(class) {
		j.asks[[2]int{group, class}]++
	}
}

// overtakenPart of its class's aim is after what a copy that was called off counts as lost.
const overtakenPart = 0.5

// AttemptEnded is core.Geography's.
func (j *Joined) AttemptEnded(store string, class int, r decide.Result, ms float64, _ bool) {
	s := j.sites[store]
	if s == nil {
		return
	}
	lost := false
	if r != decide.NotSent && j.movable(class) {
		j.sent[s.at.Zone]++
	}
	switch r {
	case decide.NotSent:
		return
	case decide.Cancelled:
		set := j.core.DecisionSettings()
		if class >= len(set.Classes) || ms < overtakenPart*float64(set.Classes[class].LatencyObjective)/float64(time.Millisecond) {
			return
		}
		lost = true
	case decide.TimedOut, decide.Unreachable, decide.Reset:
		lost = true
	}
	if s.at.asked++; lost {
		s.at.lost++
		s.misses++
		return
	}
	s.misses = 0
	if r == decide.OK && !j.movable(class) {
		s.at.fixed += j.work(class)
	}
}

// HealthChecked is core.Geography's.
func (j *Joined) HealthChecked(store string, ok bool) {
	if s := j.sites[store]; s != nil {
		if s.misses++; ok {
			s.misses = 0
		}
	}
}

// Look is zones.Pooler's.
func (j *Joined) Look(ms float64) (cells []planner.Cell, asks []planner.Ask) {
	seconds, usual := max(ms, 1)/1000, j.usual()
	for _, c := range j.cells {
		x := &c.Cell
		x.Cores = 0
		whole := 0.0
		for id, s := range c.stores {
			if s.serves && s.misses < missesMost {
				whole += s.size * j.set.Cores
				x.Cores += s.size * j.set.Cores * j.core.WarmUpFactor(s.started) * max(leastPace, min(1, chancePace*j.core.RelativeRate(id)/usual))
			}
		}
		x.Cores = math.Round(x.Cores*1000) / 1000 // whatever order they were added in
		x.Whole = max(whole, x.Whole*math.Exp(-ms/forgetMs))
		x.Asked, x.Lost, x.Fixed = c.asked/seconds, c.lost/seconds, c.fixed/seconds
		c.asked, c.lost, c.fixed = 0, 0, 0
		cells = append(cells, *x)
	}
	for k, n := range j.asks {
		asks = append(asks, planner.Ask{Group: k[0], Class: k[1], Load: n / seconds * j.work(k[1])})
		if j.asks[k] = 0; n == 0 {
			delete(j.asks, k)
		}
	}
	slices.SortFunc(asks, func(a, b planner.Ask) int {
		return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(a.Class, b.Class))
	})
	return cells, asks
}

// usual is the median of servers' paces.
func (j *Joined) usual() float64 {
	var all []float64
	for id, s := range j.sites {
		if s.serves && s.misses < missesMost {
			all = append(all, j.core.RelativeRate(id))
		}
	}
	if len(all) == 0 {
		return 1
	}
	slices.Sort(all)
	return max(all[len(all)/2], leastPace)
}

// Stand is zones.Pooler's.
func (j *Joined) Stand(s follower.Stand) {
	if s.Why == follower.None && !j.stood {
		return
	}
	j.stood = true
	j.core.SetZone(j.set.Zones[s.Zone], s.Price)
}

// Keep is zones.Pooler's.
func (j *Joined) Keep(no uint64, done func()) {
	if j.keep == nil {
		done()
		return
	}
	j.keep.Keep(no, done)
}

// Hear passes on what happens to the log in common.
func (j *Joined) Hear(a *raftlog.Action) {
	switch a.Kind {
	case raftlog.BecameLeader:
		j.Lead(j.set.Name)
	case raftlog.LeaderChanged:
		j.Lead(a.Leader)
	case raftlog.Stopped:
		j.Lead("")
	}
}
