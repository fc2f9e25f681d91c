package decide

// What a group may have twice, and how fast a server that has returned may be crowded with connections: sums that add up over all routers by
// each one's part of them. They are only counted here; shed.go asks.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Repeats says how many copies, and repeats of what may have run, a group may have. It is not changed any more.
type Repeats struct {
	Part  float64         // of first attempts
	Floor float64         // so many more over all routers, and as many again each Span
	Span  time.Duration   //
	Lent  map[int]float64 // by group: what this router was lent, less what it lent, ever
}

// purseLeast is what a router may have saved up at least.
const purseLeast = 2.0

// Own is a router's part of the floor, of so many that stand beside each other.
func (b *Repeats) Own(siblings, processes int) float64 {
	return b.Floor / float64(max(1, siblings)*max(1, processes))
}

// Depth is what it may have saved up.
func (b *Repeats) Depth(siblings, processes int) float64 {
	return max(purseLeast, b.Own(siblings, processes))
}

// Most bounds the repeats of a group over all routers, if none is lost, where so many first attempts were sent since the first of n processes
// began. Each process that begins later brings its part of a floor.
func (b *Repeats) Most(firsts, n, siblings int, since time.Duration) float64 {
	return b.Part*float64(firsts) + b.Own(siblings, 1)*float64(n)*(1+since.Seconds()/b.Span.Seconds())
}

// purse is what a group may still have.
type purse struct {
	left float64
	at   Time
}

// Stock is what a group has left here, and how many of its requests lack.
type Stock struct {
	Group int
	Left  float64
	Lacks int
}

// Stocks are those of all groups that anything was sent to, by number.
func (r *Router) Stocks() (out []Stock) {
	lacks := map[int]int{}
	for _, q := range r.reqs { // they are counted
		if q.lacks {
			lacks[q.group.id]++
		}
	}
	for id := range r.purses { // sorted below
		out = append(out, Stock{id, r.purse(id).left, lacks[id]})
	}
	slices.SortFunc(out, func(a, b Stock) int { return cmp.Compare(a.Group, b.Group) })
	return out
}

// purse brings a group's up to now.
func (r *Router) purse(id int) *purse {
	b, p := r.set.Repeats, r.purses[id]
	own := b.Own(r.set.Siblings, r.set.Processes)
	if p == nil {
		if r.purses == nil {
			r.purses = map[int]*purse{}
		}
		p = &purse{own, r.now}
		r.purses[id] = p
	}
	p.add(own*(r.now-p.at).Seconds()/b.Span.Seconds(), b.Depth(r.set.Siblings, r.set.Processes))
	p.at = r.now
	return p
}

// add brings more, as far as there is room; what was lent may stand above that.
func (p *purse) add(x, depth float64) { p.left = max(p.left, min(depth, p.left+x)) }

// lent takes what was lent since the settings that were.
func (r *Router) lent(was *Repeats) {
	b := r.set.Repeats
	if b == nil || was == nil {
		r.purses = nil
		return
	}
	for id, x := range b.Lent { // each on its own
		if d := x - was.Lent[id]; d != 0 {
			r.purse(id).left += d
		}
	}
}

// again tells that a request's next attempt would be a copy, or repeat what may have run.
func (q *request) again() bool { return len(q.tries) > 0 && (q.maybe || q.open > 0) }

// affords tells whether a request's next attempt is a first one, or may be made in spite of that.
func (r *Router) affords(q *request) bool {
	if r.set.Repeats == nil || !q.again() {
		return true
	}
	q.lacks = r.purse(q.group.id).left < 1
	return !q.lacks
}

// pays counts an attempt that goes out.
func (r *Router) pays(q *request) {
	switch b := r.set.Repeats; {
	case b == nil:
	case len(q.tries) == 0:
		r.purse(q.group.id).add(b.Part, b.Depth(r.set.Siblings, r.set.Processes))
	case q.again():
		r.purse(q.group.id).left--
		q.lacks = false
	}
}

// returning is a store that was down, or is new: when that was, when it was first used again, and what this router has had there at once since.
type returning struct {
	of, from Time
	luck     float64
	most     int
}

// returnSpan is how long a store that has returned is come back to slowly.
const returnSpan = 5 * time.Second

// connects tells whether a store may be sent one more at once than this router has connections there: all come back to it at the rate of
// the settings, each with its part.
func (r *Router) connects(s *store) bool {
	rate := r.set.Returns / float64(r.set.Siblings*r.set.Processes)
	if rate <= 0 {
		return true
	}
	b := &s.back
	if of := max(s.badAt, s.coldFrom, s.newAt); of > b.of {
		if *b = (returning{of: of, from: r.now}); s.health == healthy && s.badAt != of {
			b.from = min(r.now, of)
		}
		b.luck = r.rng.Float64()
	}
	if len(s.open) < b.most || b.of == never || r.now-b.from >= returnSpan {
		return true
	}
	return float64(b.most) < math.Floor(b.luck+(r.now-b.from).Seconds()*rate)
}
