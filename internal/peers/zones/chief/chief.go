// Package chief makes the fleet's plans, at the voter that leads: what all poolers saw goes in, entries for the log come out. Pure.
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
package chief

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"beechgrade/internal/peers/zones/book"
	"beechgrade/internal/peers/zones/plan"
	"beechgrade/internal/peers/zones/state"
)

// Settings say how. Times are in ms.
type Settings struct {
	Name   string
	Of     uint32 // a sum of the zones' names
	Zones  int
	Plan   plan.Settings
	State  state.Settings
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
	zones  []state.Zone
	ways   [][]state.Zone
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
	Seen   []state.Seen
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
func (c *Chief) Zone(z int) state.Zone { return c.zones[z] }

// Leads tells whether it takes itself for the one who leads.
func (c *Chief) Leads() bool { return c.leads }

// begin takes the states that the plan in force has.
func (c *Chief) begin(p *book.Plan, now float64) {
	c.zones, c.ways = make([]state.Zone, c.set.Zones), make([][]state.Zone, c.set.Zones)
	for z := range c.zones {
		c.zones[z] = state.New(&c.set.State)
		c.ways[z] = make([]state.Zone, c.set.Zones)
		for y := range c.ways[z] {
			c.ways[z][y] = state.New(&c.set.State)
		}
	}
	if p == nil || len(p.Zones) != c.set.Zones {
		return
	}
	for z, m := range p.Zones {
		if m.State != state.Serving || m.Rest > c.set.State.Rest {
			c.zones[z] = state.Resume(m.State, m.Rest, now)
		}
	}
	for _, w := range p.Ways {
		c.ways[w.From][w.To] = state.Resume(w.State, w.Rest, now)
	}
}

// Lead tells whether this voter leads, and the plan in force by its book.
func (c *Chief) Lead(now float64, leads bool, p *book.Plan) {
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
func (c *Chief) Step(now float64, b *book.Book) (entries [][]byte) {
	maps.DeleteFunc(c.told, func(_ key, t teller) bool { return now-t.at > c.set.Stale })
	if !c.leads {
		return nil
	}
	for z := range c.zones {
		if o, ok := b.Order(z); ok && o.Until > 0 && now >= o.Until {
			entries = append(entries, book.EncodeEnd(&o))
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
		entries = append(entries, book.EncodePlan(p))
	}
	return entries
}

// next is the plan to propose, nil for none.
func (c *Chief) next(now float64, b *book.Book) *book.Plan {
	last := b.Plan
	no := uint64(0)
	if last != nil {
		no = last.No
	}
	if c.sent > no && now-c.sentAt < c.set.Late {
		return nil // it is on its way
	}
	p := &book.Plan{No: no + 1, Version: b.Version, Of: c.set.Of, By: c.set.Name}
	for z := range c.zones {
		p.Zones = append(p.Zones, book.Mark{State: c.zones[z].State, Rest: c.zones[z].Rest})
	}
	for a := range c.ways {
		for b := range c.ways[a] {
			if w := &c.ways[a][b]; w.State != state.Serving && len(p.Ways) < book.MostWays {
				p.Ways = append(p.Ways, book.Way{From: a, To: b, Mark: book.Mark{State: w.State, Rest: w.Rest}})
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
func (c *Chief) step(now float64, m plan.Matrix, last *book.Plan) plan.Matrix {
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
		if s := &c.view.Seen[z]; c.zones[z].State == state.Evacuated && !c.zones[z].Ordered || c.zones[z].State.Out() && s.Up < gone {
			paces[z].Out = 1
		}
	}
	return c.plan.Step(m, c.view.Want, c.view.Groups, paces)
}

const (
	gone    = 0.05 // a zone with less of its servers than this is left at once
	coldBy  = 0.25 // of a zone's room is there when it begins to return
	atOnce  = 1.0
	fewAsks = 1e-9
)

// look makes a picture of what was told, and has the zones and ways take it.
func (c *Chief) look(now float64, b *book.Book) {
	c.view = Sight{Seen: make([]state.Seen, c.set.Zones)}
	groups, cells := c.gather()
	c.smooth(now, groups)
	c.count(now, cells)
	for z := range c.zones {
		c.view.Seen[z] = c.seen(z, cells)
	}
	c.plan = c.set.Plan
	c.plan.Delay = make([][]float64, c.set.Zones)
	for z := range c.plan.Delay {
		c.plan.Delay[z] = slices.Clone(c.set.Plan.Delay[z])
	}
	c.fill(groups, cells, now)
	for z := range c.zones {
		c.view.Seen[z].Load = c.load(z)
		c.zones[z].Step(&c.set.State, now, &c.view.Seen[z])
	}
	for a := range c.ways {
		for b := range c.ways[a] {
			if a == b {
				continue
			}
			w := &c.ways[a][b]
			e := c.way(a, b)
			if w.Step(&c.set.State, now, &e); w.State.Out() {
				c.plan.Delay[a][b] = math.Inf(1)
			}
		}
	}
	c.fill(groups, cells, now)
	var answers []plan.Answer
	for i := range c.view.Groups {
		answers = append(answers, c.plan.Solve(&c.view.Groups[i]))
	}
	c.view.Want, c.view.Short = c.plan.Fold(c.view.Groups, answers)
	c.view.Cross = c.view.Want.Cross(c.view.Groups)
}

// gather sorts what was told: which groups there are, and what each zone's poolers say of each cell.
func (c *Chief) gather() (groups []int, sorted []words) {
	by := map[cell][]seenBy{}
	for _, k := range slices.SortedFunc(maps.Keys(c.told), func(a, b key) int { return cmp.Or(cmp.Compare(a.from, b.from), cmp.Compare(a.part, b.part)) }) {
		t := c.told[k]
		for _, x := range t.tell.Cells {
			if x.Zone < 0 || x.Zone >= c.set.Zones {
				continue
			}
			at := cell{x.Group, x.Zone}
			by[at] = append(by[at], seenBy{t.tell.Zone, x})
			if !slices.Contains(groups, x.Group) {
				groups = append(groups, x.Group)
			}
		}
	}
	slices.Sort(groups)
	for _, at := range slices.SortedFunc(maps.Keys(by), func(a, b cell) int { return cmp.Or(cmp.Compare(a.group, b.group), cmp.Compare(a.zone, b.zone)) }) {
		sorted = append(sorted, words{at, by[at]})
	}
	return groups, sorted
}

// words are what all say of a cell.
type words struct {
	cell
	all []seenBy
}

type seenBy struct {
	zone int
	Cell
}

// smooth follows what is asked. A load that grows is taken at once, as plans must be safe; one that falls fades.
func (c *Chief) smooth(now float64, groups []int) {
	sums := map[flow]float64{}
	for _, k := range slices.SortedFunc(maps.Keys(c.told), func(a, b key) int { return cmp.Or(cmp.Compare(a.from, b.from), cmp.Compare(a.part, b.part)) }) {
		t := c.told[k]
		for _, a := range t.tell.Asks {
			if a.Class >= 0 && a.Class < len(c.set.Plan.Classes) && slices.Contains(groups, a.Group) {
				sums[flow{a.Group, a.Class, t.tell.Zone}] += max(0, a.Load)
			}
		}
	}
	fade := math.Exp(-1 / max(1, c.set.Memory/c.set.lookEach()))
	for k, was := range c.loads {
		c.loads[k] = was * fade
		if sums[k] == 0 && c.loads[k] < plan.Unit {
			delete(c.loads, k)
		}
	}
	for k, x := range sums {
		c.loads[k] += x * (1 - fade)
		if x > c.loads[k]*(1+small) {
			c.loads[k] += (x - c.loads[k]) * rise
		}
	}
}

const rise = 0.15 // of what a load has grown is taken in a look

func (s *Settings) lookEach() float64 { return max(1, s.Step/4) }

// best are the words on a cell that count: of the zone's own poolers, else of all.
func best(all []seenBy, zone int) []seenBy {
	own := make([]seenBy, 0, len(all))
	for _, x := range all {
		if x.zone == zone {
			own = append(own, x)
		}
	}
	if len(own) > 0 {
		return own
	}
	return all
}

// count follows how attempts end, over a window: one word of a pooler has few.
func (c *Chief) count(now float64, by []words) {
	n := c.set.Zones
	if len(c.ends) != n*n {
		c.ends, c.lookAt = make([][2]float64, n*n), now
	}
	fade := math.Exp(-(now - c.lookAt) / max(1, c.set.Window))
	c.lookAt = now
	sums := make([][2]float64, n*n)
	for _, w := range by {
		for _, x := range w.all {
			sums[x.zone*n+w.zone][0] += x.Asked
			sums[x.zone*n+w.zone][1] += x.Lost
		}
	}
	for i := range sums {
		for k := range 2 {
			c.ends[i][k] = c.ends[i][k]*fade + sums[i][k]*c.set.Window/1000*(1-fade)
		}
	}
}

// seen is what there is to say of a zone: what its own poolers see, where they ask enough.
func (c *Chief) seen(z int, by []words) (e state.Seen) {
	var far state.Seen
	up, whole := 0.0, 0.0
	e.Dark = true
	for _, w := range by {
		if w.zone == z {
			e.Dark = false
			cores, most := middle(best(w.all, z))
			up, whole = up+cores, whole+most
		}
	}
	for a := range c.set.Zones {
		if x := c.ends[a*c.set.Zones+z]; a == z {
			e.Asked, e.Lost = x[0], x[1]
		} else {
			far.Asked, far.Lost = far.Asked+x[0], far.Lost+x[1]
		}
	}
	if e.Asked < c.set.State.Least && (len(c.poolers(z)) == 0 || far.Lost < c.set.State.FailAt*far.Asked) {
		e.Asked, e.Lost = far.Asked, far.Lost
	}
	if e.Up = 1; whole > 0 {
		e.Up = up / whole
	}
	return e
}

// poolers are those of a zone that have told something lately.
func (c *Chief) poolers(z int) (out []uint64) {
	for k, t := range c.told {
		if t.tell.Zone == z && !slices.Contains(out, k.from) {
			out = append(out, k.from)
		}
	}
	return out
}

// counts are how many poolers of each zone have told something lately.
func (c *Chief) counts() []int {
	n := make([]int, c.set.Zones)
	for z := range n {
		n[z] = len(c.poolers(z))
	}
	return n
}

// middle is the median of what is said of a cell's cores.
func middle(all []seenBy) (cores, whole float64) {
	var a, b []float64
	for _, x := range all {
		a, b = append(a, x.Cores), append(b, x.Whole)
	}
	slices.Sort(a)
	slices.Sort(b)
	return a[len(a)/2], b[len(b)/2]
}

// way is what there is to say of one: what one zone's poolers see of another that is well by its own.
func (c *Chief) way(a, b int) (e state.Seen) {
	x := c.ends[a*c.set.Zones+b]
	e.Up, e.Asked, e.Lost = 1, x[0], x[1]
	z := &c.view.Seen[b]
	e.Dark = c.set.State.Bad(z) || z.Asked < fewAsks && e.Asked < fewAsks
	return e
}

// fill makes the groups that are to be solved.
func (c *Chief) fill(groups []int, by []words, now float64) {
	c.view.Groups = c.view.Groups[:0]
	for _, id := range groups {
		g := plan.Group{}
		for z := range c.zones {
			for class := range c.set.Plan.Classes {
				if x := c.loads[flow{id, class, z}]; x > 0 {
					g.Flows = append(g.Flows, plan.Flow{Class: class, Zone: z, Load: x})
				}
			}
			r := plan.Room{}
			if i := slices.IndexFunc(by, func(w words) bool { return w.cell == cell{id, z} }); i >= 0 {
				all := by[i].all
				r.Cores, _ = middle(best(all, z))
				for _, x := range all {
					r.Fixed += x.Fixed
				}
				r.Age = best(all, z)[0].Age
			}
			s := &c.zones[z]
			r.Keeps, r.Takes = !s.State.Out(), s.State == state.Serving
			r.Cores *= coldBy + (atOnce-coldBy)*s.Warmed(&c.set.State, now)
			g.Rooms = append(g.Rooms, r)
		}
		c.view.Groups = append(c.view.Groups, g)
	}
}

// load is the largest part of its safe room that a group's near reads fill in a zone.
func (c *Chief) load(z int) (most float64) {
	for i := range c.view.Groups {
		g, near := &c.view.Groups[i], 0.0
		for _, f := range g.Flows {
			if f.Zone == z {
				near += f.Load
			}
		}
		if near > 0 {
			most = max(most, near/max(c.set.Plan.Safe(&g.Rooms[z]), plan.Unit))
		}
	}
	return most
}
