package quota

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Clone is a copy that goes its own way, for explorers.
func (q *Quota) Clone() *Quota {
	c := *q
	c.out, c.box = nil, nil
	c.addr = maps.Clone(q.addr)
	c.limits, c.byHash = make([]*limit, len(q.limits)), map[uint64]*limit{}
	for i, l := range q.limits {
		n := *l
		n.asks = slices.Clone(l.asks)
		n.o.books, n.o.byID = make([]*book, len(l.o.books)), map[ID]*book{}
		for k, b := range l.o.books {
			x := *b
			x.pend = slices.Clone(b.pend)
			n.o.books[k], n.o.byID[b.id] = &x, &x
		}
		c.limits[i], c.byHash[n.key] = &n, &n
	}
	return &c
}

// Key is all of a quota that what it does follows from, with times as seen from now, and the numbers of asks as seen from each
// process's last, for explorers.
func (q *Quota) Key(last func(ID) uint32) string {
	var w strings.Builder
	ago := func(at float64) float64 { return max(-1e6, min(q.now-at, 1e6)) }
	till := func(at float64) float64 { return max(0, min(at-q.now, 1e6)) }
	fmt.Fprint(&w, q.left, q.peers)
	for _, l := range q.limits {
		fmt.Fprintf(&w, "|%v %d %v %d %d %d %v %d %v %d %v ", l.cut, l.low, till(l.began+q.ban(l.Kind)), l.best, l.bound, l.epoch, till(l.until), l.heard, ago(l.stamp), l.stampOf, min(ago(l.heardAt), q.set.Promise))
		fmt.Fprintf(&w, "%d %d %d %v %v %v %v %v ", l.seq-l.seen, l.hold, l.high, till(l.heldTill), l.want, l.told, till(l.askAt), l.hurry)
		for _, a := range l.asks {
			if a.seq > l.seen && q.now-a.at < q.set.Lease {
				fmt.Fprintf(&w, "a%d %v %v ", l.seq-a.seq, ago(a.at), a.vote)
			}
		}
		o := &l.o
		fmt.Fprintf(&w, "o%d %v %v %d %v %v %v %v ", o.epoch, till(o.right), o.owns, o.unknown, till(o.waitTo), o.dirty, till(o.planAt), till(o.rightAt))
		for _, b := range o.books {
			n := last(b.id)
			fmt.Fprintf(&w, "b%d %d %v %v %v %d %v %d %v %d %d %.3f %v ", b.id, n-b.seq, till(b.promise), b.want, b.adopted, b.claim, till(b.till), b.conf, till(b.confEnd), n-b.confSeq, b.target,
				b.credit, min(q.set.Soon, ago(b.calledAt)))
			for _, p := range b.pend {
				fmt.Fprintf(&w, "p%d %d %v ", n-p.seq, p.units, till(p.end))
			}
		}
	}
	return w.String()
}

// Last is the number of the last ask about a limit.
func (q *Quota) Last(name string) uint32 {
	if l := q.find(name); l != nil {
		return l.seq
	}
	return 0
}

// Usable is how much of a limit may be used, had nothing come since.
func (q *Quota) Usable(name string, now float64) float64 {
	l := q.find(name)
	if l == nil || q.left {
		return 0
	}
	n := l.low
	if l.Kind == Number && now < l.began+q.ban(l.Kind) {
		n = 0
	}
	if now < l.heldTill {
		n += l.hold
	}
	amount, _ := l.part(&l.cut, n)
	return amount
}

// Recount has the lease by the answer to an ask count from now: for a checker's mutant.
func (q *Quota) Recount(limit uint64, seq uint32) {
	if l := q.byHash[limit]; l != nil {
		for i := range l.asks {
			if l.asks[i].seq == seq {
				l.asks[i].at = q.now
			}
		}
	}
}
