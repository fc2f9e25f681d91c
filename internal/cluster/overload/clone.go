package overload

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// Clone makes another that shares nothing with this one, for explorers.
func (p *Probes) Clone() *Probes {
	c := *p
	c.peers, c.names = slices.Clone(p.peers), slices.Clone(p.names)
	c.addr, c.shunned = maps.Clone(p.addr), maps.Clone(p.shunned)
	c.servers = map[string]*server{}
	for name, s := range p.servers {
		n := *s
		n.askers, n.asked = slices.Clone(s.askers), slices.Clone(s.asked)
		c.servers[name] = &n
	}
	return &c
}

// Key is all that what it does follows from, with times as seen from now, and the numbers of wants as seen from each process's last, for
// explorers.
func (p *Probes) Key(last func(ID) uint32) string {
	var w strings.Builder
	ago := func(at float64) float64 { return max(-1e6, min(p.now-at, 1e6)) }
	fmt.Fprint(&w, p.peers)
	for _, name := range p.names {
		s := p.servers[name]
		fmt.Fprintf(&w, "|%s %v %v %v ", name, min(ago(s.began), p.set.Each), s.probing, s.again)
		if s.probing {
			fmt.Fprint(&w, ago(s.began))
		}
		if s.found != nil && ago(s.foundAt) <= p.set.Age {
			fmt.Fprint(&w, s.found.Result, s.found.Kind, s.found.Role, ago(s.foundAt), ago(s.found.Position))
		}
		for _, a := range s.askers {
			fmt.Fprintf(&w, " a%d %d %v %v %v", a.id, last(a.id)-a.seq, a.own, ago(a.at), a.hi)
		}
		if p.now < s.avoids {
			fmt.Fprint(&w, " v", s.avoid, ago(s.avoids))
		}
		if s.wanted {
			fmt.Fprint(&w, " w", ago(s.wantAt), s.asked, p.seq-s.seq, max(-1e6, ago(s.until)), s.own)
			if s.bad != nil {
				fmt.Fprint(&w, " b", s.badBy, s.bad.Kind, s.bad.Role, ago(s.bad.Position), s.badAge)
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(p.shunned)) {
		fmt.Fprintf(&w, " s%d %v", id, ago(p.shunned[id]))
	}
	return w.String()
}

// Last is the number of its last want.
func (p *Probes) Last() uint32 { return p.seq }

// Clone makes another that shares nothing with this one, for explorers.
func (o *Overload) Clone() *Overload {
	c := *o
	c.out, c.box = nil, nil
	c.peers, c.classes, c.tenants = slices.Clone(o.peers), slices.Clone(o.classes), slices.Clone(o.tenants)
	c.lead, c.sent = slices.Clone(o.lead), slices.Clone(o.sent)
	c.addr, c.stamps, c.work = maps.Clone(o.addr), maps.Clone(o.stamps), maps.Clone(o.work)
	c.groups, c.order = map[int]*group{}, make([]*group, len(o.order))
	for i, g := range o.order {
		n := *g
		n.n, n.rate, n.tn, n.tr, n.open = slices.Clone(g.n), slices.Clone(g.rate), slices.Clone(g.tn), slices.Clone(g.tr), slices.Clone(g.open)
		n.given, n.tells = slices.Clone(g.given), slices.Clone(g.tells)
		c.groups[n.id], c.order[i] = &n, &n
	}
	return &c
}

// Key is all that what it turns away, and tells as a collector, follows from while it counts nothing of its own, for explorers.
func (o *Overload) Key() string {
	var w strings.Builder
	fmt.Fprint(&w, o.now, o.tellAt, o.seq, o.lead)
	for _, g := range o.order {
		fmt.Fprintf(&w, "|%d %v %v %v %v %v %+v", g.id, g.level, g.budget, g.heldAt, g.orderOf, g.placed, g.c)
		for _, x := range slices.SortedFunc(slices.Values(g.given), func(a, b given) int { return int(math.Copysign(1, float64(a.from)-float64(b.from))) }) {
			fmt.Fprintf(&w, " g%d %v %v %v", x.from, x.at, x.v.Level, x.v.Budget)
		}
		for _, t := range g.tells {
			fmt.Fprintf(&w, " t%d %d %v", t.id, t.seq, t.at)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(o.stamps)) {
		fmt.Fprintf(&w, " s%d %v", id, o.stamps[id])
	}
	return w.String()
}

// LastTell is the number of its last tell.
func (o *Overload) LastTell() uint32 { return o.seq }
