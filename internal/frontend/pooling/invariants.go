package pooling

import (
	"fmt"

	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/invariant"
)

// Check has statements about the front made, once in so many calls; it is for between the loop's callbacks.
func (f *Frontend) Check(c *invariant.Checks, every int) {
	c.Walk(&f.checkCalls, every, "pooling: the walk", f.checkAll)
}

// checkAll states that each pool has the connections that there are.
func (f *Frontend) checkAll(x *invariant.Checks) {
	f.clients.Check(x, "pooling: clients")
	f.links.Check(x, "pooling: connections")
	f.attempts.Check(x, "pooling: attempts")
	up, coming := map[*pool]int{}, map[*pool]int{}
	f.links.Each(func(ref slotmap.Ref, l *link) {
		x.That(!l.closed, "pooling: nothing is kept of what is closed", func() string { return fmt.Sprintf("%v to %s", ref, l.serverID) })
		if l.ready {
			up[l.pool]++
		} else {
			coming[l.pool]++
		}
	})
	for _, p := range f.pools {
		p.conns.Check(x)
		idle, used, dialing, _ := p.conns.Counts()
		x.That(idle+used == up[p] && dialing == coming[p], "pooling: a pool has the connections that there are", func() string {
			return fmt.Sprintf("%s: %d idle, %d in use, %d coming up; there are %d and %d", p.name, idle, used, dialing, up[p], coming[p])
		})
	}
	f.attempts.Each(func(ref slotmap.Ref, a *attempt) {
		x.That(!a.ended, "pooling: nothing is kept of an attempt that has ended", func() string { return fmt.Sprintf("%v at %s", ref, a.server) })
	})
}
