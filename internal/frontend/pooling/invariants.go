package pooling

import (
	"fmt"

	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/invariant"
)

// Check checks the invariants of the frontend, once per the given number of calls. It must be called between callbacks of the event
// loop.
func (f *Frontend) Check(checks *invariant.Checks, every int) {
	checks.Walk(&f.checkCalls, every, "pooling: all", f.checkAll)
}

// checkAll checks that the counts of each pool agree with its connections, and that closed connections and ended attempts are removed.
func (f *Frontend) checkAll(checks *invariant.Checks) {
	f.clients.Check(checks, "pooling: clients")
	f.links.Check(checks, "pooling: connections")
	f.attempts.Check(checks, "pooling: attempts")
	ready, opening := map[*pool]int{}, map[*pool]int{}
	f.links.Each(func(ref slotmap.Ref, l *link) {
		checks.That(!l.closed, "pooling: closed connections are removed", func() string { return fmt.Sprintf("%v to %s", ref, l.serverID) })
		checks.That(l.readyAnswersInOrder(), "pooling: nothing follows an unanswered Query or Sync", func() string {
			return fmt.Sprintf("%v to %s expects %d answers", ref, l.serverID, len(l.expected))
		})
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
			return fmt.Sprintf("%s: counts %d idle, %d in use, %d being opened; found %d ready, %d being opened", p.name, idle, used, dialing, ready[p], opening[p])
		})
	}
	f.attempts.Each(func(ref slotmap.Ref, a *attempt) {
		checks.That(!a.ended, "pooling: ended attempts are removed", func() string { return fmt.Sprintf("%v at %s", ref, a.server) })
	})
}

// readyAnswersInOrder reports whether no message of a client follows a Query or a Sync that is unanswered.
func (l *link) readyAnswersInOrder() bool {
	for i := range l.expected {
		kind := l.expected[i].kind
		if (kind == answersQuery || kind == answersSync) && i < len(l.expected)-1 && l.expected[i+1].kind != answersInternalQuery {
			return false
		}
	}
	return true
}
