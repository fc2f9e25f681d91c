package overload

import (
	"fmt"
	"math"
	"slices"

	"beechgrade/internal/invariant"
)

// Check has statements about its state checked at one tick of so many.
func (o *Overload) Check(c *invariant.Checks, every int) { o.checks, o.every = c, every }

// walk makes the statements about all state, as it is after a tick.
func (o *Overload) walk(c *invariant.Checks) {
	c.That(len(o.box) == 0, "overload: what was put has gone out", func() string { return fmt.Sprintf("%d messages", len(o.box)) })
	c.That(len(o.groups) == len(o.order) && len(o.order) <= MostGroups && slices.IsSortedFunc(o.order, func(a, b *group) int { return a.id - b.id }), "overload: groups are in order, each filed once",
		func() string { return fmt.Sprintf("%d filed, %d in order", len(o.groups), len(o.order)) })
	c.That(len(o.peers) <= MostPeers && len(o.addr) == len(o.peers) && len(o.sent) <= remembered, "overload: what is kept is bounded", func() string {
		return fmt.Sprintf("%d peers, %d addresses, %d tells", len(o.peers), len(o.addr), len(o.sent))
	})
	for id := range o.stamps { // each by itself
		c.That(o.addr[id] != "" || id == o.self, "overload: nothing is kept of peers that are gone", func() string { return fmt.Sprintf("%x's stamp", uint64(id)) })
	}
	for _, g := range o.order {
		state := func() string { return o.stateOf(g) }
		c.That(o.groups[g.id] == g, "overload: groups are in order, each filed once", state)
		o.walkShedder(c, g, state)
		o.walkCollector(c, g, state)
	}
}

// walkShedder is the side of one that is told levels.
func (o *Overload) walkShedder(c *invariant.Checks, g *group, state func() string) {
	cells := float64(4 * len(g.orderOf))
	c.That(g.level >= 0 && g.level <= cells && g.placed.level <= cells && finite(g.budget), "overload: a level stands within the cells", state)
	c.That(g.level == 0 || o.now-g.heldAt <= o.set.Lonely(), "overload: no level outlives Lonely", state)
	for i, x := range g.given {
		c.That(o.now-x.at <= o.set.Stale && !slices.ContainsFunc(g.given[:i], func(y given) bool { return y.from == x.from }), "overload: an answer is young, one of each collector", state)
	}
	for i := range g.rate {
		r := g.rate[i]
		c.That(finite(r.first) && finite(r.again) && finite(r.in) && finite(r.done) && finite(r.strain) && finite(g.open[i]) && r.done <= r.ended*(1+1e-9) && r.strain <= r.ended*(1+1e-9),
			"overload: rates are ones that can be", state)
	}
}

// walkCollector is the side of one that adds up.
func (o *Overload) walkCollector(c *invariant.Checks, g *group, state func() string) {
	v := &g.c.verdict
	c.That(finite(v.Budget) && v.Level >= 0 && v.Level <= float64(4*len(o.lead)) && (v.Budget > 0 || v.Level == 0), "overload: a verdict is within its bounds", state)
	for _, b := range v.Beyond {
		c.That(b.X > 0 && b.X <= 1, "overload: a verdict is within its bounds", state)
	}
	c.That(len(g.tells) <= MostPeers, "overload: what is kept is bounded", state)
	for i, t := range g.tells {
		c.That((i == 0 || g.tells[i-1].id < t.id) && o.now-t.at <= o.set.Stale+o.set.Period+o.set.Step && t.at <= o.now, "overload: one young tell is kept of each process", state)
	}
}

func (o *Overload) stateOf(g *group) string {
	s := fmt.Sprintf("group %d at %.0f: level %g of %d cells (placed %g) held at %.0f, budget %g, verdict %+v of %d classes; rates %+v, open %v;", g.id, o.now, g.level, 4*len(g.orderOf), g.placed.level,
		g.heldAt, g.budget, g.c.verdict, len(o.lead), g.rate, g.open)
	for _, x := range g.given {
		s += fmt.Sprintf(" given by %x at %.0f: %+v", uint64(x.from), x.at, x.v)
	}
	for _, t := range g.tells {
		s += fmt.Sprintf(" told by %x at %.0f", uint64(t.id), t.at)
	}
	return s
}

// Check has statements about its state checked at one tick of so many.
func (p *Probes) Check(c *invariant.Checks, every int) { p.checks, p.every = c, every }

// walk makes the statements about all state, as it is after a tick.
func (p *Probes) walk(c *invariant.Checks) {
	c.That(len(p.names) == len(p.servers) && len(p.names) <= mostServers && slices.IsSorted(p.names), "probes: servers are in order, each filed once", func() string { return fmt.Sprint(p.names) })
	for id, until := range p.shunned { // each by itself
		c.That(until > p.now && until <= p.now+p.set.Shun, "probes: nobody is passed over for longer than Shun", func() string { return fmt.Sprintf("%x until %.0f, now %.0f", uint64(id), until, p.now) })
	}
	for _, name := range p.names {
		s := p.servers[name]
		state := func() string { return fmt.Sprintf("%s at %.0f: %+v", name, p.now, *s) }
		own := 0
		for i, a := range s.askers {
			if a.own {
				own++
			}
			c.That(a.own || p.addr[a.id] != "", "probes: nothing is kept of peers that are gone", state)
			c.That(len(s.askers) <= MostPeers+1 && !slices.ContainsFunc(s.askers[:i], func(b asker) bool { return a.id == b.id && a.own == b.own }), "probes: who waits is in line once", state)
		}
		c.That(len(s.askers) == 0 || s.probing || p.now-s.began < p.set.Each, "probes: who waits is served", state)
		c.That(s.own == (own == 1) && own <= 1 && (s.wanted || !s.own), "probes: what this process probes for itself is what it wants", state)
		c.That(!s.wanted || s.own || len(s.asked) > 0 && s.until <= p.now+max(p.set.Patience, p.set.atIt()), "probes: each want has an end", state)
		c.That(s.began <= p.now && s.foundAt <= s.began && (s.found != nil || math.IsInf(s.foundAt, -1)), "probes: a finding is of a probe that began", state)
	}
}
