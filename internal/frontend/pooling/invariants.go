package pooling

import (
	"fmt"

	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/invariant"
)

// Check checks the invariants of the frontend, once in every calls. It must be called between the callbacks of the loop.
func (f *Frontend) Check(checks *invariant.Checks, every int) {
	checks.Walk(&f.checkCalls, every, "pooling: all", f.checkAll)
}

// checkAll checks that each pool has the connections that there are, and that nothing is left of what has ended.
func (f *Frontend) checkAll(checks *invariant.Checks) {
	f.clients.Check(checks, "pooling: clients")
	f.links.Check(checks, "pooling: connections")
	f.attempts.Check(checks, "pooling: attempts")
	ready, opening := map[*pool]int{}, map[*pool]int{}
	f.links.Each(func(ref slotmap.Ref, l *link) {
		checks.That(!l.closed, "pooling: closed connections are removed", func() string { return fmt.Sprintf("%v to %s", ref, l.serverID) })
		if l.ready {
			ready[l.pool]++
		} else {
			opening[l.pool]++
		}
	})
	for _, p := range f.pools {
		p.conns.Check(checks)
		idle, used, dialing, _ := p.conns.Counts()
		agree := idle+used == ready[p] && dialing == opening[p]
		checks.That(agree, "pooling: a pool counts the connections that there are", func() string {
			return fmt.Sprintf("%s: counts %d idle, %d in use, %d being opened; there are %d and %d", p.name, idle, used, dialing, ready[p], opening[p])
		})
	}
	f.attempts.Each(func(ref slotmap.Ref, a *attempt) {
		checks.That(!a.ended, "pooling: ended attempts are removed", func() string { return fmt.Sprintf("%v at %s", ref, a.server) })
	})
}
