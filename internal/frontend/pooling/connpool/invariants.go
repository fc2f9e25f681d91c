package connpool

import (
	"fmt"
	"slices"

	"beechgrade/internal/invariant"
)

// Check checks the invariants of a pool: the counts of connections, waiters and admitted transactions agree with the lists.
func (p *Pool) Check(checks *invariant.Checks) {
	p.checkConns(checks)
	p.checkServers(checks)
	p.checkQueues(checks)
	p.checkAdmissions(checks)
}

// checkConns checks each connection, and each list of idle ones.
func (p *Pool) checkConns(checks *invariant.Checks) {
	for id, c := range p.conns {
		listed := slices.Contains(p.idle[c.server], c)
		checks.That(c.id == id && listed == (c.state == idle), "pools: idle connections are listed at their server", func() string {
			return fmt.Sprintf("%+v, listed %v", *c, listed)
		})
	}
	for name, conns := range p.idle {
		for i, c := range conns {
			once := !slices.Contains(conns[:i], c)
			checks.That(p.conns[c.id] == c && c.server == name && once, "pools: an idle connection is listed once", func() string {
				return fmt.Sprintf("%s: %+v", name, *c)
			})
		}
	}
}

// checkServers checks the counts of connections by server, and the limit for all of them.
func (p *Pool) checkServers(checks *invariant.Checks) {
	conns := map[string]int{}
	for _, c := range p.conns {
		conns[c.server]++
	}
	dialing := 0
	for name, s := range p.servers {
		dialing += s.dialing
		state := func() string {
			return fmt.Sprintf("%s: %+v; %d connections, %d idle", name, *s, conns[name], len(p.idle[name]))
		}
		checks.That(s.conns == conns[name] && s.dialing >= 0, "pools: connections are counted by server", state)
		unused := len(p.idle[name]) == 0 && p.queues[name] == nil
		checks.That(!s.draining || unused, "pools: a draining server has no idle connections and no waiters", state)
		delete(conns, name)
	}
	checks.That(len(conns) == 0 && dialing == p.dialing, "pools: connections are counted by server", func() string {
		return fmt.Sprintf("%v at unknown servers; %d being opened, counted %d", conns, dialing, p.dialing)
	})
	withinLimit := p.total() <= p.limits.MaxConns+p.limits.Reserve
	checks.That(p.assigned || withinLimit, "pools: there are no more connections than allowed", func() string {
		return fmt.Sprintf("%d, and %d being opened, of %+v", len(p.conns), p.dialing, p.limits)
	})
}

// checkQueues checks that each waiter is in a queue.
func (p *Pool) checkQueues(checks *invariant.Checks) {
	const name = "pools: each waiter is in a queue"
	waiting := 0
	for server, queue := range p.queues {
		waiting += queue.length
		checks.That(queue.length > 0 && queue.length == queue.countWaiting(p.waiting), name, func() string {
			return fmt.Sprintf("%s: %d in the queue, counted %d", server, queue.countWaiting(p.waiting), queue.length)
		})
	}
	checks.That(waiting == len(p.waiting), name, func() string {
		return fmt.Sprintf("%d in queues, %d wait", waiting, len(p.waiting))
	})
}

// checkAdmissions checks the counts of transactions by kind.
func (p *Pool) checkAdmissions(checks *invariant.Checks) {
	const name = "pools: admitted transactions are counted"
	admitted, queued := map[*admissionQueue]int{}, 0
	for _, admission := range p.admitted {
		admitted[admission]++
	}
	for kind, admission := range p.admissions {
		queued += admission.length
		agree := admission.admitted == admitted[admission] && admission.length == admission.countWaiting(p.queued)
		checks.That(agree, name, func() string {
			return fmt.Sprintf("%s: %d admitted, counted %d; %d queued, counted %d", kind, admitted[admission], admission.admitted,
				admission.countWaiting(p.queued), admission.length)
		})
	}
	checks.That(queued == len(p.queued), name, func() string {
		return fmt.Sprintf("%d in queues, %d wait", queued, len(p.queued))
	})
}

// countWaiting returns how many of the queue's waiters were not removed and are among those that wait.
func (queue *waitQueue) countWaiting(waiting map[ID]*waiter) (n int) {
	for _, w := range queue.waiters[queue.head:] {
		if w != nil && !w.removed && waiting[w.id] == w {
			n++
		}
	}
	return n
}
