// Package planner makes the fleet's plans, at the voter that leads: what all poolers saw goes in, entries for the log come out. Pure.
//
// # What it decides, and what not
//
// It follows each zone and each way between two (package state) on what is seen of them: of a zone what its own poolers see, where enough is
// asked there, else what others do; of a way what the poolers of the one zone see of a zone that is well by its own. Then it solves each
// group (package plan), folds that into one matrix, and goes a step towards it. An entry is proposed where the plan changes, and every
// Renew where it does not, so that a plan in force is never older than that at a voter that the majority reaches.
//
// Whether its plan is the one, the log's order says (package book). It does not know whether it still leads: what it proposes too late is void.
// A chief that has just begun to lead takes the plan in force as it is for Settle, until poolers have told it what they see.
package planner

import (
	"maps"
	"math"

	"beechgrade/internal/cluster/zones/health"
	"beechgrade/internal/cluster/zones/plan"
	"beechgrade/internal/cluster/zones/statemachine"
)

// Settings say how. Times are in ms.
type Settings struct {
	Name   string
	Of     uint32 // a sum of the zones' names
	Zones  int
	Plan   plan.Settings
	State  health.Settings
	Stale  float64 // what a pooler told is forgotten
	Window float64 // over which attempts are counted
	Memory float64 // over which loads are smoothed
	Step   float64 // between two steps of a plan
	Out    float64 // part of a zone's reads that leave in a step
	Back   float64 // ...and that come back
	Renew  float64 // between two entries of a plan that does not change
	Settle float64 // that a new chief listens before it changes anything
	Late   float64 // after which an entry that was proposed is given up
}

// Cell is what a pooler saw of a group's servers in a zone, over the last window.
type Cell struct {
	Group, Zone int
	Asked, Lost float64 // attempts a second; lost are those without an answer
	Cores       float64 // of servers that serve, as far as this pooler knows
	Whole       float64 // of those that there are when all is well
	Fixed       float64 // cores that it used there for what only they can do
	Age         float64 // ms that their data is old
}

// Ask is what a pooler's clients ask of a group's reads, in cores.
type Ask struct {
	Group, Class int
	Load         float64
}

// Tell is a pooler's word; a long one comes in parts.
type Tell struct {
	Zone  int
	Part  int
	Cells []Cell
	Asks  []Ask
}

type teller struct {
	at   float64
	tell Tell
}

type key struct {
	from uint64
	part int
}

type cell struct{ group, zone int }

type flow struct{ group, class, zone int }

// Chief is a voter's.
type Chief struct {
	set    Settings
	told   map[key]teller
	leads  bool
	from   float64 // it leads since
	zones  []health.Zone
	ways   [][]health.Zone
	loads  map[flow]float64 // smoothed
	ends   [][2]float64     // by zone of the poolers and of the servers: attempts that ended and were lost, about over Window
	lookAt float64
	fine   plan.Matrix // of which the plan is what whole poolers can follow
	fineOf uint64      // ...as of this plan
	stepAt float64
	lastAt float64
	sent   uint64 // number of the plan that was proposed
	sentAt float64
	view   Sight
	plan   plan.Settings // with the ways as they are
}

// Sight is what a chief made of the last windows, for those who look.
type Sight struct {
	Groups []plan.Group
	Seen   []health.Seen
	Want   plan.Matrix
	Short  float64
	Cross  float64
}

// New makes one.
func New(set Settings) *Chief {
	c := &Chief{set: set, told: map[key]teller{}, loads: map[flow]float64{}}
	c.begin(nil, 0)
	return c
}

// Sight is what it sees.
func (c *Chief) Sight() *Sight { return &c.view }

// Zone is how one stands.
func (c *Chief) Zone(z int) health.Zone { return c.zones[z] }

// Leads tells whether it takes itself for the one who leads.
func (c *Chief) Leads() bool { return c.leads }

// begin takes the states that the plan in force has.
func (c *Chief) begin(p *statemachine.Plan, now float64) {
	c.zones, c.ways = make([]health.Zone, c.set.Zones), make([][]health.Zone, c.set.Zones)
	for z := range c.zones {
		c.zones[z] = health.New(&c.set.State)
		c.ways[z] = make([]health.Zone, c.set.Zones)
		for y := range c.ways[z] {
			c.ways[z][y] = health.New(&c.set.State)
		}
	}
	if p == nil || len(p.Zones) != c.set.Zones {
		return
	}
	for z, m := range p.Zones {
		if m.State != health.Serving || m.Rest > c.set.State.Rest {
			c.zones[z] = health.Resume(m.State, m.Rest, now)
		}
	}
	for _, w := range p.Ways {
		c.ways[w.From][w.To] = health.Resume(w.State, w.Rest, now)
	}
}

// Lead tells whether this voter leads, and the plan in force by its book.
func (c *Chief) Lead(now float64, leads bool, p *statemachine.Plan) {
	if leads && !c.leads {
		c.from, c.sent = now, 0
		clear(c.loads)
		c.ends = nil
		c.begin(p, now)
	}
	c.leads = leads
}

// Told takes a pooler's word.
func (c *Chief) Told(now float64, from uint64, t *Tell) {
	if t.Zone < c.set.Zones {
		c.told[key{from, t.Part}] = teller{now, *t}
	}
}

// Step looks at everything, and tells what to propose. now is Unix ms, by which orders end.
func (c *Chief) Step(now float64, b *statemachine.Book) (entries [][]byte) {
	maps.DeleteFunc(c.told, func(_ key, t teller) bool { return now-t.at > c.set.Stale })
	if !c.leads {
		return nil
	}
	for z := range c.zones {
		if o, ok := b.Order(z); ok && o.Until > 0 && now >= o.Until {
			entries = append(entries, statemachine.EncodeEnd(&o))
		} else if ok {
			c.zones[z].Order(now, o.State)
		} else {
			c.zones[z].Free(now)
		}
	}
	if now-c.from >= c.set.Settle {
		c.look(now, b)
	}
	if p := c.next(now, b); p != nil {
		c.sent, c.sentAt = p.No, now
		entries = append(entries, statemachine.EncodePlan(p))
	}
	return entries
}

// next is the plan to propose, nil for none.
func (c *Chief) next(now float64, b *statemachine.Book) *statemachine.Plan {
	last := b.Plan
	no := uint64(0)
	if last != nil {
		no = last.No
	}
	if c.sent > no && now-c.sentAt < c.set.Late {
		return nil // it is on its way
	}
	p := &statemachine.Plan{No: no + 1, Version: b.Version, Of: c.set.Of, By: c.set.Name}
	for z := range c.zones {
		p.Zones = append(p.Zones, statemachine.Mark{State: c.zones[z].State, Rest: c.zones[z].Rest})
	}
	for a := range c.ways {
		for b := range c.ways[a] {
			if w := &c.ways[a][b]; w.State != health.Serving && len(p.Ways) < statemachine.MostWays {
				p.Ways = append(p.Ways, statemachine.Way{From: a, To: b, Mark: statemachine.Mark{State: w.State, Rest: w.Rest}})
			}
		}
	}
	p.Matrix = plan.Near(c.set.Zones)
	fits := last != nil && len(last.Matrix) == c.set.Zones
	if fits {
		p.Matrix = last.Matrix
	}
	if c.view.Want != nil && c.from+c.set.Settle <= now {
		if c.fine == nil || !fits || last.By != c.set.Name || last.No != c.fineOf {
			c.fine = p.Matrix
		}
		c.fine = c.step(now, c.fine, last)
		if c.fineOf = p.No; len(c.view.Groups) > 0 {
			p.Matrix = c.plan.Round(c.fine, c.view.Groups, c.counts())
		} else {
			p.Matrix = c.fine
		}
		p.Short, p.Most = c.view.Short, c.plan.Most(p.Matrix, c.view.Groups)
	} else if fits {
		p.Zones, p.Ways, p.Short, p.Most = last.Zones, last.Ways, last.Short, last.Most
	}
	if fits && last.Same(p) && now-c.lastAt < c.set.Renew {
		c.fineOf = last.No
		return nil
	}
	c.lastAt = now
	return p
}

// small is a difference that no plan is made for.
const small = 0.03

// step goes from the matrix in force towards the one that is wanted.
func (c *Chief) step(now float64, m plan.Matrix, last *statemachine.Plan) plan.Matrix {
	safe := c.plan.Allowed(m, c.view.Groups) && c.plan.Most(m, c.view.Groups) <= 1
	far := 0.0
	for z := range m {
		for y := range m[z] {
			far = max(far, math.Abs(m[z][y]-c.view.Want[z][y]))
		}
	}
	edge := false // a share that comes to its end is gone there whole
	for z := range m {
		w := c.view.Want[z][z]
		edge = edge || (w == 1 || w == 0) && m[z][z] != w
	}
	if safe && (far <= small && !edge || now-c.stepAt < c.set.Step && last != nil) {
		return m
	}
	c.stepAt = now
	paces := make([]plan.Pace, len(m))
	for z := range paces {
		paces[z] = plan.Pace{Out: c.set.Out, Back: c.set.Back}
		if s := &c.view.Seen[z]; c.zones[z].State == health.Evacuated && !c.zones[z].Ordered || c.zones[z].State.Out() && s.Up < gone {
			paces[z].Out = 1
		}
	}
	return c.plan.Step(m, c.view.Want, c.view.Groups, paces)
}
