package pooling

import (
	"fmt"

	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/invariant"
)

// Check has statements about the front made, once in so many calls; it is for between the loop's callbacks.
func (f *Front) Check(c *invariant.Checks, every int) {
	c.Walk(&f.walks, every, "pooling: the walk", f.walk)
}

// walk states that each pool has the connections that there are.
func (f *Front) walk(x *invariant.Checks) {
	f.clients.Check(x, "pooling: clients")
	f.links.Check(x, "pooling: connections")
	f.attempts.Check(x, "pooling: attempts")
	up, coming := map[*pool]int{}, map[*pool]int{}
	f.links.Each(func(ref slotmap.Ref, l *link) {
		x.That(!l.closed, "pooling: nothing is kept of what is closed", func() string { return fmt.Sprintf("%v to %s", ref, l.store) })
		if l.up {
			up[l.pool]++
		} else {
			coming[l.pool]++
		}
	})
	for _, p := range f.pools {
		p.share.Check(x)
		idle, used, dialing, _ := p.share.Counts()
		x.That(idle+used == up[p] && dialing == coming[p], "pooling: a pool has the connections that there are", func() string {
			return fmt.Sprintf("%s: %d idle, %d in use, %d coming up; there are %d and %d", p.name, idle, used, dialing, up[p], coming[p])
		})
	}
	f.attempts.Each(func(ref slotmap.Ref, a *attempt) {
		x.That(!a.ended, "pooling: nothing is kept of an attempt that has ended", func() string { return fmt.Sprintf("%v at %s", ref, a.store) })
	})
}
