package view

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
)

// Clone is a copy that goes its own way, for explorers.
func (v *View) Clone() *View {
	c := *v
	pcg := *v.pcg
	c.pcg, c.rng, c.out = &pcg, rand.New(&pcg), nil
	same := map[*member]*member{}
	c.all, c.holds, c.tries, c.tradedAt = map[ID]*member{}, map[string]*member{}, map[uint32]*try{}, map[ID]float64{}
	for id, m := range v.all {
		n := *m
		same[m], c.all[id] = &n, &n
	}
	c.self = same[v.self]
	list := func(ms []*member) []*member {
		out := make([]*member, len(ms))
		for i, m := range ms {
			out[i] = same[m]
		}
		return out
	}
	c.ring, c.lost, c.order = list(v.ring), list(v.lost), slices.Clone(v.order)
	for a, m := range v.holds {
		c.holds[a] = same[m]
	}
	for no, t := range v.tries {
		n := *t
		n.m = same[t.m]
		c.tries[no] = &n
	}
	for id, at := range v.tradedAt {
		c.tradedAt[id] = at
	}
	c.news = make([]*news, len(v.news))
	for i, n := range v.news {
		x := *n
		x.m = same[n.m]
		c.news[i] = &x
	}
	return &c
}

// Key is all of a view that what it does follows from, but for its random numbers, times as seen from now.
func (v *View) Key() string {
	var b strings.Builder
	ago := func(at float64) float64 { return max(-1, min(v.now-at, 1e6)) }
	fmt.Fprintf(&b, "%d %v %v %v %v|", v.self.Inc, v.left, ago(v.probeAt), ago(v.gossipAt), ago(v.seekAt))
	fmt.Fprintf(&b, "%v %v %d|", ago(v.ackAt), ago(v.ackOther), v.ackFrom)
	for _, m := range v.members() {
		fmt.Fprintf(&b, "%d:%d.%d.%v.%d.%v ", m.ID, m.Inc, m.State, m.Draining, m.missed, m.State == Suspect && v.now < m.deadline)
		if m.State == Suspect {
			fmt.Fprintf(&b, "d%v ", ago(m.deadline))
		}
	}
	for _, no := range v.order {
		if t := v.tries[no]; t != nil {
			fmt.Fprintf(&b, "t%d %v %v %v %d ", t.m.ID, ago(t.at), t.asked, t.seek, t.helped)
		}
	}
	for _, n := range v.news {
		fmt.Fprintf(&b, "n%d %d ", n.m.ID, n.sent)
	}
	return b.String()
}
