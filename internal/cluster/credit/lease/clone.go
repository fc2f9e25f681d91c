package lease

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Clone makes another purse like it, which shares nothing that changes.
func (p *Purse) Clone() *Purse {
	c := *p
	c.out = nil
	c.wills = slices.Clone(p.wills)
	c.order = slices.Clone(p.order)
	c.prepaid = maps.Clone(p.prepaid)
	c.tenants, c.list = map[string]*tenant{}, nil
	for _, t := range p.list {
		x := *t
		x.flows, x.waits, x.pots = slices.Clone(t.flows), slices.Clone(t.waits), nil
		for _, o := range t.pots {
			y := *o
			y.cur.asks, y.over = slices.Clone(o.cur.asks), slices.Clone(o.over)
			x.pots = append(x.pots, &y)
		}
		c.tenants[x.name] = &x
		c.list = append(c.list, &x)
	}
	return &c
}

// Key is the same for purses that do the same from now on; times are told by how long ago they were.
func (p *Purse) Key() string {
	var b strings.Builder
	ago := func(at float64) float64 {
		if at == 0 {
			return -1
		}
		return float64(int64((p.now-at)*1000)) / 1000
	}
	fmt.Fprint(&b, p.self, p.gen, p.left, p.markNo, "|")
	account := func(a *account) {
		fmt.Fprint(&b, a.gen, a.seq, a.granted, a.returned, a.spent, a.held, ago(a.till), ago(a.askAt), a.mark, a.marking, a.markNo, "[")
		for _, x := range a.asks {
			fmt.Fprint(&b, x.seq, ago(x.at), " ")
		}
	}
	for _, t := range p.list {
		fmt.Fprint(&b, t.name, t.left, t.full, t.told, ago(t.dry), "|")
		for i := range t.flows {
			fmt.Fprintf(&b, "%.3g ", t.flows[i].rate(p.now))
		}
		for _, w := range t.waits {
			fmt.Fprint(&b, w.tag, w.class, ago(w.until), " ")
		}
		for _, o := range t.pots {
			fmt.Fprintf(&b, "%d %.3g", o.depth, o.flow.rate(p.now))
			fmt.Fprint(&b, ago(o.used), ago(o.askAt), o.called)
			account(&o.cur)
			for i := range o.over {
				account(&o.over[i])
			}
		}
	}
	for _, w := range p.wills {
		fmt.Fprint(&b, w.Mark, ago(w.askAt), w.read)
	}
	return b.String()
}
