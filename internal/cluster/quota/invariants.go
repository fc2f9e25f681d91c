package quota

import (
	"fmt"
	"slices"

	"beechgrade/internal/invariant"
)

// Check has statements about the quota checked, once in so many events.
func (q *Quota) Check(c *invariant.Checks, every int) { q.checks, q.every = c, every }

// walk makes the statements about all state.
func (q *Quota) walk(c *invariant.Checks) {
	c.That(len(q.box) == 0, "quota: what was put has gone out", func() string { return fmt.Sprintf("%d messages", len(q.box)) })
	for _, l := range q.limits {
		c.That(q.byHash[l.key] == l && len(q.byHash) == len(q.limits), "quota: limits are filed", func() string { return l.Name })
		switch l.Manner {
		case Never:
			q.walkHeld(c, l)
			q.walkOwner(c, l)
		case Even:
			c.That(l.share >= 0 && l.share <= 1 && l.rise <= 1, "quota: a share is a part", func() string {
				return fmt.Sprintf("%s: %v, to be %v at %v", l.Name, l.share, l.rise, l.riseAt)
			})
		}
	}
}

// walkHeld is a holder's side: no more than there is, and none of it beyond its time.
func (q *Quota) walkHeld(c *invariant.Checks, l *limit) {
	state := func() string {
		return fmt.Sprintf("%s: %+v; holds %d until %v, floor %d, in use %d; votes until %v; now %v", l.Name, l.cut, l.hold, l.heldTill, l.low, l.high, l.until, q.now)
	}
	c.That(l.hold >= 0 && l.hold <= l.cut.Pool && l.low >= 0 && l.low <= l.cut.Floor, "quota: nobody holds more than there is", state)
	c.That(l.hold == 0 || q.now < l.heldTill, "quota: no lease outlives its end", state)
	c.That(l.hold == 0 || l.heldTill <= q.now+q.set.Lease, "quota: a lease counts from its ask", state)
	c.That(l.high >= l.hold, "quota: what may be in use is what is held at least", state)
	c.That(l.until <= q.now+q.set.Promise, "quota: a promise counts from its vote", state)
	amount, _ := q.may(l)
	c.That(amount <= l.Amount*(1+1e-9), "quota: nobody may use more than the limit", state)
	for i, a := range l.asks {
		c.That(a.seq <= l.seq && (i == 0 || l.asks[i-1].seq < a.seq), "quota: asks are in order", func() string { return fmt.Sprintf("%s: %+v", l.Name, l.asks) })
	}
}

// walkOwner is an owner's side: what is lent is within the pool, by books that are kept of those alone that may hold something.
func (q *Quota) walkOwner(c *invariant.Checks, l *limit) {
	o := &l.o
	state := func() string {
		s := fmt.Sprintf("%s: pool %d, epoch %d, owns %v until %v, unknown %d until %v, now %v, lent %d:", l.Name, l.cut.Pool, o.epoch, o.owns, o.right, o.unknown, o.waitTo, q.now, q.lentOf(l))
		for _, b := range o.books {
			s += fmt.Sprintf(" %x: %+v", uint64(b.id), *b)
		}
		return s
	}
	if o.owns && q.now < o.right {
		c.That(q.lentOf(l) <= l.cut.Pool, "quota: no more is lent than the pool", state)
	}
	c.That(o.unknown >= 0 && o.unknown <= l.cut.Pool, "quota: what is not known is within the pool", state)
	c.That(!o.owns || o.right <= q.now+q.set.Promise, "quota: nobody owns beyond what was promised", state)
	c.That(len(o.books) == len(o.byID) && slices.IsSortedFunc(o.books, func(a, b *book) int {
		if a.id < b.id {
			return -1
		}
		return 1
	}), "quota: books are in order, each filed once", state)
	for _, b := range o.books {
		c.That(o.byID[b.id] == b, "quota: books are in order, each filed once", state)
		c.That(len(b.pend) <= pendMost && b.conf >= 0 && b.promise <= q.now+q.set.Promise, "quota: a book's figures are ones that can be", state)
		for _, p := range b.pend {
			c.That(p.units >= 0 && p.end <= q.now+q.set.kept(l.Kind), "quota: a book's figures are ones that can be", state)
		}
		c.That(!q.done(l, b, 4*q.set.Step), "quota: no book is kept of one that has gone", state)
	}
}
