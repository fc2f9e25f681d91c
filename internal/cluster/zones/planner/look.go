package planner

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"beechgrade/internal/cluster/zones/health"
	"beechgrade/internal/cluster/zones/plan"
	"beechgrade/internal/cluster/zones/statemachine"
)

const (
	gone    = 0.05 // a zone with less of its servers than this is left at once
	coldBy  = 0.25 // of a zone's room is there when it begins to return
	atOnce  = 1.0
	fewAsks = 1e-9
)

// look makes a picture of what was told, and has the zones and ways take it.
func (c *Chief) look(now float64, b *statemachine.Book) {
	c.view = Sight{Seen: make([]health.Seen, c.set.Zones)}
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
func (c *Chief) seen(z int, by []words) (e health.Seen) {
	var far health.Seen
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
func (c *Chief) way(a, b int) (e health.Seen) {
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
			r.Keeps, r.Takes = !s.State.Out(), s.State == health.Serving
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
